//! One boot's records, in the order of its segments, folded in one pass: times are the boot's own.

use std::collections::{BTreeMap, BTreeSet, HashMap};

use hdrhistogram::serialization::Deserializer;
use hdrhistogram::Histogram;
use heathward_event_log::read::SegmentItem;
use heathward_event_log::{
    AttemptEnd, ClassSecond, EndpointUpdate, EndpointUpdateKind, Event, Gap, GapCause, Lifecycle, Micros,
    NodeState, NodeStateChange, Record, RequestRecord, SegmentOpened, StateChangeCause, Timestamp,
};
use serde::Serialize;

use crate::audit::{Audit, Rule};
use crate::series::{ClassCounts, NodeCounts, Series};
use crate::timeline::Ending;

/// A wall clock that moves against the monotonic one by more than that has stepped.
const STEP: i64 = 50_000;
/// Changes of nodes, gaps and the like that are kept of each kind; of more the first are.
const KEPT: usize = 100_000;
/// Requests that may end after one that began later: for how many an id is kept in mind.
const REMEMBERED: u64 = 65_536;
/// After a drain nothing new may be sent from then on.
const DRAIN_GRACE: Micros = 250_000;
/// An answer so much after its deadline is late: it includes what a loaded machine takes.
const LATE_GRACE: Micros = 50_000;

/// Why nothing is known of a while.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize)]
pub enum Missing {
    /// The writer did not keep up; told by the scheduler.
    #[serde(rename = "Queue")]
    Queue,
    /// The disk did not take records; told by the scheduler.
    #[serde(rename = "Disk")]
    Disk,
    /// Bytes of a segment are damaged.
    #[serde(rename = "Damage")]
    Damage,
    /// Events are not there, and nothing says why: a segment was deleted, perhaps.
    #[serde(rename = "Lost")]
    Lost,
    /// Of a schema that this program does not read.
    #[serde(rename = "Newer")]
    Newer,
    /// The process ended without a last word.
    #[serde(rename = "Cut")]
    Cut,
}

impl Missing {
    /// Its name in JSON and CSV; it stays when the variant is renamed.
    pub fn name(self) -> &'static str {
        match self {
            Self::Queue => "Queue",
            Self::Disk => "Disk",
            Self::Damage => "Damage",
            Self::Lost => "Lost",
            Self::Newer => "Newer",
            Self::Cut => "Cut",
        }
    }

    /// In words.
    pub fn words(self) -> &'static str {
        match self {
            Self::Queue => "the writer did not keep up",
            Self::Disk => "the disk took none",
            Self::Damage => "the file is damaged",
            Self::Lost => "they are not there, perhaps a deleted segment",
            Self::Newer => "they are of a newer form",
            Self::Cut => "it ended without a last word",
        }
    }
}

/// A while of which something is missing, by the boot's own clock.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Hole {
    /// The last known time before it.
    pub from: Micros,
    /// The first known time after it; the same as `from` for a boot that was cut off.
    pub to: Micros,
    /// Events, where they can be counted.
    pub events: u64,
    /// Why.
    pub why: Missing,
}

/// A step of the wall clock.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Step {
    /// When, by the boot's own clock.
    pub at: Micros,
    /// By how much, microseconds.
    pub by: i64,
}

/// What one boot's records say.
pub struct Fold {
    /// The scheduler's name, as the segments' names have it until one says it in full.
    pub scheduler: String,
    /// The boot.
    pub boot: u64,
    /// The settings, once a segment's head was read.
    pub opened: Option<SegmentOpened>,
    /// First and last event.
    pub first: Option<Timestamp>,
    pub(crate) last: Timestamp,
    pub(crate) changes: Vec<(Micros, NodeStateChange)>,
    pub(crate) lifecycle: Vec<(Micros, Lifecycle)>,
    pub(crate) steps: Vec<Step>,
    pub(crate) holes: Vec<Hole>,
    /// First sight of each version of the list, as a change.
    pub(crate) revisions: BTreeMap<u64, Micros>,
    /// First sight of each start of a node that the list told of.
    pub(crate) starts: BTreeMap<(String, Micros), Micros>,
    pub(crate) shards: HashMap<String, u32>,
    pub(crate) classes: Vec<Series<ClassCounts>>,
    pub(crate) nodes: BTreeMap<String, Series<NodeCounts>>,
    pub(crate) audit: Audit,
    /// The last event's number.
    seq: u64,
    /// Something unreadable lies before the next event.
    damaged: Option<Missing>,
    /// Since when each node gets nothing new by rule.
    closed: HashMap<String, Micros>,
    /// Periods in the past of the same, of those that are recent.
    was_closed: Vec<(String, Micros, Micros)>,
    answered: BTreeSet<u64>,
    newest: u64,
    /// Reads times; kept for its buffers.
    times: Option<Deserializer>,
    /// Events of kinds that this program does not know.
    pub unknown: u64,
}

