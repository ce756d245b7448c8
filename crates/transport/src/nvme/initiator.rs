//! Connections to storage nodes that are NVMe targets: carry out attempts as commands on I/O queues.

use std::net::SocketAddr;
use std::task::{Context, Poll};
use std::time::Duration;

use bytes::Bytes;
use tokio::time::{sleep_until, Instant};

use super::command::{BlockRange, Body, Command, Completion, Connect, ConnectData, Sgl, Status};
use super::identify::{CC, CSTS};
use super::pdu::{Pdu, MAX_DATA_BYTES};
use super::pdu_stream::{PduStream, StreamError};
use super::received_data::ReceivedData;
use crate::node::{outlasts_attempt, Connection, Flag};
use crate::socket_buffers;
use heathward_core::memory::Reservation;
use heathward_core::Attempt;
use heathward_policy::AttemptEnd;

/// Number of entries of a queue, minus 1; a queue carries one command at a time.
const QUEUE_SIZE: u16 = 1;
/// The interval at which the status of a controller is polled until it is ready.
const READY_POLL_INTERVAL: Duration = Duration::from_millis(5);
/// Controller configuration: enabled, with queue entries of 64 and 16 bytes.
const ENABLED_CONFIGURATION: u64 = 4 << 20 | 6 << 16 | 1;
/// Size of the data structure that Identify returns, in bytes.
const PAGE_BYTES: u32 = 4096;
/// Offset of the capsule size, in units of 16 bytes, in the Identify Controller data structure.
const CAPSULE_SIZE_OFFSET: usize = 1792;

/// An association with a target, with an admin queue and one I/O queue; both are closed when it is dropped.
pub struct NvmeConnection {
    admin: PduStream,
    io: PduStream,
    /// The most data in a capsule, in bytes.
    max_in_capsule: usize,
    /// The most data in one H2CData, in bytes.
    max_h2c: usize,
    /// Id of the last command on the I/O queue.
    cid: u16,
}

impl Connection for NvmeConnection {
    const SOCKETS: usize = 2;

    fn poll_closed(&mut self, cx: &mut Context<'_>) -> Poll<()> {
        match self.io.poll_unexpected_input(cx) {
            Poll::Pending => self.admin.poll_unexpected_input(cx),
            ready => ready,
        }
    }
}

/// The data of a command, and the memory for it.
pub(super) struct CommandData {
    /// The size of the blocks that are read or written, in bytes.
    pub(super) size: usize,
    /// The data of a write, of that size; empty for a read.
    pub(super) write_data: Bytes,
    /// The memory for the data of a read.
    pub(super) read_memory: Option<Reservation>,
}

/// Why a command has no completion that can be trusted.
pub(super) enum ExchangeError {
    /// The command was not written completely, so the target can't have executed it.
    NotWritten,
    /// The connection was lost after the command was written; the target may have executed it.
    ConnectionLost,
    /// The target's answer is not valid; the target is up and may have executed the command.
    InvalidAnswer,
}

/// The completion of a command.
pub(super) struct Completed {
    /// How the attempt ended.
    pub(super) end: AttemptEnd,
    /// The complete data of a read that was served; empty otherwise.
    pub(super) data: Bytes,
}

/// A read or a write that was sent and has no completion yet.
struct OpenCommand {
    cid: u16,
    /// The data of a write; empty for a read.
    write_data: Bytes,
    /// How many bytes of the write's data were sent in data PDUs.
    sent_bytes: usize,
    /// Whether the last byte of the command was written.
    is_written: bool,
    /// The data of a read; for a write it has no bytes.
    read_data: ReceivedData,
}

impl OpenCommand {
    /// Returns `error` if the command was written completely, else [`ExchangeError::NotWritten`].
    fn failed(&self, error: ExchangeError) -> ExchangeError {
        if self.is_written {
            error
        } else {
            ExchangeError::NotWritten
        }
    }

    /// Completes the command.
    ///
    /// # Errors
    /// The target reports success for a read but has not sent all of its data.
    fn complete(self, status: Status) -> Result<Completed, ExchangeError> {
        let end = attempt_end(status);
        if end != AttemptEnd::Served {
            return Ok(Completed { end, data: Bytes::new() });
        }
        let data = self.read_data.into_complete().ok_or(ExchangeError::InvalidAnswer)?;
        Ok(Completed { end, data })
    }
}

