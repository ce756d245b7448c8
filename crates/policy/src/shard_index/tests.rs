//! The index against one that is built anew after each change.

use std::collections::BTreeMap;

use super::*;

#[test]
fn changes_leave_what_a_new_index_would_hold() {
    let mut rng = fastrand::Rng::with_seed(1);
    let (mut index, mut holders) = (ShardIndex::default(), BTreeMap::new());
    for _ in 0..5_000 {
        let (node, shard) = (NodeId(rng.u32(0..40)), ShardId(rng.u32(0..15)));
        if let Some(old) = holders.remove(&node) {
            index.remove(old, node);
        }
        if rng.bool() {
            holders.insert(node, shard);
            index.insert(shard, node);
        }
        let anew: BTreeMap<ShardId, NodeId> = holders.iter().map(|(n, s)| (*s, *n)).rev().collect();
        assert_eq!(index.len(), anew.len());
        for shard in (0..15).map(ShardId) {
            assert_eq!(index.holder(shard), anew.get(&shard).copied());
        }
    }
}
