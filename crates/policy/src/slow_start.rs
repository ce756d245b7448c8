//! Slow start: how much each scheduler may send to a node that has just started, without communication
//! between schedulers.
//!
//! [`allowance`] says how many units all schedulers together may send, [`TokenBucket`] which part of them
//! this scheduler may send and when, and [`NodeDemand`] how likely it is that a token is used before it
//! expires. `docs/design-slow-start.md` gives the reasons for this design.

mod allowance;
mod demand;
mod token_bucket;

pub(crate) use demand::NodeDemand;
pub(crate) use token_bucket::TokenBucket;
