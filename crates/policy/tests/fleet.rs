//! A hundred schedulers and sixty storage nodes in virtual time: what each does must add up. Seeded; the
//! totals are held against plain arithmetic for one node.
#![cfg(test)]

mod common;
use common::{entry, req, settings};
use heathward_policy::*;

const HOSTS: u32 = 100;
const NODES: u32 = 60;
const FALL: Micros = 2_000_000;
const COLD: Micros = 16_000_000;
/// Units that a node bears within the fall time as it starts, and how many times that pushes it over.
const BEARS: f64 = 24.0;
const MULTIPLE: f64 = 4.0;
/// The most that a node may get of what it bears: four fifths of N + 2 x root of N + 2 requests of two units,
/// at which it falls, N being 48 as it starts, and more later.
const MOST: f64 = 4.2;
const BORN: Micros = 10_000_000;
const START: Micros = 20_000_000;
const STEP: Micros = 20_000;

struct Fleet {
    hosts: Vec<Scheduler>,
    rng: fastrand::Rng,
    /// Host, volume and shard of each pair that asks.
    pairs: Vec<(usize, u64, u32)>,
    next: u64,
}

impl Fleet {
    /// Twenty volumes to a node, each through one to three hosts, as the platform has it.
    fn new(seed: u64) -> Self {
        let rules = |host| Settings {
            schedulers: HOSTS,
            scheduler_index: host,
            slow_start_units: BEARS,
            overload_window: FALL,
            overload_multiple: MULTIPLE,
            plans: vec![PlanSettings {
                usual_rate: 2.0,
                reserved_rate: 2.0,
                shared_weight: 1.0,
                priority_factor: 1.0,
                ..Default::default()
            }],
            ..settings()
        };
        let hosts = (0..HOSTS).map(|host| Scheduler::new(rules(host), seed + u64::from(host)).unwrap());
        let mut fleet =
            Self { hosts: hosts.collect(), rng: fastrand::Rng::with_seed(seed), pairs: vec![], next: 0 };
        for volume in 0..u64::from(NODES) * 7 {
            for _ in 0..fleet.rng.u32(1..=3) {
                let host = fleet.rng.usize(0..HOSTS as usize);
                for _ in 0..3 {
                    fleet.pairs.push((host, volume, fleet.rng.u32(0..NODES)));
                }
            }
        }
        fleet
    }

    fn list(&mut self, now: Micros, kind: EndpointUpdateKind, entries: &[EndpointEntry]) {
        for host in &mut self.hosts {
            host.handle(now, Event::EndpointUpdate { kind, entries: entries.to_vec() }, &mut Vec::new());
        }
    }

    /// One step in which each pair asks with that chance; gives what went out, as host, shard and units. Each
    /// attempt ends at once as `ends` has it for host and shard, after the time that it says.
    fn step(
        &mut self,
        now: Micros,
        chance: f64,
        ends: impl Fn(usize, u32) -> (AttemptEnd, Micros),
    ) -> Vec<(usize, u32, f64)> {
        let (mut sent, mut actions) = (Vec::new(), Vec::new());
        for at in 0..self.pairs.len() {
            let (host, volume, shard) = self.pairs[at];
            if self.rng.f64() >= chance {
                continue;
            }
            self.next += 1;
            let units = self.rng.u32(1..=3);
            let (end, took) = ends(host, shard);
            let (volume, cell) = (VolumeId(volume), Some(ShardId(shard)));
            let request = Request { units, volume, shard: cell, schedulers: 2, ..req(self.next) };
            self.hosts[host].handle(now, Event::RequestArrived(request), &mut actions);
            let went = |a: &Action| matches!(a, Action::Send { request: id, .. } if *id == request.id);
            let Some(Action::Send { node, .. }) = actions.iter().find(|a| went(a)).cloned() else {
                // Held or refused: whoever held it has gone away.
                self.hosts[host].handle(now, Event::ClientDisconnected { request: request.id }, &mut actions);
                actions.clear();
                continue;
            };
            let id = request.id;
            let (used, elsewhere, busy) = (None, None, None);
            let o = AttemptOutcome {
                request: id,
                attempt: 0,
                node,
                end,
                request_closed: true,
                latency: took,
                volume_usage_percent: used,
                served_elsewhere: elsewhere,
                utilization: busy,
            };
            self.hosts[host].handle(now, Event::AttemptEnded(o), &mut actions);
            actions.clear();
            sent.push((host, shard, f64::from(units)));
        }
        sent
    }
}

fn well(_: usize, _: u32) -> (AttemptEnd, Micros) {
    (AttemptEnd::Served, 10_000)
}

/// A fleet that has run until [`START`].
fn warmed(seed: u64, chance: f64) -> Fleet {
    let mut fleet = Fleet::new(seed);
    let all: Vec<_> = (0..NODES).map(entry).collect();
    fleet.list(BORN, EndpointUpdateKind::Snapshot, &all);
    for step in 0..(START - BORN) / STEP {
        fleet.step(BORN + step * STEP, chance, well);
    }
    fleet
}

