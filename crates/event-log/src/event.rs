//! The events of the log.
//!
//! The order of fields and variants is their binary form (see [`Record::encode`]) and must not change. Names
//! in exports are those of the `rename` attributes, so that a rename in the code changes no export.

use serde::{Deserialize, Serialize};

/// A time or a duration in microseconds.
pub type Micros = u64;

/// When something happened, on the two clocks of the scheduler that recorded it.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, PartialOrd, Ord, Serialize, Deserialize)]
pub struct Timestamp {
    /// Unix time; may be set forward or back while the scheduler runs.
    #[serde(rename = "wall")]
    pub wall_clock: Micros,
    /// Time since the scheduler started; never set, and not comparable between schedulers.
    #[serde(rename = "mono")]
    pub monotonic: Micros,
}

/// An event with its sequence number and its time.
#[derive(Clone, Debug, PartialEq, Serialize)]
pub struct Record {
    /// Counts all events since the scheduler started, also lost ones: a missing number is a lost event.
    #[serde(rename = "seq")]
    pub sequence: u64,
    /// When it happened.
    #[serde(rename = "at")]
    pub time: Timestamp,
    /// What happened.
    pub event: Event,
}

/// What happened. Serialized with serde it has the form of exports; its form in a frame is that of
/// [`Record::encode`].
#[derive(Clone, Debug, PartialEq, Serialize)]
pub enum Event {
    /// The first event of each segment: which scheduler writes it, with which settings.
    #[serde(rename = "Opened")]
    SegmentOpened(SegmentOpened),
    /// A step in the life of the scheduler.
    Lifecycle(Lifecycle),
    /// An update of the endpoint list.
    #[serde(rename = "Listed")]
    EndpointUpdate(EndpointUpdate),
    /// The scheduler treats a node differently from now on.
    #[serde(rename = "Node")]
    NodeStateChanged(NodeStateChange),
    /// Requests of one class within a second.
    #[serde(rename = "Class")]
    ClassSecond(ClassSecond),
    /// Attempts at one node within a second.
    NodeSecond(NodeSecond),
    /// A request has ended; with its attempts.
    #[serde(rename = "Request")]
    RequestEnded(RequestRecord),
    /// Events were lost; the record's sequence number is that of the last of them.
    Gap(Gap),
    /// An event of a kind, given by its number, that this version does not know.
    Unknown(u16),
}

/// What reports need to know of a request class.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename = "Class")]
pub struct ClassInfo {
    /// The name of the class.
    pub name: String,
    /// Answers within this time meet the objective.
    #[serde(rename = "aim")]
    pub latency_objective: Micros,
    /// How long its clients wait for an answer.
    pub deadline: Micros,
    /// For writes with an idempotency key: how long after the first attempt that may have been executed a
    /// retry may be sent; 0 for other classes.
    #[serde(rename = "window")]
    pub deduplication_window: Micros,
}

/// Which scheduler writes a segment, and with which settings.
#[derive(Clone, Debug, Default, PartialEq, Serialize, Deserialize)]
#[serde(rename = "Opened")]
pub struct SegmentOpened {
    /// The scheduler's name.
    pub scheduler: String,
    /// A random number drawn when the process started; tells its records from those of other runs.
    pub boot: u64,
    /// The number of the segment since the process started, from 0.
    pub segment: u32,
    /// The version of the program.
    pub version: String,
    /// The process id.
    pub pid: u32,
    /// The request classes; other events refer to them by index.
    pub classes: Vec<ClassInfo>,
    /// The names of the plans; other events refer to them by index.
    pub plans: Vec<String>,
    /// Units of work that a node that has just started can take within the overload window, from all
    /// schedulers together.
    #[serde(rename = "cold_units")]
    pub slow_start_units: f64,
    /// Fraction of its capacity, 0 to 1, at which a node starts.
    #[serde(rename = "cold_share")]
    pub slow_start_fraction: f64,
    /// After this time a node has its whole capacity.
    #[serde(rename = "cold_time")]
    pub slow_start_duration: Micros,
    /// The time over which the load of a node in slow start is added up.
    #[serde(rename = "fall_time")]
    pub overload_window: Micros,
    /// Whether each request is recorded, not only the counts of each second.
    #[serde(rename = "requests")]
    pub records_requests: bool,
}

