//! Sending and queueing of requests, and their answers in time.
#![cfg(test)]

mod common;
use common::*;
use heathward_policy::*;
use rstest::rstest;

#[test]
fn a_request_is_sent_at_once_while_the_node_has_capacity() {
    let mut harness = Harness::with_nodes(settings(), &[1]);
    assert_eq!(harness.submit(sample_request(1)), vec![NodeId(1)]);
}

#[test]
fn a_request_for_a_shard_without_a_node_is_answered_at_once() {
    let mut harness = Harness::with_nodes(settings(), &[1]);
    harness.submit(Request { shard: Some(ShardId(9)), ..sample_request(1) });
    assert_eq!(harness.answer_count(1), 1);
}

#[test]
fn queued_requests_are_sent_by_due_time_and_ties_by_id() {
    let mut settings = settings();
    settings.classes[1].latency_objective = 2_000_000;
    let mut harness = Harness::with_nodes(settings, &[1]);
    // Four mean requests of two units fill the minimum of the budget.
    for id in 1..=4 {
        assert_eq!(harness.submit(sample_request(id)).len(), 1);
    }
    assert!(harness.submit(Request { class: ClassId(1), ..sample_request(5) }).is_empty());
    assert!(harness.submit(sample_request(7)).is_empty());
    assert!(harness.submit(sample_request(6)).is_empty());
    let mut order = Vec::new();
    for id in 1..=3 {
        harness.end_attempt(id, 0, 1, AttemptEnd::Served, true, 10_000);
        order.extend(harness.last_sent_requests());
    }
    assert_eq!(order, vec![6, 7, 5]);
}

#[test]
fn every_request_is_answered_before_its_deadline() {
    let mut harness = Harness::with_nodes(settings(), &[1]);
    for id in 1..=12 {
        harness.submit(sample_request(id));
    }
    for _ in 0..1_000 {
        harness.advance(2_000);
    }
    for id in 1..=12 {
        assert_eq!(harness.answer_count(id), 1, "request {id}");
    }
}

#[test]
fn a_stream_that_has_started_has_no_deadline() {
    let mut harness = Harness::with_nodes(settings(), &[1]);
    harness.submit(sample_request(1));
    harness.handle(Event::StreamStarted { request: RequestId(1) });
    harness.advance(60_000_000);
    assert_eq!(harness.answer_count(1), 0);
}

/// Incident ie1244d: single attempts hung on nodes that served all others in time.
#[test]
fn a_stuck_attempt_takes_no_capacity_from_others() {
    let mut harness = Harness::with_nodes(settings(), &[1]);
    for id in 1..=4 {
        harness.submit(sample_request(id));
    }
    harness.advance(10_000);
    harness.end_attempt(4, 0, 1, AttemptEnd::Served, true, 10_000);
    harness.advance(1_000);
    harness.submit(sample_request(5));
    harness.end_attempt(5, 0, 1, AttemptEnd::Served, true, 5_000);
    // Three of the four requests that the budget allows are attempts sent before an answered one.
    harness.advance(700_000);
    let sent: usize = (6..=9).map(|id| harness.submit(sample_request(id)).len()).sum();
    assert_eq!(sent, 4);
}

/// Guards against a request with a short time budget that is queued until that is nearly over and then shed
/// without an attempt: if it is shed by half of its time budget, its client can still try another scheduler.
/// A request with a longer time budget is queued until its latency objective.
#[test]
fn a_request_that_was_never_sent_is_shed_by_half_of_its_time_budget() {
    for (time_budget, answered_by) in [(200_000, 100_000), (1_000_000, 300_000)] {
        let settings = Settings { schedulers: 100, slow_start_units: 1.0, ..settings() };
        let mut harness = Harness::new(settings);
        let starting = EndpointEntry { started_at: Some(harness.now), ..endpoint(1) };
        harness.update_endpoints(EndpointUpdateKind::Cached, vec![starting]);
        let request = Request { units: 8, time_budget, ..sample_request(1) };
        assert!(harness.submit(request).is_empty(), "no token is left for it");
        harness.advance(answered_by / 2);
        assert_eq!(harness.shed_count(1), 0, "it may still be served");
        harness.advance(answered_by / 2);
        assert_eq!(harness.shed_count(1), 1, "time budget {time_budget}");
    }
}

/// Returns the time for which a request is queued at a busy node before it is shed, in microseconds.
fn queueing_time(client_retries: ClientRetries, time_budget: Micros, is_client_retry: bool) -> Micros {
    let mut harness = Harness::with_nodes(Settings { client_retries, ..settings() }, &[1]);
    // Four mean requests of two units fill the minimum of the budget.
    for id in 1..=4 {
        assert_eq!(harness.submit(sample_request(id)).len(), 1);
    }
    let submitted_at = harness.now;
    harness.submit(Request { time_budget, is_client_retry, ..sample_request(5) });
    harness.advance(1_000_000);
    let shed = |timed: &&TimedAction| matches!(timed.action, Action::Shed { request: RequestId(5), .. });
    harness.actions.iter().find(shed).expect("the request is shed").at - submitted_at
}

/// Guards against first requests that are shed before their latency objective, although there will be
/// capacity, because their clients wait for less than their class's deadline. That is no sign of a retry
/// where clients mark retries.
#[test]
fn a_first_request_has_its_latency_objective_for_any_time_budget() {
    let with_full_deadline = queueing_time(ClientRetries::Marked, 1_000_000, false);
    for time_budget in [600_000, 800_000, 900_000] {
        assert_eq!(queueing_time(ClientRetries::Marked, time_budget, false), with_full_deadline);
    }
    // A retry is due when its first request was, 300 ms after that request arrived.
    assert!(queueing_time(ClientRetries::Marked, 900_000, true) < 200_000);
    assert!(queueing_time(ClientRetries::Unmarked, 900_000, false) < 200_000);
}

/// Guards against first requests that get a lower priority, and are queued although the node is idle, because
/// their time budget is shorter than the deadline of their class by more than its latency objective.
#[rstest]
#[case::marked(ClientRetries::Marked, false, 4)]
#[case::marked_retry(ClientRetries::Marked, true, 1)]
#[case::unmarked(ClientRetries::Unmarked, false, 1)]
fn a_first_request_has_its_priority_for_any_time_budget(
    #[case] client_retries: ClientRetries,
    #[case] is_client_retry: bool,
    #[case] sent: usize,
) {
    let mut harness = Harness::with_nodes(Settings { client_retries, ..settings() }, &[1]);
    let requests = (1..=4).map(|id| Request { time_budget: 600_000, is_client_retry, ..sample_request(id) });
    let sent_at_once: usize = requests.map(|request| harness.submit(request).len()).sum();
    assert_eq!(sent_at_once, sent);
}
