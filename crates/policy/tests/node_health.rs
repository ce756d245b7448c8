//! Conclusions about a node from the ends of attempts: whether it is down, unresponsive, restarted or full.
#![cfg(test)]

mod common;
use common::*;
use heathward_policy::*;

/// Latency that is longer than two units take at full speed, in microseconds: such answers do not show that a
/// node has its full capacity.
const SLOW_START_LATENCY: Micros = 60_000;

/// Returns settings in which no request is within a reserved or shared quota once its volume has sent one.
fn settings_without_quota() -> Settings {
    Settings { plans: vec![plan(1e-3, 0.0)], ..settings() }
}

/// Submits requests that are each served at once with a latency. Returns the number of requests sent.
fn count_sent(harness: &mut Harness, ids: std::ops::Range<u64>, latency: Micros) -> usize {
    let is_sent = |id: &u64| {
        let is_sent = !harness.submit(sample_request(*id)).is_empty();
        harness.serve_all_after(latency);
        is_sent
    };
    ids.filter(is_sent).count()
}

/// Guards against counting the latency of a single hanging attempt as the queueing delay of the node.
#[test]
fn a_single_hanging_attempt_is_not_counted_as_queueing_delay() {
    for (hanging, shed) in [(1, 0), (2, 1)] {
        let mut harness = Harness::with_nodes(settings_without_quota(), &[1]);
        harness.advance(5_000_000);
        // Each request has a volume of its own, as the quota bucket of a volume covers its first request.
        let request = |id| Request { volume: VolumeId(id), units: 1, ..sample_request(id) };
        harness.submit(request(1));
        harness.end_attempt(1, 0, 1, AttemptEnd::Served, true, 1_000);
        harness.advance(1_000);
        for id in 2..2 + hanging {
            harness.submit(request(id));
        }
        harness.advance(900_000);
        for id in 2..2 + hanging {
            harness.end_attempt(id, 0, 1, AttemptEnd::TimedOut, false, 900_000);
        }
        harness.submit(request(9));
        assert_eq!(harness.shed_count(9), shed, "after {hanging} hanging attempts");
    }
}

/// Guards against treating a healthy node as restarted because of a broken connection, and against the
/// opposite if the node had been silent before.
#[test]
fn a_node_that_answered_just_before_and_after_a_reset_is_not_in_slow_start() {
    for (silence, is_in_slow_start) in [(100_000, false), (3_000_000, true)] {
        let mut harness = Harness::with_nodes(settings(), &[1]);
        harness.advance(5_000_000);
        harness.submit(sample_request(1));
        harness.end_attempt(1, 0, 1, AttemptEnd::Served, true, 1_000);
        harness.advance(silence);
        harness.submit(sample_request(2));
        for attempt in 0..2 {
            harness.end_attempt(2, attempt, 1, AttemptEnd::Reset, false, 1_000);
            harness.advance(20_000);
            let retry = InFlight { request: 2, attempt: attempt + 1, node: 1 };
            assert_eq!(
                harness.in_flight,
                [retry],
                "a broken connection is not an answer: the request is retried"
            );
        }
        harness.end_attempt(2, 2, 1, AttemptEnd::Served, true, SLOW_START_LATENCY);
        // Far more requests than a node in slow start can serve.
        let sent = count_sent(&mut harness, 3..23, SLOW_START_LATENCY);
        assert_eq!(sent < 20, is_in_slow_start, "after {silence} us of silence");
        // By now the endpoint list would have reported a start, so there was none.
        harness.advance(6_100_000);
        // All are sent, except a few that are shed at random because the estimate of the delay is old.
        assert!(count_sent(&mut harness, 30..50, SLOW_START_LATENCY) >= 19);
    }
}

#[test]
fn a_node_that_answers_after_being_down_is_in_slow_start() {
    let settings = Settings { slow_start_units: 4.0, ..settings() };
    let mut harness = Harness::with_nodes(settings, &[1]);
    harness.advance(5_000_000);
    harness.submit(sample_request(1));
    harness.end_attempt(1, 0, 1, AttemptEnd::NotConnected, false, 1_000);
    harness.advance(2_000_000);
    let mut sent = 0;
    for id in 2..=9 {
        sent += harness.submit(sample_request(id)).len() * 2;
        harness.serve_all_after(SLOW_START_LATENCY);
    }
    // The node can serve two requests within the overload window: one is sent now, the next half a window
    // later.
    assert_eq!(sent, 2);
}

