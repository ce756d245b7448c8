//! Records, report and console: what they cost, and whether they tell the truth.

use std::io;
use std::path::Path;
use std::process::{Command, Stdio};
use std::sync::{Arc, Condvar, Mutex};
use std::time::{Duration, Instant};

use heathward_core::observe::{Observation, Observer};
use heathward_event_log::segment::Rotation;
use heathward_event_log::{event_channel, Disk, SegmentOpened, StorageLimits, Writer};
use heathward_event_recorder::{ClockSkew, Recorder};
use heathward_fakes::staged::{stage, unaccounted, untrue, SCHEDULERS};
use heathward_fakes::{
    answer, config_text, hour, http_node, member, request, rig, Log, NodeBehavior, Program, TEST_TIMEOUT,
};
use heathward_incident::{Incident, Missing, Window};
use heathward_policy::settings::Deployment;
use heathwardctl::folds;
use rustix::thread::{sched_setaffinity, CpuSet};
use tokio::io::AsyncWriteExt;
use tokio::net::TcpStream;
use tokio::time::timeout;

use crate::{program, Figures, Want};

/// Pairs of processes: where the system happens to put one, and its memory, weighs more than records do.
const PAIRS: usize = 5;
/// Rounds of a pair, each with records off and on in alternating order. Of all rounds of a side the one
/// counts that a quarter of them fall short of: others were held up by what else the machine does.
const ROUNDS: u32 = 12;
/// Length of one.
const ROUND: Duration = Duration::from_millis(150);
/// Clients in a round, each with the next request as soon as the last is answered: what a round costs beside
/// its requests hardly counts.
const CLIENTS: u32 = 12;
/// Runs with a stuck disk, of which the best counts: in others the machine itself may have held the thread
/// up.
const STUCK_RUNS: usize = 3;

/// All figures.
pub fn run(figures: &mut Figures) {
    let folder = std::env::temp_dir().join(format!("heathward-measure-{}", std::process::id()));
    std::fs::create_dir_all(&folder).expect("a folder for temporary files");
    let runtime = tokio::runtime::Builder::new_current_thread().enable_all().build().expect("a runtime");
    let ratio = runtime.block_on(cpu_ratio(&folder));
    unpin();
    figures.tell("records-cpu-per-request-on-against-off", ratio, "ratio", Want::AtMost(1.05));
    let (lost, off) = runtime.block_on(staged(&folder));
    figures.tell("records-events-lost-outside-gaps", lost as f64, "events", Want::Exactly(0.0));
    figures.tell("report-state-changes-off-by-over-1s", off as f64, "changes", Want::Exactly(0.0));
    let (seconds, memory) = report_of(&folder.join("hour"), 600 / SCHEDULERS, 3600);
    figures.tell("report-of-an-hour-at-600-a-second", seconds, "s", Want::AtMost(5.0));
    figures.tell("report-of-an-hour-peak-memory", memory, "MB", Want::AtMost(200.0));
    // A second's records are as many at any rate; single requests are few here, as they are not held anyway.
    let (_, memory) = report_of(&folder.join("day"), 2, 86_400);
    figures.tell("report-of-a-day-peak-memory", memory, "MB", Want::AtMost(200.0));
    let held = (0..STUCK_RUNS).map(|_| runtime.block_on(held_up())).fold(f64::INFINITY, f64::min);
    figures.tell("core-longest-hold-up-by-a-stuck-disk", held, "ms", Want::AtMost(1.0));
    std::fs::remove_dir_all(&folder).expect("the folder is this run's own");
}

/// Cores of schedulers and of whoever asks them.
const SCHEDULER_CORE: usize = 2;
const OWN_CORE: usize = 0;

/// This thread, and what it starts from now on, runs on that core; wherever it may, if there is none.
fn pin(core: usize) {
    let mut cores = CpuSet::new();
    cores.set(core);
    // On a machine with fewer the figure is less steady.
    let _ = sched_setaffinity(None, &cores);
}

/// From now on it runs on any.
fn unpin() {
    let mut cores = CpuSet::new();
    (0..CpuSet::MAX_CPU).for_each(|core| cores.set(core));
    let _ = sched_setaffinity(None, &cores);
}

/// Nanoseconds of a core that all threads of a process have used.
fn cpu(process: u32) -> u64 {
    let tasks = std::fs::read_dir(format!("/proc/{process}/task")).expect("a process that runs");
    let used = tasks.flatten().filter_map(|task| {
        let text = std::fs::read_to_string(task.path().join("schedstat")).ok()?;
        text.split_ascii_whitespace().next()?.parse::<u64>().ok()
    });
    used.sum()
}

