//! Faults on connections. Each stand-in passes what it accepts through a link: what the other side writes is
//! held up, swallowed or cut there, and so is what the stand-in answers. No packet filter, no rights.

use std::sync::Arc;
use std::time::Duration;

use tokio::net::TcpStream;
use tokio::sync::watch;
use tokio::time::sleep;

/// How a link is, for one direction or both.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub enum LinkMode {
    /// As it should be.
    #[default]
    Open,
    /// So late.
    Late(Duration),
    /// Nothing passes for now; it does once the link is open again.
    Paused,
    /// Nothing passes, and once the link is open again such a connection resets, as with a machine that was
    /// cut off.
    Silent,
}

/// A link's state.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct State {
    /// From a scheduler to the stand-in.
    pub there: LinkMode,
    /// Back.
    pub back: LinkMode,
    /// New connections are refused.
    pub refused: bool,
    /// Counts up: connections from before are reset.
    pub resets: u32,
}

/// One side's hold of a link; all clones are one.
#[derive(Clone, Debug)]
pub struct Link(Arc<watch::Sender<State>>);

impl Default for Link {
    fn default() -> Self {
        Self(Arc::new(watch::channel(State::default()).0))
    }
}

/// What was on a link is no more.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Broken;

impl Link {
    /// Changes it.
    pub fn change(&self, change: impl FnOnce(&mut State)) {
        self.0.send_modify(change);
    }

    /// As it is now.
    pub fn state(&self) -> State {
        *self.0.borrow()
    }

    /// Waits until it is refused, or is no longer.
    pub async fn until_refused(&self, refused: bool) {
        let mut states = self.0.subscribe();
        // The sender is held here.
        let _ = states.wait_for(|state| state.refused == refused).await;
    }

    /// Waits until a connection made at that count of resets is reset.
    pub async fn until_reset(&self, since: u32) {
        let mut states = self.0.subscribe();
        let _ = states.wait_for(|state| state.resets != since).await;
    }

    /// What came passes there.
    ///
    /// # Errors
    /// [`Broken`] where the connection is lost with it.
    pub async fn pass_there(&self) -> Result<(), Broken> {
        self.pass(|state| state.there).await
    }

    /// What is answered passes back.
    ///
    /// # Errors
    /// [`Broken`] where the connection is lost with it.
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

/// Ends a connection so that the other side sees a reset.
pub fn reset(stream: TcpStream) {
    // A connection that is gone already needs none.
    let _ = stream.set_zero_linger();
    drop(stream);
}
