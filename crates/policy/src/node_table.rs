//! The nodes known to this scheduler, with indexes over them, so that no event has to visit every node.

use std::collections::{BTreeMap, BTreeSet};

use crate::api::{EndpointEntry, Micros, NodeId, NodeState, RequestId, Settings};
use crate::node::Node;
use crate::node_ranking::NodeRanking;
use crate::shard_index::ShardIndex;
use crate::slow_start::NodeDemand;

/// Nodes by id.
#[derive(Clone, Debug, Default)]
pub(crate) struct NodeTable {
    /// Boxed, as half of the space in the map's own nodes may be unused.
    nodes: BTreeMap<NodeId, Box<Node>>,
    /// The node in service that holds each shard.
    pub(crate) shards: ShardIndex,
    out_of_service: BTreeSet<NodeId>,
    /// Estimate of the number of nodes that requests address.
    demand: NodeDemand,
    /// Ranking of the nodes in service by load.
    pub(crate) ranking: NodeRanking,
}

impl NodeTable {
    pub(crate) fn len(&self) -> usize {
        self.nodes.len()
    }

    #[cfg(test)]
    pub(crate) fn ids(&self) -> impl Iterator<Item = NodeId> + '_ {
        self.nodes.keys().copied()
    }

    pub(crate) fn get(&self, id: &NodeId) -> Option<&Node> {
        self.nodes.get(id).map(Box::as_ref)
    }

    pub(crate) fn get_mut(&mut self, id: &NodeId) -> Option<&mut Node> {
        self.nodes.get_mut(id).map(Box::as_mut)
    }

    /// Takes every node out of service, before a complete list is applied. Returns the nodes that were in
    /// service.
    pub(crate) fn take_all_out_of_service(&mut self) -> Vec<NodeId> {
        let mut taken_out = Vec::new();
        for (&id, node) in self.nodes.iter_mut().filter(|(_, node)| node.in_service) {
            node.in_service = false;
            self.shards.remove(node.shard, id);
            self.out_of_service.insert(id);
            taken_out.push(id);
        }
        taken_out
    }

    /// Applies an entry of the endpoint list, adding the node if it is not known yet.
    pub(crate) fn apply(&mut self, now: Micros, entry: &EndpointEntry, settings: &Settings) {
        let node = self.nodes.entry(entry.node).or_insert_with(|| Box::new(Node::new(now, entry, settings)));
        if node.in_service {
            self.shards.remove(node.shard, entry.node);
        }
        node.in_service = entry.state == NodeState::Ready;
        node.shard = entry.shard;
        node.zone = entry.zone;
        node.on_listed_start(now, entry, settings);
        if node.in_service {
            self.shards.insert(entry.shard, entry.node);
            self.out_of_service.remove(&entry.node);
        } else {
            self.out_of_service.insert(entry.node);
        }
    }

    /// Returns the requests queued for those of the given nodes that are out of service.
    pub(crate) fn queued_out_of_service(&self, among: &BTreeSet<NodeId>) -> Vec<RequestId> {
        let nodes = among.iter().filter_map(|id| self.nodes.get(id));
        nodes.filter(|node| !node.in_service).flat_map(|node| node.queue.requests()).collect()
    }

    /// Removes the nodes out of service that have no request in flight or queued and have not answered after
    /// `since`.
    pub(crate) fn remove_unused(&mut self, since: Micros) {
        self.out_of_service.retain(|id| {
            let is_unused = self.nodes.get(id).is_none_or(|node| node.is_unused_since(since));
            if is_unused {
                self.nodes.remove(id);
            }
            !is_unused
        });
    }

    /// Records a request for a node. Returns the probability that a given node is addressed within
    /// `lifetime`.
    pub(crate) fn record_demand(&mut self, now: Micros, id: NodeId, lifetime: Micros) -> f64 {
        self.demand.record(now, id, self.shards.len(), lifetime)
    }

    /// Updates a node's position in the ranking.
    pub(crate) fn update_rank(&mut self, now: Micros, id: NodeId, settings: &Settings) {
        let Some(node) = self.nodes.get(&id) else { return };
        if node.in_service {
            self.ranking.set(now, id, &node.rank(now, settings));
        } else {
            self.ranking.remove(id);
        }
    }
}
