//! Reports from discovery to the scheduler core: updates of the endpoint list, and the state of the watches.

use tokio::sync::mpsc;
use tokio::time::Instant;

use heathward_core::{CoreMessage, EndpointUpdate};

/// A report of the watches at one address.
#[derive(Clone, Debug, PartialEq)]
pub(super) enum Report {
    /// A complete endpoint list, or a change to it.
    Update(EndpointUpdate),
    /// Everything that discovery had to send by this time has arrived.
    Contact(Instant),
    /// Discovery was called and had not answered by this time, at which its time to answer was over or the
    /// call had ended.
    Unanswered(Instant),
    /// No watch is open, because none was opened yet or because one that received lines has ended. Sent only
    /// for polled lists.
    WatchClosed,
    /// A call was rejected, ended before its first line, or was not answered in time. Sent only for polled
    /// lists.
    CallFailed,
}

impl From<Report> for CoreMessage {
    fn from(report: Report) -> Self {
        match report {
            Report::Update(update) => Self::EndpointUpdate(update),
            Report::Contact(at) => Self::DiscoveryContact(at),
            Report::Unanswered(at) => Self::DiscoveryUnanswered(at),
            Report::WatchClosed => Self::WatchClosed,
            Report::CallFailed => Self::DiscoveryCallFailed,
        }
    }
}

/// Sends reports to the core.
#[derive(Clone, Debug)]
pub(super) struct Reporter {
    core: mpsc::Sender<CoreMessage>,
}

impl Reporter {
    pub(super) fn new(core: mpsc::Sender<CoreMessage>) -> Self {
        Self { core }
    }

    /// Sends a report, and waits while the core's channel is full.
    pub(super) async fn send(&self, report: Report) {
        // A core that has stopped needs no reports.
        let _ = self.core.send(report.into()).await;
    }

    /// Reports that discovery has been at another address since `moved_at`.
    pub(super) async fn send_moved(&self, moved_at: Instant) {
        // A core that has stopped needs no reports.
        let _ = self.core.send(CoreMessage::DiscoveryMoved(moved_at)).await;
    }

    /// Returns once the core has stopped.
    pub(super) async fn core_stopped(&self) {
        self.core.closed().await;
    }
}
