//! The events that a [`WatchSupervisor`] handles and the actions that it returns.
//!
//! [`WatchSupervisor`]: super::supervisor::WatchSupervisor

use std::time::Duration;

use tokio::time::Instant;

use heathward_core::EndpointUpdate;

use super::report::Report;

/// The role of an open call.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(super) enum CallSlot {
    /// The watch that was opened last, or that sent the last line.
    Current,
    /// A watch that has sent no line in time and is kept until another one sends a line.
    TimedOut,
    /// A call for the complete list, open in addition to a current watch that has not been answered.
    Confirmation,
}

/// The request that a call sends.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(super) enum ListRequest {
    /// All changes after a revision, as they happen.
    Watch {
        /// The last known revision.
        after_revision: u64,
    },
    /// The complete list, once.
    Snapshot,
}

/// The progress of a call.
#[derive(Clone, Copy, Debug)]
pub(super) struct CallProgress {
    /// When the call was opened.
    pub(super) opened_at: Instant,
    /// When the request was sent on an established connection, if it was.
    pub(super) sent_at: Option<Instant>,
    /// The head of the response, if it has arrived.
    pub(super) response: Option<ResponseHead>,
}

/// The head of a response.
#[derive(Clone, Copy, Debug)]
pub(super) struct ResponseHead {
    /// When the head arrived.
    pub(super) received_at: Instant,
    /// Whether a list follows.
    pub(super) status: ResponseStatus,
}

/// Whether a call was accepted.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(super) enum ResponseStatus {
    /// Status 200: the body contains lists or changes.
    Ok,
    /// Any status but 200.
    Rejected {
        /// The Retry-After hint, if there is a valid one.
        retry_after: Option<Duration>,
    },
}

/// A decoded line of a call's body.
#[derive(Clone, Debug, PartialEq)]
pub(super) enum Line {
    /// An empty line: the connection works and there is nothing new.
    KeepAlive,
    /// A complete list or a change to it.
    Update(EndpointUpdate),
    /// A line that cannot be decoded and is ignored.
    Malformed,
}

/// An input of the supervisor.
#[derive(Debug)]
pub(super) enum Event {
    /// Another address is the current one from now on.
    Superseded,
    /// A call has received a line.
    Line {
        /// The slot of the call.
        slot: CallSlot,
        /// The line.
        line: Line,
    },
    /// A call has ended.
    Ended {
        /// The slot of the call.
        slot: CallSlot,
        /// The progress that it had made.
        progress: CallProgress,
    },
    /// The answer deadline has passed.
    AnswerTimeout {
        /// Whether a line of the current watch or of the confirmation has arrived and is not handled yet.
        line_waiting: bool,
        /// Progress of the current watch, if it is open.
        current: Option<CallProgress>,
        /// Progress of the confirmation, if it is open.
        confirmation: Option<CallProgress>,
    },
    /// The deadline of the current watch, of the next reconnect, or of a superseded address has passed.
    Timeout {
        /// Progress of the current watch, if it is open.
        current: Option<CallProgress>,
    },
}

/// An output of the supervisor: an operation that the task of the address carries out.
#[derive(Clone, Debug, PartialEq)]
pub(super) enum Action {
    /// Open a call.
    Open {
        /// Its slot, which is empty.
        slot: CallSlot,
        /// The request to send.
        request: ListRequest,
    },
    /// Close the call in the given slot, if there is one.
    Close(CallSlot),
    /// Move the call in the current slot to the timed-out slot, which is empty.
    KeepTimedOut,
    /// Move the call in the timed-out slot to the current slot, and close the call that was there.
    MakeTimedOutCurrent,
    /// Report to the core.
    Report(Report),
}
