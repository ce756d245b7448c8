//! A seeded workload in virtual time: requests, ends of attempts, changes of the endpoint list, clients that
//! disconnect, and timers. The same seed gives the same events as long as the scheduler's actions are the
//! same.

use std::cmp::Reverse;
use std::collections::{BTreeMap, BinaryHeap};

use heathward_policy::*;

const SECOND: Micros = 1_000_000;
const START: Micros = 40 * SECOND;
/// Number of volumes that have requests all the time.
const STEADY_VOLUMES: u64 = 150;
/// Number of volumes whose requests are rare: up to two lookback times apart.
const RARE_VOLUMES: u64 = 2_000;

/// The parameters of a day.
#[derive(Clone)]
pub struct DayPlan {
    pub name: &'static str,
    pub settings: Settings,
    pub seed: u64,
    pub nodes: u32,
    pub events: usize,
    /// Mean number of requests a second outside surges.
    pub rate: f64,
    /// Fraction of requests that any node may serve.
    pub unsharded_fraction: f64,
    /// Fraction of nodes that have just started at the beginning of the day.
    pub starting_fraction: f64,
    /// Whether the client of each first request waits for the deadline of its class.
    pub has_full_deadlines: bool,
}

/// A scheduled event.
#[derive(Clone, Debug)]
enum ScheduledEvent {
    Request,
    ClientRetry(Request),
    AttemptEnd { request: u64, attempt: u32 },
    Stream(u64),
    Disconnect(u64),
    Timer(u64),
    EndpointUpdate,
}

struct Attempt {
    node: NodeId,
    sent_at: Micros,
    end: AttemptEnd,
}

/// The end of an attempt and its time, drawn when the attempt starts.
struct PlannedEnd {
    end: AttemptEnd,
    ends_at: Micros,
}

/// A simulation of the clients, nodes and discovery around one scheduler.
pub struct SimulatedDay {
    plan: DayPlan,
    random: fastrand::Rng,
    pub scheduler: Scheduler,
    pub now: Micros,
    /// Times and numbers of the scheduled events.
    queue: BinaryHeap<Reverse<(Micros, u64)>>,
    scheduled_events: BTreeMap<u64, ScheduledEvent>,
    schedule_count: u64,
    requests: BTreeMap<u64, Request>,
    attempts: BTreeMap<(u64, u32), Attempt>,
    attempt_counts: BTreeMap<u64, u32>,
    /// Time at which each node will have completed its accepted requests.
    idle_at: BTreeMap<NodeId, Micros>,
    endpoints: BTreeMap<NodeId, EndpointEntry>,
    next_id: u64,
    next_node: u32,
}

impl SimulatedDay {
    pub fn new(plan: DayPlan) -> Self {
        let scheduler = Scheduler::new(plan.settings.clone(), plan.seed).expect("valid settings");
        let mut day = Self {
            random: fastrand::Rng::with_seed(plan.seed ^ 0xda7),
            scheduler,
            now: START,
            queue: BinaryHeap::new(),
            scheduled_events: BTreeMap::new(),
            schedule_count: 0,
            requests: BTreeMap::new(),
            attempts: BTreeMap::new(),
            attempt_counts: BTreeMap::new(),
            idle_at: BTreeMap::new(),
            endpoints: BTreeMap::new(),
            next_id: 0,
            next_node: plan.nodes,
            plan,
        };
        for number in 0..day.plan.nodes {
            let is_starting = day.random.f64() < day.plan.starting_fraction;
            let started_at = is_starting.then_some(START - day.random.u64(0..SECOND));
            day.add_endpoint(NodeId(number), ShardId(number), started_at);
        }
        day.schedule(START, ScheduledEvent::Request);
        day.schedule(START + SECOND, ScheduledEvent::EndpointUpdate);
        day
    }

    fn add_endpoint(&mut self, node: NodeId, shard: ShardId, started_at: Option<Micros>) -> EndpointEntry {
        let entry = EndpointEntry { node, shard, zone: node.0 % 3, state: NodeState::Ready, started_at };
        self.endpoints.insert(node, entry);
        entry
    }

    /// Runs the day; `observe` receives the number of each event, the time and each action.
    pub fn run(&mut self, mut observe: impl FnMut(usize, Micros, &Action)) {
        let entries = self.endpoints.values().copied().collect();
        let mut event = Event::EndpointUpdate { kind: EndpointUpdateKind::Cached, entries };
        for number in 0..self.plan.events {
            let mut actions = Vec::new();
            self.scheduler.handle(self.now, event, &mut actions);
            for action in actions {
                observe(number, self.now, &action);
                self.perform(action);
            }
            event = self.next_event();
        }
    }

    fn schedule(&mut self, at: Micros, scheduled_event: ScheduledEvent) {
        self.schedule_count += 1;
        self.scheduled_events.insert(self.schedule_count, scheduled_event);
        self.queue.push(Reverse((at.max(self.now), self.schedule_count)));
    }

