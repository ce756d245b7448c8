//! The connection between two processes: lines, and once the sockets that one hands to the other.

use std::io::{self, IoSlice, IoSliceMut};
use std::mem::MaybeUninit;
use std::os::fd::{AsFd, OwnedFd};

use rustix::net::{
    recvmsg, sendmsg, RecvAncillaryBuffer, RecvAncillaryMessage, RecvFlags, SendAncillaryBuffer,
    SendAncillaryMessage, SendFlags,
};
use tokio::io::{AsyncReadExt, AsyncWriteExt, Interest};
use tokio::net::UnixStream;

/// No line is longer: a list of some ten thousand nodes.
const LINE: usize = 4 << 20;
/// Sockets that pass at most: the two fronts' listeners.
const SOCKETS: usize = 2;
/// The byte that carries them.
const CARRIER: &[u8] = b"+";

/// One end of it.
pub(super) struct Link {
    stream: UnixStream,
    /// What has come and is not a whole line yet.
    rest: Vec<u8>,
}

impl Link {
    pub(super) fn new(stream: UnixStream) -> Self {
        Self { stream, rest: Vec::new() }
    }

    /// Sends a line.
    pub(super) async fn say(&mut self, line: &str) -> io::Result<()> {
        self.stream.write_all(format!("{line}\n").as_bytes()).await
    }

    /// The next line without its end; `None` once the other side is gone, or has sent what is no line. What
    /// has come of one stays if this is dropped.
    pub(super) async fn line(&mut self) -> Option<Vec<u8>> {
        let mut seen = 0;
        loop {
            if let Some(end) = self.rest[seen..].iter().position(|byte| *byte == b'\n') {
                let after = self.rest.split_off(seen + end + 1);
                let mut line = std::mem::replace(&mut self.rest, after);
                line.pop();
                return Some(line);
            }
            seen = self.rest.len();
            if seen > LINE || self.stream.read_buf(&mut self.rest).await.ok()? == 0 {
                return None;
            }
        }
    }

    /// Hands sockets over; the other side gets its own descriptors of them.
    pub(super) async fn send(&mut self, sockets: &[OwnedFd]) -> io::Result<()> {
        let fds: Vec<_> = sockets.iter().map(AsFd::as_fd).collect();
        let sent = self.stream.async_io(Interest::WRITABLE, || {
            let mut space = [MaybeUninit::uninit(); rustix::cmsg_space!(ScmRights(SOCKETS))];
            let mut control = SendAncillaryBuffer::new(&mut space);
            control.push(SendAncillaryMessage::ScmRights(&fds));
            let size = sendmsg(&self.stream, &[IoSlice::new(CARRIER)], &mut control, SendFlags::NOSIGNAL)?;
            Ok(size)
        });
        sent.await.map(drop)
    }

    /// Takes sockets that the other side hands over; none where the first byte carries none.
    pub(super) async fn receive(&mut self) -> io::Result<Vec<OwnedFd>> {
        let received = self.stream.async_io(Interest::READABLE, || {
            let mut space = [MaybeUninit::uninit(); rustix::cmsg_space!(ScmRights(SOCKETS))];
            let mut control = RecvAncillaryBuffer::new(&mut space);
            let mut carrier = [0; CARRIER.len()];
            let into = &mut [IoSliceMut::new(&mut carrier)];
            recvmsg(&self.stream, into, &mut control, RecvFlags::CMSG_CLOEXEC)?;
            let rights = |message| match message {
                RecvAncillaryMessage::ScmRights(sockets) => sockets.collect(),
                _ => Vec::new(),
            };
            Ok(control.drain().flat_map(rights).collect())
        });
        received.await
    }
}
