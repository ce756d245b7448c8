//! A client's TCP stream. It records when bytes arrive, and detects a disconnect even behind bytes that the
//! HTTP parser has not read yet.

use std::io::{self, IoSlice};
use std::pin::Pin;
use std::sync::atomic::{AtomicBool, Ordering};
use std::sync::{Arc, Mutex, MutexGuard, PoisonError};
use std::task::{ready, Context, Poll};

use bytes::{Buf, BytesMut};
use rustix::event::{poll, PollFd, PollFlags, Timespec};
use rustix::io::ioctl_fionread;
use tokio::io::{AsyncRead, AsyncWrite, Interest, ReadBuf};
use tokio::net::TcpStream;

use super::connections::ClientConnection;
use super::MAX_HEAD_BYTES;
use crate::read_clock::ReadClock;
use crate::READ_LIMIT_BYTES;

/// The most bytes that are read at a time while a request is being processed.
const READ_AHEAD_CHUNK_BYTES: usize = 4096;

/// How many times the parser reads before other connections have their turn: a read brings up to 8 KB, which
/// are hundreds of small requests.
const MAX_READS_PER_TURN: u32 = 4;

/// Bytes that arrived while the HTTP parser was not reading.
#[derive(Debug, Default)]
struct ReadAhead {
    bytes: BytesMut,
    /// The client has closed, or the connection is reset.
    disconnected: bool,
    /// More than [`MAX_HEAD_BYTES`] arrived; all of it was discarded.
    overrun: bool,
    /// How many times the parser has read without a pause.
    reads_in_turn: u32,
}

/// A client's stream; all clones share one socket.
///
/// While a request is being processed, hyper stops reading once any byte has arrived behind it, and would not
/// notice that the client disconnects. So this reads ahead, up to the size of a head. Clients send one
/// request at a time on a connection: if more than a head arrives, it is discarded, and the connection is
/// closed after the current answer.
#[derive(Clone, Debug)]
pub(super) struct ClientStream {
    stream: Arc<TcpStream>,
    client: Arc<ClientConnection>,
    read_ahead: Arc<Mutex<ReadAhead>>,
    read_clock: Arc<ReadClock>,
    /// A chunk of a streamed answer was passed to hyper, which has not written all of it yet.
    holds_chunk: Arc<AtomicBool>,
}

impl ClientStream {
    pub(super) fn new(stream: TcpStream, client: Arc<ClientConnection>) -> Self {
        Self {
            stream: Arc::new(stream),
            client,
            read_ahead: Arc::default(),
            read_clock: Arc::default(),
            holds_chunk: Arc::default(),
        }
    }

    /// Returns the clock that records the reads of the HTTP parser.
    pub(super) fn read_clock(&self) -> Arc<ReadClock> {
        Arc::clone(&self.read_clock)
    }

    /// Returns the state of the connection.
    pub(super) fn client(&self) -> &ClientConnection {
        &self.client
    }

    /// Records that a chunk of a streamed answer is passed to hyper.
    pub(super) fn begin_chunk(&self) {
        self.holds_chunk.store(true, Ordering::Relaxed);
    }

    /// Returns ready once the chunk before is written and the system's send buffer has space: the system says
    /// so when a third of the buffer is free, which is more than a chunk. Also ready if the connection has
    /// failed.
    pub(super) fn poll_space(&self, cx: &mut Context<'_>) -> Poll<()> {
        if self.holds_chunk.load(Ordering::Relaxed) {
            // `poll_flush` wakes the task once hyper has written the chunk.
            return Poll::Pending;
        }
        while ready!(self.stream.poll_write_ready(cx)).is_ok() {
            // The runtime only learns that there is no space from an operation that reports it.
            let checked = self.stream.try_io(Interest::WRITABLE, || self.check_space());
            if !checked.is_err_and(|error| error.kind() == io::ErrorKind::WouldBlock) {
                break;
            }
        }
        Poll::Ready(())
    }

    /// Asks the system whether its send buffer has space.
    ///
    /// # Errors
    /// [`io::ErrorKind::WouldBlock`] if it has none.
    fn check_space(&self) -> io::Result<()> {
        let mut descriptors = [PollFd::new(&self.stream, PollFlags::OUT)];
        // If the system does not tell, the next write shows it.
        let polled = poll(&mut descriptors, Some(&Timespec::default()));
        match polled {
            Ok(0) => Err(io::ErrorKind::WouldBlock.into()),
            _ => Ok(()),
        }
    }

