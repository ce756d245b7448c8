//! What a fleet costs the list service, and what the list costs a scheduler: calls and bytes at a start,
//! after an outage, and while the list changes.
//!
//! All schedulers are played, with the real law of calls and no decision module: what a module decides
//! changes nothing about its list. Counts in virtual time: the same each time. The service's costs are
//! settings of the model: a call as measured at one service, and a byte at 100 MB a second.

use std::time::Duration;

use heathward_policy::Micros;

use super::driver::entry;
use super::NODE_SIZES;
use crate::deployments::{NODES, SCHEDULERS};
use crate::lists::{entry_line, line_bytes, ListPlane, ListWay, TrueList};
use crate::series::Series;
use crate::service::Costs;

const SECOND: Micros = 1_000_000;
/// A change of configuration each 6 s: 14,000 a day.
const CHANGE_EACH: Micros = 86_400 * SECOND / 14_000;
/// The service is away for so long.
const OUTAGE: Micros = 60 * SECOND;
/// The list changes for so long.
const STEADY: Micros = 60 * SECOND;
/// A start or a return that takes longer is cut off.
const LONGEST: Micros = 1_200 * SECOND;
/// Time of a byte of an answer at the service.
const BYTE: Duration = Duration::from_nanos(10);

/// What a call and an entry cost a server of the model.
pub fn service_costs() -> Costs {
    Costs { entry: BYTE * entry_line().len() as u32, ..Costs::default() }
}

/// What one number of schedulers came to.
#[derive(Clone, Copy, Debug, Default, PartialEq)]
pub struct Course {
    /// Calls in the busiest second of the start.
    pub start_calls: f64,
    /// Seconds until 99 of 100 have their first list.
    pub start_time: f64,
    /// Bytes a scheduler of the start.
    pub start_bytes: f64,
    /// Calls in the busiest second from the outage on.
    pub return_calls: f64,
    /// Seconds after the outage until 99 of 100 have heard of what changed in it.
    pub return_time: f64,
    /// Bytes a scheduler of the return.
    pub return_bytes: f64,
    /// Bytes a second for a scheduler while the list changes.
    pub steady_bytes: f64,
    /// Lines with entries a second at the service while the list changes.
    pub steady_lines: f64,
    /// Calls that failed, of all schedulers.
    pub failed_calls: f64,
}

/// A start, a minute of changes, and an outage in which the list changes too.
pub fn course(schedulers: u32, nodes: u32, servers: u32, seed: u64) -> Course {
    let way = ListWay::Shared { servers, costs: service_costs(), delay: 200..=50_000 };
    let truth = TrueList::new((0..nodes).map(|node| entry(node, None)).collect());
    let mut plane = ListPlane::new(way, truth, schedulers, schedulers, seed);
    (0..schedulers).for_each(|scheduler| plane.start(0, scheduler));
    let started = until_heard(&mut plane, 0, schedulers, 0);
    // Whoever comes last is none of the start's business, and is waited for.
    let steady = started + 30 * SECOND;
    plane.advance(steady);
    let at_start = Mark::of(&plane);
    let mut now = steady;
    while now < steady + STEADY {
        plane.change(now, vec![entry(0, Some(now))]);
        now += CHANGE_EACH;
        plane.advance(now);
    }
    let at_steady = Mark::of(&plane);
    plane.outage(now, now + OUTAGE);
    let version = plane.change(now + 1, vec![entry(1, Some(now))]);
    let returned = until_heard(&mut plane, now, schedulers, version);
    let at_return = Mark::of(&plane);
    let (each, span) = (f64::from(schedulers), (now - steady) as f64 / 1e6);
    let busiest = |from: Micros, to: Micros| {
        let calls = plane.costs().calls.iter().skip((from / SECOND) as usize);
        calls.take((to.saturating_sub(from) / SECOND + 1) as usize).copied().max().unwrap_or_default() as f64
    };
    Course {
        start_calls: busiest(0, steady),
        start_time: started as f64 / 1e6,
        start_bytes: at_start.bytes / each,
        return_calls: busiest(now, returned),
        return_time: returned.saturating_sub(now + OUTAGE) as f64 / 1e6,
        return_bytes: (at_return.bytes - at_steady.bytes) / each,
        steady_bytes: (at_steady.bytes - at_start.bytes) / each / span,
        steady_lines: (at_steady.lines - at_start.lines) / span,
        failed_calls: plane.costs().failed_calls as f64,
    }
}

/// Counts at one time.
struct Mark {
    bytes: f64,
    lines: f64,
}

impl Mark {
    fn of(plane: &ListPlane) -> Self {
        let costs = plane.costs();
        Self { bytes: costs.bytes.iter().sum::<u64>() as f64, lines: costs.lines.0 as f64 }
    }
}

/// Goes on until 99 of 100 schedulers have that version; gives the time.
fn until_heard(plane: &mut ListPlane, from: Micros, schedulers: u32, version: usize) -> Micros {
    let mut heard = vec![false; schedulers as usize];
    let (mut count, most) = (0, (u64::from(schedulers) * 99).div_ceil(100));
    let mut now = from;
    while now < from + LONGEST {
        now += SECOND / 10;
        for line in plane.advance(now) {
            let of = &mut heard[line.scheduler as usize];
            if line.version >= version && !std::mem::replace(of, true) {
                count += 1;
                if count == most {
                    return line.at;
                }
            }
        }
    }
    now
}

/// All courses as series by schedulers; `servers` share the calls. Counts first, then the times.
pub fn by_schedulers(sizes: &[u32], servers: u32) -> Vec<Series> {
    let courses: Vec<(u32, Course)> =
        sizes.iter().map(|schedulers| (*schedulers, course(*schedulers, NODES, servers, 1))).collect();
    let series = |name: &str, unit: &str, of: fn(&Course) -> f64| {
        let name = format!("list-{servers}-servers-{name}");
        let mut series = Series::new(&name, "schedulers", unit, f64::from(SCHEDULERS));
        for (schedulers, course) in &courses {
            series.push(f64::from(*schedulers), of(course));
        }
        series
    };
    vec![
        series("start-busiest", "calls/s", |course| course.start_calls),
        series("start-bytes", "bytes", |course| course.start_bytes),
        series("return-busiest", "calls/s", |course| course.return_calls),
        series("return-bytes", "bytes", |course| course.return_bytes),
        series("steady-bytes", "bytes/s", |course| course.steady_bytes),
        series("steady-lines", "lines/s", |course| course.steady_lines),
        series("failed-calls", "calls", |course| course.failed_calls),
        series("start-time", "s", |course| course.start_time),
        series("return-time", "s", |course| course.return_time),
    ]
}

/// Bytes that a scheduler reads for a whole list, by its entries.
pub fn whole_list_bytes() -> Series {
    let mut series = Series::new("list-whole-bytes", "nodes", "bytes", f64::from(NODES));
    for nodes in NODE_SIZES {
        series.push(f64::from(nodes), line_bytes(nodes as usize) as f64);
    }
    series
}
