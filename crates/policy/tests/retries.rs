//! Retries after an attempt that did not serve its request.
#![cfg(test)]

mod common;
use common::*;
use heathward_policy::*;

/// Returns settings with at most `free_retries` retries in any 5 s.
fn settings_with_retries(free_retries: f64) -> Settings {
    let budget = RetryBudget { free_retries, retries_per_request: 0.0, window: 5_000_000 };
    Settings { retry_budget: Some(budget), ..settings() }
}

#[test]
fn a_request_that_is_not_idempotent_is_retried_only_if_it_was_not_executed() {
    for (end, is_retried) in [
        (AttemptEnd::Rejected, true),
        (AttemptEnd::Error, false),
        (AttemptEnd::TimedOut, false),
        (AttemptEnd::Reset, false),
    ] {
        let mut settings = settings();
        settings.classes[1].latency_objective = 900_000;
        let mut harness = Harness::with_nodes(settings, &[1, 2]);
        let first = harness.submit(Request { class: ClassId(1), shard: None, ..sample_request(1) })[0];
        harness.end_attempt(1, 0, first.0, end, false, 10_000);
        let mut sent = harness.last_sent_requests();
        for _ in 0..40 {
            harness.advance(20_000);
            sent.extend(harness.last_sent_requests());
        }
        assert_eq!(!sent.is_empty(), is_retried, "{end:?}");
        assert_eq!(harness.shed_count(1), 0, "{end:?}: may have been executed, so it can't be shed");
        if !is_retried {
            assert_eq!(harness.failure_count(1), 1, "{end:?}");
        }
    }
}

#[test]
fn a_request_with_a_key_is_retried_at_its_shard_within_the_deduplication_window() {
    for (window, is_retried) in [(500_000, true), (5_000, false)] {
        let mut settings = settings();
        settings.classes[2].deduplication_window = window;
        let mut harness = Harness::with_nodes(settings, &[1, 2, 3]);
        let first = harness.submit(Request { class: ClassId(2), shard: None, ..sample_request(1) });
        harness.advance(10_000);
        harness.end_attempt(1, 0, first[0].0, AttemptEnd::Error, false, 10_000);
        let nodes: Vec<NodeId> = harness.last_sent_nodes();
        assert_eq!(nodes, if is_retried { first } else { vec![] });
        assert_eq!(harness.failure_count(1), usize::from(!is_retried));
    }
}

#[test]
fn the_deduplication_window_ends_at_its_last_microsecond() {
    for (latency, retries) in [(9_999, 1), (10_000, 0)] {
        let mut settings = settings();
        settings.classes[2].deduplication_window = 10_000;
        let mut harness = Harness::with_nodes(settings, &[1]);
        harness.submit(Request { class: ClassId(2), ..sample_request(1) });
        harness.advance(latency);
        harness.end_attempt(1, 0, 1, AttemptEnd::Error, false, latency);
        assert_eq!(harness.last_sent_requests().len(), retries, "after {latency} us");
    }
}

#[test]
fn a_new_object_that_was_not_stored_is_sent_to_another_node() {
    let mut harness = Harness::with_nodes(settings(), &[1, 2]);
    let first = harness.submit(Request { class: ClassId(2), shard: None, ..sample_request(1) });
    harness.advance(1_000);
    harness.end_attempt(1, 0, first[0].0, AttemptEnd::NotConnected, false, 1_000);
    let second = harness.last_sent_nodes();
    assert_eq!(second.len(), 1);
    assert_ne!(second, first);
}

#[test]
fn retries_stay_within_their_budget() {
    let settings = Settings { max_attempts: 9, ..settings_with_retries(1.0) };
    let mut harness = Harness::with_nodes(settings, &[1]);
    harness.submit(sample_request(1));
    harness.end_attempt(1, 0, 1, AttemptEnd::Error, false, 1_000);
    assert_eq!(harness.last_sent_requests(), vec![1], "one retry is free");
    harness.end_attempt(1, 1, 1, AttemptEnd::Error, false, 1_000);
    assert!(harness.last_sent_requests().is_empty());
    assert_eq!(harness.answer_count(1), 1);
    harness.advance(5_000_001);
    harness.submit(sample_request(2));
    harness.end_attempt(2, 0, 1, AttemptEnd::Error, false, 1_000);
    assert_eq!(harness.last_sent_requests(), vec![2], "the window has passed");
}

#[test]
fn a_retry_leaves_the_budget_window_only_after_its_full_length() {
    for (elapsed, retries) in [(4_999_999, 0), (5_000_001, 1)] {
        let mut harness = Harness::with_nodes(settings_with_retries(1.0), &[1]);
        harness.submit(sample_request(1));
        harness.end_attempt(1, 0, 1, AttemptEnd::Error, false, 1_000);
        assert_eq!(harness.last_sent_requests().len(), 1);
        harness.end_attempt(1, 1, 1, AttemptEnd::Served, true, 1_000);
        harness.advance(elapsed);
        harness.submit(sample_request(2));
        harness.end_attempt(2, 0, 1, AttemptEnd::Error, false, 1_000);
        assert_eq!(harness.last_sent_requests().len(), retries, "after {elapsed} us");
    }
}

#[test]
fn requests_with_one_key_run_in_turn_and_pause_after_an_unknown_result() {
    let mut settings = settings();
    settings.classes[2].ordered_per_key = true;
    settings.key_cool_down = 100_000;
    let mut harness = Harness::with_nodes(settings, &[1]);
    let with_key = |id| Request { class: ClassId(2), key: Some(KeyId(5)), ..sample_request(id) };
    assert_eq!(harness.submit(with_key(1)).len(), 1);
    assert!(harness.submit(with_key(2)).is_empty());
    harness.end_attempt(1, 0, 1, AttemptEnd::TimedOut, false, 5_000);
    assert_eq!(harness.failure_count(1), 1);
    harness.advance(99_999);
    assert!(harness.last_sent_requests().is_empty(), "the key is still paused");
    harness.advance(1);
    assert_eq!(harness.last_sent_requests(), vec![2]);
    assert!(harness.submit(with_key(3)).is_empty());
    harness.end_attempt(2, 0, 1, AttemptEnd::Served, true, 5_000);
    assert_eq!(harness.last_sent_requests(), vec![3]);
}
