//! The event log of a scheduler: what happened, in files that outlive the process.
//!
//! A [`Record`] is a typed [`Event`] with its time on the wall clock and on the monotonic clock. Records go
//! into frames with a checksum ([`mod@frame`]), and frames into segment files ([`segment`]) that are rotated
//! by size and age and evicted beyond a total size. [`EventSender`] hands records to a [`Writer`], which runs
//! on a thread of its own, and never waits; what cannot be written is counted and recorded as a gap. [`read`]
//! reads segments, also damaged ones.
//!
//! Frames and segments are plain state without I/O; the writer reaches files through [`Disk`].

mod codec;
mod disk;
mod event;
pub mod frame;
mod names;
pub mod read;
pub mod segment;
mod send;
mod write;

pub use codec::MalformedEvent;
pub use disk::{Disk, Folder};
pub use event::{
    AttemptEnd, AttemptRecord, ClassInfo, ClassSecond, EndpointUpdate, EndpointUpdateKind, Event,
    FailureReason, Gap, GapCause, Lifecycle, ListedEndpoint, Micros, NodeSecond, NodeState, NodeStateChange,
    Record, RequestOutcome, RequestRecord, SegmentOpened, ShedReason, StateChangeCause, Timestamp,
};
pub use names::{ATTEMPT_END_NAMES, FAILURE_REASON_NAMES, SHED_REASON_NAMES};
pub use send::{event_channel, EventReceiver, EventSender};
pub use write::{StorageLimits, Writer, WriterStatistics};
