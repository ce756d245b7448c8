//! How long one of many schedulers waits before it calls discovery again. No I/O, no clock.

use std::time::Duration;

use heathward_discovery_pacing::{Calls, Failure, Place};
use heathward_policy::ListMode;

/// The spans over which the call to one's own agent after a first failure and after many is drawn.
const SPANS: (Duration, Duration) = (Duration::from_millis(50), Duration::from_millis(1000));
/// No less of a span than this: guards against calls without a pause.
const PART: f64 = 0.1;
/// The call after a sound watch has ended is drawn over this span: what the agent of this machine has counts
/// as told from the moment it has it, whether it was asked or not.
const AT_ONCE: Duration = Duration::from_millis(50);

/// Pauses that double with each failure and are drawn apart: for an agent of this host's own, which answers
/// at no cost to anybody, however large the fleet.
#[derive(Clone, Debug)]
pub struct Backoff {
    rng: fastrand::Rng,
    failures: u32,
}

impl Backoff {
    /// `seed` is its only source of chance.
    pub fn new(seed: u64) -> Self {
        Self { rng: fastrand::Rng::with_seed(seed), failures: 0 }
    }

    /// The pause before the next call, 50 ms at most where the last one was `sound`.
    pub fn pause(&mut self, sound: bool) -> Duration {
        if sound {
            self.failures = 0;
            return AT_ONCE.mul_f64(self.rng.f64());
        }
        let span = SPANS.0.saturating_mul(1 << self.failures.min(20)).min(SPANS.1);
        self.failures = self.failures.saturating_add(1);
        span.mul_f64(PART + (1.0 - PART) * self.rng.f64())
    }
}

/// How a watch ended that is followed by another.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Ended {
    /// It had brought something, or stood for a while; its call was answered after so long.
    Sound(Duration),
    /// It failed so, so long after its call.
    Failed(Failure, Duration),
}

/// When the next call is made.
#[derive(Clone, Debug)]
pub enum Pace {
    /// To an agent of this host's own.
    Agent(Backoff),
    /// To a service that all hosts share.
    Service(Calls),
}

impl Pace {
    /// For one of many hosts where lists come so; `seed` is its only source of chance.
    pub fn new(lists: ListMode, place: Place, seed: u64) -> Self {
        match lists {
            ListMode::Pushed => Self::Agent(Backoff::new(seed)),
            ListMode::Asked { .. } => Self::Service(Calls::new(place, seed)),
        }
    }

    /// One for another address, with chances of its own.
    pub fn fork(&mut self) -> Self {
        match self {
            Self::Agent(backoff) => Self::Agent(Backoff::new(backoff.rng.u64(..))),
            Self::Service(calls) => Self::Service(calls.fork()),
        }
    }

    /// How long the first call waits.
    pub fn first(&mut self) -> Duration {
        match self {
            Self::Agent(_) => Duration::ZERO,
            Self::Service(calls) => calls.first(),
        }
    }

    /// How long the next call waits.
    pub fn next(&mut self, ended: Ended) -> Duration {
        match (self, ended) {
            (Self::Agent(backoff), ended) => backoff.pause(matches!(ended, Ended::Sound(_))),
            (Self::Service(calls), Ended::Sound(after)) => calls.answered(after),
            (Self::Service(calls), Ended::Failed(how, since)) => calls.failed(how, since),
        }
    }
}

#[cfg(test)]
mod tests;