/// Six in ten nodes start cold at once while all hosts ask; gives the units sent to these by step.
fn join(seed: u64, chance: f64) -> Vec<Vec<(u32, f64)>> {
    let mut fleet = warmed(seed, chance);
    let new: Vec<_> =
        (0..NODES * 6 / 10).map(|n| EndpointEntry { started_at: Some(START), ..entry(n) }).collect();
    fleet.list(START, EndpointUpdateKind::Changes, &new);
    let cold = |sent: Vec<(usize, u32, f64)>| {
        sent.into_iter().filter(|(_, n, _)| *n < NODES * 6 / 10).map(|(_, n, units)| (n, units)).collect()
    };
    (0..COLD / 2 / STEP).map(|step| cold(fleet.step(START + step * STEP, chance, well))).collect()
}

/// The most and the mean that a node got within any fall time, over what it bears then.
fn loads(steps: &[Vec<(u32, f64)>]) -> (f64, f64) {
    let (mut most, mut sum, mut count) = (0.0_f64, 0.0, 0);
    for first in (0..steps.len() - (FALL / STEP) as usize).step_by(10) {
        let age = (first as u64 * STEP) as f64 / COLD as f64;
        let bears = BEARS * (0.2 + 0.8 * age) / 0.2;
        let mut units = vec![0.0; NODES as usize];
        for (node, n) in steps[first..first + (FALL / STEP) as usize].iter().flatten() {
            units[*node as usize] += n;
        }
        for of in &units[..(NODES * 6 / 10) as usize] {
            most = most.max(of / bears);
            (sum, count) = (sum + of / bears, count + 1);
        }
    }
    (most, sum / f64::from(count))
}

/// Guards against parts so small, or turns so seldom, that nodes which could serve stand idle; and against a
/// total past the rule where many hosts hold more than enough.
#[test]
fn a_hundred_hosts_use_cold_nodes_and_push_none_over() {
    for seed in [1, 2, 3] {
        let (most, mean) = loads(&join(seed, 0.05));
        println!("seed {seed}: most {most:.2}, mean {mean:.2} of what a cold node bears");
        assert!(most < MOST, "seed {seed}: {most} times what a cold node bears");
        assert!(mean > 0.48 * MULTIPLE, "seed {seed}: cold nodes get {mean} of what they bear");
    }
}

/// Guards against a node whose connection table was full for a moment, and that a host of many, which asks it
/// seldom, then takes for one that is down and for long does not try again.
#[test]
fn a_node_that_refused_connections_for_a_while_has_its_hosts_back() {
    let mut fleet = warmed(4, 0.02);
    let full = |_: usize, shard: u32| if shard == 0 { (AttemptEnd::NotConnected, 300) } else { well(0, 0) };
    for step in 0..3_000_000 / STEP {
        fleet.step(START + step * STEP, 0.02, full);
    }
    let asking: std::collections::BTreeSet<_> =
        fleet.pairs.iter().filter(|(.., shard)| *shard == 0).map(|(host, ..)| *host).collect();
    let (mut back, mut units) = (std::collections::BTreeSet::new(), 0.0);
    let again = START + 3_000_000;
    for step in 0..8_000_000 / STEP {
        let sent = fleet.step(again + step * STEP, 0.02, well);
        for (host, _, n) in sent.into_iter().filter(|(_, shard, _)| *shard == 0) {
            back.insert(host);
            // As cold as can be, as far as these hosts know.
            units += if step < FALL / STEP { n } else { 0.0 };
        }
    }
    println!("{} of {} hosts back, {units} units in the first fall time", back.len(), asking.len());
    // Four fall times, in each of which the node bears twelve requests.
    assert!(back.len() * 10 >= asking.len() * 8, "{} of {} hosts back", back.len(), asking.len());
    assert!(units < MULTIPLE * BEARS, "{units} units at once on a node that may be cold");
}

/// Guards against a node that is slow for a few hosts, and that others then leave idle.
#[test]
fn a_node_that_is_slow_for_a_few_keeps_the_others() {
    let mut fleet = warmed(5, 0.02);
    let few = |host: usize| host < HOSTS as usize / 10;
    let slow = move |host: usize, shard: u32| {
        if shard == 0 && few(host) {
            (AttemptEnd::Served, 700_000)
        } else {
            well(0, 0)
        }
    };
    let mut asked = [[0.0; 2]; 2];
    let mut sent = [[0.0; 2]; 2];
    for (host, _, shard) in &fleet.pairs {
        asked[usize::from(*shard == 0)][usize::from(few(*host))] += 1.0;
    }
    for step in 0..6_000_000 / STEP {
        for (host, shard, _) in fleet.step(START + step * STEP, 0.02, slow) {
            sent[usize::from(shard == 0)][usize::from(few(host))] += 1.0;
        }
    }
    let share = |node: usize, hosts: usize| sent[node][hosts] / asked[node][hosts];
    println!("sends for each pair: {sent:?} of {asked:?}");
    assert!(share(1, 0) > 0.8 * share(0, 0), "others at the slow node: {} of {}", share(1, 0), share(0, 0));
    assert!(share(1, 1) < 0.8 * share(0, 1), "the few there: {} of {}", share(1, 1), share(0, 1));
}
