//! A hundred schedulers and sixty storage nodes in virtual time: the total load from all schedulers is
//! compared with the capacity of a node. The runs are seeded.
#![cfg(test)]

mod common;
use std::collections::BTreeSet;

use common::{endpoint, plan, sample_request, served, settings};
use heathward_policy::*;

const SCHEDULERS: u32 = 100;
const NODES: u32 = 60;
/// Number of nodes that start at the same time.
const STARTING_NODES: u32 = NODES * 6 / 10;
const WINDOW: Micros = 2_000_000;
const SLOW_START_DURATION: Micros = 16_000_000;
/// Fraction of its capacity that a node starts with.
const START_FRACTION: f64 = 0.2;
/// Units that a node can serve within the window when it starts.
const START_UNITS: f64 = 24.0;
/// Multiple of its capacity at which a node in slow start fails.
const OVERLOAD_MULTIPLE: f64 = 4.0;
/// Maximum load that a node may be sent, as a multiple of its capacity: four fifths of N + 2 x root of N + 2
/// requests of two units, at which it fails, where N is 48 when the node starts, and more later.
const MAX_LOAD: f64 = 4.2;
const SCHEDULERS_START: Micros = 10_000_000;
const START: Micros = 20_000_000;
const STEP: Micros = 20_000;

/// A scheduler that receives a volume's requests for a shard.
#[derive(Clone, Copy, Debug)]
struct Source {
    scheduler: usize,
    volume: u64,
    shard: u32,
}

/// A request that was sent.
#[derive(Clone, Copy, Debug)]
struct Sent {
    scheduler: usize,
    shard: u32,
    units: f64,
}

/// The end of an attempt.
#[derive(Clone, Copy, Debug)]
struct SimulatedEnd {
    end: AttemptEnd,
    latency: Micros,
}

struct Fleet {
    schedulers: Vec<Scheduler>,
    random: fastrand::Rng,
    sources: Vec<Source>,
    next_id: u64,
}

impl Fleet {
    /// Creates a fleet with seven volumes per node, each with requests through one to three schedulers for
    /// three shards per scheduler, as on the platform.
    fn new(seed: u64) -> Self {
        let settings = |scheduler_index| Settings {
            schedulers: SCHEDULERS,
            scheduler_index,
            slow_start_units: START_UNITS,
            overload_window: WINDOW,
            overload_multiple: OVERLOAD_MULTIPLE,
            plans: vec![plan(2.0, 2.0)],
            ..settings()
        };
        let scheduler = |index| Scheduler::new(settings(index), seed + u64::from(index));
        let schedulers = (0..SCHEDULERS).map(|index| scheduler(index).expect("valid settings")).collect();
        let random = fastrand::Rng::with_seed(seed);
        let mut fleet = Self { schedulers, random, sources: vec![], next_id: 0 };
        for volume in 0..u64::from(NODES) * 7 {
            for _ in 0..fleet.random.u32(1..=3) {
                let scheduler = fleet.random.usize(0..SCHEDULERS as usize);
                for _ in 0..3 {
                    let shard = fleet.random.u32(0..NODES);
                    fleet.sources.push(Source { scheduler, volume, shard });
                }
            }
        }
        fleet
    }

    fn update_endpoints(&mut self, now: Micros, kind: EndpointUpdateKind, entries: &[EndpointEntry]) {
        for scheduler in &mut self.schedulers {
            let update = Event::EndpointUpdate { kind, entries: entries.to_vec() };
            scheduler.handle(now, update, &mut Vec::new());
        }
    }

