//! Receives the body of a request and enforces a minimum rate.

use std::future::pending;
use std::sync::Arc;
use std::time::Duration;

use bytes::{Bytes, BytesMut};
use http_body_util::BodyExt;
use hyper::body::Incoming;
use hyper::StatusCode;
use tokio::time::{timeout_at, Instant};

use super::connections::{Client, Phase, REQUEST_TIMEOUT};
use super::LONGEST_BODY;
use heathward_core::{BodySender, Upload, MAX_BUFFERED_BODY_BYTES};

/// The minimum rate at which a client must send a body; a client that follows the protocol sends 64 bytes per
/// ms.
const MIN_BODY_BYTES_PER_MS: u64 = 48;

/// What was read of a body before its request is decoded.
pub(super) enum Buffered {
    /// All of it.
    Complete(Bytes),
    /// More than is held of one body; the rest is still to come.
    Beginning(Bytes),
}

/// The body of a request that is being received.
pub(super) struct RequestBody {
    body: Incoming,
    /// When its request began, less the time for which a node did not accept it.
    since: Instant,
    size: u64,
    client: Arc<Client>,
}

impl RequestBody {
    /// The body of a request that began at `since`.
    pub(super) fn new(body: Incoming, since: Instant, client: Arc<Client>) -> Self {
        Self { body, since, size: 0, client }
    }

    /// Reads on until the body is complete or too long to be held as a whole.
    pub(super) async fn buffer(&mut self) -> Result<Buffered, StatusCode> {
        let mut held = BytesMut::new();
        while let Some(piece) = self.next().await? {
            held.extend_from_slice(&piece);
            if held.len() > MAX_BUFFERED_BODY_BYTES {
                return Ok(Buffered::Beginning(held.freeze()));
            }
        }
        Ok(Buffered::Complete(held.freeze()))
    }

    /// The next piece, or why there will be none: each comes as early as a client of the slowest sort has it
    /// sent, counted from the first.
    async fn next(&mut self) -> Result<Option<Bytes>, StatusCode> {
        loop {
            let by = self.since + REQUEST_TIMEOUT + Duration::from_millis(self.size / MIN_BODY_BYTES_PER_MS);
            self.client.enter(Phase::ReceivingBody { since: self.since, by });
            match timeout_at(by, self.body.frame()).await {
                Err(_) => return Err(StatusCode::REQUEST_TIMEOUT),
                Ok(Some(Err(_))) => return Err(StatusCode::BAD_REQUEST),
                Ok(None) => return Ok(None),
                Ok(Some(Ok(frame))) => {
                    // Trailers say nothing here.
                    let Ok(piece) = frame.into_data() else { continue };
                    self.size += piece.len() as u64;
                    return if self.size > LONGEST_BODY {
                        Err(StatusCode::PAYLOAD_TOO_LARGE)
                    } else {
                        Ok(Some(piece))
                    };
                }
            }
        }
    }
}

/// Passes on what is still to come of a body, each piece within that time. What the node does not take then
/// is not its client's fault.
pub(super) async fn pass(
    mut coming: RequestBody,
    feed: BodySender,
    upload: Option<&Upload>,
    within: Duration,
) -> Result<(), StatusCode> {
    while let Some(piece) = coming.next().await? {
        coming.client.enter(Phase::ForwardingBody);
        let handed = Instant::now();
        if !timeout_at(handed + within, feed.send(piece)).await.unwrap_or(false) {
            // The answer tells why nobody takes it.
            upload.into_iter().for_each(Upload::abandon);
            return pending().await;
        }
        coming.since += handed.elapsed();
    }
    coming.client.enter(Phase::Processing);
    upload.into_iter().for_each(Upload::mark_complete);
    feed.finish().await;
    Ok(())
}
