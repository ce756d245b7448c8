//! Shared fixtures of the tests: settings, requests, endpoints, and a harness that acts as a scheduler's
//! caller.
#![allow(dead_code)]

use std::collections::BTreeMap;

use heathward_policy::*;

/// Returns settings with three classes (idempotent, not idempotent, with idempotency key) and one plan, whose
/// reserved rate is higher than any test uses.
pub fn settings() -> Settings {
    let class = ClassSettings {
        latency_objective: 300_000,
        deadline: 1_000_000,
        priority_weight: 1.0,
        late_weight_fraction: 0.2,
        deduplication_scope: DeduplicationScope::Shard,
        deduplication_window: 1_500_000,
        ..ClassSettings::default()
    };
    Settings {
        schedulers: 1,
        classes: vec![
            class.clone(),
            ClassSettings { idempotency: Idempotency::NotIdempotent, ..class.clone() },
            ClassSettings { idempotency: Idempotency::WithKey, ..class },
        ],
        plans: vec![plan(1e3, 1e3)],
        mean_units: 2.0,
        max_units: 8,
        shared_tier_weight: 0.3,
        excess_tier_weight: 0.1,
        usage_period: 500_000,
        max_attempts: 4,
        max_retry_after: 1_000_000,
        timer_resolution: 2_000,
        slow_start_units: 10.0,
        slow_start_fraction: 0.2,
        slow_start_duration: 16_000_000,
        overload_window: 1_000_000,
        ..Settings::default()
    }
}

/// Returns a plan of weight 1 with these rates in units a second.
pub fn plan(usual_rate: f64, reserved_rate: f64) -> PlanSettings {
    PlanSettings {
        usual_rate,
        reserved_rate,
        shared_weight: 1.0,
        priority_factor: 1.0,
        ..PlanSettings::default()
    }
}

/// Returns [`settings`] with ordered keys, a retry budget and a plan with a rate limit.
pub fn settings_with_every_rule() -> Settings {
    let mut settings = settings();
    settings.classes[2].ordered_per_key = true;
    settings.key_cool_down = 100_000;
    settings.retry_budget =
        Some(RetryBudget { free_retries: 2.0, retries_per_request: 0.1, window: 3_000_000 });
    settings.plans.push(PlanSettings { rate_limit: 4.0, burst: 20.0, ..plan(1e3, 0.0) });
    settings
}

/// Settings of the first deployment: a class with idempotency keys, no rate limits; a node in slow start
/// fails at four times its capacity.
pub const PREDIO_NORTE: &str = r#"{"balancers": 4, "slotNo": 0, "discovery": "pushed", "resolutionMs": 2.0,
    "clients": {"marksRetry": true},
    "lanes": [
        {"name": "consulta", "aimMs": 150, "deadlineMs": 1000, "credit": 2, "lateWorth": 0.2,
         "repeat": "free"},
        {"name": "pedido", "aimMs": 250, "deadlineMs": 1500, "credit": 3, "lateWorth": 0.1,
         "repeat": "guarded", "dedupScope": "cell", "dedupWindowMs": 2500},
        {"name": "exportacion", "aimMs": 1000, "deadlineMs": 3000, "credit": 1, "lateWorth": 0.2,
         "repeat": "free"}],
    "contracts": [
        {"name": "basico", "usualRate": 4.8, "reserve": 0, "parts": 1, "price": 0.72},
        {"name": "prioritario", "usualRate": 9.5, "reserve": 11, "parts": 2, "price": 1}],
    "familyInfo": {"unitMean": 2.2, "maxUnits": 8, "withinShare": 0.3, "spareWorth": 0.05, "youngLimit": 21,
        "changesData": [false, true, false]},
    "limits": {"sendCap": 3, "connectTimeoutMs": 250, "idleCloseMs": 15000, "retryAfter": true,
        "maxRetryAfterMs": 2000, "probes": true, "peers": true},
    "safety": {"coldShare": 0.24, "coldMs": 18000, "fallMs": 2000, "tipMultiple": 4,
        "stopSendingWithinMs": 250}}"#;

