//! Requests from arrival to their one final answer: arrivals, answers, departures of clients, deadlines.

use std::time::Duration;

use tokio::sync::oneshot;
use tokio::time::Instant;
use tokio_util::sync::CancellationToken;

use super::Actor;
use crate::client_request_ids::ClientRequestIdGuard;
use crate::observe::{self, Observation};
use crate::{Answer, ClientRequest};
use heathward_policy::{AttemptEnd, Event, Micros, Request, RequestId};

/// The module answers at the deadline; whatever it has left open this much later is ended here. Well inside
/// the slack that the platform grants, and longer than a timer is late.
const BACKSTOP: Duration = Duration::from_millis(5);

/// What is told by half of a request's time leaves so long before, for the way back.
const EARLY: Duration = Duration::from_millis(10);

/// A request that owes an answer, or whose attempt is still out.
pub(super) struct Open {
    pub(super) call: ClientRequest,
    /// Its client's id is taken.
    pub(super) taken: Option<ClientRequestIdGuard>,
    /// When it came.
    pub(super) came: Instant,
    /// When half of its time is over.
    pub(super) half: Instant,
    /// Taken by the one final answer.
    pub(super) reply: Option<oneshot::Sender<Answer>>,
    /// Cancelled by its client's departure and by the final answer: nothing of it is written from then on.
    pub(super) cancel: CancellationToken,
    pub(super) sends: u32,
    /// The attempt that is out, and since when.
    pub(super) out: Option<(u32, Instant)>,
    /// When the first attempt that may have run was sent.
    pub(super) ran: Option<Instant>,
    /// How the last attempt ended.
    pub(super) last: Option<AttemptEnd>,
}

impl Actor {
    pub(super) fn arrive(
        &mut self,
        id: RequestId,
        mut call: ClientRequest,
        reply: oneshot::Sender<Answer>,
        cancel: CancellationToken,
    ) {
        call.deadline = self.last.map_or(call.deadline, |last| last.min(call.deadline));
        let Some(taken) = self.calls.reserve(&call.node_request.client_request_id) else {
            self.counters.malformed_requests += 1;
            // A front that has left meanwhile needs no answer.
            let _ = reply.send(Answer::Duplicate);
            return;
        };
        self.counters.requests_received += 1;
        let now = Instant::now();
        let left = call.deadline.saturating_duration_since(now);
        let half = now + (left / 2).saturating_sub(EARLY);
        let request = Request {
            id,
            class: call.class,
            plan: call.plan,
            volume: call.node_request.volume,
            units: call.node_request.units,
            time_budget: left.as_micros() as Micros,
            shard: call.shard,
            key: Some(call.node_request.key),
            schedulers: call.schedulers,
            is_client_retry: call.is_client_retry,
            is_streaming: call.node_request.upload.is_some(),
        };
        self.limits.insert((call.deadline + BACKSTOP, id));
        let Request { class, plan, volume, units, .. } = request;
        if let Some(observer) = &mut self.observer {
            observer.observe(now, Observation::RequestReceived { request: id, class, plan, volume, units });
        }
        let open = Open {
            call,
            taken: Some(taken),
            came: now,
            half,
            reply: Some(reply),
            cancel,
            sends: 0,
            out: None,
            ran: None,
            last: None,
        };
        self.open.insert(id, open);
        self.arriving = Some(id);
        self.feed(Event::RequestArrived(request));
        self.arriving = None;
    }

    /// Nobody waits for the request any more. One that is still in the mailbox is dropped once it is read.
    pub(super) fn depart(&mut self, id: RequestId) {
        if self.settle(id, None) {
            self.counters.client_disconnects += 1;
            self.feed(Event::ClientDisconnected { request: id });
        }
    }

    /// Gives a request its one final answer, or none where nobody waits. False if it had been settled.
    pub(super) fn settle(&mut self, id: RequestId, answer: Option<Answer>) -> bool {
        let Some(open) = self.open.get_mut(&id) else { return false };
        let Some(reply) = open.reply.take() else { return false };
        open.cancel.cancel();
        let class = open.call.class;
        if let Some(observer) = &mut self.observer {
            let at_once = self.arriving == Some(id) && open.sends == 0;
            let outcome = match &answer {
                None | Some(Answer::Duplicate) => observe::RequestOutcome::ClientDisconnected,
                Some(Answer::Served(_)) => observe::RequestOutcome::Served,
                Some(Answer::Shed { .. }) => {
                    observe::RequestOutcome::Shed { last_attempt_end: open.last, on_arrival: at_once }
                }
                Some(Answer::Failed { possibly_executed: ran, deadline_passed: late }) => {
                    observe::RequestOutcome::Failed { possibly_executed: *ran, deadline_passed: *late }
                }
            };
            let now = Instant::now();
            let took = now.saturating_duration_since(open.came).as_micros() as Micros;
            observer.observe(now, Observation::RequestEnded { request: id, class, outcome, latency: took });
        }
        self.limits.remove(&(open.call.deadline + BACKSTOP, id));
        if open.out.is_none() {
            self.close(id);
        }
        if let Some(answer) = answer {
            let answers = self.counters.answers_of_class(class);
            match &answer {
                Answer::Duplicate => {}
                Answer::Served(_) => answers.served += 1,
                Answer::Shed { .. } => answers.shed += 1,
                Answer::Failed { .. } => answers.failed += 1,
            }
            // A front that has left meanwhile says so by itself.
            let _ = reply.send(answer);
        }
        true
    }

    /// Forgets a request that owes no answer and has nothing out.
    pub(super) fn close(&mut self, id: RequestId) {
        self.open.remove(&id);
    }

    /// Ends what the module has left open past its time.
    pub(super) fn end_overdue(&mut self, now: Instant) {
        while let Some(&(_, id)) = self.limits.first().filter(|(at, _)| *at <= now) {
            self.counters.overdue_requests += 1;
            let ran = self.open.get(&id).is_some_and(|o| o.ran.is_some() || o.out.is_some());
            // Its client has time left where only the program ends: the next scheduler takes what never ran.
            let ending = self.last.is_some() && !ran;
            let answer = if ending {
                Answer::Shed { retry_after: None }
            } else {
                Answer::Failed { possibly_executed: ran, deadline_passed: true }
            };
            self.settle(id, Some(answer));
            self.feed(Event::ClientDisconnected { request: id });
        }
    }

    /// The program ends then. What is open has no more time either: its clients may wait for longer than the
    /// platform lets the program run, and an end of their connection is no answer.
    pub(super) fn end_by(&mut self, last: Instant) {
        self.last = Some(last);
        let limit = (last + BACKSTOP, RequestId(0));
        for (at, id) in self.limits.split_off(&limit) {
            match self.open.get_mut(&id) {
                Some(open) => {
                    open.call.deadline = last;
                    self.limits.insert((last + BACKSTOP, id));
                }
                None => _ = self.limits.insert((at, id)),
            }
        }
        self.note(Observation::ShuttingDown);
    }
}
