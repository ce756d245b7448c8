//! The delays between calls to discovery. Each machine may run a discovery agent of its own, which streams
//! the endpoint list: calls to it follow an exponential backoff with jitter. Without agents all schedulers
//! call one discovery service: their calls are paced. No I/O, no clock.

use std::time::Duration;

use heathward_discovery_pacing::{CallFailure, CallPacer, FleetPosition};
use heathward_policy::EndpointListMode;

/// The longest delay after the first failure; it doubles with each further one.
const INITIAL_FAILURE_DELAY: Duration = Duration::from_millis(50);
/// The upper bound on the delay after a failure.
const MAX_FAILURE_DELAY: Duration = Duration::from_millis(1000);
/// The shortest delay after a failure, as a fraction of the longest possible one, so that calls never follow
/// each other without a pause.
const MIN_DELAY_FRACTION: f64 = 0.1;
/// The longest delay after a healthy watch has ended. It is short because a change counts as delivered a
/// fixed time after discovery had it, whether or not this scheduler has requested it from the agent by then.
const MAX_HEALTHY_DELAY: Duration = Duration::from_millis(50);
/// The limit on the doublings of the delay, far more than it takes to reach [`MAX_FAILURE_DELAY`]. It keeps
/// the factor from overflowing.
const MAX_DOUBLINGS: u32 = 20;

/// Exponential backoff with jitter, for calls to the agent on this machine: it serves this scheduler alone,
/// so the size of the fleet plays no part.
#[derive(Clone, Debug)]
pub struct AgentBackoff {
    rng: fastrand::Rng,
    /// Failures since the last healthy watch.
    failures: u32,
}

impl AgentBackoff {
    /// Returns a backoff without any failure. All its jitter comes from `seed`.
    pub fn new(seed: u64) -> Self {
        Self { rng: fastrand::Rng::with_seed(seed), failures: 0 }
    }

    /// Returns the delay before the next call after a healthy watch has ended, at most 50 ms.
    pub fn delay_after_healthy_watch(&mut self) -> Duration {
        self.failures = 0;
        MAX_HEALTHY_DELAY.mul_f64(self.rng.f64())
    }

    /// Returns the delay before the next call after a failure, at most 1 s.
    pub fn delay_after_failure(&mut self) -> Duration {
        let doublings = self.failures.min(MAX_DOUBLINGS);
        let max_delay = INITIAL_FAILURE_DELAY.saturating_mul(1 << doublings).min(MAX_FAILURE_DELAY);
        self.failures = self.failures.saturating_add(1);
        max_delay.mul_f64(MIN_DELAY_FRACTION + (1.0 - MIN_DELAY_FRACTION) * self.rng.f64())
    }
}

/// How a watch ended, which determines the delay before the next one.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum WatchEnd {
    /// It had received an update, or had been open long enough to count as working.
    Healthy {
        /// The time from sending the request to the start of the response, or the time for which the call was
        /// open if there was no response.
        answered_in: Duration,
    },
    /// It failed.
    Failed {
        /// The kind of failure.
        failure: CallFailure,
        /// The time from opening the call to its failure.
        elapsed: Duration,
    },
}

/// Determines the delays between calls for the endpoint list.
#[derive(Clone, Debug)]
pub enum ReconnectPolicy {
    /// For calls to the agent on this machine.
    LocalAgent(AgentBackoff),
    /// For calls to a service that all schedulers share.
    SharedService(CallPacer),
}

impl ReconnectPolicy {
    /// Returns the policy for one scheduler of a fleet: streamed lists come from an agent on its machine,
    /// polled lists from a shared service. All randomness comes from `seed`.
    pub fn new(mode: EndpointListMode, position: FleetPosition, seed: u64) -> Self {
        match mode {
            EndpointListMode::Streamed => Self::LocalAgent(AgentBackoff::new(seed)),
            EndpointListMode::Polled { .. } => Self::SharedService(CallPacer::new(position, seed)),
        }
    }

    /// Returns a policy for another address, which knows no earlier calls and has a random sequence of its
    /// own.
    pub fn fork(&mut self) -> Self {
        match self {
            Self::LocalAgent(backoff) => Self::LocalAgent(AgentBackoff::new(backoff.rng.u64(..))),
            Self::SharedService(pacer) => Self::SharedService(pacer.fork()),
        }
    }

    /// Returns the delay before the first call.
    pub fn first_delay(&mut self) -> Duration {
        match self {
            Self::LocalAgent(_) => Duration::ZERO,
            Self::SharedService(pacer) => pacer.first_delay(),
        }
    }

    /// Returns the delay from the end of a watch to the next call.
    pub fn next_delay(&mut self, end: WatchEnd) -> Duration {
        match (self, end) {
            (Self::LocalAgent(backoff), WatchEnd::Healthy { .. }) => backoff.delay_after_healthy_watch(),
            (Self::LocalAgent(backoff), WatchEnd::Failed { .. }) => backoff.delay_after_failure(),
            (Self::SharedService(pacer), WatchEnd::Healthy { answered_in }) => pacer.on_answer(answered_in),
            (Self::SharedService(pacer), WatchEnd::Failed { failure, elapsed }) => {
                pacer.on_failure(failure, elapsed)
            }
        }
    }
}

#[cfg(test)]
mod tests;
