//! Connections to storage nodes that speak HTTP/1.1.

use std::convert::Infallible;
use std::future::{pending, poll_fn, Future};
use std::net::SocketAddr;
use std::pin::Pin;
use std::sync::Arc;
use std::task::{ready, Context, Poll};
use std::time::Duration;

use bytes::Bytes;
use futures_util::future::BoxFuture;
use http_body_util::BodyExt;
use hyper::body::{Body, Frame, Incoming, SizeHint};
use hyper::client::conn::http1;
use hyper::header::{CONTENT_LENGTH, HOST, TRANSFER_ENCODING};
use hyper::{Method, Request, StatusCode};
use hyper_util::rt::TokioIo;
use tokio::net::TcpStream;
use tokio::time::{sleep_until, timeout_at, Instant};

use super::{Connection, LinkRequest, LinkResponse, TrackedStream, WriteProgress};
use crate::http::{headers, MAX_BODY_BYTES, MAX_HEAD_BYTES};
use crate::READ_BUFFER_BYTES;
use heathward_core::memory::{MemoryBudget, MemoryHolder, Reservation, ReservedBuffer};
use heathward_core::{
    body_channel, Attempt, BodyInterrupted, BodySender, BodyStream, NodeReply, NodeRequest, StreamedReply,
    Upload, MAX_BUFFERED_BODY_BYTES,
};
use heathward_policy::AttemptEnd;

type Driver = http1::Connection<TokioIo<TrackedStream>, OutgoingBody>;

/// The body of a request that is sent to a node.
struct OutgoingBody {
    buffered: Option<Bytes>,
    /// A streamed body, its length if it is known, and where to record that it has ended.
    streamed: Option<(BodyStream, Option<u64>, Arc<WriteProgress>)>,
}

impl Body for OutgoingBody {
    type Data = Bytes;
    type Error = BodyInterrupted;

    fn poll_frame(
        mut self: Pin<&mut Self>,
        cx: &mut Context<'_>,
    ) -> Poll<Option<Result<Frame<Bytes>, BodyInterrupted>>> {
        if let Some(buffered) = self.buffered.take() {
            return Poll::Ready(Some(Ok(Frame::data(buffered))));
        }
        let Some((chunks, _, written)) = &mut self.streamed else { return Poll::Ready(None) };
        let next = ready!(chunks.poll_next(cx));
        if next.is_none() {
            written.mark_body_end();
        }
        Poll::Ready(next.map(|chunk| chunk.map(Frame::data)))
    }

    fn is_end_stream(&self) -> bool {
        self.buffered.is_none() && self.streamed.is_none()
    }

    fn size_hint(&self) -> SizeHint {
        match &self.streamed {
            None => SizeHint::with_exact(self.buffered.as_ref().map_or(0, |buffered| buffered.len() as u64)),
            Some((_, length, _)) => length.map(SizeHint::with_exact).unwrap_or_default(),
        }
    }
}

/// Memory that a connection needs for its buffers and for the task of an attempt, in bytes.
const CONNECTION_BYTES: usize = 36 * 1024;
/// The most time between two chunks of a reply that is buffered. Guards against waiting for a truncated reply
/// until the deadline of the attempt, and against treating its node as slow.
const BUFFERED_CHUNK_TIMEOUT: Duration = Duration::from_millis(50);
/// The most time between two chunks of a reply that is streamed to the client.
const STREAMED_CHUNK_TIMEOUT: Duration = Duration::from_secs(3);

/// The most time that a chunk of a reply waits for memory: as long as a client may read nothing.
const MEMORY_TIMEOUT: Duration = Duration::from_secs(15);

/// A reply of a node.
enum Reply {
    /// A complete reply.
    Complete(AttemptEnd, Bytes),
    /// A served reply that is not buffered, as it is too long or there is no memory for it.
    Partial(PartialReply),
}

/// Where a reply is buffered.
struct ReplyBuffer {
    memory: MemoryBudget,
    /// The memory for the complete reply, if its length is known before the request is sent.
    reservation: Option<Reservation>,
}

impl ReplyBuffer {
    /// Waits for the memory of a reply whose length the request states, as its client takes it only as a
    /// whole; `None` if there is none by the deadline of the attempt.
    async fn reserve(attempt: &Attempt) -> Option<Self> {
        let memory = attempt.memory.clone();
        let reservation = match attempt.node_request.read_length {
            Some(bytes) => {
                let reserving = memory.reserve(MemoryHolder::Replies, bytes);
                Some(timeout_at(attempt.deadline, reserving).await.ok()?)
            }
            None => None,
        };
        Some(Self { memory, reservation })
    }
}

