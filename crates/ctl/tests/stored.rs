//! What the tool makes of records that are stored already, byte for byte: exports, listings, and a report's
//! findings, JSON, CSV and HTML. The segments and the expected output lie under `fixtures/`.
#![cfg(test)]

use std::path::{Path, PathBuf};
use std::process::Command;

use hdrhistogram::serialization::{Serializer, V2Serializer};
use hdrhistogram::Histogram;
use heathward_event_log::frame::{encode, encode_as, SCHEMA};
use heathward_event_log::read::SegmentItem;
use heathward_event_log::segment::{encode_header, SegmentName};
use heathward_event_log::{
    AttemptEnd, ClassSecond, Event, Gap, GapCause, Lifecycle, NodeSecond, NodeState, Record, StateChangeCause,
};
use heathward_fakes::told::{Told, MS, NINE};
use rstest::rstest;

fn fixtures() -> PathBuf {
    Path::new(env!("CARGO_MANIFEST_DIR")).join("tests/fixtures")
}

/// What the tool prints, and its exit code. Paths are relative to the fixtures, as output names them.
fn run(arguments: &[&str]) -> (i32, Vec<u8>) {
    let mut command = Command::new(env!("CARGO_BIN_EXE_heathwardctl"));
    let output = command.args(arguments).current_dir(fixtures()).output().unwrap();
    (output.status.code().unwrap(), output.stdout)
}

/// A folder of this run for files that the tool writes.
fn folder(name: &str) -> PathBuf {
    let path = PathBuf::from(env!("CARGO_TARGET_TMPDIR")).join(format!("{name}-{}", std::process::id()));
    std::fs::create_dir_all(&path).unwrap();
    path
}

fn assert_same(expected: &str, got: &[u8]) {
    let wanted = std::fs::read(fixtures().join(expected)).unwrap();
    if wanted != got {
        let (wanted, got) = (String::from_utf8_lossy(&wanted), String::from_utf8_lossy(got));
        let differs = wanted.lines().zip(got.lines()).find(|(one, other)| one != other);
        panic!("{expected} differs, at first in {differs:#?}; {} bytes and {}", wanted.len(), got.len());
    }
}

#[rstest]
#[case::show_events(&["records", "show", "events"], 0, "show-events.txt")]
#[case::export_events(&["records", "export", "events"], 0, "export-events.jsonl")]
#[case::show_incident(&["records", "show", "incident"], 0, "show-incident.txt")]
#[case::export_incident(&["records", "export", "incident"], 0, "export-incident.jsonl")]
#[case::verify(&["records", "verify", "incident"], 1, "verify-incident.txt")]
#[case::findings(&["report", "incident"], 1, "findings-incident.txt")]
fn stored_records_print_the_same(#[case] arguments: &[&str], #[case] code: i32, #[case] expected: &str) {
    let (got, printed) = run(arguments);
    assert_eq!(got, code);
    assert_same(expected, &printed);
}

/// The other form of an export: into a file.
#[test]
fn an_export_into_a_file_is_the_same() {
    let to = folder("export").join("events.jsonl");
    let (code, printed) = run(&["records", "export", "events", "-o", to.to_str().unwrap()]);
    assert!(code == 0 && printed.is_empty());
    assert_same("export-events.jsonl", &std::fs::read(to).unwrap());
}

#[test]
fn the_report_of_stored_records_is_the_same() {
    let to = folder("report");
    let (json, html, csv) = (to.join("report.json"), to.join("report.html"), to.join("csv"));
    let (json, html, csv) = (json.to_str().unwrap(), html.to_str().unwrap(), csv.to_str().unwrap());
    let (code, printed) = run(&["report", "incident", "--json", json, "-o", html, "--csv", csv]);
    assert!(code == 1 && printed.is_empty());
    assert_same("report.json", &std::fs::read(json).unwrap());
    assert_same("report.html", &std::fs::read(html).unwrap());
    for table in ["findings", "classes", "nodes", "states", "schedulers", "holes", "rules"] {
        let file = format!("csv/{table}.csv");
        assert_same(&file, &std::fs::read(to.join(&file)).unwrap());
    }
}

/// The segments of the incident are what is written of these events today.
#[test]
fn the_incident_is_written_to_the_same_segments() {
    for told in incident() {
        let (name, bytes) = segment_of(&told);
        assert_same(&format!("incident/{name}"), &bytes);
    }
}

