//! The number of nodes that this scheduler's requests address within the lifetime of a slow-start token.

use std::collections::BTreeMap;

use crate::api::{Micros, NodeId};
use crate::recency::Recency;

/// Number of token lifetimes over which the number of nodes is averaged, and length in lifetimes of the spans
/// over which the maximum is taken. The maxima of the current and the previous span are kept.
const AVERAGING_LIFETIMES: u32 = 4;
/// Number of standard deviations above the mean beyond which a maximum counts as a surge.
const SURGE_DEVIATIONS: f64 = 2.0;
/// Minimum number of nodes that requests are assumed to address. A scheduler whose requests address a single
/// node cannot know whether those of all other schedulers address the same one.
const MIN_NODES: f64 = 2.0;

/// The nodes that requests addressed within the last token lifetime, and statistics of their number.
#[derive(Clone, Debug, Default)]
pub(crate) struct NodeDemand {
    /// Nodes addressed within the last lifetime, ordered by their latest request.
    recent: Recency<NodeId>,
    /// Time of each node's latest request.
    latest_requests: BTreeMap<NodeId, Micros>,
    /// Time of the first request recorded.
    first_request_at: Option<Micros>,
    /// Exponentially weighted mean of the number of nodes; `None` until a lifetime has passed since the first
    /// request.
    mean: Option<f64>,
    mean_updated_at: Micros,
    /// Maximum number of nodes in the current span.
    span_max: usize,
    /// Maximum number of nodes in the previous span.
    previous_span_max: usize,
    span_started_at: Micros,
}

impl NodeDemand {
    /// Records a request for a node, one of `nodes` nodes. Returns the estimated probability that any one
    /// node is addressed within a lifetime, as of before this request.
    pub(crate) fn record(&mut self, now: Micros, node: NodeId, nodes: usize, lifetime: Micros) -> f64 {
        let first_request_at = *self.first_request_at.get_or_insert(now);
        self.expire(now, lifetime);
        let probability = if now < first_request_at + lifetime {
            self.initial_probability(now - first_request_at, nodes, lifetime)
        } else {
            self.update_mean(now, lifetime);
            self.usual_probability(nodes)
        };
        let previous = self.latest_requests.insert(node, now);
        self.recent.touch(previous.unwrap_or(now), now, node);
        self.update_span_max(now, lifetime);
        probability
    }

    /// Removes nodes whose latest request is older than a lifetime.
    fn expire(&mut self, now: Micros, lifetime: Micros) {
        while let Some(oldest) = self.recent.oldest().filter(|oldest| oldest.at + lifetime <= now) {
            self.update_mean(oldest.at + lifetime, lifetime);
            self.recent.remove(&oldest);
            self.latest_requests.remove(&oldest.key);
        }
    }

    /// Updates the mean with the current number of nodes, which has applied up to `until`.
    fn update_mean(&mut self, until: Micros, lifetime: Micros) {
        let addressed_nodes = self.recent.len() as f64;
        let time_constant = f64::from(AVERAGING_LIFETIMES) * lifetime.max(1) as f64;
        let elapsed = until.saturating_sub(self.mean_updated_at) as f64;
        let old_weight = (-elapsed / time_constant).exp();
        self.mean = Some(
            self.mean.map_or(addressed_nodes, |mean| addressed_nodes + (mean - addressed_nodes) * old_weight),
        );
        self.mean_updated_at = until;
    }

    /// Updates the maxima of the current and the previous span.
    fn update_span_max(&mut self, now: Micros, lifetime: Micros) {
        if now >= self.span_started_at + Micros::from(AVERAGING_LIFETIMES) * lifetime {
            self.previous_span_max = self.span_max;
            self.span_max = 0;
            self.span_started_at = now;
        }
        self.span_max = self.span_max.max(self.recent.len());
    }

    /// Returns the probability within the first lifetime, on the assumption that requests continue at the
    /// rate of those received, including this one.
    fn initial_probability(&self, elapsed: Micros, nodes: usize, lifetime: Micros) -> f64 {
        let addressed_nodes = ((self.recent.len() + 1) as f64).max(MIN_NODES);
        let fraction = (addressed_nodes / nodes.max(1) as f64).min(1.0);
        let elapsed_per_lifetime = lifetime as f64 / elapsed.max(1) as f64;
        1.0 - (1.0 - fraction).powf(elapsed_per_lifetime)
    }

    /// Returns the probability by the mean number of nodes or, if the maximum is a surge, by the maximum less
    /// [`SURGE_DEVIATIONS`] standard deviations: a surge reaches all schedulers at once.
    fn usual_probability(&self, nodes: usize) -> f64 {
        let nodes = nodes.max(1) as f64;
        let max_nodes = (self.span_max.max(self.previous_span_max) as f64).min(nodes);
        let deviation = (max_nodes * (1.0 - max_nodes / nodes)).sqrt();
        let addressed_nodes = self.mean.unwrap_or(0.0).max(max_nodes - SURGE_DEVIATIONS * deviation);
        (addressed_nodes.max(MIN_NODES) / nodes).min(1.0)
    }
}

#[cfg(test)]
mod tests;
