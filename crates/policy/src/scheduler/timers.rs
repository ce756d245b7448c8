//! The scheduler's clean-up schedule and the single timer that it requests from its caller.

use crate::api::Micros;
use crate::node::ADMISSION_LOOKBACK;

/// Start time of the scheduler, time of the next clean-up, and the timer that was set last. A timer set
/// earlier may still fire and is then ignored.
#[derive(Clone, Debug, Default)]
pub(super) struct Timers {
    /// Time of the first event.
    started_at: Option<Micros>,
    next_cleanup: Micros,
    /// Token of the timer that was set last.
    token: u64,
    /// Time at which that timer fires; `None` once it has fired.
    fires_at: Option<Micros>,
}

impl Timers {
    /// Records the time of an event. Returns whether it is the first event.
    pub(super) fn on_event(&mut self, now: Micros) -> bool {
        let is_first = self.started_at.is_none();
        if is_first {
            self.started_at = Some(now);
            self.next_cleanup = now + ADMISSION_LOOKBACK;
        }
        is_first
    }

    /// Returns the time of the first event, or `now` before any.
    pub(super) fn started_at(&self, now: Micros) -> Micros {
        self.started_at.unwrap_or(now)
    }

    /// Returns whether a clean-up is due now. If so, the next one is scheduled.
    pub(super) fn take_cleanup(&mut self, now: Micros) -> bool {
        let is_due = now >= self.next_cleanup;
        if is_due {
            self.next_cleanup = now + ADMISSION_LOOKBACK;
        }
        is_due
    }

    /// Records that a timer has fired.
    pub(super) fn on_fired(&mut self, token: u64) {
        if token == self.token {
            self.fires_at = None;
        }
    }

    /// Sets a timer for `at` unless the current one fires by then anyway. Returns the token of the new timer.
    pub(super) fn set(&mut self, at: Micros) -> Option<u64> {
        if self.fires_at.is_some_and(|fires_at| fires_at <= at) {
            return None;
        }
        self.token += 1;
        self.fires_at = Some(at);
        Some(self.token)
    }
}
