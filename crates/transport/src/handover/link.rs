//! The connection between two processes of one scheduler. It carries lines of text and, once, the listening
//! sockets that one process hands over to the other.

use std::io::{self, IoSlice, IoSliceMut};
use std::mem::MaybeUninit;
use std::os::fd::{AsFd, OwnedFd};

use rustix::net::{
    recvmsg, sendmsg, RecvAncillaryBuffer, RecvAncillaryMessage, RecvFlags, SendAncillaryBuffer,
    SendAncillaryMessage, SendFlags,
};
use tokio::io::{AsyncReadExt, AsyncWriteExt, Interest};
use tokio::net::UnixStream;

/// The maximum length of a line, enough for a list of some ten thousand nodes.
const MAX_LINE_BYTES: usize = 4 << 20;
/// The maximum number of sockets that are passed: one listener for each front.
const MAX_SOCKETS: usize = 2;
/// The payload that the sockets accompany: a message on a stream socket needs at least one byte.
const SOCKET_CARRIER: &[u8] = b"+";

/// One end of the connection.
#[derive(Debug)]
pub(super) struct Link {
    stream: UnixStream,
    /// The bytes received after the last returned line.
    received: Vec<u8>,
}

impl Link {
    pub(super) fn new(stream: UnixStream) -> Self {
        Self { stream, received: Vec::new() }
    }

    /// Sends a line and appends its end.
    pub(super) async fn send_line(&mut self, line: &str) -> io::Result<()> {
        self.stream.write_all(format!("{line}\n").as_bytes()).await
    }

    /// Returns the next line without its end; `None` once the connection was closed or has failed, or the
    /// other process has sent a line that is too long. Cancel safe: received parts of a line are kept.
    pub(super) async fn next_line(&mut self) -> Option<Vec<u8>> {
        let mut searched_bytes = 0;
        loop {
            if let Some(end) = self.received[searched_bytes..].iter().position(|byte| *byte == b'\n') {
                let rest = self.received.split_off(searched_bytes + end + 1);
                let mut line = std::mem::replace(&mut self.received, rest);
                line.pop();
                return Some(line);
            }
            searched_bytes = self.received.len();
            if searched_bytes > MAX_LINE_BYTES || self.stream.read_buf(&mut self.received).await.ok()? == 0 {
                return None;
            }
        }
    }

    /// Sends duplicates of the sockets to the other process.
    pub(super) async fn send_sockets(&mut self, sockets: &[OwnedFd]) -> io::Result<()> {
        let descriptors: Vec<_> = sockets.iter().map(AsFd::as_fd).collect();
        let sent = self.stream.async_io(Interest::WRITABLE, || {
            let mut ancillary_space = [MaybeUninit::uninit(); rustix::cmsg_space!(ScmRights(MAX_SOCKETS))];
            let mut control = SendAncillaryBuffer::new(&mut ancillary_space);
            control.push(SendAncillaryMessage::ScmRights(&descriptors));
            let carrier = [IoSlice::new(SOCKET_CARRIER)];
            let sent_bytes = sendmsg(&self.stream, &carrier, &mut control, SendFlags::NOSIGNAL)?;
            Ok(sent_bytes)
        });
        sent.await.map(drop)
    }

    /// Receives the sockets that the other process sends; returns none if its first byte carries none.
    pub(super) async fn receive_sockets(&mut self) -> io::Result<Vec<OwnedFd>> {
        let received = self.stream.async_io(Interest::READABLE, || {
            let mut ancillary_space = [MaybeUninit::uninit(); rustix::cmsg_space!(ScmRights(MAX_SOCKETS))];
            let mut control = RecvAncillaryBuffer::new(&mut ancillary_space);
            let mut carrier = [0; SOCKET_CARRIER.len()];
            let buffers = &mut [IoSliceMut::new(&mut carrier)];
            recvmsg(&self.stream, buffers, &mut control, RecvFlags::CMSG_CLOEXEC)?;
            let sockets = |message| match message {
                RecvAncillaryMessage::ScmRights(sockets) => sockets.collect(),
                _ => Vec::new(),
            };
            Ok(control.drain().flat_map(sockets).collect())
        });
        received.await
    }
}
