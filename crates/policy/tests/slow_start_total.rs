//! Many schedulers and one node in slow start: however many requests they have, their total load stays near
//! the node's capacity on average, and far below the load at which the node fails in every window.
#![cfg(test)]

mod common;
use std::collections::BTreeMap;

use common::{endpoint, sample_request, served, settings};
use heathward_policy::*;

const START: Micros = 40_000_000;
const SLOW_START_DURATION: Micros = 16_000_000;
const WINDOW: Micros = 1_000_000;
const STEP: Micros = 20_000;
/// Maximum difference between the schedulers' clocks, in microseconds.
const MAX_CLOCK_SKEW: Micros = 50_000;
/// Units that the node can serve within a window when it starts.
const START_UNITS: f64 = 11.0;
/// Fraction of its capacity that the node starts with.
const START_FRACTION: f64 = 0.16;
/// Maximum load that the node may be sent within any window, as a multiple of its capacity. It fails at four
/// times the load that it can serve according to the settings, which is its minimum capacity.
const MAX_LOAD: f64 = 3.0;

fn scheduler_settings(schedulers: u32, scheduler_index: u32, overload_multiple: f64) -> Settings {
    Settings {
        schedulers,
        scheduler_index,
        overload_multiple,
        mean_units: 4.5,
        slow_start_units: START_UNITS,
        slow_start_fraction: START_FRACTION,
        overload_window: WINDOW,
        ..settings()
    }
}

fn start_scheduler(settings: Settings, now: Micros) -> Scheduler {
    let seed = 7 + u64::from(settings.scheduler_index) + (now << 8);
    let mut scheduler = Scheduler::new(settings, seed).expect("valid settings");
    let entries = vec![EndpointEntry { started_at: Some(START), ..endpoint(1) }];
    let update = Event::EndpointUpdate { kind: EndpointUpdateKind::Cached, entries };
    scheduler.handle(now, update, &mut Vec::new());
    scheduler
}

/// Units that were sent at a time.
#[derive(Clone, Copy, Debug)]
struct Sent {
    at: Micros,
    units: f64,
}

/// Returns the units sent to the node if every scheduler always has requests for it.
fn sent_under_full_load(schedulers: u32, has_restarts: bool, overload_multiple: f64) -> Vec<Sent> {
    let settings = |index| scheduler_settings(schedulers, index, overload_multiple);
    let mut fleet: Vec<Scheduler> =
        (0..schedulers).map(|index| start_scheduler(settings(index), START - 5_000_000)).collect();
    let mut random = fastrand::Rng::with_seed(u64::from(schedulers));
    let skews: Vec<Micros> = (0..schedulers).map(|_| random.u64(0..MAX_CLOCK_SKEW)).collect();
    let (mut sent, mut id, mut actions) = (Vec::new(), 0, Vec::new());
    let mut units_by_request = BTreeMap::new();
    for step in 0..(SLOW_START_DURATION - MAX_CLOCK_SKEW) / STEP {
        let now = START + step * STEP;
        for (index, scheduler) in fleet.iter_mut().enumerate() {
            let local_time = now + skews[index];
            if has_restarts && random.u32(0..200) == 0 {
                *scheduler = start_scheduler(settings(index as u32), local_time);
            }
            id += 1;
            let request = Request { units: random.u32(1..=8), ..sample_request(id) };
            units_by_request.insert(id, f64::from(request.units));
            scheduler.handle(local_time, Event::RequestArrived(request), &mut actions);
            let attempts = actions.drain(..).filter_map(|action| match action {
                Action::Send { request, node, .. } => Some((request, node)),
                _ => None,
            });
            for (request, node) in attempts.collect::<Vec<_>>() {
                sent.push(Sent { at: now, units: units_by_request[&request.0] });
                let outcome = served(request, node, 20_000);
                scheduler.handle(local_time, Event::AttemptEnded(outcome), &mut Vec::new());
            }
        }
    }
    sent
}

/// Returns the units that the node can serve within a window at an age.
fn capacity(age: Micros) -> f64 {
    let growth = (1.0 - START_FRACTION) * age as f64 / SLOW_START_DURATION as f64;
    START_UNITS * (START_FRACTION + growth) / START_FRACTION
}

/// Checks the load sent against the node's capacity: in any window against [`MAX_LOAD`], and on average
/// against `max_mean`. Returns the total of the units sent.
fn check_load(schedulers: u32, has_restarts: bool, overload_multiple: f64, max_mean: f64) -> f64 {
    let sent = sent_under_full_load(schedulers, has_restarts, overload_multiple);
    let (mut load_sum, mut windows) = (0.0, 0.0);
    for start in (START..START + SLOW_START_DURATION - WINDOW - MAX_CLOCK_SKEW).step_by(100_000) {
        let in_window = sent.iter().filter(|sent| (start..start + WINDOW).contains(&sent.at));
        let units: f64 = in_window.map(|sent| sent.units).sum();
        // Capacity at the end of the window.
        let capacity = capacity(start - START + WINDOW + MAX_CLOCK_SKEW);
        let is_bounded = units <= MAX_LOAD * capacity;
        assert!(is_bounded, "{schedulers} schedulers: {units} units of {capacity} at {}", start - START);
        load_sum += units / capacity;
        windows += 1.0;
    }
    let mean = load_sum / windows;
    println!("{schedulers} schedulers: {mean:.2} of the capacity on average");
    assert!(mean <= max_mean, "{schedulers} schedulers: {mean} of the capacity on average");
    sent.iter().map(|sent| sent.units).sum()
}

#[test]
fn all_schedulers_together_stay_within_the_capacity_of_a_node_in_slow_start() {
    for schedulers in [1, 4, 30, 200] {
        let sent = check_load(schedulers, false, 0.0, 1.0);
        assert!(sent > 100.0, "{schedulers} schedulers sent {sent} units in the slow start");
    }
}

/// Guards against a large fleet that leaves most of the node idle: if the multiple at which it fails is
/// known, a part of that multiple is used however many schedulers there are, and no window comes near it.
#[test]
fn a_fraction_of_the_overload_multiple_is_used() {
    for schedulers in [1, 30, 300] {
        let without_multiple = check_load(schedulers, false, 0.0, 1.0);
        let sent = check_load(schedulers, false, 4.0, 2.0);
        let is_more = sent > 1.3 * without_multiple;
        assert!(is_more, "{schedulers} schedulers: {sent} units, {without_multiple} if it is not known");
    }
}

#[test]
fn restarted_schedulers_add_no_load() {
    for schedulers in [4, 200] {
        assert!(check_load(schedulers, true, 0.0, 1.0) > 20.0);
    }
}
