//! The writer: a thread that writes records into segments, and resumes by itself after a disk failure.

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

/// Frames are written to the file once they come to this many bytes.
const BATCH_BYTES: usize = 256 * 1024;
/// After a failure the disk is tried again at this interval.
const RETRY_INTERVAL: Duration = Duration::from_secs(1);
/// How often [`Writer::finish`] checks whether the thread has ended.
const FINISH_POLL_INTERVAL: Duration = Duration::from_millis(1);

/// How much of the log is kept.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct StorageLimits {
    /// When a new segment is begun.
    pub rotation: Rotation,
    /// The size of all segments of the scheduler together; beyond it the oldest are removed.
    pub max_total_bytes: u64,
}

/// Counts of the writer, which other threads may read.
#[derive(Debug, Default)]
pub struct WriterStatistics {
    written: AtomicU64,
    lost: AtomicU64,
    failures: AtomicU64,
}

impl WriterStatistics {
    /// Events written so far.
    pub fn written(&self) -> u64 {
        self.written.load(Ordering::Relaxed)
    }

    /// Events lost because the disk failed.
    pub fn lost(&self) -> u64 {
        self.lost.load(Ordering::Relaxed)
    }

    /// Failures of the disk.
    pub fn failures(&self) -> u64 {
        self.failures.load(Ordering::Relaxed)
    }
}

/// A handle to the writer's thread.
#[derive(Debug)]
pub struct Writer {
    thread: JoinHandle<()>,
    statistics: Arc<WriterStatistics>,
}

impl Writer {
    /// Starts the thread. `opened` becomes the first event of each segment, with the number of that segment.
    /// The thread ends once the sender is dropped and all events in the queue are written.
    ///
    /// # Errors
    /// The system's, where no thread can be started.
    pub fn start(
        disk: impl Disk,
        events: EventReceiver,
        opened: SegmentOpened,
        limits: StorageLimits,
    ) -> std::io::Result<Self> {
        let statistics = Arc::new(WriterStatistics::default());
        let writer = WriterThread {
            disk,
            segment_opened: opened,
            limits,
            statistics: statistics.clone(),
            file: None,
            segment_number: 0,
            started_at_seconds: None,
            pending_gap: None,
            retry_at: None,
            buffer: Vec::with_capacity(BATCH_BYTES + frame::MAX_PAYLOAD_BYTES),
            buffered_records: Vec::new(),
        };
        let thread = std::thread::Builder::new().name("records".to_owned());
        Ok(Self { thread: thread.spawn(move || writer.run(&events))?, statistics })
    }

    /// The counts of this writer.
    pub fn statistics(&self) -> Arc<WriterStatistics> {
        self.statistics.clone()
    }

    /// Whether the thread has ended.
    pub fn is_finished(&self) -> bool {
        self.thread.is_finished()
    }

    /// Waits until the thread has ended, whose sender must have been dropped before. False if it has not
    /// ended by the deadline: a blocked disk must not delay the end of the program.
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

/// The segment that is being written.
struct OpenSegment<F> {
    file: F,
    id: SegmentId,
    size: u64,
    /// On the monotonic clock of the records.
    opened_at: Micros,
}

/// A frame in the buffer that is not written yet.
struct BufferedRecord {
    /// Where the frame ends in the buffer.
    end: usize,
    sequence: u64,
    time: Timestamp,
    event_count: u64,
}

/// The state of the writer's thread.
struct WriterThread<D: Disk> {
    disk: D,
    segment_opened: SegmentOpened,
    limits: StorageLimits,
    statistics: Arc<WriterStatistics>,
    file: Option<OpenSegment<D::File>>,
    /// The number of the next segment.
    segment_number: u32,
    /// The time of the first record, Unix time in seconds.
    started_at_seconds: Option<u64>,
    /// Events that the disk did not accept, and the sequence number of the last of them.
    pending_gap: Option<(u64, Gap)>,
    /// After a failure: the disk is not used before.
    retry_at: Option<Instant>,
    /// Frames that are written next.
    buffer: Vec<u8>,
    buffered_records: Vec<BufferedRecord>,
}

impl<D: Disk> WriterThread<D> {
    fn run(mut self, events: &EventReceiver) {
        loop {
            // After a failure the gap is written as soon as the disk accepts it, also without another event.
            let next = match self.retry_at {
                None => events.recv().map_err(|_| RecvTimeoutError::Disconnected),
                Some(at) => events.recv_timeout(at.saturating_duration_since(Instant::now())),
            };
            match next {
                Ok(record) => self.write_records(record, events),
                Err(RecvTimeoutError::Timeout) => self.write_pending_gap(),
                Err(RecvTimeoutError::Disconnected) => {
                    self.write_pending_gap();
                    return;
                }
            }
        }
    }

