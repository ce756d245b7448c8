//! Decides when one of many schedulers may call a service that all of them share.
//!
//! The service serves a limited number of calls per second, and does not say how many. A call that exceeds
//! this waits, fails, and still uses up some of the service's time, so the fleet must not call faster than it
//! is served. Each scheduler estimates the cost of one call, which is the time that the service spends on it,
//! from its own calls: an answer that comes at once shows the cost, a late one is an upper bound, and a
//! failure shows that the cost is higher than estimated. A round, in which every scheduler calls once, then
//! takes the estimated cost times the number of schedulers. Each scheduler calls in its own slot of the
//! round, so that calls are spread evenly.

use std::time::Duration;

/// The estimated cost of a call until the first one is answered.
const INITIAL_COST: Duration = Duration::from_millis(54);
/// Lower bound of the estimated cost of a call.
const MIN_COST: Duration = Duration::from_millis(2);
/// Upper bound of the estimated cost of a call.
const MAX_COST: Duration = Duration::from_millis(1_000);
/// A round is longer than the estimated cost of its calls by this factor.
const ROUND_HEADROOM_FACTOR: f64 = 1.2;
/// A failure that shows overload raises the estimate by this factor. A late answer, which may have waited
/// for other calls, raises it by at most this factor.
const COST_RAISE_FACTOR: f64 = 1.6;
/// An answer lowers the estimate to no less than this fraction of its previous value.
const COST_DROP_FACTOR: f64 = 0.5;
/// Each further answer ages the fastest answer so far: its time is multiplied by this factor, so that it
/// loses its effect when the service becomes slower.
const FASTEST_ANSWER_AGING_FACTOR: f64 = 1.1;
/// The shortest round, so that a small fleet does not call without a pause.
const MIN_ROUND: Duration = Duration::from_millis(100);
/// The longest round. A scheduler learns of no changes between its calls.
const MAX_ROUND: Duration = Duration::from_secs(600);
/// Upper bound of the delay that a Retry-After hint can cause.
const MAX_RETRY_AFTER: Duration = Duration::from_secs(60);

/// The position of one scheduler in its fleet.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct FleetPosition {
    /// The scheduler's index, from 0. An index outside the fleet is reduced modulo its size.
    pub scheduler_index: u32,
    /// The number of schedulers; 0 counts as 1.
    pub schedulers: u32,
}

/// How a call failed.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum CallFailure {
    /// No connection was made, or it broke at once: the service has spent no time on the call.
    Unreachable,
    /// The call timed out: the service has spent time on it, or will.
    TimedOut,
    /// The service rejected the call.
    Rejected {
        /// The Retry-After hint of the rejection, if any.
        retry_after: Option<Duration>,
    },
}

/// Decides when one scheduler may make its next call.
#[derive(Clone, Debug)]
pub struct CallPacer {
    rng: fastrand::Rng,
    position: FleetPosition,
    /// Estimate of the time that the service spends on one call, from this scheduler's own calls.
    estimated_cost: Duration,
    /// Time of the fastest answer so far, aged by each answer since.
    fastest_answer: Option<Duration>,
    /// Number of failures since the last answer.
    failures: u32,
}

impl CallPacer {
    /// Creates the pacer of the scheduler at `position`. All its randomness comes from `seed`.
    pub fn new(position: FleetPosition, seed: u64) -> Self {
        let schedulers = position.schedulers.max(1);
        let scheduler_index = position.scheduler_index % schedulers;
        Self::without_history(fastrand::Rng::with_seed(seed), FleetPosition { scheduler_index, schedulers })
    }

    /// Creates a pacer of the same scheduler for another service, without any history.
    pub fn fork(&mut self) -> Self {
        Self::without_history(self.rng.fork(), self.position)
    }

    fn without_history(rng: fastrand::Rng, position: FleetPosition) -> Self {
        Self { rng, position, estimated_cost: INITIAL_COST, fastest_answer: None, failures: 0 }
    }

    /// Returns the estimated cost of one call, from 2 ms to 1 s.
    pub fn estimated_cost(&self) -> Duration {
        self.estimated_cost
    }

    /// Returns how long a round of calls of the whole fleet takes now, from 100 ms to 600 s.
    pub fn round_duration(&self) -> Duration {
        let cost_factor = ROUND_HEADROOM_FACTOR * f64::from(self.position.schedulers);
        self.estimated_cost.mul_f64(cost_factor).clamp(MIN_ROUND, MAX_ROUND)
    }

    /// Returns the delay before the first call, which is made in this scheduler's slot of a round because
    /// all schedulers may start at the same time.
    pub fn first_delay(&mut self) -> Duration {
        self.offset_in_round()
    }

    /// Records that a call was answered after `elapsed`. Returns the delay before the next call, which
    /// applies once the watch that was answered ends.
    pub fn on_answer(&mut self, elapsed: Duration) -> Duration {
        self.failures = 0;
        // Waiting for other schedulers' calls makes an answer later and never sooner, so the fastest answer
        // is the closest to the real cost.
        let aged = |fastest: Duration| fastest.mul_f64(FASTEST_ANSWER_AGING_FACTOR);
        let fastest = self.fastest_answer.map_or(elapsed, |fastest| elapsed.min(aged(fastest)));
        self.fastest_answer = Some(fastest);
        let lowest = self.estimated_cost.mul_f64(COST_DROP_FACTOR);
        let highest = self.estimated_cost.mul_f64(COST_RAISE_FACTOR);
        self.estimated_cost = fastest.clamp(lowest, highest).clamp(MIN_COST, MAX_COST);
        self.offset_in_round()
    }

    /// Records that a call failed, `elapsed` after it was made. Returns the delay before the next call: the
    /// rest of this round, and the time to this scheduler's slot in the next one. Without the rest of this
    /// round, schedulers with a low index, whose slot comes early, would call several times within it.
    pub fn on_failure(&mut self, failure: CallFailure, elapsed: Duration) -> Duration {
        let is_first_failure = self.failures == 0;
        let round_before = self.round_duration();
        self.failures = self.failures.saturating_add(1);
        let shows_overload = match failure {
            CallFailure::Unreachable => false,
            CallFailure::TimedOut => true,
            // A single rejection may have another cause.
            CallFailure::Rejected { .. } => !is_first_failure,
        };
        if shows_overload {
            self.estimated_cost = self.estimated_cost.mul_f64(COST_RAISE_FACTOR).clamp(MIN_COST, MAX_COST);
        }
        let rest_of_round = round_before.mul_f64(1.0 - self.slot_start());
        let delay = rest_of_round.saturating_sub(elapsed) + self.offset_in_round();
        match failure {
            CallFailure::Rejected { retry_after: Some(hint) } => delay.max(hint.min(MAX_RETRY_AFTER)),
            _ => delay,
        }
    }

    /// Returns where this scheduler's slot begins, as a fraction of a round.
    fn slot_start(&self) -> f64 {
        f64::from(self.position.scheduler_index) / f64::from(self.position.schedulers)
    }

    /// Returns the time from the beginning of a round to a random point in this scheduler's slot.
    fn offset_in_round(&mut self) -> Duration {
        let slot_offset = self.rng.f64();
        let fraction =
            (f64::from(self.position.scheduler_index) + slot_offset) / f64::from(self.position.schedulers);
        self.round_duration().mul_f64(fraction)
    }
}

#[cfg(test)]
mod tests;
