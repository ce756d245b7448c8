//! A long run in virtual time with request ids, volumes and nodes that come and go: the number of entries
//! that the policy keeps is bounded by the recent ones, and falls back to the listed nodes. Entries are
//! counted, not bytes. The run is seeded.
#![cfg(test)]

mod common;
use common::{endpoint, sample_request, settings, Harness};
use heathward_policy::*;

/// Time without use after which an entry is removed, or twice that at most, in microseconds.
const LOOKBACK: Micros = 30_000_000;
const STEP: Micros = 20_000;
const RUN_DURATION: Micros = 20 * 60 * 1_000_000;
/// Number of nodes in service at a time.
const LISTED_NODES: u32 = 8;
/// Interval at which a node is replaced under a new id, in microseconds.
const REPLACEMENT_INTERVAL: Micros = 2_000_000;
/// Maximum number of requests open at a time: each waits no longer than its latency objective, which is
/// fifteen steps.
const MAX_OPEN_REQUESTS: usize = 16;

fn entry(node: u32, state: NodeState) -> EndpointEntry {
    EndpointEntry { shard: ShardId(node % LISTED_NODES), state, ..endpoint(node) }
}

/// Ends every attempt in flight with the result that `end` returns.
fn end_all(harness: &mut Harness, mut end: impl FnMut() -> AttemptEnd) {
    for open in std::mem::take(&mut harness.in_flight) {
        let end = end();
        let closed = end == AttemptEnd::Served;
        harness.end_attempt(open.request, open.attempt, open.node, end, closed, 10_000);
    }
}

/// A run: the harness, the random traffic and the listed nodes.
struct Run {
    harness: Harness,
    random: fastrand::Rng,
    /// Nodes in service, the oldest first.
    listed: Vec<u32>,
    newest_node: u32,
    requests: u64,
    /// Maximum number of entries of each kind.
    max: EntryCounts,
}

impl Run {
    fn new() -> Self {
        let mut harness = Harness::with_seed(settings(), 9);
        let listed: Vec<u32> = (1..=LISTED_NODES).collect();
        let entries = listed.iter().map(|node| entry(*node, NodeState::Ready)).collect();
        harness.update_endpoints(EndpointUpdateKind::Snapshot, entries);
        Self {
            harness,
            random: fastrand::Rng::with_seed(9),
            listed,
            newest_node: LISTED_NODES,
            requests: 0,
            max: EntryCounts::default(),
        }
    }

    /// Removes the oldest node; its shard moves to a new one.
    fn replace_oldest_node(&mut self) {
        let old = self.listed.remove(0);
        self.newest_node += 1;
        self.listed.push(self.newest_node);
        let started_at = Some(self.harness.now);
        let new = EndpointEntry { started_at, ..entry(self.newest_node, NodeState::Ready) };
        let entries = vec![entry(old, NodeState::Removed), new];
        self.harness.update_endpoints(EndpointUpdateKind::Changes, entries);
    }

    /// Submits a request with a volume and a key of its own, and ends every attempt in flight.
    fn step(&mut self) {
        self.requests += 1;
        let id = self.requests;
        let class = ClassId(self.random.u16(0..3));
        let (volume, key) = (VolumeId(id), Some(KeyId(id)));
        let shard = Some(ShardId(self.random.u32(0..LISTED_NODES)));
        self.harness.submit(Request { class, volume, key, shard, ..sample_request(id) });
        let ends = [
            AttemptEnd::Served,
            AttemptEnd::Served,
            AttemptEnd::Served,
            AttemptEnd::Error,
            AttemptEnd::Reset,
            AttemptEnd::NotConnected,
        ];
        end_all(&mut self.harness, || ends[self.random.usize(0..ends.len())]);
        if self.random.u32(0..10) == 0 {
            self.harness.handle(Event::ClientDisconnected { request: RequestId(id) });
        }
        self.harness.advance(STEP);
        self.discard_old_actions();
        let counts = self.harness.scheduler.entry_counts();
        self.max.requests = self.max.requests.max(counts.requests);
        self.max.volumes = self.max.volumes.max(counts.volumes);
        self.max.nodes = self.max.nodes.max(counts.nodes);
    }

    /// Removes all actions except the timers that were set last, which the harness needs.
    fn discard_old_actions(&mut self) {
        let actions = &mut self.harness.actions;
        actions.retain(|timed| matches!(timed.action, Action::SetTimer { .. }));
        let excess = actions.len().saturating_sub(4);
        actions.drain(..excess);
    }
}

#[test]
fn unused_requests_volumes_and_nodes_are_removed() {
    let mut run = Run::new();
    for step in 0..RUN_DURATION / STEP {
        if step % (REPLACEMENT_INTERVAL / STEP) == 0 {
            run.replace_oldest_node();
        }
        run.step();
    }
    let Run { mut harness, newest_node, requests, max, .. } = run;
    println!("{requests} ids and volumes, {newest_node} nodes; at most {max:?} at a time");
    let recent = (2 * LOOKBACK / STEP) as usize;
    assert!(max.volumes <= recent + 1, "{} volumes kept", max.volumes);
    let recent = LISTED_NODES as usize + (2 * LOOKBACK / REPLACEMENT_INTERVAL) as usize;
    assert!(max.nodes <= recent + 2, "{} nodes kept", max.nodes);
    assert!(max.requests <= MAX_OPEN_REQUESTS, "{} requests kept", max.requests);
    // No more requests arrive, the attempts in flight end, and the lookback time passes.
    for _ in 0..8 {
        end_all(&mut harness, || AttemptEnd::Served);
        harness.advance(LOOKBACK / 2);
        harness.handle(Event::TimerFired { token: 0 });
    }
    let counts = harness.scheduler.entry_counts();
    let expected = EntryCounts { requests: 0, volumes: 0, nodes: LISTED_NODES as usize, timestamps: 0 };
    assert_eq!(counts, expected);
}

/// Guards against memory that grows with every new name: a client sends requests of ever new volumes, far
/// faster than volumes are forgotten. Those of a plan without a rate limit are all handled.
#[test]
fn the_number_of_volumes_is_bounded_at_any_rate_of_new_names() {
    let mut run = Run::new();
    for id in 1..=20_000 {
        let shard = Some(ShardId((id % u64::from(LISTED_NODES)) as u32));
        run.harness.submit(Request { volume: VolumeId(id), shard, ..sample_request(id) });
        end_all(&mut run.harness, || AttemptEnd::Served);
        run.harness.advance(100);
        run.discard_old_actions();
        let volumes = run.harness.scheduler.entry_counts().volumes;
        assert!(volumes <= 8192, "{volumes} volumes after {id} requests");
    }
    assert!(run.harness.scheduler.entry_counts().volumes >= 5000);
}
