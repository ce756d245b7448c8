//! What the core reports to an observer, which keeps a record of events.

use std::time::Duration;

use heathward_policy::settings::Deployment;
use heathward_policy::{
    AttemptEnd, ClassId, EndpointUpdateKind, Micros, NodeState, NodeStatus, PlanId, RequestId, VolumeId,
};
use tokio::time::Instant;

use crate::endpoint::Endpoint;

/// Keeps a record of events. It is called on the core's task, so it must not block.
pub trait Observer: Send {
    /// Something happened at `at`.
    fn observe(&mut self, at: Instant, observation: Observation<'_>);

    /// The settings that apply from now on; called first, and again whenever they change.
    fn settings_changed(&mut self, deployment: &Deployment);
}

/// Something that happened.
#[derive(Clone, Debug)]
pub enum Observation<'a> {
    /// An endpoint update arrived.
    EndpointsUpdated {
        /// Revision of the list.
        revision: u64,
        /// What `endpoints` are.
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
        /// Its class.
        class: ClassId,
        /// Its plan.
        plan: PlanId,
        /// Its volume.
        volume: VolumeId,
        /// Its size, in the units that quotas and node capacities count.
        units: u32,
    },
    /// An attempt was handed to the connections of a node.
    AttemptSent {
        /// The request.
        request: RequestId,
        /// Id of the node.
        node: &'a str,
        /// Units that count against the limit of a node in slow start; 0 for other nodes.
        slow_start_units: u32,
    },
    /// An attempt could not be handed to the connections of a node. It has no other end.
    AttemptNotSent {
        /// The request.
        request: RequestId,
        /// Id of the node.
        node: &'a str,
    },
    /// An attempt that was handed to the connections of a node has ended; reported once for each, also after
    /// its request has ended. With [`AttemptEnd::NotSent`] it was not written completely.
    AttemptEnded {
        /// The request.
        request: RequestId,
        /// Id of the node.
        node: &'a str,
        /// How it ended.
        end: AttemptEnd,
    },
    /// A request got its final answer, or its client disconnected.
    RequestEnded {
        /// The request.
        request: RequestId,
        /// Its class.
        class: ClassId,
        /// How it ended.
        outcome: RequestOutcome,
        /// Time since the core received it, in microseconds.
        latency: Micros,
    },
    /// The configuration was read again.
    ConfigurationReloaded {
        /// It was applied; otherwise it was rejected.
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
        /// It is paused.
        paused: bool,
    },
    /// Time has passed; reported at regular intervals.
    TimePassed,
}

/// How a node is treated. If several apply, the last one in this order does.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub enum NodeTreatment {
    /// In service, after slow start.
    InService,
    /// In slow start, or presumed to be, since that time in microseconds of Unix time.
    SlowStart(Micros),
    /// It does not respond.
    Unresponsive,
    /// Suspended by an operator.
    Suspended,
    /// Draining according to the endpoint list.
    Draining,
    /// No longer in the endpoint list.
    Removed,
}

impl NodeTreatment {
    /// The treatment of a node with state `listed` in the endpoint list and `status` in the policy, at `now`
    /// in microseconds of Unix time. Slow start takes `slow_start_duration` microseconds.
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
    /// An attempt that ended like this.
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
        /// It was shed as soon as it was received, without having been queued.
        on_arrival: bool,
    },
    /// It failed.
    Failed {
        /// An attempt may have been executed.
        possibly_executed: bool,
        /// Its deadline had passed.
        deadline_passed: bool,
    },
    /// Its client disconnected.
    ClientDisconnected,
}
