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

type Driver = http1::Connection<TokioIo<TrackedStream>, Sending>;

/// A request's body on its way to a node.
struct Sending {
    held: Option<Bytes>,
    /// The rest, its length where that is told, and whom to tell that it has ended.
    rest: Option<(BodyStream, Option<u64>, Arc<WriteProgress>)>,
}

impl Body for Sending {
    type Data = Bytes;
    type Error = BodyInterrupted;

    fn poll_frame(
        mut self: Pin<&mut Self>,
        cx: &mut Context<'_>,
    ) -> Poll<Option<Result<Frame<Bytes>, BodyInterrupted>>> {
        if let Some(held) = self.held.take() {
            return Poll::Ready(Some(Ok(Frame::data(held))));
        }
        let Some((pieces, _, written)) = &mut self.rest else { return Poll::Ready(None) };
        let next = ready!(pieces.poll_next(cx));
        if next.is_none() {
            written.mark_body_end();
        }
        Poll::Ready(next.map(|piece| piece.map(Frame::data)))
    }

    fn is_end_stream(&self) -> bool {
        self.held.is_none() && self.rest.is_none()
    }

    fn size_hint(&self) -> SizeHint {
        match &self.rest {
            None => SizeHint::with_exact(self.held.as_ref().map_or(0, |held| held.len() as u64)),
            Some((_, length, _)) => length.map(SizeHint::with_exact).unwrap_or_default(),
        }
    }
}

/// The next piece of an answer follows within this time. Guards against waiting for one that stopped short
/// for as long as for a node that is slow, and against taking the node for slow.
const REST: Duration = Duration::from_millis(50);
/// The same where the answer is on its way to the client.
const STALL: Duration = Duration::from_secs(3);

/// An answer as it came.
enum Came {
    /// Whole.
    Whole(AttemptEnd, Bytes),
    /// Served, and longer than what is held: its length where it is told, what has come, and what is to come.
    Long(Option<u64>, Bytes, Incoming),
}

/// A connection to an HTTP node; it carries one attempt at a time and is closed when dropped.
pub struct HttpConnection {
    sender: http1::SendRequest<Sending>,
    driver: Pin<Box<Driver>>,
    written: Arc<WriteProgress>,
    over: bool,
}

impl Connection for HttpConnection {
    const SOCKETS: usize = 1;

