//! The slow start under test: fleets of three sizes with the settings of three deployments, each under
//! the conditions that the design note lists, and what each case came to over its seeds.
//!
//! Slices: a slice of nodes keeps the schedulers' numbers, by which the law spreads its tokens, and
//! biases each scheduler's estimate of the chance that a token is used. That goes by the nodes that it
//! was asked for within half a window; where these are fewer than two or three the estimate is too high
//! and less is sent. A slice of schedulers keeps that estimate. In place of all numbers it has a few in
//! order, at as many listed nodes as it leaves out schedulers, each with a hash of its own: tokens come
//! at random and not evenly spread, so that the worst window is rather too high. So the largest fleet
//! with few requests a node goes by schedulers, and by nodes at the planned size, where a scheduler
//! asks for six nodes a second. [`slice_pairs`] has the sizes that have to agree.

use std::sync::atomic::{AtomicU64, Ordering};
use std::sync::Mutex;

use heathward_policy::{Micros, Settings, SettingsError};

use crate::cold_start::{cold_start, Begin, ColdStart, ColdStartReport};
use crate::deployments::{granite_shelf, planned_size, predio_norte, NODES, SCHEDULERS};
use crate::fleet::{Fault, Rates, Slice};

const SECOND: Micros = 1_000_000;
/// How long a case is watched whose figures do not need the fleet to serve again.
const SHORT_SPAN: Micros = 8 * SECOND;
/// The same where far more is asked.
const OVERLOAD_SPAN: Micros = 6 * SECOND;

/// Schedulers and nodes of a fleet.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct FleetSize {
    /// Schedulers.
    pub schedulers: u32,
    /// Storage nodes.
    pub nodes: u32,
}

/// The sizes, in the proportion of the planned one.
pub const FLEET_SIZES: [FleetSize; 3] = [
    FleetSize { schedulers: 30, nodes: 34 },
    FleetSize { schedulers: 300, nodes: 340 },
    FleetSize { schedulers: SCHEDULERS, nodes: NODES },
];

/// Whose settings the schedulers have.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Deployment {
    /// [`predio_norte`].
    PredioNorte,
    /// [`granite_shelf`].
    GraniteShelf,
    /// [`planned_size`].
    PlannedSize,
}

impl Deployment {
    /// All of them.
    pub const ALL: [Self; 3] = [Self::PredioNorte, Self::GraniteShelf, Self::PlannedSize];

    /// The settings.
    pub fn settings(self) -> Settings {
        match self {
            Self::PredioNorte => predio_norte(),
            Self::GraniteShelf => granite_shelf(),
            Self::PlannedSize => planned_size(),
        }
    }

    /// For printing.
    pub fn name(self) -> &'static str {
        match self {
            Self::PredioNorte => "predio-norte",
            Self::GraniteShelf => "granite-shelf",
            Self::PlannedSize => "planned-size",
        }
    }

    /// The part that is played. At the planned size a node has 55 times the requests of the others, and
    /// a scheduler asks for several nodes within a token's life also in a small slice of these.
    fn slice(self, size: FleetSize) -> Slice {
        match (self, size.schedulers) {
            (Self::PlannedSize, 0..=30) => Slice::Nodes { one_in: 6 },
            (Self::PlannedSize, 31..=300) => Slice::Nodes { one_in: 34 },
            (Self::PlannedSize, _) => Slice::Nodes { one_in: 170 },
            (_, 0..=300) => Slice::Whole,
            _ => Slice::Schedulers { one_in: 100 },
        }
    }
}

/// What a fleet starts under.
#[derive(Clone, Copy, Debug, PartialEq)]
pub enum Condition {
    /// Everything starts; nothing else happens.
    Plain,
    /// A third of the schedulers is killed and starts again, twice, while nodes are cold.
    SchedulersRestart,
    /// A zone falls silent while its nodes are cold, and returns cold.
    ZoneLost,
    /// Nodes start under schedulers that run, three in ten of which hear of it three seconds later.
    ListsDiffer,
    /// Rates differ sixteenfold.
    UnevenRates,
    /// So many times what warm nodes can do is asked.
    Overload(f64),
    /// Nodes can serve all of N, and that much is asked of them: what the law itself lets through. With
    /// the others a node serves no more than N over the multiple, and load regulation holds back what
    /// it can't.
    NodesServeAll,
    /// Settings name half of the schedulers that there are.
    HostsHalved,
    /// Settings name twice the schedulers that there are.
    HostsDoubled,
}

