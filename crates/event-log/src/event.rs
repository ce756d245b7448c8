//! The events, and their form in a frame.
//!
//! Rules of the form, by which older and newer programs read each other's records: a kind's number is never
//! used for anything else; fields are only appended, as an extension behind the body, and an older record's
//! missing extension reads as its default; a newer one's surplus is passed over; a kind that is not known is
//! counted as such. [`crate::frame::SCHEMA`] goes up only if that can't be kept.

use serde::{Deserialize, Serialize};

/// A time or a span in microseconds.
pub type Micros = u64;

/// When something happened, on the clocks of the scheduler that tells of it.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, PartialOrd, Ord, Serialize, Deserialize)]
pub struct Timestamp {
    /// Unix time; may step.
    #[serde(rename = "wall")]
    pub wall_clock: Micros,
    /// Time since the boot; never steps, and means nothing to others.
    #[serde(rename = "mono")]
    pub monotonic: Micros,
}

/// An event with its number within the boot and its time.
#[derive(Clone, Debug, PartialEq, Serialize)]
pub struct Record {
    /// Counts all events of the boot, also those that were lost: a jump is a loss.
    #[serde(rename = "seq")]
    pub sequence: u64,
    /// When.
    #[serde(rename = "at")]
    pub time: Timestamp,
    /// What.
    pub event: Event,
}

/// What happened. Its form in a frame is that of [`Record::encode`]; serialized, it is for exports.
#[derive(Clone, Debug, PartialEq, Serialize)]
pub enum Event {
    /// The first of each segment: who writes.
    #[serde(rename = "Opened")]
    SegmentOpened(SegmentOpened),
    /// The scheduler itself.
    #[serde(rename = "Lifecycle")]
    Lifecycle(Lifecycle),
    /// What the list said.
    #[serde(rename = "Listed")]
    EndpointUpdate(EndpointUpdate),
    /// A node is treated differently from now on.
    #[serde(rename = "Node")]
    NodeStateChanged(NodeStateChange),
    /// A class's second.
    #[serde(rename = "Class")]
    ClassSecond(ClassSecond),
    /// A node's second.
    #[serde(rename = "NodeSecond")]
    NodeSecond(NodeSecond),
    /// A request with its attempts.
    #[serde(rename = "Request")]
    RequestEnded(RequestRecord),
    /// Events were lost; the record's number is that of the last of them.
    #[serde(rename = "Gap")]
    Gap(Gap),
    /// Of a kind that this program does not know.
    #[serde(rename = "Unknown")]
    Unknown(u16),
}

/// A class of requests, as far as reports go.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename = "Class")]
pub struct ClassInfo {
    /// Its name.
    pub name: String,
    /// Answers within this time are in aim.
    #[serde(rename = "aim")]
    pub latency_objective: Micros,
    /// How long its clients wait.
    pub deadline: Micros,
    /// For keyed writes: how long after the first send that may have run a repeat may be sent; else 0.
    #[serde(rename = "window")]
    pub deduplication_window: Micros,
}

/// Who writes, and by which settings.
#[derive(Clone, Debug, Default, PartialEq, Serialize, Deserialize)]
#[serde(rename = "Opened")]
pub struct SegmentOpened {
    /// The scheduler's name.
    pub scheduler: String,
    /// This run of it: drawn at its start.
    #[serde(rename = "boot")]
    pub boot: u64,
    /// The segment's number in the boot, from 0.
    pub segment: u32,
    /// The program's version.
    pub version: String,
    /// The process.
    pub pid: u32,
    /// The classes, by place.
    pub classes: Vec<ClassInfo>,
    /// The plans, by place.
    pub plans: Vec<String>,
    /// Units that a node which has just started bears within `fall_time`, from all schedulers together.
    #[serde(rename = "cold_units")]
    pub slow_start_units: f64,
    /// Share of its capacity at which a node starts.
    #[serde(rename = "cold_share")]
    pub slow_start_fraction: f64,
    /// A node is warm after this.
    #[serde(rename = "cold_time")]
    pub slow_start_duration: Micros,
    /// Window of the rule on cold nodes.
    #[serde(rename = "fall_time")]
    pub overload_window: Micros,
    /// Whether each request is recorded.
    #[serde(rename = "requests")]
    pub records_requests: bool,
}

