//! The event log before damaged segments, other versions of the program, full disks and blocked disks.
#![cfg(test)]

use std::collections::BTreeMap;
use std::io::{self, Write};
use std::path::PathBuf;
use std::sync::{Arc, Condvar, Mutex};
use std::time::{Duration, Instant};

use heathward_event_log::frame::{encode, encode_as, SegmentId, SCHEMA};
use heathward_event_log::read::{find_segments, SegmentFile, SegmentItem, SegmentReader};
use heathward_event_log::segment::{segments_to_evict, Rotation, SegmentName};
use heathward_event_log::{
    event_channel, ClassInfo, ClassSecond, Disk, Event, EventSender, Folder, Gap, GapCause, Lifecycle,
    NodeState, NodeStateChange, Record, SegmentOpened, StateChangeCause, StorageLimits, Timestamp, Writer,
};
use proptest::prelude::*;
use proptest::test_runner::RngSeed;
use rstest::rstest;

const IDENTITY: SegmentId = SegmentId { boot: 0xb007, number: 3 };
/// Nothing here takes longer, also on a loaded machine.
const MAX_WAIT: Duration = Duration::from_secs(20);

fn at(second: u64) -> Timestamp {
    Timestamp { wall_clock: 1_764_600_000_000_000 + second * 1_000_000, monotonic: second * 1_000_000 }
}

fn change(seq: u64) -> Record {
    let event = Event::NodeStateChanged(NodeStateChange {
        node: format!("s-{seq}"),
        state: if seq.is_multiple_of(2) { NodeState::Unresponsive } else { NodeState::SlowStart(seq) },
        cause: StateChangeCause::EndpointUpdate(seq),
    });
    Record { sequence: seq, time: at(seq), event }
}

fn folder(name: &str) -> PathBuf {
    let path = PathBuf::from(env!("CARGO_TARGET_TMPDIR")).join(format!("{name}-{}", std::process::id()));
    // One that a run before has left.
    let _ = std::fs::remove_dir_all(&path);
    path
}

fn opened() -> SegmentOpened {
    let classes = vec![ClassInfo {
        name: "consulta".into(),
        latency_objective: 1,
        deadline: 2,
        deduplication_window: 0,
    }];
    SegmentOpened { scheduler: "n3".into(), boot: 0xb007, classes, ..SegmentOpened::default() }
}

fn limits(size: u64, total: u64) -> StorageLimits {
    StorageLimits { rotation: Rotation { max_bytes: size, max_age: 3_600_000_000 }, max_total_bytes: total }
}

/// The bytes of a segment of such records, and where each frame ends.
fn bytes(records: &[Record]) -> (Vec<u8>, Vec<usize>) {
    let mut out = heathward_event_log::segment::encode_header(IDENTITY).to_vec();
    let mut ends = Vec::new();
    for record in records {
        let mut payload = Vec::new();
        record.encode(&mut payload);
        let offset = out.len() as u64;
        encode(&mut out, IDENTITY, offset, &payload).unwrap();
        ends.push(out.len());
    }
    (out, ends)
}

fn read(bytes: &[u8], name: &str) -> Vec<SegmentItem> {
    let path = folder(name);
    std::fs::create_dir_all(&path).unwrap();
    let file = SegmentName::new("n3", 7, IDENTITY.boot, IDENTITY.number);
    std::fs::write(path.join(file.to_string()), bytes).unwrap();
    let found = find_segments(std::slice::from_ref(&path)).unwrap();
    let items = found.iter().flat_map(items).collect();
    std::fs::remove_dir_all(&path).unwrap();
    items
}

fn items(file: &SegmentFile) -> Vec<SegmentItem> {
    let mut reader = SegmentReader::open(file).unwrap();
    std::iter::from_fn(|| reader.next_item().unwrap()).collect()
}

fn records(items: &[SegmentItem]) -> Vec<Record> {
    let record = |item: &SegmentItem| match item {
        SegmentItem::Record(record) => Some(record.clone()),
        _ => None,
    };
    items.iter().filter_map(record).collect()
}