/// A reply of which only a part was received.
struct PartialReply {
    /// The length of the complete reply in bytes, if it was announced.
    length: Option<u64>,
    /// The part that was received, at most [`MAX_BUFFERED_BODY_BYTES`].
    first_part: Bytes,
    /// The chunk that was received after that.
    next_chunk: Bytes,
    rest: Incoming,
}

/// A connection to an HTTP node; it carries one attempt at a time and is closed when dropped.
pub struct HttpConnection {
    _memory: Reservation,
    sender: http1::SendRequest<OutgoingBody>,
    driver: Pin<Box<Driver>>,
    written: Arc<WriteProgress>,
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
    async fn open(address: SocketAddr, memory: &MemoryBudget) -> Option<Self> {
        let memory = memory.charge(MemoryHolder::NodeConnections, CONNECTION_BYTES);
        let stream = TcpStream::connect(address).await.ok()?;
        stream.set_nodelay(true).ok()?;
        let written = Arc::new(WriteProgress::default());
        let io = TokioIo::new(TrackedStream::new(stream, written.clone()));
        let mut builder = http1::Builder::new();
        builder.max_buf_size(MAX_HEAD_BYTES);
        let (sender, driver) = builder.handshake(io).await.ok()?;
        Some(Self { _memory: memory, sender, driver: Box::pin(driver), written, ended: false })
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
    async fn ready(&mut self) -> bool {
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
    async fn exchange(&mut self, request: Request<OutgoingBody>, reply_buffer: ReplyBuffer) -> Option<Reply> {
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

    /// Receives a served reply until it is complete, is too long to be buffered, or there is no memory for
    /// more of it; `None` if it is late or broken.
    async fn buffer_reply(&mut self, mut body: Incoming, reply_buffer: ReplyBuffer) -> Option<Reply> {
        let length = body.size_hint().exact();
        let expected_bytes = length.map_or(MAX_BUFFERED_BODY_BYTES, |bytes| bytes as usize);
        let is_long = expected_bytes > MAX_BUFFERED_BODY_BYTES;
        let ReplyBuffer { memory, reservation } = reply_buffer;
        let mut buffered = match reservation {
            Some(reservation) => ReservedBuffer::with_reservation(reservation),
            None => ReservedBuffer::new(&memory, MemoryHolder::Replies, expected_bytes),
        };
        let mut next_chunk = Bytes::new();
        while !is_long && next_chunk.is_empty() {
            let Some(chunk) = self.next_buffered_chunk(&mut body).await? else {
                return Some(Reply::Complete(AttemptEnd::Served, buffered.into_bytes()));
            };
            let is_too_long = buffered.len() + chunk.len() > MAX_BUFFERED_BODY_BYTES;
            if is_too_long || buffered.append(&chunk).is_err() {
                if !is_too_long {
                    memory.count_unbuffered_body();
                }
                next_chunk = chunk;
            }
        }
        let first_part = buffered.into_bytes();
        Some(Reply::Partial(PartialReply { length, first_part, next_chunk, rest: body }))
    }

    /// Receives a reply whose body is not used; `None` if it is late, broken or too long.
    async fn discard_reply(&mut self, end: AttemptEnd, mut body: Incoming) -> Option<Reply> {
        let mut discarded_bytes = 0;
        while let Some(chunk) = self.next_buffered_chunk(&mut body).await? {
            discarded_bytes += chunk.len();
            if discarded_bytes > MAX_BUFFERED_BODY_BYTES {
                return None;
            }
        }
        Some(Reply::Complete(end, Bytes::new()))
    }

    /// Receives a chunk of a reply that is not streamed; the inner `None` is the end of the reply, the outer
    /// one a chunk that is late or broken.
    async fn next_buffered_chunk(&mut self, body: &mut Incoming) -> Option<Option<Bytes>> {
        loop {
            let deadline = Instant::now() + BUFFERED_CHUNK_TIMEOUT;
            match timeout_at(deadline, self.drive(body.frame())).await.ok()? {
                None => return Some(None),
                // Trailers are ignored, and so are empty chunks.
                Some(frame) => match frame.ok()?.into_data() {
                    Ok(chunk) if !chunk.is_empty() => return Some(Some(chunk)),
                    _ => {}
                },
            }
        }
    }

    /// Forwards a reply that is being received, and returns the connection if it can carry another attempt.
    /// Gives up once no chunk arrives in time, the reply is too long or the receiver has closed the channel.
    async fn forward_reply(
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
            if forwarded_bytes > MAX_BODY_BYTES || !send_chunk(&sender, chunk, &memory).await {
                return None;
            }
            let deadline = Instant::now() + STREAMED_CHUNK_TIMEOUT;
            let Some(frame) = timeout_at(deadline, self.drive(rest.frame())).await.ok()? else { break };
            // Trailers are ignored.
            chunk = frame.ok()?.into_data().unwrap_or_default();
        }
        let is_reusable = self.is_reusable().await;
        sender.finish().await;
        is_reusable.then_some(self)
    }

    /// Whether the connection can carry another request: false if it has ended, or if bytes were received
    /// after the last reply.
    async fn is_reusable(&mut self) -> bool {
        poll_fn(|cx| Poll::Ready(self.poll_closed(cx).is_pending())).await && !self.sender.is_closed()
    }
}

/// Sends a chunk of a reply to its client once there is memory for it. Returns false if the receiver was
/// dropped, or no memory was released for as long as a client may read nothing.
async fn send_chunk(sender: &BodySender, chunk: Bytes, memory: &MemoryBudget) -> bool {
    if chunk.is_empty() {
        return true;
    }
    let reserving = memory.reserve(MemoryHolder::Downloads, READ_BUFFER_BYTES.max(chunk.len()));
    let reservation = tokio::select! {
        reservation = timeout_at(Instant::now() + MEMORY_TIMEOUT, reserving) => reservation,
        () = sender.closed() => return false,
    };
    match reservation {
        Ok(reservation) => sender.send(reservation.attach(chunk)).await,
        Err(_) => false,
    }
}

/// The link to one HTTP node: a tower service that carries out one attempt on one connection.
#[derive(Clone, Debug)]
pub struct HttpLink {
    address: SocketAddr,
}

impl HttpLink {
    /// Creates a link to the node at `address`.
    pub fn new(address: SocketAddr) -> Self {
        Self { address }
    }
}

impl tower::Service<LinkRequest<HttpConnection>> for HttpLink {
    type Response = LinkResponse<HttpConnection>;
    type Error = Infallible;
    type Future = BoxFuture<'static, Result<Self::Response, Infallible>>;

    fn poll_ready(&mut self, _: &mut Context<'_>) -> Poll<Result<(), Infallible>> {
        Poll::Ready(Ok(()))
    }

    fn call(&mut self, request: LinkRequest<HttpConnection>) -> Self::Future {
        let address = self.address;
        Box::pin(async move { Ok(run_attempt(address, request).await) })
    }
}

/// Returns a connection that can carry a request: the idle one, or a new one if there is none. `None` if the
/// idle one can't be used any more or the node can't be reached.
async fn obtain_connection(
    address: SocketAddr,
    idle_connection: Option<HttpConnection>,
    memory: &MemoryBudget,
) -> Option<HttpConnection> {
    let mut connection = match idle_connection {
        Some(connection) => connection,
        None => HttpConnection::open(address, memory).await?,
    };
    connection.ready().await.then_some(connection)
}

/// Runs one attempt. If the attempt is given up, its connection is dropped, and so closed, before this
/// returns: no other attempt of the request may start while a connection of this one is open.
async fn run_attempt(
    address: SocketAddr,
    link_request: LinkRequest<HttpConnection>,
) -> LinkResponse<HttpConnection> {
    let LinkRequest { attempt, mut idle_connection, dial_deadline } = link_request;
    loop {
        let reused = idle_connection.is_some();
        let connecting = timeout_at(
            dial_deadline.min(attempt.connect_deadline),
            obtain_connection(address, idle_connection.take(), &attempt.memory),
        );
        let connected = tokio::select! {
            biased;
            // A cancelled attempt stops waiting for a connection and holds none.
            () = attempt.cancel.cancelled() => return LinkResponse::closed(AttemptEnd::NotSent),
            connected = connecting => connected,
        };
        let mut connection = match connected {
            Ok(Some(connection)) => connection,
            // Nothing of the request was written to a connection that became unusable while idle.
            Ok(None) if reused => continue,
            _ => return LinkResponse::closed(AttemptEnd::NotConnected),
        };
        let reply_buffer = tokio::select! {
            biased;
            () = attempt.cancel.cancelled() => None,
            reply_buffer = ReplyBuffer::reserve(&attempt) => reply_buffer,
        };
        let Some(reply_buffer) = reply_buffer.filter(|_| attempt.may_start()) else {
            return LinkResponse::reusable(AttemptEnd::NotSent, Bytes::new(), connection);
        };
        let (Ok(request), length) = encode(&attempt, address, &connection.written) else {
            return LinkResponse::closed(AttemptEnd::NotSent);
        };
        let written = connection.written.clone();
        written.begin(length, attempt.clone());
        let exchange = connection.exchange(request, reply_buffer);
        let expired = async {
            match &attempt.node_request.upload {
                Some(upload) => upload.expired().await,
                None => sleep_until(attempt.deadline).await,
            }
        };
        let cancelled = async {
            attempt.cancel.cancelled().await;
            // Once the request is written completely, the attempt goes on to its reply: the node executes it.
            if written.is_complete() {
                pending::<()>().await;
            }
        };
        let result = tokio::select! {
            biased;
            reply = exchange => Ok(reply),
            () = cancelled => return LinkResponse::closed(AttemptEnd::NotSent),
            () = expired => Err(()),
        };
        match result {
            Ok(Some(Reply::Complete(end, body))) => {
                let idle_connection = if connection.is_reusable().await { Some(connection) } else { None };
                return LinkResponse {
                    end,
                    body: NodeReply::Buffered(body),
                    idle_connection,
                    forwarding: None,
                };
            }
            Ok(Some(Reply::Partial(reply))) => return stream_reply(connection, reply, attempt.memory),
            // The request must not be sent any more.
            Ok(_) if written.is_withheld() => return LinkResponse::closed(AttemptEnd::NotSent),
            // Guards against mistaking a connection that became unusable while idle for a node that is down:
            // the node has not received the complete request, so the same attempt goes on with another
            // connection.
            Ok(_) if reused && !written.is_complete() && is_resendable(&attempt) => {}
            Ok(_) if !written.is_complete() => return LinkResponse::closed(AttemptEnd::NotConnected),
            Ok(_) if written.is_broken() => return LinkResponse::closed(AttemptEnd::Reset),
            // The node is up but its reply is not valid. Guards against treating the node as restarted and
            // cold: all that is known is that it may have executed the request.
            Ok(_) => return LinkResponse::closed(AttemptEnd::Error),
            // The node has stopped reading a long body, so it has not received the complete request.
            Err(()) if attempt.node_request.upload.is_some() && !written.is_complete() => {
                return LinkResponse::closed(AttemptEnd::NotConnected);
            }
            Err(()) => return LinkResponse::closed(AttemptEnd::TimedOut),
        }
    }
}

/// Returns the response of an attempt whose reply is still being received.
fn stream_reply(
    connection: HttpConnection,
    reply: PartialReply,
    memory: MemoryBudget,
) -> LinkResponse<HttpConnection> {
    let PartialReply { length, first_part, next_chunk, rest } = reply;
    let first_bytes = first_part.len();
    let (sender, chunks) = body_channel(first_part);
    LinkResponse {
        end: AttemptEnd::Served,
        body: NodeReply::Streamed(StreamedReply::new(length, chunks)),
        idle_connection: None,
        forwarding: Some(Box::pin(connection.forward_reply(first_bytes, next_chunk, rest, sender, memory))),
    }
}

/// Whether the request can be sent again: no part of a streamed body has been sent.
fn is_resendable(attempt: &Attempt) -> bool {
    attempt.node_request.upload.as_ref().is_none_or(Upload::is_unsent)
}

type EncodedRequest = Result<Request<OutgoingBody>, hyper::http::Error>;

/// Encodes the request of an attempt; returns it with the length of its body, if that is known.
fn encode(
    attempt: &Attempt,
    address: SocketAddr,
    written: &Arc<WriteProgress>,
) -> (EncodedRequest, Option<usize>) {
    let NodeRequest {
        client_request_id, class_name, is_write, target, idempotency_key, body, upload, ..
    } = &*attempt.node_request;
    let time_left = attempt.deadline.saturating_duration_since(Instant::now());
    let time_left_ms = upload.as_ref().map_or(time_left, Upload::time_budget).as_millis();
    let length = upload
        .as_ref()
        .map_or(Some(body.len()), |upload| upload.content_length().map(|bytes| bytes as usize));
    let method = if *is_write { Method::PUT } else { Method::GET };
    let mut request = Request::builder().method(method).uri(&**target);
    request = request.header(HOST, address.to_string());
    request = request.header(headers::REQUEST_ID, &**client_request_id).header(headers::CLASS, &**class_name);
    request = request.header(headers::TIME_BUDGET_MS, time_left_ms.max(1).to_string());
    if let Some(key) = idempotency_key {
        request = request.header(headers::IDEMPOTENCY_KEY, &**key);
    }
    if let Some(length) = length.filter(|_| *is_write || !body.is_empty()) {
        request = request.header(CONTENT_LENGTH, length);
    }
    let streamed = upload
        .as_ref()
        .and_then(|upload| Some((upload.take_body()?, upload.content_length(), written.clone())));
    let outgoing_body = OutgoingBody { buffered: (!body.is_empty()).then(|| body.clone()), streamed };
    (request.body(outgoing_body), length)
}
