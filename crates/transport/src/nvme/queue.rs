//! The state of one queue of the NVMe front, and the completions that it sends.

use std::collections::{HashMap, VecDeque};
use std::sync::Arc;
use std::time::Duration;

use bytes::Bytes;
use futures_util::future::{AbortHandle, Aborted, BoxFuture};
use futures_util::stream::FuturesUnordered;
use tokio::sync::mpsc;
use tokio::time::Instant;

use super::command::{BlockRange, Completion, Status};
use super::pdu::Pdu;
use super::pdu_stream::{PduStream, StreamError};
use super::received_data::ReceivedData;
use super::subsystem::{lock, AbortRequest, Controller, Subsystem};
use heathward_core::memory::Reservation;
use heathward_core::Answer;

/// The role of a queue.
pub(super) enum Role {
    /// A queue that is not connected yet; it must be connected by the deadline.
    New { initialised: bool, deadline: Instant },
    /// An admin queue; it ends if the host sends no command by the keep-alive deadline.
    Admin { controller: Arc<Controller>, keep_alive: Duration, keep_alive_deadline: Option<Instant> },
    /// An I/O queue.
    Io { controller: Arc<Controller>, queue: u16 },
}

/// A write whose data is still being received.
pub(super) struct Transfer {
    pub(super) blocks: BlockRange,
    pub(super) data: ReceivedData,
}

/// A write whose data was not requested yet, as there was no memory for it.
pub(super) struct PendingWrite {
    pub(super) cid: u16,
    pub(super) blocks: BlockRange,
    /// Size of the data, in bytes.
    pub(super) size: usize,
}

/// A read or a write that was answered by the core or aborted.
pub(super) struct Finished {
    pub(super) cid: u16,
    pub(super) is_write: bool,
    pub(super) answer: Result<Answer, Aborted>,
}

/// The actor of a queue.
pub(super) struct Queue {
    pub(super) subsystem: Arc<Subsystem>,
    pub(super) wire: PduStream,
    pub(super) role: Role,
    /// Number of entries.
    pub(super) size: u16,
    /// Submission queue head: index of the next entry to read.
    pub(super) head: u16,
    /// Abort requests from the admin queue; closed when the controller ends or is disabled.
    pub(super) mailbox: Option<mpsc::Receiver<AbortRequest>>,
    /// Open reads and writes, by command id; a write whose data is still being received has no handle yet.
    pub(super) open: HashMap<u16, Option<AbortHandle>>,
    /// Requests that the core is processing.
    pub(super) in_flight: FuturesUnordered<BoxFuture<'static, Finished>>,
    /// Writes whose data is still to be requested, in the order of their commands; at most the size of the
    /// queue.
    pub(super) pending_writes: VecDeque<PendingWrite>,
    /// Resolves to the memory for the first of them.
    pub(super) awaited_memory: Option<BoxFuture<'static, Reservation>>,
    /// Writes whose data is being received, by command id, which is also the transfer tag.
    pub(super) transfers: HashMap<u16, Transfer>,
    /// Abort commands that I/O queues are carrying out: the id of each, and whether its command was aborted.
    pub(super) aborts: FuturesUnordered<BoxFuture<'static, (u16, bool)>>,
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
    /// Whether no command is open on the queue; for an admin queue, whether its controller has no I/O queue.
    pub(super) fn is_idle(&self) -> bool {
        match &self.role {
            Role::Admin { controller, .. } => lock(&controller.state).queues.is_empty(),
            _ => self.open.is_empty(),
        }
    }

    /// Sends the completion of a command.
    pub(super) async fn complete(
        &mut self,
        cid: u16,
        result: u64,
        status: Status,
    ) -> Result<(), StreamError> {
        let completion = Completion { result, head: self.head, cid, status };
        Ok(self.wire.send(&[Pdu::Response(completion)]).await?)
    }

    /// Sends data to the host and completes the command.
    pub(super) async fn complete_with_data(&mut self, cid: u16, data: Bytes) -> Result<(), StreamError> {
        let completion = Completion { result: 0, head: self.head, cid, status: Status::SUCCESS };
        let data = Pdu::C2hData { cid, offset: 0, last: true, data };
        Ok(self.wire.send(&[data, Pdu::Response(completion)]).await?)
    }
}
