//! Twenty and thirty schedulers before one cold node, in virtual time: the sum of what they send stays
//! within N + 2 x root of N + 2 requests of mean work in any window of the fall time, N being what the
//! settings allow a node of that age.
#![cfg(test)]

mod common;

use common::{deployment, entry, req, Host, GRANITE_SHELF, PREDIO_NORTE};
use heathward_policy::*;
use rstest::rstest;

/// Hosts start, and are warm before the node goes down.
const BORN: Micros = 20_000_000;
/// The node goes down.
const DOWN: Micros = 40_000_000;
/// It is back, cold.
const START: Micros = 41_000_000;
const STEP: Micros = 50_000;
/// The node is watched for so long, as it bears least just after its start.
const WATCHED: Micros = 10_000_000;
/// Clocks of hosts differ by up to this.
const SKEW: Micros = 50_000;
/// How long the node takes for a request.
const SERVICE: Micros = 20_000;
/// The node that starts cold.
const COLD: u32 = 0;
const SEEDS: u64 = 3;

/// How a host asks for the node's shard.
#[derive(Clone, Copy, Debug, PartialEq)]
enum Load {
    /// Two requests in every step: there is always more than the node bears.
    Storm,
    /// A request a second, at random moments: each host knows little of the node.
    Seldom,
    /// Ten requests at the same moment as all other hosts, every three seconds.
    Bursts,
}

/// Which nodes hosts are asked for.
#[derive(Clone, Copy, Debug, PartialEq)]
enum Spread {
    /// There is this one alone.
    One,
    /// All of twelve, evenly.
    Even,
    /// There are twelve, and every other request of each host is for the cold one.
    Skewed,
    /// There are twelve, and all hosts are asked for the cold one alone.
    Focused,
}

/// What happens beside the node's restart.
#[derive(Clone, Copy, Debug, PartialEq)]
enum Trouble {
    /// Nothing: the list tells every host of the start.
    Listed,
    /// Each host restarts every four seconds or so and knows the list alone.
    HostRestarts,
    /// The node is back before the list has it: each host is notified up to two seconds later, and until then
    /// only sees that the node took no connection for a second.
    ToldLate,
}

/// What a fleet goes through.
#[derive(Clone, Copy, Debug)]
struct Day {
    load: Load,
    spread: Spread,
    trouble: Trouble,
}

impl Spread {
    fn nodes(self) -> u32 {
        if self == Self::One {
            1
        } else {
            12
        }
    }

    /// The shard that a request is for; the cold node holds the first.
    fn shard(self, rng: &mut fastrand::Rng) -> u32 {
        match self {
            Self::One | Self::Focused => 0,
            Self::Even => rng.u32(0..self.nodes()),
            Self::Skewed => rng.u32(0..self.nodes()) * rng.u32(0..2),
        }
    }
}

/// Request ids carry the units, which are less than this.
const ID_BASE: u64 = 16;

/// A scheduler of the fleet.
struct Member {
    host: Host,
    /// How far its clock is ahead.
    skew: Micros,
    /// When the list notifies it of the node's start.
    notified_at: Micros,
}

/// A request that came to the node after its start.
struct Arrived {
    at: Micros,
    /// In requests of mean work.
    work: f64,
    /// Its host had been notified of the start.
    told: bool,
}

struct Fleet {
    settings: Settings,
    day: Day,
    members: Vec<Member>,
    rng: fastrand::Rng,
    requests: u64,
    arrived: Vec<Arrived>,
}

impl Fleet {
    fn new(settings: &Settings, hosts: u32, day: Day, seed: u64) -> Self {
        let mut fleet = Self {
            settings: Settings { schedulers: hosts, ..settings.clone() },
            day,
            members: Vec::new(),
            rng: fastrand::Rng::with_seed(seed),
            requests: 0,
            arrived: Vec::new(),
        };
        for number in 0..hosts {
            let skew = fleet.rng.u64(0..SKEW);
            let late = if day.trouble == Trouble::ToldLate { fleet.rng.u64(0..2_000_000) } else { 0 };
            let host = fleet.start_host(number, BORN + skew, None);
            fleet.members.push(Member { host, skew, notified_at: START + late });
        }
        fleet
    }

