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
use tokio::task::yield_now;
use tokio::time::Instant;
use tower::{Service, ServiceExt};

use super::body::{AnswerBody, AnswerContent};
use super::connections::{ClientConnection, Framing, Phase};
use super::request_body::{forward_body, BufferedBody, RequestBody};
use super::stream::ClientStream;
use super::{decode, format_retry_after, headers, InvalidRequest, RequestData, MAX_BODY_BYTES};
use heathward_core::memory::MemoryBudget;
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

    /// Returns a watch on whether clients are drained to another scheduler, and why.
    pub(super) fn draining(&self) -> watch::Receiver<Draining> {
        self.core.draining()
    }

    /// Returns the memory that bodies and connections share.
    pub(super) fn memory(&self) -> &MemoryBudget {
        self.core.memory()
    }

    /// Answers a request whose head was received.
    async fn answer(
        self,
        request: Request<Incoming>,
        client: &Arc<ClientConnection>,
        stream: ClientStream,
    ) -> Response<AnswerContent> {
        let began_at = client.begin_request();
        let framing = client.take_framing();
        if request.uri().path() == "/healthz" && request.method() == Method::GET {
            // A read may bring hundreds of these, which need nothing that they would wait for.
            yield_now().await;
            return self.health();
        }
        let (head, body) = request.into_parts();
        if ambiguous_length(&head.headers, framing) {
            return self.refuse(StatusCode::BAD_REQUEST, "transfer-encoding");
        }
        // Decided by the announced length, before any of the body is read.
        let length = body.size_hint().exact();
        if body.size_hint().lower() > MAX_BODY_BYTES {
            return self.refuse(StatusCode::PAYLOAD_TOO_LARGE, "body");
        }
        let mut request_body = RequestBody::new(body, began_at, client.clone(), stream);
        match request_body.buffer(self.core.memory()).await {
            Err(status) => self.refuse(status, "body"),
            Ok(BufferedBody::Complete(body)) => self.answer_buffered(&head, body, client).await,
            Ok(BufferedBody::Partial(first_part)) => {
                self.answer_streamed(&head, first_part, length, request_body).await
            }
        }
    }

    /// Answers a health check: 200 if requests can be served here, else 503 and the reason.
    fn health(&self) -> Response<AnswerContent> {
        let (status, paused) = (self.core.status(), self.core.draining().borrow().paused);
        let reason = match status.expired_lease_last_contact {
            _ if paused => "paused by staff".to_owned(),
            Some(since) => format!("nothing heard from discovery for {} ms", since.elapsed().as_millis()),
            None if !status.ready => "no list of storage nodes".to_owned(),
            None => return text_response(StatusCode::OK, ""),
        };
        text_response(StatusCode::SERVICE_UNAVAILABLE, format!("{reason}\n"))
    }

    /// Answers a request whose body is buffered completely, so that the request can be retried.
    async fn answer_buffered(
        self,
        head: &Parts,
        body: Bytes,
        client: &Arc<ClientConnection>,
    ) -> Response<AnswerContent> {
        client.set_phase(Phase::Processing);
        match decode(&self.core.deployment(), head, RequestData::Buffered(body), Instant::now()) {
            Ok(request) => encode(self.call_core(request).await),
            Err(InvalidRequest(part)) => self.refuse(StatusCode::BAD_REQUEST, part),
        }
    }

    /// Answers a request whose body is streamed to a node while it is being received.
    async fn answer_streamed(
        self,
        head: &Parts,
        first_part: Bytes,
        length: Option<u64>,
        request_body: RequestBody,
    ) -> Response<AnswerContent> {
        let (sender, chunks) = body_channel(first_part);
        let body = RequestData::Streamed(length, chunks);
        let request = match decode(&self.core.deployment(), head, body, Instant::now()) {
            Ok(request) => request,
            Err(InvalidRequest(part)) => return self.refuse(StatusCode::BAD_REQUEST, part),
        };
        let upload = request.node_request.upload.clone();
        // A chunk may wait for the connection to the node and then for as long as the client waits after the
        // last byte.
        let connect_timeout = Duration::from_micros(self.core.deployment().connect_timeout);
        let chunk_timeout = connect_timeout + upload.as_ref().map_or(Duration::ZERO, Upload::time_budget);
        let memory = self.core.memory();
        let forwarding = forward_body(request_body, sender, upload.as_ref(), chunk_timeout, memory);
        let mut calling = pin!(self.clone().call_core(request));
        let answer = tokio::select! {
            biased;
            answer = &mut calling => {
                // The client may still be sending the body: it gets the answer, and then its connection is
                // closed.
                let mut answer = encode(answer);
                answer.headers_mut().insert(CONNECTION, HeaderValue::from_static("close"));
                return answer;
            }
            forwarded = forwarding => match forwarded {
                // The body is broken, too slow or too long: the request is cancelled.
                Err(status) => return self.refuse(status, "body"),
                Ok(()) => calling.await,
            },
        };
        encode(answer)
    }

    async fn call_core(mut self, request: ClientRequest) -> Answer {
        let answer = match self.core.ready().await {
            Ok(core) => core.call(request).await,
            Err(stopped) => Err(stopped),
        };
        answer.unwrap_or(Answer::Failed { possibly_executed: true, deadline_passed: false })
    }

    /// Rejects a malformed request and closes its connection: what follows it can't be parsed reliably
    /// either.
    fn refuse(&self, status: StatusCode, part: &'static str) -> Response<AnswerContent> {
        self.core.count_malformed_request();
        closing_response(status, part)
    }
}