/// A step in the life of a scheduler.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum Lifecycle {
    /// Recording has begun.
    Started,
    /// A graceful shutdown has begun.
    #[serde(rename = "Ending")]
    ShuttingDown,
    /// Recording has ended, as planned.
    #[serde(rename = "Ended")]
    Stopped,
    /// The configuration was reloaded; whether it was accepted.
    Reloaded(bool),
    /// The state was given to a process that takes over.
    HandedOver,
    /// The state of a previous process was received.
    TookOver,
    /// An operator has paused the scheduler: clients are sent away.
    Paused,
    /// An operator has resumed it.
    Resumed,
    /// The lease on the endpoint list has expired; nothing is sent. How long discovery has been silent.
    #[serde(rename = "Stopped")]
    LeaseExpired(Micros),
    /// Discovery has answered, and the lease is valid again.
    #[serde(rename = "WentOn")]
    LeaseRenewed,
}

/// What an update of the endpoint list contains.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum EndpointUpdateKind {
    /// The nodes that changed.
    Changes,
    /// All nodes.
    #[serde(rename = "Whole")]
    Snapshot,
    /// All nodes, as they were saved at an earlier time; possibly out of date.
    #[serde(rename = "Saved")]
    Cached,
    /// Nothing: the watch has failed.
    Failed,
}

/// An update of the endpoint list.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename = "Listed")]
pub struct EndpointUpdate {
    /// The version of the list.
    pub revision: u64,
    /// What the update contains.
    pub kind: EndpointUpdateKind,
    /// The nodes that it names.
    pub nodes: Vec<ListedEndpoint>,
}

/// A node as the endpoint list describes it.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename = "ListedNode")]
pub struct ListedEndpoint {
    /// The id of the node.
    pub node: String,
    /// The shard that the node holds.
    pub shard: u32,
    /// In service, draining or removed.
    pub state: NodeState,
    /// When the node last started, Unix time, if the list says so.
    #[serde(rename = "started")]
    pub started_at: Option<Micros>,
}

/// How a scheduler treats a node. Where several states apply, the last of them in this order is recorded.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Serialize, Deserialize)]
pub enum NodeState {
    /// In service, with its whole capacity.
    InService,
    /// In service, in slow start since that Unix time.
    #[serde(rename = "Cold")]
    SlowStart(Micros),
    /// Not responding: gets a single attempt from time to time.
    #[serde(rename = "Silent")]
    Unresponsive,
    /// Taken out of service by an operator.
    Suspended,
    /// Draining, as the endpoint list says.
    Draining,
    /// No longer in the endpoint list.
    #[serde(rename = "Gone")]
    Removed,
}

/// Why the state of a node changed.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum StateChangeCause {
    /// The endpoint list, in this version.
    #[serde(rename = "List")]
    EndpointUpdate(u64),
    /// A command of an operator.
    #[serde(rename = "Order")]
    OperatorCommand,
    /// The state that a previous process handed over.
    Handover,
    /// An attempt at the node ended in this way.
    #[serde(rename = "Attempt")]
    AttemptEnded(AttemptEnd),
    /// Time passed, for instance the end of slow start.
    #[serde(rename = "Time")]
    TimePassed,
}

/// The scheduler treats a node in this way from now on.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename = "NodeChange")]
pub struct NodeStateChange {
    /// The id of the node.
    pub node: String,
    /// The new state.
    pub state: NodeState,
    /// What caused the change.
    #[serde(rename = "why")]
    pub cause: StateChangeCause,
}

/// How an attempt ended.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Serialize, Deserialize)]
pub enum AttemptEnd {
    /// The node served the request.
    Served,
    /// The node answered with an error; the request may have been executed.
    Error,
    /// The node rejected the attempt without executing it.
    #[serde(rename = "Full")]
    Rejected,
    /// There was no answer in time.
    TimedOut,
    /// No connection to the node could be made.
    NotConnected,
    /// The connection failed during the attempt.
    Reset,
    /// The scheduler cancelled the attempt.
    Cancelled,
    /// The attempt was never sent completely.
    NotSent,
}

/// Why a request was shed, as far as its attempts show.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Serialize, Deserialize)]
pub enum ShedReason {
    /// On arrival, without an attempt.
    NotAdmitted,
    /// After it was queued, without an attempt.
    #[serde(rename = "GivenUp")]
    ShedFromQueue,
    /// A node rejected its last attempt.
    #[serde(rename = "TurnedAway")]
    RejectedByNode,
    /// There was no connection for its last attempt.
    NotConnected,
    /// Its last attempt ended in another way.
    #[serde(rename = "Lost")]
    AttemptLost,
}

/// Why a request failed.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Serialize, Deserialize)]
pub enum FailureReason {
    /// Its deadline had passed, and it was not executed.
    #[serde(rename = "Late")]
    DeadlinePassed,
    /// Its deadline had passed, and it may have been executed.
    #[serde(rename = "LateMayHaveRun")]
    DeadlinePassedPossiblyExecuted,
    /// It may have been executed, so that it could not be retried.
    #[serde(rename = "MayHaveRun")]
    PossiblyExecuted,
    /// Any other reason.
    Other,
}

