//! The front's server: connections, the service on them, and the end after SIGTERM.

use std::convert::Infallible;
use std::future::{pending, poll_fn, Future};
use std::pin::{pin, Pin};
use std::sync::Arc;
use std::task::{Context, Poll};
use std::time::Duration;

use bytes::{Bytes, BytesMut};
use futures_util::future::BoxFuture;
use http_body_util::BodyExt;
use hyper::body::{Body, Incoming};
use hyper::header::{
    HeaderMap, HeaderValue, CONNECTION, CONTENT_LENGTH, CONTENT_TYPE, RETRY_AFTER, TRANSFER_ENCODING,
};
use hyper::http::request::Parts;
use hyper::server::conn::http1;
use hyper::{Method, Request, Response, StatusCode};
use hyper_util::rt::TokioIo;
use hyper_util::service::TowerToHyperService;
use tokio::io::{AsyncReadExt, AsyncWriteExt};
use tokio::net::{TcpListener, TcpStream};
use tokio::sync::watch;
use tokio::time::{sleep_until, timeout_at, Instant};
use tower::{Service, ServiceExt};

use super::body::AnswerBody;
use super::connections::{Client, ConnectionTable, Framing, Phase, Slot, REQUEST_TIMEOUT};
use super::stream::ClientStream;
use super::{decode, headers, retry_after, InvalidRequest, HEAD_LIMIT, LONGEST_BODY};
use heathward_core::{
    body_channel, Answer, BodySender, ClientRequest, CoreHandle, Draining, NodeReply, Upload,
    MAX_BUFFERED_BODY_BYTES,
};

/// A pause after a connection could not be accepted, so that a lack of descriptors is no busy loop.
const ACCEPT_PAUSE: Duration = Duration::from_millis(10);

/// The slowest rate at which a body may be received; a client that keeps to the protocol sends 64.
const MIN_BODY_BYTES_PER_MS: u64 = 48;
/// The answer to a request that is not complete in time.
const TIMEOUT_ANSWER: &[u8] =
    b"HTTP/1.1 408 Request Timeout\r\nconnection: close\r\ncontent-length: 0\r\n\r\n";
/// How often it is checked for an idle connection whether the table has become crowded.
const CROWDING_CHECK_INTERVAL: Duration = Duration::from_millis(500);
/// An idle connection is closed this long after the start of a pause, or after its last answer.
const PAUSED_IDLE_TIMEOUT: Duration = Duration::from_millis(800);
/// The same once another process takes what comes: there is more time, and a client whose request crosses the
/// close has to come again.
const REPLACED_IDLE_TIMEOUT: Duration = Duration::from_millis(2030);
/// Input after the last answer is discarded in pieces of this many bytes.
const DISCARD_BUFFER_BYTES: usize = 64 * 1024;

/// The platform's front as a tower service.
#[derive(Clone)]
pub struct Front {
    core: CoreHandle,
}

impl Front {
    /// A front before that core.
    pub fn new(core: CoreHandle) -> Self {
        Self { core }
    }

    /// Answers a request whose head has come.
    async fn answer(self, request: Request<Incoming>, client: &Arc<Client>) -> Response<AnswerBody> {
        let since = client.begin();
        let framing = client.framing();
        if request.uri().path() == "/healthz" && request.method() == Method::GET {
            return self.health();
        }
        let (head, body) = request.into_parts();
        if ambiguous_length(&head.headers, framing) {
            return self.refuse(StatusCode::BAD_REQUEST, "transfer-encoding");
        }
        // Told from its length, before any of it is read.
        let length = body.size_hint().exact();
        if body.size_hint().lower() > LONGEST_BODY {
            return self.refuse(StatusCode::PAYLOAD_TOO_LARGE, "body");
        }
        let mut coming = RequestBody { body, since, size: 0, client: client.clone() };
        match coming.buffer().await {
            Err(status) => self.refuse(status, "body"),
            Ok(Buffered::Complete(body)) => self.answer_buffered(&head, body, client).await,
            Ok(Buffered::Beginning(beginning)) => {
                self.answer_streamed(&head, beginning, length, coming, client).await
            }
        }
    }

    /// Answers a health check: 200 while requests can be served here, else 503 and why.
    fn health(&self) -> Response<AnswerBody> {
        let (status, paused) = (self.core.status(), self.core.draining().borrow().paused);
        let why = match status.expired_lease_last_contact {
            _ if paused => "paused by staff".to_owned(),
            Some(since) => format!("nothing heard from discovery for {} ms", since.elapsed().as_millis()),
            None if !status.ready => "no list of storage nodes".to_owned(),
            None => return plain(StatusCode::OK, ""),
        };
        plain(StatusCode::SERVICE_UNAVAILABLE, format!("{why}\n"))
    }

