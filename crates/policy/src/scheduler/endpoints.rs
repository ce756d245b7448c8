//! Updates of the endpoint list.

use std::collections::BTreeSet;

use super::Scheduler;
use crate::api::{Action, EndpointEntry, EndpointUpdateKind, Micros, NodeId};

impl Scheduler {
    /// Applies an update, and repeats the admission of the requests that were queued for nodes no longer in
    /// service.
    pub(super) fn on_endpoint_update(
        &mut self,
        now: Micros,
        kind: EndpointUpdateKind,
        entries: &[EndpointEntry],
        actions: &mut Vec<Action>,
    ) {
        let mode = self.settings.endpoint_list_mode;
        self.subscription.on_update(now, mode, kind, &mut self.random.decisions);
        let changed = self.apply_entries(now, kind, entries);
        for node_id in &changed {
            self.update_rank(now, *node_id);
        }
        for id in self.nodes.queued_out_of_service(&changed) {
            self.dequeue(now, id);
            self.admit(now, id, actions);
        }
    }

    /// Applies the entries to the node table. Returns the nodes that may have changed.
    fn apply_entries(
        &mut self,
        now: Micros,
        kind: EndpointUpdateKind,
        entries: &[EndpointEntry],
    ) -> BTreeSet<NodeId> {
        let mut changed: BTreeSet<NodeId> = entries.iter().map(|entry| entry.node).collect();
        if matches!(kind, EndpointUpdateKind::Snapshot | EndpointUpdateKind::Cached) {
            changed.extend(self.nodes.take_all_out_of_service());
        }
        for entry in entries {
            self.nodes.apply(now, entry, &self.settings);
        }
        changed
    }
}
