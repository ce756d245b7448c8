//! Tests of the ranking alone; `scheduler/node_selection_tests.rs` compares its choices with an exhaustive
//! search over all nodes.

use super::bucket::{DELAY_STEP, FIRST_DELAY_US};
use super::*;

const TIME_CONSTANT_US: f64 = 1e6;
const UNIT_SERVICE_TIME: f64 = 10_000.0;

fn rank(tier: HealthTier, delay: f64) -> Rank {
    Rank { tier, delay, delay_updated_at: Some(1), delay_time_constant: TIME_CONSTANT_US, lasting_units: 0.0 }
}

fn open(load: f64) -> Candidate {
    Candidate { is_open: true, load }
}

fn closed(load: f64) -> Candidate {
    Candidate { is_open: false, load }
}

/// Searches among nodes that are numbered in the order of `candidates`.
fn find(ranking: &NodeRanking, candidates: &[Candidate]) -> SearchResult {
    let mut random = fastrand::Rng::with_seed(1);
    let visit = |node: NodeId| Some(candidates[node.0 as usize]);
    ranking.find_lowest(0.0, UNIT_SERVICE_TIME, &mut random, visit)
}

#[test]
fn open_nodes_come_before_closed_and_unhealthy_ones() {
    let mut ranking = NodeRanking::default();
    ranking.set(1, NodeId(0), &rank(HealthTier::Healthy, 0.0));
    ranking.set(1, NodeId(1), &rank(HealthTier::SlowStart, 90_000.0));
    ranking.set(1, NodeId(2), &rank(HealthTier::Unhealthy, 0.0));
    let candidates = [closed(0.0), open(90_000.0), open(0.0)];
    assert_eq!(find(&ranking, &candidates).node, Some(NodeId(1)));
    // If no node is open, an unhealthy node counts as a closed one.
    ranking.remove(NodeId(1));
    assert_eq!(find(&ranking, &[closed(90_000.0), open(0.0), open(0.0)]).node, Some(NodeId(2)));
}

#[test]
fn a_search_ends_when_no_other_node_can_have_a_lower_score() {
    let mut ranking = NodeRanking::default();
    let mut candidates = vec![];
    for node in 0..5_000 {
        let delay = if node == 0 { 0.0 } else { 50_000.0 };
        ranking.set(1, NodeId(node), &rank(HealthTier::Healthy, delay));
        candidates.push(open(delay));
    }
    let found = find(&ranking, &candidates);
    assert_eq!((found.node, found.visits), (Some(NodeId(0)), 1));
}

#[test]
fn closed_nodes_are_visited_up_to_the_maximum() {
    let mut ranking = NodeRanking::default();
    for node in 0..5_000 {
        ranking.set(1, NodeId(node), &rank(HealthTier::SlowStart, 0.0));
    }
    assert_eq!(find(&ranking, &[closed(0.0); 5_000]).visits, MAX_VISITS);
}

/// Guards against a node that stays ranked behind others because of a delay that has since decayed.
#[test]
fn a_delay_that_decays_moves_a_node_forward() {
    let mut ranking = NodeRanking::default();
    let rank = rank(HealthTier::Healthy, 80_000.0);
    ranking.set(1, NodeId(0), &rank);
    for now in (1..20_000_000).step_by(10_000) {
        for node in ranking.expired(now) {
            ranking.set(now, node, &rank);
        }
        let bound = ranking.bound(NodeId(0), 0.0, UNIT_SERVICE_TIME).expect("placed");
        let delay = 80_000.0 * (-((now - 1) as f64) / TIME_CONSTANT_US).exp();
        let upper = bound.max(FIRST_DELAY_US) * DELAY_STEP * DELAY_STEP;
        assert!(bound <= delay && delay <= upper, "bound {bound} for a delay of {delay}");
    }
    assert!(ranking.expiries.is_empty(), "a fully decayed delay has no expiry");
}
