//! What passes between the fronts, the core, the nodes' actors and discovery.

use std::fmt;
use std::net::SocketAddr;
use std::sync::atomic::{AtomicBool, Ordering};
use std::sync::Arc;

use bytes::Bytes;
use tokio::sync::oneshot;
use tokio::time::Instant;
use tokio_util::sync::CancellationToken;

use super::body::{NodeReply, Upload};
use super::counters::{Counters, WrittenAttempts};
use super::endpoint_lease::LeaseExpiry;
use heathward_policy::{
    AttemptEnd, ClassId, EndpointUpdateKind, KeyId, Micros, NodeId, NodeState, PlanId, RequestId, ShardId,
    VolumeId,
};

/// What a node needs to know of a request to do it, whatever wire it speaks.
#[derive(Clone, Debug)]
pub struct NodeRequest {
    /// The request's own id, as its client gave it.
    pub client_request_id: Box<str>,
    /// The class's name.
    pub class_name: Box<str>,
    /// It writes.
    pub is_write: bool,
    /// What is read or written, as a path with its query.
    pub target: Box<str>,
    /// The key by which nodes know a repeat again.
    pub idempotency_key: Option<Box<str>>,
    /// The volume.
    pub volume: VolumeId,
    /// The piece of data.
    pub key: KeyId,
    /// Its size.
    pub units: u32,
    /// Bytes that a read asks for, where its client says so.
    pub read_length: Option<usize>,
    /// What a write brings, or its beginning.
    pub body: Bytes,
    /// The rest of that, where it is too long to be held.
    pub upload: Option<Upload>,
}

/// A request that a front has taken.
#[derive(Clone, Debug)]
pub struct ClientRequest {
    /// Its class.
    pub class: ClassId,
    /// The plan of its volume.
    pub plan: PlanId,
    /// The shard that holds the data; `None` for a new object.
    pub shard: Option<ShardId>,
    /// Through how many hosts the volume works.
    pub schedulers: u32,
    /// The client marks this as another try.
    pub is_client_retry: bool,
    /// Its answer must be there by then.
    pub deadline: Instant,
    /// What a node needs.
    pub node_request: Arc<NodeRequest>,
}

/// The one final answer to a call.
#[derive(Debug)]
pub enum Answer {
    /// What the node gave.
    Served(NodeReply),
    /// It never ran, or may run again: the client may safely come again.
    Shed {
        /// Advice when.
        retry_after: Option<Micros>,
    },
    /// Not taken: its id is that of an open request, of which there would be two attempts at once.
    Duplicate,
    /// No promise about its effect.
    Failed {
        /// An attempt of it may have run.
        possibly_executed: bool,
        /// Its time had passed.
        deadline_passed: bool,
    },
}

/// One try of a call at a node.
#[derive(Clone, Debug)]
pub struct Attempt {
    /// The request.
    pub request: RequestId,
    /// Which of its attempts, from 0.
    pub number: u32,
    /// The node.
    pub node: NodeId,
    /// Given up then.
    pub deadline: Instant,
    /// One that has found no connection by then never ran, and ends: no later than at half of the request's
    /// time, so that its client hears early enough to come again.
    pub connect_deadline: Instant,
    /// What to do.
    pub node_request: Arc<NodeRequest>,
    /// Once this is shut, it is not to be begun any more.
    pub send_gate: SendGate,
    /// Once this is cancelled, its client has left or has its answer: nothing of it is to be written any
    /// more.
    pub cancel: CancellationToken,
    /// Counts it, once its last byte is written.
    pub written_attempts: WrittenAttempts,
}

impl Attempt {
    /// Its first byte may be written now: nobody has left, nothing has shut the way, and it has time left.
    /// Where the rest of a body is still coming, its time has not begun.
    pub fn may_start(&self) -> bool {
        let timely = self.node_request.upload.is_some() || Instant::now() < self.deadline;
        timely && !self.cancel.is_cancelled() && !self.send_gate.is_closed()
    }
}

/// Whether anything new may go to a node; all its clones are one. Whoever writes looks right before the first
/// byte. Guards against an attempt that was on its way, for want of a connection, when its node was taken out
/// or the lease on the list had expired.
#[derive(Clone, Debug)]
pub struct SendGate {
    shut: Arc<AtomicBool>,
    expiry: LeaseExpiry,
}

