//! What the law of calls costs one list service that a whole fleet asks, in virtual time.
#![cfg(test)]

use std::time::Duration;

use heathward_scale_tests::callers::{fleet, start, worst, Constants};
use heathward_scale_tests::service::Costs;
use rstest::rstest;

const SEEDS: u64 = 60;

fn costs(ms: u64) -> Costs {
    Costs { call: Duration::from_millis(ms), ..Costs::default() }
}

/// All hosts start at once, or come back after 8 s without the service, and it is five times slower or faster
/// than the one that the first guess was measured at: they have been answered by it before.
#[rstest]
#[case::a_start(0, 54, 0)]
#[case::back(8, 54, 6)]
#[case::back_to_a_slow_one(8, 270, 6)]
#[case::back_to_a_fast_one(8, 11, 6)]
fn a_fleets_calls_find_room(
    #[case] down: u64,
    #[case] ms: u64,
    #[case] known: u32,
    #[values(100, 350, 1000)] hosts: u32,
) {
    let (costs, down) = (costs(ms), Duration::from_secs(down));
    let came = worst(SEEDS, |seed| start(&mut fleet(hosts, seed, (known, costs.call)), costs, down));
    println!("{came:.2?} over {SEEDS} seeds");
    // A call more than the service has room for, where that has room for a few.
    let room = 1.2_f64.max(1.0 + 2.0 * costs.call.as_secs_f64());
    assert!(came.busiest <= room && came.in_vain <= 0.05 && came.slowest <= 1.5, "{came:?}");
}

/// A service that nobody knows and that is five times slower is overrun at first: no host can see that before
/// its own call. It is found out and the fleet gets through, where constants never let it.
#[test]
fn a_slow_service_that_nobody_knows_is_overrun_for_some_rounds_and_then_spared() {
    let costs = costs(270);
    let came = worst(SEEDS, |seed| start(&mut fleet(100, seed, (0, costs.call)), costs, Duration::ZERO));
    println!("{came:.2?}");
    assert!(came.slowest < 10.0, "{came:?}");
    let constants =
        |hosts, seed: u64| (0..hosts).map(move |host| Constants::new(hosts, seed * 1_000 + u64::from(host)));
    let mut laws: Vec<_> = constants(100, 1).collect();
    let before = start(&mut laws, costs, Duration::ZERO);
    assert!(before.slowest > 20.0, "the test tells nothing: {before:?}");
}

/// One that is five times faster is not known to be: the first guess makes the start as much longer.
#[test]
fn a_fast_service_that_nobody_knows_costs_the_round_of_the_first_guess() {
    let came =
        worst(SEEDS, |seed| start(&mut fleet(350, seed, (0, Duration::ZERO)), costs(11), Duration::ZERO));
    assert!(came.in_vain == 0.0 && came.slowest < 6.5, "{came:?}");
}
