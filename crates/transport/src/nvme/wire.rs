//! A stream of PDUs on a TCP connection.

use std::future::poll_fn;
use std::io;
use std::pin::Pin;
use std::task::{Context, Poll};

use bytes::BytesMut;
use tokio::io::{AsyncRead, AsyncReadExt, AsyncWriteExt, ReadBuf};
use tokio::net::TcpStream;

use super::pdu::{FatalError, Pdu};

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
    /// What the far side wants data aligned to, in bytes.
    align: usize,
}

impl PduStream {
    /// Creates a PDU stream on a TCP connection.
    ///
    /// # Errors
    /// The system's, if the option `TCP_NODELAY` can't be set.
    pub fn new(stream: TcpStream) -> io::Result<Self> {
        stream.set_nodelay(true)?;
        Ok(Self { stream, input: BytesMut::new(), output: BytesMut::new(), align: 4 })
    }

    /// Takes the alignment that the far side wants, in dwords from 0.
    pub fn align(&mut self, dwords: u8) {
        self.align = (usize::from(dwords) + 1) * 4;
    }

    /// Receives the next PDU. No input is lost if the future is dropped before it is ready.
    ///
    /// # Errors
    /// The connection was closed or has failed, or the input is not a valid PDU.
    pub async fn next(&mut self) -> Result<Pdu, StreamError> {
        loop {
            if let Some(pdu) = Pdu::decode(&mut self.input).map_err(StreamError::Fatal)? {
                return Ok(pdu);
            }
            if self.stream.read_buf(&mut self.input).await? == 0 {
                return Err(StreamError::Closed);
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
            pdu.encode(&mut self.output, self.align);
        }
        self.stream.write_all(&self.output).await
    }

    /// Sends the host a TermReq with the error, and closes the connection.
    ///
    /// # Errors
    /// The connection has failed; the host may not have received the error.
    pub async fn terminate(&mut self, fatal: FatalError) -> io::Result<()> {
        let term = Pdu::terminate(fatal, &self.input);
        self.send(&[term]).await?;
        self.stream.shutdown().await?;
        // A close over unread bytes would reset the connection, and the reason with it. The host closes.
        let mut rest = BytesMut::new();
        while self.stream.read_buf(&mut rest).await? > 0 {
            rest.clear();
        }
        Ok(())
    }

    /// Ready once anything at all comes while nothing is due: the end, or what can't be trusted.
    pub fn poll_unasked(&mut self, cx: &mut Context<'_>) -> Poll<()> {
        let mut byte = [0];
        let mut one = ReadBuf::new(&mut byte);
        Pin::new(&mut self.stream).poll_read(cx, &mut one).map(|_| ())
    }

    /// True if nothing has come unasked.
    pub async fn quiet(&mut self) -> bool {
        self.input.is_empty() && poll_fn(|cx| Poll::Ready(self.poll_unasked(cx).is_pending())).await
    }
}
