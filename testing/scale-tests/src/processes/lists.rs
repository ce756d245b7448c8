//! One scheduler before lists of growing length: what it holds, what a request costs it, and what it spends
//! on control while nobody asks.

use std::path::Path;
use std::time::Duration;

use heathward_fakes::{Program, TEST_TIMEOUT};
use tokio::time::{sleep, Instant};

use super::load::{load, micros, Placement};
use super::services::Services;
use super::usage::Usage;
use super::{run, Form, FULL_NODES};
use crate::series::Series;

/// Lengths of the lists.
pub const NODES: [u32; 6] = [10, 100, 300, 1_024, 2_550, 5_100];
/// Those of the short form.
const SHORT_NODES: [u32; 4] = [10, 100, 300, 600];
/// Descriptors that the configuration allows.
const DESCRIPTORS: usize = 1_024;
/// Schedulers before each list; figures at rest are their mean.
const SCHEDULERS: usize = 4;
/// A fleet in service has 14,000 changes of configuration a day.
const BETWEEN_CHANGES: Duration = Duration::from_secs(6);
/// How long control is measured.
const WATCHED: Duration = Duration::from_secs(12);
/// Changes in quick succession, for the cost of one.
const CHANGES: u32 = 500;
/// Time between two of them.
const QUICKLY: Duration = Duration::from_millis(12);
/// Requests of each load.
const REQUESTS: u32 = 6_000;
/// Requests of each load in the short form.
const SHORT_REQUESTS: u32 = 300;
/// Time for what has been sent to be taken in.
const SETTLED: Duration = Duration::from_millis(500);

/// The schedulers before one list, and what they need.
struct Bench {
    nodes: u32,
    services: Services,
    schedulers: Vec<Program>,
}

impl Bench {
    fn start(program: &Path, nodes: u32, schedulers: usize) -> Self {
        let services = Services::start(nodes);
        let schedulers = (0..schedulers).map(|_| services.scheduler(program, DESCRIPTORS)).collect();
        Self { nodes, services, schedulers }
    }

    /// The mean over its schedulers.
    fn usage(&self) -> Usage {
        let all: Vec<Usage> = self.schedulers.iter().map(Usage::of).collect();
        let mean = |of: fn(&Usage) -> f64| all.iter().map(of).sum::<f64>() / all.len() as f64;
        Usage {
            resident: mean(|usage| usage.resident),
            descriptors: mean(|usage| usage.descriptors),
            cpu: all.iter().map(|usage| usage.cpu).sum::<Duration>() / all.len() as u32,
        }
    }

    /// Bytes that the list service has sent to each.
    fn bytes(&self) -> f64 {
        self.services.discovery.bytes_sent() as f64 / self.schedulers.len() as f64
    }

    /// Until each has been told the whole list.
    async fn told(&self) {
        let (whole, by) = (self.services.discovery.whole().len() as f64, Instant::now() + TEST_TIMEOUT);
        while self.bytes() < whole {
            assert!(Instant::now() < by, "the list is never asked for");
            sleep(Duration::from_millis(10)).await;
        }
        sleep(SETTLED).await;
    }
}

/// All series over the length of the list.
pub fn lists(program: &Path, form: Form) -> Vec<Series> {
    run(async {
        let (sizes, schedulers): (&[u32], usize) = match form {
            Form::Full => (&NODES, SCHEDULERS),
            Form::Short => (&SHORT_NODES, 1),
        };
        let benches: Vec<Bench> =
            sizes.iter().map(|nodes| Bench::start(program, *nodes, schedulers)).collect();
        for bench in &benches {
            bench.told().await;
        }
        let mut series = at_rest(&benches, form);
        if form == Form::Full {
            series.extend(control(&benches).await);
            series.push(change_time(&benches).await);
        } else {
            series.push(change_bytes(&benches).await);
        }
        series.extend(loaded(&benches, form).await);
        series
    })
}

fn over_nodes(name: &str, unit: &str) -> Series {
    Series::new(name, "nodes", unit, FULL_NODES)
}

