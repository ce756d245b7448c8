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

/// Controller ids from this one on are reserved.
const FIRST_RESERVED_ID: u16 = 0xfff0;

/// A request to an I/O queue to abort a command, by its id; the reply tells whether the command was open.
pub(super) type AbortRequest = (u16, oneshot::Sender<bool>);

/// The only subsystem of the front, which all its queues share.
pub struct Subsystem {
    pub(super) map: Arc<NvmeMap>,
    pub(super) core: CoreHandle,
    /// Generates random request ids, so that none is reused after a restart.
    pub(super) request_ids: Mutex<fastrand::Rng>,
    pub(super) controllers: Mutex<HashMap<u16, Arc<Controller>>>,
}

/// The controller of a host, which consists of an admin queue and I/O queues.
pub(super) struct Controller {
    pub(super) id: u16,
    pub(super) host: String,
    pub(super) state: Mutex<ControllerState>,
    /// Notifies the admin queue that an I/O queue has ended, which it waits for during the shutdown.
    pub(super) queue_ended: Notify,
}

/// The state that the queues of a controller share.
#[derive(Default)]
pub(super) struct ControllerState {
    /// The controller configuration property.
    pub(super) configuration: u32,
    /// The mailboxes of the I/O queues, by queue id; a queue ends when its mailbox is dropped.
    pub(super) queues: HashMap<u16, mpsc::Sender<AbortRequest>>,
}

/// Locks a mutex. No code panics while it holds one of these locks, so a poisoned one is used as it is.
pub(super) fn lock<T>(mutex: &Mutex<T>) -> MutexGuard<'_, T> {
    mutex.lock().unwrap_or_else(PoisonError::into_inner)
}

impl Subsystem {
    /// Creates the subsystem for a core; `seed` is that of the request ids.
    pub fn new(map: Arc<NvmeMap>, core: CoreHandle, seed: u64) -> Arc<Self> {
        let (request_ids, controllers) = (Mutex::new(fastrand::Rng::with_seed(seed)), Mutex::default());
        Arc::new(Self { map, core, request_ids, controllers })
    }

    /// Adds a controller for a host; `None` if no controller id is free.
    pub(super) fn add_controller(&self, host: String) -> Option<Arc<Controller>> {
        let mut controllers = lock(&self.controllers);
        let id = (1..FIRST_RESERVED_ID).find(|id| !controllers.contains_key(id))?;
        let state = Mutex::default();
        let controller = Arc::new(Controller { id, host, state, queue_ended: Notify::new() });
        controllers.insert(id, controller.clone());
        Some(controller)
    }

    /// Creates the request to the core for a read or a write whose last byte has just been received.
    ///
    /// # Errors
    /// The namespace does not exist.
    pub(super) fn request(
        &self,
        is_write: bool,
        blocks: BlockRange,
        body: Bytes,
    ) -> Result<ClientRequest, Status> {
        let namespace = self.map.namespace(blocks.nsid).ok_or(Status::INVALID_NAMESPACE)?;
        let class = if is_write { &self.map.write } else { &self.map.read };
        let deployment = self.core.deployment();
        let settings = &deployment.settings.classes[class.id.0 as usize];
        let request_id = format!("{:016x}", lock(&self.request_ids).u64(..));
        let needs_key = settings.idempotency == Idempotency::WithKey;
        let node_request = NodeRequest {
            class_name: class.name.clone(),
            is_write,
            target: format!("/{}/{:016x}/{:016x}", class.name, namespace.volume.0, blocks.first).into(),
            idempotency_key: needs_key.then(|| request_id.as_str().into()),
            client_request_id: request_id.into(),
            volume: namespace.volume,
            key: KeyId(blocks.first),
            units: self.map.units(blocks.count),
            read_length: (!is_write).then(|| blocks.count as usize * self.map.block as usize),
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
            node_request: Arc::new(node_request),
        })
    }

    /// Validates the blocks of a command and returns their size in bytes.
    ///
    /// # Errors
    /// The namespace does not exist, the command is too long, or the blocks are beyond the end of the
    /// namespace.
    pub(super) fn validate(&self, BlockRange { nsid, first, count }: BlockRange) -> Result<usize, Status> {
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

    /// Returns the command retry delays that the controller announces, in units of 100 ms.
    pub(super) fn retry_delays(&self) -> [u16; 3] {
        identify::retry_delays(self.core.deployment().settings.max_retry_after)
    }

    /// Returns the status of a command with this answer.
    pub(super) fn status(&self, is_write: bool, answer: &Result<Answer, Aborted>) -> Status {
        match answer {
            Err(Aborted) | Ok(Answer::Failed { deadline_passed: true, .. }) => Status::ABORTED,
            Ok(Answer::Served(_)) => Status::SUCCESS,
            Ok(Answer::Shed { retry_after }) => Status {
                retry_delay: identify::retry_delay_index(*retry_after, self.retry_delays()),
                ..Status::INTERRUPTED
            },
            Ok(Answer::Duplicate) => Status::CID_CONFLICT,
            Ok(Answer::Failed { possibly_executed: true, .. }) if is_write => {
                Status::INTERNAL.without_retry()
            }
            Ok(Answer::Failed { .. }) => Status::INTERNAL,
        }
    }
}

impl ControllerState {
    /// Returns the controller status property: ready while enabled, and shut down as soon as the host
    /// requests it.
    pub(super) fn csts(&self) -> u32 {
        let shutdown_requested = self.configuration >> 14 & 0b11 != 0;
        self.configuration & 1 | if shutdown_requested { 0b10 << 2 } else { 0 }
    }

    /// Writes the controller configuration property; disabling or shutting down the controller ends its I/O
    /// queues.
    pub(super) fn configure(&mut self, value: u32) {
        self.configuration = value;
        let shutdown_requested = value >> 14 & 0b11 != 0;
        if value & 1 == 0 || shutdown_requested {
            self.queues.clear();
        }
    }
}
