//! A request and its progress: timing, quota tier, state and attempts.

use crate::api::{Micros, NodeId, Request, RequestId};
use crate::volume::QuotaTier;

/// The state of a request, by the event that it waits for.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum RequestState {
    /// Waiting for its turn among the requests with the same key.
    WaitingForKey,
    /// Waiting for capacity at this node, or at any node if it is `None`.
    Queued(Option<NodeId>),
    /// Waiting for the end of an attempt.
    InFlight,
    /// Finished: the request has its final answer or needs none. Attempts may still be in flight.
    Answered,
}

/// The due time and the deadline of a request.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) struct RequestTiming {
    /// Time by which the request should be answered. Queues are ordered by this time.
    pub(crate) due: Micros,
    /// Time at which the client stops waiting.
    pub(crate) deadline: Micros,
    /// Whether it arrived too late to meet its latency objective.
    pub(crate) is_late: bool,
}

/// An attempt in flight.
#[derive(Clone, Copy, Debug)]
pub(crate) struct RequestAttempt {
    /// Number of the attempt, from 0.
    pub(crate) number: u32,
    pub(crate) node: NodeId,
    pub(crate) sent_at: Micros,
}

/// The first attempt that may have been executed without an answer that confirms it.
#[derive(Clone, Copy, Debug)]
pub(crate) struct PossibleExecution {
    pub(crate) node: NodeId,
    pub(crate) sent_at: Micros,
}

/// A request and its progress in this scheduler.
#[derive(Clone, Debug)]
pub(crate) struct TrackedRequest {
    pub(crate) request: Request,
    pub(crate) timing: RequestTiming,
    pub(crate) quota_tier: QuotaTier,
    /// Priority from 0 to 1, relative to the highest that a request can have.
    pub(crate) priority: f64,
    pub(crate) state: RequestState,
    pub(crate) attempts_sent: u32,
    pub(crate) in_flight: Vec<RequestAttempt>,
    pub(crate) possible_execution: Option<PossibleExecution>,
    /// A random number between 0 and 1, drawn once per request. It makes schedulers with similar requests
    /// decide differently.
    pub(crate) admission_draw: f64,
}

impl TrackedRequest {
    pub(crate) fn new(
        request: Request,
        timing: RequestTiming,
        quota_tier: QuotaTier,
        priority: f64,
        admission_draw: f64,
    ) -> Self {
        Self {
            request,
            timing,
            quota_tier,
            priority,
            state: RequestState::Queued(None),
            attempts_sent: 0,
            in_flight: Vec::new(),
            possible_execution: None,
            admission_draw,
        }
    }

    pub(crate) fn id(&self) -> RequestId {
        self.request.id
    }

    /// Returns the request's size in units.
    pub(crate) fn units(&self) -> f64 {
        f64::from(self.request.units)
    }

    /// Returns whether the request's next attempt is a retry.
    pub(crate) fn is_retry(&self) -> bool {
        self.attempts_sent > 0
    }

    /// Returns whether any node may serve the request: it stores a new object, and no node may have stored it
    /// already.
    pub(crate) fn is_unbound(&self) -> bool {
        self.request.shard.is_none() && self.possible_execution.is_none()
    }

    /// Returns whether a node has, or may have, received the request without rejecting it.
    pub(crate) fn may_have_reached_node(&self) -> bool {
        self.possible_execution.is_some() || !self.in_flight.is_empty()
    }
}
