//! Drives the policy: passes events to it, performs the actions that it decides on, and keeps its timers.

use std::collections::{BTreeSet, VecDeque};
use std::time::Duration;

use tokio::time::Instant;

use super::Actor;
use crate::observe::TreatmentCause;
use crate::{Answer, Clock};
use heathward_policy::{
    Action, Event, Micros, NodeId, NodeStatus, RequestId, Scheduler, Settings, SettingsError,
};

/// The policy's clock counts complete microseconds, so the policy may act on a deadline slightly before its
/// instant. A deadline counts as passed this much early, which is ample for that.
const CLOCK_ROUNDING: Duration = Duration::from_millis(1);

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

    fn set_timer(&mut self, timer: Timer) {
        self.timers.insert(timer);
    }

    /// When the next timer is due.
    pub(super) fn next_timer(&self) -> Option<Instant> {
        self.timers.first().map(|timer| self.clock.instant_at(timer.at))
    }

    /// Removes a timer that is due and returns its token.
    fn pop_due_timer(&mut self, now: Instant) -> Option<u64> {
        let first = *self.timers.first()?;
        if first.at > self.clock.micros_at(now) {
            return None;
        }
        self.timers.remove(&first);
        Some(first.token)
    }
}

impl Actor {
    /// Notifies the policy of the timers that are due.
    pub(super) fn fire_policy_timers(&mut self, now: Instant) {
        while let Some(token) = self.policy.pop_due_timer(now) {
            self.handle_event(Event::TimerFired { token });
        }
    }

    /// Passes an event to the policy and performs the actions that it decides on, until no event is pending.
    pub(super) fn handle_event(&mut self, event: Event) {
        self.policy.enqueue(event);
        let mut actions = Vec::new();
        while let Some(event) = self.policy.pending_events.pop_front() {
            let now = Instant::now();
            let ended_attempt = match &event {
                Event::AttemptEnded(outcome) => Some((outcome.node, outcome.end)),
                _ => None,
            };
            let now_micros = self.policy.micros_at(now);
            self.policy.scheduler.handle(now_micros, event, &mut actions);
            for action in actions.drain(..) {
                self.perform_action(action);
            }
            if let Some((node, end)) = ended_attempt {
                self.check_node_treatment(node, now, TreatmentCause::AttemptEnded(end));
            }
        }
    }

    fn perform_action(&mut self, action: Action) {
        match action {
            Action::Send { request, node, timeout } => self.send_attempt(request, node, timeout),
            Action::Shed { request, retry_after } => {
                self.answer_request(request, Some(Answer::Shed { retry_after }));
            }
            Action::Fail { request } => self.fail_request(request),
            Action::SetTimer { token, at } => self.policy.set_timer(Timer { at, token }),
            // Discovery keeps its subscription by itself, in either mode.
            Action::Subscribe => {}
            Action::Log { text, node } => {
                let node = node.and_then(|node| self.nodes.get(node)).map_or("", |node| &node.endpoint.id);
                tracing::info!(node, "{text}");
            }
        }
    }

    fn fail_request(&mut self, request: RequestId) {
        let Some(open) = self.requests.get(request) else { return };
        let possibly_executed = open.is_possibly_executed();
        let deadline_passed = Instant::now() + CLOCK_ROUNDING >= open.request.deadline;
        self.answer_request(request, Some(Answer::Failed { possibly_executed, deadline_passed }));
    }
}
