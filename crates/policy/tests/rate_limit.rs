//! A plan's limit, kept by all hosts together without a word between them: each has an even part of rate and
//! store. What a host learns of the others' use comes late or never (hosts that use other nodes of the volume
//! see nothing of each other), so no part is lent; the price is what a lone host leaves unused.
#![cfg(test)]

mod common;
use common::{req, settings, Host};
use heathward_policy::*;
use rstest::rstest;

/// Limit and store of a volume, units a second and units.
const LIMIT: f64 = 80.0;
const BURST: f64 = 120.0;
const SECONDS: u64 = 30;
const STEP: Micros = 20_000;

fn limited(limit: f64) -> Settings {
    let plan = PlanSettings {
        usual_rate: 10.0,
        reserved_rate: 5.0,
        shared_weight: 1.0,
        priority_factor: 1.0,
        rate_limit: limit,
        burst: BURST,
    };
    let class = ClassSettings { idempotency: Idempotency::NotIdempotent, ..settings().classes[0].clone() };
    // So much that nothing else holds a request back.
    let most = ClassSettings { priority_weight: 1.0, ..class };
    Settings {
        schedulers: 5,
        plans: vec![plan],
        classes: vec![most],
        shared_tier_weight: 1.0,
        excess_tier_weight: 1.0,
        ..settings()
    }
}

/// Which of a volume's hosts are asked, and how that changes.
#[derive(Clone, Copy, Debug, PartialEq)]
enum Asked {
    All,
    One,
    /// Another one every few seconds, and the last one starts again.
    RoundRobin,
}

/// Units that all hosts sent, each with its time, where far more is asked than the limit allows.
fn sent(hosts: u32, limit: f64, asked: Asked, seed: u64) -> Vec<(Micros, f64)> {
    let start = |now: Micros, seed: u64| {
        let mut host = Host::seeded(limited(limit), seed);
        host.now = now;
        host.list(&[1]);
        host
    };
    let mut rng = fastrand::Rng::with_seed(seed);
    let mut fleet: Vec<Host> = (0..hosts).map(|n| start(1_000_000, seed + u64::from(n))).collect();
    let (mut all, mut id) = (Vec::new(), 0);
    let mut sizes = std::collections::BTreeMap::new();
    for step in 0..SECONDS * 1_000_000 / STEP {
        let now = 1_000_000 + step * STEP;
        let turn = (step * STEP / 3_000_000) as usize % hosts as usize;
        for (number, host) in fleet.iter_mut().enumerate() {
            if asked == Asked::Turns && (step * STEP).is_multiple_of(3_000_000) && rng.bool() {
                *host = start(now, rng.u64(..));
            }
            let from = host.log.len();
            host.step(now.saturating_sub(host.now));
            let now_asked = match asked {
                Asked::All => true,
                Asked::One => number == 0,
                Asked::Turns => number == turn,
            };
            for _ in 0..if now_asked { 3 } else { 0 } {
                id += 1;
                let request =
                    Request { units: rng.u32(1..=8), schedulers: hosts, time_budget: 200_000, ..req(id) };
                sizes.insert(id, f64::from(request.units));
                host.arrive(request);
            }
            all.extend(host.log[from..].iter().filter_map(|(at, action)| match action {
                Action::Send { request, .. } => Some((*at, sizes[&request.0])),
                _ => None,
            }));
            host.finish_all();
        }
    }
    all.sort_by_key(|(at, _)| *at);
    all
}

/// Guards against hosts that each see the others idle and all go beyond their part at once, against a restart
/// that forgets what it spent, and against a limit where there is none.
#[rstest]
fn all_hosts_together_keep_to_the_limit(
    #[values(1, 2, 3, 5)] hosts: u32,
    #[values(Asked::All, Asked::One, Asked::Turns)] asked: Asked,
) {
    let seed = 3;
    let (mut store, mut at, mut least) = (BURST, 1_000_000, BURST);
    let all = sent(hosts, LIMIT, asked, seed);
    for (now, units) in &all {
        store = (store + LIMIT * (now - at) as f64 / 1e6).min(BURST) - units;
        (at, least) = (*now, least.min(store));
    }
    let used = all.iter().map(|(_, units)| units).sum::<f64>() / (LIMIT * SECONDS as f64);
    println!(
        "{hosts} hosts, {asked:?} asked, seed {seed}: {used:.2} of the limit, {least:.1} units left at least"
    );
    // The slack is one of the largest requests or more; none of it is needed.
    assert!(least >= 0.0, "{least} units over the limit");
    let part = if asked == Asked::All { 1.0 } else { 1.0 / f64::from(hosts) };
    let lost = if asked == Asked::Turns { 0.5 } else { 0.75 };
    assert!(used >= lost * part, "{used} of the limit is used, {part} is this part");
    let free = sent(hosts, 0.0, asked, seed).iter().map(|(_, units)| units).sum::<f64>();
    assert!(free > 2.0 * LIMIT * SECONDS as f64, "no limit, {free} units");
}
