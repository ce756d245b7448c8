//! Runs 20 and 30 real processes with nodes in slow start, under more load than these nodes can serve. Within
//! 0.5 s all processes together may send such a node at most N + 2 x square root of N + 2 requests of mean
//! work, where N is four times what the node can serve in that time. This is a test program of its own, so
//! that its load does not disturb the other scenarios.
#![cfg(test)]

use std::path::{Path, PathBuf};

use heathward_fault_injection::audit::{most_cold, Entry};
use heathward_fault_injection::fleet::{play, Outcome, RULES};
use heathward_fault_injection::scenario::Scenario;
use rstest::rstest;

/// The request rate of all hosts together, whatever their number, in requests per second.
const TOTAL_REQUEST_RATE: f64 = 800.0;

/// The largest load that this test allows a node in slow start, as a share of N, the limit without the slack
/// of 2 x square root of N + 2. The fleet aims at half of N. If each process takes more than its share, only
/// the waits at the node limit the sum, just below N.
const MAX_LOAD_SHARE: f64 = 0.7;

async fn run_scenario(scenario: &Scenario) -> Outcome {
    let folder = PathBuf::from(env!("CARGO_TARGET_TMPDIR"));
    play(scenario, Path::new(env!("CARGO_BIN_EXE_heathward")), &folder).await.unwrap()
}

#[rstest]
#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn attempts_of_many_processes_stay_within_the_limit_of_a_node_in_slow_start(
    #[values(20, 30)] hosts: u32,
) {
    let path = concat!(env!("CARGO_MANIFEST_DIR"), "/../../testing/fault-injection/scenarios/throng.jsonnet");
    let mut scenario = Scenario::load(Path::new(path)).unwrap_or_else(|error| panic!("{error}"));
    (scenario.hosts, scenario.rate) = (hosts, TOTAL_REQUEST_RATE / f64::from(hosts));
    let outcome = run_scenario(&scenario).await;
    let load_share = most_cold(&outcome.log, &RULES);
    let (served, requests) = outcome.served(0.5, scenario.seconds);
    println!("{hosts} hosts: {load_share:.2} of N at most, {served} of {requests} served");
    assert!(outcome.breaches.is_empty(), "{:?}", outcome.breaches);
    assert!(load_share <= MAX_LOAD_SHARE, "{load_share} of N");
    // The test proves nothing if the node stays warm or the fleet sends few requests.
    assert!(outcome.log.iter().any(|entry| matches!(entry, Entry::NodeStarted { .. })));
    assert!(
        requests as f64 > 0.7 * TOTAL_REQUEST_RATE * (scenario.seconds - 0.5),
        "only {requests} requests were made"
    );
    assert!(served * 10 > requests, "{served} of {requests} served");
}
