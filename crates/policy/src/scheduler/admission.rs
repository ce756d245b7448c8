//! Admission: whether a request is sent now, queued, or shed at once.

use super::send_rules::SendDecision;
use super::Scheduler;
use crate::api::{Action, Micros, NodeId, RequestId};
use crate::node::{Node, QueueEntry};
use crate::request::{RequestState, TrackedRequest};
use crate::volume::QuotaTier;

impl Scheduler {
    pub(super) fn admit(&mut self, now: Micros, id: RequestId, actions: &mut Vec<Action>) {
        let Some(node_id) = self.target_node(now, id) else {
            return self.answer_locally(now, id, actions);
        };
        self.close_periods(now, node_id);
        self.record_demand(now, node_id);
        let (Some(tracked), Some(node)) = (self.requests.get(id), self.nodes.get(&node_id)) else { return };
        if !admits_volume(tracked, node) || self.exceeds_delay_limit(now, tracked, node) {
            return self.answer_locally(now, id, actions);
        }
        let has_queue = !node.queue.is_empty();
        if has_queue || self.try_send(now, id, node_id, actions) != SendDecision::Allowed {
            self.enqueue(now, id, node_id);
        }
    }

    /// Returns the node that holds the request's shard, or the least loaded node if any node may serve it.
    fn target_node(&mut self, now: Micros, id: RequestId) -> Option<NodeId> {
        match self.requests.get(id)?.request.shard {
            Some(shard) => self.nodes.shards.holder(shard),
            None => self.least_loaded(now, id),
        }
    }

    /// Records a request for a node in the estimates that slow start uses.
    fn record_demand(&mut self, now: Micros, id: NodeId) {
        let use_probability = self.nodes.record_demand(now, id, self.settings.token_lifetime());
        let draw = self.random.decisions.f64();
        if let Some(node) = self.nodes.get_mut(&id) {
            let allowance = node.slow_start_requests(now, &self.settings);
            node.slow_start.on_request(now, allowance, use_probability, draw, &self.settings);
        }
    }

    /// Returns whether the request is beyond its reserved quota and the node's queueing delay exceeds its
    /// limit.
    fn exceeds_delay_limit(&self, now: Micros, tracked: &TrackedRequest, node: &Node) -> bool {
        let limit = self.request_delay_limit(now, tracked)
            * (1.0 - self.stale_estimate_reduction(now, tracked, node));
        tracked.quota_tier != QuotaTier::Reserved && self.queueing_delay(now, node) > limit
    }

    /// Queues a request for a node, or for all nodes if any node may serve it.
    pub(super) fn enqueue(&mut self, now: Micros, id: RequestId, node_id: NodeId) {
        let Some(tracked) = self.requests.get_mut(id) else { return };
        let entry = QueueEntry { due: tracked.timing.due, request: id };
        if tracked.is_unbound() {
            tracked.state = RequestState::Queued(None);
            self.queued.unbound.insert(entry);
        } else if let Some(node) = self.nodes.get_mut(&node_id) {
            tracked.state = RequestState::Queued(Some(node_id));
            node.enqueue(now, entry, &tracked.request);
            self.queued.nodes_with_queue.insert(node_id);
            self.update_rank(now, node_id);
        }
    }

    /// Removes a request from its queue, if it is queued.
    pub(super) fn dequeue(&mut self, now: Micros, id: RequestId) {
        let Some(tracked) = self.requests.get(id) else { return };
        let RequestState::Queued(queued_for) = tracked.state else { return };
        let entry = QueueEntry { due: tracked.timing.due, request: id };
        let units = tracked.units();
        self.queued.unbound.remove(&entry);
        let Some(node_id) = queued_for else { return };
        let Some(node) = self.nodes.get_mut(&node_id) else { return };
        node.queue.remove(&entry, units);
        if node.queue.is_empty() {
            self.queued.nodes_with_queue.remove(&node_id);
        }
        self.update_rank(now, node_id);
    }
}

/// Returns whether the request's volume has an open session at the node or may open one.
fn admits_volume(tracked: &TrackedRequest, node: &Node) -> bool {
    node.admission.has_session(tracked.request.volume) || node.admits_new_volume(tracked.quota_tier)
}
