//! The start of an attempt.

use super::send_rules::SendDecision;
use super::Scheduler;
use crate::api::{Action, Micros, NodeId, RequestId};
use crate::node::AttemptKey;
use crate::request::{RequestAttempt, RequestState};

/// Timeout of an attempt, as a multiple of the time until its request is due. Some nodes drop the request at
/// that time.
const TIMEOUT_FACTOR: Micros = 3;

impl Scheduler {
    /// Sends a request to a node if every rule holds. Every attempt is started by this function.
    pub(super) fn try_send(
        &mut self,
        now: Micros,
        id: RequestId,
        node_id: NodeId,
        actions: &mut Vec<Action>,
    ) -> SendDecision {
        let decision = self.check_send(now, id, node_id);
        match decision {
            SendDecision::Allowed => self.send(now, id, node_id, actions),
            SendDecision::NoCapacity => {
                if let Some(node) = self.nodes.get_mut(&node_id) {
                    node.budget.mark_filled();
                }
            }
            SendDecision::NotYet | SendDecision::Never => {}
        }
        decision
    }

    fn send(&mut self, now: Micros, id: RequestId, node_id: NodeId, actions: &mut Vec<Action>) {
        self.dequeue(now, id);
        self.charge_attempt(now, id);
        self.start_attempt(now, id, node_id);
        self.update_rank(now, node_id);
        let Some(tracked) = self.requests.get(id) else { return };
        let until_due = tracked.timing.due.saturating_sub(now).max(1);
        let timeout = Some(TIMEOUT_FACTOR * until_due);
        actions.push(Action::Send { request: id, node: node_id, timeout });
    }

    /// Charges a first attempt to its volume's rate limit, and a retry to the retry budget.
    fn charge_attempt(&mut self, now: Micros, id: RequestId) {
        let Some(tracked) = self.requests.get(id) else { return };
        if tracked.is_retry() {
            if self.settings.retry_budget.is_some() {
                self.retry_window.record_retry(now);
            }
        } else if let Some(volume) = self.volumes.get_mut(&tracked.request.volume) {
            let plan = &self.settings.plans[tracked.request.plan.0 as usize];
            volume.spend_rate_limit(now, plan, tracked.units());
            volume.demand.decay(now);
            volume.demand.record_send(tracked.units());
        }
    }

    /// Records the attempt in the request and in the node.
    fn start_attempt(&mut self, now: Micros, id: RequestId, node_id: NodeId) {
        let (Some(tracked), Some(node)) = (self.requests.get_mut(id), self.nodes.get_mut(&node_id)) else {
            return;
        };
        if let Some(allowance) = node.slow_start_requests(now, &self.settings) {
            node.slow_start.spend(now, allowance, tracked.units(), &self.settings);
        }
        let number = tracked.attempts_sent;
        let key = AttemptKey { sent_at: now, request: id, attempt: number };
        node.start_attempt(key, &tracked.request, self.settings.mean_units);
        tracked.in_flight.push(RequestAttempt { number, node: node_id, sent_at: now });
        tracked.attempts_sent += 1;
        tracked.state = RequestState::InFlight;
    }
}
