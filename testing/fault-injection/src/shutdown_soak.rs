//! A soak of shutdown and restart: one process of the program before two nodes, plans drawn from a seed, and
//! a verdict by what clients and nodes saw alone.
//!
//! Clients keep using their connections until the platform kills the process, which it does as early as it
//! may. [`plan`] draws what happens, [`play()`] plays it, [`clients`] are the clients and the crowd, and
//! [`verdict`] holds the rules against what was seen.

pub mod clients;
pub mod plan;
pub mod play;
pub mod verdict;

pub use plan::Plan;
pub use play::play;
pub use verdict::{Breach, Outcome};