/// A segment's name and bytes; items that are no events become damage, a newer schema, or no event.
fn segment_of(told: &Told) -> (SegmentName, Vec<u8>) {
    let name = SegmentName::new(told.name, (NINE + told.begun * MS) / 1_000_000, told.begun + 1, 0);
    let identity = name.id();
    let mut bytes = encode_header(identity).to_vec();
    for item in &told.items {
        let offset = bytes.len() as u64;
        match item {
            SegmentItem::Record(record) => {
                let mut payload = Vec::new();
                record.encode(&mut payload);
                encode(&mut bytes, identity, offset, &payload).unwrap();
            }
            SegmentItem::Damaged { .. } => bytes.extend_from_slice(&[b'x'; 40]),
            SegmentItem::Newer { .. } => {
                encode_as(&mut bytes, identity, offset, SCHEMA + 1, b"newer").unwrap()
            }
            SegmentItem::Unreadable { .. } => encode(&mut bytes, identity, offset, &[0xff; 3]).unwrap(),
        }
    }
    (name, bytes)
}

/// Five schedulers: every kind of finding, state, reason and hole, and every rule broken.
fn incident() -> Vec<Told> {
    vec![complete(), ahead_and_paused(), handing_over(), taking_over(), killed(), returned(), damaged()]
}

/// It sees each state of nodes for each reason, and breaks each rule.
fn complete() -> Told {
    let mut told = Told::new("n0", 0, 0);
    shared_lists(&mut told, 0);
    let reasons = [
        ("s2", NodeState::Suspended, StateChangeCause::OperatorCommand),
        ("s3", NodeState::Unresponsive, StateChangeCause::AttemptEnded(AttemptEnd::TimedOut)),
        ("s4", NodeState::Unresponsive, StateChangeCause::AttemptEnded(AttemptEnd::NotConnected)),
        ("s5", NodeState::Unresponsive, StateChangeCause::AttemptEnded(AttemptEnd::Reset)),
        ("s6", NodeState::Unresponsive, StateChangeCause::AttemptEnded(AttemptEnd::Error)),
        ("s7", NodeState::Unresponsive, StateChangeCause::AttemptEnded(AttemptEnd::Rejected)),
        ("s8", NodeState::SlowStart(NINE + 2000 * MS), StateChangeCause::Handover),
        ("s9", NodeState::Removed, StateChangeCause::EndpointUpdate(9)),
        ("s10", NodeState::Unresponsive, StateChangeCause::TimePassed),
        ("s11", NodeState::Unresponsive, StateChangeCause::AttemptEnded(AttemptEnd::Cancelled)),
        ("s12", NodeState::Unresponsive, StateChangeCause::AttemptEnded(AttemptEnd::NotSent)),
    ];
    for (node, state, why) in reasons {
        told.node(2100, node, state, why);
    }
    for (node, ..) in &reasons[..6] {
        told.node(4100, node, NodeState::InService, StateChangeCause::AttemptEnded(AttemptEnd::Served));
    }
    breaches(&mut told);
    classes(&mut told);
    told.end(12_000)
}

/// A change of the list in versions that several see, so that their clocks are brought together.
fn shared_lists(told: &mut Told, late: u64) {
    told.list(2000 + late, 7, "s0", NodeState::InService);
    told.node(2000 + late, "s0", NodeState::InService, StateChangeCause::EndpointUpdate(7));
    told.list(2001 + late, 8, "s1", NodeState::InService);
    told.list(2002 + late, 9, "s0", NodeState::Draining);
    told.node(2002 + late, "s0", NodeState::Draining, StateChangeCause::EndpointUpdate(9));
}

fn breaches(told: &mut Told) {
    use AttemptEnd::{Rejected, Reset, Served, TimedOut};
    // Twice, and late; two attempts at once; sent after a drain; a keyed write elsewhere and too late.
    told.request(1, 0, 2000, &[], 2100);
    told.request(1, 0, 2000, &[], 3300);
    told.request(2, 0, 2000, &[("s1", 2000, 2150, Rejected), ("s13", 2100, 2200, Served)], 2200);
    told.request(3, 0, 2400, &[("s0", 2400, 2450, Served)], 2450);
    told.request(4, 1, 2000, &[("s0", 2000, 2100, Reset), ("s1", 2200, 2300, Served)], 2300);
    told.request(5, 1, 2000, &[("s1", 2000, 2500, TimedOut), ("s1", 4600, 4700, Served)], 4700);
    let second = NodeSecond {
        start: told.mono(3000),
        duration: 1000 * MS,
        node: "s8".into(),
        sent: 1000,
        slow_start_units: 2000,
        attempt_ends: [900, 10, 20, 30, 15, 12, 8, 5],
        max_in_flight: 77,
    };
    told.put(4700, Event::NodeSecond(second));
}

