//! Two processes of one scheduler: the running one hands its listening sockets and its state to the one that
//! starts beside it, and while both run, what staff command to one is carried out by both.
//!
//! They meet at a Unix socket in `$TMPDIR` that the client address names. Whatever is wrong with the other
//! side, a start goes on without it.

mod codec;
mod link;
mod peer_process;

use std::fmt;
use std::net::SocketAddr;
use std::os::fd::OwnedFd;
use std::path::{Path, PathBuf};
use std::time::Duration;

use tokio::net::{UnixListener, UnixStream};
use tokio::sync::mpsc;
use tokio::time::{timeout_at, Instant};

use heathward_core::{CoreHandle, HandoverState};
use link::Link;

pub use codec::{decode, encode};

/// The first line of the process that starts, with the version of what follows.
const HELLO: &str = "HEATHWARD 1";
/// Its last before the other leaves.
const READY: &str = "READY";
/// A starting process waits so long for the state, and the running one for the greeting.
const PATIENCE: Duration = Duration::from_millis(1500);
/// The running one waits so long for the other to serve.
const STARTING: Duration = Duration::from_secs(10);

/// What the running process hears of the other one, or that one of it.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum PeerPhase {
    /// It is starting: what two processes share is shared from now on.
    Starting,
    /// It serves.
    Serving,
    /// It is gone.
    Exited,
}

impl fmt::Display for PeerPhase {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.write_str(match self {
            Self::Starting => "Starting",
            Self::Serving => "Serves",
            Self::Exited => "Gone",
        })
    }
}

/// Where the processes of the scheduler at that address meet; nowhere if the system chooses the port.
pub fn socket_path(listen: SocketAddr) -> Option<PathBuf> {
    (listen.port() != 0).then(|| std::env::temp_dir().join(format!("heathward-{listen}.sock")))
}

/// Opens the meeting place in place of whatever is there.
pub fn bind(path: &Path) -> std::io::Result<UnixListener> {
    let own = path.with_extension(std::process::id().to_string());
    // One that was left by a process of the same number.
    let _ = std::fs::remove_file(&own);
    let listener = UnixListener::bind(&own)?;
    std::fs::rename(&own, path)?;
    Ok(listener)
}

/// What a starting process is given.
pub struct ReceivedHandover {
    /// How the scheduler stands.
    pub state: HandoverState,
    /// Its listening sockets: for clients, then for NVMe hosts where that front is on.
    pub listening_sockets: Vec<OwnedFd>,
    link: Link,
}

/// Asks the running process for all it has; `None` if there is none, or none that answers in time and in
/// words that can be understood.
pub async fn receive(path: &Path) -> Option<ReceivedHandover> {
    let asked = async {
        let mut link = Link::new(UnixStream::connect(path).await.ok()?);
        link.say(HELLO).await.ok()?;
        let sockets = link.receive().await.ok().filter(|sockets| !sockets.is_empty())?;
        let state = decode(&link.line().await?).ok()?;
        Some(ReceivedHandover { state, listening_sockets: sockets, link })
    };
    timeout_at(Instant::now() + PATIENCE, asked).await.ok()?
}

impl ReceivedHandover {
    /// Takes the state in; the other process leaves. To be called once this one accepts. From then on
    /// commands pass between the two, in a task of its own, until the other is gone.
    pub async fn complete(mut self, core: CoreHandle, phases: mpsc::Sender<PeerPhase>) {
        let commands = core.take_over(self.state).await;
        let said = timeout_at(Instant::now() + PATIENCE, self.link.say(READY)).await;
        tokio::spawn(async move {
            if let (Some(commands), Ok(Ok(()))) = (commands, said) {
                peer_process::follow(&mut self.link, &core, commands).await;
            }
            // Without a program there is nobody to tell.
            let _ = phases.send(PeerPhase::Exited).await;
        });
    }
}

/// Hands all to a process that has connected, if it is one that understands, and follows it to its end.
pub async fn send(
    stream: UnixStream,
    core: CoreHandle,
    sockets: Vec<OwnedFd>,
    phases: mpsc::Sender<PeerPhase>,
) {
    let mut link = Link::new(stream);
    let greeting = timeout_at(Instant::now() + PATIENCE, link.line()).await;
    if greeting.is_ok_and(|line| line.as_deref() == Some(HELLO.as_bytes())) {
        // Without a program there is nobody to tell, here and below.
        let _ = phases.send(PeerPhase::Starting).await;
        // An end before it serves changes nothing here.
        let _ = hand(&mut link, &core, sockets, &phases).await;
    }
    let _ = phases.send(PeerPhase::Exited).await;
}

async fn hand(
    link: &mut Link,
    core: &CoreHandle,
    sockets: Vec<OwnedFd>,
    phases: &mpsc::Sender<PeerPhase>,
) -> Option<()> {
    let (state, commands) = core.hand_over().await?;
    let given = async {
        link.send(&sockets).await.ok()?;
        drop(sockets);
        link.say(&encode(state)).await.ok()
    };
    timeout_at(Instant::now() + PATIENCE, given).await.ok()??;
    let ready = timeout_at(Instant::now() + STARTING, link.line()).await.ok()??;
    if ready != READY.as_bytes() {
        return None;
    }
    // Without a program there is nobody to tell.
    let _ = phases.send(PeerPhase::Serving).await;
    peer_process::follow(link, core, commands).await;
    Some(())
}
