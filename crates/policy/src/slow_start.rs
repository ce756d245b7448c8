//! Slow start: how much each scheduler may send to a node that has just started, without communication
//! between schedulers.

mod allowance;
mod demand;
mod token_bucket;

pub(crate) use demand::NodeDemand;
pub(crate) use token_bucket::TokenBucket;
