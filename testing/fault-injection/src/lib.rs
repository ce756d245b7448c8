//! The failure rig: many processes of the program before stand-ins of everything around them, faults between
//! them by a scenario, and an auditor that judges by the stand-ins' logs alone.

pub mod audit;
pub mod clients;
pub mod compare;
pub mod fleet;
pub mod link;
pub mod lists;
pub mod node;
pub mod play;
pub mod processor_time;
pub mod rogue;
pub mod scenario;
pub mod shutdown_soak;

pub use heathward_scale_tests::{callers, service};
