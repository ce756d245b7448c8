//! Handover between two processes of one scheduler: the running process passes its listening sockets and its
//! state to the starting one. While both run, each carries out the operators' commands that the other one
//! receives.
//!
//! The running process listens on a Unix socket in `$TMPDIR` whose name contains the address for clients. The
//! starting process sends a greeting, the running one answers with the sockets and the state, and the
//! starting one reports when it serves. If the handover fails for any reason, the start continues without it.

mod codec;
mod link;
mod peer_exchange;

use std::fmt;
use std::io;
use std::net::SocketAddr;
use std::os::fd::OwnedFd;
use std::path::{Path, PathBuf};
use std::time::Duration;

use thiserror::Error;
use tokio::net::{UnixListener, UnixStream};
use tokio::sync::mpsc;
use tokio::time::{error::Elapsed, timeout};

use heathward_core::{CoreHandle, Handover, HandoverState};
use link::Link;
use peer_exchange::PeerExchange;

pub use codec::{decode, encode, InvalidHandoverState};

/// The first line of the starting process, with the version of the protocol.
const GREETING: &str = "HEATHWARD 1";
/// The line with which the starting process reports that it serves.
const SERVING_LINE: &str = "READY";
/// The same, if both processes tell each other the ids of requests.
const SERVING_AND_SHARING_LINE: &str = "READY REQUESTS";
/// The timeout of each step of a handover except the start itself.
const STEP_TIMEOUT: Duration = Duration::from_millis(1500);
/// The timeout from sending the state until the starting process serves.
const START_TIMEOUT: Duration = Duration::from_secs(10);

/// The phase of the peer process.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum PeerPhase {
    /// It is starting. From now on both processes count against one limit of file descriptors, so each of
    /// them has to hold fewer connections.
    Starting,
    /// It serves clients.
    Serving,
    /// It has exited, or the connection to it was given up.
    Exited,
}

impl fmt::Display for PeerPhase {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.write_str(match self {
            Self::Starting => "starting",
            Self::Serving => "serving",
            Self::Exited => "exited",
        })
    }
}