/// What the scheduler itself went through.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum Lifecycle {
    /// Records begin.
    #[serde(rename = "Started")]
    Started,
    /// The end was asked for; everything is answered by then.
    #[serde(rename = "Ending")]
    ShuttingDown,
    /// Records end, by plan.
    #[serde(rename = "Ended")]
    Stopped,
    /// A configuration was read again and is gone by, or not.
    #[serde(rename = "Reloaded")]
    Reloaded(bool),
    /// Its state was given to a process that takes over.
    #[serde(rename = "HandedOver")]
    HandedOver,
    /// It goes on from the state of the process before.
    #[serde(rename = "TookOver")]
    TookOver,
    /// Clients are sent away, by hand.
    #[serde(rename = "Paused")]
    Paused,
    /// And taken again.
    #[serde(rename = "Resumed")]
    Resumed,
    /// Nothing is sent by the list: discovery has been silent for so long.
    #[serde(rename = "Stopped")]
    LeaseExpired(Micros),
    /// Discovery is heard, and the list gone by.
    #[serde(rename = "WentOn")]
    LeaseRenewed,
}

/// What a list is.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum EndpointUpdateKind {
    /// Changes, as they come.
    #[serde(rename = "Changes")]
    Changes,
    /// The whole list.
    #[serde(rename = "Whole")]
    Snapshot,
    /// As it was saved; maybe old.
    #[serde(rename = "Saved")]
    Cached,
    /// The watch broke.
    #[serde(rename = "Failed")]
    Failed,
}

impl EndpointUpdateKind {
    /// Its name in exports and listings; it stays when the variant is renamed.
    pub fn name(self) -> &'static str {
        match self {
            Self::Changes => "Changes",
            Self::Snapshot => "Whole",
            Self::Cached => "Saved",
            Self::Failed => "Failed",
        }
    }
}

/// News of the list.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename = "Listed")]
pub struct EndpointUpdate {
    /// Its version.
    pub revision: u64,
    /// What it holds.
    pub kind: EndpointUpdateKind,
    /// The nodes named.
    pub nodes: Vec<ListedEndpoint>,
}

/// One node of a list.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename = "ListedNode")]
pub struct ListedEndpoint {
    /// Its id.
    #[serde(rename = "node")]
    pub node: String,
    /// The shard it holds.
    pub shard: u32,
    /// As listed: in service, draining or gone.
    #[serde(rename = "state")]
    pub state: NodeState,
    /// When it last started by the list, Unix time.
    #[serde(rename = "started")]
    pub started_at: Option<Micros>,
}

/// How a scheduler treats a node; of several that apply, the last here counts.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Serialize, Deserialize)]
pub enum NodeState {
    /// In service and warm.
    #[serde(rename = "InService")]
    InService,
    /// Cold or maybe cold since then, Unix time on the list's clock or the scheduler's.
    #[serde(rename = "Cold")]
    SlowStart(Micros),
    /// Down or silent: gets only a try now and then.
    #[serde(rename = "Silent")]
    Unresponsive,
    /// Taken out by hand.
    #[serde(rename = "Suspended")]
    Suspended,
    /// Drains by the list.
    #[serde(rename = "Draining")]
    Draining,
    /// No longer listed.
    #[serde(rename = "Gone")]
    Removed,
}

/// Why that changed.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum StateChangeCause {
    /// The list, in this version.
    #[serde(rename = "List")]
    EndpointUpdate(u64),
    /// An order of staff.
    #[serde(rename = "Order")]
    OperatorCommand,
    /// The state of the process before.
    #[serde(rename = "Handover")]
    Handover,
    /// An attempt ended so.
    #[serde(rename = "Attempt")]
    AttemptEnded(AttemptEnd),
    /// Time passed.
    #[serde(rename = "Time")]
    TimePassed,
}

/// A node is treated so from now on.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename = "NodeChange")]
pub struct NodeStateChange {
    /// Its id.
    #[serde(rename = "node")]
    pub node: String,
    /// How.
    #[serde(rename = "state")]
    pub state: NodeState,
    /// Why.
    #[serde(rename = "why")]
    pub cause: StateChangeCause,
}

