//! The front that NVMe hosts connect to. Each connection is one queue, and each queue is served by an actor.

use std::collections::HashMap;
use std::sync::Arc;
use std::time::Duration;

use bytes::{Bytes, BytesMut};
use futures_util::future::{abortable, AbortHandle, Aborted, BoxFuture};
use futures_util::stream::{FuturesUnordered, StreamExt};
use tokio::net::{TcpListener, TcpStream};
use tokio::sync::{mpsc, oneshot, watch, Semaphore};
use tokio::time::{sleep_until, timeout_at, Instant};
use tower::Service;

use super::command::{BlockRange, Body, Command, Completion, Connect, ConnectData, Sgl, Status};
use super::identify::{self, CAP, CC, CSTS, IN_CAPSULE, VS};
use super::pdu::{FatalError, Pdu, MAX_DATA_BYTES};
use super::subsystem::{lock, AbortOne, Controller, Subsystem};
use super::wire::{PduStream, StreamError};
use heathward_core::{Answer, ClientRequest, NodeReply};

/// A host has so long to open a queue, and to take in why its connection ends.
const HANDSHAKE: Duration = Duration::from_secs(5);
/// A pause after a connection could not be accepted.
const ACCEPT_PAUSE: Duration = Duration::from_millis(10);
/// Aborts that wait for a queue at most.
const MAILBOX: usize = 16;
/// Any controller will do, says a host.
const ANY: u16 = 0xffff;

/// Accepts connections, at most `max_connections` at a time, until the task is dropped. Once `stopping` turns
/// true, queues are closed as soon as no command is open on them.
pub async fn serve(
    listener: TcpListener,
    subsystem: Arc<Subsystem>,
    most: usize,
    stopping: watch::Receiver<bool>,
) {
    let room = Arc::new(Semaphore::new(most));
    loop {
        let Ok(permit) = room.clone().acquire_owned().await else { return };
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
        role: Role::New { initialised: false, by: Instant::now() + HANDSHAKE },
        size: 1,
        head: 0,
        mailbox: None,
        open: HashMap::new(),
        running: FuturesUnordered::new(),
        transfers: HashMap::new(),
        aborts: FuturesUnordered::new(),
    };
    if let Err(StreamError::Fatal(fatal)) = queue.run(&mut stopping).await {
        // Open commands are cancelled with their queue; the host receives the error.
        queue.subsystem.core.count_malformed_request();
        queue.running.clear();
        let _ = timeout_at(Instant::now() + HANDSHAKE, queue.wire.terminate(fatal)).await;
    }
}

/// The role of a queue.
enum Role {
    /// Until it has connected, which must be by then.
    New { initialised: bool, by: Instant },
    /// The admin queue; a host that has said nothing by then is gone.
    Admin { controller: Arc<Controller>, keep_alive: Duration, alive_by: Option<Instant> },
    /// An I/O queue.
    Io { controller: Arc<Controller>, queue: u16 },
}

/// A write whose data is still being received.
struct Transfer {
    blocks: BlockRange,
    data: BytesMut,
    size: usize,
}

