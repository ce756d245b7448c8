//! Estimates of the queueing delay at each node, and of the mean delay and service time over all nodes.
//!
//! Delays and service times are in microseconds.

use crate::api::Micros;

/// Weight of an observation that immediately follows another one.
const MIN_OBSERVATION_WEIGHT: f64 = 0.3;
/// Weight of an observation after a long time without one.
const MAX_OBSERVATION_WEIGHT: f64 = 0.6;
/// Minimum time constant with which a node's estimate decays toward the fleet's, in microseconds.
const MIN_TIME_CONSTANT_US: f64 = 500_000.0;
/// Maximum time constant of that decay, in microseconds; also the time constant with which the fleet's
/// estimate decays.
const MAX_TIME_CONSTANT_US: f64 = 12_000_000.0;
/// Weight of an observation in the fleet's estimate.
const FLEET_OBSERVATION_WEIGHT: f64 = 0.2;
/// Service time that an attempt in flight may take before the rest counts as queueing, as a multiple of the
/// service time of one unit.
const EXPECTED_SERVICE_UNITS: f64 = 4.0;
/// Latency of an answer before the rest counts as queueing, as a multiple of the mean service time of its
/// units. It allows for varying service times.
const EXPECTED_SERVICE_TIME_MULTIPLE: f64 = 1.5;
/// Factor applied to the estimated service time after a faster answer.
const FASTER_ANSWER_FACTOR: f64 = 0.98;
/// Factor applied to the estimated service time after a slower answer.
const SLOWER_ANSWER_FACTOR: f64 = 1.02;

/// The estimated queueing delay at one node. It is based on the node's own answers while there are any, and
/// decays toward the mean delay of all nodes without them.
#[derive(Clone, Debug, Default)]
pub(crate) struct DelayEstimate {
    /// The delay as of the last observation.
    value: f64,
    updated_at: Option<Micros>,
    /// Smoothed time between observations, in microseconds.
    interval: f64,
}

impl DelayEstimate {
    /// Returns the estimate at `now`.
    pub(crate) fn decayed(&self, now: Micros, fleet_delay: f64) -> f64 {
        let freshness = self.freshness(now);
        self.value * freshness + fleet_delay * (1.0 - freshness)
    }

    /// Returns the weight of the node's own delay in the estimate: 1 right after an observation, 0 without
    /// any.
    pub(crate) fn freshness(&self, now: Micros) -> f64 {
        let Some(updated_at) = self.updated_at else { return 0.0 };
        (-(now.saturating_sub(updated_at) as f64) / self.time_constant()).exp()
    }

    /// Returns the time constant of the decay: the smoothed time between observations, within bounds.
    pub(crate) fn time_constant(&self) -> f64 {
        self.interval.clamp(MIN_TIME_CONSTANT_US, MAX_TIME_CONSTANT_US)
    }

    /// Records an observed delay.
    pub(crate) fn observe(&mut self, now: Micros, delay: f64, fleet_delay: f64) {
        let weight = MIN_OBSERVATION_WEIGHT.max(MAX_OBSERVATION_WEIGHT * (1.0 - self.freshness(now)));
        let decayed = self.decayed(now, fleet_delay);
        if let Some(updated_at) = self.updated_at {
            let interval = now.saturating_sub(updated_at) as f64;
            self.interval += MIN_OBSERVATION_WEIGHT * (interval - self.interval);
        }
        self.value = decayed + weight * (delay - decayed);
        self.updated_at = Some(now);
    }

    /// Returns the delay as of the last observation.
    pub(crate) fn value(&self) -> f64 {
        self.value
    }

    /// Returns the time of the last observation, if there is one.
    pub(crate) fn updated_at(&self) -> Option<Micros> {
        self.updated_at
    }
}

/// Estimates for the whole fleet, based on the answers of all nodes.
#[derive(Clone, Debug)]
pub(crate) struct FleetEstimate {
    unit_service_time: f64,
    delay: f64,
    delay_updated_at: Micros,
}

impl FleetEstimate {
    /// Creates the initial estimate: a request of mean size takes a quarter of a period.
    pub(crate) fn new(period: Micros, mean_units: f64) -> Self {
        Self { unit_service_time: period as f64 / (4.0 * mean_units), delay: 0.0, delay_updated_at: 0 }
    }

    /// Returns the mean queueing delay of all nodes that answered recently, in microseconds.
    pub(crate) fn delay(&self, now: Micros) -> f64 {
        let age = now.saturating_sub(self.delay_updated_at) as f64;
        self.delay * (-age / MAX_TIME_CONSTANT_US).exp()
    }

    /// Records an observed delay.
    pub(crate) fn observe_delay(&mut self, now: Micros, delay: f64) {
        let decayed = self.delay(now);
        self.delay = decayed + FLEET_OBSERVATION_WEIGHT * (delay - decayed);
        self.delay_updated_at = now;
    }

    /// Returns the service time of one unit without queueing, in microseconds.
    pub(crate) fn unit_service_time(&self) -> f64 {
        self.unit_service_time
    }

    /// Returns the service time of a request without queueing, in microseconds.
    pub(crate) fn service_time(&self, units: u32) -> f64 {
        f64::from(units) * self.unit_service_time
    }

    /// Returns the time in which an attempt in flight is expected to be served if it does not queue, in
    /// microseconds.
    pub(crate) fn expected_service_time(&self) -> f64 {
        EXPECTED_SERVICE_UNITS * self.unit_service_time
    }

    /// Returns the part of an answer's latency that counts as queueing, in microseconds.
    pub(crate) fn queueing_delay_of(&self, latency: Micros, units: f64) -> f64 {
        (latency as f64 - EXPECTED_SERVICE_TIME_MULTIPLE * units * self.unit_service_time).max(0.0)
    }

    /// Moves the service time toward an answer's time per unit, so that it follows the median of answers
    /// without queueing. Slower answers count only if the node had no queue.
    pub(crate) fn observe_service_time(&mut self, time_per_unit: f64, is_unqueued: bool) {
        if time_per_unit < self.unit_service_time {
            self.unit_service_time *= FASTER_ANSWER_FACTOR;
        } else if is_unqueued {
            self.unit_service_time *= SLOWER_ANSWER_FACTOR;
        }
    }
}