/// Settings of the second deployment: a class that is not idempotent, a rate limit, load reports; a node in
/// slow start fails at twice its capacity.
pub const GRANITE_SHELF: &str = r#"{"balancers": 4, "slotNo": 0, "discovery": "pushed", "resolutionMs": 2.0,
    "clients": {"marksRetry": false},
    "lanes": [
        {"name": "book-read", "aimMs": 200, "deadlineMs": 1500, "credit": 3, "lateWorth": 0.1,
         "repeat": "free"},
        {"name": "loan-write", "aimMs": 200, "deadlineMs": 1500, "credit": 2, "lateWorth": 0.1,
         "repeat": "single_shot"}],
    "contracts": [
        {"name": "basic", "usualRate": 5, "reserve": 2.5, "parts": 1, "price": 0.96, "ceilingRate": 40,
         "burst": 60, "slack": 8},
        {"name": "standard", "usualRate": 10, "reserve": 8, "parts": 1, "price": 1},
        {"name": "priority", "usualRate": 12.5, "reserve": 10, "parts": 1, "price": 1.4}],
    "familyInfo": {"unitMean": 2.2, "maxUnits": 8, "withinShare": 0.35, "spareWorth": 0.1, "youngLimit": 18,
        "changesData": [false, true], "saysOthers": true},
    "limits": {"sendCap": 4, "connectTimeoutMs": 250, "idleCloseMs": 30000, "retryAfter": true,
        "maxRetryAfterMs": 500, "probes": false, "peers": false},
    "report": {"how": "piggyback", "fields": ["utilization", "backlog"]},
    "safety": {"coldShare": 0.16, "coldMs": 14000, "fallMs": 2000, "tipMultiple": 2,
        "stopSendingWithinMs": 1000}}"#;

/// Returns the policy's part of a deployment's settings, given as JSON.
pub fn deployment_settings(text: &str) -> Settings {
    let json = miniserde::json::from_str(text).expect("JSON");
    settings::Deployment::read(&settings::JsonSource(&json)).expect("valid settings").settings
}

/// Returns a node in service that holds the shard of its own number.
pub fn endpoint(node: u32) -> EndpointEntry {
    EndpointEntry {
        node: NodeId(node),
        shard: ShardId(node),
        zone: 0,
        state: NodeState::Ready,
        started_at: None,
    }
}

/// Returns a request of mean size for shard 1.
pub fn sample_request(id: u64) -> Request {
    Request {
        id: RequestId(id),
        class: ClassId(0),
        plan: PlanId(0),
        volume: VolumeId(1),
        units: 2,
        time_budget: 1_000_000,
        shard: Some(ShardId(1)),
        key: None,
        schedulers: 1,
        is_client_retry: false,
        is_streaming: false,
    }
}

/// Returns the outcome of a first attempt that was served and closes its request.
pub fn served(request: RequestId, node: NodeId, latency: Micros) -> AttemptOutcome {
    AttemptOutcome {
        request,
        attempt: 0,
        node,
        end: AttemptEnd::Served,
        request_closed: true,
        latency,
        volume_usage_percent: None,
        served_elsewhere: None,
        utilization: None,
    }
}

/// An attempt in flight.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct InFlight {
    pub request: u64,
    pub attempt: u32,
    pub node: u32,
}

/// An action of the scheduler and its time.
#[derive(Clone, Debug)]
pub struct TimedAction {
    pub at: Micros,
    pub action: Action,
}

/// The caller of a scheduler: keeps the time, fires timers, and records the scheduler's actions.
pub struct Harness {
    pub scheduler: Scheduler,
    pub now: Micros,
    /// All actions, unless a test removes them.
    pub actions: Vec<TimedAction>,
    pub in_flight: Vec<InFlight>,
    /// Number of actions before the last event or advance of time.
    previous_actions: usize,
    /// Token of the timer that fired last.
    last_fired: Option<u64>,
    /// Attempts sent for each request.
    attempts: BTreeMap<u64, u32>,
}

impl Harness {
    pub fn new(settings: Settings) -> Self {
        Self::with_seed(settings, 11)
    }

    pub fn with_seed(settings: Settings, seed: u64) -> Self {
        Self {
            scheduler: Scheduler::new(settings, seed).expect("valid settings"),
            now: 1_000_000,
            actions: Vec::new(),
            in_flight: Vec::new(),
            previous_actions: 0,
            last_fired: None,
            attempts: BTreeMap::new(),
        }
    }

    /// Creates a harness whose scheduler knows these nodes.
    pub fn with_nodes(settings: Settings, nodes: &[u32]) -> Self {
        let mut harness = Self::new(settings);
        harness.set_endpoints(nodes);
        harness
    }

