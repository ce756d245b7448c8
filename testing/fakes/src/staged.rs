//! A staged incident with real processes: three schedulers, six nodes. One node drains, one is taken out by
//! hand, one falls silent and returns cold; one scheduler is killed and restarted; two have clocks that are
//! wrong. What really happened is logged here, apart from the schedulers' records.

use std::path::{Path, PathBuf};
use std::process::Command;
use std::time::{Duration, SystemTime, UNIX_EPOCH};

use heathward_incident::findings::What;
use heathward_incident::Incident;
use tokio::io::AsyncWriteExt;
use tokio::net::{TcpSocket, TcpStream};
use tokio::task::JoinHandle;
use tokio::time::{sleep_until, timeout, Instant};

use crate::message::{read_message, request, reserved};
use crate::{config_text, scripted_node, Discovery, Listed, Log, NodeBehavior, Program, Script};

/// Nodes, each with a shard of its own.
pub const NODES: u32 = 6;
/// Schedulers.
pub const SCHEDULERS: u32 = 3;
/// Clients of each, one request at a time.
const CLIENTS: u32 = 12;
/// A client asks so often, whether or not the answer before has come late.
const EVERY: Duration = Duration::from_millis(200);
/// Milliseconds that a scheduler's clock is ahead: the second's from its start, the third's steps.
pub const AHEAD: i64 = 300;
/// The third's clock steps by so many milliseconds,
pub const STEP: i64 = -2000;
/// so many milliseconds after its start.
const STEP_AFTER: u64 = 5000;
/// Clients' ids begin with their scheduler's number, above this.
const ID_SPACE: u32 = 1 << 24;

/// What really happened, Unix time in microseconds.
#[derive(Clone, Debug, Default)]
pub struct Truth {
    /// Before the first scheduler started, and after the last ended.
    pub span: (u64, u64),
    /// s0 drained by the list, from and to.
    pub drained: (u64, u64),
    /// s1 was taken out by hand.
    pub suspended: (u64, u64),
    /// s2 stopped answering; it answered again.
    pub silent: (u64, u64),
    /// The list told of s2's new start.
    pub restarted: u64,
    /// n1 was killed; it was started again.
    pub killed: (u64, u64),
    /// Requests that each node read whole: the scheduler that sent it, and when.
    pub arrivals: Vec<Vec<(u32, u64)>>,
    /// Final answers that each scheduler's clients got.
    pub answers: Vec<u64>,
    /// The schedulers' folders of records.
    pub folders: Vec<PathBuf>,
}

fn now() -> u64 {
    SystemTime::now().duration_since(UNIX_EPOCH).expect("a time after 1970").as_micros() as u64
}

/// A scheduler's place, kept for one that is killed and comes again.
struct Place {
    number: u32,
    _kept: TcpSocket,
    folder: PathBuf,
    records: PathBuf,
    listen: std::net::SocketAddr,
}

