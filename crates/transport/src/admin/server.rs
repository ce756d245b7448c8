//! The server of the admin interface.

use std::collections::VecDeque;
use std::time::Duration;

use tokio::io::{AsyncReadExt, AsyncWriteExt};
use tokio::net::{TcpListener, TcpStream};
use tokio::task::{AbortHandle, JoinSet};
use tokio::time::{sleep, timeout};

use super::codec::{MalformedRequest, Reply, Request};
use heathward_core::CoreHandle;

/// The maximum length of a request.
const MAX_REQUEST_BYTES: usize = 512;
/// The initial capacity for a request, enough for a typical one.
const TYPICAL_REQUEST_BYTES: usize = 64;
/// The time limit for a caller to send its request, and the same again to receive the reply.
const CALLER_TIMEOUT: Duration = Duration::from_secs(5);
/// The delay before the next attempt after a connection could not be accepted.
const ACCEPT_RETRY_DELAY: Duration = Duration::from_millis(10);

/// Serves callers on at most `max_connections` connections at a time. When all are in use, the oldest is
/// closed for a new one, so that callers that send nothing do not block others.
///
/// Runs until it is dropped, which closes all connections.
pub async fn serve(listener: TcpListener, core: CoreHandle, max_connections: usize) {
    let mut tasks = JoinSet::new();
    let mut oldest_first: VecDeque<AbortHandle> = VecDeque::new();
    loop {
        let Ok((stream, _)) = listener.accept().await else {
            sleep(ACCEPT_RETRY_DELAY).await;
            continue;
        };
        while tasks.try_join_next().is_some() {}
        oldest_first.retain(|connection| !connection.is_finished());
        if oldest_first.len() >= max_connections {
            if let Some(oldest) = oldest_first.pop_front() {
                oldest.abort();
            }
        }
        oldest_first.push_back(tasks.spawn(serve_connection(stream, core.clone())));
    }
}

async fn serve_connection(mut stream: TcpStream, core: CoreHandle) {
    let Ok(Some(line)) = timeout(CALLER_TIMEOUT, read_request_line(&mut stream)).await else { return };
    let reply = match line.and_then(|line| Request::parse(&line)) {
        Ok(request) => reply_to(request, &core).await,
        Err(malformed) => {
            tracing::debug!("operator's call rejected: {malformed}");
            Reply::Malformed(malformed)
        }
    };
    let reply = reply.to_string();
    let sending = async {
        stream.write_all(reply.as_bytes()).await?;
        stream.shutdown().await
    };
    // A caller that has disconnected or reads too slowly gets no complete reply.
    let _ = timeout(CALLER_TIMEOUT, sending).await;
}

/// Reads the line of a request and returns it without its end; `None` if the connection fails or the caller
/// closes its side without sending anything. Only a complete line is a request: what arrived of another one
/// may be a valid request of a different meaning, and its caller may be gone.
async fn read_request_line(stream: &mut TcpStream) -> Option<Result<Vec<u8>, MalformedRequest>> {
    let mut line = Vec::with_capacity(TYPICAL_REQUEST_BYTES);
    let mut buffer = [0; MAX_REQUEST_BYTES];
    loop {
        let read_bytes = stream.read(&mut buffer).await.ok()?;
        line.extend_from_slice(&buffer[..read_bytes]);
        if let Some(end) = line.iter().position(|byte| *byte == b'\n') {
            line.truncate(end);
            return Some(if end > MAX_REQUEST_BYTES { Err(MalformedRequest::TooLong) } else { Ok(line) });
        }
        if line.len() > MAX_REQUEST_BYTES {
            return Some(Err(MalformedRequest::TooLong));
        }
        if read_bytes == 0 {
            return (!line.is_empty()).then_some(Err(MalformedRequest::Unterminated));
        }
    }
}

async fn reply_to(request: Request, core: &CoreHandle) -> Reply {
    match request {
        Request::Status if core.status().ready => Reply::Ok,
        Request::Status => Reply::NotReady,
        Request::Metrics => match core.metrics().await {
            Some(metrics) => {
                let class_names = core.deployment().class_names.clone();
                let resident_bytes = heathward_core::resident_memory().map(|memory| memory.total);
                Reply::Metrics { metrics: Box::new(metrics), resident_bytes, class_names }
            }
            None => Reply::NotReady,
        },
        Request::Command(command) => match core.run_command(command, false).await {
            Ok(Ok(())) => Reply::Ok,
            Ok(Err(error)) => Reply::CommandFailed(error),
            Err(_) => Reply::NotReady,
        },
    }
}
