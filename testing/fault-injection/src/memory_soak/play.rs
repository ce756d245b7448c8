//! Plays one plan with processes of the program.

use std::fmt;
use std::io;
use std::path::Path;
use std::process::Command;
use std::time::Duration;

use heathward_fakes::{config_text, member, reserved, Program};
use tokio::task::JoinSet;
use tokio::time::{sleep_until, Instant};

use super::client::{self, Ending};
use super::plan::{Plan, RequestPlan};
use super::{memory, node, stalled};

/// Nodes, each of which holds one shard.
pub const SHARDS: u64 = 9;
/// The ids of a client's requests begin at its number times this.
const CALLS_OF_CLIENT: u64 = 16;

/// What was observed in one play.
#[derive(Debug)]
pub struct Outcome {
    /// What was played.
    pub plan: Plan,
    /// How each request ended.
    pub endings: Vec<(RequestPlan, Ending)>,
    /// Clients that never complete a request and got no error in time.
    pub stalled_too_long: usize,
    /// The most memory of all processes together, in kilobytes.
    pub peak_kb: usize,
    /// What METRICS of the process that was started last shows about memory at the end.
    pub metrics: Vec<String>,
}

impl Outcome {
    /// Returns how many requests ended like this.
    pub fn count(&self, is_counted: impl Fn(Ending) -> bool) -> usize {
        self.endings.iter().filter(|(_, ending)| is_counted(*ending)).count()
    }

    /// Returns which rules were broken, and by what.
    pub fn breaches(&self) -> Vec<String> {
        let mut breaches = Vec::new();
        let limit_kb = self.plan.memory_mb * 1024;
        if self.peak_kb > limit_kb {
            breaches.push(format!("{} kB of memory, {limit_kb} allowed", self.peak_kb));
        }
        if self.stalled_too_long > 0 {
            breaches.push(format!("{} stalled clients without an error in time", self.stalled_too_long));
        }
        for (request, ending) in &self.endings {
            if matches!(ending, Ending::WrongReply | Ending::Unanswered) {
                breaches.push(format!("{ending:?}: {request:?}"));
            }
        }
        breaches
    }
}

impl fmt::Display for Outcome {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        let Plan { seed, memory_mb, sockets, focus, upgrade_at_ms, clients, crowd } = &self.plan;
        write!(
            f,
            "seed {seed}: {memory_mb} MB, {sockets} descriptors, {} clients, crowd of {}, {focus:?}, \
             upgrade {}; {} requests: {} served, {} shed, {} failed, {} left; {} kB at most",
            clients.len(),
            crowd.len(),
            upgrade_at_ms.map_or("none".to_owned(), |at| format!("at {at} ms")),
            self.endings.len(),
            self.count(|ending| ending == Ending::Served),
            self.count(|ending| ending == Ending::Shed),
            self.count(|ending| matches!(ending, Ending::Failed(_))),
            self.count(|ending| ending == Ending::Left),
            self.peak_kb
        )
    }
}

/// Plays a plan with that program; files go to a folder of its own in `folder`.
///
/// # Errors
/// The system's, if files can't be written.
///
/// # Panics
/// If the program can't be started.
pub async fn play(plan: Plan, program: &Path, folder: &Path) -> io::Result<Outcome> {
    let folder = folder.join(format!("hw-soak-{}-{}", std::process::id(), plan.seed));
    std::fs::create_dir_all(&folder)?;
    let mut members = Vec::new();
    for shard in 0..SHARDS as u32 {
        members.push(member(&format!("s{shard}"), node::start().await, shard, "in_service", 0));
    }
    let (reserved_socket, listen) = reserved();
    let config = folder.join("config.json");
    let text = config_text(&listen.to_string(), "127.0.0.1:1", &members.join(","))
        .replacen('{', r#"{"ops":"127.0.0.1:0","#, 1)
        .replace("\"memory_mb\":192", &format!("\"memory_mb\":{}", plan.memory_mb))
        .replace("\"sockets\":256", &format!("\"sockets\":{}", plan.sockets));
    std::fs::write(&config, text)?;
    let start = || {
        let mut command = Command::new(program);
        command.env("GW_CONFIG", &config).env("TMPDIR", &folder);
        Program::start(command)
    };
    let old = start();
    let from = Instant::now();
    let mut clients = JoinSet::new();
    for (client, number) in plan.clients.iter().zip(1..) {
        clients.spawn(client::run(listen, client.clone(), number * CALLS_OF_CLIENT, from));
    }
    let mut crowd = JoinSet::new();
    for client in &plan.crowd {
        crowd.spawn(stalled::run(listen, *client, from));
    }
    let (mut peak_kb, mut new) = (0, None);
    if let Some(at_ms) = plan.upgrade_at_ms {
        let upgrade = sleep_until(from + Duration::from_millis(at_ms));
        memory::record_peak(&[old.id()], &mut peak_kb, upgrade).await;
        new = Some(start());
    }
    let processes: Vec<u32> = std::iter::once(&old).chain(&new).map(Program::id).collect();
    let endings = memory::record_peak(&processes, &mut peak_kb, clients.join_all()).await.concat();
    let stalled_too_long = crowd.join_all().await.iter().filter(|in_time| !**in_time).count();
    let last = new.as_ref().unwrap_or(&old);
    let metrics = last.call("METRICS").await;
    let metrics = metrics.lines().filter(|line| line.starts_with("app.memory")).map(str::to_owned).collect();
    drop((old, new, reserved_socket));
    std::fs::remove_dir_all(&folder)?;
    Ok(Outcome { plan, endings, stalled_too_long, peak_kb, metrics })
}
