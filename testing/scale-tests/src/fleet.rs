//! A fleet of real decision modules in virtual time, before hollow storage nodes and a hollow list service.

mod faults;
mod report;
mod scheduler;
mod settings;

use std::hash::Hasher;

use fastrand::Rng;
use fnv::FnvHasher;
use heathward_policy::{
    Action, AttemptEnd, AttemptOutcome, ClassId, EndpointEntry, EndpointUpdateKind, Event, Micros, NodeId,
    NodeState, Request, RequestId, SettingsError, ShardId,
};
use tokio::time::Instant;

pub use faults::Fault;
pub use report::{ColdUse, Report, Second};
pub use settings::{FleetSettings, Rates, Slice};

use crate::events::EventQueue;
use crate::lists::{Delivery, ListPlane, TrueList};
use crate::node::{Admission, Health, HollowNode, SlowStart};
use scheduler::{HollowScheduler, Open};

/// An attempt on its way.
#[derive(Clone, Copy, Debug)]
struct Attempt {
    scheduler: u32,
    generation: u32,
    request: u64,
    number: u32,
    node: NodeId,
    units: u32,
    sent: Micros,
    give_up_at: Micros,
    /// Its scheduler knew of the node's last start.
    told: bool,
}

#[derive(Clone, Debug)]
enum Happening {
    Start { scheduler: u32 },
    Arrival { scheduler: u32, generation: u32 },
    Wake { scheduler: u32, generation: u32, token: u64 },
    LeaseCheck { scheduler: u32, generation: u32 },
    AtNode(Attempt),
    Done { node: u32, number: u64 },
    Ended { attempt: Attempt, end: AttemptEnd },
    NodesReturn { nodes: Vec<u32> },
    Fault(Fault),
}

/// A fleet. Seeded: the same settings, seed and faults give the same sends.
pub struct Fleet {
    set: FleetSettings,
    slow_start: SlowStart,
    rng: Rng,
    now: Micros,
    schedulers: Vec<HollowScheduler>,
    nodes: Vec<HollowNode<Attempt>>,
    /// Version of the list that told of each hollow node's last start.
    told_in: Vec<usize>,
    queue: EventQueue<Happening>,
    lists: ListPlane,
    digest: FnvHasher,
    seconds: Vec<Second>,
    lost: u64,
    not_sent: u64,
    handled: u64,
    actions: Vec<Action>,
}

impl Fleet {
    /// All of it starts at the settings' beginning, and `seed` is its only source of chance.
    ///
    /// # Errors
    /// Where the module refuses the settings.
    pub fn new(set: FleetSettings, seed: u64) -> Result<Self, SettingsError> {
        let mut rng = Rng::with_seed(seed);
        let played = set.slice.schedulers(set.schedulers);
        let hollow = set.slice.hollow_nodes(set.nodes);
        let slow_start = SlowStart::new(&set.settings);
        let started = set.all_cold.then_some(set.begin);
        let entries =
            (0..hollow * set.slice.fold()).map(|node| listed(&set, node, NodeState::Ready, started));
        let truth = TrueList::new(entries.collect());
        let lists = ListPlane::new(set.lists.clone(), truth, played, set.schedulers, rng.u64(..));
        let mut nodes = vec![HollowNode::new(set.node, slow_start); hollow as usize];
        if set.all_cold {
            nodes.iter_mut().for_each(|node| drop(node.start_cold(set.begin)));
        }
        let (epoch, rates) = (Instant::now(), scheduler::rates(&set, played, &mut rng));
        let mut fleet = Self {
            slow_start,
            now: set.begin,
            schedulers: Vec::with_capacity(played as usize),
            told_in: vec![0; hollow as usize],
            nodes,
            queue: EventQueue::default(),
            lists,
            digest: FnvHasher::default(),
            seconds: Vec::new(),
            lost: 0,
            not_sent: 0,
            handled: 0,
            actions: Vec::new(),
            rng: rng.fork(),
            set,
        };
        for (number, rate) in (0..played).zip(rates) {
            let seed = rng.u64(..);
            fleet.schedulers.push(HollowScheduler::new(&fleet.set, number, rate, seed, epoch)?);
            fleet.queue.push(fleet.now, Happening::Start { scheduler: number });
        }
        Ok(fleet)
    }

    /// The time.
    pub fn now(&self) -> Micros {
        self.now
    }

    /// A fault comes at that time.
    pub fn schedule(&mut self, at: Micros, fault: Fault) {
        self.queue.push(at.max(self.now), Happening::Fault(fault));
    }

