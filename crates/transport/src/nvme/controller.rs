//! The front that NVMe hosts connect to. Each connection is one queue, and each queue is served by an actor.

use std::collections::HashMap;
use std::sync::Arc;
use std::time::Duration;

use bytes::Bytes;
use futures_util::future::{abortable, AbortHandle, Aborted, BoxFuture};
use futures_util::stream::{FuturesUnordered, StreamExt};
use tokio::net::{TcpListener, TcpStream};
use tokio::sync::{mpsc, oneshot, watch, Semaphore};
use tokio::time::{sleep_until, timeout_at, Instant};
use tower::Service;

use super::command::{BlockRange, Body, Command, Completion, Connect, ConnectData, Sgl, Status};
use super::identify::{self, CAP, CC, CSTS, MAX_IN_CAPSULE_BYTES, VS};
use super::pdu::{FatalError, Pdu, MAX_DATA_BYTES};
use super::pdu_stream::{PduStream, StreamError};
use super::received_data::ReceivedData;
use super::subsystem::{lock, AbortRequest, Controller, Subsystem};
use heathward_core::{Answer, ClientRequest, NodeReply};

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

/// The role of a queue.
enum Role {
    /// A queue that is not connected yet; it must be connected by the deadline.
    New { initialised: bool, deadline: Instant },
    /// An admin queue; it ends if the host sends no command by the keep-alive deadline.
    Admin { controller: Arc<Controller>, keep_alive: Duration, keep_alive_deadline: Option<Instant> },
    /// An I/O queue.
    Io { controller: Arc<Controller>, queue: u16 },
}

/// A write whose data is still being received.
struct Transfer {
    blocks: BlockRange,
    data: ReceivedData,
}

/// A read or a write that was answered by the core or aborted.
struct Finished {
    cid: u16,
    /// For a read, its size in bytes.
    read_size: Option<usize>,
    answer: Result<Answer, Aborted>,
}

/// The actor of a queue.
struct Queue {
    subsystem: Arc<Subsystem>,
    wire: PduStream,
    role: Role,
    /// Number of entries.
    size: u16,
    /// Submission queue head: index of the next entry to read.
    head: u16,
    /// Abort requests from the admin queue; closed when the controller ends or is disabled.
    mailbox: Option<mpsc::Receiver<AbortRequest>>,
    /// Open reads and writes, by command id; a write whose data is still being received has no handle yet.
    open: HashMap<u16, Option<AbortHandle>>,
    /// Requests that the core is processing.
    in_flight: FuturesUnordered<BoxFuture<'static, Finished>>,
    /// Writes whose data is being received, by command id, which is also the transfer tag.
    transfers: HashMap<u16, Transfer>,
    /// Abort commands that I/O queues are carrying out: the id of each, and whether its command was aborted.
    aborts: FuturesUnordered<BoxFuture<'static, (u16, bool)>>,
}

