//! Arbitrary legal event sequences with fixed seeds: the rules hold whatever happens, with the settings of
//! each deployment and with those that ask for every rule.
#![cfg(test)]

mod common;
use common::{deployment, entry, settings};
use heathward_policy::*;
use rstest::rstest;
use std::collections::{BTreeMap, BTreeSet};

/// One request as the world sees it.
struct Seen {
    deadline: Micros,
    class: ClassSettings,
    limited: Option<(VolumeId, PlanId)>,
    units: f64,
    key: Option<KeyId>,
    ended: bool,
    answered: u32,
    sends: u32,
    out: Vec<(u32, NodeId, Micros)>,
    ran: Option<(NodeId, Micros)>,
}

#[derive(Default)]
struct World {
    now: Micros,
    requests: BTreeMap<u64, Seen>,
    lines: BTreeMap<KeyId, (Vec<u64>, Micros)>,
    taken: Vec<Micros>,
    extras: Vec<Micros>,
    wakes: BTreeSet<(Micros, u64)>,
    ready: BTreeMap<NodeId, bool>,
    /// Units sent for each volume with a limit.
    spent: BTreeMap<(VolumeId, PlanId), f64>,
    sent: u64,
}

/// Whose settings.
#[derive(Clone, Copy, Debug)]
enum Of {
    EveryRule,
    PredioNorte,
    GraniteShelf,
}

fn rules(of: Of) -> Settings {
    match of {
        Of::EveryRule => {}
        Of::PredioNorte => return deployment(common::PREDIO_NORTE),
        Of::GraniteShelf => return deployment(common::GRANITE_SHELF),
    }
    let mut set = settings();
    set.slow_start_units = 80.0;
    set.classes[2].ordered_per_key = true;
    set.key_cool_down = 100_000;
    set.retry_budget = Some(RetryBudget { free_retries: 2.0, retries_per_request: 0.1, window: 3_000_000 });
    set.plans.push(PlanSettings { reserved_rate: 0.0, rate_limit: 4.0, burst: 20.0, ..set.plans[0].clone() });
    set
}

impl World {
    fn feed(&mut self, scheduler: &mut Scheduler, set: &Settings, event: Event) {
        let mut actions = Vec::new();
        scheduler.handle(self.now, event, &mut actions);
        for action in actions {
            match action {
                Action::Send { request, node, .. } => self.send(set, request.0, node),
                Action::Shed { request, retry_after } => {
                    assert!(retry_after.is_none_or(|hint| hint <= set.max_retry_after), "{retry_after:?}");
                    self.answer(request.0, true);
                }
                Action::Fail { request } => self.answer(request.0, false),
                Action::SetTimer { token, at } => {
                    assert!(at > self.now, "a timer in the past");
                    self.wakes.insert((at, token));
                }
                Action::Subscribe | Action::Log { .. } => {}
            }
        }
    }

    fn send(&mut self, set: &Settings, id: u64, node: NodeId) {
        self.sent += 1;
        assert_eq!(self.ready.get(&node), Some(&true), "sent to a node that is not in service");
        let r = self.requests.get_mut(&id).expect("sent what was never taken");
        assert!(!r.ended, "sent after its end");
        assert!(self.now < r.deadline, "sent after its deadline");
        assert!(r.out.is_empty(), "two at once");
        if let Some((first, at)) = r.ran {
            match r.class.idempotency {
                Idempotency::Idempotent => {}
                Idempotency::WithKey => {
                    assert!(first == node && self.now < at + r.class.deduplication_window)
                }
                Idempotency::NotIdempotent => panic!("an unsafe request that may have run went again"),
            }
        }
        assert!(r.sends < set.max_attempts, "{} attempts before", r.sends);
        if let (true, Some(budget)) = (r.sends > 0, set.retry_budget) {
            self.extras.push(self.now);
            let since = self.now.saturating_sub(budget.window);
            let count = |times: &[Micros]| times.iter().filter(|at| **at > since).count() as f64;
            assert!(
                count(&self.extras) <= budget.free_retries + budget.retries_per_request * count(&self.taken)
            );
        }
        if let (Some(volume), 0) = (r.limited, r.sends) {
            *self.spent.entry(volume).or_default() += r.units;
        }
        r.out.push((r.sends, node, self.now));
        r.sends += 1;
        if let (Some(key), true) = (r.key, r.class.ordered_per_key) {
            let (line, rest) = &self.lines[&key];
            let first = line.iter().find(|other| {
                let o = &self.requests[other];
                !o.ended || !o.out.is_empty()
            });
            assert_eq!(first, Some(&id), "out of turn");
            assert!(self.requests[&id].sends > 1 || *rest <= self.now, "the key still rests");
        }
    }

