//! Growing numbers of schedulers on one machine, all before one list of the full length.

use std::path::Path;
use std::time::Duration;

use heathward_fakes::{Program, TEST_TIMEOUT};
use tokio::time::{sleep, Instant};

use super::load::micros;
use super::services::Services;
use super::usage::Usage;
use super::{run, Form, FULL_NODES, FULL_SCHEDULERS};
use crate::series::Series;

/// Numbers of processes.
pub const PROCESSES: [u32; 5] = [1, 25, 50, 100, 200];
/// Those of the short form.
const SHORT_PROCESSES: [u32; 4] = [1, 2, 4, 8];
/// Length of the list in the short form.
const SHORT_NODES: u32 = 100;
/// Descriptors that the configuration allows.
const DESCRIPTORS: usize = 1_024;
/// Memory of all processes together at most: beyond it no more are started.
const MOST_RESIDENT: f64 = 12e9;
/// Time for what has been sent to be taken in.
const SETTLED: Duration = Duration::from_millis(500);

/// All series over the number of schedulers. Values are of the whole fleet.
///
/// # Panics
/// If the list is not asked for in time, or the processes together hold more memory than the bound allows.
pub fn fleet(program: &Path, form: Form) -> Vec<Series> {
    let (sizes, nodes): (&[u32], u32) = match form {
        Form::Full => (&PROCESSES, FULL_NODES as u32),
        Form::Short => (&SHORT_PROCESSES, SHORT_NODES),
    };
    let over = |name: &str, unit: &str| Series::new(name, "schedulers", unit, FULL_SCHEDULERS);
    let mut resident = over("fleet-resident", "bytes");
    let mut descriptors = over("fleet-descriptors", "descriptors");
    let mut start_cpu = over("fleet-cpu-start", "us");
    let mut calls = over("fleet-list-calls", "calls");
    let mut change_bytes = over("fleet-bytes-change", "bytes");
    let services = Services::start(nodes);
    let mut fleet: Vec<Program> = Vec::new();
    run(async {
        for size in sizes {
            while fleet.len() < *size as usize {
                fleet.push(services.scheduler(program, DESCRIPTORS));
            }
            told(&services, fleet.len()).await;
            let held: Vec<Usage> = fleet.iter().map(Usage::of).collect();
            let sum = |of: fn(&Usage) -> f64| held.iter().map(of).sum::<f64>();
            let size = f64::from(*size);
            assert!(sum(|held| held.resident) < MOST_RESIDENT, "{size} processes: {held:?}");
            resident.push(size, sum(|held| held.resident));
            descriptors.push(size, sum(|held| held.descriptors));
            start_cpu.push(size, sum(|held| micros(held.cpu)));
            let sent = services.discovery.bytes_sent();
            calls.push(size, services.discovery.calls() as f64);
            services.change();
            services.change();
            sleep(SETTLED).await;
            change_bytes.push(size, (services.discovery.bytes_sent() - sent) as f64 / 2.0);
        }
    });
    match form {
        Form::Full => vec![resident, descriptors, start_cpu, calls, change_bytes],
        Form::Short => vec![descriptors, calls],
    }
}

/// Until each scheduler has been told the whole list.
async fn told(services: &Services, schedulers: usize) {
    let whole = services.discovery.whole().len() * schedulers;
    let by = Instant::now() + TEST_TIMEOUT;
    while services.discovery.bytes_sent() < whole as u64 {
        assert!(Instant::now() < by, "the list is never asked for");
        sleep(Duration::from_millis(10)).await;
    }
    sleep(SETTLED).await;
}
