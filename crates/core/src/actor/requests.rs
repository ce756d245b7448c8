//! Handles requests from their arrival to the final answer.

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
            // The front end may have dropped the receiver.
            let _ = reply.send(Answer::Duplicate);
            return;
        };
        self.counters.requests_received += 1;
        let now = Instant::now();
        // The policy derives from the client's remaining time how long the request has already waited. So
        // it gets the client's own deadline: the time that a shutdown takes away was not spent waiting, and
        // only the core enforces the shutdown's deadline.
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

    /// Drops a request whose client has disconnected. One that is still in the request channel is dropped
    /// when it is received.
    pub(super) fn client_disconnected(&mut self, id: RequestId) {
        if self.answer_request(id, None) {
            self.counters.client_disconnects += 1;
            self.handle_event(Event::ClientDisconnected { request: id });
        }
    }

    /// Gives a request its final answer; `answer` is `None` if the client has disconnected. Returns false
    /// if the request was answered before.
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
            self.unserved.record(
                &answered.node_request.client_request_id,
                &answer,
                answered.attempts,
                answered.last_attempt_end,
            );
            match &answer {
                Answer::Duplicate => {}
                Answer::Served(_) => counts.served += 1,
                Answer::Shed { .. } => counts.shed += 1,
                Answer::Failed { .. } => counts.failed += 1,
            }
            // A front end that has dropped the receiver reports the disconnect itself.
            let _ = answered.reply.send(answer);
        }
        true
    }

    /// Answers the requests that the policy has left open past their deadlines.
    pub(super) fn answer_overdue(&mut self, now: Instant) {
        while let Some(id) = self.requests.pop_overdue(now) {
            self.counters.overdue_requests += 1;
            let possibly_executed = self.requests.get(id).is_some_and(OpenRequest::is_possibly_executed);
            // In a shutdown the client's own deadline may not have passed yet: another scheduler can serve
            // the request, unless it may have been executed.
            let answer = if self.requests.is_shutting_down() && !possibly_executed {
                Answer::Shed { retry_after: None }
            } else {
                Answer::Failed { possibly_executed, deadline_passed: true }
            };
            self.answer_request(id, Some(answer));
            // For the policy this is the same as a disconnect: its answer is no longer needed.
            self.handle_event(Event::ClientDisconnected { request: id });
        }
    }

    /// Starts the shutdown: every answer must be given by `deadline`.
    pub(super) fn set_shutdown_deadline(&mut self, deadline: Instant) {
        self.requests.set_shutdown_deadline(deadline);
        self.observer.observe(Observation::ShuttingDown);
    }
}

/// Converts a request that is received at `now` to the policy's type.
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

/// Returns the outcome that is reported to the observer. `answer` is `None` if the client has disconnected.
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
