//! Records of a long run that never was, written as segments: for readers that must cope with much.

use std::fs::File;
use std::io::{self, BufWriter, Write};
use std::path::Path;

use hdrhistogram::serialization::{Serializer, V2Serializer};
use hdrhistogram::Histogram;
use heathward_event_log::read::SegmentItem;
use heathward_event_log::segment::{encode_header, SegmentName};
use heathward_event_log::{
    frame, AttemptEnd, ClassSecond, Event, NodeSecond, NodeState, Record, StateChangeCause,
};

use crate::told::{Told, MS, NINE};

/// Bytes of a segment.
const SEGMENT: u64 = 16 << 20;
/// Nodes, each listed at the beginning.
const NODES: u64 = 8;
const NAMES: [&str; NODES as usize] = ["s0", "s1", "s2", "s3", "s4", "s5", "s6", "s7"];

/// Segments of one boot, one after the other.
struct Segments<'a> {
    folder: &'a Path,
    name: SegmentName,
    file: Option<BufWriter<File>>,
    size: u64,
}

impl Segments<'_> {
    fn put(&mut self, record: &Record) -> io::Result<()> {
        if self.size >= SEGMENT {
            self.name.number += 1;
            self.file = None;
        }
        let identity = self.name.id();
        let file = match &mut self.file {
            Some(file) => file,
            none => {
                let mut file = BufWriter::new(File::create(self.folder.join(self.name.to_string()))?);
                file.write_all(&encode_header(identity))?;
                self.size = encode_header(identity).len() as u64;
                none.insert(file)
            }
        };
        let (mut payload, mut bytes) = (Vec::new(), Vec::new());
        record.encode(&mut payload);
        frame::encode(&mut bytes, identity, self.size, &payload).map_err(|_| io::Error::other("too long"))?;
        self.size += bytes.len() as u64;
        file.write_all(&bytes)
    }
}

/// Writes so many seconds of so many schedulers with so many requests a second each, all recorded singly.
///
/// # Errors
/// The system's.
///
/// # Panics
/// Never: the bounds of the histograms and the lengths of the frames are constant and valid.
pub fn write(folder: &Path, schedulers: u32, rate: u32, seconds: u64, seed: u64) -> io::Result<()> {
    std::fs::create_dir_all(folder)?;
    for number in 0..u64::from(schedulers) {
        let mut rng = fastrand::Rng::with_seed(seed + number);
        let name = ["n0", "n1", "n2", "n3"][number as usize % 4];
        let mut told = Told::new(name, 10 * number, 0);
        let name = SegmentName::new(name, NINE / 1_000_000, told.begun + 1, 0);
        let mut segments = Segments { folder, name, file: None, size: 0 };
        for (revision, node) in (1..).zip(NAMES) {
            told.list(100 + revision, revision, node, NodeState::InService);
            told.node(100 + revision, node, NodeState::InService, StateChangeCause::EndpointUpdate(revision));
        }
        let mut id = 0;
        for second in 0..seconds {
            let begin = 1000 * (second + 1) + told.begun;
            let from = told.mono(begin);
            let mut classes = [0, 1].map(|class| ClassSecond {
                start: from,
                duration: 1000 * MS,
                class,
                ..ClassSecond::default()
            });
            let mut times =
                [0, 1].map(|_| Histogram::<u32>::new_with_bounds(1, 120_000_000, 2).expect("sound"));
            let mut nodes = NAMES.map(|node| NodeSecond {
                start: from,
                node: node.into(),
                duration: 1000 * MS,
                ..NodeSecond::default()
            });
            for at in 0..u64::from(rate) {
                id += 1;
                let (class, node, took) = (rng.usize(0..2), rng.usize(0..NAMES.len()), rng.u64(1..200));
                let came = begin + at * 999 / u64::from(rate);
                let attempt = [(NAMES[node], came, came + took, AttemptEnd::Served)];
                told.request(id, class as u16, came, &attempt, came + took);
                let counts = &mut classes[class];
                counts.received += 1;
                *if took <= 150 { &mut counts.within_objective } else { &mut counts.late } += 1;
                times[class].saturating_record(took * MS);
                nodes[node].sent += 1;
                nodes[node].attempt_ends[0] += 1;
            }
            for (mut counts, times) in classes.into_iter().zip(times) {
                V2Serializer::new()
                    .serialize(&times, &mut counts.latency_histogram)
                    .map_err(|e| io::Error::other(format!("{e:?}")))?;
                told.put(begin + 1000, Event::ClassSecond(counts));
            }
            nodes.into_iter().for_each(|counts| told.put(begin + 1000, Event::NodeSecond(counts)));
            for item in told.items.drain(..) {
                if let SegmentItem::Record(record) = item {
                    segments.put(&record)?;
                }
            }
        }
        for item in told.end(1000 * (seconds + 2) + 100).items {
            if let SegmentItem::Record(record) = item {
                segments.put(&record)?;
            }
        }
    }
    Ok(())
}
