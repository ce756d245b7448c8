//! Series of costs by size, each concern in a file of its own. What is counted in virtual time is the same at
//! each run; what is timed is not, and needs a release build and a quiet machine.

pub mod all;
pub mod bounds;
pub mod cold_start;
pub mod decision;
pub mod driver;
pub mod list_change;
pub mod list_service;
pub mod memory;

/// Numbers of nodes of each series by nodes.
pub const NODE_SIZES: [u32; 5] = [100, 300, 1_000, 2_550, 5_100];
/// Numbers of schedulers of each series by schedulers.
pub const SCHEDULER_SIZES: [u32; 4] = [30, 300, 1_500, 4_500];
