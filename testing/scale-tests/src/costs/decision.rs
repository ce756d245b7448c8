//! What an arrival costs a scheduler by the number of its nodes, and how many requests it sends while all
//! nodes are cold by the number of schedulers.
//!
//! One scheduler before all nodes is the whole of what it decides by: others couple to it through what the
//! nodes answer alone, which is the same at each size here.

use heathward_policy::{Micros, Settings};

use super::driver::{Driver, Spent, Target};
use super::{NODE_SIZES, SCHEDULER_SIZES};
use crate::deployments::{NODES, SCHEDULERS};
use crate::series::Series;

/// Requests that are timed, one each [`GAP`]: five seconds at a thousand a second.
const ARRIVALS: u64 = 5_000;
const GAP: Micros = 1_000;
/// Timed so many times; the fastest counts, as others use the machine too.
const REPEATS: u64 = 9;
/// The same for requests that any cold node may serve: each is held, and looked at again and again.
const REPEATS_OF_HELD: u64 = 2;

/// How nodes are when requests come.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Nodes {
    /// Warm, and each heard of.
    Warm,
    /// All have just started.
    Cold,
}

/// Five thousand requests in five seconds at one scheduler before so many nodes.
pub fn five_seconds(
    settings: &Settings,
    nodes: u32,
    how: Nodes,
    target: Target,
    arrivals: u64,
    seed: u64,
) -> Spent {
    let mut driver = Driver::new(settings, nodes, how == Nodes::Cold, seed);
    if how == Nodes::Warm {
        driver.ask_each(GAP);
        driver.take_spent();
    }
    driver.ask(arrivals, GAP, target);
    driver.take_spent()
}

/// Microseconds of an arrival, and of a request with all of its events, by nodes.
pub fn times(settings: &Settings, how: Nodes, target: Target) -> [Series; 2] {
    let case = match (target, how) {
        (Target::Pinned, Nodes::Warm) => "pinned-warm",
        (Target::Free, Nodes::Warm) => "free-warm",
        (Target::Pinned, Nodes::Cold) => "pinned-cold",
        (Target::Free, Nodes::Cold) => "free-cold",
    };
    let series = |name: &str| Series::new(&format!("{name}-{case}"), "nodes", "us", f64::from(NODES));
    let repeats = match (target, how) {
        (Target::Free, Nodes::Cold) => REPEATS_OF_HELD,
        _ => REPEATS,
    };
    let (mut arrivals, mut requests) = (series("decision"), series("request"));
    for nodes in NODE_SIZES {
        let spent: Vec<Spent> =
            (1..=repeats).map(|seed| five_seconds(settings, nodes, how, target, ARRIVALS, seed)).collect();
        let least = |of: fn(&Spent) -> f64| spent.iter().map(of).fold(f64::INFINITY, f64::min);
        arrivals.push(f64::from(nodes), least(Spent::arrival_micros));
        requests.push(f64::from(nodes), least(Spent::request_micros));
    }
    [arrivals, requests]
}

/// Sent of five thousand requests in five seconds while all of so many nodes are cold, by the number of
/// schedulers in the settings. A count: the same each time. `name` goes before the name of the series.
pub fn sent_when_cold(name: &str, settings: &Settings, nodes: u32) -> Series {
    let name = format!("{name}-sent-of-5000-at-{nodes}-nodes");
    let mut series = Series::new(&name, "schedulers", "requests", f64::from(SCHEDULERS));
    for hosts in SCHEDULER_SIZES {
        let settings = Settings { schedulers: hosts, scheduler_index: 0, ..settings.clone() };
        let spent = five_seconds(&settings, nodes, Nodes::Cold, Target::Pinned, ARRIVALS, 1);
        series.push(f64::from(hosts), spent.sent as f64);
    }
    series
}
