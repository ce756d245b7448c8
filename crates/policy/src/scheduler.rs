//! All decisions of heathward. Settings, events, actions and ids are in `src/api.rs`; the plain records
//! that this file fills (`Job`, `Volume`, `Node`) are in `src/state.rs`. Here: constants, state, events,
//! periods. In the submodules: admission, the send gate (every rule), outcomes with the finish point, and
//! the list.

use std::collections::{BTreeMap, BTreeSet};

use crate::api::{
    Action, EndpointListMode, EntryCounts, Event, Micros, NodeId, NodeStatus, RequestId, Settings,
    SettingsError,
};
use crate::node_table::NodeTable;
use crate::state::{Following, Held, Job, Lines, Node, Portion, Tally};
use crate::volume_table::VolumeTable;

mod admission;
mod endpoints;
mod outcomes;
mod send_rules;

/// Lookback of the admission test, from the design page: long enough for a whole surge.
const LOOKBACK: Micros = 30_000_000;
/// Safety margin τ of the admission test: load that is full on average leaves no room for one more.
const MARGIN: f64 = 0.9;
/// A session closes after this many periods without a request: longer than a pause between reads.
const IDLE_PERIODS: u64 = 20;
/// Periods that count as recent when the best is looked for: a few answers at a typical share of a node.
const RECENT_PERIODS: usize = 8;
/// Budget floor and ceiling in mean requests, from the design page.
const FLOOR_REQUESTS: f64 = 4.0;
const CEILING_REQUESTS: f64 = 32.0;
/// Wait at a node, in shortest aims, at which a request of highest and of no worth finds no room any more.
/// ConnectionTable shrinks evenly up to there; .55, .75 and 1.5 did worse.
const PATIENCE: (f64, f64) = (1.1, 0.15);
/// An attempt is given up after this many times the time to its due: some nodes drop it then.
const GIVE_UP: Micros = 3;
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
const CHANCE: f64 = 0.2;
/// Usual service times after which the rest counts as waiting: chance is no queue. 1 refused much on quiet
/// days with many hosts, 2 let a little more through in jams.
const SERVICE: f64 = 1.5;
/// Weight of the newest answer in the wait of all nodes together; half of it did worse with many hosts.
const PRIOR_GAIN: f64 = 0.2;
/// Units a second of a volume's share, in usual rates of its weight; .5 and 1 did worse with many hosts.
const SHARE_RATES: f64 = 2.0;
/// Largest requests in the stores of all a volume's hosts; 2 and 6 did no better.
const BURST_PART: f64 = 1.5;
/// Span in seconds over which a volume's use is averaged: shows a surge, not a second's chance; 4 did worse.
const USE_SPAN: f64 = 2.0;
/// Attempts in a row that time out, and periods without a word, after which a node is silent and not paused.
const SILENT: (u32, u64) = (3, 7);
/// First and longest pause before a failed subscription is opened anew.
const RESUBSCRIBE: (Micros, Micros) = (300_000, 2_400_000);

#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum Gate {
    Go,
    Later,
    /// No room for any request now.
    Closed,
    Never,
}

/// The scheduler of one host. Feed it every event in order; it answers with actions.
#[derive(Clone, Debug)]
pub struct Scheduler {
    set: Settings,
    rng: fastrand::Rng,
    period: Micros,
    born: Option<Micros>,
    nodes: NodeTable,
    /// Chance by which ties between nodes go.
    ties: fastrand::Rng,
    held: Held,
    jobs: BTreeMap<RequestId, Job>,
    volumes: VolumeTable,
    lines: Lines,
    limits: BTreeSet<(Micros, RequestId)>,
    tally: Tally,
    /// Microseconds of plain service for one unit, as seen on good answers.
    unit_time: f64,
    /// Mean wait in late news of all nodes, none counted past full patience, and when it came.
    prior: (f64, Micros),
    wake: (u64, Micros),
    list: Following,
}