/// What is held, and has been sent, before anybody asks.
fn at_rest(benches: &[Bench], form: Form) -> Vec<Series> {
    let mut resident = over_nodes("process-resident-idle", "bytes");
    let mut descriptors = over_nodes("process-descriptors-idle", "descriptors");
    let mut start = over_nodes("process-cpu-start", "us");
    let mut whole = over_nodes("process-bytes-whole-list", "bytes");
    for bench in benches {
        let (nodes, usage) = (f64::from(bench.nodes), bench.usage());
        resident.push(nodes, usage.resident);
        descriptors.push(nodes, usage.descriptors);
        start.push(nodes, micros(usage.cpu));
        whole.push(nodes, bench.services.discovery.whole().len() as f64);
    }
    match form {
        Form::Full => vec![resident, descriptors, start, whole],
        Form::Short => vec![descriptors, whole],
    }
}

/// Processor time and bytes a second while nobody asks, and the list changes at the pace of a fleet in
/// service.
async fn control(benches: &[Bench]) -> Vec<Series> {
    let before: Vec<(Usage, f64)> = benches.iter().map(|bench| (bench.usage(), bench.bytes())).collect();
    let begin = Instant::now();
    while begin.elapsed() < WATCHED {
        benches.iter().for_each(|bench| bench.services.change());
        sleep(BETWEEN_CHANGES).await;
    }
    let seconds = begin.elapsed().as_secs_f64();
    let mut share = over_nodes("process-cpu-control", "% of a core");
    let mut bytes = over_nodes("process-bytes-control", "bytes/s");
    for (bench, (usage, sent)) in benches.iter().zip(before) {
        let nodes = f64::from(bench.nodes);
        let used = bench.usage().cpu.saturating_sub(usage.cpu);
        share.push(nodes, 100.0 * used.as_secs_f64() / seconds);
        bytes.push(nodes, (bench.bytes() - sent) / seconds);
    }
    vec![share, bytes]
}

/// Processor time of one change of the list, by many in quick succession.
async fn change_time(benches: &[Bench]) -> Series {
    let mut time = over_nodes("process-cpu-change", "us");
    let calls = || benches.iter().map(|bench| bench.services.discovery.calls()).sum::<u64>();
    let (before, called): (Vec<Usage>, u64) = (benches.iter().map(Bench::usage).collect(), calls());
    for _ in 0..CHANGES {
        benches.iter().for_each(|bench| bench.services.change());
        sleep(QUICKLY).await;
    }
    sleep(SETTLED).await;
    assert_eq!(calls(), called, "a watch ended, and whole lists were told");
    for (bench, before) in benches.iter().zip(before) {
        let used = bench.usage().cpu.saturating_sub(before.cpu);
        time.push(f64::from(bench.nodes), micros(used) / f64::from(CHANGES));
    }
    time
}

/// Bytes of one change of the list. Empty lines that come between two are among them.
async fn change_bytes(benches: &[Bench]) -> Series {
    let mut bytes = over_nodes("process-bytes-change", "bytes");
    let before: Vec<f64> = benches.iter().map(Bench::bytes).collect();
    benches.iter().for_each(|bench| bench.services.change());
    benches.iter().for_each(|bench| bench.services.change());
    sleep(SETTLED).await;
    for (bench, before) in benches.iter().zip(before) {
        bytes.push(f64::from(bench.nodes), (bench.bytes() - before) / 2.0);
    }
    bytes
}

/// What is held under a load that reaches each node, and what a request costs.
async fn loaded(benches: &[Bench], form: Form) -> Vec<Series> {
    let requests = if form == Form::Full { REQUESTS } else { SHORT_REQUESTS };
    let mut resident = over_nodes("process-resident-loaded", "bytes");
    let mut descriptors = over_nodes("process-descriptors-loaded", "descriptors");
    let mut pinned = over_nodes("process-cpu-request-pinned", "us");
    let mut free = over_nodes("process-cpu-request-free", "us");
    for bench in benches {
        let (nodes, program) = (f64::from(bench.nodes), &bench.schedulers[0]);
        let reach_all = requests.max(bench.nodes);
        let by_shard = load(program, Placement::Pinned(bench.nodes), 0, reach_all).await;
        let by_any = load(program, Placement::Free, reach_all, requests).await;
        let held = by_any.held;
        resident.push(nodes, held.resident);
        descriptors.push(nodes, held.descriptors.max(by_shard.held.descriptors));
        pinned.push(nodes, by_shard.cpu_us);
        free.push(nodes, by_any.cpu_us);
    }
    match form {
        Form::Full => vec![resident, descriptors, pinned, free],
        Form::Short => vec![descriptors],
    }
}
