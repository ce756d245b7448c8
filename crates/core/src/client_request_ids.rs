//! The clients' own ids of open requests, which must be unique, and the count of replies that are streamed.

use std::collections::HashSet;
use std::sync::atomic::{AtomicUsize, Ordering};
use std::sync::{Arc, Mutex, MutexGuard, PoisonError};

/// The client request ids in use. All clones share one set.
#[derive(Clone, Debug, Default)]
pub(crate) struct ClientRequestIds {
    in_use: Arc<Mutex<HashSet<Box<str>>>>,
    streaming: Arc<AtomicUsize>,
}

impl ClientRequestIds {
    fn lock(&self) -> MutexGuard<'_, HashSet<Box<str>>> {
        self.in_use.lock().unwrap_or_else(PoisonError::into_inner)
    }

    /// Reserves an id until the returned guard is dropped; returns `None` if it is in use.
    pub(crate) fn reserve(&self, id: &str) -> Option<ClientRequestIdGuard> {
        let id: Box<str> = id.into();
        let is_new = self.lock().insert(id.clone());
        is_new.then(|| ClientRequestIdGuard { ids: self.clone(), id, is_streaming: false })
    }

    /// Returns the number of replies that are being streamed to clients.
    pub(crate) fn streaming_count(&self) -> usize {
        self.streaming.load(Ordering::Relaxed)
    }
}

/// Keeps a client request id reserved until it is dropped.
#[derive(Debug)]
pub(crate) struct ClientRequestIdGuard {
    ids: ClientRequestIds,
    id: Box<str>,
    is_streaming: bool,
}

impl ClientRequestIdGuard {
    /// Counts the reply to the request as streamed, until the guard is dropped.
    pub(crate) fn start_streaming(mut self) -> Self {
        self.is_streaming = true;
        self.ids.streaming.fetch_add(1, Ordering::Relaxed);
        self
    }
}

impl Drop for ClientRequestIdGuard {
    fn drop(&mut self) {
        self.ids.lock().remove(&self.id);
        self.ids.streaming.fetch_sub(usize::from(self.is_streaming), Ordering::Relaxed);
    }
}