/// A read or a write that was answered by the core or aborted.
struct Finished {
    cid: u16,
    /// For a read, the bytes that it asks for.
    read: Option<usize>,
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
    /// Aborts from the admin queue; ends with the controller.
    mailbox: Option<mpsc::Receiver<AbortOne>>,
    /// Open reads and writes; one whose data is still to come has no handle yet.
    open: HashMap<u16, Option<AbortHandle>>,
    running: FuturesUnordered<BoxFuture<'static, Finished>>,
    /// By command, which also names the transfer.
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
                controller.ended.notify_one();
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
            if *stopping.borrow_and_update() && self.done() {
                return Ok(());
            }
            let (by, others) = match &self.role {
                Role::New { by, .. } => (Some(*by), None),
                Role::Admin { alive_by, controller, .. } => (*alive_by, Some(controller.clone())),
                Role::Io { .. } => (None, None),
            };
            tokio::select! {
                biased;
                Some(finished) = self.running.next(), if !self.running.is_empty() => {
                    self.finish(finished).await?;
                }
                Some((cid, ended)) = self.aborts.next(), if !self.aborts.is_empty() => {
                    self.complete(cid, u64::from(!ended), Status::SUCCESS).await?;
                }
                abort = receive(&mut self.mailbox) => match abort {
                    Some((cid, reply)) => self.abort(cid, reply).await?,
                    // The controller has ended or was disabled.
                    None => return Ok(()),
                },
                pdu = self.wire.next() => self.take(pdu?).await?,
                () = sleep_until(by.unwrap_or_else(Instant::now)), if by.is_some() => return Ok(()),
                () = another_ended(others.as_deref()) => {}
                changed = stopping.changed() => changed.map_err(|_| StreamError::Closed)?,
            }
        }
    }

    /// Nothing is open on it; for an admin queue, on the whole controller.
    fn done(&self) -> bool {
        match &self.role {
            Role::Admin { controller, .. } => lock(&controller.state).queues.is_empty(),
            _ => self.open.is_empty(),
        }
    }

    async fn take(&mut self, pdu: Pdu) -> Result<(), StreamError> {
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
                self.wire.align(hpda);
                let max_h2c = MAX_DATA_BYTES as u32;
                Ok(self.wire.send(&[Pdu::IcResp { pfv: 0, cpda: 0, digests: 0, max_h2c }]).await?)
            }
            (Role::New { initialised: false, .. }, _) => Err(StreamError::Fatal(FatalError::SEQUENCE)),
            (_, Pdu::Capsule { command, data }) => self.command(command, &data).await,
            (_, Pdu::H2cData { cid, ttag, offset, last, data }) => {
                self.data(cid, ttag, offset, last, &data).await
            }
            // The host terminates the connection because of an error on this side.
            (_, Pdu::TermReq { by_host: true, .. }) => Err(StreamError::Closed),
            _ => Err(StreamError::Fatal(FatalError::SEQUENCE)),
        }
    }

    async fn complete(&mut self, cid: u16, result: u64, status: Status) -> Result<(), StreamError> {
        let completion = Completion { result, head: self.head, cid, status };
        Ok(self.wire.send(&[Pdu::Response(completion)]).await?)
    }
    /// Sends the completion of a command.

    /// Sends data to the host and completes the command.
    async fn give(&mut self, cid: u16, data: Bytes) -> Result<(), StreamError> {
        let completion = Completion { result: 0, head: self.head, cid, status: Status::SUCCESS };
        let data = Pdu::C2hData { cid, offset: 0, last: true, data };
        Ok(self.wire.send(&[data, Pdu::Response(completion)]).await?)
    }

    async fn command(&mut self, command: Command, data: &Bytes) -> Result<(), StreamError> {
        self.head = (self.head + 1) % self.size;
        if let Role::Admin { keep_alive, alive_by, .. } = &mut self.role {
            *alive_by = alive_by.map(|_| Instant::now() + *keep_alive);
        }
        let cid = command.cid;
        let ended = if self.open.contains_key(&cid) {
            Err(Status::CID_CONFLICT)
        } else if !command.sound {
            Err(Status::INVALID_FIELD)
        } else {
            match &self.role {
                Role::New { .. } => self.connect(&command, data),
                Role::Admin { controller, .. } => {
                    let controller = controller.clone();
                    return self.admin(&controller, &command).await;
                }
                Role::Io { .. } => return self.io(&command, data).await,
            }
        };
        match ended {
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
        let names = ConnectData::decode(in_capsule(command.sgl, data)?).ok_or(Status::SGL_LENGTH)?;
        let map = &self.subsystem.map;
        if names.subsystem != map.subsystem || size == 0 || size >= map.depth {
            return Err(Status::CONNECT_PARAMETER);
        }
        let (id, role) = if queue == 0 {
            if names.controller != ANY {
                return Err(Status::CONNECT_PARAMETER);
            }
            let controller = self.subsystem.controller(names.host);
            let controller = controller.ok_or(Status::CONNECT_BUSY)?;
            let keep_alive = Duration::from_millis(keep_alive.into());
            let alive_by = (!keep_alive.is_zero()).then(|| Instant::now() + keep_alive);
            (controller.id, Role::Admin { controller, keep_alive, alive_by })
        } else {
            let controller = lock(&self.subsystem.controllers).get(&names.controller).cloned();
            let controller = controller.filter(|c| c.host == names.host && queue <= map.queues);
            let controller = controller.ok_or(Status::CONNECT_PARAMETER)?;
            let mut state = lock(&controller.state);
            if state.configuration & 1 == 0 || state.queues.contains_key(&queue) {
                return Err(Status::SEQUENCE);
            }
            let (way, mailbox) = mpsc::channel(MAILBOX);
            state.queues.insert(queue, way);
            self.mailbox = Some(mailbox);
            drop(state);
            (controller.id, Role::Io { controller, queue })
        };
        self.role = role;
        self.size = size + 1;
        Ok(u64::from(id))
    }

    async fn admin(&mut self, controller: &Controller, command: &Command) -> Result<(), StreamError> {
        let (map, cid) = (self.subsystem.map.clone(), command.cid);
        let ended = match command.body {
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
                    1 => Ok(identify::controller(&map, controller.id, self.subsystem.delays())),
                    2 if nsid < 0xffff_fffe => Ok(identify::active(&map, nsid)),
                    2 => Err(Status::INVALID_NAMESPACE),
                    _ => Err(Status::INVALID_FIELD),
                };
                match page {
                    Ok(page) if command.sgl.length() as usize == page.len() => {
                        return self.give(cid, page).await;
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
            Body::Abort { .. } if self.aborts.len() >= identify::ABORTS => Err(Status::ABORT_LIMIT),
            Body::Abort { queue, cid: victim } => {
                // Commands of the admin queue are over by the time that an abort of them comes.
                let way = lock(&controller.state).queues.get(&queue).cloned();
                self.aborts.push(Box::pin(async move {
                    let (reply, ended) = oneshot::channel();
                    let asked = match way {
                        Some(way) => way.send((victim, reply)).await.is_ok(),
                        None => false,
                    };
                    (cid, asked && ended.await.unwrap_or(false))
                }));
                return Ok(());
            }
            Body::Connect(_) => Err(Status::SEQUENCE),
            Body::Read(_) | Body::Write(_) | Body::OtherFabrics(_) | Body::Other(_) => {
                Err(Status::INVALID_OPCODE)
            }
        };
        match ended {
            Ok(result) => self.complete(cid, result, Status::SUCCESS).await,
            Err(status) => self.complete(cid, 0, status).await,
        }
    }

    async fn io(&mut self, command: &Command, data: &Bytes) -> Result<(), StreamError> {
        let cid = command.cid;
        let checked = match command.body {
            Body::Read(blocks) | Body::Write(blocks) => self.subsystem.check(blocks),
            Body::Connect(_) => Err(Status::SEQUENCE),
            _ => Err(Status::INVALID_OPCODE),
        };
        // Limits memory: a host that respects the size of its queue never has this many commands open.
        if self.open.len() >= usize::from(self.size) {
            return Err(StreamError::Fatal(FatalError::SEQUENCE));
        }
        let begun = match (command.body, command.sgl, checked) {
            (_, _, Err(status)) => Err(status),
            (_, sgl, Ok(size)) if sgl.length() as usize != size => match sgl {
                Sgl::Other(_) => Err(Status::SGL_TYPE),
                _ => Err(Status::SGL_LENGTH),
            },
            (Body::Read(blocks), Sgl::Transport { .. }, Ok(size)) => {
                self.subsystem.call(false, blocks, Bytes::new()).map(|call| self.begin(cid, Some(size), call))
            }
            (Body::Read(_), ..) => Err(Status::SGL_TYPE),
            (Body::Write(blocks), sgl @ Sgl::InCapsule { .. }, Ok(_)) => in_capsule(sgl, data)
                .and_then(|data| self.subsystem.call(true, blocks, Bytes::copy_from_slice(data)))
                .map(|call| self.begin(cid, None, call)),
            (Body::Write(blocks), _, Ok(size)) => {
                self.open.insert(cid, None);
                self.transfers.insert(cid, Transfer { blocks, data: BytesMut::new(), size });
                let ask = Pdu::R2t { cid, ttag: cid, offset: 0, length: size as u32 };
                return Ok(self.wire.send(&[ask]).await?);
            }
            _ => Err(Status::INVALID_OPCODE),
        };
        match begun {
            Ok(()) => Ok(()),
            Err(status) => {
                self.subsystem.core.count_malformed_request();
                self.complete(cid, 0, status).await
            }
        }
    }

    /// Data of a write. It comes in order, as a host is given one transfer for each command.
    async fn data(
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
        let end = transfer.data.len() + data.len();
        if offset as usize != transfer.data.len() || end > transfer.size || last != (end == transfer.size) {
            return Err(StreamError::Fatal(FatalError::RANGE));
        }
        transfer.data.extend_from_slice(data);
        if !last {
            return Ok(());
        }
        let Some(Transfer { blocks, data, .. }) = self.transfers.remove(&cid) else { return Ok(()) };
        if !self.open.contains_key(&cid) {
            // The write was aborted and completed while its data was being received.
            return Ok(());
        }
        match self.subsystem.call(true, blocks, data.freeze()) {
            Ok(call) => {
                self.begin(cid, None, call);
                Ok(())
            }
            Err(status) => {
                self.open.remove(&cid);
                self.complete(cid, 0, status).await
            }
        }
    }

    fn begin(&mut self, cid: u16, read: Option<usize>, call: ClientRequest) {
        let (answer, handle) = abortable(self.subsystem.core.clone().call(call));
        self.open.insert(cid, Some(handle));
        self.running.push(Box::pin(async move {
            // A core that has stopped promises nothing.
            let failed = Answer::Failed { possibly_executed: true, deadline_passed: false };
            let answer = match answer.await {
                Ok(Ok(Answer::Served(reply))) => match reply.collect(MAX_DATA_BYTES).await {
                    Some(body) => Ok(Answer::Served(NodeReply::Buffered(body))),
                    None => Ok(failed),
                },
                other => other.map(|a| a.unwrap_or(failed)),
            };
            Finished { cid, read, answer }
        }));
    }

    async fn finish(&mut self, Finished { cid, read, answer }: Finished) -> Result<(), StreamError> {
        self.open.remove(&cid);
        match (read, &answer) {
            (Some(size), Ok(Answer::Served(NodeReply::Buffered(body)))) => {
                let mut data = BytesMut::from(&body[..body.len().min(size)]);
                // Data that was never written reads as zeros.
                data.resize(size, 0);
                self.give(cid, data.freeze()).await
            }
            _ => {
                let status = self.subsystem.status(read.is_none(), &answer);
                self.complete(cid, 0, status).await
            }
        }
    }

    async fn abort(&mut self, cid: u16, reply: oneshot::Sender<bool>) -> Result<(), StreamError> {
        let found = self.open.get(&cid).cloned();
        // The admin queue may have ended meanwhile.
        let _ = reply.send(found.is_some());
        match found {
            Some(Some(running)) => running.abort(),
            Some(None) => {
                self.open.remove(&cid);
                return self.complete(cid, 0, Status::ABORTED).await;
            }
            None => {}
    /// Aborts a command and replies whether it was open.
        }
        Ok(())
    }
}

/// The data of a command that brings it in its capsule.
fn in_capsule(sgl: Sgl, data: &Bytes) -> Result<&[u8], Status> {
    match sgl {
        Sgl::InCapsule { offset: 0, length } if length as usize == data.len() && data.len() <= IN_CAPSULE => {
            Ok(data)
        }
        Sgl::InCapsule { offset: 0, .. } => Err(Status::SGL_LENGTH),
        Sgl::InCapsule { .. } => Err(Status::SGL_OFFSET),
        Sgl::Transport { .. } | Sgl::Other(_) => Err(Status::SGL_TYPE),
    }
}

async fn receive(mailbox: &mut Option<mpsc::Receiver<AbortOne>>) -> Option<AbortOne> {
    match mailbox {
        Some(mailbox) => mailbox.recv().await,
        None => std::future::pending().await,
    }
}

async fn another_ended(controller: Option<&Controller>) {
    match controller {
        Some(controller) => controller.ended.notified().await,
        None => std::future::pending().await,
    }
}
