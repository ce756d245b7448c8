//! Records as they lie in files: whether they are sound, and what they say.

use std::collections::BTreeMap;
use std::fmt;
use std::fs::File;
use std::io::{self, BufWriter, Write};
use std::path::{Path, PathBuf};

use heathward_event_log::read::{find_segments, SegmentFile, SegmentItem, SegmentReader};
use heathward_event_log::{Event, Record};

use self::text::Text;
use crate::outcome::Outcome;

mod text;

/// Calls `take` with each item of a segment; a segment that is gone meanwhile has none, and says so.
fn each(segment: &SegmentFile, mut take: impl FnMut(SegmentItem) -> io::Result<()>) -> io::Result<()> {
    let mut reader = match SegmentReader::open(segment) {
        Ok(reader) => reader,
        Err(error) if error.kind() == io::ErrorKind::NotFound => {
            eprintln!("{}: deleted meanwhile", segment.path.display());
            return Ok(());
        }
        Err(error) => return Err(error),
    };
    while let Some(item) = reader.next_item()? {
        take(item)?;
    }
    Ok(())
}

fn run(work: impl FnOnce() -> io::Result<Outcome>) -> Outcome {
    work().unwrap_or_else(|error| match error.kind() {
        // Whoever reads has had enough.
        io::ErrorKind::BrokenPipe => Outcome::Done,
        _ => Outcome::wrong_use(error),
    })
}

/// What a boot's records came to.
#[derive(Default)]
struct Tally {
    scheduler: String,
    records: u64,
    /// Events for which gaps stand.
    gaps: u64,
    /// The highest number.
    last: u64,
    damaged: u64,
    unreadable: u64,
    newer: u64,
    unknown: u64,
    /// The lowest number: what came before was kept up to a total.
    first: Option<u64>,
}

impl Tally {
    fn take(&mut self, segment: &SegmentFile, item: SegmentItem) {
        match item {
            SegmentItem::Record(record) => self.record(&record),
            SegmentItem::Damaged { from, to } => {
                println!("{}: damaged from byte {from} to {to}", segment.path.display());
                self.damaged += to - from;
            }
            SegmentItem::Newer { offset, schema } => {
                let path = segment.path.display();
                println!("{path}: byte {offset}: schema {schema} is newer than this program");
                self.newer += 1;
            }
            SegmentItem::Unreadable { offset } => {
                println!("{}: byte {offset}: no event can be read", segment.path.display());
                self.unreadable += 1;
            }
        }
    }

    fn record(&mut self, record: &Record) {
        match &record.event {
            Event::SegmentOpened(opened) => {
                self.scheduler.clone_from(&opened.scheduler);
                return;
            }
            Event::Gap(gap) => self.gaps += gap.events,
            Event::Unknown(_) => self.unknown += 1,
            _ => {}
        }
        self.records += u64::from(!matches!(record.event, Event::Gap(_)));
        self.last = self.last.max(record.sequence);
        let first = record.sequence + 1 - record.event_count();
        self.first = Some(self.first.map_or(first, |known| known.min(first)));
    }

    /// Events that are neither there nor within a gap.
    fn missing(&self) -> u64 {
        let all = self.first.map_or(0, |first| self.last + 1 - first);
        all.saturating_sub(self.records + self.gaps)
    }

    fn sound(&self) -> bool {
        self.missing() == 0 && self.damaged == 0 && self.unreadable == 0
    }
}

impl fmt::Display for Tally {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "{} events, {} in told gaps, {} missing", self.records, self.gaps, self.missing())?;
        write!(f, ", {} bytes damaged", self.damaged)?;
        for (count, what) in [
            (self.unreadable, "unreadable frames"),
            (self.newer, "frames of a newer schema"),
            (self.unknown, "events of unknown kinds"),
        ] {
            if count > 0 {
                write!(f, ", {count} {what}")?;
            }
        }
        Ok(())
    }
}

/// Says of each boot whether its records are whole; refused where they are not.
pub fn verify(paths: &[PathBuf]) -> Outcome {
    run(|| {
        let mut boots: BTreeMap<u64, Tally> = BTreeMap::new();
        for segment in find_segments(paths)? {
            let tally = boots.entry(segment.name.boot).or_default();
            each(&segment, |item| {
                tally.take(&segment, item);
                Ok(())
            })?;
        }
        let mut outcome = Outcome::Done;
        for (boot, tally) in &boots {
            println!("{} boot {boot:016x}: {tally}", tally.scheduler);
            outcome = outcome.max(if tally.sound() { Outcome::Done } else { Outcome::Refused });
        }
        if boots.is_empty() {
            return Ok(Outcome::wrong_use("no segments there"));
        }
        Ok(outcome)
    })
}

/// Prints each event, a line each.
pub fn show(paths: &[PathBuf]) -> Outcome {
    run(|| {
        let mut out = BufWriter::new(io::stdout().lock());
        for segment in find_segments(paths)? {
            let name = segment.name.clone();
            each(&segment, |item| match item {
                SegmentItem::Record(Record { sequence: seq, time: at, event }) => {
                    let (seconds, micros) = (at.wall_clock / 1_000_000, at.wall_clock % 1_000_000);
                    writeln!(
                        out,
                        "{} {seconds}.{micros:06} +{:.6} #{seq} {:?}",
                        name.scheduler,
                        at.monotonic as f64 / 1e6,
                        Text(&event)
                    )
                }
                other => writeln!(out, "{} {:?}", name.scheduler, Text(&other)),
            })?;
        }
        out.flush()?;
        Ok(Outcome::Done)
    })
}

/// Writes each event as a JSON object, a line each.
pub fn export(paths: &[PathBuf], to: Option<&Path>) -> Outcome {
    run(|| {
        let out: Box<dyn Write> = match to {
            Some(path) => Box::new(File::create(path)?),
            None => Box::new(io::stdout().lock()),
        };
        let mut out = BufWriter::new(out);
        for segment in find_segments(paths)? {
            let (scheduler, boot) = (segment.name.scheduler.clone(), format!("{:016x}", segment.name.boot));
            each(&segment, |item| {
                let SegmentItem::Record(record) = item else { return Ok(()) };
                let line = Line { scheduler: &scheduler, boot: &boot, record: &record };
                serde_json::to_writer(&mut out, &line)?;
                out.write_all(b"\n")
            })?;
        }
        out.flush()?;
        Ok(Outcome::Done)
    })
}

#[derive(serde::Serialize)]
struct Line<'a> {
    scheduler: &'a str,
    boot: &'a str,
    #[serde(flatten)]
    record: &'a Record,
}
