//! Arrival of a request: its place in its plan, the admission test, what is held and when that is given up.

use std::ops::Bound;

use super::{Scheduler, SendDecision, NEWS_LIFE, PATIENCE, STALE_ESTIMATE_JITTER, STUCK_PERIODS};
use crate::api::{Action, KeyId, Micros, NodeId, Request, RequestId};
use crate::node_ranking::{Candidate, SearchResult};
use crate::state::{Node, RequestState, TrackedRequest};
use crate::volume::{PlanQuota, QuotaTier, Volume};

impl Scheduler {
    pub(super) fn on_request_arrived(&mut self, now: Micros, request: Request, out: &mut Vec<Action>) {
        if self.requests.contains_key(&request.id) {
            return;
        }
        let (class, plan) = (request.class.0 as usize, request.plan.0 as usize);
        let (Some(class), Some(_)) = (self.settings.classes.get(class), self.settings.plans.get(plan)) else {
            return out.push(Action::Shed { request: request.id, retry_after: None });
        };
        if let Some(budget) = self.settings.retry_budget {
            self.retry_window.record_request(now, &budget);
        }
        let deadline = now + request.time_budget;
        // A client in haste on its first try can still be served in time; its repeats hardly can. Another
        // repeat within the aim is due when the first try was.
        let (hasty, spent) = (
            request.time_budget < class.latency_objective,
            class.deadline.saturating_sub(request.time_budget),
        );
        let late = if hasty { request.is_client_retry } else { spent > class.latency_objective };
        let due = (now + class.latency_objective - if hasty || late { 0 } else { spent }).min(deadline);
        let ordered = request.key.filter(|_| class.ordered_per_key);
        let portion = if late { QuotaTier::Excess } else { self.quota_tier(now, &request) };
        let level = self.request_priority(&request, portion, late);
        let id = request.id;
        self.requests
            .insert(id, TrackedRequest::new(request, due, deadline, portion, level, self.random.f64()));
        self.deadlines.insert((deadline, id));
        if let Some(key) = ordered {
            if !self.key_queues.push(now, key, id) {
                self.requests.get_mut(&id).expect("just put").state = RequestState::WaitingForKey;
                return;
            }
        }
        self.admit(now, id, out);
    }

    /// The quota that covers a request.
    pub(super) fn quota_tier(&mut self, now: Micros, request: &Request) -> QuotaTier {
        let plan = &self.settings.plans[request.plan.0 as usize];
        let started_at = self.started_at.unwrap_or(now);
        let new = || Volume::new(now, started_at, plan, request);
        let volume = self.volumes.on_request(now, request.volume, new);
        let fleet_demand = volume.record_request(now, request, plan);
        let units = f64::from(request.units);
        let draw = self.random.f64() * units;
        volume.take_quota(now, &PlanQuota::new(&self.settings, plan), units, draw, fleet_demand)
    }

    pub(super) fn admit(&mut self, now: Micros, id: RequestId, out: &mut Vec<Action>) {
        let Some(job) = self.requests.get(&id) else { return };
        let node = match job.request.shard {
            Some(shard) => self.nodes.shards.holder(shard),
            None => self.least_loaded(now, id),
        };
        let Some(node_id) = node else { return self.answer_locally(now, id, out) };
        self.close_periods(now, node_id);
        self.note_demand(now, node_id);
        let job = &self.requests[&id];
        let (portion, node) = (job.quota_tier, &self.nodes[&node_id]);
        // The design's test for a volume newly active at this node.
        if !node.sessions.contains_key(&job.request.volume) && !node.admits_new_volume(portion) {
            return self.answer_locally(now, id, out);
        }
        let patience = self.request_delay_limit(now, job)
            * (1.0 - STALE_ESTIMATE_JITTER * job.admission_draw * (1.0 - node.delay_freshness(now)));
        if portion != QuotaTier::Reserved && self.queueing_delay(now, node) > patience {
            return self.answer_locally(now, id, out);
        }
        if !node.queued.is_empty() || self.try_send(now, id, node_id, out) != SendDecision::Allowed {
            self.enqueue(now, id, node_id);
        }
    }

    /// Longest wait at a node at which a request of this worth still goes there.
    pub(super) fn delay_limit(&self, level: f64) -> f64 {
        (PATIENCE.1 + (PATIENCE.0 - PATIENCE.1) * level) * 2.0 * self.period as f64
    }

