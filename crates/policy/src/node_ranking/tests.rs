//! The index by itself; its law is held against a walk in `choice/tests.rs`.

use super::*;

const LIFE: f64 = 1e6;
const UNIT_TIME: f64 = 10_000.0;

fn rank(tier: HealthTier, wait: f64) -> Rank {
    Rank { tier, delay: wait, delay_updated_at: 1, delay_lifetime: LIFE, units: 0.0 }
}

fn best(ranking: &Ranking, waits: &[(f64, bool)]) -> SearchResult {
    let mut rng = fastrand::Rng::with_seed(1);
    ranking.best(0.0, UNIT_TIME, &mut rng, |node| {
        let (score, open) = waits[node.0 as usize];
        Some(Candidate { open, score })
    })
}

#[test]
fn open_nodes_come_before_closed_and_shunned_ones() {
    let mut ranking = Ranking::default();
    ranking.set(1, NodeId(0), &rank(HealthTier::Warm, 0.0));
    ranking.set(1, NodeId(1), &rank(HealthTier::SlowStart, 90_000.0));
    ranking.set(1, NodeId(2), &rank(HealthTier::Unhealthy, 0.0));
    let waits = [(0.0, false), (90_000.0, true), (0.0, true)];
    assert_eq!(best(&ranking, &waits).node, Some(NodeId(1)));
    // Without room anywhere, a shunned node counts as one without room.
    ranking.remove(NodeId(1));
    assert_eq!(best(&ranking, &[(90_000.0, false), (0.0, true), (0.0, true)]).node, Some(NodeId(2)));
}

#[test]
fn a_search_ends_where_no_node_can_win() {
    let mut ranking = Ranking::default();
    let mut waits = vec![];
    for node in 0..5_000 {
        let wait = if node == 0 { 0.0 } else { 50_000.0 };
        ranking.set(1, NodeId(node), &rank(HealthTier::Warm, wait));
        waits.push((wait, true));
    }
    let found = best(&ranking, &waits);
    assert_eq!((found.node, found.visits), (Some(NodeId(0)), 1));
}

#[test]
fn nodes_without_room_are_looked_at_up_to_the_bound() {
    let mut ranking = Ranking::default();
    for node in 0..5_000 {
        ranking.set(1, NodeId(node), &rank(HealthTier::SlowStart, 0.0));
    }
    assert_eq!(best(&ranking, &[(0.0, false); 5_000]).visits, MAX_VISITS);
}

/// Guards against a node that stands behind others for a wait that has faded.
#[test]
fn a_wait_that_fades_moves_a_node_forward() {
    let mut ranking = Ranking::default();
    let rank = rank(HealthTier::Warm, 80_000.0);
    ranking.set(1, NodeId(0), &rank);
    for now in (1..20_000_000).step_by(10_000) {
        for node in ranking.expired(now) {
            ranking.set(now, node, &rank);
        }
        let bound = ranking.bound(NodeId(0), 0.0, UNIT_TIME).expect("placed");
        let wait = 80_000.0 * (-((now - 1) as f64) / LIFE).exp();
        assert!(
            bound <= wait && wait <= bound.max(FIRST_DELAY_US) * DELAY_STEP * DELAY_STEP,
            "{bound} for {wait}"
        );
    }
    assert!(ranking.expiries.is_empty(), "what has faded waits for nothing");
}
