//! The search for a new object's node against a walk over all nodes, which was the law before: the same
//! choice by the same chances, and the number of nodes that it looks at.

use rstest::rstest;

use super::*;
use crate::api::{
    AttemptEnd, AttemptOutcome, ClassId, ClassSettings, EndpointEntry, EndpointUpdateKind, NodeState, PlanId,
    PlanSettings, Request, RequestId, ShardId, VolumeId,
};
use crate::node_ranking::SearchResult;

const START: Micros = 40_000_000;
const AIM: Micros = 300_000;

fn settings() -> Settings {
    let class = ClassSettings {
        latency_objective: AIM,
        deadline: 1_000_000,
        priority_weight: 1.0,
        ..ClassSettings::default()
    };
    let plan = PlanSettings {
        usual_rate: 1e3,
        reserved_rate: 1e3,
        shared_weight: 1.0,
        priority_factor: 1.0,
        ..PlanSettings::default()
    };
    Settings {
        schedulers: 30,
        classes: vec![class],
        plans: vec![plan],
        mean_units: 2.0,
        max_units: 8,
        shared_tier_weight: 0.3,
        excess_tier_weight: 0.1,
        max_attempts: 4,
        timer_resolution: 2_000,
        slow_start_units: 21.0,
        slow_start_fraction: 0.2,
        slow_start_duration: 18_000_000,
        overload_window: 2_000_000,
        overload_multiple: 4.0,
        ..Settings::default()
    }
}

fn request(id: u64, units: u32, shard: Option<ShardId>) -> Request {
    Request {
        id: RequestId(id),
        class: ClassId(0),
        plan: PlanId(0),
        volume: VolumeId(id % 97),
        units,
        time_budget: 1_000_000,
        shard,
        key: None,
        schedulers: 3,
        is_client_retry: false,
        is_streaming: false,
    }
}

/// How nodes fare.
#[derive(Clone, Copy, Debug, PartialEq)]
enum State {
    /// All answer without a wait.
    Calm,
    /// Waits differ, some nodes err, some are down, some have just started.
    Mixed,
    /// As calm, and all have just started.
    Cold,
}

struct Bench {
    scheduler: Scheduler,
    now: Micros,
    rng: fastrand::Rng,
    next: u64,
}

impl Bench {
    /// A scheduler that was given `arrivals` requests, one a millisecond, most of them answered.
    fn new(nodes: u32, state: State, seed: u64, arrivals: u64) -> Self {
        let scheduler = Scheduler::new(settings(), seed).expect("sound settings");
        let mut bench = Self { scheduler, now: START, rng: fastrand::Rng::with_seed(seed), next: 0 };
        let mut entries = Vec::new();
        for number in 0..nodes {
            let cold = state == State::Cold || state == State::Mixed && bench.rng.u32(0..10) == 0;
            let (node, shard, zone, state) = (NodeId(number), ShardId(number), 0, NodeState::Ready);
            entries.push(EndpointEntry { node, shard, zone, state, started_at: cold.then_some(START) });
        }
        bench.feed(Event::EndpointUpdate { kind: EndpointUpdateKind::Snapshot, entries });
        for _ in 0..arrivals {
            bench.step(nodes, state);
        }
        bench
    }

    fn feed(&mut self, event: Event) -> Vec<(RequestId, NodeId)> {
        let mut actions = Vec::new();
        self.scheduler.handle(self.now, event, &mut actions);
        let sent = |action| match action {
            Action::Send { request, node, .. } => Some((request, node)),
            _ => None,
        };
        actions.into_iter().filter_map(sent).collect()
    }

