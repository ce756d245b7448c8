//! Records that are stored already: a segment with every kind of event and every variant in it, as bytes in
//! the repository, is read to the same events, and the same events are written to the same bytes.
#![cfg(test)]

use std::path::PathBuf;

use heathward_event_log::frame::{encode, Identity};
use heathward_event_log::read::{segments, Item, SegmentReader};
use heathward_event_log::segment::head;
use heathward_event_log::{
    Attempted, Class, ClassSecond, Ended, Event, Failure, Gap, GapCause, Kind, Lifecycle, Listed, ListedNode,
    NodeChange, NodeSecond, NodeState, Opened, Outcome, Record, Refusal, RequestDone, Stamp, Why,
};

/// The segment that the fixture's name and head name.
const IDENTITY: Identity = Identity { boot: 0xb007, number: 3 };
const FIXTURE: &str = "n3-1764600000-000000000000b007-000003.hwr";

fn fixture() -> PathBuf {
    PathBuf::from(env!("CARGO_MANIFEST_DIR")).join("tests/fixtures").join(FIXTURE)
}

fn stamp(second: u64) -> Stamp {
    Stamp { wall: 1_764_600_000_000_000 + second * 1_000_000, mono: second * 1_000_000 + 7 }
}

fn opened() -> Opened {
    let class = |name: &str, window| Class { name: name.into(), aim: 150_000, deadline: 1_000_000, window };
    Opened {
        scheduler: "n3".into(),
        boot: 0xb007,
        segment: 3,
        version: "0.3.0".into(),
        pid: 4711,
        classes: vec![class("consulta", 0), class("pedido", 2_500_000)],
        plans: vec!["base".into(), "vital".into()],
        cold_units: 24.0,
        cold_share: 0.24,
        cold_time: 6_000_000,
        fall_time: 500_000,
        requests: true,
    }
}

fn lifecycle() -> Vec<Event> {
    let all = [
        Lifecycle::Started,
        Lifecycle::Ending,
        Lifecycle::Ended,
        Lifecycle::Reloaded(true),
        Lifecycle::Reloaded(false),
        Lifecycle::HandedOver,
        Lifecycle::TookOver,
        Lifecycle::Paused,
        Lifecycle::Resumed,
        Lifecycle::Stopped(6_000_000),
        Lifecycle::WentOn,
    ];
    all.map(Event::Lifecycle).into()
}

fn node_states() -> [NodeState; 6] {
    [
        NodeState::InService,
        NodeState::Cold(1_764_599_999_000_000),
        NodeState::Silent,
        NodeState::Suspended,
        NodeState::Draining,
        NodeState::Gone,
    ]
}

fn listed() -> Vec<Event> {
    let kinds = [Kind::Changes, Kind::Whole, Kind::Saved, Kind::Failed];
    let node = |(place, state): (usize, NodeState)| ListedNode {
        node: format!("s-{place}"),
        shard: place as u32,
        state,
        started: (place % 2 == 1).then_some(1_764_599_000_000_000),
    };
    let nodes: Vec<ListedNode> = node_states().into_iter().enumerate().map(node).collect();
    let list = |(place, kind): (usize, Kind)| {
        Event::Listed(Listed { revision: 40 + place as u64, kind, nodes: nodes.clone() })
    };
    kinds.into_iter().enumerate().map(list).collect()
}

fn ends() -> [Ended; 8] {
    [
        Ended::Served,
        Ended::Error,
        Ended::Full,
        Ended::TimedOut,
        Ended::NotConnected,
        Ended::Reset,
        Ended::Cancelled,
        Ended::NotSent,
    ]
}

fn node_changes() -> Vec<Event> {
    let reasons = [Why::List(41), Why::Order, Why::Handover, Why::Time].into_iter();
    let reasons = reasons.chain(ends().map(Why::Attempt));
    let states = node_states().into_iter().cycle();
    let change = |(why, state)| Event::Node(NodeChange { node: "s-1".into(), state, why });
    reasons.zip(states).map(change).collect()
}

