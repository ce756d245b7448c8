//! Messages to the core's actor, and the state that it publishes.

use std::sync::Arc;

use tokio::sync::{mpsc, oneshot};
use tokio::time::Instant;
use tokio_util::sync::CancellationToken;

use super::observe::Observer;
use super::{
    Answer, Attempt, Call, Command, DiscoveryUpdate, Ended, Forwarded, Member, Metrics, NotDone, State,
};
use heathward_policy::settings::{ConfigError, Deployment};
use heathward_policy::RequestId;

/// What the module's actor is told.
pub enum Message {
    /// A front has taken a request.
    Call {
        /// The core's own id for it.
        id: RequestId,
        /// The request.
        call: Call,
        /// Where its one answer goes.
        reply: oneshot::Sender<Answer>,
        /// Cancelled once nobody waits for that any more.
        cancel: CancellationToken,
    },
    /// A front turned a request away that made no sense.
    Malformed,
    /// An attempt has ended.
    Ended(Ended),
    /// Discovery has an update of the list.
    Update(DiscoveryUpdate),
    /// A line came from discovery then, be it an empty one; what it told has been told here. Or its agent
    /// took a call then and had nothing more to tell.
    Heard(Instant),
    /// No watch stands at a service that all ask: none was opened yet, or the last one brought lines and has
    /// ended.
    Unwatched,
    /// A call at a service that all ask was refused, broken off before a line, or not answered in its time.
    CallFailed,
    /// Discovery's agent was asked, had time to answer, and has not by then.
    Silent(Instant),
    /// Discovery is at another address since then.
    Moved(Instant),
    /// The deployment's settings have changed; the reply says whether they stand.
    Settings(Arc<Deployment>, oneshot::Sender<Result<(), ConfigError>>),
    /// The program ends: every answer has to be there by then.
    EndBy(Instant),
    /// A configuration was read again: it is gone by, or not taken.
    Configured(bool),
    /// Records are kept by that from now on, or not at all; the reply says that it is so.
    Observe(Option<Box<dyn Observer>>, oneshot::Sender<()>),
}

/// What passes ahead of all messages.
pub(crate) enum Urgent {
    /// A command of staff here, or from the other process, which is not told of it again.
    Command(Command, bool, oneshot::Sender<Result<(), NotDone>>),
    /// The state for a process that takes over, and the commands that follow it.
    HandOver(oneshot::Sender<(State, mpsc::Receiver<Forwarded>)>),
    /// Go on from the state of the process before; the commands that it is to be told.
    TakeOver(State, oneshot::Sender<mpsc::Receiver<Forwarded>>),
    /// The counters, and how the core stands.
    Metrics(oneshot::Sender<Metrics>),
}

/// How the core stands, for whoever watches.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct Status {
    /// The module runs and has a list of nodes.
    pub ready: bool,
    /// Requests without an answer.
    pub open: usize,
    /// Nothing is sent, as discovery was heard last then.
    pub stale: Option<Instant>,
}

/// Opens the way to a node: the mailbox of an actor that reports each end to the core.
pub type Dial = Box<dyn Fn(&Member, mpsc::Sender<Message>) -> mpsc::Sender<Attempt> + Send>;