    /// Performs an action of the scheduler.
    fn perform(&mut self, action: Action) {
        match action {
            Action::Send { request, node, timeout } => self.start_attempt(request.0, node, timeout),
            Action::Shed { request, retry_after } => self.on_shed(request.0, retry_after),
            Action::Fail { request } => drop(self.requests.remove(&request.0)),
            Action::SetTimer { token, at } => self.schedule(at, ScheduledEvent::Timer(token)),
            Action::Subscribe => self.schedule(self.now + 5_000, ScheduledEvent::EndpointUpdate),
            Action::Log { .. } => {}
        }
    }

    fn start_attempt(&mut self, request: u64, node: NodeId, timeout: Option<Micros>) {
        let PlannedEnd { end, ends_at } = self.draw_attempt_end(request, node, timeout.unwrap_or(3 * SECOND));
        let attempts = self.attempt_counts.entry(request).or_default();
        let attempt = *attempts;
        *attempts += 1;
        self.attempts.insert((request, attempt), Attempt { node, sent_at: self.now, end });
        if end == AttemptEnd::Served && self.random.u32(0..50) == 0 {
            self.schedule(self.now + (ends_at - self.now) / 2, ScheduledEvent::Stream(request));
        }
        self.schedule(ends_at, ScheduledEvent::AttemptEnd { request, attempt });
    }

    fn draw_attempt_end(&mut self, request: u64, node: NodeId, timeout: Micros) -> PlannedEnd {
        let latency_objective = self.plan.settings.classes[0].latency_objective;
        let units = self.requests.get(&request).map_or(1, |request| request.units);
        let unit_time = latency_objective / 40;
        let service = (u64::from(units) * unit_time) as f64 * (0.3 + 1.4 * self.random.f64());
        let start = self.idle_at.get(&node).copied().unwrap_or(0).max(self.now);
        let mut ends_at = start + service as Micros;
        let (mut end, draw) = (AttemptEnd::Served, self.random.u32(0..1_000));
        let queueing = start - self.now;
        // At any time, one node in sixteen is faulty, for ten seconds at a time.
        let is_faulty = (self.now / (10 * SECOND) + u64::from(node.0)).is_multiple_of(16);
        if queueing > 3 * latency_objective {
            (end, ends_at) = (AttemptEnd::Rejected, self.now + 500);
        } else if is_faulty && draw < 300 || draw < 20 {
            let ends = [
                AttemptEnd::Error,
                AttemptEnd::Rejected,
                AttemptEnd::NotConnected,
                AttemptEnd::TimedOut,
                AttemptEnd::Reset,
                AttemptEnd::NotSent,
            ];
            end = ends[self.random.usize(0..ends.len())];
            ends_at = self.now + self.random.u64(500..20_000);
        } else {
            self.idle_at.insert(node, ends_at);
        }
        if end == AttemptEnd::TimedOut || ends_at - self.now > timeout {
            (end, ends_at) = (AttemptEnd::TimedOut, self.now + timeout);
        }
        PlannedEnd { end, ends_at }
    }

    /// Half of the clients with enough time left retry after the Retry-After time.
    fn on_shed(&mut self, request: u64, retry_after: Option<Micros>) {
        let Some(request) = self.requests.remove(&request) else { return };
        let after = retry_after.unwrap_or(100_000);
        if self.random.bool() && request.time_budget > after + 50_000 {
            self.next_id += 1;
            let retry = Request {
                id: RequestId(self.next_id),
                time_budget: request.time_budget - after,
                is_client_retry: true,
                ..request
            };
            self.schedule(self.now + after, ScheduledEvent::ClientRetry(retry));
        }
    }

    fn next_event(&mut self) -> Event {
        loop {
            let Reverse((at, number)) = self.queue.pop().expect("the next request is always scheduled");
            self.now = self.now.max(at);
            let scheduled_event = self.scheduled_events.remove(&number).expect("scheduled once");
            if let Some(event) = self.create_event(scheduled_event) {
                return event;
            }
        }
    }

    fn create_event(&mut self, scheduled_event: ScheduledEvent) -> Option<Event> {
        match scheduled_event {
            ScheduledEvent::Request => Some(self.next_request()),
            ScheduledEvent::ClientRetry(request) => {
                self.requests.insert(request.id.0, request);
                Some(Event::RequestArrived(request))
            }
            ScheduledEvent::AttemptEnd { request, attempt } => self.attempt_end(request, attempt),
            ScheduledEvent::Stream(request) => {
                self.requests.get(&request)?;
                Some(Event::StreamStarted { request: RequestId(request) })
            }
            ScheduledEvent::Disconnect(request) => {
                self.requests.remove(&request)?;
                Some(Event::ClientDisconnected { request: RequestId(request) })
            }
            ScheduledEvent::Timer(token) => Some(Event::TimerFired { token }),
            ScheduledEvent::EndpointUpdate => Some(self.endpoint_update()),
        }
    }

