//! The module at work: requests, attempts and outcomes, no wire.
//!
//! One actor owns the [`Scheduler`](heathward_policy::Scheduler), the clock, one timer, the open requests and
//! the counters. A front hands it a [`ClientRequest`] through [`CoreHandle`], a tower service, and gets one
//! [`Answer`]; a node's actor takes [`Attempt`]s from it and gives back [`EndedAttempt`]s; discovery brings
//! [`EndpointUpdate`].

mod actor;
mod body;
mod client_disconnects;
mod clock;
mod counters;
pub mod endpoint_lease;
mod message;
pub mod observe;
mod request;
mod stall_detection;

pub use actor::{report_attempt_end, start_core, CoreHandle, CoreStopped};
pub use body::{body_channel, BodyInterrupted, BodySender, BodyStream, NodeReply, StreamedReply, Upload};
pub use clock::Clock;
pub use counters::{AnswerCounts, Counters, WrittenAttempts};
pub use message::{CoreMessage, CoreStatus, NodeConnector};
pub use request::{
    Answer, Attempt, ClientRequest, CommandError, CoreMetrics, Draining, EndedAttempt, Endpoint,
    EndpointUpdate, ForwardedCommand, HandoverState, NodeRequest, OperatorCommand, SendGate,
};

/// Bytes of a body that is held whole at most; what is longer passes in pieces.
pub const MAX_BUFFERED_BODY_BYTES: usize = 64 * 1024;
