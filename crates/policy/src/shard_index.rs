//! An index of the nodes in service by the shard that they hold.

use std::collections::BTreeSet;

use crate::api::{NodeId, ShardId};

/// A node in service and the shard it holds.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
struct Holder {
    shard: ShardId,
    node: NodeId,
}

/// Nodes in service by shard, updated entry by entry. If several nodes hold a shard, the one with the lowest
/// id is its holder.
#[derive(Clone, Debug, Default)]
pub(crate) struct ShardIndex {
    holders: BTreeSet<Holder>,
    shards: usize,
}

impl ShardIndex {
    /// Returns the node that holds a shard.
    pub(crate) fn holder(&self, shard: ShardId) -> Option<NodeId> {
        let first = self.holders.range(Holder { shard, node: NodeId(0) }..).next()?;
        (first.shard == shard).then_some(first.node)
    }

    /// Returns the number of shards that are held by a node.
    pub(crate) fn len(&self) -> usize {
        self.shards
    }

    pub(crate) fn insert(&mut self, shard: ShardId, node: NodeId) {
        let is_new = self.holder(shard).is_none();
        self.holders.insert(Holder { shard, node });
        self.shards += usize::from(is_new);
    }

    pub(crate) fn remove(&mut self, shard: ShardId, node: NodeId) {
        let is_removed = self.holders.remove(&Holder { shard, node });
        self.shards -= usize::from(is_removed && self.holder(shard).is_none());
    }
}

#[cfg(test)]
mod tests;
