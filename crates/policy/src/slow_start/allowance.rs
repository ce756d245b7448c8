//! How much all schedulers together may send to a node in slow start.

use crate::api::{Micros, Settings};

/// Load that schedulers send in total, as a fraction of the load at which the node fails. The rest is a
/// margin for random variation, for requests larger than the mean, and for schedulers that do not know when
/// the node started.
const TARGET_FRACTION: f64 = 0.5;
/// Minimum fraction of its capacity that a node is taken to start with, so that it can be divided by.
const MIN_START_FRACTION: f64 = 0.01;

impl Settings {
    /// Units that all schedulers together should send within the overload window to a node of this age. They
    /// grow linearly with the node's capacity and are never less than what the settings say it can serve.
    /// `None` if the node is not in slow start.
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
