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
pub struct Stamp {
    /// Unix time; may step.
    #[serde(rename = "wall")]
    pub wall: Micros,
    /// Time since the boot; never steps, and means nothing to others.
    #[serde(rename = "mono")]
    pub mono: Micros,
}

/// An event with its number within the boot and its time.
#[derive(Clone, Debug, PartialEq, Serialize)]
pub struct Record {
    /// Counts all events of the boot, also those that were lost: a jump is a loss.
    #[serde(rename = "seq")]
    pub seq: u64,
    /// When.
    #[serde(rename = "at")]
    pub at: Stamp,
    /// What.
    pub event: Event,
}

/// What happened. Its form in a frame is that of [`Record::encode`]; serialized, it is for exports.
#[derive(Clone, Debug, PartialEq, Serialize)]
pub enum Event {
    /// The first of each segment: who writes.
    #[serde(rename = "Opened")]
    Opened(Opened),
    /// The scheduler itself.
    #[serde(rename = "Lifecycle")]
    Lifecycle(Lifecycle),
    /// What the list said.
    #[serde(rename = "Listed")]
    Listed(Listed),
    /// A node is treated differently from now on.
    #[serde(rename = "Node")]
    Node(NodeChange),
    /// A class's second.
    #[serde(rename = "Class")]
    Class(ClassSecond),
    /// A node's second.
    #[serde(rename = "NodeSecond")]
    NodeSecond(NodeSecond),
    /// A request with its attempts.
    #[serde(rename = "Request")]
    Request(RequestDone),
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
pub struct Class {
    /// Its name.
    pub name: String,
    /// Answers within this time are in aim.
    #[serde(rename = "aim")]
    pub aim: Micros,
    /// How long its clients wait.
    pub deadline: Micros,
    /// For keyed writes: how long after the first send that may have run a repeat may be sent; else 0.
    pub window: Micros,
}

/// Who writes, and by which settings.
#[derive(Clone, Debug, Default, PartialEq, Serialize, Deserialize)]
#[serde(rename = "Opened")]
pub struct Opened {
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
    pub classes: Vec<Class>,
    /// The plans, by place.
    pub plans: Vec<String>,
    /// Units that a node which has just started bears within `fall_time`, from all schedulers together.
    #[serde(rename = "cold_units")]
    pub cold_units: f64,
    /// Share of its capacity at which a node starts.
    #[serde(rename = "cold_share")]
    pub cold_share: f64,
    /// A node is warm after this.
    #[serde(rename = "cold_time")]
    pub cold_time: Micros,
    /// Window of the rule on cold nodes.
    #[serde(rename = "fall_time")]
    pub fall_time: Micros,
    /// Whether each request is recorded.
    pub requests: bool,
}

/// What the scheduler itself went through.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum Lifecycle {
    /// Records begin.
    #[serde(rename = "Started")]
    Started,
    /// The end was asked for; everything is answered by then.
    #[serde(rename = "Ending")]
    Ending,
    /// Records end, by plan.
    #[serde(rename = "Ended")]
    Ended,
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
    Stopped(Micros),
    /// Discovery is heard, and the list gone by.
    #[serde(rename = "WentOn")]
    WentOn,
}

/// What a list is.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum Kind {
    /// Changes, as they come.
    #[serde(rename = "Changes")]
    Changes,
    /// The whole list.
    #[serde(rename = "Whole")]
    Whole,
    /// As it was saved; maybe old.
    #[serde(rename = "Saved")]
    Saved,
    /// The watch broke.
    #[serde(rename = "Failed")]
    Failed,
}

impl Kind {
    /// Its name in exports and listings; it stays when the variant is renamed.
    pub fn name(self) -> &'static str {
        match self {
            Self::Changes => "Changes",
            Self::Whole => "Whole",
            Self::Saved => "Saved",
            Self::Failed => "Failed",
        }
    }
}

/// News of the list.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename = "Listed")]
pub struct Listed {
    /// Its version.
    pub revision: u64,
    /// What it holds.
    pub kind: Kind,
    /// The nodes named.
    pub nodes: Vec<ListedNode>,
}

