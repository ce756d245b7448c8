//! Plays shutdowns and restarts drawn from seeds, or one that was written out, and prints a table.

use std::path::Path;

use heathward_fault_injection::shutdown_soak::{play, Outcome, Plan};
use tokio::task::JoinSet;

use crate::program;

/// Plays at a time.
const PARALLEL: usize = 4;
/// What the table has by seed.
const HEADER: &str = "seed  deadline  fault    crossing  signals  stalls  crowd  \
                      served refused failed unread  exit   kill  ready";

/// Plays what the words say: `FIRST COUNT`, seeds; or `FILE`, a plan. Returns whether no rule was broken.
///
/// # Errors
/// What is wrong with the words or the file, or the system's.
pub fn run(words: &[String]) -> Result<bool, Box<dyn std::error::Error>> {
    let plans = match words {
        [file] => vec![serde_json::from_str(&std::fs::read_to_string(file)?)?],
        [first, count] => {
            let (first, count): (u64, u64) = (first.parse()?, count.parse()?);
            (first..first + count).map(Plan::draw).collect::<Vec<_>>()
        }
        _ => return Err("soak takes FIRST COUNT or FILE".into()),
    };
    let runtime = tokio::runtime::Builder::new_multi_thread().enable_all().build()?;
    let outcomes = runtime.block_on(play_all(plans))?;
    println!("{HEADER}");
    outcomes.iter().for_each(print);
    let broken = outcomes.iter().filter(|outcome| !outcome.breaches.is_empty()).count();
    let latest = outcomes.iter().filter_map(|o| Some((o.plan.kill_ms() - o.exit_ms?, o.plan.seed))).min();
    println!("{} plays, {broken} with a broken rule", outcomes.len());
    if let Some((margin, seed)) = latest {
        println!("the latest exit was {margin} ms before SIGKILL (seed {seed})");
    }
    let killed = outcomes.iter().filter(|outcome| outcome.exit_ms.is_none()).count();
    println!("SIGKILL found {killed}");
    Ok(broken == 0)
}

async fn play_all(plans: Vec<Plan>) -> Result<Vec<Outcome>, Box<dyn std::error::Error>> {
    let folder = std::env::temp_dir();
    let (mut running, mut outcomes) = (JoinSet::new(), Vec::new());
    for plan in plans {
        if running.len() == PARALLEL {
            outcomes.extend(running.join_next().await.transpose()?.transpose()?);
        }
        let folder = folder.clone();
        running.spawn(async move { play(plan, Path::new(&program("heathward")), &folder).await });
    }
    while let Some(outcome) = running.join_next().await {
        outcomes.push(outcome??);
    }
    outcomes.sort_by_key(|outcome| outcome.plan.seed);
    Ok(outcomes)
}

fn print(outcome: &Outcome) {
    let plan = &outcome.plan;
    let stalls: Vec<String> = plan.stalls.iter().map(|s| format!("{}+{}", s.from_ms, s.length_ms)).collect();
    println!(
        "{:4} {:8}  {:8} {:9} {:7}  {}/{}  {:5}  {:6} {:7} {:6} {:6}  {:>5} {:6} {:>6}",
        plan.seed,
        plan.deadline_ms,
        format!("{:?}", plan.fault),
        format!("{:?}", plan.crossing),
        1 + plan.further_signals_ms.len(),
        plan.stall_at_signal_ms,
        stalls.join(","),
        plan.crowd_at_ms.map_or("-".to_owned(), |at| at.to_string()),
        outcome.served,
        outcome.refused,
        outcome.failed,
        outcome.unread,
        outcome.exit_ms.map_or("-".to_owned(), |at| at.to_string()),
        plan.kill_ms(),
        outcome.ready_ms.map_or("-".to_owned(), |after| after.to_string()),
    );
    for breach in &outcome.breaches {
        println!("     BROKEN {breach}");
    }
    if !outcome.breaches.is_empty() {
        println!("     plan {}", serde_json::to_string(plan).unwrap_or_default());
    }
}
