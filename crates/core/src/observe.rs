//! What the core tells whoever keeps records of it.

use std::time::Duration;

use heathward_policy::settings::Deployment;
use heathward_policy::{ClassId, End, ListKind, Micros, NodeState, PlanId, RequestId, Standing, VolumeId};
use tokio::time::Instant;

use crate::call::Member;

/// Keeps records. Called on the core's thread, so it must not wait.
pub trait Observer: Send {
    /// Something has happened.
    fn note(&mut self, at: Instant, note: Note<'_>);

    /// These settings hold from now on; told at first, and when others do.
    fn settings(&mut self, deployment: &Deployment);
}

/// What has happened.
#[derive(Clone, Debug)]
pub enum Note<'a> {
    /// The list said this.
    Listed {
        /// Its version.
        revision: u64,
        /// What it holds.
        kind: ListKind,
        /// The nodes it names.
        members: &'a [Member],
    },
    /// A node is treated so from now on.
    Node {
        /// Its id.
        node: &'a str,
        /// How.
        treated: Treated,
        /// Why.
        why: Why,
    },
    /// A request was taken.
    Taken {
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
    Sent {
        /// The request.
        request: RequestId,
        /// The node's id.
        node: &'a str,
        /// Units that count against the rule on cold nodes.
        cold_units: u32,
    },
    /// An attempt has ended; also one that was never sent.
    Ended {
        /// The request.
        request: RequestId,
        /// The node's id.
        node: &'a str,
        /// How.
        end: End,
    },
    /// A request has got its one answer, or its client has left.
    Answered {
        /// The request.
        request: RequestId,
        /// Its class.
        class: ClassId,
        /// How.
        outcome: Outcome,
        /// How long it took, from its arrival at the core.
        took: Micros,
    },
    /// Settings were read again: gone by, or not.
    Reloaded(bool),
    /// The end was asked for.
    Ending,
    /// A process that takes over was given the state.
    HandedOver,
    /// This process goes on from another's state.
    TookOver,
    /// Nothing is sent by the list from now on, as discovery was silent for so long; or `None`, it is again.
    Stale(Option<Duration>),
    /// Staff send clients away, or take them again.
    Paused(bool),
    /// Time has passed.
    Tick,
}

/// How a node is treated; of several that apply, the last here counts.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub enum Treated {
    /// In service and warm.
    InService,
    /// Cold or maybe cold since then.
    Cold(Micros),
    /// Down or silent.
    Silent,
    /// Taken out by hand.
    Suspended,
    /// Drains by the list.
    Draining,
    /// No longer listed.
    Gone,
}

impl Treated {
    /// How a node is treated that is listed so and stands so with the module; it is warm `cold_time` after
    /// it started.
    pub fn of(
        listed: NodeState,
        by_hand: bool,
        standing: Option<Standing>,
        now: Micros,
        cold_time: impl FnOnce() -> Micros,
    ) -> Self {
        let cold = |standing: Standing| {
            let since = standing.cold_since?;
            (now.saturating_sub(since) < cold_time()).then_some(since)
        };
        match (listed, standing) {
            (NodeState::Gone, _) | (_, None) => Self::Gone,
            (NodeState::Draining, _) => Self::Draining,
            (NodeState::Ready, _) if by_hand => Self::Suspended,
            (NodeState::Ready, Some(standing)) if standing.silent_since.is_some() => Self::Silent,
            (NodeState::Ready, Some(standing)) => cold(standing).map_or(Self::InService, Self::Cold),
        }
    }
}

/// Why a node is treated otherwise.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Why {
    /// The list, in this version.
    List(u64),
    /// A command of staff.
    Command,
    /// The state of the process before.
    Handover,
    /// An attempt ended so.
    Attempt(End),
    /// Time passed.
    Time,
}

/// How a request ended.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Outcome {
    /// Served.
    Served,
    /// Refused, after attempts of which the last ended so.
    Refused {
        /// None was sent.
        last: Option<End>,
        /// It was not held at all.
        at_once: bool,
    },
    /// Failed.
    Failed {
        /// It may have run.
        ran: bool,
        /// Its time had passed.
        late: bool,
    },
    /// Its client left.
    Gone,
}
