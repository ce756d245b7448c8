//! Slow start of a node, as enforced by one scheduler.
#![cfg(test)]

mod common;
use common::*;
use heathward_policy::*;

#[test]
fn a_node_in_slow_start_is_sent_this_schedulers_part_which_grows_with_its_age() {
    let settings = Settings { schedulers: 2, slow_start_units: 12.0, ..settings() };
    let mut harness = Harness::with_nodes(settings, &[1]);
    harness.advance(10_000_000);
    let starting = EndpointEntry { started_at: Some(harness.now), ..endpoint(1) };
    harness.update_endpoints(EndpointUpdateKind::Snapshot, vec![starting]);
    let mut id = 0;
    let mut units_in_two_windows = || {
        let mut sent = 0;
        for _ in 0..100 {
            id += 1;
            sent += harness.submit(sample_request(id)).len();
            harness.serve_all();
            harness.advance(20_000);
            sent += harness.last_sent_requests().len();
            harness.serve_all();
        }
        sent * 2
    };
    // Half of twelve units in each window, a quarter more because of the node's age, and the excess of one
    // request.
    let (first, second) = (units_in_two_windows(), units_in_two_windows());
    assert!((10..=17).contains(&first), "{first} units in the first two windows");
    assert!(second > first, "{second} units in the next two, {first} before");
    harness.advance(16_000_000);
    let mut sent = 0;
    for id in 1001..=1010 {
        sent += harness.submit(sample_request(id)).len() * 2;
        harness.serve_all();
    }
    // The first is queued behind earlier requests until the timer fires.
    assert!(sent >= 18, "full capacity after the slow start: {sent}");
}

#[test]
fn a_node_has_full_capacity_at_the_end_of_its_slow_start() {
    // Shortly before the end, the node is sent at most one request.
    for (age, sent) in [(15_999_999, 0..=1), (16_000_000, 2..=2)] {
        let settings = Settings { slow_start_units: 0.5, ..settings() };
        let mut harness = Harness::with_nodes(settings, &[1]);
        let starting = EndpointEntry { started_at: Some(harness.now), ..endpoint(1) };
        harness.update_endpoints(EndpointUpdateKind::Changes, vec![starting]);
        harness.advance(age);
        let count: usize = (1..=2).map(|id| harness.submit(sample_request(id)).len()).sum();
        assert!(sent.contains(&count), "{count} sent at {age} us");
    }
}
