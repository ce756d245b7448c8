//! The send gate: every rule that a request has to pass before it goes to a node, and the room there.

use super::{Scheduler, SendDecision, ATTEMPT_TIMEOUT_FACTOR, STALE_ESTIMATE_JITTER};
use crate::api::{Action, DeduplicationScope, Idempotency, Micros, NodeId, RequestId};
use crate::state::{Node, RequestState, TrackedRequest, UNANNOUNCED_START_LIFETIME};
use crate::volume::QuotaTier;

impl Scheduler {
    /// The only way out to a node: asks the gate, then books the send.
    pub(super) fn try_send(
        &mut self,
        now: Micros,
        id: RequestId,
        node_id: NodeId,
        out: &mut Vec<Action>,
    ) -> SendDecision {
        let gate = self.check_send(now, id, node_id);
        let mut cold = None;
        if gate == SendDecision::Allowed {
            cold = self.nodes.get(&node_id).and_then(|node| self.slow_start_requests(now, node));
            self.dequeue(now, id);
        }
        let (Some(job), Some(node)) = (self.requests.get_mut(&id), self.nodes.get_mut(&node_id)) else {
            return SendDecision::Never;
        };
        node.budget_filled |= gate == SendDecision::NoCapacity;
        if gate != SendDecision::Allowed {
            return gate;
        }
        let units = f64::from(job.request.units);
        if job.attempts_sent == 0 {
            if let Some(volume) = self.volumes.get_mut(&job.request.volume) {
                let plan = &self.settings.plans[job.request.plan.0 as usize];
                volume.spend_limit(now, plan, units);
                volume.demand.decay(now);
                volume.demand.record_send(units);
            }
        } else if self.settings.retry_budget.is_some() {
            self.retry_window.record_retry(now);
        }
        if let Some(total) = cold {
            node.slow_start.spend(now, total, units, &self.settings);
        }
        job.in_flight.push((job.attempts_sent, node_id, now));
        if !job.request.is_streaming {
            node.in_flight.insert((now, id, job.attempts_sent), units);
        }
        node.sessions.insert(job.request.volume, now);
        job.attempts_sent += 1;
        job.state = RequestState::InFlight;
        node.in_flight_units += job.node_units();
        node.peak_units = node.peak_units.max(node.in_flight_units + node.queued_units);
        node.budget_filled |= node.in_flight_units + self.settings.mean_units > node.budget;
        let give_up = Some(ATTEMPT_TIMEOUT_FACTOR * job.due.saturating_sub(now).max(1));
        self.index(now, node_id);
        out.push(Action::Send { request: id, node: node_id, timeout: give_up });
        SendDecision::Allowed
    }

