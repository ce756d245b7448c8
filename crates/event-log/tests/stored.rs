//! Records that are stored already: a segment with every kind of event and every variant in it, as bytes in
//! the repository, is read to the same events, and the same events are written to the same bytes.
#![cfg(test)]

use std::path::PathBuf;

use heathward_event_log::frame::{encode, SegmentId};
use heathward_event_log::read::{find_segments, SegmentItem, SegmentReader};
use heathward_event_log::segment::encode_header;
use heathward_event_log::{
    AttemptEnd, AttemptRecord, ClassInfo, ClassSecond, EndpointUpdate, EndpointUpdateKind, Event,
    FailureReason, Gap, GapCause, Lifecycle, ListedEndpoint, NodeSecond, NodeState, NodeStateChange, Record,
    RequestOutcome, RequestRecord, SegmentOpened, ShedReason, StateChangeCause, Timestamp,
};

/// The segment that the fixture's name and head name.
const IDENTITY: SegmentId = SegmentId { boot: 0xb007, number: 3 };
const FIXTURE: &str = "n3-1764600000-000000000000b007-000003.hwr";

fn fixture() -> PathBuf {
    PathBuf::from(env!("CARGO_MANIFEST_DIR")).join("tests/fixtures").join(FIXTURE)
}

fn stamp(second: u64) -> Timestamp {
    Timestamp { wall_clock: 1_764_600_000_000_000 + second * 1_000_000, monotonic: second * 1_000_000 + 7 }
}

fn opened() -> SegmentOpened {
    let class = |name: &str, window| ClassInfo {
        name: name.into(),
        latency_objective: 150_000,
        deadline: 1_000_000,
        deduplication_window: window,
    };
    SegmentOpened {
        scheduler: "n3".into(),
        boot: 0xb007,
        segment: 3,
        version: "0.3.0".into(),
        pid: 4711,
        classes: vec![class("consulta", 0), class("pedido", 2_500_000)],
        plans: vec!["base".into(), "vital".into()],
        slow_start_units: 24.0,
        slow_start_fraction: 0.24,
        slow_start_duration: 6_000_000,
        overload_window: 500_000,
        records_requests: true,
    }
}

fn lifecycle() -> Vec<Event> {
    let all = [
        Lifecycle::Started,
        Lifecycle::ShuttingDown,
        Lifecycle::Stopped,
        Lifecycle::Reloaded(true),
        Lifecycle::Reloaded(false),
        Lifecycle::HandedOver,
        Lifecycle::TookOver,
        Lifecycle::Paused,
        Lifecycle::Resumed,
        Lifecycle::LeaseExpired(6_000_000),
        Lifecycle::LeaseRenewed,
    ];
    all.map(Event::Lifecycle).into()
}

fn node_states() -> [NodeState; 6] {
    [
        NodeState::InService,
        NodeState::SlowStart(1_764_599_999_000_000),
        NodeState::Unresponsive,
        NodeState::Suspended,
        NodeState::Draining,
        NodeState::Removed,
    ]
}

fn listed() -> Vec<Event> {
    let kinds = [
        EndpointUpdateKind::Changes,
        EndpointUpdateKind::Snapshot,
        EndpointUpdateKind::Cached,
        EndpointUpdateKind::Failed,
    ];
    let node = |(place, state): (usize, NodeState)| ListedEndpoint {
        node: format!("s-{place}"),
        shard: place as u32,
        state,
        started_at: (place % 2 == 1).then_some(1_764_599_000_000_000),
    };
    let nodes: Vec<ListedEndpoint> = node_states().into_iter().enumerate().map(node).collect();
    let list = |(place, kind): (usize, EndpointUpdateKind)| {
        Event::EndpointUpdate(EndpointUpdate { revision: 40 + place as u64, kind, nodes: nodes.clone() })
    };
    kinds.into_iter().enumerate().map(list).collect()
}

fn ends() -> [AttemptEnd; 8] {
    [
        AttemptEnd::Served,
        AttemptEnd::Error,
        AttemptEnd::Rejected,
        AttemptEnd::TimedOut,
        AttemptEnd::NotConnected,
        AttemptEnd::Reset,
        AttemptEnd::Cancelled,
        AttemptEnd::NotSent,
    ]
}

