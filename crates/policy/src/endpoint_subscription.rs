//! The schedule of subscriptions to the endpoint list, for deployments in which discovery does not push
//! changes: in the polled mode, each subscription is a poll.

use crate::api::{EndpointListMode, EndpointUpdateKind, Micros};

/// Backoff after the first failure, in microseconds. A scheduler's first subscription is delayed at random by
/// up to the same time, as all schedulers may start at once.
const MIN_BACKOFF: Micros = 300_000;
/// Maximum backoff in microseconds.
const MAX_BACKOFF: Micros = 2_400_000;
/// Maximum number of doublings of the backoff.
const MAX_DOUBLINGS: u32 = 8;
/// Time in microseconds after which a subscription without an answer is opened again.
const ANSWER_TIMEOUT: Micros = 2 * MAX_BACKOFF;

/// The time of the next subscription to the endpoint list, and the number of consecutive failures before it.
#[derive(Clone, Debug, Default)]
pub(crate) struct EndpointSubscription {
    next_attempt: Option<Micros>,
    failures: u32,
}

impl EndpointSubscription {
    /// Schedules the first subscription of a scheduler that starts now; none if changes are streamed.
    pub(crate) fn start(&mut self, now: Micros, mode: EndpointListMode, random: &mut fastrand::Rng) {
        let first = now + random.u64(0..=MIN_BACKOFF);
        self.next_attempt = (mode != EndpointListMode::Streamed).then_some(first);
    }

    /// Updates the schedule after an endpoint update: a failure is followed by another attempt, an answer by
    /// none.
    pub(crate) fn on_update(
        &mut self,
        now: Micros,
        mode: EndpointListMode,
        kind: EndpointUpdateKind,
        random: &mut fastrand::Rng,
    ) {
        match (mode, kind) {
            (EndpointListMode::Polled { max_interval }, EndpointUpdateKind::Failed) => {
                self.back_off(now, max_interval, random);
            }
            (_, EndpointUpdateKind::Cached) => {}
            _ => *self = Self::default(),
        }
    }

    fn back_off(&mut self, now: Micros, max_interval: Micros, random: &mut fastrand::Rng) {
        let max_backoff = MAX_BACKOFF.min(max_interval / 4).max(1);
        let backoff = (MIN_BACKOFF << self.failures.min(MAX_DOUBLINGS)).min(max_backoff);
        self.failures += 1;
        self.next_attempt = Some(now + random.u64(backoff / 2..=backoff));
    }

    /// Returns whether a subscription is due now. If so, another one is scheduled in case this one remains
    /// unanswered.
    pub(crate) fn take_due(&mut self, now: Micros, random: &mut fastrand::Rng) -> bool {
        let is_due = self.next_attempt.is_some_and(|at| at <= now);
        if is_due {
            self.next_attempt = Some(now + ANSWER_TIMEOUT + random.u64(0..=MIN_BACKOFF));
        }
        is_due
    }

    /// Returns the time of the next subscription, if one is scheduled.
    pub(crate) fn next_attempt(&self) -> Option<Micros> {
        self.next_attempt
    }
}
