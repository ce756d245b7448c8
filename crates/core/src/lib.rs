//! The module at work: requests, attempts and outcomes, no wire.
//!
//! One actor owns the [`Scheduler`](heathward_policy::Scheduler), the clock, one timer, the open requests and
//! the counters. A front hands it a [`Call`] through [`Core`], a tower service, and gets one [`Answer`]; a
//! node's actor takes [`Attempt`]s from it and gives back [`Ended`]s; discovery brings [`DiscoveryUpdate`].

mod actor;
mod body;
mod call;
mod cancel;
mod clock;
mod counters;
pub mod list_lease;
mod message;
pub mod observe;
mod stalls;

pub use actor::{report, start, Core, Gone};
pub use body::{stream, BrokenOff, Feed, Passing, Pieces, Reply, Upload};
pub use call::{
    Answer, Attempt, Call, Command, DiscoveryUpdate, DrainGate, Draining, Ended, Forwarded, Member, Metrics,
    NotDone, State, Work,
};
pub use clock::Clock;
pub use counters::{Answers, Counters, Tries};
pub use message::{Dial, Message, Status};

/// Bytes of a body that is held whole at most; what is longer passes in pieces.
pub const BODY_LIMIT: usize = 64 * 1024;