impl NvmeConnection {
    /// Connects both queues to a subsystem at `address`.
    ///
    /// # Errors
    /// The target could not be reached, or a step of the setup failed.
    pub(super) async fn open(address: SocketAddr, subsystem: &str) -> Result<Self, StreamError> {
        let host = format!("nqn.2014-08.org.nvmexpress:uuid:heathward-{}", std::process::id());
        let names =
            |controller| ConnectData { controller, subsystem: subsystem.to_owned(), host: host.clone() };
        let (mut admin, _) = open_queue(address).await?;
        let id = connect(&mut admin, 0, names(0xffff)).await?.result as u16;
        let enable = Body::PropertySet { wide: false, offset: CC, value: ENABLED_CONFIGURATION };
        execute(&mut admin, enable, Sgl::Transport { length: 0 }, Bytes::new()).await?;
        let get_status = Body::PropertyGet { wide: false, offset: CSTS };
        while execute(&mut admin, get_status, Sgl::Transport { length: 0 }, Bytes::new()).await?.0.result & 1
            == 0
        {
            sleep_until(Instant::now() + READY_POLL_INTERVAL).await;
        }
        let identify = Body::Identify { nsid: 0, cns: 1 };
        let (_, page) =
            execute(&mut admin, identify, Sgl::Transport { length: PAGE_BYTES }, Bytes::new()).await?;
        let size = page.get(CAPSULE_SIZE_OFFSET..CAPSULE_SIZE_OFFSET + 4).ok_or(StreamError::Closed)?;
        let size = u32::from_le_bytes([size[0], size[1], size[2], size[3]]) as usize;
        let request_queues = Body::SetFeatures { feature: 0x07, value: 0 };
        execute(&mut admin, request_queues, Sgl::Transport { length: 0 }, Bytes::new()).await?;
        let (mut io, max_h2c) = open_queue(address).await?;
        connect(&mut io, 1, names(id)).await?;
        let max_in_capsule = size.saturating_mul(16).saturating_sub(64).min(MAX_DATA_BYTES);
        Ok(Self { admin, io, max_in_capsule, max_h2c, cid: 0 })
    }

    /// Whether the I/O queue is open and no unexpected input has arrived on it.
    pub(super) async fn has_no_input(&mut self) -> bool {
        self.io.has_no_input().await
    }

    /// Carries out one read or write until its completion. Once the attempt is cancelled, no
    /// more of the command is written; a command that was written completely goes on to its completion.
    /// `receiving_long_reply` is set once so much of a read has been received that it may outlast its
    /// attempt.
    pub(super) async fn exchange(
        &mut self,
        attempt: &Attempt,
        blocks: BlockRange,
        data: &mut CommandData,
        receiving_long_reply: &Flag,
    ) -> Result<Completed, ExchangeError> {
        let is_write = attempt.node_request.is_write;
        let mut command = self.send_command(attempt, blocks, data).await?;
        let cid = command.cid;
        loop {
            let next = tokio::select! {
                biased;
                () = attempt.cancel.cancelled(), if !command.is_written => Err(StreamError::Closed),
                next = self.io.next_of_reply(receiving_long_reply) => next,
            };
            match next {
                Err(StreamError::Closed) => return Err(command.failed(ExchangeError::ConnectionLost)),
                Ok(Pdu::Response(completion)) if completion.cid == cid => {
                    return command.complete(completion.status);
                }
                Ok(Pdu::R2t { cid: command_id, ttag, offset, length })
                    if command_id == cid
                        && !command.is_written
                        && offset as usize == command.sent_bytes
                        && length > 0 =>
                {
                    self.send_data(attempt, &mut command, ttag, length as usize).await?;
                }
                Ok(Pdu::C2hData { cid: command_id, offset, data, .. }) if command_id == cid && !is_write => {
                    command
                        .read_data
                        .append(offset, data)
                        .map_err(|_| command.failed(ExchangeError::InvalidAnswer))?;
                    if outlasts_attempt(command.read_data.received_bytes()) {
                        receiving_long_reply.set();
                    }
                }
                _ => return Err(command.failed(ExchangeError::InvalidAnswer)),
            }
        }
    }

    /// Sends the capsule of a read or a write, with the data of a write if the capsule takes it.
    ///
    /// # Errors
    /// The connection has failed.
    async fn send_command(
        &mut self,
        attempt: &Attempt,
        blocks: BlockRange,
        command_data: &mut CommandData,
    ) -> Result<OpenCommand, ExchangeError> {
        let (size, data) = (command_data.size, command_data.write_data.clone());
        let is_write = attempt.node_request.is_write;
        self.cid = self.cid.wrapping_add(1);
        let (cid, length) = (self.cid, size as u32);
        let in_capsule = is_write && size <= self.max_in_capsule;
        let sgl = if in_capsule { Sgl::InCapsule { offset: 0, length } } else { Sgl::Transport { length } };
        let body = if is_write { Body::Write(blocks) } else { Body::Read(blocks) };
        let capsule = Pdu::Capsule {
            command: Command::new(cid, sgl, body),
            data: if in_capsule { data.clone() } else { Bytes::new() },
        };
        self.io.send(&[capsule]).await.map_err(|_| ExchangeError::NotWritten)?;
        // The target can't execute a write before all its data was sent.
        let is_written = !is_write || in_capsule;
        if is_written {
            attempt.mark_written();
        }
        let read_memory = command_data.read_memory.take();
        let read_data = ReceivedData::new(if is_write { 0 } else { size }, read_memory);
        Ok(OpenCommand { cid, write_data: data, sent_bytes: 0, is_written, read_data })
    }

