//! A TCP stream that tracks whether a request was written completely, and does not begin a request that must
//! not be sent any more.

use std::io::{self, IoSlice};
use std::pin::Pin;
use std::sync::atomic::{AtomicBool, AtomicU32, AtomicUsize, Ordering};
use std::sync::{Arc, Mutex, MutexGuard, PoisonError};
use std::task::{ready, Context, Poll};

use rustix::net::{recv, RecvFlags};
use tokio::io::{AsyncRead, AsyncWrite, ReadBuf};
use tokio::net::TcpStream;

use crate::read_clock::ReadClock;
use crate::READ_LIMIT_BYTES;
use heathward_core::Attempt;

/// The bytes at the end of a head, and at the end of a chunked body.
const TERMINATOR: &[u8; 4] = b"\r\n\r\n";
/// In place of the length of a chunked body, which is not known in advance.
const UNKNOWN_LENGTH: usize = usize::MAX;

/// How far the current request has been written to its connection. This alone decides whether a node can have
/// executed an attempt, so it counts the bytes that the socket has accepted, not those that were to be sent.
#[derive(Debug, Default)]
pub struct WriteProgress {
    /// How many bytes of the [`TERMINATOR`] of the head were written.
    terminator_matched: AtomicUsize,
    /// Bytes of the body that are still to be written, or [`UNKNOWN_LENGTH`].
    remaining_body: AtomicUsize,
    /// The last four bytes of the body that were written, in the order of their writes.
    last_body_bytes: AtomicU32,
    /// The complete body was handed to the connection.
    body_ended: AtomicBool,
    complete: AtomicBool,
    started: AtomicBool,
    withheld: AtomicBool,
    /// The connection has carried an attempt.
    used: AtomicBool,
    /// The connection has carried an attempt before this one; bytes received since then belong to no request.
    reused: AtomicBool,
    stale: AtomicBool,
    /// The current attempt until its last byte is written: an idle connection must not hold its body.
    attempt: Mutex<Option<Attempt>>,
    broken: AtomicBool,
}

impl WriteProgress {
    /// Begins an attempt with a body of `content_length` bytes, or a chunked body if that is `None`. The
    /// first byte is not written once the attempt [may not start](Attempt::may_start) any more; no further
    /// byte is written once it is cancelled.
    pub fn begin(&self, content_length: impl Into<Option<usize>>, attempt: Attempt) {
        let remaining_body = content_length.into().unwrap_or(UNKNOWN_LENGTH);
        self.lock().replace(attempt);
        self.stale.store(false, Ordering::Relaxed);
        self.started.store(false, Ordering::Relaxed);
        self.withheld.store(false, Ordering::Relaxed);
        self.reused.store(self.used.swap(true, Ordering::Relaxed), Ordering::Relaxed);
        self.terminator_matched.store(0, Ordering::Relaxed);
        self.remaining_body.store(remaining_body, Ordering::Relaxed);
        self.last_body_bytes.store(0, Ordering::Relaxed);
        self.complete.store(false, Ordering::Relaxed);
        self.body_ended.store(false, Ordering::Relaxed);
    }

    /// Records that the complete body was handed to the connection: its last byte may be written from now on.
    pub fn mark_body_end(&self) {
        self.body_ended.store(true, Ordering::Relaxed);
    }

    /// Whether the socket has accepted the last byte of the request.
    pub fn is_complete(&self) -> bool {
        self.complete.load(Ordering::Relaxed)
    }

    /// Whether the node has closed the connection, or it was reset.
    pub fn is_broken(&self) -> bool {
        self.broken.load(Ordering::Relaxed)
    }

    /// Whether a byte of the request was held back because the attempt must not be sent any more: its last
    /// byte was not written and never will be.
    pub fn is_withheld(&self) -> bool {
        self.withheld.load(Ordering::Relaxed)
    }

    /// Whether the connection was unusable when the first byte of the request was due: the node had closed
    /// it, or unexpected bytes had arrived. Nothing of the request was or will be written to it.
    pub fn is_stale(&self) -> bool {
        self.stale.load(Ordering::Relaxed)
    }

