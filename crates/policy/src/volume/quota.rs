//! Quotas of a plan and the token buckets that keep them.

use crate::api::{seconds, Micros, PlanSettings, Settings};

/// The shared quota of a volume of average weight, in mean usual rates.
const SHARED_QUOTA_RATES: f64 = 2.0;
/// Minimum of the sum of the plans' weights, so that it can be divided by.
const MIN_TOTAL_WEIGHT: f64 = 1e-9;
/// Burst of the quota buckets of all a volume's schedulers together, in requests of maximum size.
const BURST_REQUESTS: f64 = 1.5;

/// Which part of its plan's quota a request is covered by; earlier ones have the higher priority.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub(crate) enum QuotaTier {
    /// The reserved rate.
    Reserved,
    /// The volume's part of the capacity that is not reserved.
    Shared,
    /// Neither: served only if there is capacity left.
    Excess,
}

/// The quotas of a volume over all schedulers.
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
    /// The quotas of a volume with this plan.
    pub(crate) fn new(settings: &Settings, plan: &PlanSettings) -> Self {
        let sum = |of: fn(&PlanSettings) -> f64| settings.plans.iter().map(of).sum::<f64>();
        let total_weight = sum(|plan| plan.shared_weight).max(MIN_TOTAL_WEIGHT);
        Self {
            reserved_rate: plan.reserved_rate,
            shared_rate: SHARED_QUOTA_RATES * sum(|plan| plan.usual_rate) / total_weight * plan.shared_weight,
            max_units: f64::from(settings.max_units),
        }
    }

    /// Burst in units of the buckets of a scheduler that has this fraction of the demand.
    pub(crate) fn burst(&self, fraction: f64) -> f64 {
        self.max_units * (fraction * BURST_REQUESTS).min(1.0)
    }
}

/// A token bucket that is refilled when it is looked at.
#[derive(Clone, Debug)]
pub(crate) struct QuotaBucket {
    units: f64,
    updated_at: Micros,
}

impl QuotaBucket {
    /// A bucket that holds these units now.
    pub(crate) fn new(now: Micros, units: f64) -> Self {
        Self { units, updated_at: now }
    }

    /// Adds what has come at `rate` units a second, up to `capacity` units. Returns the units it holds.
    pub(crate) fn refill(&mut self, now: Micros, rate: f64, capacity: f64) -> f64 {
        let elapsed = seconds(now.saturating_sub(self.updated_at));
        self.units = (self.units + rate * elapsed).min(capacity);
        self.updated_at = now;
        self.units
    }

    /// Takes units, as far as there are any.
    pub(crate) fn take(&mut self, units: f64) {
        self.units = (self.units - units).max(0.0);
    }
}
