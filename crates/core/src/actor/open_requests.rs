//! The open requests with their deadlines and the attempts that are in flight.

use std::collections::{BTreeSet, HashMap};
use std::sync::Arc;
use std::time::Duration;

use tokio::sync::oneshot;
use tokio::time::Instant;
use tokio_util::sync::CancellationToken;

use crate::client_request_ids::{ClientRequestId, ClientRequestIdGuard, ClientRequestIds};
use crate::{Answer, ClientRequest, NodeRequest, Upload, WriteCompletion};
use heathward_policy::{AttemptEnd, ClassId, ClassSettings, Idempotency, Micros, RequestId};

/// How long after its deadline the core itself answers a request that the policy has left open. It is well
/// within the time that clients grant beyond the deadline, and longer than a timer can be late.
const OVERDUE_GRACE: Duration = Duration::from_millis(5);

/// Time for an answer to reach the client: an answer that must arrive by half of the request's time budget
/// is given this much earlier.
const ANSWER_DELIVERY_MARGIN: Duration = Duration::from_millis(10);

/// A request that has no answer yet, or whose attempt is still in flight.
pub(super) struct OpenRequest {
    pub(super) request: ClientRequest,
    /// Keeps the client's request id reserved; taken by a reply that is streamed.
    pub(super) id_guard: Option<ClientRequestIdGuard>,
    received_at: Instant,
    /// Upper bound of the connect deadline of attempts that are sent before it: half of the request's time
    /// budget, less [`ANSWER_DELIVERY_MARGIN`].
    early_connect_deadline: Instant,
    /// The channel for the final answer; taken when the answer is given.
    reply: Option<oneshot::Sender<Answer>>,
    /// Cancelled by the final answer and by the disconnect of the client: nothing is written to a node from
    /// then on.
    pub(super) cancel: CancellationToken,
    /// Number of attempts that were sent or that could not be sent.
    attempts: u32,
    in_flight: Option<InFlightAttempt>,
    /// When the first attempt was sent that has ended and may have been executed.
    first_possible_execution: Option<Instant>,
    /// How the last attempt ended.
    last_attempt_end: Option<AttemptEnd>,
}

/// The attempt of a request that is in flight.
#[derive(Debug)]
pub(super) struct InFlightAttempt {
    pub(super) number: u32,
    /// Id of the node, which may leave the endpoint list before the attempt ends.
    pub(super) node: Box<str>,
    /// When it was passed to the connections of the node.
    pub(super) sent_at: Instant,
    /// Set once the last byte is written; until then the node cannot execute the attempt.
    pub(super) write_completion: WriteCompletion,
}

/// An attempt that is no longer in flight.
pub(super) struct FinishedAttempt {
    /// Id of the node.
    pub(super) node: Box<str>,
    /// When the node could begin to execute it: when it was sent, or when the last byte of a streamed body
    /// arrived, if that is later.
    pub(super) started_at: Instant,
}

/// The parts of an open request that are needed to answer it and to report the answer.
pub(super) struct AnsweredRequest {
    pub(super) class: ClassId,
    pub(super) received_at: Instant,
    /// The request, for its client's id.
    pub(super) node_request: Arc<NodeRequest>,
    /// The channel for the final answer.
    pub(super) reply: oneshot::Sender<Answer>,
    /// Number of attempts that were sent or that could not be sent.
    pub(super) attempts: u32,
    /// How the last attempt ended.
    pub(super) last_attempt_end: Option<AttemptEnd>,
}

impl OpenRequest {
    pub(super) fn new(
        request: ClientRequest,
        id_guard: ClientRequestIdGuard,
        received_at: Instant,
        reply: oneshot::Sender<Answer>,
        cancel: CancellationToken,
    ) -> Self {
        let time_budget = request.deadline.saturating_duration_since(received_at);
        Self {
            early_connect_deadline: received_at + (time_budget / 2).saturating_sub(ANSWER_DELIVERY_MARGIN),
            request,
            id_guard: Some(id_guard),
            received_at,
            reply: Some(reply),
            cancel,
            attempts: 0,
            in_flight: None,
            first_possible_execution: None,
            last_attempt_end: None,
        }
    }

    /// Returns whether the request has its final answer, or its client no longer waits for one.
    pub(super) fn is_answered(&self) -> bool {
        self.reply.is_none()
    }

    /// Returns whether a node may have executed the request, or may be executing it. An attempt that still
    /// waits for a connection, or is not written completely, cannot be executed.
    pub(super) fn is_possibly_executed(&self) -> bool {
        let is_executing = self.in_flight.as_ref().is_some_and(|attempt| attempt.write_completion.is_set());
        self.first_possible_execution.is_some() || is_executing
    }

