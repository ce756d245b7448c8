//! Plays the soak of the limit on memory with many seeds, and prints a line for each.

use std::path::Path;

use heathward_fault_injection::memory_soak::{play, Plan};

use crate::program;

/// Plays `FIRST COUNT`, seeds, one after the other. Returns whether no rule was broken.
///
/// # Errors
/// What is wrong with the words, or the system's.
pub fn run(words: &[String]) -> Result<bool, Box<dyn std::error::Error>> {
    let [first, count] = words else { return Err("memory-soak takes FIRST COUNT".into()) };
    let (first, count): (u64, u64) = (first.parse()?, count.parse()?);
    let runtime = tokio::runtime::Builder::new_multi_thread().enable_all().build()?;
    let mut broken = 0;
    for seed in first..first + count {
        let plan = Plan::draw(seed);
        let outcome =
            runtime.block_on(play(plan, Path::new(&program("heathward")), &std::env::temp_dir()))?;
        println!("{outcome}");
        let breaches = outcome.breaches();
        breaches.iter().for_each(|breach| println!("     BROKEN {breach}"));
        if !breaches.is_empty() {
            println!("     {}", outcome.metrics.join(" "));
            broken += 1;
        }
    }
    println!("{count} plays, {broken} with a broken rule");
    Ok(broken == 0)
}