impl Place {
    fn new(number: u32, folder: &Path, discovery: &Discovery) -> Self {
        let (kept, listen) = reserved();
        let folder = folder.join(format!("n{number}"));
        let records = folder.join("records");
        std::fs::create_dir_all(&records).expect("the folder is writable");
        let text = config_text(&listen.to_string(), &discovery.address.to_string(), "")
            .replacen('{', r#"{"ops":"127.0.0.1:0","#, 1)
            .replace(r#""name":"n0""#, &format!(r#""name":"n{number}""#))
            .replace(
                r#""balancers":1,"slotNo":0"#,
                &format!(r#""balancers":{SCHEDULERS},"slotNo":{number}"#),
            );
        std::fs::write(folder.join("config.json"), text).expect("the folder is writable");
        let clock = match number {
            1 => format!("{{ offsetMs: {AHEAD} }}"),
            2 => format!("{{ stepAfterMs: {STEP_AFTER}, stepMs: {STEP} }}"),
            _ => "null".to_owned(),
        };
        let text = format!(
            "{{ records: {{ folder: '{}', segmentMb: 1, totalMb: 64, requests: true, clock: {clock} }} }}",
            records.display()
        );
        std::fs::write(folder.join("operator.jsonnet"), text).expect("the folder is writable");
        Self { number, _kept: kept, folder, records, listen }
    }

    fn start(&self, program: &Path) -> Program {
        let mut command = Command::new(program);
        command.env("GW_CONFIG", self.folder.join("config.json")).env("TMPDIR", &self.folder);
        command.arg("--operator").arg(self.folder.join("operator.jsonnet"));
        Program::start(command)
    }

    /// Clients that ask until they are ended; each gives back how many final answers it got.
    fn clients(&self, until: Instant) -> Vec<JoinHandle<u64>> {
        let client = |client: u32| tokio::spawn(ask(self.listen, self.number, client, until));
        (0..CLIENTS).map(client).collect()
    }
}

/// One client: a request at a time, on a connection that is kept as long as it is good.
async fn ask(listen: std::net::SocketAddr, scheduler: u32, client: u32, until: Instant) -> u64 {
    let (mut connection, mut answers) = (None, 0);
    let mut next = Instant::now() + EVERY * client / CLIENTS;
    for turn in 0.. {
        if next >= until {
            break;
        }
        sleep_until(next).await;
        // A client that was held up does not catch up at once.
        next = (next + EVERY).max(Instant::now());
        let id = scheduler * ID_SPACE + turn * CLIENTS + client;
        let class = if turn % 4 == 3 { "pedido" } else { "consulta" };
        let shard = (turn * CLIENTS + client) % NODES;
        let text = request(class, id, shard as i32, 600, if class == "pedido" { "an order" } else { "" });
        if connection.is_none() {
            connection = TcpStream::connect(listen).await.ok();
        }
        let Some(stream) = &mut connection else { continue };
        let answered = async {
            stream.write_all(text.as_bytes()).await.ok()?;
            read_message(stream).await
        };
        match timeout(Duration::from_secs(3), answered).await {
            Ok(Some((head, ..))) => {
                answers += 1;
                if head.contains("connection: close") {
                    connection = None;
                }
            }
            _ => connection = None,
        }
    }
    answers
}

/// Stages it in a folder of the caller's: about ten seconds.
///
/// # Panics
/// If a program, a client or a folder fails.
pub async fn stage(program: &Path, folder: &Path) -> Truth {
    let log = Log::default();
    let (zero, base) = (Instant::now(), now());
    let unix = |at: Instant| base + at.saturating_duration_since(zero).as_micros() as u64;
    let mut nodes = Vec::new();
    let mut scripts = Vec::new();
    for number in 0..NODES {
        let script = Script::new(&[NodeBehavior::Serve]);
        scripts.push(script.clone());
        let address = scripted_node(number, script, &log).await;
        let id = format!("s{number}");
        nodes.push(Listed { id, address, shard: number, phase: "in_service", up_since_ms: 0 });
    }
    let discovery = Discovery::start(nodes).await;
    let places: Vec<Place> = (0..SCHEDULERS).map(|n| Place::new(n, folder, &discovery)).collect();
    let mut truth = Truth { span: (now(), 0), ..Truth::default() };
    truth.folders = places.iter().map(|place| place.records.clone()).collect();
    let mut programs: Vec<Program> = places.iter().map(|place| place.start(program)).collect();
    let begin = Instant::now();
    let at = |ms: u64| begin + Duration::from_millis(ms);
    let clients: Vec<_> = places.iter().map(|place| place.clients(at(9500))).collect();

    sleep_until(at(1500)).await;
    truth.drained.0 = now();
    discovery.change("s0", |node| node.phase = "terminating");

    sleep_until(at(2000)).await;
    truth.suspended.0 = now();
    for program in &programs {
        program.command(heathward_core::OperatorCommand::Suspend("s1".into())).await;
    }

    sleep_until(at(2500)).await;
    truth.silent.0 = now();
    scripts[2].set(NodeBehavior::Silent);

    sleep_until(at(5000)).await;
    let started = now();
    scripts[2].set(NodeBehavior::Serve);
    truth.silent.1 = started;
    truth.restarted = started;
    discovery.change("s2", |node| node.up_since_ms = u128::from(started / 1000));

    sleep_until(at(5600)).await;
    let killed = programs.remove(1);
    truth.killed.0 = now();
    killed.kill();

    sleep_until(at(6800)).await;
    truth.killed.1 = now();
    programs.insert(1, places[1].start(program));

    sleep_until(at(7500)).await;
    // The one that was killed knows nothing of it, and says no.
    for program in [&programs[0], &programs[2]] {
        program.command(heathward_core::OperatorCommand::Restore("s1".into())).await;
    }
    truth.suspended.1 = now();

    sleep_until(at(8000)).await;
    truth.drained.1 = now();
    discovery.change("s0", |node| node.phase = "in_service");

    for clients in clients {
        let mut answers = 0;
        for client in clients {
            answers += client.await.expect("the client's task ends");
        }
        truth.answers.push(answers);
    }
    programs.iter().for_each(|program| program.signal("-TERM"));
    for program in programs {
        tokio::task::spawn_blocking(move || program.ended()).await.expect("the task ends");
    }
    truth.span.1 = now();
    truth.arrivals = vec![Vec::new(); NODES as usize];
    for seen in log.all() {
        let id = u64::from_str_radix(&seen.call, 16).expect("a request id in hexadecimal");
        truth.arrivals[seen.node as usize].push(((id / u64::from(ID_SPACE)) as u32, unix(seen.at)));
    }
    log.check_one_at_a_time();
    truth
}

/// A state's change may be told so far from when it happened, microseconds.
const SECOND: u64 = 1_000_000;

/// What a report of it says that did not happen, or not then, and what it does not say: nothing, if it is
/// right.
pub fn untrue(truth: &Truth, incident: &Incident) -> Vec<String> {
    let near = |told: u64, real: u64| told.abs_diff(real) <= SECOND;
    // A silence shows once requests of the node have waited for their whole time.
    let silence = (truth.silent.0 + SECOND, Some(truth.silent.1));
    let mut expected = vec![
        (What::Draining, "s0", (truth.drained.0, Some(truth.drained.1))),
        (What::Suspended, "s1", (truth.suspended.0, Some(truth.suspended.1))),
        (What::Silent, "s2", silence),
        // Neither is warm again before the end.
        (What::Cold, "s2", (truth.restarted, None)),
        (What::Cold, "s1", (truth.suspended.1, None)),
        (What::Killed, "n1", (truth.killed.0, Some(truth.killed.1))),
        (What::Started, "n1", (truth.killed.1, None)),
        (What::ClockOff, "n1", (truth.span.0, None)),
        (What::ClockOff, "n1", (truth.killed.1, None)),
        (What::ClockStep, "n2", (truth.span.0 + STEP_AFTER * 1000, None)),
    ];
    for name in ["n0", "n1", "n2"] {
        expected.push((What::Started, name, (truth.span.0, None)));
        expected.push((What::Ended, name, (truth.span.1, None)));
    }
    let mut wrong = Vec::new();
    for finding in &incident.findings {
        if finding.what == What::Class {
            // A class suffers only from what was staged.
            let staged = truth.drained.0 - SECOND..truth.drained.1 + 2 * SECOND;
            if !staged.contains(&finding.at) {
                wrong.push(format!("not staged: {}", finding.text));
            }
            continue;
        }
        let same = |(what, subject, (from, to)): &(What, &str, (u64, Option<u64>))| {
            let ends = match (finding.until, to) {
                (Some(told), Some(real)) => near(told, *real),
                (told, real) => told.is_none() && real.is_none(),
            };
            *what == finding.what && *subject == finding.subject && near(finding.at, *from) && ends
        };
        match expected.iter().position(same) {
            Some(place) => drop(expected.swap_remove(place)),
            None => wrong.push(format!("not so, or not then: {}", finding.text)),
        }
    }
    wrong.extend(
        expected.iter().map(|(what, subject, when)| format!("not told: {what:?} {subject} {when:?}")),
    );
    for boot in &incident.boots {
        let ahead = if boot.scheduler == "n1" { AHEAD } else { 0 };
        if (boot.ahead / 1000 - ahead).abs() > 100 {
            wrong.push(format!("{} is told to be {} us ahead", boot.scheduler, boot.ahead));
        }
    }
    let step = incident.findings.iter().find(|finding| finding.what == What::ClockStep);
    if !step.is_some_and(|step| step.text.contains(&format!("back by {} ms", -STEP))) {
        wrong.push(format!("the step is told as {step:?}"));
    }
    wrong
}

/// By how many the attempts that a scheduler's own records tell of differ from those that the nodes saw, node
/// by node. One that found no connection was seen by none.
pub fn unaccounted(truth: &Truth, scheduler: u32, one: &Incident) -> u64 {
    let differ = (0..NODES).map(|node| {
        let seen = truth.arrivals[node as usize].iter().filter(|(by, _)| *by == scheduler).count() as u64;
        let table = one.nodes.iter().find(|table| table.name == format!("s{node}"));
        let told = table.map(|table| table.series.total()).map_or(0, |total| total.sent - total.ends[4]);
        told.abs_diff(seen)
    });
    differ.sum()
}