    /// Answers a request whose body is held as a whole, so that it can be retried.
    async fn answer_buffered(self, head: &Parts, body: Bytes, client: &Arc<Client>) -> Response<AnswerBody> {
        client.enter(Phase::Processing);
        match decode(&self.core.deployment(), head, body, None, Instant::now()) {
            Ok(call) => encode(self.ask(call).await, client),
            Err(InvalidRequest(part)) => self.refuse(StatusCode::BAD_REQUEST, part),
        }
    }

    /// Answers a request whose body is streamed to a node while it comes.
    async fn answer_streamed(
        self,
        head: &Parts,
        beginning: Bytes,
        length: Option<u64>,
        coming: RequestBody,
        client: &Arc<Client>,
    ) -> Response<AnswerBody> {
        let (feed, pieces) = body_channel();
        let rest = Some((length, pieces));
        let call = match decode(&self.core.deployment(), head, beginning, rest, Instant::now()) {
            Ok(call) => call,
            Err(InvalidRequest(part)) => return self.refuse(StatusCode::BAD_REQUEST, part),
        };
        let upload = call.node_request.upload.clone();
        // A connection may take its time, and a node no more than the client would wait at the end.
        let connect = Duration::from_micros(self.core.deployment().connect_timeout);
        let within = connect + upload.as_ref().map_or(Duration::ZERO, Upload::time_budget);
        let passing = pass(coming, feed, upload.as_ref(), within);
        let mut asked = pin!(self.clone().ask(call));
        let answer = tokio::select! {
            biased;
            answer = &mut asked => {
                // Its client may send on for a while: it is told, and then its connection ends.
                let mut answer = encode(answer, client);
                answer.headers_mut().insert(CONNECTION, HeaderValue::from_static("close"));
                return answer;
            }
            passed = passing => match passed {
                // Whoever breaks off is not asked for any more.
                Err(status) => return self.refuse(status, "body"),
                Ok(()) => asked.await,
            },
        };
        encode(answer, client)
    }

    async fn ask(mut self, call: ClientRequest) -> Answer {
        let answer = match self.core.ready().await {
            Ok(core) => core.call(call).await,
            Err(gone) => Err(gone),
        };
        answer.unwrap_or(Answer::Failed { possibly_executed: true, deadline_passed: false })
    }

    /// Rejects a malformed request and closes its connection: what follows it can't be parsed reliably
    /// either.
    fn refuse(&self, status: StatusCode, part: &'static str) -> Response<AnswerBody> {
        self.core.count_malformed_request();
        closing(status, part)
    }
}

/// What was read of a body before its request is decoded.
enum Buffered {
    /// All of it.
    Complete(Bytes),
    /// More than is held of one body; the rest is still to come.
    Beginning(Bytes),
}

/// The body of a request that is being received.
struct RequestBody {
    body: Incoming,
    /// When its request began, less the time for which a node did not accept it.
    since: Instant,
    size: u64,
    client: Arc<Client>,
}

