//! A socket that knows whether a request has been written to its last byte, and begins none that must not go.

use std::io;
use std::pin::Pin;
use std::sync::atomic::{AtomicBool, AtomicUsize, Ordering};
use std::sync::{Arc, Mutex, PoisonError};
use std::task::{ready, Context, Poll};

use tokio::io::{AsyncRead, AsyncWrite, ReadBuf};
use tokio::net::TcpStream;

use heathward_core::{Gate, Tries};

/// The blank line that ends a head, and the chunk that ends a body.
const END: &[u8] = b"\r\n\r\n";
/// Stands for a body's length where none is told.
const UNTOLD: usize = usize::MAX;

/// How far the request that a connection carries has been written. Whether an attempt can have run hangs on
/// this alone, so it counts bytes that the socket has taken, not what was meant to be sent.
#[derive(Debug, Default)]
pub struct Written {
    /// How much of the blank line that ends a head has been seen.
    ending: AtomicUsize,
    /// Bytes of the body still to come.
    body: AtomicUsize,
    last: AtomicBool,
    whole: AtomicBool,
    begun: AtomicBool,
    withheld: AtomicBool,
    attempt: Mutex<(Gate, Tries)>,
    broken: AtomicBool,
}

impl Written {
    /// A request begins whose body holds so many bytes, where that is told; else it goes in chunks.
    /// Once `gate` is shut, its first byte is not written any more.
    pub fn begin(&self, body: impl Into<Option<usize>>, gate: Gate, tries: Tries) {
        let body = body.into().unwrap_or(UNTOLD);
        *self.attempt.lock().unwrap_or_else(PoisonError::into_inner) = (gate, tries);
        self.begun.store(false, Ordering::Relaxed);
        self.withheld.store(false, Ordering::Relaxed);
        self.ending.store(0, Ordering::Relaxed);
        self.body.store(body, Ordering::Relaxed);
        self.whole.store(false, Ordering::Relaxed);
        self.last.store(false, Ordering::Relaxed);
    }

    /// All of a body has been handed to the connection: what is written from now on may hold the last of it.
    pub fn last(&self) {
        self.last.store(true, Ordering::Relaxed);
    }

    /// The last byte of the request has reached the socket.
    pub fn whole(&self) -> bool {
        self.whole.load(Ordering::Relaxed)
    }

    /// The far side has closed the connection, or it is reset.
    pub fn broken(&self) -> bool {
        self.broken.load(Ordering::Relaxed)
    }

    /// Its first byte was due when its gate had shut: nothing of it has been or will be written.
    pub fn withheld(&self) -> bool {
        self.withheld.load(Ordering::Relaxed)
    }

    /// Whether bytes may be written now: what has begun goes on to its end.
    fn may_go(&self) -> bool {
        let shut = || self.attempt.lock().unwrap_or_else(PoisonError::into_inner).0.is_shut();
        let withheld = self.withheld() || !self.begun.load(Ordering::Relaxed) && shut();
        self.withheld.store(withheld, Ordering::Relaxed);
        !withheld
    }

    /// Takes note of bytes that the socket has taken.
    pub fn note(&self, bytes: &[u8]) {
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
                self.attempt.lock().unwrap_or_else(PoisonError::into_inner).1.count();
            }
        }
    }
}

/// A stream whose written bytes are noted.
#[derive(Debug)]
pub struct Counted {
    stream: TcpStream,
    written: Arc<Written>,
}

impl Counted {
    /// Notes what this stream takes.
    pub fn new(stream: TcpStream, written: Arc<Written>) -> Self {
        Self { stream, written }
    }
}

impl AsyncRead for Counted {
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

impl AsyncWrite for Counted {
    fn poll_write(mut self: Pin<&mut Self>, cx: &mut Context<'_>, buf: &[u8]) -> Poll<io::Result<usize>> {
        // The one place from which a request's first byte goes out: whatever it has waited for, here it is
        // looked whether it still may.
        if !self.written.may_go() {
            return Poll::Ready(Err(io::ErrorKind::PermissionDenied.into()));
        }
        let wrote = ready!(Pin::new(&mut self.stream).poll_write(cx, buf));
        match &wrote {
            Ok(size) => self.written.note(&buf[..*size]),
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
