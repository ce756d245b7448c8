//! Compares the search for the node of a request that any node may serve with an exhaustive search over all
//! nodes: both must choose each node with the same probability, and the number of visited nodes is bounded.

use std::collections::BTreeMap;

use rstest::rstest;

use super::send_rules::SendDecision;
use super::*;
use crate::api::{
    AttemptEnd, AttemptOutcome, ClassId, ClassSettings, EndpointEntry, EndpointUpdateKind, NodeState, PlanId,
    PlanSettings, Request, RequestId, ShardId, VolumeId,
};
use crate::node_ranking::SearchResult;
use crate::request::{RequestTiming, TrackedRequest};
use crate::volume::QuotaTier;

const START: Micros = 40_000_000;
const LATENCY_OBJECTIVE: Micros = 300_000;
const DEADLINE: Micros = 1_000_000;

fn settings() -> Settings {
    let class = ClassSettings {
        latency_objective: LATENCY_OBJECTIVE,
        deadline: DEADLINE,
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
        time_budget: DEADLINE,
        shard,
        key: None,
        schedulers: 3,
        is_client_retry: false,
        is_streaming: false,
    }
}

/// State of the simulated fleet.
#[derive(Clone, Copy, Debug, PartialEq)]
enum Fleet {
    /// All nodes answer without queueing.
    Idle,
    /// Delays differ, some nodes return errors, some are down, some are in slow start.
    Mixed,
    /// All nodes are in slow start and answer without queueing.
    SlowStart,
}

/// Rank of a node in an exhaustive search; the node with the lowest rank is chosen.
#[derive(Clone, Copy, Debug, PartialEq, PartialOrd)]
struct ExhaustiveRank {
    /// Whether the request cannot be sent to the node now, or the node is unhealthy.
    is_last: bool,
    /// Score; it includes noise only while a node is being chosen.
    score: f64,
}

/// Numbers of times a node was chosen, by the search and by an exhaustive search.
#[derive(Clone, Copy, Debug, Default)]
struct Choices {
    found: u32,
    exhaustive: u32,
}

struct Harness {
    scheduler: Scheduler,
    now: Micros,
    random: fastrand::Rng,
    next_id: u64,
}

impl Harness {
    /// Creates a scheduler that has received `arrivals` requests, one every millisecond, most of which were
    /// answered.
    fn new(nodes: u32, fleet: Fleet, seed: u64, arrivals: u64) -> Self {
        let scheduler = Scheduler::new(settings(), seed).expect("valid settings");
        let mut harness = Self { scheduler, now: START, random: fastrand::Rng::with_seed(seed), next_id: 0 };
        let mut entries = Vec::new();
        for number in 0..nodes {
            let is_mixed = fleet == Fleet::Mixed;
            let is_starting = fleet == Fleet::SlowStart || is_mixed && harness.random.u32(0..10) == 0;
            entries.push(EndpointEntry {
                node: NodeId(number),
                shard: ShardId(number),
                zone: 0,
                state: NodeState::Ready,
                started_at: is_starting.then_some(START),
            });
        }
        harness.handle(Event::EndpointUpdate { kind: EndpointUpdateKind::Snapshot, entries });
        for _ in 0..arrivals {
            harness.step(nodes, fleet);
        }
        harness
    }

    /// Passes an event to the scheduler. Returns the attempts that it starts.
    fn handle(&mut self, event: Event) -> Vec<(RequestId, NodeId)> {
        let mut actions = Vec::new();
        self.scheduler.handle(self.now, event, &mut actions);
        let sent = |action| match action {
            Action::Send { request, node, .. } => Some((request, node)),
            _ => None,
        };
        actions.into_iter().filter_map(sent).collect()
    }

    fn step(&mut self, nodes: u32, fleet: Fleet) {
        self.now += 1_000;
        self.next_id += 1;
        let shard = self.random.bool().then(|| ShardId(self.random.u32(0..nodes)));
        let request = request(self.next_id, self.random.u32(1..=4), shard);
        for (request, node) in self.handle(Event::RequestArrived(request)) {
            let is_mixed = fleet == Fleet::Mixed;
            if is_mixed && self.random.u32(0..20) == 0 {
                continue;
            }
            let delay = if is_mixed { u64::from(node.0 % 7) * 30_000 } else { 0 };
            let end = match self.random.u32(0..30) {
                0 if is_mixed => AttemptEnd::Error,
                1 if is_mixed => AttemptEnd::NotConnected,
                _ => AttemptEnd::Served,
            };
            let latency = 10_000 + delay + self.random.u64(0..10_000);
            self.handle(Event::AttemptEnded(AttemptOutcome {
                request,
                attempt: 0,
                node,
                end,
                request_closed: true,
                latency,
                volume_usage_percent: None,
                served_elsewhere: None,
                utilization: None,
            }));
        }
    }

