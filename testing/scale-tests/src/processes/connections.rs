//! One scheduler with growing numbers of client connections that made one request each and stay open.

use std::path::Path;
use std::time::Duration;

use tokio::time::sleep;

use super::load::{load, open, Cost, Placement};
use super::services::Services;
use super::sockets::descriptors_besides;
use super::usage::Usage;
use super::{run, Form, FULL_CONNECTIONS, FULL_NODES};
use crate::series::Series;

/// Numbers of connections; the last is beyond what a fleet in service has.
pub const CONNECTIONS: [u32; 5] = [100, 1_000, 2_000, 3_600, 5_400];
/// Those of the short form.
const SHORT_CONNECTIONS: [u32; 4] = [100, 200, 300, 400];
/// Descriptors that the configuration allows: connections that stand idle are closed early once half of the
/// clients' places are taken, which are half of the descriptors.
const DESCRIPTORS: usize = 28_000;
/// Length of the list where the list is to weigh nothing.
const FEW_NODES: u32 = 1;
/// Connections that are opened at a time.
const OPENED_AT_ONCE: u32 = 8;
/// Requests of the load beside the idle connections.
const REQUESTS: u32 = 1_000;

/// Time in which a scheduler sees that connections were closed.
const SETTLED: Duration = Duration::from_millis(500);

/// What one scheduler held at several moments.
struct Held {
    /// While all connections stood idle.
    idle: Usage,
    /// Descriptors beside those to nodes, above what it held before the first connection.
    descriptors: f64,
    /// After a load beside them, and what a request of it cost.
    loaded: Option<Cost>,
    /// After all had been closed.
    closed: Usage,
}

/// All series over the number of connections.
pub fn connections(program: &Path, form: Form) -> Vec<Series> {
    match form {
        Form::Full => full(program),
        Form::Short => vec![short(program)],
    }
}

fn over_connections(name: &str, unit: &str) -> Series {
    Series::new(name, "connections", unit, FULL_CONNECTIONS)
}

fn short(program: &Path) -> Series {
    let mut descriptors = over_connections("process-descriptors-connections", "descriptors");
    let before = Before::start(program, FEW_NODES);
    for connections in SHORT_CONNECTIONS {
        let held = run(before.hold(connections, OPENED_AT_ONCE, None));
        descriptors.push(f64::from(connections), held.descriptors);
    }
    descriptors
}

/// Before the full list each client's request goes to a node of its own, so that the scheduler also keeps
/// about as many connections to nodes: its descriptors allow them.
fn full(program: &Path) -> Vec<Series> {
    let mut resident = over_connections("process-resident-connections", "bytes");
    let mut loaded = over_connections("process-resident-connections-loaded", "bytes");
    let mut closed = over_connections("process-resident-connections-closed", "bytes");
    let mut burst = over_connections("process-resident-connections-burst", "bytes");
    let mut full_list = over_connections("process-resident-connections-full-list", "bytes");
    let mut descriptors = over_connections("process-descriptors-connections", "descriptors");
    let mut request = over_connections("process-cpu-request-connections", "us");
    let (few_nodes, all_nodes) =
        (Before::start(program, FEW_NODES), Before::start(program, FULL_NODES as u32));
    for connections in CONNECTIONS {
        let size = f64::from(connections);
        let held = run(few_nodes.hold(connections, OPENED_AT_ONCE, Some(REQUESTS)));
        resident.push(size, held.idle.resident);
        closed.push(size, held.closed.resident);
        descriptors.push(size, held.descriptors);
        if let Some(cost) = held.loaded {
            loaded.push(size, cost.held.resident);
            request.push(size, cost.cpu_us);
        }
        let all_at_once = run(few_nodes.hold(connections, connections, None));
        burst.push(size, all_at_once.idle.resident);
        let before_all = run(all_nodes.hold(connections, OPENED_AT_ONCE, None));
        full_list.push(size, before_all.idle.resident);
    }
    vec![resident, loaded, closed, burst, full_list, descriptors, request]
}

/// Schedulers before one list.
struct Before<'a> {
    program: &'a Path,
    nodes: u32,
    services: Services,
}

impl<'a> Before<'a> {
    fn start(program: &'a Path, nodes: u32) -> Self {
        Self { program, nodes, services: Services::start(nodes) }
    }

    /// A new scheduler with so many connections, that many of them opened at a time, and a load beside them.
    /// It is a new one each time, as memory that was needed once is not given back.
    async fn hold(&self, connections: u32, at_once: u32, requests: Option<u32>) -> Held {
        let program = self.services.scheduler(self.program, DESCRIPTORS);
        let own = || descriptors_besides(program.id(), &self.services.node_ports()) as f64;
        let before = own();
        let opened = open(program.listen, connections, at_once, self.nodes).await;
        let all_served = opened.served == connections;
        assert!(all_served || at_once > OPENED_AT_ONCE, "{} of {connections} served", opened.served);
        let (idle, descriptors) = (Usage::of(&program), own() - before);
        let loaded = match requests {
            Some(requests) => {
                Some(load(&program, Placement::Pinned(self.nodes), connections, requests).await)
            }
            None => None,
        };
        drop(opened);
        sleep(SETTLED).await;
        Held { idle, descriptors, loaded, closed: Usage::of(&program) }
    }
}
