//! The check of a node's capacity for a request, by its period budget and its queueing delay.

use super::send_rules::SendDecision;
use super::Scheduler;
use crate::api::{Micros, PERIODS_PER_OBJECTIVE};
use crate::node::Node;
use crate::request::TrackedRequest;
use crate::volume::QuotaTier;

/// Maximum queueing delay at a node for a request of the highest priority, as a multiple of the shortest
/// latency objective.
const MAX_DELAY_OBJECTIVES: f64 = 1.1;
/// Maximum queueing delay at a node for a request of the lowest priority, as a multiple of the shortest
/// latency objective. Between the two priorities, the maximum is interpolated linearly.
const MIN_DELAY_OBJECTIVES: f64 = 0.15;
/// Maximum fraction by which the delay limit is reduced at random while the estimate of the delay is old. The
/// reduction keeps schedulers from all sending to a node at the moment when their estimates have decayed.
const STALE_ESTIMATE_JITTER: f64 = 0.2;

impl Scheduler {
    pub(super) fn check_capacity(&self, now: Micros, tracked: &TrackedRequest, node: &Node) -> SendDecision {
        let open_units = node.in_flight.informative_units(now, self.period);
        let needed_units = open_units + tracked.units();
        let delay = self.queueing_delay(now, node);
        // A node without attempts in flight always has capacity for one request.
        let exceeds = |budget: f64| open_units > 0.0 && needed_units > budget;
        if exceeds(node.budget.limit_units()) || delay > self.delay_limit(1.0) {
            return SendDecision::NoCapacity;
        }
        // The longer the delay, the smaller the usable part of the budget: otherwise queued requests would
        // overload the node whenever its delay falls. Lower priorities may use a smaller part.
        let delay_margin = 1.0 - delay / self.request_delay_limit(now, tracked);
        let is_reserved = tracked.quota_tier == QuotaTier::Reserved;
        let budget_fraction = if is_reserved { delay_margin } else { delay_margin * tracked.priority };
        let is_held_back = self.stale_estimate_reduction(now, tracked, node) > delay_margin;
        if is_held_back || exceeds(budget_fraction * node.budget.limit_units()) {
            return SendDecision::NotYet;
        }
        SendDecision::Allowed
    }

    /// Returns the fraction by which the delay limit is reduced for a request: random, and larger the older
    /// the estimate of the node's delay is.
    pub(super) fn stale_estimate_reduction(&self, now: Micros, tracked: &TrackedRequest, node: &Node) -> f64 {
        STALE_ESTIMATE_JITTER * tracked.admission_draw * (1.0 - node.delay.freshness(now))
    }

    pub(super) fn queueing_delay(&self, now: Micros, node: &Node) -> f64 {
        node.queueing_delay(now, self.period, &self.fleet)
    }

    /// Returns the maximum queueing delay for a priority, in microseconds.
    pub(super) fn delay_limit(&self, priority: f64) -> f64 {
        let objectives = MIN_DELAY_OBJECTIVES + (MAX_DELAY_OBJECTIVES - MIN_DELAY_OBJECTIVES) * priority;
        objectives * PERIODS_PER_OBJECTIVE as f64 * self.period as f64
    }

    /// Returns the maximum queueing delay for a request, in microseconds: that of its priority, or the time
    /// left until the request is due if that is shorter.
    pub(super) fn request_delay_limit(&self, now: Micros, tracked: &TrackedRequest) -> f64 {
        let service_time = self.fleet.service_time(tracked.request.units);
        let remaining = tracked.timing.due.saturating_sub(now) as f64 - service_time;
        self.delay_limit(tracked.priority).min(remaining.max(1.0))
    }
}
