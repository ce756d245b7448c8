//! A seeded day in virtual time: arrivals, outcomes of whatever the scheduler sends, changes of the list,
//! clients that leave and wakes. The same seed gives the same events as long as the actions are the same.

use std::cmp::Reverse;
use std::collections::{BTreeMap, BinaryHeap};

use heathward_policy::*;

const SECOND: Micros = 1_000_000;
const START: Micros = 40 * SECOND;
/// Volumes that ask all day long, and those that come back after up to two lookbacks.
const STEADY_VOLUMES: u64 = 150;
const RARE_VOLUMES: u64 = 2_000;

/// What a day looks like.
pub struct Plan {
    pub name: &'static str,
    pub settings: Settings,
    pub seed: u64,
    pub nodes: u32,
    pub events: usize,
    /// Mean arrivals a second outside surges.
    pub rate: f64,
    /// Share of arrivals that any node may serve.
    pub free: f64,
    /// Share of nodes that have started a moment ago when the day begins.
    pub cold: f64,
}

/// What is to come.
#[derive(Clone, Debug)]
enum Next {
    Arrival,
    Repeat(Request),
    Outcome { request: u64, attempt: u32 },
    Stream(u64),
    Leave(u64),
    Wake(u64),
    List,
}

struct Attempt {
    node: NodeId,
    sent: Micros,
    end: AttemptEnd,
}

/// The world around one scheduler.
pub struct Day {
    plan: Plan,
    rng: fastrand::Rng,
    pub scheduler: Scheduler,
    pub now: Micros,
    queue: BinaryHeap<Reverse<(Micros, u64)>>,
    agenda: BTreeMap<u64, Next>,
    scheduled: u64,
    requests: BTreeMap<u64, Request>,
    attempts: BTreeMap<(u64, u32), Attempt>,
    sends: BTreeMap<u64, u32>,
    /// When each node has done what it was sent.
    free_at: BTreeMap<NodeId, Micros>,
    states: BTreeMap<NodeId, EndpointEntry>,
    next_id: u64,
    next_node: u32,
}

impl Day {
    pub fn new(plan: Plan) -> Self {
        let scheduler = Scheduler::new(plan.settings.clone(), plan.seed).expect("sound settings");
        let mut day = Self {
            rng: fastrand::Rng::with_seed(plan.seed ^ 0xda7),
            scheduler,
            now: START,
            queue: BinaryHeap::new(),
            agenda: BTreeMap::new(),
            scheduled: 0,
            requests: BTreeMap::new(),
            attempts: BTreeMap::new(),
            sends: BTreeMap::new(),
            free_at: BTreeMap::new(),
            states: BTreeMap::new(),
            next_id: 0,
            next_node: plan.nodes,
            plan,
        };
        for number in 0..day.plan.nodes {
            let started = (day.rng.f64() < day.plan.cold).then_some(START - day.rng.u64(0..SECOND));
            let shard = ShardId(number);
            let state = NodeState::Ready;
            let entry =
                EndpointEntry { node: NodeId(number), shard, zone: number % 3, state, started_at: started };
            day.states.insert(entry.node, entry);
        }
        day.schedule(START, Next::Arrival);
        day.schedule(START + SECOND, Next::List);
        day
    }

    /// Plays the day; `seen` gets the number of each event, the time and the action.
    pub fn play(&mut self, mut seen: impl FnMut(usize, Micros, &Action)) {
        let entries = self.states.values().copied().collect();
        let mut event = Event::EndpointUpdate { kind: EndpointUpdateKind::Cached, entries };
        for number in 0..self.plan.events {
            let mut actions = Vec::new();
            self.scheduler.handle(self.now, event, &mut actions);
            for action in actions {
                seen(number, self.now, &action);
                self.follow(action);
            }
            event = self.next_event();
        }
    }

    fn schedule(&mut self, at: Micros, next: Next) {
        self.scheduled += 1;
        self.agenda.insert(self.scheduled, next);
        self.queue.push(Reverse((at.max(self.now), self.scheduled)));
    }

    /// Does what the scheduler asks for.
    fn follow(&mut self, action: Action) {
        match action {
            Action::Send { request, node, timeout: give_up } => self.attempt(request.0, node, give_up),
            Action::Shed { request, retry_after } => self.refused(request.0, retry_after),
            Action::Fail { request } => drop(self.requests.remove(&request.0)),
            Action::SetTimer { token, at } => self.schedule(at, Next::Wake(token)),
            Action::Subscribe => self.schedule(self.now + 5_000, Next::List),
            Action::Log { .. } => {}
        }
    }