    /// Runs one step in which each source has a request with a probability. Returns the requests that were
    /// sent. Each attempt ends at once as `simulated_end` returns for its scheduler and shard.
    fn step(
        &mut self,
        now: Micros,
        probability: f64,
        simulated_end: impl Fn(usize, u32) -> SimulatedEnd,
    ) -> Vec<Sent> {
        let (mut sent, mut actions) = (Vec::new(), Vec::new());
        for index in 0..self.sources.len() {
            let Source { scheduler, volume, shard } = self.sources[index];
            if self.random.f64() >= probability {
                continue;
            }
            self.next_id += 1;
            let units = self.random.u32(1..=3);
            let SimulatedEnd { end, latency } = simulated_end(scheduler, shard);
            let (volume, shard_id) = (VolumeId(volume), Some(ShardId(shard)));
            let request =
                Request { units, volume, shard: shard_id, schedulers: 2, ..sample_request(self.next_id) };
            self.schedulers[scheduler].handle(now, Event::RequestArrived(request), &mut actions);
            let node = actions.iter().find_map(|action| match action {
                Action::Send { request: id, node, .. } if *id == request.id => Some(*node),
                _ => None,
            });
            let event = match node {
                Some(node) => {
                    sent.push(Sent { scheduler, shard, units: f64::from(units) });
                    Event::AttemptEnded(AttemptOutcome { end, ..served(request.id, node, latency) })
                }
                // The request was queued or shed: its client disconnects.
                None => Event::ClientDisconnected { request: request.id },
            };
            self.schedulers[scheduler].handle(now, event, &mut actions);
            actions.clear();
        }
        sent
    }
}

fn served_fast(_: usize, _: u32) -> SimulatedEnd {
    SimulatedEnd { end: AttemptEnd::Served, latency: 10_000 }
}

/// Returns a fleet that has run until [`START`].
fn running_fleet(seed: u64, probability: f64) -> Fleet {
    let mut fleet = Fleet::new(seed);
    let all: Vec<_> = (0..NODES).map(endpoint).collect();
    fleet.update_endpoints(SCHEDULERS_START, EndpointUpdateKind::Snapshot, &all);
    for step in 0..(START - SCHEDULERS_START) / STEP {
        fleet.step(SCHEDULERS_START + step * STEP, probability, served_fast);
    }
    fleet
}

/// Starts six in ten nodes at once while all schedulers have requests. Returns the requests sent to these
/// nodes in each step.
fn start_nodes(seed: u64, probability: f64) -> Vec<Vec<Sent>> {
    let mut fleet = running_fleet(seed, probability);
    let starting: Vec<_> =
        (0..STARTING_NODES).map(|node| EndpointEntry { started_at: Some(START), ..endpoint(node) }).collect();
    fleet.update_endpoints(START, EndpointUpdateKind::Changes, &starting);
    let mut step = |step| {
        let mut sent = fleet.step(START + step * STEP, probability, served_fast);
        sent.retain(|sent| sent.shard < STARTING_NODES);
        sent
    };
    (0..SLOW_START_DURATION / 2 / STEP).map(&mut step).collect()
}

/// Maximum and mean load on the starting nodes within a window, relative to their capacity.
struct Loads {
    max: f64,
    mean: f64,
}

fn loads(steps: &[Vec<Sent>]) -> Loads {
    let (mut max, mut sum, mut count) = (0.0_f64, 0.0, 0);
    let steps_per_window = (WINDOW / STEP) as usize;
    for first in (0..steps.len() - steps_per_window).step_by(10) {
        let age = (first as u64 * STEP) as f64 / SLOW_START_DURATION as f64;
        let capacity = START_UNITS * (START_FRACTION + (1.0 - START_FRACTION) * age) / START_FRACTION;
        let mut units = [0.0; STARTING_NODES as usize];
        for sent in steps[first..first + steps_per_window].iter().flatten() {
            units[sent.shard as usize] += sent.units;
        }
        for units in units {
            max = max.max(units / capacity);
            sum += units / capacity;
            count += 1;
        }
    }
    Loads { max, mean: sum / f64::from(count) }
}

/// Guards against parts of the allowance so small, or tokens so rare, that nodes with capacity are idle; and
/// against a total load above the limit if many schedulers have more than enough requests.
#[test]
fn a_hundred_schedulers_use_nodes_in_slow_start_without_overloading_any() {
    for seed in [1, 2, 3] {
        let Loads { max, mean } = loads(&start_nodes(seed, 0.05));
        println!("seed {seed}: at most {max:.2}, on average {mean:.2} of a node's capacity");
        assert!(max < MAX_LOAD, "seed {seed}: {max} times a node's capacity");
        assert!(mean > 0.48 * OVERLOAD_MULTIPLE, "seed {seed}: nodes get {mean} of their capacity");
    }
}

