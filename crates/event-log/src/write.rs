//! The writer: a thread that puts records into segments, and goes on by itself once a disk that failed is
//! back.

use std::io::Write;
use std::sync::atomic::{AtomicU64, Ordering};
use std::sync::mpsc::RecvTimeoutError;
use std::sync::Arc;
use std::thread::JoinHandle;
use std::time::{Duration, Instant};

use crate::disk::Disk;
use crate::event::{Event, Gap, GapCause, Micros, Record, SegmentOpened, Timestamp};
use crate::frame::{self, SegmentId};
use crate::segment::{self, Rotation, SegmentName};
use crate::send::EventReceiver;

/// Bytes that are written at once at most, but for one frame more.
const BATCH_BYTES: usize = 256 * 1024;
/// How often a disk that failed is tried again.
const RETRY_INTERVAL: Duration = Duration::from_secs(1);
/// How often the end of the thread is looked for.
const FINISH_POLL_INTERVAL: Duration = Duration::from_millis(1);

/// How much is kept.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct StorageLimits {
    /// When a segment is full.
    pub rotation: Rotation,
    /// Bytes of all segments of the scheduler.
    pub max_total_bytes: u64,
}

/// How the writer does, for whoever watches.
#[derive(Debug, Default)]
pub struct WriterStatistics {
    written: AtomicU64,
    lost: AtomicU64,
    failures: AtomicU64,
}

impl WriterStatistics {
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
    statistics: Arc<WriterStatistics>,
}

impl Writer {
    /// Starts it; `opened` heads each segment, with the segment's own number. It ends once its sender is
    /// dropped and all that waits is written.
    ///
    /// # Errors
    /// The system's, where it has no thread to spare.
    pub fn start(
        disk: impl Disk,
        waiting: EventReceiver,
        opened: SegmentOpened,
        limits: StorageLimits,
    ) -> std::io::Result<Self> {
        let health = Arc::new(WriterStatistics::default());
        let work = WriterThread {
            disk,
            segment_opened: opened,
            limits,
            statistics: health.clone(),
            file: None,
            segment_number: 0,
            started_at_seconds: None,
            pending_gap: None,
            retry_at: None,
            buffer: Vec::with_capacity(BATCH_BYTES + frame::MAX_PAYLOAD_BYTES),
            buffered_records: Vec::new(),
        };
        let thread = std::thread::Builder::new().name("records".to_owned());
        Ok(Self { thread: thread.spawn(move || work.run(&waiting))?, statistics: health })
    }

    /// How it does.
    pub fn health(&self) -> Arc<WriterStatistics> {
        self.statistics.clone()
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
            std::thread::sleep(FINISH_POLL_INTERVAL);
        }
        self.thread.join().is_ok()
    }
}

struct OpenSegment<F> {
    file: F,
    identity: SegmentId,
    size: u64,
    /// On the clock of the records.
    opened_at: Micros,
}

struct WriterThread<D: Disk> {
    disk: D,
    segment_opened: SegmentOpened,
    limits: StorageLimits,
    statistics: Arc<WriterStatistics>,
    file: Option<OpenSegment<D::File>>,
    /// The next segment's.
    segment_number: u32,
    /// When the boot began, Unix time in seconds.
    started_at_seconds: Option<u64>,
    /// What the disk did not take, and the number of its last event.
    pending_gap: Option<(u64, Gap)>,
    /// No attempt at the disk before.
    retry_at: Option<Instant>,
    /// Frames that go out next.
    buffer: Vec<u8>,
    /// For each frame there: where it ends, and what it stands for.
    buffered_records: Vec<(usize, u64, Timestamp, u64)>,
}

impl<D: Disk> WriterThread<D> {
    fn run(mut self, waiting: &EventReceiver) {
        loop {
            // While something is lost, its gap is written as soon as there is room, also if nothing comes.
            let next = match self.retry_at {
                None => waiting.recv().map_err(|_| RecvTimeoutError::Disconnected),
                Some(at) => waiting.recv_timeout(at.saturating_duration_since(Instant::now())),
            };
            match next {
                Ok(record) => self.write_record(record, waiting),
                Err(RecvTimeoutError::Timeout) => self.write_pending_gap(),
                Err(RecvTimeoutError::Disconnected) => {
                    self.write_pending_gap();
                    return;
                }
            }
        }
    }

    /// Writes a record and those that wait behind it.
    fn write_record(&mut self, record: Record, waiting: &EventReceiver) {
        if self.retry_at.is_some_and(|at| Instant::now() < at) {
            self.record_loss(record.sequence, record.time, record.event_count());
            return;
        }
        let mut next = Some(record);
        while let Some(record) = next {
            if !self.ensure_segment(record.time) {
                self.record_loss(record.sequence, record.time, record.event_count());
                return;
            }
            if let Some((seq, gap)) = self.pending_gap.take() {
                self.append_frame(&Record { sequence: seq, time: gap.last, event: Event::Gap(gap) });
            }
            self.append_frame(&record);
            let full = self.file.as_ref().is_some_and(|open| {
                self.limits.rotation.is_due(
                    open.size + self.buffer.len() as u64,
                    open.opened_at,
                    record.time.monotonic,
                )
            });
            next = if self.buffer.len() >= BATCH_BYTES || full { None } else { waiting.try_recv().ok() };
        }
        self.flush();
    }

