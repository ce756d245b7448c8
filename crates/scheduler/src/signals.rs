//! The signals that the program handles, each with the earliest time at which it may have been sent.
//!
//! The sender of a signal counts time from when it sends it. The process may receive the signal later, for
//! instance because it was stopped, had no CPU time or was busy. A separate task therefore receives the
//! signals, and records the times at which none was pending.

use std::io;
use std::time::Duration;

use tokio::signal::unix::{signal, Signal, SignalKind};
use tokio::sync::{mpsc, watch};
use tokio::time::{interval, Instant, MissedTickBehavior};

/// How often the task records that no signal is pending. A signal is taken to have been sent one to two
/// intervals earlier than it was.
const CHECK_INTERVAL: Duration = Duration::from_millis(20);
/// The capacity of the channel for requests. Further requests are dropped: with that many waiting, a further
/// one normally repeats one of them.
const REQUEST_CHANNEL_CAPACITY: usize = 16;

/// A request that a signal makes of the running program.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum SignalRequest {
    /// SIGHUP: read the configuration and the operator file again.
    Reload,
    /// SIGUSR1: write the counters to the log.
    ReportCounters,
}

/// The receivers of the signals. The task that feeds them runs as long as the runtime.
pub struct Signals {
    /// Receives SIGTERM and SIGINT.
    pub shutdown: ShutdownSignal,
    /// Receives the other signals.
    pub requests: SignalRequests,
}

/// Receives the earliest time at which the first SIGTERM or SIGINT may have been sent.
pub struct ShutdownSignal(watch::Receiver<Option<Instant>>);

/// Receives the requests of the other signals, in the order in which the signals were received.
pub struct SignalRequests(mpsc::Receiver<ReceivedRequest>);

/// A request together with the time of its signal.
#[derive(Clone, Copy, Debug)]
pub struct ReceivedRequest {
    /// The request of the signal.
    pub request: SignalRequest,
    /// The earliest time at which the signal may have been sent.
    pub signalled_at: Instant,
}

impl Signals {
    /// Installs the handlers; from now on none of these signals kills the process.
    ///
    /// # Errors
    /// Returns the operating system's error if a handler cannot be installed.
    ///
    /// # Panics
    /// Panics if it is called outside of a tokio runtime.
    pub fn install() -> io::Result<Self> {
        let handlers = Handlers::install()?;
        let (shutdown_sender, shutdown) = watch::channel(None);
        let (request_sender, requests) = mpsc::channel(REQUEST_CHANNEL_CAPACITY);
        tokio::spawn(receive_signals(handlers, shutdown_sender, request_sender));
        Ok(Self { shutdown: ShutdownSignal(shutdown), requests: SignalRequests(requests) })
    }
}

impl ShutdownSignal {
    /// Waits for a signal that requests the shutdown, and returns the earliest time at which the first one
    /// may have been sent. Returns at once if it is called again.
    pub async fn requested(&mut self) -> Instant {
        let signalled_at = self.0.wait_for(Option::is_some).await.ok().and_then(|signalled_at| *signalled_at);
        signalled_at.unwrap_or_else(Instant::now)
    }
}

impl SignalRequests {
    /// Returns the next request. No request is lost if the future is dropped.
    pub async fn next(&mut self) -> Option<ReceivedRequest> {
        self.0.recv().await
    }
}

/// The handlers of all signals that the program handles.
struct Handlers {
    terminate: Signal,
    interrupt: Signal,
    hangup: Signal,
    user_defined1: Signal,
}

/// A signal that a handler has received.
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

/// The times of the last two checks at which no signal was pending.
#[derive(Clone, Copy, Debug)]
struct SignalChecks {
    previous: Instant,
    last: Instant,
}

impl SignalChecks {
    fn new(now: Instant) -> Self {
        Self { previous: now, last: now }
    }

    /// Records that a check at the time `now` found no signal.
    fn record_no_signal(&mut self, now: Instant) {
        self.previous = self.last;
        self.last = now;
    }

    /// Returns the earliest time at which a signal that is received now may have been sent. The runtime
    /// polled the system between the last two checks, so a signal that it did not find then was sent after
    /// the earlier one. The exact time of that poll is not known, as the process may have stalled since.
    fn earliest_signal(&self) -> Instant {
        self.previous
    }
}

/// Receives signals as long as the runtime runs.
async fn receive_signals(
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
                    // The platform counts time from the first signal.
                    shutdown.send_if_modified(|signalled_at| {
                        let is_first = signalled_at.is_none();
                        signalled_at.get_or_insert(checks.earliest_signal());
                        is_first
                    });
                }
                // Dropped if the channel is full: it normally repeats a request that waits.
                Received::Request(request) => {
                    let signalled_at = checks.earliest_signal();
                    let _ = requests.try_send(ReceivedRequest { request, signalled_at });
                }
            },
            _ = ticks.tick() => checks.record_no_signal(Instant::now()),
        }
    }
}
