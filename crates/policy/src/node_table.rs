//! All nodes that this host knows of, with the indexes over them, so that no event walks them all.

use std::collections::{BTreeMap, BTreeSet};
use std::ops::Deref;

use crate::api::{EndpointEntry, Micros, NodeId, NodeState, RequestId};
use crate::node_ranking::{HealthTier, NodeRanking, Rank};
use crate::shard_index::ShardIndex;
use crate::slow_start::NodeDemand;
use crate::state::Node;

/// Nodes by id; read as a map, changed through its methods.
#[derive(Clone, Debug, Default)]
pub(crate) struct NodeTable {
    records: BTreeMap<NodeId, Node>,
    /// Which node in service holds a shard.
    pub(crate) shards: ShardIndex,
    /// Nodes not in service.
    out_of_service: BTreeSet<NodeId>,
    /// Nodes asked for within the life of a token of slow start.
    demand: NodeDemand,
    /// Nodes in service by score.
    pub(crate) ranking: NodeRanking,
}

impl Deref for NodeTable {
    type Target = BTreeMap<NodeId, Node>;

    fn deref(&self) -> &Self::Target {
        &self.records
    }
}

impl NodeTable {
    pub(crate) fn get_mut(&mut self, id: &NodeId) -> Option<&mut Node> {
        self.records.get_mut(id)
    }

    /// Takes every node out of service, before a whole list; says which were in service.
    pub(crate) fn take_all_out_of_service(&mut self) -> Vec<NodeId> {
        let mut unlisted = Vec::new();
        for (&id, node) in self.records.iter_mut().filter(|(_, node)| node.ready) {
            node.ready = false;
            self.shards.remove(node.shard, id);
            self.out_of_service.insert(id);
            unlisted.push(id);
        }
        unlisted
    }

    /// Takes over where a node stands in the list; `fresh` makes the record of a new one.
    pub(crate) fn update_entry(&mut self, entry: &EndpointEntry, fresh: impl FnOnce() -> Node) -> &mut Node {
        let node = self.records.entry(entry.node).or_insert_with(fresh);
        if node.ready {
            self.shards.remove(node.shard, entry.node);
        }
        node.ready = entry.state == NodeState::Ready;
        (node.shard, node.zone) = (entry.shard, entry.zone);
        if node.ready {
            self.shards.insert(entry.shard, entry.node);
            self.out_of_service.remove(&entry.node);
        } else {
            self.out_of_service.insert(entry.node);
        }
        node
    }

    /// Requests that are held for such of these nodes as are not in service.
    pub(crate) fn queued_on_unavailable(&self, among: &BTreeSet<NodeId>) -> Vec<RequestId> {
        let left = among.iter().filter_map(|id| self.records.get(id)).filter(|node| !node.ready);
        left.flat_map(|node| node.queued.iter().map(|(_, id)| *id)).collect()
    }

    /// Forgets nodes out of service that have nothing open and were not heard of after `old`.
    pub(crate) fn forget_unused(&mut self, old: Micros) {
        let unused =
            |node: &Node| node.last_response <= old && node.in_flight.is_empty() && node.queued.is_empty();
        self.out_of_service.retain(|id| {
            let gone = self.records.get(id).is_none_or(unused);
            if gone {
                self.records.remove(id);
            }
            !gone
        });
    }

    /// A request asks for the node now. Returns the chance that a node is asked for within `life`.
    pub(crate) fn note_demand(&mut self, now: Micros, id: NodeId, life: Micros) -> f64 {
        self.demand.record(now, id, self.shards.len(), life)
    }

    /// Brings the indexes up to date with a node's record; `life` says how long news of it lives.
    pub(crate) fn index(&mut self, now: Micros, id: NodeId, shunned: bool, cold: bool, life: f64) {
        let Some(node) = self.records.get(&id) else { return };
        if !node.ready {
            return self.ranking.remove(id);
        }
        let rank = Rank {
            tier: HealthTier::of(shunned, cold),
            delay: node.delay,
            delay_updated_at: (node.delay_updated_at > 0).then_some(node.delay_updated_at),
            delay_lifetime: life,
            lasting_units: node.lasting_open_units(),
        };
        self.ranking.set(now, id, &rank);
    }
}
