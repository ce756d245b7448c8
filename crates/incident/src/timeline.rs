//! Boots on one clock.

use std::collections::BTreeMap;

use heathward_event_log::{Lifecycle, Micros, NodeState, SegmentOpened, StateChangeCause};

use crate::audit::{certainly_too_much, Audit, Rule};
use crate::clocks::{solve, Bound, Offset, Sighting};
use crate::findings::{self, Finding};
use crate::fold::{Fold, Missing, Step};
use crate::series::{ClassCounts, NodeCounts, Series, Sum, SECOND};

/// A change of the list reaches all schedulers within that.
const LIST_SPREAD: i64 = 500_000;
/// A process that takes over goes on within that from when it was given the state.
const TAKEOVER: i64 = 5_000_000;
/// A scheduler gives a sign of life each second: one that was cut off had so long after its last word.
const AFTER_LAST_WORD: Micros = 2_000_000;

/// From when to when a report goes, on the common clock; the end is not within.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Window {
    /// From then.
    pub from: Micros,
    /// To then.
    pub to: Micros,
}

impl Window {
    /// All there is.
    pub const ALL: Self = Self { from: 0, to: Micros::MAX };

    /// The part of a while that lies within.
    pub fn clip(self, from: Micros, to: Micros) -> Option<(Micros, Micros)> {
        let (from, to) = (from.max(self.from), to.min(self.to));
        (from <= to && from < self.to).then_some((from, to))
    }
}

/// How a boot ended.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Ending {
    /// By plan.
    Planned,
    /// Without a last word: killed, or its end is not in the records.
    Cut,
    /// Not yet: its records are still being written.
    Running,
}

/// One run of one scheduler.
#[derive(Clone, Debug)]
pub struct Boot {
    /// The scheduler's name.
    pub scheduler: String,
    /// The boot's id.
    pub boot: u64,
    /// Its first event.
    pub from: Micros,
    /// Its last.
    pub to: Micros,
    /// How it ended.
    pub ending: Ending,
    /// What brings its monotonic time to the common time.
    pub offset: Offset,
    /// How far its wall clock was ahead at first, microseconds.
    pub ahead: i64,
    /// Steps of its wall clock.
    pub steps: Vec<(Micros, i64)>,
    /// What it went through.
    pub lifecycle: Vec<(Micros, Lifecycle)>,
    /// Its settings, where a segment's head was read.
    pub opened: Option<SegmentOpened>,
}

/// A while of which something is missing.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct HoleSeen {
    /// Whose, by place among the boots.
    pub boot: usize,
    /// From then.
    pub from: Micros,
    /// To then.
    pub to: Micros,
    /// Events, where they can be counted.
    pub events: u64,
    /// Why.
    pub why: Missing,
}

/// A class's requests over time, from all schedulers.
#[derive(Clone, Debug)]
pub struct ClassTable {
    /// Its name.
    pub name: String,
    /// Its aim, microseconds.
    pub aim: Micros,
    /// Counts.
    pub series: Series<ClassCounts>,
}

/// A while in which one scheduler treated a node the same.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct SpanSeen {
    /// From then.
    pub from: Micros,
    /// To then.
    pub to: Micros,
    /// How.
    pub state: NodeState,
    /// Why it began.
    pub why: StateChangeCause,
}

/// How one boot treated a node.
#[derive(Clone, Debug)]
pub struct Lane {
    /// Whose, by place among the boots.
    pub boot: usize,
    /// In order.
    pub spans: Vec<SpanSeen>,
}

/// A node over time.
#[derive(Clone, Debug)]
pub struct NodeTable {
    /// Its id.
    pub name: String,
    /// Attempts, from all schedulers.
    pub series: Series<NodeCounts>,
    /// How each boot that knew it treated it.
    pub lanes: Vec<Lane>,
}

