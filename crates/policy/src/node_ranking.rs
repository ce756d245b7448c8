//! A ranking of the nodes by a lower bound of their load, for requests that any node may serve.
//!
//! A node's score is its load (queueing delay plus service time of the open units) plus noise, drawn
//! uniformly between 0 and the service time of one unit, so that the choice among nodes of similar load is
//! random. The lowest score wins. The queueing delay decays toward the fleet's: it is `delay x f +
//! fleet_delay x (1 - f)`, where the freshness `f` falls from 1 to 0 with the age of the node's last
//! observation. Nodes are kept in buckets by `delay x f`, `f` and open units, so that a bucket's bound holds
//! for every value of the fleet's delay:
//!
//! - `f` only falls between two observations, which raises the fleet's part: the bound stays below the score.
//! - `delay x f` falls as well: a node leaves its bucket when the value reaches the bucket's floor.
//!
//! A search draws the noise of a bucket's members in ascending order, as order statistics, and visits nodes
//! in order of bound plus noise. It ends when no other node can have a lower score, so that each node is
//! chosen with the same probability as by visiting all nodes, unless [`MAX_VISITS`] is reached first.

use std::collections::{BTreeMap, BTreeSet};

use crate::api::{Micros, NodeId};

mod bucket;
mod search;

use bucket::{Bucket, Placement, FRESHNESS_STEPS};
pub(crate) use bucket::{HealthTier, Rank};
use search::Search;

/// Maximum number of nodes of a tier that one search visits. It is reached only if few of them have capacity.
pub(crate) const MAX_VISITS: usize = 64;
/// Maximum number of nodes that are moved to a lower bucket at a time. Until its move, a node is ranked by
/// the longer delay of its old bucket.
const MAX_MOVES: usize = 64;

/// The position of a node in the buckets.
#[derive(Clone, Copy, Debug)]
struct Position {
    placement: Placement,
    /// Index among the bucket's members.
    index: usize,
}

/// The time at which a node's placement expires.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
struct Expiry {
    at: Micros,
    node: NodeId,
}

/// The state of a node that a search visits.
#[derive(Clone, Copy, Debug)]
pub(crate) struct Candidate {
    /// Whether the request may be sent to the node now.
    pub(crate) is_open: bool,
    /// Load in microseconds: the score without noise.
    pub(crate) load: f64,
}

/// The result of a search.
#[derive(Clone, Debug, Default)]
pub(crate) struct SearchResult {
    /// The node with the lowest score among the open nodes or, if none is open, among all.
    pub(crate) node: Option<NodeId>,
    /// Nodes whose bound was well below their load, and whose placement should be updated.
    pub(crate) outdated: Vec<NodeId>,
    /// Number of nodes visited.
    pub(crate) visits: usize,
}

/// A visited node and its score.
#[derive(Clone, Copy, Debug, PartialEq, PartialOrd)]
struct ScoredNode {
    score: f64,
    node: NodeId,
}

/// The lowest scores found by a search.
#[derive(Clone, Copy, Debug, Default)]
struct LowestScores {
    open: Option<ScoredNode>,
    closed: Option<ScoredNode>,
}

impl LowestScores {
    /// Returns the lowest score for nodes of a tier; unhealthy nodes count as closed.
    fn for_tier(&mut self, tier: HealthTier, is_open: bool) -> &mut Option<ScoredNode> {
        if is_open && tier != HealthTier::Unhealthy {
            &mut self.open
        } else {
            &mut self.closed
        }
    }

    fn add(&mut self, tier: HealthTier, is_open: bool, scored: ScoredNode) {
        let lowest = self.for_tier(tier, is_open);
        *lowest = lowest.filter(|lowest| *lowest < scored).or(Some(scored));
    }
}

/// The nodes in service, in buckets by their placement.
#[derive(Clone, Debug, Default)]
pub(crate) struct NodeRanking {
    positions: BTreeMap<NodeId, Position>,
    buckets: BTreeMap<Bucket, Vec<NodeId>>,
    expiries: BTreeSet<Expiry>,
}

