//! How long one of many schedulers waits before it calls discovery again. No I/O, no clock.

use std::time::Duration;

use heathward_discovery_pacing::{CallFailure, CallPacer, FleetPosition};
use heathward_policy::EndpointListMode;

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
pub struct AgentBackoff {
    rng: fastrand::Rng,
    failures: u32,
}

impl AgentBackoff {
    /// `seed` is its only source of chance.
    pub fn new(seed: u64) -> Self {
        Self { rng: fastrand::Rng::with_seed(seed), failures: 0 }
    }

    /// The pause before the next call, 50 ms at most where the last one was `sound`.
    pub fn next_delay(&mut self, sound: bool) -> Duration {
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
pub enum WatchEnd {
    /// It had brought something, or stood for a while; its call was answered after so long.
    Healthy(Duration),
    /// It failed so, so long after its call.
    Failed(CallFailure, Duration),
}

/// When the next call is made.
#[derive(Clone, Debug)]
pub enum ReconnectPolicy {
    /// To an agent of this host's own.
    LocalAgent(AgentBackoff),
    /// To a service that all hosts share.
    SharedService(CallPacer),
}

impl ReconnectPolicy {
    /// For one of many hosts where lists come so; `seed` is its only source of chance.
    pub fn new(lists: EndpointListMode, place: FleetPosition, seed: u64) -> Self {
        match lists {
            EndpointListMode::Streamed => Self::LocalAgent(AgentBackoff::new(seed)),
            EndpointListMode::Polled { .. } => Self::SharedService(CallPacer::new(place, seed)),
        }
    }

    /// One for another address, with chances of its own.
    pub fn fork(&mut self) -> Self {
        match self {
            Self::LocalAgent(backoff) => Self::LocalAgent(AgentBackoff::new(backoff.rng.u64(..))),
            Self::SharedService(calls) => Self::SharedService(calls.fork()),
        }
    }

    /// How long the first call waits.
    pub fn first_delay(&mut self) -> Duration {
        match self {
            Self::LocalAgent(_) => Duration::ZERO,
            Self::SharedService(calls) => calls.first_delay(),
        }
    }

    /// How long the next call waits.
    pub fn next_delay(&mut self, ended: WatchEnd) -> Duration {
        match (self, ended) {
            (Self::LocalAgent(backoff), ended) => backoff.next_delay(matches!(ended, WatchEnd::Healthy(_))),
            (Self::SharedService(calls), WatchEnd::Healthy(after)) => calls.on_answer(after),
            (Self::SharedService(calls), WatchEnd::Failed(how, since)) => calls.on_failure(how, since),
        }
    }
}

#[cfg(test)]
mod tests;
