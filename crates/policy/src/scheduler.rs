//! All decisions of heathward. Settings, events, actions and ids are in `src/api.rs`; the plain records
//! that this file fills (`Job`, `Volume`, `Node`) are in `src/state.rs`. Here: constants, state, events,
//! periods. In the submodules: admission, the send gate (every rule), outcomes with the finish point, and
//! the list.

use std::collections::{BTreeMap, BTreeSet};

use crate::api::{
    Action, EntryCounts, Event, Micros, NodeId, NodeStatus, RequestId, Settings, SettingsError,
};
use crate::endpoint_subscription::EndpointSubscription;
use crate::key_queues::KeyQueues;
use crate::local_answer_log::LocalAnswerLog;
use crate::node_table::NodeTable;
use crate::retry_window::RetryWindow;
use crate::state::{Node, QueuedRequests, TrackedRequest};
use crate::volume::QuotaTier;
use crate::volume_table::VolumeTable;

mod admission;
mod endpoints;
mod outcomes;
mod send_rules;

/// Lookback of the admission test, from the design page: long enough for a whole surge.
const ADMISSION_LOOKBACK: Micros = 30_000_000;
/// Safety margin τ of the admission test: load that is full on average leaves no room for one more.
const MAX_ADMITTED_LOAD: f64 = 0.9;
/// A session closes after this many periods without a request: longer than a pause between reads.
const SESSION_IDLE_PERIODS: u64 = 20;
/// Periods that count as recent when the best is looked for: a few answers at a typical share of a node.
const RECENT_PERIODS: usize = 8;
/// Budget floor and ceiling in mean requests, from the design page.
const FLOOR_REQUESTS: f64 = 4.0;
const CEILING_REQUESTS: f64 = 32.0;
/// Wait at a node, in shortest aims, at which a request of highest and of no worth finds no room any more.
/// ConnectionTable shrinks evenly up to there; .55, .75 and 1.5 did worse.
const PATIENCE: (f64, f64) = (1.1, 0.15);
/// An attempt is given up after this many times the time to its due: some nodes drop it then.
const ATTEMPT_TIMEOUT_FACTOR: Micros = 3;
/// Periods after which an attempt that a later one overtook counts as stuck: two of the shortest aims.
const STUCK_PERIODS: u64 = 4;
/// Weight of the newest answer in a node's wait, right after another and after a long silence: two or three
/// answers move it, one pause or costly request does not; all of it after a silence did worse.
const WAIT_GAIN: (f64, f64) = (0.3, 0.6);
/// Lifetime of news of a node, microseconds: as long as it usually takes to hear of it again, within these
/// bounds. Past it the wait of all nodes together stands in. Longest measured at 1.5, 3, 6 and 12 s.
const NEWS_LIFE: (f64, f64) = (500_000.0, 12_000_000.0);
/// Part of patience that stale news of a wait takes away by chance, so that many hosts do not open a node at
/// one moment. All of it, and half, turned away many shares of a fleet whose answers came in time.
const STALE_ESTIMATE_JITTER: f64 = 0.2;
/// Usual service times after which the rest counts as waiting: chance is no queue. 1 refused much on quiet
/// days with many hosts, 2 let a little more through in jams.
const EXPECTED_SERVICE_TIMES: f64 = 1.5;
/// Weight of the newest answer in the wait of all nodes together; half of it did worse with many hosts.
const FLEET_DELAY_WEIGHT: f64 = 0.2;
/// Attempts in a row that time out, and periods without a word, after which a node is silent and not paused.
const SILENT: (u32, u64) = (3, 7);

#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum SendDecision {
    Allowed,
    NotYet,
    /// No room for any request now.
    NoCapacity,
    Never,
}

/// The scheduler of one host. Feed it every event in order; it answers with actions.
#[derive(Clone, Debug)]
pub struct Scheduler {
    settings: Settings,
    random: fastrand::Rng,
    period: Micros,
    started_at: Option<Micros>,
    nodes: NodeTable,
    /// Chance by which ties between nodes go.
    tie_breaker: fastrand::Rng,
    queued: QueuedRequests,
    requests: BTreeMap<RequestId, TrackedRequest>,
    volumes: VolumeTable,
    key_queues: KeyQueues,
    deadlines: BTreeSet<(Micros, RequestId)>,
    retry_window: RetryWindow,
    answer_log: LocalAnswerLog,
    next_cleanup: Micros,
    /// Microseconds of plain service for one unit, as seen on good answers.
    unit_service_time: f64,
    /// Mean wait in late news of all nodes, none counted past full patience, and when it came.
    fleet_delay: (f64, Micros),
    timer: (u64, Micros),
    subscription: EndpointSubscription,
}