/// CPU for a request with records against without.
async fn cpu_ratio(folder: &Path) -> f64 {
    let (mut without, mut with) = (Vec::new(), Vec::new());
    for pair in 0..PAIRS {
        for (off, on) in rounds_of_a_pair(&folder.join(format!("pair-{pair}"))).await {
            without.push(off);
            with.push(on);
        }
    }
    quarter(with) / quarter(without)
}

fn quarter(mut figures: Vec<f64>) -> f64 {
    figures.sort_by(f64::total_cmp);
    figures[figures.len() / 4]
}

/// Nanoseconds a request without and with records, of two schedulers in turn, round by round.
async fn rounds_of_a_pair(folder: &Path) -> Vec<(f64, f64)> {
    let node = http_node(0, &[NodeBehavior::Serve], &Log::default()).await;
    let members = member("s0", node, 0, "in_service", 0);
    let start = |name: &str, operator: &str| {
        // Each has a place of its own: they are no two processes of one scheduler.
        let place = folder.join(name);
        std::fs::create_dir_all(&place).expect("a folder that takes folders");
        let (config, file) = (place.join("config.json"), place.join("operator.jsonnet"));
        let text = config_text("127.0.0.1:0", "127.0.0.1:1", &members);
        std::fs::write(&config, text).expect("a folder that takes files");
        std::fs::write(&file, operator).expect("a folder that takes files");
        let mut command = Command::new(program("heathward"));
        command.env("GW_CONFIG", config).env("TMPDIR", place).arg("--operator").arg(file);
        Program::start(command)
    };
    // Both on one core, whoever asks them on another: else their places weigh more than records do.
    pin(SCHEDULER_CORE);
    let off = start("off", "{}");
    let on = start("on", &format!("{{ records: {{ folder: '{}' }} }}", folder.join("records").display()));
    pin(OWN_CORE);
    let mut rounds = Vec::new();
    for round in 0..=ROUNDS {
        let figures = if round % 2 == 0 {
            let without = round_of(&off, round).await;
            (without, round_of(&on, round).await)
        } else {
            let with = round_of(&on, round).await;
            (round_of(&off, round).await, with)
        };
        // The first is for caches and connections.
        if round > 0 {
            rounds.push(figures);
        }
    }
    rounds
}

/// Nanoseconds a request in one round.
async fn round_of(scheduler: &Program, round: u32) -> f64 {
    let (listen, until) = (scheduler.listen, tokio::time::Instant::now() + ROUND);
    let before = cpu(scheduler.id());
    let clients = (0..CLIENTS).map(|client| {
        tokio::spawn(async move {
            let mut stream = TcpStream::connect(listen).await.expect("a scheduler that listens");
            let mut served = 0_u32;
            for turn in 0.. {
                if tokio::time::Instant::now() >= until {
                    break;
                }
                let id = (round * 100_000 + turn) * CLIENTS + client;
                stream
                    .write_all(request("consulta", id, 0, 900, "").as_bytes())
                    .await
                    .expect("it takes requests");
                served += u32::from(answer(&mut stream).await.0 == 200);
            }
            served
        })
    });
    let mut served = 0;
    for client in clients.collect::<Vec<_>>() {
        served += timeout(TEST_TIMEOUT, client).await.expect("in time").expect("a client that ends");
    }
    assert!(served > 0, "nothing was served");
    (cpu(scheduler.id()) - before) as f64 / f64::from(served)
}

/// Events that are missing in the staged incident and that no gap tells of, and changes that are told wrong.
async fn staged(folder: &Path) -> (u64, usize) {
    let truth = stage(&program("heathward"), &folder.join("staged")).await;
    let incident = Incident::of(&folds::read(&truth.folders).expect("records"), Window::ALL);
    let told = |why: Missing| matches!(why, Missing::Queue | Missing::Disk | Missing::Cut);
    let missing = incident.holes.iter().filter(|hole| !told(hole.why)).map(|hole| hole.events.max(1));
    let mut lost: u64 = missing.sum();
    for number in 0..SCHEDULERS {
        let place = number as usize;
        let one = folds::read(&truth.folders[place..=place]).expect("records");
        let one = Incident::of(&one, Window::ALL);
        if one.holes.is_empty() {
            lost += unaccounted(&truth, number, &one);
        }
    }
    let wrong = untrue(&truth, &incident);
    wrong.iter().for_each(|what| eprintln!("{what}"));
    (lost, wrong.len())
}

