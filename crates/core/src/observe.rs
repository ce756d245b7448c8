//! The events that the core reports to an observer, which records them.

use std::time::Duration;

use heathward_policy::settings::Deployment;
use heathward_policy::{
    AttemptEnd, ClassId, EndpointUpdateKind, Micros, NodeState, NodeStatus, PlanId, RequestId, VolumeId,
};
use tokio::time::Instant;

use crate::endpoint::Endpoint;

/// Records events. It is called on the core's task, so it must not block.
pub trait Observer: Send {
    /// Handles an event that happened at `at`.
    fn observe(&mut self, at: Instant, observation: Observation<'_>);

    /// Handles the settings that apply from now on; called before any event, and again whenever the
    /// settings change.
    fn settings_changed(&mut self, deployment: &Deployment);
}

/// An event that the core reports.
#[derive(Clone, Debug)]
pub enum Observation<'a> {
    /// An endpoint update arrived.
    EndpointsUpdated {
        /// Revision of the list.
        revision: u64,
        /// Whether `endpoints` is a complete list or only changes.
        kind: EndpointUpdateKind,
        /// The nodes that the update names.
        endpoints: &'a [Endpoint],
    },
    /// A node is treated differently from now on.
    NodeTreatmentChanged {
        /// Id of the node.
        node: &'a str,
        /// The new treatment.
        treatment: NodeTreatment,
        /// What caused the change.
        cause: TreatmentCause,
    },
    /// A request was received.
    RequestReceived {
        /// The request.
        request: RequestId,
        /// Class of the request.
        class: ClassId,
        /// Plan of the volume.
        plan: PlanId,
        /// Volume that the request belongs to.
        volume: VolumeId,
        /// Size of the request, in the units that quotas and node capacities count.
        units: u32,
    },
    /// An attempt was passed to the connections of a node.
    AttemptSent {
        /// The request.
        request: RequestId,
        /// Id of the node.
        node: &'a str,
        /// Units that count against the limit of a node in slow start; 0 for other nodes.
        slow_start_units: u32,
    },
    /// An attempt could not be passed to the connections of a node. No [`Observation::AttemptEnded`]
    /// follows for it.
    AttemptNotSent {
        /// The request.
        request: RequestId,
        /// Id of the node.
        node: &'a str,
    },
    /// An attempt that was passed to the connections of a node has ended; reported once for each such
    /// attempt, also after its request has ended. With [`AttemptEnd::NotSent`] it was not written
    /// completely.
    AttemptEnded {
        /// The request.
        request: RequestId,
        /// Id of the node.
        node: &'a str,
        /// How the attempt ended.
        end: AttemptEnd,
    },
    /// A request got its final answer, or its client disconnected.
    RequestEnded {
        /// The request.
        request: RequestId,
        /// Class of the request.
        class: ClassId,
        /// How the request ended.
        outcome: RequestOutcome,
        /// Time since the core received it, in microseconds.
        latency: Micros,
    },
    /// The configuration was reloaded.
    ConfigurationReloaded {
        /// Whether it was applied; otherwise it was rejected.
        applied: bool,
    },
    /// The shutdown has begun.
    ShuttingDown,
    /// The state was handed over to a new process.
    HandedOver,
    /// This process continues from the state of another process.
    TookOver,
    /// The lease on the endpoint list has expired: nothing is sent to nodes from now on.
    LeaseExpired {
        /// Time since the last contact with discovery.
        silence: Duration,
    },
    /// The lease on the endpoint list is valid again.
    LeaseRenewed,
    /// An operator has paused the scheduler, or resumed it.
    PauseChanged {
        /// Whether it is paused now.
        paused: bool,
    },
    /// Time has passed; reported at regular intervals.
    TimePassed,
}

/// How the scheduler treats a node. If several variants apply, the last one in this order is reported.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub enum NodeTreatment {
    /// In service, after slow start.
    InService,
    /// In slow start, or presumed to be, since that time in microseconds of Unix time.
    SlowStart(Micros),
    /// Not responding.
    Unresponsive,
    /// Suspended by an operator.
    Suspended,
    /// Draining according to the endpoint list.
    Draining,
    /// No longer in the endpoint list.
    Removed,
}

impl NodeTreatment {
    /// Returns the treatment of a node with state `listed` in the endpoint list and `status` in the policy,
    /// at `now` in microseconds of Unix time. Slow start takes `slow_start_duration` microseconds.
    pub fn from_state(
        listed: NodeState,
        suspended: bool,
        status: Option<NodeStatus>,
        now: Micros,
        slow_start_duration: Micros,
    ) -> Self {
        let in_slow_start_since = |status: NodeStatus| {
            let since = status.slow_start_since?;
            (now.saturating_sub(since) < slow_start_duration).then_some(since)
        };
        match (listed, status) {
            (NodeState::Removed, _) | (_, None) => Self::Removed,
            (NodeState::Draining, _) => Self::Draining,
            (NodeState::Ready, _) if suspended => Self::Suspended,
            (NodeState::Ready, Some(status)) if status.unresponsive_since.is_some() => Self::Unresponsive,
            (NodeState::Ready, Some(status)) => {
                in_slow_start_since(status).map_or(Self::InService, Self::SlowStart)
            }
        }
    }
}

/// What caused a change of a node's treatment.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum TreatmentCause {
    /// The endpoint list with this revision.
    EndpointUpdate(u64),
    /// A command of an operator.
    Command,
    /// The state of the previous process.
    Handover,
    /// The end of an attempt, which ended this way.
    AttemptEnded(AttemptEnd),
    /// Only the passage of time.
    TimePassed,
}

/// How a request ended.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum RequestOutcome {
    /// A node served it.
    Served,
    /// It was shed.
    Shed {
        /// How its last attempt ended; `None` if none was sent.
        last_attempt_end: Option<AttemptEnd>,
        /// Whether it was shed as soon as it was received, without having been queued.
        on_arrival: bool,
    },
    /// It failed.
    Failed {
        /// Whether an attempt may have been executed.
        possibly_executed: bool,
        /// Whether its deadline had passed.
        deadline_passed: bool,
    },
    /// Its client disconnected.
    ClientDisconnected,
}