fn node_changes() -> Vec<Event> {
    let reasons = [
        StateChangeCause::EndpointUpdate(41),
        StateChangeCause::OperatorCommand,
        StateChangeCause::Handover,
        StateChangeCause::TimePassed,
    ]
    .into_iter();
    let reasons = reasons.chain(ends().map(StateChangeCause::AttemptEnded));
    let states = node_states().into_iter().cycle();
    let change =
        |(why, state)| Event::NodeStateChanged(NodeStateChange { node: "s-1".into(), state, cause: why });
    reasons.zip(states).map(change).collect()
}

fn seconds() -> [Event; 2] {
    let class = ClassSecond {
        start: 5_000_007,
        duration: 1_000_000,
        class: 1,
        received: 40,
        within_objective: 21,
        late: 3,
        shed: [1, 2, 3, 4, 5],
        failed: [6, 7, 8, 9],
        client_disconnects: 2,
        latency_histogram: vec![0, 1, 127, 128, 255],
    };
    let node = NodeSecond {
        start: 5_000_007,
        duration: 1_000_000,
        node: "s-1".into(),
        sent: 36,
        slow_start_units: 12,
        attempt_ends: [8, 7, 6, 5, 4, 3, 2, 1],
        max_in_flight: 9,
    };
    [Event::ClassSecond(class), Event::NodeSecond(node)]
}

fn requests() -> Vec<Event> {
    let refusals = [
        ShedReason::NotAdmitted,
        ShedReason::ShedFromQueue,
        ShedReason::RejectedByNode,
        ShedReason::NotConnected,
        ShedReason::AttemptLost,
    ];
    let failures = [
        FailureReason::DeadlinePassed,
        FailureReason::DeadlinePassedPossiblyExecuted,
        FailureReason::PossiblyExecuted,
        FailureReason::Other,
    ];
    let outcomes = [RequestOutcome::Served, RequestOutcome::ClientDisconnected].into_iter();
    let outcomes =
        outcomes.chain(refusals.map(RequestOutcome::Shed)).chain(failures.map(RequestOutcome::Failed));
    let ended = ends().into_iter().map(Some).chain([None]).enumerate();
    let attempts: Vec<AttemptRecord> = ended
        .map(|(place, end)| AttemptRecord {
            node: format!("s-{place}"),
            sent_at: 6_000_000 + place as u64,
            end: end.map(|end| (6_000_500 + place as u64, end)),
        })
        .collect();
    let request = |(place, outcome): (usize, RequestOutcome)| {
        Event::RequestEnded(RequestRecord {
            request: 1000 + place as u64,
            class: 1,
            plan: 0,
            volume: 0x00ff_0000_0000_0001,
            units: 2,
            arrived_at: 6_000_000,
            ended_at: 6_700_000,
            outcome,
            attempts: if place == 0 { attempts.clone() } else { Vec::new() },
        })
    };
    outcomes.enumerate().map(request).collect()
}

fn gaps() -> [Event; 2] {
    [GapCause::QueueFull, GapCause::DiskFailed]
        .map(|cause| Event::Gap(Gap { events: 1, first: stamp(60), last: stamp(61), cause }))
}

/// Every kind of event, with every variant of each type in it.
fn every_event() -> Vec<Record> {
    let events = [Event::SegmentOpened(opened())].into_iter();
    let events = events.chain(lifecycle()).chain(listed()).chain(node_changes()).chain(seconds());
    let events = events.chain(requests()).chain(gaps()).chain([Event::Unknown(99)]);
    let record =
        |(place, event): (usize, Event)| Record { sequence: place as u64, time: stamp(place as u64), event };
    events.enumerate().map(record).collect()
}

fn bytes_of(records: &[Record]) -> Vec<u8> {
    let mut bytes = encode_header(IDENTITY).to_vec();
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
    let found = find_segments(&[fixture()]).unwrap();
    let mut reader = SegmentReader::open(&found[0]).unwrap();
    let items: Vec<SegmentItem> = std::iter::from_fn(|| reader.next_item().unwrap()).collect();
    let expected: Vec<SegmentItem> = every_event().into_iter().map(SegmentItem::Record).collect();
    assert_eq!(items, expected);
}

#[test]
fn the_same_events_are_written_to_the_same_bytes() {
    assert!(bytes_of(&every_event()) == std::fs::read(fixture()).unwrap(), "the segment's bytes differ");
}
