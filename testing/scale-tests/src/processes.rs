//! What the system charges for real processes: schedulers of this build before stand-in services on loopback.
//! Each function starts what it measures and ends it again. What goes wrong panics, as in the stand-ins.

mod connections;
mod fleet;
mod lists;
mod load;
mod services;
pub mod sockets;
pub mod usage;

use std::future::Future;
use std::path::Path;

pub use connections::{connections, CONNECTIONS};
pub use fleet::{fleet, PROCESSES};
pub use lists::{lists, NODES};

use crate::bounds::{self, Bound, Bounds};
use crate::series::Series;

/// Storage nodes in the list of a fleet in service.
pub const FULL_NODES: f64 = 5_100.0;
/// Schedulers of a fleet in service.
pub const FULL_SCHEDULERS: f64 = 4_500.0;
/// Client connections of one of them: 24 million over 4,500 schedulers.
pub const FULL_CONNECTIONS: f64 = 5_333.0;

/// Entries of a list are alike, but for the digits of their numbers.
const ALIKE: f64 = 1.02;
/// The same for times and for memory, which vary from run to run.
const ALIKE_ROUGHLY: f64 = 2.0;
/// Memory of one connection among many, over that of one among [`FEW_CONNECTIONS`], what the process holds
/// without any included. No page sets it: a connection among many is to cost no more than one among few.
const CONNECTION_GROWTH: f64 = 1.0;
const FEW_CONNECTIONS: f64 = 1_000.0;
/// Processor time of a start, microseconds: nine in ten restarted schedulers are to be ready within 10 s.
const START_US: f64 = 10e6;
/// A client connection is one descriptor, and needs no other but those to nodes, which are not counted.
const CONNECTION_DESCRIPTORS: f64 = 1.0;
/// Descriptors that a scheduler may hold before its lists.
const DESCRIPTORS: f64 = 1_024.0;

/// What the series of real processes must keep, in either form.
pub const BOUNDS: &Bounds = &[
    ("process-resident-idle", Bound::Budget(bounds::CONTROL_MEMORY_BYTES)),
    ("process-resident-loaded", Bound::Budget(bounds::CONTROL_MEMORY_BYTES)),
    ("process-descriptors-idle", Bound::Growth { from: 10.0, at_most: 1.0 }),
    ("process-descriptors-loaded", Bound::Limit(DESCRIPTORS)),
    ("process-cpu-start", Bound::Budget(START_US)),
    ("process-cpu-start", Bound::PerUnit { from: 300.0, at_most: ALIKE_ROUGHLY }),
    ("process-cpu-control", Bound::Budget(bounds::CONTROL_CORE_PERCENT)),
    ("process-bytes-control", Bound::Budget(bounds::CONTROL_BYTES_PER_SECOND)),
    ("process-bytes-whole-list", Bound::PerUnit { from: 100.0, at_most: ALIKE }),
    ("process-bytes-change", Bound::Growth { from: 10.0, at_most: ALIKE_ROUGHLY }),
    ("process-cpu-change", bounds::CHANGE),
    // Of a request's whole cost the arrival is a part, so the bound on the arrival holds for the whole.
    ("process-cpu-request-pinned", bounds::ARRIVAL),
    ("process-cpu-request-free", bounds::ARRIVAL),
    ("process-resident-connections", Bound::PerUnit { from: FEW_CONNECTIONS, at_most: CONNECTION_GROWTH }),
    (
        "process-resident-connections-loaded",
        Bound::PerUnit { from: FEW_CONNECTIONS, at_most: CONNECTION_GROWTH },
    ),
    (
        "process-resident-connections-closed",
        Bound::PerUnit { from: FEW_CONNECTIONS, at_most: CONNECTION_GROWTH },
    ),
    (
        "process-resident-connections-burst",
        Bound::PerUnit { from: FEW_CONNECTIONS, at_most: CONNECTION_GROWTH },
    ),
    (
        "process-resident-connections-full-list",
        Bound::PerUnit { from: FEW_CONNECTIONS, at_most: CONNECTION_GROWTH },
    ),
    ("process-descriptors-connections", Bound::Marginal { from: 100.0, at_most: CONNECTION_DESCRIPTORS }),
    ("process-cpu-request-connections", Bound::Growth { from: 100.0, at_most: ALIKE_ROUGHLY }),
    ("fleet-resident", Bound::PerUnit { from: 1.0, at_most: ALIKE_ROUGHLY }),
    ("fleet-descriptors", Bound::PerUnit { from: 1.0, at_most: 1.0 }),
    ("fleet-cpu-start", Bound::PerUnit { from: 25.0, at_most: ALIKE_ROUGHLY }),
    ("fleet-list-calls", Bound::PerUnit { from: 1.0, at_most: 1.0 }),
    ("fleet-bytes-change", Bound::PerUnit { from: 1.0, at_most: ALIKE_ROUGHLY }),
];

/// How much is measured.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Form {
    /// All sizes, and times beside counts.
    Full,
    /// Small sizes, and counts alone: the same on a machine that is slow or busy.
    Short,
}

/// All series of real processes; `program` is the scheduler.
pub fn all(program: &Path, form: Form) -> Vec<Series> {
    let mut series = lists(program, form);
    series.extend(connections(program, form));
    series.extend(fleet(program, form));
    series
}

/// Runs what a measurement's clients do.
fn run<T>(clients: impl Future<Output = T>) -> T {
    let runtime = tokio::runtime::Builder::new_current_thread().enable_all().build();
    runtime.expect("a runtime").block_on(clients)
}