    /// Goes on to that time, with all that is due then.
    pub fn run_until(&mut self, until: Micros) {
        loop {
            let event = self.queue.next_at().unwrap_or(Micros::MAX);
            let line = self.lists.next_at().unwrap_or(Micros::MAX);
            if event.min(line) > until {
                break;
            }
            if line <= event {
                self.now = line.max(self.now);
                for delivery in self.lists.advance(line) {
                    self.take_line(delivery);
                }
            } else if let Some((at, happening)) = self.queue.pop(until) {
                self.now = at.max(self.now);
                self.happen(happening);
            }
        }
        self.now = until;
    }

    /// What it came to so far.
    pub fn report(&self) -> Report {
        let kept = self.schedulers.iter().map(|scheduler| scheduler.module.entry_counts());
        Report {
            seconds: self.seconds.clone(),
            lost: self.lost,
            open: self.schedulers.iter().map(|scheduler| scheduler.open.len() as u64).sum(),
            not_sent: self.not_sent,
            handled: self.handled,
            digest: self.digest.finish(),
            cold: self.nodes.iter().map(HollowNode::load).collect(),
            windows: self.nodes.iter().map(|node| node.windows().to_vec()).collect(),
            lists: self.lists.costs().clone(),
            kept: kept.fold((0, 0), |sum, kept| (sum.0 + kept.volumes, sum.1 + kept.nodes)),
        }
    }

    // ---- Events ---------------------------------------------------------------------------------------

    fn happen(&mut self, happening: Happening) {
        match happening {
            Happening::Start { scheduler } => self.start(scheduler),
            Happening::Arrival { scheduler, generation } => self.arrive(scheduler, generation),
            Happening::Wake { scheduler, generation, token } => {
                let of = &self.schedulers[scheduler as usize];
                if of.generation == generation && of.wake == Some(token) {
                    self.handle(scheduler, Event::TimerFired { token });
                }
            }
            Happening::LeaseCheck { scheduler, generation } => self.check_lease(scheduler, generation),
            Happening::AtNode(attempt) => self.reach(attempt),
            Happening::Done { node, number } => self.done(node, number),
            Happening::Ended { attempt, end } => self.ended(attempt, end),
            Happening::NodesReturn { nodes } => self.nodes_return(&nodes),
            Happening::Fault(fault) => self.apply(fault),
        }
    }

    fn start(&mut self, number: u32) {
        let (now, set) = (self.now, &self.set);
        let scheduler = &mut self.schedulers[number as usize];
        if scheduler.start(set, now).is_err() {
            return;
        }
        let generation = scheduler.generation;
        if let Some(at) = scheduler.next_arrival(now) {
            self.queue.push(at, Happening::Arrival { scheduler: number, generation });
        }
        self.lists.start(now, number);
        self.queue.push(now, Happening::LeaseCheck { scheduler: number, generation });
    }

    fn arrive(&mut self, number: u32, generation: u32) {
        let (now, listed) = (self.now, self.lists.truth().entries().len() as u32);
        let scheduler = &mut self.schedulers[number as usize];
        if scheduler.generation != generation || !scheduler.up {
            return;
        }
        if let Some(at) = scheduler.next_arrival(now) {
            self.queue.push(at, Happening::Arrival { scheduler: number, generation });
        }
        let request = scheduler.draw_request(&self.set, listed);
        let second = self.second_of(now);
        self.seconds[second].asked += 1;
        self.seconds[second].asked_units += u64::from(request.units);
        let open =
            Open { units: request.units, asked: second as u32, attempts: 0, out: None, answered: false };
        self.schedulers[number as usize].open.insert(request.id.0, open);
        if let Some(ShardId(shard)) = request.shard {
            let node = self.hollow(NodeId(shard));
            self.nodes[node].asked(now, request.units);
        }
        self.handle(number, Event::RequestArrived(request));
    }

    fn take_line(&mut self, delivery: Delivery) {
        let number = delivery.scheduler;
        let scheduler = &mut self.schedulers[number as usize];
        if !scheduler.up {
            return;
        }
        scheduler.lease.heard(self.now);
        scheduler.version = Some(delivery.version);
        let (kind, entries) = match delivery.after {
            None => (EndpointUpdateKind::Snapshot, self.lists.truth().whole(delivery.version)),
            Some(after) => (EndpointUpdateKind::Changes, self.lists.truth().between(after, delivery.version)),
        };
        if !delivery.is_empty() || delivery.after.is_none() {
            let entries = self.by_lease(number, entries);
            self.handle(number, Event::EndpointUpdate { kind, entries });
        }
        self.lease_changed(number);
    }

    /// Entries as the core tells them to its module: nothing is ready while the list must not be used.
    fn by_lease(&self, number: u32, mut entries: Vec<EndpointEntry>) -> Vec<EndpointEntry> {
        if !self.schedulers[number as usize].lease.holds(self.now) {
            let ready = entries.iter_mut().filter(|entry| entry.state == NodeState::Ready);
            ready.for_each(|entry| entry.state = NodeState::Draining);
        }
        entries
    }