impl NodeRanking {
    /// Moves a node to the bucket for its rank.
    pub(crate) fn set(&mut self, now: Micros, node: NodeId, rank: &Rank) {
        let placement = rank.placement(now);
        let current = self.positions.get_mut(&node).map(|position| &mut position.placement);
        if let Some(current) = current.filter(|current| current.bucket == placement.bucket) {
            let old = std::mem::replace(&mut current.expires_at, placement.expires_at);
            self.replace_expiry(node, old, placement.expires_at);
            return;
        }
        self.remove(node);
        let members = self.buckets.entry(placement.bucket).or_default();
        self.positions.insert(node, Position { placement, index: members.len() });
        members.push(node);
        self.replace_expiry(node, None, placement.expires_at);
    }

    fn replace_expiry(&mut self, node: NodeId, old: Option<Micros>, new: Option<Micros>) {
        if old == new {
            return;
        }
        if let Some(at) = old {
            self.expiries.remove(&Expiry { at, node });
        }
        if let Some(at) = new {
            self.expiries.insert(Expiry { at, node });
        }
    }

    pub(crate) fn remove(&mut self, node: NodeId) {
        let Some(position) = self.positions.remove(&node) else { return };
        self.replace_expiry(node, position.placement.expires_at, None);
        let bucket = position.placement.bucket;
        let Some(members) = self.buckets.get_mut(&bucket) else { return };
        members.swap_remove(position.index);
        if let Some(moved) = members.get(position.index).and_then(|moved| self.positions.get_mut(moved)) {
            moved.index = position.index;
        }
        if members.is_empty() {
            self.buckets.remove(&bucket);
        }
    }

    /// Returns the lower bound of a node's score.
    #[cfg(test)]
    pub(crate) fn bound(&self, node: NodeId, fleet_delay: f64, unit_service_time: f64) -> Option<f64> {
        let position = self.positions.get(&node)?;
        Some(position.placement.bucket.bound(fleet_delay, unit_service_time))
    }

    /// Returns the nodes whose placement has expired, the most overdue first; at most [`MAX_MOVES`].
    pub(crate) fn expired(&self, now: Micros) -> Vec<NodeId> {
        let expired = self.expiries.iter().take_while(|expiry| expiry.at <= now);
        expired.take(MAX_MOVES).map(|expiry| expiry.node).collect()
    }

    /// Finds the node with the lowest score among those that a request may be sent to now or, if there is
    /// none, among all. `visit` returns the state of a node, or `None` if the request must never be sent
    /// there.
    pub(crate) fn find_lowest(
        &self,
        fleet_delay: f64,
        unit_service_time: f64,
        random: &mut fastrand::Rng,
        mut visit: impl FnMut(NodeId) -> Option<Candidate>,
    ) -> SearchResult {
        let mut result = SearchResult::default();
        let mut lowest = LowestScores::default();
        for tier in [HealthTier::Healthy, HealthTier::SlowStart, HealthTier::Unhealthy] {
            if tier == HealthTier::Unhealthy && lowest.open.is_some() {
                break;
            }
            let mut search = Search::new(&self.buckets, tier, fleet_delay, unit_service_time);
            for _ in 0..MAX_VISITS {
                let score_limit = lowest.for_tier(tier, true).map(|scored| scored.score);
                let Some(drawn) = search.next(random, score_limit) else { break };
                result.visits += 1;
                let Some(candidate) = visit(drawn.node) else { continue };
                if candidate.load > drawn.bound + unit_service_time / FRESHNESS_STEPS {
                    result.outdated.push(drawn.node);
                }
                let scored = ScoredNode { score: candidate.load + drawn.noise, node: drawn.node };
                lowest.add(tier, candidate.is_open, scored);
            }
        }
        result.node = lowest.open.or(lowest.closed).map(|scored| scored.node);
        result
    }
}

#[cfg(test)]
mod tests;
