//! Recorded days: every action of today's code against those that were recorded, so that a change of how
//! decisions are computed is seen to change none. Each line of `replay/pinned.txt` is a digest of the actions
//! of a thousand events (as numbers), or the count of a day's actions by kind. They were first written by the
//! code that walked all nodes and volumes (02ae8e1), and anew when the law of slow start changed.
//!
//! Requests that any node may serve draw from a stream of chance of their own: days with them are held
//! against the recorded counts in `replay/free.txt`.
#![cfg(test)]

mod common;
#[path = "common/simulated_day.rs"]
mod day;

use common::{deployment, settings, GRANITE_SHELF, PREDIO_NORTE};
use day::{Day, Plan};
use fnv::FnvHasher;
use heathward_policy::*;
use std::collections::BTreeMap;
use std::fmt::Write;
use std::hash::Hasher;

/// Events of one day, and of one digest.
const EVENTS: usize = 30_000;
const BLOCK: usize = 1_000;
/// Seeds and events of a day with requests for any node.
const FREE_SEEDS: usize = 8;
const FREE_EVENTS: usize = 4_000;

/// The plain settings with every rule switched on.
fn every_rule() -> Settings {
    let mut set = settings();
    set.schedulers = 4;
    set.classes[2].ordered_per_key = true;
    set.key_cool_down = 100_000;
    set.retry_budget = Some(RetryBudget { free_retries: 2.0, retries_per_request: 0.1, window: 3_000_000 });
    set.plans.push(PlanSettings { reserved_rate: 0.0, rate_limit: 4.0, burst: 20.0, ..set.plans[0].clone() });
    set.endpoint_list_mode = EndpointListMode::Polled { max_interval: 8_000_000 };
    set
}

fn days() -> Vec<Plan> {
    let plan = |name, settings, seed, nodes, rate, cold| {
        let (events, free) = (EVENTS, 0.0);
        Plan { name, settings, seed, nodes, events, rate, free, cold }
    };
    vec![
        plan("plain", settings(), 1, 60, 100.0, 0.0),
        plan("every-rule", every_rule(), 2, 120, 80.0, 0.3),
        plan("predio-norte", deployment(PREDIO_NORTE), 3, 200, 90.0, 0.1),
        plan("predio-norte-cold", deployment(PREDIO_NORTE), 4, 100, 400.0, 1.0),
        plan("granite-shelf", deployment(GRANITE_SHELF), 5, 150, 70.0, 0.1),
        plan("granite-shelf-cold", deployment(GRANITE_SHELF), 6, 60, 500.0, 1.0),
        plan("thirty-hosts", Settings { schedulers: 30, ..deployment(PREDIO_NORTE) }, 7, 100, 200.0, 0.5),
    ]
}

fn sort(action: &Action) -> &'static str {
    match action {
        Action::Send { .. } => "send",
        Action::Shed { .. } => "refuse",
        Action::Fail { .. } => "fail",
        Action::SetTimer { .. } => "wake",
        Action::Subscribe => "subscribe",
        Action::Log { .. } => "log",
    }
}

/// An action as numbers: its kind, then its ids and times. No name of a type, variant or field is part of it.
fn numbers(action: &Action) -> [u64; 4] {
    let optional = |value: Option<u64>| value.map_or(0, |value| value + 1);
    match action {
        Action::Send { request, node, timeout: give_up } => [0, request.0, node.0.into(), optional(*give_up)],
        Action::Shed { request, retry_after } => [1, request.0, optional(*retry_after), 0],
        Action::Fail { request } => [2, request.0, 0, 0],
        Action::SetTimer { token, at } => [3, *token, *at, 0],
        Action::Subscribe => [4, 0, 0, 0],
        Action::Log { node, .. } => [5, optional(node.map(|node| node.0.into())), 0, 0],
    }
}

fn digest(hasher: &mut FnvHasher, event: usize, now: Micros, action: &Action) {
    let numbers = [event as u64, now].into_iter().chain(numbers(action));
    numbers.for_each(|number| hasher.write(&number.to_le_bytes()));
}

