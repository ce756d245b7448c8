//! The front that NVMe hosts connect to. Each connection is one queue, and each queue is served by an actor.

use std::collections::{HashMap, VecDeque};
use std::sync::Arc;
use std::time::Duration;

use bytes::Bytes;
use futures_util::future::BoxFuture;
use futures_util::stream::{FuturesUnordered, StreamExt};
use tokio::net::{TcpListener, TcpStream};
use tokio::sync::{mpsc, watch, Semaphore};
use tokio::time::{sleep_until, timeout_at, Instant};

use super::command::{Body, Command, Connect, ConnectData, Status};
use super::identify::MAX_IN_CAPSULE_BYTES;
use super::io_commands::in_capsule_data;
use super::pdu::{DataLimits, FatalError, Pdu, MAX_DATA_BYTES};
use super::pdu_stream::{PduStream, StreamError};
use super::queue::{Queue, Role};
use super::subsystem::{lock, AbortRequest, Controller, Subsystem};
use crate::CLIENT_CONNECTION_BYTES;
use heathward_core::memory::{MemoryHolder, Reservation};

/// The time in which a host must connect a queue, and in which it must read a TermReq.
const HANDSHAKE_TIMEOUT: Duration = Duration::from_secs(5);
/// The pause after a failed accept.
const ACCEPT_PAUSE: Duration = Duration::from_millis(10);
/// The most abort requests that wait for a queue.
const MAX_QUEUED_ABORTS: usize = 16;
/// The controller id by which a host requests a new controller.
const ANY_CONTROLLER: u16 = 0xffff;

/// Accepts connections, at most `max_connections` at a time, until the task is dropped. Once `stopping` turns
/// true, queues are closed as soon as no command is open on them.
pub async fn serve(
    listener: TcpListener,
    subsystem: Arc<Subsystem>,
    max_connections: usize,
    stopping: watch::Receiver<bool>,
) {
    let connection_permits = Arc::new(Semaphore::new(max_connections));
    loop {
        let Ok(permit) = connection_permits.clone().acquire_owned().await else { return };
        let Ok((stream, _)) = listener.accept().await else {
            sleep_until(Instant::now() + ACCEPT_PAUSE).await;
            continue;
        };
        let (subsystem, stopping) = (subsystem.clone(), stopping.clone());
        tokio::spawn(async move {
            serve_connection(stream, subsystem, stopping).await;
            drop(permit);
        });
    }
}

async fn serve_connection(stream: TcpStream, subsystem: Arc<Subsystem>, mut stopping: watch::Receiver<bool>) {
    let memory = subsystem.core.memory().clone();
    let _memory = memory.charge(MemoryHolder::ClientConnections, CLIENT_CONNECTION_BYTES);
    let Ok(wire) = PduStream::new(stream) else { return };
    let mut queue = Queue {
        subsystem,
        wire,
        role: Role::New { initialised: false, deadline: Instant::now() + HANDSHAKE_TIMEOUT },
        size: 1,
        head: 0,
        mailbox: None,
        open: HashMap::new(),
        in_flight: FuturesUnordered::new(),
        pending_writes: VecDeque::new(),
        awaited_memory: None,
        transfers: HashMap::new(),
        aborts: FuturesUnordered::new(),
    };
    if let Err(StreamError::Fatal(fatal)) = queue.run(&mut stopping).await {
        // Open commands are cancelled with their queue; the host receives the error.
        queue.subsystem.core.count_malformed_request();
        queue.in_flight.clear();
        let _ = timeout_at(Instant::now() + HANDSHAKE_TIMEOUT, queue.wire.terminate(fatal)).await;
    }
}

impl Queue {
    /// Serves the queue until it ends.
    ///
    /// # Errors
    /// The connection has failed, or the host sent something that is not valid.
    async fn run(&mut self, stopping: &mut watch::Receiver<bool>) -> Result<(), StreamError> {
        loop {
            if *stopping.borrow_and_update() && self.is_idle() {
                return Ok(());
            }
            self.request_data().await?;
            self.wire.set_data_limits(self.data_limits());
            let (deadline, own_controller) = match &self.role {
                Role::New { deadline, .. } => (Some(*deadline), None),
                Role::Admin { keep_alive_deadline, controller, .. } => {
                    (*keep_alive_deadline, Some(controller.clone()))
                }
                Role::Io { .. } => (None, None),
            };
            tokio::select! {
                biased;
                Some(finished) = self.in_flight.next(), if !self.in_flight.is_empty() => {
                    self.finish(finished).await?;
                }
                Some((cid, aborted)) = self.aborts.next(), if !self.aborts.is_empty() => {
                    self.complete(cid, u64::from(!aborted), Status::SUCCESS).await?;
                }
                abort = receive_abort(&mut self.mailbox) => match abort {
                    Some((cid, reply)) => self.abort(cid, reply).await?,
                    // The controller has ended or was disabled.
                    None => return Ok(()),
                },
                reservation = reserved(&mut self.awaited_memory) => {
                    self.request_data_of_next(reservation).await?;
                }
                pdu = self.wire.next() => self.handle_pdu(pdu?).await?,
                () = sleep_until(deadline.unwrap_or_else(Instant::now)), if deadline.is_some() =>
                    return Ok(()),
                () = io_queue_ended(own_controller.as_deref()) => {}
                changed = stopping.changed() => changed.map_err(|_| StreamError::Closed)?,
            }
        }
    }

    /// Returns the most data that the host may send in a PDU: in a capsule what Identify states, else what
    /// the longest of the writes that wait for data holds memory for.
    fn data_limits(&self) -> DataLimits {
        let longest = self.transfers.values().map(|transfer| transfer.data.length()).max();
        let other = MAX_IN_CAPSULE_BYTES;
        DataLimits { h2c: longest.unwrap_or(0).max(other), other }
    }

