//! Passes events to the policy and performs the actions that it decides on.

use std::time::Duration;

use tokio::time::Instant;

use super::Actor;
use crate::observe::TreatmentCause;
use crate::Answer;
use heathward_policy::{Action, Event, RequestId};

/// A deadline counts as passed this long before its instant. The policy's clock is truncated to whole
/// microseconds, so the policy may act on a deadline slightly early; 1 ms is ample for that.
const DEADLINE_TOLERANCE: Duration = Duration::from_millis(1);

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
        while let Some(event) = self.policy.next_event() {
            let now = Instant::now();
            let ended_attempt = match &event {
                Event::AttemptEnded(outcome) => Some((outcome.node, outcome.end)),
                _ => None,
            };
            self.policy.decide(now, event, &mut actions);
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
            Action::SetTimer { token, at } => self.policy.set_timer(at, token),
            // The discovery client maintains its subscription itself, whether lists are streamed or polled.
            Action::Subscribe => {}
            Action::Log { text, node } => {
                let node = node.and_then(|node| self.nodes.get(node)).map_or("", |node| &node.endpoint.id);
                tracing::info!(node, "{text}");
            }
        }
    }

    fn fail_request(&mut self, request: RequestId) {
        let Some(open_request) = self.requests.get(request) else { return };
        let possibly_executed = open_request.is_possibly_executed();
        let deadline_passed = Instant::now() + DEADLINE_TOLERANCE >= open_request.request.deadline;
        self.answer_request(request, Some(Answer::Failed { possibly_executed, deadline_passed }));
    }
}