fn record(plan: Plan) -> String {
    let (name, mut text) = (plan.name, String::new());
    let mut digests = (0..EVENTS / BLOCK).map(|_| FnvHasher::default()).collect::<Vec<_>>();
    let mut counts: BTreeMap<&str, u64> = BTreeMap::new();
    Day::new(plan).play(|number, now, action| {
        digest(&mut digests[number / BLOCK], number, now, action);
        *counts.entry(sort(action)).or_default() += 1;
    });
    for (block, digest) in digests.iter().enumerate() {
        writeln!(text, "{name} {block} {:016x}", digest.finish()).expect("a string takes all");
    }
    for (sort, count) in counts {
        writeln!(text, "{name} {sort} {count}").expect("a string takes all");
    }
    text
}

/// Sends, refusals and failures of days on which some requests may go anywhere: one count for each seed.
fn free_counts() -> String {
    let mut text = String::new();
    for (name, set, nodes, rate, cold) in [
        ("plain", settings(), 60, 150.0, 0.1),
        ("every-rule", every_rule(), 120, 100.0, 0.3),
        ("predio-norte", deployment(PREDIO_NORTE), 100, 400.0, 0.1),
        ("predio-norte-cold", deployment(PREDIO_NORTE), 150, 200.0, 1.0),
        ("granite-shelf", deployment(GRANITE_SHELF), 30, 300.0, 0.2),
    ] {
        let mut counts: BTreeMap<&str, [u64; FREE_SEEDS]> = BTreeMap::new();
        for seed in 0..FREE_SEEDS {
            let (settings, events, free) = (set.clone(), FREE_EVENTS, 0.4);
            let plan = Plan { name, settings, seed: 11 + seed as u64, nodes, events, rate, free, cold };
            Day::new(plan).play(|_, _, action| counts.entry(sort(action)).or_default()[seed] += 1);
        }
        for (sort, counts) in counts.iter().filter(|(sort, _)| ["send", "refuse", "fail"].contains(sort)) {
            let counts = counts.map(|count| count.to_string()).join(" ");
            writeln!(text, "{name}/{sort} {counts}").expect("a string takes all");
        }
    }
    text
}

/// Reads lines of counts by name.
fn parse(text: &str) -> BTreeMap<&str, Vec<f64>> {
    text.lines()
        .filter_map(|line| line.split_once(' '))
        .map(|(name, counts)| (name, counts.split(' ').map(|c| c.parse().expect("a count")).collect()))
        .collect()
}

/// The same days: the mean difference of the counts lies within four standard errors of none.
#[test]
fn days_with_requests_for_any_node_keep_their_counts() {
    let recorded = include_str!("replay/free.txt");
    let played = free_counts();
    let path = concat!(env!("CARGO_TARGET_TMPDIR"), "/free.txt");
    std::fs::write(path, &played).expect("the target directory takes files");
    let (was, is) = (parse(recorded), parse(&played));
    assert!(!was.is_empty() && was.keys().eq(is.keys()), "other sorts of actions; see {path}");
    for (name, was) in &was {
        let differences: Vec<f64> = was.iter().zip(&is[name]).map(|(was, is)| is - was).collect();
        let seeds = differences.len() as f64;
        let mean = differences.iter().sum::<f64>() / seeds;
        let variance = differences.iter().map(|d| (d - mean).powi(2)).sum::<f64>() / (seeds - 1.0);
        let error = (variance / seeds).sqrt();
        println!(
            "{name}: {mean:+.1}, standard error {error:.1}, recorded {}",
            was.iter().sum::<f64>() / seeds
        );
        assert!(mean.abs() <= 4.0 * error.max(1.0), "{name}: {mean:+.1}, {error:.1}; see {path}");
    }
}

#[test]
fn recorded_days_give_the_same_actions() {
    let recorded = include_str!("replay/pinned.txt");
    let played: String = days().into_iter().map(record).collect();
    let path = concat!(env!("CARGO_TARGET_TMPDIR"), "/pinned.txt");
    std::fs::write(path, &played).expect("the target directory takes files");
    for (line, (was, is)) in recorded.lines().zip(played.lines()).enumerate() {
        assert_eq!(was, is, "line {} of replay/pinned.txt; what was played is in {path}", line + 1);
    }
    assert_eq!(recorded.lines().count(), played.lines().count());
}
