//! The commands of an I/O queue: reads and writes, and the requests to the core that they become.

use bytes::Bytes;
use futures_util::future::abortable;
use tokio::sync::oneshot;
use tower::Service;

use super::command::{BlockRange, Body, Command, Sgl, Status};
use super::identify::MAX_IN_CAPSULE_BYTES;
use super::pdu::{FatalError, Pdu, MAX_DATA_BYTES};
use super::pdu_stream::StreamError;
use super::queue::{Finished, PendingWrite, Queue, Transfer};
use super::received_data::ReceivedData;
use heathward_core::memory::{MemoryHolder, Priority, Reservation};
use heathward_core::{Answer, ClientRequest, NodeReply};

impl Queue {
    /// Handles a command: a read or a write becomes a request to the core, any other is completed at once.
    ///
    /// # Errors
    /// The connection has failed, or the host has more commands open than its queue holds.
    pub(super) async fn handle_io_command(
        &mut self,
        command: &Command,
        data: &Bytes,
    ) -> Result<(), StreamError> {
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
            (Body::Read(blocks), Sgl::Transport { .. }, Ok(_)) => self
                .subsystem
                .request(false, blocks, Bytes::new())
                .map(|request| self.start_request(cid, request)),
            (Body::Read(_), ..) => Err(Status::SGL_TYPE),
            (Body::Write(blocks), sgl @ Sgl::InCapsule { .. }, Ok(_)) => match in_capsule_data(sgl, data) {
                Ok(data) => return self.start_write_in_capsule(cid, blocks, data).await,
                Err(status) => Err(status),
            },
            (Body::Write(blocks), _, Ok(size)) => {
                self.open.insert(cid, None);
                self.pending_writes.push_back(PendingWrite { cid, blocks, size });
                return self.request_data().await;
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

    /// Passes a write whose data came with its command to the core, or interrupts it if there is no memory
    /// for its data: the host has sent it unasked, and may send it again.
    async fn start_write_in_capsule(
        &mut self,
        cid: u16,
        blocks: BlockRange,
        data: &[u8],
    ) -> Result<(), StreamError> {
        let memory = self.subsystem.core.memory();
        let reserved = memory.try_reserve(MemoryHolder::NvmeCommands, data.len(), Priority::Required);
        let Some(reservation) = reserved else {
            let shed = Ok(Answer::Shed { retry_after: None });
            return self.complete(cid, 0, self.subsystem.status(true, &shed)).await;
        };
        let data = reservation.attach(Bytes::copy_from_slice(data));
        self.start_write(cid, blocks, data).await
    }

    /// Passes a write to the core, or completes it if the namespace does not exist any more.
    async fn start_write(&mut self, cid: u16, blocks: BlockRange, data: Bytes) -> Result<(), StreamError> {
        match self.subsystem.request(true, blocks, data) {
            Ok(request) => {
                self.start_request(cid, request);
                Ok(())
            }
            Err(status) => {
                self.open.remove(&cid);
                self.subsystem.core.count_malformed_request();
                self.complete(cid, 0, status).await
            }
        }
    }

    /// Requests the data of writes, in the order of their commands, while there is plenty of memory. The
    /// first one waits for memory, so that each queue makes progress; a host that sends no data holds no more
    /// than the others leave.
    pub(super) async fn request_data(&mut self) -> Result<(), StreamError> {
        while let Some(write) = self.pending_writes.front() {
            let (memory, size) = (self.subsystem.core.memory(), write.size);
            if self.transfers.is_empty() {
                let memory = memory.clone();
                self.awaited_memory.get_or_insert_with(|| {
                    Box::pin(async move { memory.reserve(MemoryHolder::NvmeCommands, size).await })
                });
                return Ok(());
            }
            let reserved = memory.try_reserve(MemoryHolder::NvmeCommands, size, Priority::Optional);
            let Some(reservation) = reserved else { return Ok(()) };
            self.request_data_of_next(reservation).await?;
        }
        Ok(())
    }

    /// Requests the data of the next write, for which memory is reserved.
    pub(super) async fn request_data_of_next(&mut self, reservation: Reservation) -> Result<(), StreamError> {
        self.awaited_memory = None;
        let Some(PendingWrite { cid, blocks, size }) = self.pending_writes.pop_front() else { return Ok(()) };
        let data = ReceivedData::new(size, Some(reservation));
        self.transfers.insert(cid, Transfer { blocks, data });
        let r2t = Pdu::R2t { cid, ttag: cid, offset: 0, length: size as u32 };
        Ok(self.wire.send(&[r2t]).await?)
    }

    /// Receives data of a write. It arrives in order, as there is one transfer for each command.
    pub(super) async fn receive_data(
        &mut self,
        cid: u16,
        ttag: u16,
        offset: u32,
        last: bool,
        data: Bytes,
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
        self.start_write(cid, blocks, data).await
    }

    /// Passes a read or a write to the core.
    fn start_request(&mut self, cid: u16, request: ClientRequest) {
        let node_request = request.node_request.clone();
        let (answer, handle) = abortable(self.subsystem.core.clone().call(request));
        self.open.insert(cid, Some(handle));
        self.in_flight.push(Box::pin(async move {
            // If the core has stopped, or a streamed reply is interrupted or does not have the length of the
            // read, nothing is known about the effect of the request.
            let failed = Answer::Failed { possibly_executed: true, deadline_passed: false };
            let answer = match answer.await {
                Ok(Ok(Answer::Served(reply))) => {
                    let reply = reply.collect(MAX_DATA_BYTES).await.map(NodeReply::Buffered);
                    let reply = reply.filter(|reply| node_request.accepts(reply));
                    Ok(reply.map_or(failed, Answer::Served))
                }
                other => other.map(|result| result.unwrap_or(failed)),
            };
            Finished { cid, is_write: node_request.is_write, answer }
        }));
    }

    /// Completes a command whose request has finished.
    pub(super) async fn finish(
        &mut self,
        Finished { cid, is_write, answer }: Finished,
    ) -> Result<(), StreamError> {
        self.open.remove(&cid);
        match &answer {
            Ok(Answer::Served(NodeReply::Buffered(body))) if !is_write => {
                self.complete_with_data(cid, body.clone()).await
            }
            _ => {
                let status = self.subsystem.status(is_write, &answer);
                self.complete(cid, 0, status).await
            }
        }
    }

    /// Aborts a command and replies whether it was open.
    pub(super) async fn abort(&mut self, cid: u16, reply: oneshot::Sender<bool>) -> Result<(), StreamError> {
        let found = self.open.get(&cid).cloned();
        // The admin queue may have ended meanwhile.
        let _ = reply.send(found.is_some());
        match found {
            Some(Some(handle)) => handle.abort(),
            Some(None) => {
                self.open.remove(&cid);
                self.remove_pending_write(cid);
                return self.complete(cid, 0, Status::ABORTED).await;
            }
            None => {}
        }
        Ok(())
    }
}

impl Queue {
    /// Removes a write whose data was not requested yet.
    fn remove_pending_write(&mut self, cid: u16) {
        if self.pending_writes.front().is_some_and(|write| write.cid == cid) {
            // The memory was for this one.
            self.awaited_memory = None;
        }
        self.pending_writes.retain(|write| write.cid != cid);
    }
}

/// Returns the data of a command that has to be in its capsule.
///
/// # Errors
/// The status of a command whose descriptor does not match the data.
pub(super) fn in_capsule_data(sgl: Sgl, data: &Bytes) -> Result<&[u8], Status> {
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