/// How an attempt ended.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Serialize, Deserialize)]
pub enum AttemptEnd {
    /// Served.
    #[serde(rename = "Served")]
    Served,
    /// An error; it may have run.
    #[serde(rename = "Error")]
    Error,
    /// Turned away unseen.
    #[serde(rename = "Full")]
    Rejected,
    /// No answer in time.
    #[serde(rename = "TimedOut")]
    TimedOut,
    /// No connection.
    #[serde(rename = "NotConnected")]
    NotConnected,
    /// The connection broke.
    #[serde(rename = "Reset")]
    Reset,
    /// Called off.
    #[serde(rename = "Cancelled")]
    Cancelled,
    /// Never sent.
    #[serde(rename = "NotSent")]
    NotSent,
}

impl AttemptEnd {
    /// Its name in exports and reports; it stays when the variant is renamed.
    pub fn name(self) -> &'static str {
        match self {
            Self::Served => "Served",
            Self::Error => "Error",
            Self::Rejected => "Full",
            Self::TimedOut => "TimedOut",
            Self::NotConnected => "NotConnected",
            Self::Reset => "Reset",
            Self::Cancelled => "Cancelled",
            Self::NotSent => "NotSent",
        }
    }
}

/// All ends, in the order of the counts in [`NodeSecond::ends`].
pub const ATTEMPT_END_NAMES: [(AttemptEnd, &str); 8] = [
    (AttemptEnd::Served, "served"),
    (AttemptEnd::Error, "error"),
    (AttemptEnd::Rejected, "full"),
    (AttemptEnd::TimedOut, "timed out"),
    (AttemptEnd::NotConnected, "not connected"),
    (AttemptEnd::Reset, "reset"),
    (AttemptEnd::Cancelled, "cancelled"),
    (AttemptEnd::NotSent, "moot"),
];

/// Why a request was refused, as far as its attempts tell.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Serialize, Deserialize)]
pub enum ShedReason {
    /// At once, with nothing sent.
    #[serde(rename = "NotAdmitted")]
    NotAdmitted,
    /// After it was held, with nothing sent.
    #[serde(rename = "GivenUp")]
    ShedFromQueue,
    /// Its last attempt was turned away by a full node.
    #[serde(rename = "TurnedAway")]
    RejectedByNode,
    /// Its last attempt found no connection.
    #[serde(rename = "NotConnected")]
    NotConnected,
    /// Its last attempt ended in any other way.
    #[serde(rename = "Lost")]
    AttemptLost,
}

impl ShedReason {
    /// Its name in exports and listings; it stays when the variant is renamed.
    pub fn name(self) -> &'static str {
        match self {
            Self::NotAdmitted => "NotAdmitted",
            Self::ShedFromQueue => "GivenUp",
            Self::RejectedByNode => "TurnedAway",
            Self::NotConnected => "NotConnected",
            Self::AttemptLost => "Lost",
        }
    }
}

/// All reasons, in the order of the counts in [`ClassSecond::refused`].
pub const SHED_REASON_NAMES: [(ShedReason, &str); 5] = [
    (ShedReason::NotAdmitted, "not admitted"),
    (ShedReason::ShedFromQueue, "given up while held"),
    (ShedReason::RejectedByNode, "node full"),
    (ShedReason::NotConnected, "node not reached"),
    (ShedReason::AttemptLost, "attempt lost"),
];

/// Why a request failed.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Serialize, Deserialize)]
pub enum FailureReason {
    /// Its time had passed, and nothing of it can have run.
    #[serde(rename = "Late")]
    DeadlinePassed,
    /// Its time had passed, and it may have run.
    #[serde(rename = "LateMayHaveRun")]
    DeadlinePassedPossiblyExecuted,
    /// It may have run.
    #[serde(rename = "MayHaveRun")]
    PossiblyExecuted,
    /// Anything else.
    #[serde(rename = "Other")]
    Other,
}

impl FailureReason {
    /// Its name in exports and listings; it stays when the variant is renamed.
    pub fn name(self) -> &'static str {
        match self {
            Self::DeadlinePassed => "Late",
            Self::DeadlinePassedPossiblyExecuted => "LateMayHaveRun",
            Self::PossiblyExecuted => "MayHaveRun",
            Self::Other => "Other",
        }
    }
}

