//! Arrival of a request: its place in its plan, the admission test, what is held and when that is given up.

use std::ops::Bound;

use super::{Gate, Scheduler, BURST_PART, CHANCE, NEWS_LIFE, PATIENCE, SHARE_RATES, STUCK_PERIODS, USE_SPAN};
use crate::api::{Action, KeyId, Micros, NodeId, PlanSettings, Request, RequestId};
use crate::node_ranking::{Candidate, Found};
use crate::state::{Job, Meter, Node, Portion, Stage, Volume};

impl Scheduler {
    pub(super) fn on_arrival(&mut self, now: Micros, request: Request, out: &mut Vec<Action>) {
        if self.jobs.contains_key(&request.id) {
            return;
        }
        let (class, plan) = (request.class.0 as usize, request.plan.0 as usize);
        let (Some(class), Some(_)) = (self.set.classes.get(class), self.set.plans.get(plan)) else {
            return out.push(Action::Shed { request: request.id, retry_after: None });
        };
        if let Some(budget) = self.set.retry_budget {
            self.tally.take(now, now.saturating_sub(budget.window));
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
        let portion = if late { Portion::Spare } else { self.place_in_plan(now, &request) };
        let level = self.level(&request, portion, late);
        let id = request.id;
        self.jobs.insert(id, Job::new(request, due, deadline, portion, level, self.rng.f64()));
        self.limits.insert((deadline, id));
        if let Some(key) = ordered {
            if !self.lines.join(now, key, id) {
                self.jobs.get_mut(&id).expect("just put").stage = Stage::InLine;
                return;
            }
        }
        self.admit(now, id, out);
    }

    /// Sorts a request into reserve, share or spare. The volume's demand at all hosts is its late fleet-wide
    /// use over the part let through here. What exceeds the plan is told by stores of this host's part of it;
    /// one that covers a request in part takes it by chance, so that small parts add up over the hosts.
    pub(super) fn place_in_plan(&mut self, now: Micros, request: &Request) -> Portion {
        let plan = &self.set.plans[request.plan.0 as usize];
        let (units, most) = (f64::from(request.units), f64::from(self.set.max_units));
        let sum = |of: fn(&PlanSettings) -> f64| self.set.plans.iter().map(of).sum::<f64>();
        let share =
            SHARE_RATES * sum(|p| p.usual_rate) / sum(|p| p.shared_weight).max(1e-9) * plan.shared_weight;
        let born = self.born.unwrap_or(now);
        let new = || Volume {
            limit: Meter { tokens: 0.0, at: born },
            plan: request.plan,
            stores: [plan.reserved_rate, plan.usual_rate].map(|tokens| Meter { tokens, at: now }),
            local_share: 1.0 / f64::from(request.schedulers.max(1)),
            ..Volume::default()
        };
        let volume = self.volumes.entry(request.volume, new);
        volume.hosts = volume.hosts.max(request.schedulers).max(1);
        self.volumes.note_request(now, request.volume);
        let Some(volume) = self.volumes.fade(now, request.volume, USE_SPAN) else { return Portion::Spare };
        let (hosts, even) = (f64::from(volume.hosts), plan.usual_rate / f64::from(volume.hosts));
        // Before answers tell, every host of it is taken to carry as much.
        let fleet = if volume.told_at > 0 { volume.fleet } else { volume.asked * hosts };
        let demand = fleet * (volume.asked + even) / (volume.sent.min(volume.asked) + even);
        let demand = demand.max(volume.asked).max(1e-9);
        volume.asked += units / USE_SPAN;
        volume.local_share += 0.2 * ((volume.asked / demand).clamp(0.5 / hosts, 1.0) - volume.local_share);
        let part = volume.local_share;
        let burst = most * (part * BURST_PART).min(1.0);
        let luck = self.rng.f64() * units;
        let mut covered = 0.0;
        let plans = [(plan.reserved_rate, Portion::Reserve), (share, Portion::Share)];
        for (store, (rate, portion)) in volume.stores.iter_mut().zip(plans) {
            covered += rate;
            let left = store.fill(now, rate * part, rate * part + burst);
            if rate > 0.0 && (left > luck || portion == Portion::Reserve && demand <= covered) {
                store.tokens = (left - units).max(0.0);
                return portion;
            }
        }
        Portion::Spare
    }

    pub(super) fn admit(&mut self, now: Micros, id: RequestId, out: &mut Vec<Action>) {
        let Some(job) = self.jobs.get(&id) else { return };
        let node = match job.request.shard {
            Some(shard) => self.nodes.shards.holder(shard),
            None => self.roomiest(now, id),
        };
        let Some(node_id) = node else { return self.finish(now, id, out) };
        self.close_periods(now, node_id);
        self.ask(now, node_id);
        let job = &self.jobs[&id];
        let (portion, node) = (job.portion, &self.nodes[&node_id]);
        // The design's test for a volume newly active at this node.
        if !node.sessions.contains_key(&job.request.volume) && !node.passes(portion) {
            return self.finish(now, id, out);
        }
        let patience = self.patience_of(now, job) * (1.0 - CHANCE * job.luck * (1.0 - node.fresh(now)));
        if portion != Portion::Reserve && self.wait(now, node) > patience {
            return self.finish(now, id, out);
        }
        if !node.held.is_empty() || self.offer(now, id, node_id, out) != Gate::Go {
            self.hold(now, id, node_id);
        }
    }

    /// Longest wait at a node at which a request of this worth still goes there.
    pub(super) fn patience(&self, level: f64) -> f64 {
        (PATIENCE.1 + (PATIENCE.0 - PATIENCE.1) * level) * 2.0 * self.period as f64
    }

    /// The same for one request: no longer than its client leaves it.
    pub(super) fn patience_of(&self, now: Micros, job: &Job) -> f64 {
        let service = f64::from(job.request.units) * self.unit_time;
        let left = job.due.saturating_sub(now) as f64 - service;
        self.patience(job.level).min(left.max(1.0))
    }

    /// How long a request would wait at a node: by the answers, or by the oldest attempt out that tells it.
    pub(super) fn wait(&self, now: Micros, node: &Node) -> f64 {
        let oldest = self.telling(now, node).next().map_or(0, |(sent, _)| now.saturating_sub(sent));
        node.faded(now, self.prior_now(now)).max(oldest as f64 - 4.0 * self.unit_time)
    }

    /// Attempts out that tell of the node. It takes requests in turn: one that a later send overtook, older
    /// than two shortest aims, is costly, stuck or lost by itself. May hurt where a node serves out of turn.
    pub(super) fn telling<'a>(
        &self,
        now: Micros,
        node: &'a Node,
    ) -> impl Iterator<Item = (Micros, f64)> + 'a {
        let young = now.saturating_sub(STUCK_PERIODS * self.period);
        let from = ((node.overtook + 1).min(young), RequestId(0), 0);
        node.out.range(from..).map(|((sent, _, _), units)| (*sent, *units))
    }

    pub(super) fn open(&self, now: Micros, node: &Node) -> f64 {
        self.telling(now, node).map(|(_, units)| units).sum()
    }

    pub(super) fn prior_now(&self, now: Micros) -> f64 {
        self.prior.0 * (-(now.saturating_sub(self.prior.1) as f64) / NEWS_LIFE.1).exp()
    }

    /// Worth of a unit by class, price and portion, against the dearest, under a root: what is worth a fourth
    /// gets half the room and patience.
    pub(super) fn level(&self, request: &Request, portion: Portion, late: bool) -> f64 {
        let most = |of: &mut dyn Iterator<Item = f64>| of.fold(f64::MIN_POSITIVE, f64::max);
        let dearest = most(&mut self.set.classes.iter().map(|c| c.priority_weight));
        let dearest = dearest * most(&mut self.set.plans.iter().map(|p| p.priority_factor));
        let class = &self.set.classes[request.class.0 as usize];
        let worth = class.priority_weight * self.set.plans[request.plan.0 as usize].priority_factor / dearest;
        let portion = match portion {
            Portion::Reserve => 1.0,
            Portion::Share => self.set.shared_tier_weight,
            Portion::Spare => self.set.excess_tier_weight,
        };
        // A client's retry past its first try's aim earns the late worth, of the worst units that are due.
        let late = if late { class.late_weight_fraction } else { 1.0 };
        (worth * portion * late).sqrt().min(1.0)
    }

    /// The node for a new object: shortest wait as seen here, own open work included; ties by chance.
    pub(super) fn roomiest(&mut self, now: Micros, id: RequestId) -> Option<NodeId> {
        for node_id in self.nodes.ranking.expired(now) {
            self.index(now, node_id);
        }
        let mut ties = self.ties.clone();
        let found = self.search(now, id, &mut ties);
        self.ties = ties;
        for node_id in found.loose {
            self.index(now, node_id);
        }
        found.node
    }

    pub(super) fn search(&self, now: Micros, id: RequestId, ties: &mut fastrand::Rng) -> Found {
        self.nodes.ranking.best(self.prior_now(now), self.unit_time, ties, |node_id| {
            let gate = self.gate(now, id, node_id);
            let node = self.nodes.get(&node_id).filter(|_| gate != Gate::Never)?;
            let open = (self.open(now, node) + node.held_units) * self.unit_time;
            Some(Candidate { open: gate == Gate::Go, score: self.wait(now, node) + open })
        })
    }

    /// Brings the indexes up to date with a node's record.
    pub(super) fn index(&mut self, now: Micros, node_id: NodeId) {
        let Some(node) = self.nodes.get(&node_id) else { return };
        // A node that errs time after time looks idle and would draw them all.
        let shunned = node.suspect.is_some() || node.errors > 1;
        let (cold, life) = (self.cold_requests(now, node).is_some(), node.news_life());
        self.nodes.index(now, node_id, shunned, cold, life);
    }

    pub(super) fn hold(&mut self, now: Micros, id: RequestId, node_id: NodeId) {
        let Some(job) = self.jobs.get_mut(&id) else { return };
        if job.request.shard.is_none() && job.ran.is_none() {
            job.stage = Stage::Held(None);
            self.held.loose.insert((job.due, id));
        } else if let Some(node) = self.nodes.get_mut(&node_id) {
            job.stage = Stage::Held(Some(node_id));
            node.hold(now, (job.due, id), &job.request);
            self.held.busy.insert(node_id);
            self.index(now, node_id);
        }
    }

    /// Sends what is held for a node and has room, earliest due first; gives up at once what is past hope.
    pub(super) fn pump(&mut self, now: Micros, node_id: NodeId, out: &mut Vec<Action>) {
        self.close_periods(now, node_id);
        let mut next = self.nodes.get(&node_id).and_then(|n| n.held.first().copied());
        while let Some(place) = next {
            if self.hopeless(now, place.0, place.1) {
                self.finish(now, place.1, out);
            } else if self.offer(now, place.1, node_id, out) == Gate::Closed {
                break;
            }
            let after = (Bound::Excluded(place), Bound::Unbounded);
            next = self.nodes.get(&node_id).and_then(|n| n.held.range(after).next().copied());
        }
    }

    pub(super) fn pump_all(&mut self, now: Micros, out: &mut Vec<Action>) {
        self.held.look = now + (self.period / 16).max(self.set.timer_resolution).max(1);
        for node_id in self.held.busy.clone() {
            self.pump(now, node_id, out);
        }
        for (due, id) in self.held.loose.clone() {
            if self.hopeless(now, due, id) {
                self.finish(now, id, out);
            } else if let Some(node_id) = self.roomiest(now, id) {
                self.offer(now, id, node_id, out);
            }
        }
    }

    pub(super) fn hopeless(&self, now: Micros, due: Micros, id: RequestId) -> bool {
        let Some(job) = self.jobs.get(&id) else { return true };
        let service = f64::from(job.request.units) * self.unit_time;
        // Whoever is told by half of its time, that nothing was sent, can still turn elsewhere.
        let half = job.deadline.saturating_sub(job.request.time_budget / 2 + self.period / 8);
        now + service as Micros > due || (job.sends == 0 && now >= half)
    }

    /// The next request that must be answered, and when: what is out at its deadline, the rest a bit earlier.
    pub(super) fn last_moment(&self) -> Option<(Micros, RequestId)> {
        let (deadline, id) = *self.limits.first()?;
        let out = self.jobs.get(&id).is_some_and(|j| !j.out.is_empty());
        Some((if out { deadline } else { deadline.saturating_sub(2 * self.set.timer_resolution) }, id))
    }

    pub(super) fn expire(&mut self, now: Micros, out: &mut Vec<Action>) {
        while let Some(id) = self.last_moment().filter(|(at, _)| *at <= now).map(|(_, id)| id) {
            self.finish(now, id, out);
        }
        while let Some(key) = self.lines.rested(now) {
            self.next_in_line(now, key, out);
        }
    }

    pub(super) fn next_in_line(&mut self, now: Micros, key: KeyId, out: &mut Vec<Action>) {
        let Some((line, rest)) = self.lines.queues.get(&key) else { return };
        if *rest > now {
            return;
        }
        let Some(&id) = line.front() else { return drop(self.lines.queues.remove(&key)) };
        if let Some(job) = self.jobs.get_mut(&id).filter(|j| j.stage == Stage::InLine) {
            job.stage = Stage::Held(None);
            self.admit(now, id, out);
        }
    }
}
