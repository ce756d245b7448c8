//! Drives the decision module for real requests. This crate knows requests, attempts and answers, but no wire
//! format.
//!
//! One actor task owns the [`Scheduler`](heathward_policy::Scheduler), the clock, the timers of the policy,
//! the open requests and the counters:
//!
//! * A front end submits a [`ClientRequest`] through [`CoreHandle`], a tower service, and gets exactly one
//!   [`Answer`].
//! * The task that serves a node's connections receives [`Attempt`]s and reports the end of each with
//!   [`report_attempt_end`].
//! * Discovery sends each [`EndpointUpdate`], and the time of each contact, through
//!   [`CoreHandle::discovery_sender`].
//!
//! Start reading at [`start_core`].

mod actor;
mod attempt;
mod body;
mod client_disconnects;
mod client_request_ids;
mod clock;
mod counters;
mod endpoint;
pub mod endpoint_lease;
mod handover_state;
pub mod memory;
mod message;
pub mod observe;
mod operator;
mod request;
mod resident_memory;
mod stall_detection;
mod upload;

pub use actor::{start_core, CoreHandle, CoreStopped};
pub use attempt::{Attempt, EndedAttempt, SendGate, WriteCompletion};
pub use body::{body_channel, BodyInterrupted, BodySender, BodyStream, NodeReply, StreamedReply};
pub use client_request_ids::ClientRequestId;
pub use clock::Clock;
pub use counters::{AnswerCounts, ConfigurationReloads, CoreMetrics, Counters, WrittenAttempts};
pub use endpoint::{Endpoint, EndpointUpdate};
pub use handover_state::{Handover, HandoverState, PeerChannels, SlowStartNode};
pub use message::{report_attempt_end, CoreMessage, CoreStatus, NodeConnector};
pub use operator::{CommandError, Draining, ForwardedCommand, OperatorCommand};
pub use request::{Answer, ClientRequest, NodeRequest};
pub use resident_memory::{resident_memory, ResidentMemory};
pub use upload::{AbandonCause, Upload};

/// The longest body of a request or of a reply, in bytes, that is buffered completely; a longer one is
/// streamed.
pub const MAX_BUFFERED_BODY_BYTES: usize = 64 * 1024;
