//! The load that all schedulers together may send to a node in slow start.

use crate::api::{Micros, Settings};

/// Total load that the schedulers aim for, as a fraction of the load at which the node fails. The rest is a
/// margin for random variation, for requests larger than the mean, and for schedulers that do not know when
/// the node started.
const TARGET_FRACTION: f64 = 0.5;
/// Minimum of the fraction of its capacity that a node is assumed to start with; prevents a division by zero.
const MIN_START_FRACTION: f64 = 0.01;

impl Settings {
    /// Returns the units that all schedulers together should send within the overload window to a node of
    /// this age, or `None` if the node is not in slow start. They grow linearly with the node's capacity and
    /// are never fewer than the node can serve according to the settings.
    pub(crate) fn slow_start_allowance(&self, age: Micros) -> Option<f64> {
        if age >= self.slow_start_duration || self.slow_start_units <= 0.0 {
            return None;
        }
        let start_fraction = self.slow_start_fraction.clamp(MIN_START_FRACTION, 1.0);
        let elapsed_fraction_of_rest = (1.0 - start_fraction) * age as f64 / self.slow_start_duration as f64;
        let capacity_fraction = start_fraction + elapsed_fraction_of_rest;
        let multiple = (TARGET_FRACTION * self.overload_multiple).max(1.0);
        Some(multiple * self.slow_start_units * capacity_fraction / start_fraction)
    }
}
