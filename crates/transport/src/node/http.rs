//! The link to a storage node that speaks HTTP/1.1: carries out attempts on its connections.

mod body;
mod connection;
mod reply_pace;

use std::convert::Infallible;
use std::future::pending;
use std::net::SocketAddr;
use std::sync::Arc;
use std::task::{Context, Poll};

use bytes::Bytes;
use futures_util::future::BoxFuture;
use hyper::header::{CONTENT_LENGTH, HOST};
use hyper::{Method, Request};
use tokio::time::{sleep_until, timeout_at, Instant};

use self::body::OutgoingBody;
use self::connection::{HttpConnection, PartialReply, Reply, ReplyBuffer};
use super::{LinkRequest, LinkResponse, WriteProgress};
use crate::http::headers;
use heathward_core::memory::MemoryBudget;
use heathward_core::{body_channel, AbandonCause, Attempt, NodeReply, NodeRequest, StreamedReply, Upload};
use heathward_policy::AttemptEnd;

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
        let receiving_long_reply = connection.receiving_long_reply.clone();
        written.begin(length, attempt.clone());
        let exchange = connection.exchange(request, reply_buffer);
        let expired = async {
            match &attempt.node_request.upload {
                Some(upload) => upload.expired().await,
                None => sleep_until(attempt.deadline).await,
            }
            // The deadline of an upload's client is not known when its attempt is sent.
            if attempt.node_request.upload.is_none() && receiving_long_reply.is_set() {
                sleep_until(attempt.client_deadline).await;
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
            Err(()) if !written.is_complete() => return LinkResponse::closed(end_of_unwritten(&attempt)),
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

/// Returns how an attempt ended that was given up before its request was written completely.
fn end_of_unwritten(attempt: &Attempt) -> AttemptEnd {
    match &attempt.node_request.upload {
        // The node was waiting for a body for which there was no memory here.
        Some(upload) if upload.abandoned() == Some(AbandonCause::NoMemory) => AttemptEnd::NotSent,
        // The node has stopped reading a long body, so it has not received the complete request.
        Some(_) => AttemptEnd::NotConnected,
        None => AttemptEnd::TimedOut,
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
    let time_left_ms = upload.as_ref().map_or(time_left, Upload::time_left).as_millis();
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
