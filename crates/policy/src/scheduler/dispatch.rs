//! Dispatch of queued requests: they are sent when a node has capacity, and answered by the scheduler when
//! they can no longer be served in time.

use super::send_rules::SendDecision;
use super::Scheduler;
use crate::api::{Action, KeyId, Micros, NodeId};
use crate::node::QueueEntry;
use crate::request::RequestState;

/// Maximum number of scans of all queues in a budget period.
const SCANS_PER_PERIOD: Micros = 16;
/// Divisor of the budget period that gives the margin for answering a request that was never sent: it is
/// answered this margin before half of its time budget is over.
const EARLY_ANSWER_PERIOD_DIVISOR: Micros = 8;

impl Scheduler {
    /// Sends the requests queued for a node in order of their due times, while the node has capacity.
    pub(super) fn dispatch_queued(&mut self, now: Micros, node_id: NodeId, actions: &mut Vec<Action>) {
        self.close_periods(now, node_id);
        let mut last = None;
        while let Some(entry) = self.nodes.get(&node_id).and_then(|node| node.queue.next(last)) {
            if self.cannot_meet_deadline(now, entry) {
                self.answer_locally(now, entry.request, actions);
            } else if self.try_send(now, entry.request, node_id, actions) == SendDecision::NoCapacity {
                break;
            }
            last = Some(entry);
        }
    }

    /// Scans all queues and sends or answers requests as far as possible.
    pub(super) fn dispatch_all_queued(&mut self, now: Micros, actions: &mut Vec<Action>) {
        let interval = (self.period / SCANS_PER_PERIOD).max(self.settings.timer_resolution).max(1);
        self.queued.schedule_scan(now + interval);
        for node_id in self.queued.nodes_with_queue.clone() {
            self.dispatch_queued(now, node_id, actions);
        }
        for entry in self.queued.unbound.clone() {
            if self.cannot_meet_deadline(now, entry) {
                self.answer_locally(now, entry.request, actions);
            } else if let Some(node_id) = self.least_loaded(now, entry.request) {
                self.try_send(now, entry.request, node_id, actions);
            }
        }
    }

    /// Returns whether a queued request would be served too late. A request that was never sent is answered
    /// before half of its time budget is over, so that its client can still try another scheduler.
    fn cannot_meet_deadline(&self, now: Micros, entry: QueueEntry) -> bool {
        let Some(tracked) = self.requests.get(entry.request) else { return true };
        let service_time = self.fleet.service_time(tracked.request.units) as Micros;
        if now + service_time > entry.due {
            return true;
        }
        let margin = tracked.request.time_budget / 2 + self.period / EARLY_ANSWER_PERIOD_DIVISOR;
        tracked.attempts_sent == 0 && now >= tracked.timing.deadline.saturating_sub(margin)
    }

    /// Answers the requests whose deadline has passed, or is so near that a timer might fire too late for it.
    pub(super) fn answer_expired_requests(&mut self, now: Micros, actions: &mut Vec<Action>) {
        let resolution = self.settings.timer_resolution;
        while let Some(expiry) = self.requests.next_expiry(resolution).filter(|expiry| expiry.at <= now) {
            self.answer_locally(now, expiry.request, actions);
        }
    }

    /// Starts the next request of each ordered key whose pause has ended.
    pub(super) fn end_cool_downs(&mut self, now: Micros, actions: &mut Vec<Action>) {
        while let Some(key) = self.key_queues.end_cool_down(now) {
            self.start_next_for_key(now, key, actions);
        }
    }

    /// Admits the first request in an ordered key's queue if it is waiting for its turn.
    pub(super) fn start_next_for_key(&mut self, now: Micros, key: KeyId, actions: &mut Vec<Action>) {
        let Some(id) = self.key_queues.next_ready(now, key) else { return };
        let Some(tracked) = self.requests.get_mut(id) else { return };
        if tracked.state == RequestState::WaitingForKey {
            tracked.state = RequestState::Queued(None);
            self.admit(now, id, actions);
        }
    }
}
