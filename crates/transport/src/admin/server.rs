//! The server of the second address.

use std::collections::VecDeque;
use std::time::Duration;

use tokio::io::{AsyncReadExt, AsyncWriteExt};
use tokio::net::{TcpListener, TcpStream};
use tokio::task::JoinHandle;
use tokio::time::{sleep_until, timeout_at, Instant};

use super::codec::{Reply, Request};
use heathward_core::CoreHandle;

/// No call is longer.
const LINE: usize = 512;
/// A caller has so long for its call, and as long again to take the answer.
const PATIENCE: Duration = Duration::from_secs(5);
/// A pause after a connection could not be accepted.
const ACCEPT_PAUSE: Duration = Duration::from_millis(10);

/// Answers calls, on at most `most` connections at a time: when all are taken, the oldest makes way, so that
/// callers who say nothing keep nobody out.
pub async fn serve(listener: TcpListener, core: CoreHandle, most: usize) {
    let mut callers: VecDeque<JoinHandle<()>> = VecDeque::new();
    loop {
        let Ok((stream, _)) = listener.accept().await else {
            sleep_until(Instant::now() + ACCEPT_PAUSE).await;
            continue;
        };
        callers.retain(|caller| !caller.is_finished());
        if callers.len() >= most {
            if let Some(oldest) = callers.pop_front() {
                oldest.abort();
            }
        }
        callers.push_back(tokio::spawn(attend(stream, core.clone())));
    }
}

async fn attend(mut stream: TcpStream, core: CoreHandle) {
    let Ok(Some(line)) = timeout_at(Instant::now() + PATIENCE, call(&mut stream)).await else { return };
    let reply = carry_out(&line, &core).await.to_string();
    let told = async {
        stream.write_all(reply.as_bytes()).await?;
        stream.shutdown().await
    };
    // A caller that does not take its answer has left.
    let _ = timeout_at(Instant::now() + PATIENCE, told).await;
}

/// The line of a call, without its end; what ends without one counts as a line. `None` if nothing comes.
async fn call(stream: &mut TcpStream) -> Option<Vec<u8>> {
    let mut line = Vec::with_capacity(64);
    let mut more = [0; LINE];
    loop {
        let size = stream.read(&mut more).await.ok()?;
        line.extend_from_slice(&more[..size]);
        if let Some(end) = line.iter().position(|byte| *byte == b'\n') {
            line.truncate(end);
            return Some(line);
        }
        if size == 0 || line.len() > LINE {
            return (!line.is_empty()).then_some(line);
        }
    }
}

async fn carry_out(line: &[u8], core: &CoreHandle) -> Reply {
    let request = match Request::parse(line) {
        Ok(request) => request,
        Err(unreadable) => return Reply::Malformed(unreadable),
    };
    match request {
        Request::Status if core.status().ready => Reply::Ok,
        Request::Status => Reply::NotReady,
        Request::Metrics => match core.metrics().await {
            Some(metrics) => Reply::Metrics(Box::new(metrics), core.deployment().class_names.clone()),
            None => Reply::NotReady,
        },
        Request::Command(command) => match core.run_command(command, false).await {
            Ok(Ok(())) => Reply::Ok,
            Ok(Err(why)) => Reply::CommandFailed(why),
            Err(_) => Reply::NotReady,
        },
    }
}