/// One node of a list.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename = "ListedNode")]
pub struct ListedNode {
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
    pub started: Option<Micros>,
}

/// How a scheduler treats a node; of several that apply, the last here counts.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Serialize, Deserialize)]
pub enum NodeState {
    /// In service and warm.
    #[serde(rename = "InService")]
    InService,
    /// Cold or maybe cold since then, Unix time on the list's clock or the scheduler's.
    #[serde(rename = "Cold")]
    Cold(Micros),
    /// Down or silent: gets only a try now and then.
    #[serde(rename = "Silent")]
    Silent,
    /// Taken out by hand.
    #[serde(rename = "Suspended")]
    Suspended,
    /// Drains by the list.
    #[serde(rename = "Draining")]
    Draining,
    /// No longer listed.
    #[serde(rename = "Gone")]
    Gone,
}

/// Why that changed.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum Why {
    /// The list, in this version.
    #[serde(rename = "List")]
    List(u64),
    /// An order of staff.
    #[serde(rename = "Order")]
    Order,
    /// The state of the process before.
    #[serde(rename = "Handover")]
    Handover,
    /// An attempt ended so.
    #[serde(rename = "Attempt")]
    Attempt(Ended),
    /// Time passed.
    #[serde(rename = "Time")]
    Time,
}

/// A node is treated so from now on.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename = "NodeChange")]
pub struct NodeChange {
    /// Its id.
    #[serde(rename = "node")]
    pub node: String,
    /// How.
    #[serde(rename = "state")]
    pub state: NodeState,
    /// Why.
    #[serde(rename = "why")]
    pub why: Why,
}

/// How an attempt ended.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Serialize, Deserialize)]
pub enum Ended {
    /// Served.
    #[serde(rename = "Served")]
    Served,
    /// An error; it may have run.
    #[serde(rename = "Error")]
    Error,
    /// Turned away unseen.
    #[serde(rename = "Full")]
    Full,
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

impl Ended {
    /// Its name in exports and reports; it stays when the variant is renamed.
    pub fn name(self) -> &'static str {
        match self {
            Self::Served => "Served",
            Self::Error => "Error",
            Self::Full => "Full",
            Self::TimedOut => "TimedOut",
            Self::NotConnected => "NotConnected",
            Self::Reset => "Reset",
            Self::Cancelled => "Cancelled",
            Self::NotSent => "NotSent",
        }
    }
}

/// All ends, in the order of the counts in [`NodeSecond::ends`].
pub const ENDS: [(Ended, &str); 8] = [
    (Ended::Served, "served"),
    (Ended::Error, "error"),
    (Ended::Full, "full"),
    (Ended::TimedOut, "timed out"),
    (Ended::NotConnected, "not connected"),
    (Ended::Reset, "reset"),
    (Ended::Cancelled, "cancelled"),
    (Ended::NotSent, "moot"),
];

/// Why a request was refused, as far as its attempts tell.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Serialize, Deserialize)]
pub enum Refusal {
    /// At once, with nothing sent.
    #[serde(rename = "NotAdmitted")]
    NotAdmitted,
    /// After it was held, with nothing sent.
    #[serde(rename = "GivenUp")]
    GivenUp,
    /// Its last attempt was turned away by a full node.
    #[serde(rename = "TurnedAway")]
    TurnedAway,
    /// Its last attempt found no connection.
    #[serde(rename = "NotConnected")]
    NotConnected,
    /// Its last attempt ended in any other way.
    #[serde(rename = "Lost")]
    Lost,
}

impl Refusal {
    /// Its name in exports and listings; it stays when the variant is renamed.
    pub fn name(self) -> &'static str {
        match self {
            Self::NotAdmitted => "NotAdmitted",
            Self::GivenUp => "GivenUp",
            Self::TurnedAway => "TurnedAway",
            Self::NotConnected => "NotConnected",
            Self::Lost => "Lost",
        }
    }
}