    fn answer(&mut self, id: u64, refused: bool) {
        let r = self.requests.get_mut(&id).expect("answered what was never taken");
        assert!(!r.ended, "answered twice");
        assert!(self.now <= r.deadline, "answered late");
        if refused && r.class.idempotency != Idempotency::Idempotent {
            assert!(r.out.is_empty() && r.ran.is_none(), "refused what may have run");
        }
        r.ended = true;
        r.answered += 1;
    }
}

fn play(of: Of, seed: u64) -> World {
    let set = rules(of);
    let mut rng = fastrand::Rng::with_seed(seed);
    let mut scheduler = Scheduler::new(set.clone(), seed).expect("sound settings");
    let mut w = World { now: 5_000_000, ..World::default() };
    let entries: Vec<EndpointEntry> = (0..4).map(entry).collect();
    w.ready.extend(entries.iter().map(|e| (e.node, true)));
    w.feed(&mut scheduler, &set, Event::EndpointUpdate { kind: EndpointUpdateKind::Cached, entries });
    let start = w.now;
    for step in 0..3_000u64 {
        let until = w.now + rng.u64(0..8_000);
        while let Some(&(at, token)) = w.wakes.first() {
            if at > until {
                break;
            }
            w.wakes.remove(&(at, token));
            w.now = w.now.max(at);
            expire(&mut w, &mut scheduler, &set);
            w.feed(&mut scheduler, &set, Event::TimerFired { token });
        }
        w.now = until;
        expire(&mut w, &mut scheduler, &set);
        match rng.u32(0..10) {
            0..=4 if step < 2_500 => arrive(&mut w, &mut scheduler, &set, &mut rng, step + 1),
            5 if rng.u32(0..20) == 0 => {
                let e = entry(rng.u32(0..4));
                let ready = rng.bool();
                let state = if ready { NodeState::Ready } else { NodeState::Draining };
                w.ready.insert(e.node, ready);
                let started = rng.bool().then_some(w.now);
                let entries = vec![EndpointEntry { state, started_at: started, ..e }];
                w.feed(
                    &mut scheduler,
                    &set,
                    Event::EndpointUpdate { kind: EndpointUpdateKind::Changes, entries },
                );
            }
            _ => end_one(&mut w, &mut scheduler, &set, &mut rng),
        }
    }
    while w.requests.values().any(|r| !r.ended || !r.out.is_empty()) {
        w.now += 2_000;
        expire(&mut w, &mut scheduler, &set);
        while let Some((at, token)) = w.wakes.first().copied().filter(|(at, _)| *at <= w.now) {
            w.wakes.remove(&(at, token));
            w.feed(&mut scheduler, &set, Event::TimerFired { token });
        }
    }
    let life = (w.now - start) as f64 / 1e6;
    for ((volume, plan), spent) in &w.spent {
        let PlanSettings { rate_limit: limit, burst, .. } = set.plans[plan.0 as usize];
        assert!(*spent <= burst + limit * life, "limit of {volume:?} passed: {spent} units in {life} s");
    }
    let mean = w.spent.values().sum::<f64>() / w.spent.len().max(1) as f64;
    let near = 2.0 * mean > life || w.spent.is_empty();
    assert!(near, "limits were never near: {mean} units a volume in {life} s");
    w
}