impl RequestBody {
    /// Reads on until the body is complete or too long to be held as a whole.
    async fn buffer(&mut self) -> Result<Buffered, StatusCode> {
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
async fn pass(
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

/// Whether a request tells the length of its body in two ways, or may do so unseen: its body may hide
/// another request then.
fn ambiguous_length(headers: &HeaderMap, framing: Framing) -> bool {
    let coded = headers.contains_key(TRANSFER_ENCODING);
    let two = coded && headers.contains_key(CONTENT_LENGTH);
    two || (coded && framing != Framing::One)
}

/// The last answer on its connection.
fn closing(status: StatusCode, part: &'static str) -> Response<AnswerBody> {
    let mut response = plain(status, part);
    response.headers_mut().insert(CONNECTION, HeaderValue::from_static("close"));
    response
}

fn encode(answer: Answer, client: &Arc<Client>) -> Response<AnswerBody> {
    match answer {
        Answer::Served(NodeReply::Buffered(body)) => Response::new(whole(body)),
        Answer::Served(NodeReply::Streamed(passing)) => {
            Response::new(AnswerBody::Streamed(passing, client.clone()))
        }
        Answer::Shed { retry_after: advice } => {
            let mut response = plain(StatusCode::SERVICE_UNAVAILABLE, "refused");
            if let Some(value) = advice.and_then(|span| retry_after(span).parse().ok()) {
                response.headers_mut().insert(RETRY_AFTER, value);
            }
            response
        }
        Answer::Duplicate => closing(StatusCode::BAD_REQUEST, headers::CALL),
        Answer::Failed { deadline_passed: true, .. } => plain(StatusCode::GATEWAY_TIMEOUT, "too late"),
        Answer::Failed { deadline_passed: false, .. } => plain(StatusCode::BAD_GATEWAY, "failed"),
    }
}

fn whole(body: Bytes) -> AnswerBody {
    AnswerBody::Buffered((!body.is_empty()).then_some(body))
}

fn plain(status: StatusCode, text: impl Into<Bytes>) -> Response<AnswerBody> {
    let mut response = Response::new(whole(text.into()));
    *response.status_mut() = status;
    response.headers_mut().insert(CONTENT_TYPE, HeaderValue::from_static("text/plain"));
    response
}

/// The front as one connection sees it.
#[derive(Clone)]
struct ConnectionService {
    front: Front,
    client: Arc<Client>,
}

impl Service<Request<Incoming>> for ConnectionService {
    type Response = Response<AnswerBody>;
    type Error = Infallible;
    type Future = BoxFuture<'static, Result<Self::Response, Infallible>>;

    fn poll_ready(&mut self, _: &mut Context<'_>) -> Poll<Result<(), Infallible>> {
        Poll::Ready(Ok(()))
    }

    fn call(&mut self, request: Request<Incoming>) -> Self::Future {
        let Self { front, client } = self.clone();
        Box::pin(async move {
            let draining = front.core.draining();
            let mut answer = front.answer(request, &client).await;
            // Its client asks elsewhere from now on.
            if draining.borrow().closes_connections() || client.ends_with_answer() {
                answer.headers_mut().insert(CONNECTION, HeaderValue::from_static("close"));
            }
            let passes = matches!(answer.body(), AnswerBody::Streamed(..));
            let now = Instant::now();
            client.enter(if passes { Phase::StreamingAnswer(now) } else { Phase::Idle(now) });
            Ok(answer)
        })
    }
}

/// Accepts connections until the task is dropped. Once `stopping` turns true, connections are closed between
/// requests, and new ones carry a single request.
pub async fn serve(
    listener: TcpListener,
    front: Front,
    table: ConnectionTable,
    stopping: watch::Receiver<bool>,
) {
    loop {
        let stream = match listener.accept().await {
            Ok((stream, _)) => stream,
            Err(_) => {
                sleep_until(Instant::now() + ACCEPT_PAUSE).await;
                continue;
            }
        };
        // With none to spare, the newcomer's connection is closed at once.
        if let Some(slot) = table.enter(Instant::now()) {
            tokio::spawn(serve_connection(stream, front.clone(), slot, stopping.clone()));
        }
    }
}

/// What happens to a connection while its requests are served.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum ConnectionEvent {
    /// It ended by what was read or written on it.
    Ended,
    /// Its client disconnected while a request of it was worked on.
    ClientDisconnected,
    /// Its time in a phase is over.
    TimedOut,
    /// It has to make room for another connection.
    Evicted,
    /// The program shuts down.
    ShuttingDown,
    /// Clients are to be sent away, or no longer.
    DrainingChanged,
}

/// How a connection is closed.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum Close {
    /// Its client can still read what was written last.
    Lingering,
    /// At once.
    Immediate,
}

type HttpConnection = http1::Connection<TokioIo<ClientStream>, TowerToHyperService<ConnectionService>>;

/// How long a connection is kept.
struct Retention {
    /// It carries no request after the present one.
    last_request: bool,
    /// Since when and for how long idle connections are kept, while clients are sent away.
    closing: Option<(Instant, Duration)>,
    /// Until then an idle connection is kept.
    kept_until: Instant,
}

impl Retention {
    /// When a connection in its present phase has had its time.
    fn deadline(&self, phase: Phase) -> Option<Instant> {
        let until = phase.until()?;
        Some(match (phase, self.closing) {
            (Phase::Idle(since), Some((told, span))) => since.max(told) + span,
            (Phase::Idle(_), None) => until.max(self.kept_until),
            _ => until,
        })
    }
}

async fn serve_connection(stream: TcpStream, front: Front, slot: Slot, mut stopping: watch::Receiver<bool>) {
    if stream.set_nodelay(true).is_err() {
        return;
    }
    let client = slot.client.clone();
    let last_request = *stopping.borrow_and_update();
    let stream = ClientStream::new(stream, client.clone());
    let mut draining = front.core.draining();
    let closing = closes(*draining.borrow_and_update());
    let service = TowerToHyperService::new(ConnectionService { front, client: client.clone() });
    let mut builder = http1::Builder::new();
    builder.keep_alive(!last_request).max_buf_size(HEAD_LIMIT);
    let mut connection = builder.serve_connection(TokioIo::new(stream.clone()), service);
    let mut retention = Retention { last_request, closing, kept_until: Instant::now() };
    let close = loop {
        let stop = stopping.changed();
        let event = next_event(&mut connection, &client, &stream, &retention, stop, draining.changed()).await;
        match event {
            ConnectionEvent::DrainingChanged => retention.closing = closes(*draining.borrow()),
            ConnectionEvent::ShuttingDown => {
                retention.last_request = true;
                // A request that is coming has its answer; between requests the connection is closed.
                client.end_with_answer();
                if !matches!(client.phase(), Phase::ReceivingRequest(_)) {
                    Pin::new(&mut connection).graceful_shutdown();
                }
            }
            ConnectionEvent::TimedOut if may_be_kept(&retention, &slot, &client) => {
                retention.kept_until = Instant::now() + CROWDING_CHECK_INTERVAL;
            }
            ConnectionEvent::Ended => break Close::Lingering,
            ConnectionEvent::ClientDisconnected => break Close::Immediate,
            ConnectionEvent::TimedOut | ConnectionEvent::Evicted => break refuse_late(&client, &stream),
        }
    };
    if close == Close::Immediate {
        return;
    }
    // What was being worked on is dropped with it.
    drop(connection);
    if let Some(mut stream) = stream.into_stream() {
        linger(&mut stream, &client).await;
    }
}

/// Serves a connection until something happens to it. `stop` is ready once the program shuts down, and `turn`
/// once clients are to be sent away or no longer.
async fn next_event(
    connection: &mut HttpConnection,
    client: &Client,
    stream: &ClientStream,
    retention: &Retention,
    stop: impl Future,
    turn: impl Future,
) -> ConnectionEvent {
    let mut timeout = pin!(sleep_until(Instant::now()));
    let mut evicted = pin!(client.evicted.notified());
    let (mut stop, mut turn) = (pin!(stop), pin!(turn));
    poll_fn(|cx| {
        // Before anything more is read: a request that is read from now on would be dropped.
        if evicted.as_mut().poll(cx).is_ready() {
            return Poll::Ready(ConnectionEvent::Evicted);
        }
        // A client that breaks off ends its connection; its request is dropped, and the core hears of it.
        if connection.poll_without_shutdown(cx).is_ready() {
            return Poll::Ready(ConnectionEvent::Ended);
        }
        let working = matches!(client.phase(), Phase::Processing | Phase::StreamingAnswer(_));
        if working && stream.poll_gone(cx).is_ready() {
            return Poll::Ready(ConnectionEvent::ClientDisconnected);
        }
        // A connection that nothing has come on yet is not closed: its first request may be on its way.
        let stoppable = !retention.last_request && !matches!(client.phase(), Phase::Connected(_));
        if stoppable && stop.as_mut().poll(cx).is_ready() {
            return Poll::Ready(ConnectionEvent::ShuttingDown);
        }
        if turn.as_mut().poll(cx).is_ready() {
            return Poll::Ready(ConnectionEvent::DrainingChanged);
        }
        let Some(deadline) = retention.deadline(client.phase()) else { return Poll::Pending };
        if timeout.deadline() != deadline {
            timeout.as_mut().reset(deadline);
        }
        timeout.as_mut().poll(cx).map(|()| ConnectionEvent::TimedOut)
    })
    .await
}

/// Whether an idle connection whose time is over is kept for another while, as places are not scarce.
fn may_be_kept(retention: &Retention, slot: &Slot, client: &Client) -> bool {
    retention.closing.is_none() && !slot.table.crowded() && client.phase().kept_until() > Some(Instant::now())
}

/// Tells a client whose request is still coming that it was too slow.
fn refuse_late(client: &Client, stream: &ClientStream) -> Close {
    let asking = matches!(client.phase(), Phase::ReceivingRequest(_) | Phase::ReceivingBody { .. });
    // A few bytes, of which nothing else has been written: they find room, or the client has left.
    if asking && stream.try_write(TIMEOUT_ANSWER).is_err() {
        return Close::Immediate;
    }
    Close::Lingering
}

/// From now on idle connections are closed after so long, if clients are to be sent away.
fn closes(draining: Draining) -> Option<(Instant, Duration)> {
    let span = if draining.paused { PAUSED_IDLE_TIMEOUT } else { REPLACED_IDLE_TIMEOUT };
    draining.closes_connections().then(|| (Instant::now(), span))
}

/// Closes a connection so that its client can read what it was last told: says that no more comes, and takes
/// in for a while what is still on its way. A connection closed over unread bytes is reset, which may
/// overtake the answer; a request that crosses the close is not read, and its client sends it once more.
async fn linger(stream: &mut TcpStream, client: &Client) {
    let phase = Phase::Lingering(Instant::now());
    client.enter(phase);
    if stream.shutdown().await.is_err() {
        return;
    }
    let mut waste = vec![0; DISCARD_BUFFER_BYTES];
    let read = async { while stream.read(&mut waste).await.is_ok_and(|size| size > 0) {} };
    let by = phase.until().unwrap_or_else(Instant::now);
    tokio::select! {
        // Whether it has closed by then or not, it had its time.
        _ = timeout_at(by, read) => {}
        () = client.cut.notified() => {}
    }
}