/// All reasons, in the order of the counts in [`ClassSecond::refused`].
pub const REFUSALS: [(Refusal, &str); 5] = [
    (Refusal::NotAdmitted, "not admitted"),
    (Refusal::GivenUp, "given up while held"),
    (Refusal::TurnedAway, "node full"),
    (Refusal::NotConnected, "node not reached"),
    (Refusal::Lost, "attempt lost"),
];

/// Why a request failed.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Serialize, Deserialize)]
pub enum Failure {
    /// Its time had passed, and nothing of it can have run.
    #[serde(rename = "Late")]
    Late,
    /// Its time had passed, and it may have run.
    #[serde(rename = "LateMayHaveRun")]
    LateMayHaveRun,
    /// It may have run.
    #[serde(rename = "MayHaveRun")]
    MayHaveRun,
    /// Anything else.
    #[serde(rename = "Other")]
    Other,
}

impl Failure {
    /// Its name in exports and listings; it stays when the variant is renamed.
    pub fn name(self) -> &'static str {
        match self {
            Self::Late => "Late",
            Self::LateMayHaveRun => "LateMayHaveRun",
            Self::MayHaveRun => "MayHaveRun",
            Self::Other => "Other",
        }
    }
}

/// All of these, in the order of the counts in [`ClassSecond::failed`].
pub const FAILURES: [(Failure, &str); 4] = [
    (Failure::Late, "time passed"),
    (Failure::LateMayHaveRun, "time passed, may have run"),
    (Failure::MayHaveRun, "may have run"),
    (Failure::Other, "other"),
];

/// A request's end.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum Outcome {
    /// Served.
    #[serde(rename = "Served")]
    Served,
    /// Refused.
    #[serde(rename = "Refused")]
    Refused(Refusal),
    /// Failed.
    #[serde(rename = "Failed")]
    Failed(Failure),
    /// Its client left first.
    #[serde(rename = "Gone")]
    Gone,
}

/// What became of a class's requests in a second.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename = "ClassSecond")]
pub struct ClassSecond {
    /// When the second began, since the boot.
    #[serde(rename = "from")]
    pub from: Micros,
    /// How long it was.
    #[serde(rename = "span")]
    pub span: Micros,
    /// The class's place.
    pub class: u16,
    /// Requests taken.
    #[serde(rename = "taken")]
    pub taken: u32,
    /// Served within the aim.
    #[serde(rename = "in_aim")]
    pub in_aim: u32,
    /// Served after it.
    pub late: u32,
    /// Refused, by [`REFUSALS`].
    #[serde(rename = "refused")]
    pub refused: [u32; 5],
    /// Failed, by [`FAILURES`].
    pub failed: [u32; 4],
    /// Whose client left.
    #[serde(rename = "gone")]
    pub gone: u32,
    /// Times of served requests in microseconds: an HDR histogram, V2.
    pub times: Vec<u8>,
}

/// What became of attempts at a node in a second.
#[derive(Clone, Debug, Default, PartialEq, Serialize, Deserialize)]
#[serde(rename = "NodeSecond")]
pub struct NodeSecond {
    /// When the second began, since the boot.
    #[serde(rename = "from")]
    pub from: Micros,
    /// How long it was.
    #[serde(rename = "span")]
    pub span: Micros,
    /// The node's id.
    #[serde(rename = "node")]
    pub node: String,
    /// Attempts that the core gave to the node's connections.
    #[serde(rename = "sent")]
    pub sent: u32,
    /// Units of those that went there while it was cold.
    #[serde(rename = "cold_units")]
    pub cold_units: u32,
    /// Ends, by [`ENDS`].
    pub ends: [u32; 8],
    /// Most attempts out there at once.
    #[serde(rename = "most_out")]
    pub most_out: u32,
}

/// One attempt of a request.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename = "Attempted")]
pub struct Attempted {
    /// The node.
    #[serde(rename = "node")]
    pub node: String,
    /// When it was sent, since the boot.
    #[serde(rename = "sent")]
    pub sent: Micros,
    /// When it ended; none if the request's end came first.
    #[serde(rename = "ended")]
    pub ended: Option<(Micros, Ended)>,
}

