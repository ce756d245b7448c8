//! Estimates of the queueing delay at a node and of the delay and service time over all nodes.
//!
//! Delays and service times are in microseconds.

use crate::api::Micros;

/// Weight of an observation right after another one.
const MIN_OBSERVATION_WEIGHT: f64 = 0.3;
/// Weight of an observation after a long time without any.
const MAX_OBSERVATION_WEIGHT: f64 = 0.6;
/// Minimum time constant with which a node's estimate decays into the fleet's, in microseconds.
const MIN_TIME_CONSTANT_US: f64 = 500_000.0;
/// Maximum of the same, in microseconds; also the time constant with which the fleet's estimate decays.
const MAX_TIME_CONSTANT_US: f64 = 12_000_000.0;
/// Weight of an observation in the fleet's estimate.
const FLEET_OBSERVATION_WEIGHT: f64 = 0.2;
/// Units whose service time an attempt in flight may take before the rest counts as queueing.
const EXPECTED_SERVICE_UNITS: f64 = 4.0;
/// Service times of its units that an answer may take before the rest counts as queueing, as service times
/// vary.
const EXPECTED_SERVICE_TIMES: f64 = 1.5;
/// Factor on the service time after an answer that was faster.
const FASTER_STEP: f64 = 0.98;
/// Factor on the service time after an answer that was slower.
const SLOWER_STEP: f64 = 1.02;

/// The queueing delay at one node. It is the node's own while answers come, and decays into the mean delay of
/// all nodes while none do.
#[derive(Clone, Debug, Default)]
pub(crate) struct DelayEstimate {
    /// The delay as of the last observation.
    value: f64,
    updated_at: Option<Micros>,
    /// Usual time between observations.
    interval: f64,
}

impl DelayEstimate {
    /// The estimate now.
    pub(crate) fn decayed(&self, now: Micros, fleet_delay: f64) -> f64 {
        let freshness = self.freshness(now);
        self.value * freshness + fleet_delay * (1.0 - freshness)
    }

    /// Weight of the node's own delay in the estimate: 1 right after an observation, 0 if there was none.
    pub(crate) fn freshness(&self, now: Micros) -> f64 {
        let Some(updated_at) = self.updated_at else { return 0.0 };
        (-(now.saturating_sub(updated_at) as f64) / self.time_constant()).exp()
    }

    /// Time constant of the decay: the usual time between observations, within bounds.
    pub(crate) fn time_constant(&self) -> f64 {
        self.interval.clamp(MIN_TIME_CONSTANT_US, MAX_TIME_CONSTANT_US)
    }

    /// Takes in an observed delay.
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

    /// The delay as of the last observation.
    pub(crate) fn value(&self) -> f64 {
        self.value
    }

    /// When the last observation was, if there was one.
    pub(crate) fn updated_at(&self) -> Option<Micros> {
        self.updated_at
    }
}

/// Estimates for the whole fleet, from the answers of all nodes.
#[derive(Clone, Debug)]
pub(crate) struct FleetEstimate {
    unit_service_time: f64,
    delay: f64,
    delay_updated_at: Micros,
}

impl FleetEstimate {
    /// The initial estimate: a request of mean size takes a quarter of a period.
    pub(crate) fn new(period: Micros, mean_units: f64) -> Self {
        Self { unit_service_time: period as f64 / (4.0 * mean_units), delay: 0.0, delay_updated_at: 0 }
    }

    /// Mean queueing delay of all nodes that answered lately.
    pub(crate) fn delay(&self, now: Micros) -> f64 {
        let age = now.saturating_sub(self.delay_updated_at) as f64;
        self.delay * (-age / MAX_TIME_CONSTANT_US).exp()
    }

    /// Takes in an observed delay.
    pub(crate) fn observe_delay(&mut self, now: Micros, delay: f64) {
        let decayed = self.delay(now);
        self.delay = decayed + FLEET_OBSERVATION_WEIGHT * (delay - decayed);
        self.delay_updated_at = now;
    }

    /// Service time of one unit without queueing.
    pub(crate) fn unit_service_time(&self) -> f64 {
        self.unit_service_time
    }

    /// Service time of a request.
    pub(crate) fn service_time(&self, units: u32) -> f64 {
        f64::from(units) * self.unit_service_time
    }

    /// Time in which an attempt in flight is expected to be served if it does not queue.
    pub(crate) fn expected_service_time(&self) -> f64 {
        EXPECTED_SERVICE_UNITS * self.unit_service_time
    }

    /// The part of an answer's latency that was queueing.
    pub(crate) fn queueing_delay_of(&self, latency: Micros, units: f64) -> f64 {
        (latency as f64 - EXPECTED_SERVICE_TIMES * units * self.unit_service_time).max(0.0)
    }

    /// Moves the service time toward an answer's time per unit, so that it follows the median of answers
    /// without queueing. Slower answers count only if the node had no queue.
    pub(crate) fn observe_service_time(&mut self, time_per_unit: f64, is_unqueued: bool) {
        if time_per_unit < self.unit_service_time {
            self.unit_service_time *= FASTER_STEP;
        } else if is_unqueued {
            self.unit_service_time *= SLOWER_STEP;
        }
    }
}
