//! The period budget of a node, and the admission of volumes by their history there.
#![cfg(test)]

mod common;
use common::*;
use heathward_policy::*;
use rstest::rstest;

/// Length of a budget period with the tests' settings, in microseconds.
const PERIOD: Micros = 150_000;

/// Submits sixty requests, more than are sent at once. Returns the number in flight.
fn fill(harness: &mut Harness, first_id: u64) -> usize {
    for id in first_id..first_id + 60 {
        harness.submit(sample_request(id));
    }
    harness.in_flight.len()
}

/// Serves all attempts in flight, including those of queued requests that follow, until none is left.
fn serve_until_idle(harness: &mut Harness) {
    while !harness.in_flight.is_empty() {
        harness.serve_all();
    }
}

#[test]
fn the_budget_starts_at_its_minimum_grows_when_filled_in_time_and_stops_at_its_maximum() {
    let mut harness = Harness::with_nodes(settings(), &[1]);
    let mut in_flight_counts = vec![fill(&mut harness, 1)];
    for round in 1..60 {
        serve_until_idle(&mut harness);
        harness.advance(PERIOD);
        in_flight_counts.push(fill(&mut harness, 1 + 100 * round));
    }
    assert_eq!(in_flight_counts[0], 4, "four mean requests");
    assert_eq!(in_flight_counts.iter().max(), Some(&32), "{in_flight_counts:?}");
}

#[test]
fn a_filled_period_with_timely_answers_adds_one_mean_request() {
    let mut harness = Harness::with_nodes(settings(), &[1]);
    for id in 1..=4 {
        assert_eq!(harness.submit(sample_request(id)).len(), 1);
    }
    harness.advance(50_000);
    serve_until_idle(&mut harness);
    harness.advance(PERIOD);
    assert_eq!(fill(&mut harness, 10), 5);
}

#[test]
fn the_budget_does_not_shrink_while_the_scheduler_sends_little() {
    let mut harness = Harness::with_nodes(settings(), &[1]);
    let mut before = 0;
    for round in 0..8 {
        before = fill(&mut harness, 1 + 100 * round);
        serve_until_idle(&mut harness);
        harness.advance(PERIOD);
    }
    harness.advance(20_000_000);
    let after = fill(&mut harness, 10_000);
    assert!(after >= before && before > 4, "{before} then {after}");
}

#[test]
fn a_volume_is_admitted_at_a_node_without_history() {
    let mut harness = Harness::with_nodes(settings(), &[1]);
    for id in 1..=4 {
        assert_eq!(harness.submit(Request { volume: VolumeId(id), ..sample_request(id) }).len(), 1);
    }
}

#[rstest]
#[case::marked(ClientRetries::Marked, true)]
#[case::unmarked(ClientRetries::Unmarked, false)]
fn a_client_retry_past_its_latency_objective_yields_to_first_requests(
    #[case] client_retries: ClientRetries,
    #[case] is_client_retry: bool,
) {
    let mut harness = Harness::with_nodes(Settings { client_retries, ..settings() }, &[1]);
    harness.submit(sample_request(1));
    harness.advance(10_000);
    harness.end_attempt(1, 0, 1, AttemptEnd::Served, true, 200_000);
    // There is a queueing delay: a first request within the reserved rate is sent, but a late retry is shed
    // at once.
    harness.submit(Request { time_budget: 500_000, is_client_retry, ..sample_request(2) });
    assert_eq!(harness.shed_count(2), 1);
    assert_eq!(harness.submit(sample_request(3)).len(), 1);
}

#[test]
fn a_new_volume_beyond_its_reserved_rate_is_shed_after_a_filled_and_late_period() {
    let mut settings = settings();
    settings.plans.push(plan(1e3, 0.0));
    let unreserved = |id, volume| {
        let volume = VolumeId(volume);
        Request { plan: PlanId(1), volume, ..sample_request(id) }
    };
    let mut harness = Harness::with_nodes(settings, &[1]);
    assert_eq!(harness.submit(Request { units: 8, ..unreserved(1, 1) }).len(), 1, "no history yet");
    harness.advance(301_000);
    assert!(harness.submit(sample_request(2)).is_empty(), "the budget is filled");
    harness.end_attempt(1, 0, 1, AttemptEnd::Served, true, 301_000);
    assert_eq!(harness.last_sent_requests(), vec![2]);
    harness.end_attempt(2, 0, 1, AttemptEnd::Served, true, 1_000);
    harness.advance(PERIOD);
    assert!(harness.submit(unreserved(3, 2)).is_empty());
    assert_eq!(harness.shed_count(3), 1, "one session filled the node: no capacity for a second");
    assert_eq!(harness.submit(unreserved(4, 1)).len(), 1, "an open session continues");
    harness.serve_all();
    let reserved = Request { volume: VolumeId(3), ..sample_request(5) };
    assert_eq!(harness.submit(reserved).len(), 1, "within its reserved rate");
    harness.serve_all();
    harness.advance(300_000);
    assert_eq!(harness.submit(unreserved(6, 4)).len(), 1, "the node is no longer filled and late");
}
