//! Records of schedulers that never ran, written here event by event.

use heathward_event_log::read::SegmentItem;
use heathward_event_log::{
    AttemptEnd, AttemptRecord, ClassInfo, ClassSecond, EndpointUpdate, EndpointUpdateKind, Event, Lifecycle,
    ListedEndpoint, NodeState, NodeStateChange, Record, RequestOutcome, RequestRecord, SegmentOpened,
    StateChangeCause, Timestamp,
};
use heathward_incident::Fold;

/// 09:00 on the first of December 2026, microseconds.
pub const NINE: u64 = 1_796_115_600_000_000;
/// Microseconds of a millisecond.
pub const MS: u64 = 1000;

/// A boot that began `begun` ms after nine, whose wall clock is `ahead` ms ahead.
pub struct Told {
    /// The scheduler's name.
    pub name: &'static str,
    /// When it began, ms after nine.
    pub begun: u64,
    ahead: i64,
    /// The last event's number.
    pub seq: u64,
    /// What its segments hold.
    pub items: Vec<SegmentItem>,
}

impl Told {
    /// Begins it.
    pub fn new(name: &'static str, begun: u64, ahead: i64) -> Self {
        let class = |name: &str, window: u64| ClassInfo {
            name: name.into(),
            latency_objective: 150 * MS,
            deadline: 1000 * MS,
            deduplication_window: window * MS,
        };
        let opened = SegmentOpened {
            scheduler: name.into(),
            boot: begun + 1,
            classes: vec![class("consulta", 0), class("pedido", 2500)],
            slow_start_units: 24.0,
            slow_start_fraction: 0.24,
            slow_start_duration: 6_000 * MS,
            overload_window: 500 * MS,
            records_requests: true,
            ..SegmentOpened::default()
        };
        let mut new = Self { name, begun, ahead, seq: 0, items: Vec::new() };
        new.items.push(SegmentItem::Record(Record {
            sequence: 0,
            time: new.stamp(begun),
            event: Event::SegmentOpened(opened),
        }));
        new.put(begun, Event::Lifecycle(Lifecycle::Started));
        new
    }

    /// The boot's clocks at a true time, ms after nine.
    pub fn stamp(&self, at: u64) -> Timestamp {
        Timestamp {
            wall_clock: (NINE + at * MS).saturating_add_signed(self.ahead * 1000),
            monotonic: self.mono(at),
        }
    }

    /// Its monotonic time at a true time.
    pub fn mono(&self, at: u64) -> u64 {
        (at - self.begun) * MS
    }

    /// An event.
    pub fn put(&mut self, at: u64, event: Event) {
        self.seq += 1;
        self.items.push(SegmentItem::Record(Record { sequence: self.seq, time: self.stamp(at), event }));
    }

    /// The list changes a node in a version.
    pub fn list(&mut self, at: u64, revision: u64, node: &str, state: NodeState) {
        let node =
            ListedEndpoint { node: node.into(), shard: u32::from(node == "s1"), state, started_at: None };
        self.put(
            at,
            Event::EndpointUpdate(EndpointUpdate {
                revision,
                kind: EndpointUpdateKind::Changes,
                nodes: vec![node],
            }),
        );
    }

    /// It treats a node so from then on.
    pub fn node(&mut self, at: u64, node: &str, state: NodeState, why: StateChangeCause) {
        self.put(at, Event::NodeStateChanged(NodeStateChange { node: node.into(), state, cause: why }));
    }

    /// A second of the first class.
    pub fn class(&mut self, at: u64, in_aim: u32, late: u32) {
        let from = self.mono(at);
        let counts = ClassSecond {
            start: from,
            duration: 1000 * MS,
            received: in_aim + late,
            within_objective: in_aim,
            late,
            ..ClassSecond::default()
        };
        self.put(at + 1000, Event::ClassSecond(counts));
    }

    /// A request that came at `at`, with attempts at `(node, sent, ended, how)`.
    pub fn request(
        &mut self,
        id: u64,
        class: u16,
        at: u64,
        attempts: &[(&str, u64, u64, AttemptEnd)],
        answered: u64,
    ) {
        let attempt = |(node, sent, ended, end): &(&str, u64, u64, AttemptEnd)| AttemptRecord {
            node: (*node).into(),
            sent_at: self.mono(*sent),
            end: Some((self.mono(*ended), *end)),
        };
        let done = RequestRecord {
            request: id,
            class,
            plan: 0,
            volume: 7,
            units: 2,
            arrived_at: self.mono(at),
            ended_at: self.mono(answered),
            outcome: RequestOutcome::Served,
            attempts: attempts.iter().map(attempt).collect(),
        };
        self.put(answered, Event::RequestEnded(done));
    }

    /// It ends by plan.
    pub fn end(mut self, at: u64) -> Self {
        self.put(at, Event::Lifecycle(Lifecycle::Stopped));
        self
    }

    /// Its records, folded.
    pub fn fold(&self) -> Fold {
        let mut fold = Fold::new(self.name, self.begun + 1);
        self.items.iter().for_each(|item| fold.take(item));
        fold.finish();
        fold
    }
}
