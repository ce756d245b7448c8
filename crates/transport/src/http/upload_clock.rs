//! Finds out when a client can have written the last byte of a body that is not read as fast as it arrives.

use tokio::time::Instant;

use super::stream::{ClientStream, Unread};
use crate::READ_BUFFER_BYTES;

/// What a client may have written to its own system's buffer while no more of it arrives here, in bytes.
const MAX_SEND_BUFFER_BYTES: u64 = 4 << 20;

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
    /// Shows that the body was incomplete then, once more of it has been received.
    unconfirmed: Option<Progress>,
}

impl UploadClock {
    /// Creates the clock of a body of `length` bytes, if that is known, of a request that began at
    /// `began_at`.
    pub(super) fn new(stream: ClientStream, length: Option<u64>, began_at: Instant) -> Self {
        Self { stream, length, incomplete_at: began_at, unconfirmed: None }
    }

    /// Checks how much of the body can have been written, of which `received_bytes` were read. A part of the
    /// rest may be in the parser's buffer.
    pub(super) fn check(&mut self, received_bytes: u64) {
        if let Some(progress) = self.unconfirmed.take_if(|it| it.max_written_bytes < received_bytes) {
            self.incomplete_at = self.incomplete_at.max(progress.at);
        }
        let unread_bytes = match self.stream.unread_input() {
            Some(Unread { bytes, is_all: true }) => bytes,
            Some(Unread { bytes, is_all: false }) => bytes + MAX_SEND_BUFFER_BYTES,
            None => return,
        };
        let progress = Progress {
            at: Instant::now(),
            max_written_bytes: received_bytes + READ_BUFFER_BYTES as u64 + unread_bytes,
        };
        if self.length.is_some_and(|length| progress.max_written_bytes < length) {
            self.incomplete_at = progress.at;
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