impl Drop for Queue {
    fn drop(&mut self) {
        match &self.role {
            Role::New { .. } => {}
            Role::Admin { controller, .. } => {
                lock(&controller.state).queues.clear();
                lock(&self.subsystem.controllers).remove(&controller.id);
            }
            Role::Io { controller, queue } => {
                lock(&controller.state).queues.remove(queue);
                controller.queue_ended.notify_one();
            }
        }
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
                pdu = self.wire.next() => self.handle_pdu(pdu?).await?,
                () = sleep_until(deadline.unwrap_or_else(Instant::now)), if deadline.is_some() =>
                    return Ok(()),
                () = io_queue_ended(own_controller.as_deref()) => {}
                changed = stopping.changed() => changed.map_err(|_| StreamError::Closed)?,
            }
        }
    }

    /// Whether no command is open on the queue; for an admin queue, whether its controller has no I/O queue.
    fn is_idle(&self) -> bool {
        match &self.role {
            Role::Admin { controller, .. } => lock(&controller.state).queues.is_empty(),
            _ => self.open.is_empty(),
        }
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
                self.receive_data(cid, ttag, offset, last, &data).await
            }
            // The host terminates the connection because of an error on this side.
            (_, Pdu::TermReq { by_host: true, .. }) => Err(StreamError::Closed),
            _ => Err(StreamError::Fatal(FatalError::SEQUENCE)),
        }
    }

    /// Sends the completion of a command.
    async fn complete(&mut self, cid: u16, result: u64, status: Status) -> Result<(), StreamError> {
        let completion = Completion { result, head: self.head, cid, status };
        Ok(self.wire.send(&[Pdu::Response(completion)]).await?)
    }

    /// Sends data to the host and completes the command.
    async fn complete_with_data(&mut self, cid: u16, data: Bytes) -> Result<(), StreamError> {
        let completion = Completion { result: 0, head: self.head, cid, status: Status::SUCCESS };
        let data = Pdu::C2hData { cid, offset: 0, last: true, data };
        Ok(self.wire.send(&[data, Pdu::Response(completion)]).await?)
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

    async fn handle_admin_command(
        &mut self,
        controller: &Controller,
        command: &Command,
    ) -> Result<(), StreamError> {
        let (map, cid) = (self.subsystem.map.clone(), command.cid);
        let outcome = match command.body {
            Body::PropertyGet { wide, offset } => match (offset, wide) {
                (CAP, true) => Ok(identify::capabilities(map.depth)),
                (VS, false) => Ok(identify::VERSION.into()),
                (CC, false) => Ok(lock(&controller.state).configuration.into()),
                (CSTS, false) => Ok(lock(&controller.state).csts().into()),
                _ => Err(Status::INVALID_FIELD),
            },
            Body::PropertySet { wide: false, offset: CC, value } => {
                lock(&controller.state).configure(value as u32);
                Ok(0)
            }
            Body::Identify { nsid, cns } => {
                let page = match cns {
                    0 => {
                        let namespace = map.namespace(nsid).ok_or(Status::INVALID_NAMESPACE);
                        namespace.map(|namespace| identify::namespace(&map, namespace))
                    }
                    1 => Ok(identify::controller(&map, controller.id, self.subsystem.retry_delays())),
                    2 if nsid < 0xffff_fffe => Ok(identify::active_namespaces(&map, nsid)),
                    2 => Err(Status::INVALID_NAMESPACE),
                    _ => Err(Status::INVALID_FIELD),
                };
                match page {
                    Ok(page) if command.sgl.length() as usize == page.len() => {
                        return self.complete_with_data(cid, page).await;
                    }
                    Ok(_) => Err(Status::SGL_LENGTH),
                    Err(status) => Err(status),
                }
            }
            // The requested numbers of submission and completion queues, minus 1; they exist in pairs here.
            Body::SetFeatures { feature: 0x07, value }
                if value & 0xffff != 0xffff && value >> 16 != 0xffff =>
            {
                let granted = u64::from((value & 0xffff).min(value >> 16).min(u32::from(map.queues) - 1));
                Ok(granted << 16 | granted)
            }
            Body::SetFeatures { .. } | Body::PropertySet { .. } => Err(Status::INVALID_FIELD),
            Body::KeepAlive => Ok(0),
            Body::Abort { .. } if self.aborts.len() >= identify::MAX_ABORTS => Err(Status::ABORT_LIMIT),
            Body::Abort { queue, cid: aborted_cid } => {
                // Commands of the admin queue are completed before an Abort for them can arrive.
                let mailbox = lock(&controller.state).queues.get(&queue).cloned();
                self.aborts.push(Box::pin(async move {
                    let (reply, aborted) = oneshot::channel();
                    let is_sent = match mailbox {
                        Some(mailbox) => mailbox.send((aborted_cid, reply)).await.is_ok(),
                        None => false,
                    };
                    (cid, is_sent && aborted.await.unwrap_or(false))
                }));
                return Ok(());
            }
            Body::Connect(_) => Err(Status::SEQUENCE),
            Body::Read(_) | Body::Write(_) | Body::OtherFabrics(_) | Body::Other(_) => {
                Err(Status::INVALID_OPCODE)
            }
        };
        match outcome {
            Ok(result) => self.complete(cid, result, Status::SUCCESS).await,
            Err(status) => self.complete(cid, 0, status).await,
        }
    }

    async fn handle_io_command(&mut self, command: &Command, data: &Bytes) -> Result<(), StreamError> {
        let cid = command.cid;
        let validated_size = match command.body {
            Body::Read(blocks) | Body::Write(blocks) => self.subsystem.validate(blocks),
            Body::Connect(_) => Err(Status::SEQUENCE),
            _ => Err(Status::INVALID_OPCODE),
        };
        // Limits memory: a host that respects the size of its queue never has this many commands open.
        if self.open.len() >= usize::from(self.size) {
            return Err(StreamError::Fatal(FatalError::SEQUENCE));
        }
        let started = match (command.body, command.sgl, validated_size) {
            (_, _, Err(status)) => Err(status),
            (_, sgl, Ok(size)) if sgl.length() as usize != size => match sgl {
                Sgl::Other(_) => Err(Status::SGL_TYPE),
                _ => Err(Status::SGL_LENGTH),
            },
            (Body::Read(blocks), Sgl::Transport { .. }, Ok(size)) => self
                .subsystem
                .request(false, blocks, Bytes::new())
                .map(|request| self.start_request(cid, Some(size), request)),
            (Body::Read(_), ..) => Err(Status::SGL_TYPE),
            (Body::Write(blocks), sgl @ Sgl::InCapsule { .. }, Ok(_)) => in_capsule_data(sgl, data)
                .and_then(|data| self.subsystem.request(true, blocks, Bytes::copy_from_slice(data)))
                .map(|request| self.start_request(cid, None, request)),
            (Body::Write(blocks), _, Ok(size)) => {
                self.open.insert(cid, None);
                self.transfers.insert(cid, Transfer { blocks, data: ReceivedData::new(size) });
                let r2t = Pdu::R2t { cid, ttag: cid, offset: 0, length: size as u32 };
                return Ok(self.wire.send(&[r2t]).await?);
            }
            _ => Err(Status::INVALID_OPCODE),
        };
        match started {
            Ok(()) => Ok(()),
            Err(status) => {
                self.subsystem.core.count_malformed_request();
                self.complete(cid, 0, status).await
            }
        }
    }

    /// Receives data of a write. It arrives in order, as there is one transfer for each command.
    async fn receive_data(
        &mut self,
        cid: u16,
        ttag: u16,
        offset: u32,
        last: bool,
        data: &[u8],
    ) -> Result<(), StreamError> {
        let transfer = self.transfers.get_mut(&cid).ok_or(StreamError::Fatal(FatalError::header(8)))?;
        if ttag != cid {
            return Err(StreamError::Fatal(FatalError::header(10)));
        }
        let range_error = StreamError::Fatal(FatalError::RANGE);
        if transfer.data.append(offset, data).is_err() || last != transfer.data.is_complete() {
            return Err(range_error);
        }
        if !last {
            return Ok(());
        }
        let Some(Transfer { blocks, data }) = self.transfers.remove(&cid) else { return Ok(()) };
        let data = data.into_complete().ok_or(range_error)?;
        if !self.open.contains_key(&cid) {
            // The write was aborted and completed while its data was being received.
            return Ok(());
        }
        match self.subsystem.request(true, blocks, data) {
            Ok(request) => {
                self.start_request(cid, None, request);
                Ok(())
            }
            Err(status) => {
                self.open.remove(&cid);
                self.complete(cid, 0, status).await
            }
        }
    }

    /// Passes a read or a write to the core.
    fn start_request(&mut self, cid: u16, read_size: Option<usize>, request: ClientRequest) {
        let (answer, handle) = abortable(self.subsystem.core.clone().call(request));
        self.open.insert(cid, Some(handle));
        self.in_flight.push(Box::pin(async move {
            // If the core has stopped, or a streamed reply is interrupted or does not have the length of the
            // read, nothing is known about the effect of the request.
            let failed = Answer::Failed { possibly_executed: true, deadline_passed: false };
            let answer = match answer.await {
                Ok(Ok(Answer::Served(reply))) => match reply.collect(MAX_DATA_BYTES).await {
                    Some(body) if read_size.is_none_or(|size| body.len() == size) => {
                        Ok(Answer::Served(NodeReply::Buffered(body)))
                    }
                    _ => Ok(failed),
                },
                other => other.map(|result| result.unwrap_or(failed)),
            };
            Finished { cid, read_size, answer }
        }));
    }

    /// Completes a command whose request has finished.
    async fn finish(&mut self, Finished { cid, read_size, answer }: Finished) -> Result<(), StreamError> {
        self.open.remove(&cid);
        match (read_size, &answer) {
            (Some(_), Ok(Answer::Served(NodeReply::Buffered(body)))) => {
                self.complete_with_data(cid, body.clone()).await
            }
            _ => {
                let status = self.subsystem.status(read_size.is_none(), &answer);
                self.complete(cid, 0, status).await
            }
        }
    }

    /// Aborts a command and replies whether it was open.
    async fn abort(&mut self, cid: u16, reply: oneshot::Sender<bool>) -> Result<(), StreamError> {
        let found = self.open.get(&cid).cloned();
        // The admin queue may have ended meanwhile.
        let _ = reply.send(found.is_some());
        match found {
            Some(Some(handle)) => handle.abort(),
            Some(None) => {
                self.open.remove(&cid);
                return self.complete(cid, 0, Status::ABORTED).await;
            }
            None => {}
        }
        Ok(())
    }
}

/// Returns the data of a command that has to be in its capsule.
///
/// # Errors
/// The status of a command whose descriptor does not match the data.
fn in_capsule_data(sgl: Sgl, data: &Bytes) -> Result<&[u8], Status> {
    match sgl {
        Sgl::InCapsule { offset: 0, length }
            if length as usize == data.len() && data.len() <= MAX_IN_CAPSULE_BYTES =>
        {
            Ok(data)
        }
        Sgl::InCapsule { offset: 0, .. } => Err(Status::SGL_LENGTH),
        Sgl::InCapsule { .. } => Err(Status::SGL_OFFSET),
        Sgl::Transport { .. } | Sgl::Other(_) => Err(Status::SGL_TYPE),
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
