//! The arrival of a request: its due time, quota tier and priority.

use super::Scheduler;
use crate::api::{Action, ClassSettings, ClientRetries, Micros, PlanSettings, Request, RequestId};
use crate::request::{RequestState, RequestTiming, TrackedRequest};
use crate::volume::{PlanQuota, QuotaTier, Volume};

impl Scheduler {
    pub(super) fn on_request_arrived(&mut self, now: Micros, request: Request, actions: &mut Vec<Action>) {
        if self.requests.contains(request.id) {
            return;
        }
        if !self.has_class_and_plan(&request) {
            actions.push(Action::Shed { request: request.id, retry_after: None });
            return;
        }
        if let Some(budget) = &self.settings.retry_budget {
            self.retry_window.record_request(now, budget);
        }
        if !self.make_room_for_volume(now, &request) {
            actions.push(Action::Shed { request: request.id, retry_after: None });
            return;
        }
        let timing = request_timing(now, &request, self.class_of(&request), self.settings.client_retries);
        let quota_tier = if timing.is_late { QuotaTier::Excess } else { self.quota_tier(now, &request) };
        let priority = self.priority(&request, quota_tier, timing.is_late);
        let draw = self.random.decisions.f64();
        self.requests.insert(TrackedRequest::new(request, timing, quota_tier, priority, draw));
        if self.enqueue_for_key(now, request.id) {
            self.admit(now, request.id, actions);
        }
    }

    /// Forgets a volume if there are too many for the one of this request; returns whether there is room.
    /// A volume that has used a part of its rate limit is not forgotten, as it would get all of it again.
    fn make_room_for_volume(&mut self, now: Micros, request: &Request) -> bool {
        let plans = &self.settings.plans;
        let has_used_rate_limit =
            |volume: &Volume| volume.has_used_rate_limit(now, &plans[usize::from(volume.plan.0)]);
        self.volumes.make_room_for(&request.volume, has_used_rate_limit)
    }

    fn has_class_and_plan(&self, request: &Request) -> bool {
        let class = self.settings.classes.get(request.class.0 as usize);
        class.is_some() && self.settings.plans.get(request.plan.0 as usize).is_some()
    }

    pub(super) fn class_of(&self, request: &Request) -> &ClassSettings {
        &self.settings.classes[request.class.0 as usize]
    }

    pub(super) fn plan_of(&self, request: &Request) -> &PlanSettings {
        &self.settings.plans[request.plan.0 as usize]
    }

    /// Takes the request's units from its volume's quotas and returns the tier that covers them.
    fn quota_tier(&mut self, now: Micros, request: &Request) -> QuotaTier {
        let plan = &self.settings.plans[request.plan.0 as usize];
        let started_at = self.timers.started_at(now);
        let create_volume = || Volume::new(now, started_at, plan, request);
        let volume = self.volumes.on_request(now, request.volume, create_volume);
        let fleet_demand = volume.record_request(now, request, plan);
        let units = f64::from(request.units);
        let draw = self.random.decisions.f64() * units;
        volume.take_quota(now, &PlanQuota::new(&self.settings, plan), units, draw, fleet_demand)
    }

    /// Returns the priority from 0 to 1: the product of the weights by class, plan, quota tier and lateness,
    /// relative to the highest possible product. The square root is taken, so that a quarter of the weight
    /// gets half of the capacity and of the permitted delay.
    fn priority(&self, request: &Request, quota_tier: QuotaTier, is_late: bool) -> f64 {
        let max = |weights: &mut dyn Iterator<Item = f64>| weights.fold(f64::MIN_POSITIVE, f64::max);
        let max_class_weight = max(&mut self.settings.classes.iter().map(|class| class.priority_weight));
        let max_plan_factor = max(&mut self.settings.plans.iter().map(|plan| plan.priority_factor));
        let max_weight = max_class_weight * max_plan_factor;
        let class = self.class_of(request);
        let weight = class.priority_weight * self.plan_of(request).priority_factor / max_weight;
        let tier_weight = match quota_tier {
            QuotaTier::Reserved => 1.0,
            QuotaTier::Shared => self.settings.shared_tier_weight,
            QuotaTier::Excess => self.settings.excess_tier_weight,
        };
        let late_fraction = if is_late { class.late_weight_fraction } else { 1.0 };
        (weight * tier_weight * late_fraction).sqrt().min(1.0)
    }

    /// Appends a request to its key's queue if its class is ordered by key. Returns whether the request may
    /// proceed at once.
    fn enqueue_for_key(&mut self, now: Micros, id: RequestId) -> bool {
        let Some(tracked) = self.requests.get_mut(id) else { return false };
        let class = &self.settings.classes[tracked.request.class.0 as usize];
        let Some(key) = tracked.request.key.filter(|_| class.ordered_per_key) else { return true };
        let is_turn = self.key_queues.push(now, key, id);
        if !is_turn {
            tracked.state = RequestState::WaitingForKey;
        }
        is_turn
    }
}

/// Returns the due time and the deadline of a request. A first request is due within the latency objective of
/// its class. A client's retry is due when the client's first request was, or a full objective from now if
/// that time has passed. A first request whose client waits for less than the objective can still be served
/// in time; its retries cannot.
fn request_timing(
    now: Micros,
    request: &Request,
    class: &ClassSettings,
    client_retries: ClientRetries,
) -> RequestTiming {
    let deadline = now + request.time_budget;
    let may_be_retry = request.is_client_retry || client_retries == ClientRetries::Unmarked;
    let elapsed = if may_be_retry { class.deadline.saturating_sub(request.time_budget) } else { 0 };
    let is_short = request.time_budget < class.latency_objective;
    let is_late = if is_short { request.is_client_retry } else { elapsed > class.latency_objective };
    let elapsed_of_objective = if is_short || is_late { 0 } else { elapsed };
    let due = (now + class.latency_objective - elapsed_of_objective).min(deadline);
    RequestTiming { due, deadline, is_late }
}