/// Whether a request states the length of its body in two ways, or may do so undetected: its body could then
/// hide another request (request smuggling).
fn ambiguous_length(headers: &HeaderMap, framing: Framing) -> bool {
    let has_transfer_encoding = headers.contains_key(TRANSFER_ENCODING);
    let has_both = has_transfer_encoding && headers.contains_key(CONTENT_LENGTH);
    has_both || (has_transfer_encoding && framing != Framing::Unambiguous)
}

/// Builds the last answer on its connection.
fn closing_response(status: StatusCode, part: &'static str) -> Response<AnswerContent> {
    let mut response = text_response(status, part);
    response.headers_mut().insert(CONNECTION, HeaderValue::from_static("close"));
    response
}

fn encode(answer: Answer) -> Response<AnswerContent> {
    match answer {
        Answer::Served(NodeReply::Buffered(body)) => Response::new(buffered_body(body)),
        Answer::Served(NodeReply::Streamed(reply)) => Response::new(AnswerContent::Streamed(reply)),
        Answer::Shed { retry_after: delay } => {
            let mut response = text_response(StatusCode::SERVICE_UNAVAILABLE, "refused");
            if let Some(value) = delay.and_then(|micros| format_retry_after(micros).parse().ok()) {
                response.headers_mut().insert(RETRY_AFTER, value);
            }
            response
        }
        Answer::Duplicate => closing_response(StatusCode::BAD_REQUEST, headers::REQUEST_ID),
        Answer::Failed { deadline_passed: true, .. } => {
            text_response(StatusCode::GATEWAY_TIMEOUT, "too late")
        }
        Answer::Failed { deadline_passed: false, .. } => text_response(StatusCode::BAD_GATEWAY, "failed"),
    }
}

fn buffered_body(body: Bytes) -> AnswerContent {
    AnswerContent::Buffered((!body.is_empty()).then_some(body))
}

fn text_response(status: StatusCode, text: impl Into<Bytes>) -> Response<AnswerContent> {
    let mut response = Response::new(buffered_body(text.into()));
    *response.status_mut() = status;
    response.headers_mut().insert(CONTENT_TYPE, HeaderValue::from_static("text/plain"));
    response
}

/// The front together with the connection that it serves.
#[derive(Clone)]
pub(super) struct ConnectionService {
    front: Front,
    client: Arc<ClientConnection>,
    stream: ClientStream,
}

impl ConnectionService {
    /// Creates the service for one connection.
    pub(super) fn new(front: Front, client: Arc<ClientConnection>, stream: ClientStream) -> Self {
        Self { front, client, stream }
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
        let Self { front, client, stream } = self.clone();
        Box::pin(async move {
            let draining = front.core.draining();
            let mut answer = front.answer(request, &client, stream.clone()).await;
            // The client is to use another connection or scheduler from now on.
            if draining.borrow().closes_connections() || client.closes_after_answer() {
                answer.headers_mut().insert(CONNECTION, HeaderValue::from_static("close"));
            }
            client.set_phase(Phase::SendingAnswer(Instant::now()));
            Ok(answer.map(|content| AnswerBody::new(content, stream)))
        })
    }
}
