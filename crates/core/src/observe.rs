//! What the core tells whoever keeps records of it.

use std::time::Duration;

use heathward_policy::settings::Deployment;
use heathward_policy::{
    AttemptEnd, ClassId, EndpointUpdateKind, Micros, NodeState, NodeStatus, PlanId, RequestId, VolumeId,
};
use tokio::time::Instant;

use crate::request::Endpoint;

/// Keeps records. Called on the core's thread, so it must not wait.
pub trait Observer: Send {
    /// Something has happened.
    fn observe(&mut self, at: Instant, note: Observation<'_>);

    /// These settings hold from now on; told at first, and when others do.
    fn settings_changed(&mut self, deployment: &Deployment);
}

/// What has happened.
#[derive(Clone, Debug)]
pub enum Observation<'a> {
    /// The list said this.
    EndpointsUpdated {
        /// Its version.
        revision: u64,
        /// What it holds.
        kind: EndpointUpdateKind,
        /// The nodes it names.
        endpoints: &'a [Endpoint],
    },
    /// A node is treated so from now on.
    NodeTreatmentChanged {
        /// Its id.
        node: &'a str,
        /// How.
        treatment: NodeTreatment,
        /// Why.
        cause: TreatmentCause,
    },
    /// A request was taken.
    RequestReceived {
        /// The request.
        request: RequestId,
        /// Its class.
        class: ClassId,
        /// Its plan.
        plan: PlanId,
        /// Its volume.
        volume: VolumeId,
        /// Its size.
        units: u32,
    },
    /// An attempt was given to a node's connections.
    AttemptSent {
        /// The request.
        request: RequestId,
        /// The node's id.
        node: &'a str,
        /// Units that count against the rule on cold nodes.
        slow_start_units: u32,
    },
    /// An attempt has ended; also one that was never sent.
    AttemptEnded {
        /// The request.
        request: RequestId,
        /// The node's id.
        node: &'a str,
        /// How.
        end: AttemptEnd,
    },
    /// A request has got its one answer, or its client has left.
    RequestEnded {
        /// The request.
        request: RequestId,
        /// Its class.
        class: ClassId,
        /// How.
        outcome: RequestOutcome,
        /// How long it took, from its arrival at the core.
        latency: Micros,
    },
    /// Settings were read again: gone by, or not.
    ConfigurationReloaded(bool),
    /// The end was asked for.
    ShuttingDown,
    /// A process that takes over was given the state.
    HandedOver,
    /// This process goes on from another's state.
    TookOver,
    /// Nothing is sent by the list from now on, as discovery was silent for so long; or `None`, it is again.
    LeaseChanged(Option<Duration>),
    /// Staff send clients away, or take them again.
    PauseChanged(bool),
    /// Time has passed.
    TimePassed,
}

/// How a node is treated; of several that apply, the last here counts.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub enum NodeTreatment {
    /// In service and warm.
    InService,
    /// Cold or maybe cold since then.
    SlowStart(Micros),
    /// Down or silent.
    Unresponsive,
    /// Taken out by hand.
    Suspended,
    /// Drains by the list.
    Draining,
    /// No longer listed.
    Removed,
}

impl NodeTreatment {
    /// How a node is treated that is listed so and stands so with the module; it is warm `cold_time` after
    /// it started.
    pub fn from_state(
        listed: NodeState,
        by_hand: bool,
        standing: Option<NodeStatus>,
        now: Micros,
        cold_time: impl FnOnce() -> Micros,
    ) -> Self {
        let cold = |standing: NodeStatus| {
            let since = standing.slow_start_since?;
            (now.saturating_sub(since) < cold_time()).then_some(since)
        };
        match (listed, standing) {
            (NodeState::Removed, _) | (_, None) => Self::Removed,
            (NodeState::Draining, _) => Self::Draining,
            (NodeState::Ready, _) if by_hand => Self::Suspended,
            (NodeState::Ready, Some(standing)) if standing.unresponsive_since.is_some() => Self::Unresponsive,
            (NodeState::Ready, Some(standing)) => cold(standing).map_or(Self::InService, Self::SlowStart),
        }
    }
}

/// Why a node is treated otherwise.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum TreatmentCause {
    /// The list, in this version.
    EndpointUpdate(u64),
    /// A command of staff.
    Command,
    /// The state of the process before.
    Handover,
    /// An attempt ended so.
    AttemptEnded(AttemptEnd),
    /// Time passed.
    TimePassed,
}

/// How a request ended.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum RequestOutcome {
    /// Served.
    Served,
    /// Refused, after attempts of which the last ended so.
    Shed {
        /// None was sent.
        last_attempt_end: Option<AttemptEnd>,
        /// It was not held at all.
        on_arrival: bool,
    },
    /// Failed.
    Failed {
        /// It may have run.
        possibly_executed: bool,
        /// Its time had passed.
        deadline_passed: bool,
    },
    /// Its client left.
    ClientDisconnected,
}
