use super::*;

const LIFETIME: Micros = 1_000_000;
const NODES: usize = 200;

/// Returns the probability as of the last request, after requests at a mean rate for some lifetimes; `node`
/// draws the node of each request.
fn probability_after(
    lifetimes: u64,
    per_lifetime: f64,
    seed: u64,
    node: impl Fn(&mut fastrand::Rng) -> u32,
) -> f64 {
    let mut random = fastrand::Rng::with_seed(seed);
    let mut demand = NodeDemand::default();
    let (mut now, mut probability) = (5_000_000_f64, 0.0);
    while now < 5_000_000.0 + (lifetimes * LIFETIME) as f64 {
        now -= (1.0 - random.f64()).ln() * LIFETIME as f64 / per_lifetime;
        let node = NodeId(node(&mut random));
        probability = demand.record(now as Micros, node, NODES, LIFETIME);
    }
    probability
}

fn any_node(random: &mut fastrand::Rng) -> u32 {
    random.u32(0..NODES as u32)
}

/// Returns the mean over twenty seeds of the probability after some lifetimes.
fn mean_probability(lifetimes: u64, per_lifetime: f64) -> f64 {
    (1..=20).map(|seed| probability_after(lifetimes, per_lifetime, seed, any_node)).sum::<f64>() / 20.0
}

#[test]
fn the_probability_is_that_of_a_node_being_addressed_within_a_lifetime() {
    for per_lifetime in [5.0, 50.0, 500.0] {
        let expected = 1.0 - (-per_lifetime / NODES as f64).exp();
        let mean = mean_probability(30, per_lifetime);
        let is_near = (0.85 * expected..1.35 * expected).contains(&mean);
        assert!(is_near, "{per_lifetime} per lifetime: {mean}, expected {expected}");
    }
}

/// Guards against a probability that is too high: a scheduler that addresses a few nodes in a lifetime is not
/// assumed to address many; one that addresses fewer than two counts as addressing two.
#[test]
fn rare_requests_give_a_low_probability() {
    for (per_lifetime, nodes) in [(4.0, 4.0), (0.1, 2.0)] {
        let expected = nodes / NODES as f64;
        let mean = mean_probability(100, per_lifetime);
        let is_near = (0.8 * expected..1.5 * expected).contains(&mean);
        assert!(is_near, "{per_lifetime} per lifetime: {mean}, expected {expected}");
    }
}

/// Guards against a probability that is far too low right after a start, with which tokens would accumulate
/// too fast.
#[test]
fn the_probability_is_not_underestimated_right_after_a_start() {
    let mut demand = NodeDemand::default();
    let expected = 1.0 - (-1.0_f64).exp();
    // One request every 5 ms, each for another node.
    for request in 0..200 {
        let now = 1_000 + u64::from(request) * 5_000;
        let probability = demand.record(now, NodeId(request), NODES, LIFETIME);
        assert!(probability > 0.6 * expected, "request {request}: {probability}");
    }
}

/// A surge reaches all schedulers at once, so its maximum number of nodes counts even if the mean is low.
#[test]
fn surges_count_by_their_largest_number_of_nodes() {
    let mut demand = NodeDemand::default();
    let mut probability = 0.0;
    for surge in 0..8 {
        for node in 0..NODES as u32 {
            probability = demand.record(1_000 + surge * 3 * LIFETIME, NodeId(node), NODES, LIFETIME);
        }
    }
    assert!(probability > 0.9, "{probability}");
}

#[test]
fn nodes_are_kept_for_a_lifetime_only() {
    let mut demand = NodeDemand::default();
    for request in 0..10_000 {
        demand.record(request * 10_000, NodeId(request as u32), NODES, LIFETIME);
    }
    let max_nodes = (LIFETIME / 10_000) as usize + 1;
    assert!(
        demand.recent.len() <= max_nodes && demand.latest_requests.len() <= max_nodes,
        "{}",
        demand.recent.len()
    );
}
