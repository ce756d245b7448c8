//! Which node in service holds a shard, kept up entry by entry.

use std::collections::BTreeSet;

use crate::api::{NodeId, ShardId};

/// Nodes in service by shard. Where several hold one, the lowest id counts.
#[derive(Clone, Debug, Default)]
pub(crate) struct ShardIndex {
    pairs: BTreeSet<(ShardId, NodeId)>,
    shards: usize,
}

impl ShardIndex {
    /// The node that holds a shard.
    pub(crate) fn holder(&self, shard: ShardId) -> Option<NodeId> {
        let (found, node) = *self.pairs.range((shard, NodeId(0))..).next()?;
        (found == shard).then_some(node)
    }

    /// How many shards have a node.
    pub(crate) fn len(&self) -> usize {
        self.shards
    }

    pub(crate) fn insert(&mut self, shard: ShardId, node: NodeId) {
        let new = self.holder(shard).is_none();
        self.pairs.insert((shard, node));
        self.shards += usize::from(new);
    }

    pub(crate) fn remove(&mut self, shard: ShardId, node: NodeId) {
        let removed = self.pairs.remove(&(shard, node));
        self.shards -= usize::from(removed && self.holder(shard).is_none());
    }
}

#[cfg(test)]
mod tests;
