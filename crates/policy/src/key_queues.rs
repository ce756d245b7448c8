//! Ordering by key: requests with the same key are executed one at a time, in order of arrival, and a key
//! pauses after an attempt whose result is unknown.

use std::collections::{BTreeMap, BTreeSet, VecDeque};

use crate::api::{KeyId, Micros, RequestId};

/// The requests of one key in order of arrival.
#[derive(Clone, Debug, Default)]
struct KeyQueue {
    requests: VecDeque<RequestId>,
    /// Time until which the key is paused.
    cool_down_until: Micros,
}

/// The time at which a key's pause ends.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
struct CoolDownEnd {
    at: Micros,
    key: KeyId,
}

/// The queues of all keys that have open requests or are paused.
#[derive(Clone, Debug, Default)]
pub(crate) struct KeyQueues {
    queues: BTreeMap<KeyId, KeyQueue>,
    cool_downs: BTreeSet<CoolDownEnd>,
}

impl KeyQueues {
    /// Appends a request to its key's queue. Returns whether it may start at once.
    pub(crate) fn push(&mut self, now: Micros, key: KeyId, id: RequestId) -> bool {
        let queue = self.queues.entry(key).or_default();
        queue.requests.push_back(id);
        queue.requests.len() == 1 && queue.cool_down_until <= now
    }

    /// Removes a request from its key's queue. Returns whether it was the first one.
    pub(crate) fn remove(&mut self, key: KeyId, id: RequestId) -> bool {
        let Some(queue) = self.queues.get_mut(&key) else { return false };
        let was_first = queue.requests.front() == Some(&id);
        queue.requests.retain(|other| *other != id);
        was_first
    }

    /// Returns whether it is a request's turn. A retry does not wait for the pause that its own attempt
    /// caused.
    pub(crate) fn is_turn(&self, now: Micros, key: KeyId, id: RequestId, is_retry: bool) -> bool {
        self.queues.get(&key).is_some_and(|queue| {
            queue.requests.front() == Some(&id) && (queue.cool_down_until <= now || is_retry)
        })
    }

    /// Returns the first request of a key that is not paused. The queue of a key without requests is removed.
    pub(crate) fn next_ready(&mut self, now: Micros, key: KeyId) -> Option<RequestId> {
        let queue = self.queues.get(&key).filter(|queue| queue.cool_down_until <= now)?;
        let first = queue.requests.front().copied();
        if first.is_none() {
            self.queues.remove(&key);
        }
        first
    }

    /// Pauses a key until the given time; a key without a queue is ignored.
    pub(crate) fn start_cool_down(&mut self, key: KeyId, until: Micros) {
        let Some(queue) = self.queues.get_mut(&key) else { return };
        queue.cool_down_until = until;
        self.cool_downs.insert(CoolDownEnd { at: until, key });
    }

    /// Removes and returns a key whose pause has ended.
    pub(crate) fn end_cool_down(&mut self, now: Micros) -> Option<KeyId> {
        let first = *self.cool_downs.first().filter(|end| end.at <= now)?;
        self.cool_downs.remove(&first);
        Some(first.key)
    }

    /// Returns the time at which the next pause ends.
    pub(crate) fn next_cool_down_end(&self) -> Option<Micros> {
        self.cool_downs.first().map(|end| end.at)
    }

    /// Returns the number of keys with a queue.
    pub(crate) fn len(&self) -> usize {
        self.queues.len()
    }

    /// Returns the number of pauses that have not been ended yet.
    pub(crate) fn cool_down_count(&self) -> usize {
        self.cool_downs.len()
    }
}

#[cfg(test)]
mod tests;
