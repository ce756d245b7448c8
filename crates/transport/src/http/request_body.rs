//! Receives the body of a request and enforces a minimum rate.

use std::future::{pending, Future};
use std::pin::pin;
use std::sync::Arc;
use std::time::Duration;

use bytes::Bytes;
use http_body_util::BodyExt;
use hyper::body::{Body, Frame, Incoming};
use hyper::StatusCode;
use tokio::time::{timeout, timeout_at, Instant};

use super::connections::{ClientConnection, Phase, REQUEST_TIMEOUT};
use super::stream::ClientStream;
use super::upload_clock::UploadClock;
use super::MAX_BODY_BYTES;
use crate::read_clock::ReadClock;
use crate::READ_BUFFER_BYTES;
use heathward_core::memory::{MemoryBudget, MemoryHolder, ReservedBuffer};
use heathward_core::{AbandonCause, BodySender, Upload, MAX_BUFFERED_BODY_BYTES};

/// The rate at which a client that follows the protocol sends a body.
const PACE_BYTES_PER_MS: u64 = 64;
/// The minimum rate at which a client must send a body.
const MIN_BODY_BYTES_PER_MS: u64 = 48;

/// Bytes that have arrived are read in less than this time.
const READ_TIME: Duration = Duration::from_millis(5);
/// How often the input is checked while a chunk waits for the node.
const INPUT_CHECK_INTERVAL: Duration = Duration::from_millis(20);

/// The part of a body that was received before its request is decoded.
pub(super) enum BufferedBody {
    /// The complete body.
    Complete(Bytes),
    /// The first part of a body that is not buffered, as it is too long or there is no memory for it; the
    /// rest is still to be received.
    Partial(Bytes),
}

/// The body of a request that is being received.
pub(super) struct RequestBody {
    body: Incoming,
    /// When the request began, moved later by the time for which chunks waited for the node, and for which
    /// the client was silent because of that.
    began_at: Instant,
    /// Since when the next chunk is waited for.
    waiting_since: Instant,
    received_bytes: u64,
    /// A chunk that was received but is not in the buffered part.
    pending_chunk: Option<Bytes>,
    client: Arc<ClientConnection>,
    read_clock: Arc<ReadClock>,
    clock: UploadClock,
}

impl RequestBody {
    /// Creates the body of a request that began at `began_at`.
    pub(super) fn new(
        body: Incoming,
        began_at: Instant,
        client: Arc<ClientConnection>,
        stream: ClientStream,
    ) -> Self {
        let read_clock = stream.read_clock();
        let clock = UploadClock::new(stream, body.size_hint().exact(), began_at);
        Self {
            body,
            began_at,
            waiting_since: began_at,
            received_bytes: 0,
            pending_chunk: None,
            client,
            read_clock,
            clock,
        }
    }

    /// Reads until the body is complete, is too long to be buffered, or there is no memory for more of it.
    ///
    /// # Errors
    /// The status of the answer to a body that is late, broken or too long.
    pub(super) async fn buffer(&mut self, memory: &MemoryBudget) -> Result<BufferedBody, StatusCode> {
        let max_bytes = MAX_BUFFERED_BODY_BYTES as u64;
        let length = self.body.size_hint().exact();
        let is_long = length.is_some_and(|bytes| bytes > max_bytes);
        let expected_bytes = length.unwrap_or(max_bytes).min(max_bytes) as usize;
        let mut buffered = ReservedBuffer::new(memory, MemoryHolder::RequestBodies, expected_bytes);
        while let Some(chunk) = self.next_chunk().await? {
            let is_too_long = buffered.len() + chunk.len() > MAX_BUFFERED_BODY_BYTES;
            if is_too_long || buffered.append(&chunk).is_err() {
                if !is_too_long && !is_long {
                    memory.count_unbuffered_body();
                }
                self.pending_chunk = Some(chunk);
                return Ok(BufferedBody::Partial(buffered.into_bytes()));
            }
        }
        Ok(BufferedBody::Complete(buffered.into_bytes()))
    }

    /// Returns the next chunk that is not in the buffered part; `None` at the end of the body.
    ///
    /// # Errors
    /// Those of [`Self::next_chunk`].
    async fn next_unbuffered_chunk(&mut self) -> Result<Option<Bytes>, StatusCode> {
        match self.pending_chunk.take() {
            Some(chunk) => Ok(Some(chunk)),
            None => self.next_chunk().await,
        }
    }

    /// Returns by when a client that sends this many bytes a millisecond, from the beginning of the request,
    /// has sent those that were received.
    fn received_at(&self, bytes_per_ms: u64) -> Instant {
        self.began_at + Duration::from_millis(self.received_bytes / bytes_per_ms)
    }

    /// Receives the next frame; `None` if it is late.
    async fn next_frame(&mut self) -> Option<Option<Result<Frame<Bytes>, hyper::Error>>> {
        let deadline = self.received_at(MIN_BODY_BYTES_PER_MS).min(self.waiting_since) + REQUEST_TIMEOUT;
        let behind_since = self.received_at(PACE_BYTES_PER_MS).min(self.waiting_since);
        let phase = |excused| Phase::ReceivingBody {
            behind_since: behind_since + excused,
            deadline: deadline + excused,
        };
        self.client.set_phase(phase(Duration::ZERO));
        let mut frame = self.body.frame();
        if let Ok(frame) = timeout(READ_TIME, &mut frame).await {
            return Some(frame);
        }
        // Everything that had arrived is read now, so it is known for how long the client was held back.
        let silent_since = Instant::now();
        let excused = self.read_clock.excused_silence();
        self.client.set_phase(phase(excused));
        let frame = timeout_at(deadline + excused, frame).await.ok();
        self.clock.record_wait();
        self.began_at += silent_since.elapsed().min(excused);
        frame
    }