    /// The same for one request: no longer than its client leaves it.
    pub(super) fn request_delay_limit(&self, now: Micros, job: &TrackedRequest) -> f64 {
        let service = f64::from(job.request.units) * self.unit_service_time;
        let left = job.due.saturating_sub(now) as f64 - service;
        self.delay_limit(job.priority).min(left.max(1.0))
    }

    /// How long a request would wait at a node: by the answers, or by the oldest attempt out that tells it.
    pub(super) fn queueing_delay(&self, now: Micros, node: &Node) -> f64 {
        let oldest =
            self.informative_attempts(now, node).next().map_or(0, |(sent, _)| now.saturating_sub(sent));
        node.decayed_delay(now, self.decayed_fleet_delay(now))
            .max(oldest as f64 - 4.0 * self.unit_service_time)
    }

    /// Attempts out that tell of the node. It takes requests in turn: one that a later send overtook, older
    /// than two shortest aims, is costly, stuck or lost by itself. May hurt where a node serves out of turn.
    pub(super) fn informative_attempts<'a>(
        &self,
        now: Micros,
        node: &'a Node,
    ) -> impl Iterator<Item = (Micros, f64)> + 'a {
        let young = now.saturating_sub(STUCK_PERIODS * self.period);
        let from = ((node.latest_answered_send + 1).min(young), RequestId(0), 0);
        node.in_flight.range(from..).map(|((sent, _, _), units)| (*sent, *units))
    }

    pub(super) fn open_units(&self, now: Micros, node: &Node) -> f64 {
        self.informative_attempts(now, node).map(|(_, units)| units).sum()
    }

    pub(super) fn decayed_fleet_delay(&self, now: Micros) -> f64 {
        self.fleet_delay.0 * (-(now.saturating_sub(self.fleet_delay.1) as f64) / NEWS_LIFE.1).exp()
    }

    /// Worth of a unit by class, price and portion, against the dearest, under a root: what is worth a fourth
    /// gets half the room and patience.
    pub(super) fn request_priority(&self, request: &Request, portion: QuotaTier, late: bool) -> f64 {
        let most = |of: &mut dyn Iterator<Item = f64>| of.fold(f64::MIN_POSITIVE, f64::max);
        let dearest = most(&mut self.settings.classes.iter().map(|c| c.priority_weight));
        let dearest = dearest * most(&mut self.settings.plans.iter().map(|p| p.priority_factor));
        let class = &self.settings.classes[request.class.0 as usize];
        let worth =
            class.priority_weight * self.settings.plans[request.plan.0 as usize].priority_factor / dearest;
        let portion = match portion {
            QuotaTier::Reserved => 1.0,
            QuotaTier::Shared => self.settings.shared_tier_weight,
            QuotaTier::Excess => self.settings.excess_tier_weight,
        };
        // A client's retry past its first try's aim earns the late worth, of the worst units that are due.
        let late = if late { class.late_weight_fraction } else { 1.0 };
        (worth * portion * late).sqrt().min(1.0)
    }

    /// The node for a new object: shortest wait as seen here, own open work included; ties by chance.
    pub(super) fn least_loaded(&mut self, now: Micros, id: RequestId) -> Option<NodeId> {
        for node_id in self.nodes.ranking.expired(now) {
            self.index(now, node_id);
        }
        let mut ties = self.tie_breaker.clone();
        let found = self.search(now, id, &mut ties);
        self.tie_breaker = ties;
        for node_id in found.outdated {
            self.index(now, node_id);
        }
        found.node
    }

    pub(super) fn search(&self, now: Micros, id: RequestId, ties: &mut fastrand::Rng) -> SearchResult {
        self.nodes.ranking.find_lowest(
            self.decayed_fleet_delay(now),
            self.unit_service_time,
            ties,
            |node_id| {
                let gate = self.check_send(now, id, node_id);
                let node = self.nodes.get(&node_id).filter(|_| gate != SendDecision::Never)?;
                let open = (self.open_units(now, node) + node.queued_units) * self.unit_service_time;
                Some(Candidate {
                    is_open: gate == SendDecision::Allowed,
                    load: self.queueing_delay(now, node) + open,
                })
            },
        )
    }

    /// Brings the indexes up to date with a node's record.
    pub(super) fn index(&mut self, now: Micros, node_id: NodeId) {
        let Some(node) = self.nodes.get(&node_id) else { return };
        // A node that errs time after time looks idle and would draw them all.
        let shunned = node.suspected_since.is_some() || node.consecutive_errors > 1;
        let (cold, life) = (self.slow_start_requests(now, node).is_some(), node.delay_lifetime());
        self.nodes.index(now, node_id, shunned, cold, life);
    }

    pub(super) fn enqueue(&mut self, now: Micros, id: RequestId, node_id: NodeId) {
        let Some(job) = self.requests.get_mut(&id) else { return };
        if job.request.shard.is_none() && job.possibly_executed.is_none() {
            job.state = RequestState::Queued(None);
            self.queued.unsharded.insert((job.due, id));
        } else if let Some(node) = self.nodes.get_mut(&node_id) {
            job.state = RequestState::Queued(Some(node_id));
            node.enqueue(now, (job.due, id), &job.request);
            self.queued.nodes_with_queue.insert(node_id);
            self.index(now, node_id);
        }
    }

    /// Sends what is held for a node and has room, earliest due first; gives up at once what is past hope.
    pub(super) fn dispatch_queued(&mut self, now: Micros, node_id: NodeId, out: &mut Vec<Action>) {
        self.close_periods(now, node_id);
        let mut next = self.nodes.get(&node_id).and_then(|n| n.queued.first().copied());
        while let Some(place) = next {
            if self.cannot_meet_deadline(now, place.0, place.1) {
                self.answer_locally(now, place.1, out);
            } else if self.try_send(now, place.1, node_id, out) == SendDecision::NoCapacity {
                break;
            }
            let after = (Bound::Excluded(place), Bound::Unbounded);
            next = self.nodes.get(&node_id).and_then(|n| n.queued.range(after).next().copied());
        }
    }

    pub(super) fn dispatch_all_queued(&mut self, now: Micros, out: &mut Vec<Action>) {
        self.queued.next_scan = now + (self.period / 16).max(self.settings.timer_resolution).max(1);
        for node_id in self.queued.nodes_with_queue.clone() {
            self.dispatch_queued(now, node_id, out);
        }
        for (due, id) in self.queued.unsharded.clone() {
            if self.cannot_meet_deadline(now, due, id) {
                self.answer_locally(now, id, out);
            } else if let Some(node_id) = self.least_loaded(now, id) {
                self.try_send(now, id, node_id, out);
            }
        }
    }

    pub(super) fn cannot_meet_deadline(&self, now: Micros, due: Micros, id: RequestId) -> bool {
        let Some(job) = self.requests.get(&id) else { return true };
        let service = f64::from(job.request.units) * self.unit_service_time;
        // Whoever is told by half of its time, that nothing was sent, can still turn elsewhere.
        let half = job.deadline.saturating_sub(job.request.time_budget / 2 + self.period / 8);
        now + service as Micros > due || (job.attempts_sent == 0 && now >= half)
    }

    /// The next request that must be answered, and when: what is out at its deadline, the rest a bit earlier.
    pub(super) fn next_expiry(&self) -> Option<(Micros, RequestId)> {
        let (deadline, id) = *self.deadlines.first()?;
        let out = self.requests.get(&id).is_some_and(|j| !j.in_flight.is_empty());
        Some((if out { deadline } else { deadline.saturating_sub(2 * self.settings.timer_resolution) }, id))
    }

    pub(super) fn expire(&mut self, now: Micros, out: &mut Vec<Action>) {
        while let Some(id) = self.next_expiry().filter(|(at, _)| *at <= now).map(|(_, id)| id) {
            self.answer_locally(now, id, out);
        }
        while let Some(key) = self.key_queues.end_cool_down(now) {
            self.next_for_key(now, key, out);
        }
    }

    pub(super) fn next_for_key(&mut self, now: Micros, key: KeyId, out: &mut Vec<Action>) {
        let Some(id) = self.key_queues.take_turn(now, key) else { return };
        if let Some(job) = self.requests.get_mut(&id).filter(|j| j.state == RequestState::WaitingForKey) {
            job.state = RequestState::Queued(None);
            self.admit(now, id, out);
        }
    }
}
