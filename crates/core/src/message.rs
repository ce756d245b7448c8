//! Messages to the core's actor, and the state that it publishes.

use std::sync::Arc;

use tokio::sync::{mpsc, oneshot};
use tokio::time::Instant;
use tokio_util::sync::CancellationToken;

use super::observe::Observer;
use super::{
    Answer, Attempt, ClientRequest, CommandError, CoreMetrics, EndedAttempt, Endpoint, EndpointUpdate,
    ForwardedCommand, HandoverState, OperatorCommand,
};
use heathward_policy::settings::{ConfigError, Deployment};
use heathward_policy::RequestId;

/// What the module's actor is told.
pub enum CoreMessage {
    /// A front has taken a request.
    RequestReceived {
        /// The core's own id for it.
        id: RequestId,
        /// The request.
        request: ClientRequest,
        /// Where its one answer goes.
        reply: oneshot::Sender<Answer>,
        /// Cancelled once nobody waits for that any more.
        cancel: CancellationToken,
    },
    /// A front turned a request away that made no sense.
    MalformedRequest,
    /// An attempt has ended.
    AttemptEnded(EndedAttempt),
    /// Discovery has an update of the list.
    EndpointUpdate(EndpointUpdate),
    /// A line came from discovery then, be it an empty one; what it told has been told here. Or its agent
    /// took a call then and had nothing more to tell.
    DiscoveryContact(Instant),
    /// No watch stands at a service that all ask: none was opened yet, or the last one brought lines and has
    /// ended.
    WatchClosed,
    /// A call at a service that all ask was refused, broken off before a line, or not answered in its time.
    DiscoveryCallFailed,
    /// Discovery's agent was asked, had time to answer, and has not by then.
    DiscoveryUnanswered(Instant),
    /// Discovery is at another address since then.
    DiscoveryMoved(Instant),
    /// The deployment's settings have changed; the reply says whether they stand.
    UpdateSettings(Arc<Deployment>, oneshot::Sender<Result<(), ConfigError>>),
    /// The program ends: every answer has to be there by then.
    ShutdownDeadline(Instant),
    /// A configuration was read again: it is gone by, or not taken.
    ConfigurationReloaded(bool),
    /// Records are kept by that from now on, or not at all; the reply says that it is so.
    SetObserver(Option<Box<dyn Observer>>, oneshot::Sender<()>),
}

/// What passes ahead of all messages.
pub(crate) enum Urgent {
    /// A command of staff here, or from the other process, which is not told of it again.
    Command(OperatorCommand, bool, oneshot::Sender<Result<(), CommandError>>),
    /// The state for a process that takes over, and the commands that follow it.
    HandOver(oneshot::Sender<(HandoverState, mpsc::Receiver<ForwardedCommand>)>),
    /// Go on from the state of the process before; the commands that it is to be told.
    TakeOver(HandoverState, oneshot::Sender<mpsc::Receiver<ForwardedCommand>>),
    /// The counters, and how the core stands.
    Metrics(oneshot::Sender<CoreMetrics>),
}

/// How the core stands, for whoever watches.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct CoreStatus {
    /// The module runs and has a list of nodes.
    pub ready: bool,
    /// Requests without an answer.
    pub open_requests: usize,
    /// Nothing is sent, as discovery was heard last then.
    pub expired_lease_last_contact: Option<Instant>,
}

/// Opens the way to a node: the mailbox of an actor that reports each end to the core.
pub type NodeConnector = Box<dyn Fn(&Endpoint, mpsc::Sender<CoreMessage>) -> mpsc::Sender<Attempt> + Send>;
