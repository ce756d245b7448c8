//! Reports on the state of the policy.

use super::ids::Micros;

/// Numbers of entries that the policy keeps; each is the size of the largest collection of its kind.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct EntryCounts {
    /// Requests that have no answer yet or an attempt in flight.
    pub requests: usize,
    /// Volumes requested within the lookback (at most twice that) or whose rate-limit bucket is not full yet.
    pub volumes: usize,
    /// Nodes that are listed or answered within the lookback (at most twice that).
    pub nodes: usize,
    /// Timestamps within the windows of the retry budget and of cool-downs.
    pub timestamps: usize,
}

/// How the policy treats a node.
#[derive(Clone, Copy, Debug, Default, PartialEq)]
pub struct NodeStatus {
    /// The endpoint list has it in service.
    pub ready: bool,
    /// Since when it counts as down or unresponsive: it is sent only an occasional attempt.
    pub unresponsive_since: Option<Micros>,
    /// Since when it is, or may be, in slow start; [`crate::Settings::slow_start_duration`] later at the
    /// latest it has its full capacity.
    pub slow_start_since: Option<Micros>,
    /// Units of the attempts in flight.
    pub in_flight_units: f64,
}

impl NodeStatus {
    /// Whether it gets no ordinary traffic: it is out of service or unresponsive.
    pub fn is_avoided(&self) -> bool {
        !self.ready || self.unresponsive_since.is_some()
    }
}
