//! Replies that may outlast their attempts: a node that writes one slowly is not given up for that.

use std::sync::atomic::{AtomicBool, Ordering};
use std::sync::Arc;

/// A reply that has brought this many bytes is not taken for a truncated one.
pub(super) const LONG_REPLY_BYTES: usize = 4096;

/// Returns whether a reply that has brought this many bytes may take until the client stops waiting.
pub(crate) fn outlasts_attempt(received_bytes: usize) -> bool {
    received_bytes >= LONG_REPLY_BYTES
}

/// A flag that its clones share.
#[derive(Clone, Debug, Default)]
pub(crate) struct Flag(Arc<AtomicBool>);

impl Flag {
    pub(crate) fn set(&self) {
        self.0.store(true, Ordering::Relaxed);
    }

    pub(crate) fn clear(&self) {
        self.0.store(false, Ordering::Relaxed);
    }

    pub(crate) fn is_set(&self) -> bool {
        self.0.load(Ordering::Relaxed)
    }
}