impl Fold {
    /// Of a boot that segments' names tell of.
    pub fn new(scheduler: &str, boot: u64) -> Self {
        Self {
            scheduler: scheduler.to_owned(),
            boot,
            opened: None,
            first: None,
            last: Timestamp::default(),
            changes: Vec::new(),
            lifecycle: Vec::new(),
            steps: Vec::new(),
            holes: Vec::new(),
            revisions: BTreeMap::new(),
            starts: BTreeMap::new(),
            shards: HashMap::new(),
            classes: Vec::new(),
            nodes: BTreeMap::new(),
            audit: Audit::default(),
            seq: 0,
            damaged: None,
            closed: HashMap::new(),
            was_closed: Vec::new(),
            answered: BTreeSet::new(),
            newest: 0,
            times: None,
            unknown: 0,
        }
    }

    /// The next item of the boot's segments.
    pub fn take(&mut self, item: &SegmentItem) {
        match item {
            SegmentItem::Record(record) => self.record(record),
            SegmentItem::Damaged { .. } | SegmentItem::Unreadable { .. } => {
                self.damaged = Some(Missing::Damage)
            }
            SegmentItem::Newer { .. } => self.damaged = Some(Missing::Newer),
        }
    }

    /// A whole segment can't be read, or was deleted meanwhile.
    pub fn miss(&mut self) {
        self.damaged.get_or_insert(Missing::Lost);
    }

    /// The last item has been taken.
    pub fn finish(&mut self) {
        if self.ending() == Ending::Running {
            let at = self.last.monotonic;
            self.holes.push(Hole { from: at, to: at, events: 0, why: Missing::Cut });
        }
    }

    /// The last event's time on the boot's own wall clock.
    pub fn last_wall(&self) -> Micros {
        self.last.wall_clock
    }

    pub(crate) fn ending(&self) -> Ending {
        match () {
            () if self.lifecycle.last().is_some_and(|(_, l)| *l == Lifecycle::Stopped) => Ending::Planned,
            () if self.holes.last().is_some_and(|hole| hole.why == Missing::Cut) => Ending::Cut,
            () => Ending::Running,
        }
    }

    fn record(&mut self, record: &Record) {
        if let Event::SegmentOpened(opened) = &record.event {
            self.scheduler.clone_from(&opened.scheduler);
            self.opened = Some(opened.clone());
            return;
        }
        self.count(record);
        let mono = record.time.monotonic;
        let before = self.first.map(|_| self.last);
        self.first.get_or_insert(record.time);
        if let Some(before) = before {
            let wall = record.time.wall_clock as i64 - before.wall_clock as i64;
            let by = wall - (mono as i64 - before.monotonic as i64);
            if by.abs() > STEP && self.steps.len() < KEPT {
                self.steps.push(Step { at: mono, by });
            }
        }
        self.last = record.time;
        match &record.event {
            Event::SegmentOpened(_) | Event::Gap(_) => {}
            Event::Unknown(_) => self.unknown += 1,
            Event::Lifecycle(lifecycle) => {
                if self.lifecycle.len() < KEPT {
                    self.lifecycle.push((mono, *lifecycle));
                }
            }
            Event::EndpointUpdate(listed) => self.listed(mono, listed),
            Event::NodeStateChanged(change) => self.change(mono, change),
            Event::ClassSecond(second) => self.class(second),
            Event::NodeSecond(second) => {
                let series = self.nodes.entry(second.node.clone()).or_default();
                let counts = NodeCounts::of(second);
                crate::series::Sum::add(series.at(second.start), &counts);
                self.check_second(second.start, second.duration, &second.node, second.sent);
            }
            Event::RequestEnded(done) => self.request(done),
        }
    }