/// How a request ended.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum RequestOutcome {
    /// It was served.
    Served,
    /// It was shed.
    #[serde(rename = "Refused")]
    Shed(ShedReason),
    /// It failed.
    Failed(FailureReason),
    /// Its client disconnected first.
    #[serde(rename = "Gone")]
    ClientDisconnected,
}

/// The requests of one class that arrived or ended within a second.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct ClassSecond {
    /// When the second began, on the monotonic clock.
    #[serde(rename = "from")]
    pub start: Micros,
    /// The duration, about a second.
    #[serde(rename = "span")]
    pub duration: Micros,
    /// The index of the class in [`SegmentOpened::classes`].
    pub class: u16,
    /// Requests received.
    #[serde(rename = "taken")]
    pub received: u32,
    /// Requests served within the latency objective.
    #[serde(rename = "in_aim")]
    pub within_objective: u32,
    /// Requests served after it.
    pub late: u32,
    /// Requests shed, in the order of [`SHED_REASON_NAMES`](crate::SHED_REASON_NAMES).
    #[serde(rename = "refused")]
    pub shed: [u32; 5],
    /// Requests failed, in the order of [`FAILURE_REASON_NAMES`](crate::FAILURE_REASON_NAMES).
    pub failed: [u32; 4],
    /// Requests whose client disconnected.
    #[serde(rename = "gone")]
    pub client_disconnects: u32,
    /// Latencies of served requests in microseconds: an HDR histogram in its V2 form; empty if there are
    /// none.
    #[serde(rename = "times")]
    pub latency_histogram: Vec<u8>,
}

/// The attempts at one node that were sent or ended within a second.
#[derive(Clone, Debug, Default, PartialEq, Serialize, Deserialize)]
pub struct NodeSecond {
    /// When the second began, on the monotonic clock.
    #[serde(rename = "from")]
    pub start: Micros,
    /// The duration, about a second.
    #[serde(rename = "span")]
    pub duration: Micros,
    /// The id of the node.
    pub node: String,
    /// Attempts handed to the node's connections.
    pub sent: u32,
    /// Units of work of those that were sent while the node was in slow start.
    #[serde(rename = "cold_units")]
    pub slow_start_units: u32,
    /// Attempts ended, in the order of [`ATTEMPT_END_NAMES`](crate::ATTEMPT_END_NAMES).
    #[serde(rename = "ends")]
    pub attempt_ends: [u32; 8],
    /// The highest number of attempts in flight at the same time.
    #[serde(rename = "most_out")]
    pub max_in_flight: u32,
}

/// One attempt of a request.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename = "Attempted")]
pub struct AttemptRecord {
    /// The id of the node.
    pub node: String,
    /// When the attempt was sent, on the monotonic clock.
    #[serde(rename = "sent")]
    pub sent_at: Micros,
    /// When and how it ended, also if the request ended first; `None` if the scheduler stopped before.
    #[serde(rename = "ended")]
    pub end: Option<(Micros, AttemptEnd)>,
}

/// A request from its arrival to its end.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename = "RequestDone")]
pub struct RequestRecord {
    /// The number of the request since the process started.
    pub request: u64,
    /// The index of the class in [`SegmentOpened::classes`].
    pub class: u16,
    /// The index of the plan in [`SegmentOpened::plans`].
    pub plan: u16,
    /// The volume that it reads or writes.
    pub volume: u64,
    /// Its size in units of work.
    pub units: u32,
    /// When it arrived, on the monotonic clock.
    #[serde(rename = "arrived")]
    pub arrived_at: Micros,
    /// When it was answered or its client disconnected.
    #[serde(rename = "answered")]
    pub ended_at: Micros,
    /// How it ended.
    pub outcome: RequestOutcome,
    /// Its attempts, in the order in which they were sent.
    pub attempts: Vec<AttemptRecord>,
}

/// Why events were lost.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum GapCause {
    /// The queue before the writer was full.
    #[serde(rename = "Queue")]
    QueueFull,
    /// The disk was full, read-only or failing.
    #[serde(rename = "Disk")]
    DiskFailed,
}

/// Events that were lost.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Gap {
    /// Their number.
    pub events: u64,
    /// The time of the first.
    #[serde(rename = "from")]
    pub first: Timestamp,
    /// The time of the last.
    #[serde(rename = "to")]
    pub last: Timestamp,
    /// Why they were lost.
    pub cause: GapCause,
}

impl Record {
    /// The number of events that the record stands for: those of a gap, otherwise 1.
    pub fn event_count(&self) -> u64 {
        match &self.event {
            Event::Gap(gap) => gap.events,
            _ => 1,
        }
    }
}
