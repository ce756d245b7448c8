//! Converts the core's observations to the types of the event log.

use heathward_core::observe::{self, NodeTreatment, TreatmentCause};
use heathward_core::Endpoint;
use heathward_event_log as event_log;
use heathward_event_log::{FailureReason, ListedEndpoint, ShedReason, StateChangeCause};
use heathward_policy::{AttemptEnd, EndpointUpdateKind, NodeState};

/// Converts a node of an endpoint update.
pub fn listed_endpoint(endpoint: &Endpoint) -> ListedEndpoint {
    ListedEndpoint {
        node: endpoint.id.to_string(),
        shard: endpoint.shard.0,
        state: listed_state(endpoint.state),
        started_at: endpoint.started_at,
    }
}

fn listed_state(state: NodeState) -> event_log::NodeState {
    match state {
        NodeState::Ready => event_log::NodeState::InService,
        NodeState::Draining => event_log::NodeState::Draining,
        NodeState::Removed => event_log::NodeState::Removed,
    }
}

/// Converts the kind of an endpoint update.
pub fn endpoint_update_kind(kind: EndpointUpdateKind) -> event_log::EndpointUpdateKind {
    match kind {
        EndpointUpdateKind::Changes => event_log::EndpointUpdateKind::Changes,
        EndpointUpdateKind::Snapshot => event_log::EndpointUpdateKind::Snapshot,
        EndpointUpdateKind::Cached => event_log::EndpointUpdateKind::Cached,
        EndpointUpdateKind::Failed => event_log::EndpointUpdateKind::Failed,
    }
}

/// Converts the treatment of a node to its state in the event log.
pub fn node_state(treatment: NodeTreatment) -> event_log::NodeState {
    match treatment {
        NodeTreatment::InService => event_log::NodeState::InService,
        NodeTreatment::SlowStart(since) => event_log::NodeState::SlowStart(since),
        NodeTreatment::Unresponsive => event_log::NodeState::Unresponsive,
        NodeTreatment::Suspended => event_log::NodeState::Suspended,
        NodeTreatment::Draining => event_log::NodeState::Draining,
        NodeTreatment::Removed => event_log::NodeState::Removed,
    }
}

/// Converts the cause of a change of a node's treatment.
pub fn state_change_cause(cause: TreatmentCause) -> StateChangeCause {
    match cause {
        TreatmentCause::EndpointUpdate(revision) => StateChangeCause::EndpointUpdate(revision),
        TreatmentCause::Command => StateChangeCause::OperatorCommand,
        TreatmentCause::Handover => StateChangeCause::Handover,
        TreatmentCause::AttemptEnded(end) => StateChangeCause::AttemptEnded(attempt_end(end)),
        TreatmentCause::TimePassed => StateChangeCause::TimePassed,
    }
}

/// Converts the end of an attempt.
pub fn attempt_end(end: AttemptEnd) -> event_log::AttemptEnd {
    match end {
        AttemptEnd::Served => event_log::AttemptEnd::Served,
        AttemptEnd::Error => event_log::AttemptEnd::Error,
        AttemptEnd::Rejected => event_log::AttemptEnd::Rejected,
        AttemptEnd::TimedOut => event_log::AttemptEnd::TimedOut,
        AttemptEnd::NotConnected => event_log::AttemptEnd::NotConnected,
        AttemptEnd::Reset => event_log::AttemptEnd::Reset,
        AttemptEnd::Cancelled => event_log::AttemptEnd::Cancelled,
        AttemptEnd::NotSent => event_log::AttemptEnd::NotSent,
    }
}

/// Converts the outcome of a request.
pub fn request_outcome(outcome: observe::RequestOutcome) -> event_log::RequestOutcome {
    use event_log::RequestOutcome::{ClientDisconnected, Failed, Served, Shed};
    match outcome {
        observe::RequestOutcome::Served => Served,
        observe::RequestOutcome::Shed { last_attempt_end, on_arrival } => {
            Shed(shed_reason(last_attempt_end, on_arrival))
        }
        observe::RequestOutcome::Failed { possibly_executed, deadline_passed } => {
            Failed(failure_reason(possibly_executed, deadline_passed))
        }
        observe::RequestOutcome::ClientDisconnected => ClientDisconnected,
    }
}

fn shed_reason(last_attempt_end: Option<AttemptEnd>, on_arrival: bool) -> ShedReason {
    match last_attempt_end {
        None if on_arrival => ShedReason::NotAdmitted,
        None => ShedReason::ShedFromQueue,
        Some(AttemptEnd::Rejected) => ShedReason::RejectedByNode,
        Some(AttemptEnd::NotConnected) => ShedReason::NotConnected,
        Some(_) => ShedReason::AttemptLost,
    }
}

fn failure_reason(possibly_executed: bool, deadline_passed: bool) -> FailureReason {
    match (possibly_executed, deadline_passed) {
        (false, true) => FailureReason::DeadlinePassed,
        (true, true) => FailureReason::DeadlinePassedPossiblyExecuted,
        (true, false) => FailureReason::PossiblyExecuted,
        (false, false) => FailureReason::Other,
    }
}
