//! Keys in order of the time at which each was last used.

use std::collections::BTreeSet;

use crate::api::Micros;

/// Keys by their latest time of use. The owner keeps that time beside its own record of the key.
#[derive(Clone, Debug)]
pub(crate) struct Recency<K>(BTreeSet<(Micros, K)>);

impl<K> Default for Recency<K> {
    fn default() -> Self {
        Self(BTreeSet::new())
    }
}

impl<K: Copy + Ord> Recency<K> {
    /// Moves a key from its last time of use, if it had one, to `now`.
    pub(crate) fn touch(&mut self, last: Micros, now: Micros, key: K) {
        if last != now {
            self.0.remove(&(last, key));
        }
        self.0.insert((now, key));
    }

    pub(crate) fn remove(&mut self, last: Micros, key: K) {
        self.0.remove(&(last, key));
    }

    pub(crate) fn len(&self) -> usize {
        self.0.len()
    }

    /// The key that was used the longest ago, and when.
    pub(crate) fn oldest(&self) -> Option<(Micros, K)> {
        self.0.first().copied()
    }

    /// Keys that were last used at `at` or before, the oldest first.
    pub(crate) fn until(&self, at: Micros) -> impl Iterator<Item = (Micros, K)> + '_ {
        self.0.iter().copied().take_while(move |(last, _)| *last <= at)
    }
}