    fn lock(&self) -> MutexGuard<'_, Option<Attempt>> {
        self.attempt.lock().unwrap_or_else(PoisonError::into_inner)
    }

    /// Whether bytes may be written now. A request that was started is written to its end, unless its attempt
    /// is cancelled.
    fn may_write(&self, stream: &TcpStream) -> bool {
        if self.is_withheld() || self.is_stale() {
            return false;
        }
        let started = self.started.load(Ordering::Relaxed);
        let withheld = self.lock().as_ref().is_some_and(|attempt| match started {
            false => !attempt.may_start(),
            true => !self.is_complete() && attempt.cancel.is_cancelled(),
        });
        let stale = !started && self.reused.load(Ordering::Relaxed) && !has_no_input(stream);
        self.withheld.store(withheld, Ordering::Relaxed);
        self.stale.store(stale, Ordering::Relaxed);
        !withheld && !stale
    }

    /// Records bytes that the socket has accepted.
    pub fn record(&self, bytes: &[u8]) {
        self.started.store(true, Ordering::Relaxed);
        let (mut matched, mut rest) = (self.terminator_matched.load(Ordering::Relaxed), bytes);
        while let Some((&byte, after)) = rest.split_first().filter(|_| matched < TERMINATOR.len()) {
            matched =
                if byte == TERMINATOR[matched] { matched + 1 } else { usize::from(byte == TERMINATOR[0]) };
            rest = after;
        }
        self.terminator_matched.store(matched, Ordering::Relaxed);
        if matched == TERMINATOR.len()
            && self.record_body(rest)
            && !self.complete.swap(true, Ordering::Relaxed)
        {
            if let Some(attempt) = self.lock().take() {
                attempt.mark_written();
            }
        }
    }

    /// Records the result of writing `bufs` one after the other.
    fn record_result(&self, result: &io::Result<usize>, bufs: &[IoSlice<'_>]) {
        let Ok(mut written) = *result else { return self.broken.store(true, Ordering::Relaxed) };
        for buf in bufs {
            let accepted = written.min(buf.len());
            if accepted > 0 {
                self.record(&buf[..accepted]);
            }
            written -= accepted;
        }
    }

    /// Records bytes of the body that the socket has accepted; returns whether its last byte is among them or
    /// was before.
    fn record_body(&self, bytes: &[u8]) -> bool {
        let remaining = self.remaining_body.load(Ordering::Relaxed);
        if remaining != UNKNOWN_LENGTH {
            let remaining = remaining.saturating_sub(bytes.len());
            self.remaining_body.store(remaining, Ordering::Relaxed);
            return remaining == 0;
        }
        // The terminator may be split between writes.
        let tail = &bytes[bytes.len().saturating_sub(TERMINATOR.len())..];
        let before = self.last_body_bytes.load(Ordering::Relaxed);
        let last_bytes = tail.iter().fold(before, |last, byte| last << 8 | u32::from(*byte));
        self.last_body_bytes.store(last_bytes, Ordering::Relaxed);
        self.body_ended.load(Ordering::Relaxed) && last_bytes.to_be_bytes() == *TERMINATOR
    }
}

/// Whether there are no unread bytes and the node has not closed the connection. This asks the operating
/// system: the runtime does not know yet of bytes that have just arrived, which would be taken for the next
/// answer.
fn has_no_input(stream: &TcpStream) -> bool {
    let unread = recv(stream, &mut [0], RecvFlags::PEEK | RecvFlags::DONTWAIT);
    unread.is_err_and(|error| error == rustix::io::Errno::AGAIN)
}

/// A TCP stream that records its writes in a [`WriteProgress`] and its reads in a clock.
#[derive(Debug)]
pub struct TrackedStream {
    stream: TcpStream,
    written: Arc<WriteProgress>,
    read_clock: Arc<ReadClock>,
}

impl TrackedStream {
    /// Wraps `stream`; the bytes that it accepts are recorded in `written`.
    pub fn new(stream: TcpStream, written: Arc<WriteProgress>) -> Self {
        Self { stream, written, read_clock: Arc::default() }
    }

    /// Returns the clock that records the reads.
    pub(super) fn read_clock(&self) -> Arc<ReadClock> {
        Arc::clone(&self.read_clock)
    }
}

impl AsyncRead for TrackedStream {
    fn poll_read(self: Pin<&mut Self>, cx: &mut Context<'_>, buf: &mut ReadBuf<'_>) -> Poll<io::Result<()>> {
        let limit = buf.remaining().min(READ_LIMIT_BYTES);
        let read = loop {
            let Poll::Ready(ready) = self.stream.poll_read_ready(cx) else {
                self.read_clock.record_empty();
                return Poll::Pending;
            };
            ready?;
            match self.stream.try_read(buf.initialize_unfilled_to(limit)) {
                Err(error) if error.kind() == io::ErrorKind::WouldBlock => {}
                result => break result,
            }
        };
        if !matches!(read, Ok(1..)) {
            self.written.broken.store(true, Ordering::Relaxed);
        }
        self.read_clock.record_filled();
        buf.advance(*read.as_ref().unwrap_or(&0));
        Poll::Ready(read.map(|_| ()))
    }
}

impl AsyncWrite for TrackedStream {
    fn poll_write(mut self: Pin<&mut Self>, cx: &mut Context<'_>, buf: &[u8]) -> Poll<io::Result<usize>> {
        // The first byte of every request is written here, so this check comes after all that a request may
        // have to wait for.
        if !self.written.may_write(&self.stream) {
            return Poll::Ready(Err(io::ErrorKind::PermissionDenied.into()));
        }
        let result = ready!(Pin::new(&mut self.stream).poll_write(cx, buf));
        self.written.record_result(&result, &[IoSlice::new(buf)]);
        Poll::Ready(result)
    }

    fn poll_write_vectored(
        mut self: Pin<&mut Self>,
        cx: &mut Context<'_>,
        bufs: &[IoSlice<'_>],
    ) -> Poll<io::Result<usize>> {
        if !self.written.may_write(&self.stream) {
            return Poll::Ready(Err(io::ErrorKind::PermissionDenied.into()));
        }
        let result = ready!(Pin::new(&mut self.stream).poll_write_vectored(cx, bufs));
        self.written.record_result(&result, bufs);
        Poll::Ready(result)
    }

    /// So that data is written from where it is: hyper would copy it into a buffer that a connection keeps.
    fn is_write_vectored(&self) -> bool {
        true
    }

    fn poll_flush(mut self: Pin<&mut Self>, cx: &mut Context<'_>) -> Poll<io::Result<()>> {
        Pin::new(&mut self.stream).poll_flush(cx)
    }

    fn poll_shutdown(mut self: Pin<&mut Self>, cx: &mut Context<'_>) -> Poll<io::Result<()>> {
        Pin::new(&mut self.stream).poll_shutdown(cx)
    }
}
