//! Random valid sequences of events with fixed seeds: the rules hold in every state, with the settings of
//! each deployment and with settings that enable every rule.
#![cfg(test)]

mod common;
use std::collections::{BTreeMap, BTreeSet};

use common::{deployment_settings, endpoint, served, settings_with_every_rule, GRANITE_SHELF, PREDIO_NORTE};
use heathward_policy::*;
use rstest::rstest;

/// An attempt in flight.
#[derive(Clone, Copy, Debug)]
struct Attempt {
    number: u32,
    node: NodeId,
    sent_at: Micros,
}

/// A volume with a rate limit.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
struct LimitedVolume {
    volume: VolumeId,
    plan: PlanId,
}

/// A request as seen by its client and the nodes.
struct ObservedRequest {
    deadline: Micros,
    class: ClassSettings,
    limited: Option<LimitedVolume>,
    units: f64,
    key: Option<KeyId>,
    is_ended: bool,
    answers: u32,
    sends: u32,
    in_flight: Vec<Attempt>,
    possible_execution: Option<Attempt>,
}

/// The requests of a key in order of arrival.
#[derive(Default)]
struct KeyOrder {
    requests: Vec<u64>,
    paused_until: Micros,
}

/// A timer that the scheduler has set.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
struct Timer {
    at: Micros,
    token: u64,
}

/// A simulation of the clients and nodes around one scheduler, which checks every action.
struct Simulation {
    settings: Settings,
    scheduler: Scheduler,
    random: fastrand::Rng,
    now: Micros,
    requests: BTreeMap<u64, ObservedRequest>,
    keys: BTreeMap<KeyId, KeyOrder>,
    arrivals: Vec<Micros>,
    retries: Vec<Micros>,
    timers: BTreeSet<Timer>,
    ready: BTreeMap<NodeId, bool>,
    /// Units sent for each volume with a rate limit.
    sent_units: BTreeMap<LimitedVolume, f64>,
    sent: u64,
}

/// The settings that a run uses.
#[derive(Clone, Copy, Debug)]
enum TestSettings {
    EveryRule,
    PredioNorte,
    GraniteShelf,
}

impl TestSettings {
    fn settings(self) -> Settings {
        match self {
            Self::EveryRule => Settings { slow_start_units: 80.0, ..settings_with_every_rule() },
            Self::PredioNorte => deployment_settings(PREDIO_NORTE),
            Self::GraniteShelf => deployment_settings(GRANITE_SHELF),
        }
    }
}

impl Simulation {
    fn new(settings: Settings, seed: u64) -> Self {
        Self {
            scheduler: Scheduler::new(settings.clone(), seed).expect("valid settings"),
            settings,
            random: fastrand::Rng::with_seed(seed),
            now: 5_000_000,
            requests: BTreeMap::new(),
            keys: BTreeMap::new(),
            arrivals: Vec::new(),
            retries: Vec::new(),
            timers: BTreeSet::new(),
            ready: BTreeMap::new(),
            sent_units: BTreeMap::new(),
            sent: 0,
        }
    }

    fn handle(&mut self, event: Event) {
        let mut actions = Vec::new();
        self.scheduler.handle(self.now, event, &mut actions);
        for action in actions {
            match action {
                Action::Send { request, node, .. } => self.on_send(request.0, node),
                Action::Shed { request, retry_after } => {
                    let is_within = retry_after.is_none_or(|hint| hint <= self.settings.max_retry_after);
                    assert!(is_within, "{retry_after:?}");
                    self.on_answer(request.0, true);
                }
                Action::Fail { request } => self.on_answer(request.0, false),
                Action::SetTimer { token, at } => {
                    assert!(at > self.now, "a timer in the past");
                    self.timers.insert(Timer { at, token });
                }
                Action::Subscribe | Action::Log { .. } => {}
            }
        }
    }

    fn on_send(&mut self, id: u64, node: NodeId) {
        self.sent += 1;
        assert_eq!(self.ready.get(&node), Some(&true), "sent to a node that is not in service");
        let request = self.requests.get_mut(&id).expect("sent an unknown request");
        assert!(!request.is_ended, "sent after its final answer");
        assert!(self.now < request.deadline, "sent after its deadline");
        assert!(request.in_flight.is_empty(), "a second attempt in flight");
        if let Some(first) = request.possible_execution {
            match request.class.idempotency {
                Idempotency::Idempotent => {}
                Idempotency::WithKey => {
                    let window_end = first.sent_at + request.class.deduplication_window;
                    assert!(first.node == node && self.now < window_end);
                }
                Idempotency::NotIdempotent => panic!("a request that may have been executed was sent again"),
            }
        }
        assert!(request.sends < self.settings.max_attempts, "{} attempts were sent before", request.sends);
        if let (true, Some(budget)) = (request.sends > 0, self.settings.retry_budget) {
            self.retries.push(self.now);
            let since = self.now.saturating_sub(budget.window);
            let count = |times: &[Micros]| times.iter().filter(|at| **at > since).count() as f64;
            let allowed = budget.free_retries + budget.retries_per_request * count(&self.arrivals);
            assert!(count(&self.retries) <= allowed);
        }
        if let (Some(volume), 0) = (request.limited, request.sends) {
            *self.sent_units.entry(volume).or_default() += request.units;
        }
        request.in_flight.push(Attempt { number: request.sends, node, sent_at: self.now });
        request.sends += 1;
        if let (Some(key), true) = (request.key, request.class.ordered_per_key) {
            self.check_key_order(id, key);
        }
    }