    /// Adds a request that any node may serve, without deciding on it.
    fn add_request(&mut self, quota_tier: QuotaTier, admission_draw: f64) -> RequestId {
        self.next_id += 1;
        let request = request(self.next_id, 2, None);
        let timing = RequestTiming {
            due: self.now + LATENCY_OBJECTIVE,
            deadline: self.now + DEADLINE,
            is_late: false,
        };
        let id = request.id;
        self.scheduler.requests.insert(TrackedRequest::new(request, timing, quota_tier, 0.8, admission_draw));
        id
    }

    fn search(&mut self, id: RequestId) -> SearchResult {
        for node_id in self.scheduler.nodes.ranking.expired(self.now) {
            self.scheduler.update_rank(self.now, node_id);
        }
        self.scheduler.search(self.now, id, &mut self.random)
    }

    /// Returns a node's rank without noise, or `None` if the request must never be sent to the node.
    fn rank(&self, id: RequestId, node_id: NodeId) -> Option<ExhaustiveRank> {
        let scheduler = &self.scheduler;
        let node = scheduler.nodes.get(&node_id)?;
        let decision = scheduler.check_send(self.now, id, node_id);
        let (now, period) = (self.now, scheduler.period);
        let open_units = node.in_flight.informative_units(now, period) + node.queue.units();
        let delay = node.queueing_delay(now, period, &scheduler.fleet);
        let is_unhealthy = node.health.suspected_since().is_some() || node.health.consecutive_errors() > 1;
        let rank = ExhaustiveRank {
            is_last: decision != SendDecision::Allowed || is_unhealthy,
            score: delay + open_units * self.unit_service_time(),
        };
        (decision != SendDecision::Never).then_some(rank)
    }

    /// Returns the ranks of all nodes that the request may be sent to.
    fn ranks(&self, id: RequestId) -> BTreeMap<NodeId, ExhaustiveRank> {
        let ids = self.scheduler.nodes.ids();
        ids.filter_map(|node| Some((node, self.rank(id, node)?))).collect()
    }

    /// Chooses a node by an exhaustive search; the choice is random among nodes whose loads differ by less
    /// than the service time of one unit.
    fn search_exhaustively(&mut self, ranks: &BTreeMap<NodeId, ExhaustiveRank>) -> Option<NodeId> {
        let mut lowest: Option<(ExhaustiveRank, NodeId)> = None;
        for (node, rank) in ranks {
            let score = rank.score + self.unit_service_time() * self.random.f64();
            let candidate = (ExhaustiveRank { score, ..*rank }, *node);
            lowest = lowest.filter(|lowest| *lowest < candidate).or(Some(candidate));
        }
        lowest.map(|(_, node)| node)
    }

    fn unit_service_time(&self) -> f64 {
        self.scheduler.fleet.unit_service_time()
    }
}

/// Guards against a search whose probability of choosing a node differs from an exhaustive search.
#[rstest]
fn search_chooses_each_node_as_often_as_an_exhaustive_search(
    #[values(Fleet::Idle, Fleet::Mixed, Fleet::SlowStart)] fleet: Fleet,
    #[values(3, 40, 60)] nodes: u32,
    #[values(1, 2)] seed: u64,
) {
    const DRAWS: u32 = 4_000;
    let mut harness = Harness::new(nodes, fleet, seed, 1_500);
    let id = harness.add_request(QuotaTier::Shared, 0.5);
    let ranks = harness.ranks(id);
    let mut choices: BTreeMap<NodeId, Choices> = BTreeMap::new();
    for _ in 0..DRAWS {
        let (found, exhaustive) = (harness.search(id).node, harness.search_exhaustively(&ranks));
        choices.entry(found.expect("a node")).or_default().found += 1;
        choices.entry(exhaustive.expect("a node")).or_default().exhaustive += 1;
    }
    for (node, Choices { found, exhaustive }) in choices {
        let (found, exhaustive) = (f64::from(found), f64::from(exhaustive));
        let error = (found + exhaustive).sqrt().max(1.0);
        assert!(
            (found - exhaustive).abs() <= 5.0 * error,
            "{node:?}: {found} times, {exhaustive} by an exhaustive search"
        );
    }
}

