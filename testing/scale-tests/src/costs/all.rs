//! The series of the capacity measurement that need no process: times of decisions, and counts in virtual
//! time. The short form has counts of small fleets alone; how long a fleet takes, and what share of N it
//! uses, is judged by the full form.

use std::path::Path;

use heathward_policy::Settings;

use super::cold_start::{by_schedulers, Cut};
use super::decision::Nodes;
use super::driver::Target;
use super::memory::{node_entries, volume_entries, Use};
use super::{decision, list_change, list_service, SCHEDULER_SIZES};
use crate::deployments::{granite_shelf, planned_size, predio_norte, NODES, SCHEDULERS};
use crate::processes::Form;
use crate::series::Series;

/// Schedulers of the short form.
const FEW_SCHEDULERS: [u32; 4] = [10, 20, 40, 80];
/// Nodes that are played of a large fleet, with all of its schedulers. What couples a scheduler's nodes is
/// the part of them that it is asked for within a token's life: with so few that this is under one of the
/// slice, it takes itself to be asked for more than it is, and sends too little. The deployments' nodes are
/// asked seldom.
const NODES_PLAYED_OF_DEPLOYMENTS: u32 = 200;
/// The same for nodes of the planned size.
const NODES_PLAYED_OF_PLANNED: u32 = 17;
/// Seeds of each cold start.
const SEEDS: u64 = 1;
/// Servers that share the calls for lists.
const SERVERS: [u32; 2] = [1, 6];

/// Settings of the planned size, for one of all its schedulers.
fn one_of_all() -> Settings {
    Settings { schedulers: SCHEDULERS, scheduler_index: 0, ..planned_size() }
}

/// Arrivals and requests at one scheduler, by nodes. Times, so none in the short form.
pub fn decisions(_: &Path, form: Form) -> Vec<Series> {
    let settings = one_of_all();
    let cases = match form {
        Form::Short => vec![],
        Form::Full => vec![
            (Nodes::Warm, Target::Pinned),
            (Nodes::Warm, Target::Free),
            (Nodes::Cold, Target::Pinned),
            (Nodes::Cold, Target::Free),
        ],
    };
    cases.into_iter().flat_map(|(how, target)| decision::times(&settings, how, target)).collect()
}

/// Lines of the list at one scheduler, and what it keeps, by nodes.
pub fn lists(_: &Path, form: Form) -> Vec<Series> {
    let settings = one_of_all();
    let mut series = match form {
        Form::Short => Vec::new(),
        Form::Full => vec![list_change::one_change(&settings), list_change::whole_list(&settings)],
    };
    series.extend([
        node_entries(&settings, Use::Listed),
        node_entries(&settings, Use::Asked),
        volume_entries(&settings),
        list_service::whole_list_bytes(),
    ]);
    series
}

/// What all schedulers cost a list service that they call, by their number.
pub fn list_calls(_: &Path, form: Form) -> Vec<Series> {
    let sizes: &[u32] = match form {
        Form::Short => &FEW_SCHEDULERS,
        Form::Full => &SCHEDULER_SIZES,
    };
    let all = SERVERS.iter().flat_map(|servers| list_service::by_schedulers(sizes, *servers));
    all.filter(|series| form == Form::Full || series.unit != "s").collect()
}

/// Everything started at once, by the number of schedulers: with the settings of both deployments and of the
/// planned size, side by side, and what one scheduler sends before all nodes.
///
/// # Panics
/// Where the module refuses the settings.
pub fn cold_starts(_: &Path, form: Form) -> Vec<Series> {
    let fleets: &[(&str, Settings, u32)] = &[
        ("cold-norte", predio_norte(), NODES_PLAYED_OF_DEPLOYMENTS),
        ("cold-granite", granite_shelf(), NODES_PLAYED_OF_DEPLOYMENTS),
        ("cold-planned", planned_size(), NODES_PLAYED_OF_PLANNED),
    ];
    let (fleets, sizes): (_, &[u32]) = match form {
        Form::Short => (&fleets[..1], &FEW_SCHEDULERS),
        Form::Full => (fleets, &SCHEDULER_SIZES),
    };
    let mut series: Vec<Series> = std::thread::scope(|scope| {
        let plays: Vec<_> = fleets
            .iter()
            .map(|(name, settings, nodes)| {
                let cut = Cut::Nodes(*nodes);
                scope.spawn(move || by_schedulers(name, settings, sizes, cut, SEEDS, 0))
            })
            .collect();
        let played = plays.into_iter().map(|play| play.join().expect("a play ends"));
        played
            .map(|series| series.expect("sound settings"))
            .flat_map(|series| match form {
                Form::Short => vec![series.over_bound, series.served_of_ability],
                Form::Full => series.into_series(),
            })
            .collect()
    });
    if form == Form::Full {
        series.push(decision::sent_when_cold("cold-norte", &predio_norte(), NODES));
        series.push(decision::sent_when_cold("cold-planned", &planned_size(), NODES));
    }
    series
}