    fn start_host(&mut self, number: u32, now: Micros, started: Option<Micros>) -> Host {
        let settings = Settings { scheduler_index: number, ..self.settings.clone() };
        let mut host = Host::seeded(settings, self.rng.u64(..));
        host.now = now;
        let mut entries: Vec<EndpointEntry> = (0..self.day.spread.nodes()).map(entry).collect();
        entries[0].started_at = started;
        host.event(Event::EndpointUpdate { kind: EndpointUpdateKind::Snapshot, entries });
        host
    }

    /// How many requests a host is asked for in the step at that time.
    fn asked(&mut self, now: Micros) -> u32 {
        match self.day.load {
            Load::Storm => 2,
            Load::Seldom => u32::from(self.rng.u64(0..1_000_000 / STEP) == 0),
            Load::Bursts => 10 * u32::from(now >= START && (now - START).is_multiple_of(3_000_000)),
        }
    }

    fn request(&mut self) -> Request {
        self.requests += 1;
        let units = self.rng.u32(1..=3);
        // Many volumes of the dearest plan, whose limits allow this much.
        let plan = PlanId(self.settings.plans.len() as u16 - 1);
        let volume = VolumeId(self.rng.u64(0..200));
        let left = self.settings.classes[0].deadline;
        let shard = Some(ShardId(self.day.spread.shard(&mut self.rng)));
        Request {
            units,
            plan,
            volume,
            time_budget: left,
            shard,
            ..req(self.requests * ID_BASE + u64::from(units))
        }
    }

    /// Ends all attempts of a host: the node serves them, or takes no connection while it is down.
    fn end_attempts(host: &mut Host, down: bool) {
        for (request, attempt, node) in std::mem::take(&mut host.out) {
            let (end, took) = if down && node == COLD {
                (AttemptEnd::NotConnected, 300)
            } else {
                (AttemptEnd::Served, SERVICE)
            };
            host.outcome(request, attempt, node, end, true, took);
        }
    }

    fn step(&mut self, now: Micros) {
        for number in 0..self.members.len() {
            let own = now + self.members[number].skew;
            if self.day.trouble == Trouble::HostRestarts && self.rng.u32(0..80) == 0 {
                let started = (now >= START).then_some(START);
                self.members[number].host = self.start_host(number as u32, own, started);
            }
            let requests: Vec<Request> = (0..self.asked(now)).map(|_| self.request()).collect();
            self.step_host(number, now, requests);
        }
    }

    fn step_host(&mut self, number: usize, now: Micros, requests: Vec<Request>) {
        let Member { host, skew, notified_at } = &mut self.members[number];
        let seen = host.log.len();
        host.step((now + *skew).saturating_sub(host.now));
        Self::end_attempts(host, (DOWN..START).contains(&now));
        if (*notified_at..*notified_at + STEP).contains(&now) {
            let entries = vec![EndpointEntry { started_at: Some(START), ..entry(COLD) }];
            host.event(Event::EndpointUpdate { kind: EndpointUpdateKind::Changes, entries });
        }
        for request in requests {
            host.arrive(request);
        }
        let notified = now >= *notified_at;
        let sent = host.log[seen..].iter().filter_map(|(_, action)| match action {
            Action::Send { request, node, .. } if node.0 == COLD => Some((request.0 % ID_BASE) as f64),
            _ => None,
        });
        if now >= START {
            let mean = self.settings.mean_units;
            self.arrived.extend(sent.map(|units| Arrived { at: now, work: units / mean, told }));
        }
        // Only the wake that is due next matters later.
        let keep = host.log.len().saturating_sub(200);
        host.log.drain(..keep);
    }
}

/// Requests of mean work within the fall time that the settings allow a node of that age, and never less
/// than what it always bears.
fn allowed(settings: &Settings, age: Micros) -> f64 {
    let share = settings.slow_start_fraction;
    let ability = share + (1.0 - share) * (age as f64 / settings.slow_start_duration as f64).min(1.0);
    let units = settings.overload_multiple.max(1.0) * settings.slow_start_units * ability / share;
    units / settings.mean_units
}

