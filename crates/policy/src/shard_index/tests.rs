//! Compares the index with one that is rebuilt after each change.

use std::collections::BTreeMap;

use super::*;

#[test]
fn the_index_equals_a_rebuilt_one_after_every_change() {
    let mut random = fastrand::Rng::with_seed(1);
    let mut index = ShardIndex::default();
    let mut shards_by_node = BTreeMap::new();
    for _ in 0..5_000 {
        let (node, shard) = (NodeId(random.u32(0..40)), ShardId(random.u32(0..15)));
        if let Some(old) = shards_by_node.remove(&node) {
            index.remove(old, node);
        }
        if random.bool() {
            shards_by_node.insert(node, shard);
            index.insert(shard, node);
        }
        let by_shard = shards_by_node.iter().map(|(node, shard)| (*shard, *node));
        let rebuilt: BTreeMap<ShardId, NodeId> = by_shard.rev().collect();
        assert_eq!(index.len(), rebuilt.len());
        for shard in (0..15).map(ShardId) {
            assert_eq!(index.holder(shard), rebuilt.get(&shard).copied());
        }
    }
}
