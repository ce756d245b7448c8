//! What the policy asks its caller to do.

use super::ids::{Micros, NodeId, RequestId};

/// What the caller has to do.
#[derive(Clone, Debug, PartialEq)]
pub enum Action {
    /// Send the request to the node.
    Send {
        /// The request.
        request: RequestId,
        /// The node.
        node: NodeId,
        /// Abandon the attempt after this time; `None` for as long as the client waits.
        timeout: Option<Micros>,
    },
    /// Answer the request unserved; the client may safely retry.
    Shed {
        /// The request.
        request: RequestId,
        /// How long the client should wait before it retries.
        retry_after: Option<Micros>,
    },
    /// Answer the request with an error; it may have been executed.
    Fail {
        /// The request.
        request: RequestId,
    },
    /// Call back with [`crate::Event::TimerFired`] at this time. A timer set earlier may be ignored.
    SetTimer {
        /// Returned with the event.
        token: u64,
        /// When to call back.
        at: Micros,
    },
    /// Open a subscription to the endpoint list.
    Subscribe,
    /// A line for the operators' log.
    Log {
        /// What happened.
        text: String,
        /// The node concerned, if there is one.
        node: Option<NodeId>,
    },
}
