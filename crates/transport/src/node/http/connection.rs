//! A connection to an HTTP node: sends a request, and receives its reply or forwards it while it is received.

use std::future::{poll_fn, Future};
use std::net::SocketAddr;
use std::pin::Pin;
use std::sync::Arc;
use std::task::{Context, Poll};
use std::time::Duration;

use bytes::Bytes;
use http_body_util::BodyExt;
use hyper::body::{Body, Incoming};
use hyper::client::conn::http1;
use hyper::header::{CONTENT_LENGTH, TRANSFER_ENCODING};
use hyper::{Request, StatusCode};
use hyper_util::rt::TokioIo;
use tokio::time::{timeout_at, Instant};

use super::super::{outlasts_attempt, Connection, Flag, TrackedStream, WriteProgress};
use super::body::OutgoingBody;
use super::reply_pace::{ReplyDeadlines, ReplyPace};
use crate::dropped_segments::dropped_segments;
use crate::http::{headers, MAX_BODY_BYTES, MAX_HEAD_BYTES};
use crate::read_clock::ReadClock;
use crate::socket_buffers::connect;
use crate::READ_BUFFER_BYTES;
use heathward_core::memory::{MemoryBudget, MemoryHolder, Reservation, ReservedBuffer};
use heathward_core::{Attempt, BodySender, MAX_BUFFERED_BODY_BYTES};
use heathward_policy::AttemptEnd;

type Driver = http1::Connection<TokioIo<TrackedStream>, OutgoingBody>;

/// The most time between two chunks of a reply whose body is discarded.
const DISCARDED_CHUNK_TIMEOUT: Duration = Duration::from_millis(50);
/// The most time between two chunks of a reply that is streamed to the client, if its node was not held back
/// before.
const STREAMED_CHUNK_TIMEOUT: Duration = Duration::from_secs(10);

/// A reply of a node.
pub(super) enum Reply {
    /// A complete reply.
    Complete(AttemptEnd, Bytes),
    /// A served reply that is not buffered, as it is too long or there is no memory for it.
    Partial(PartialReply),
}

/// Where a reply is buffered.
pub(super) struct ReplyBuffer {
    memory: MemoryBudget,
    /// The memory for the complete reply, if its length is known before the request is sent.
    reservation: Option<Reservation>,
    deadlines: ReplyDeadlines,
}

impl ReplyBuffer {
    /// Waits for the memory of a reply whose length the request states, as its client takes it only as a
    /// whole; `None` if there is none by the deadline of the attempt.
    pub(super) async fn reserve(attempt: &Attempt) -> Option<Self> {
        let memory = attempt.memory.clone();
        let reservation = match attempt.node_request.read_length {
            Some(bytes) => {
                let reserving = memory.reserve(MemoryHolder::Replies, bytes);
                Some(timeout_at(attempt.deadline, reserving).await.ok()?)
            }
            None => None,
        };
        let deadlines = ReplyDeadlines { attempt: attempt.deadline, client: attempt.client_deadline };
        Some(Self { memory, reservation, deadlines })
    }
}

/// A reply of which only a part was received.
pub(super) struct PartialReply {
    /// The length of the complete reply in bytes, if it was announced.
    pub(super) length: Option<u64>,
    /// The part that was received, at most [`MAX_BUFFERED_BODY_BYTES`].
    pub(super) first_part: Bytes,
    /// The chunk that was received after that; empty if there is none yet.
    pub(super) next_chunk: Bytes,
    pub(super) rest: Incoming,
}

/// Why the rest of a reply is not forwarded.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum ForwardingError {
    /// The client has disconnected, or its connection was closed.
    ClientGone,
    /// The node sent nothing for [`STREAMED_CHUNK_TIMEOUT`] and the time for which it was held back.
    Late,
    /// The reply is not valid, or its connection has failed.
    Broken,
    /// The reply has more than [`MAX_BODY_BYTES`].
    TooLong,
}

/// Why a chunk of a reply was not received.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum ChunkError {
    Late,
    Broken,
}

/// A connection to an HTTP node; it carries one attempt at a time and is closed when dropped.
pub struct HttpConnection {
    sender: http1::SendRequest<OutgoingBody>,
    driver: Pin<Box<Driver>>,
    pub(super) written: Arc<WriteProgress>,
    read_clock: Arc<ReadClock>,
    /// Set while a reply is received that may outlast its attempt.
    pub(super) receiving_long_reply: Flag,
    ended: bool,
}

impl Connection for HttpConnection {
    const SOCKETS: usize = 1;

    fn poll_closed(&mut self, cx: &mut Context<'_>) -> Poll<()> {
        self.ended = self.ended || self.driver.as_mut().poll(cx).is_ready();
        if self.ended {
            Poll::Ready(())
        } else {
            Poll::Pending
        }
    }
}

