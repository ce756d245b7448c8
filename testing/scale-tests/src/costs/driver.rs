//! One real decision module before a list of nodes that serve at once, with its events timed by their kind.

use std::time::{Duration, Instant};

use fastrand::Rng;
use heathward_policy::{
    Action, AttemptEnd, AttemptOutcome, ClassId, EndpointEntry, EndpointUpdateKind, Event, Micros, NodeId,
    NodeState, PlanId, Request, RequestId, Scheduler, Settings, ShardId, VolumeId,
};

use crate::events::EventQueue;

/// An answer comes so long after its request was sent.
const SERVICE: Micros = 5_000;
/// Volumes that requests come from.
const VOLUMES: u64 = 40;

/// Where requests go.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Target {
    /// To the node that holds a shard, drawn.
    Pinned,
    /// To any node.
    Free,
}

/// What requests have come to, and the time that the module took.
#[derive(Clone, Copy, Debug, Default, PartialEq)]
pub struct Spent {
    /// Requests that came.
    pub arrivals: u64,
    /// Attempts that were sent.
    pub sent: u64,
    /// In arrivals alone.
    pub arriving: Duration,
    /// In outcomes.
    pub outcomes: Duration,
    /// In wakes.
    pub wakes: Duration,
    /// Wakes that came.
    pub woken: u64,
}

impl Spent {
    /// Microseconds an arrival.
    pub fn arrival_micros(&self) -> f64 {
        self.arriving.as_secs_f64() * 1e6 / self.arrivals.max(1) as f64
    }

    /// Microseconds for each request with all of its events.
    pub fn request_micros(&self) -> f64 {
        (self.arriving + self.outcomes + self.wakes).as_secs_f64() * 1e6 / self.arrivals.max(1) as f64
    }
}

enum Due {
    Wake(u64),
    Served { request: u64, node: NodeId, attempt: u32, sent: Micros },
}

/// The module and its nodes.
pub struct Driver {
    module: Scheduler,
    set: Settings,
    rng: Rng,
    now: Micros,
    nodes: u32,
    requests: u64,
    attempts: fnv::FnvHashMap<u64, u32>,
    queue: EventQueue<Due>,
    wake: u64,
    spent: Spent,
    actions: Vec<Action>,
}

/// An entry of a node in service.
pub fn entry(node: u32, started: Option<Micros>) -> EndpointEntry {
    EndpointEntry {
        node: NodeId(node),
        shard: ShardId(node),
        zone: node % 10,
        state: NodeState::Ready,
        started_at: started,
    }
}

impl Driver {
    /// A scheduler that has just had the list of so many nodes; `cold` says that all of them start now.
    ///
    /// # Panics
    /// Where the module refuses the settings.
    pub fn new(set: &Settings, nodes: u32, cold: bool, seed: u64) -> Self {
        let now = 100_000_000;
        let module = Scheduler::new(set.clone(), seed).expect("sound settings");
        let mut driver = Self {
            module,
            set: set.clone(),
            rng: Rng::with_seed(seed),
            now,
            nodes,
            requests: 0,
            attempts: fnv::FnvHashMap::default(),
            queue: EventQueue::default(),
            wake: 0,
            spent: Spent::default(),
            actions: Vec::new(),
        };
        let entries = (0..nodes).map(|node| entry(node, cold.then_some(now))).collect();
        driver.list(EndpointUpdateKind::Snapshot, entries);
        driver
    }

    /// The time.
    pub fn now(&self) -> Micros {
        self.now
    }

    /// The module.
    pub fn module(&self) -> &Scheduler {
        &self.module
    }

    /// What it has spent since the last call of this.
    pub fn take_spent(&mut self) -> Spent {
        std::mem::take(&mut self.spent)
    }

    /// A line of the list comes; gives the time that it took.
    pub fn list(&mut self, kind: EndpointUpdateKind, entries: Vec<EndpointEntry>) -> Duration {
        let took = self.handle(Event::EndpointUpdate { kind, entries });
        self.act();
        took
    }

    /// So many requests, one each `gap`.
    pub fn ask(&mut self, arrivals: u64, gap: Micros, target: Target) {
        for _ in 0..arrivals {
            self.pass(gap);
            let shard = (target == Target::Pinned).then(|| ShardId(self.rng.u32(0..self.nodes)));
            let volume = VolumeId(self.rng.u64(0..VOLUMES));
            self.arrive(shard, volume);
        }
    }

    /// One request for each node in turn.
    pub fn ask_each(&mut self, gap: Micros) {
        for node in 0..self.nodes {
            self.pass(gap);
            let volume = VolumeId(self.rng.u64(0..VOLUMES));
            self.arrive(Some(ShardId(node)), volume);
        }
    }

    /// One request of that volume, for a node that is drawn.
    pub fn ask_for(&mut self, volume: VolumeId, gap: Micros) {
        self.pass(gap);
        let shard = ShardId(self.rng.u32(0..self.nodes));
        self.arrive(Some(shard), volume);
    }

    fn arrive(&mut self, shard: Option<ShardId>, volume: VolumeId) {
        self.requests += 1;
        let request = Request {
            id: RequestId(self.requests),
            class: ClassId(0),
            plan: PlanId(0),
            volume,
            units: self.rng.u32(1..=3),
            time_budget: self.set.classes[0].deadline,
            shard,
            key: None,
            schedulers: 1,
            is_client_retry: false,
            is_streaming: false,
        };
        self.spent.arrivals += 1;
        let took = self.handle(Event::RequestArrived(request));
        self.spent.arriving += took;
        self.act();
    }

    /// Time passes, with all that is due in it.
    pub fn pass(&mut self, span: Micros) {
        let until = self.now + span;
        while let Some((at, due)) = self.queue.pop(until) {
            self.now = at;
            match due {
                Due::Wake(token) if token == self.wake => {
                    let took = self.handle(Event::TimerFired { token });
                    self.spent.wakes += took;
                    self.spent.woken += 1;
                }
                Due::Wake(_) => continue,
                Due::Served { request, node, attempt, sent } => {
                    let took = self.handle(served(request, node, attempt, at - sent));
                    self.spent.outcomes += took;
                }
            }
            self.act();
        }
        self.now = until;
    }

    fn handle(&mut self, event: Event) -> Duration {
        let begin = Instant::now();
        self.module.handle(self.now, event, &mut self.actions);
        begin.elapsed()
    }

    fn act(&mut self) {
        for action in std::mem::take(&mut self.actions) {
            match action {
                Action::Send { request, node, .. } => {
                    let attempts = self.attempts.entry(request.0).or_default();
                    let due = Due::Served { request: request.0, node, attempt: *attempts, sent: self.now };
                    *attempts += 1;
                    self.queue.push(self.now + SERVICE, due);
                    self.spent.sent += 1;
                }
                Action::SetTimer { token, at } => {
                    self.wake = token;
                    self.queue.push(at, Due::Wake(token));
                }
                _ => {}
            }
        }
    }
}

fn served(request: u64, node: NodeId, attempt: u32, took: Micros) -> Event {
    Event::AttemptEnded(AttemptOutcome {
        request: RequestId(request),
        attempt,
        node,
        end: AttemptEnd::Served,
        request_closed: true,
        latency: took,
        volume_usage_percent: None,
        served_elsewhere: None,
        utilization: None,
    })
}