    /// Writes a record and those that wait in the queue behind it.
    fn write_records(&mut self, first: Record, events: &EventReceiver) {
        if self.retry_at.is_some_and(|at| Instant::now() < at) {
            self.record_loss(first.sequence, first.time, first.event_count());
            return;
        }
        let mut next = Some(first);
        while let Some(record) = next {
            if !self.ensure_segment(record.time) {
                self.record_loss(record.sequence, record.time, record.event_count());
                return;
            }
            if let Some((sequence, gap)) = self.pending_gap.take() {
                self.append_frame(&Record { sequence, time: gap.last, event: Event::Gap(gap) });
            }
            self.append_frame(&record);
            let full = self.file.as_ref().is_some_and(|open| {
                self.limits.rotation.is_due(
                    open.size + self.buffer.len() as u64,
                    open.opened_at,
                    record.time.monotonic,
                )
            });
            next = if self.buffer.len() >= BATCH_BYTES || full { None } else { events.try_recv().ok() };
        }
        self.flush();
    }

    /// Tries to record what was lost, while there is no other event to write.
    fn write_pending_gap(&mut self) {
        self.retry_at = None;
        let Some((sequence, gap)) = self.pending_gap else { return };
        if self.ensure_segment(gap.last) {
            self.pending_gap = None;
            self.append_frame(&Record { sequence, time: gap.last, event: Event::Gap(gap) });
            self.flush();
        }
    }

    /// Opens a new segment if there is none or the present one is full. False if the disk does not accept it.
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

    /// Creates the next segment, with its header and its first event.
    fn open_segment(&mut self, now: Timestamp) -> std::io::Result<()> {
        let started = *self.started_at_seconds.get_or_insert(now.wall_clock / 1_000_000);
        let name = SegmentName::new(
            &self.segment_opened.scheduler,
            started,
            self.segment_opened.boot,
            self.segment_number,
        );
        self.evict_old_segments(&name.scheduler);
        // A number is used only once: after a failure the file may hold anything.
        self.segment_number += 1;
        let mut file = self.disk.create(&name.to_string())?;
        let id = name.id();
        let header = segment::encode_header(id);
        let opened = SegmentOpened { segment: id.number, ..self.segment_opened.clone() };
        let mut bytes = header.to_vec();
        let mut payload = Vec::new();
        Record { sequence: 0, time: now, event: Event::SegmentOpened(opened) }.encode(&mut payload);
        frame::encode(&mut bytes, id, header.len() as u64, &payload)
            .map_err(|_| std::io::Error::other("too many classes for a segment's head"))?;
        file.write_all(&bytes)?;
        self.file = Some(OpenSegment { file, id, size: bytes.len() as u64, opened_at: now.monotonic });
        Ok(())
    }

    /// Removes old segments to make room for one more. A segment that cannot be removed stays.
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

    /// Appends the frame of a record to the buffer.
    fn append_frame(&mut self, record: &Record) {
        let Some(open) = &self.file else { return };
        let offset = open.size + self.buffer.len() as u64;
        let mut payload = Vec::new();
        record.encode(&mut payload);
        match frame::encode(&mut self.buffer, open.id, offset, &payload) {
            Ok(()) => self.buffered_records.push(BufferedRecord {
                end: self.buffer.len(),
                sequence: record.sequence,
                time: record.time,
                event_count: record.event_count(),
            }),
            Err(frame::PayloadTooLong) => {
                self.record_loss(record.sequence, record.time, record.event_count())
            }
        }
    }

    /// Writes the buffer to the file. After a failure the frames that were written completely count as
    /// written, and the others as lost.
    fn flush(&mut self) {
        let Some(open) = &mut self.file else { return };
        let (mut written_bytes, mut failed) = (0, false);
        while written_bytes < self.buffer.len() && !failed {
            match open.file.write(&self.buffer[written_bytes..]) {
                Ok(0) => failed = true,
                Ok(size) => written_bytes += size,
                Err(error) => failed = error.kind() != std::io::ErrorKind::Interrupted,
            }
        }
        open.size += written_bytes as u64;
        self.buffer.clear();
        let records = std::mem::take(&mut self.buffered_records);
        let (written, lost): (Vec<_>, Vec<_>) =
            records.into_iter().partition(|record| record.end <= written_bytes);
        self.statistics.written.fetch_add(written.len() as u64, Ordering::Relaxed);
        for record in lost {
            self.record_loss(record.sequence, record.time, record.event_count);
        }
        if failed {
            self.on_disk_failure();
        }
    }

    /// Gives up the present segment, which stays as it is, and the disk until the next attempt.
    fn on_disk_failure(&mut self) {
        self.file = None;
        self.retry_at = Some(Instant::now() + RETRY_INTERVAL);
        self.statistics.failures.fetch_add(1, Ordering::Relaxed);
    }

    /// Counts events as lost and adds them to the pending gap.
    fn record_loss(&mut self, sequence: u64, time: Timestamp, event_count: u64) {
        self.statistics.lost.fetch_add(event_count, Ordering::Relaxed);
        let empty = Gap { events: 0, first: time, last: time, cause: GapCause::DiskFailed };
        let (last_sequence, gap) = self.pending_gap.get_or_insert((sequence, empty));
        *last_sequence = sequence;
        gap.events += event_count;
        gap.last = time;
    }
}
