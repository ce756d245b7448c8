//! What the core learns from discovery, apart from which address is the current one.

use tokio::sync::mpsc;
use tokio::time::Instant;

use heathward_core::{CoreMessage, EndpointUpdate};

/// A report of the watches at one address.
#[derive(Clone, Debug, PartialEq)]
pub(super) enum Report {
    /// The list has changed, or is sent completely.
    Update(EndpointUpdate),
    /// Everything that discovery had to send by then has arrived.
    Contact(Instant),
    /// Discovery was asked, had time to answer, and has not by then.
    Unanswered(Instant),
    /// No watch is open, as none was opened yet or as one that brought lines has ended. Only for lists that are
    /// polled.
    WatchClosed,
    /// A call was rejected, ended before its first line, or was not answered in time. Only for lists that are
    /// polled.
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
        // A core that has stopped needs no list any more.
        let _ = self.core.send(report.into()).await;
    }

    /// Reports that discovery has another address since then.
    pub(super) async fn send_moved(&self, at: Instant) {
        // As above.
        let _ = self.core.send(CoreMessage::DiscoveryMoved(at)).await;
    }

    /// Returns once the core has stopped.
    pub(super) async fn core_stopped(&self) {
        self.core.closed().await;
    }
}