/// What happened, on one clock.
#[derive(Clone, Debug)]
pub struct Incident {
    /// First and last event within the window.
    pub window: Window,
    /// Runs of schedulers, by their beginnings.
    pub boots: Vec<Boot>,
    /// Classes, by name.
    pub classes: Vec<ClassTable>,
    /// Nodes, by name.
    pub nodes: Vec<NodeTable>,
    /// What is missing, by time.
    pub holes: Vec<HoleSeen>,
    /// The rules.
    pub audit: Audit,
    /// By how much the sightings of one event were let differ, microseconds.
    pub spread: i64,
    /// What was seen contradicts itself; clocks were taken at their word.
    pub contradictory: bool,
    /// In order of time.
    pub findings: Vec<Finding>,
}

/// A boot's time on the common clock.
fn common(offset: i64, mono: Micros) -> Micros {
    Micros::try_from(offset.saturating_add(mono as i64)).unwrap_or(0)
}

impl Incident {
    /// Brings boots together, in whatever order they come.
    pub fn of<'a>(folds: impl IntoIterator<Item = &'a Fold>, window: Window) -> Self {
        let mut folds: Vec<&Fold> = folds.into_iter().filter(|fold| fold.first.is_some()).collect();
        let guess = |fold: &Fold| fold.first.map_or(0, |at| at.wall_clock as i64 - at.monotonic as i64);
        folds.sort_by_key(|fold| (guess(fold), fold.boot));
        let guesses: Vec<i64> = folds.iter().map(|fold| guess(fold)).collect();
        let (bounds, sightings) = (orders(&folds, &guesses), sightings(&folds));
        // One clock more: that of the list, which tells when nodes started.
        let with_list: Vec<i64> = guesses.iter().copied().chain([0]).collect();
        let bounds: Vec<Bound> = bounds.into_iter().chain(starts(&folds)).collect();
        let mut solution = solve(&with_list, &bounds, &sightings, LIST_SPREAD);
        solution.offsets.truncate(folds.len());
        let mut new = Self {
            window,
            boots: Vec::new(),
            classes: Vec::new(),
            nodes: Vec::new(),
            holes: Vec::new(),
            audit: Audit::default(),
            spread: solution.spread,
            contradictory: solution.contradictory,
            findings: Vec::new(),
        };
        let boots = folds.iter().zip(&solution.offsets).zip(&guesses);
        new.boots = boots.map(|((fold, offset), guess)| boot(fold, *offset, *guess)).collect();
        for (place, fold) in folds.iter().enumerate() {
            new.add(place, fold);
        }
        new.close_holes(&folds);
        new.fit_window();
        new.check_cold_nodes();
        new.findings = findings::of(&new);
        new
    }

    fn add(&mut self, place: usize, fold: &Fold) {
        let Boot { offset, scheduler, opened, .. } = self.boots[place].clone();
        let at = |mono: Micros| common(offset.value, mono);
        for (class, series) in fold.classes.iter().enumerate() {
            let told = opened.as_ref().and_then(|opened| opened.classes.get(class)).cloned();
            let told = told.unwrap_or_default();
            let name = if told.name.is_empty() { format!("class {class}") } else { told.name };
            let known = self.classes.iter().position(|table| table.name == name);
            let known = known.unwrap_or_else(|| {
                self.classes.push(ClassTable {
                    name,
                    aim: told.latency_objective,
                    series: Series::default(),
                });
                self.classes.len() - 1
            });
            merge(&mut self.classes[known].series, series, at, self.window);
        }
        let window = self.window;
        for (name, series) in &fold.nodes {
            merge(&mut self.node(name).series, series, at, window);
        }
        for (name, spans) in fold.spans() {
            let seen = spans.iter().filter_map(|span| {
                let (from, to) = window.clip(at(span.from), at(span.to))?;
                Some(SpanSeen { from, to, state: span.state, why: span.why })
            });
            let spans = seen.collect();
            self.node(name).lanes.push(Lane { boot: place, spans });
        }
        for hole in &fold.holes {
            let (from, to) = (at(hole.from), at(hole.to));
            self.holes.push(HoleSeen { boot: place, from, to, events: hole.events, why: hole.why });
        }
        self.audit.take(&fold.audit, &scheduler, at);
    }

    fn node(&mut self, name: &str) -> &mut NodeTable {
        let place = self.nodes.binary_search_by(|table| table.name.as_str().cmp(name));
        let place = place.unwrap_or_else(|place| {
            let new = NodeTable { name: name.to_owned(), series: Series::default(), lanes: Vec::new() };
            self.nodes.insert(place, new);
            place
        });
        &mut self.nodes[place]
    }

    /// What a boot did after its last word is not known; it did nothing once the next of its name had begun.
    fn close_holes(&mut self, folds: &[&Fold]) {
        for hole in self.holes.iter_mut().filter(|hole| hole.why == Missing::Cut) {
            let name = &folds[hole.boot].scheduler;
            let later = self.boots.iter().filter(|b| b.scheduler == *name && b.from > hole.from);
            let next = later.map(|boot| boot.from).min().unwrap_or(Micros::MAX);
            hole.to = (hole.from + AFTER_LAST_WORD).min(next);
        }
        let window = self.window;
        self.holes.retain(|hole| window.clip(hole.from, hole.to).is_some());
        self.holes.sort_by_key(|hole| (hole.from, hole.to, hole.boot));
    }

    /// The window from the first to the last event, if it was wider.
    fn fit_window(&mut self) {
        let first = self.boots.iter().map(|boot| boot.from).min().unwrap_or(0);
        let last = self.boots.iter().map(|boot| boot.to).max().unwrap_or(0);
        let Window { from, to } = self.window;
        self.window = Window { from: from.max(first), to: to.min(last.saturating_add(1)) };
    }

    /// Whether something may be missing between two times, so that a count says "at least".
    pub fn at_least(&self, from: Micros, to: Micros) -> bool {
        self.holes.iter().any(|hole| hole.from < to && hole.to >= from)
    }

    /// How often rules were seen broken.
    pub fn audit_broken(&self) -> u64 {
        Rule::ALL.iter().map(|rule| self.audit.of(*rule).broken).sum()
    }

    /// Counts of cold nodes by the second, all schedulers together, against what a node bears.
    fn check_cold_nodes(&mut self) {
        let Some(settings) = self.boots.iter().find_map(|boot| boot.opened.clone()) else { return };
        if settings.slow_start_units <= 0.0 {
            return;
        }
        let mut breaches = Vec::new();
        let mut looked = 0;
        for table in &self.nodes {
            if table.series.width() > SECOND {
                continue;
            }
            for (from, counts) in table.series.iter().filter(|(_, counts)| counts.cold_units > 0) {
                looked += 1;
                // Each scheduler's second lies up to half of one beside the bin; the node is as old as it can
                // be.
                let (span, until) = (2 * SECOND, from + SECOND + SECOND / 2);
                let Some(age) = self.oldest(table, until) else { continue };
                let most = certainly_too_much(&settings, age, span);
                if counts.cold_units as f64 > most {
                    let why = format!(
                        "{} got {} units in a second, cold for {:.1} s; {most:.0} are too much for certain",
                        table.name,
                        counts.cold_units,
                        age as f64 / 1e6
                    );
                    breaches.push((from, why));
                }
            }
        }
        self.audit.look(Rule::ColdNodes, looked);
        breaches.into_iter().for_each(|(at, why)| self.audit.breach(Rule::ColdNodes, at, why));
    }

    /// How long a node has been cold by then, by the scheduler that has counted longest.
    fn oldest(&self, table: &NodeTable, by: Micros) -> Option<Micros> {
        let ages = table.lanes.iter().flat_map(|lane| {
            let ahead = self.boots[lane.boot].ahead;
            lane.spans.iter().filter(|span| span.from <= by).filter_map(move |span| match span.state {
                NodeState::SlowStart(since) => {
                    let since = since.saturating_add_signed(-ahead);
                    (span.to + SECOND >= by.saturating_sub(2 * SECOND)).then(|| by.saturating_sub(since))
                }
                _ => None,
            })
        });
        ages.max()
    }
}

