//! Accepts connections, and serves each until it ends, times out, is evicted or is closed by the shutdown.

use std::future::{poll_fn, Future};
use std::pin::{pin, Pin};
use std::task::{ready, Context, Poll};
use std::time::Duration;

use hyper::server::conn::http1;
use hyper_util::rt::TokioIo;
use hyper_util::service::TowerToHyperService;
use tokio::io::{AsyncReadExt, AsyncWriteExt};
use tokio::net::{TcpListener, TcpStream};
use tokio::sync::watch;
use tokio::time::{sleep_until, timeout_at, Instant, Sleep};

use super::connections::{ClientConnection, ConnectionTable, Phase, Slot};
use super::front::{ConnectionService, Front};
use super::stream::ClientStream;
use super::MAX_HEAD_BYTES;
use crate::CLIENT_CONNECTION_BYTES;
use heathward_core::memory::MemoryHolder;
use heathward_core::Draining;

/// The pause after a failed accept, so that a lack of descriptors does not cause a busy loop.
const ACCEPT_PAUSE: Duration = Duration::from_millis(10);
/// The answer to a request that was not received completely in time.
const TIMEOUT_ANSWER: &[u8] =
    b"HTTP/1.1 408 Request Timeout\r\nconnection: close\r\ncontent-length: 0\r\n\r\n";
/// The interval at which a connection that is idle for long checks whether the table has become crowded.
const CROWDING_CHECK_INTERVAL: Duration = Duration::from_millis(500);
/// While an operator has paused the scheduler, an idle connection is closed this long after the start of the
/// pause or after its last answer, whichever is later.
const PAUSED_IDLE_TIMEOUT: Duration = Duration::from_millis(800);
/// While another process accepts the new connections, an idle connection is closed this long after that began
/// or after its last answer, whichever is later. The limit is longer than during a pause, as a handover
/// allows more time, and a client whose request crosses the close has to send it again.
const REPLACED_IDLE_TIMEOUT: Duration = Duration::from_millis(2030);
/// How often it is checked whether the client has left while its input is not read.
const LEAVING_CHECK_INTERVAL: Duration = Duration::from_millis(20);
/// Input after the last answer is discarded in pieces of this many bytes.
const DISCARD_BUFFER_BYTES: usize = 8 * 1024;

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
        // If no connection can be evicted for it, the new one is closed at once.
        if let Some(slot) = table.admit(Instant::now()) {
            tokio::spawn(serve_connection(stream, front.clone(), slot, stopping.clone()));
        }
    }
}

/// An event that ends or changes the serving of a connection.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum ConnectionEvent {
    /// The connection was closed by either side, or it failed.
    Ended,
    /// The client disconnected while its request was being processed.
    ClientDisconnected,
    /// The time limit of its phase has passed.
    TimedOut,
    /// It is evicted in favour of another connection.
    Evicted,
    /// The program is shutting down.
    ShuttingDown,
    /// The scheduler has begun or stopped draining its clients.
    DrainingChanged,
}

/// How a connection is closed.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum Close {
    /// After the client had time to read what was written last.
    Lingering,
    /// At once.
    Immediate,
}

type HttpConnection = http1::Connection<TokioIo<ClientStream>, TowerToHyperService<ConnectionService>>;

/// The rules for how long a connection is kept open.
struct Retention {
    /// The connection carries no request after the current one.
    last_request: bool,
    /// While clients are drained: when that began, and for how long idle connections are kept.
    draining_idle_timeout: Option<(Instant, Duration)>,
    /// An idle connection is kept at least until then.
    min_idle_deadline: Instant,
}

impl Retention {
    /// Returns when a connection in this phase times out.
    fn deadline(&self, phase: Phase) -> Option<Instant> {
        let deadline = phase.deadline()?;
        Some(match (phase, self.draining_idle_timeout) {
            (Phase::Idle(since), Some((draining_since, timeout))) => since.max(draining_since) + timeout,
            (Phase::Idle(_), None) => deadline.max(self.min_idle_deadline),
            _ => deadline,
        })
    }
}

async fn serve_connection(stream: TcpStream, front: Front, slot: Slot, mut stopping: watch::Receiver<bool>) {
    if stream.set_nodelay(true).is_err() {
        return;
    }
    let _memory = front.memory().charge(MemoryHolder::ClientConnections, CLIENT_CONNECTION_BYTES);
    let client = slot.client.clone();
    let last_request = *stopping.borrow_and_update();
    let stream = ClientStream::new(stream, client.clone());
    let mut draining = front.draining();
    let draining_idle_timeout = idle_timeout_while_draining(*draining.borrow_and_update());
    let service = TowerToHyperService::new(ConnectionService::new(front, client.clone(), stream.clone()));
    let mut builder = http1::Builder::new();
    builder.keep_alive(!last_request).max_buf_size(MAX_HEAD_BYTES);
    let mut connection = builder.serve_connection(TokioIo::new(stream.clone()), service);
    let mut retention = Retention { last_request, draining_idle_timeout, min_idle_deadline: Instant::now() };
    let close = loop {
        let stop_requested = stopping.changed();
        let event =
            next_event(&mut connection, &client, &stream, &retention, stop_requested, draining.changed())
                .await;
        match event {
            ConnectionEvent::DrainingChanged => {
                retention.draining_idle_timeout = idle_timeout_while_draining(*draining.borrow())
            }
            ConnectionEvent::ShuttingDown => {
                retention.last_request = true;
                // A request that is being received is still answered; between requests the connection is
                // closed.
                client.close_after_answer();
                if !matches!(client.phase(), Phase::ReceivingRequest(_)) {
                    Pin::new(&mut connection).graceful_shutdown();
                }
            }
            ConnectionEvent::TimedOut if may_be_kept(&retention, &slot, &client) => {
                retention.min_idle_deadline = Instant::now() + CROWDING_CHECK_INTERVAL;
            }
            ConnectionEvent::Ended => break Close::Lingering,
            ConnectionEvent::ClientDisconnected => break Close::Immediate,
            ConnectionEvent::TimedOut | ConnectionEvent::Evicted => {
                tracing::debug!(phase = ?client.phase(), ?event, "client connection given up");
                break answer_timeout(&client, &stream);
            }
        }
    };
    tracing::debug!(phase = ?client.phase(), ?close, "client connection closed");
    if close == Close::Immediate {
        return;
    }
    // Drops the request that was being processed, if any.
    drop(connection);
    if let Some(mut stream) = stream.into_stream() {
        linger(&mut stream, &client).await;
    }
}

