//! Bodies and replies of any size, drawn from fixed random seeds, within the limit on memory.
//! `make soak-memory` runs more seeds.
#![cfg(test)]

use std::path::Path;

use heathward_fault_injection::memory_soak::client::Ending;
use heathward_fault_injection::memory_soak::{play, Plan};

/// Seeds that are played one after the other, so that they do not slow each other down.
const SEEDS: std::ops::RangeInclusive<u64> = 1..=6;

/// Guards against a process that is killed for its memory, and against requests that are lost, or answered
/// with other data, because memory is short.
#[tokio::test]
async fn the_limit_on_memory_holds_and_no_request_is_lost() {
    for seed in SEEDS {
        let program = Path::new(env!("CARGO_BIN_EXE_heathward"));
        let outcome = play(Plan::draw(seed), program, &std::env::temp_dir()).await.unwrap();
        println!("{outcome}\n{:?}", outcome.metrics);
        assert!(outcome.breaches().is_empty(), "seed {seed}: {:#?}", outcome.breaches());
        assert!(outcome.count(|ending| ending == Ending::Served) > 0, "seed {seed}: nothing was served");
    }
}