    /// Receives the next chunk; `None` at the end of the body. Each chunk is due [`REQUEST_TIMEOUT`] after
    /// the one before it, or after a client that sends at the minimum rate from the beginning of the request
    /// has sent the bytes before it, whichever is earlier. A client that was held back before may be silent
    /// for as long as that in addition.
    ///
    /// # Errors
    /// The status of the answer to a chunk that is late or broken, or a body that is too long.
    async fn next_chunk(&mut self) -> Result<Option<Bytes>, StatusCode> {
        loop {
            match self.next_frame().await {
                None => return Err(StatusCode::REQUEST_TIMEOUT),
                Some(Some(Err(_))) => return Err(StatusCode::BAD_REQUEST),
                Some(None) => return Ok(None),
                Some(Some(Ok(frame))) => {
                    // Trailers are ignored.
                    let Ok(chunk) = frame.into_data() else { continue };
                    self.received_bytes += chunk.len() as u64;
                    self.waiting_since = Instant::now();
                    self.clock.check(self.received_bytes);
                    return if self.received_bytes > MAX_BODY_BYTES {
                        Err(StatusCode::PAYLOAD_TOO_LARGE)
                    } else {
                        Ok(Some(chunk))
                    };
                }
            }
        }
    }
}

/// How long a chunk may wait.
#[derive(Clone, Copy, Debug)]
struct WaitLimits {
    chunk_timeout: Duration,
    /// The client stops waiting this long after it can have written the last byte.
    time_budget: Duration,
}

/// Forwards the rest of a body, as it is received, to the node. If there is no memory for a chunk, or the
/// node does not accept it, before the client stops waiting or within `chunk_timeout`, or the receiver of the
/// chunks was dropped, the upload is abandoned and this never returns: that is not the client's fault.
///
/// # Errors
/// The status of the answer to a client whose body is late, broken or too long.
pub(super) async fn forward_body(
    mut request_body: RequestBody,
    sender: BodySender,
    upload: Option<&Upload>,
    chunk_timeout: Duration,
    memory: &MemoryBudget,
) -> Result<(), StatusCode> {
    let time_budget = upload.map_or(Duration::ZERO, Upload::time_budget);
    let limits = WaitLimits { chunk_timeout, time_budget };
    while let Some(chunk) = request_body.next_unbuffered_chunk().await? {
        request_body.client.set_phase(Phase::ForwardingBody);
        request_body.read_clock.record_filled();
        let handed_over_at = Instant::now();
        if let Err(cause) = request_body.hand_over(chunk, &sender, limits, memory).await {
            tracing::debug!(?cause, bytes = request_body.received_bytes, "upload abandoned");
            // The request's answer reports why its body was not accepted.
            upload.into_iter().for_each(|upload| upload.abandon(cause));
            return pending().await;
        }
        request_body.began_at += handed_over_at.elapsed();
        request_body.waiting_since = Instant::now();
    }
    request_body.client.set_phase(Phase::Processing);
    upload.into_iter().for_each(|upload| upload.mark_complete(request_body.clock.written_at()));
    sender.finish().await;
    Ok(())
}

impl RequestBody {
    /// Hands a chunk over to the node's connection once there is memory for it.
    ///
    /// # Errors
    /// Why the chunk was not taken within the limits, or will not be.
    async fn hand_over(
        &mut self,
        chunk: Bytes,
        sender: &BodySender,
        limits: WaitLimits,
        memory: &MemoryBudget,
    ) -> Result<(), AbandonCause> {
        let chunk_deadline = Instant::now() + limits.chunk_timeout;
        let reserving = memory.reserve(MemoryHolder::Uploads, READ_BUFFER_BYTES.max(chunk.len()));
        let reservation =
            self.while_waiting(reserving, chunk_deadline, limits).await.ok_or(AbandonCause::NoMemory)?;
        let sending = sender.send(reservation.attach(chunk));
        match self.while_waiting(sending, chunk_deadline, limits).await {
            Some(true) => Ok(()),
            _ => Err(AbandonCause::NotRead),
        }
    }

    /// Runs an operation for which the body is not read; `None` if it takes longer than `chunk_deadline`, or
    /// than the client waits.
    async fn while_waiting<F: Future>(
        &mut self,
        operation: F,
        chunk_deadline: Instant,
        limits: WaitLimits,
    ) -> Option<F::Output> {
        let mut operation = pin!(operation);
        loop {
            if let Ok(output) = timeout(INPUT_CHECK_INTERVAL, &mut operation).await {
                return Some(output);
            }
            self.clock.check(self.received_bytes);
            let deadline = chunk_deadline.min(self.clock.written_at() + limits.time_budget);
            if deadline <= Instant::now() {
                return None;
            }
        }
    }
}
