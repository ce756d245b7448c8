//! Replays recorded days: every action of the current code is compared with the recorded ones, which shows
//! that a refactoring changes no decision. Each line of `replay/pinned.txt` is a digest of the actions (as
//! numbers) of a thousand events, or the count of a day's actions by kind.
//!
//! Requests that any node may serve use random numbers of their own, so days with such requests are compared
//! with the recorded counts in `replay/free.txt`.
#![cfg(test)]

mod common;
#[path = "common/simulated_day.rs"]
mod simulated_day;

use std::collections::BTreeMap;
use std::fmt::Write;
use std::hash::Hasher;

use common::{deployment_settings, settings, settings_with_every_rule, GRANITE_SHELF, PREDIO_NORTE};
use fnv::FnvHasher;
use heathward_policy::*;
use simulated_day::{DayPlan, SimulatedDay};

/// Number of events of a day.
const EVENTS: usize = 30_000;
/// Number of events of a digest.
const EVENTS_PER_DIGEST: usize = 1_000;
/// Number of seeds of a day with requests that any node may serve.
const UNSHARDED_SEEDS: usize = 8;
/// Number of events of such a day.
const UNSHARDED_EVENTS: usize = 4_000;
/// Fraction of the requests of such a day that any node may serve.
const UNSHARDED_FRACTION: f64 = 0.4;

/// Settings of the other tests, with clients that do not mark their retries.
fn plain() -> Settings {
    Settings { client_retries: ClientRetries::Unmarked, ..settings() }
}

/// Settings with every rule, four schedulers, and an endpoint list that is polled.
fn every_rule() -> Settings {
    Settings {
        client_retries: ClientRetries::Unmarked,
        schedulers: 4,
        endpoint_list_mode: EndpointListMode::Polled { max_interval: 8_000_000 },
        ..settings_with_every_rule()
    }
}

fn days() -> Vec<DayPlan> {
    let plan = |name, settings, seed, nodes, rate, starting_fraction| DayPlan {
        name,
        settings,
        seed,
        nodes,
        events: EVENTS,
        rate,
        unsharded_fraction: 0.0,
        starting_fraction,
        has_full_deadlines: false,
    };
    vec![
        plan("plain", plain(), 1, 60, 100.0, 0.0),
        plan("every-rule", every_rule(), 2, 120, 80.0, 0.3),
        plan("predio-norte", deployment_settings(PREDIO_NORTE), 3, 200, 90.0, 0.1),
        plan("predio-norte-cold", deployment_settings(PREDIO_NORTE), 4, 100, 400.0, 1.0),
        plan("granite-shelf", deployment_settings(GRANITE_SHELF), 5, 150, 70.0, 0.1),
        plan("granite-shelf-cold", deployment_settings(GRANITE_SHELF), 6, 60, 500.0, 1.0),
        plan(
            "thirty-hosts",
            Settings { schedulers: 30, ..deployment_settings(PREDIO_NORTE) },
            7,
            100,
            200.0,
            0.5,
        ),
    ]
}

/// Returns days with requests that any node may serve; the seed is set by the test.
fn unsharded_days() -> Vec<DayPlan> {
    let plan = |name, settings, nodes, rate, starting_fraction| DayPlan {
        name,
        settings,
        seed: 0,
        nodes,
        events: UNSHARDED_EVENTS,
        rate,
        unsharded_fraction: UNSHARDED_FRACTION,
        starting_fraction,
        has_full_deadlines: false,
    };
    vec![
        plan("plain", plain(), 60, 150.0, 0.1),
        plan("every-rule", every_rule(), 120, 100.0, 0.3),
        plan("predio-norte", deployment_settings(PREDIO_NORTE), 100, 400.0, 0.1),
        plan("predio-norte-cold", deployment_settings(PREDIO_NORTE), 150, 200.0, 1.0),
        plan("granite-shelf", deployment_settings(GRANITE_SHELF), 30, 300.0, 0.2),
    ]
}

/// Returns the name of an action's kind in the recorded files.
fn kind(action: &Action) -> &'static str {
    match action {
        Action::Send { .. } => "send",
        Action::Shed { .. } => "refuse",
        Action::Fail { .. } => "fail",
        Action::SetTimer { .. } => "wake",
        Action::Subscribe => "subscribe",
        Action::Log { .. } => "log",
    }
}

/// Returns an action as numbers: its kind, then its ids and times. They depend on no name of a type, variant
/// or field.
fn encode(action: &Action) -> [u64; 4] {
    let optional = |value: Option<u64>| value.map_or(0, |value| value + 1);
    match action {
        Action::Send { request, node, timeout } => [0, request.0, node.0.into(), optional(*timeout)],
        Action::Shed { request, retry_after } => [1, request.0, optional(*retry_after), 0],
        Action::Fail { request } => [2, request.0, 0, 0],
        Action::SetTimer { token, at } => [3, *token, *at, 0],
        Action::Subscribe => [4, 0, 0, 0],
        Action::Log { node, .. } => [5, optional(node.map(|node| node.0.into())), 0, 0],
    }
}