/// All of these, in the order of the counts in [`ClassSecond::failed`].
pub const FAILURE_REASON_NAMES: [(FailureReason, &str); 4] = [
    (FailureReason::DeadlinePassed, "time passed"),
    (FailureReason::DeadlinePassedPossiblyExecuted, "time passed, may have run"),
    (FailureReason::PossiblyExecuted, "may have run"),
    (FailureReason::Other, "other"),
];

/// A request's end.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum RequestOutcome {
    /// Served.
    #[serde(rename = "Served")]
    Served,
    /// Refused.
    #[serde(rename = "Refused")]
    Shed(ShedReason),
    /// Failed.
    #[serde(rename = "Failed")]
    Failed(FailureReason),
    /// Its client left first.
    #[serde(rename = "Gone")]
    ClientDisconnected,
}

/// What became of a class's requests in a second.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename = "ClassSecond")]
pub struct ClassSecond {
    /// When the second began, since the boot.
    #[serde(rename = "from")]
    pub start: Micros,
    /// How long it was.
    #[serde(rename = "span")]
    pub duration: Micros,
    /// The class's place.
    pub class: u16,
    /// Requests taken.
    #[serde(rename = "taken")]
    pub received: u32,
    /// Served within the aim.
    #[serde(rename = "in_aim")]
    pub within_objective: u32,
    /// Served after it.
    pub late: u32,
    /// Refused, by [`REFUSALS`].
    #[serde(rename = "refused")]
    pub shed: [u32; 5],
    /// Failed, by [`FAILURES`].
    pub failed: [u32; 4],
    /// Whose client left.
    #[serde(rename = "gone")]
    pub client_disconnects: u32,
    /// Times of served requests in microseconds: an HDR histogram, V2.
    #[serde(rename = "times")]
    pub latency_histogram: Vec<u8>,
}

/// What became of attempts at a node in a second.
#[derive(Clone, Debug, Default, PartialEq, Serialize, Deserialize)]
#[serde(rename = "NodeSecond")]
pub struct NodeSecond {
    /// When the second began, since the boot.
    #[serde(rename = "from")]
    pub start: Micros,
    /// How long it was.
    #[serde(rename = "span")]
    pub duration: Micros,
    /// The node's id.
    #[serde(rename = "node")]
    pub node: String,
    /// Attempts that the core gave to the node's connections.
    #[serde(rename = "sent")]
    pub sent: u32,
    /// Units of those that went there while it was cold.
    #[serde(rename = "cold_units")]
    pub slow_start_units: u32,
    /// Ends, by [`ENDS`].
    #[serde(rename = "ends")]
    pub attempt_ends: [u32; 8],
    /// Most attempts out there at once.
    #[serde(rename = "most_out")]
    pub max_in_flight: u32,
}

/// One attempt of a request.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename = "Attempted")]
pub struct AttemptRecord {
    /// The node.
    #[serde(rename = "node")]
    pub node: String,
    /// When it was sent, since the boot.
    #[serde(rename = "sent")]
    pub sent_at: Micros,
    /// When it ended; none if the request's end came first.
    #[serde(rename = "ended")]
    pub end: Option<(Micros, AttemptEnd)>,
}

/// A request, from its arrival to its end.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename = "RequestDone")]
pub struct RequestRecord {
    /// Its number in the boot.
    pub request: u64,
    /// The class's place.
    pub class: u16,
    /// The plan's place.
    pub plan: u16,
    /// The volume.
    pub volume: u64,
    /// Its size.
    pub units: u32,
    /// When it came, since the boot.
    #[serde(rename = "arrived")]
    pub arrived_at: Micros,
    /// When it was answered or its client left.
    #[serde(rename = "answered")]
    pub ended_at: Micros,
    /// How.
    pub outcome: RequestOutcome,
    /// Its attempts, in order.
    pub attempts: Vec<AttemptRecord>,
}

/// Why events were lost.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum GapCause {
    /// The writer did not keep up.
    #[serde(rename = "Queue")]
    QueueFull,
    /// The disk was full, read-only or broken.
    #[serde(rename = "Disk")]
    DiskFailed,
}

impl GapCause {
    /// Its name in exports and listings; it stays when the variant is renamed.
    pub fn name(self) -> &'static str {
        match self {
            Self::QueueFull => "Queue",
            Self::DiskFailed => "Disk",
        }
    }
}

