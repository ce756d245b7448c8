//! Starts the tasks that serve the connections of nodes.

use tokio::sync::mpsc;

use crate::message::{CoreMessage, NodeConnector};
use crate::{Attempt, Endpoint};

/// Starts tasks that serve the connections of nodes. The tasks belong to `connect_node`; the actor neither
/// aborts nor joins them. Each ends once the channel for its attempts is closed and its attempts have ended;
/// it closes the channel itself when it is not needed any more.
pub(super) struct NodeConnections {
    connect_node: NodeConnector,
    /// The channel to which the ends of attempts are reported. It is weak, so that the actor does not keep
    /// itself alive.
    core: mpsc::WeakSender<CoreMessage>,
}

impl NodeConnections {
    pub(super) fn new(connect_node: NodeConnector, core: mpsc::WeakSender<CoreMessage>) -> Self {
        Self { connect_node, core }
    }

    /// Starts to serve the connections of a node, and returns the channel for its attempts; `None` if all
    /// senders to the core are dropped.
    pub(super) fn connect(&self, endpoint: &Endpoint) -> Option<mpsc::Sender<Box<Attempt>>> {
        let core = self.core.upgrade()?;
        Some((self.connect_node)(endpoint, core))
    }
}
