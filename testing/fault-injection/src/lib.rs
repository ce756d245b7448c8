//! Fault injection: many processes of the program among fakes of everything around them, with faults from a
//! scenario, and an auditor that checks the invariants by the logs of the fakes alone.

pub mod audit;
pub mod clients;
pub mod compare;
pub mod fleet;
pub mod link;
pub mod lists;
pub mod memory_soak;
pub mod node;
pub mod play;
pub mod processor_time;
pub mod rogue;
pub mod scenario;
pub mod shutdown_soak;

pub use heathward_scale_tests::{callers, service};
