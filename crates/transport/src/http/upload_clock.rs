//! Finds out when a client can have written the last byte of a body that is not read as fast as it arrives.

use std::time::Duration;

use tokio::time::Instant;

use super::stream::ClientStream;
use crate::READ_BUFFER_BYTES;

/// What a client may have written to its own system's buffer while no more of it arrives here, in bytes.
const MAX_SEND_BUFFER_BYTES: u64 = 4 << 20;

/// After a read, a client's system sends what it holds within this time.
const REFILL_TIME: Duration = Duration::from_millis(10);

/// How much of a body had arrived at a time.
#[derive(Clone, Copy, Debug)]
struct Arrival {
    at: Instant,
    read_bytes: u64,
    unread_bytes: u64,
    /// Since when nothing has been read.
    read_until: Instant,
}

impl Arrival {
    /// Returns how much had arrived at most: a part of it may be in the parser's buffer.
    fn max_bytes(self) -> u64 {
        self.read_bytes + self.unread_bytes + READ_BUFFER_BYTES as u64
    }

    /// Returns how much the client had written at most, judged by what has arrived until `next`. It had
    /// written no more than had arrived if nothing was unread, or if more arrived although nothing had been
    /// read for a while: its system was not waiting for the scheduler to read then.
    fn max_written_bytes(self, next: Self) -> u64 {
        let was_read = next.read_bytes > self.read_bytes || self.at < self.read_until + REFILL_TIME;
        let has_grown = !was_read && next.unread_bytes > self.unread_bytes;
        if self.unread_bytes == 0 || has_grown {
            self.max_bytes()
        } else {
            self.max_bytes() + MAX_SEND_BUFFER_BYTES
        }
    }
}

/// At a time, how much of a body the client can have written at most.
#[derive(Clone, Copy, Debug)]
struct Progress {
    at: Instant,
    max_written_bytes: u64,
}

/// The earliest time at which the client can have written the last byte of a body. Its time for the answer
/// counts from then, however much later the byte is read.
pub(super) struct UploadClock {
    stream: ClientStream,
    length: Option<u64>,
    /// The latest time at which the client had certainly not written the last byte.
    incomplete_at: Instant,
    last_arrival: Option<Arrival>,
    /// Shows that the body was incomplete then, once more of it has been received.
    unconfirmed: Option<Progress>,
}

impl UploadClock {
    /// Creates the clock of a body of `length` bytes, if that is known, of a request that began at
    /// `began_at`.
    pub(super) fn new(stream: ClientStream, length: Option<u64>, began_at: Instant) -> Self {
        Self { stream, length, incomplete_at: began_at, last_arrival: None, unconfirmed: None }
    }

    /// Checks how much of the body has arrived, of which `read_bytes` were read.
    pub(super) fn check(&mut self, read_bytes: u64) {
        if let Some(progress) = self.unconfirmed.take_if(|it| it.max_written_bytes < read_bytes) {
            self.incomplete_at = self.incomplete_at.max(progress.at);
        }
        let Some(unread_bytes) = self.stream.unread_bytes() else { return };
        let at = Instant::now();
        let was_read = |last: &Arrival| last.read_bytes < read_bytes;
        let read_until = self.last_arrival.filter(|last| !was_read(last)).map_or(at, |last| last.read_until);
        let arrival = Arrival { at, read_bytes, unread_bytes, read_until };
        let last_arrival = self.last_arrival.replace(arrival).unwrap_or(arrival);
        let max_written_bytes = last_arrival.max_written_bytes(arrival);
        self.record(Progress { at: last_arrival.at, max_written_bytes });
    }

    fn record(&mut self, progress: Progress) {
        if self.length.is_some_and(|length| progress.max_written_bytes < length) {
            self.incomplete_at = self.incomplete_at.max(progress.at);
        } else {
            self.unconfirmed.get_or_insert(progress);
        }
    }

    /// Records that a byte of the body has been waited for until now.
    pub(super) fn record_wait(&mut self) {
        self.incomplete_at = Instant::now();
    }

    /// Returns the earliest time at which the client can have written the last byte.
    pub(super) fn written_at(&self) -> Instant {
        self.incomplete_at
    }
}