/// Seconds and megabytes that a report takes, of so many seconds from three schedulers with each request
/// recorded.
fn report_of(folder: &Path, rate: u32, seconds: u64) -> (f64, f64) {
    let seed = 0x600;
    eprintln!("{seconds} s of records by seed {seed:#x}");
    hour::write(folder, SCHEDULERS, rate, seconds, seed).expect("a folder that takes files");
    let mut command = Command::new(program("heathwardctl"));
    command.arg("report").arg(folder).arg("-o").arg(folder.join("report.html"));
    let begin = Instant::now();
    let mut child = command.stderr(Stdio::null()).spawn().expect("the tool beside this program");
    let mut peak = 0;
    loop {
        peak = peak.max(peak_memory(child.id()).unwrap_or(0));
        if let Some(status) = child.try_wait().expect("a child of this process") {
            assert!(status.success(), "the report failed: {status}");
            break;
        }
        std::thread::sleep(Duration::from_millis(2));
    }
    (begin.elapsed().as_secs_f64(), peak as f64 / 1024.0)
}

/// Kilobytes that a process has held at most.
fn peak_memory(process: u32) -> Option<u64> {
    let status = std::fs::read_to_string(format!("/proc/{process}/status")).ok()?;
    let line = status.lines().find_map(|line| line.strip_prefix("VmHWM:"))?;
    line.split_ascii_whitespace().next()?.parse().ok()
}

/// A disk on which every write waits until it is let.
#[derive(Clone, Default)]
struct Stuck(Arc<(Mutex<bool>, Condvar)>);

impl Stuck {
    fn release(&self) {
        *self.0 .0.lock().expect("no holder panics") = true;
        self.0 .1.notify_all();
    }

    fn wait(&self) {
        let mut free = self.0 .0.lock().expect("no holder panics");
        while !*free {
            free = self.0 .1.wait(free).expect("no holder panics");
        }
    }
}

impl Disk for Stuck {
    type File = io::Sink;

    fn create(&mut self, _: &str) -> io::Result<io::Sink> {
        self.wait();
        Ok(io::sink())
    }

    fn list(&mut self) -> io::Result<Vec<(String, u64)>> {
        self.wait();
        Ok(Vec::new())
    }

    fn remove(&mut self, _: &str) -> io::Result<()> {
        self.wait();
        Ok(())
    }
}

/// An observer whose calls are timed.
struct Timed(Recorder, Arc<Mutex<Duration>>);

impl Observer for Timed {
    fn observe(&mut self, at: tokio::time::Instant, note: Observation<'_>) {
        let begin = Instant::now();
        self.0.observe(at, note);
        let took = begin.elapsed();
        let mut longest = self.1.lock().expect("no holder panics");
        *longest = took.max(*longest);
    }

    fn settings_changed(&mut self, deployment: &Deployment) {
        self.0.settings_changed(deployment);
    }
}

/// Milliseconds that the core was held up at most, with a disk that is stuck and a queue that is soon full.
async fn held_up() -> f64 {
    let node = http_node(0, &[NodeBehavior::Serve], &Log::default()).await;
    let rig = rig(&[member("s0", node, 0, "in_service", 0)], None).await;
    let (disk, longest) = (Stuck::default(), Arc::new(Mutex::new(Duration::ZERO)));
    let (sender, waiting) = event_channel(64);
    let rotation = Rotation { max_bytes: 1 << 20, max_age: 1 << 40 };
    let limits = StorageLimits { rotation, max_total_bytes: 1 << 30 };
    let writer =
        Writer::start(disk.clone(), waiting, SegmentOpened::default(), limits).expect("a thread to spare");
    let recorder = Recorder::new(sender, ClockSkew::default(), true);
    rig.core.set_observer(Some(Box::new(Timed(recorder, longest.clone())))).await;
    let mut stream = TcpStream::connect(rig.front).await.expect("a front that listens");
    for id in 0..2000 {
        stream.write_all(request("consulta", id, 0, 900, "").as_bytes()).await.expect("it takes requests");
        answer(&mut stream).await;
    }
    rig.core.set_observer(None).await;
    disk.release();
    assert!(writer.finish(Instant::now() + TEST_TIMEOUT), "the writer did not end");
    let longest = *longest.lock().expect("no holder panics");
    longest.as_secs_f64() * 1000.0
}
