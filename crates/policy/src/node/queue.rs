//! The requests queued in this scheduler for a node.

use std::collections::BTreeSet;
use std::ops::Bound;

use crate::api::{Micros, RequestId};

/// A queued request, ordered by due time, then by id.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub(crate) struct QueueEntry {
    pub(crate) due: Micros,
    pub(crate) request: RequestId,
}

/// The queue for one node.
#[derive(Clone, Debug, Default)]
pub(crate) struct NodeQueue {
    entries: BTreeSet<QueueEntry>,
    units: f64,
}

impl NodeQueue {
    pub(crate) fn insert(&mut self, entry: QueueEntry, units: f64) {
        self.entries.insert(entry);
        self.units += units;
    }

    pub(crate) fn remove(&mut self, entry: &QueueEntry, units: f64) {
        if self.entries.remove(entry) {
            self.units = (self.units - units).max(0.0);
        }
        if self.entries.is_empty() {
            // An empty set would keep the memory of its first entries.
            self.entries = BTreeSet::new();
        }
    }

    /// Returns the first entry after `after`, or the first of the queue if that is `None`.
    pub(crate) fn next(&self, after: Option<QueueEntry>) -> Option<QueueEntry> {
        let from = after.map_or(Bound::Unbounded, Bound::Excluded);
        self.entries.range((from, Bound::Unbounded)).next().copied()
    }

    pub(crate) fn requests(&self) -> impl Iterator<Item = RequestId> + '_ {
        self.entries.iter().map(|entry| entry.request)
    }

    pub(crate) fn units(&self) -> f64 {
        self.units
    }

    pub(crate) fn is_empty(&self) -> bool {
        self.entries.is_empty()
    }
}
