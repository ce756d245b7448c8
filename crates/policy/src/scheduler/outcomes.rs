//! What the end of an attempt tells of its node, whether its request goes again, and the one final answer of
//! ours.

use super::{Scheduler, SendDecision, EXPECTED_SERVICE_TIMES, FLEET_DELAY_WEIGHT, SILENT};
use crate::api::{
    Action, AttemptEnd, AttemptOutcome, DeduplicationScope, Idempotency, Micros, NodeId, RequestId,
};
use crate::state::RequestState;
use crate::volume::QuotaTier;

impl Scheduler {
    pub(super) fn on_attempt_ended(&mut self, now: Micros, o: AttemptOutcome, out: &mut Vec<Action>) {
        self.close_periods(now, o.node);
        let Some(job) = self.requests.get_mut(&o.request) else { return };
        let Some(at) = job.in_flight.iter().position(|(n, _, _)| *n == o.attempt) else { return };
        let (_, node_id, sent) = job.in_flight.remove(at);
        let class = &self.settings.classes[job.request.class.0 as usize];
        let (units, load) = (f64::from(job.request.units), job.node_units());
        let unsure = matches!(
            o.end,
            AttemptEnd::Error | AttemptEnd::TimedOut | AttemptEnd::Reset | AttemptEnd::Cancelled
        );
        if unsure && job.possibly_executed.is_none() {
            job.possibly_executed = Some((node_id, sent));
        }
        if matches!(o.end, AttemptEnd::TimedOut | AttemptEnd::Reset | AttemptEnd::Cancelled)
            && class.ordered_per_key
        {
            let until = now + self.settings.key_cool_down;
            job.request.key.into_iter().for_each(|key| self.key_queues.start_cool_down(key, until));
        }
        let (volume_id, plan, aim) = (job.request.volume, job.request.plan, class.latency_objective);
        let (prior, full) = (self.decayed_fleet_delay(now), self.delay_limit(1.0));
        let mut news = None;
        if let Some(node) = self.nodes.get_mut(&node_id) {
            let suspected = node.suspected_since.is_some();
            let long = now.saturating_sub(node.last_response) >= SILENT.1 * self.period;
            node.in_flight.remove(&(sent, o.request, o.attempt));
            node.in_flight_units = (node.in_flight_units - load).max(0.0);
            match o.end {
                AttemptEnd::Served | AttemptEnd::Error | AttemptEnd::Rejected => {
                    // It was down or silent and answers: it may be cold before the list says so.
                    let back = node.suspected_since.take().is_some() && long;
                    node.presumed_start = node.presumed_start.max(back.then_some(sent));
                    node.last_response = now;
                    node.latest_answered_send = node.latest_answered_send.max(sent);
                    node.consecutive_errors =
                        if o.end == AttemptEnd::Served { 0 } else { node.consecutive_errors + 1 };
                    node.unanswered = 0;
                }
                // Of a node heard a moment ago, a connection broke, and one that breaks once tells nothing:
                // what is down stays unheard. New objects shun one that took none until it serves.
                AttemptEnd::NotConnected | AttemptEnd::Reset => {
                    let refused = o.end == AttemptEnd::NotConnected;
                    node.unanswered += 1 + u32::from(refused);
                    node.consecutive_errors = node.consecutive_errors.max(2 * u32::from(refused));
                    node.suspected_since =
                        node.suspected_since.or((long && node.unanswered > 1).then_some(now));
                }
                // Single attempts get stuck on nodes that are well: silence is several with no word since.
                AttemptEnd::TimedOut if node.last_response < sent && o.latency >= 2 * self.period => {
                    node.unanswered += 1;
                    node.suspected_since =
                        node.suspected_since.or((long && node.unanswered >= SILENT.0).then_some(now));
                }
                _ => {}
            }
            if node.suspected_since.is_some() != suspected {
                let text = if suspected { "answers again" } else { "down or silent" };
                out.push(Action::Log { text: format!("node {text} ({:?})", o.end), node: Some(node_id) });
            }
            if o.end == AttemptEnd::Served {
                node.served_units += units;
                node.late_answers += u32::from(o.latency > aim);
                node.timely_answers += u32::from(o.latency <= aim);
                let per_unit = o.latency as f64 / units.max(1.0);
                // One that starts takes several times as long: it was out of reach, and is none.
                node.presumed_start = node.presumed_start.filter(|_| per_unit > self.unit_service_time);
                // The median of answers from nodes without a wait: service, not queueing.
                if per_unit < self.unit_service_time
                    || node.decayed_delay(now, prior) < 0.2 * self.period as f64
                {
                    self.unit_service_time *= if per_unit < self.unit_service_time { 0.98 } else { 1.02 };
                }
                news = Some(
                    (o.latency as f64 - EXPECTED_SERVICE_TIMES * units * self.unit_service_time).max(0.0),
                );
            } else if o.end == AttemptEnd::Rejected {
                node.late_answers += 1;
                node.budget_filled = true;
                news = Some(node.decayed_delay(now, prior).max(2.0 * full));
            } else if o.end == AttemptEnd::TimedOut && node.latest_answered_send < sent && node.unanswered > 1
            {
                // No later send was answered, nor the one before: whoever goes now waits at least as long.
                news = Some(o.latency as f64).filter(|took| *took > node.decayed_delay(now, prior));
            }
            if let Some(wait) = news {
                node.observe_delay(now, wait, prior);
                // One that says nothing tells of itself alone.
                if o.end != AttemptEnd::TimedOut {
                    self.fleet_delay = (prior + FLEET_DELAY_WEIGHT * (wait.min(full) - prior), now);
                }
            }
        }
        self.index(now, node_id);
        if let (Some(used), Some(volume)) = (o.volume_usage_percent, self.volumes.get_mut(&volume_id)) {
            let fleet = f64::from(used) / 100.0 * self.settings.plans[plan.0 as usize].usual_rate;
            volume.fleet_usage.observe(now, fleet);
        }
        if o.request_closed {
            self.drop_request(now, o.request, out);
        } else if self.requests.get(&o.request).is_some_and(|j| j.state != RequestState::Answered) {
            self.retry(now, o.request, node_id, o.end, out);
        }
        self.drop_if_done(now, o.request, out);
        self.dispatch_queued(now, node_id, out);
    }

