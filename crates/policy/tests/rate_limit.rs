//! A plan's rate limit, enforced by all schedulers together without communication: each has an even part of
//! rate and burst. Information on the usage through other schedulers arrives late or never (schedulers that
//! use different nodes of the volume learn nothing of each other), so no scheduler may use another one's
//! part; the cost is the capacity that a scheduler without requests leaves unused.
#![cfg(test)]

mod common;
use std::collections::BTreeMap;

use common::{plan, sample_request, settings, Harness};
use heathward_policy::*;
use rstest::rstest;

/// Rate limit of a volume in units a second.
const LIMIT: f64 = 80.0;
/// Burst of a volume in units.
const BURST: f64 = 120.0;
const SECONDS: u64 = 30;
const STEP: Micros = 20_000;
/// Time for which one scheduler receives all requests when they take turns, in microseconds.
const TURN_DURATION: Micros = 3_000_000;

/// Returns settings in which only the rate limit delays or rejects requests.
fn settings_with_limit(rate_limit: f64) -> Settings {
    let class = settings().classes[0].clone();
    Settings {
        schedulers: 5,
        plans: vec![PlanSettings { rate_limit, burst: BURST, ..plan(10.0, 5.0) }],
        classes: vec![ClassSettings {
            idempotency: Idempotency::NotIdempotent,
            priority_weight: 1.0,
            ..class
        }],
        shared_tier_weight: 1.0,
        excess_tier_weight: 1.0,
        ..settings()
    }
}

/// The distribution of a volume's requests over its schedulers.
#[derive(Clone, Copy, Debug, PartialEq)]
enum Load {
    All,
    One,
    /// A different scheduler every few seconds; some schedulers restart at each change.
    RoundRobin,
}

/// Units that were sent at a time.
#[derive(Clone, Copy, Debug)]
struct Sent {
    at: Micros,
    units: f64,
}

fn start(rate_limit: f64, now: Micros, seed: u64) -> Harness {
    let mut harness = Harness::with_seed(settings_with_limit(rate_limit), seed);
    harness.now = now;
    harness.set_endpoints(&[1]);
    harness
}

/// Returns the units that all schedulers send if they receive far more requests than the limit allows.
fn sent_by_all(schedulers: u32, rate_limit: f64, load: Load, seed: u64) -> Vec<Sent> {
    let mut random = fastrand::Rng::with_seed(seed);
    let mut fleet: Vec<Harness> =
        (0..schedulers).map(|number| start(rate_limit, 1_000_000, seed + u64::from(number))).collect();
    let (mut all, mut id) = (Vec::new(), 0);
    let mut units_by_request = BTreeMap::new();
    for step in 0..SECONDS * 1_000_000 / STEP {
        let now = 1_000_000 + step * STEP;
        let turn = (step * STEP / TURN_DURATION) as usize % schedulers as usize;
        for (number, harness) in fleet.iter_mut().enumerate() {
            if load == Load::RoundRobin && (step * STEP).is_multiple_of(TURN_DURATION) && random.bool() {
                *harness = start(rate_limit, now, random.u64(..));
            }
            let previous_actions = harness.actions.len();
            harness.advance(now.saturating_sub(harness.now));
            let has_requests = match load {
                Load::All => true,
                Load::One => number == 0,
                Load::RoundRobin => number == turn,
            };
            for _ in 0..if has_requests { 3 } else { 0 } {
                id += 1;
                let units = random.u32(1..=8);
                let request = Request { units, schedulers, time_budget: 200_000, ..sample_request(id) };
                units_by_request.insert(id, f64::from(units));
                harness.submit(request);
            }
            all.extend(harness.actions[previous_actions..].iter().filter_map(|timed| match timed.action {
                Action::Send { request, .. } => {
                    Some(Sent { at: timed.at, units: units_by_request[&request.0] })
                }
                _ => None,
            }));
            harness.serve_all();
        }
    }
    all.sort_by_key(|sent| sent.at);
    all
}

/// Guards against schedulers that each consider the others idle and all exceed their part at once, against a
/// restart that forgets the used units, and against a limit in a plan without one.
#[rstest]
fn all_schedulers_together_stay_within_the_rate_limit(
    #[values(1, 2, 3, 5)] schedulers: u32,
    #[values(Load::All, Load::One, Load::RoundRobin)] load: Load,
) {
    let seed = 3;
    let (mut bucket, mut updated_at, mut min_units) = (BURST, 1_000_000, BURST);
    let all = sent_by_all(schedulers, LIMIT, load, seed);
    for Sent { at, units } in &all {
        bucket = (bucket + LIMIT * (at - updated_at) as f64 / 1e6).min(BURST) - units;
        updated_at = *at;
        min_units = min_units.min(bucket);
    }
    let used_fraction = all.iter().map(|sent| sent.units).sum::<f64>() / (LIMIT * SECONDS as f64);
    println!(
        "{schedulers} schedulers, {load:?}, seed {seed}: {used_fraction:.2} used, {min_units:.1} units left"
    );
    // The tolerance of the rule is at least one request of maximum size; none of it is needed.
    assert!(min_units >= 0.0, "{min_units} units over the limit");
    let scheduler_fraction = if load == Load::All { 1.0 } else { 1.0 / f64::from(schedulers) };
    let min_used_fraction = if load == Load::RoundRobin { 0.5 } else { 0.75 };
    assert!(
        used_fraction >= min_used_fraction * scheduler_fraction,
        "{used_fraction} of the limit is used, {scheduler_fraction} is available"
    );
    let unlimited = sent_by_all(schedulers, 0.0, load, seed).iter().map(|sent| sent.units).sum::<f64>();
    assert!(unlimited > 2.0 * LIMIT * SECONDS as f64, "no limit, {unlimited} units");
}
