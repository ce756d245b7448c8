//! A soak of the limit on memory: one scheduler with the limits of a seed, clients that send and read bodies
//! of any size at any pace, nodes that stall, and a second process that takes over. What clients and the
//! system observed decides: every request has a complete and correct answer, and the memory of all processes
//! together stays within the limit.

pub mod client;
pub mod memory;
pub mod node;
pub mod object;
pub mod plan;
pub mod play;
mod stalled;

pub use plan::Plan;
pub use play::{play, Outcome};
