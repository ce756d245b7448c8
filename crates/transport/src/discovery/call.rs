//! One HTTP call for the endpoint list. A separate task reads the response body for as long as the
//! [`ListCall`] exists.

use std::future::Future;
use std::net::SocketAddr;
use std::pin::pin;
use std::sync::{Arc, OnceLock};
use std::time::Duration;

use bytes::Bytes;
use http_body_util::{BodyExt, Empty};
use hyper::body::Incoming;
use hyper::client::conn::http1;
use hyper::header::{HOST, RETRY_AFTER};
use hyper::{Request, Response, StatusCode};
use hyper_util::rt::TokioIo;
use tokio::sync::mpsc;
use tokio::task::JoinHandle;
use tokio::time::Instant;

use super::events::{CallProgress, ListRequest, ResponseHead, ResponseStatus};
use super::stream_splitter::StreamSplitter;
use crate::socket_buffers::connect;

/// The path of the endpoint list.
const LIST_PATH: &str = "/v1/servers";
/// The size above which a list, on one line or on several, ends its call.
const MAX_LIST_BYTES: usize = 4 << 20;
/// The number of lines that can be read before they are taken by [`ListCall::next_line`].
const LINE_CHANNEL_CAPACITY: usize = 1;

/// An open call. Dropping it closes its connection.
#[derive(Debug)]
pub(super) struct ListCall {
    lines: mpsc::Receiver<Vec<u8>>,
    reader: JoinHandle<()>,
    opened_at: Instant,
    reader_progress: Arc<ReaderProgress>,
}

/// The progress of the reading task.
#[derive(Debug, Default)]
struct ReaderProgress {
    sent_at: OnceLock<Instant>,
    response: OnceLock<ResponseHead>,
}

impl ListCall {
    /// Opens a call and returns at once; the reading task connects.
    pub(super) fn open(address: SocketAddr, request: ListRequest) -> Self {
        let (sender, lines) = mpsc::channel(LINE_CHANNEL_CAPACITY);
        let reader_progress = Arc::new(ReaderProgress::default());
        let reader = tokio::spawn(read_call(address, request, Arc::clone(&reader_progress), sender));
        Self { lines, reader, opened_at: Instant::now(), reader_progress }
    }

    /// Returns the next object or line; `None` once the call has ended. Cancel safe.
    pub(super) async fn next_line(&mut self) -> Option<Vec<u8>> {
        self.lines.recv().await
    }

    /// Returns whether a line has arrived and was not taken yet.
    pub(super) fn has_line(&self) -> bool {
        !self.lines.is_empty()
    }

    /// Returns the progress of the call.
    pub(super) fn progress(&self) -> CallProgress {
        CallProgress {
            opened_at: self.opened_at,
            sent_at: self.reader_progress.sent_at.get().copied(),
            response: self.reader_progress.response.get().copied(),
        }
    }
}

impl Drop for ListCall {
    fn drop(&mut self) {
        self.reader.abort();
    }
}

/// Makes a call and sends its lines to `lines`, until the call ends or the receiver is dropped.
async fn read_call(
    address: SocketAddr,
    request: ListRequest,
    reader_progress: Arc<ReaderProgress>,
    lines: mpsc::Sender<Vec<u8>>,
) {
    let Some((body, connection)) = send_request(address, request, &reader_progress).await else { return };
    let mut reading = pin!(read_lines(body, lines));
    tokio::select! {
        () = reading.as_mut() => {}
        // Data that arrived before the connection ended is still read.
        () = connection => reading.await,
    }
}

async fn read_lines(mut body: Incoming, lines: mpsc::Sender<Vec<u8>>) {
    let mut splitter = StreamSplitter::default();
    while let Some(Ok(frame)) = body.frame().await {
        splitter.extend(frame.data_ref().unwrap_or(&Bytes::new()));
        while let Some(line) = splitter.next_item() {
            if lines.send(line).await.is_err() {
                return;
            }
        }
        if splitter.buffered_bytes() > MAX_LIST_BYTES {
            tracing::warn!("discovery: call closed: list exceeds {MAX_LIST_BYTES} bytes");
            return;
        }
    }
}

/// Connects and sends the request. Returns the response body and the future that drives the connection;
/// `None` if the call failed or was rejected. Records the progress in `reader_progress`.
async fn send_request(
    address: SocketAddr,
    request: ListRequest,
    reader_progress: &ReaderProgress,
) -> Option<(Incoming, impl Future<Output = ()> + Send + 'static)> {
    let stream = connect(address).await.ok()?;
    let (mut sender, connection) = http1::handshake(TokioIo::new(stream)).await.ok()?;
    let mut connection = Box::pin(connection);
    let request = Request::get(path_and_query(request)).header(HOST, address.to_string());
    let response = sender.send_request(request.body(Empty::<Bytes>::new()).ok()?);
    // The connection writes the request when it is first polled, which is right after this line.
    let _ = reader_progress.sent_at.set(Instant::now());
    let response = tokio::select! {
        response = response => response.ok()?,
        _ = connection.as_mut() => return None,
    };
    let status = response_status(&response);
    let _ = reader_progress.response.set(ResponseHead { received_at: Instant::now(), status });
    let body = (status == ResponseStatus::Ok).then(|| response.into_body())?;
    Some((body, async move {
        // The connection would shut down if its sender were dropped.
        let _sender = sender;
        // An error of the connection also ends the body.
        let _ = connection.await;
    }))
}

fn path_and_query(request: ListRequest) -> String {
    match request {
        ListRequest::Watch { after_revision } => format!("{LIST_PATH}?watch=1&after={after_revision}"),
        ListRequest::Snapshot => LIST_PATH.to_owned(),
    }
}

fn response_status(response: &Response<Incoming>) -> ResponseStatus {
    if response.status() == StatusCode::OK {
        return ResponseStatus::Ok;
    }
    ResponseStatus::Rejected { retry_after: retry_after(response) }
}

/// Returns the Retry-After hint, which is in seconds and may have decimals.
fn retry_after(response: &Response<Incoming>) -> Option<Duration> {
    let seconds = response.headers().get(RETRY_AFTER)?.to_str().ok()?.trim().parse().ok()?;
    Duration::try_from_secs_f64(seconds).ok()
}