/// Serves a connection until the next event. `stop_requested` is ready once the program shuts down, and
/// `draining_changed` once the scheduler has begun or stopped draining its clients.
async fn next_event(
    connection: &mut HttpConnection,
    client: &ClientConnection,
    stream: &ClientStream,
    retention: &Retention,
    stop_requested: impl Future,
    draining_changed: impl Future,
) -> ConnectionEvent {
    let mut timeout = pin!(sleep_until(Instant::now()));
    let mut leaving_check = pin!(sleep_until(Instant::now()));
    let mut evicted = pin!(client.evicted.notified());
    let (mut stop_requested, mut draining_changed) = (pin!(stop_requested), pin!(draining_changed));
    poll_fn(|cx| {
        // Checked before anything more is read: a request that is read from now on would be dropped.
        if evicted.as_mut().poll(cx).is_ready() {
            return Poll::Ready(ConnectionEvent::Evicted);
        }
        // When a client aborts its connection, the request is dropped, which notifies the core.
        if connection.poll_without_shutdown(cx).is_ready() {
            return Poll::Ready(ConnectionEvent::Ended);
        }
        if client.phase() == Phase::ForwardingBody && poll_left(cx, &mut leaving_check, stream).is_ready() {
            return Poll::Ready(ConnectionEvent::ClientDisconnected);
        }
        let is_flushing = matches!(client.phase(), Phase::FlushingAnswer(_));
        let is_processing =
            is_flushing || matches!(client.phase(), Phase::Processing | Phase::SendingAnswer(_));
        if is_processing && stream.poll_disconnected(cx).is_ready() {
            return Poll::Ready(ConnectionEvent::ClientDisconnected);
        }
        // A connection on which nothing was received yet is not closed: its first request may be on its way.
        // Nor is one that holds the end of an answer: hyper would drop it.
        let is_new = matches!(client.phase(), Phase::Connected(_));
        let can_stop = !retention.last_request && !is_new && !is_flushing;
        if can_stop && stop_requested.as_mut().poll(cx).is_ready() {
            return Poll::Ready(ConnectionEvent::ShuttingDown);
        }
        if draining_changed.as_mut().poll(cx).is_ready() {
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

/// Returns ready once the client has closed its connection. To be polled while its input is not read; the
/// check is repeated at an interval, as the runtime reports nothing behind unread bytes.
fn poll_left(cx: &mut Context<'_>, check: &mut Pin<&mut Sleep>, stream: &ClientStream) -> Poll<()> {
    loop {
        if stream.is_closed_by_client() {
            return Poll::Ready(());
        }
        ready!(check.as_mut().poll(cx));
        check.as_mut().reset(Instant::now() + LEAVING_CHECK_INTERVAL);
    }
}

/// Whether an idle connection that timed out is kept for another interval, as the table is not crowded.
fn may_be_kept(retention: &Retention, slot: &Slot, client: &ClientConnection) -> bool {
    retention.draining_idle_timeout.is_none()
        && !slot.table.crowded()
        && client.phase().extended_idle_deadline() > Some(Instant::now())
}

/// Answers a request that is still being received with a timeout; returns how to close the connection.
fn answer_timeout(client: &ClientConnection, stream: &ClientStream) -> Close {
    let is_receiving = matches!(client.phase(), Phase::ReceivingRequest(_) | Phase::ReceivingBody { .. });
    // The send buffer is empty and accepts the few bytes at once, unless the client has disconnected.
    if is_receiving && stream.try_write(TIMEOUT_ANSWER).is_err() {
        return Close::Immediate;
    }
    Close::Lingering
}

/// Returns the start and the timeout for idle connections if clients are to be drained from now on.
fn idle_timeout_while_draining(draining: Draining) -> Option<(Instant, Duration)> {
    let timeout = if draining.paused { PAUSED_IDLE_TIMEOUT } else { REPLACED_IDLE_TIMEOUT };
    draining.closes_connections().then(|| (Instant::now(), timeout))
}

/// Closes a connection so that its client can read the last answer: shuts down the write side, and then
/// discards input for a limited time. A connection that is closed with unread bytes is reset, and the reset
/// may overtake the answer. A request that crosses the close is discarded, and its client sends it again.
async fn linger(stream: &mut TcpStream, client: &ClientConnection) {
    let phase = Phase::Lingering(Instant::now());
    client.set_phase(phase);
    if stream.shutdown().await.is_err() {
        return;
    }
    let mut discarded = vec![0; DISCARD_BUFFER_BYTES];
    let read = async { while stream.read(&mut discarded).await.is_ok_and(|size| size > 0) {} };
    let deadline = phase.deadline().unwrap_or_else(Instant::now);
    tokio::select! {
        // The connection is closed now, whether or not the client has closed its side.
        _ = timeout_at(deadline, read) => {}
        () = client.linger_cancelled.notified() => {}
    }
}