/// So many events were lost between these times.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename = "Gap")]
pub struct Gap {
    /// How many.
    pub events: u64,
    /// The first one's time.
    #[serde(rename = "from")]
    pub first: Timestamp,
    /// The last one's.
    #[serde(rename = "to")]
    pub last: Timestamp,
    /// Why.
    pub cause: GapCause,
}

impl Record {
    /// For how many events it stands.
    pub fn event_count(&self) -> u64 {
        match &self.event {
            Event::Gap(gap) => gap.events,
            _ => 1,
        }
    }
}

/// A payload that no event can be read from.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct MalformedEvent;

impl std::fmt::Display for MalformedEvent {
    fn fmt(&self, f: &mut std::fmt::Formatter<'_>) -> std::fmt::Result {
        f.write_str("no event can be read from it")
    }
}

impl std::error::Error for MalformedEvent {}

/// Kinds, by number.
mod kind {
    pub const OPENED: u16 = 1;
    pub const LIFECYCLE: u16 = 2;
    pub const LISTED: u16 = 3;
    pub const NODE: u16 = 4;
    pub const CLASS: u16 = 5;
    pub const NODE_SECOND: u16 = 6;
    pub const REQUEST: u16 = 7;
    pub const GAP: u16 = 8;
}

#[derive(Serialize, Deserialize)]
struct Head {
    seq: u64,
    at: Timestamp,
    kind: u16,
}

fn body<'a, T: Deserialize<'a>>(bytes: &'a [u8]) -> Result<T, MalformedEvent> {
    // A newer program's extension behind it is passed over.
    postcard::take_from_bytes(bytes).map(|(value, _)| value).map_err(|_| MalformedEvent)
}

impl Record {
    /// Appends its form.
    pub fn encode(&self, out: &mut Vec<u8>) {
        let kind = match &self.event {
            Event::SegmentOpened(_) => kind::OPENED,
            Event::Lifecycle(_) => kind::LIFECYCLE,
            Event::EndpointUpdate(_) => kind::LISTED,
            Event::NodeStateChanged(_) => kind::NODE,
            Event::ClassSecond(_) => kind::CLASS,
            Event::NodeSecond(_) => kind::NODE_SECOND,
            Event::RequestEnded(_) => kind::REQUEST,
            Event::Gap(_) => kind::GAP,
            Event::Unknown(kind) => *kind,
        };
        put(out, &Head { seq: self.sequence, at: self.time, kind });
        match &self.event {
            Event::SegmentOpened(event) => put(out, event),
            Event::Lifecycle(event) => put(out, event),
            Event::EndpointUpdate(event) => put(out, event),
            Event::NodeStateChanged(event) => put(out, event),
            Event::ClassSecond(event) => put(out, event),
            Event::NodeSecond(event) => put(out, event),
            Event::RequestEnded(event) => put(out, event),
            Event::Gap(event) => put(out, event),
            Event::Unknown(_) => {}
        }
    }

    /// Reads it back.
    ///
    /// # Errors
    /// [`Unreadable`] where the bytes hold no such event.
    pub fn decode(bytes: &[u8]) -> Result<Self, MalformedEvent> {
        let (Head { seq, at, kind }, rest) = postcard::take_from_bytes(bytes).map_err(|_| MalformedEvent)?;
        let event = match kind {
            kind::OPENED => Event::SegmentOpened(body(rest)?),
            kind::LIFECYCLE => Event::Lifecycle(body(rest)?),
            kind::LISTED => Event::EndpointUpdate(body(rest)?),
            kind::NODE => Event::NodeStateChanged(body(rest)?),
            kind::CLASS => Event::ClassSecond(body(rest)?),
            kind::NODE_SECOND => Event::NodeSecond(body(rest)?),
            kind::REQUEST => Event::RequestEnded(body(rest)?),
            kind::GAP => Event::Gap(body(rest)?),
            other => Event::Unknown(other),
        };
        Ok(Self { sequence: seq, time: at, event })
    }
}

fn put(out: &mut Vec<u8>, value: &impl Serialize) {
    let taken = std::mem::take(out);
    // A vector takes all that these types hold.
    if let Ok(more) = postcard::to_extend(value, taken) {
        *out = more;
    }
}
