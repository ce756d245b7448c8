//! Attempts: the one place that sends them, and what follows from how each ended.

use std::time::Duration;

use tokio::sync::mpsc;
use tokio::time::Instant;

use super::Actor;
use crate::message::CoreMessage;
use crate::observe::{NodeTreatment, Observation};
use crate::{Answer, Attempt, EndedAttempt};
use crate::{NodeReply, StreamedReply, Upload};
use heathward_policy::{AttemptEnd, AttemptOutcome, Event, Idempotency, Micros, NodeId, RequestId};

impl Actor {
    /// The one place where attempts go out. Guards against a second one beside another, one after the final
    /// answer or the deadline, and a keyed repeat past its window; the module is told that it never went.
    pub(super) fn send(&mut self, request: RequestId, node: NodeId, give_up: Option<Micros>) {
        let now = Instant::now();
        let Some(open) = self.open.get_mut(&request) else { return };
        let number = open.sends;
        open.sends += 1;
        let deployment = self.deployment.borrow();
        let class = &deployment.settings.classes[open.call.class.0 as usize];
        let mut until = give_up.map_or(open.call.deadline, |span| now + Duration::from_micros(span));
        until = until.min(open.call.deadline);
        if let (Some(ran), Idempotency::WithKey) = (open.ran, class.idempotency) {
            until = until.min(ran + Duration::from_micros(class.deduplication_window));
        }
        // What passes moves at its client's pace, and can't be sent again.
        let passes = open.call.node_request.upload.as_ref();
        until = if passes.is_some() { open.call.deadline } else { until };
        let sound = open.reply.is_some() && open.out.is_none() && now < until;
        let sound = sound && passes.is_none_or(Upload::is_unsent);
        let reach = if now < open.half { until.min(open.half) } else { until };
        let work = open.call.node_request.clone();
        let sent = self.nodes.get(node).filter(|node| sound && !node.gate.is_closed()).is_some_and(|to| {
            let (gate, tries, cancel) = (to.gate.clone(), self.tries.clone(), open.cancel.clone());
            let attempt = Attempt {
                request,
                number,
                node,
                deadline: until,
                connect_deadline: reach,
                node_request: work,
                send_gate: gate,
                cancel,
                written_attempts: tries,
            };
            to.mailbox().is_some_and(|mailbox| mailbox.try_send(attempt).is_ok())
        });
        let to = self.nodes.get(node);
        if sent {
            open.out = Some((number, now));
            self.counters.attempts_sent += 1;
            if let (Some(observer), Some(to)) = (&mut self.observer, to) {
                let cold = matches!(to.treated, Some(NodeTreatment::SlowStart(_)));
                let cold_units = if cold { open.call.node_request.units } else { 0 };
                observer.observe(
                    now,
                    Observation::AttemptSent { request, node: &to.member.id, slow_start_units: cold_units },
                );
            }
            return;
        }
        self.counters.count_attempt_end(AttemptEnd::NotSent);
        if let (Some(observer), Some(to)) = (&mut self.observer, to) {
            observer.observe(
                now,
                Observation::AttemptEnded { request, node: &to.member.id, end: AttemptEnd::NotSent },
            );
        }
        let (end, closed) = (AttemptEnd::NotSent, open.reply.is_none());
        let took = 0;
        let (used, elsewhere, busy) = (None, None, None);
        let outcome = AttemptOutcome {
            request,
            attempt: number,
            node,
            end,
            request_closed: closed,
            latency: took,
            volume_usage_percent: used,
            served_elsewhere: elsewhere,
            utilization: busy,
        };
        self.events.push_back(Event::AttemptEnded(outcome));
    }

    pub(super) fn ended(&mut self, ended: EndedAttempt) {
        let EndedAttempt { request, number, node, end, reply: body } = ended;
        let Some(open) = self.open.get_mut(&request) else { return };
        let Some((_, sent)) = open.out.take_if(|(out, _)| *out == number) else { return };
        let now = Instant::now();
        // A node begins once the last byte has come.
        let from = open
            .call
            .node_request
            .upload
            .as_ref()
            .and_then(Upload::completed_at)
            .map_or(sent, |at| at.max(sent));
        self.counters.count_attempt_end(end);
        open.last = Some(end);
        if let (Some(observer), Some(to)) = (&mut self.observer, self.nodes.get(node)) {
            observer.observe(now, Observation::AttemptEnded { request, node: &to.member.id, end });
        }
        if matches!(end, AttemptEnd::Error | AttemptEnd::TimedOut | AttemptEnd::Reset | AttemptEnd::Cancelled)
        {
            open.ran = open.ran.or(Some(sent));
        }
        if end == AttemptEnd::Served {
            let taken = match body {
                NodeReply::Streamed(_) => open.taken.take(),
                NodeReply::Buffered(_) => None,
            };
            let body = match (body, taken) {
                (NodeReply::Streamed(passing), Some(taken)) => {
                    NodeReply::Streamed(StreamedReply { _id_guard: Some(taken.start_streaming()), ..passing })
                }
                (body, _) => body,
            };
            self.settle(request, Some(Answer::Served(body)));
        }
        let closed = self.open.get(&request).is_none_or(|open| open.reply.is_none());
        if closed {
            self.close(request);
        }
        let took = now.saturating_duration_since(from).as_micros() as Micros;
        let (used, elsewhere, busy) = (None, None, None);
        let outcome = AttemptOutcome {
            request,
            attempt: number,
            node,
            end,
            request_closed: closed,
            latency: took,
            volume_usage_percent: used,
            served_elsewhere: elsewhere,
            utilization: busy,
        };
        self.feed(Event::AttemptEnded(outcome));
    }
}

/// Reports the end of an attempt to the core.
pub async fn report_attempt_end(
    core: &mpsc::Sender<CoreMessage>,
    attempt: &Attempt,
    end: AttemptEnd,
    body: NodeReply,
) {
    let Attempt { request, number, node, .. } = *attempt;
    // Without a core nobody is left to tell.
    let _ =
        core.send(CoreMessage::AttemptEnded(EndedAttempt { request, number, node, end, reply: body })).await;
}
