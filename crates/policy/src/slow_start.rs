//! Slow start: limits what each scheduler may send to a node that has just started, without communication
//! between schedulers.
//!
//! [`allowance`] computes the units that all schedulers together may send, [`TokenBucket`] this scheduler's
//! part of them over time, and [`NodeDemand`] the probability that a token is used before it expires.
//! `docs/design-slow-start.md` gives the reasons for this design.

mod allowance;
mod demand;
mod token_bucket;

pub(crate) use demand::NodeDemand;
pub(crate) use token_bucket::TokenBucket;
