//! Failure detection: whether a node is down or unresponsive, whether it returns errors, and when it started.

use crate::api::{AttemptEnd, Micros};

/// How long a start that is presumed from an answer counts if the endpoint list does not confirm it.
const UNANNOUNCED_START_LIFETIME: Micros = 6_000_000;
/// Timeouts in a row after which a node is unresponsive.
const UNRESPONSIVE_TIMEOUTS: u32 = 3;
/// A node without an answer for this many budget periods is unresponsive and not just paused.
const UNRESPONSIVE_PERIODS: u64 = 7;
/// Attempts in a row that a node leaves unanswered because of broken connections until it counts as down.
const DOWN_ATTEMPTS: u32 = 2;
/// What an attempt without a connection counts against an attempt whose connection broke.
const NO_CONNECTION_ATTEMPTS: u32 = 2;
/// A timeout shorter than this many budget periods says nothing about the node.
const MIN_TIMEOUT_PERIODS: u64 = 2;
/// Errors in a row after which a node is unhealthy.
const UNHEALTHY_ERRORS: u32 = 2;

/// An attempt that has ended, as failure detection sees it.
#[derive(Clone, Copy, Debug)]
pub(crate) struct ObservedEnd {
    pub(crate) end: AttemptEnd,
    pub(crate) sent_at: Micros,
    pub(crate) latency: Micros,
}

/// A transition of failure detection.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum HealthChange {
    /// It became unresponsive.
    Unresponsive,
    /// It responds again.
    Responsive,
}

/// The health of one node as this scheduler observes it.
#[derive(Clone, Debug)]
pub(crate) struct NodeHealth {
    /// When it started, as listed.
    started_at: Option<Micros>,
    /// When it started, as presumed from an answer after it was unresponsive.
    presumed_start: Option<Micros>,
    /// Since when it is down or unresponsive. It may be in slow start when it answers again.
    suspected_since: Option<Micros>,
    last_response: Micros,
    /// Attempts since the last response that had none.
    unanswered: u32,
    /// Errors in a row.
    consecutive_errors: u32,
}

impl NodeHealth {
    /// A node that is listed for the first time.
    pub(crate) fn new(now: Micros) -> Self {
        Self {
            started_at: None,
            presumed_start: None,
            suspected_since: None,
            last_response: now,
            unanswered: 0,
            consecutive_errors: 0,
        }
    }

    /// Takes in a start that the endpoint list reports. Returns whether it is a new one.
    pub(crate) fn on_listed_start(&mut self, started_at: Option<Micros>) -> bool {
        let is_new = started_at > self.started_at;
        if is_new {
            self.started_at = started_at;
            self.suspected_since = None;
        }
        is_new
    }

    /// Takes in the end of an attempt.
    pub(crate) fn on_attempt_end(
        &mut self,
        now: Micros,
        attempt: &ObservedEnd,
        period: Micros,
    ) -> Option<HealthChange> {
        let was_suspected = self.suspected_since.is_some();
        match attempt.end {
            AttemptEnd::Served | AttemptEnd::Error | AttemptEnd::Rejected => {
                self.on_response(now, attempt, period);
            }
            AttemptEnd::NotConnected => self.on_no_connection(now, period),
            AttemptEnd::Reset => self.on_reset(now, period),
            AttemptEnd::TimedOut => self.on_timeout(now, attempt, period),
            AttemptEnd::Cancelled | AttemptEnd::NotSent => {}
        }
        match (was_suspected, self.suspected_since.is_some()) {
            (false, true) => Some(HealthChange::Unresponsive),
            (true, false) => Some(HealthChange::Responsive),
            _ => None,
        }
    }

