//! The clients' own ids of requests, each of which is handled once: the ids of open requests, and those of
//! requests that may have been executed.

use std::collections::{HashSet, VecDeque};
use std::hash::{DefaultHasher, Hash, Hasher};
use std::sync::atomic::{AtomicUsize, Ordering};
use std::sync::{Arc, Mutex, MutexGuard, PoisonError};
use std::time::Duration;

use tokio::time::Instant;

/// For how long the id of a request that may have been executed is remembered.
const RETENTION: Duration = Duration::from_secs(60);
/// The most ids of requests that may have been executed; the oldest is forgotten for a further one.
pub(crate) const MAX_EXECUTED_IDS: usize = 32_768;

/// A client's id of a request, in short.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash)]
pub struct ClientRequestId(pub u64);

impl ClientRequestId {
    /// Returns the id that these digits state. The protocol's ids are 16 hexadecimal digits; any other text
    /// is hashed.
    pub fn new(digits: &str) -> Self {
        let number = Some(digits).filter(|digits| digits.len() == 16);
        let number = number.and_then(|digits| u64::from_str_radix(digits, 16).ok());
        Self(number.unwrap_or_else(|| {
            let mut hasher = DefaultHasher::new();
            digits.hash(&mut hasher);
            hasher.finish()
        }))
    }
}

/// The ids of the open requests and of those that may have been executed. Clones share them.
#[derive(Clone, Debug, Default)]
pub(crate) struct ClientRequestIds {
    known: Arc<Mutex<KnownIds>>,
    streaming: Arc<AtomicUsize>,
}

#[derive(Debug, Default)]
struct KnownIds {
    open: HashSet<ClientRequestId>,
    executed: HashSet<ClientRequestId>,
    /// The ids in `executed` and when they were added, the oldest first.
    executed_since: VecDeque<(Instant, ClientRequestId)>,
}

impl KnownIds {
    fn add_executed(&mut self, now: Instant, id: ClientRequestId) {
        self.remove_old(now);
        if self.executed.contains(&id) {
            return;
        }
        if self.executed_since.len() == MAX_EXECUTED_IDS {
            self.remove_oldest();
        }
        self.executed.insert(id);
        self.executed_since.push_back((now, id));
    }

    fn remove_old(&mut self, now: Instant) {
        while self.executed_since.front().is_some_and(|(since, _)| *since + RETENTION <= now) {
            self.remove_oldest();
        }
    }

    fn remove_oldest(&mut self) {
        if let Some((_, oldest)) = self.executed_since.pop_front() {
            self.executed.remove(&oldest);
        }
    }
}

impl ClientRequestIds {
    fn lock(&self) -> MutexGuard<'_, KnownIds> {
        self.known.lock().unwrap_or_else(PoisonError::into_inner)
    }

    /// Reserves an id until the guard is dropped; `None` if it is in use, or a request with this id may have
    /// been executed.
    pub(crate) fn reserve(&self, id: &str) -> Option<ClientRequestIdGuard> {
        let id = ClientRequestId::new(id);
        let mut known = self.lock();
        known.remove_old(Instant::now());
        let is_new = !known.executed.contains(&id) && known.open.insert(id);
        drop(known);
        is_new.then(|| ClientRequestIdGuard {
            ids: self.clone(),
            id,
            is_possibly_executed: false,
            is_streaming: false,
        })
    }

    /// Records ids of requests that may have been executed for the peer process.
    pub(crate) fn add_executed(&self, ids: impl IntoIterator<Item = ClientRequestId>) {
        let (mut known, now) = (self.lock(), Instant::now());
        for id in ids {
            known.add_executed(now, id);
        }
    }

    /// Returns the ids of requests that are open or may have been executed.
    pub(crate) fn all(&self) -> Vec<ClientRequestId> {
        let known = self.lock();
        known.executed_since.iter().map(|(_, id)| *id).chain(known.open.iter().copied()).collect()
    }

    /// Returns the number of replies that are being streamed.
    pub(crate) fn streaming_count(&self) -> usize {
        self.streaming.load(Ordering::Relaxed)
    }
}

/// A reserved id, released when dropped.
#[derive(Debug)]
pub(crate) struct ClientRequestIdGuard {
    ids: ClientRequestIds,
    id: ClientRequestId,
    is_possibly_executed: bool,
    is_streaming: bool,
}

impl ClientRequestIdGuard {
    /// Records that the request may have been executed: its id is not free again when it is released.
    pub(crate) fn mark_executed(&mut self) {
        self.is_possibly_executed = true;
    }

    /// Counts the reply as being streamed until this guard is dropped.
    pub(crate) fn start_streaming(mut self) -> Self {
        self.is_streaming = true;
        self.ids.streaming.fetch_add(1, Ordering::Relaxed);
        self
    }
}

impl Drop for ClientRequestIdGuard {
    fn drop(&mut self) {
        let mut known = self.ids.lock();
        known.open.remove(&self.id);
        if self.is_possibly_executed {
            known.add_executed(Instant::now(), self.id);
        }
        drop(known);
        self.ids.streaming.fetch_sub(usize::from(self.is_streaming), Ordering::Relaxed);
    }
}

#[cfg(test)]
mod tests;
