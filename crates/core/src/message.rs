//! Messages to the core's actor, and the status that it publishes.

use std::sync::Arc;

use tokio::sync::{mpsc, oneshot};
use tokio::time::Instant;
use tokio_util::sync::CancellationToken;

use super::attempt::{Attempt, EndedAttempt};
use super::body::NodeReply;
use super::client_request_ids::ClientRequestId;
use super::counters::CoreMetrics;
use super::endpoint::{Endpoint, EndpointUpdate};
use super::handover_state::{Handover, HandoverState, PeerChannels};
use super::observe::Observer;
use super::operator::{CommandError, OperatorCommand};
use super::request::{Answer, ClientRequest};
use heathward_policy::settings::{ConfigError, Deployment};
use heathward_policy::{AttemptEnd, RequestId};

/// A message to the core's actor.
pub enum CoreMessage {
    /// A front end has received a request.
    RequestReceived {
        /// The core's own id for the request.
        id: RequestId,
        /// The request.
        request: ClientRequest,
        /// The channel for the final answer.
        reply: oneshot::Sender<Answer>,
        /// Cancelled once the client no longer waits for the answer.
        cancel: CancellationToken,
    },
    /// The complete body of a request has arrived, or it is not received any more: from now on the request
    /// has a deadline.
    DeadlineKnown {
        /// The core's own id for the request.
        id: RequestId,
        /// When its client stops waiting.
        deadline: Instant,
    },
    /// A front end has rejected a malformed request.
    MalformedRequest,
    /// An attempt has ended.
    AttemptEnded(EndedAttempt),
    /// Discovery has an update of the endpoint list.
    EndpointUpdate(EndpointUpdate),
    /// Contact with discovery at that instant. Either a watch message arrived, possibly an empty one (a
    /// heartbeat), and its content was sent to the core before this message, or the discovery agent accepted
    /// a call and had nothing new.
    DiscoveryContact(Instant),
    /// At a polled discovery service no watch is open: none was opened yet, or the last one has delivered
    /// messages and has ended.
    WatchClosed,
    /// A call to a polled discovery service was rejected, broke before any message, or timed out.
    DiscoveryCallFailed,
    /// The discovery agent was called, had time to answer, and has not answered until that instant.
    DiscoveryUnanswered(Instant),
    /// Discovery has been at another address since that instant.
    DiscoveryMoved(Instant),
    /// The settings of the deployment have changed.
    UpdateSettings {
        /// The new settings.
        deployment: Arc<Deployment>,
        /// The channel for the result: whether the core accepts the settings.
        reply: oneshot::Sender<Result<(), ConfigError>>,
    },
    /// The program is shutting down: every answer must be given by that instant.
    ShutdownDeadline(Instant),
    /// The configuration was reloaded.
    ConfigurationReloaded {
        /// Whether it was applied; otherwise it was rejected.
        applied: bool,
    },
    /// Replace the observer.
    SetObserver {
        /// The new observer; `None` removes the current one.
        observer: Option<Box<dyn Observer>>,
        /// Notified once the observer has been replaced.
        reply: oneshot::Sender<()>,
    },
}

/// A message that the actor handles before all others.
pub(crate) enum ControlMessage {
    /// Carry out a command.
    RunCommand {
        command: OperatorCommand,
        /// Whether the command comes from the peer process, so that it is not forwarded there.
        from_peer_process: bool,
        reply: oneshot::Sender<Result<(), CommandError>>,
    },
    /// Hand the state over to a new process of this scheduler.
    HandOver(oneshot::Sender<Handover>),
    /// Continue from the state of the previous process. The reply is what to tell that process.
    TakeOver { state: HandoverState, reply: oneshot::Sender<PeerChannels> },
    /// The peer process has sent attempts of requests with these ids of clients.
    AttemptedByPeer(Vec<ClientRequestId>),
    /// Report counters and status.
    Metrics(oneshot::Sender<CoreMetrics>),
}

/// The status that the core publishes to its handles.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct CoreStatus {
    /// Whether the core runs and has an endpoint list that it may use.
    pub ready: bool,
    /// Number of requests that have no answer yet.
    pub open_requests: usize,
    /// While the lease on the endpoint list is expired, and nothing is sent to nodes: the last contact with
    /// discovery.
    pub expired_lease_last_contact: Option<Instant>,
}

/// A function that starts to serve a node's connections, and returns the channel for the node's attempts. It
/// is called for the first attempt at a node, and again for the next one once the channel is closed.
/// Its second argument is the channel to which the end of each attempt is reported, with
/// [`report_attempt_end`].
pub type NodeConnector =
    Box<dyn Fn(&Endpoint, mpsc::Sender<CoreMessage>) -> mpsc::Sender<Box<Attempt>> + Send>;

/// Reports the end of an attempt to the core. `reply` is only used with [`AttemptEnd::Served`].
pub async fn report_attempt_end(
    core: &mpsc::Sender<CoreMessage>,
    attempt: &Attempt,
    end: AttemptEnd,
    reply: NodeReply,
) {
    let Attempt { request, number, node, .. } = *attempt;
    // If the core has stopped, the report is not needed.
    let _ = core.send(CoreMessage::AttemptEnded(EndedAttempt { request, number, node, end, reply })).await;
}