    /// Counts one more attempt and returns its number.
    pub(super) fn next_attempt_number(&mut self) -> u32 {
        let number = self.attempts;
        self.attempts += 1;
        number
    }

    /// Returns when an attempt that is sent at `now` is given up: after `timeout` microseconds, but no
    /// later than the deadline of the request. If nodes recognize repeats by an idempotency key, it is also
    /// no later than the end of the deduplication window, which starts with the first attempt that may have
    /// been executed. An attempt with a streamed body has until the deadline of the request, as it advances
    /// at the pace of the client.
    pub(super) fn attempt_deadline(
        &self,
        now: Instant,
        timeout: Option<Micros>,
        class: &ClassSettings,
    ) -> Instant {
        let request_deadline = self.request.deadline;
        if self.request.node_request.upload.is_some() {
            return request_deadline;
        }
        let timeout_at = timeout.map_or(request_deadline, |timeout| now + Duration::from_micros(timeout));
        let deadline = timeout_at.min(request_deadline);
        match (self.first_possible_execution, class.idempotency) {
            (Some(first_sent_at), Idempotency::WithKey) => {
                deadline.min(first_sent_at + Duration::from_micros(class.deduplication_window))
            }
            _ => deadline,
        }
    }

    /// Returns whether an attempt may be sent at `now`: there is no answer yet, no other attempt is in
    /// flight, there is time left, and no part of a streamed body was sent before.
    pub(super) fn may_send(&self, now: Instant, attempt_deadline: Instant) -> bool {
        let is_resendable = self.request.node_request.upload.as_ref().is_none_or(Upload::is_unsent);
        !self.is_answered() && self.in_flight.is_none() && now < attempt_deadline && is_resendable
    }

    /// Returns by when an attempt that is sent at `now` must have a connection.
    pub(super) fn connect_deadline(&self, now: Instant, attempt_deadline: Instant) -> Instant {
        if now < self.early_connect_deadline {
            attempt_deadline.min(self.early_connect_deadline)
        } else {
            attempt_deadline
        }
    }

    /// Records that an attempt was sent.
    pub(super) fn attempt_sent(&mut self, attempt: InFlightAttempt) {
        self.in_flight = Some(attempt);
    }

    /// Records how the attempt in flight ended. Returns `None` if `number` is not that of the attempt in
    /// flight.
    pub(super) fn attempt_ended(&mut self, number: u32, end: AttemptEnd) -> Option<FinishedAttempt> {
        let InFlightAttempt { node, sent_at, .. } =
            self.in_flight.take_if(|attempt| attempt.number == number)?;
        self.last_attempt_end = Some(end);
        if matches!(end, AttemptEnd::Error | AttemptEnd::TimedOut | AttemptEnd::Reset | AttemptEnd::Cancelled)
        {
            self.first_possible_execution.get_or_insert(sent_at);
        }
        let body_completed_at = self.request.node_request.upload.as_ref().and_then(Upload::completed_at);
        Some(FinishedAttempt { node, started_at: body_completed_at.map_or(sent_at, |at| at.max(sent_at)) })
    }

    /// Keeps the client's id from being used again if the request may have been executed.
    pub(super) fn retire_id_if_executed(&mut self) {
        let is_served = self.last_attempt_end == Some(AttemptEnd::Served);
        if is_served || self.first_possible_execution.is_some() {
            self.id_guard.iter_mut().for_each(ClientRequestIdGuard::mark_executed);
        }
    }

    /// Returns when the core answers the request itself.
    fn overdue_at(&self) -> Instant {
        self.request.deadline + OVERDUE_GRACE
    }
}

/// All open requests.
#[derive(Default)]
pub(super) struct OpenRequests {
    by_id: HashMap<RequestId, OpenRequest>,
    /// The client request ids of the open requests, and of replies that are still being streamed.
    client_ids: ClientRequestIds,
    /// All requests without an answer, by the time at which the core answers them itself.
    overdue_schedule: BTreeSet<(Instant, RequestId)>,
    /// Upper bound of the deadlines of all requests; set once the program shuts down.
    shutdown_deadline: Option<Instant>,
}

impl OpenRequests {
    /// Reserves a client's request id; returns `None` if it is in use.
    pub(super) fn reserve_client_id(&self, id: &str) -> Option<ClientRequestIdGuard> {
        self.client_ids.reserve(id)
    }

    /// Returns the clients' ids of requests that are open or may have been executed.
    pub(super) fn client_ids(&self) -> Vec<ClientRequestId> {
        self.client_ids.all()
    }