impl SendGate {
    /// An open one, until the lease on the list expires.
    pub fn new(expiry: LeaseExpiry) -> Self {
        Self { shut: Arc::default(), expiry }
    }

    /// Nothing may go there from now on, or all again.
    pub fn set_closed(&self, shut: bool) {
        self.shut.store(shut, Ordering::Relaxed);
    }

    /// Nothing may go there now.
    pub fn is_closed(&self) -> bool {
        self.shut.load(Ordering::Relaxed) || self.expiry.has_expired(Instant::now())
    }
}

impl Default for SendGate {
    fn default() -> Self {
        Self::new(LeaseExpiry::new(Instant::now()))
    }
}

/// What operations staff ask for; each holds until the opposite.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum OperatorCommand {
    /// Send nothing new to the node of that id, whatever its list says.
    Suspend(Box<str>),
    /// The node of that id is back, and cold.
    Restore(Box<str>),
    /// Send clients away.
    Pause,
    /// Take clients again.
    Resume,
}

/// Why clients are sent away; either holds.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct Draining {
    /// Staff empty the scheduler.
    pub paused: bool,
    /// Another process of the same scheduler takes what comes.
    pub replaced: bool,
}

impl Draining {
    /// Connections are ended by their answers.
    pub fn closes_connections(self) -> bool {
        self.paused || self.replaced
    }
}

/// What a process that takes over has to know.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct HandoverState {
    /// The whole list as it stands.
    pub endpoint_list: EndpointUpdate,
    /// Ids of the nodes that are out by hand.
    pub suspended: Vec<Box<str>>,
    /// Since when a node is cold or may be.
    pub slow_start: Vec<(Box<str>, Micros)>,
    /// Staff empty the scheduler.
    pub paused: bool,
}

/// A command that was carried out here and is to be carried out by the other process too; its answer is due
/// then.
#[derive(Debug)]
pub struct ForwardedCommand {
    /// The command.
    pub command: OperatorCommand,
    /// Whom to tell.
    pub reply: oneshot::Sender<Result<(), CommandError>>,
}

/// Why a command was not carried out.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum CommandError {
    /// It names a node that no list has told of.
    UnknownNode,
    /// More nodes are out by hand than are kept in mind.
    TooManySuspended,
    /// The other process of this scheduler has not said that it is done.
    PeerUnresponsive,
}

impl fmt::Display for CommandError {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.write_str(match self {
            Self::UnknownNode => "unknown storage node",
            Self::TooManySuspended => "too many storage nodes are out",
            Self::PeerUnresponsive => "done here, but the other process of this scheduler does not answer",
        })
    }
}

/// What the core has done and how it stands, in numbers.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct CoreMetrics {
    /// Counts since the start.
    pub counters: Counters,
    /// Requests taken and not ended.
    pub active_requests: usize,
    /// Nodes in the list.
    pub listed_nodes: usize,
    /// Those of them that get nothing new, or only a try now and then.
    pub avoided_nodes: usize,
}

/// The end of an attempt. Nothing of it is open at the node any more, but for an answer on its way.
#[derive(Debug)]
pub struct EndedAttempt {
    /// The request.
    pub request: RequestId,
    /// Which of its attempts.
    pub number: u32,
    /// The node.
    pub node: NodeId,
    /// How it ended.
    pub end: AttemptEnd,
    /// What came with [`AttemptEnd::Served`].
    pub reply: NodeReply,
}

/// A storage node as discovery lists it.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Endpoint {
    /// Its name, which every scheduler sees alike.
    pub id: Box<str>,
    /// Where this scheduler finds it.
    pub address: SocketAddr,
    /// Its zone.
    pub zone: Box<str>,
    /// The shard it holds.
    pub shard: ShardId,
    /// Its state.
    pub state: NodeState,
    /// When it last started, where that is not long ago.
    pub started_at: Option<Micros>,
}

/// An update of the list of storage nodes, as discovery brings it.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct EndpointUpdate {
    /// The list's version.
    pub revision: u64,
    /// Whole list or changes.
    pub kind: EndpointUpdateKind,
    /// The entries.
    pub endpoints: Vec<Endpoint>,
}