    fn attempt(&mut self, request: u64, node: NodeId, give_up: Option<Micros>) {
        let units = self.requests.get(&request).map_or(1, |r| r.units);
        let unit_time = self.plan.settings.classes[0].latency_objective / 40;
        let service = (u64::from(units) * unit_time) as f64 * (0.3 + 1.4 * self.rng.f64());
        let start = self.free_at.get(&node).copied().unwrap_or(0).max(self.now);
        let mut done = start + service as Micros;
        let (mut end, draw) = (AttemptEnd::Served, self.rng.u32(0..1_000));
        let wait = start - self.now;
        // One node in sixteen is in trouble for ten seconds at a time.
        let troubled = (self.now / (10 * SECOND) + u64::from(node.0)).is_multiple_of(16);
        if wait > 3 * self.plan.settings.classes[0].latency_objective {
            (end, done) = (AttemptEnd::Rejected, self.now + 500);
        } else if troubled && draw < 300 || draw < 20 {
            let ends = [
                AttemptEnd::Error,
                AttemptEnd::Rejected,
                AttemptEnd::NotConnected,
                AttemptEnd::TimedOut,
                AttemptEnd::Reset,
                AttemptEnd::NotSent,
            ];
            end = ends[self.rng.usize(0..ends.len())];
            done = self.now + self.rng.u64(500..20_000);
        } else {
            self.free_at.insert(node, done);
        }
        let limit = give_up.unwrap_or(3 * SECOND);
        if end == AttemptEnd::TimedOut || done - self.now > limit {
            (end, done) = (AttemptEnd::TimedOut, self.now + limit);
        }
        let attempt = self.sends.entry(request).or_default();
        self.attempts.insert((request, *attempt), Attempt { node, sent: self.now, end });
        let outcome = Next::Outcome { request, attempt: *attempt };
        *attempt += 1;
        if end == AttemptEnd::Served && self.rng.u32(0..50) == 0 {
            self.schedule(self.now + (done - self.now) / 2, Next::Stream(request));
        }
        self.schedule(done, outcome);
    }

    fn refused(&mut self, request: u64, retry_after: Option<Micros>) {
        let Some(request) = self.requests.remove(&request) else { return };
        let after = retry_after.unwrap_or(100_000);
        if self.rng.bool() && request.time_budget > after + 50_000 {
            self.next_id += 1;
            let repeat = Request {
                id: RequestId(self.next_id),
                time_budget: request.time_budget - after,
                is_client_retry: true,
                ..request
            };
            self.schedule(self.now + after, Next::Repeat(repeat));
        }
    }

    fn next_event(&mut self) -> Event {
        loop {
            let Reverse((at, key)) = self.queue.pop().expect("arrivals go on");
            self.now = self.now.max(at);
            let next = self.agenda.remove(&key).expect("scheduled once");
            if let Some(event) = self.event(next) {
                return event;
            }
        }
    }

    fn event(&mut self, next: Next) -> Option<Event> {
        match next {
            Next::Arrival => Some(self.arrival()),
            Next::Repeat(request) => {
                self.requests.insert(request.id.0, request);
                Some(Event::RequestArrived(request))
            }
            Next::Outcome { request, attempt } => self.outcome(request, attempt),
            Next::Stream(request) => {
                self.requests.get(&request)?;
                Some(Event::StreamStarted { request: RequestId(request) })
            }
            Next::Leave(request) => {
                self.requests.remove(&request)?;
                Some(Event::ClientDisconnected { request: RequestId(request) })
            }
            Next::Wake(token) => Some(Event::TimerFired { token }),
            Next::List => Some(self.list()),
        }
    }

