//! Retries after an attempt, and the final answers of requests.

use super::send_rules::SendDecision;
use super::Scheduler;
use crate::api::{Action, AttemptEnd, DeduplicationScope, Idempotency, Micros, NodeId, RequestId};
use crate::request::{RequestState, TrackedRequest};
use crate::volume::QuotaTier;

impl Scheduler {
    /// Retries a request after an attempt that did not serve it, or answers it. Not called after a served
    /// attempt, which closes its request.
    pub(super) fn retry(
        &mut self,
        now: Micros,
        id: RequestId,
        last_node: NodeId,
        end: AttemptEnd,
        actions: &mut Vec<Action>,
    ) {
        let Some(tracked) = self.requests.get_mut(id) else { return };
        tracked.state = RequestState::Queued(None);
        let is_useful = is_retry_useful(tracked, end) && now < tracked.timing.due;
        let target = if tracked.is_unbound() { self.least_loaded(now, id) } else { Some(last_node) };
        let Some(node_id) = target.filter(|_| is_useful) else {
            return self.answer_locally(now, id, actions);
        };
        match self.try_send(now, id, node_id, actions) {
            SendDecision::Allowed => {}
            SendDecision::Never => self.answer_locally(now, id, actions),
            SendDecision::NotYet | SendDecision::NoCapacity => self.enqueue(now, id, node_id),
        }
    }

    /// Answers a request from this scheduler, unless it has its final answer already: it is shed if the
    /// client may safely retry, and failed otherwise.
    pub(super) fn answer_locally(&mut self, now: Micros, id: RequestId, actions: &mut Vec<Action>) {
        self.dequeue(now, id);
        if !self.requests.is_open(id) {
            return;
        }
        let Some(tracked) = self.requests.get_mut(id) else { return };
        tracked.state = RequestState::Answered;
        let answer = self.local_answer(now, id);
        actions.extend(answer);
        if let Some(count) = self.answer_log.record(now) {
            let text = format!("shed or failed {count} requests");
            actions.push(Action::Log { text, node: None });
        }
        self.remove_if_finished(now, id, actions);
    }

    fn local_answer(&self, now: Micros, id: RequestId) -> Option<Action> {
        let tracked = self.requests.get(id)?;
        if !self.may_client_retry(tracked) || now >= tracked.timing.deadline {
            return Some(Action::Fail { request: id });
        }
        let max_retry_after = self.settings.max_retry_after;
        let is_reserved = tracked.quota_tier == QuotaTier::Reserved;
        let retry_after = if is_reserved { self.period.min(max_retry_after) } else { max_retry_after };
        Some(Action::Shed { request: id, retry_after: (retry_after > 0).then_some(retry_after) })
    }

    /// Returns whether a retry by the client has no second effect, whichever scheduler receives it.
    fn may_client_retry(&self, tracked: &TrackedRequest) -> bool {
        let class = self.class_of(&tracked.request);
        match class.idempotency {
            Idempotency::Idempotent => true,
            Idempotency::WithKey => {
                !tracked.may_have_reached_node() || class.deduplication_scope == DeduplicationScope::AllNodes
            }
            Idempotency::NotIdempotent => !tracked.may_have_reached_node(),
        }
    }

    /// Closes a request that needs no answer from this scheduler.
    pub(super) fn drop_request(&mut self, now: Micros, id: RequestId, actions: &mut Vec<Action>) {
        self.dequeue(now, id);
        if let Some(tracked) = self.requests.get_mut(id) {
            tracked.state = RequestState::Answered;
        }
        self.remove_if_finished(now, id, actions);
    }

    /// Removes a request that has its final answer and no attempt in flight, and starts the next request with
    /// its key.
    pub(super) fn remove_if_finished(&mut self, now: Micros, id: RequestId, actions: &mut Vec<Action>) {
        let Some(tracked) = self.requests.get(id) else { return };
        if tracked.state != RequestState::Answered {
            return;
        }
        let (key, is_in_flight) = (tracked.request.key, !tracked.in_flight.is_empty());
        self.requests.clear_deadline(id);
        if is_in_flight {
            return;
        }
        self.requests.remove(id);
        if let Some(key) = key.filter(|key| self.key_queues.remove(*key, id)) {
            self.start_next_for_key(now, key, actions);
        }
    }
}

/// Returns whether another attempt may succeed before the request is due. After a broken connection or an
/// error, any attempt may. A node that is full or down remains so for longer than a latency objective: such a
/// request is retried only if another node may serve it.
fn is_retry_useful(tracked: &TrackedRequest, end: AttemptEnd) -> bool {
    match end {
        AttemptEnd::Error | AttemptEnd::Reset => true,
        AttemptEnd::Rejected | AttemptEnd::NotConnected => tracked.request.shard.is_none(),
        AttemptEnd::Served | AttemptEnd::TimedOut | AttemptEnd::Cancelled | AttemptEnd::NotSent => false,
    }
}
