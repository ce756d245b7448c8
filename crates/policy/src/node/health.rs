//! Failure detection: whether a node is down, unresponsive or returning errors, and when it started.

use crate::api::{AttemptEnd, Micros};

/// Time for which a start that is presumed from an answer is assumed without confirmation by the endpoint
/// list.
const UNANNOUNCED_START_LIFETIME: Micros = 6_000_000;
/// Number of consecutive timeouts after which a node is unresponsive.
const UNRESPONSIVE_TIMEOUTS: u32 = 3;
/// Number of budget periods without an answer after which a node may count as unresponsive, rather than just
/// paused.
const UNRESPONSIVE_PERIODS: u64 = 7;
/// Number of consecutive unanswered attempts, because of broken connections, after which a node counts as
/// down.
const DOWN_ATTEMPTS: u32 = 2;
/// Number of broken connections that an attempt without a connection counts as.
const NO_CONNECTION_ATTEMPTS: u32 = 2;
/// Minimum length of a timeout, in budget periods. A shorter one says nothing about the node.
const MIN_TIMEOUT_PERIODS: u64 = 2;
/// Number of consecutive errors after which a node is unhealthy.
const UNHEALTHY_ERRORS: u32 = 2;

/// The end of an attempt, as observed by failure detection.
#[derive(Clone, Copy, Debug)]
pub(crate) struct ObservedEnd {
    pub(crate) end: AttemptEnd,
    pub(crate) sent_at: Micros,
    pub(crate) latency: Micros,
}

/// A change of a node's state in failure detection.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum HealthChange {
    /// The node became unresponsive.
    Unresponsive,
    /// The node responds again.
    Responsive,
}

/// The health of one node as this scheduler observes it.
#[derive(Clone, Debug)]
pub(crate) struct NodeHealth {
    /// Start time according to the endpoint list.
    started_at: Option<Micros>,
    /// Start time presumed from an answer after the node was unresponsive.
    presumed_start: Option<Micros>,
    /// Time since which the node is down or unresponsive. It may be in slow start when it answers again.
    suspected_since: Option<Micros>,
    last_response: Micros,
    /// Number of unanswered attempts since the last response; an attempt without a connection counts as
    /// [`NO_CONNECTION_ATTEMPTS`].
    unanswered: u32,
    /// Number of consecutive errors and rejections; at least [`UNHEALTHY_ERRORS`] after an attempt without a
    /// connection.
    consecutive_errors: u32,
}

impl NodeHealth {
    /// Creates the state of a node that is listed for the first time.
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

    /// Records the start time that the endpoint list reports. Returns whether it is later than the known one.
    pub(crate) fn on_listed_start(&mut self, started_at: Option<Micros>) -> bool {
        let is_new = started_at > self.started_at;
        if is_new {
            self.started_at = started_at;
            self.suspected_since = None;
        }
        is_new
    }

    /// Records the end of an attempt. Returns the resulting change of the node's health, if any.
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
        // A node that was unresponsive for a long time may have restarted without the endpoint list reporting
        // it yet.
        let was_suspected = self.suspected_since.take().is_some();
        let presumed_start = (was_suspected && self.is_overdue(now, period)).then_some(attempt.sent_at);
        self.presumed_start = self.presumed_start.max(presumed_start);
        self.last_response = now;
        self.unanswered = 0;
        let is_served = attempt.end == AttemptEnd::Served;
        self.consecutive_errors = if is_served { 0 } else { self.consecutive_errors + 1 };
    }

    /// Records an attempt without a connection. Requests that any node may serve avoid the node until it
    /// serves a request again.
    fn on_no_connection(&mut self, now: Micros, period: Micros) {
        self.unanswered += NO_CONNECTION_ATTEMPTS;
        self.consecutive_errors = self.consecutive_errors.max(UNHEALTHY_ERRORS);
        self.mark_suspected_if(now, self.unanswered >= DOWN_ATTEMPTS && self.is_overdue(now, period));
    }

    /// Records a broken connection. A single one, or one to a node that has just answered, does not mean that
    /// the node is down.
    fn on_reset(&mut self, now: Micros, period: Micros) {
        self.unanswered += 1;
        self.mark_suspected_if(now, self.unanswered >= DOWN_ATTEMPTS && self.is_overdue(now, period));
    }

    /// Records a timeout. Single attempts may hang at healthy nodes: a node is unresponsive only after
    /// several consecutive timeouts without an answer since the attempts were sent.
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

    fn mark_suspected_if(&mut self, now: Micros, is_suspected: bool) {
        self.suspected_since = self.suspected_since.or(is_suspected.then_some(now));
    }

    /// Discards a presumed start: a node that answers at full speed was unreachable and did not restart.
    pub(crate) fn discard_presumed_start(&mut self) {
        self.presumed_start = None;
    }

    /// Returns the time since which the node may be in slow start: its listed or presumed start, or `now`
    /// while it is suspected, as it may start at any time.
    pub(crate) fn slow_start_since(&self, now: Micros) -> Option<Micros> {
        self.latest_start(now).max(self.suspected_since.map(|_| now))
    }

    /// Returns the start from which the duration of slow start is counted. Unlike in
    /// [`Self::slow_start_since`], a node that has been suspected for the full duration of slow start no
    /// longer counts as starting now.
    pub(crate) fn slow_start_origin(&self, now: Micros, slow_start_duration: Micros) -> Option<Micros> {
        let is_recently_suspected = |since: Micros| now.saturating_sub(since) < slow_start_duration;
        if self.suspected_since.is_some_and(is_recently_suspected) {
            return Some(now);
        }
        self.latest_start(now)
    }

    fn latest_start(&self, now: Micros) -> Option<Micros> {
        let is_recent = |start: &Micros| now.saturating_sub(*start) < UNANNOUNCED_START_LIFETIME;
        self.started_at.max(self.presumed_start.filter(is_recent))
    }

    /// Returns whether requests that any node may serve avoid the node. A node that returns errors answers
    /// quickly and would otherwise appear to be the least loaded one.
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
