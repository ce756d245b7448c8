//! A start of everything at once by the number of schedulers: what cold nodes get over the bound, how much of
//! what they may get is used, and when the fleet serves again.
//!
//! The fleet keeps its proportions: 5,100 nodes to 4,500 schedulers, and the load of a node. Counts in
//! virtual time: the same each time.

use heathward_policy::{Micros, Settings, SettingsError};

use crate::cold_start::{cold_start, ColdStart, ColdStartReport};
use crate::deployments::{NODES, SCHEDULERS};
use crate::fleet::Slice;
use crate::series::Series;

/// How slices are cut.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Cut {
    /// All schedulers before so many nodes.
    Nodes(u32),
    /// So many schedulers before all nodes.
    Schedulers(u32),
}

impl Cut {
    /// The slice of a fleet of that size.
    pub fn of(self, schedulers: u32, nodes: u32) -> Slice {
        let (whole, most) = match self {
            Self::Nodes(most) => (nodes, most),
            Self::Schedulers(most) => (schedulers, most),
        };
        let one_in = whole / most.max(1);
        match self {
            _ if one_in <= 1 => Slice::Whole,
            Self::Nodes(_) => Slice::Nodes { one_in },
            Self::Schedulers(_) => Slice::Schedulers { one_in },
        }
    }
}

/// Nodes of a fleet of so many schedulers, in the proportion of the planned size.
pub fn nodes_of(schedulers: u32) -> u32 {
    (f64::from(schedulers) * f64::from(NODES) / f64::from(SCHEDULERS)).round() as u32
}

/// The series of one kind of fleet.
#[derive(Clone, Debug, PartialEq)]
pub struct ColdStartSeries {
    /// The most that a node got in a window over N + 2 x root of N + 2, the worst of the seeds.
    pub over_bound: Series,
    /// Sent of what was asked and allowed while nodes were cold, in the mean of the seeds.
    pub sent_of_allowed: Series,
    /// Served of what was asked and nodes could do while they were cold, in the mean of the seeds.
    pub served_of_ability: Series,
    /// Seconds until the fleet serves again, the worst of the seeds; the whole span where it does not.
    pub serves_again: Series,
    /// The same over the least that the nodes' ability allows, the worst of the seeds; infinite where it
    /// does not.
    pub times_the_least: Series,
    /// Served of all requests in the first five seconds, in the mean of the seeds.
    pub first_five_seconds: Series,
}

impl ColdStartSeries {
    /// All of them.
    pub fn into_series(self) -> Vec<Series> {
        vec![
            self.over_bound,
            self.sent_of_allowed,
            self.served_of_ability,
            self.serves_again,
            self.times_the_least,
            self.first_five_seconds,
        ]
    }
}

/// Plays a start with each number of schedulers (all [`SCHEDULER_SIZES`](super::SCHEDULER_SIZES) or fewer)
/// and seed. `name` goes before the names of the series.
///
/// # Errors
/// Where the module refuses the settings.
pub fn by_schedulers(
    name: &str,
    settings: &Settings,
    sizes: &[u32],
    cut: Cut,
    seeds: u64,
    span: Micros,
) -> Result<ColdStartSeries, SettingsError> {
    let series = |what: &str, unit: &str| {
        Series::new(&format!("{name}-{what}"), "schedulers", unit, f64::from(SCHEDULERS))
    };
    let mut all = ColdStartSeries {
        over_bound: series("over-bound", "of-bound"),
        sent_of_allowed: series("sent-of-allowed", "share"),
        served_of_ability: series("served-of-ability", "share"),
        serves_again: series("serves-again", "s"),
        times_the_least: series("times-the-least", "ratio"),
        first_five_seconds: series("first-five-seconds", "share"),
    };
    for &schedulers in sizes {
        let nodes = nodes_of(schedulers);
        let slice = cut.of(schedulers, nodes);
        let start = ColdStart { span, ..ColdStart::new(schedulers, nodes, slice, settings.clone()) };
        let reports: Vec<_> = (1..=seeds).map(|seed| cold_start(&start, seed)).collect::<Result<_, _>>()?;
        let size = f64::from(schedulers);
        let most = |of: &dyn Fn(&ColdStartReport) -> f64| reports.iter().map(of).fold(0.0, f64::max);
        let mean =
            |of: &dyn Fn(&ColdStartReport) -> f64| reports.iter().map(of).sum::<f64>() / reports.len() as f64;
        let whole = span as f64 / 1e6;
        all.over_bound.push(size, most(&|report| report.worst_over_bound));
        all.sent_of_allowed.push(size, mean(&|report| report.used.sent_of_allowed));
        all.served_of_ability.push(size, mean(&|report| report.used.served_of_ability));
        all.serves_again.push(size, most(&|report| report.time_to_serve_again.unwrap_or(whole)));
        all.times_the_least.push(size, most(&|report| report.times_the_least().unwrap_or(f64::INFINITY)));
        all.first_five_seconds.push(size, mean(&served_at_first));
    }
    Ok(all)
}

fn served_at_first(report: &ColdStartReport) -> f64 {
    let first = report.report.seconds.iter().take(5);
    let (asked, served) =
        first.fold((0, 0), |(asked, served), second| (asked + second.asked, served + second.served));
    served as f64 / f64::max(asked as f64, 1.0)
}
