//! The end of an attempt: updates of the node's health, period budget and queueing delay and of the volume's
//! usage, and the retry of the request.

use super::Scheduler;
use crate::api::{Action, AttemptEnd, AttemptOutcome, KeyId, Micros, NodeId, PlanId, VolumeId};
use crate::node::{AttemptKey, HealthChange, Node, ObservedEnd};
use crate::request::PossibleExecution;

/// Estimated queueing delay, in budget periods, below which a node counts as having no queue.
const MAX_UNQUEUED_DELAY_PERIODS: f64 = 0.2;
/// Queueing delay that a rejection counts as, as a multiple of the maximum delay.
const REJECTION_DELAY_MULTIPLE: f64 = 2.0;
/// Minimum number of unanswered attempts at a node for a timeout to count as a queueing delay.
const MIN_UNANSWERED: u32 = 2;

/// An attempt that has ended.
#[derive(Clone, Copy, Debug)]
struct EndedAttempt {
    key: AttemptKey,
    node: NodeId,
    units: f64,
    volume: VolumeId,
    plan: PlanId,
    latency_objective: Micros,
    /// Key of the request, if its class is ordered by key.
    ordered_key: Option<KeyId>,
}

impl Scheduler {
    pub(super) fn on_attempt_ended(
        &mut self,
        now: Micros,
        outcome: &AttemptOutcome,
        actions: &mut Vec<Action>,
    ) {
        self.close_periods(now, outcome.node);
        let Some(attempt) = self.take_attempt(outcome) else { return };
        self.pause_key(now, &attempt, outcome.end);
        self.observe_health(now, &attempt, outcome, actions);
        self.observe_load(&attempt, outcome);
        self.observe_service_time(now, &attempt, outcome);
        self.observe_delay(now, &attempt, outcome);
        self.update_rank(now, attempt.node);
        self.observe_volume_usage(now, &attempt, outcome);
        if outcome.request_closed {
            self.drop_request(now, outcome.request, actions);
        } else if self.requests.is_open(outcome.request) {
            self.retry(now, outcome.request, attempt.node, outcome.end, actions);
        }
        self.remove_if_finished(now, outcome.request, actions);
        self.dispatch_queued(now, attempt.node, actions);
    }

    /// Removes the attempt from its request and its node. Returns `None` if the attempt is not in flight.
    fn take_attempt(&mut self, outcome: &AttemptOutcome) -> Option<EndedAttempt> {
        let tracked = self.requests.get_mut(outcome.request)?;
        let index = tracked.in_flight.iter().position(|attempt| attempt.number == outcome.attempt)?;
        let attempt = tracked.in_flight.remove(index);
        if outcome.end.is_possibly_executed() && tracked.possible_execution.is_none() {
            let (node, sent_at) = (attempt.node, attempt.sent_at);
            tracked.possible_execution = Some(PossibleExecution { node, sent_at });
        }
        let key = AttemptKey { sent_at: attempt.sent_at, request: outcome.request, attempt: attempt.number };
        if let Some(node) = self.nodes.get_mut(&attempt.node) {
            node.in_flight.end(&key);
        }
        let request = &tracked.request;
        let class = &self.settings.classes[request.class.0 as usize];
        Some(EndedAttempt {
            key,
            node: attempt.node,
            units: tracked.units(),
            volume: request.volume,
            plan: request.plan,
            latency_objective: class.latency_objective,
            ordered_key: request.key.filter(|_| class.ordered_per_key),
        })
    }

    /// Pauses the ordered key of a request that may still be executing.
    fn pause_key(&mut self, now: Micros, attempt: &EndedAttempt, end: AttemptEnd) {
        if let Some(key) = attempt.ordered_key.filter(|_| end.is_unknown()) {
            self.key_queues.start_cool_down(key, now + self.settings.key_cool_down);
        }
    }