    /// Numbers tell what is missing before this event.
    fn count(&mut self, record: &Record) {
        let damaged = self.damaged.take();
        let from = self.last.monotonic;
        let weight = record.event_count();
        if let Event::Gap(Gap { first: from, last: to, events, cause }) = record.event {
            let why = if cause == GapCause::QueueFull { Missing::Queue } else { Missing::Disk };
            self.holes.push(Hole { from: from.monotonic, to: to.monotonic, events, why });
        }
        let missing = (record.sequence + 1).saturating_sub(weight).saturating_sub(self.seq + 1);
        // What came before the first that is kept made way for others.
        if missing > 0 && (self.first.is_some() || damaged.is_some()) && self.holes.len() < KEPT {
            let why = damaged.unwrap_or(Missing::Lost);
            self.holes.push(Hole { from, to: record.time.monotonic, events: missing, why });
        }
        self.seq = self.seq.max(record.sequence);
    }

    fn listed(&mut self, mono: Micros, listed: &EndpointUpdate) {
        if listed.kind == EndpointUpdateKind::Changes && self.revisions.len() < KEPT {
            self.revisions.entry(listed.revision).or_insert(mono);
        }
        for node in &listed.nodes {
            self.shards.insert(node.node.clone(), node.shard);
            if let (Some(started), true) = (node.started_at, self.starts.len() < KEPT) {
                self.starts.entry((node.node.clone(), started)).or_insert(mono);
            }
        }
    }

    fn change(&mut self, mono: Micros, change: &NodeStateChange) {
        let closes = matches!(change.state, NodeState::Draining | NodeState::Suspended | NodeState::Removed);
        if closes {
            self.closed.entry(change.node.clone()).or_insert(mono);
        } else if let Some(since) = self.closed.remove(&change.node) {
            let longest = self.longest_deadline();
            self.was_closed.retain(|(.., to)| to + longest + LATE_GRACE >= mono);
            self.was_closed.push((change.node.clone(), since, mono));
        }
        if self.changes.len() < KEPT {
            self.changes.push((mono, change.clone()));
        }
    }

    fn longest_deadline(&self) -> Micros {
        let classes = self.opened.iter().flat_map(|opened| &opened.classes);
        classes.map(|class| class.deadline).max().unwrap_or(0)
    }

    /// Since when a node was closed to new attempts at a time.
    fn closed_at(&self, node: &str, at: Micros) -> Option<Micros> {
        let now = self.closed.get(node).copied().filter(|since| *since <= at);
        let past = || self.was_closed.iter().find(|(n, from, to)| n == node && (*from..*to).contains(&at));
        now.or_else(|| past().map(|(_, from, _)| *from))
    }

    fn class(&mut self, second: &ClassSecond) {
        let mut counts = ClassCounts::of(second);
        if !second.latency_histogram.is_empty() {
            let reader = self.times.get_or_insert_with(Deserializer::new);
            let times: Result<Histogram<u64>, _> =
                reader.deserialize(&mut second.latency_histogram.as_slice());
            // One that can't be read costs the times of its second, not the counts.
            for value in times.iter().flat_map(|times| times.iter_recorded()) {
                counts.times.add_many(value.value_iterated_to(), value.count_since_last_iteration());
            }
        }
        let place = usize::from(second.class);
        if self.classes.len() <= place {
            self.classes.resize_with(place + 1, Series::default);
        }
        crate::series::Sum::add(self.classes[place].at(second.start), &counts);
    }

    /// A second that lies wholly behind a drain: with single requests recorded, these are looked at instead.
    fn check_second(&mut self, from: Micros, span: Micros, node: &str, sent: u32) {
        if self.opened.as_ref().is_some_and(|opened| opened.records_requests) {
            return;
        }
        self.audit.look(Rule::Drains, u64::from(sent));
        let Some(since) = self.closed_at(node, from).filter(|_| sent > 0) else { return };
        if from > since + DRAIN_GRACE && self.closed_at(node, from + span) == Some(since) {
            let why = format!(
                "{sent} attempts sent to {node} in a second that began {} ms after it was closed",
                (from - since) / 1000
            );
            self.audit.breach(Rule::Drains, from, why);
        }
    }

