//! Holds the observer, if there is one, and schedules its regular notifications that time has passed.

use std::time::Duration;

use tokio::time::Instant;

use crate::observe::{Observation, Observer};
use heathward_policy::settings::Deployment;

/// Interval at which the observer is notified that time has passed.
const TICK_INTERVAL: Duration = Duration::from_millis(100);

/// The observer, if there is one. Without an observer nothing is recorded.
pub(super) struct ObserverSlot {
    observer: Option<Box<dyn Observer>>,
    next_tick: Instant,
}

impl ObserverSlot {
    /// Creates a slot without an observer.
    pub(super) fn new(now: Instant) -> Self {
        Self { observer: None, next_tick: now }
    }

    /// Returns whether there is an observer.
    pub(super) fn is_set(&self) -> bool {
        self.observer.is_some()
    }

    /// Replaces the observer. A new one is first notified of the settings.
    pub(super) fn replace(&mut self, observer: Option<Box<dyn Observer>>, deployment: &Deployment) {
        self.observer = observer;
        self.next_tick = Instant::now();
        self.settings_changed(deployment);
    }

    /// Notifies the observer of something that happens now.
    pub(super) fn observe(&mut self, observation: Observation<'_>) {
        if self.is_set() {
            self.observe_at(Instant::now(), observation);
        }
    }

    /// Notifies the observer of something that happened at `at`.
    pub(super) fn observe_at(&mut self, at: Instant, observation: Observation<'_>) {
        if let Some(observer) = &mut self.observer {
            observer.observe(at, observation);
        }
    }

    /// Notifies the observer of the settings that apply from now on.
    pub(super) fn settings_changed(&mut self, deployment: &Deployment) {
        if let Some(observer) = &mut self.observer {
            observer.settings_changed(deployment);
        }
    }

    /// Returns when the observer is next notified that time has passed; `None` without an observer.
    pub(super) fn next_tick(&self) -> Option<Instant> {
        self.observer.as_ref().map(|_| self.next_tick)
    }

    /// Returns whether a notification that time has passed is due; if so, schedules the next one.
    pub(super) fn take_due_tick(&mut self, now: Instant) -> bool {
        let is_due = self.is_set() && now >= self.next_tick;
        if is_due {
            self.next_tick = now + TICK_INTERVAL;
        }
        is_due
    }
}