/// With more nodes than a search visits, it still finds an open node if there is one, and none whose score
/// exceeds the best by more than the noise.
#[rstest]
fn search_misses_no_better_node(
    #[values(Fleet::Idle, Fleet::Mixed)] fleet: Fleet,
    #[values(1, 2, 3)] seed: u64,
) {
    let mut harness = Harness::new(800, fleet, seed, 3_000);
    let (mut found, mut exhaustive) = (0.0, 0.0);
    let rounds = 60;
    for _ in 0..rounds {
        harness.step(800, fleet);
        let draw = harness.random.f64();
        let id = harness.add_request(QuotaTier::Shared, draw);
        let ranks = harness.ranks(id);
        let best = ranks.values().copied().reduce(|a, b| if b < a { b } else { a }).expect("nodes");
        let rank = ranks[&harness.search(id).node.expect("a node")];
        assert_eq!(rank.is_last, best.is_last, "chose a node without capacity although others have some");
        let worst_score = best.score + harness.unit_service_time();
        assert!(rank.score <= worst_score, "score {}, best score {}", rank.score, best.score);
        found += rank.score;
        exhaustive += ranks[&harness.search_exhaustively(&ranks).expect("a node")].score;
        harness.scheduler.requests.remove(id);
    }
    let (found, exhaustive) = (found / f64::from(rounds), exhaustive / f64::from(rounds));
    let noise = harness.unit_service_time();
    assert!(
        (found - exhaustive).abs() < 0.1 * noise,
        "mean score {found}, {exhaustive} by an exhaustive search"
    );
}

/// Guards against an outdated ranking: at no time does a bound exceed its node's score.
#[rstest]
fn bounds_never_exceed_scores(#[values(Fleet::Idle, Fleet::Mixed, Fleet::SlowStart)] fleet: Fleet) {
    let mut harness = Harness::new(50, fleet, 5, 0);
    for round in 0..3_000u64 {
        harness.step(50, fleet);
        if round % 10 == 0 {
            harness.now += harness.random.u64(0..400_000);
            harness.handle(Event::TimerFired { token: 0 });
            let id = harness.add_request(QuotaTier::Reserved, 0.5);
            harness.search(id);
            let fleet_delay = harness.scheduler.fleet.delay(harness.now);
            for (node, ExhaustiveRank { score, .. }) in harness.ranks(id) {
                let bound =
                    harness.scheduler.nodes.ranking.bound(node, fleet_delay, harness.unit_service_time());
                let bound = bound.expect("nodes in service are ranked");
                assert!(bound <= score + 1e-6, "{node:?}: bound {bound} exceeds score {score}");
            }
            harness.scheduler.requests.remove(id);
        }
    }
}

fn mean_visits(nodes: u32, fleet: Fleet) -> f64 {
    // With a few nodes in slow start, many requests are soon queued, and each step examines all of them.
    let arrivals = if fleet == Fleet::SlowStart { 500 } else { 5_000 };
    let mut harness = Harness::new(nodes, fleet, 3, arrivals);
    let (rounds, mut visits) = (100, 0);
    for _ in 0..rounds {
        harness.step(nodes, fleet);
        let draw = harness.random.f64();
        let id = harness.add_request(QuotaTier::Shared, draw);
        let found = harness.search(id);
        visits += found.visits;
        for node in found.outdated {
            harness.scheduler.update_rank(harness.now, node);
        }
        harness.scheduler.requests.remove(id);
    }
    visits as f64 / f64::from(rounds)
}

/// Guards against a search that visits all nodes for each request.
#[rstest]
fn search_among_5100_nodes_visits_at_most_three_times_as_many_as_among_100(
    #[values(Fleet::Idle, Fleet::Mixed, Fleet::SlowStart)] fleet: Fleet,
) {
    let (few, many) = (mean_visits(100, fleet), mean_visits(5_100, fleet));
    println!("{fleet:?}: {few:.1} nodes visited of 100, {many:.1} of 5,100");
    assert!(many <= 3.0 * few.max(1.0), "{fleet:?}: {few} nodes visited of 100, {many} of 5,100");
}
