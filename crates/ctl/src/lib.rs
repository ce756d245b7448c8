//! What the operators' tool does beyond its command line: records read into an incident.

pub mod console;
pub mod folds;
pub mod follow;
