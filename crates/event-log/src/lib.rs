//! A scheduler's own records: what happened, in a form that outlives the process.
//!
//! [`Record`]s (typed [`Event`]s with wall and monotonic time) go into [`frame`]s with a checksum, these into
//! segments ([`segment`]) that are rotated by size and age and kept up to a total. [`Sender`] hands them to a
//! [`Writer`] on a thread of its own and never waits; what can't be written is counted and stands in the file
//! as a gap. [`read`] reads segments back, also damaged ones.
//!
//! Frames and segments are plain state, apart from files; the writer reaches files through [`Disk`].

mod disk;
mod event;
pub mod frame;
pub mod read;
pub mod segment;
mod send;
mod write;

pub use disk::{Disk, Folder};
pub use event::{
    AttemptEnd, AttemptRecord, ClassInfo, ClassSecond, EndpointUpdate, EndpointUpdateKind, Event,
    FailureReason, Gap, GapCause, Lifecycle, ListedEndpoint, MalformedEvent, Micros, NodeSecond, NodeState,
    NodeStateChange, Record, RequestOutcome, RequestRecord, SegmentOpened, ShedReason, StateChangeCause,
    Timestamp, ATTEMPT_END_NAMES, FAILURE_REASON_NAMES, SHED_REASON_NAMES,
};
pub use send::{event_channel, EventReceiver, EventSender};
pub use write::{StorageLimits, Writer, WriterStatistics};
