//! Commands of operators, and why clients are asked to use another scheduler.

use std::fmt;

use tokio::sync::oneshot;

/// A command of an operator. Each holds until the opposite command.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum OperatorCommand {
    /// Send nothing new to the node with that id, whatever the endpoint list says.
    Suspend(Box<str>),
    /// The node with that id is back in service. It was restarted meanwhile, so it begins with slow start.
    Restore(Box<str>),
    /// Ask clients to use another scheduler.
    Pause,
    /// Accept clients again.
    Resume,
}

/// Why clients are asked to use another scheduler; either reason is enough.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct Draining {
    /// An operator has paused the scheduler.
    pub paused: bool,
    /// Another process of the same scheduler accepts new connections.
    pub replaced: bool,
}

impl Draining {
    /// Each connection is closed after its next answer.
    pub fn closes_connections(self) -> bool {
        self.paused || self.replaced
    }
}

/// A command that this process has carried out and that the peer process is to carry out too, during a
/// handover. The operator gets the reply once the peer process is done.
#[derive(Debug)]
pub struct ForwardedCommand {
    /// The command.
    pub command: OperatorCommand,
    /// Where the result goes.
    pub reply: oneshot::Sender<Result<(), CommandError>>,
}

/// Why a command was not carried out.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum CommandError {
    /// It names a node that no endpoint list has named.
    UnknownNode,
    /// The largest number of suspended nodes is reached.
    TooManySuspended,
    /// This process has carried it out, but the peer process has not confirmed it.
    PeerUnresponsive,
}

impl fmt::Display for CommandError {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.write_str(match self {
            Self::UnknownNode => "unknown storage node",
            Self::TooManySuspended => "too many storage nodes are out",
            Self::PeerUnresponsive => "done here, but the other process of this scheduler does not answer",
        })
    }
}

impl std::error::Error for CommandError {}