    fn step(&mut self, nodes: u32, state: State) {
        self.now += 1_000;
        self.next += 1;
        let shard = self.rng.bool().then(|| ShardId(self.rng.u32(0..nodes)));
        let request = request(self.next, self.rng.u32(1..=4), shard);
        for (request, node) in self.feed(Event::RequestArrived(request)) {
            let mixed = state == State::Mixed;
            if mixed && self.rng.u32(0..20) == 0 {
                continue;
            }
            let long = if mixed { u64::from(node.0 % 7) * 30_000 } else { 0 };
            let end = match self.rng.u32(0..30) {
                0 if mixed => AttemptEnd::Error,
                1 if mixed => AttemptEnd::NotConnected,
                _ => AttemptEnd::Served,
            };
            let took = 10_000 + long + self.rng.u64(0..10_000);
            let (attempt, closed) = (0, true);
            let (used, elsewhere, busy) = (None, None, None);
            self.feed(Event::AttemptEnded(AttemptOutcome {
                request,
                attempt,
                node,
                end,
                request_closed: closed,
                latency: took,
                volume_usage_percent: used,
                served_elsewhere: elsewhere,
                utilization: busy,
            }));
        }
    }

    /// A request for any node that nothing was decided on.
    fn place(&mut self, portion: QuotaTier, luck: f64) -> RequestId {
        self.next += 1;
        let request = request(self.next, 2, None);
        let id = request.id;
        let job = TrackedRequest::new(request, self.now + AIM, self.now + 1_000_000, portion, 0.8, luck);
        self.scheduler.requests.insert(id, job);
        id
    }

    fn search(&mut self, id: RequestId) -> SearchResult {
        for node_id in self.scheduler.nodes.ranking.expired(self.now) {
            self.scheduler.index(self.now, node_id);
        }
        self.scheduler.search(self.now, id, &mut self.rng)
    }

    /// Whether a node comes last, and its score without noise; `None` if the request must never go there.
    fn rank(&self, id: RequestId, node_id: NodeId) -> Option<(bool, f64)> {
        let (s, node) = (&self.scheduler, &self.scheduler.nodes[&node_id]);
        let gate = s.check_send(self.now, id, node_id);
        let open = (s.open_units(self.now, node) + node.queued_units) * s.unit_service_time;
        let shunned = node.suspected_since.is_some() || node.consecutive_errors > 1;
        let rank = (gate != SendDecision::Allowed || shunned, s.queueing_delay(self.now, node) + open);
        (gate != SendDecision::Never).then_some(rank)
    }

    /// Ranks of all nodes that the request may go to.
    fn ranks(&self, id: RequestId) -> BTreeMap<NodeId, (bool, f64)> {
        let ids = self.scheduler.nodes.keys();
        ids.filter_map(|node| Some((*node, self.rank(id, *node)?))).collect()
    }

    /// The law before: a walk over all nodes, ties within a unit's time by chance.
    fn walk(&mut self, ranks: &BTreeMap<NodeId, (bool, f64)>) -> Option<NodeId> {
        let mut best: Option<(bool, f64, NodeId)> = None;
        for (node, (last, score)) in ranks {
            let rank = (*last, score + self.scheduler.unit_service_time * self.rng.f64(), *node);
            best = best.filter(|least| *least < rank).or(Some(rank));
        }
        best.map(|(_, _, node)| node)
    }
}

/// Each node is chosen as often as by the walk.
#[rstest]
fn chances_are_those_of_a_walk(
    #[values(State::Calm, State::Mixed, State::Cold)] state: State,
    #[values(3, 40, 60)] nodes: u32,
    #[values(1, 2)] seed: u64,
) {
    const DRAWS: u32 = 4_000;
    let mut bench = Bench::new(nodes, state, seed, 1_500);
    let id = bench.place(QuotaTier::Shared, 0.5);
    let ranks = bench.ranks(id);
    let mut counts: BTreeMap<NodeId, (u32, u32)> = BTreeMap::new();
    for _ in 0..DRAWS {
        let (found, walked) = (bench.search(id).node, bench.walk(&ranks));
        counts.entry(found.expect("a node")).or_default().0 += 1;
        counts.entry(walked.expect("a node")).or_default().1 += 1;
    }
    for (node, (found, walked)) in counts {
        let (found, walked) = (f64::from(found), f64::from(walked));
        let error = (found + walked).sqrt().max(1.0);
        assert!((found - walked).abs() <= 5.0 * error, "{node:?}: {found} times, {walked} by a walk");
    }
}