    async fn handle_pdu(&mut self, pdu: Pdu) -> Result<(), StreamError> {
        match (&mut self.role, pdu) {
            (Role::New { initialised, .. }, Pdu::IcReq { pfv, hpda, .. }) if !*initialised => {
                // 0 stands for version 1.0 of the format. Digests that a host requests are not granted.
                if pfv != 0 {
                    return Err(StreamError::Fatal(FatalError::parameter(8)));
                }
                if hpda > 31 {
                    return Err(StreamError::Fatal(FatalError::header(10)));
                }
                *initialised = true;
                self.wire.set_alignment(hpda);
                let max_h2c = MAX_DATA_BYTES as u32;
                Ok(self.wire.send(&[Pdu::IcResp { pfv: 0, cpda: 0, digests: 0, max_h2c }]).await?)
            }
            (Role::New { initialised: false, .. }, _) => Err(StreamError::Fatal(FatalError::SEQUENCE)),
            (_, Pdu::Capsule { command, data }) => self.handle_command(command, &data).await,
            (_, Pdu::H2cData { cid, ttag, offset, last, data }) => {
                self.receive_data(cid, ttag, offset, last, data).await
            }
            // The host terminates the connection because of an error on this side.
            (_, Pdu::TermReq { by_host: true, .. }) => Err(StreamError::Closed),
            _ => Err(StreamError::Fatal(FatalError::SEQUENCE)),
        }
    }

    async fn handle_command(&mut self, command: Command, data: &Bytes) -> Result<(), StreamError> {
        self.head = (self.head + 1) % self.size;
        if let Role::Admin { keep_alive, keep_alive_deadline, .. } = &mut self.role {
            *keep_alive_deadline = keep_alive_deadline.map(|_| Instant::now() + *keep_alive);
        }
        let cid = command.cid;
        let outcome = if self.open.contains_key(&cid) {
            Err(Status::CID_CONFLICT)
        } else if !command.has_valid_flags {
            Err(Status::INVALID_FIELD)
        } else {
            match &self.role {
                Role::New { .. } => self.connect(&command, data),
                Role::Admin { controller, .. } => {
                    let controller = controller.clone();
                    return self.handle_admin_command(&controller, &command).await;
                }
                Role::Io { .. } => return self.handle_io_command(&command, data).await,
            }
        };
        match outcome {
            Ok(result) => self.complete(cid, result, Status::SUCCESS).await,
            Err(status) => self.complete(cid, 0, status).await,
        }
    }

    /// Handles a Connect command, the only one that a new queue accepts; returns the controller id.
    ///
    /// # Errors
    /// The status of a command that is not a valid Connect.
    fn connect(&mut self, command: &Command, data: &Bytes) -> Result<u64, Status> {
        let Body::Connect(Connect { format, queue, size, keep_alive }) = command.body else {
            return Err(Status::SEQUENCE);
        };
        if format != 0 {
            return Err(Status::CONNECT_FORMAT);
        }
        let names = ConnectData::decode(in_capsule_data(command.sgl, data)?).ok_or(Status::SGL_LENGTH)?;
        let map = &self.subsystem.map;
        if names.subsystem != map.subsystem || size == 0 || size >= map.depth {
            return Err(Status::CONNECT_PARAMETER);
        }
        let (id, role) = if queue == 0 {
            if names.controller != ANY_CONTROLLER {
                return Err(Status::CONNECT_PARAMETER);
            }
            let controller = self.subsystem.add_controller(names.host);
            let controller = controller.ok_or(Status::CONNECT_BUSY)?;
            let keep_alive = Duration::from_millis(keep_alive.into());
            let keep_alive_deadline = (!keep_alive.is_zero()).then(|| Instant::now() + keep_alive);
            (controller.id, Role::Admin { controller, keep_alive, keep_alive_deadline })
        } else {
            let controller = lock(&self.subsystem.controllers).get(&names.controller).cloned();
            let controller =
                controller.filter(|candidate| candidate.host == names.host && queue <= map.queues);
            let controller = controller.ok_or(Status::CONNECT_PARAMETER)?;
            let mut state = lock(&controller.state);
            if state.configuration & 1 == 0 || state.queues.contains_key(&queue) {
                return Err(Status::SEQUENCE);
            }
            let (sender, mailbox) = mpsc::channel(MAX_QUEUED_ABORTS);
            state.queues.insert(queue, sender);
            self.mailbox = Some(mailbox);
            drop(state);
            (controller.id, Role::Io { controller, queue })
        };
        self.role = role;
        self.size = size + 1;
        Ok(u64::from(id))
    }
}

/// Returns the memory that a queue waits for. Never returns if it waits for none.
async fn reserved(awaited_memory: &mut Option<BoxFuture<'static, Reservation>>) -> Reservation {
    match awaited_memory {
        Some(reservation) => reservation.await,
        None => std::future::pending().await,
    }
}

/// Receives the next abort request; `None` once the mailbox is closed. Never returns without a mailbox.
async fn receive_abort(mailbox: &mut Option<mpsc::Receiver<AbortRequest>>) -> Option<AbortRequest> {
    match mailbox {
        Some(mailbox) => mailbox.recv().await,
        None => std::future::pending().await,
    }
}

/// Returns once an I/O queue of the controller has ended. Never returns without a controller.
async fn io_queue_ended(controller: Option<&Controller>) {
    match controller {
        Some(controller) => controller.queue_ended.notified().await,
        None => std::future::pending().await,
    }
}
