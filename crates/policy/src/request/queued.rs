//! The queued requests that any node may serve, and the nodes that have a queue; the queues themselves belong
//! to the nodes.

use std::collections::BTreeSet;

use crate::api::{Micros, NodeId};
use crate::node::QueueEntry;

/// Queued requests that any node may serve, and the nodes with queued requests.
#[derive(Clone, Debug, Default)]
pub(crate) struct QueuedRequests {
    pub(crate) unbound: BTreeSet<QueueEntry>,
    pub(crate) nodes_with_queue: BTreeSet<NodeId>,
    next_scan: Micros,
}

impl QueuedRequests {
    /// Returns whether a scan of all queues is due now.
    pub(crate) fn is_scan_due(&self, now: Micros) -> bool {
        now >= self.next_scan
    }

    pub(crate) fn schedule_scan(&mut self, at: Micros) {
        self.next_scan = at;
    }

    /// Returns the time of the next scan of all queues, or `None` if nothing is queued.
    pub(crate) fn next_scan(&self) -> Option<Micros> {
        let is_empty = self.unbound.is_empty() && self.nodes_with_queue.is_empty();
        (!is_empty).then_some(self.next_scan)
    }
}
