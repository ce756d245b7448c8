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
    Attempted, Class, ClassSecond, Ended, Event, Failure, Gap, GapCause, Kind, Lifecycle, Listed, ListedNode,
    Micros, NodeChange, NodeSecond, NodeState, Opened, Outcome, Record, Refusal, RequestDone, Stamp,
    Unreadable, Why, ENDS, FAILURES, REFUSALS,
};
pub use send::{channel, Sender, Waiting};
pub use write::{Health, Limits, Writer};
