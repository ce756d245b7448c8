//! The writer: a thread that puts records into segments, and goes on by itself once a disk that failed is
//! back.

use std::io::Write;
use std::sync::atomic::{AtomicU64, Ordering};
use std::sync::mpsc::RecvTimeoutError;
use std::sync::Arc;
use std::thread::JoinHandle;
use std::time::{Duration, Instant};

use crate::disk::Disk;
use crate::event::{Event, Gap, GapCause, Micros, Opened, Record, Stamp};
use crate::frame::{self, Identity};
use crate::segment::{self, Rotation, SegmentName};
use crate::send::Waiting;

/// Bytes that are written at once at most, but for one frame more.
const BATCH: usize = 256 * 1024;
/// How often a disk that failed is tried again.
const RETRY: Duration = Duration::from_secs(1);
/// How often the end of the thread is looked for.
const LOOK: Duration = Duration::from_millis(1);

/// How much is kept.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Limits {
    /// When a segment is full.
    pub rotation: Rotation,
    /// Bytes of all segments of the scheduler.
    pub total: u64,
}

/// How the writer does, for whoever watches.
#[derive(Debug, Default)]
pub struct Health {
    written: AtomicU64,
    lost: AtomicU64,
    failures: AtomicU64,
}

impl Health {
    /// Events written.
    pub fn written(&self) -> u64 {
        self.written.load(Ordering::Relaxed)
    }

    /// Events lost as the disk failed.
    pub fn lost(&self) -> u64 {
        self.lost.load(Ordering::Relaxed)
    }

    /// How often the disk failed.
    pub fn failures(&self) -> u64 {
        self.failures.load(Ordering::Relaxed)
    }
}

/// The writer's thread.
#[derive(Debug)]
pub struct Writer {
    thread: JoinHandle<()>,
    health: Arc<Health>,
}

impl Writer {
    /// Starts it; `opened` heads each segment, with the segment's own number. It ends once its sender is
    /// dropped and all that waits is written.
    ///
    /// # Errors
    /// The system's, where it has no thread to spare.
    pub fn start(disk: impl Disk, waiting: Waiting, opened: Opened, limits: Limits) -> std::io::Result<Self> {
        let health = Arc::new(Health::default());
        let work = Work {
            disk,
            opened,
            limits,
            health: health.clone(),
            file: None,
            number: 0,
            started: None,
            lost: None,
            retry: None,
            buffer: Vec::with_capacity(BATCH + frame::LONGEST),
            ends: Vec::new(),
        };
        let thread = std::thread::Builder::new().name("records".to_owned());
        Ok(Self { thread: thread.spawn(move || work.run(&waiting))?, health })
    }

    /// How it does.
    pub fn health(&self) -> Arc<Health> {
        self.health.clone()
    }

    /// Whether it has ended.
    pub fn is_finished(&self) -> bool {
        self.thread.is_finished()
    }

    /// Waits for its end, whose sender must have been dropped; false if it has not come by the deadline: a
    /// disk that is stuck holds up nobody's end.
    pub fn finish(self, deadline: Instant) -> bool {
        while !self.thread.is_finished() {
            if Instant::now() >= deadline {
                return false;
            }
            std::thread::sleep(LOOK);
        }
        self.thread.join().is_ok()
    }
}

struct Open<F> {
    file: F,
    identity: Identity,
    size: u64,
    /// On the clock of the records.
    opened: Micros,
}

struct Work<D: Disk> {
    disk: D,
    opened: Opened,
    limits: Limits,
    health: Arc<Health>,
    file: Option<Open<D::File>>,
    /// The next segment's.
    number: u32,
    /// When the boot began, Unix time in seconds.
    started: Option<u64>,
    /// What the disk did not take, and the number of its last event.
    lost: Option<(u64, Gap)>,
    /// No attempt at the disk before.
    retry: Option<Instant>,
    /// Frames that go out next.
    buffer: Vec<u8>,
    /// For each frame there: where it ends, and what it stands for.
    ends: Vec<(usize, u64, Stamp, u64)>,
}

impl<D: Disk> Work<D> {
    fn run(mut self, waiting: &Waiting) {
        loop {
            // While something is lost, its gap is written as soon as there is room, also if nothing comes.
            let next = match self.retry {
                None => waiting.recv().map_err(|_| RecvTimeoutError::Disconnected),
                Some(at) => waiting.recv_timeout(at.saturating_duration_since(Instant::now())),
            };
            match next {
                Ok(record) => self.take(record, waiting),
                Err(RecvTimeoutError::Timeout) => self.recover(),
                Err(RecvTimeoutError::Disconnected) => {
                    self.recover();
                    return;
                }
            }
        }
    }