    fn next_request(&mut self) -> Event {
        // The last ten of every forty seconds are a surge.
        let is_surge = (self.now - START) % (40 * SECOND) > 30 * SECOND;
        let rate = self.plan.rate * if is_surge { 4.0 } else { 1.0 };
        let interval = -(1.0 - self.random.f64()).ln() / rate * 1e6;
        self.schedule(self.now + interval as Micros, ScheduledEvent::Request);
        self.next_id += 1;
        let request = self.draw_request(self.next_id);
        self.requests.insert(self.next_id, request);
        if self.random.u32(0..40) == 0 {
            let at = self.now + self.random.u64(1_000..300_000);
            self.schedule(at, ScheduledEvent::Disconnect(self.next_id));
        }
        Event::RequestArrived(request)
    }

    fn draw_request(&mut self, id: u64) -> Request {
        let class = self.random.u16(0..self.plan.settings.classes.len() as u16);
        let class_settings = self.plan.settings.classes[class as usize].clone();
        let volume = self.draw_volume();
        let is_unsharded = self.random.f64() < self.plan.unsharded_fraction;
        let shard = ShardId(self.random.u32(0..self.plan.nodes) * self.random.u32(1..=4) / 4);
        let deadline = class_settings.deadline;
        let elapsed = self.random.u64(0..deadline) * u64::from(self.random.u32(0..4) == 0);
        let elapsed = if self.plan.has_full_deadlines { 0 } else { elapsed };
        let has_key = class_settings.idempotency == Idempotency::WithKey;
        Request {
            id: RequestId(id),
            class: ClassId(class),
            plan: PlanId((volume % self.plan.settings.plans.len() as u64) as u16),
            volume: VolumeId(volume),
            units: self.random.u32(1..=self.plan.settings.max_units.min(6)),
            time_budget: (deadline - elapsed).max(1_000),
            shard: (!is_unsharded).then_some(shard),
            key: has_key.then(|| KeyId(self.random.u64(0..40))),
            schedulers: self.random.u32(1..=4),
            is_client_retry: false,
            is_streaming: self.random.u32(0..30) == 0,
        }
    }

    fn draw_volume(&mut self) -> u64 {
        if self.random.u32(0..10) == 0 {
            STEADY_VOLUMES + self.random.u64(0..RARE_VOLUMES)
        } else {
            self.random.u64(0..STEADY_VOLUMES)
        }
    }

    fn attempt_end(&mut self, request: u64, attempt: u32) -> Option<Event> {
        let Attempt { node, sent_at, end } = self.attempts.remove(&(request, attempt))?;
        let is_closed = !self.requests.contains_key(&request);
        let request_closed = is_closed || end == AttemptEnd::Served;
        if request_closed {
            self.requests.remove(&request);
            self.attempt_counts.remove(&request);
        }
        let is_cancelled = is_closed && end == AttemptEnd::TimedOut;
        let has_usage = self.random.u32(0..3) == 0;
        Some(Event::AttemptEnded(AttemptOutcome {
            request: RequestId(request),
            attempt,
            node,
            end: if is_cancelled { AttemptEnd::Cancelled } else { end },
            request_closed,
            latency: self.now - sent_at,
            volume_usage_percent: has_usage.then(|| self.random.u32(0..250)),
            served_elsewhere: None,
            utilization: None,
        }))
    }

    /// Lets some nodes drain, restart, or be replaced under a new id, and returns the endpoint update: at
    /// times a snapshot, or a failed update.
    fn endpoint_update(&mut self) -> Event {
        let at = self.now + self.random.u64(SECOND..4 * SECOND);
        self.schedule(at, ScheduledEvent::EndpointUpdate);
        let mut changed = Vec::new();
        for _ in 0..self.random.u32(0..3) {
            self.change_endpoint(&mut changed);
        }
        let entries: Vec<EndpointEntry> = self.endpoints.values().copied().collect();
        self.endpoints.retain(|_, entry| entry.state != NodeState::Removed);
        match self.random.u32(0..12) {
            0 => Event::EndpointUpdate { kind: EndpointUpdateKind::Snapshot, entries },
            1 if changed.is_empty() => {
                Event::EndpointUpdate { kind: EndpointUpdateKind::Failed, entries: vec![] }
            }
            _ => Event::EndpointUpdate { kind: EndpointUpdateKind::Changes, entries: changed },
        }
    }

    fn change_endpoint(&mut self, changed: &mut Vec<EndpointEntry>) {
        let nodes: Vec<NodeId> = self.endpoints.keys().copied().collect();
        let mut entry = self.endpoints[&nodes[self.random.usize(0..nodes.len())]];
        match self.random.u32(0..4) {
            0 => entry.state = NodeState::Draining,
            1 => {
                entry.state = NodeState::Removed;
                let replacement = NodeId(self.next_node);
                self.next_node += 1;
                changed.push(self.add_endpoint(replacement, entry.shard, Some(self.now)));
            }
            _ => {
                entry.state = NodeState::Ready;
                entry.started_at = Some(self.now - self.random.u64(0..SECOND / 10));
            }
        }
        self.endpoints.insert(entry.node, entry);
        changed.push(entry);
    }
}
