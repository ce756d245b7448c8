//! The send gate: every rule that a request has to pass before it goes to a node, and the room there.

use super::{Gate, Scheduler, CHANCE, GIVE_UP, USE_SPAN};
use crate::api::{Action, DeduplicationScope, Idempotency, Micros, NodeId, RequestId};
use crate::state::{Job, Meter, Node, Portion, Stage, CONFIRMED};

impl Scheduler {
    /// The only way out to a node: asks the gate, then books the send.
    pub(super) fn offer(
        &mut self,
        now: Micros,
        id: RequestId,
        node_id: NodeId,
        out: &mut Vec<Action>,
    ) -> Gate {
        let gate = self.gate(now, id, node_id);
        let mut cold = None;
        if gate == Gate::Go {
            cold = self.nodes.get(&node_id).and_then(|node| self.cold_requests(now, node));
            self.unhold(now, id);
        }
        let (Some(job), Some(node)) = (self.jobs.get_mut(&id), self.nodes.get_mut(&node_id)) else {
            return Gate::Never;
        };
        node.filled |= gate == Gate::Closed;
        if gate != Gate::Go {
            return gate;
        }
        let units = f64::from(job.request.units);
        if job.sends == 0 {
            if let Some(volume) = self.volumes.get_mut(&job.request.volume) {
                let plan = &self.set.plans[job.request.plan.0 as usize];
                volume.limit = Meter { tokens: volume.allowed(now, plan) - units, at: now };
            }
            if let Some(volume) = self.volumes.fade(now, job.request.volume, USE_SPAN) {
                volume.sent += units / USE_SPAN;
            }
        } else if self.set.retry_budget.is_some() {
            self.tally.extras.push_back(now);
        }
        if let Some(total) = cold {
            node.slow_start.spend(now, total, units, &self.set);
        }
        job.out.push((job.sends, node_id, now));
        if !job.request.is_streaming {
            node.out.insert((now, id, job.sends), units);
        }
        node.sessions.insert(job.request.volume, now);
        job.sends += 1;
        job.stage = Stage::Out;
        node.out_units += job.load();
        node.peak = node.peak.max(node.out_units + node.held_units);
        node.filled |= node.out_units + self.set.mean_units > node.budget;
        let give_up = Some(GIVE_UP * job.due.saturating_sub(now).max(1));
        self.index(now, node_id);
        out.push(Action::Send { request: id, node: node_id, timeout: give_up });
        Gate::Go
    }

    /// Checks every rule, then the room. Nothing goes out that this has not passed.
    pub(super) fn gate(&self, now: Micros, id: RequestId, node_id: NodeId) -> Gate {
        let Some(job) = self.jobs.get(&id) else { return Gate::Never };
        let Some(node) = self.nodes.get(&node_id) else { return Gate::Never };
        let class = &self.set.classes[job.request.class.0 as usize];
        let units = f64::from(job.request.units);
        // No request is lost: nothing after its end, and no attempt beside another.
        // Drains: nothing from the moment that this host knows.
        let over = job.stage == Stage::Over || now >= job.deadline;
        let elsewhere = job.request.shard.is_some_and(|shard| shard != node.shard);
        if over || job.sends >= self.set.max_attempts.max(1) || !node.ready || elsewhere {
            return Gate::Never;
        }
        if !job.out.is_empty() {
            return Gate::Later;
        }
        // No effect twice.
        if let Some((first, at)) = job.ran {
            let first = self.nodes.get(&first);
            let same = match class.deduplication_scope {
                DeduplicationScope::AllNodes => true,
                DeduplicationScope::Zone => first.is_some_and(|f| f.zone == node.zone),
                DeduplicationScope::Shard => first.is_some_and(|f| f.shard == node.shard),
            };
            match class.idempotency {
                Idempotency::Idempotent => {}
                Idempotency::WithKey if same && now < at + class.deduplication_window => {}
                _ => return Gate::Never,
            }
        }
        // Order per key.
        if let (true, Some(key)) = (class.ordered_per_key, job.request.key) {
            let turn = self.lines.queues.get(&key);
            if !turn.is_some_and(|(l, rest)| l.front() == Some(&id) && (*rest <= now || job.sends > 0)) {
                return Gate::Later;
            }
        }
        // Further attempts within their budget.
        if let (true, Some(budget)) = (job.sends > 0, self.set.retry_budget) {
            let since = now.saturating_sub(budget.window);
            let (taken, extras) = self.tally.counts(since);
            if extras + 1.0 > budget.free_retries + budget.retries_per_request * taken {
                return Gate::Never;
            }
        }
        // Limits: this host's even part of rate and burst, from a store that starts empty with the host:
        // a restarted one forgot what it spent.
        let plan = &self.set.plans[job.request.plan.0 as usize];
        if plan.rate_limit > 0.0 && job.sends == 0 {
            let Some(volume) = self.volumes.get(&job.request.volume) else { return Gate::Never };
            if volume.allowed(now, plan) < units {
                return Gate::Later;
            }
        }
        // Cold nodes: a token of slow start for each request.
        if let Some(total) = self.cold_requests(now, node) {
            let level = if job.portion == Portion::Reserve { 1.0 } else { job.level };
            let free = job.request.shard.is_none().then_some(job.luck);
            if !node.slow_start.lets_through(now, total, level, free, &self.set) {
                return Gate::Later;
            }
        }
        self.room(now, job, node)
    }

    /// The design's budget, and what a wait leaves of it.
    pub(super) fn room(&self, now: Micros, job: &Job, node: &Node) -> Gate {
        let open = self.open(now, node);
        let used = open + f64::from(job.request.units);
        let wait = self.wait(now, node);
        if (open > 0.0 && used > node.budget) || wait > self.patience(1.0) {
            return Gate::Closed;
        }
        // Below the reserve a request fills its level of the budget only, and all fill less the longer the
        // wait: else a backlog floods the node at each dip. With nothing out one finds room, by chance
        // the more the staler the news: many hosts that each let one through would flood a full node.
        let left = 1.0 - wait / self.patience_of(now, job);
        let part = if job.portion == Portion::Reserve { left } else { left * job.level };
        if CHANCE * job.luck * (1.0 - node.fresh(now)) > left || (open > 0.0 && used > part * node.budget) {
            return Gate::Later;
        }
        Gate::Go
    }

    /// Requests of mean size that a node which is or may be cold gets within the fall time from all hosts
    /// together; `None` if warm.
    pub(super) fn cold_requests(&self, now: Micros, node: &Node) -> Option<f64> {
        // As cold as can be until it answers.
        let suspect =
            node.suspect.is_some_and(|since| now.saturating_sub(since) < self.set.slow_start_duration);
        let guess = node.guess.filter(|at| now.saturating_sub(*at) < CONFIRMED);
        let started = if suspect { now } else { node.started.max(guess)? };
        Some(self.set.cold_total(now.saturating_sub(started))? / self.set.mean_units)
    }

    /// Notes that this host is asked for a node.
    pub(super) fn ask(&mut self, now: Micros, node_id: NodeId) {
        let total = self.nodes.get(&node_id).and_then(|node| self.cold_requests(now, node));
        let chance = self.nodes.ask(now, node_id, self.set.token_life());
        let luck = self.rng.f64();
        if let Some(node) = self.nodes.get_mut(&node_id) {
            node.slow_start.ask(now, total, chance, luck, &self.set);
        }
    }
}
