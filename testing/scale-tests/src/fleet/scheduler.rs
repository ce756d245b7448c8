//! One hollow scheduler: the real module and lease, and its own chance, requests and view of the list.

use fastrand::Rng;
use fnv::FnvHashMap;
use heathward_policy::{Micros, NodeId, PlanId, Scheduler, Settings, SettingsError, VolumeId};
use tokio::time::Instant;

use super::{ClassId, FleetSettings, Rates, Request, RequestId, ShardId, Slice};
use crate::lease::ListLease;

/// A request that owes an answer.
#[derive(Clone, Copy, Debug)]
pub(super) struct Open {
    pub(super) units: u32,
    /// The second in which it was asked.
    pub(super) asked: u32,
    pub(super) attempts: u32,
    /// The attempt that is out, and where.
    pub(super) out: Option<(u32, NodeId)>,
    pub(super) answered: bool,
}

pub(super) struct HollowScheduler {
    number: u32,
    epoch: Instant,
    pub(super) module: Scheduler,
    pub(super) lease: ListLease,
    /// What the module was last told of the lease.
    pub(super) held: bool,
    pub(super) wake: Option<u64>,
    pub(super) open: FnvHashMap<u64, Open>,
    /// Counts its starts and ends; what belongs to an older one is void.
    pub(super) generation: u32,
    pub(super) up: bool,
    /// Version of the list that it has.
    pub(super) version: Option<usize>,
    pub(super) hosts_factor: f64,
    rng: Rng,
    rate: f64,
    volumes: u64,
    requests: u64,
}

/// What the module of that scheduler is told.
pub(super) fn module_settings(set: &FleetSettings, number: u32, hosts_factor: f64) -> Settings {
    let hosts = (f64::from(set.schedulers) * hosts_factor).round().max(1.0) as u32;
    let host = if set.same_host { 0 } else { number % hosts };
    Settings { schedulers: hosts, scheduler_index: host, ..set.settings.clone() }
}

/// Requests a second at each scheduler that is played.
pub(super) fn rates(set: &FleetSettings, schedulers: u32, rng: &mut Rng) -> Vec<f64> {
    let factor = |rng: &mut Rng| match set.rates {
        Rates::Even => 1.0,
        Rates::Uneven(most) => most.powf(2.0 * rng.f64() - 1.0),
    };
    let factors: Vec<f64> = (0..schedulers).map(|_| factor(rng)).collect();
    let mean = factors.iter().sum::<f64>() / f64::from(schedulers);
    let whole = f64::from(set.nodes);
    let part = match set.slice {
        Slice::Nodes { .. } => f64::from(set.slice.hollow_nodes(set.nodes)) / whole,
        _ => 1.0,
    };
    factors.into_iter().map(|factor| set.rate_per_scheduler * part * factor / mean).collect()
}

impl HollowScheduler {
    pub(super) fn new(
        set: &FleetSettings,
        number: u32,
        rate: f64,
        seed: u64,
        epoch: Instant,
    ) -> Result<Self, SettingsError> {
        let mut rng = Rng::with_seed(seed);
        let plan_rate = set.settings.plans.iter().map(|plan| plan.usual_rate).sum::<f64>()
            / set.settings.plans.len().max(1) as f64;
        let of_volume = (plan_rate * set.volume_load / set.settings.mean_units).max(f64::MIN_POSITIVE);
        let module = Scheduler::new(module_settings(set, number, set.hosts_factor), rng.u64(..))?;
        Ok(Self {
            number,
            epoch,
            module,
            lease: ListLease::new(epoch, set.begin, set.drain_rule),
            held: false,
            wake: None,
            open: FnvHashMap::default(),
            generation: 0,
            up: false,
            version: None,
            hosts_factor: set.hosts_factor,
            rng,
            rate,
            volumes: (rate / of_volume).ceil().clamp(1.0, 1e6) as u64,
            requests: 0,
        })
    }

    /// A process starts: it knows nothing.
    pub(super) fn start(&mut self, set: &FleetSettings, now: Micros) -> Result<(), SettingsError> {
        let settings = module_settings(set, self.number, self.hosts_factor);
        self.module = Scheduler::new(settings, self.rng.u64(..))?;
        self.lease = ListLease::new(self.epoch, now, set.drain_rule);
        (self.held, self.wake, self.version) = (self.lease.holds(now), None, None);
        self.generation += 1;
        self.up = true;
        Ok(())
    }

    /// It is killed; gives the number of requests that it takes with it.
    pub(super) fn kill(&mut self) -> u64 {
        self.generation += 1;
        (self.up, self.wake, self.version) = (false, None, None);
        let lost = self.open.len() as u64;
        self.open.clear();
        lost
    }

    /// When the next request comes; `None` without any.
    pub(super) fn next_arrival(&mut self, now: Micros) -> Option<Micros> {
        let pause = -(1.0 - self.rng.f64()).ln() / self.rate * 1e6;
        (self.rate > 0.0 && pause < 1e15).then(|| now + pause.ceil() as Micros)
    }

    /// A request for one of so many listed nodes.
    pub(super) fn draw_request(&mut self, set: &FleetSettings, listed: u32) -> Request {
        self.requests += 1;
        let rng = &mut self.rng;
        let volume = rng.u64(0..self.volumes);
        let class = draw_class(rng, &set.class_mix, set.settings.classes.len());
        let free = rng.f64() < set.free_share;
        let shard = ShardId(rng.u32(0..listed.max(1)));
        Request {
            id: RequestId(self.requests),
            class: ClassId(class as u16),
            plan: PlanId((volume % set.settings.plans.len().max(1) as u64) as u16),
            volume: VolumeId((u64::from(self.number) << 24) | volume),
            units: draw_units(rng, set.settings.mean_units, set.settings.max_units),
            time_budget: set.settings.classes[class].deadline,
            shard: (!free).then_some(shard),
            key: None,
            schedulers: 1,
            is_client_retry: false,
            is_streaming: false,
        }
    }
}

fn draw_class(rng: &mut Rng, mix: &[f64], classes: usize) -> usize {
    let mix = &mix[..mix.len().min(classes)];
    let mut left = rng.f64() * mix.iter().sum::<f64>();
    for (class, weight) in mix.iter().enumerate() {
        left -= weight;
        if left < 0.0 {
            return class;
        }
    }
    0
}

/// Geometric from 1 with that mean, none above the most.
fn draw_units(rng: &mut Rng, mean: f64, most: u32) -> u32 {
    let stay = 1.0 - 1.0 / mean.max(1.0);
    if stay <= 0.0 {
        return 1;
    }
    let more = ((1.0 - rng.f64()).ln() / stay.ln()).floor() as u32;
    (1 + more).min(most.max(1))
}