impl Scheduler {
    /// A scheduler for one host; `seed` is its only source of chance.
    pub fn new(set: Settings, seed: u64) -> Result<Self, SettingsError> {
        set.validate()?;
        let period = set.period();
        Ok(Self {
            random: fastrand::Rng::with_seed(seed),
            period,
            started_at: None,
            nodes: NodeTable::default(),
            tie_breaker: fastrand::Rng::with_seed(!seed),
            queued: QueuedRequests::default(),
            requests: BTreeMap::new(),
            volumes: VolumeTable::default(),
            key_queues: KeyQueues::default(),
            deadlines: BTreeSet::new(),
            retry_window: RetryWindow::default(),
            answer_log: LocalAnswerLog::default(),
            next_cleanup: 0,
            unit_service_time: period as f64 / (4.0 * set.mean_units),
            fleet_delay: (0.0, 0),
            timer: (0, 0),
            subscription: EndpointSubscription::default(),
            settings: set,
        })
    }

    /// Goes on with other settings, or with the old ones where these make no sense. Classes and plans keep
    /// their places; what is open keeps the times that it was given.
    pub fn update_settings(&mut self, set: Settings) -> Result<(), SettingsError> {
        set.validate()?;
        (self.period, self.settings) = (set.period(), set);
        Ok(())
    }

    /// How a node is treated now.
    pub fn node_status(&self, now: Micros, id: NodeId) -> Option<NodeStatus> {
        self.nodes.get(&id).map(|node| node.status(now))
    }

    /// How much it keeps, for whoever watches its memory.
    pub fn entry_counts(&self) -> EntryCounts {
        let of_requests = self.deadlines.len().max(self.key_queues.len()).max(self.queued.unsharded.len());
        EntryCounts {
            requests: self.requests.len().max(of_requests),
            volumes: self.volumes.len(),
            nodes: self.nodes.len().max(self.nodes.shards.len()).max(self.queued.nodes_with_queue.len()),
            timestamps: self.retry_window.len().max(self.key_queues.cool_down_count()),
        }
    }

    /// Takes one event and appends the actions that answer it.
    pub fn handle(&mut self, now: Micros, event: Event, out: &mut Vec<Action>) {
        if self.started_at.is_none() {
            self.started_at = Some(now);
            self.next_cleanup = now + ADMISSION_LOOKBACK;
            self.subscription.start(now, self.settings.endpoint_list_mode, &mut self.random);
        }
        match event {
            Event::EndpointUpdate { kind, entries } => self.on_endpoint_update(now, kind, &entries, out),
            Event::RequestArrived(request) => self.on_request_arrived(now, request, out),
            Event::AttemptEnded(outcome) => self.on_attempt_ended(now, outcome, out),
            Event::StreamStarted { request } => {
                let deadline = self.requests.get(&request).map(|job| (job.deadline, request));
                deadline.map(|limit| self.deadlines.remove(&limit));
            }
            Event::ClientDisconnected { request } => self.drop_request(now, request, out),
            Event::TimerFired { token } if token == self.timer.0 => self.timer.1 = 0,
            Event::TimerFired { .. } => {}
        }
        self.expire(now, out);
        if now >= self.queued.next_scan {
            self.dispatch_all_queued(now, out);
        }
        if self.subscription.take_due(now, &mut self.random) {
            out.push(Action::Subscribe);
        }
        if now >= self.next_cleanup {
            self.clean_up(now);
        }
        self.set_timer(now, out);
    }

    /// Asks to be woken when something can have changed, if no earlier call is on its way.
    fn set_timer(&mut self, now: Micros, out: &mut Vec<Action>) {
        let held = (!self.queued.unsharded.is_empty() || !self.queued.nodes_with_queue.is_empty())
            .then_some(self.queued.next_scan);
        let limit = self.next_expiry().map(|(at, _)| at);
        let rest = self.key_queues.next_cool_down_end();
        let Some(at) = [held, limit, rest, self.subscription.next_attempt()].into_iter().flatten().min()
        else {
            return;
        };
        let at = at.max(now + 1);
        if self.timer.1 == 0 || at < self.timer.1 {
            self.timer = (self.timer.0 + 1, at);
            out.push(Action::SetTimer { token: self.timer.0, at });
        }
    }

