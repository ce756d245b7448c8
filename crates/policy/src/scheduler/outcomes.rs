//! What the end of an attempt tells of its node, whether its request goes again, and the one final answer of
//! ours.

use super::{Gate, Scheduler, PRIOR_GAIN, SERVICE, SILENT, USE_SPAN};
use crate::api::{
    Action, AttemptEnd, AttemptOutcome, DeduplicationScope, Idempotency, Micros, NodeId, RequestId,
};
use crate::state::{seconds, Portion, Stage};

impl Scheduler {
    pub(super) fn on_outcome(&mut self, now: Micros, o: AttemptOutcome, out: &mut Vec<Action>) {
        self.close_periods(now, o.node);
        let Some(job) = self.jobs.get_mut(&o.request) else { return };
        let Some(at) = job.out.iter().position(|(n, _, _)| *n == o.attempt) else { return };
        let (_, node_id, sent) = job.out.remove(at);
        let class = &self.set.classes[job.request.class.0 as usize];
        let (units, load) = (f64::from(job.request.units), job.load());
        let unsure = matches!(
            o.end,
            AttemptEnd::Error | AttemptEnd::TimedOut | AttemptEnd::Reset | AttemptEnd::Cancelled
        );
        if unsure && job.ran.is_none() {
            job.ran = Some((node_id, sent));
        }
        if matches!(o.end, AttemptEnd::TimedOut | AttemptEnd::Reset | AttemptEnd::Cancelled)
            && class.ordered_per_key
        {
            let until = now + self.set.key_cool_down;
            job.request.key.into_iter().for_each(|key| self.lines.rest(key, until));
        }
        let (volume_id, plan, aim) = (job.request.volume, job.request.plan, class.latency_objective);
        let (prior, full) = (self.prior_now(now), self.patience(1.0));
        let mut news = None;
        if let Some(node) = self.nodes.get_mut(&node_id) {
            let suspected = node.suspect.is_some();
            let long = now.saturating_sub(node.heard) >= SILENT.1 * self.period;
            node.out.remove(&(sent, o.request, o.attempt));
            node.out_units = (node.out_units - load).max(0.0);
            match o.end {
                AttemptEnd::Served | AttemptEnd::Error | AttemptEnd::Rejected => {
                    // It was down or silent and answers: it may be cold before the list says so.
                    let back = node.suspect.take().is_some() && long;
                    node.guess = node.guess.max(back.then_some(sent));
                    node.heard = now;
                    node.overtook = node.overtook.max(sent);
                    node.errors = if o.end == AttemptEnd::Served { 0 } else { node.errors + 1 };
                    node.unheard = 0;
                }
                // Of a node heard a moment ago, a connection broke, and one that breaks once tells nothing:
                // what is down stays unheard. New objects shun one that took none until it serves.
                AttemptEnd::NotConnected | AttemptEnd::Reset => {
                    let refused = o.end == AttemptEnd::NotConnected;
                    node.unheard += 1 + u32::from(refused);
                    node.errors = node.errors.max(2 * u32::from(refused));
                    node.suspect = node.suspect.or((long && node.unheard > 1).then_some(now));
                }
                // Single attempts get stuck on nodes that are well: silence is several with no word since.
                AttemptEnd::TimedOut if node.heard < sent && o.latency >= 2 * self.period => {
                    node.unheard += 1;
                    node.suspect = node.suspect.or((long && node.unheard >= SILENT.0).then_some(now));
                }
                _ => {}
            }
            if node.suspect.is_some() != suspected {
                let text = if suspected { "answers again" } else { "down or silent" };
                out.push(Action::Log { text: format!("node {text} ({:?})", o.end), node: Some(node_id) });
            }
            if o.end == AttemptEnd::Served {
                node.served += units;
                node.late += u32::from(o.latency > aim);
                node.timely += u32::from(o.latency <= aim);
                let per_unit = o.latency as f64 / units.max(1.0);
                // One that starts takes several times as long: it was out of reach, and is none.
                node.guess = node.guess.filter(|_| per_unit > self.unit_time);
                // The median of answers from nodes without a wait: service, not queueing.
                if per_unit < self.unit_time || node.faded(now, prior) < 0.2 * self.period as f64 {
                    self.unit_time *= if per_unit < self.unit_time { 0.98 } else { 1.02 };
                }
                news = Some((o.latency as f64 - SERVICE * units * self.unit_time).max(0.0));
            } else if o.end == AttemptEnd::Rejected {
                node.late += 1;
                node.filled = true;
                news = Some(node.faded(now, prior).max(2.0 * full));
            } else if o.end == AttemptEnd::TimedOut && node.overtook < sent && node.unheard > 1 {
                // No later send was answered, nor the one before: whoever goes now waits at least as long.
                news = Some(o.latency as f64).filter(|took| *took > node.faded(now, prior));
            }
            if let Some(wait) = news {
                node.learn(now, wait, prior);
                // One that says nothing tells of itself alone.
                if o.end != AttemptEnd::TimedOut {
                    self.prior = (prior + PRIOR_GAIN * (wait.min(full) - prior), now);
                }
            }
        }
        self.index(now, node_id);
        if let (Some(used), Some(volume)) = (o.volume_usage_percent, self.volumes.get_mut(&volume_id)) {
            let fleet = f64::from(used) / 100.0 * self.set.plans[plan.0 as usize].usual_rate;
            let age = seconds(now.saturating_sub(volume.told_at));
            volume.fleet += (1.0 - (-age / USE_SPAN).exp()).min(0.5) * (fleet - volume.fleet);
            volume.told_at = now;
        }
        if o.request_closed {
            self.forget(now, o.request, out);
        } else if self.jobs.get(&o.request).is_some_and(|j| j.stage != Stage::Over) {
            self.again(now, o.request, node_id, o.end, out);
        }
        self.drop_if_done(now, o.request, out);
        self.pump(now, node_id, out);
    }