    /// Writes a record and those that wait behind it.
    fn take(&mut self, record: Record, waiting: &Waiting) {
        if self.retry.is_some_and(|at| Instant::now() < at) {
            self.lose(record.seq, record.at, record.weight());
            return;
        }
        let mut next = Some(record);
        while let Some(record) = next {
            if !self.ready(record.at) {
                self.lose(record.seq, record.at, record.weight());
                return;
            }
            if let Some((seq, gap)) = self.lost.take() {
                self.frame(&Record { seq, at: gap.to, event: Event::Gap(gap) });
            }
            self.frame(&record);
            let full = self.file.as_ref().is_some_and(|open| {
                self.limits.rotation.due(open.size + self.buffer.len() as u64, open.opened, record.at.mono)
            });
            next = if self.buffer.len() >= BATCH || full { None } else { waiting.try_recv().ok() };
        }
        self.flush();
    }

    /// Tries to tell of what was lost while nothing else comes.
    fn recover(&mut self) {
        self.retry = None;
        let Some((seq, gap)) = self.lost else { return };
        if self.ready(gap.to) {
            self.lost = None;
            self.frame(&Record { seq, at: gap.to, event: Event::Gap(gap) });
            self.flush();
        }
    }

    /// Sees to it that there is a segment that takes more.
    fn ready(&mut self, now: Stamp) -> bool {
        let size = self.buffer.len() as u64;
        let full = |open: &Open<D::File>| self.limits.rotation.due(open.size + size, open.opened, now.mono);
        if self.file.as_ref().is_some_and(full) {
            self.flush();
            self.file = None;
        }
        if self.file.is_some() {
            return true;
        }
        let opened = self.open(now);
        if opened.is_err() {
            self.failed();
        }
        opened.is_ok()
    }

    fn open(&mut self, now: Stamp) -> std::io::Result<()> {
        let started = *self.started.get_or_insert(now.wall / 1_000_000);
        let name = SegmentName::new(&self.opened.scheduler, started, self.opened.boot, self.number);
        self.make_way(&name.scheduler);
        // A number is used once: what a failed disk has of it may be anything.
        self.number += 1;
        let mut file = self.disk.create(&name.to_string())?;
        let identity = name.identity();
        let head = segment::head(identity);
        let opened = Opened { segment: identity.number, ..self.opened.clone() };
        let mut bytes = head.to_vec();
        let mut payload = Vec::new();
        Record { seq: 0, at: now, event: Event::Opened(opened) }.encode(&mut payload);
        frame::encode(&mut bytes, identity, head.len() as u64, &payload)
            .map_err(|_| std::io::Error::other("too many classes for a segment's head"))?;
        file.write_all(&bytes)?;
        self.file = Some(Open { file, identity, size: bytes.len() as u64, opened: now.mono });
        Ok(())
    }

    /// Old segments make way for one more. One that can't be removed stays.
    fn make_way(&mut self, scheduler: &str) {
        let Ok(files) = self.disk.list() else { return };
        let known = |(name, size): (String, u64)| Some((name.parse::<SegmentName>().ok()?, size));
        let files: Vec<_> = files.into_iter().filter_map(known).collect();
        for name in segment::surplus(&files, scheduler, self.limits.total, self.limits.rotation.size) {
            let _ = self.disk.remove(&name.to_string());
        }
    }

    /// Appends a record's frame to what goes out next.
    fn frame(&mut self, record: &Record) {
        let Some(open) = &self.file else { return };
        let offset = open.size + self.buffer.len() as u64;
        let mut payload = Vec::new();
        record.encode(&mut payload);
        match frame::encode(&mut self.buffer, open.identity, offset, &payload) {
            Ok(()) => self.ends.push((self.buffer.len(), record.seq, record.at, record.weight())),
            Err(frame::TooLong) => self.lose(record.seq, record.at, record.weight()),
        }
    }

    /// Writes what is ready. Frames that went out whole are written, whatever happens then.
    fn flush(&mut self) {
        let Some(open) = &mut self.file else { return };
        let (mut out, mut failed) = (0, false);
        while out < self.buffer.len() && !failed {
            match open.file.write(&self.buffer[out..]) {
                Ok(0) => failed = true,
                Ok(size) => out += size,
                Err(error) => failed = error.kind() != std::io::ErrorKind::Interrupted,
            }
        }
        open.size += out as u64;
        self.buffer.clear();
        let ends = std::mem::take(&mut self.ends);
        let written = ends.iter().filter(|(end, ..)| *end <= out).count() as u64;
        self.health.written.fetch_add(written, Ordering::Relaxed);
        for (_, seq, at, weight) in ends.into_iter().filter(|(end, ..)| *end > out) {
            self.lose(seq, at, weight);
        }
        if failed {
            self.failed();
        }
    }

    /// The disk does not take it. What it has of this segment stays as it is; later comes another.
    fn failed(&mut self) {
        self.file = None;
        self.retry = Some(Instant::now() + RETRY);
        self.health.failures.fetch_add(1, Ordering::Relaxed);
    }

    fn lose(&mut self, seq: u64, at: Stamp, weight: u64) {
        self.health.lost.fetch_add(weight, Ordering::Relaxed);
        let fresh = Gap { events: 0, from: at, to: at, cause: GapCause::Disk };
        let (last, gap) = self.lost.get_or_insert((seq, fresh));
        *last = seq;
        gap.events += weight;
        gap.to = at;
    }
}
