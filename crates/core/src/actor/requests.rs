//! Requests from their arrival to the one final answer.

use tokio::sync::oneshot;
use tokio::time::Instant;
use tokio_util::sync::CancellationToken;

use super::open_requests::OpenRequest;
use super::Actor;
use crate::observe::{Observation, RequestOutcome};
use crate::{Answer, ClientRequest};
use heathward_policy::{AttemptEnd, Event, Micros, Request, RequestId};

impl Actor {
    pub(super) fn receive_request(
        &mut self,
        id: RequestId,
        mut request: ClientRequest,
        reply: oneshot::Sender<Answer>,
        cancel: CancellationToken,
    ) {
        let Some(id_guard) = self.requests.reserve_client_id(&request.node_request.client_request_id) else {
            self.counters.malformed_requests += 1;
            // A front end that has left meanwhile needs no answer.
            let _ = reply.send(Answer::Duplicate);
            return;
        };
        self.counters.requests_received += 1;
        let now = Instant::now();
        // The policy tells from the client's time how long that has waited already. What a shutdown takes of
        // that time is no waiting: this core alone keeps to it.
        let policy_request = policy_request(id, &request, now);
        request.deadline = self.requests.limit_deadline(request.deadline);
        let Request { class, plan, volume, units, .. } = policy_request;
        let received = Observation::RequestReceived { request: id, class, plan, volume, units };
        self.observer.observe_at(now, received);
        self.requests.insert(id, OpenRequest::new(request, id_guard, now, reply, cancel));
        self.arriving_request = Some(id);
        self.handle_event(Event::RequestArrived(policy_request));
        self.arriving_request = None;
    }

    /// Drops a request for which nobody waits any more. One that is still in the request channel is dropped
    /// when it is received.
    pub(super) fn client_disconnected(&mut self, id: RequestId) {
        if self.answer_request(id, None) {
            self.counters.client_disconnects += 1;
            self.handle_event(Event::ClientDisconnected { request: id });
        }
    }

    /// Gives a request its one final answer, or none if nobody waits for it. Returns false if it was answered
    /// before.
    pub(super) fn answer_request(&mut self, id: RequestId, answer: Option<Answer>) -> bool {
        let Some(answered) = self.requests.take_for_answer(id) else { return false };
        let on_arrival = self.arriving_request == Some(id) && answered.attempts == 0;
        if self.observer.is_set() {
            let now = Instant::now();
            self.observer.observe_at(
                now,
                Observation::RequestEnded {
                    request: id,
                    class: answered.class,
                    outcome: request_outcome(answer.as_ref(), answered.last_attempt_end, on_arrival),
                    latency: now.saturating_duration_since(answered.received_at).as_micros() as Micros,
                },
            );
        }
        if let Some(answer) = answer {
            let counts = self.counters.answers_of_class(answered.class);
            match &answer {
                Answer::Duplicate => {}
                Answer::Served(_) => counts.served += 1,
                Answer::Shed { .. } => counts.shed += 1,
                Answer::Failed { .. } => counts.failed += 1,
            }
            // A front end that has left meanwhile reports the disconnect by itself.
            let _ = answered.reply.send(answer);
        }
        true
    }

    /// Answers the requests that the policy has left open past their deadlines.
    pub(super) fn answer_overdue(&mut self, now: Instant) {
        while let Some(id) = self.requests.pop_overdue(now) {
            self.counters.overdue_requests += 1;
            let possibly_executed = self.requests.get(id).is_some_and(OpenRequest::is_possibly_executed);
            // In a shutdown the client itself still has time: another scheduler can take the request, unless
            // it may have been executed.
            let answer = if self.requests.is_shutting_down() && !possibly_executed {
                Answer::Shed { retry_after: None }
            } else {
                Answer::Failed { possibly_executed, deadline_passed: true }
            };
            self.answer_request(id, Some(answer));
            // To the policy this is the same as a disconnect: nobody waits for its answer any more.
            self.handle_event(Event::ClientDisconnected { request: id });
        }
    }

    /// The program shuts down: every answer must be given by `deadline`.
    pub(super) fn set_shutdown_deadline(&mut self, deadline: Instant) {
        self.requests.set_shutdown_deadline(deadline);
        self.observer.observe(Observation::ShuttingDown);
    }
}

/// The policy's view of a request that is received now.
fn policy_request(id: RequestId, request: &ClientRequest, now: Instant) -> Request {
    Request {
        id,
        class: request.class,
        plan: request.plan,
        volume: request.node_request.volume,
        units: request.node_request.units,
        time_budget: request.deadline.saturating_duration_since(now).as_micros() as Micros,
        shard: request.shard,
        key: Some(request.node_request.key),
        schedulers: request.schedulers,
        is_client_retry: request.is_client_retry,
        is_streaming: request.node_request.upload.is_some(),
    }
}

/// What an observer is told of an answer; `None` if the client has disconnected.
fn request_outcome(
    answer: Option<&Answer>,
    last_attempt_end: Option<AttemptEnd>,
    on_arrival: bool,
) -> RequestOutcome {
    match answer {
        // A duplicate is rejected before it becomes an open request, so none comes here.
        None | Some(Answer::Duplicate) => RequestOutcome::ClientDisconnected,
        Some(Answer::Served(_)) => RequestOutcome::Served,
        Some(Answer::Shed { .. }) => RequestOutcome::Shed { last_attempt_end, on_arrival },
        Some(&Answer::Failed { possibly_executed, deadline_passed }) => {
            RequestOutcome::Failed { possibly_executed, deadline_passed }
        }
    }
}