    /// Tries to tell of what was lost while nothing else comes.
    fn write_pending_gap(&mut self) {
        self.retry_at = None;
        let Some((seq, gap)) = self.pending_gap else { return };
        if self.ensure_segment(gap.last) {
            self.pending_gap = None;
            self.append_frame(&Record { sequence: seq, time: gap.last, event: Event::Gap(gap) });
            self.flush();
        }
    }

    /// Sees to it that there is a segment that takes more.
    fn ensure_segment(&mut self, now: Timestamp) -> bool {
        let size = self.buffer.len() as u64;
        let full = |open: &OpenSegment<D::File>| {
            self.limits.rotation.is_due(open.size + size, open.opened_at, now.monotonic)
        };
        if self.file.as_ref().is_some_and(full) {
            self.flush();
            self.file = None;
        }
        if self.file.is_some() {
            return true;
        }
        let opened = self.open_segment(now);
        if opened.is_err() {
            self.on_disk_failure();
        }
        opened.is_ok()
    }

    fn open_segment(&mut self, now: Timestamp) -> std::io::Result<()> {
        let started = *self.started_at_seconds.get_or_insert(now.wall_clock / 1_000_000);
        let name = SegmentName::new(
            &self.segment_opened.scheduler,
            started,
            self.segment_opened.boot,
            self.segment_number,
        );
        self.evict_old_segments(&name.scheduler);
        // A number is used once: what a failed disk has of it may be anything.
        self.segment_number += 1;
        let mut file = self.disk.create(&name.to_string())?;
        let identity = name.id();
        let head = segment::encode_header(identity);
        let opened = SegmentOpened { segment: identity.number, ..self.segment_opened.clone() };
        let mut bytes = head.to_vec();
        let mut payload = Vec::new();
        Record { sequence: 0, time: now, event: Event::SegmentOpened(opened) }.encode(&mut payload);
        frame::encode(&mut bytes, identity, head.len() as u64, &payload)
            .map_err(|_| std::io::Error::other("too many classes for a segment's head"))?;
        file.write_all(&bytes)?;
        self.file = Some(OpenSegment { file, identity, size: bytes.len() as u64, opened_at: now.monotonic });
        Ok(())
    }

    /// Old segments make way for one more. One that can't be removed stays.
    fn evict_old_segments(&mut self, scheduler: &str) {
        let Ok(files) = self.disk.list() else { return };
        let known = |(name, size): (String, u64)| Some((name.parse::<SegmentName>().ok()?, size));
        let files: Vec<_> = files.into_iter().filter_map(known).collect();
        for name in segment::segments_to_evict(
            &files,
            scheduler,
            self.limits.max_total_bytes,
            self.limits.rotation.max_bytes,
        ) {
            let _ = self.disk.remove(&name.to_string());
        }
    }

    /// Appends a record's frame to what goes out next.
    fn append_frame(&mut self, record: &Record) {
        let Some(open) = &self.file else { return };
        let offset = open.size + self.buffer.len() as u64;
        let mut payload = Vec::new();
        record.encode(&mut payload);
        match frame::encode(&mut self.buffer, open.identity, offset, &payload) {
            Ok(()) => self.buffered_records.push((
                self.buffer.len(),
                record.sequence,
                record.time,
                record.event_count(),
            )),
            Err(frame::PayloadTooLong) => {
                self.record_loss(record.sequence, record.time, record.event_count())
            }
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
        let ends = std::mem::take(&mut self.buffered_records);
        let written = ends.iter().filter(|(end, ..)| *end <= out).count() as u64;
        self.statistics.written.fetch_add(written, Ordering::Relaxed);
        for (_, seq, at, weight) in ends.into_iter().filter(|(end, ..)| *end > out) {
            self.record_loss(seq, at, weight);
        }
        if failed {
            self.on_disk_failure();
        }
    }

    /// The disk does not take it. What it has of this segment stays as it is; later comes another.
    fn on_disk_failure(&mut self) {
        self.file = None;
        self.retry_at = Some(Instant::now() + RETRY_INTERVAL);
        self.statistics.failures.fetch_add(1, Ordering::Relaxed);
    }

    fn record_loss(&mut self, seq: u64, at: Timestamp, weight: u64) {
        self.statistics.lost.fetch_add(weight, Ordering::Relaxed);
        let fresh = Gap { events: 0, first: at, last: at, cause: GapCause::DiskFailed };
        let (last, gap) = self.pending_gap.get_or_insert((seq, fresh));
        *last = seq;
        gap.events += weight;
        gap.last = at;
    }
}