fn classes(told: &mut Told) {
    let mut times: Histogram<u64> = Histogram::new(2).unwrap();
    for time in [800, 1_500, 20_000, 90_000, 400_000] {
        times.record_n(time, 3).unwrap();
    }
    let mut serialized = Vec::new();
    V2Serializer::new().serialize(&times, &mut serialized).unwrap();
    let suffering = ClassSecond {
        start: told.mono(5000),
        duration: 1000 * MS,
        class: 0,
        received: 70,
        within_objective: 12,
        late: 3,
        shed: [9, 4, 2, 1, 3],
        failed: [5, 4, 3, 2],
        client_disconnects: 6,
        latency_histogram: serialized,
    };
    told.put(6000, Event::ClassSecond(ClassSecond { class: 1, shed: [0; 5], ..suffering.clone() }));
    told.put(6000, Event::ClassSecond(suffering));
    told.class(8000, 10, 0);
}

/// Its clock is ahead and then steps; clients are sent away twice, and once no list stands.
fn ahead_and_paused() -> Told {
    let mut told = Told::new("n1", 500, 300);
    shared_lists(&mut told, 6);
    told.put(3000, Event::Lifecycle(Lifecycle::Paused));
    told.put(3500, Event::Lifecycle(Lifecycle::Resumed));
    told.put(4000, Event::Lifecycle(Lifecycle::Reloaded(false)));
    told.put(4100, Event::Lifecycle(Lifecycle::Reloaded(true)));
    told.put(5000, Event::Lifecycle(Lifecycle::LeaseExpired(6_000 * MS)));
    told.put(6000, Event::Lifecycle(Lifecycle::LeaseRenewed));
    told.put(7000, Event::Lifecycle(Lifecycle::LeaseExpired(6_100 * MS)));
    told.put(8000, Event::Lifecycle(Lifecycle::Paused));
    told.put(9000, Event::Lifecycle(Lifecycle::ShuttingDown));
    for item in told.items.iter_mut().rev().take(3) {
        if let SegmentItem::Record(record) = item {
            record.time.wall_clock -= 2_000_000;
        }
    }
    told.end(9500)
}

fn handing_over() -> Told {
    let mut told = Told::new("n2", 900, -2000);
    shared_lists(&mut told, 9);
    told.put(6000, Event::Lifecycle(Lifecycle::HandedOver));
    told.end(6500)
}

fn taking_over() -> Told {
    let mut told = Told::new("n2", 5900, -2000);
    told.put(6100, Event::Lifecycle(Lifecycle::TookOver));
    told.node(6200, "s0", NodeState::Draining, StateChangeCause::Handover);
    told.class(7000, 10, 0);
    told.end(11_000)
}

/// Single requests are not recorded: a second after a drain breaks the rule as a whole.
fn killed() -> Told {
    let mut told = Told::new("n3", 100, 0);
    if let Some(SegmentItem::Record(Record { event: Event::SegmentOpened(opened), .. })) =
        told.items.first_mut()
    {
        opened.records_requests = false;
    }
    shared_lists(&mut told, 12);
    let (from, span) = (told.mono(3000), 1000 * MS);
    let second =
        NodeSecond { start: from, duration: span, node: "s0".into(), sent: 4, ..NodeSecond::default() };
    told.put(4000, Event::NodeSecond(second));
    told.class(4000, 10, 0);
    told
}

/// It is back, and is killed again; nothing tells of its end.
fn returned() -> Told {
    let mut told = Told::new("n3", 7000, 0);
    told.list(7500, 20, "s1", NodeState::InService);
    told
}

/// Each reason for which records are missing.
fn damaged() -> Told {
    let mut told = Told::new("n4", 200, 0);
    told.class(1000, 10, 0);
    for (at, cause) in [(2500, GapCause::QueueFull), (3000, GapCause::DiskFailed)] {
        told.seq += 5;
        let (from, to) = (told.stamp(at), told.stamp(at + 400));
        let event = Event::Gap(Gap { events: 5, first: from, last: to, cause });
        told.items.push(SegmentItem::Record(Record { sequence: told.seq, time: to, event }));
    }
    told.class(3500, 10, 0);
    told.items.push(SegmentItem::Damaged { from: 0, to: 0 });
    told.seq += 2;
    told.class(4500, 10, 0);
    told.items.push(SegmentItem::Unreadable { offset: 0 });
    told.seq += 1;
    told.class(5500, 10, 0);
    told.items.push(SegmentItem::Newer { offset: 0, schema: 0 });
    told.seq += 3;
    told.class(6500, 10, 0);
    told.seq += 4;
    told.class(7500, 10, 0);
    told.put(8600, Event::Unknown(99));
    told.end(9000)
}
