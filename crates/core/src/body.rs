//! Streaming of bodies that are too long to be buffered: they pass in chunks, no faster than the receiver
//! reads.

use std::fmt;
use std::sync::atomic::{AtomicBool, Ordering};
use std::sync::Arc;
use std::task::{Context, Poll};

use bytes::Bytes;
use tokio::sync::{mpsc, Notify};

use super::client_request_ids::ClientRequestIdGuard;

/// Capacity of a body channel, in chunks: one waits for the receiver while the next is produced.
const BODY_CHANNEL_CAPACITY: usize = 1;

/// An item of a body channel.
enum BodyChunk {
    Data(Bytes),
    /// The body is complete.
    End,
}

impl fmt::Debug for BodyChunk {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.write_str(if matches!(self, Self::End) { "End" } else { "Data" })
    }
}

/// Whether the receiver of a body waits for a chunk.
#[derive(Debug, Default)]
struct Demand {
    is_raised: AtomicBool,
    raised: Notify,
}

impl Demand {
    fn raise(&self) {
        if !self.is_raised.swap(true, Ordering::Relaxed) {
            self.raised.notify_one();
        }
    }

    fn clear(&self) {
        self.is_raised.store(false, Ordering::Relaxed);
    }

    async fn wait(&self) {
        while !self.is_raised.load(Ordering::Relaxed) {
            self.raised.notified().await;
        }
    }
}

/// The sending half of a streamed body. If it is dropped before [`BodySender::finish`], the receiver gets
/// [`BodyInterrupted`].
pub struct BodySender {
    chunks: mpsc::Sender<BodyChunk>,
    demand: Arc<Demand>,
}

/// The receiving half of a streamed body.
#[derive(Debug)]
pub struct BodyStream {
    /// The part that was received before the channel was created; empty once it was taken.
    first_part: Bytes,
    chunks: mpsc::Receiver<BodyChunk>,
    demand: Arc<Demand>,
    ended: bool,
}

/// The sender of a streamed body was dropped before the end of the body.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct BodyInterrupted;

impl fmt::Display for BodyInterrupted {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.write_str("the body ended before it was complete")
    }
}

impl std::error::Error for BodyInterrupted {}

/// Creates a channel for one streamed body, of which `first_part` was received already; it may be empty.
pub fn body_channel(first_part: Bytes) -> (BodySender, BodyStream) {
    let (sender, chunks) = mpsc::channel(BODY_CHANNEL_CAPACITY);
    let demand = Arc::<Demand>::default();
    let sender = BodySender { chunks: sender, demand: Arc::clone(&demand) };
    (sender, BodyStream { first_part, chunks, demand, ended: false })
}

impl BodySender {
    /// Returns once the receiver waits for a chunk. A chunk that is sent then is taken at once, so that its
    /// memory is not held while the receiver is not ready for it.
    pub async fn demanded(&self) {
        self.demand.wait().await;
    }

    /// Sends a chunk once there is capacity. Returns false if the receiver was dropped.
    pub async fn send(&self, data: Bytes) -> bool {
        self.chunks.send(BodyChunk::Data(data)).await.is_ok()
    }

    /// Marks the body as complete. Returns false if the receiver was dropped.
    pub async fn finish(self) -> bool {
        self.chunks.send(BodyChunk::End).await.is_ok()
    }

    /// Returns once the receiver was dropped.
    pub async fn closed(&self) {
        self.chunks.closed().await;
    }
}

impl BodyStream {
    /// Polls for the next chunk; `None` after the last.
    ///
    /// # Errors
    ///
    /// [`BodyInterrupted`], once, if the sender was dropped before the end of the body.
    pub fn poll_next(&mut self, cx: &mut Context<'_>) -> Poll<Option<Result<Bytes, BodyInterrupted>>> {
        if self.ended {
            return Poll::Ready(None);
        }
        if !self.first_part.is_empty() {
            return Poll::Ready(Some(Ok(std::mem::take(&mut self.first_part))));
        }
        let Poll::Ready(chunk) = self.chunks.poll_recv(cx) else {
            self.demand.raise();
            return Poll::Pending;
        };
        self.demand.clear();
        self.ended = !matches!(chunk, Some(BodyChunk::Data(_)));
        Poll::Ready(match chunk {
            Some(BodyChunk::Data(data)) => Some(Ok(data)),
            Some(BodyChunk::End) => None,
            None => Some(Err(BodyInterrupted)),
        })
    }

    /// Returns the next chunk; `None` after the last.
    ///
    /// # Errors
    ///
    /// Those of [`Self::poll_next`].
    pub async fn next(&mut self) -> Option<Result<Bytes, BodyInterrupted>> {
        std::future::poll_fn(|cx| self.poll_next(cx)).await
    }

    /// Reads the complete body; returns `None` if it is interrupted or longer than `max_bytes`.
    pub async fn collect(mut self, max_bytes: usize) -> Option<Bytes> {
        let mut collected = Vec::new();
        while let Some(chunk) = self.next().await {
            collected.extend_from_slice(&chunk.ok()?);
            if collected.len() > max_bytes {
                return None;
            }
        }
        Some(collected.into())
    }
}

/// The body of a node's reply.
#[derive(Debug)]
pub enum NodeReply {
    /// A complete body of at most [`MAX_BUFFERED_BODY_BYTES`](crate::MAX_BUFFERED_BODY_BYTES).
    Buffered(Bytes),
    /// A body that is still being received.
    Streamed(StreamedReply),
}

/// A reply whose body is still being received. The id of its request stays in use until this is dropped.
#[derive(Debug)]
pub struct StreamedReply {
    /// Length of the body in bytes, if the node announced it.
    pub content_length: Option<u64>,
    /// The body.
    pub body: BodyStream,
    /// Set by the core when it passes the reply on.
    pub(super) _id_guard: Option<ClientRequestIdGuard>,
}

impl StreamedReply {
    /// Creates a reply whose body has `content_length` bytes, if that is known.
    pub fn new(content_length: Option<u64>, body: BodyStream) -> Self {
        Self { content_length, body, _id_guard: None }
    }
}

impl NodeReply {
    /// Returns the length of the complete body in bytes; `None` if it is still being received and the node
    /// has not announced it.
    pub fn length(&self) -> Option<u64> {
        match self {
            Self::Buffered(body) => Some(body.len() as u64),
            Self::Streamed(reply) => reply.content_length,
        }
    }

    /// Reads the complete body; returns `None` if it is streamed and is interrupted or longer than
    /// `max_bytes`.
    pub async fn collect(self, max_bytes: usize) -> Option<Bytes> {
        match self {
            Self::Buffered(body) => Some(body),
            Self::Streamed(reply) => reply.body.collect(max_bytes).await,
        }
    }
}
