//! Reports on the state of the policy.

use super::ids::Micros;

/// Numbers of entries that the policy keeps; each is the size of the largest collection of its kind.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct EntryCounts {
    /// Requests that have no answer yet or an attempt in flight.
    pub requests: usize,
    /// Volumes requested within the lookback time of 30 s, or up to twice that until the next clean-up, and
    /// those whose rate-limit bucket is not full yet.
    pub volumes: usize,
    /// Nodes that are in service, have requests in flight or queued, or have answered within the lookback
    /// time, or up to twice that until the next clean-up.
    pub nodes: usize,
    /// Timestamps of requests or retries kept for the retry budget, or pauses of ordered keys that have not
    /// ended.
    pub timestamps: usize,
}

/// The policy's view of a node.
#[derive(Clone, Copy, Debug, Default, PartialEq)]
pub struct NodeStatus {
    /// Whether the endpoint list has the node in service.
    pub ready: bool,
    /// Time since which the node counts as down or unresponsive. Requests that any node may serve avoid it.
    /// Other requests for it are limited, for up to [`crate::Settings::slow_start_duration`], as if it had
    /// just started.
    pub unresponsive_since: Option<Micros>,
    /// Latest known or presumed start of the node; the current time while it is unresponsive, as it may start
    /// at any time. It has its full capacity [`crate::Settings::slow_start_duration`] later at the latest.
    pub slow_start_since: Option<Micros>,
    /// Units of the attempts in flight, except those of streamed requests.
    pub in_flight_units: f64,
}

impl NodeStatus {
    /// Returns whether the node is out of service or unresponsive, so that requests that any node may serve
    /// are sent to other nodes.
    pub fn is_avoided(&self) -> bool {
        !self.ready || self.unresponsive_since.is_some()
    }
}
