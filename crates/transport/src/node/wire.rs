//! A TCP stream that tracks whether a request was written completely, and does not begin a request that must
//! not be sent any more.

use std::io;
use std::pin::Pin;
use std::sync::atomic::{AtomicBool, AtomicUsize, Ordering};
use std::sync::{Arc, Mutex, MutexGuard, PoisonError};
use std::task::{ready, Context, Poll};

use rustix::net::{recv, RecvFlags};
use tokio::io::{AsyncRead, AsyncWrite, ReadBuf};
use tokio::net::TcpStream;

use heathward_core::Attempt;

/// The blank line that ends a head, and the chunk that ends a body.
const END: &[u8] = b"\r\n\r\n";
/// Stands for a body's length where none is told.
const UNTOLD: usize = usize::MAX;

/// How far the current request has been written to its connection. This alone decides whether a node can have
/// executed an attempt, so it counts the bytes that the socket has accepted, not those that were to be sent.
#[derive(Debug, Default)]
pub struct WriteProgress {
    /// How much of the blank line that ends a head has been seen.
    ending: AtomicUsize,
    /// Bytes of the body still to come.
    body: AtomicUsize,
    last: AtomicBool,
    whole: AtomicBool,
    begun: AtomicBool,
    withheld: AtomicBool,
    /// It has carried an attempt before this one, and what has come since belongs to none.
    used: AtomicBool,
    stale: AtomicBool,
    /// The current attempt, or the last one.
    attempt: Mutex<Option<Attempt>>,
    broken: AtomicBool,
}

impl WriteProgress {
    /// An attempt begins whose body holds so many bytes, where that is told; else it goes in chunks.
    /// Once it [may not begin](Attempt::may_start), its first byte is not written any more; once it is
    /// cancelled, no byte is.
    pub fn begin(&self, body: impl Into<Option<usize>>, attempt: Attempt) {
        let body = body.into().unwrap_or(UNTOLD);
        let before = self.lock().replace(attempt);
        self.stale.store(false, Ordering::Relaxed);
        self.begun.store(false, Ordering::Relaxed);
        self.withheld.store(false, Ordering::Relaxed);
        self.used.store(before.is_some(), Ordering::Relaxed);
        self.ending.store(0, Ordering::Relaxed);
        self.body.store(body, Ordering::Relaxed);
        self.whole.store(false, Ordering::Relaxed);
        self.last.store(false, Ordering::Relaxed);
    }

    /// Records that the complete body was handed to the connection: its last byte may be written from now on.
    pub fn mark_body_end(&self) {
        self.last.store(true, Ordering::Relaxed);
    }

    /// Whether the socket has accepted the last byte of the request.
    pub fn is_complete(&self) -> bool {
        self.whole.load(Ordering::Relaxed)
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

    /// Whether bytes may be written now. What has begun goes on to its end, but for a client that has left.
    fn may_go(&self, stream: &TcpStream) -> bool {
        if self.is_withheld() || self.is_stale() {
            return false;
        }
        let begun = self.begun.load(Ordering::Relaxed);
        let withheld = self.lock().as_ref().is_some_and(|attempt| match begun {
            false => !attempt.may_start(),
            true => !self.is_complete() && attempt.cancel.is_cancelled(),
        });
        let stale = !begun && self.used.load(Ordering::Relaxed) && !quiet(stream);
        self.withheld.store(withheld, Ordering::Relaxed);
        self.stale.store(stale, Ordering::Relaxed);
        !withheld && !stale
    }

    /// Records bytes that the socket has accepted.
    pub fn record(&self, bytes: &[u8]) {
        self.begun.store(true, Ordering::Relaxed);
        let (mut ending, mut rest) = (self.ending.load(Ordering::Relaxed), bytes);
        while let Some((&byte, after)) = rest.split_first().filter(|_| ending < END.len()) {
            ending = if byte == END[ending] { ending + 1 } else { usize::from(byte == END[0]) };
            rest = after;
        }
        self.ending.store(ending, Ordering::Relaxed);
        if ending == END.len() {
            let mut left = self.body.load(Ordering::Relaxed);
            if left == UNTOLD {
                let over = self.last.load(Ordering::Relaxed) && rest.ends_with(END);
                left = if over { 0 } else { left };
            } else {
                left = left.saturating_sub(rest.len());
            }
            self.body.store(left, Ordering::Relaxed);
            if left == 0 && !self.whole.swap(true, Ordering::Relaxed) {
                if let Some(attempt) = &*self.lock() {
                    attempt.mark_written();
                }
            }
        }
    }
}

/// Nothing has come that is unread, and the far side has not closed. Asks the system: what has come in this
/// very moment is not known to the runtime yet, and would be taken for the next answer.
fn quiet(stream: &TcpStream) -> bool {
    let unread = recv(stream, &mut [0], RecvFlags::PEEK | RecvFlags::DONTWAIT);
    unread.is_err_and(|error| error == rustix::io::Errno::AGAIN)
}

/// A TCP stream that records its writes in a [`WriteProgress`].
#[derive(Debug)]
pub struct TrackedStream {
    stream: TcpStream,
    written: Arc<WriteProgress>,
}

impl TrackedStream {
    /// Records what `stream` accepts in `written`.
    pub fn new(stream: TcpStream, written: Arc<WriteProgress>) -> Self {
        Self { stream, written }
    }
}

impl AsyncRead for TrackedStream {
    fn poll_read(
        mut self: Pin<&mut Self>,
        cx: &mut Context<'_>,
        buf: &mut ReadBuf<'_>,
    ) -> Poll<io::Result<()>> {
        let before = buf.filled().len();
        let read = ready!(Pin::new(&mut self.stream).poll_read(cx, buf));
        if read.is_err() || buf.filled().len() == before {
            self.written.broken.store(true, Ordering::Relaxed);
        }
        Poll::Ready(read)
    }
}

impl AsyncWrite for TrackedStream {
    fn poll_write(mut self: Pin<&mut Self>, cx: &mut Context<'_>, buf: &[u8]) -> Poll<io::Result<usize>> {
        // The one place from which a request's first byte goes out: whatever it has waited for, here it is
        // looked whether it still may.
        if !self.written.may_go(&self.stream) {
            return Poll::Ready(Err(io::ErrorKind::PermissionDenied.into()));
        }
        let wrote = ready!(Pin::new(&mut self.stream).poll_write(cx, buf));
        match &wrote {
            Ok(size) => self.written.record(&buf[..*size]),
            Err(_) => self.written.broken.store(true, Ordering::Relaxed),
        }
        Poll::Ready(wrote)
    }

    fn poll_flush(mut self: Pin<&mut Self>, cx: &mut Context<'_>) -> Poll<io::Result<()>> {
        Pin::new(&mut self.stream).poll_flush(cx)
    }

    fn poll_shutdown(mut self: Pin<&mut Self>, cx: &mut Context<'_>) -> Poll<io::Result<()>> {
        Pin::new(&mut self.stream).poll_shutdown(cx)
    }
}
