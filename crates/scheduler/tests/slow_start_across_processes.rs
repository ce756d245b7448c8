//! Runs 20 and 30 real processes with nodes in slow start, under more load than these nodes can serve: all
//! processes together send at most N + 2 x root of N + 2 requests of mean work. This is a test program of its
//! own, so that its load does not disturb the other scenarios.
#![cfg(test)]

use std::path::{Path, PathBuf};

use heathward_fault_injection::audit::{most_cold, Entry};
use heathward_fault_injection::fleet::{play, Outcome, RULES};
use heathward_fault_injection::scenario::Scenario;
use rstest::rstest;

/// Requests per second of all hosts together, whatever their number.
const ASKED: f64 = 800.0;

/// The largest load allowed, as a share of N, which is the load that the rule allows a node in slow start
/// without the slack. The fleet aims at half of N. If each process takes more than its share, only the waits
/// at the node limit the sum, just below N.
const MOST: f64 = 0.7;

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
    (scenario.hosts, scenario.rate) = (hosts, ASKED / f64::from(hosts));
    let outcome = run_scenario(&scenario).await;
    let most = most_cold(&outcome.log, &RULES);
    let (served, asked) = outcome.served(0.5, scenario.seconds);
    println!("{hosts} hosts: {most:.2} of N at most, {served} of {asked} served");
    assert!(outcome.breaches.is_empty(), "{:?}", outcome.breaches);
    assert!(most <= MOST, "{most} of N");
    // The test proves nothing if the node stays warm or the fleet sends few requests.
    assert!(outcome.log.iter().any(|entry| matches!(entry, Entry::NodeStarted { .. })));
    assert!(asked as f64 > 0.7 * ASKED * (scenario.seconds - 0.5), "{asked} asked");
    assert!(served * 10 > asked, "{served} of {asked} served");
}
