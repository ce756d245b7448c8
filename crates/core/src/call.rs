//! What passes between the fronts, the core, the nodes' actors and discovery.

use std::fmt;
use std::net::SocketAddr;
use std::sync::atomic::{AtomicBool, Ordering};
use std::sync::Arc;

use bytes::Bytes;
use tokio::sync::oneshot;
use tokio::time::Instant;
use tokio_util::sync::CancellationToken;

use super::body::{Reply, Upload};
use super::counters::{Counters, Tries};
use super::list_lease::Expiry;
use heathward_policy::{
    ClassId, End, KeyId, ListKind, Micros, NodeId, NodeState, PlanId, RequestId, ShardId, VolumeId,
};

/// What a node needs to know of a request to do it, whatever wire it speaks.
#[derive(Clone, Debug)]
pub struct Work {
    /// The request's own id, as its client gave it.
    pub call: Box<str>,
    /// The class's name.
    pub class: Box<str>,
    /// It writes.
    pub write: bool,
    /// What is read or written, as a path with its query.
    pub target: Box<str>,
    /// The key by which nodes know a repeat again.
    pub once: Option<Box<str>>,
    /// The volume.
    pub volume: VolumeId,
    /// The piece of data.
    pub key: KeyId,
    /// Its size.
    pub units: u32,
    /// Bytes that a read asks for, where its client says so.
    pub length: Option<usize>,
    /// What a write brings, or its beginning.
    pub body: Bytes,
    /// The rest of that, where it is too long to be held.
    pub rest: Option<Upload>,
}

/// A request that a front has taken.
#[derive(Clone, Debug)]
pub struct Call {
    /// Its class.
    pub class: ClassId,
    /// The plan of its volume.
    pub plan: PlanId,
    /// The shard that holds the data; `None` for a new object.
    pub shard: Option<ShardId>,
    /// Through how many hosts the volume works.
    pub hosts: u32,
    /// The client marks this as another try.
    pub repeat: bool,
    /// Its answer must be there by then.
    pub deadline: Instant,
    /// What a node needs.
    pub work: Arc<Work>,
}

/// The one final answer to a call.
#[derive(Debug)]
pub enum Answer {
    /// What the node gave.
    Served(Reply),
    /// It never ran, or may run again: the client may safely come again.
    Refused {
        /// Advice when.
        retry_after: Option<Micros>,
    },
    /// Not taken: its id is that of an open request, of which there would be two attempts at once.
    Duplicate,
    /// No promise about its effect.
    Failed {
        /// An attempt of it may have run.
        ran: bool,
        /// Its time had passed.
        late: bool,
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
    pub until: Instant,
    /// One that has found no connection by then never ran, and ends: no later than at half of the request's
    /// time, so that its client hears early enough to come again.
    pub reach: Instant,
    /// What to do.
    pub work: Arc<Work>,
    /// Once this is shut, it is not to be begun any more.
    pub gate: DrainGate,
    /// Once this is cancelled, its client has left or has its answer: nothing of it is to be written any
    /// more.
    pub cancel: CancellationToken,
    /// Counts it, once its last byte is written.
    pub tries: Tries,
}

impl Attempt {
    /// Its first byte may be written now: nobody has left, nothing has shut the way, and it has time left.
    /// Where the rest of a body is still coming, its time has not begun.
    pub fn may_begin(&self) -> bool {
        let timely = self.work.rest.is_some() || Instant::now() < self.until;
        timely && !self.cancel.is_cancelled() && !self.gate.is_shut()
    }
}

/// Whether anything new may go to a node; all its clones are one. Whoever writes looks right before the first
/// byte. Guards against an attempt that was on its way, for want of a connection, when its node was taken out
/// or the lease on the list had expired.
#[derive(Clone, Debug)]
pub struct DrainGate {
    shut: Arc<AtomicBool>,
    expiry: Expiry,
}

impl DrainGate {
    /// An open one, until the lease on the list expires.
    pub fn new(expiry: Expiry) -> Self {
        Self { shut: Arc::default(), expiry }
    }

    /// Nothing may go there from now on, or all again.
    pub fn set(&self, shut: bool) {
        self.shut.store(shut, Ordering::Relaxed);
    }

    /// Nothing may go there now.
    pub fn is_shut(&self) -> bool {
        self.shut.load(Ordering::Relaxed) || self.expiry.is_over(Instant::now())
    }
}

impl Default for DrainGate {
    fn default() -> Self {
        Self::new(Expiry::new(Instant::now()))
    }
}

/// What operations staff ask for; each holds until the opposite.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Command {
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
    pub fn closing(self) -> bool {
        self.paused || self.replaced
    }
}

/// What a process that takes over has to know.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct State {
    /// The whole list as it stands.
    pub list: DiscoveryUpdate,
    /// Ids of the nodes that are out by hand.
    pub suspended: Vec<Box<str>>,
    /// Since when a node is cold or may be.
    pub cold: Vec<(Box<str>, Micros)>,
    /// Staff empty the scheduler.
    pub paused: bool,
}

/// A command that was carried out here and is to be carried out by the other process too; its answer is due
/// then.
#[derive(Debug)]
pub struct Forwarded {
    /// The command.
    pub command: Command,
    /// Whom to tell.
    pub done: oneshot::Sender<Result<(), NotDone>>,
}

/// Why a command was not carried out.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum NotDone {
    /// It names a node that no list has told of.
    UnknownNode,
    /// More nodes are out by hand than are kept in mind.
    TooMany,
    /// The other process of this scheduler has not said that it is done.
    Unsure,
}

impl fmt::Display for NotDone {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.write_str(match self {
            Self::UnknownNode => "unknown storage node",
            Self::TooMany => "too many storage nodes are out",
            Self::Unsure => "done here, but the other process of this scheduler does not answer",
        })
    }
}

/// What the core has done and how it stands, in numbers.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct Metrics {
    /// Counts since the start.
    pub counters: Counters,
    /// Requests taken and not ended.
    pub active: usize,
    /// Nodes in the list.
    pub listed: usize,
    /// Those of them that get nothing new, or only a try now and then.
    pub avoided: usize,
}

/// The end of an attempt. Nothing of it is open at the node any more, but for an answer on its way.
#[derive(Debug)]
pub struct Ended {
    /// The request.
    pub request: RequestId,
    /// Which of its attempts.
    pub number: u32,
    /// The node.
    pub node: NodeId,
    /// How it ended.
    pub end: End,
    /// What came with [`End::Served`].
    pub body: Reply,
}

/// A storage node as discovery lists it.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Member {
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
    pub started: Option<Micros>,
}

/// An update of the list of storage nodes, as discovery brings it.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct DiscoveryUpdate {
    /// The list's version.
    pub revision: u64,
    /// Whole list or changes.
    pub kind: ListKind,
    /// The entries.
    pub members: Vec<Member>,
}