proptest! {
    #![proptest_config(ProptestConfig {
        cases: 300,
        failure_persistence: None,
        rng_seed: RngSeed::Fixed(0x4877),
        ..ProptestConfig::default()
    })]

    /// Whatever bytes are flipped or cut off: there is no panic, no record that was not written, and every
    /// frame that is complete and has no flipped byte is read.
    #[test]
    fn damaged_bytes_lose_only_the_frames_that_they_touch(
        count in 1_u64..40,
        flips in proptest::collection::vec((any::<proptest::sample::Index>(), 1_u8..), 0..6),
        cut in any::<proptest::sample::Index>(),
        whole in any::<bool>(),
    ) {
        let written: Vec<Record> = (1..=count).map(change).collect();
        let (mut damaged, ends) = bytes(&written);
        let length = if whole { damaged.len() } else { cut.index(damaged.len() + 1) };
        let mut touched = Vec::new();
        for (place, mask) in flips {
            let place = place.index(damaged.len());
            damaged[place] ^= mask;
            touched.push(place);
        }
        // Two flips of one byte may undo each other: then it is not touched.
        let (sound, _) = bytes(&written);
        touched.retain(|place| damaged[*place] != sound[*place]);
        damaged.truncate(length);
        let begin = |at: usize| if at == 0 { 24 } else { ends[at - 1] };
        let untouched = written.iter().enumerate().filter(|(at, _)| {
            ends[*at] <= length && !touched.iter().any(|place| (begin(*at)..ends[*at]).contains(place))
        });
        let untouched: Vec<Record> = untouched.map(|(_, record)| record.clone()).collect();
        prop_assert_eq!(records(&read(&damaged, "damage")), untouched);
    }

    /// A payload may hold a complete frame of the segment, at any offset.
    #[test]
    fn a_frame_within_a_payload_is_not_read_as_one(shift in 0_usize..64) {
        let mut inner = Vec::new();
        change(9).encode(&mut inner);
        let mut frame = Vec::new();
        encode(&mut frame, IDENTITY, 24, &inner).unwrap();
        let mut payload = vec![b'x'; shift];
        payload.extend_from_slice(&frame);
        let mut out = heathward_event_log::segment::encode_header(IDENTITY).to_vec();
        encode(&mut out, IDENTITY, 24, &payload).unwrap();
        // The outer frame's head is broken, so that the reader looks for the next.
        out[30] ^= 1;
        prop_assert_eq!(records(&read(&out, "inner")), vec![]);
    }
}

/// Fields are only appended: one that an older version did not write has its default, and one that a newer
/// version added is ignored. Events of an unknown kind and frames of a newer schema are reported as such.
#[test]
fn records_of_older_and_newer_versions_are_read() {
    let mut out = heathward_event_log::segment::encode_header(IDENTITY).to_vec();
    let mut put = |schema: u8, payload: &[u8]| {
        let offset = out.len() as u64;
        encode_as(&mut out, IDENTITY, offset, schema, payload).unwrap();
        offset
    };
    let form = |record: &Record| {
        let mut payload = Vec::new();
        record.encode(&mut payload);
        payload
    };
    put(SCHEMA, &form(&change(1)));
    let mut newer = form(&change(2));
    newer.extend_from_slice(b"fields of the future");
    put(SCHEMA, &newer);
    let future = Record { sequence: 3, time: at(3), event: Event::Unknown(900) };
    put(SCHEMA, &form(&future));
    let schema = put(SCHEMA + 1, &form(&change(4)));
    put(SCHEMA - 1, &form(&change(5)));
    let broken = put(SCHEMA, &[1]);
    let expected = vec![
        SegmentItem::Record(change(1)),
        SegmentItem::Record(change(2)),
        SegmentItem::Record(future),
        SegmentItem::Newer { offset: schema, schema: SCHEMA + 1 },
        SegmentItem::Record(change(5)),
        SegmentItem::Unreadable { offset: broken },
    ];
    assert_eq!(read(&out, "versions"), expected);
}

#[rstest]
#[case("n3-0000000007-000000000000b007-000003.hwr", true)]
#[case("n3-7-b007-3.hwr", false)]
#[case("n3-0000000007-000000000000b007-000003.hwr.gz", false)]
#[case("n-3-0000000007-000000000000b007-000003.hwr", false)]
#[case("core", false)]
fn only_names_of_segments_are_parsed(#[case] text: &str, #[case] sound: bool) {
    assert_eq!(text.parse::<SegmentName>().is_ok(), sound);
}

#[test]
fn the_oldest_segments_are_evicted_but_not_the_newest_of_a_run() {
    let file = |boot: u64, number: u32| (SegmentName::new("n3", boot, boot, number), 10);
    let other = (SegmentName::new("n4", 0, 9, 0), 1000);
    let files = [file(2, 0), file(1, 1), file(1, 0), file(2, 1), other];
    let names = |total| {
        segments_to_evict(&files, "n3", total, 10).iter().map(|n| (n.boot, n.number)).collect::<Vec<_>>()
    };
    assert_eq!(names(50), vec![]);
    assert_eq!(names(40), vec![(1, 0)]);
    assert_eq!(names(0), vec![(1, 0), (2, 0)]);
}

/// Sends `count` events and waits until the writer has ended.
fn write(disk: impl Disk, limits: StorageLimits, count: u64) -> (EventSender, u64) {
    let (mut sender, events) = event_channel(4096);
    let writer = Writer::start(disk, events, opened(), limits).unwrap();
    let statistics = writer.statistics();
    (1..=count).for_each(|seq| sender.send(at(seq), change(seq).event));
    let (rest, _) = event_channel(1);
    drop(std::mem::replace(&mut sender, rest));
    assert!(writer.finish(Instant::now() + MAX_WAIT));
    (sender, statistics.written())
}

