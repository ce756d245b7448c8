//! The policy with its clock, its timers and the events that it has not handled yet.

use std::collections::{BTreeSet, VecDeque};

use tokio::time::Instant;

use crate::Clock;
use heathward_policy::{Action, Event, Micros, NodeId, NodeStatus, Scheduler, Settings, SettingsError};

/// The policy with its clock, its timers and the events that it has not handled yet.
pub(super) struct PolicyDriver {
    scheduler: Scheduler,
    clock: Clock,
    timers: BTreeSet<Timer>,
    /// Events that the policy has not handled yet, oldest first.
    pending_events: VecDeque<Event>,
}

/// A timer that the policy has set; `token` identifies its purpose to the policy.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
struct Timer {
    at: Micros,
    token: u64,
}

impl PolicyDriver {
    pub(super) fn new(scheduler: Scheduler, clock: Clock) -> Self {
        Self { scheduler, clock, timers: BTreeSet::new(), pending_events: VecDeque::new() }
    }

    /// Replaces the settings.
    ///
    /// # Errors
    ///
    /// A [`SettingsError`] if the policy does not accept them; the old settings then stay.
    pub(super) fn update_settings(&mut self, settings: Settings) -> Result<(), SettingsError> {
        self.scheduler.update_settings(settings)
    }

    /// Adds an event for the policy, behind those that are pending.
    pub(super) fn enqueue(&mut self, event: Event) {
        self.pending_events.push_back(event);
    }

    /// Converts an instant to the policy's time.
    pub(super) fn micros_at(&self, at: Instant) -> Micros {
        self.clock.micros_at(at)
    }

    /// Converts a time of the policy to an instant.
    pub(super) fn instant_at(&self, at: Micros) -> Instant {
        self.clock.instant_at(at)
    }

    /// Returns the policy's view of a node at `now`; `None` if it does not know the node.
    pub(super) fn node_status(&self, now: Micros, node: NodeId) -> Option<NodeStatus> {
        self.scheduler.node_status(now, node)
    }

    /// Sets a timer; `token` identifies its purpose to the policy.
    pub(super) fn set_timer(&mut self, at: Micros, token: u64) {
        self.timers.insert(Timer { at, token });
    }

    /// Removes and returns the event that has been pending for longest.
    pub(super) fn next_event(&mut self) -> Option<Event> {
        self.pending_events.pop_front()
    }

    /// Passes an event to the policy, which adds its decisions to `actions`.
    pub(super) fn decide(&mut self, now: Instant, event: Event, actions: &mut Vec<Action>) {
        self.scheduler.handle(self.clock.micros_at(now), event, actions);
    }

    /// Returns when the next timer is due.
    pub(super) fn next_timer(&self) -> Option<Instant> {
        self.timers.first().map(|timer| self.clock.instant_at(timer.at))
    }

    /// Removes a timer that is due and returns its token.
    pub(super) fn pop_due_timer(&mut self, now: Instant) -> Option<u64> {
        let first = *self.timers.first()?;
        if first.at > self.clock.micros_at(now) {
            return None;
        }
        self.timers.remove(&first);
        Some(first.token)
    }
}
