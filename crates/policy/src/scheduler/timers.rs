//! The times at which the scheduler acts on its own, and the one timer that it asks its caller for.

use crate::api::Micros;
use crate::node::ADMISSION_LOOKBACK;

/// When the scheduler started, when it cleans up next, and the timer that it set last. An earlier timer may
/// still fire and is then ignored.
#[derive(Clone, Debug, Default)]
pub(super) struct Timers {
    /// Time of the first event.
    started_at: Option<Micros>,
    next_cleanup: Micros,
    /// Token of the timer that was set last.
    token: u64,
    /// When that timer fires, unless it has.
    fires_at: Option<Micros>,
}

impl Timers {
    /// Notes the time of an event. Returns whether it is the first one.
    pub(super) fn on_event(&mut self, now: Micros) -> bool {
        let is_first = self.started_at.is_none();
        if is_first {
            self.started_at = Some(now);
            self.next_cleanup = now + ADMISSION_LOOKBACK;
        }
        is_first
    }

    /// When the scheduler started.
    pub(super) fn started_at(&self, now: Micros) -> Micros {
        self.started_at.unwrap_or(now)
    }

    /// Whether a clean-up is due now. If so, the next one is scheduled.
    pub(super) fn take_cleanup(&mut self, now: Micros) -> bool {
        let is_due = now >= self.next_cleanup;
        if is_due {
            self.next_cleanup = now + ADMISSION_LOOKBACK;
        }
        is_due
    }

    /// Notes that a timer has fired.
    pub(super) fn on_fired(&mut self, token: u64) {
        if token == self.token {
            self.fires_at = None;
        }
    }

    /// Sets the timer unless it fires by then anyway. Returns the new timer's token.
    pub(super) fn set(&mut self, at: Micros) -> Option<u64> {
        if self.fires_at.is_some_and(|fires_at| fires_at <= at) {
            return None;
        }
        self.token += 1;
        self.fires_at = Some(at);
        Some(self.token)
    }
}
