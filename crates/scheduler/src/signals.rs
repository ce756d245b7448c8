//! The signals that the program reacts to, and since when each may have been there.
//!
//! Whoever sends a signal counts from that moment. The process may heed it later: it may have been stopped,
//! without a core, or busy. A task of its own therefore takes the signals, and remembers when there was none.

use std::io;
use std::time::Duration;

use tokio::signal::unix::{signal, Signal, SignalKind};
use tokio::sync::{mpsc, watch};
use tokio::time::{interval, Instant, MissedTickBehavior};

/// How often the task notes that no signal has come. A signal is counted from one to two intervals too early.
const CHECK_INTERVAL: Duration = Duration::from_millis(20);
/// Requests that wait to be carried out; further ones of these signals say nothing new, and are dropped.
const REQUEST_CHANNEL_CAPACITY: usize = 16;

/// What a signal asks of the program while it runs.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum SignalRequest {
    /// SIGHUP: read the configuration and the operator file again.
    Reload,
    /// SIGUSR1: write the counters to the log.
    ReportCounters,
}

/// The signals that have come. The task behind them runs for as long as the runtime.
pub struct Signals {
    /// SIGTERM and SIGINT.
    pub shutdown: ShutdownSignal,
    /// The other signals.
    pub requests: SignalRequests,
}

/// Whether SIGTERM or SIGINT has come.
pub struct ShutdownSignal(watch::Receiver<Option<Instant>>);

/// The other signals, in the order in which they came.
pub struct SignalRequests(mpsc::Receiver<ReceivedRequest>);

/// A signal that has come.
#[derive(Clone, Copy, Debug)]
pub struct ReceivedRequest {
    /// What it asks.
    pub request: SignalRequest,
    /// The earliest time at which it may have come.
    pub earliest: Instant,
}

impl Signals {
    /// Installs the handlers; from now on none of these signals kills the process.
    ///
    /// # Errors
    /// The system's.
    ///
    /// # Panics
    /// If it is called outside of a tokio runtime.
    pub fn install() -> io::Result<Self> {
        let handlers = Handlers::install()?;
        let (shutdown_sender, shutdown) = watch::channel(None);
        let (request_sender, requests) = mpsc::channel(REQUEST_CHANNEL_CAPACITY);
        tokio::spawn(take_signals(handlers, shutdown_sender, request_sender));
        Ok(Self { shutdown: ShutdownSignal(shutdown), requests: SignalRequests(requests) })
    }
}

impl ShutdownSignal {
    /// Returns once a signal has asked for the shutdown: the earliest time at which the first one may have
    /// come. It does so at once if it is called again.
    pub async fn requested(&mut self) -> Instant {
        let since = self.0.wait_for(Option::is_some).await.ok().and_then(|since| *since);
        since.unwrap_or_else(Instant::now)
    }
}

impl SignalRequests {
    /// The next request. None is lost if the future is dropped.
    pub async fn next(&mut self) -> Option<ReceivedRequest> {
        self.0.recv().await
    }
}

/// The handlers of these signals.
struct Handlers {
    terminate: Signal,
    interrupt: Signal,
    hangup: Signal,
    user_defined1: Signal,
}

/// What a handler has taken.
enum Received {
    ShutDown,
    Request(SignalRequest),
}

impl Handlers {
    fn install() -> io::Result<Self> {
        Ok(Self {
            terminate: signal(SignalKind::terminate())?,
            interrupt: signal(SignalKind::interrupt())?,
            hangup: signal(SignalKind::hangup())?,
            user_defined1: signal(SignalKind::user_defined1())?,
        })
    }

    async fn next(&mut self) -> Received {
        tokio::select! {
            _ = self.terminate.recv() => Received::ShutDown,
            _ = self.interrupt.recv() => Received::ShutDown,
            _ = self.hangup.recv() => Received::Request(SignalRequest::Reload),
            _ = self.user_defined1.recv() => Received::Request(SignalRequest::ReportCounters),
        }
    }
}

/// When no signal was there.
#[derive(Clone, Copy, Debug)]
struct SignalChecks {
    previous: Instant,
    last: Instant,
}

impl SignalChecks {
    fn new(now: Instant) -> Self {
        Self { previous: now, last: now }
    }

    /// None has come by a check that runs now.
    fn record_none(&mut self, now: Instant) {
        self.previous = self.last;
        self.last = now;
    }

    /// A signal that comes up now was sent no earlier than this. The runtime has asked the system between
    /// the last two checks, so what the last one did not see came after the one before. How long ago the
    /// runtime asked is not known, as the process may have stalled since.
    fn earliest_signal(&self) -> Instant {
        self.previous
    }
}

/// Takes signals for as long as the runtime runs.
async fn take_signals(
    mut handlers: Handlers,
    shutdown: watch::Sender<Option<Instant>>,
    requests: mpsc::Sender<ReceivedRequest>,
) {
    let mut checks = SignalChecks::new(Instant::now());
    let mut ticks = interval(CHECK_INTERVAL);
    ticks.set_missed_tick_behavior(MissedTickBehavior::Delay);
    loop {
        tokio::select! {
            biased;
            received = handlers.next() => match received {
                Received::ShutDown => {
                    // The platform counts from the first.
                    shutdown.send_if_modified(|since| {
                        let is_first = since.is_none();
                        since.get_or_insert(checks.earliest_signal());
                        is_first
                    });
                }
                // One that finds no room is answered by those that wait.
                Received::Request(request) => {
                    let earliest = checks.earliest_signal();
                    let _ = requests.try_send(ReceivedRequest { request, earliest });
                }
            },
            _ = ticks.tick() => checks.record_none(Instant::now()),
        }
    }
}
