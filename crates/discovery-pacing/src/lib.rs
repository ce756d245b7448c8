//! Decisions of a start, and of every time when many schedulers want the same thing at once. They are told
//! what happened, with spans and not with times, and give permissions; no I/O, no clock.

pub mod call_pacer;

pub use call_pacer::{CallFailure, CallPacer, FleetPosition};