/// Why a handover was not completed. It is not logged: most starts have no running process to take over from,
/// and a running process learns from [`PeerPhase::Exited`] that the handover has ended.
#[derive(Debug, Error)]
enum HandoverError {
    #[error("the peer process did not answer in time")]
    TimedOut(#[from] Elapsed),
    #[error("connection to the peer process: {0}")]
    Io(#[from] io::Error),
    #[error("the peer process closed the connection")]
    Closed,
    #[error("the peer process speaks another protocol")]
    UnknownLine,
    #[error("the peer process passed no sockets")]
    NoSockets,
    #[error("state of the peer process: {0}")]
    InvalidState(#[from] InvalidHandoverState),
    #[error("the core has stopped")]
    CoreStopped,
}

/// Returns the path of the Unix socket for handovers of the scheduler that listens for clients at that
/// address; `None` if the system chooses the port.
pub fn socket_path(listen_address: SocketAddr) -> Option<PathBuf> {
    (listen_address.port() != 0)
        .then(|| std::env::temp_dir().join(format!("heathward-{listen_address}.sock")))
}

/// Listens at `path`, in place of any process that listened there before.
///
/// # Errors
/// The error of the system if the socket cannot be bound or moved to the path.
pub fn bind(path: &Path) -> io::Result<UnixListener> {
    let temporary_path = path.with_extension(std::process::id().to_string());
    // An earlier process with the same id may have left a socket at this path.
    let _ = std::fs::remove_file(&temporary_path);
    let listener = UnixListener::bind(&temporary_path)?;
    std::fs::rename(&temporary_path, path)?;
    Ok(listener)
}

/// The state and the sockets that the starting process has received.
#[derive(Debug)]
pub struct ReceivedHandover {
    /// The state of the running process.
    pub state: HandoverState,
    /// Its listening sockets: the one for clients, then the one for NVMe hosts if that front is on.
    pub listening_sockets: Vec<OwnedFd>,
    link: Link,
}

/// Requests the sockets and the state of the running process. Returns `None` if there is no such process, or
/// if it does not send a valid answer in time.
pub async fn receive(path: &Path) -> Option<ReceivedHandover> {
    // The start continues without a handover, whatever the error.
    timeout(STEP_TIMEOUT, request_state(path)).await.ok()?.ok()
}

async fn request_state(path: &Path) -> Result<ReceivedHandover, HandoverError> {
    let mut link = Link::new(UnixStream::connect(path).await?);
    link.send_line(GREETING).await?;
    let listening_sockets = link.receive_sockets().await?;
    if listening_sockets.is_empty() {
        return Err(HandoverError::NoSockets);
    }
    let line = link.next_line().await.ok_or(HandoverError::Closed)?;
    Ok(ReceivedHandover { state: decode(&line)?, listening_sockets, link })
}

impl ReceivedHandover {
    /// Restores the state and notifies the running process that this one serves; must not be called before
    /// this process accepts connections, because the running process stops accepting then. Spawns a task that
    /// exchanges commands with the peer process. The task ends when the peer process exits or stops reading,
    /// or when the core stops, and then sends [`PeerPhase::Exited`] to `phases`.
    pub async fn complete(mut self, core: CoreHandle, phases: mpsc::Sender<PeerPhase>) {
        let shares_ids = self.state.client_ids.is_some();
        let channels = core.take_over(self.state).await;
        let line = if shares_ids { SERVING_AND_SHARING_LINE } else { SERVING_LINE };
        let sent = timeout(STEP_TIMEOUT, self.link.send_line(line)).await;
        tokio::spawn(async move {
            if let (Some(channels), Ok(Ok(()))) = (channels, sent) {
                PeerExchange::new(&mut self.link, &core, channels, shares_ids).run().await;
            }
            report_phase(&phases, PeerPhase::Exited).await;
        });
    }
}

/// Serves a starting process that has connected: sends it the sockets and the state if its greeting is valid,
/// and exchanges commands with it until it exits or stops reading. Sends each of its phases to `phases`, and
/// [`PeerPhase::Exited`] last.
pub async fn send(
    stream: UnixStream,
    core: CoreHandle,
    sockets: Vec<OwnedFd>,
    phases: mpsc::Sender<PeerPhase>,
) {
    let mut link = Link::new(stream);
    let greeting = timeout(STEP_TIMEOUT, link.next_line()).await;
    if greeting.is_ok_and(|line| line.as_deref() == Some(GREETING.as_bytes())) {
        report_phase(&phases, PeerPhase::Starting).await;
        // A peer process that ends before it serves leaves this process unchanged.
        let _ = hand_over(&mut link, &core, sockets, &phases).await;
    }
    report_phase(&phases, PeerPhase::Exited).await;
}

async fn hand_over(
    link: &mut Link,
    core: &CoreHandle,
    sockets: Vec<OwnedFd>,
    phases: &mpsc::Sender<PeerPhase>,
) -> Result<(), HandoverError> {
    let Handover { state, channels } = core.hand_over().await.ok_or(HandoverError::CoreStopped)?;
    timeout(STEP_TIMEOUT, send_state(link, sockets, state)).await??;
    let line = timeout(START_TIMEOUT, link.next_line()).await?.ok_or(HandoverError::Closed)?;
    let shares_ids = line == SERVING_AND_SHARING_LINE.as_bytes();
    if !shares_ids && line != SERVING_LINE.as_bytes() {
        return Err(HandoverError::UnknownLine);
    }
    report_phase(phases, PeerPhase::Serving).await;
    PeerExchange::new(link, core, channels, shares_ids).run().await;
    Ok(())
}

/// Sends the sockets and the state. Closes the sockets, which are duplicates, once they are sent, so that
/// they are not held while the peer process starts.
async fn send_state(link: &mut Link, sockets: Vec<OwnedFd>, state: HandoverState) -> io::Result<()> {
    link.send_sockets(&sockets).await?;
    drop(sockets);
    link.send_line(&encode(state)).await
}

async fn report_phase(phases: &mpsc::Sender<PeerPhase>, phase: PeerPhase) {
    // The receiver is dropped when the program ends.
    let _ = phases.send(phase).await;
}
