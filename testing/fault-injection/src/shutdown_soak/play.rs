//! Plays one plan with a process of the program.

use std::io;
use std::net::SocketAddr;
use std::path::Path;
use std::process::{Child, Command, Stdio};
use std::time::Duration;

use heathward_fakes::{answer, config_text, http_node, member, reserved, Log};
use rustix::process::{kill_process, Pid, Signal};
use tokio::io::AsyncWriteExt;
use tokio::net::TcpStream;
use tokio::task::JoinSet;
use tokio::time::{sleep, sleep_until, Instant};

use crate::processor_time::processor_wait;

use super::clients::{crowd, insist, Client};
use super::plan::{Crossing, Plan};
use super::verdict::{Exit, Observed, Outcome};

/// Clients ask for so long before the first SIGTERM.
const BEFORE_SIGNAL: Duration = Duration::from_millis(300);
/// How often it is checked whether a process has ended, or answers.
const CHECK_INTERVAL: Duration = Duration::from_millis(5);
/// A process that is not ready by then never will be.
const READY_LIMIT: Duration = Duration::from_secs(20);
/// After SIGKILL, clients wait for so long for what has been sent to them.
const LAST_READ: Duration = Duration::from_millis(200);

/// Plays a plan with that program; files go to `folder`.
///
/// # Errors
/// The system's, if the program can't be started.
///
/// # Panics
/// If there is no free port, the folder is not writable, or the first process does not become ready.
pub async fn play(plan: Plan, program: &Path, folder: &Path) -> io::Result<Outcome> {
    let log = Log::default();
    let well = http_node(0, &[super::plan::NodeFault::None.script()], &log).await;
    let faulty = http_node(1, &[plan.fault.script()], &log).await;
    let members = [member("s0", well, 0, "in_service", 0), member("s1", faulty, 1, "in_service", 0)];
    let (kept, address) = reserved();
    let config = folder.join(format!("soak-{}-{}.json", plan.seed, std::process::id()));
    std::fs::write(&config, configuration(&plan, address, &members.join(",")))?;
    let start = || Command::new(program).env("GW_CONFIG", &config).stderr(Stdio::null()).spawn();
    let mut child = start()?;
    ready(address).await.expect("the first process becomes ready");
    let mut clients = JoinSet::new();
    let signal_at = match plan.crossing {
        Crossing::Start => Instant::now(),
        Crossing::Requests | Crossing::Reload => Instant::now() + BEFORE_SIGNAL,
    };
    let until = signal_at + plan.kill_after() + LAST_READ;
    for (number, client) in (1..).zip(&plan.clients) {
        clients.spawn(insist(address, number, Client::new(&plan, client), until));
    }
    if let Some(at_ms) = plan.crowd_at_ms {
        let from = signal_at + Duration::from_millis(at_ms);
        clients.spawn(crowd(address, 0, plan.crowd_size(), plan.deadline_ms, from, until));
    }
    sleep_until(signal_at).await;
    let signalled = signal(&plan, &child).await;
    let exit = end(&plan, &mut child, signalled).await?;
    let asked = clients.join_all().await.concat();
    let seen = log.all();
    let started = Instant::now();
    let mut next = start()?;
    let next_ready = ready(address).await.map(|()| started.elapsed());
    next.kill()?;
    next.wait()?;
    drop(kept);
    std::fs::remove_file(&config)?;
    let observed = Observed { signalled, asked, seen, exit, next_ready };
    Ok(Outcome::judge(plan, &observed))
}

fn configuration(plan: &Plan, address: SocketAddr, members: &str) -> String {
    let objective_ms = plan.deadline_ms.min(150);
    config_text(&address.to_string(), "127.0.0.1:1", members).replace(
        "\"aimMs\":150,\"deadlineMs\":1000",
        &format!("\"aimMs\":{objective_ms},\"deadlineMs\":{}", plan.deadline_ms),
    )
}