impl HttpConnection {
    pub(super) async fn open(address: SocketAddr) -> Option<Self> {
        let stream = connect(address).await.ok()?;
        let written = Arc::new(WriteProgress::default());
        let stream = TrackedStream::new(stream, written.clone());
        let read_clock = stream.read_clock();
        let io = TokioIo::new(stream);
        let mut builder = http1::Builder::new();
        builder.max_buf_size(MAX_HEAD_BYTES);
        let (sender, driver) = builder.handshake(io).await.ok()?;
        let receiving_long_reply = Flag::default();
        let driver = Box::pin(driver);
        Some(Self { sender, driver, written, read_clock, receiving_long_reply, ended: false })
    }

    /// Drives the connection until `operation` on it is done.
    async fn drive<F: Future>(&mut self, operation: F) -> F::Output {
        let mut operation = Box::pin(operation);
        poll_fn(|cx| {
            self.ended = self.ended || self.driver.as_mut().poll(cx).is_ready();
            operation.as_mut().poll(cx)
        })
        .await
    }

    /// Waits until the connection can carry a request; false if it can't any more.
    pub(super) async fn ready(&mut self) -> bool {
        poll_fn(|cx| {
            self.ended = self.ended || self.driver.as_mut().poll(cx).is_ready();
            self.sender.poll_ready(cx)
        })
        .await
        .is_ok_and(|()| !self.ended)
    }

    /// Sends a request and receives its reply; `None` if there is no valid reply. This is the only validation
    /// of replies: the head must be readable and state at most one length, the body must not be too long, and
    /// it must have the stated length.
    pub(super) async fn exchange(
        &mut self,
        request: Request<OutgoingBody>,
        reply_buffer: ReplyBuffer,
    ) -> Option<Reply> {
        self.receiving_long_reply.clear();
        let sending = self.sender.send_request(request);
        let (head, body) = self.drive(sending).await.ok()?.into_parts();
        let lengths = [CONTENT_LENGTH, TRANSFER_ENCODING]
            .iter()
            .filter(|name| head.headers.contains_key(*name))
            .count();
        if lengths > 1 || body.size_hint().lower() > MAX_BODY_BYTES {
            return None;
        }
        let rejected = head.headers.get(headers::REJECTED).is_some_and(|value| value == "1");
        let end = match head.status {
            StatusCode::OK => AttemptEnd::Served,
            StatusCode::SERVICE_UNAVAILABLE | StatusCode::GATEWAY_TIMEOUT if rejected => AttemptEnd::Rejected,
            _ => AttemptEnd::Error,
        };
        if end == AttemptEnd::Served {
            self.buffer_reply(body, reply_buffer).await
        } else {
            self.discard_reply(end, body).await
        }
    }

    /// Receives a served reply until it is complete, is too long to be buffered, is written too slowly for
    /// that, or there is no memory for more of it; `None` if it is late or broken.
    async fn buffer_reply(&mut self, mut body: Incoming, reply_buffer: ReplyBuffer) -> Option<Reply> {
        let length = body.size_hint().exact();
        let expected_bytes = length.map_or(MAX_BUFFERED_BODY_BYTES, |bytes| bytes as usize);
        let ReplyBuffer { memory, reservation, deadlines } = reply_buffer;
        let pace = ReplyPace::new(length.is_none() && reservation.is_none(), deadlines);
        let mut buffered = match reservation {
            Some(reservation) => ReservedBuffer::with_reservation(reservation),
            None => ReservedBuffer::new(&memory, MemoryHolder::Replies, expected_bytes),
        };
        let mut next_chunk = Bytes::new();
        let mut is_streamed = expected_bytes > MAX_BUFFERED_BODY_BYTES;
        while !is_streamed {
            let chunk = match self.next_chunk(&mut body, pace.chunk_deadline(buffered.len())).await {
                Ok(Some(chunk)) => chunk,
                Ok(None) => return Some(Reply::Complete(AttemptEnd::Served, buffered.into_bytes())),
                Err(ChunkError::Late) if pace.is_streamed_when_late(buffered.len()) => break,
                Err(_) => return None,
            };
            let is_too_long = buffered.len() + chunk.len() > MAX_BUFFERED_BODY_BYTES;
            if is_too_long || buffered.append(&chunk).is_err() {
                if !is_too_long {
                    memory.count_unbuffered_body();
                }
                next_chunk = chunk;
                break;
            }
            if outlasts_attempt(buffered.len()) {
                self.receiving_long_reply.set();
            }
            is_streamed = pace.is_streamed();
        }
        let first_part = buffered.into_bytes();
        Some(Reply::Partial(PartialReply { length, first_part, next_chunk, rest: body }))
    }

    /// Receives a reply whose body is not used; `None` if it is late, broken or too long.
    async fn discard_reply(&mut self, end: AttemptEnd, mut body: Incoming) -> Option<Reply> {
        let mut discarded_bytes = 0;
        while let Some(chunk) =
            self.next_chunk(&mut body, Instant::now() + DISCARDED_CHUNK_TIMEOUT).await.ok()?
        {
            discarded_bytes += chunk.len();
            if discarded_bytes > MAX_BUFFERED_BODY_BYTES {
                return None;
            }
        }
        Some(Reply::Complete(end, Bytes::new()))
    }