/// Guards against a node that accepted no connections for a short time and is then not tried again for long:
/// a scheduler of a large fleet rarely has a request for it and counts it as down.
#[test]
fn schedulers_use_a_node_again_that_accepted_no_connections_for_a_while() {
    let mut fleet = running_fleet(4, 0.02);
    let no_connection = |_: usize, shard: u32| {
        if shard == 0 {
            SimulatedEnd { end: AttemptEnd::NotConnected, latency: 300 }
        } else {
            served_fast(0, 0)
        }
    };
    for step in 0..3_000_000 / STEP {
        fleet.step(START + step * STEP, 0.02, no_connection);
    }
    let of_node = fleet.sources.iter().filter(|source| source.shard == 0);
    let with_requests: BTreeSet<_> = of_node.map(|source| source.scheduler).collect();
    let (mut recovered, mut units) = (BTreeSet::new(), 0.0);
    let restart = START + 3_000_000;
    for step in 0..8_000_000 / STEP {
        let sent = fleet.step(restart + step * STEP, 0.02, served_fast);
        for sent in sent.into_iter().filter(|sent| sent.shard == 0) {
            recovered.insert(sent.scheduler);
            // As far as these schedulers know, the node has just started.
            units += if step < WINDOW / STEP { sent.units } else { 0.0 };
        }
    }
    let (recovered, all) = (recovered.len(), with_requests.len());
    println!("{recovered} of {all} schedulers recovered, {units} units in the first window");
    // The observed time is four windows, in each of which the node can serve twelve requests.
    assert!(recovered * 10 >= all * 8, "{recovered} of {all} schedulers recovered");
    assert!(units < OVERLOAD_MULTIPLE * START_UNITS, "{units} units at once on a node that may be starting");
}

/// Numbers of requests or sources, by whether they are for the slow node and whether they come from one of
/// the few schedulers.
#[derive(Clone, Copy, Debug, Default)]
struct Counts {
    counts: [[f64; 2]; 2],
}

impl Counts {
    fn add(&mut self, is_slow_node: bool, is_affected: bool) {
        self.counts[usize::from(is_slow_node)][usize::from(is_affected)] += 1.0;
    }

    fn get(&self, is_slow_node: bool, is_affected: bool) -> f64 {
        self.counts[usize::from(is_slow_node)][usize::from(is_affected)]
    }
}

/// Guards against a node that is slow for a few schedulers and is then left idle by the others.
#[test]
fn a_node_that_is_slow_for_a_few_schedulers_is_used_by_the_others() {
    let mut fleet = running_fleet(5, 0.02);
    let is_affected = |scheduler: usize| scheduler < SCHEDULERS as usize / 10;
    let slow_for_affected = move |scheduler: usize, shard: u32| {
        if shard == 0 && is_affected(scheduler) {
            SimulatedEnd { end: AttemptEnd::Served, latency: 700_000 }
        } else {
            served_fast(0, 0)
        }
    };
    let (mut sources, mut sent) = (Counts::default(), Counts::default());
    for source in &fleet.sources {
        sources.add(source.shard == 0, is_affected(source.scheduler));
    }
    for step in 0..6_000_000 / STEP {
        for request in fleet.step(START + step * STEP, 0.02, slow_for_affected) {
            sent.add(request.shard == 0, is_affected(request.scheduler));
        }
    }
    let per_source = |slow: bool, affected: bool| sent.get(slow, affected) / sources.get(slow, affected);
    println!("sends for each source: {sent:?} of {sources:?}");
    let (others, others_elsewhere) = (per_source(true, false), per_source(false, false));
    assert!(
        others > 0.8 * others_elsewhere,
        "other schedulers at the slow node: {others} of {others_elsewhere}"
    );
    let (affected, affected_elsewhere) = (per_source(true, true), per_source(false, true));
    assert!(
        affected < 0.8 * affected_elsewhere,
        "affected schedulers at the slow node: {affected} of {affected_elsewhere}"
    );
}
