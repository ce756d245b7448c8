//! The policy with its clock, its timers and the events that it has not seen yet.

use std::collections::{BTreeSet, VecDeque};

use tokio::time::Instant;

use crate::Clock;
use heathward_policy::{Action, Event, Micros, NodeId, NodeStatus, Scheduler, Settings, SettingsError};

/// The policy with its clock, its timers and the events that it has not seen yet.
pub(super) struct PolicyDriver {
    scheduler: Scheduler,
    clock: Clock,
    timers: BTreeSet<Timer>,
    /// Events that the policy's own actions have caused.
    pending_events: VecDeque<Event>,
}

/// A timer that the policy has set; `token` tells the policy what it is for.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
struct Timer {
    at: Micros,
    token: u64,
}

impl PolicyDriver {
    pub(super) fn new(scheduler: Scheduler, clock: Clock) -> Self {
        Self { scheduler, clock, timers: BTreeSet::new(), pending_events: VecDeque::new() }
    }

    /// Changes the settings.
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

    /// The policy's time at an instant.
    pub(super) fn micros_at(&self, at: Instant) -> Micros {
        self.clock.micros_at(at)
    }

    /// The instant of a time of the policy.
    pub(super) fn instant_at(&self, at: Micros) -> Instant {
        self.clock.instant_at(at)
    }

    /// The policy's current view of a node; `None` if it does not know the node.
    pub(super) fn node_status(&self, now: Micros, node: NodeId) -> Option<NodeStatus> {
        self.scheduler.node_status(now, node)
    }

    /// Sets a timer; `token` tells the policy what it is for.
    pub(super) fn set_timer(&mut self, at: Micros, token: u64) {
        self.timers.insert(Timer { at, token });
    }

    /// Takes the event that has been pending for longest.
    pub(super) fn next_event(&mut self) -> Option<Event> {
        self.pending_events.pop_front()
    }

    /// Passes an event to the policy, which adds its decisions to `actions`.
    pub(super) fn decide(&mut self, now: Instant, event: Event, actions: &mut Vec<Action>) {
        self.scheduler.handle(self.clock.micros_at(now), event, actions);
    }

    /// When the next timer is due.
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