impl Condition {
    /// All of them.
    pub const ALL: [Self; 10] = [
        Self::Plain,
        Self::SchedulersRestart,
        Self::ZoneLost,
        Self::ListsDiffer,
        Self::UnevenRates,
        Self::Overload(2.0),
        Self::Overload(5.0),
        Self::NodesServeAll,
        Self::HostsHalved,
        Self::HostsDoubled,
    ];

    /// For printing.
    pub fn name(self) -> String {
        match self {
            Self::Plain => "plain".to_owned(),
            Self::SchedulersRestart => "schedulers-restart".to_owned(),
            Self::ZoneLost => "zone-lost".to_owned(),
            Self::ListsDiffer => "lists-differ".to_owned(),
            Self::UnevenRates => "uneven-rates".to_owned(),
            Self::Overload(load) => format!("overload-{load}"),
            Self::NodesServeAll => "nodes-serve-all".to_owned(),
            Self::HostsHalved => "hosts-halved".to_owned(),
            Self::HostsDoubled => "hosts-doubled".to_owned(),
        }
    }

    /// Whether settings name the true number of schedulers.
    pub fn hosts_are_right(self) -> bool {
        !matches!(self, Self::HostsHalved | Self::HostsDoubled)
    }

    fn apply(self, start: &mut ColdStart) {
        start.span = SHORT_SPAN;
        match self {
            Self::Plain => start.span = 0,
            Self::SchedulersRestart => {
                let kill = Fault::KillSchedulers { share: 1.0 / 3.0, down: SECOND };
                start.faults = vec![(2 * SECOND, kill), (5 * SECOND, kill)];
            }
            Self::ZoneLost => {
                start.faults = vec![(2 * SECOND, Fault::LoseZone { zone: 3, down: 2 * SECOND })];
            }
            Self::ListsDiffer => {
                start.begin = Begin::NodesAlone { after: 4 * SECOND };
                start.faults_before = vec![(SECOND, Fault::SplitLists { share: 0.3, span: 4 * SECOND })];
            }
            Self::UnevenRates => start.rates = Rates::Uneven(4.0),
            Self::Overload(load) => (start.load, start.span) = (load, OVERLOAD_SPAN),
            Self::NodesServeAll => {
                start.ability_factor = start.settings.overload_multiple;
                (start.load, start.span) = (start.settings.overload_multiple, OVERLOAD_SPAN);
            }
            Self::HostsHalved => start.hosts_factor = 0.5,
            Self::HostsDoubled => start.hosts_factor = 2.0,
        }
    }
}

/// A fleet under a condition.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct Case {
    /// Its size.
    pub size: FleetSize,
    /// Its settings.
    pub deployment: Deployment,
    /// What it starts under.
    pub condition: Condition,
    /// The part that is played.
    pub slice: Slice,
}

impl Case {
    /// One with the usual slice.
    pub fn new(size: FleetSize, deployment: Deployment, condition: Condition) -> Self {
        Self { size, deployment, condition, slice: deployment.slice(size) }
    }

    /// For printing: `300-granite-shelf-plain`.
    pub fn name(&self) -> String {
        format!("{}-{}-{}", self.size.schedulers, self.deployment.name(), self.condition.name())
    }

    /// How many seeds it is played with: 210 for all cases of a fleet size. The planned size costs most.
    pub fn seeds(&self) -> u64 {
        if self.deployment == Deployment::PlannedSize {
            3
        } else {
            9
        }
    }

    /// The start that is played.
    pub fn start(&self) -> ColdStart {
        let FleetSize { schedulers, nodes } = self.size;
        let mut start = ColdStart::new(schedulers, nodes, self.slice, self.deployment.settings());
        self.condition.apply(&mut start);
        start
    }
}

/// All cases of fleets of that size.
pub fn cases(size: FleetSize) -> Vec<Case> {
    let of = |deployment| Condition::ALL.map(|condition| Case::new(size, deployment, condition));
    Deployment::ALL.into_iter().flat_map(of).collect()
}

