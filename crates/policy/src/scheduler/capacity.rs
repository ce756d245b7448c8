//! Whether a node has capacity for a request: the period budget and the queueing delay.

use super::send_rules::SendDecision;
use super::Scheduler;
use crate::api::{Micros, PERIODS_PER_OBJECTIVE};
use crate::node::Node;
use crate::request::TrackedRequest;
use crate::volume::QuotaTier;

/// Maximum queueing delay at a node for a request of the highest priority, in shortest latency objectives.
const MAX_DELAY_OBJECTIVES: f64 = 1.1;
/// The same for a request of the lowest priority; it is linear in between.
const MIN_DELAY_OBJECTIVES: f64 = 0.15;
/// Maximum fraction of the delay limit that is left out at random while the estimate of the delay is old. It
/// keeps schedulers from all sending to a node at the same moment, when the estimate has decayed.
const STALE_ESTIMATE_JITTER: f64 = 0.2;

impl Scheduler {
    pub(super) fn check_capacity(&self, now: Micros, tracked: &TrackedRequest, node: &Node) -> SendDecision {
        let open_units = node.in_flight.informative_units(now, self.period);
        let needed_units = open_units + tracked.units();
        let delay = self.queueing_delay(now, node);
        // A node with nothing open always has room for one request.
        let exceeds = |budget: f64| open_units > 0.0 && needed_units > budget;
        if exceeds(node.budget.limit_units()) || delay > self.delay_limit(1.0) {
            return SendDecision::NoCapacity;
        }
        // The longer the delay, the smaller the part of the budget that is used: otherwise queued requests
        // would overload the node whenever its delay falls. Lower priorities use a smaller part.
        let delay_margin = 1.0 - delay / self.request_delay_limit(now, tracked);
        let is_reserved = tracked.quota_tier == QuotaTier::Reserved;
        let budget_part = if is_reserved { delay_margin } else { delay_margin * tracked.priority };
        let is_held_back = self.stale_estimate_draw(now, tracked, node) > delay_margin;
        if is_held_back || exceeds(budget_part * node.budget.limit_units()) {
            return SendDecision::NotYet;
        }
        SendDecision::Allowed
    }

    /// A random part of the delay limit that is left out, larger the older the estimate of the node's delay
    /// is.
    pub(super) fn stale_estimate_draw(&self, now: Micros, tracked: &TrackedRequest, node: &Node) -> f64 {
        STALE_ESTIMATE_JITTER * tracked.admission_draw * (1.0 - node.delay.freshness(now))
    }

    pub(super) fn queueing_delay(&self, now: Micros, node: &Node) -> f64 {
        node.queueing_delay(now, self.period, &self.fleet)
    }

    /// Maximum queueing delay for a priority, in microseconds.
    pub(super) fn delay_limit(&self, priority: f64) -> f64 {
        let objectives = MIN_DELAY_OBJECTIVES + (MAX_DELAY_OBJECTIVES - MIN_DELAY_OBJECTIVES) * priority;
        objectives * PERIODS_PER_OBJECTIVE as f64 * self.period as f64
    }

    /// Maximum queueing delay for a request, in microseconds: no longer than is left until it is due.
    pub(super) fn request_delay_limit(&self, now: Micros, tracked: &TrackedRequest) -> f64 {
        let service_time = self.fleet.service_time(tracked.request.units);
        let remaining = tracked.timing.due.saturating_sub(now) as f64 - service_time;
        self.delay_limit(tracked.priority).min(remaining.max(1.0))
    }
}