    pub(super) fn again(
        &mut self,
        now: Micros,
        id: RequestId,
        node_id: NodeId,
        end: AttemptEnd,
        out: &mut Vec<Action>,
    ) {
        let Some(job) = self.jobs.get_mut(&id) else { return };
        let (free, fresh) = (job.request.shard.is_none(), job.ran.is_none());
        // A bound request can wait for no other node: one that is full is so for longer than any aim here,
        // and one that is down is better asked later; a lost connection tells neither. New objects move on.
        let useful = matches!(end, AttemptEnd::Error | AttemptEnd::Reset)
            || (free && matches!(end, AttemptEnd::Rejected | AttemptEnd::NotConnected));
        let useful = useful && now < job.due;
        job.stage = Stage::Held(None);
        let target = if free && fresh { self.roomiest(now, id) } else { Some(node_id) };
        let Some(target) = target.filter(|_| useful) else { return self.finish(now, id, out) };
        match self.offer(now, id, target, out) {
            Gate::Go => {}
            Gate::Never => self.finish(now, id, out),
            _ => self.hold(now, id, target),
        }
    }

    /// The one final answer of ours: refused where the client may safely come again, else failed.
    pub(super) fn finish(&mut self, now: Micros, id: RequestId, out: &mut Vec<Action>) {
        self.unhold(now, id);
        let Some(job) = self.jobs.get_mut(&id) else { return };
        if job.stage == Stage::Over {
            return;
        }
        job.stage = Stage::Over;
        let class = &self.set.classes[job.request.class.0 as usize];
        let touched = job.ran.is_some() || !job.out.is_empty();
        let refusable = match class.idempotency {
            Idempotency::Idempotent => true,
            Idempotency::WithKey => !touched || class.deduplication_scope == DeduplicationScope::AllNodes,
            Idempotency::NotIdempotent => !touched,
        };
        if refusable && now < job.deadline {
            let most = self.set.max_retry_after;
            let hint = if job.portion == Portion::Reserve { self.period.min(most) } else { most };
            out.push(Action::Shed { request: id, retry_after: (hint > 0).then_some(hint) });
        } else {
            out.push(Action::Fail { request: id });
        }
        if let Some(count) = self.tally.give_back(now) {
            out.push(Action::Log { text: format!("gave back {count} requests"), node: None });
        }
        self.drop_if_done(now, id, out);
    }

    pub(super) fn forget(&mut self, now: Micros, id: RequestId, out: &mut Vec<Action>) {
        self.unhold(now, id);
        if let Some(job) = self.jobs.get_mut(&id) {
            job.stage = Stage::Over;
        }
        self.drop_if_done(now, id, out);
    }

    pub(super) fn unhold(&mut self, now: Micros, id: RequestId) {
        let Some(job) = self.jobs.get(&id) else { return };
        let place = (job.due, id);
        let Stage::Held(node_id) = job.stage else { return };
        if let Some((node_id, node)) = node_id.and_then(|n| Some((n, self.nodes.get_mut(&n)?))) {
            if node.unhold(place, &job.request) {
                self.held.busy.remove(&node_id);
            }
            self.index(now, node_id);
        }
        self.held.loose.remove(&place);
    }

    pub(super) fn drop_if_done(&mut self, now: Micros, id: RequestId, out: &mut Vec<Action>) {
        let Some(job) = self.jobs.get(&id) else { return };
        if job.stage != Stage::Over {
            return;
        }
        self.limits.remove(&(job.deadline, id));
        if !job.out.is_empty() {
            return;
        }
        let key = job.request.key;
        self.jobs.remove(&id);
        if let Some(key) = key.filter(|key| self.lines.leave(*key, id)) {
            self.next_in_line(now, key, out);
        }
    }
}