    fn check_key_order(&self, id: u64, key: KeyId) {
        let order = &self.keys[&key];
        let first = order.requests.iter().find(|other| {
            let other = &self.requests[other];
            !other.is_ended || !other.in_flight.is_empty()
        });
        assert_eq!(first, Some(&id), "executed out of order");
        let is_retry = self.requests[&id].sends > 1;
        assert!(is_retry || order.paused_until <= self.now, "the key is still paused");
    }

    fn on_answer(&mut self, id: u64, is_shed: bool) {
        let request = self.requests.get_mut(&id).expect("answered an unknown request");
        assert!(!request.is_ended, "answered twice");
        assert!(self.now <= request.deadline, "answered late");
        if is_shed && request.class.idempotency != Idempotency::Idempotent {
            let is_untouched = request.in_flight.is_empty() && request.possible_execution.is_none();
            assert!(is_untouched, "shed a request that may have been executed");
        }
        request.is_ended = true;
        request.answers += 1;
    }

    fn submit(&mut self, id: u64) {
        let class_index = self.random.u16(0..self.settings.classes.len() as u16);
        let class = self.settings.classes[class_index as usize].clone();
        let has_key = class.idempotency == Idempotency::WithKey;
        let key = has_key.then(|| KeyId(self.random.u64(0..6)));
        let time_budget = self.random.u64(20_000..class.deadline);
        let plan = self.random.u16(0..self.settings.plans.len() as u16);
        let volume = VolumeId(u64::from(plan) * 10 + self.random.u64(0..5));
        let plan = PlanId(plan);
        let request = Request {
            id: RequestId(id),
            class: ClassId(class_index),
            plan,
            volume,
            units: self.random.u32(1..=8),
            time_budget,
            shard: self.random.bool().then(|| ShardId(self.random.u32(0..5))),
            key,
            schedulers: self.random.u32(1..3),
            is_client_retry: false,
            is_streaming: false,
        };
        let is_limited = self.settings.plans[plan.0 as usize].rate_limit > 0.0;
        let observed = ObservedRequest {
            deadline: self.now + time_budget,
            class,
            limited: is_limited.then_some(LimitedVolume { volume, plan }),
            units: f64::from(request.units),
            key,
            is_ended: false,
            answers: 0,
            sends: 0,
            in_flight: vec![],
            possible_execution: None,
        };
        self.requests.insert(id, observed);
        self.arrivals.push(self.now);
        if let Some(key) = key {
            self.keys.entry(key).or_default().requests.push(id);
        }
        self.handle(Event::RequestArrived(request));
    }

    /// Returns the requests with an attempt in flight that fulfil a condition.
    fn in_flight(&self, condition: impl Fn(&ObservedRequest) -> bool) -> Vec<u64> {
        let matching =
            self.requests.iter().filter(|(_, request)| !request.in_flight.is_empty() && condition(request));
        matching.map(|(id, _)| *id).collect()
    }

    /// Ends a random attempt in flight.
    fn end_random_attempt(&mut self) {
        let in_flight = self.in_flight(|_| true);
        if in_flight.is_empty() {
            return;
        }
        let id = in_flight[self.random.usize(0..in_flight.len())];
        let failures = [AttemptEnd::Error, AttemptEnd::Rejected, AttemptEnd::NotConnected, AttemptEnd::Reset];
        let is_failure = self.random.u32(0..12) == 0;
        let end =
            if is_failure { failures[self.random.usize(0..failures.len())] } else { AttemptEnd::Served };
        self.end_attempt(id, end);
    }

    fn end_attempt(&mut self, id: u64, end: AttemptEnd) {
        let request = self.requests.get_mut(&id).expect("known");
        let attempt = request.in_flight.remove(0);
        let is_possibly_executed =
            matches!(end, AttemptEnd::Error | AttemptEnd::TimedOut | AttemptEnd::Reset);
        if is_possibly_executed && request.possible_execution.is_none() {
            request.possible_execution = Some(attempt);
        }
        if matches!(end, AttemptEnd::TimedOut | AttemptEnd::Reset) {
            if let Some(order) = request.key.and_then(|key| self.keys.get_mut(&key)) {
                order.paused_until = self.now + self.settings.key_cool_down;
            }
        }
        let is_served = end == AttemptEnd::Served;
        let request_closed = request.is_ended || is_served;
        request.answers += u32::from(is_served && !request.is_ended);
        request.is_ended = request_closed;
        self.handle(Event::AttemptEnded(AttemptOutcome {
            attempt: attempt.number,
            end,
            request_closed,
            volume_usage_percent: Some(50),
            ..served(RequestId(id), attempt.node, self.now - attempt.sent_at)
        }));
    }

