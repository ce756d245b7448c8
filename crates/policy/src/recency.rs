//! Keys ordered by the time at which each was last used.

use std::collections::BTreeSet;

use crate::api::Micros;

/// The last use of a key.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub(crate) struct LastUse<K> {
    pub(crate) at: Micros,
    pub(crate) key: K,
}

/// An index of keys by their last use. The owner stores the time of each key's last use and passes it in.
#[derive(Clone, Debug)]
pub(crate) struct Recency<K> {
    uses: BTreeSet<LastUse<K>>,
}

impl<K> Default for Recency<K> {
    fn default() -> Self {
        Self { uses: BTreeSet::new() }
    }
}

impl<K: Copy + Ord> Recency<K> {
    /// Moves a key from its last use, if there was one, to `now`.
    pub(crate) fn touch(&mut self, last: Micros, now: Micros, key: K) {
        if last != now {
            self.uses.remove(&LastUse { at: last, key });
        }
        self.uses.insert(LastUse { at: now, key });
    }

    pub(crate) fn remove(&mut self, last_use: &LastUse<K>) {
        self.uses.remove(last_use);
    }

    pub(crate) fn len(&self) -> usize {
        self.uses.len()
    }

    /// Returns the least recently used key.
    pub(crate) fn oldest(&self) -> Option<LastUse<K>> {
        self.uses.first().copied()
    }

    /// Returns the keys that were last used at `until` or before, the oldest first.
    pub(crate) fn until(&self, until: Micros) -> impl Iterator<Item = LastUse<K>> + '_ {
        self.uses.iter().copied().take_while(move |last_use| last_use.at <= until)
    }
}
