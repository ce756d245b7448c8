//! The one subsystem of the NVMe front: its controllers, and the conversion of commands into requests to the
//! core.

use std::collections::HashMap;
use std::sync::{Arc, Mutex, MutexGuard, PoisonError};
use std::time::Duration;

use bytes::Bytes;
use futures_util::future::Aborted;
use tokio::sync::{mpsc, oneshot, Notify};
use tokio::time::Instant;

use super::command::{BlockRange, Status};
use super::identify;
use super::map::NvmeMap;
use super::pdu::MAX_DATA_BYTES;
use heathward_core::{Answer, ClientRequest, CoreHandle, NodeRequest};
use heathward_policy::{Idempotency, KeyId};

/// Controller ids from here on are reserved.
const LAST_ID: u16 = 0xfff0;

/// An abort on its way to the queue of its command; the reply says whether the command was ended.
pub(super) type AbortOne = (u16, oneshot::Sender<bool>);

/// The only subsystem of the front, which all its queues share.
pub struct Subsystem {
    pub(super) map: Arc<NvmeMap>,
    pub(super) core: CoreHandle,
    /// Ids of calls start at a random number, so that a restart repeats none.
    pub(super) calls: Mutex<fastrand::Rng>,
    pub(super) controllers: Mutex<HashMap<u16, Arc<Controller>>>,
}

/// The controller of a host, which consists of an admin queue and I/O queues.
pub(super) struct Controller {
    pub(super) id: u16,
    pub(super) host: String,
    pub(super) state: Mutex<State>,
    /// Tells the admin queue that an I/O queue has ended: at the program's end it waits for that.
    pub(super) ended: Notify,
}

/// The state that the queues of a controller share.
#[derive(Default)]
pub(super) struct State {
    /// The controller configuration property.
    pub(super) configuration: u32,
    /// The ways to its I/O queues; a queue whose way is dropped ends.
    pub(super) queues: HashMap<u16, mpsc::Sender<AbortOne>>,
}

/// Locks a mutex. No code panics while it holds one of these locks, so a poisoned one is used as it is.
pub(super) fn lock<T>(mutex: &Mutex<T>) -> MutexGuard<'_, T> {
    mutex.lock().unwrap_or_else(PoisonError::into_inner)
}

impl Subsystem {
    /// Creates the subsystem for a core; `seed` is that of the request ids.
    pub fn new(map: Arc<NvmeMap>, core: CoreHandle, seed: u64) -> Arc<Self> {
        let (calls, controllers) = (Mutex::new(fastrand::Rng::with_seed(seed)), Mutex::default());
        Arc::new(Self { map, core, calls, controllers })
    }

    /// A new controller for a host; `None` if no id is free.
    pub(super) fn controller(&self, host: String) -> Option<Arc<Controller>> {
        let mut controllers = lock(&self.controllers);
        let id = (1..LAST_ID).find(|id| !controllers.contains_key(id))?;
        let state = Mutex::default();
        let controller = Arc::new(Controller { id, host, state, ended: Notify::new() });
        controllers.insert(id, controller.clone());
        Some(controller)
    }

    /// The typed request behind a read or a write whose last byte has just come.
    pub(super) fn call(&self, write: bool, blocks: BlockRange, body: Bytes) -> Result<ClientRequest, Status> {
        let namespace = self.map.namespace(blocks.nsid).ok_or(Status::INVALID_NAMESPACE)?;
        let class = if write { &self.map.write } else { &self.map.read };
        let deployment = self.core.deployment();
        let settings = &deployment.settings.classes[class.id.0 as usize];
        let call = format!("{:016x}", lock(&self.calls).u64(..));
        let keyed = settings.idempotency == Idempotency::WithKey;
        let work = NodeRequest {
            class_name: class.name.clone(),
            is_write: write,
            target: format!("/{}/{:016x}/{:016x}", class.name, namespace.volume.0, blocks.first).into(),
            idempotency_key: keyed.then(|| call.as_str().into()),
            client_request_id: call.into(),
            volume: namespace.volume,
            key: KeyId(blocks.first),
            units: self.map.units(blocks.count),
            read_length: Some(blocks.count as usize * self.map.block as usize),
            body,
            upload: None,
        };
        Ok(ClientRequest {
            class: class.id,
            plan: namespace.plan,
            shard: Some(namespace.shard(blocks.first)),
            schedulers: namespace.hosts,
            // NVMe has no flag for a command that is sent again, and no time budget: each command has the
            // full deadline of its class.
            is_client_retry: false,
            deadline: Instant::now() + Duration::from_micros(settings.deadline),
            node_request: Arc::new(work),
        })
    }

    /// Checks the blocks of a command; gives back the bytes they hold.
    pub(super) fn check(&self, BlockRange { nsid, first, count }: BlockRange) -> Result<usize, Status> {
        let namespace = self.map.namespace(nsid).ok_or(Status::INVALID_NAMESPACE)?;
        let size = count as usize * self.map.block as usize;
        if size > MAX_DATA_BYTES {
            return Err(Status::INVALID_FIELD);
        }
        let end = first.checked_add(u64::from(count)).ok_or(Status::LBA_RANGE)?;
        if end > namespace.blocks {
            Err(Status::LBA_RANGE)
        } else {
            Ok(size)
        }
    }

    /// Advice that a status can give, as the controller's page tells hosts.
    pub(super) fn delays(&self) -> [u16; 3] {
        identify::delays(self.core.deployment().settings.max_retry_after)
    }

    /// How a command ends with that answer.
    pub(super) fn status(&self, write: bool, answer: &Result<Answer, Aborted>) -> Status {
        match answer {
            Err(Aborted) | Ok(Answer::Failed { deadline_passed: true, .. }) => Status::ABORTED,
            Ok(Answer::Served(_)) => Status::SUCCESS,
            Ok(Answer::Shed { retry_after }) => Status {
                retry_delay: identify::delay_for(*retry_after, self.delays()),
                ..Status::INTERRUPTED
            },
            Ok(Answer::Duplicate) => Status::CID_CONFLICT,
            Ok(Answer::Failed { possibly_executed: true, .. }) if write => Status::INTERNAL.without_retry(),
            Ok(Answer::Failed { .. }) => Status::INTERNAL,
        }
    }
}

impl State {
    /// Returns the controller status property: ready while enabled, and shut down as soon as the host
    /// requests it.
    pub(super) fn csts(&self) -> u32 {
        let down = self.configuration >> 14 & 0b11 != 0;
        self.configuration & 1 | if down { 0b10 << 2 } else { 0 }
    }

    /// Writes the controller configuration property; disabling or shutting down the controller ends its I/O
    /// queues.
    pub(super) fn configure(&mut self, value: u32) {
        self.configuration = value;
        let down = value >> 14 & 0b11 != 0;
        if value & 1 == 0 || down {
            self.queues.clear();
        }
    }
}