/// Returns once a process answers at that address that it is ready; `None` if none does in time.
async fn ready(address: SocketAddr) -> Option<()> {
    let limit = Instant::now() + READY_LIMIT;
    while Instant::now() < limit {
        if let Ok(mut stream) = TcpStream::connect(address).await {
            let asked = stream.write_all(b"GET /healthz HTTP/1.1\r\nHost: x\r\n\r\n").await;
            if asked.is_ok() && answer(&mut stream).await.0 == 200 {
                return Some(());
            }
        }
        sleep(CHECK_INTERVAL).await;
    }
    None
}

/// A signal for a process; one that has ended is none to signal.
fn send(child: &Child, signal: Signal) {
    let _ = kill_process(Pid::from_child(child), signal);
}

/// Sends the first SIGTERM, with what comes just before it. Returns when that was.
async fn signal(plan: &Plan, child: &Child) -> Instant {
    if plan.stall_at_signal_ms > 0 {
        send(child, Signal::STOP);
    }
    if plan.crossing == Crossing::Reload {
        send(child, Signal::HUP);
    }
    send(child, Signal::TERM);
    let signalled = Instant::now();
    if plan.stall_at_signal_ms > 0 {
        sleep(Duration::from_millis(plan.stall_at_signal_ms)).await;
        send(child, Signal::CONT);
    }
    signalled
}

/// Sends what follows, and SIGKILL when the platform does. Returns how the process ended.
async fn end(plan: &Plan, child: &mut Child, signalled: Instant) -> io::Result<Exit> {
    let mut due: Vec<(u64, Signal)> = plan.further_signals_ms.iter().map(|at| (*at, Signal::TERM)).collect();
    for stall in &plan.stalls {
        due.push((stall.from_ms, Signal::STOP));
        due.push((stall.from_ms + stall.length_ms, Signal::CONT));
    }
    due.sort_by_key(|(at, _)| *at);
    let mut due = due.into_iter().peekable();
    let kill_at = signalled + plan.kill_after();
    let mut held_up = HeldUp::new(child.id(), signalled + plan.late_stalls_from());
    while Instant::now() < kill_at {
        if let Some(status) = child.try_wait()? {
            return Ok(Exit::ByItself { after: signalled.elapsed(), code: status.code() });
        }
        while let Some((_, next)) =
            due.next_if(|(at, _)| signalled + Duration::from_millis(*at) <= Instant::now())
        {
            send(child, next);
            held_up.signal_sent(next);
        }
        held_up.check();
        let next = due.peek().map_or(kill_at, |(at, _)| signalled + Duration::from_millis(*at));
        sleep_until(next.min(kill_at).min(Instant::now() + CHECK_INTERVAL)).await;
    }
    let at = Instant::now();
    send(child, Signal::KILL);
    let held_up = held_up.total(at);
    child.wait()?;
    Ok(Exit::Killed { at, held_up })
}

/// How long a process was stopped, or waited for a processor, from some time on.
struct HeldUp {
    process: u32,
    from: Instant,
    /// What it had waited for a processor when that time came.
    waited_before: Option<Duration>,
    stopped_at: Option<Instant>,
    stopped: Duration,
}

impl HeldUp {
    fn new(process: u32, from: Instant) -> Self {
        Self { process, from, waited_before: None, stopped_at: None, stopped: Duration::ZERO }
    }

    fn signal_sent(&mut self, signal: Signal) {
        let now = Instant::now();
        if signal == Signal::STOP {
            self.stopped_at = Some(now);
        } else if signal == Signal::CONT {
            self.end_stop(now);
        }
    }

    fn end_stop(&mut self, at: Instant) {
        if let Some(since) = self.stopped_at.take() {
            self.stopped += at.saturating_duration_since(since.max(self.from));
        }
    }

    /// To be called often, so that what it waited before is known.
    fn check(&mut self) {
        if self.waited_before.is_none() && Instant::now() >= self.from {
            self.waited_before = processor_wait(self.process);
        }
    }

    /// All of it until `at`, when the process got SIGKILL. Its last wait counts once it has ended.
    fn total(mut self, at: Instant) -> Duration {
        self.end_stop(at);
        std::thread::sleep(CHECK_INTERVAL);
        let waited = processor_wait(self.process).zip(self.waited_before);
        let waited = waited.map_or(Duration::ZERO, |(after, before)| after.saturating_sub(before));
        self.stopped + waited
    }
}