fn seconds() -> [Event; 2] {
    let class = ClassSecond {
        from: 5_000_007,
        span: 1_000_000,
        class: 1,
        taken: 40,
        in_aim: 21,
        late: 3,
        refused: [1, 2, 3, 4, 5],
        failed: [6, 7, 8, 9],
        gone: 2,
        times: vec![0, 1, 127, 128, 255],
    };
    let node = NodeSecond {
        from: 5_000_007,
        span: 1_000_000,
        node: "s-1".into(),
        sent: 36,
        cold_units: 12,
        ends: [8, 7, 6, 5, 4, 3, 2, 1],
        most_out: 9,
    };
    [Event::Class(class), Event::NodeSecond(node)]
}

fn requests() -> Vec<Event> {
    let refusals =
        [Refusal::NotAdmitted, Refusal::GivenUp, Refusal::TurnedAway, Refusal::NotConnected, Refusal::Lost];
    let failures = [Failure::Late, Failure::LateMayHaveRun, Failure::MayHaveRun, Failure::Other];
    let outcomes = [Outcome::Served, Outcome::Gone].into_iter();
    let outcomes = outcomes.chain(refusals.map(Outcome::Refused)).chain(failures.map(Outcome::Failed));
    let ended = ends().into_iter().map(Some).chain([None]).enumerate();
    let attempts: Vec<Attempted> = ended
        .map(|(place, end)| Attempted {
            node: format!("s-{place}"),
            sent: 6_000_000 + place as u64,
            ended: end.map(|end| (6_000_500 + place as u64, end)),
        })
        .collect();
    let request = |(place, outcome): (usize, Outcome)| {
        Event::Request(RequestDone {
            request: 1000 + place as u64,
            class: 1,
            plan: 0,
            volume: 0x00ff_0000_0000_0001,
            units: 2,
            arrived: 6_000_000,
            answered: 6_700_000,
            outcome,
            attempts: if place == 0 { attempts.clone() } else { Vec::new() },
        })
    };
    outcomes.enumerate().map(request).collect()
}

fn gaps() -> [Event; 2] {
    [GapCause::Queue, GapCause::Disk]
        .map(|cause| Event::Gap(Gap { events: 1, from: stamp(60), to: stamp(61), cause }))
}

/// Every kind of event, with every variant of each type in it.
fn every_event() -> Vec<Record> {
    let events = [Event::Opened(opened())].into_iter();
    let events = events.chain(lifecycle()).chain(listed()).chain(node_changes()).chain(seconds());
    let events = events.chain(requests()).chain(gaps()).chain([Event::Unknown(99)]);
    let record =
        |(place, event): (usize, Event)| Record { seq: place as u64, at: stamp(place as u64), event };
    events.enumerate().map(record).collect()
}

fn bytes_of(records: &[Record]) -> Vec<u8> {
    let mut bytes = head(IDENTITY).to_vec();
    for record in records {
        let mut payload = Vec::new();
        record.encode(&mut payload);
        let offset = bytes.len() as u64;
        encode(&mut bytes, IDENTITY, offset, &payload).unwrap();
    }
    bytes
}

#[test]
fn a_stored_segment_is_read_to_the_same_events() {
    let found = segments(&[fixture()]).unwrap();
    let mut reader = SegmentReader::open(&found[0]).unwrap();
    let items: Vec<Item> = std::iter::from_fn(|| reader.next_item().unwrap()).collect();
    let expected: Vec<Item> = every_event().into_iter().map(Item::Record).collect();
    assert_eq!(items, expected);
}

#[test]
fn the_same_events_are_written_to_the_same_bytes() {
    assert!(bytes_of(&every_event()) == std::fs::read(fixture()).unwrap(), "the segment's bytes differ");
}
