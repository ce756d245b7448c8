//! A whole fleet before nodes that all start cold at once: what the nodes are sent, how much of what they may
//! get is used, and when the fleet serves again.

use heathward_policy::{Micros, Settings, SettingsError};

use crate::fleet::{ColdUse, Fault, Fleet, FleetSettings, Rates, Report, Slice};

/// What starts.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Begin {
    /// Schedulers and nodes, at one moment.
    Everything,
    /// All nodes, after the schedulers have run before warm ones for so long. They hear of it late, each at
    /// its own time.
    NodesAlone {
        /// Microseconds.
        after: Micros,
    },
}

/// A cold start of a fleet.
#[derive(Clone, Debug)]
pub struct ColdStart {
    /// Schedulers of the whole fleet.
    pub schedulers: u32,
    /// Storage nodes of the whole fleet.
    pub nodes: u32,
    /// The part that is played.
    pub slice: Slice,
    /// What each module is told.
    pub settings: Settings,
    /// What is asked of a node over what it can do warm.
    pub load: f64,
    /// What nodes can do, over what the settings say.
    pub ability_factor: f64,
    /// How the schedulers' rates differ.
    pub rates: Rates,
    /// Number of schedulers that settings name, over the true one.
    pub hosts_factor: f64,
    /// All schedulers are told one number: a planted fault.
    pub same_host: bool,
    /// What starts.
    pub begin: Begin,
    /// Faults, with their times since the nodes' start.
    pub faults: Vec<(Micros, Fault)>,
    /// Faults, with their times before the nodes' start, where that begins with the nodes alone.
    pub faults_before: Vec<(Micros, Fault)>,
    /// How long it is watched after the nodes' start; a cold time and a half where it is 0.
    pub span: Micros,
}

impl ColdStart {
    /// One without faults, at 0.8 of what warm nodes can do.
    pub fn new(schedulers: u32, nodes: u32, slice: Slice, settings: Settings) -> Self {
        Self {
            schedulers,
            nodes,
            slice,
            settings,
            load: 0.8,
            ability_factor: 1.0,
            rates: Rates::Even,
            hosts_factor: 1.0,
            same_host: false,
            begin: Begin::Everything,
            faults: Vec::new(),
            faults_before: Vec::new(),
            span: 0,
        }
    }
}

/// What a cold start came to.
#[derive(Clone, Debug, PartialEq)]
pub struct ColdStartReport {
    /// The most that any node got in a window over N + 2 x root of N + 2; 1 is the bound.
    pub worst_over_bound: f64,
    /// The same over windows of which over two thirds came from schedulers that knew of the start: what the
    /// rule judges.
    pub worst_told_over_bound: f64,
    /// Requests on whose arrival the bound was passed, by all senders.
    pub windows_over_bound: u64,
    /// The same by what the rule judges.
    pub told_over_bound: u64,
    /// What cold nodes got of what they could have had.
    pub used: ColdUse,
    /// Units served of those asked once all nodes are warm; 1 where the span ends before.
    pub warm_share: f64,
    /// Seconds until it serves 0.95 of that share again, in each three seconds from then on, which count by
    /// when requests were asked; `None` where it does not by the end of the span.
    pub time_to_serve_again: Option<f64>,
    /// Seconds until the ability of a node covers what it has to serve for that: the least.
    pub least_time: f64,
    /// All counts.
    pub report: Report,
}

impl ColdStartReport {
    /// How many times the least it took to serve again.
    pub fn times_the_least(&self) -> Option<f64> {
        self.time_to_serve_again.map(|time| time / self.least_time.max(1.0))
    }
}

/// Share of what it serves warm from which on a fleet counts as serving.
const SERVES: f64 = 0.95;
/// Seconds that are looked at together.
const TOGETHER: usize = 3;

/// Plays it.
///
/// # Errors
/// Where the module refuses the settings.
pub fn cold_start(start: &ColdStart, seed: u64) -> Result<ColdStartReport, SettingsError> {
    let mut set = FleetSettings::new(start.schedulers, start.nodes, start.slice, start.settings.clone());
    set.rate_per_scheduler *= start.load * crate::deployments::HEADROOM;
    (set.rates, set.hosts_factor) = (start.rates, start.hosts_factor);
    set.same_host = start.same_host;
    set.node.ability *= start.ability_factor;
    set.all_cold = start.begin == Begin::Everything;
    let cold_time = set.settings.slow_start_duration;
    let span = if start.span > 0 { start.span } else { cold_time * 3 / 2 };
    let ran = match start.begin {
        Begin::Everything => 0,
        Begin::NodesAlone { after } => after,
    };
    let nodes_start = set.begin + ran;
    let mut fleet = Fleet::new(set, seed)?;
    if ran > 0 {
        fleet.schedule(nodes_start, Fault::RestartAllNodes { down: 0 });
    }
    for (before, fault) in &start.faults_before {
        fleet.schedule(nodes_start.saturating_sub(*before), *fault);
    }
    for (after, fault) in &start.faults {
        fleet.schedule(nodes_start + after, *fault);
    }
    fleet.run_until(nodes_start + span);
    let slow = fleet.slow_start();
    let mut report = fleet.report();
    // What came last is still under way.
    let settled = ((ran + span) / 1_000_000).saturating_sub(2) as usize;
    report.seconds.truncate(settled);
    report.seconds.drain(..settled.min((ran / 1_000_000) as usize));
    let warm = (cold_time / 1_000_000) as usize + 1;
    let warm_share = report.served_share(warm, usize::MAX).unwrap_or(1.0);
    let (windows_over_bound, told_over_bound) = report.passed();
    Ok(ColdStartReport {
        worst_over_bound: report.worst_over_bound(),
        worst_told_over_bound: report.worst_told_over_bound(),
        windows_over_bound,
        told_over_bound,
        used: report.cold_use(&slow),
        warm_share,
        time_to_serve_again: report.serves_again(SERVES * warm_share, TOGETHER).map(|second| second as f64),
        least_time: least_time(slow.share, start.load * SERVES * warm_share, cold_time),
        report,
    })
}

/// Seconds until a node that grows evenly from that share covers that load.
fn least_time(share: f64, load: f64, cold_time: Micros) -> f64 {
    let grown = ((load - share) / (1.0 - share)).clamp(0.0, 1.0);
    grown * cold_time as f64 / 1e6
}