    fn on_response(&mut self, now: Micros, attempt: &ObservedEnd, period: Micros) {
        // A node that was unresponsive for long may have restarted before the endpoint list reports it.
        let was_suspected = self.suspected_since.take().is_some();
        let presumed_start = (was_suspected && self.is_overdue(now, period)).then_some(attempt.sent_at);
        self.presumed_start = self.presumed_start.max(presumed_start);
        self.last_response = now;
        self.unanswered = 0;
        let is_served = attempt.end == AttemptEnd::Served;
        self.consecutive_errors = if is_served { 0 } else { self.consecutive_errors + 1 };
    }

    /// A node that accepts no connection gets no request that any node may serve until it serves again.
    fn on_no_connection(&mut self, now: Micros, period: Micros) {
        self.unanswered += NO_CONNECTION_ATTEMPTS;
        self.consecutive_errors = self.consecutive_errors.max(UNHEALTHY_ERRORS);
        self.mark_suspected_if(now, self.unanswered >= DOWN_ATTEMPTS && self.is_overdue(now, period));
    }

    /// A single broken connection, or one to a node that answered a moment ago, does not mean that it is
    /// down.
    fn on_reset(&mut self, now: Micros, period: Micros) {
        self.unanswered += 1;
        self.mark_suspected_if(now, self.unanswered >= DOWN_ATTEMPTS && self.is_overdue(now, period));
    }

    /// Single attempts hang on nodes that are healthy: a node is unresponsive after several in a row, with no
    /// answer since they were sent.
    fn on_timeout(&mut self, now: Micros, attempt: &ObservedEnd, period: Micros) {
        if self.last_response >= attempt.sent_at || attempt.latency < MIN_TIMEOUT_PERIODS * period {
            return;
        }
        self.unanswered += 1;
        self.mark_suspected_if(now, self.unanswered >= UNRESPONSIVE_TIMEOUTS && self.is_overdue(now, period));
    }

    fn is_overdue(&self, now: Micros, period: Micros) -> bool {
        now.saturating_sub(self.last_response) >= UNRESPONSIVE_PERIODS * period
    }

    fn mark_suspected_if(&mut self, now: Micros, is_suspect: bool) {
        self.suspected_since = self.suspected_since.or(is_suspect.then_some(now));
    }

    /// Discards a presumed start: the node answers at full speed, so that it was out of reach and did not
    /// restart.
    pub(crate) fn discard_presumed_start(&mut self) {
        self.presumed_start = None;
    }

    /// Since when the node may be in slow start: since it started, as listed or presumed, or since now if it
    /// is suspected, as it may start at any time.
    pub(crate) fn slow_start_since(&self, now: Micros) -> Option<Micros> {
        self.latest_start(now).max(self.suspected_since.map(|_| now))
    }

    /// The start by which slow start is counted. Unlike [`Self::slow_start_since`], a node that has been
    /// suspected for the whole duration of slow start no longer counts as starting now.
    pub(crate) fn slow_start_origin(&self, now: Micros, slow_start_duration: Micros) -> Option<Micros> {
        let suspected = |since: Micros| now.saturating_sub(since) < slow_start_duration;
        if self.suspected_since.is_some_and(suspected) {
            return Some(now);
        }
        self.latest_start(now)
    }

    fn latest_start(&self, now: Micros) -> Option<Micros> {
        let is_recent = |start: &Micros| now.saturating_sub(*start) < UNANNOUNCED_START_LIFETIME;
        self.started_at.max(self.presumed_start.filter(is_recent))
    }

    /// Whether requests that any node may serve avoid it. A node that returns errors answers quickly and
    /// would otherwise look like the least loaded one.
    pub(crate) fn is_unhealthy(&self) -> bool {
        self.suspected_since.is_some() || self.consecutive_errors >= UNHEALTHY_ERRORS
    }

    pub(crate) fn suspected_since(&self) -> Option<Micros> {
        self.suspected_since
    }

    pub(crate) fn last_response(&self) -> Micros {
        self.last_response
    }

    #[cfg(test)]
    pub(crate) fn consecutive_errors(&self) -> u32 {
        self.consecutive_errors
    }

    pub(crate) fn unanswered(&self) -> u32 {
        self.unanswered
    }
}
