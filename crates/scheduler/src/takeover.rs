//! Two processes of one scheduler: the meeting place, and what each does as the other comes and goes.

use std::io;
use std::net::SocketAddr;
use std::os::fd::OwnedFd;
use std::path::PathBuf;

use heathward_core::CoreHandle;
use heathward_transport::handover::{self, PeerPhase, ReceivedHandover};
use tokio::net::{UnixListener, UnixStream};
use tokio::sync::mpsc;

use crate::serve::Service;

/// What the other process is at is told so many times before anybody listens.
const PHASES: usize = 8;

/// Where the next process of this scheduler finds this one; without a place there is no handover, and all
/// else works.
pub struct Meeting {
    path: Option<PathBuf>,
    listener: Option<UnixListener>,
    tell: mpsc::Sender<PeerPhase>,
}

/// What is known of the other process.
pub type Phases = mpsc::Receiver<PeerPhase>;

impl Meeting {
    /// The place that belongs to the clients' address, and what the process before hands over there.
    pub async fn come(listen: SocketAddr) -> (Self, Phases, Option<ReceivedHandover>) {
        let path = handover::socket_path(listen);
        let taken = match &path {
            Some(path) => handover::receive(path).await,
            None => None,
        };
        let (tell, phases) = mpsc::channel(PHASES);
        (Self { path, listener: None, tell }, phases, taken)
    }

    /// Goes on from what the process before has handed over, which leaves.
    pub async fn go_on(&self, taken: ReceivedHandover, core: CoreHandle) {
        taken.complete(core, self.tell.clone()).await;
        tracing::info!("took over from the process before");
    }

    /// From now on the next process finds this one here.
    pub fn open(&mut self) {
        self.listener = self.path.as_ref().and_then(|path| handover::bind(path).ok());
    }

    /// The next process that comes; never, where there is no place.
    pub async fn next(&self) -> Option<UnixStream> {
        self.listener.as_ref()?.accept().await.ok().map(|(stream, _)| stream)
    }

    /// Hands all to that process.
    pub fn give(&self, stream: UnixStream, core: CoreHandle, listening: &[OwnedFd]) -> io::Result<()> {
        let sockets = listening.iter().map(OwnedFd::try_clone).collect::<io::Result<_>>()?;
        tokio::spawn(handover::send(stream, core, sockets, self.tell.clone()));
        Ok(())
    }
}

/// Does what the other process's coming and going asks for.
pub fn follow(phase: PeerPhase, service: &mut Service, meeting: &mut Meeting) -> io::Result<()> {
    tracing::info!("peer process: {phase}");
    service.share(phase != PeerPhase::Exited);
    match phase {
        PeerPhase::Starting => {}
        PeerPhase::Serving => service.leave_to_other(),
        PeerPhase::Exited => {
            service.take_back()?;
            // The other one had taken the meeting place over.
            meeting.open();
        }
    }
    Ok(())
}