/// A request, from its arrival to its end.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename = "RequestDone")]
pub struct RequestDone {
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
    pub arrived: Micros,
    /// When it was answered or its client left.
    #[serde(rename = "answered")]
    pub answered: Micros,
    /// How.
    pub outcome: Outcome,
    /// Its attempts, in order.
    pub attempts: Vec<Attempted>,
}

/// Why events were lost.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum GapCause {
    /// The writer did not keep up.
    #[serde(rename = "Queue")]
    Queue,
    /// The disk was full, read-only or broken.
    #[serde(rename = "Disk")]
    Disk,
}

impl GapCause {
    /// Its name in exports and listings; it stays when the variant is renamed.
    pub fn name(self) -> &'static str {
        match self {
            Self::Queue => "Queue",
            Self::Disk => "Disk",
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
    pub from: Stamp,
    /// The last one's.
    pub to: Stamp,
    /// Why.
    pub cause: GapCause,
}

impl Record {
    /// For how many events it stands.
    pub fn weight(&self) -> u64 {
        match &self.event {
            Event::Gap(gap) => gap.events,
            _ => 1,
        }
    }
}

/// A payload that no event can be read from.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Unreadable;

impl std::fmt::Display for Unreadable {
    fn fmt(&self, f: &mut std::fmt::Formatter<'_>) -> std::fmt::Result {
        f.write_str("no event can be read from it")
    }
}

impl std::error::Error for Unreadable {}

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
    at: Stamp,
    kind: u16,
}

fn body<'a, T: Deserialize<'a>>(bytes: &'a [u8]) -> Result<T, Unreadable> {
    // A newer program's extension behind it is passed over.
    postcard::take_from_bytes(bytes).map(|(value, _)| value).map_err(|_| Unreadable)
}

impl Record {
    /// Appends its form.
    pub fn encode(&self, out: &mut Vec<u8>) {
        let kind = match &self.event {
            Event::Opened(_) => kind::OPENED,
            Event::Lifecycle(_) => kind::LIFECYCLE,
            Event::Listed(_) => kind::LISTED,
            Event::Node(_) => kind::NODE,
            Event::Class(_) => kind::CLASS,
            Event::NodeSecond(_) => kind::NODE_SECOND,
            Event::Request(_) => kind::REQUEST,
            Event::Gap(_) => kind::GAP,
            Event::Unknown(kind) => *kind,
        };
        put(out, &Head { seq: self.seq, at: self.at, kind });
        match &self.event {
            Event::Opened(event) => put(out, event),
            Event::Lifecycle(event) => put(out, event),
            Event::Listed(event) => put(out, event),
            Event::Node(event) => put(out, event),
            Event::Class(event) => put(out, event),
            Event::NodeSecond(event) => put(out, event),
            Event::Request(event) => put(out, event),
            Event::Gap(event) => put(out, event),
            Event::Unknown(_) => {}
        }
    }

    /// Reads it back.
    ///
    /// # Errors
    /// [`Unreadable`] where the bytes hold no such event.
    pub fn decode(bytes: &[u8]) -> Result<Self, Unreadable> {
        let (Head { seq, at, kind }, rest) = postcard::take_from_bytes(bytes).map_err(|_| Unreadable)?;
        let event = match kind {
            kind::OPENED => Event::Opened(body(rest)?),
            kind::LIFECYCLE => Event::Lifecycle(body(rest)?),
            kind::LISTED => Event::Listed(body(rest)?),
            kind::NODE => Event::Node(body(rest)?),
            kind::CLASS => Event::Class(body(rest)?),
            kind::NODE_SECOND => Event::NodeSecond(body(rest)?),
            kind::REQUEST => Event::Request(body(rest)?),
            kind::GAP => Event::Gap(body(rest)?),
            other => Event::Unknown(other),
        };
        Ok(Self { seq, at, event })
    }
}

fn put(out: &mut Vec<u8>, value: &impl Serialize) {
    let taken = std::mem::take(out);
    // A vector takes all that these types hold.
    if let Ok(more) = postcard::to_extend(value, taken) {
        *out = more;
    }
}
