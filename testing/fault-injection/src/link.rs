//! Network faults. Each fake passes its connections through a link, which can delay, hold or cut the data in
//! either direction. This needs no packet filter and no privileges.

use std::sync::Arc;
use std::time::Duration;

use tokio::net::TcpStream;
use tokio::sync::watch;
use tokio::time::sleep;

/// The mode of a link in one direction.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub enum LinkMode {
    /// Data passes.
    #[default]
    Open,
    /// Data passes after this delay.
    Late(Duration),
    /// Data is held until the link is open again.
    Paused,
    /// Data is held, and its connection is reset once the link is open again, as that of a machine that was
    /// disconnected.
    Silent,
}

/// The state of a link.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct State {
    /// From a scheduler to the fake.
    pub there: LinkMode,
    /// From the fake to the scheduler.
    pub back: LinkMode,
    /// Whether new connections are refused.
    pub refused: bool,
    /// Number of resets; each one resets all connections that were opened before it.
    pub resets: u32,
}

/// A link; clones share its state.
#[derive(Clone, Debug)]
pub struct Link(Arc<watch::Sender<State>>);

impl Default for Link {
    fn default() -> Self {
        Self(Arc::new(watch::channel(State::default()).0))
    }
}

/// The connection was reset.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Broken;

impl Link {
    /// Changes the state.
    pub fn change(&self, change: impl FnOnce(&mut State)) {
        self.0.send_modify(change);
    }

    /// Returns the current state.
    pub fn state(&self) -> State {
        *self.0.borrow()
    }

    /// Waits until new connections are refused, or are no longer refused.
    pub async fn until_refused(&self, refused: bool) {
        let mut states = self.0.subscribe();
        // Can't fail, as `self` holds the sender.
        let _ = states.wait_for(|state| state.refused == refused).await;
    }

    /// Waits until a connection that was opened at that number of resets is reset.
    pub async fn until_reset(&self, since: u32) {
        let mut states = self.0.subscribe();
        let _ = states.wait_for(|state| state.resets != since).await;
    }

    /// Waits until data of the scheduler passes.
    ///
    /// # Errors
    /// [`Broken`] if the connection is reset.
    pub async fn pass_there(&self) -> Result<(), Broken> {
        self.pass(|state| state.there).await
    }

    /// Waits until data of the fake passes.
    ///
    /// # Errors
    /// [`Broken`] if the connection is reset.
    pub async fn pass_back(&self) -> Result<(), Broken> {
        self.pass(|state| state.back).await
    }

    async fn pass(&self, way: impl Fn(&State) -> LinkMode) -> Result<(), Broken> {
        let mut states = self.0.subscribe();
        match way(&self.state()) {
            LinkMode::Open => {}
            LinkMode::Late(span) => sleep(span).await,
            LinkMode::Paused => {
                let _ = states.wait_for(|state| way(state) != LinkMode::Paused).await;
            }
            LinkMode::Silent => {
                let _ = states.wait_for(|state| way(state) != LinkMode::Silent).await;
                return Err(Broken);
            }
        }
        Ok(())
    }
}

/// Closes a connection with a reset.
pub fn reset(stream: TcpStream) {
    // The connection may be closed already.
    let _ = stream.set_zero_linger();
    drop(stream);
}
