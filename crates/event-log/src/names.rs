//! Names of what events hold, as exports, listings and reports print them. They stay when a variant is
//! renamed.

use crate::event::{AttemptEnd, EndpointUpdateKind, FailureReason, GapCause, ShedReason};

impl EndpointUpdateKind {
    /// Its name in exports and listings; it stays when the variant is renamed.
    pub fn name(self) -> &'static str {
        match self {
            Self::Changes => "Changes",
            Self::Snapshot => "Whole",
            Self::Cached => "Saved",
            Self::Failed => "Failed",
        }
    }
}

impl AttemptEnd {
    /// Its name in exports and reports; it stays when the variant is renamed.
    pub fn name(self) -> &'static str {
        match self {
            Self::Served => "Served",
            Self::Error => "Error",
            Self::Rejected => "Full",
            Self::TimedOut => "TimedOut",
            Self::NotConnected => "NotConnected",
            Self::Reset => "Reset",
            Self::Cancelled => "Cancelled",
            Self::NotSent => "NotSent",
        }
    }
}

/// All ends of attempts with their names in reports, in the order of the counts in
/// [`NodeSecond::attempt_ends`](crate::NodeSecond::attempt_ends).
pub const ATTEMPT_END_NAMES: [(AttemptEnd, &str); 8] = [
    (AttemptEnd::Served, "served"),
    (AttemptEnd::Error, "error"),
    (AttemptEnd::Rejected, "full"),
    (AttemptEnd::TimedOut, "timed out"),
    (AttemptEnd::NotConnected, "not connected"),
    (AttemptEnd::Reset, "reset"),
    (AttemptEnd::Cancelled, "cancelled"),
    (AttemptEnd::NotSent, "moot"),
];

impl ShedReason {
    /// Its name in exports and listings; it stays when the variant is renamed.
    pub fn name(self) -> &'static str {
        match self {
            Self::NotAdmitted => "NotAdmitted",
            Self::ShedFromQueue => "GivenUp",
            Self::RejectedByNode => "TurnedAway",
            Self::NotConnected => "NotConnected",
            Self::AttemptLost => "Lost",
        }
    }
}

/// All reasons with their names in reports, in the order of the counts in
/// [`ClassSecond::shed`](crate::ClassSecond::shed).
pub const SHED_REASON_NAMES: [(ShedReason, &str); 5] = [
    (ShedReason::NotAdmitted, "not admitted"),
    (ShedReason::ShedFromQueue, "given up while held"),
    (ShedReason::RejectedByNode, "node full"),
    (ShedReason::NotConnected, "node not reached"),
    (ShedReason::AttemptLost, "attempt lost"),
];

impl FailureReason {
    /// Its name in exports and listings; it stays when the variant is renamed.
    pub fn name(self) -> &'static str {
        match self {
            Self::DeadlinePassed => "Late",
            Self::DeadlinePassedPossiblyExecuted => "LateMayHaveRun",
            Self::PossiblyExecuted => "MayHaveRun",
            Self::Other => "Other",
        }
    }
}

/// All reasons with their names in reports, in the order of the counts in
/// [`ClassSecond::failed`](crate::ClassSecond::failed).
pub const FAILURE_REASON_NAMES: [(FailureReason, &str); 4] = [
    (FailureReason::DeadlinePassed, "time passed"),
    (FailureReason::DeadlinePassedPossiblyExecuted, "time passed, may have run"),
    (FailureReason::PossiblyExecuted, "may have run"),
    (FailureReason::Other, "other"),
];

impl GapCause {
    /// Its name in exports and listings; it stays when the variant is renamed.
    pub fn name(self) -> &'static str {
        match self {
            Self::QueueFull => "Queue",
            Self::DiskFailed => "Disk",
        }
    }
}
