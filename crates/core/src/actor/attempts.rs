//! Attempts: the one place that sends them, and what follows from how each ended.

use std::time::Duration;

use tokio::sync::mpsc;
use tokio::time::Instant;

use super::Actor;
use crate::body::{Passing, Reply, Upload};
use crate::message::Message;
use crate::observe::{Note, Treated};
use crate::{Answer, Attempt, Ended};
use heathward_policy::{Effect, End, Event, Micros, NodeId, Outcome, RequestId};

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
        if let (Some(ran), Effect::Keyed) = (open.ran, class.effect) {
            until = until.min(ran + Duration::from_micros(class.window));
        }
        // What passes moves at its client's pace, and can't be sent again.
        let passes = open.call.work.rest.as_ref();
        until = if passes.is_some() { open.call.deadline } else { until };
        let sound = open.reply.is_some() && open.out.is_none() && now < until;
        let sound = sound && passes.is_none_or(Upload::untouched);
        let reach = if now < open.half { until.min(open.half) } else { until };
        let work = open.call.work.clone();
        let sent = self.nodes.get(node).filter(|node| sound && !node.gate.is_shut()).is_some_and(|to| {
            let (gate, tries, cancel) = (to.gate.clone(), self.tries.clone(), open.cancel.clone());
            let attempt = Attempt { request, number, node, until, reach, work, gate, cancel, tries };
            to.mailbox().is_some_and(|mailbox| mailbox.try_send(attempt).is_ok())
        });
        let to = self.nodes.get(node);
        if sent {
            open.out = Some((number, now));
            self.counters.sent += 1;
            if let (Some(observer), Some(to)) = (&mut self.observer, to) {
                let cold = matches!(to.treated, Some(Treated::Cold(_)));
                let cold_units = if cold { open.call.work.units } else { 0 };
                observer.note(now, Note::Sent { request, node: &to.member.id, cold_units });
            }
            return;
        }
        self.counters.ended(End::NotSent);
        if let (Some(observer), Some(to)) = (&mut self.observer, to) {
            observer.note(now, Note::Ended { request, node: &to.member.id, end: End::NotSent });
        }
        let (end, closed) = (End::NotSent, open.reply.is_none());
        let took = 0;
        let (used, elsewhere, busy) = (None, None, None);
        let outcome = Outcome { request, attempt: number, node, end, closed, took, used, elsewhere, busy };
        self.events.push_back(Event::Outcome(outcome));
    }

    pub(super) fn ended(&mut self, ended: Ended) {
        let Ended { request, number, node, end, body } = ended;
        let Some(open) = self.open.get_mut(&request) else { return };
        let Some((_, sent)) = open.out.take_if(|(out, _)| *out == number) else { return };
        let now = Instant::now();
        // A node begins once the last byte has come.
        let from = open.call.work.rest.as_ref().and_then(Upload::ended).map_or(sent, |at| at.max(sent));
        self.counters.ended(end);
        open.last = Some(end);
        if let (Some(observer), Some(to)) = (&mut self.observer, self.nodes.get(node)) {
            observer.note(now, Note::Ended { request, node: &to.member.id, end });
        }
        if matches!(end, End::Error | End::TimedOut | End::Reset | End::Cancelled) {
            open.ran = open.ran.or(Some(sent));
        }
        if end == End::Served {
            let taken = match body {
                Reply::Passing(_) => open.taken.take(),
                Reply::Whole(_) => None,
            };
            let body = match (body, taken) {
                (Reply::Passing(passing), Some(taken)) => {
                    Reply::Passing(Passing { _open: Some(taken.pass()), ..passing })
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
        let outcome = Outcome { request, attempt: number, node, end, closed, took, used, elsewhere, busy };
        self.feed(Event::Outcome(outcome));
    }
}

/// Reports the end of an attempt to the core.
pub async fn report(core: &mpsc::Sender<Message>, attempt: &Attempt, end: End, body: Reply) {
    let Attempt { request, number, node, .. } = *attempt;
    // Without a core nobody is left to tell.
    let _ = core.send(Message::Ended(Ended { request, number, node, end, body })).await;
}