    /// Times out the attempts in flight whose client's deadline has passed.
    fn time_out_attempts(&mut self) {
        let now = self.now;
        for id in self.in_flight(|request| request.deadline <= now) {
            let deadline = self.requests[&id].deadline;
            self.now = deadline.min(now);
            self.requests.get_mut(&id).expect("listed").deadline = u64::MAX;
            self.end_attempt(id, AttemptEnd::TimedOut);
        }
        self.now = now;
    }

    /// Changes the state of a random node.
    fn change_random_node(&mut self) {
        let entry = endpoint(self.random.u32(0..4));
        let is_ready = self.random.bool();
        let state = if is_ready { NodeState::Ready } else { NodeState::Draining };
        self.ready.insert(entry.node, is_ready);
        let started_at = self.random.bool().then_some(self.now);
        let entries = vec![EndpointEntry { state, started_at, ..entry }];
        self.handle(Event::EndpointUpdate { kind: EndpointUpdateKind::Changes, entries });
    }

    fn fire(&mut self, timer: Timer) {
        self.timers.remove(&timer);
        self.handle(Event::TimerFired { token: timer.token });
    }

    /// Advances the time and fires the timers that become due.
    fn advance(&mut self, until: Micros) {
        while let Some(timer) = self.timers.first().copied().filter(|timer| timer.at <= until) {
            self.now = self.now.max(timer.at);
            self.time_out_attempts();
            self.fire(timer);
        }
        self.now = until;
        self.time_out_attempts();
    }

    /// Advances the time until every request has ended.
    fn finish(&mut self) {
        while self.requests.values().any(|request| !request.is_ended || !request.in_flight.is_empty()) {
            self.now += 2_000;
            self.time_out_attempts();
            while let Some(timer) = self.timers.first().copied().filter(|timer| timer.at <= self.now) {
                self.fire(timer);
            }
        }
    }

    fn check_rate_limits(&self, elapsed_seconds: f64) {
        for (LimitedVolume { volume, plan }, sent_units) in &self.sent_units {
            let PlanSettings { rate_limit, burst, .. } = self.settings.plans[plan.0 as usize];
            let is_within = *sent_units <= burst + rate_limit * elapsed_seconds;
            assert!(is_within, "limit of {volume:?} exceeded: {sent_units} units in {elapsed_seconds} s");
        }
        let mean = self.sent_units.values().sum::<f64>() / self.sent_units.len().max(1) as f64;
        let is_near_limit = 2.0 * mean > elapsed_seconds || self.sent_units.is_empty();
        assert!(is_near_limit, "limits were never approached: {mean} units a volume in {elapsed_seconds} s");
    }
}

fn run_simulation(test_settings: TestSettings, seed: u64) -> Simulation {
    let mut simulation = Simulation::new(test_settings.settings(), seed);
    let entries: Vec<EndpointEntry> = (0..4).map(endpoint).collect();
    simulation.ready.extend(entries.iter().map(|entry| (entry.node, true)));
    simulation.handle(Event::EndpointUpdate { kind: EndpointUpdateKind::Cached, entries });
    let start = simulation.now;
    for step in 0..3_000u64 {
        let until = simulation.now + simulation.random.u64(0..8_000);
        simulation.advance(until);
        match simulation.random.u32(0..10) {
            0..=4 if step < 2_500 => simulation.submit(step + 1),
            5 if simulation.random.u32(0..20) == 0 => simulation.change_random_node(),
            _ => simulation.end_random_attempt(),
        }
    }
    simulation.finish();
    simulation.check_rate_limits((simulation.now - start) as f64 / 1e6);
    simulation
}

#[rstest]
fn the_rules_hold_for_random_events(
    #[values(TestSettings::EveryRule, TestSettings::PredioNorte, TestSettings::GraniteShelf)]
    test_settings: TestSettings,
    #[values(1, 2, 3, 4, 5)] seed: u64,
) {
    let simulation = run_simulation(test_settings, seed);
    assert!(simulation.sent > 100, "{test_settings:?}, seed {seed}: almost no requests were sent");
    for (id, request) in &simulation.requests {
        assert_eq!(request.answers, 1, "{test_settings:?}, seed {seed}: answers of request {id}");
    }
}

#[test]
fn the_same_events_give_the_same_actions() {
    assert_eq!(
        run_simulation(TestSettings::EveryRule, 3).sent,
        run_simulation(TestSettings::EveryRule, 3).sent
    );
    assert_eq!(
        run_simulation(TestSettings::EveryRule, 4).retries,
        run_simulation(TestSettings::EveryRule, 4).retries
    );
}