fn boot(fold: &Fold, offset: Offset, guess: i64) -> Boot {
    let at = |mono: Micros| common(offset.value, mono);
    let step = |step: &Step| (at(step.at), step.by);
    Boot {
        scheduler: fold.scheduler.clone(),
        boot: fold.boot,
        from: at(fold.first.map_or(0, |first| first.monotonic)),
        to: at(fold.last.monotonic),
        ending: fold.ending(),
        offset,
        ahead: guess - offset.value,
        steps: fold.steps.iter().map(step).collect(),
        lifecycle: fold.lifecycle.iter().map(|(mono, what)| (at(*mono), *what)).collect(),
        opened: fold.opened.clone(),
    }
}

/// Adds a boot's bins to the common ones, each where its middle lies.
fn merge<T: Sum>(into: &mut Series<T>, from: &Series<T>, at: impl Fn(Micros) -> Micros, window: Window) {
    into.widen(from.width());
    for (begin, counts) in from.iter() {
        let middle = at(begin + from.width() / 2);
        if (window.from..window.to).contains(&middle) {
            into.at(middle).add(counts);
        }
    }
}

/// What must come one after the other: the boots of a scheduler, unless one takes over from the other.
fn orders(folds: &[&Fold], guesses: &[i64]) -> Vec<Bound> {
    let has =
        |fold: &Fold, what: Lifecycle| fold.lifecycle.iter().find(|(_, l)| *l == what).map(|(at, _)| *at);
    let mut bounds = Vec::new();
    let mut before = |a: usize, at_a: Micros, b: usize, at_b: Micros, most: Option<i64>| {
        // a's event comes before b's: offset[a] - offset[b] <= at_b - at_a.
        let apart = at_b as i64 - at_a as i64;
        bounds.push(Bound { from: b, to: a, most: apart });
        if let Some(most) = most {
            bounds.push(Bound { from: a, to: b, most: most - apart });
        }
    };
    let mut latest: BTreeMap<&str, Vec<usize>> = BTreeMap::new();
    // In order of their own clocks, which are those of one machine.
    let mut order: Vec<usize> = (0..folds.len()).collect();
    order.sort_by_key(|at| guesses[*at]);
    for b in order {
        let fold = &folds[b];
        let earlier = latest.entry(&fold.scheduler).or_default();
        if let Some(&a) = earlier.last() {
            let handed = has(folds[a], Lifecycle::HandedOver);
            let taken = has(fold, Lifecycle::TookOver);
            match (handed, taken) {
                (Some(handed), Some(taken)) => before(a, handed, b, taken, Some(TAKEOVER)),
                _ => before(a, folds[a].last.monotonic, b, fold.first.map_or(0, |at| at.monotonic), None),
            }
        }
        earlier.push(b);
    }
    bounds
}

