//! When one of many schedulers may call a list service that all of them ask.
//!
//! The service is one for all and has room for so many calls a second; what it can do is told nowhere. A call
//! that finds no room waits, fails, and has still cost a turn. So the calls of a fleet have to come no faster
//! than they are served. Each host keeps an estimate of what one call costs the service, by what its own
//! calls met: an answer that came at once shows the cost, one that came late bounds it, a failure shows that
//! it is larger than thought. A round of calls of the whole fleet then takes the estimate times the number
//! of hosts, and each host calls at its own place in the round, by its number: evenly, not by chance.

use std::time::Duration;

/// What a call is taken to cost before any was answered. Measured: some 54 ms at one service. Too small a
/// guess costs rounds of failures, too large a one makes the first round as much longer.
const FIRST_GUESS: Duration = Duration::from_millis(54);
/// No estimate is outside these.
const BOUNDS: (Duration, Duration) = (Duration::from_millis(2), Duration::from_millis(1_000));
/// A round leaves so much room beside the estimate.
const ROOM: f64 = 1.2;
/// A failure raises the estimate by that, and an answer raises it by no more: one answer may have waited
/// long.
const RAISE: f64 = 1.6;
/// An answer lowers it by no more.
const LOWER: f64 = 0.5;
/// What the soonest answer grows by with each further one.
const FORGET: f64 = 1.1;
/// A round is no shorter: guards against calls without a pause in a fleet of a few.
const LEAST_ROUND: Duration = Duration::from_millis(100);
/// And no longer: a host is out of the list's reach meanwhile.
const LONGEST_ROUND: Duration = Duration::from_secs(600);
/// A hint to come again later is followed up to that.
const LONGEST_HINT: Duration = Duration::from_secs(60);

/// Which of how many.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct FleetPosition {
    /// The host's number, from 0; taken by the number of hosts where it is none of them.
    pub scheduler_index: u32,
    /// How many there are; 0 counts as 1.
    pub schedulers: u32,
}

/// How a call failed.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum CallFailure {
    /// Nobody was there, or the connection broke at once: it has cost no turn.
    Unreachable,
    /// It waited, and failed: it has had its turn, or will have it.
    TimedOut,
    /// It was turned away, with a hint when to come again where there was one.
    Rejected(Option<Duration>),
}

/// When the next call may be made.
#[derive(Clone, Debug)]
pub struct CallPacer {
    rng: fastrand::Rng,
    place: FleetPosition,
    /// What one call costs the service, as far as this host has seen.
    estimated_cost: Duration,
    /// The soonest answer so far, by and by forgotten.
    least: Option<Duration>,
    /// Failures since the last answer.
    failures: u32,
}

impl CallPacer {
    /// For that host; `seed` is its only source of chance.
    pub fn new(place: FleetPosition, seed: u64) -> Self {
        let hosts = place.schedulers.max(1);
        let place = FleetPosition { scheduler_index: place.scheduler_index % hosts, schedulers: hosts };
        Self {
            rng: fastrand::Rng::with_seed(seed),
            place,
            estimated_cost: FIRST_GUESS,
            least: None,
            failures: 0,
        }
    }

    /// One for another service, of which nothing is known.
    pub fn fork(&mut self) -> Self {
        Self {
            rng: self.rng.fork(),
            place: self.place,
            estimated_cost: FIRST_GUESS,
            least: None,
            failures: 0,
        }
    }

    /// What one call is taken to cost now.
    pub fn estimated_cost(&self) -> Duration {
        self.estimated_cost
    }

    /// How long a round of the whole fleet's calls takes now.
    pub fn round_duration(&self) -> Duration {
        self.estimated_cost.mul_f64(ROOM * f64::from(self.place.schedulers)).clamp(LEAST_ROUND, LONGEST_ROUND)
    }

    /// How long the first call after a start waits: this host's place in a round, as all may start at once.
    pub fn first_delay(&mut self) -> Duration {
        self.placed()
    }

    /// A call was answered after so long. Returns how long the next one waits should this watch end.
    pub fn on_answer(&mut self, after: Duration) -> Duration {
        self.failures = 0;
        // Waiting for others' calls makes an answer later, never sooner: the least seen is nearest to the
        // truth. It grows a little with each answer, as a service may become slower.
        let least = self.least.map_or(after, |least| after.min(least.mul_f64(FORGET)));
        self.least = Some(least);
        let (low, high) = (self.estimated_cost.mul_f64(LOWER), self.estimated_cost.mul_f64(RAISE));
        self.estimated_cost = least.clamp(low, high).clamp(BOUNDS.0, BOUNDS.1);
        self.placed()
    }

    /// A call failed so, `since` after it was made. Returns how long the next one waits: for the rest of this
    /// round, and for its place in the next. Guards against hosts whose place is early and who would call
    /// again and again meanwhile.
    pub fn on_failure(&mut self, how: CallFailure, since: Duration) -> Duration {
        let (first, before) = (self.failures == 0, self.round_duration());
        self.failures = self.failures.saturating_add(1);
        let overloaded = match how {
            // Whoever is not there is not overloaded.
            CallFailure::Unreachable => false,
            CallFailure::TimedOut => true,
            // Once may be chance.
            CallFailure::Rejected(_) => !first,
        };
        if overloaded {
            self.estimated_cost = self.estimated_cost.mul_f64(RAISE).clamp(BOUNDS.0, BOUNDS.1);
        }
        let rest =
            before.mul_f64(1.0 - f64::from(self.place.scheduler_index) / f64::from(self.place.schedulers));
        let next = rest.saturating_sub(since) + self.placed();
        match how {
            CallFailure::Rejected(Some(hint)) => next.max(hint.min(LONGEST_HINT)),
            _ => next,
        }
    }

    /// This host's place in a round, with a chance within the place alone.
    fn placed(&mut self) -> Duration {
        let place =
            (f64::from(self.place.scheduler_index) + self.rng.f64()) / f64::from(self.place.schedulers);
        self.round_duration().mul_f64(place)
    }
}

#[cfg(test)]
mod tests;
