//! The state of a volume as this scheduler knows it: its demand here and over the whole fleet, and its
//! quotas.
//!
//! A plan's quotas apply to a volume over all schedulers. Schedulers do not communicate: each estimates the
//! fraction of the volume's demand that it receives, and keeps token buckets for that fraction.

use crate::api::{Micros, PlanId, PlanSettings, Request};

mod demand;
mod quota;

use demand::{FleetUsage, LocalDemand};
pub(crate) use quota::{PlanQuota, QuotaBucket, QuotaTier};

/// Weight of the latest estimate in the smoothed fraction of the demand that this scheduler receives.
const LOCAL_FRACTION_WEIGHT: f64 = 0.2;
/// Minimum of that fraction, as a multiple of an even share among all the volume's schedulers.
const MIN_LOCAL_FRACTION: f64 = 0.5;
/// Minimum demand in units a second; prevents a division by zero.
const MIN_DEMAND: f64 = 1e-9;

/// The state of one volume.
#[derive(Clone, Debug)]
pub(crate) struct Volume {
    pub(crate) plan: PlanId,
    /// Time of the latest request for the volume.
    pub(crate) requested_at: Micros,
    /// Number of schedulers that receive the volume's requests.
    schedulers: u32,
    pub(crate) demand: LocalDemand,
    pub(crate) fleet_usage: FleetUsage,
    /// Smoothed fraction of the volume's demand that this scheduler receives.
    local_fraction: f64,
    /// This scheduler's part of the plan's rate limit.
    rate_limit: QuotaBucket,
    /// This scheduler's part of the reserved quota.
    reserved: QuotaBucket,
    /// This scheduler's part of the shared quota.
    shared: QuotaBucket,
}

impl Volume {
    /// Creates a volume whose first request arrives now. The bucket of its rate limit is assumed to have been
    /// empty when the scheduler started, as a restarted scheduler does not know how much it had used.
    pub(crate) fn new(
        now: Micros,
        scheduler_started_at: Micros,
        plan: &PlanSettings,
        request: &Request,
    ) -> Self {
        Self {
            plan: request.plan,
            requested_at: 0,
            schedulers: 0,
            demand: LocalDemand::default(),
            fleet_usage: FleetUsage::default(),
            local_fraction: 1.0 / f64::from(request.schedulers.max(1)),
            rate_limit: QuotaBucket::new(scheduler_started_at, 0.0),
            reserved: QuotaBucket::new(now, plan.reserved_rate),
            shared: QuotaBucket::new(now, plan.usual_rate),
        }
    }

    /// Records a request. Returns the estimated demand for the volume over all schedulers before this
    /// request, in units a second.
    pub(crate) fn record_request(&mut self, now: Micros, request: &Request, plan: &PlanSettings) -> f64 {
        self.schedulers = self.schedulers.max(request.schedulers).max(1);
        self.demand.decay(now);
        let fleet_demand = self.fleet_demand(plan);
        self.demand.record_request(f64::from(request.units));
        self.update_local_fraction(fleet_demand);
        fleet_demand
    }

    /// Returns the estimated demand over all schedulers, in units a second: the served rate that nodes
    /// report, which lags, divided by the fraction of requests that was sent here. Until nodes report, every
    /// scheduler is assumed to have the same demand.
    fn fleet_demand(&self, plan: &PlanSettings) -> f64 {
        let schedulers = f64::from(self.schedulers);
        let even_rate = plan.usual_rate / schedulers;
        let (requested, sent) = (self.demand.requested_rate, self.demand.sent_rate);
        let served = self.fleet_usage.rate().unwrap_or(requested * schedulers);
        let demand = served * (requested + even_rate) / (sent.min(requested) + even_rate);
        demand.max(requested).max(MIN_DEMAND)
    }

    fn update_local_fraction(&mut self, fleet_demand: f64) {
        let min_fraction = MIN_LOCAL_FRACTION / f64::from(self.schedulers);
        let fraction = (self.demand.requested_rate / fleet_demand).clamp(min_fraction, 1.0);
        self.local_fraction += LOCAL_FRACTION_WEIGHT * (fraction - self.local_fraction);
    }

    /// Takes a request's units from the first quota that covers them. A bucket that holds only a part of the
    /// units covers them at random, by `draw` between 0 and `units`, so that the small parts of many
    /// schedulers add up. The reserved quota also covers a volume whose total demand is within it.
    pub(crate) fn take_quota(
        &mut self,
        now: Micros,
        quota: &PlanQuota,
        units: f64,
        draw: f64,
        fleet_demand: f64,
    ) -> QuotaTier {
        let fraction = self.local_fraction;
        let burst = quota.burst(fraction);
        let refill = |bucket: &mut QuotaBucket, rate: f64| {
            let local_rate = rate * fraction;
            bucket.refill(now, local_rate, local_rate + burst)
        };
        let available = refill(&mut self.reserved, quota.reserved_rate);
        if quota.reserved_rate > 0.0 && (available > draw || fleet_demand <= quota.reserved_rate) {
            self.reserved.take(units);
            return QuotaTier::Reserved;
        }
        let available = refill(&mut self.shared, quota.shared_rate);
        if quota.shared_rate > 0.0 && available > draw {
            self.shared.take(units);
            return QuotaTier::Shared;
        }
        QuotaTier::Excess
    }

    /// Returns the units that this scheduler's even part of the rate limit allows now.
    pub(crate) fn units_within_rate_limit(&self, now: Micros, plan: &PlanSettings) -> f64 {
        let schedulers = f64::from(self.schedulers);
        self.rate_limit.clone().refill(now, plan.rate_limit / schedulers, plan.burst / schedulers)
    }

    /// Takes a request's units from the rate limit.
    pub(crate) fn spend_rate_limit(&mut self, now: Micros, plan: &PlanSettings, units: f64) {
        self.rate_limit = QuotaBucket::new(now, self.units_within_rate_limit(now, plan) - units);
    }

    /// Returns whether the rate limit's bucket is not full, in which case the volume must not be removed.
    pub(crate) fn has_used_rate_limit(&self, now: Micros, plan: &PlanSettings) -> bool {
        plan.rate_limit > 0.0
            && self.units_within_rate_limit(now, plan) < plan.burst / f64::from(self.schedulers)
    }
}
