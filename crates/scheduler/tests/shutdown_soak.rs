//! Shutdowns and restarts drawn from fixed random seeds, checked against what clients and nodes observed.
//! `make soak` runs more seeds.
#![cfg(test)]

use std::path::Path;

use heathward_fault_injection::shutdown_soak::{play, Plan};
use rstest::rstest;

/// Guards against requests that a shutdown loses, executes twice or leaves unanswered, and against a shutdown
/// that does not end in time.
#[rstest]
#[tokio::test]
async fn no_request_is_lost_in_a_shutdown(
    #[values(1, 2, 3, 4, 5, 6, 7, 8, 9, 10, 11, 12, 13, 14, 15, 16)] seed: u64,
) {
    let plan = Plan::draw(seed);
    println!("{}", serde_json::to_string(&plan).unwrap());
    let program = Path::new(env!("CARGO_BIN_EXE_heathward"));
    let outcome = play(plan, program, Path::new(env!("CARGO_TARGET_TMPDIR"))).await.unwrap();
    println!("{outcome:?}");
    assert!(outcome.breaches.is_empty(), "{:?}", outcome.breaches);
    assert!(outcome.served > 0, "nothing was served after SIGTERM");
}
