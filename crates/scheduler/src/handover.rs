//! The Unix socket at which two processes of one scheduler meet: a starting process takes the listening
//! sockets and the state from the running one.

use std::future::Future;
use std::net::SocketAddr;
use std::os::fd::OwnedFd;
use std::path::PathBuf;

use heathward_core::CoreHandle;
use heathward_transport::handover::{self, PeerPhase, ReceivedHandover};
use tokio::net::{UnixListener, UnixStream};
use tokio::sync::mpsc;

/// Phases of the peer process that may wait to be handled.
const PHASE_CHANNEL_CAPACITY: usize = 8;

/// Where the next process of this scheduler connects. Without a fixed port there is no such place: then
/// there is no handover, and everything else works.
pub struct HandoverSocket {
    socket_path: Option<PathBuf>,
    listener: Option<UnixListener>,
    peer_phases: mpsc::Sender<PeerPhase>,
}

/// What a process has after it has asked the running one for a handover.
pub struct HandoverStart {
    /// The socket, not bound yet.
    pub handover_socket: HandoverSocket,
    /// The phases that a peer process reaches, from now on.
    pub peer_phases: mpsc::Receiver<PeerPhase>,
    /// What the running process hands over, if there is one.
    pub received: Option<ReceivedHandover>,
}

impl HandoverSocket {
    /// Asks the process that serves the clients' address for a handover.
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

    /// Gives the received state to the core. To be called once this process accepts connections: the
    /// previous one stops accepting then.
    pub async fn complete(&self, received: ReceivedHandover, core: CoreHandle) {
        received.complete(core, self.peer_phases.clone()).await;
        tracing::info!("took over from the previous process");
    }

    /// Binds the socket, so that the next process can connect. If the system refuses, this process serves
    /// on without handover.
    pub fn bind(&mut self) {
        self.listener = self.socket_path.as_ref().and_then(|path| handover::bind(path).ok());
    }

    /// The next process that connects; `None` at once if the socket is not bound, and if the connection
    /// fails.
    pub async fn next_peer(&self) -> Option<UnixStream> {
        self.listener.as_ref()?.accept().await.ok().map(|(stream, _)| stream)
    }

    /// Hands over to the process on that connection, and passes operators' commands on to it until it
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