/// Incident ie1244d: because of single attempts that hung, schedulers treated healthy nodes as restarted.
#[test]
fn a_node_is_unresponsive_after_three_timeouts_in_a_row_and_not_after_one() {
    // In the last case, three attempts time out together in a pause shorter than 7 periods, which proves
    // nothing.
    for (timed_out, timeout, has_full_capacity) in
        [(1, 1_300_000, true), (3, 1_300_000, false), (3, 600_000, true)]
    {
        let settings = Settings { slow_start_units: 4.0, ..settings() };
        let mut harness = Harness::with_nodes(settings, &[1]);
        harness.advance(1_000);
        for id in 1..=timed_out {
            harness.submit(Request { time_budget: 2_000_000, ..sample_request(id) });
        }
        harness.advance(timeout);
        for id in 1..=timed_out {
            harness.end_attempt(id, 0, 1, AttemptEnd::TimedOut, false, timeout);
        }
        harness.advance(3_000_000);
        let mut sent = 0;
        for id in 11..=40 {
            sent += harness.submit(sample_request(id)).len() * 2;
            harness.advance(20_000);
            sent += harness.last_sent_requests().len() * 2;
            harness.serve_all_after(SLOW_START_LATENCY);
        }
        // A node in slow start is sent four units in a window, the rest of the window before, and the excess
        // of one request.
        let is_above_slow_start = sent > 8;
        assert_eq!(
            is_above_slow_start, has_full_capacity,
            "{timed_out} timed out after {timeout}: {sent} units in the window"
        );
        assert!(sent > 0, "{timed_out} timed out after {timeout}: {sent} units");
    }
}

/// Incident i144574: nodes that returned errors at once appeared idle and were sent all new objects.
#[test]
fn new_objects_avoid_a_node_that_keeps_returning_errors() {
    let mut harness = Harness::with_nodes(settings(), &[1, 2]);
    for id in 1..=3 {
        harness.submit(Request { class: ClassId(1), ..sample_request(id) });
        harness.end_attempt(id, 0, 1, AttemptEnd::Error, false, 1_000);
        assert_eq!(harness.failure_count(id), 1, "may have been executed");
    }
    let new_object = |id| Request { shard: None, ..sample_request(id) };
    for id in 11..=30 {
        assert_eq!(harness.submit(new_object(id)), vec![NodeId(2)]);
        harness.serve_all();
    }
    harness.submit(sample_request(40));
    harness.serve_all();
    let nodes: Vec<NodeId> = (41..=60).flat_map(|id| harness.submit(new_object(id))).collect();
    assert!(nodes.contains(&NodeId(1)), "the node serves again: {nodes:?}");
}

/// Guards against a zone that is cut off and whose timeouts make the nodes of all other zones appear full.
#[test]
fn timeouts_at_unresponsive_nodes_do_not_raise_the_delay_of_other_nodes() {
    let mut harness = Harness::with_nodes(settings_without_quota(), &(1..=14).collect::<Vec<_>>());
    let (mut id, mut sent_to_silent) = (0, 0);
    for shard in [1, 2, 3, 4].repeat(3) {
        id += 1;
        for node in harness.submit(Request { shard: Some(ShardId(shard)), ..sample_request(id) }) {
            harness.advance(900_000);
            harness.end_attempt(id, 0, node.0, AttemptEnd::TimedOut, false, 900_000);
            sent_to_silent += 1;
        }
    }
    assert!(sent_to_silent >= 8, "{sent_to_silent} were sent to silent nodes");
    let request = |node| Request { shard: Some(ShardId(node)), ..sample_request(u64::from(node) + 20) };
    let sent = (5..=14).filter(|node| !harness.submit(request(*node)).is_empty()).count();
    assert_eq!(sent, 10, "no request is queued at these nodes");
}

/// Guards against treating nodes that were unreachable for a while, without restarting, as starting ones once
/// they answer. A node whose answers take as long as those of a starting one is treated as one.
#[test]
fn a_node_that_answers_at_full_speed_did_not_restart() {
    for (latency, sent) in [(20_000, 8..=8), (160_000, 0..=2)] {
        let mut harness = Harness::with_nodes(Settings { schedulers: 100, ..settings() }, &[1]);
        harness.advance(3_000_000);
        let mut id = 0;
        let status = |harness: &Harness| harness.scheduler.node_status(harness.now, NodeId(1));
        while !status(&harness).expect("a listed node").is_avoided() {
            id += 1;
            assert!(id < 10, "the node never counts as down");
            harness.submit(sample_request(id));
            harness.end_attempt(id, 0, 1, AttemptEnd::NotConnected, false, 250_000);
            harness.advance(100_000);
        }
        let first = (id + 1..id + 60).find(|id| {
            harness.advance(1_000_000);
            !harness.submit(sample_request(*id)).is_empty()
        });
        let first = first.expect("the node is sent a request again");
        harness.end_attempt(first, 0, 1, AttemptEnd::Served, true, latency);
        let mut count = 0;
        for id in first + 1..=first + 8 {
            let request = Request { volume: VolumeId(id), ..sample_request(id) };
            count += harness.submit(request).len();
            harness.serve_all_after(latency);
        }
        assert!(sent.contains(&count), "{count} of 8 were sent after an answer in {latency}");
    }
}
