//! Fleets of real processes in fault scenarios, checked only against the logs of the stand-ins.
#![cfg(test)]

use std::path::{Path, PathBuf};

use heathward_fault_injection::fleet::{play, Outcome};
use heathward_fault_injection::scenario::Scenario;
use rstest::rstest;

fn scenario(name: &str) -> Scenario {
    let path = concat!(env!("CARGO_MANIFEST_DIR"), "/../../testing/fault-injection/scenarios");
    Scenario::load(&Path::new(path).join(format!("{name}.jsonnet"))).unwrap_or_else(|error| panic!("{error}"))
}

async fn run_scenario(scenario: &Scenario) -> Outcome {
    let folder = PathBuf::from(env!("CARGO_TARGET_TMPDIR"));
    let program = Path::new(env!("CARGO_BIN_EXE_heathward"));
    play(scenario, program, &folder).await.unwrap()
}

/// At least nine in ten of the started and restarted processes are ready within this time, in microseconds.
const MAX_READY_TIME_US: u64 = 10_000_000;

/// No invariant is violated in any scenario, and of the requests made between two points in time, in seconds,
/// at least the given share is served in time despite the faults.
#[rstest]
#[case::power_cut("power-cut", 3.0, 8.0, 0.9)]
#[case::killed("killed", 6.0, 9.0, 0.95)]
#[case::rolling("rolling", 10.5, 14.0, 0.95)]
// Guards against a fleet that stops as a whole while discovery is down.
#[case::lists_down("lists-down", 6.0, 12.0, 0.9)]
#[case::broken_watches("broken-watches", 0.5, 11.0, 0.6)]
#[case::stopped("stopped", 0.5, 12.0, 0.6)]
#[case::partition("partition", 10.2, 12.5, 0.965)]
#[case::shared_service("shared-service", 4.0, 9.0, 0.95)]
#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn invariants_hold_through_fault_scenarios(
    #[case] name: &str,
    #[case] from_s: f64,
    #[case] to_s: f64,
    #[case] min_served_share: f64,
) {
    let scenario = scenario(name);
    let outcome = run_scenario(&scenario).await;
    let (served, requests) = outcome.served(from_s, to_s);
    let discovery_calls = outcome.calls.0;
    println!(
        "{name}, seed {}: {served} of {requests} served from {from_s} to {to_s} s, {discovery_calls:?}",
        scenario.seed
    );
    for breach in outcome.breaches.iter().take(10) {
        println!("{breach}");
    }
    assert!(outcome.breaches.is_empty(), "{} rules broken", outcome.breaches.len());
    let in_time = outcome.ready.iter().filter(|ready| **ready <= MAX_READY_TIME_US).count();
    println!("{in_time} of {} starts ready in time", outcome.ready.len());
    assert!(in_time * 10 >= outcome.ready.len() * 9, "ready after {:?} us", outcome.ready);
    assert!(requests > 50 && served as f64 >= min_served_share * requests as f64, "{served} of {requests}");
    assert!(outcome.ready.len() >= scenario.hosts as usize, "some hosts were never ready");
}
