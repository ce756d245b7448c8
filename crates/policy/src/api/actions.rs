//! The actions that the policy requests from its caller.

use super::ids::{Micros, NodeId, RequestId};

/// An action that the caller has to perform.
#[derive(Clone, Debug, PartialEq)]
pub enum Action {
    /// Send the request to the node.
    Send {
        /// The request.
        request: RequestId,
        /// The target node.
        node: NodeId,
        /// Timeout after which the attempt is abandoned; `None` if it may take as long as the client waits.
        timeout: Option<Micros>,
    },
    /// Reject the request unserved; the client may safely retry it.
    Shed {
        /// The request.
        request: RequestId,
        /// Time for which the client should wait before it retries.
        retry_after: Option<Micros>,
    },
    /// Answer the request with an error; it may have been executed.
    Fail {
        /// The request.
        request: RequestId,
    },
    /// Pass [`crate::Event::TimerFired`] to the scheduler at this time. A timer set earlier may be ignored.
    SetTimer {
        /// Token that the event returns.
        token: u64,
        /// Time at which the timer fires.
        at: Micros,
    },
    /// Open a subscription to the endpoint list.
    Subscribe,
    /// Write a message to the operators' log.
    Log {
        /// Text of the message.
        text: String,
        /// The node that the message concerns, if there is one.
        node: Option<NodeId>,
    },
}
