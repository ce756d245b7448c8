//! The link to one storage node that is an NVMe target: carries out attempts on its connections.

use std::convert::Infallible;
use std::net::SocketAddr;
use std::sync::Arc;
use std::task::{Context, Poll};
use std::time::Duration;

use bytes::Bytes;
use futures_util::future::BoxFuture;
use tokio::time::{sleep_until, timeout_at, Instant};

use super::command::BlockRange;
use super::initiator::{CommandData, Completed, ExchangeError, NvmeConnection};
use super::map::NvmeMap;
use super::pdu::MAX_DATA_BYTES;
use crate::node::{Flag, LinkRequest, LinkResponse};
use heathward_core::memory::{MemoryHolder, ReservedBuffer};
use heathward_core::{Attempt, NodeRequest};
use heathward_policy::AttemptEnd;

/// The link to one NVMe target: a tower service that carries out one attempt on one association.
#[derive(Clone, Debug)]
pub struct NvmeLink {
    address: SocketAddr,
    subsystem: Arc<str>,
    map: Arc<NvmeMap>,
}

impl NvmeLink {
    /// Creates a link to a subsystem at `address`.
    pub fn new(address: SocketAddr, subsystem: &str, map: Arc<NvmeMap>) -> Self {
        Self { address, subsystem: subsystem.into(), map }
    }

    /// Returns the blocks of a request and their size in bytes, `body_bytes` being the length of a write's
    /// body; `None` if the volume is not a namespace or the range is not valid.
    fn blocks(&self, request: &NodeRequest, body_bytes: usize) -> Option<(BlockRange, usize)> {
        let block = self.map.block as usize;
        let size = match (request.is_write, request.read_length) {
            (true, _) => body_bytes,
            (false, Some(length)) => length,
            (false, None) => (request.units.saturating_mul(self.map.unit_blocks)) as usize * block,
        };
        let count = size.div_ceil(block);
        let blocks = self.map.block_range(request.volume, request.key, u32::try_from(count).ok()?)?;
        (count * block <= MAX_DATA_BYTES).then_some((blocks, count * block))
    }

    /// Returns the body of a request; one that is streamed is received first. `None` if it is too long for a
    /// command, is interrupted, or was taken by an earlier attempt.
    async fn body(&self, attempt: &Attempt) -> Option<Bytes> {
        let request = &attempt.node_request;
        let Some(upload) = &request.upload else { return Some(request.body.clone()) };
        let length = upload.content_length().unwrap_or(MAX_DATA_BYTES as u64);
        let length = usize::try_from(length).ok().filter(|bytes| *bytes <= MAX_DATA_BYTES)?;
        let reservation = attempt.memory.reserve(MemoryHolder::NvmeCommands, length).await;
        let mut body = ReservedBuffer::with_reservation(reservation);
        let mut chunks = upload.take_body()?;
        while let Some(chunk) = chunks.next().await {
            let chunk = chunk.ok()?;
            if body.len() + chunk.len() > length {
                return None;
            }
            body.append(&chunk).ok()?;
        }
        Some(body.into_bytes())
    }

    /// Waits for the memory of a command, and returns the command's blocks and data; `None` if the request is
    /// not a valid command.
    async fn prepare(&self, attempt: &Attempt) -> Option<(BlockRange, CommandData)> {
        let request = &attempt.node_request;
        let body = self.body(attempt).await?;
        let (blocks, size) = self.blocks(request, body.len())?;
        if request.is_write && body.len() == size {
            return Some((blocks, CommandData { size, write_data: body, read_memory: None }));
        }
        let memory = attempt.memory.reserve(MemoryHolder::NvmeCommands, size).await;
        if !request.is_write {
            return Some((blocks, CommandData { size, write_data: Bytes::new(), read_memory: Some(memory) }));
        }
        let mut padded = body.to_vec();
        padded.resize(size, 0);
        let write_data = memory.attach(padded.into());
        Some((blocks, CommandData { size, write_data, read_memory: None }))
    }

    /// Returns by when an attempt ends: a streamed body was received before this is called.
    fn deadline(attempt: &Attempt) -> Instant {
        let upload = attempt.node_request.upload.as_ref();
        let completion = upload.and_then(|upload| Some(upload.completed_at()? + upload.time_budget()));
        completion.map_or(attempt.deadline, |deadline| deadline.min(attempt.deadline))
    }

