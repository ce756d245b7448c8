//! The scheduler, which handles events and returns the actions that its caller has to perform.
//!
//! This file holds the scheduler's state and dispatches events. Each submodule implements one step in the
//! life of a request:
//!
//! - `arrival`: the due time, quota tier and priority of a new request;
//! - `admission`: whether a request is sent, queued or shed;
//! - `node_selection`: the choice of a node for a request that any node may serve;
//! - `send_rules`: the rules that must all hold before an attempt, in the order in which they are checked;
//! - `capacity`: the last of these rules, whether the node has capacity for the request;
//! - `sending`: the start of an attempt;
//! - `outcomes`: the end of an attempt, which updates the estimates of the node and the volume;
//! - `final_answers`: retries, answers given by the scheduler itself, and the removal of finished requests;
//! - `dispatch`: queued requests, deadlines, and the order of requests with the same key;
//! - `endpoints`: updates of the endpoint list.

use crate::api::{Action, EntryCounts, Event, Micros, NodeId, NodeStatus, Settings, SettingsError};
use crate::endpoint_subscription::EndpointSubscription;
use crate::key_queues::KeyQueues;
use crate::local_answer_log::LocalAnswerLog;
use crate::node::{FleetEstimate, ADMISSION_LOOKBACK};
use crate::node_table::NodeTable;
use crate::request::{QueuedRequests, RequestTable};
use crate::retry_window::RetryWindow;
use crate::volume_table::VolumeTable;

mod admission;
mod arrival;
mod capacity;
mod dispatch;
mod endpoints;
mod final_answers;
mod node_selection;
mod outcomes;
mod random;
mod send_rules;
mod sending;
mod timers;

use random::RandomSources;
use timers::Timers;

/// The scheduling policy of one scheduler process. Its caller must pass it every event, in order of time.
#[derive(Clone, Debug)]
pub struct Scheduler {
    settings: Settings,
    /// Length of the nodes' budget periods: half of the shortest latency objective.
    period: Micros,
    random: RandomSources,
    timers: Timers,
    requests: RequestTable,
    queued: QueuedRequests,
    key_queues: KeyQueues,
    retry_window: RetryWindow,
    answer_log: LocalAnswerLog,
    nodes: NodeTable,
    fleet: FleetEstimate,
    volumes: VolumeTable,
    subscription: EndpointSubscription,
}

impl Scheduler {
    /// Creates a scheduler whose random number generators are seeded from `seed`.
    ///
    /// # Errors
    ///
    /// Returns the first setting that is missing or out of range.
    pub fn new(settings: Settings, seed: u64) -> Result<Self, SettingsError> {
        settings.validate()?;
        let period = settings.period();
        Ok(Self {
            period,
            random: RandomSources::new(seed),
            timers: Timers::default(),
            requests: RequestTable::default(),
            queued: QueuedRequests::default(),
            key_queues: KeyQueues::default(),
            retry_window: RetryWindow::default(),
            answer_log: LocalAnswerLog::default(),
            nodes: NodeTable::default(),
            fleet: FleetEstimate::new(period, settings.mean_units),
            volumes: VolumeTable::default(),
            subscription: EndpointSubscription::default(),
            settings,
        })
    }

    /// Replaces the settings. Classes and plans must keep their indexes. Open requests keep their deadlines.
    ///
    /// # Errors
    ///
    /// Returns the first new setting that is missing or out of range; the previous settings then stay in
    /// force.
    pub fn update_settings(&mut self, settings: Settings) -> Result<(), SettingsError> {
        settings.validate()?;
        self.period = settings.period();
        self.settings = settings;
        Ok(())
    }

    /// Returns the status of a node, or `None` if the node is not known.
    pub fn node_status(&self, now: Micros, id: NodeId) -> Option<NodeStatus> {
        self.nodes.get(&id).map(|node| node.status(now))
    }

    /// Returns the sizes of the scheduler's collections, for monitoring its memory usage.
    pub fn entry_counts(&self) -> EntryCounts {
        EntryCounts {
            requests: self.requests.len().max(self.key_queues.len()).max(self.queued.unbound.len()),
            volumes: self.volumes.len(),
            nodes: self.nodes.len().max(self.nodes.shards.len()).max(self.queued.nodes_with_queue.len()),
            timestamps: self.retry_window.len().max(self.key_queues.cool_down_count()),
        }
    }

    /// Handles an event that occurred at `now` and appends the resulting actions.
    pub fn handle(&mut self, now: Micros, event: Event, actions: &mut Vec<Action>) {
        if self.timers.on_event(now) {
            self.subscription.start(now, self.settings.endpoint_list_mode, &mut self.random.decisions);
        }
        self.on_event(now, event, actions);
        self.run_due_work(now, actions);
        self.set_timer(now, actions);
    }

    fn on_event(&mut self, now: Micros, event: Event, actions: &mut Vec<Action>) {
        match event {
            Event::EndpointUpdate { kind, entries } => self.on_endpoint_update(now, kind, &entries, actions),
            Event::RequestArrived(request) => self.on_request_arrived(now, request, actions),
            Event::AttemptEnded(outcome) => self.on_attempt_ended(now, &outcome, actions),
            Event::StreamStarted { request } => self.requests.clear_deadline(request),
            Event::ClientDisconnected { request } => self.drop_request(now, request, actions),
            Event::TimerFired { token } => self.timers.on_fired(token),
        }
    }

    /// Performs all work that is due at `now`, independent of the event.
    fn run_due_work(&mut self, now: Micros, actions: &mut Vec<Action>) {
        self.answer_expired_requests(now, actions);
        self.end_cool_downs(now, actions);
        if self.queued.is_scan_due(now) {
            self.dispatch_all_queued(now, actions);
        }
        if self.subscription.take_due(now, &mut self.random.decisions) {
            actions.push(Action::Subscribe);
        }
        if self.timers.take_cleanup(now) {
            self.clean_up(now);
        }
    }

    /// Sets a timer for the next time at which work becomes due.
    fn set_timer(&mut self, now: Micros, actions: &mut Vec<Action>) {
        let expiry = self.requests.next_expiry(self.settings.timer_resolution);
        let due_times = [
            self.queued.next_scan(),
            expiry.map(|expiry| expiry.at),
            self.key_queues.next_cool_down_end(),
            self.subscription.next_attempt(),
        ];
        let Some(next) = due_times.into_iter().flatten().min() else { return };
        let at = next.max(now + 1);
        if let Some(token) = self.timers.set(at) {
            actions.push(Action::SetTimer { token, at });
        }
    }

    /// Removes volumes and nodes that have not been used for the lookback time. A volume is kept while its
    /// rate limit's bucket is not full, a node while it is listed or has requests in flight or queued.
    fn clean_up(&mut self, now: Micros) {
        let since = now.saturating_sub(ADMISSION_LOOKBACK);
        let plans = &self.settings.plans;
        self.volumes
            .remove_idle(since, |volume| volume.has_used_rate_limit(now, &plans[volume.plan.0 as usize]));
        self.nodes.remove_unused(since);
    }

    /// Closes the budget periods of a node that have ended.
    fn close_periods(&mut self, now: Micros, id: NodeId) {
        if let Some(node) = self.nodes.get_mut(&id) {
            node.close_periods(now, self.period, self.settings.mean_units);
        }
    }

    /// Updates a node's position in the ranking.
    fn update_rank(&mut self, now: Micros, id: NodeId) {
        self.nodes.update_rank(now, id, &self.settings);
    }
}

#[cfg(test)]
mod node_selection_tests;
