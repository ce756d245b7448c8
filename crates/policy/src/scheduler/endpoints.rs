//! Changes of the list of nodes.

use std::collections::BTreeSet;

use super::{Scheduler, FLOOR_REQUESTS, RESUBSCRIBE};
use crate::api::{Action, EndpointEntry, EndpointListMode, EndpointUpdateKind, Micros, NodeId};
use crate::slow_start::TokenBucket;
use crate::state::{Following, Node};

impl Scheduler {
    pub(super) fn on_list(
        &mut self,
        now: Micros,
        kind: EndpointUpdateKind,
        entries: &[EndpointEntry],
        out: &mut Vec<Action>,
    ) {
        if let (EndpointListMode::Polled { max_interval: within }, EndpointUpdateKind::Failed) =
            (self.set.endpoint_list_mode, kind)
        {
            let most = RESUBSCRIBE.1.min(within / 4).max(1);
            let pause = (RESUBSCRIBE.0 << self.list.failures.min(8)).min(most);
            self.list.failures += 1;
            self.list.due = Some(now + self.rng.u64(pause / 2..=pause));
        } else if kind != EndpointUpdateKind::Cached {
            self.list = Following::default();
        }
        // Nodes that may have left service.
        let mut changed: BTreeSet<NodeId> = entries.iter().map(|entry| entry.node).collect();
        if kind == EndpointUpdateKind::Snapshot || kind == EndpointUpdateKind::Cached {
            changed.extend(self.nodes.unlist_all());
        }
        for entry in entries {
            let (budget, heard) = (FLOOR_REQUESTS * self.set.mean_units, now);
            let end = now + self.period;
            let slow_start = || TokenBucket::new(now, entry.started_at, entry.shard, &self.set);
            let fresh =
                || Node { budget, heard, period_end: end, slow_start: slow_start(), ..Node::default() };
            let node = self.nodes.list(entry, fresh);
            if entry.started_at > node.started {
                (node.started, node.suspect) = (entry.started_at, None);
                node.slow_start = node.slow_start.restarted(now, entry.started_at, entry.shard, &self.set);
            }
        }
        for node_id in &changed {
            self.index(now, *node_id);
        }
        for id in self.nodes.stranded(&changed) {
            self.unhold(now, id);
            self.admit(now, id, out);
        }
    }
}