    /// Checks every rule, then the room. Nothing goes out that this has not passed.
    pub(super) fn check_send(&self, now: Micros, id: RequestId, node_id: NodeId) -> SendDecision {
        let Some(job) = self.requests.get(&id) else { return SendDecision::Never };
        let Some(node) = self.nodes.get(&node_id) else { return SendDecision::Never };
        let class = &self.settings.classes[job.request.class.0 as usize];
        let units = f64::from(job.request.units);
        // No request is lost: nothing after its end, and no attempt beside another.
        // Drains: nothing from the moment that this host knows.
        let over = job.state == RequestState::Answered || now >= job.deadline;
        let elsewhere = job.request.shard.is_some_and(|shard| shard != node.shard);
        if over || job.attempts_sent >= self.settings.max_attempts.max(1) || !node.ready || elsewhere {
            return SendDecision::Never;
        }
        if !job.in_flight.is_empty() {
            return SendDecision::NotYet;
        }
        // No effect twice.
        if let Some((first, at)) = job.possibly_executed {
            let first = self.nodes.get(&first);
            let same = match class.deduplication_scope {
                DeduplicationScope::AllNodes => true,
                DeduplicationScope::Zone => first.is_some_and(|f| f.zone == node.zone),
                DeduplicationScope::Shard => first.is_some_and(|f| f.shard == node.shard),
            };
            match class.idempotency {
                Idempotency::Idempotent => {}
                Idempotency::WithKey if same && now < at + class.deduplication_window => {}
                _ => return SendDecision::Never,
            }
        }
        // Order per key.
        if let (true, Some(key)) = (class.ordered_per_key, job.request.key) {
            if !self.key_queues.is_turn(now, key, id, job.attempts_sent > 0) {
                return SendDecision::NotYet;
            }
        }
        // Further attempts within their budget.
        if let (true, Some(budget)) = (job.attempts_sent > 0, self.settings.retry_budget) {
            if !self.retry_window.allows_retry(now, &budget) {
                return SendDecision::Never;
            }
        }
        // Limits: this host's even part of rate and burst, from a store that starts empty with the host:
        // a restarted one forgot what it spent.
        let plan = &self.settings.plans[job.request.plan.0 as usize];
        if plan.rate_limit > 0.0 && job.attempts_sent == 0 {
            let Some(volume) = self.volumes.get(&job.request.volume) else { return SendDecision::Never };
            if volume.units_within_limit(now, plan) < units {
                return SendDecision::NotYet;
            }
        }
        // Cold nodes: a token of slow start for each request.
        if let Some(total) = self.slow_start_requests(now, node) {
            let level = if job.quota_tier == QuotaTier::Reserved { 1.0 } else { job.priority };
            let free = job.request.shard.is_none().then_some(job.admission_draw);
            if !node.slow_start.allows(now, total, level, free, &self.settings) {
                return SendDecision::NotYet;
            }
        }
        self.check_capacity(now, job, node)
    }

    /// The design's budget, and what a wait leaves of it.
    pub(super) fn check_capacity(&self, now: Micros, job: &TrackedRequest, node: &Node) -> SendDecision {
        let open = self.open_units(now, node);
        let used = open + f64::from(job.request.units);
        let wait = self.queueing_delay(now, node);
        if (open > 0.0 && used > node.budget) || wait > self.delay_limit(1.0) {
            return SendDecision::NoCapacity;
        }
        // Below the reserve a request fills its level of the budget only, and all fill less the longer the
        // wait: else a backlog floods the node at each dip. With nothing out one finds room, by chance
        // the more the staler the news: many hosts that each let one through would flood a full node.
        let left = 1.0 - wait / self.request_delay_limit(now, job);
        let part = if job.quota_tier == QuotaTier::Reserved { left } else { left * job.priority };
        if STALE_ESTIMATE_JITTER * job.admission_draw * (1.0 - node.delay_freshness(now)) > left
            || (open > 0.0 && used > part * node.budget)
        {
            return SendDecision::NotYet;
        }
        SendDecision::Allowed
    }

    /// Requests of mean size that a node which is or may be cold gets within the fall time from all hosts
    /// together; `None` if warm.
    pub(super) fn slow_start_requests(&self, now: Micros, node: &Node) -> Option<f64> {
        // As cold as can be until it answers.
        let suspect = node
            .suspected_since
            .is_some_and(|since| now.saturating_sub(since) < self.settings.slow_start_duration);
        let guess = node.presumed_start.filter(|at| now.saturating_sub(*at) < UNANNOUNCED_START_LIFETIME);
        let started = if suspect { now } else { node.started_at.max(guess)? };
        Some(self.settings.slow_start_allowance(now.saturating_sub(started))? / self.settings.mean_units)
    }

    /// Notes that this host is asked for a node.
    pub(super) fn note_demand(&mut self, now: Micros, node_id: NodeId) {
        let total = self.nodes.get(&node_id).and_then(|node| self.slow_start_requests(now, node));
        let chance = self.nodes.note_demand(now, node_id, self.settings.token_lifetime());
        let luck = self.random.f64();
        if let Some(node) = self.nodes.get_mut(&node_id) {
            node.slow_start.on_request(now, total, chance, luck, &self.settings);
        }
    }
}
