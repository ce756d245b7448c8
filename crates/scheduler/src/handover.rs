//! The Unix socket through which a starting process takes over the listening sockets and the state of the
//! running process of the same scheduler.

use std::future::Future;
use std::net::SocketAddr;
use std::os::fd::OwnedFd;
use std::path::PathBuf;

use heathward_core::CoreHandle;
use heathward_transport::handover::{self, PeerPhase, ReceivedHandover};
use tokio::net::{UnixListener, UnixStream};
use tokio::sync::mpsc;

/// The capacity of the channel for phases of the peer process.
const PHASE_CHANNEL_CAPACITY: usize = 8;

/// The Unix socket that the next process of this scheduler connects to. Its path depends on the listen
/// address; without a fixed port there is no path, and the scheduler works without handover.
pub struct HandoverSocket {
    socket_path: Option<PathBuf>,
    listener: Option<UnixListener>,
    peer_phases: mpsc::Sender<PeerPhase>,
}

/// The result of requesting a handover from the running process.
pub struct HandoverStart {
    /// The handover socket of this process, not bound yet.
    pub handover_socket: HandoverSocket,
    /// Receives each phase that a peer process reaches.
    pub peer_phases: mpsc::Receiver<PeerPhase>,
    /// The listening sockets and the state of the running process, if there is one.
    pub received: Option<ReceivedHandover>,
}

impl HandoverSocket {
    /// Requests a handover from the process that serves `listen_address`.
    pub async fn request_handover(listen_address: SocketAddr) -> HandoverStart {
        let socket_path = handover::socket_path(listen_address);
        let received = match &socket_path {
            Some(path) => handover::receive(path).await,
            None => None,
        };
        let (sender, peer_phases) = mpsc::channel(PHASE_CHANNEL_CAPACITY);
        let handover_socket = Self { socket_path, listener: None, peer_phases: sender };
        HandoverStart { handover_socket, peer_phases, received }
    }

    /// Passes the received state to the core. To be called once this process accepts connections, because the
    /// previous process then stops accepting.
    pub async fn complete(&self, received: ReceivedHandover, core: CoreHandle) {
        received.complete(core, self.peer_phases.clone()).await;
        tracing::info!("took over from the previous process");
    }

    /// Binds the socket, so that the next process can connect. If the system refuses, this process serves
    /// without handover.
    pub fn bind(&mut self) {
        self.listener = self.socket_path.as_ref().and_then(|path| handover::bind(path).ok());
    }

    /// Waits for the next process to connect. Returns `None` if the socket is not bound, at once, or
    /// if accepting the connection fails.
    pub async fn next_peer(&self) -> Option<UnixStream> {
        self.listener.as_ref()?.accept().await.ok().map(|(stream, _)| stream)
    }

    /// Hands over to the peer process on this connection, and forwards operators' commands to it until it
    /// exits. To be run as a task.
    pub fn send_handover(
        &self,
        peer: UnixStream,
        core: CoreHandle,
        listening_sockets: Vec<OwnedFd>,
    ) -> impl Future<Output = ()> + Send + 'static {
        handover::send(peer, core, listening_sockets, self.peer_phases.clone())
    }
}
