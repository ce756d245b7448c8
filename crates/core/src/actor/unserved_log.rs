//! Logs why requests were not served: a line a second at most, with counts by reason and the id of one
//! request.

use std::collections::BTreeMap;
use std::fmt;
use std::time::Duration;

use tokio::time::Instant;

use crate::Answer;
use heathward_policy::AttemptEnd;

/// The least time between two lines.
const INTERVAL: Duration = Duration::from_secs(1);

/// Why a request was not served.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
enum Reason {
    ShedWithoutAttempt,
    ShedAfter(&'static str),
    FailedWithoutAttempt,
    FailedAfter(&'static str),
    FailedDuringAttempt,
}

impl Reason {
    /// Returns the reason for an answer, the last attempt of the request having ended like this; `None` if
    /// the request was served.
    fn of(answer: &Answer, attempts: u32, last_end: Option<AttemptEnd>) -> Option<Self> {
        let last_end = last_end.map(end_name);
        match answer {
            Answer::Served(_) | Answer::Duplicate => None,
            Answer::Shed { .. } => Some(last_end.map_or(Self::ShedWithoutAttempt, Self::ShedAfter)),
            Answer::Failed { .. } if attempts == 0 => Some(Self::FailedWithoutAttempt),
            Answer::Failed { .. } => Some(last_end.map_or(Self::FailedDuringAttempt, Self::FailedAfter)),
        }
    }
}

impl fmt::Display for Reason {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self {
            Self::ShedWithoutAttempt => f.write_str("shed without an attempt"),
            Self::ShedAfter(end) => write!(f, "shed after {end}"),
            Self::FailedWithoutAttempt => f.write_str("failed without an attempt"),
            Self::FailedAfter(end) => write!(f, "failed after {end}"),
            Self::FailedDuringAttempt => f.write_str("failed during an attempt"),
        }
    }
}

fn end_name(end: AttemptEnd) -> &'static str {
    match end {
        AttemptEnd::Served => "a reply",
        AttemptEnd::Error => "an error",
        AttemptEnd::Rejected => "a rejection",
        AttemptEnd::TimedOut => "a timeout",
        AttemptEnd::NotConnected => "no connection",
        AttemptEnd::Reset => "a reset",
        AttemptEnd::Cancelled => "a cancellation",
        AttemptEnd::NotSent => "an attempt that was not sent",
    }
}

/// The requests that were not served since the last line.
#[derive(Debug)]
pub(super) struct UnservedLog {
    logged_at: Instant,
    counts: BTreeMap<Reason, u64>,
}

impl UnservedLog {
    pub(super) fn new(now: Instant) -> Self {
        Self { logged_at: now, counts: BTreeMap::new() }
    }

    /// Records an answer to a request with this id, after this many attempts.
    pub(super) fn record(
        &mut self,
        client_request_id: &str,
        answer: &Answer,
        attempts: u32,
        last_end: Option<AttemptEnd>,
    ) {
        let Some(reason) = Reason::of(answer, attempts, last_end) else { return };
        *self.counts.entry(reason).or_default() += 1;
        let now = Instant::now();
        if now.saturating_duration_since(self.logged_at) >= INTERVAL {
            self.logged_at = now;
            let counts: Vec<String> =
                self.counts.iter().map(|(reason, count)| format!("{count} {reason}")).collect();
            tracing::info!(request = client_request_id, "not served: {}", counts.join(", "));
            self.counts.clear();
        }
    }
}