    pub(super) fn retry(
        &mut self,
        now: Micros,
        id: RequestId,
        node_id: NodeId,
        end: AttemptEnd,
        out: &mut Vec<Action>,
    ) {
        let Some(job) = self.requests.get_mut(&id) else { return };
        let (free, fresh) = (job.request.shard.is_none(), job.possibly_executed.is_none());
        // A bound request can wait for no other node: one that is full is so for longer than any aim here,
        // and one that is down is better asked later; a lost connection tells neither. New objects move on.
        let useful = matches!(end, AttemptEnd::Error | AttemptEnd::Reset)
            || (free && matches!(end, AttemptEnd::Rejected | AttemptEnd::NotConnected));
        let useful = useful && now < job.due;
        job.state = RequestState::Queued(None);
        let target = if free && fresh { self.least_loaded(now, id) } else { Some(node_id) };
        let Some(target) = target.filter(|_| useful) else { return self.answer_locally(now, id, out) };
        match self.try_send(now, id, target, out) {
            SendDecision::Allowed => {}
            SendDecision::Never => self.answer_locally(now, id, out),
            _ => self.enqueue(now, id, target),
        }
    }

    /// The one final answer of ours: refused where the client may safely come again, else failed.
    pub(super) fn answer_locally(&mut self, now: Micros, id: RequestId, out: &mut Vec<Action>) {
        self.dequeue(now, id);
        let Some(job) = self.requests.get_mut(&id) else { return };
        if job.state == RequestState::Answered {
            return;
        }
        job.state = RequestState::Answered;
        let class = &self.settings.classes[job.request.class.0 as usize];
        let touched = job.possibly_executed.is_some() || !job.in_flight.is_empty();
        let refusable = match class.idempotency {
            Idempotency::Idempotent => true,
            Idempotency::WithKey => !touched || class.deduplication_scope == DeduplicationScope::AllNodes,
            Idempotency::NotIdempotent => !touched,
        };
        if refusable && now < job.deadline {
            let most = self.settings.max_retry_after;
            let hint = if job.quota_tier == QuotaTier::Reserved { self.period.min(most) } else { most };
            out.push(Action::Shed { request: id, retry_after: (hint > 0).then_some(hint) });
        } else {
            out.push(Action::Fail { request: id });
        }
        if let Some(count) = self.answer_log.record(now) {
            out.push(Action::Log { text: format!("shed or failed {count} requests"), node: None });
        }
        self.drop_if_done(now, id, out);
    }

    pub(super) fn drop_request(&mut self, now: Micros, id: RequestId, out: &mut Vec<Action>) {
        self.dequeue(now, id);
        if let Some(job) = self.requests.get_mut(&id) {
            job.state = RequestState::Answered;
        }
        self.drop_if_done(now, id, out);
    }

    pub(super) fn dequeue(&mut self, now: Micros, id: RequestId) {
        let Some(job) = self.requests.get(&id) else { return };
        let place = (job.due, id);
        let RequestState::Queued(node_id) = job.state else { return };
        if let Some((node_id, node)) = node_id.and_then(|n| Some((n, self.nodes.get_mut(&n)?))) {
            if node.dequeue(place, &job.request) {
                self.queued.nodes_with_queue.remove(&node_id);
            }
            self.index(now, node_id);
        }
        self.queued.unsharded.remove(&place);
    }

    pub(super) fn drop_if_done(&mut self, now: Micros, id: RequestId, out: &mut Vec<Action>) {
        let Some(job) = self.requests.get(&id) else { return };
        if job.state != RequestState::Answered {
            return;
        }
        self.deadlines.remove(&(job.deadline, id));
        if !job.in_flight.is_empty() {
            return;
        }
        let key = job.request.key;
        self.requests.remove(&id);
        if let Some(key) = key.filter(|key| self.key_queues.remove(*key, id)) {
            self.next_for_key(now, key, out);
        }
    }
}
