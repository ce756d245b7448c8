//! Detects that the process did not run for a while (a busy core, a stopped process, a suspended machine),
//! and collects the discovery updates that arrived meanwhile. Such an update counts as delivered to this
//! scheduler, so it has to be applied before any request that arrived with it is decided on.

use std::time::Duration;

use tokio::sync::mpsc;
use tokio::time::Instant;

use super::message::CoreMessage;

/// A gap between two turns of the core that counts as a stall. It is less than half of the grace period that
/// settings allow after an update.
const STALL_THRESHOLD: Duration = Duration::from_millis(100);

/// Number of times that all other tasks are given a turn. An update passes three tasks between its socket
/// and the core (connection, watch reader, discovery actor), each of which needs a turn, and the runtime
/// polls the operating system for input only between turns.
const YIELD_ROUNDS: u32 = 8;

/// Detects stalls by the time since the core's last turn.
#[derive(Clone, Copy, Debug)]
pub(crate) struct StallDetector {
    last_turn: Instant,
}

impl StallDetector {
    /// Creates a detector for a core that has a turn at `now`.
    pub(crate) fn new(now: Instant) -> Self {
        Self { last_turn: now }
    }

    /// Records that the core has a turn at `now`, and returns whether the process may have stalled since
    /// the turn before. An idle core looks the same as a stalled one; checking for updates then costs a few
    /// microseconds.
    pub(crate) fn record_turn(&mut self, now: Instant) -> bool {
        let previous = std::mem::replace(&mut self.last_turn, now);
        now.saturating_duration_since(previous) >= STALL_THRESHOLD
    }
}

/// Returns the messages from discovery that had reached this machine when the process resumed.
pub(crate) async fn take_pending_updates(discovery: &mut mpsc::Receiver<CoreMessage>) -> Vec<CoreMessage> {
    let mut pending = Vec::new();
    for _ in 0..YIELD_ROUNDS {
        tokio::task::yield_now().await;
        pending.extend(std::iter::from_fn(|| discovery.try_recv().ok()));
    }
    pending
}

#[cfg(test)]
mod tests;