    fn poll_closed(&mut self, cx: &mut Context<'_>) -> Poll<()> {
        self.over = self.over || self.driver.as_mut().poll(cx).is_ready();
        if self.over {
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
        Some(Self { sender, driver: Box::pin(driver), written, over: false })
    }

    /// Runs the connection for as long as `work` on it takes.
    async fn drive<F: Future>(&mut self, work: F) -> F::Output {
        let mut work = Box::pin(work);
        poll_fn(|cx| {
            self.over = self.over || self.driver.as_mut().poll(cx).is_ready();
            work.as_mut().poll(cx)
        })
        .await
    }

    /// Waits until the connection can carry a request; false if it can't any more.
    async fn ready(&mut self) -> bool {
        poll_fn(|cx| {
            self.over = self.over || self.driver.as_mut().poll(cx).is_ready();
            self.sender.poll_ready(cx)
        })
        .await
        .is_ok_and(|()| !self.over)
    }

    /// Sends a request and takes its answer; `None` where there is none to be made out. This is the one check
    /// on answers: a head that can be read, one length, no longer than any body, and as many bytes.
    async fn exchange(&mut self, request: Request<Sending>) -> Option<Came> {
        let sending = self.sender.send_request(request);
        let (head, mut body) = self.drive(sending).await.ok()?.into_parts();
        let lengths =
            [CONTENT_LENGTH, TRANSFER_ENCODING].iter().filter(|h| head.headers.contains_key(*h)).count();
        if lengths > 1 || body.size_hint().lower() > MAX_BODY_BYTES {
            return None;
        }
        let rejected = head.headers.get(headers::REJECTED).is_some_and(|v| v == "1");
        let end = match head.status {
            StatusCode::OK => AttemptEnd::Served,
            StatusCode::SERVICE_UNAVAILABLE | StatusCode::GATEWAY_TIMEOUT if rejected => AttemptEnd::Rejected,
            _ => AttemptEnd::Error,
        };
        let length = body.size_hint().exact();
        let mut held = BytesMut::new();
        loop {
            if end == AttemptEnd::Served
                && length.map_or(held.len(), |l| l as usize) > MAX_BUFFERED_BODY_BYTES
            {
                return Some(Came::Long(length, held.freeze(), body));
            }
            match timeout_at(Instant::now() + REST, self.drive(body.frame())).await.ok()? {
                Some(frame) => held.extend_from_slice(frame.ok()?.data_ref().unwrap_or(&Bytes::new())),
                None => return Some(Came::Whole(end, held.freeze())),
            }
            if end != AttemptEnd::Served && held.len() > MAX_BUFFERED_BODY_BYTES {
                return None;
            }
        }
    }

    /// Passes the rest of an answer on, for as long as it moves; gives the connection back if it can carry
    /// another attempt.
    async fn pass(mut self, held: Bytes, mut body: Incoming, feed: BodySender) -> Option<Self> {
        let mut passed = held.len() as u64;
        if !held.is_empty() && !feed.send(held).await {
            return None;
        }
        while let Some(frame) = timeout_at(Instant::now() + STALL, self.drive(body.frame())).await.ok()? {
            let Ok(piece) = frame.ok()?.into_data() else { continue };
            passed += piece.len() as u64;
            if passed > MAX_BODY_BYTES || !feed.send(piece).await {
                return None;
            }
        }
        let sound = self.sound().await;
        feed.finish().await;
        sound.then_some(self)
    }

    /// False once it can't carry another request, or where more has come than its last answer.
    async fn sound(&mut self) -> bool {
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

    fn call(&mut self, job: LinkRequest<HttpConnection>) -> Self::Future {
        let address = self.address;
        Box::pin(async move { Ok(run(address, job).await) })
    }
}

/// A connection that can carry a request: the idle one, where it still can, or a new one.
async fn reach(address: SocketAddr, idle: Option<HttpConnection>) -> Option<HttpConnection> {
    let mut connection = match idle {
        Some(connection) => connection,
        None => HttpConnection::open(address).await?,
    };
    connection.ready().await.then_some(connection)
}

/// One attempt. Whatever it is given up on is dropped, and so closed, before the end is told: no other
/// attempt of the request may start while a connection of this one is open.
async fn run(address: SocketAddr, job: LinkRequest<HttpConnection>) -> LinkResponse<HttpConnection> {
    let LinkRequest { attempt, idle_connection: mut idle, dial_deadline } = job;
    loop {
        let reused = idle.is_some();
        let reached = timeout_at(dial_deadline.min(attempt.connect_deadline), reach(address, idle.take()));
        let reached = tokio::select! {
            biased;
            // A cancelled attempt stops waiting for a connection and holds none.
            () = attempt.cancel.cancelled() => return LinkResponse::closed(AttemptEnd::NotSent),
            reached = reached => reached,
        };
        let mut connection = match reached {
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
        let tried = connection.exchange(request);
        let expired = async {
            match &attempt.node_request.upload {
                Some(upload) => upload.expired().await,
                None => sleep_until(attempt.deadline).await,
            }
        };
        let unwanted = async {
            attempt.cancel.cancelled().await;
            // Once the request is written completely, the attempt goes on to its reply: the node executes it.
            if written.is_complete() {
                pending::<()>().await;
            }
        };
        let tried = tokio::select! {
            biased;
            tried = tried => Ok(tried),
            () = unwanted => return LinkResponse::closed(AttemptEnd::NotSent),
            () = expired => Err(()),
        };
        match tried {
            Ok(Some(Came::Whole(end, body))) => {
                let idle = if connection.sound().await { Some(connection) } else { None };
                return LinkResponse {
                    end,
                    body: NodeReply::Buffered(body),
                    idle_connection: idle,
                    forwarding: None,
                };
            }
            Ok(Some(Came::Long(length, held, body))) => {
                let (feed, pieces) = body_channel();
                let rest = connection.pass(held, body, feed);
                let body = NodeReply::Streamed(StreamedReply::new(length, pieces));
                return LinkResponse {
                    end: AttemptEnd::Served,
                    body,
                    idle_connection: None,
                    forwarding: Some(Box::pin(rest)),
                };
            }
            // The request must not be sent any more.
            Ok(_) if written.is_withheld() => return LinkResponse::closed(AttemptEnd::NotSent),
            // Guards against taking a connection that had grown stale for a node that is down: the node has
            // not had the request, so that this is still the same attempt.
            Ok(_) if reused && !written.is_complete() && repeatable(&attempt) => {}
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

/// Nothing of it has been taken that can't be sent again.
fn repeatable(attempt: &Attempt) -> bool {
    attempt.node_request.upload.as_ref().is_none_or(Upload::is_unsent)
}

type Encoded = Result<Request<Sending>, hyper::http::Error>;

/// The request, and the length of its body where that is told.
fn encode(attempt: &Attempt, address: SocketAddr, written: &Arc<WriteProgress>) -> (Encoded, Option<usize>) {
    let NodeRequest {
        client_request_id: call,
        class_name: class,
        is_write: write,
        target,
        idempotency_key: once,
        body,
        upload: rest,
        ..
    } = &*attempt.node_request;
    let left = attempt.deadline.saturating_duration_since(Instant::now());
    let left = rest.as_ref().map_or(left, Upload::time_budget).as_millis();
    let length = rest.as_ref().map_or(Some(body.len()), |upload| upload.content_length().map(|l| l as usize));
    let method = if *write { Method::PUT } else { Method::GET };
    let mut request = Request::builder().method(method).uri(&**target);
    request = request.header(HOST, address.to_string());
    request = request.header(headers::REQUEST_ID, &**call).header(headers::CLASS, &**class);
    request = request.header(headers::TIME_BUDGET_MS, left.max(1).to_string());
    if let Some(once) = once {
        request = request.header(headers::IDEMPOTENCY_KEY, &**once);
    }
    if let Some(length) = length.filter(|_| *write || !body.is_empty()) {
        request = request.header(CONTENT_LENGTH, length);
    }
    let pieces = rest
        .as_ref()
        .and_then(|upload| Some((upload.take_body()?, upload.content_length(), written.clone())));
    let sending = Sending { held: (!body.is_empty()).then(|| body.clone()), rest: pieces };
    (request.body(sending), length)
}
