//! Keys ordered by the time at which each was last used.

use std::collections::BTreeSet;

use crate::api::Micros;

/// The last use of a key.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub(crate) struct LastUse<K> {
    pub(crate) at: Micros,
    pub(crate) key: K,
}

/// Keys by their last use. The owner keeps that time with its own record of the key and passes it in.
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
    /// Moves a key from its last use, if it had one, to `now`.
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

    /// The key that has not been used for the longest time.
    pub(crate) fn oldest(&self) -> Option<LastUse<K>> {
        self.uses.first().copied()
    }

    /// Keys that were last used at `until` or before, the oldest first.
    pub(crate) fn until(&self, until: Micros) -> impl Iterator<Item = LastUse<K>> + '_ {
        self.uses.iter().copied().take_while(move |last_use| last_use.at <= until)
    }
}
