//! Many schedulers and one cold node: whatever they hold, all of them together stay near what it bears in the
//! mean, and far from what pushes it over in any window.
#![cfg(test)]

mod common;
use common::{entry, req, settings};
use heathward_policy::*;

const START: Micros = 40_000_000;
const COLD: Micros = 16_000_000;
const FALL: Micros = 1_000_000;
/// Clocks of hosts differ by up to this.
const SKEW: Micros = 50_000;

fn rules(hosts: u32, host: u32, multiple: f64) -> Settings {
    Settings {
        schedulers: hosts,
        scheduler_index: host,
        overload_multiple: multiple,
        mean_units: 4.5,
        slow_start_units: 11.0,
        slow_start_fraction: 0.16,
        overload_window: FALL,
        ..settings()
    }
}

fn up(set: Settings, now: Micros) -> Scheduler {
    let seed = 7 + u64::from(set.scheduler_index) + (now << 8);
    let mut scheduler = Scheduler::new(set, seed).expect("sound settings");
    let entries = vec![EndpointEntry { started_at: Some(START), ..entry(1) }];
    scheduler.handle(
        now,
        Event::EndpointUpdate { kind: EndpointUpdateKind::Cached, entries },
        &mut Vec::new(),
    );
    scheduler
}

/// Every host holds requests for the node all the time; gives the sends as (time, units).
fn storm(hosts: u32, restarts: bool, multiple: f64) -> Vec<(Micros, f64)> {
    let mut fleet: Vec<Scheduler> =
        (0..hosts).map(|host| up(rules(hosts, host, multiple), START - 5_000_000)).collect();
    let mut rng = fastrand::Rng::with_seed(u64::from(hosts));
    let skews: Vec<Micros> = (0..hosts).map(|_| rng.u64(0..SKEW)).collect();
    let (mut sends, mut id, mut actions) = (Vec::new(), 0, Vec::new());
    let mut sizes = std::collections::BTreeMap::new();
    for step in 0..(COLD - SKEW) / 20_000 {
        let now = START + step * 20_000;
        for (host, scheduler) in fleet.iter_mut().enumerate() {
            let own = now + skews[host];
            if restarts && rng.u32(0..200) == 0 {
                *scheduler = up(rules(hosts, host as u32, multiple), own);
            }
            id += 1;
            let request = Request { units: rng.u32(1..=8), ..req(id) };
            sizes.insert(id, f64::from(request.units));
            scheduler.handle(own, Event::RequestArrived(request), &mut actions);
            let sent = actions.drain(..).filter_map(|a| match a {
                Action::Send { request, node, .. } => Some((request, node)),
                _ => None,
            });
            for (sent, node) in sent.collect::<Vec<_>>() {
                let units = sizes[&sent.0];
                sends.push((now, units));
                let o = AttemptOutcome {
                    request: sent,
                    attempt: 0,
                    node,
                    end: AttemptEnd::Served,
                    request_closed: true,
                    latency: 20_000,
                    volume_usage_percent: None,
                    served_elsewhere: None,
                    utilization: None,
                };
                scheduler.handle(own, Event::AttemptEnded(o), &mut Vec::new());
            }
        }
    }
    sends
}

/// What the node is said to bear within the fall time, by its age.
fn bears(age: Micros) -> f64 {
    11.0 * (0.16 + 0.84 * age as f64 / COLD as f64) / 0.16
}

/// The rule's multiple is 4; what a node bears in any case is its least ability by the settings.
const MOST: f64 = 3.0;

/// Holds the sends against the rule; `mean` is what they may come to in the mean, over what a node bears.
fn check(hosts: u32, restarts: bool, multiple: f64, mean: f64) -> f64 {
    let sends = storm(hosts, restarts, multiple);
    let (mut over, mut windows) = (0.0, 0.0);
    for at in (START..START + COLD - FALL - SKEW).step_by(100_000) {
        let window = sends.iter().filter(|(t, _)| *t >= at && *t < at + FALL);
        let units: f64 = window.map(|(_, units)| units).sum();
        // What it bears grows to the window's end.
        let bears = bears(at - START + FALL + SKEW);
        assert!(units <= MOST * bears, "{hosts} hosts: {units} units of {bears} at {}", at - START);
        (over, windows) = (over + units / bears, windows + 1.0);
    }
    println!("{hosts} hosts: {:.2} of what it bears in the mean", over / windows);
    assert!(over / windows <= mean, "{hosts} hosts: {} of what it bears in the mean", over / windows);
    sends.iter().map(|(_, units)| units).sum()
}

#[test]
fn all_hosts_together_stay_within_what_a_cold_node_bears() {
    for hosts in [1, 4, 30, 200] {
        let sent = check(hosts, false, 0.0, 1.0);
        assert!(sent > 100.0, "{hosts} hosts sent {sent} units while it warmed");
    }
}

/// Guards against a large fleet that leaves most of a cold node idle: where the multiple at which it falls
/// over is told, a part of that is used, whoever asks, and no window comes near it.
#[test]
fn a_part_of_the_multiple_at_which_it_falls_over_is_used() {
    for hosts in [1, 30, 300] {
        let (careful, sent) = (check(hosts, false, 0.0, 1.0), check(hosts, false, 4.0, 2.0));
        assert!(sent > 1.3 * careful, "{hosts} hosts: {sent} units, {careful} where it is not told");
    }
}

#[test]
fn restarted_hosts_add_nothing() {
    for hosts in [4, 200] {
        assert!(check(hosts, true, 0.0, 1.0) > 20.0);
    }
}
