//! What a hollow fleet is made of, and how much of it is played.

use heathward_policy::{Micros, Settings};

use crate::deployments::{self, node_of};
use crate::lists::ListWay;
use crate::node::NodeSettings;

/// The part of a fleet that is played: all pairs of a scheduler and a node do not fit into one machine.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Slice {
    /// All of it.
    Whole,
    /// All schedulers before one node in so many; each scheduler gets that share of its requests, lists the
    /// nodes of the slice alone and knows the whole number of schedulers.
    ///
    /// What stays: the number of schedulers that share a node and their own numbers, and the load of each on
    /// it; a volume's whole demand, as there are fewer volumes and not thinner ones; in the mean the ratio of
    /// nodes listed to nodes asked within a window, as both shrink alike. What does not: sums over a
    /// scheduler's nodes (the pool of its cold nodes' parts, the least number of nodes that parts are
    /// reckoned by) weigh more in a small slice, and means over its answers are noisier. So it stands for
    /// the whole with a law that decides for each node by itself; two sizes of slice have to agree.
    Nodes {
        /// One in so many.
        one_in: u32,
    },
    /// One scheduler in so many before all nodes, each with all of its requests. So many listed nodes are
    /// one hollow node: its load comes from as many pairs as at the whole size, each scheduler standing for
    /// another at each of these nodes.
    ///
    /// What stays: all that one scheduler decides by all of its nodes, its rate, and its volumes. What does
    /// not: whatever ties the schedulers of one node together by their numbers, as one number stands for
    /// several. There are fewer hollow nodes, so the worst of them is the worst of fewer.
    Schedulers {
        /// One in so many.
        one_in: u32,
    },
}

impl Slice {
    /// How many schedulers are played.
    pub fn schedulers(self, schedulers: u32) -> u32 {
        match self {
            Self::Schedulers { one_in } => (schedulers / one_in.max(1)).max(1),
            _ => schedulers,
        }
    }

    /// How many hollow nodes are played.
    pub fn hollow_nodes(self, nodes: u32) -> u32 {
        match self {
            Self::Whole => nodes,
            Self::Nodes { one_in } | Self::Schedulers { one_in } => (nodes / one_in.max(1)).max(1),
        }
    }

    /// How many listed nodes one hollow node stands for.
    pub fn fold(self) -> u32 {
        match self {
            Self::Schedulers { one_in } => one_in.max(1),
            _ => 1,
        }
    }
}

/// How requests come to schedulers.
#[derive(Clone, Copy, Debug, PartialEq)]
pub enum Rates {
    /// The same rate at each.
    Even,
    /// Each scheduler's rate is drawn, with the logarithm even between one over this and this; the mean
    /// stays.
    Uneven(f64),
}

/// A hollow fleet.
#[derive(Clone, Debug, PartialEq)]
pub struct FleetSettings {
    /// Schedulers of the whole fleet.
    pub schedulers: u32,
    /// Storage nodes of the whole fleet.
    pub nodes: u32,
    /// The part that is played.
    pub slice: Slice,
    /// What each module is told; `hosts` and `host` are set for each scheduler.
    pub settings: Settings,
    /// Number of schedulers that the settings name, over the true one.
    pub hosts_factor: f64,
    /// All schedulers are told that their number is 0, where each should have its own: a planted fault.
    pub same_host: bool,
    /// Requests a second through one scheduler of the whole fleet.
    pub rate_per_scheduler: f64,
    /// How these differ.
    pub rates: Rates,
    /// Relative frequency of each class; missing ones do not come.
    pub class_mix: Vec<f64>,
    /// Share of requests that any node may serve.
    pub free_share: f64,
    /// Units a second that a volume asks for, over its plan's usual rate.
    pub volume_load: f64,
    /// A storage node.
    pub node: NodeSettings,
    /// Zones that the nodes lie in, in turn.
    pub zones: u32,
    /// Time of a request or an answer on its way, at least and at most.
    pub travel: (Micros, Micros),
    /// How the list is followed.
    pub lists: ListWay,
    /// A list must not be used once it is too old.
    pub drain_rule: bool,
    /// When everything starts.
    pub begin: Micros,
    /// All nodes start cold at the beginning, and the list says so.
    pub all_cold: bool,
}

impl FleetSettings {
    /// A fleet before nodes that are as the settings say, at 0.8 of their warm ability.
    pub fn new(schedulers: u32, nodes: u32, slice: Slice, settings: Settings) -> Self {
        let node = node_of(&settings);
        let requests = node.ability / settings.mean_units / deployments::HEADROOM;
        Self {
            schedulers,
            nodes,
            slice,
            rate_per_scheduler: requests * f64::from(nodes) / f64::from(schedulers),
            settings,
            hosts_factor: 1.0,
            same_host: false,
            rates: Rates::Even,
            class_mix: vec![9.0, 1.0],
            free_share: 0.0,
            volume_load: 0.5,
            node,
            zones: 10,
            travel: (150, 1_500),
            lists: ListWay::Agents { delay: 5_000..=1_000_000 },
            drain_rule: true,
            begin: 100_000_000,
            all_cold: false,
        }
    }
}