    /// Records clients' ids of requests that may have been executed for the peer process.
    pub(super) fn add_executed_client_ids(&self, ids: Vec<ClientRequestId>) {
        self.client_ids.add_executed(ids);
    }

    /// Returns `deadline`, or the deadline of the shutdown if that is earlier.
    pub(super) fn limit_deadline(&self, deadline: Instant) -> Instant {
        self.shutdown_deadline.map_or(deadline, |shutdown| shutdown.min(deadline))
    }

    /// Returns whether the program is shutting down.
    pub(super) fn is_shutting_down(&self) -> bool {
        self.shutdown_deadline.is_some()
    }

    pub(super) fn insert(&mut self, id: RequestId, open_request: OpenRequest) {
        self.overdue_schedule.insert((open_request.overdue_at(), id));
        self.by_id.insert(id, open_request);
    }

    pub(super) fn get(&self, id: RequestId) -> Option<&OpenRequest> {
        self.by_id.get(&id)
    }

    pub(super) fn get_mut(&mut self, id: RequestId) -> Option<&mut OpenRequest> {
        self.by_id.get_mut(&id)
    }

    /// Returns whether a request has its final answer, or is not known any more.
    pub(super) fn is_answered(&self, id: RequestId) -> bool {
        self.by_id.get(&id).is_none_or(OpenRequest::is_answered)
    }

    /// Prepares the answer to a request: cancels its attempt in flight, drops the request unless the end of
    /// an attempt is still expected, and returns the parts needed to answer it. Returns `None` if it was
    /// answered before.
    pub(super) fn take_for_answer(&mut self, id: RequestId) -> Option<AnsweredRequest> {
        let open_request = self.by_id.get_mut(&id)?;
        let reply = open_request.reply.take()?;
        open_request.cancel.cancel();
        let answered = AnsweredRequest {
            class: open_request.request.class,
            received_at: open_request.received_at,
            node_request: open_request.request.node_request.clone(),
            reply,
            attempts: open_request.attempts,
            last_attempt_end: open_request.last_attempt_end,
        };
        self.overdue_schedule.remove(&(open_request.overdue_at(), id));
        if open_request.in_flight.is_none() {
            self.by_id.remove(&id);
        }
        Some(answered)
    }

    /// Drops a request that has its answer and no attempt in flight.
    pub(super) fn remove(&mut self, id: RequestId) {
        self.by_id.remove(&id);
    }

    /// Returns the number of requests without an answer.
    pub(super) fn unanswered_count(&self) -> usize {
        self.overdue_schedule.len()
    }

    /// Returns the number of requests without an answer and of replies that are being streamed.
    pub(super) fn active_count(&self) -> usize {
        self.unanswered_count() + self.client_ids.streaming_count()
    }

    /// Returns when the core next has to answer a request itself.
    pub(super) fn next_overdue(&self) -> Option<Instant> {
        self.overdue_schedule.first().map(|(at, _)| *at)
    }

    /// Removes one overdue request from the schedule and returns its id.
    pub(super) fn pop_overdue(&mut self, now: Instant) -> Option<RequestId> {
        let &(at, id) = self.overdue_schedule.first().filter(|(at, _)| *at <= now)?;
        self.overdue_schedule.remove(&(at, id));
        Some(id)
    }

    /// Sets when the client of a request stops waiting, if that is earlier than what was known.
    pub(super) fn set_deadline(&mut self, id: RequestId, deadline: Instant) {
        let deadline = self.limit_deadline(deadline);
        let Some(open_request) = self.by_id.get_mut(&id) else { return };
        // A request that is answered, or was overdue, is in no schedule.
        if self.overdue_schedule.remove(&(open_request.overdue_at(), id)) {
            open_request.request.deadline = deadline.min(open_request.request.deadline);
            self.overdue_schedule.insert((open_request.overdue_at(), id));
        }
    }

    /// Limits the deadlines of all open and all later requests. Clients may wait for longer than the
    /// platform lets the program run, and a closed connection is not an answer.
    pub(super) fn set_shutdown_deadline(&mut self, deadline: Instant) {
        self.shutdown_deadline = Some(deadline);
        let first_too_late = (deadline + OVERDUE_GRACE, RequestId(0));
        // The schedule is ordered by time, so this takes the requests that would be answered later than
        // `deadline` allows.
        for (_, id) in self.overdue_schedule.split_off(&first_too_late) {
            // Each request in the schedule is also in the table.
            if let Some(open_request) = self.by_id.get_mut(&id) {
                open_request.request.deadline = deadline;
                self.overdue_schedule.insert((open_request.overdue_at(), id));
            }
        }
    }
}
