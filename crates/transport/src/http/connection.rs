//! Accepts connections, and serves each until it ends, times out, is evicted or is closed by the shutdown.

use std::future::{poll_fn, Future};
use std::pin::{pin, Pin};
use std::task::Poll;
use std::time::Duration;

use hyper::server::conn::http1;
use hyper_util::rt::TokioIo;
use hyper_util::service::TowerToHyperService;
use tokio::io::{AsyncReadExt, AsyncWriteExt};
use tokio::net::{TcpListener, TcpStream};
use tokio::sync::watch;
use tokio::time::{sleep_until, timeout_at, Instant};

use super::connections::{Client, ConnectionTable, Phase, Slot};
use super::front::{ConnectionService, Front};
use super::stream::ClientStream;
use super::HEAD_LIMIT;
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
/// The same while another process accepts the new connections. It is longer because nothing is urgent then,
/// and a client whose request crosses the close has to send it again.
const REPLACED_IDLE_TIMEOUT: Duration = Duration::from_millis(2030);
/// Input after the last answer is discarded in pieces of this many bytes.
const DISCARD_BUFFER_BYTES: usize = 64 * 1024;

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
    /// The HTTP exchange on it has ended, or it failed.
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
    /// Since when and for how long idle connections are kept, while clients are sent away.
    closing: Option<(Instant, Duration)>,
    /// Until then an idle connection is kept.
    kept_until: Instant,
}

impl Retention {
    /// Returns when a connection in this phase times out.
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
    let mut draining = front.draining();
    let closing = closes(*draining.borrow_and_update());
    let service = TowerToHyperService::new(ConnectionService::new(front, client.clone()));
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
        // Checked before anything more is read: a request that is read from now on would be dropped.
        if evicted.as_mut().poll(cx).is_ready() {
            return Poll::Ready(ConnectionEvent::Evicted);
        }
        // When a client aborts its connection, the request is dropped, which notifies the core.
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
