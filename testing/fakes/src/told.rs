//! Records of schedulers that never ran, written here event by event.

use heathward_event_log::read::Item;
use heathward_event_log::{
    Attempted, Class, ClassSecond, Ended, Event, Kind, Lifecycle, Listed, ListedNode, NodeChange, NodeState,
    Opened, Outcome, Record, RequestDone, Stamp, Why,
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
    pub items: Vec<Item>,
}

impl Told {
    /// Begins it.
    pub fn new(name: &'static str, begun: u64, ahead: i64) -> Self {
        let class = |name: &str, window: u64| Class {
            name: name.into(),
            aim: 150 * MS,
            deadline: 1000 * MS,
            window: window * MS,
        };
        let opened = Opened {
            scheduler: name.into(),
            boot: begun + 1,
            classes: vec![class("consulta", 0), class("pedido", 2500)],
            cold_units: 24.0,
            cold_share: 0.24,
            cold_time: 6_000 * MS,
            fall_time: 500 * MS,
            requests: true,
            ..Opened::default()
        };
        let mut new = Self { name, begun, ahead, seq: 0, items: Vec::new() };
        new.items.push(Item::Record(Record { seq: 0, at: new.stamp(begun), event: Event::Opened(opened) }));
        new.put(begun, Event::Lifecycle(Lifecycle::Started));
        new
    }

    /// The boot's clocks at a true time, ms after nine.
    pub fn stamp(&self, at: u64) -> Stamp {
        Stamp { wall: (NINE + at * MS).saturating_add_signed(self.ahead * 1000), mono: self.mono(at) }
    }

    /// Its monotonic time at a true time.
    pub fn mono(&self, at: u64) -> u64 {
        (at - self.begun) * MS
    }

    /// An event.
    pub fn put(&mut self, at: u64, event: Event) {
        self.seq += 1;
        self.items.push(Item::Record(Record { seq: self.seq, at: self.stamp(at), event }));
    }

    /// The list changes a node in a version.
    pub fn list(&mut self, at: u64, revision: u64, node: &str, state: NodeState) {
        let node = ListedNode { node: node.into(), shard: u32::from(node == "s1"), state, started: None };
        self.put(at, Event::Listed(Listed { revision, kind: Kind::Changes, nodes: vec![node] }));
    }

    /// It treats a node so from then on.
    pub fn node(&mut self, at: u64, node: &str, state: NodeState, why: Why) {
        self.put(at, Event::Node(NodeChange { node: node.into(), state, why }));
    }

    /// A second of the first class.
    pub fn class(&mut self, at: u64, in_aim: u32, late: u32) {
        let from = self.mono(at);
        let counts = ClassSecond {
            from,
            span: 1000 * MS,
            taken: in_aim + late,
            in_aim,
            late,
            ..ClassSecond::default()
        };
        self.put(at + 1000, Event::Class(counts));
    }

    /// A request that came at `at`, with attempts at `(node, sent, ended, how)`.
    pub fn request(
        &mut self,
        id: u64,
        class: u16,
        at: u64,
        attempts: &[(&str, u64, u64, Ended)],
        answered: u64,
    ) {
        let attempt = |(node, sent, ended, end): &(&str, u64, u64, Ended)| Attempted {
            node: (*node).into(),
            sent: self.mono(*sent),
            ended: Some((self.mono(*ended), *end)),
        };
        let done = RequestDone {
            request: id,
            class,
            plan: 0,
            volume: 7,
            units: 2,
            arrived: self.mono(at),
            answered: self.mono(answered),
            outcome: Outcome::Served,
            attempts: attempts.iter().map(attempt).collect(),
        };
        self.put(answered, Event::Request(done));
    }

    /// It ends by plan.
    pub fn end(mut self, at: u64) -> Self {
        self.put(at, Event::Lifecycle(Lifecycle::Ended));
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
