//! The signals that the program reacts to.

use std::io;

use tokio::signal::unix::{signal, Signal, SignalKind};

/// What a signal asks the program to do.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum SignalRequest {
    /// SIGTERM, SIGINT: answer all open requests and exit.
    ShutDown,
    /// SIGHUP: read the configuration and the operator file again.
    Reload,
    /// SIGUSR1: write the counters to the log.
    ReportCounters,
}

/// The handlers of these signals.
pub struct Signals {
    terminate: Signal,
    interrupt: Signal,
    hangup: Signal,
    user_defined1: Signal,
}

impl Signals {
    /// Installs the handlers; from now on none of these signals kills the process.
    ///
    /// # Errors
    /// The system's.
    pub fn install() -> io::Result<Self> {
        Ok(Self {
            terminate: signal(SignalKind::terminate())?,
            interrupt: signal(SignalKind::interrupt())?,
            hangup: signal(SignalKind::hangup())?,
            user_defined1: signal(SignalKind::user_defined1())?,
        })
    }

    /// The next request. No signal is lost if the future is dropped.
    pub async fn next(&mut self) -> SignalRequest {
        tokio::select! {
            _ = self.terminate.recv() => SignalRequest::ShutDown,
            _ = self.interrupt.recv() => SignalRequest::ShutDown,
            _ = self.hangup.recv() => SignalRequest::Reload,
            _ = self.user_defined1.recv() => SignalRequest::ReportCounters,
        }
    }
}