    /// Runs one attempt. As over HTTP, a connection on which an attempt was given up is closed before this
    /// returns.
    async fn run_attempt(self, link_request: LinkRequest<NvmeConnection>) -> LinkResponse<NvmeConnection> {
        let LinkRequest { attempt, mut idle_connection, dial_deadline } = link_request;
        let began_at = Instant::now();
        let prepared = tokio::select! {
            biased;
            () = attempt.cancel.cancelled() => None,
            () = upload_expired(&attempt) => None,
            prepared = timeout_at(attempt.deadline, self.prepare(&attempt)) => prepared.ok().flatten(),
        };
        let Some((blocks, mut data)) = prepared else {
            return LinkResponse::closed(AttemptEnd::NotSent);
        };
        let deadline = Self::deadline(&attempt);
        // The time in which a streamed body was received is not the target's.
        let receiving = attempt.node_request.upload.as_ref().map_or(Duration::ZERO, |_| began_at.elapsed());
        let connect_deadline = dial_deadline.min(attempt.connect_deadline) + receiving;
        loop {
            let reused = idle_connection.is_some();
            let mut connection = match idle_connection.take() {
                Some(connection) => connection,
                None => {
                    let connecting = NvmeConnection::open(self.address, &self.subsystem);
                    let connecting = timeout_at(connect_deadline, connecting);
                    let connected = tokio::select! {
                        biased;
                        // A cancelled attempt stops waiting for a connection and holds none.
                        () = attempt.cancel.cancelled() => return LinkResponse::closed(AttemptEnd::NotSent),
                        connected = connecting => connected,
                    };
                    match connected {
                        Ok(Ok(connection)) => connection,
                        _ => return LinkResponse::closed(AttemptEnd::NotConnected),
                    }
                }
            };
            if reused && !connection.has_no_input().await {
                continue;
            }
            if !attempt.may_start() {
                return LinkResponse::reusable(AttemptEnd::NotSent, Bytes::new(), connection);
            }
            let receiving_long_reply = Flag::default();
            let exchange = connection.exchange(&attempt, blocks, &mut data, &receiving_long_reply);
            let expired = async {
                sleep_until(deadline).await;
                // As over HTTP, a reply that is being received may take for as long as its client waits.
                if receiving_long_reply.is_set() {
                    sleep_until(attempt.client_deadline).await;
                }
            };
            let result = tokio::select! {
                biased;
                completed = exchange => Ok(completed),
                () = expired => Err(()),
            };
            return match result {
                Ok(Ok(Completed { end, data })) => LinkResponse::reusable(end, data, connection),
                // The attempt was cancelled before the command was written completely.
                Ok(Err(ExchangeError::NotWritten)) if attempt.cancel.is_cancelled() => {
                    LinkResponse::closed(AttemptEnd::NotSent)
                }
                // The command was not written completely on a reused connection: the same attempt goes on
                // with another one.
                Ok(Err(ExchangeError::NotWritten)) if reused => continue,
                Ok(Err(ExchangeError::NotWritten)) => LinkResponse::closed(AttemptEnd::NotConnected),
                // As over HTTP: the command may have been executed, and the target is up.
                Ok(Err(ExchangeError::InvalidAnswer)) => LinkResponse::closed(AttemptEnd::Error),
                Ok(Err(ExchangeError::ConnectionLost)) => LinkResponse::closed(AttemptEnd::Reset),
                Err(()) => LinkResponse::closed(AttemptEnd::TimedOut),
            };
        }
    }
}

/// Returns once the time of a streamed body is over, or it was abandoned. Never returns without one.
async fn upload_expired(attempt: &Attempt) {
    match &attempt.node_request.upload {
        Some(upload) => upload.expired().await,
        None => std::future::pending().await,
    }
}

impl tower::Service<LinkRequest<NvmeConnection>> for NvmeLink {
    type Response = LinkResponse<NvmeConnection>;
    type Error = Infallible;
    type Future = BoxFuture<'static, Result<Self::Response, Infallible>>;

    fn poll_ready(&mut self, _: &mut Context<'_>) -> Poll<Result<(), Infallible>> {
        Poll::Ready(Ok(()))
    }

    fn call(&mut self, request: LinkRequest<NvmeConnection>) -> Self::Future {
        let link = self.clone();
        Box::pin(async move { Ok(link.run_attempt(request).await) })
    }
}