    fn lock_read_ahead(&self) -> MutexGuard<'_, ReadAhead> {
        self.read_ahead.lock().unwrap_or_else(PoisonError::into_inner)
    }

    /// Returns ready once the client has disconnected. To be polled while a request is being processed.
    pub(super) fn poll_disconnected(&self, cx: &mut Context<'_>) -> Poll<()> {
        let mut read_ahead = self.lock_read_ahead();
        while !read_ahead.disconnected {
            let mut chunk = [0; READ_AHEAD_CHUNK_BYTES];
            let read = match ready!(self.stream.poll_read_ready(cx)) {
                Ok(()) => self.stream.try_read(&mut chunk),
                Err(error) => Err(error),
            };
            match read {
                Ok(0) => read_ahead.disconnected = true,
                Ok(size) if read_ahead.overrun || read_ahead.bytes.len() + size > MAX_HEAD_BYTES => {
                    (read_ahead.overrun, read_ahead.bytes) = (true, BytesMut::new());
                    self.client.close_after_answer();
                }
                Ok(size) => read_ahead.bytes.extend_from_slice(&chunk[..size]),
                Err(error) if error.kind() == io::ErrorKind::WouldBlock => {}
                Err(_) => read_ahead.disconnected = true,
            }
        }
        Poll::Ready(())
    }

    /// Returns whether the client has closed the connection, or it is reset, also if bytes that arrived
    /// before that are unread.
    pub(super) fn is_closed_by_client(&self) -> bool {
        let mut descriptors = [PollFd::new(&self.stream, PollFlags::RDHUP)];
        let polled = poll(&mut descriptors, Some(&Timespec::default()));
        let closed = PollFlags::RDHUP | PollFlags::HUP | PollFlags::ERR;
        polled.is_ok() && descriptors[0].revents().intersects(closed)
    }

    /// Returns how many bytes have arrived and are unread; `None` if the system does not tell it.
    pub(super) fn unread_bytes(&self) -> Option<u64> {
        ioctl_fionread(&self.stream).ok()
    }

    /// Returns the socket if this is the last clone.
    pub(super) fn into_stream(self) -> Option<TcpStream> {
        Arc::into_inner(self.stream)
    }

    /// Writes as many bytes as the socket's send buffer accepts, without waiting.
    pub(super) fn try_write(&self, bytes: &[u8]) -> io::Result<usize> {
        self.stream.try_write(bytes)
    }
}

impl AsyncRead for ClientStream {
    fn poll_read(self: Pin<&mut Self>, cx: &mut Context<'_>, buf: &mut ReadBuf<'_>) -> Poll<io::Result<()>> {
        let mut read_ahead = self.lock_read_ahead();
        let filled_before = buf.filled().len();
        let size = read_ahead.bytes.len().min(buf.remaining());
        buf.put_slice(&read_ahead.bytes[..size]);
        read_ahead.bytes.advance(size);
        while buf.filled().len() == filled_before && !read_ahead.disconnected {
            if read_ahead.overrun {
                // The connection ends with the answer to the current request, which is still due.
                return Poll::Pending;
            }
            if read_ahead.reads_in_turn == MAX_READS_PER_TURN {
                read_ahead.reads_in_turn = 0;
                cx.waker().wake_by_ref();
                return Poll::Pending;
            }
            let Poll::Ready(ready) = self.stream.poll_read_ready(cx) else {
                read_ahead.reads_in_turn = 0;
                self.read_clock.record_empty();
                return Poll::Pending;
            };
            ready?;
            read_ahead.reads_in_turn += 1;
            let limit = buf.remaining().min(READ_LIMIT_BYTES);
            match self.stream.try_read(buf.initialize_unfilled_to(limit)) {
                Ok(0) => break,
                Ok(size) => buf.advance(size),
                Err(error) if error.kind() == io::ErrorKind::WouldBlock => {}
                Err(error) => return Poll::Ready(Err(error)),
            }
        }
        if buf.filled().len() > filled_before {
            self.read_clock.record_filled();
            self.client.record_received(&buf.filled()[filled_before..]);
        }
        Poll::Ready(Ok(()))
    }
}

impl AsyncWrite for ClientStream {
    fn poll_write(self: Pin<&mut Self>, cx: &mut Context<'_>, buf: &[u8]) -> Poll<io::Result<usize>> {
        loop {
            ready!(self.stream.poll_write_ready(cx))?;
            match self.stream.try_write(buf) {
                Err(error) if error.kind() == io::ErrorKind::WouldBlock => {}
                result => {
                    self.client.record_sent();
                    return Poll::Ready(result);
                }
            }
        }
    }

    fn poll_write_vectored(
        self: Pin<&mut Self>,
        cx: &mut Context<'_>,
        bufs: &[IoSlice<'_>],
    ) -> Poll<io::Result<usize>> {
        loop {
            ready!(self.stream.poll_write_ready(cx))?;
            match self.stream.try_write_vectored(bufs) {
                Err(error) if error.kind() == io::ErrorKind::WouldBlock => {}
                result => {
                    self.client.record_sent();
                    return Poll::Ready(result);
                }
            }
        }
    }

    /// So that data is written from where it is: hyper would copy it into a buffer that a connection keeps.
    fn is_write_vectored(&self) -> bool {
        true
    }

    /// Called by hyper once it holds nothing that was not written.
    fn poll_flush(self: Pin<&mut Self>, cx: &mut Context<'_>) -> Poll<io::Result<()>> {
        if self.holds_chunk.swap(false, Ordering::Relaxed) {
            cx.waker().wake_by_ref();
        }
        self.client.record_flushed();
        Poll::Ready(Ok(()))
    }

    /// Does nothing: the task that serves the connection shuts the socket down.
    fn poll_shutdown(self: Pin<&mut Self>, _: &mut Context<'_>) -> Poll<io::Result<()>> {
        Poll::Ready(Ok(()))
    }
}
