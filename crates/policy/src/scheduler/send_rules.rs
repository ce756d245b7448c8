//! The rules that must all hold before an attempt. A request is sent to a node only if every rule allows it.

use super::Scheduler;
use crate::api::{ClassSettings, DeduplicationScope, Idempotency, Micros, NodeId, RequestId};
use crate::node::Node;
use crate::request::{PossibleExecution, RequestState, TrackedRequest};
use crate::volume::QuotaTier;

/// Decision on sending a request to a node.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(super) enum SendDecision {
    /// The request may be sent now.
    Allowed,
    /// The request may not be sent now, but may be sent later.
    NotYet,
    /// The node has no capacity: neither this nor any other request may be sent now.
    NoCapacity,
    /// The request may never be sent to this node.
    Never,
}

/// A request and the node that is checked for it.
#[derive(Clone, Copy)]
struct SendCandidate<'a> {
    now: Micros,
    tracked: &'a TrackedRequest,
    class: &'a ClassSettings,
    node: &'a Node,
}

type SendRule = fn(&Scheduler, &SendCandidate) -> SendDecision;

/// The rules in the order in which they are checked.
const SEND_RULES: [SendRule; 8] = [
    Scheduler::check_is_open,
    Scheduler::check_node_serves,
    Scheduler::check_single_attempt,
    Scheduler::check_duplicate_execution,
    Scheduler::check_key_order,
    Scheduler::check_retry_budget,
    Scheduler::check_rate_limit,
    Scheduler::check_slow_start,
];

impl Scheduler {
    /// Checks every rule, and then whether the node has capacity. The first rule that does not hold
    /// determines the decision.
    pub(super) fn check_send(&self, now: Micros, id: RequestId, node_id: NodeId) -> SendDecision {
        let (Some(tracked), Some(node)) = (self.requests.get(id), self.nodes.get(&node_id)) else {
            return SendDecision::Never;
        };
        let candidate = SendCandidate { now, tracked, class: self.class_of(&tracked.request), node };
        let mut decisions = SEND_RULES.iter().map(|rule| rule(self, &candidate));
        let violated = decisions.find(|decision| *decision != SendDecision::Allowed);
        violated.unwrap_or_else(|| self.check_capacity(now, tracked, node))
    }

    /// Forbids attempts after the final answer, after the deadline, or beyond the maximum number of attempts.
    fn check_is_open(&self, candidate: &SendCandidate) -> SendDecision {
        let tracked = candidate.tracked;
        let is_over = tracked.state == RequestState::Answered || candidate.now >= tracked.timing.deadline;
        let has_attempts_left = tracked.attempts_sent < self.settings.max_attempts.max(1);
        allowed_or(SendDecision::Never, !is_over && has_attempts_left)
    }

    /// Requires that the node is in service, as far as this scheduler knows, and holds the request's shard.
    fn check_node_serves(&self, candidate: &SendCandidate) -> SendDecision {
        let node = candidate.node;
        let holds_shard = candidate.tracked.request.shard.is_none_or(|shard| shard == node.shard);
        allowed_or(SendDecision::Never, node.in_service && holds_shard)
    }

    /// Allows only one attempt of a request in flight at a time.
    fn check_single_attempt(&self, candidate: &SendCandidate) -> SendDecision {
        allowed_or(SendDecision::NotYet, candidate.tracked.in_flight.is_empty())
    }

    /// Allows another attempt of a request that may have been executed only if a second execution has no
    /// effect.
    fn check_duplicate_execution(&self, candidate: &SendCandidate) -> SendDecision {
        let Some(first) = candidate.tracked.possible_execution else { return SendDecision::Allowed };
        let class = candidate.class;
        let is_safe = match class.idempotency {
            Idempotency::Idempotent => true,
            Idempotency::WithKey => {
                candidate.now < first.sent_at + class.deduplication_window
                    && self.recognizes_duplicate(class.deduplication_scope, first, candidate.node)
            }
            Idempotency::NotIdempotent => false,
        };
        allowed_or(SendDecision::Never, is_safe)
    }

    /// Returns whether a node recognizes a duplicate of a request that the first node may have executed.
    fn recognizes_duplicate(&self, scope: DeduplicationScope, first: PossibleExecution, node: &Node) -> bool {
        let first_node = self.nodes.get(&first.node);
        match scope {
            DeduplicationScope::AllNodes => true,
            DeduplicationScope::Zone => first_node.is_some_and(|first| first.zone == node.zone),
            DeduplicationScope::Shard => first_node.is_some_and(|first| first.shard == node.shard),
        }
    }

    /// Requires that it is the request's turn among the requests with its key, if its class is ordered by
    /// key.
    fn check_key_order(&self, candidate: &SendCandidate) -> SendDecision {
        let tracked = candidate.tracked;
        let Some(key) = tracked.request.key.filter(|_| candidate.class.ordered_per_key) else {
            return SendDecision::Allowed;
        };
        let is_turn = self.key_queues.is_turn(candidate.now, key, tracked.id(), tracked.is_retry());
        allowed_or(SendDecision::NotYet, is_turn)
    }

    /// Keeps retries within the retry budget.
    fn check_retry_budget(&self, candidate: &SendCandidate) -> SendDecision {
        let budget = self.settings.retry_budget.as_ref().filter(|_| candidate.tracked.is_retry());
        let is_within = budget.is_none_or(|budget| self.retry_window.allows_retry(candidate.now, budget));
        allowed_or(SendDecision::Never, is_within)
    }

    /// Keeps first attempts within this scheduler's even part of the volume's rate limit.
    fn check_rate_limit(&self, candidate: &SendCandidate) -> SendDecision {
        let tracked = candidate.tracked;
        let plan = self.plan_of(&tracked.request);
        if plan.rate_limit <= 0.0 || tracked.is_retry() {
            return SendDecision::Allowed;
        }
        let Some(volume) = self.volumes.get(&tracked.request.volume) else { return SendDecision::Never };
        let is_within = volume.units_within_rate_limit(candidate.now, plan) >= tracked.units();
        allowed_or(SendDecision::NotYet, is_within)
    }

    /// Requires a token for each request to a node in slow start.
    fn check_slow_start(&self, candidate: &SendCandidate) -> SendDecision {
        let (tracked, node) = (candidate.tracked, candidate.node);
        let Some(allowance) = node.slow_start_requests(candidate.now, &self.settings) else {
            return SendDecision::Allowed;
        };
        let is_reserved = tracked.quota_tier == QuotaTier::Reserved;
        let priority = if is_reserved { 1.0 } else { tracked.priority };
        let unsharded_draw = tracked.request.shard.is_none().then_some(tracked.admission_draw);
        let has_token =
            node.slow_start.allows(candidate.now, allowance, priority, unsharded_draw, &self.settings);
        allowed_or(SendDecision::NotYet, has_token)
    }
}

fn allowed_or(otherwise: SendDecision, is_allowed: bool) -> SendDecision {
    if is_allowed {
        SendDecision::Allowed
    } else {
        otherwise
    }
}
