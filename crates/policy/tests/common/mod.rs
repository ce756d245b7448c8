//! A host for tests: feeds a scheduler and keeps what it did.
#![allow(dead_code)]

use heathward_policy::*;

pub struct Host {
    pub scheduler: Scheduler,
    pub now: Micros,
    /// Every action with its time.
    pub log: Vec<(Micros, Action)>,
    mark: usize,
    fired: Option<u64>,
    /// Attempts out: request, attempt, node.
    pub out: Vec<(u64, u32, u32)>,
    sends: std::collections::BTreeMap<u64, u32>,
}

/// Three classes (safe, unsafe, keyed) and one plan that reserves plenty.
pub fn settings() -> Settings {
    let class = ClassSettings {
        latency_objective: 300_000,
        deadline: 1_000_000,
        priority_weight: 1.0,
        late_weight_fraction: 0.2,
        deduplication_scope: DeduplicationScope::Shard,
        deduplication_window: 1_500_000,
        ..Default::default()
    };
    Settings {
        schedulers: 1,
        classes: vec![
            class.clone(),
            ClassSettings { idempotency: Idempotency::NotIdempotent, ..class.clone() },
            ClassSettings { idempotency: Idempotency::WithKey, ..class },
        ],
        plans: vec![PlanSettings {
            usual_rate: 1e3,
            reserved_rate: 1e3,
            shared_weight: 1.0,
            priority_factor: 1.0,
            ..Default::default()
        }],
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

/// Settings as the first deployment has them: a keyed class, no limits, cold nodes bear four times.
pub const PREDIO_NORTE: &str = r#"{"balancers": 4, "slotNo": 0, "discovery": "pushed", "resolutionMs": 2.0,
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

/// As the second has them: a class that must never run twice, a limit, cold nodes bear twice, reports.
pub const GRANITE_SHELF: &str = r#"{"balancers": 4, "slotNo": 0, "discovery": "pushed", "resolutionMs": 2.0,
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

/// What the module is told of such settings.
pub fn deployment(text: &str) -> Settings {
    settings::Deployment::read(&settings::JsonSource(&miniserde::json::from_str(text).unwrap()))
        .unwrap()
        .settings
}

pub fn entry(node: u32) -> EndpointEntry {
    EndpointEntry {
        node: NodeId(node),
        shard: ShardId(node),
        zone: 0,
        state: NodeState::Ready,
        started_at: None,
    }
}

/// A request for shard 1.
pub fn req(id: u64) -> Request {
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

impl Host {
    pub fn new(settings: Settings) -> Self {
        Self::seeded(settings, 11)
    }

    pub fn seeded(settings: Settings, seed: u64) -> Self {
        let scheduler = Scheduler::new(settings, seed).expect("sound settings");
        Self {
            scheduler,
            now: 1_000_000,
            log: vec![],
            mark: 0,
            fired: None,
            out: vec![],
            sends: Default::default(),
        }
    }

    pub fn event(&mut self, event: Event) {
        self.mark = self.log.len();
        self.feed(event);
    }

    fn feed(&mut self, event: Event) {
        let mut actions = Vec::new();
        self.scheduler.handle(self.now, event, &mut actions);
        for action in actions {
            if let Action::Send { request, node, .. } = action {
                let attempt = self.sends.entry(request.0).or_default();
                self.out.push((request.0, *attempt, node.0));
                *attempt += 1;
            }
            self.log.push((self.now, action));
        }
    }

    pub fn list(&mut self, nodes: &[u32]) {
        let entries = nodes.iter().map(|n| entry(*n)).collect();
        self.event(Event::EndpointUpdate { kind: EndpointUpdateKind::Cached, entries });
    }

    /// Feeds a request and gives the nodes it went to at once.
    pub fn arrive(&mut self, request: Request) -> Vec<NodeId> {
        self.event(Event::RequestArrived(request));
        self.log[self.mark..]
            .iter()
            .filter_map(|(_, a)| match a {
                Action::Send { request: id, node, .. } if *id == request.id => Some(*node),
                _ => None,
            })
            .collect()
    }

    pub fn outcome(
        &mut self,
        request: u64,
        attempt: u32,
        node: u32,
        end: AttemptEnd,
        closed: bool,
        took: Micros,
    ) {
        self.out.retain(|(r, a, _)| (*r, *a) != (request, attempt));
        let node = NodeId(node);
        let request = RequestId(request);
        self.event(Event::AttemptEnded(AttemptOutcome {
            request,
            attempt,
            node,
            end,
            request_closed: closed,
            latency: took,
            volume_usage_percent: None,
            served_elsewhere: None,
            utilization: None,
        }));
    }

    /// Serves all that is out, at once.
    pub fn finish_all(&mut self) {
        self.finish_after(1_000);
    }

    /// The same with answers that took so long.
    pub fn finish_after(&mut self, took: Micros) {
        for (request, attempt, node) in std::mem::take(&mut self.out) {
            self.outcome(request, attempt, node, AttemptEnd::Served, true, took);
        }
    }

    /// Moves the clock on and fires a timer that is due at the new time.
    pub fn step(&mut self, span: Micros) {
        let end = self.now + span;
        self.mark = self.log.len();
        loop {
            let next = self.log.iter().rev().find_map(|(_, a)| match a {
                Action::SetTimer { token, at } => Some((*token, *at)),
                _ => None,
            });
            match next {
                Some((token, at)) if at <= end && self.fired != Some(token) => {
                    self.fired = Some(token);
                    self.now = self.now.max(at);
                    self.feed(Event::TimerFired { token });
                }
                _ => break,
            }
        }
        self.now = end;
    }

    fn since_mark(&self) -> impl Iterator<Item = (u64, NodeId)> + '_ {
        self.log[self.mark..].iter().filter_map(|(_, a)| match a {
            Action::Send { request, node, .. } => Some((request.0, *node)),
            _ => None,
        })
    }

    /// Requests sent in answer to the last event or step.
    pub fn last_sends(&self) -> Vec<u64> {
        self.since_mark().map(|(request, _)| request).collect()
    }

    pub fn last_nodes(&self) -> Vec<NodeId> {
        self.since_mark().map(|(_, node)| node).collect()
    }

    pub fn refusals(&self, id: u64) -> usize {
        let of = |a: &Action| matches!(a, Action::Shed { request, .. } if request.0 == id);
        self.log.iter().filter(|(_, a)| of(a)).count()
    }

    pub fn failures(&self, id: u64) -> usize {
        self.log.iter().filter(|(_, a)| *a == Action::Fail { request: RequestId(id) }).count()
    }

    pub fn answers(&self, id: u64) -> usize {
        self.refusals(id) + self.failures(id)
    }
}
