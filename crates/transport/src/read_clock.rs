//! Measures for how long bytes that arrive on a connection wait to be read, and since when none arrive.

use std::future::Future;
use std::pin::pin;
use std::sync::{Mutex, MutexGuard, PoisonError};
use std::time::Duration;

use tokio::time::{timeout_at, Instant};

/// The longest interval between two attempts of a system to send again what did not arrive.
const MAX_RETRANSMISSION_INTERVAL: Duration = Duration::from_secs(120);

/// A time in which nothing arrives from a peer although everything before was read.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Silence {
    /// Since when there is nothing to read.
    pub since: Instant,
    /// For how long before that there may always have been unread bytes.
    pub backlog: Duration,
}

/// What is known of the receive queue of a connection.
#[derive(Clone, Copy, Debug)]
enum ReceiveQueue {
    /// It may have held unread bytes all the time since then.
    Filled(Instant),
    /// It is empty, and it is watched: bytes that arrive are read at once.
    Empty(Silence),
}

/// Tracks the receive queue of one connection.
#[derive(Debug)]
pub struct ReadClock(Mutex<ReceiveQueue>);

impl Default for ReadClock {
    fn default() -> Self {
        Self(Mutex::new(ReceiveQueue::Filled(Instant::now())))
    }
}

impl ReadClock {
    /// Records that bytes were read, or that those which arrive from now on are not read at once.
    pub fn record_filled(&self) {
        let mut queue = self.lock();
        if matches!(*queue, ReceiveQueue::Empty(_)) {
            *queue = ReceiveQueue::Filled(Instant::now());
        }
    }

    /// Records that everything that had arrived was read.
    pub fn record_empty(&self) {
        let mut queue = self.lock();
        if let ReceiveQueue::Filled(since) = *queue {
            let now = Instant::now();
            *queue = ReceiveQueue::Empty(Silence { since: now, backlog: now - since });
        }
    }

    /// Returns the silence of the peer; `None` while there may be unread bytes.
    pub fn silence(&self) -> Option<Silence> {
        match *self.lock() {
            ReceiveQueue::Filled(_) => None,
            ReceiveQueue::Empty(silence) => Some(silence),
        }
    }

    /// Returns for how long the peer may be silent because it was held back. The system of a peer that could
    /// not send tries again at intervals that double, so the next try may be as long after the last one as
    /// that was after the first.
    pub fn excused_silence(&self) -> Duration {
        self.silence().map_or(Duration::ZERO, |silence| silence.backlog.min(MAX_RETRANSMISSION_INTERVAL))
    }

    /// Runs an operation that reads from the peer; `None` if it takes longer than `max_pause`, not counting
    /// the silence for which the peer is excused as it was held back before.
    pub async fn while_in_time<F: Future>(&self, max_pause: Duration, operation: F) -> Option<F::Output> {
        let began_at = Instant::now();
        let mut operation = pin!(operation);
        let mut excused = Duration::ZERO;
        loop {
            if let Ok(output) = timeout_at(began_at + max_pause + excused, operation.as_mut()).await {
                return Some(output);
            }
            // Only known once the operation has found nothing to read.
            let excused_now = self.excused_silence();
            if excused_now <= excused {
                return None;
            }
            excused = excused_now;
        }
    }

    /// Locks the state. No code panics while it holds the lock, so a poisoned one is used as it is.
    fn lock(&self) -> MutexGuard<'_, ReceiveQueue> {
        self.0.lock().unwrap_or_else(PoisonError::into_inner)
    }
}

#[cfg(test)]
mod tests;
