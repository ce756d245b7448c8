//! Sends attempts to nodes and handles their ends.

use tokio::time::Instant;

use super::nodes::Node;
use super::open_requests::{InFlightAttempt, OpenRequest};
use super::Actor;
use crate::memory::MemoryBudget;
use crate::observe::{NodeTreatment, Observation};
use crate::{Answer, Attempt, EndedAttempt, NodeReply, StreamedReply, WriteCompletion, WrittenAttempts};
use heathward_policy::{AttemptEnd, AttemptOutcome, Event, Idempotency, Micros, NodeId, RequestId};

/// Identifies one attempt of a request at a node.
#[derive(Clone, Copy)]
struct AttemptKey {
    request: RequestId,
    number: u32,
    node: NodeId,
}

impl Actor {
    /// Sends an attempt of a request to a node. All attempts are sent here, so that a request never has two
    /// attempts in flight, and none is sent after the final answer, after the deadline, or after the
    /// deduplication window of the idempotency key. If the attempt cannot be sent, the policy is notified
    /// with [`AttemptEnd::NotSent`].
    pub(super) fn send_attempt(&mut self, request: RequestId, node: NodeId, timeout: Option<Micros>) {
        let now = Instant::now();
        self.connect_if_needed(node);
        let Some(open_request) = self.requests.get_mut(request) else { return };
        let key = AttemptKey { request, number: open_request.next_attempt_number(), node };
        let deployment = self.published.deployment();
        let class = &deployment.settings.classes[usize::from(open_request.request.class.0)];
        let deadline = open_request.attempt_deadline(now, timeout, class);
        let target = self.nodes.get(node);
        let in_flight = target.filter(|_| open_request.may_send(now, deadline)).and_then(|target| {
            let attempt =
                new_attempt(key, open_request, target, now, deadline, &self.written_attempts, &self.memory);
            try_send(attempt, target, now)
        });
        let sent = in_flight.is_some();
        if let Some(in_flight) = in_flight {
            self.peer_process.report_attempt(&open_request.request.node_request.client_request_id);
            open_request.attempt_sent(in_flight);
            self.counters.attempts_sent += 1;
        } else {
            self.counters.count_attempt_end(AttemptEnd::NotSent);
        }
        if let Some(target) = target {
            let units = open_request.request.node_request.units;
            self.observer.observe_at(now, send_observation(request, target, units, sent));
        }
        if !sent {
            let outcome = attempt_outcome(key, AttemptEnd::NotSent, open_request.is_answered(), 0);
            self.policy.enqueue(Event::AttemptEnded(outcome));
        }
    }

    /// Starts to serve the connections of a node in the endpoint list, unless a task does so already. A task
    /// that was not needed for some time has ended.
    fn connect_if_needed(&mut self, id: NodeId) {
        let Some(node) = self.nodes.get(id).filter(|node| node.is_listed()) else { return };
        if node.attempt_sender().is_some() {
            return;
        }
        if let Some(sender) = self.connections.connect(&node.endpoint) {
            self.nodes.set_attempt_sender(id, sender);
        }
    }

    /// Handles the end of an attempt: answers the request if the attempt was served, and notifies the
    /// policy.
    pub(super) fn attempt_ended(&mut self, attempt: EndedAttempt) {
        let EndedAttempt { request, number, node, end, reply } = attempt;
        let Some(open_request) = self.requests.get_mut(request) else { return };
        let Some(finished) = open_request.attempt_ended(number, end) else { return };
        let class = usize::from(open_request.request.class.0);
        if self.published.deployment().settings.classes[class].idempotency != Idempotency::Idempotent {
            open_request.retire_id_if_executed();
        }
        let now = Instant::now();
        self.counters.count_attempt_end(end);
        self.observer.observe_at(now, Observation::AttemptEnded { request, node: &finished.node, end });
        if end == AttemptEnd::Served {
            let reply = keep_id_while_streaming(reply, open_request);
            self.answer_request(request, Some(Answer::Served(reply)));
        }
        let request_closed = self.requests.is_answered(request);
        if request_closed {
            self.requests.remove(request);
        }
        let latency = now.saturating_duration_since(finished.started_at).as_micros() as Micros;
        let key = AttemptKey { request, number, node };
        self.handle_event(Event::AttemptEnded(attempt_outcome(key, end, request_closed, latency)));
    }
}

fn new_attempt(
    key: AttemptKey,
    open_request: &OpenRequest,
    target: &Node,
    now: Instant,
    deadline: Instant,
    written_attempts: &WrittenAttempts,
    memory: &MemoryBudget,
) -> Attempt {
    Attempt {
        request: key.request,
        number: key.number,
        node: key.node,
        deadline,
        client_deadline: open_request.request.deadline,
        connect_deadline: open_request.connect_deadline(now, deadline),
        node_request: open_request.request.node_request.clone(),
        send_gate: target.send_gate.clone(),
        cancel: open_request.cancel.clone(),
        written_attempts: written_attempts.clone(),
        write_completion: WriteCompletion::default(),
        memory: memory.clone(),
    }
}

/// Passes an attempt to the connections of a node. Returns `None` if the node's send gate is closed, the
/// node is not in the endpoint list, or its channel is full.
fn try_send(attempt: Attempt, target: &Node, now: Instant) -> Option<InFlightAttempt> {
    if target.send_gate.is_closed() {
        return None;
    }
    let (number, write_completion) = (attempt.number, attempt.write_completion.clone());
    target.attempt_sender()?.try_send(Box::new(attempt)).ok()?;
    Some(InFlightAttempt { number, node: target.endpoint.id.clone(), sent_at: now, write_completion })
}

fn send_observation(request: RequestId, target: &Node, units: u32, sent: bool) -> Observation<'_> {
    let node = &target.endpoint.id;
    if sent {
        let in_slow_start = matches!(target.reported_treatment, Some(NodeTreatment::SlowStart(_)));
        let slow_start_units = if in_slow_start { units } else { 0 };
        Observation::AttemptSent { request, node, slow_start_units }
    } else {
        Observation::AttemptNotSent { request, node }
    }
}

/// Builds the outcome of an attempt for the policy. The load fields are `None`, because the nodes that this
/// core drives report no load.
fn attempt_outcome(
    key: AttemptKey,
    end: AttemptEnd,
    request_closed: bool,
    latency: Micros,
) -> AttemptOutcome {
    AttemptOutcome {
        request: key.request,
        attempt: key.number,
        node: key.node,
        end,
        request_closed,
        latency,
        volume_usage_percent: None,
        served_elsewhere: None,
        utilization: None,
    }
}

/// Moves the guard of the client's request id into a streamed reply, so that the id stays reserved until
/// the reply has been streamed.
fn keep_id_while_streaming(reply: NodeReply, open_request: &mut OpenRequest) -> NodeReply {
    match reply {
        NodeReply::Streamed(reply) => {
            let id_guard = open_request.id_guard.take().map(|guard| guard.start_streaming());
            NodeReply::Streamed(StreamedReply { _id_guard: id_guard, ..reply })
        }
        NodeReply::Buffered(body) => NodeReply::Buffered(body),
    }
}