    fn arrival(&mut self) -> Event {
        // Ten seconds in each forty are a surge.
        let surge = (self.now - START) % (40 * SECOND) > 30 * SECOND;
        let rate = self.plan.rate * if surge { 4.0 } else { 1.0 };
        let pause = -(1.0 - self.rng.f64()).ln() / rate * 1e6;
        self.schedule(self.now + pause as Micros, Next::Arrival);
        self.next_id += 1;
        let class = self.rng.u16(0..self.plan.settings.classes.len() as u16);
        let rules = self.plan.settings.classes[class as usize].clone();
        let volume = if self.rng.u32(0..10) == 0 {
            STEADY_VOLUMES + self.rng.u64(0..RARE_VOLUMES)
        } else {
            self.rng.u64(0..STEADY_VOLUMES)
        };
        let free = self.rng.f64() < self.plan.free;
        let shard = ShardId(self.rng.u32(0..self.plan.nodes) * self.rng.u32(1..=4) / 4);
        let left = rules.deadline - self.rng.u64(0..rules.deadline) * u64::from(self.rng.u32(0..4) == 0);
        let request = Request {
            id: RequestId(self.next_id),
            class: ClassId(class),
            plan: PlanId((volume % self.plan.settings.plans.len() as u64) as u16),
            volume: VolumeId(volume),
            units: self.rng.u32(1..=self.plan.settings.max_units.min(6)),
            time_budget: left.max(1_000),
            shard: (!free).then_some(shard),
            key: (rules.idempotency == Idempotency::WithKey).then(|| KeyId(self.rng.u64(0..40))),
            schedulers: self.rng.u32(1..=4),
            is_client_retry: false,
            is_streaming: self.rng.u32(0..30) == 0,
        };
        self.requests.insert(self.next_id, request);
        if self.rng.u32(0..40) == 0 {
            let at = self.now + self.rng.u64(1_000..300_000);
            self.schedule(at, Next::Leave(self.next_id));
        }
        Event::RequestArrived(request)
    }

    fn outcome(&mut self, request: u64, attempt: u32) -> Option<Event> {
        let Attempt { node, sent, end } = self.attempts.remove(&(request, attempt))?;
        let gone = !self.requests.contains_key(&request);
        let closed = gone || end == AttemptEnd::Served;
        if closed {
            self.requests.remove(&request);
            self.sends.remove(&request);
        }
        let end = if gone && end == AttemptEnd::TimedOut { AttemptEnd::Cancelled } else { end };
        let used = (self.rng.u32(0..3) == 0).then(|| self.rng.u32(0..250));
        let (request, took) = (RequestId(request), self.now - sent);
        let outcome = AttemptOutcome {
            request,
            attempt,
            node,
            end,
            request_closed: closed,
            latency: took,
            volume_usage_percent: used,
            served_elsewhere: None,
            utilization: None,
        };
        Some(Event::AttemptEnded(outcome))
    }

    /// A change of some nodes: drains, starts, nodes gone and replaced under a new number; at times the whole
    /// list, or a call that failed.
    fn list(&mut self) -> Event {
        let at = self.now + self.rng.u64(SECOND..4 * SECOND);
        self.schedule(at, Next::List);
        let mut changed = Vec::new();
        for _ in 0..self.rng.u32(0..3) {
            let numbers: Vec<NodeId> = self.states.keys().copied().collect();
            let mut entry = self.states[&numbers[self.rng.usize(0..numbers.len())]];
            match self.rng.u32(0..4) {
                0 => entry.state = NodeState::Draining,
                1 => {
                    entry.state = NodeState::Removed;
                    let shard = entry.shard;
                    let node = NodeId(self.next_node);
                    self.next_node += 1;
                    let (state, started) = (NodeState::Ready, Some(self.now));
                    let new = EndpointEntry { node, shard, zone: node.0 % 3, state, started_at: started };
                    self.states.insert(node, new);
                    changed.push(new);
                }
                _ => {
                    entry.state = NodeState::Ready;
                    entry.started_at = Some(self.now - self.rng.u64(0..SECOND / 10));
                }
            }
            self.states.insert(entry.node, entry);
            changed.push(entry);
        }
        let entries: Vec<EndpointEntry> = self.states.values().copied().collect();
        self.states.retain(|_, entry| entry.state != NodeState::Removed);
        match self.rng.u32(0..12) {
            0 => Event::EndpointUpdate { kind: EndpointUpdateKind::Snapshot, entries },
            1 if changed.is_empty() => {
                Event::EndpointUpdate { kind: EndpointUpdateKind::Failed, entries: vec![] }
            }
            _ => Event::EndpointUpdate { kind: EndpointUpdateKind::Changes, entries: changed },
        }
    }
}
