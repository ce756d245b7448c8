//! What a process does first after it stood still: a full core, a stopped process, a suspended machine.
//! Discovery updates that came meanwhile count as told, and stand unread beside the requests that came with
//! them.

use std::time::Duration;

use tokio::sync::mpsc;
use tokio::time::Instant;

use super::message::CoreMessage;

/// After so long without a turn what waits for discovery's reader is read before a request is decided on.
/// Less than half of the grace that settings leave after an update.
const STOOD: Duration = Duration::from_millis(100);
/// From a socket to the core an update goes through the connection, the watch's reader and discovery's actor;
/// each takes a turn of all tasks, and the system is asked for what came at each.
const TURNS: u32 = 8;

/// When the core had its last turn.
#[derive(Clone, Copy, Debug)]
pub(crate) struct Stalls(Instant);

impl Stalls {
    /// It has one now.
    pub(crate) fn new(now: Instant) -> Self {
        Self(now)
    }

    /// It has one now. Whether it may have stood still before: an idle core looks the same, and pays a few
    /// microseconds.
    pub(crate) fn stood(&mut self, now: Instant) -> bool {
        now.saturating_duration_since(std::mem::replace(&mut self.0, now)) >= STOOD
    }
}

/// The messages from discovery that were there when the process went on.
pub(crate) async fn waiting_updates(discovery: &mut mpsc::Receiver<CoreMessage>) -> Vec<CoreMessage> {
    let mut came = Vec::new();
    for _ in 0..TURNS {
        tokio::task::yield_now().await;
        came.extend(std::iter::from_fn(|| discovery.try_recv().ok()));
    }
    came
}

#[cfg(test)]
mod tests;
