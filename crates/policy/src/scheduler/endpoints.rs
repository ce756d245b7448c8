//! Changes of the list of nodes.

use std::collections::BTreeSet;

use super::{Scheduler, FLOOR_REQUESTS};
use crate::api::{Action, EndpointEntry, EndpointUpdateKind, Micros, NodeId};
use crate::slow_start::TokenBucket;
use crate::state::Node;

impl Scheduler {
    pub(super) fn on_endpoint_update(
        &mut self,
        now: Micros,
        kind: EndpointUpdateKind,
        entries: &[EndpointEntry],
        out: &mut Vec<Action>,
    ) {
        let mode = self.settings.endpoint_list_mode;
        self.subscription.on_update(now, mode, kind, &mut self.random);
        // Nodes that may have left service.
        let mut changed: BTreeSet<NodeId> = entries.iter().map(|entry| entry.node).collect();
        if kind == EndpointUpdateKind::Snapshot || kind == EndpointUpdateKind::Cached {
            changed.extend(self.nodes.take_all_out_of_service());
        }
        for entry in entries {
            let (budget, heard) = (FLOOR_REQUESTS * self.settings.mean_units, now);
            let end = now + self.period;
            let slow_start = || TokenBucket::new(now, entry.started_at, entry.shard, &self.settings);
            let fresh = || Node {
                budget,
                last_response: heard,
                period_end: end,
                slow_start: slow_start(),
                ..Node::default()
            };
            let node = self.nodes.update_entry(entry, fresh);
            if entry.started_at > node.started_at {
                (node.started_at, node.suspected_since) = (entry.started_at, None);
                node.slow_start =
                    node.slow_start.restarted(now, entry.started_at, entry.shard, &self.settings);
            }
        }
        for node_id in &changed {
            self.index(now, *node_id);
        }
        for id in self.nodes.queued_on_unavailable(&changed) {
            self.dequeue(now, id);
            self.admit(now, id, out);
        }
    }
}