    /// Forgets volumes and nodes neither open, listed nor recent; a volume's limit once its store is full.
    fn clean_up(&mut self, now: Micros) {
        let old = now.saturating_sub(ADMISSION_LOOKBACK);
        self.volumes.forget_idle(old, |v| {
            let plan = &self.settings.plans[v.plan.0 as usize];
            v.has_spent_limit(now, plan)
        });
        self.nodes.forget_unused(old);
        self.next_cleanup = now + ADMISSION_LOOKBACK;
    }

    /// Closes a node's periods that have passed; empty ones past the recent and the idle cut tell nothing.
    fn close_periods(&mut self, now: Micros, node_id: NodeId) {
        let Some(node) = self.nodes.get_mut(&node_id) else { return };
        let (mean, period) = (self.settings.mean_units, self.period);
        let (lookback, idle) = ((ADMISSION_LOOKBACK / period).max(1) as usize, period * SESSION_IDLE_PERIODS);
        let told = now.saturating_sub(idle + period * RECENT_PERIODS as u64);
        node.period_end = node.period_end.max(told);
        while node.period_end <= now {
            let end = node.period_end;
            node.sessions.retain(|_, seen| end.saturating_sub(*seen) < idle);
            node.recent_served_units.push_back(node.served_units);
            if node.recent_served_units.len() > RECENT_PERIODS {
                node.recent_served_units.pop_front();
            }
            let best = node.recent_served_units.iter().copied().fold(0.0, f64::max);
            node.overloaded = node.budget_filled && node.late_answers > 0;
            // EntryCounts when this host asks little: only a filled budget can shrink.
            if node.overloaded {
                node.budget = best;
            } else if node.budget_filled && node.timely_answers > 0 {
                node.budget = node.budget.max(best) + mean;
            }
            node.budget = node.budget.max(best).clamp(FLOOR_REQUESTS * mean, CEILING_REQUESTS * mean);
            if !node.sessions.is_empty() {
                let rate = node.peak_units / node.budget / node.sessions.len() as f64;
                node.rates.push_back(rate);
                node.rate_sum += rate;
                if node.rates.len() > lookback {
                    node.rate_sum -= node.rates.pop_front().unwrap_or(0.0);
                }
            }
            (node.served_units, node.late_answers, node.timely_answers, node.budget_filled) =
                (0.0, 0, 0, !node.queued.is_empty());
            node.peak_units = node.in_flight_units + node.queued_units;
            node.period_end += period;
        }
    }
}

impl Node {
    /// The lookback test: r x (sessions + 1) < τ. It refuses only while the budget was filled and answers
    /// ran past aim; a volume inside its reservation, or a node with no history, passes.
    fn admits_new_volume(&self, portion: QuotaTier) -> bool {
        if portion == QuotaTier::Reserved || self.rates.is_empty() || !self.overloaded {
            return true;
        }
        let rate = self.rate_sum / self.rates.len() as f64;
        rate * (self.sessions.len() as f64 + 1.0) < MAX_ADMITTED_LOAD
    }

    /// The wait of late answers, fading into that of all nodes together while none come.
    fn decayed_delay(&self, now: Micros, prior: f64) -> f64 {
        let fresh = self.delay_freshness(now);
        self.delay * fresh + prior * (1.0 - fresh)
    }

    fn delay_freshness(&self, now: Micros) -> f64 {
        if self.delay_updated_at == 0 {
            return 0.0;
        }
        (-(now.saturating_sub(self.delay_updated_at) as f64) / self.delay_lifetime()).exp()
    }

    /// Time in which news of it fades.
    fn delay_lifetime(&self) -> f64 {
        self.delay_interval.clamp(NEWS_LIFE.0, NEWS_LIFE.1)
    }

    fn observe_delay(&mut self, now: Micros, wait: f64, prior: f64) {
        let gain = WAIT_GAIN.0.max(WAIT_GAIN.1 * (1.0 - self.delay_freshness(now)));
        let faded = self.decayed_delay(now, prior);
        if self.delay_updated_at > 0 {
            self.delay_interval +=
                WAIT_GAIN.0 * (now.saturating_sub(self.delay_updated_at) as f64 - self.delay_interval);
        }
        (self.delay, self.delay_updated_at) = (faded + gain * (wait - faded), now);
    }
}

#[cfg(test)]
mod node_selection_tests;