    /// Passes an event to the scheduler.
    pub fn handle(&mut self, event: Event) {
        self.previous_actions = self.actions.len();
        self.dispatch(event);
    }

    fn dispatch(&mut self, event: Event) {
        let mut actions = Vec::new();
        self.scheduler.handle(self.now, event, &mut actions);
        for action in actions {
            if let Action::Send { request, node, .. } = action {
                let attempts = self.attempts.entry(request.0).or_default();
                self.in_flight.push(InFlight { request: request.0, attempt: *attempts, node: node.0 });
                *attempts += 1;
            }
            self.actions.push(TimedAction { at: self.now, action });
        }
    }

    /// Replaces the endpoint list by a cached list of these nodes.
    pub fn set_endpoints(&mut self, nodes: &[u32]) {
        let entries = nodes.iter().map(|node| endpoint(*node)).collect();
        self.update_endpoints(EndpointUpdateKind::Cached, entries);
    }

    pub fn update_endpoints(&mut self, kind: EndpointUpdateKind, entries: Vec<EndpointEntry>) {
        self.handle(Event::EndpointUpdate { kind, entries });
    }

    /// Passes a request to the scheduler. Returns the nodes that it is sent to at once.
    pub fn submit(&mut self, request: Request) -> Vec<NodeId> {
        self.handle(Event::RequestArrived(request));
        let sent = self.last_sends().filter(|(id, _)| *id == request.id.0);
        sent.map(|(_, node)| node).collect()
    }

    /// Ends an attempt; `closed` means that the request needs no further action.
    pub fn end_attempt(
        &mut self,
        request: u64,
        attempt: u32,
        node: u32,
        end: AttemptEnd,
        closed: bool,
        latency: Micros,
    ) {
        self.in_flight.retain(|open| (open.request, open.attempt) != (request, attempt));
        self.handle(Event::AttemptEnded(AttemptOutcome {
            attempt,
            end,
            request_closed: closed,
            ..served(RequestId(request), NodeId(node), latency)
        }));
    }

    /// Serves all attempts in flight after a millisecond.
    pub fn serve_all(&mut self) {
        self.serve_all_after(1_000);
    }

    /// Serves all attempts in flight with this latency.
    pub fn serve_all_after(&mut self, latency: Micros) {
        for open in std::mem::take(&mut self.in_flight) {
            self.end_attempt(open.request, open.attempt, open.node, AttemptEnd::Served, true, latency);
        }
    }

    /// Advances the time and fires the timers that become due.
    pub fn advance(&mut self, duration: Micros) {
        let end = self.now + duration;
        self.previous_actions = self.actions.len();
        loop {
            let next = self.actions.iter().rev().find_map(|timed| match timed.action {
                Action::SetTimer { token, at } => Some((token, at)),
                _ => None,
            });
            match next {
                Some((token, at)) if at <= end && self.last_fired != Some(token) => {
                    self.last_fired = Some(token);
                    self.now = self.now.max(at);
                    self.dispatch(Event::TimerFired { token });
                }
                _ => break,
            }
        }
        self.now = end;
    }

    fn last_sends(&self) -> impl Iterator<Item = (u64, NodeId)> + '_ {
        self.actions[self.previous_actions..].iter().filter_map(|timed| match timed.action {
            Action::Send { request, node, .. } => Some((request.0, node)),
            _ => None,
        })
    }

    /// Returns the requests sent since the last event or advance of time.
    pub fn last_sent_requests(&self) -> Vec<u64> {
        self.last_sends().map(|(request, _)| request).collect()
    }

    /// Returns the nodes that requests were sent to since the last event or advance of time.
    pub fn last_sent_nodes(&self) -> Vec<NodeId> {
        self.last_sends().map(|(_, node)| node).collect()
    }

    /// Returns the number of times a request was shed.
    pub fn shed_count(&self, id: u64) -> usize {
        let is_shed = |action: &Action| matches!(action, Action::Shed { request, .. } if request.0 == id);
        self.actions.iter().filter(|timed| is_shed(&timed.action)).count()
    }

    /// Returns the number of times a request failed.
    pub fn failure_count(&self, id: u64) -> usize {
        let failure = Action::Fail { request: RequestId(id) };
        self.actions.iter().filter(|timed| timed.action == failure).count()
    }

    /// Returns the number of times a request was answered by the scheduler.
    pub fn answer_count(&self, id: u64) -> usize {
        self.shed_count(id) + self.failure_count(id)
    }
}