    /// Updates failure detection and logs a change of the node's health.
    fn observe_health(
        &mut self,
        now: Micros,
        attempt: &EndedAttempt,
        outcome: &AttemptOutcome,
        actions: &mut Vec<Action>,
    ) {
        let Some(node) = self.nodes.get_mut(&attempt.node) else { return };
        let observed =
            ObservedEnd { end: outcome.end, sent_at: attempt.key.sent_at, latency: outcome.latency };
        let change = node.health.on_attempt_end(now, &observed, self.period);
        let text = match change {
            Some(HealthChange::Unresponsive) => "node is unresponsive",
            Some(HealthChange::Responsive) => "node responds again",
            None => return,
        };
        let text = format!("{text} ({:?})", outcome.end);
        actions.push(Action::Log { text, node: Some(attempt.node) });
    }

    /// Updates the node's period budget and the send time of its latest answered attempt.
    fn observe_load(&mut self, attempt: &EndedAttempt, outcome: &AttemptOutcome) {
        let Some(node) = self.nodes.get_mut(&attempt.node) else { return };
        match outcome.end {
            AttemptEnd::Served => {
                node.in_flight.on_answer(attempt.key.sent_at);
                node.budget.record_served(attempt.units, outcome.latency, attempt.latency_objective);
            }
            AttemptEnd::Rejected => {
                node.in_flight.on_answer(attempt.key.sent_at);
                node.budget.record_rejection();
            }
            AttemptEnd::Error => node.in_flight.on_answer(attempt.key.sent_at),
            _ => {}
        }
    }

    /// Updates the fleet's service time. An answer that is as fast as that shows that the node has not just
    /// restarted.
    fn observe_service_time(&mut self, now: Micros, attempt: &EndedAttempt, outcome: &AttemptOutcome) {
        let Some(node) = self.nodes.get_mut(&attempt.node) else { return };
        if outcome.end != AttemptEnd::Served {
            return;
        }
        let time_per_unit = outcome.latency as f64 / attempt.units.max(1.0);
        if time_per_unit <= self.fleet.unit_service_time() {
            // A node that has just started takes several times as long.
            node.health.discard_presumed_start();
        }
        let delay = node.delay.decayed(now, self.fleet.delay(now));
        let is_unqueued = delay < MAX_UNQUEUED_DELAY_PERIODS * self.period as f64;
        self.fleet.observe_service_time(time_per_unit, is_unqueued);
    }

    /// Updates the queueing delays of the node and the fleet. A timeout affects only its own node.
    fn observe_delay(&mut self, now: Micros, attempt: &EndedAttempt, outcome: &AttemptOutcome) {
        let max_delay = self.delay_limit(1.0);
        let fleet_delay = self.fleet.delay(now);
        let Some(node) = self.nodes.get_mut(&attempt.node) else { return };
        let estimate = node.delay.decayed(now, fleet_delay);
        let observed = match outcome.end {
            AttemptEnd::Served => Some(self.fleet.queueing_delay_of(outcome.latency, attempt.units)),
            AttemptEnd::Rejected => Some(estimate.max(REJECTION_DELAY_MULTIPLE * max_delay)),
            AttemptEnd::TimedOut => {
                timeout_delay(node, attempt, outcome.latency).filter(|delay| *delay > estimate)
            }
            _ => None,
        };
        let Some(delay) = observed else { return };
        node.delay.observe(now, delay, fleet_delay);
        if outcome.end != AttemptEnd::TimedOut {
            self.fleet.observe_delay(now, delay.min(max_delay));
        }
    }

    /// Updates the volume's usage over the whole fleet, if the node reports it.
    fn observe_volume_usage(&mut self, now: Micros, attempt: &EndedAttempt, outcome: &AttemptOutcome) {
        let Some(percent) = outcome.volume_usage_percent else { return };
        let usual_rate = self.settings.plans[attempt.plan.0 as usize].usual_rate;
        if let Some(volume) = self.volumes.get_mut(&attempt.volume) {
            volume.fleet_usage.observe(now, f64::from(percent) / 100.0 * usual_rate);
        }
    }
}

/// Returns the queueing delay that a timeout indicates, if any. If this attempt, every later one and the one
/// before it remained unanswered, a request that is sent now waits at least as long as the timeout.
fn timeout_delay(node: &Node, attempt: &EndedAttempt, latency: Micros) -> Option<f64> {
    let is_alone = node.health.unanswered() < MIN_UNANSWERED;
    let is_overtaken = node.in_flight.is_overtaken(attempt.key.sent_at);
    (!is_alone && !is_overtaken).then_some(latency as f64)
}