fn digest(hasher: &mut FnvHasher, event: usize, now: Micros, action: &Action) {
    let numbers = [event as u64, now].into_iter().chain(encode(action));
    numbers.for_each(|number| hasher.write(&number.to_le_bytes()));
}

fn record_day(plan: DayPlan) -> String {
    let (name, mut text) = (plan.name, String::new());
    let mut digests = (0..EVENTS / EVENTS_PER_DIGEST).map(|_| FnvHasher::default()).collect::<Vec<_>>();
    let mut counts: BTreeMap<&str, u64> = BTreeMap::new();
    SimulatedDay::new(plan).run(|number, now, action| {
        digest(&mut digests[number / EVENTS_PER_DIGEST], number, now, action);
        *counts.entry(kind(action)).or_default() += 1;
    });
    for (digest_index, digest) in digests.iter().enumerate() {
        writeln!(text, "{name} {digest_index} {:016x}", digest.finish())
            .expect("writing to a string succeeds");
    }
    for (kind, count) in counts {
        writeln!(text, "{name} {kind} {count}").expect("writing to a string succeeds");
    }
    text
}

/// Returns the counts of sends, shed requests and failures for each seed, as in the recorded file.
fn unsharded_counts() -> String {
    let mut text = String::new();
    for plan in unsharded_days() {
        let mut counts: BTreeMap<&str, [u64; UNSHARDED_SEEDS]> = BTreeMap::new();
        for seed in 0..UNSHARDED_SEEDS {
            let plan = DayPlan { seed: 11 + seed as u64, ..plan.clone() };
            SimulatedDay::new(plan).run(|_, _, action| counts.entry(kind(action)).or_default()[seed] += 1);
        }
        let compared = counts.iter().filter(|(kind, _)| ["send", "refuse", "fail"].contains(kind));
        for (kind, counts) in compared {
            let counts = counts.map(|count| count.to_string()).join(" ");
            writeln!(text, "{}/{kind} {counts}", plan.name).expect("writing to a string succeeds");
        }
    }
    text
}

/// Parses lines of a name and counts.
fn parse(text: &str) -> BTreeMap<&str, Vec<f64>> {
    text.lines()
        .filter_map(|line| line.split_once(' '))
        .map(|(name, counts)| {
            let counts = counts.split(' ').map(|count| count.parse().expect("a count"));
            (name, counts.collect())
        })
        .collect()
}

/// The mean difference of the counts must be within four standard errors of 0.
#[test]
fn recorded_days_with_unsharded_requests_give_the_same_mean_counts() {
    let recorded = include_str!("replay/free.txt");
    let replayed = unsharded_counts();
    let path = concat!(env!("CARGO_TARGET_TMPDIR"), "/free.txt");
    std::fs::write(path, &replayed).expect("the target directory is writable");
    let (expected, actual) = (parse(recorded), parse(&replayed));
    assert!(
        !expected.is_empty() && expected.keys().eq(actual.keys()),
        "the kinds of actions differ; see {path}"
    );
    for (name, expected) in &expected {
        let differences: Vec<f64> =
            expected.iter().zip(&actual[name]).map(|(expected, actual)| actual - expected).collect();
        let seeds = differences.len() as f64;
        let mean = differences.iter().sum::<f64>() / seeds;
        let variance =
            differences.iter().map(|difference| (difference - mean).powi(2)).sum::<f64>() / (seeds - 1.0);
        let error = (variance / seeds).sqrt();
        let recorded_mean = expected.iter().sum::<f64>() / seeds;
        println!("{name}: {mean:+.1}, standard error {error:.1}, recorded {recorded_mean}");
        assert!(
            mean.abs() <= 4.0 * error.max(1.0),
            "{name}: mean difference {mean:+.1}, standard error {error:.1}; see {path}"
        );
    }
}

#[test]
fn recorded_days_give_the_same_actions() {
    let recorded = include_str!("replay/pinned.txt");
    let replayed: String = days().into_iter().map(record_day).collect();
    let path = concat!(env!("CARGO_TARGET_TMPDIR"), "/pinned.txt");
    std::fs::write(path, &replayed).expect("the target directory is writable");
    for (line, (expected, actual)) in recorded.lines().zip(replayed.lines()).enumerate() {
        assert_eq!(
            expected,
            actual,
            "line {} of replay/pinned.txt; the replayed days are in {path}",
            line + 1
        );
    }
    assert_eq!(recorded.lines().count(), replayed.lines().count());
}

/// Guards against decisions on other requests that depend on how retries are recognized: only first requests
/// whose clients wait for less than their class's deadline may be affected.
#[test]
fn recognition_of_retries_affects_only_requests_with_less_than_their_deadline() {
    for plan in days() {
        let record_with = |client_retries, has_full_deadlines| {
            let settings = Settings { client_retries, ..plan.settings.clone() };
            record_day(DayPlan { settings, has_full_deadlines, ..plan.clone() })
        };
        assert_eq!(
            record_with(ClientRetries::Marked, true),
            record_with(ClientRetries::Unmarked, true),
            "{}",
            plan.name
        );
        assert_ne!(
            record_with(ClientRetries::Marked, false),
            record_with(ClientRetries::Unmarked, false),
            "{}",
            plan.name
        );
    }
}
