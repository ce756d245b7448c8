//! Commands of operators, and the reasons for which clients are asked to use another scheduler.

use std::fmt;

use tokio::sync::oneshot;

/// A command of an operator. Each stays in effect until the opposite command.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum OperatorCommand {
    /// Send no new requests to the node with that id, whatever its state in the endpoint list.
    Suspend(Box<str>),
    /// The node with that id is back in service. It was restarted meanwhile, so it begins with slow start.
    Restore(Box<str>),
    /// Ask clients to use another scheduler.
    Pause,
    /// Accept clients again.
    Resume,
}

/// The reasons for which clients are asked to use another scheduler; either one is enough.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct Draining {
    /// Whether an operator has paused the scheduler.
    pub paused: bool,
    /// Whether another process of the same scheduler accepts new connections.
    pub replaced: bool,
}

impl Draining {
    /// Returns whether each client connection is closed after its next answer.
    pub fn closes_connections(self) -> bool {
        self.paused || self.replaced
    }
}

/// A command that this process has run and forwards to the peer process during a handover. The operator
/// gets the reply once the peer process has run it, too.
#[derive(Debug)]
pub struct ForwardedCommand {
    /// The command.
    pub command: OperatorCommand,
    /// The channel for the result.
    pub reply: oneshot::Sender<Result<(), CommandError>>,
}

/// The reason for which a command failed.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum CommandError {
    /// It names a node that is not known from the endpoint list.
    UnknownNode,
    /// The largest number of suspended nodes is reached.
    TooManySuspended,
    /// This process has run it, but the peer process has not confirmed it.
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