    /// Sends the next `length` bytes of a write's data, which the target has requested with the tag `ttag`.
    ///
    /// # Errors
    /// The target requests more than there is, the attempt was cancelled, or the connection has failed.
    async fn send_data(
        &mut self,
        attempt: &Attempt,
        command: &mut OpenCommand,
        ttag: u16,
        length: usize,
    ) -> Result<(), ExchangeError> {
        let end = command.sent_bytes + length;
        if end > command.write_data.len() {
            return Err(command.failed(ExchangeError::InvalidAnswer));
        }
        while command.sent_bytes < end {
            if attempt.cancel.is_cancelled() {
                return Err(command.failed(ExchangeError::ConnectionLost));
            }
            let chunk_end = end.min(command.sent_bytes + self.max_h2c);
            let pdu = Pdu::H2cData {
                cid: command.cid,
                ttag,
                offset: command.sent_bytes as u32,
                last: chunk_end == end,
                data: command.write_data.slice(command.sent_bytes..chunk_end),
            };
            self.io.send(&[pdu]).await.map_err(|_| command.failed(ExchangeError::ConnectionLost))?;
            command.sent_bytes = chunk_end;
        }
        command.is_written = command.sent_bytes == command.write_data.len();
        if command.is_written {
            attempt.mark_written();
        }
        Ok(())
    }
}

/// Opens a connection for a queue; returns it with the most data that one PDU to it may carry, in bytes.
async fn open_queue(address: SocketAddr) -> Result<(PduStream, usize), StreamError> {
    let mut wire = PduStream::new(socket_buffers::connect(address).await?)?;
    wire.send(&[Pdu::IcReq { pfv: 0, hpda: 0, digests: 0, max_r2t: 0 }]).await?;
    match wire.next().await? {
        Pdu::IcResp { pfv: 0, cpda, digests: 0, max_h2c } if cpda <= 31 && max_h2c >= 4096 => {
            wire.set_alignment(cpda);
            Ok((wire, (max_h2c as usize).min(MAX_DATA_BYTES)))
        }
        _ => Err(StreamError::Closed),
    }
}

/// Connects a queue to a controller.
async fn connect(wire: &mut PduStream, queue: u16, names: ConnectData) -> Result<Completion, StreamError> {
    let body = Body::Connect(Connect { format: 0, queue, size: QUEUE_SIZE, keep_alive: 0 });
    let data = names.encode();
    let sgl = Sgl::InCapsule { offset: 0, length: data.len() as u32 };
    execute(wire, body, sgl, data).await.map(|(completion, _)| completion)
}

/// Sends a command on a queue that has no other open command, and returns its completion and data. A command
/// that does not succeed is an error, and so is one that succeeds without all of its data.
async fn execute(
    wire: &mut PduStream,
    body: Body,
    sgl: Sgl,
    data: Bytes,
) -> Result<(Completion, Bytes), StreamError> {
    let returned_bytes = match sgl {
        Sgl::Transport { length } => length as usize,
        Sgl::InCapsule { .. } | Sgl::Other(_) => 0,
    };
    wire.send(&[Pdu::Capsule { command: Command::new(0, sgl, body), data }]).await?;
    let mut returned = ReceivedData::new(returned_bytes, None);
    loop {
        match wire.next().await? {
            Pdu::C2hData { offset, data, .. } => {
                returned.append(offset, data).map_err(|_| StreamError::Closed)?;
            }
            Pdu::Response(completion) if completion.status == Status::SUCCESS => {
                let returned = returned.into_complete().ok_or(StreamError::Closed)?;
                return Ok((completion, returned));
            }
            _ => return Err(StreamError::Closed),
        }
    }
}

/// Returns how an attempt with this command status ended. A namespace that is not ready has not executed the
/// command and may do so later; with any other error the command may have been executed.
fn attempt_end(status: Status) -> AttemptEnd {
    let code = Status { retry_delay: 0, do_not_retry: false, ..status };
    match code {
        Status::SUCCESS => AttemptEnd::Served,
        Status::NOT_READY => AttemptEnd::Rejected,
        _ => AttemptEnd::Error,
    }
}