/// What came within the fall time from some moment on.
struct Window {
    /// All of it over N + 2 x root of N + 2, N at the window's beginning.
    of_bound: f64,
    /// All of it over N.
    of_allowed: f64,
    /// The part from hosts that had been told.
    told: f64,
}

fn windows(settings: &Settings, arrived: &[Arrived]) -> Vec<Window> {
    let last = START + WATCHED - settings.overload_window;
    let window = |from: Micros| {
        let within = arrived.iter().filter(|one| (from..from + settings.overload_window).contains(&one.at));
        let (mut came, mut told) = (0.0, 0.0);
        for one in within {
            came += one.work;
            told += if one.told { one.work } else { 0.0 };
        }
        let allowed = allowed(settings, from - START);
        let of_bound = came / (allowed + 2.0 * allowed.sqrt() + 2.0);
        Window { of_bound, of_allowed: came / allowed, told: told / came.max(1e-9) }
    };
    (START..last).step_by(STEP as usize).map(window).collect()
}

/// Guards against twenty or thirty schedulers that are each careful and together push a cold node over. The
/// rule is broken where over two thirds of what came was sent by hosts that had been notified of the start.
#[rstest]
fn many_schedulers_keep_a_cold_node_within_its_bound(
    #[values(PREDIO_NORTE, GRANITE_SHELF)] text: &str,
    #[values(20, 30)] hosts: u32,
    #[values(Load::Storm, Load::Seldom, Load::Bursts)] load: Load,
    #[values(Spread::One, Spread::Even)] spread: Spread,
    #[values(Trouble::Listed, Trouble::HostRestarts, Trouble::ToldLate)] trouble: Trouble,
) {
    let day = Day { load, spread, trouble };
    for (worst, mean) in played(text, hosts, day) {
        assert!(worst <= 1.0, "{worst} times the bound");
        // The test would say nothing of a fleet that sends little.
        assert!(load != Load::Storm || mean > 0.1, "{mean} of N in the mean");
    }
}

/// Of each seed: the worst window over the bound, where over two thirds of it came from hosts that had been
/// told, and the mean of all windows over N.
fn played(text: &str, hosts: u32, day: Day) -> Vec<(f64, f64)> {
    let settings = deployment(text);
    let play = |seed| {
        let mut fleet = Fleet::new(&settings, hosts, day, seed);
        for now in (DOWN - 4_000_000..START + WATCHED).step_by(STEP as usize) {
            fleet.step(now);
        }
        let windows = windows(&settings, &fleet.arrived);
        let notified = windows.iter().filter(|window| window.told > 2.0 / 3.0);
        let worst = notified.map(|window| window.of_bound).fold(0.0, f64::max);
        let mean = windows.iter().map(|window| window.of_allowed).sum::<f64>() / windows.len() as f64;
        println!("{hosts} hosts, {day:?}, seed {seed}: {worst:.2} of the bound, {mean:.2} of N");
        (worst, mean)
    };
    (1..=SEEDS).map(play).collect()
}

/// Times the bound at most where all hosts turn to one of many nodes, alone or with every other request. The
/// rule is not kept there, as no host can tell such a node from one that its own volumes lean on
/// (docs/acceptance.md); this guards against a law that makes it worse.
const FOCUSED: f64 = 3.2;
const SKEWED: f64 = 1.6;

#[test]
fn where_all_hosts_turn_to_one_of_many_nodes_the_sum_grows_no_further() {
    for text in [PREDIO_NORTE, GRANITE_SHELF] {
        for (load, spread, most) in [
            (Load::Storm, Spread::Focused, FOCUSED),
            (Load::Seldom, Spread::Focused, FOCUSED),
            (Load::Bursts, Spread::Focused, FOCUSED),
            (Load::Bursts, Spread::Skewed, SKEWED),
        ] {
            let day = Day { load, spread, trouble: Trouble::Listed };
            for (worst, _) in played(text, 30, day) {
                assert!(worst <= most, "{day:?}: {worst} times the bound");
            }
        }
    }
}
