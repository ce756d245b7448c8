//! The link to one storage node that is an NVMe target: carries out attempts on its connections.

use std::convert::Infallible;
use std::net::SocketAddr;
use std::sync::Arc;
use std::task::{Context, Poll};

use bytes::{Bytes, BytesMut};
use futures_util::future::BoxFuture;
use tokio::time::timeout_at;

use super::command::BlockRange;
use super::initiator::{Completed, ExchangeError, NvmeConnection};
use super::map::NvmeMap;
use super::pdu::MAX_DATA_BYTES;
use crate::node::{LinkRequest, LinkResponse};
use heathward_core::NodeRequest;
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

    /// Returns the blocks of a request and their size in bytes; `None` if the volume is not a namespace or
    /// the range is not valid.
    fn blocks(&self, request: &NodeRequest) -> Option<(BlockRange, usize)> {
        let block = self.map.block as usize;
        let size = match (request.is_write, request.read_length) {
            (true, _) => request.body.len(),
            (false, Some(length)) => length,
            (false, None) => (request.units.saturating_mul(self.map.unit_blocks)) as usize * block,
        };
        let count = size.div_ceil(block);
        let blocks = self.map.block_range(request.volume, request.key, u32::try_from(count).ok()?)?;
        (count * block <= MAX_DATA_BYTES).then_some((blocks, count * block))
    }

    /// Runs one attempt. As over HTTP, a connection on which an attempt was given up is closed before this
    /// returns.
    async fn run_attempt(self, link_request: LinkRequest<NvmeConnection>) -> LinkResponse<NvmeConnection> {
        let LinkRequest { attempt, mut idle_connection, dial_deadline } = link_request;
        let (request, deadline) = (&attempt.node_request, attempt.deadline);
        let Some((blocks, size)) = self.blocks(request) else {
            return LinkResponse::closed(AttemptEnd::NotSent);
        };
        let mut data = BytesMut::from(&*request.body);
        if request.is_write {
            data.resize(size, 0);
        }
        let data = data.freeze();
        loop {
            let reused = idle_connection.is_some();
            let mut connection = match idle_connection.take() {
                Some(connection) => connection,
                None => {
                    let connecting = NvmeConnection::open(self.address, &self.subsystem);
                    let connecting = timeout_at(dial_deadline.min(attempt.connect_deadline), connecting);
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
            let exchange = connection.exchange(&attempt, blocks, data.clone(), size);
            return match timeout_at(deadline, exchange).await {
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
                Err(_) => LinkResponse::closed(AttemptEnd::TimedOut),
            };
        }
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