    fn check_lease(&mut self, number: u32, generation: u32) {
        let scheduler = &self.schedulers[number as usize];
        if scheduler.generation != generation || !scheduler.up {
            return;
        }
        if let Some(at) = scheduler.lease.changes(self.now) {
            self.queue.push(at, Happening::LeaseCheck { scheduler: number, generation });
        }
        self.lease_changed(number);
    }

    /// Tells the module where the lease has ended or begun since it was last looked at.
    fn lease_changed(&mut self, number: u32) {
        let scheduler = &mut self.schedulers[number as usize];
        let holds = scheduler.lease.holds(self.now);
        if std::mem::replace(&mut scheduler.held, holds) == holds {
            return;
        }
        if let Some(version) = scheduler.version {
            let entries = self.by_lease(number, self.lists.truth().whole(version));
            self.handle(number, Event::EndpointUpdate { kind: EndpointUpdateKind::Changes, entries });
        }
    }

    // ---- Decisions ------------------------------------------------------------------------------------

    /// One event through the real module, and its actions, with the ends that follow at once.
    fn handle(&mut self, number: u32, event: Event) {
        let mut events = vec![event];
        let mut actions = std::mem::take(&mut self.actions);
        while let Some(event) = events.pop() {
            self.handled += 1;
            self.schedulers[number as usize].module.handle(self.now, event, &mut actions);
            for action in actions.drain(..) {
                self.act(number, action, &mut events);
            }
        }
        self.actions = actions;
    }

    fn act(&mut self, number: u32, action: Action, events: &mut Vec<Event>) {
        let now = self.now;
        match action {
            Action::Send { request, node, timeout: give_up } => {
                self.send(number, request, node, give_up, events)
            }
            Action::Shed { request, .. } => self.answer(number, request, Answer::Refused, events),
            Action::Fail { request } => self.answer(number, request, Answer::Failed, events),
            Action::SetTimer { token, at } => {
                let scheduler = &mut self.schedulers[number as usize];
                scheduler.wake = Some(token);
                let generation = scheduler.generation;
                self.queue.push(at.max(now), Happening::Wake { scheduler: number, generation, token });
            }
            Action::Subscribe | Action::Log { .. } => {}
        }
    }

    fn send(
        &mut self,
        number: u32,
        request: RequestId,
        node: NodeId,
        give_up: Option<Micros>,
        events: &mut Vec<Event>,
    ) {
        let (now, hollow) = (self.now, self.hollow(node));
        let told_in = self.told_in[hollow];
        let scheduler = &mut self.schedulers[number as usize];
        let told = scheduler.version.is_some_and(|version| version >= told_in);
        let Some(open) = scheduler.open.get_mut(&request.0) else { return };
        let attempt = Attempt {
            scheduler: number,
            generation: scheduler.generation,
            request: request.0,
            number: open.attempts,
            node,
            units: open.units,
            sent: now,
            give_up_at: give_up.map_or(Micros::MAX, |span| now + span),
            told,
        };
        open.attempts += 1;
        if open.answered || !scheduler.lease.holds(now) {
            self.not_sent += 1;
            return events.push(outcome(&attempt, AttemptEnd::NotSent, now, false));
        }
        open.out = Some((attempt.number, node));
        for part in [now, u64::from(number), u64::from(node.0), request.0] {
            self.digest.write_u64(part);
        }
        let second = self.second_of(now);
        self.seconds[second].sent += 1;
        let at = now + self.travel();
        self.queue.push(at, Happening::AtNode(attempt));
    }

    /// A final answer; an attempt that is still out is called off.
    fn answer(&mut self, number: u32, request: RequestId, answer: Answer, events: &mut Vec<Event>) {
        let scheduler = &mut self.schedulers[number as usize];
        let Some(open) = scheduler.open.get_mut(&request.0) else { return };
        let second = &mut self.seconds[open.asked as usize];
        match answer {
            Answer::Served => {
                second.served += 1;
                second.served_units += u64::from(open.units);
            }
            Answer::Refused => second.refused += 1,
            Answer::Failed => second.failed += 1,
        }
        open.answered = true;
        let out = open.out.take();
        scheduler.open.remove(&request.0);
        if let Some((attempt, node)) = out.filter(|_| answer != Answer::Served) {
            events.push(Event::AttemptEnded(AttemptOutcome {
                request,
                attempt,
                node,
                end: AttemptEnd::Cancelled,
                request_closed: true,
                latency: 0,
                volume_usage_percent: None,
                served_elsewhere: None,
                utilization: None,
            }));
        }
    }

