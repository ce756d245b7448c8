//! A stream of PDUs on a TCP connection.

use std::future::poll_fn;
use std::io;
use std::pin::Pin;
use std::task::{Context, Poll};
use std::time::Duration;

use bytes::BytesMut;
use tokio::io::{AsyncRead, AsyncReadExt, AsyncWriteExt, ReadBuf};
use tokio::net::TcpStream;
use tokio::time::timeout;

use super::pdu::{DataLimits, FatalError, Pdu};
use crate::node::{outlasts_attempt, Flag};

/// The connection is closed if the peer reads nothing for so long: as long as a client may read nothing.
const STALLED_PEER_TIMEOUT: Duration = Duration::from_secs(30);
/// Data of a PDU up to this size, in bytes, is copied behind its header, so that one write sends both. Longer
/// data is written from where it is, as the buffer for output stays as large as it once was.
const MAX_COPIED_BYTES: usize = 4096;

/// Why a connection can't be used any more.
#[derive(Debug)]
pub enum StreamError {
    /// The connection was closed, or the socket failed.
    Closed,
    /// The peer sent something that is not valid.
    Fatal(FatalError),
}

impl From<io::Error> for StreamError {
    fn from(_: io::Error) -> Self {
        Self::Closed
    }
}

/// A stream of PDUs on one connection, which is one queue.
#[derive(Debug)]
pub struct PduStream {
    stream: TcpStream,
    input: BytesMut,
    output: BytesMut,
    /// Alignment of data that the peer requires, in bytes.
    alignment: usize,
    data_limits: DataLimits,
}

impl PduStream {
    /// Creates a PDU stream on a TCP connection.
    ///
    /// # Errors
    /// The error of the operating system, if the option `TCP_NODELAY` can't be set.
    pub fn new(stream: TcpStream) -> io::Result<Self> {
        stream.set_nodelay(true)?;
        Ok(Self {
            stream,
            input: BytesMut::new(),
            output: BytesMut::new(),
            alignment: 4,
            data_limits: DataLimits::MAX,
        })
    }

    /// Sets the alignment of data that the peer requires; `alignment` is in dwords, minus 1.
    pub fn set_alignment(&mut self, alignment: u8) {
        self.alignment = (usize::from(alignment) + 1) * 4;
    }

    /// Sets the most data of the PDUs that are received from now on.
    pub(super) fn set_data_limits(&mut self, limits: DataLimits) {
        self.data_limits = limits;
    }

    /// Receives the next PDU. No input is lost if the future is dropped before it is ready.
    ///
    /// # Errors
    /// The connection was closed or has failed, or the input is not a valid PDU or one with too much data.
    pub async fn next(&mut self) -> Result<Pdu, StreamError> {
        self.receive(None).await
    }

    /// The same; sets `receiving_long_reply` once so much of a PDU has arrived that the reply may outlast its
    /// attempt.
    ///
    /// # Errors
    /// Those of [`Self::next`].
    pub(super) async fn next_of_reply(&mut self, receiving_long_reply: &Flag) -> Result<Pdu, StreamError> {
        self.receive(Some(receiving_long_reply)).await
    }

    async fn receive(&mut self, receiving_long_reply: Option<&Flag>) -> Result<Pdu, StreamError> {
        loop {
            self.data_limits.check(&self.input).map_err(StreamError::Fatal)?;
            if let Some(pdu) = Pdu::decode(&mut self.input).map_err(StreamError::Fatal)? {
                return Ok(pdu);
            }
            if self.stream.read_buf(&mut self.input).await? == 0 {
                return Err(StreamError::Closed);
            }
            if outlasts_attempt(self.input.len()) {
                receiving_long_reply.inspect(|flag| flag.set());
            }
        }
    }

    /// Sends PDUs; returns once the socket has accepted the last byte.
    ///
    /// # Errors
    /// The connection has failed.
    pub async fn send(&mut self, pdus: &[Pdu]) -> io::Result<()> {
        self.output.clear();
        for pdu in pdus {
            pdu.encode_header(&mut self.output, self.alignment);
            if pdu.data().len() <= MAX_COPIED_BYTES {
                self.output.extend_from_slice(pdu.data());
            } else {
                write_all(&mut self.stream, &self.output).await?;
                self.output.clear();
                write_all(&mut self.stream, pdu.data()).await?;
            }
        }
        write_all(&mut self.stream, &self.output).await
    }

    /// Sends the host a TermReq with the error, and closes the connection.
    ///
    /// # Errors
    /// The connection has failed; the host may not have received the error.
    pub async fn terminate(&mut self, fatal: FatalError) -> io::Result<()> {
        let term_req = Pdu::terminate(fatal, &self.input);
        self.send(&[term_req]).await?;
        self.stream.shutdown().await?;
        // Closing with unread bytes would reset the connection, and the host might not receive the error. So
        // the input is discarded until the host closes.
        let mut discarded = BytesMut::new();
        while self.stream.read_buf(&mut discarded).await? > 0 {
            discarded.clear();
        }
        Ok(())
    }

    /// Returns ready once any input or the end of the connection arrives while no input is expected: the
    /// connection can't be used any more. An input byte is lost.
    pub fn poll_unexpected_input(&mut self, cx: &mut Context<'_>) -> Poll<()> {
        let mut byte = [0];
        let mut buffer = ReadBuf::new(&mut byte);
        Pin::new(&mut self.stream).poll_read(cx, &mut buffer).map(|_| ())
    }

    /// Whether the connection is open and no unexpected input has arrived.
    pub async fn has_no_input(&mut self) -> bool {
        self.input.is_empty() && poll_fn(|cx| Poll::Ready(self.poll_unexpected_input(cx).is_pending())).await
    }
}

/// Writes all bytes.
///
/// # Errors
/// Returns the operating system's error, or a timeout if the peer reads nothing for [`STALLED_PEER_TIMEOUT`].
async fn write_all(stream: &mut TcpStream, mut bytes: &[u8]) -> io::Result<()> {
    while !bytes.is_empty() {
        let written = timeout(STALLED_PEER_TIMEOUT, stream.write(bytes)).await??;
        if written == 0 {
            return Err(io::ErrorKind::WriteZero.into());
        }
        bytes = &bytes[written..];
    }
    Ok(())
}
