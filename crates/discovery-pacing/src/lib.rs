//! Paces the calls of a fleet of schedulers to a discovery service that they all share. It works on
//! durations only and uses no I/O and no clock.

mod call_pacer;

pub use call_pacer::{CallFailure, CallPacer, FleetPosition};
