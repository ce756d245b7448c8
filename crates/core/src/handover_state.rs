//! The state that one process of a scheduler hands over to the next.

use tokio::sync::mpsc;

use super::client_request_ids::ClientRequestId;
use super::endpoint::EndpointUpdate;
use super::operator::ForwardedCommand;
use heathward_policy::Micros;

/// The state and the commands that a process passes to the peer process that takes over from it.
#[derive(Debug)]
pub struct Handover {
    /// The state at the time of the handover.
    pub state: HandoverState,
    /// What the old process tells the peer process after the handover.
    pub channels: PeerChannels,
}

/// What a process tells its peer process while both run.
#[derive(Debug)]
pub struct PeerChannels {
    /// The commands that operators give to this process.
    pub commands: mpsc::Receiver<ForwardedCommand>,
    /// The clients' ids of requests of which an attempt has been sent. Ids that the receiver does not take in
    /// time are left out.
    pub attempted_ids: mpsc::Receiver<ClientRequestId>,
}

/// The state with which a process takes over from another process of the same scheduler.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct HandoverState {
    /// The complete endpoint list.
    pub endpoint_list: EndpointUpdate,
    /// Ids of the nodes that operators have suspended.
    pub suspended: Vec<Box<str>>,
    /// The nodes in slow start.
    pub slow_start: Vec<SlowStartNode>,
    /// Whether an operator has paused the scheduler.
    pub paused: bool,
    /// The clients' ids of requests that are open or may have been executed; `None` if the process is of a
    /// version that does not pass them on.
    pub client_ids: Option<Vec<ClientRequestId>>,
}

/// A node that is in slow start, or is presumed to be after an unannounced restart.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct SlowStartNode {
    /// Id of the node.
    pub id: Box<str>,
    /// When the slow start began, in microseconds of Unix time.
    pub since: Micros,
}