    /// Receives a chunk of a reply that is not streamed; `None` at the end of the reply.
    ///
    /// # Errors
    /// The chunk is not received by `deadline`, or the reply is broken.
    async fn next_chunk(
        &mut self,
        body: &mut Incoming,
        deadline: Instant,
    ) -> Result<Option<Bytes>, ChunkError> {
        loop {
            let frame = timeout_at(deadline, self.drive(body.frame())).await.map_err(|_| ChunkError::Late)?;
            let Some(frame) = frame else { return Ok(None) };
            // Trailers are ignored, and so are empty chunks.
            match frame.map_err(|_| ChunkError::Broken)?.into_data() {
                Ok(chunk) if !chunk.is_empty() => return Ok(Some(chunk)),
                _ => {}
            }
        }
    }

    /// Forwards a reply that is being received, and returns the connection if it can carry another attempt.
    /// Gives up once no chunk arrives in time, the reply is too long or the receiver has closed the channel.
    pub(super) async fn forward_reply(
        mut self,
        forwarded_part_bytes: usize,
        next_chunk: Bytes,
        mut rest: Incoming,
        sender: BodySender,
        memory: MemoryBudget,
    ) -> Option<Self> {
        let mut forwarded_bytes = forwarded_part_bytes as u64;
        let mut chunk = next_chunk;
        loop {
            forwarded_bytes += chunk.len() as u64;
            let forwarded = self.forward_chunk(forwarded_bytes, chunk, &mut rest, &sender, &memory).await;
            chunk = match forwarded {
                Ok(Some(next)) => next,
                Ok(None) => break,
                Err(cause) => {
                    self.log_cut_off(cause, forwarded_bytes);
                    return None;
                }
            };
        }
        let is_reusable = self.is_reusable().await;
        sender.finish().await;
        is_reusable.then_some(self)
    }

    /// Sends a chunk, up to which the reply has `forwarded_bytes`, to the client, and receives the next one;
    /// `None` at the end of the reply.
    async fn forward_chunk(
        &mut self,
        forwarded_bytes: u64,
        chunk: Bytes,
        rest: &mut Incoming,
        sender: &BodySender,
        memory: &MemoryBudget,
    ) -> Result<Option<Bytes>, ForwardingError> {
        if forwarded_bytes > MAX_BODY_BYTES {
            return Err(ForwardingError::TooLong);
        }
        self.read_clock.record_filled();
        send_chunk(sender, chunk, memory).await?;
        let read_clock = Arc::clone(&self.read_clock);
        let receiving = read_clock.while_in_time(STREAMED_CHUNK_TIMEOUT, self.drive(rest.frame()));
        let Some(frame) = receiving.await.ok_or(ForwardingError::Late)? else { return Ok(None) };
        let frame = frame.map_err(|_| ForwardingError::Broken)?;
        // Trailers are ignored.
        Ok(Some(frame.into_data().unwrap_or_default()))
    }

    /// Logs why the rest of a reply is not forwarded. A node that has stopped is told from one whose system
    /// waits to retransmit by the backlog before its silence and by the segments that were dropped here.
    fn log_cut_off(&self, cause: ForwardingError, forwarded_bytes: u64) {
        let silence = self.read_clock.silence();
        tracing::debug!(
            ?cause,
            bytes = forwarded_bytes,
            silence = ?silence.map(|silence| silence.since.elapsed()),
            backlog = ?silence.map(|silence| silence.backlog),
            dropped_segments = dropped_segments(),
            "reply cut off"
        );
    }

    /// Whether the connection can carry another request: false if it has ended, or if bytes were received
    /// after the last reply.
    pub(super) async fn is_reusable(&mut self) -> bool {
        poll_fn(|cx| Poll::Ready(self.poll_closed(cx).is_pending())).await && !self.sender.is_closed()
    }
}

/// Sends a chunk of a reply to its client once the client's connection has space for it and there is memory.
/// Until then the chunk stays in the memory of the connection to the node, so that clients that read slowly
/// hold none of what others need.
///
/// # Errors
/// [`ForwardingError::ClientGone`] if the receiver was dropped.
async fn send_chunk(sender: &BodySender, chunk: Bytes, memory: &MemoryBudget) -> Result<(), ForwardingError> {
    if chunk.is_empty() {
        return Ok(());
    }
    let reserving = async {
        sender.demanded().await;
        memory.reserve(MemoryHolder::Downloads, READ_BUFFER_BYTES.max(chunk.len())).await
    };
    let reservation = tokio::select! {
        biased;
        () = sender.closed() => return Err(ForwardingError::ClientGone),
        reservation = reserving => reservation,
    };
    let is_sent = sender.send(reservation.attach(chunk)).await;
    if is_sent {
        Ok(())
    } else {
        Err(ForwardingError::ClientGone)
    }
}
