use super::*;

const LIFE: Micros = 1_000_000;
const NODES: usize = 200;

/// The chance as told by the last of requests that come at that rate, after so many lives. `node` draws each.
fn after(lives: u64, per_life: f64, seed: u64, node: impl Fn(&mut fastrand::Rng) -> u32) -> f64 {
    let mut rng = fastrand::Rng::with_seed(seed);
    let mut asked = NodeDemand::default();
    let (mut now, mut chance) = (5_000_000_f64, 0.0);
    while now < 5_000_000.0 + (lives * LIFE) as f64 {
        now -= (1.0 - rng.f64()).ln() * LIFE as f64 / per_life;
        let node = NodeId(node(&mut rng));
        chance = asked.note(now as Micros, node, NODES, LIFE);
    }
    chance
}

fn any(rng: &mut fastrand::Rng) -> u32 {
    rng.u32(0..NODES as u32)
}

#[test]
fn the_chance_is_that_of_a_node_to_be_asked_for_within_a_life() {
    for per_life in [5.0, 50.0, 500.0] {
        let truth = 1.0 - (-per_life / NODES as f64).exp();
        let mean = (1..=20).map(|seed| after(30, per_life, seed, any)).sum::<f64>() / 20.0;
        assert!((0.85 * truth..1.35 * truth).contains(&mean), "{per_life} a life: {mean}, {truth} in truth");
    }
}

/// A scheduler that is asked for a few nodes in a life does not take itself to be asked for many; one that is
/// asked for fewer than two counts as asked for two.
#[test]
fn seldom_requests_are_told_from_steady_ones() {
    for (per_life, nodes) in [(4.0, 4.0), (0.1, 2.0)] {
        let truth = nodes / NODES as f64;
        let mean = (1..=20).map(|seed| after(100, per_life, seed, any)).sum::<f64>() / 20.0;
        assert!((0.8 * truth..1.5 * truth).contains(&mean), "{per_life} a life: {mean}, {truth} in truth");
    }
}

/// Guards against tokens that come far too fast in the first moments after a start.
#[test]
fn a_start_does_not_take_itself_to_be_asked_seldom() {
    let mut asked = NodeDemand::default();
    let truth = 1.0 - (-1.0_f64).exp();
    // A request each 5 ms, for another node each time.
    for request in 0..200 {
        let node = NodeId(request);
        let chance = asked.note(1_000 + u64::from(request) * 5_000, node, NODES, LIFE);
        assert!(chance > 0.6 * truth, "request {request}: {chance}");
    }
}

/// A surge that comes to all schedulers at once counts by its largest number, though the mean is low.
#[test]
fn bursts_count_by_their_height() {
    let mut asked = NodeDemand::default();
    let mut chance = 0.0;
    for burst in 0..8 {
        for node in 0..NODES as u32 {
            chance = asked.note(1_000 + burst * 3 * LIFE, NodeId(node), NODES, LIFE);
        }
    }
    assert!(chance > 0.9, "{chance}");
}

#[test]
fn nothing_is_kept_beyond_a_life() {
    let mut asked = NodeDemand::default();
    for request in 0..10_000 {
        asked.note(request * 10_000, NodeId(request as u32), NODES, LIFE);
    }
    let most = (LIFE / 10_000) as usize + 1;
    assert!(asked.recent.len() <= most && asked.latest.len() <= most, "{}", asked.recent.len());
}