fn arrive(w: &mut World, scheduler: &mut Scheduler, set: &Settings, rng: &mut fastrand::Rng, id: u64) {
    let place = rng.u16(0..set.classes.len() as u16);
    let class = &set.classes[place as usize];
    let key = (class.idempotency == Idempotency::WithKey).then(|| KeyId(rng.u64(0..6)));
    let left = rng.u64(20_000..class.deadline);
    let plan = rng.u16(0..set.plans.len() as u16);
    let volume = VolumeId(u64::from(plan) * 10 + rng.u64(0..5));
    let request = Request {
        id: RequestId(id),
        class: ClassId(place),
        plan: PlanId(plan),
        volume,
        units: rng.u32(1..=8),
        time_budget: left,
        shard: rng.bool().then(|| ShardId(rng.u32(0..5))),
        key,
        schedulers: rng.u32(1..3),
        is_client_retry: false,

        is_streaming: false,
    };
    let limited = set.plans[plan as usize].rate_limit > 0.0;
    let seen = Seen {
        deadline: w.now + left,
        class: class.clone(),
        limited: limited.then_some((volume, PlanId(plan))),
        units: f64::from(request.units),
        key,
        ended: false,
        answered: 0,
        sends: 0,
        out: vec![],
        ran: None,
    };
    w.requests.insert(id, seen);
    w.taken.push(w.now);
    if let Some(key) = key {
        w.lines.entry(key).or_default().0.push(id);
    }
    w.feed(scheduler, set, Event::RequestArrived(request));
}

/// Ends a random attempt that is out.
fn end_one(w: &mut World, scheduler: &mut Scheduler, set: &Settings, rng: &mut fastrand::Rng) {
    let out: Vec<u64> = w.requests.iter().filter(|(_, r)| !r.out.is_empty()).map(|(id, _)| *id).collect();
    if out.is_empty() {
        return;
    }
    let id = out[rng.usize(0..out.len())];
    let bad = [AttemptEnd::Error, AttemptEnd::Rejected, AttemptEnd::NotConnected, AttemptEnd::Reset];
    let end = if rng.u32(0..12) == 0 { bad[rng.usize(0..bad.len())] } else { AttemptEnd::Served };
    finish(w, scheduler, set, id, end);
}

fn finish(w: &mut World, scheduler: &mut Scheduler, set: &Settings, id: u64, end: AttemptEnd) {
    let r = w.requests.get_mut(&id).expect("known");
    let (attempt, node, sent) = r.out.remove(0);
    if matches!(end, AttemptEnd::Error | AttemptEnd::TimedOut | AttemptEnd::Reset) && r.ran.is_none() {
        r.ran = Some((node, sent));
    }
    if matches!(end, AttemptEnd::TimedOut | AttemptEnd::Reset) {
        if let Some((_, rest)) = r.key.and_then(|key| w.lines.get_mut(&key)) {
            *rest = w.now + set.key_cool_down;
        }
    }
    let closed = r.ended || end == AttemptEnd::Served;
    r.answered += u32::from(end == AttemptEnd::Served && !r.ended);
    r.ended = closed;
    let (request, took) = (RequestId(id), w.now - sent);
    let o = AttemptOutcome {
        request,
        attempt,
        node,
        end,
        request_closed: closed,
        latency: took,
        volume_usage_percent: Some(50),
        served_elsewhere: None,
        utilization: None,
    };
    w.feed(scheduler, set, Event::AttemptEnded(o));
}

/// Attempts out at the client's deadline time out.
fn expire(w: &mut World, scheduler: &mut Scheduler, set: &Settings) {
    let now = w.now;
    let due = |r: &Seen| !r.out.is_empty() && r.deadline <= now;
    let late: Vec<u64> = w.requests.iter().filter(|(_, r)| due(r)).map(|(id, _)| *id).collect();
    for id in late {
        let deadline = w.requests[&id].deadline;
        w.now = deadline.min(now);
        w.requests.get_mut(&id).expect("listed").deadline = u64::MAX;
        finish(w, scheduler, set, id, AttemptEnd::TimedOut);
    }
    w.now = now;
}

#[rstest]
fn the_rules_hold_on_arbitrary_days(
    #[values(Of::EveryRule, Of::PredioNorte, Of::GraniteShelf)] of: Of,
    #[values(1, 2, 3, 4, 5)] seed: u64,
) {
    let w = play(of, seed);
    assert!(w.sent > 100, "{of:?}, seed {seed}: the day sent next to nothing");
    for (id, r) in &w.requests {
        assert_eq!(r.answered, 1, "{of:?}, seed {seed}: answers of request {id}");
    }
}

#[test]
fn the_same_events_give_the_same_actions() {
    assert_eq!(play(Of::EveryRule, 3).sent, play(Of::EveryRule, 3).sent);
    assert_eq!(play(Of::EveryRule, 4).extras, play(Of::EveryRule, 4).extras);
}
