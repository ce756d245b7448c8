//! A long run in virtual time of ids, volumes and nodes that come and go: whatever the module keeps of them
//! is bounded by what is recent, and falls back to what is listed. Entries are counted, not bytes. Seeded.
#![cfg(test)]

mod common;
use common::{entry, req, settings, Host};
use heathward_policy::*;

/// From the design page: the lookback, after twice which what is not recent is forgotten.
const LOOKBACK: Micros = 30_000_000;
const STEP: Micros = 20_000;
const RUN: Micros = 20 * 60 * 1_000_000;
/// Nodes in service at a time, and how often one of them is replaced under a new id.
const LISTED: u32 = 8;
const REPLACED: Micros = 2_000_000;
/// Requests open at a time at most: each waits no longer than its aim, of fifteen steps.
const OPEN: usize = 16;

#[test]
fn what_comes_and_goes_leaves_nothing_behind() {
    let mut rng = fastrand::Rng::with_seed(9);
    let mut h = Host::seeded(settings(), 9);
    let mut listed: Vec<u32> = (1..=LISTED).collect();
    let shard = |node: u32| ShardId(node % LISTED);
    let of = |node: u32, state| EndpointEntry { shard: shard(node), state, ..entry(node) };
    let entries = listed.iter().map(|node| of(*node, NodeState::Ready)).collect();
    h.event(Event::EndpointUpdate { kind: EndpointUpdateKind::Snapshot, entries });
    let (mut id, mut most, mut next) = (0, EntryCounts::default(), LISTED);
    for step in 0..RUN / STEP {
        if step % (REPLACED / STEP) == 0 {
            // The oldest drains and is gone; its shard passes to one under a new id.
            let old = listed.remove(0);
            next += 1;
            listed.push(next);
            let started = Some(h.now);
            let new = EndpointEntry { started_at: started, ..of(next, NodeState::Ready) };
            let entries = vec![of(old, NodeState::Removed), new];
            h.event(Event::EndpointUpdate { kind: EndpointUpdateKind::Changes, entries });
        }
        id += 1;
        let class = ClassId(rng.u16(0..3));
        let (volume, key) = (VolumeId(id), Some(KeyId(id)));
        let request = Request { class, volume, key, shard: Some(ShardId(rng.u32(0..LISTED))), ..req(id) };
        h.arrive(request);
        for (request, attempt, node) in std::mem::take(&mut h.out) {
            let ends = [
                AttemptEnd::Served,
                AttemptEnd::Served,
                AttemptEnd::Served,
                AttemptEnd::Error,
                AttemptEnd::Reset,
                AttemptEnd::NotConnected,
            ];
            let end = ends[rng.usize(0..ends.len())];
            h.outcome(request, attempt, node, end, end == AttemptEnd::Served, 10_000);
        }
        if rng.u32(0..10) == 0 {
            h.event(Event::ClientDisconnected { request: RequestId(id) });
        }
        h.step(STEP);
        h.log.retain(|(_, action)| matches!(action, Action::SetTimer { .. }));
        let excess = h.log.len().saturating_sub(4);
        h.log.drain(..excess);
        let kept = h.scheduler.entry_counts();
        most.requests = most.requests.max(kept.requests);
        most.volumes = most.volumes.max(kept.volumes);
        most.nodes = most.nodes.max(kept.nodes);
    }
    println!("{id} ids and volumes, {next} nodes; at most {most:?} at a time");
    let recent = (2 * LOOKBACK / STEP) as usize;
    assert!(most.volumes <= recent + 1, "{} volumes kept", most.volumes);
    let recent = LISTED as usize + (2 * LOOKBACK / REPLACED) as usize;
    assert!(most.nodes <= recent + 2, "{} nodes kept", most.nodes);
    assert!(most.requests <= OPEN, "{} requests kept", most.requests);
    // Nothing more comes; what is out ends, and the lookback passes.
    for _ in 0..8 {
        for (request, attempt, node) in std::mem::take(&mut h.out) {
            h.outcome(request, attempt, node, AttemptEnd::Served, true, 10_000);
        }
        h.step(LOOKBACK / 2);
        h.event(Event::TimerFired { token: 0 });
    }
    let kept = h.scheduler.entry_counts();
    assert_eq!(kept, EntryCounts { requests: 0, volumes: 0, nodes: LISTED as usize, timestamps: 0 });
}