#[test]
fn segments_are_rotated_and_evicted_beyond_a_total_size() {
    let path = folder("rotated");
    let (_, written) = write(Folder(path.clone()), limits(2000, 9000), 1000);
    assert_eq!(written, 1000);
    let files = find_segments(std::slice::from_ref(&path)).unwrap();
    let total: u64 = files.iter().map(|file| file.bytes).sum();
    assert!(files.len() > 2 && total <= 9000, "{} files of {total} bytes", files.len());
    let all: Vec<SegmentItem> = files.iter().flat_map(items).collect();
    assert!(all.iter().all(|item| matches!(item, SegmentItem::Record(_))), "{all:?}");
    let seqs: Vec<u64> = records(&all).iter().filter(|r| r.sequence > 0).map(|r| r.sequence).collect();
    assert!(seqs.windows(2).all(|pair| pair[1] == pair[0] + 1) && seqs.last() == Some(&1000), "{seqs:?}");
}

/// A segment that was deleted before it is opened is not found.
#[test]
fn a_segment_that_is_deleted_while_open_is_read_to_its_end() {
    let path = folder("deleted");
    write(Folder(path.clone()), limits(2000, 100_000), 200);
    let files = find_segments(std::slice::from_ref(&path)).unwrap();
    let mut reader = SegmentReader::open(&files[0]).unwrap();
    std::fs::remove_file(&files[0].path).unwrap();
    std::fs::remove_file(&files[1].path).unwrap();
    assert!(std::iter::from_fn(|| reader.next_item().unwrap()).count() > 10);
    assert_eq!(SegmentReader::open(&files[1]).unwrap_err().kind(), io::ErrorKind::NotFound);
    assert_eq!(find_segments(std::slice::from_ref(&path)).unwrap().len(), files.len() - 2);
}

/// A disk in memory that the test can fill up or block.
#[derive(Clone, Default)]
struct FakeDisk(Arc<(Mutex<State>, Condvar)>);

#[derive(Default)]
struct State {
    files: BTreeMap<String, Vec<u8>>,
    free_bytes: usize,
    blocked: bool,
    write_is_waiting: bool,
}

struct FakeFile(FakeDisk, String);

impl FakeDisk {
    fn with(&self, change: impl FnOnce(&mut State)) {
        change(&mut self.0 .0.lock().unwrap());
        self.0 .1.notify_all();
    }

    /// Waits until the condition holds.
    fn until(&self, so: impl Fn(&State) -> bool) {
        let by = Instant::now() + MAX_WAIT;
        while !so(&self.0 .0.lock().unwrap()) {
            assert!(Instant::now() < by, "never came");
            std::thread::sleep(Duration::from_millis(1));
        }
    }

    fn records(&self) -> Vec<Record> {
        let files = self.0 .0.lock().unwrap().files.clone();
        let path = folder(&format!("fake-{:p}", Arc::as_ptr(&self.0)));
        std::fs::create_dir_all(&path).unwrap();
        files.iter().for_each(|(name, bytes)| std::fs::write(path.join(name), bytes).unwrap());
        let all: Vec<SegmentItem> = find_segments(&[path]).unwrap().iter().flat_map(items).collect();
        records(&all)
    }
}

impl Disk for FakeDisk {
    type File = FakeFile;

    fn create(&mut self, name: &str) -> io::Result<FakeFile> {
        self.with(|state| drop(state.files.insert(name.to_owned(), Vec::new())));
        Ok(FakeFile(self.clone(), name.to_owned()))
    }

    fn list(&mut self) -> io::Result<Vec<(String, u64)>> {
        Ok(self.0 .0.lock().unwrap().files.iter().map(|(n, b)| (n.clone(), b.len() as u64)).collect())
    }

    fn remove(&mut self, name: &str) -> io::Result<()> {
        self.with(|state| drop(state.files.remove(name)));
        Ok(())
    }
}

impl Write for FakeFile {
    fn write(&mut self, bytes: &[u8]) -> io::Result<usize> {
        let mut state = self.0 .0 .0.lock().unwrap();
        while state.blocked {
            state.write_is_waiting = true;
            state = self.0 .0 .1.wait(state).unwrap();
        }
        state.write_is_waiting = false;
        let size = bytes.len().min(state.free_bytes);
        if size == 0 {
            return Err(io::ErrorKind::StorageFull.into());
        }
        state.free_bytes -= size;
        state.files.get_mut(&self.1).unwrap().extend_from_slice(&bytes[..size]);
        Ok(size)
    }

