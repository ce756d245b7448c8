//! Scale tests: what a fleet of thousands of schedulers costs, and how each cost grows with its size.
//!
//! [`fleet::Fleet`] runs the real decision module, list lease and call pacing of thousands of schedulers in
//! one process and in virtual time, before hollow storage nodes and a hollow list service: no sockets, no
//! threads, one seed. [`cold_start`] judges a slow start by it, and [`costs`] has series of
//! costs by size.

pub mod bounds;
pub mod callers;
pub mod chart;
pub mod cold_start;
pub mod costs;
pub mod deployments;
pub mod events;
pub mod fleet;
pub mod lease;
pub mod lists;
pub mod node;
pub mod processes;
pub mod series;
pub mod service;
pub mod slow_start;
