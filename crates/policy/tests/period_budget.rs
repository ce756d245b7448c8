//! The period budget and the lookback test.
#![cfg(test)]

mod common;
use common::*;
use heathward_policy::*;

/// Offers requests until no more go out at once, and tells how many are out.
fn fill(h: &mut Host, from: u64) -> usize {
    for id in from..from + 60 {
        h.arrive(req(id));
    }
    h.out.len()
}

/// Serves all that is out, then what was held, until nothing is left.
fn drain(h: &mut Host) {
    while !h.out.is_empty() {
        h.finish_all();
    }
}

#[test]
fn the_budget_starts_at_its_floor_grows_when_filled_in_time_and_stops_at_its_ceiling() {
    let mut h = Host::new(settings());
    h.list(&[1]);
    let mut seen = vec![fill(&mut h, 1)];
    for round in 1..60 {
        drain(&mut h);
        h.step(150_000);
        seen.push(fill(&mut h, 1 + 100 * round));
    }
    assert_eq!(seen[0], 4, "four mean requests");
    assert_eq!(seen.iter().max(), Some(&32), "{seen:?}");
}

#[test]
fn a_filled_period_with_timely_answers_adds_one_mean_request() {
    let mut h = Host::new(settings());
    h.list(&[1]);
    for id in 1..=4 {
        assert_eq!(h.arrive(req(id)).len(), 1);
    }
    h.step(50_000);
    drain(&mut h);
    h.step(150_000);
    assert_eq!(fill(&mut h, 10), 5);
}

#[test]
fn the_budget_does_not_shrink_while_the_host_asks_little() {
    let mut h = Host::new(settings());
    h.list(&[1]);
    let mut before = 0;
    for round in 0..8 {
        before = fill(&mut h, 1 + 100 * round);
        drain(&mut h);
        h.step(150_000);
    }
    h.step(20_000_000);
    let after = fill(&mut h, 10_000);
    assert!(after >= before && before > 4, "{before} then {after}");
}

#[test]
fn a_volume_with_no_history_at_the_node_passes() {
    let mut h = Host::new(settings());
    h.list(&[1]);
    for id in 1..=4 {
        assert_eq!(h.arrive(Request { volume: VolumeId(id), ..req(id) }).len(), 1);
    }
}

#[test]
fn a_retry_past_its_first_trys_aim_gives_way_to_first_tries() {
    let mut h = Host::new(settings());
    h.list(&[1]);
    h.arrive(req(1));
    h.step(10_000);
    h.outcome(1, 0, 1, AttemptEnd::Served, true, 200_000);
    // A wait is seen: a first try inside the reserve goes, a late retry is given back at once.
    h.arrive(Request { time_budget: 500_000, ..req(2) });
    assert_eq!(h.refusals(2), 1);
    assert_eq!(h.arrive(req(3)).len(), 1);
}

#[test]
fn a_new_volume_beyond_its_reserve_is_refused_after_a_filled_and_late_period() {
    let mut set = settings();
    set.plans.push(PlanSettings { reserved_rate: 0.0, ..set.plans[0].clone() });
    let unreserved = |id, volume| Request { plan: PlanId(1), volume: VolumeId(volume), ..req(id) };
    let mut h = Host::new(set);
    h.list(&[1]);
    assert_eq!(h.arrive(Request { units: 8, ..unreserved(1, 1) }).len(), 1, "no history yet");
    h.step(301_000);
    assert!(h.arrive(req(2)).is_empty(), "the budget is filled");
    h.outcome(1, 0, 1, AttemptEnd::Served, true, 301_000);
    assert_eq!(h.last_sends(), vec![2]);
    h.outcome(2, 0, 1, AttemptEnd::Served, true, 1_000);
    h.step(150_000);
    assert!(h.arrive(unreserved(3, 2)).is_empty());
    assert_eq!(h.refusals(3), 1, "one session filled the node: no room for a second");
    assert_eq!(h.arrive(unreserved(4, 1)).len(), 1, "a session that is open goes on");
    h.finish_all();
    assert_eq!(h.arrive(Request { volume: VolumeId(3), ..req(5) }).len(), 1, "inside its reservation");
    h.finish_all();
    h.step(300_000);
    assert_eq!(h.arrive(unreserved(6, 4)).len(), 1, "the node is no longer filled and late");
}
