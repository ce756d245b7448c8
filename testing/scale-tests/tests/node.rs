//! The hollow storage node: its ability, its queue, and the rule on what it may be sent while it is cold.
#![cfg(test)]

use heathward_scale_tests::node::{Admission, Health, HollowNode, NodeSettings, SlowStart};

const SLOW: SlowStart = SlowStart {
    share: 0.25,
    time: 16_000_000,
    window: 2_000_000,
    bears: 9.0,
    multiple: 4.0,
    mean_units: 2.0,
};

fn node(falls: bool) -> HollowNode<u32> {
    // Warm it does 36 requests of two units in two seconds.
    HollowNode::new(NodeSettings { ability: 36.0, queue: 100, falls }, SLOW)
}

#[test]
fn work_takes_as_long_as_the_age_says() {
    let mut warm = node(false);
    assert_eq!(warm.arrive(0, 1, 36, true), (Admission::ServedAt(1_000_000), 1));
    assert_eq!(warm.arrive(0, 2, 18, true), (Admission::ServedAt(1_500_000), 2), "one after another");
    let mut cold = node(false);
    cold.start_cold(0);
    assert_eq!(cold.arrive(0, 1, 9, true), (Admission::ServedAt(1_000_000), 1));
    assert_eq!((cold.finish(1_000_000, 1), cold.finish(1_000_000, 1)), (Some(1), None));
}

/// N is 36 at the start, so the bound is 36 + 12 + 2.
#[test]
fn the_bound_is_n_and_twice_its_root_and_two() {
    assert!((SLOW.allowed(0) - 36.0).abs() < 1e-9 && (SLOW.bound(0) - 50.0).abs() < 1e-9);
    assert!((SLOW.allowed(SLOW.time) - 144.0).abs() < 1e-9);
    let mut cold = node(true);
    cold.start_cold(0);
    for request in 0..50 {
        cold.arrive(0, request, 2, true);
    }
    assert_eq!((cold.load().passed, cold.health()), (0, Health::Up));
    cold.arrive(1, 50, 2, true);
    let load = cold.load();
    assert_eq!((load.passed, load.passed_told, load.falls, cold.health()), (1, 1, 1, Health::Closed));
    assert!((load.worst.0 - 51.0 / 50.0).abs() < 1e-3, "{load:?}");
    assert_eq!(cold.arrive(2, 51, 2, true).0, Admission::NotConnected);
}

#[test]
fn what_left_the_window_counts_no_more_and_what_nobody_knew_is_told_apart() {
    let mut cold = node(false);
    cold.start_cold(0);
    for request in 0..40 {
        cold.arrive(0, request, 2, false);
    }
    for request in 40..80 {
        cold.arrive(2_000_000, request, 2, true);
    }
    let load = cold.load();
    assert!(load.worst.0 < 1.0 && load.passed == 0, "{load:?}");
    let mut unknown = node(false);
    unknown.start_cold(0);
    for request in 0..60 {
        unknown.arrive(0, request, 2, request % 2 == 0);
    }
    assert_eq!((unknown.load().passed, unknown.load().passed_told), (10, 0));
}

#[test]
fn a_full_queue_turns_away_and_a_start_loses_what_was_under_way() {
    let mut node = node(false);
    for request in 0..100 {
        node.arrive(0, request, 1, true);
    }
    assert_eq!(node.arrive(0, 100, 1, true).0, Admission::Full);
    assert_eq!(node.start_cold(1).len(), 100);
    assert!(node.stop(Health::Silent).is_empty());
    assert_eq!(node.arrive(2, 1, 1, true).0, Admission::Silent);
}
