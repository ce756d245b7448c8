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
    /// A call for the complete list, beside a current watch that says nothing.
    Confirmation,
}

/// What a call asks for.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(super) enum ListRequest {
    /// All changes after that revision, as they happen.
    Watch {
        /// The last known revision.
        after: u64,
    },
    /// The complete list, once.
    Snapshot,
}

/// How far a call has come.
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
    /// When it arrived.
    pub(super) received_at: Instant,
    /// What it says.
    pub(super) status: ResponseStatus,
}

/// Whether a response brings a list.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(super) enum ResponseStatus {
    /// Its body brings lists or changes.
    Ok,
    /// Any status but 200.
    Rejected {
        /// The Retry-After hint, if there is a readable one.
        retry_after: Option<Duration>,
    },
}

/// What one line of a call's body says.
#[derive(Clone, Debug, PartialEq)]
pub(super) enum Line {
    /// It is empty: the connection works and there is nothing new.
    KeepAlive,
    /// It brings a list or a change.
    Update(EndpointUpdate),
    /// It cannot be read, and is ignored.
    Malformed,
}

/// What has happened.
#[derive(Debug)]
pub(super) enum Event {
    /// Another address is the current one from now on.
    Superseded,
    /// A call has brought a line.
    Line {
        /// Which call.
        slot: CallSlot,
        /// The line.
        line: Line,
    },
    /// A call has ended.
    Ended {
        /// Which call.
        slot: CallSlot,
        /// How far it had come.
        progress: CallProgress,
    },
    /// The answer deadline has passed.
    AnswerTimeout {
        /// A line of the current watch or of the confirmation has arrived and is about to be handled.
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

/// What is to be done.
#[derive(Clone, Debug, PartialEq)]
pub(super) enum Action {
    /// Open a call.
    Open {
        /// Its slot, which is empty.
        slot: CallSlot,
        /// What it asks for.
        request: ListRequest,
    },
    /// Close the call in that slot, if there is one.
    Close(CallSlot),
    /// Move the call in the current slot to the timed-out slot, which is empty.
    KeepTimedOut,
    /// Move the call in the timed-out slot to the current slot, and close the call that was there.
    MakeTimedOutCurrent,
    /// Report to the core.
    Report(Report),
}
