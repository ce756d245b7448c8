//! The quotas of a plan and the token buckets that enforce them.

use crate::api::{seconds, Micros, PlanSettings, Settings};

/// Shared quota of a volume of average weight, as a multiple of the mean usual rate.
const SHARED_QUOTA_RATES: f64 = 2.0;
/// Minimum of the sum of the plans' weights; prevents a division by zero.
const MIN_TOTAL_WEIGHT: f64 = 1e-9;
/// Burst of the quota buckets of all schedulers of a volume together, in requests of maximum size.
const BURST_REQUESTS: f64 = 1.5;

/// The part of its plan's quota that covers a request; earlier variants have the higher priority.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub(crate) enum QuotaTier {
    /// Covered by the reserved rate.
    Reserved,
    /// Covered by the volume's part of the capacity that is not reserved.
    Shared,
    /// Covered by neither: served only if there is capacity left.
    Excess,
}

/// The quotas of a volume, summed over all schedulers.
#[derive(Clone, Copy, Debug)]
pub(crate) struct PlanQuota {
    /// Reserved rate in units a second.
    pub(crate) reserved_rate: f64,
    /// Shared rate in units a second.
    pub(crate) shared_rate: f64,
    /// Units of the largest request.
    max_units: f64,
}

impl PlanQuota {
    /// Returns the quotas of a volume with this plan.
    pub(crate) fn new(settings: &Settings, plan: &PlanSettings) -> Self {
        let sum = |value: fn(&PlanSettings) -> f64| settings.plans.iter().map(value).sum::<f64>();
        let total_weight = sum(|plan| plan.shared_weight).max(MIN_TOTAL_WEIGHT);
        Self {
            reserved_rate: plan.reserved_rate,
            shared_rate: SHARED_QUOTA_RATES * sum(|plan| plan.usual_rate) / total_weight * plan.shared_weight,
            max_units: f64::from(settings.max_units),
        }
    }

    /// Returns the burst, in units, of the buckets of a scheduler that receives this fraction of the demand.
    pub(crate) fn burst(&self, fraction: f64) -> f64 {
        self.max_units * (fraction * BURST_REQUESTS).min(1.0)
    }
}

/// A token bucket of units that is refilled on access.
#[derive(Clone, Debug)]
pub(crate) struct QuotaBucket {
    units: f64,
    updated_at: Micros,
}

impl QuotaBucket {
    /// Creates a bucket that holds these units now.
    pub(crate) fn new(now: Micros, units: f64) -> Self {
        Self { units, updated_at: now }
    }

    /// Adds the units gained at `rate` units a second, up to `capacity` units. Returns the units in the
    /// bucket.
    pub(crate) fn refill(&mut self, now: Micros, rate: f64, capacity: f64) -> f64 {
        let elapsed = seconds(now.saturating_sub(self.updated_at));
        self.units = (self.units + rate * elapsed).min(capacity);
        self.updated_at = now;
        self.units
    }

    /// Takes units; the bucket does not fall below 0.
    pub(crate) fn take(&mut self, units: f64) {
        self.units = (self.units - units).max(0.0);
    }
}
