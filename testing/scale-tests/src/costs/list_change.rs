//! What a line of the list costs a scheduler by the number of its nodes.

use std::time::Duration;

use heathward_policy::{EndpointUpdateKind, Settings};

use super::driver::{entry, Driver};
use super::NODE_SIZES;
use crate::deployments::NODES;
use crate::series::Series;

const CHANGES: u32 = 200;
const WHOLE_LISTS: u32 = 10;
/// Timed so many times; the fastest counts, as others use the machine too.
const ROUNDS: u32 = 5;

/// Microseconds of a line with one entry.
pub fn one_change(settings: &Settings) -> Series {
    let mut series = Series::new("list-one-change", "nodes", "us", f64::from(NODES));
    for nodes in NODE_SIZES {
        let mut driver = Driver::new(settings, nodes, false, 1);
        let mut round = || {
            let mut took = Duration::ZERO;
            for change in 0..CHANGES {
                driver.pass(1_000);
                let started = Some(driver.now());
                took += driver.list(EndpointUpdateKind::Changes, vec![entry(change % nodes, started)]);
            }
            took.as_secs_f64() * 1e6 / f64::from(CHANGES)
        };
        series.push(f64::from(nodes), (0..ROUNDS).map(|_| round()).fold(f64::INFINITY, f64::min));
    }
    series
}

/// Microseconds of a whole list that changes nothing.
pub fn whole_list(settings: &Settings) -> Series {
    let mut series = Series::new("list-whole", "nodes", "us", f64::from(NODES));
    for nodes in NODE_SIZES {
        let mut driver = Driver::new(settings, nodes, false, 1);
        let mut round = || {
            let mut took = Duration::ZERO;
            for _ in 0..WHOLE_LISTS {
                driver.pass(1_000);
                took += driver
                    .list(EndpointUpdateKind::Snapshot, (0..nodes).map(|node| entry(node, None)).collect());
            }
            took.as_secs_f64() * 1e6 / f64::from(WHOLE_LISTS)
        };
        series.push(f64::from(nodes), (0..ROUNDS).map(|_| round()).fold(f64::INFINITY, f64::min));
    }
    series
}
