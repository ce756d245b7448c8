//! Decides how long a reply is buffered while it is received, and when it is streamed or given up.

use std::time::Duration;

use tokio::time::Instant;

use super::super::long_reply::LONG_REPLY_BYTES;

/// The most time between two chunks of a reply without a length before it is streamed.
const CHUNK_TIMEOUT: Duration = Duration::from_millis(50);
/// A reply without a length that is still being received this long after its head is streamed, so that a node
/// that writes slowly holds up no byte that it has written.
const BUFFERING_TIMEOUT: Duration = Duration::from_millis(100);
/// The part of the time left to an attempt for which a reply that may be truncated is waited for.
const PAUSE_DIVISOR: u32 = 4;
/// A reply that may be truncated is given up this long before its attempt would time out, which would be
/// taken for slowness of the node.
const TIMEOUT_MARGIN: Duration = Duration::from_millis(10);

/// By when a reply has to be received.
#[derive(Clone, Copy, Debug)]
pub(super) struct ReplyDeadlines {
    /// The attempt times out then, unless a long reply is being received.
    pub(super) attempt: Instant,
    /// The client stops waiting then.
    pub(super) client: Instant,
}

/// The pace at which a served reply is received.
///
/// A reply that stops after a few bytes is taken for truncated: it is given up early enough for another
/// attempt. All others are waited for. Those without a length are streamed meanwhile, unless the request
/// needs them as a whole.
pub(super) struct ReplyPace {
    may_stream: bool,
    deadlines: ReplyDeadlines,
    began_at: Instant,
}

impl ReplyPace {
    /// Creates the pace of a reply whose head has been received now. `may_stream` tells whether it has no
    /// length and may be streamed.
    pub(super) fn new(may_stream: bool, deadlines: ReplyDeadlines) -> Self {
        Self { may_stream, deadlines, began_at: Instant::now() }
    }

    /// Returns by when the next chunk is due, after this many bytes.
    pub(super) fn chunk_deadline(&self, received_bytes: usize) -> Instant {
        let pause_deadline = Instant::now() + CHUNK_TIMEOUT;
        match received_bytes {
            1..LONG_REPLY_BYTES => {
                let time_left = self.deadlines.attempt.saturating_duration_since(self.began_at);
                let deadline = pause_deadline.max(self.began_at + time_left / PAUSE_DIVISOR);
                deadline.min(self.deadlines.attempt - TIMEOUT_MARGIN)
            }
            _ if self.may_stream => pause_deadline,
            0 => self.deadlines.attempt,
            _ => self.deadlines.client,
        }
    }

    /// Whether a reply whose next chunk is late after this many bytes is streamed from now on.
    pub(super) fn is_streamed_when_late(&self, received_bytes: usize) -> bool {
        self.may_stream && !(1..LONG_REPLY_BYTES).contains(&received_bytes)
    }

    /// Whether a reply that is being received is streamed from now on.
    pub(super) fn is_streamed(&self) -> bool {
        self.may_stream && self.began_at.elapsed() >= BUFFERING_TIMEOUT
    }
}