impl Scheduler {
    /// A scheduler for one host; `seed` is its only source of chance.
    pub fn new(set: Settings, seed: u64) -> Result<Self, SettingsError> {
        set.validate()?;
        let period = set.period();
        Ok(Self {
            rng: fastrand::Rng::with_seed(seed),
            period,
            born: None,
            nodes: NodeTable::default(),
            ties: fastrand::Rng::with_seed(!seed),
            held: Held::default(),
            jobs: BTreeMap::new(),
            volumes: VolumeTable::default(),
            lines: Lines::default(),
            limits: BTreeSet::new(),
            tally: Tally::default(),
            unit_time: period as f64 / (4.0 * set.mean_units),
            prior: (0.0, 0),
            wake: (0, 0),
            list: Following::default(),
            set,
        })
    }

    /// Goes on with other settings, or with the old ones where these make no sense. Classes and plans keep
    /// their places; what is open keeps the times that it was given.
    pub fn update_settings(&mut self, set: Settings) -> Result<(), SettingsError> {
        set.validate()?;
        (self.period, self.set) = (set.period(), set);
        Ok(())
    }

    /// How a node is treated now.
    pub fn node_status(&self, now: Micros, id: NodeId) -> Option<NodeStatus> {
        self.nodes.get(&id).map(|node| node.standing(now))
    }

    /// How much it keeps, for whoever watches its memory.
    pub fn entry_counts(&self) -> EntryCounts {
        let of_requests = self.limits.len().max(self.lines.queues.len()).max(self.held.loose.len());
        let timed = self.tally.taken.len().max(self.tally.extras.len()).max(self.lines.rests.len());
        EntryCounts {
            requests: self.jobs.len().max(of_requests),
            volumes: self.volumes.len(),
            nodes: self.nodes.len().max(self.nodes.shards.len()).max(self.held.busy.len()),
            timestamps: timed,
        }
    }

    /// Takes one event and appends the actions that answer it.
    pub fn handle(&mut self, now: Micros, event: Event, out: &mut Vec<Action>) {
        if self.born.is_none() {
            self.born = Some(now);
            self.tally.sweep = now + LOOKBACK;
            // All hosts may start at once: their first calls are spread.
            let first = now + self.rng.u64(0..=RESUBSCRIBE.0);
            self.list.due = (self.set.endpoint_list_mode != EndpointListMode::Streamed).then_some(first);
        }
        match event {
            Event::EndpointUpdate { kind, entries } => self.on_list(now, kind, &entries, out),
            Event::RequestArrived(request) => self.on_arrival(now, request, out),
            Event::AttemptEnded(outcome) => self.on_outcome(now, outcome, out),
            Event::StreamStarted { request } => {
                let deadline = self.jobs.get(&request).map(|job| (job.deadline, request));
                deadline.map(|limit| self.limits.remove(&limit));
            }
            Event::ClientDisconnected { request } => self.forget(now, request, out),
            Event::TimerFired { token } if token == self.wake.0 => self.wake.1 = 0,
            Event::TimerFired { .. } => {}
        }
        self.expire(now, out);
        if now >= self.held.look {
            self.pump_all(now, out);
        }
        if self.list.due.is_some_and(|due| due <= now) {
            out.push(Action::Subscribe);
            self.list.due = Some(now + 2 * RESUBSCRIBE.1 + self.rng.u64(0..=RESUBSCRIBE.0));
        }
        if now >= self.tally.sweep {
            self.sweep(now);
        }
        self.arm(now, out);
    }

    /// Asks to be woken when something can have changed, if no earlier call is on its way.
    fn arm(&mut self, now: Micros, out: &mut Vec<Action>) {
        let held = (!self.held.loose.is_empty() || !self.held.busy.is_empty()).then_some(self.held.look);
        let limit = self.last_moment().map(|(at, _)| at);
        let rest = self.lines.rests.first().map(|(rest, _)| *rest);
        let Some(at) = [held, limit, rest, self.list.due].into_iter().flatten().min() else { return };
        let at = at.max(now + 1);
        if self.wake.1 == 0 || at < self.wake.1 {
            self.wake = (self.wake.0 + 1, at);
            out.push(Action::SetTimer { token: self.wake.0, at });
        }
    }

