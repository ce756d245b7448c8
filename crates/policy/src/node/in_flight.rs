//! The attempts in flight at a node.

use std::collections::BTreeMap;

use crate::api::{Micros, RequestId};

/// Number of budget periods after which an attempt that was sent before an answered one counts as stuck.
const STUCK_PERIODS: u64 = 4;

/// Identifier of an attempt at a node, ordered by the time at which it was sent.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub(crate) struct AttemptKey {
    pub(crate) sent_at: Micros,
    pub(crate) request: RequestId,
    pub(crate) attempt: u32,
}

impl AttemptKey {
    /// Returns the lowest key of attempts sent at or after a time.
    fn first_at(sent_at: Micros) -> Self {
        Self { sent_at, request: RequestId(0), attempt: 0 }
    }
}

/// An attempt in flight.
#[derive(Clone, Copy, Debug)]
pub(crate) struct OpenAttempt {
    pub(crate) sent_at: Micros,
    pub(crate) units: f64,
}

/// The attempts in flight at a node, except those of streamed requests.
#[derive(Clone, Debug, Default)]
pub(crate) struct InFlightAttempts {
    units_by_attempt: BTreeMap<AttemptKey, f64>,
    units: f64,
    /// The latest send time of an answered attempt.
    latest_answered_sent_at: Micros,
}

impl InFlightAttempts {
    pub(crate) fn start(&mut self, key: AttemptKey, units: f64) {
        self.units_by_attempt.insert(key, units);
        self.units += units;
    }

    pub(crate) fn end(&mut self, key: &AttemptKey) {
        if let Some(units) = self.units_by_attempt.remove(key) {
            self.units = (self.units - units).max(0.0);
        }
        if self.units_by_attempt.is_empty() {
            // An empty map would keep the memory of its first entries.
            self.units_by_attempt = BTreeMap::new();
        }
    }

    /// Records that the node has answered an attempt sent at this time.
    pub(crate) fn on_answer(&mut self, sent_at: Micros) {
        self.latest_answered_sent_at = self.latest_answered_sent_at.max(sent_at);
    }

    /// Returns whether this attempt or one sent later has been answered.
    pub(crate) fn is_overtaken(&self, sent_at: Micros) -> bool {
        self.latest_answered_sent_at >= sent_at
    }

    /// Returns the attempts that indicate how long the node takes, in the order in which they were sent. A
    /// node serves requests in order of arrival: an attempt sent before an answered one is expensive, stuck
    /// or lost, and no longer counts after [`STUCK_PERIODS`]. At a node that serves out of order, this may
    /// exclude attempts that are still waiting.
    pub(crate) fn informative(&self, now: Micros, period: Micros) -> impl Iterator<Item = OpenAttempt> + '_ {
        let stuck_before = now.saturating_sub(STUCK_PERIODS * period);
        let first = AttemptKey::first_at((self.latest_answered_sent_at + 1).min(stuck_before));
        let attempts = self.units_by_attempt.range(first..);
        attempts.map(|(key, units)| OpenAttempt { sent_at: key.sent_at, units: *units })
    }

    /// Returns the units of [`Self::informative`] attempts.
    pub(crate) fn informative_units(&self, now: Micros, period: Micros) -> f64 {
        self.informative(now, period).map(|attempt| attempt.units).sum()
    }

    /// Returns the units of the attempts that were sent after every answered one. They remain informative
    /// until the node's next event.
    pub(crate) fn lasting_units(&self) -> f64 {
        let first = AttemptKey::first_at(self.latest_answered_sent_at + 1);
        self.units_by_attempt.range(first..).map(|(_, units)| units).sum::<f64>()
    }

    /// Returns the units of all attempts.
    pub(crate) fn units(&self) -> f64 {
        self.units
    }

    pub(crate) fn is_empty(&self) -> bool {
        self.units_by_attempt.is_empty()
    }
}
