//! How many nodes a scheduler is asked for within the life of a token of slow start.

use std::collections::BTreeMap;

use crate::api::{Micros, NodeId};
use crate::recency::Recency;

/// Lives over which the number is averaged, and for which the largest one is remembered at the least.
const REMEMBERED_LIVES: u32 = 4;
/// A number beyond the mean by more than so many standard deviations is a surge, and not chance.
const SURGE_DEVIATIONS: f64 = 2.0;
/// Nodes that a scheduler is taken to be asked for at the least: one that is asked for a single node takes
/// that for one of many, and so may all others.
const MIN_REQUESTED_NODES: f64 = 2.0;

/// The nodes that requests asked for within one life, and the usual number of them.
#[derive(Clone, Debug, Default)]
pub(crate) struct NodeDemand {
    /// Nodes asked for within the last life, by their latest request.
    recent: Recency<NodeId>,
    /// When that was.
    latest: BTreeMap<NodeId, Micros>,
    /// The first request ever.
    first_request_at: Option<Micros>,
    /// Exponentially weighted mean of the number of nodes, from one life after the first request on.
    mean: Option<f64>,
    /// Until when the mean is told.
    mean_updated_at: Micros,
    /// The largest number of this span of remembered lives, and of the one before.
    largest: [usize; 2],
    /// When this span began.
    span_started_at: Micros,
}

impl NodeDemand {
    /// Notes a request for one of so many nodes. Returns the chance that a given node was asked for within a
    /// life, as it was before this request.
    pub(crate) fn note(&mut self, now: Micros, node: NodeId, nodes: usize, life: Micros) -> f64 {
        let first = *self.first_request_at.get_or_insert(now);
        self.expire(now, life);
        let chance = if now < first + life {
            self.chance_at_start(now - first, nodes, life)
        } else {
            self.average(now, life);
            self.usual_chance(nodes)
        };
        let before = self.latest.insert(node, now);
        self.recent.touch(before.unwrap_or(now), now, node);
        self.remember(now, life);
        chance
    }

    /// Forgets nodes whose latest request is older than a life.
    fn expire(&mut self, now: Micros, life: Micros) {
        while let Some((at, node)) = self.recent.oldest().filter(|(at, _)| at + life <= now) {
            self.average(at + life, life);
            self.recent.remove(at, node);
            self.latest.remove(&node);
        }
    }

    /// Takes the number of nodes as it is into the mean, up to a moment.
    fn average(&mut self, until: Micros, life: Micros) {
        let number = self.recent.len() as f64;
        let span = f64::from(REMEMBERED_LIVES) * life.max(1) as f64;
        let weight = (-(until.saturating_sub(self.mean_updated_at) as f64) / span).exp();
        self.mean = Some(self.mean.map_or(number, |mean| number + (mean - number) * weight));
        self.mean_updated_at = until;
    }

    /// Keeps the largest number of the last spans.
    fn remember(&mut self, now: Micros, life: Micros) {
        if now >= self.span_started_at + Micros::from(REMEMBERED_LIVES) * life {
            self.largest = [0, self.largest[0]];
            self.span_started_at = now;
        }
        self.largest[0] = self.largest[0].max(self.recent.len());
    }

    /// Within the first life: what the requests so far and this one come to if they go on alike.
    fn chance_at_start(&self, passed: Micros, nodes: usize, life: Micros) -> f64 {
        let number = ((self.recent.len() + 1) as f64).max(MIN_REQUESTED_NODES);
        let part = (number / nodes.max(1) as f64).min(1.0);
        let lives = life as f64 / passed.max(1) as f64;
        1.0 - (1.0 - part).powf(lives)
    }

    /// By the mean, or by the largest number where chance does not explain it: a surge comes to all
    /// schedulers at once.
    fn usual_chance(&self, nodes: usize) -> f64 {
        let nodes = nodes.max(1) as f64;
        let largest = (self.largest[0].max(self.largest[1]) as f64).min(nodes);
        let deviation = (largest * (1.0 - largest / nodes)).sqrt();
        let number = self.mean.unwrap_or(0.0).max(largest - SURGE_DEVIATIONS * deviation);
        (number.max(MIN_REQUESTED_NODES) / nodes).min(1.0)
    }
}

#[cfg(test)]
mod tests;