/// Plain starts of the largest fleet in the usual slice, beside one of twice the size.
pub fn slice_pairs() -> Vec<(Case, Case)> {
    let pair = |deployment| {
        let usual = Case::new(FLEET_SIZES[2], deployment, Condition::Plain);
        let twice = match usual.slice {
            Slice::Nodes { one_in } => Slice::Nodes { one_in: one_in / 2 },
            Slice::Schedulers { one_in } => Slice::Schedulers { one_in: one_in / 2 },
            Slice::Whole => Slice::Whole,
        };
        (usual, Case { slice: twice, ..usual })
    };
    Deployment::ALL.into_iter().map(pair).collect()
}

/// What a case came to over its seeds.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct CaseFigures {
    /// How many seeds.
    pub seeds: usize,
    /// The most that any node got in a window over N + 2 x root of N + 2, by all senders.
    pub worst: f64,
    /// The same as the rule judges: over windows of which over two thirds came from schedulers that
    /// knew.
    pub worst_told: f64,
    /// Requests on whose arrival the bound was passed, by all senders.
    pub passed: u64,
    /// The same as the rule judges.
    pub passed_told: u64,
    /// Sent of the lesser of N and what was asked: the mean of the seeds, and the least.
    pub sent_of_allowed: (f64, f64),
    /// Sent of N over all windows in which at least N was asked; `None` without any.
    pub sent_where_asked: Option<f64>,
    /// Served of the lesser of what was asked and what nodes could do, in the mean of the seeds.
    pub served_of_ability: f64,
    /// How many times the least it took to serve again, the most of the seeds; infinite where a seed
    /// did not.
    pub times_the_least: f64,
}

impl CaseFigures {
    /// Of some plays.
    pub fn of(reports: &[ColdStartReport]) -> Self {
        let seeds = reports.len();
        let most = |of: &dyn Fn(&ColdStartReport) -> f64| reports.iter().map(of).fold(0.0, f64::max);
        let mean = |of: &dyn Fn(&ColdStartReport) -> f64| {
            reports.iter().map(of).sum::<f64>() / (seeds as f64).max(1.0)
        };
        let sent = |report: &ColdStartReport| report.used.sent_of_allowed;
        Self {
            seeds,
            worst: most(&|report| report.worst_over_bound),
            worst_told: most(&|report| report.worst_told_over_bound),
            passed: reports.iter().map(|report| report.windows_over_bound).sum(),
            passed_told: reports.iter().map(|report| report.told_over_bound).sum(),
            sent_of_allowed: (mean(&sent), reports.iter().map(sent).fold(f64::INFINITY, f64::min)),
            sent_where_asked: sent_where_asked(reports),
            served_of_ability: mean(&|report| report.used.served_of_ability),
            times_the_least: most(&|report| report.times_the_least().unwrap_or(f64::INFINITY)),
        }
    }
}

fn sent_where_asked(reports: &[ColdStartReport]) -> Option<f64> {
    let windows = reports.iter().flat_map(|report| report.report.windows.iter().flatten());
    let asked = windows.filter(|window| window.asked >= window.allowed);
    let (sent, allowed) =
        asked.fold((0.0, 0.0), |(sent, allowed), window| (sent + window.sent, allowed + window.allowed));
    (allowed > 0.0).then(|| sent / allowed)
}

/// Plays each case with so many seeds of its own, on so many threads; gives what each came to, in
/// order.
///
/// # Errors
/// Where the module refuses the settings.
///
/// # Panics
/// If a thread that plays a seed panics.
pub fn play(case: &Case, seeds: u64, threads: usize) -> Result<CaseFigures, SettingsError> {
    let (start, next) = (case.start(), AtomicU64::new(1));
    let reports = Mutex::new(Vec::new());
    let work = || -> Result<(), SettingsError> {
        loop {
            let seed = next.fetch_add(1, Ordering::Relaxed);
            if seed > seeds {
                return Ok(());
            }
            let report = cold_start(&start, seed)?;
            reports.lock().expect("no player panics").push(report);
        }
    };
    std::thread::scope(|scope| {
        let players: Vec<_> = (0..threads.max(1)).map(|_| scope.spawn(work)).collect();
        players.into_iter().try_for_each(|player| player.join().expect("no player panics"))
    })?;
    Ok(CaseFigures::of(&reports.into_inner().expect("no player panics")))
}
