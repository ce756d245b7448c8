//! The events that the caller passes to the policy.

use super::ids::{ClassId, KeyId, Micros, NodeId, PlanId, RequestId, ShardId, VolumeId};

/// State of a node in the endpoint list.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum NodeState {
    /// In service: it accepts requests.
    Ready,
    /// Draining: it completes its requests in flight and accepts no new ones.
    Draining,
    /// Removed from the list.
    Removed,
}

/// One node in the endpoint list.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct EndpointEntry {
    /// The node.
    pub node: NodeId,
    /// The shard that the node holds.
    pub shard: ShardId,
    /// The node's zone.
    pub zone: u32,
    /// The node's state.
    pub state: NodeState,
    /// Time at which its process last started, if it is known and recent.
    pub started_at: Option<Micros>,
}

/// The kind of an endpoint update.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum EndpointUpdateKind {
    /// Only the entries that changed; also the answer to a subscription, which may be empty.
    Changes,
    /// The complete list, which replaces the previous one.
    Snapshot,
    /// The complete list from the scheduler's cache, which may be out of date.
    Cached,
    /// A poll failed or a subscription broke. There are no entries; the previous list stays in use.
    Failed,
}

/// A request that this scheduler has received.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Request {
    /// The request's id.
    pub id: RequestId,
    /// The request's class.
    pub class: ClassId,
    /// The plan of the request's volume.
    pub plan: PlanId,
    /// The volume.
    pub volume: VolumeId,
    /// Cost of the request in units.
    pub units: u32,
    /// Time for which the client still waits for an answer.
    pub time_budget: Micros,
    /// The shard that holds the data; `None` for a new object, which any node may store.
    pub shard: Option<ShardId>,
    /// Key of the data item, if the request names one.
    pub key: Option<KeyId>,
    /// Number of schedulers that receive the volume's requests.
    pub schedulers: u32,
    /// Whether the client has marked the request as a retry.
    pub is_client_retry: bool,
    /// Whether the body is streamed to the node while it arrives: the node has no work before the end of the
    /// body.
    pub is_streaming: bool,
}

/// The result of an attempt.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum AttemptEnd {
    /// The node served it.
    Served,
    /// The node answered with an error; the request may have been executed.
    Error,
    /// The node rejected it because its queue was full; the request was not executed.
    Rejected,
    /// No answer arrived in time; the request may have been, or may yet be, executed.
    TimedOut,
    /// No connection could be opened; the request was not executed.
    NotConnected,
    /// The connection broke during the attempt; the request may have been executed.
    Reset,
    /// The attempt was cancelled; the request may have been executed.
    Cancelled,
    /// The attempt never left the scheduler.
    NotSent,
}

impl AttemptEnd {
    /// Returns whether the node may have executed the request without confirming it.
    pub(crate) fn is_possibly_executed(self) -> bool {
        self == Self::Error || self.is_unknown()
    }

    /// Returns whether the node gave no answer, so that it may still be executing the request.
    pub(crate) fn is_unknown(self) -> bool {
        matches!(self, Self::TimedOut | Self::Reset | Self::Cancelled)
    }
}

/// The end of an attempt.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct AttemptOutcome {
    /// The request.
    pub request: RequestId,
    /// The number of the attempt, from 0.
    pub attempt: u32,
    /// The node.
    pub node: NodeId,
    /// Result of the attempt.
    pub end: AttemptEnd,
    /// Whether the client has its answer or has disconnected, so that the request needs no further action. A
    /// served attempt always closes its request.
    pub request_closed: bool,
    /// Time between the start and the end of the attempt.
    pub latency: Micros,
    /// Units that all nodes served the volume in a past usage period, in percent of its plan's usual rate.
    pub volume_usage_percent: Option<u32>,
    /// Units that this node served the volume through other schedulers since its last answer to this one. No
    /// decision uses it.
    pub served_elsewhere: Option<u32>,
    /// CPU utilization of the node, from 0 to 1, if the node reports it. No decision uses it.
    pub utilization: Option<f64>,
}

/// An event that the policy reacts to.
#[derive(Clone, Debug, PartialEq)]
pub enum Event {
    /// The endpoint list changed, or an attempt to update it failed.
    EndpointUpdate {
        /// Kind of the update.
        kind: EndpointUpdateKind,
        /// The entries.
        entries: Vec<EndpointEntry>,
    },
    /// A request was received.
    RequestArrived(Request),
    /// An attempt ended.
    AttemptEnded(AttemptOutcome),
    /// A streamed answer has begun: the request stays with this attempt and no longer has a deadline.
    StreamStarted {
        /// The request.
        request: RequestId,
    },
    /// The client has disconnected and needs no answer.
    ClientDisconnected {
        /// The request.
        request: RequestId,
    },
    /// A timer set by [`crate::Action::SetTimer`] has fired.
    TimerFired {
        /// The token of that action.
        token: u64,
    },
}
