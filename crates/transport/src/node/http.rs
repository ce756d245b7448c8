//! Connections to storage nodes that speak HTTP/1.1.

use std::convert::Infallible;
use std::future::{pending, poll_fn, Future};
use std::net::SocketAddr;
use std::pin::Pin;
use std::sync::Arc;
use std::task::{ready, Context, Poll};
use std::time::Duration;

use bytes::{Bytes, BytesMut};
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
use heathward_core::{
    body_channel, Attempt, BodyInterrupted, BodySender, BodyStream, NodeReply, NodeRequest, StreamedReply,
    Upload, MAX_BUFFERED_BODY_BYTES,
};
use heathward_policy::AttemptEnd;

type Driver = http1::Connection<TokioIo<TrackedStream>, OutgoingBody>;

/// The body of a request that is sent to a node.
struct OutgoingBody {
    buffered: Option<Bytes>,
    /// The rest of the body, the length of the complete body if it is known, and where to record that it has
    /// ended.
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

/// The most time between two chunks of a reply that is buffered. Guards against waiting for a truncated reply
/// until the deadline of the attempt, and against treating its node as slow.
const BUFFERED_CHUNK_TIMEOUT: Duration = Duration::from_millis(50);
/// The most time between two chunks of a reply that is streamed to the client.
const STREAMED_CHUNK_TIMEOUT: Duration = Duration::from_secs(3);

/// A reply of a node.
enum Reply {
    /// A complete reply.
    Complete(AttemptEnd, Bytes),
    /// A served reply that is too long to be buffered: its length if it was announced, the first part, and
    /// the rest.
    Partial(Option<u64>, Bytes, Incoming),
}

/// A connection to an HTTP node; it carries one attempt at a time and is closed when dropped.
pub struct HttpConnection {
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
    async fn open(address: SocketAddr) -> Option<Self> {
        let stream = TcpStream::connect(address).await.ok()?;
        stream.set_nodelay(true).ok()?;
        let written = Arc::new(WriteProgress::default());
        let io = TokioIo::new(TrackedStream::new(stream, written.clone()));
        let mut builder = http1::Builder::new();
        builder.max_buf_size(MAX_HEAD_BYTES);
        let (sender, driver) = builder.handshake(io).await.ok()?;
        Some(Self { sender, driver: Box::pin(driver), written, ended: false })
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
    async fn exchange(&mut self, request: Request<OutgoingBody>) -> Option<Reply> {
        let sending = self.sender.send_request(request);
        let (head, mut body) = self.drive(sending).await.ok()?.into_parts();
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
        let length = body.size_hint().exact();
        let mut buffered = BytesMut::new();
        loop {
            if end == AttemptEnd::Served
                && length.map_or(buffered.len(), |bytes| bytes as usize) > MAX_BUFFERED_BODY_BYTES
            {
                return Some(Reply::Partial(length, buffered.freeze(), body));
            }
            match timeout_at(Instant::now() + BUFFERED_CHUNK_TIMEOUT, self.drive(body.frame())).await.ok()? {
                Some(frame) => buffered.extend_from_slice(frame.ok()?.data_ref().unwrap_or(&Bytes::new())),
                None => return Some(Reply::Complete(end, buffered.freeze())),
            }
            if end != AttemptEnd::Served && buffered.len() > MAX_BUFFERED_BODY_BYTES {
                return None;
            }
        }
    }

    /// Forwards a reply that is being received, and returns the connection if it can carry another attempt.
    /// Gives up once no chunk arrives in time or the receiver has closed the channel.
    async fn forward_reply(
        mut self,
        first_part: Bytes,
        mut body: Incoming,
        sender: BodySender,
    ) -> Option<Self> {
        let mut forwarded_bytes = first_part.len() as u64;
        if !first_part.is_empty() && !sender.send(first_part).await {
            return None;
        }
        while let Some(frame) =
            timeout_at(Instant::now() + STREAMED_CHUNK_TIMEOUT, self.drive(body.frame())).await.ok()?
        {
            let Ok(chunk) = frame.ok()?.into_data() else { continue };
            forwarded_bytes += chunk.len() as u64;
            if forwarded_bytes > MAX_BODY_BYTES || !sender.send(chunk).await {
                return None;
            }
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
) -> Option<HttpConnection> {
    let mut connection = match idle_connection {
        Some(connection) => connection,
        None => HttpConnection::open(address).await?,
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
            obtain_connection(address, idle_connection.take()),
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
        if !attempt.may_start() {
            return LinkResponse::reusable(AttemptEnd::NotSent, Bytes::new(), connection);
        }
        let (Ok(request), length) = encode(&attempt, address, &connection.written) else {
            return LinkResponse::closed(AttemptEnd::NotSent);
        };
        let written = connection.written.clone();
        written.begin(length, attempt.clone());
        let exchange = connection.exchange(request);
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
            Ok(Some(Reply::Partial(length, first_part, body))) => {
                let (sender, chunks) = body_channel();
                let forwarding = connection.forward_reply(first_part, body, sender);
                let body = NodeReply::Streamed(StreamedReply::new(length, chunks));
                return LinkResponse {
                    end: AttemptEnd::Served,
                    body,
                    idle_connection: None,
                    forwarding: Some(Box::pin(forwarding)),
                };
            }
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
        client_request_id,
        class_name,
        is_write,
        target,
        idempotency_key,
        body,
        upload: remaining_body,
        ..
    } = &*attempt.node_request;
    let time_left = attempt.deadline.saturating_duration_since(Instant::now());
    let time_left_ms = remaining_body.as_ref().map_or(time_left, Upload::time_budget).as_millis();
    let length = remaining_body
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
    let streamed = remaining_body
        .as_ref()
        .and_then(|upload| Some((upload.take_body()?, upload.content_length(), written.clone())));
    let outgoing_body = OutgoingBody { buffered: (!body.is_empty()).then(|| body.clone()), streamed };
    (request.body(outgoing_body), length)
}
