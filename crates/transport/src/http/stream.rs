//! A client's TCP stream. It records when bytes arrive, and detects a disconnect even behind bytes that the
//! HTTP parser has not read yet.

use std::io;
use std::pin::Pin;
use std::sync::{Arc, Mutex, MutexGuard, PoisonError};
use std::task::{ready, Context, Poll};

use bytes::{Buf, BytesMut};
use tokio::io::{AsyncRead, AsyncWrite, ReadBuf};
use tokio::net::TcpStream;

use super::connections::Client;
use super::HEAD_LIMIT;

/// Bytes that are read at a time while a request is worked on.
const PIECE: usize = 4096;

/// Bytes that arrived while the HTTP parser was not reading.
#[derive(Debug, Default)]
struct Ahead {
    bytes: BytesMut,
    /// The client has closed, or the connection is reset.
    gone: bool,
    /// More came than is held: it was thrown away.
    overrun: bool,
}

/// A client's stream; all clones share one socket.
///
/// While a request is being processed, hyper stops reading once any byte has arrived behind it, and would not
/// notice that the client disconnects. So this reads ahead, up to the size of a head. "Clients send one
/// request at a time on a connection": a client that sends more gets no further request served on it.
#[derive(Clone, Debug)]
pub(super) struct ClientStream {
    stream: Arc<TcpStream>,
    client: Arc<Client>,
    ahead: Arc<Mutex<Ahead>>,
}

impl ClientStream {
    pub(super) fn new(stream: TcpStream, client: Arc<Client>) -> Self {
        Self { stream: Arc::new(stream), client, ahead: Arc::default() }
    }

    fn ahead(&self) -> MutexGuard<'_, Ahead> {
        self.ahead.lock().unwrap_or_else(PoisonError::into_inner)
    }

    /// Ready once the client has left. To be asked while a request is worked on.
    pub(super) fn poll_gone(&self, cx: &mut Context<'_>) -> Poll<()> {
        let mut ahead = self.ahead();
        while !ahead.gone {
            let mut piece = [0; PIECE];
            let read = match ready!(self.stream.poll_read_ready(cx)) {
                Ok(()) => self.stream.try_read(&mut piece),
                Err(error) => Err(error),
            };
            match read {
                Ok(0) => ahead.gone = true,
                Ok(size) if ahead.overrun || ahead.bytes.len() + size > HEAD_LIMIT => {
                    (ahead.overrun, ahead.bytes) = (true, BytesMut::new());
                    self.client.end_with_answer();
                }
                Ok(size) => ahead.bytes.extend_from_slice(&piece[..size]),
                Err(error) if error.kind() == io::ErrorKind::WouldBlock => {}
                Err(_) => ahead.gone = true,
            }
        }
        Poll::Ready(())
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
        let mut ahead = self.ahead();
        let before = buf.filled().len();
        let size = ahead.bytes.len().min(buf.remaining());
        buf.put_slice(&ahead.bytes[..size]);
        ahead.bytes.advance(size);
        while buf.filled().len() == before && !ahead.gone {
            if ahead.overrun {
                // The connection ends with the answer at hand, which has to come yet.
                return Poll::Pending;
            }
            ready!(self.stream.poll_read_ready(cx))?;
            match self.stream.try_read(buf.initialize_unfilled()) {
                Ok(0) => break,
                Ok(size) => buf.advance(size),
                Err(error) if error.kind() == io::ErrorKind::WouldBlock => {}
                Err(error) => return Poll::Ready(Err(error)),
            }
        }
        if buf.filled().len() > before {
            self.client.heard(&buf.filled()[before..]);
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
                wrote => return Poll::Ready(wrote),
            }
        }
    }

    fn poll_flush(self: Pin<&mut Self>, _: &mut Context<'_>) -> Poll<io::Result<()>> {
        Poll::Ready(Ok(()))
    }

    /// Does nothing: the task that serves the connection shuts the socket down.
    fn poll_shutdown(self: Pin<&mut Self>, _: &mut Context<'_>) -> Poll<io::Result<()>> {
        Poll::Ready(Ok(()))
    }
}