    // ---- Storage nodes --------------------------------------------------------------------------------

    fn reach(&mut self, attempt: Attempt) {
        let (now, place) = (self.now, self.hollow(attempt.node));
        let node = &mut self.nodes[place];
        let was = node.health();
        let (admission, number) = node.arrive(now, attempt, attempt.units, attempt.told);
        if was == Health::Up && node.health() != Health::Up {
            let lost = node.stop(Health::Closed);
            self.reset(lost);
        }
        let (answered, end) = match admission {
            Admission::ServedAt(done) => {
                self.queue.push(done, Happening::Done { node: place as u32, number });
                (attempt.give_up_at, AttemptEnd::TimedOut)
            }
            Admission::Full => (now + self.travel(), AttemptEnd::Rejected),
            Admission::NotConnected => (now + self.travel(), AttemptEnd::NotConnected),
            Admission::Silent => (attempt.give_up_at, AttemptEnd::TimedOut),
        };
        if answered < Micros::MAX {
            self.queue.push(answered.min(attempt.give_up_at), Happening::Ended { attempt, end });
        }
    }

    fn done(&mut self, node: u32, number: u64) {
        if let Some(attempt) = self.nodes[node as usize].finish(self.now, number) {
            let at = self.now + self.travel();
            if at <= attempt.give_up_at {
                self.queue.push(at, Happening::Ended { attempt, end: AttemptEnd::Served });
            }
        }
    }

    fn ended(&mut self, attempt: Attempt, end: AttemptEnd) {
        let scheduler = &mut self.schedulers[attempt.scheduler as usize];
        if scheduler.generation != attempt.generation || !scheduler.up {
            return;
        }
        let open = scheduler.open.get_mut(&attempt.request);
        let Some(open) = open.filter(|open| open.out == Some((attempt.number, attempt.node))) else { return };
        open.out = None;
        if end == AttemptEnd::Served {
            self.answer(attempt.scheduler, RequestId(attempt.request), Answer::Served, &mut Vec::new());
        }
        let closed = end == AttemptEnd::Served;
        self.handle(attempt.scheduler, outcome(&attempt, end, self.now, closed));
    }

    fn reset(&mut self, lost: Vec<Attempt>) {
        for attempt in lost {
            let at = (self.now + self.travel()).min(attempt.give_up_at);
            self.queue.push(at, Happening::Ended { attempt, end: AttemptEnd::Reset });
        }
    }

    /// Nodes come back at once, cold, and the list tells of all of them in one version.
    fn nodes_return(&mut self, nodes: &[u32]) {
        let mut entries = Vec::new();
        for node in nodes {
            let lost = self.nodes[*node as usize].start_cold(self.now);
            self.reset(lost);
            let hollow = self.nodes.len() as u32;
            let same = (0..self.set.slice.fold()).map(|fold| node + fold * hollow);
            entries
                .extend(same.map(|listed_as| listed(&self.set, listed_as, NodeState::Ready, Some(self.now))));
        }
        let version = self.lists.change(self.now, entries);
        for node in nodes {
            self.told_in[*node as usize] = version;
        }
    }

    // ---- Small things ---------------------------------------------------------------------------------

    fn hollow(&self, node: NodeId) -> usize {
        node.0 as usize % self.nodes.len()
    }

    fn travel(&mut self) -> Micros {
        self.rng.u64(self.set.travel.0..=self.set.travel.1)
    }

    /// The place of the second of that time.
    fn second_of(&mut self, at: Micros) -> usize {
        let second = (at.saturating_sub(self.set.begin) / 1_000_000) as usize;
        if self.seconds.len() <= second {
            self.seconds.resize(second + 1, Second::default());
        }
        second
    }

    /// The slow start of its nodes.
    pub fn slow_start(&self) -> SlowStart {
        self.slow_start
    }
}

#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum Answer {
    Served,
    Refused,
    Failed,
}

fn listed(set: &FleetSettings, node: u32, state: NodeState, started: Option<Micros>) -> EndpointEntry {
    EndpointEntry {
        node: NodeId(node),
        shard: ShardId(node),
        zone: node % set.zones.max(1),
        state,
        started_at: started,
    }
}

fn outcome(attempt: &Attempt, end: AttemptEnd, now: Micros, closed: bool) -> Event {
    Event::AttemptEnded(AttemptOutcome {
        request: RequestId(attempt.request),
        attempt: attempt.number,
        node: attempt.node,
        end,
        request_closed: closed,
        latency: now.saturating_sub(attempt.sent),
        volume_usage_percent: None,
        served_elsewhere: None,
        utilization: None,
    })
}
