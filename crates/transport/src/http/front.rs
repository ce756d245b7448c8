//! The HTTP front as a tower service: passes each request to the core and encodes its answer.

use std::convert::Infallible;
use std::pin::pin;
use std::sync::Arc;
use std::task::{Context, Poll};
use std::time::Duration;

use bytes::Bytes;
use futures_util::future::BoxFuture;
use hyper::body::{Body, Incoming};
use hyper::header::{
    HeaderMap, HeaderValue, CONNECTION, CONTENT_LENGTH, CONTENT_TYPE, RETRY_AFTER, TRANSFER_ENCODING,
};
use hyper::http::request::Parts;
use hyper::{Method, Request, Response, StatusCode};
use tokio::sync::watch;
use tokio::time::Instant;
use tower::{Service, ServiceExt};

use super::body::AnswerBody;
use super::connections::{Client, Framing, Phase};
use super::request_body::{pass, Buffered, RequestBody};
use super::{decode, format_retry_after, headers, InvalidRequest, LONGEST_BODY};
use heathward_core::{body_channel, Answer, ClientRequest, CoreHandle, Draining, NodeReply, Upload};

/// The platform's HTTP front.
#[derive(Clone)]
pub struct Front {
    core: CoreHandle,
}

impl Front {
    /// Creates a front that passes requests to `core`.
    pub fn new(core: CoreHandle) -> Self {
        Self { core }
    }

    /// Whether and why clients are to use another scheduler.
    pub(super) fn draining(&self) -> watch::Receiver<Draining> {
        self.core.draining()
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
        // Decided by the announced length, before any of the body is read.
        let length = body.size_hint().exact();
        if body.size_hint().lower() > LONGEST_BODY {
            return self.refuse(StatusCode::PAYLOAD_TOO_LARGE, "body");
        }
        let mut coming = RequestBody::new(body, since, client.clone());
        match coming.buffer().await {
            Err(status) => self.refuse(status, "body"),
            Ok(Buffered::Complete(body)) => self.answer_buffered(&head, body, client).await,
            Ok(Buffered::Beginning(beginning)) => {
                self.answer_streamed(&head, beginning, length, coming, client).await
            }
        }
    }

    /// Answers a health check: 200 if requests can be served here, else 503 and the reason.
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

    /// Answers a request whose body is streamed to a node while it is being received.
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

/// Whether a request states the length of its body in two ways, or may do so undetected: its body could then
/// hide another request (request smuggling).
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
            if let Some(value) = advice.and_then(|span| format_retry_after(span).parse().ok()) {
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

/// The front together with the connection that it serves.
#[derive(Clone)]
pub(super) struct ConnectionService {
    front: Front,
    client: Arc<Client>,
}

impl ConnectionService {
    /// The service on the connection of that client.
    pub(super) fn new(front: Front, client: Arc<Client>) -> Self {
        Self { front, client }
    }
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