/// Changes of the list that two boots have seen in one version.
fn sightings(folds: &[&Fold]) -> Vec<Sighting> {
    let mut sightings = Vec::new();
    for (a, one) in folds.iter().enumerate() {
        for (b, other) in folds.iter().enumerate().skip(a + 1) {
            let both =
                one.revisions.iter().filter_map(|(revision, at)| Some((at, other.revisions.get(revision)?)));
            // Common time is the same: at_a + offset[a] = at_b + offset[b].
            let apart = both.map(|(at_a, at_b)| *at_a as i64 - *at_b as i64);
            let mut apart: Vec<i64> = apart.collect();
            apart.sort_unstable();
            // One that got a change late, as its watch had broken, must not pull the clocks apart.
            let Some(&middle) = apart.get(apart.len() / 2) else { continue };
            let near = apart.into_iter().filter(|d| (d - middle).abs() <= LIST_SPREAD);
            sightings.extend(near.map(|difference| Sighting { a, b, difference }));
        }
    }
    sightings
}

/// A node's start, which the list's clock tells, comes before any boot hears of it.
fn starts(folds: &[&Fold]) -> Vec<Bound> {
    let list = folds.len();
    let bound = |(boot, fold): (usize, &&Fold)| {
        // started + offset[list] <= at + offset[boot], for each: the tightest counts.
        let apart = fold.starts.iter().map(|((_, started), at)| *at as i64 - *started as i64);
        Some(Bound { from: boot, to: list, most: apart.min()? })
    };
    folds.iter().enumerate().filter_map(bound).collect()
}
