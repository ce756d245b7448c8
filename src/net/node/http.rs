//! A storage node that speaks the platform's HTTP.

use std::convert::Infallible;
use std::future::{poll_fn, Future};
use std::net::SocketAddr;
use std::pin::Pin;
use std::sync::Arc;
use std::task::{Context, Poll};
use std::time::Duration;

use bytes::Bytes;
use futures_util::future::BoxFuture;
use http_body_util::{BodyExt, Full, Limited};
use hyper::body::Body;
use hyper::client::conn::http1;
use hyper::header::{CONTENT_LENGTH, HOST, TRANSFER_ENCODING};
use hyper::{Method, Request, StatusCode};
use hyper_util::rt::TokioIo;
use tokio::net::TcpStream;
use tokio::time::{timeout_at, Instant};

use super::{Connection, Counted, Done, Job, Written};
use crate::core::{Attempt, Work};
use crate::net::http::{headers, BODY_LIMIT, HEAD_LIMIT};
use crate::End;

type Driver = http1::Connection<TokioIo<Counted>, Full<Bytes>>;

/// The rest of an answer follows its head within this time. Guards against waiting for one that stopped short
/// for as long as for a node that is slow, and against taking the node for slow.
const REST: Duration = Duration::from_millis(50);

/// One connection to such a node; it carries one attempt at a time and is closed when dropped.
pub struct HttpConnection {
    sender: http1::SendRequest<Full<Bytes>>,
    driver: Pin<Box<Driver>>,
    written: Arc<Written>,
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
        let written = Arc::new(Written::default());
        let io = TokioIo::new(Counted::new(stream, written.clone()));
        let mut builder = http1::Builder::new();
        builder.max_buf_size(HEAD_LIMIT);
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

    /// False once it can't carry another request.
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
    async fn exchange(&mut self, request: Request<Full<Bytes>>) -> Option<(End, Bytes)> {
        let sending = self.sender.send_request(request);
        let (head, body) = self.drive(sending).await.ok()?.into_parts();
        let lengths =
            [CONTENT_LENGTH, TRANSFER_ENCODING].iter().filter(|h| head.headers.contains_key(*h)).count();
        if lengths != 1 || body.size_hint().lower() > BODY_LIMIT as u64 {
            return None;
        }
        let rejected = head.headers.get(headers::REJECTED).is_some_and(|v| v == "1");
        let end = match head.status {
            StatusCode::OK => End::Served,
            StatusCode::SERVICE_UNAVAILABLE | StatusCode::GATEWAY_TIMEOUT if rejected => End::Full,
            _ => End::Error,
        };
        let whole_by = Instant::now() + REST;
        let body =
            timeout_at(whole_by, self.drive(Limited::new(body, BODY_LIMIT).collect())).await.ok()?.ok()?;
        Some((end, body.to_bytes()))
    }

    /// False once it can't carry another request, or where more has come than its last answer.
    async fn sound(&mut self) -> bool {
        poll_fn(|cx| Poll::Ready(self.poll_closed(cx).is_pending())).await && !self.sender.is_closed()
    }
}

/// Carries attempts to one node; a tower service.
#[derive(Clone, Debug)]
pub struct HttpLink {
    address: SocketAddr,
}

impl HttpLink {
    /// The way to the node at that address.
    pub fn new(address: SocketAddr) -> Self {
        Self { address }
    }
}

impl tower::Service<Job<HttpConnection>> for HttpLink {
    type Response = Done<HttpConnection>;
    type Error = Infallible;
    type Future = BoxFuture<'static, Result<Self::Response, Infallible>>;

    fn poll_ready(&mut self, _: &mut Context<'_>) -> Poll<Result<(), Infallible>> {
        Poll::Ready(Ok(()))
    }

    fn call(&mut self, job: Job<HttpConnection>) -> Self::Future {
        let address = self.address;
        Box::pin(async move { Ok(carry(address, job).await) })
    }
}

/// One attempt. Whatever it is given up on is dropped, and so closed, before the end is told: no other
/// attempt of the request may start while a connection of this one is open.
async fn carry(address: SocketAddr, job: Job<HttpConnection>) -> Done<HttpConnection> {
    let Job { attempt, mut idle, connect_by } = job;
    loop {
        let reused = idle.is_some();
        let mut connection = match idle.take() {
            Some(connection) => connection,
            None => match timeout_at(connect_by.min(attempt.reach), HttpConnection::open(address)).await {
                Ok(Some(connection)) => connection,
                _ => return Done::lost(End::NotConnected),
            },
        };
        if attempt.gate.is_shut() {
            return Done { end: End::Moot, body: Bytes::new(), idle: Some(connection) };
        }
        let Ok(request) = encode(&attempt, address) else { return Done::lost(End::Moot) };
        connection.written.begin(attempt.work.body.len(), attempt.tries.clone());
        let tried = async {
            if !connection.ready().await {
                return None;
            }
            Some(connection.exchange(request).await)
        };
        match timeout_at(attempt.until, tried).await {
            Ok(Some(Some((end, body)))) => {
                let idle = if connection.sound().await { Some(connection) } else { None };
                return Done { end, body, idle };
            }
            // Guards against taking a connection that had grown stale for a node that is down: the node has
            // not had the request, so that this is still the same attempt.
            Ok(_) if reused && !connection.written.whole() => {}
            Ok(_) if !connection.written.whole() => return Done::lost(End::NotConnected),
            Ok(_) if connection.written.broken() => return Done::lost(End::Reset),
            // The node is there and has said something that makes no sense. Guards against taking it for one
            // that went down and is cold now: it may have run the request, and that is all.
            Ok(_) => return Done::lost(End::Error),
            Err(_) => return Done::lost(End::TimedOut),
        }
    }
}

fn encode(attempt: &Attempt, address: SocketAddr) -> Result<Request<Full<Bytes>>, hyper::http::Error> {
    let Work { call, class, write, target, once, body, .. } = &*attempt.work;
    let left = attempt.until.saturating_duration_since(Instant::now()).as_millis();
    let method = if *write { Method::PUT } else { Method::GET };
    let mut request = Request::builder().method(method).uri(&**target);
    request = request.header(HOST, address.to_string());
    request = request.header(headers::CALL, &**call).header(headers::CLASS, &**class);
    request = request.header(headers::BUDGET, left.max(1).to_string());
    if let Some(once) = once {
        request = request.header(headers::ONCE, &**once);
    }
    if *write || !body.is_empty() {
        request = request.header(CONTENT_LENGTH, body.len());
    }
    request.body(Full::new(body.clone()))
}
