//! The front's server: connections, the service on them, and the end after SIGTERM.

use std::convert::Infallible;
use std::pin::pin;
use std::sync::Arc;
use std::task::{Context, Poll};
use std::time::Duration;

use bytes::Bytes;
use futures_util::future::BoxFuture;
use http_body_util::{BodyExt, Full, Limited};
use hyper::body::Incoming;
use hyper::header::{CONTENT_TYPE, RETRY_AFTER};
use hyper::server::conn::http1;
use hyper::{Method, Request, Response, StatusCode};
use hyper_util::rt::TokioIo;
use hyper_util::service::TowerToHyperService;
use tokio::net::{TcpListener, TcpStream};
use tokio::sync::{watch, Semaphore};
use tokio::time::{sleep_until, timeout_at, Instant};
use tower::{Service, ServiceExt};

use super::{decode, retry_after, Bad, BODY_LIMIT};
use crate::core::{Answer, Core};
use crate::settings::Deployment;

/// A pause after a connection could not be accepted, so that a lack of descriptors is no busy loop.
const ACCEPT_PAUSE: Duration = Duration::from_millis(10);

/// A client has so long to bring the body that its head has announced: one that stops would hold a place.
const BODY_TIME: Duration = Duration::from_secs(10);

/// The platform's front as a tower service.
#[derive(Clone)]
pub struct Front {
    core: Core,
    deployment: Arc<Deployment>,
}

impl Front {
    /// A front before that core.
    pub fn new(core: Core, deployment: Arc<Deployment>) -> Self {
        Self { core, deployment }
    }

    async fn answer(mut self, request: Request<Incoming>) -> Response<Full<Bytes>> {
        if request.uri().path() == "/healthz" && request.method() == Method::GET {
            let ready = self.core.status().ready;
            return plain(if ready { StatusCode::OK } else { StatusCode::SERVICE_UNAVAILABLE }, "");
        }
        let (head, body) = request.into_parts();
        let body = timeout_at(Instant::now() + BODY_TIME, Limited::new(body, BODY_LIMIT).collect()).await;
        let Ok(Ok(body)) = body else {
            return self.bad(Bad("body"));
        };
        let call = match decode(&self.deployment, &head, body.to_bytes(), Instant::now()) {
            Ok(call) => call,
            Err(bad) => return self.bad(bad),
        };
        let answer = match self.core.ready().await {
            Ok(core) => core.call(call).await,
            Err(gone) => Err(gone),
        };
        encode(answer.unwrap_or(Answer::Failed { ran: true, late: false }))
    }

    fn bad(&self, Bad(part): Bad) -> Response<Full<Bytes>> {
        self.core.malformed();
        plain(StatusCode::BAD_REQUEST, part)
    }
}

fn encode(answer: Answer) -> Response<Full<Bytes>> {
    match answer {
        Answer::Served(body) => Response::new(Full::new(body)),
        Answer::Refused { retry_after: advice } => {
            let mut response = plain(StatusCode::SERVICE_UNAVAILABLE, "refused");
            if let Some(value) = advice.and_then(|span| retry_after(span).parse().ok()) {
                response.headers_mut().insert(RETRY_AFTER, value);
            }
            response
        }
        Answer::Failed { late: true, .. } => plain(StatusCode::GATEWAY_TIMEOUT, "too late"),
        Answer::Failed { late: false, .. } => plain(StatusCode::BAD_GATEWAY, "failed"),
    }
}

fn plain(status: StatusCode, text: &'static str) -> Response<Full<Bytes>> {
    let mut response = Response::new(Full::new(Bytes::from_static(text.as_bytes())));
    *response.status_mut() = status;
    response.headers_mut().insert(CONTENT_TYPE, hyper::header::HeaderValue::from_static("text/plain"));
    response
}

impl Service<Request<Incoming>> for Front {
    type Response = Response<Full<Bytes>>;
    type Error = Infallible;
    type Future = BoxFuture<'static, Result<Self::Response, Infallible>>;

    fn poll_ready(&mut self, _: &mut Context<'_>) -> Poll<Result<(), Infallible>> {
        Poll::Ready(Ok(()))
    }

    fn call(&mut self, request: Request<Incoming>) -> Self::Future {
        let front = self.clone();
        Box::pin(async move { Ok(front.answer(request).await) })
    }
}

/// Accepts connections, at most `most` at a time, until the task is dropped. Once `stopping` turns true,
/// connections are closed between requests, and new ones carry a single request.
pub async fn serve(listener: TcpListener, front: Front, most: usize, stopping: watch::Receiver<bool>) {
    let room = Arc::new(Semaphore::new(most));
    loop {
        // Waits here while all are taken: the backlog keeps what comes meanwhile.
        let Ok(permit) = room.clone().acquire_owned().await else { return };
        let stream = match listener.accept().await {
            Ok((stream, _)) => stream,
            Err(_) => {
                sleep_until(Instant::now() + ACCEPT_PAUSE).await;
                continue;
            }
        };
        let (front, stopping) = (front.clone(), stopping.clone());
        tokio::spawn(async move {
            carry(stream, front, stopping).await;
            drop(permit);
        });
    }
}

async fn carry(stream: TcpStream, front: Front, mut stopping: watch::Receiver<bool>) {
    if stream.set_nodelay(true).is_err() {
        return;
    }
    let last = *stopping.borrow_and_update();
    let mut builder = http1::Builder::new();
    builder.keep_alive(!last);
    let connection = builder.serve_connection(TokioIo::new(stream), TowerToHyperService::new(front));
    let mut connection = pin!(connection);
    tokio::select! {
        // A client that breaks off ends its connection; what it asked is dropped, and the core hears of it.
        _ = connection.as_mut() => return,
        changed = stopping.changed(), if !last => {
            if changed.is_err() {
                return;
            }
        }
    }
    connection.as_mut().graceful_shutdown();
    // As above.
    let _ = connection.await;
}