    fn request(&mut self, done: &RequestRecord) {
        let class = self.opened.as_ref().and_then(|o| o.classes.get(usize::from(done.class))).cloned();
        let class = class.unwrap_or_default();
        let id = done.request;
        self.audit.look(Rule::OneAnswer, 1);
        if !self.answered.insert(id) {
            self.audit.breach(Rule::OneAnswer, done.ended_at, format!("request {id} was answered twice"));
        }
        self.newest = self.newest.max(id);
        while self.answered.first().is_some_and(|oldest| oldest + REMEMBERED < self.newest) {
            self.answered.pop_first();
        }
        self.audit.look(Rule::Deadlines, 1);
        let took = done.ended_at.saturating_sub(done.arrived_at);
        if class.deadline > 0 && took > class.deadline + LATE_GRACE {
            let why = format!("request {id} of {} got its answer after {} ms", class.name, took / 1000);
            self.audit.breach(Rule::Deadlines, done.ended_at, why);
        }
        let attempts = &done.attempts;
        self.audit.look(Rule::OneAttempt, attempts.len() as u64);
        for pair in attempts.windows(2) {
            if pair[0].end.is_none_or(|(ended, _)| ended > pair[1].sent_at) {
                let why =
                    format!("request {id} had attempts at {} and {} at once", pair[0].node, pair[1].node);
                self.audit.breach(Rule::OneAttempt, pair[1].sent_at, why);
            }
        }
        self.audit.look(Rule::Drains, attempts.len() as u64);
        for attempt in attempts {
            let since = self.closed_at(&attempt.node, attempt.sent_at);
            if let Some(since) = since.filter(|since| attempt.sent_at > since + DRAIN_GRACE) {
                let after = (attempt.sent_at - since) / 1000;
                let why = format!("request {id} was sent to {} {after} ms after it was closed", attempt.node);
                self.audit.breach(Rule::Drains, attempt.sent_at, why);
            }
        }
        if class.deduplication_window > 0 {
            self.keyed(done, class.deduplication_window);
        }
    }

    /// A keyed write that may have run is sent again only to its shard, and within the window.
    fn keyed(&mut self, done: &RequestRecord, window: Micros) {
        self.audit.look(Rule::KeyedRepeats, 1);
        let ran = |ended: Option<(Micros, AttemptEnd)>| {
            ended.is_none_or(|(_, end)| {
                matches!(
                    end,
                    AttemptEnd::Error | AttemptEnd::TimedOut | AttemptEnd::Reset | AttemptEnd::Cancelled
                )
            })
        };
        let Some(first) = done.attempts.iter().position(|a| ran(a.end)) else { return };
        let (sent, shard) = (done.attempts[first].sent_at, self.shards.get(&done.attempts[first].node));
        for repeat in &done.attempts[first + 1..] {
            let after = repeat.sent_at.saturating_sub(sent);
            let here = self.shards.get(&repeat.node);
            let why = match () {
                () if after > window => format!("{} ms after the first that may have run", after / 1000),
                () if here.is_some() && shard.is_some() && here != shard => "at another shard".to_owned(),
                () => continue,
            };
            let why = format!("keyed request {} was sent again to {} {why}", done.request, repeat.node);
            self.audit.breach(Rule::KeyedRepeats, repeat.sent_at, why);
        }
    }

    /// How each node was treated: from when to when, how and why.
    pub(crate) fn spans(&self) -> BTreeMap<&str, Vec<Span>> {
        let mut lanes: BTreeMap<&str, Vec<Span>> = BTreeMap::new();
        for (at, change) in &self.changes {
            let lane = lanes.entry(&change.node).or_default();
            if let Some(last) = lane.last_mut() {
                last.to = *at;
            }
            lane.push(Span { from: *at, to: self.last.monotonic, state: change.state, why: change.cause });
        }
        lanes
    }
}

/// A while in which a node was treated the same, by the boot's own clock.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Span {
    /// From then.
    pub from: Micros,
    /// To then, or the last that is known.
    pub to: Micros,
    /// How.
    pub state: NodeState,
    /// Why it began.
    pub why: StateChangeCause,
}
