//! Reports on the state of the policy.

use super::ids::Micros;

/// Numbers of entries that the policy keeps; each is the size of the largest collection of its kind.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct EntryCounts {
    /// Requests that have no answer yet or an attempt in flight.
    pub requests: usize,
    /// Volumes requested within the lookback time, or twice that at most, and those whose rate-limit bucket
    /// is not full yet.
    pub volumes: usize,
    /// Nodes that are listed, or have answered within the lookback time, or twice that at most.
    pub nodes: usize,
    /// Timestamps within the windows of the retry budget and of cool-downs.
    pub timestamps: usize,
}

/// The policy's view of a node.
#[derive(Clone, Copy, Debug, Default, PartialEq)]
pub struct NodeStatus {
    /// Whether the endpoint list has the node in service.
    pub ready: bool,
    /// Time since which the node counts as down or unresponsive: it is sent only an occasional attempt.
    pub unresponsive_since: Option<Micros>,
    /// Time since which the node is, or may be, in slow start; it has its full capacity
    /// [`crate::Settings::slow_start_duration`] later at the latest.
    pub slow_start_since: Option<Micros>,
    /// Units of the attempts in flight.
    pub in_flight_units: f64,
}

impl NodeStatus {
    /// Returns whether the node is sent no regular traffic, because it is out of service or unresponsive.
    pub fn is_avoided(&self) -> bool {
        !self.ready || self.unresponsive_since.is_some()
    }
}
