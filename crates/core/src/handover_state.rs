//! The state that one process of a scheduler hands over to the next.

use tokio::sync::mpsc;

use super::endpoint::EndpointUpdate;
use super::operator::ForwardedCommand;
use heathward_policy::Micros;

/// Passed by a process to the peer process that takes over from it.
#[derive(Debug)]
pub struct Handover {
    /// The state at the time of the handover.
    pub state: HandoverState,
    /// The commands that operators give to this process from now on.
    pub commands: mpsc::Receiver<ForwardedCommand>,
}

/// What a process needs to know when it takes over from another process of the same scheduler.
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
}

/// A node that is in slow start, or is presumed to be after an unannounced restart.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct SlowStartNode {
    /// Id of the node.
    pub id: Box<str>,
    /// When the slow start began, in microseconds of Unix time.
    pub since: Micros,
}