/// Also where there are more nodes than a search looks at: an open node where there is one, and none that is
/// worse than the best by more than the noise.
#[rstest]
fn none_better_is_passed_over(
    #[values(State::Calm, State::Mixed)] state: State,
    #[values(1, 2, 3)] seed: u64,
) {
    let mut bench = Bench::new(800, state, seed, 3_000);
    let (mut found, mut walked) = (0.0, 0.0);
    let rounds = 60;
    for _ in 0..rounds {
        bench.step(800, state);
        let luck = bench.rng.f64();
        let id = bench.place(QuotaTier::Shared, luck);
        let ranks = bench.ranks(id);
        let least = ranks.values().copied().reduce(|a, b| if b < a { b } else { a }).expect("nodes");
        let (last, score) = ranks[&bench.search(id).node.expect("a node")];
        assert_eq!(last, least.0, "a node without room, where others have it");
        assert!(score <= least.1 + bench.scheduler.unit_service_time, "{score}, {} at the best", least.1);
        found += score;
        walked += ranks[&bench.walk(&ranks).expect("a node")].1;
        bench.scheduler.requests.remove(&id);
    }
    let (found, walked) = (found / f64::from(rounds), walked / f64::from(rounds));
    let noise = bench.scheduler.unit_service_time;
    assert!((found - walked).abs() < 0.1 * noise, "{found} in the mean, {walked} by a walk");
}

/// An entry of the index is right whatever happened: no bound lies above its node's score.
#[rstest]
fn bounds_stay_below_scores(#[values(State::Calm, State::Mixed, State::Cold)] state: State) {
    let mut bench = Bench::new(50, state, 5, 0);
    for round in 0..3_000u64 {
        bench.step(50, state);
        if round % 10 == 0 {
            bench.now += bench.rng.u64(0..400_000);
            bench.feed(Event::TimerFired { token: 0 });
            let id = bench.place(QuotaTier::Reserved, 0.5);
            bench.search(id);
            let prior = bench.scheduler.decayed_fleet_delay(bench.now);
            for (node, (_, score)) in bench.ranks(id) {
                let bound =
                    bench.scheduler.nodes.ranking.bound(node, prior, bench.scheduler.unit_service_time);
                let bound = bound.expect("nodes in service have a place");
                assert!(bound <= score + 1e-6, "{node:?}: a bound of {bound} over a score of {score}");
            }
            bench.scheduler.requests.remove(&id);
        }
    }
}

fn mean_visits(nodes: u32, state: State) -> f64 {
    // Few cold nodes soon leave much to hold, and each step looks at all of that.
    let arrivals = if state == State::Cold { 500 } else { 5_000 };
    let mut bench = Bench::new(nodes, state, 3, arrivals);
    let (rounds, mut visits) = (100, 0);
    for _ in 0..rounds {
        bench.step(nodes, state);
        let luck = bench.rng.f64();
        let id = bench.place(QuotaTier::Shared, luck);
        let found = bench.search(id);
        visits += found.visits;
        for node in found.outdated {
            bench.scheduler.index(bench.now, node);
        }
        bench.scheduler.requests.remove(&id);
    }
    visits as f64 / f64::from(rounds)
}

/// Guards against a walk over all nodes for each request.
#[rstest]
fn a_search_at_5100_nodes_looks_at_no_more_than_three_times_as_many(
    #[values(State::Calm, State::Mixed, State::Cold)] state: State,
) {
    let (few, many) = (mean_visits(100, state), mean_visits(5_100, state));
    println!("{state:?}: {few:.1} nodes looked at of 100, {many:.1} of 5,100");
    assert!(many <= 3.0 * few.max(1.0), "{state:?}: {few} nodes looked at of 100, {many} of 5,100");
}