    fn flush(&mut self) -> io::Result<()> {
        Ok(())
    }
}

/// Every event is either recorded or counted in a gap, and exactly once.
fn check_all_accounted(records: &[Record], last: u64) -> Vec<Gap> {
    let mut covered = vec![0; last as usize + 1];
    let mut gaps = Vec::new();
    for record in records.iter().filter(|r| !matches!(r.event, Event::SegmentOpened(_))) {
        (record.sequence + 1 - record.event_count()..=record.sequence)
            .for_each(|seq| covered[seq as usize] += 1);
        if let Event::Gap(gap) = record.event {
            gaps.push(gap);
        }
    }
    assert!(covered[1..].iter().all(|times| *times == 1), "{covered:?}");
    gaps
}

/// While the disk is full events are counted; writing resumes by itself once there is free space.
#[test]
fn a_full_disk_leaves_a_recorded_gap() {
    let disk = FakeDisk::default();
    disk.with(|state| state.free_bytes = 1000);
    let (mut sender, events) = event_channel(4096);
    let writer = Writer::start(disk.clone(), events, opened(), limits(1 << 20, 1 << 30)).unwrap();
    let statistics = writer.statistics();
    (1..=200).for_each(|seq| sender.send(at(seq), change(seq).event));
    let by = Instant::now() + MAX_WAIT;
    while statistics.lost() == 0 || statistics.lost() + statistics.written() < 200 {
        assert!(Instant::now() < by, "lost {} written {}", statistics.lost(), statistics.written());
        std::thread::sleep(Duration::from_millis(1));
    }
    disk.with(|state| state.free_bytes = 1 << 20);
    // The gap is written without another event.
    disk.until(|state| state.files.len() > 1 && state.files.values().last().unwrap().len() > 100);
    (201..=210).for_each(|seq| sender.send(at(seq), change(seq).event));
    drop(sender);
    assert!(writer.finish(Instant::now() + MAX_WAIT));
    let gaps = check_all_accounted(&disk.records(), 210);
    let [gap] = gaps[..] else { panic!("{gaps:?}") };
    assert!(
        gap.cause == GapCause::DiskFailed && gap.last == at(200) && gap.events == statistics.lost(),
        "{gap:?}"
    );
}

/// Events that do not fit into the queue are recorded as a gap.
#[test]
fn sending_does_not_wait_for_a_blocked_disk() {
    let disk = FakeDisk::default();
    disk.with(|state| (state.free_bytes, state.blocked) = (1 << 24, true));
    let (mut sender, events) = event_channel(64);
    let writer = Writer::start(disk.clone(), events, opened(), limits(1 << 20, 1 << 30)).unwrap();
    sender.send(at(1), Event::Lifecycle(Lifecycle::Started));
    disk.until(|state| state.write_is_waiting);
    (2..=5000).for_each(|seq| sender.send(at(seq), change(seq).event));
    assert_eq!(sender.dropped(), 5000 - 1 - 64);
    let end = Instant::now() + Duration::from_millis(20);
    disk.with(|state| state.blocked = false);
    disk.until(|state| state.files.values().last().unwrap().len() > 1000);
    (5001..=5010).for_each(|seq| sender.send(at(seq), change(seq).event));
    drop(sender);
    assert!(end < Instant::now() + MAX_WAIT && writer.finish(Instant::now() + MAX_WAIT));
    let gaps = check_all_accounted(&disk.records(), 5010);
    assert!(gaps.iter().all(|gap| gap.cause == GapCause::QueueFull), "{gaps:?}");
    assert_eq!(gaps.iter().map(|gap| gap.events).sum::<u64>(), 5000 - 1 - 64);
}

#[test]
fn finishing_does_not_wait_for_a_blocked_disk() {
    let disk = FakeDisk::default();
    disk.with(|state| state.blocked = true);
    let (mut sender, events) = event_channel(64);
    let writer = Writer::start(disk.clone(), events, opened(), limits(1 << 20, 1 << 30)).unwrap();
    sender.send(at(1), change(1).event);
    drop(sender);
    assert!(!writer.finish(Instant::now() + Duration::from_millis(50)));
    disk.with(|state| state.blocked = false);
}

#[test]
fn a_class_second_is_decoded_as_it_was_encoded() {
    let second = ClassSecond {
        start: 5,
        duration: 1_000_000,
        class: 1,
        received: 9,
        within_objective: 4,
        late: 1,
        shed: [1, 0, 1, 0, 0],
        failed: [0, 1, 0, 0],
        client_disconnects: 1,
        latency_histogram: vec![1, 2, 3],
    };
    let record = Record { sequence: 1, time: at(1), event: Event::ClassSecond(second) };
    let mut payload = Vec::new();
    record.encode(&mut payload);
    assert_eq!(Record::decode(&payload), Ok(record));
}