    /// Forgets volumes and nodes neither open, listed nor recent; a volume's limit once its store is full.
    fn sweep(&mut self, now: Micros) {
        let old = now.saturating_sub(LOOKBACK);
        self.volumes.forget_idle(old, |v| {
            let plan = &self.set.plans[v.plan.0 as usize];
            plan.rate_limit > 0.0 && v.allowed(now, plan) < plan.burst / f64::from(v.hosts)
        });
        self.nodes.forget_unused(old);
        self.tally.sweep = now + LOOKBACK;
    }

    /// Closes a node's periods that have passed; empty ones past the recent and the idle cut tell nothing.
    fn close_periods(&mut self, now: Micros, node_id: NodeId) {
        let Some(node) = self.nodes.get_mut(&node_id) else { return };
        let (mean, period) = (self.set.mean_units, self.period);
        let (lookback, idle) = ((LOOKBACK / period).max(1) as usize, period * IDLE_PERIODS);
        let told = now.saturating_sub(idle + period * RECENT_PERIODS as u64);
        node.period_end = node.period_end.max(told);
        while node.period_end <= now {
            let end = node.period_end;
            node.sessions.retain(|_, seen| end.saturating_sub(*seen) < idle);
            node.best.push_back(node.served);
            if node.best.len() > RECENT_PERIODS {
                node.best.pop_front();
            }
            let best = node.best.iter().copied().fold(0.0, f64::max);
            node.strained = node.filled && node.late > 0;
            // Kept when this host asks little: only a filled budget can shrink.
            if node.strained {
                node.budget = best;
            } else if node.filled && node.timely > 0 {
                node.budget = node.budget.max(best) + mean;
            }
            node.budget = node.budget.max(best).clamp(FLOOR_REQUESTS * mean, CEILING_REQUESTS * mean);
            if !node.sessions.is_empty() {
                let rate = node.peak / node.budget / node.sessions.len() as f64;
                node.rates.push_back(rate);
                node.rate_sum += rate;
                if node.rates.len() > lookback {
                    node.rate_sum -= node.rates.pop_front().unwrap_or(0.0);
                }
            }
            (node.served, node.late, node.timely, node.filled) = (0.0, 0, 0, !node.held.is_empty());
            node.peak = node.out_units + node.held_units;
            node.period_end += period;
        }
    }
}

impl Node {
    /// The lookback test: r x (sessions + 1) < τ. It refuses only while the budget was filled and answers
    /// ran past aim; a volume inside its reservation, or a node with no history, passes.
    fn passes(&self, portion: Portion) -> bool {
        if portion == Portion::Reserve || self.rates.is_empty() || !self.strained {
            return true;
        }
        let rate = self.rate_sum / self.rates.len() as f64;
        rate * (self.sessions.len() as f64 + 1.0) < MARGIN
    }

    /// The wait of late answers, fading into that of all nodes together while none come.
    fn faded(&self, now: Micros, prior: f64) -> f64 {
        let fresh = self.fresh(now);
        self.wait * fresh + prior * (1.0 - fresh)
    }

    fn fresh(&self, now: Micros) -> f64 {
        if self.wait_at == 0 {
            return 0.0;
        }
        (-(now.saturating_sub(self.wait_at) as f64) / self.news_life()).exp()
    }

    /// Time in which news of it fades.
    fn news_life(&self) -> f64 {
        self.gap.clamp(NEWS_LIFE.0, NEWS_LIFE.1)
    }

    fn learn(&mut self, now: Micros, wait: f64, prior: f64) {
        let gain = WAIT_GAIN.0.max(WAIT_GAIN.1 * (1.0 - self.fresh(now)));
        let faded = self.faded(now, prior);
        if self.wait_at > 0 {
            self.gap += WAIT_GAIN.0 * (now.saturating_sub(self.wait_at) as f64 - self.gap);
        }
        (self.wait, self.wait_at) = (faded + gain * (wait - faded), now);
    }
}

#[cfg(test)]
mod node_selection_tests;
