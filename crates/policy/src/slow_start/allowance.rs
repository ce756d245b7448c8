//! How much all hosts together send to a node that has just started.

use crate::api::{Micros, Settings};

/// Part of the rule's multiple that the mean total comes to: half of what a cold node may get. The rest is
/// for chance, for requests larger than the mean, and for schedulers that do not agree on the node's start.
const USED_FRACTION: f64 = 0.5;

impl Settings {
    /// Units within `fall_time` that hosts aim at for a node of that age: half of `tip_multiple` times
    /// `cold_units`, and never less than these, which a node bears in any case, growing with its ability.
    /// That starts at `cold_share` and is whole after `cold_time` at the latest. `None` for a warm node.
    pub(crate) fn slow_start_total(&self, age: Micros) -> Option<f64> {
        if age >= self.slow_start_duration || self.slow_start_units <= 0.0 {
            return None;
        }
        let share = self.slow_start_fraction.clamp(0.01, 1.0);
        let ability = share + (1.0 - share) * age as f64 / self.slow_start_duration as f64;
        Some((USED_FRACTION * self.overload_multiple).max(1.0) * self.slow_start_units * ability / share)
    }
}
