//! A fleet of real processes of the program before stand-ins, through a scenario.

use std::net::SocketAddr;
use std::path::{Path, PathBuf};
use std::process::Command;
use std::time::{Duration, SystemTime, UNIX_EPOCH};

use heathward_fakes::{config_text, Program};
use tokio::sync::watch;
use tokio::task::{spawn_blocking, AbortHandle};
use tokio::time::{sleep, sleep_until, Instant};

use crate::audit::{judge, Breach, Cold, Entry, Micros, Rules, Span};
use crate::callers::busiest;
use crate::clients::{Clients, Load, LATE_ANSWER_TIME};
use crate::link::{Link, LinkMode};
use crate::lists::{Calls, Lists, Ways};
use crate::node::{Ability, Node};
use crate::play::Play;
use crate::processor_time::processor_wait;
use crate::scenario::{Fault, Scenario, What};
use crate::service::Costs;

/// Figures of the settings that all scenarios share.
pub const RULES: Rules = Rules {
    slack: 550_000,
    // The longest deadline in the configuration, and 0.7 s.
    shutdown_time: 1_700_000,
    grace: 300_000,
    window: 2_550_000,
    cold: Cold { units: 200.0, share: 0.24, time: 6_000_000, fall: 500_000, multiple: 4.0 },
    rate_limit: None,
    max_memory_kb: 32 << 10,
    max_descriptors: 256,
};

/// How long clients wait.
const BUDGET: Duration = Duration::from_millis(900);

/// What a play came to.
#[derive(Debug)]
pub struct Outcome {
    /// What the stand-ins saw.
    pub log: Vec<Entry>,
    /// Rules broken.
    pub breaches: Vec<Breach>,
    /// What calls for lists met, and when each was made.
    pub calls: (Calls, Vec<Micros>),
    /// When each start of a host was ready, after its start.
    pub ready: Vec<Micros>,
    /// When connections came to each node.
    pub connections: Vec<Vec<Micros>>,
}

impl Outcome {
    /// Of the requests asked from one moment to another, those served in time, and all.
    pub fn served(&self, from: f64, to: f64) -> (usize, usize) {
        let span = (from * 1e6) as Micros..(to * 1e6) as Micros;
        let mut asked = std::collections::BTreeMap::new();
        for entry in &self.log {
            match entry {
                Entry::Asked { call, at, until, .. } if span.contains(at) => {
                    asked.insert(*call, (*until, false));
                }
                Entry::Answered { call, at, status: 200 } => {
                    if let Some((until, served)) = asked.get_mut(call) {
                        *served = at <= until;
                    }
                }
                _ => {}
            }
        }
        (asked.values().filter(|(_, served)| *served).count(), asked.len())
    }

    /// The most connections that came to one node within 100 ms.
    pub fn busiest_connections(&self) -> usize {
        let within = |times: &Vec<Micros>| {
            let mut times = times.clone();
            times.sort_unstable();
            busiest(&times, 100_000)
        };
        self.connections.iter().map(within).max().unwrap_or_default()
    }
}

/// A host: its place in the fleet, and its process where it runs.
struct Host {
    number: u32,
    config: PathBuf,
    program: Option<Program>,
    /// When that process got SIGTERM.
    terminated_at: Option<Micros>,
    /// When that process got SIGSTOP, if it has not got SIGCONT since.
    stopped_at: Option<Micros>,
    at: watch::Sender<Option<SocketAddr>>,
    lists: Link,
    nodes: Vec<Link>,
}

struct Fleet {
    play: Play,
    scenario: Scenario,
    program: PathBuf,
    hosts: Vec<Host>,
    nodes: Vec<Node>,
    lists: Lists,
    ready: Vec<Micros>,
    asking: Vec<AbortHandle>,
    /// Looks whether a host gets its processor.
    watching: std::collections::BTreeMap<u32, AbortHandle>,
}

/// Plays a scenario with processes of `program`; their configurations go into `folder`.
///
/// # Errors
/// Where ports or files can't be had.
///
/// # Panics
/// Where a process does not start: it says why.
pub async fn play(scenario: &Scenario, program: &Path, folder: &Path) -> std::io::Result<Outcome> {
    let mut fleet = Fleet::new(scenario.clone(), program, folder).await?;
    let begin = Instant::now();
    fleet.start_all().await;
    let mut steps: Vec<(f64, usize, bool)> = Vec::new();
    for (number, fault) in scenario.faults.iter().enumerate() {
        steps.push((fault.at, number, true));
        steps.extend(fault.until.map(|until| (until, number, false)));
    }
    steps.sort_by(|a, b| a.0.total_cmp(&b.0));
    for (at, number, begins) in steps {
        sleep_until(begin + Duration::from_secs_f64(at)).await;
        let fault = scenario.faults[number].clone();
        if begins {
            fleet.begin(&fault).await;
        } else {
            fleet.mend(&fault).await;
        }
    }
    sleep_until(begin + Duration::from_secs_f64(scenario.seconds)).await;
    Ok(fleet.finish().await)
}

impl Fleet {
    async fn new(scenario: Scenario, program: &Path, folder: &Path) -> std::io::Result<Self> {
        let play = Play::default();
        let ability = Ability {
            cores: 4,
            queue: 40,
            unit: Duration::from_millis(5),
            connection: Duration::from_millis(1),
            cold: RULES.cold,
        };
        let nodes: Vec<Node> = (0..scenario.nodes).map(|number| Node::new(number, ability, &play)).collect();
        let call = |ms: f64| Costs { call: Duration::from_secs_f64(ms / 1000.0), ..Costs::default() };
        let ways = scenario.service_ms.map_or(Ways::Agents, |ms| Ways::Service(call(ms)));
        let lists = Lists::new(&play, scenario.nodes, ways);
        let mut hosts = Vec::new();
        for number in 0..scenario.hosts {
            let links: Vec<Link> = nodes.iter().map(|_| Link::default()).collect();
            let mut addresses = Vec::new();
            for (node, link) in nodes.iter().zip(&links) {
                addresses.push(node.listen(number, link.clone()).await?);
            }
            let link = Link::default();
            let discovery = lists.join(addresses, link.clone()).await?;
            let config = folder.join(format!("host-{}-{number}.json", discovery.port()));
            std::fs::write(&config, configuration(&scenario, number, discovery, &lists))?;
            let at = watch::channel(None).0;
            hosts.push(Host {
                number,
                config,
                program: None,
                terminated_at: None,
                stopped_at: None,
                at,
                lists: link,
                nodes: links,
            });
        }
        let program = program.to_owned();
        Ok(Self {
            play,
            scenario,
            program,
            hosts,
            nodes,
            lists,
            ready: Vec::new(),
            asking: Vec::new(),
            watching: Default::default(),
        })
    }

    async fn start_all(&mut self) {
        if self.scenario.cold {
            self.nodes.iter().for_each(Node::begin);
        }
        let load = Load {
            rate: self.scenario.rate,
            writes: self.scenario.writes,
            shards: self.scenario.nodes,
            budget: BUDGET,
        };
        let clients = Clients::new(&self.play, load);
        for host in &self.hosts {
            let seed = self.scenario.seed * 1_000 + u64::from(host.number);
            let asking = tokio::spawn(clients.clone().ask(host.number, host.at.subscribe(), seed));
            self.asking.push(asking.abort_handle());
        }
        let all: Vec<u32> = (0..self.scenario.hosts).collect();
        self.start(&all, self.scenario.spread).await;
    }

    /// Starts those hosts, each a little after the one before, and waits until all are ready.
    async fn start(&mut self, which: &[u32], spread: f64) {
        let mut starting = Vec::new();
        for (place, host) in which.iter().enumerate() {
            let wait = Duration::from_secs_f64(spread * place as f64 / which.len() as f64);
            let (program, config) = (self.program.clone(), self.hosts[*host as usize].config.clone());
            let at = self.hosts[*host as usize].at.clone();
            starting.push(tokio::spawn(async move {
                sleep(wait).await;
                let began = Instant::now();
                let started = spawn_blocking(move || {
                    let mut command = Command::new(program);
                    command.env("GW_CONFIG", config);
                    Program::start(command)
                });
                let program = started.await.ok()?;
                let ready = until_ready(program.listen, began).await;
                at.send_replace(Some(program.listen));
                Some((program, ready))
            }));
        }
        for (host, starting) in which.iter().zip(starting) {
            if let Ok(Some((program, ready))) = starting.await {
                let watching = tokio::spawn(watch_over(*host, program.id(), self.play.clone()));
                self.watching.insert(*host, watching.abort_handle());
                self.hosts[*host as usize].program = Some(program);
                self.ready.extend(ready);
            }
        }
    }

    fn which_hosts(&self, fault: &Fault) -> Vec<u32> {
        fault.hosts.clone().unwrap_or_else(|| (0..self.scenario.hosts).collect())
    }

    fn which_nodes(&self, fault: &Fault) -> Vec<u32> {
        fault.nodes.clone().unwrap_or_else(|| (0..self.scenario.nodes).collect())
    }

    /// The links between the hosts and the nodes of a fault.
    fn links(&self, fault: &Fault) -> Vec<Link> {
        let hosts = self.which_hosts(fault);
        let nodes = self.which_nodes(fault);
        let mut links = Vec::new();
        for host in hosts {
            let host = &self.hosts[host as usize];
            links.extend(nodes.iter().map(|node| host.nodes[*node as usize].clone()));
        }
        links
    }

    fn list_links(&self, fault: &Fault) -> Vec<Link> {
        self.which_hosts(fault).iter().map(|host| self.hosts[*host as usize].lists.clone()).collect()
    }

    async fn begin(&mut self, fault: &Fault) {
        match fault.what {
            What::Kill => {
                for host in self.which_hosts(fault) {
                    self.kill(host);
                }
            }
            What::Restart => {
                for host in self.which_hosts(fault) {
                    self.terminate(host);
                }
            }
            What::Stop => self.which_hosts(fault).iter().for_each(|host| self.stop(*host)),
            What::ListsDown => self.lists.down(true),
            What::BreakWatches => self.lists.break_watches(),
            What::ListsRefused => self.list_links(fault).iter().for_each(|link| {
                link.change(|state| (state.refused, state.resets) = (true, state.resets + 1));
            }),
            What::ListsSilent => self.list_links(fault).iter().for_each(|link| {
                link.change(|state| (state.there, state.back) = (LinkMode::Silent, LinkMode::Silent));
            }),
            What::Replace => {
                for node in self.which_nodes(fault) {
                    self.lists.change(node, "terminating", 0);
                }
            }
            What::Refuse => self.links(fault).iter().for_each(|link| {
                link.change(|state| (state.refused, state.resets) = (true, state.resets + 1));
            }),
            What::Silent => self.links(fault).iter().for_each(|link| {
                link.change(|state| (state.there, state.back) = (LinkMode::Silent, LinkMode::Silent));
            }),
            What::Hold => {
                self.links(fault).iter().for_each(|link| link.change(|state| state.back = LinkMode::Paused))
            }
            What::Late => {
                let late = LinkMode::Late(Duration::from_millis(fault.ms.unwrap_or_default()));
                self.links(fault).iter().for_each(|link| link.change(|state| state.there = late));
            }
            What::Reset => self.links(fault).iter().for_each(|link| link.change(|state| state.resets += 1)),
        }
    }

    async fn mend(&mut self, fault: &Fault) {
        match fault.what {
            What::Kill | What::Restart => {
                let hosts = self.which_hosts(fault);
                hosts.iter().for_each(|host| self.kill(*host));
                self.start(&hosts, 0.0).await;
            }
            What::Stop => self.which_hosts(fault).iter().for_each(|host| self.resume(*host)),
            What::ListsDown => self.lists.down(false),
            What::BreakWatches | What::Reset => {}
            What::ListsRefused | What::ListsSilent => self.list_links(fault).iter().for_each(restore_link),
            What::Replace => {
                let now = SystemTime::now().duration_since(UNIX_EPOCH).unwrap_or_default().as_millis();
                for node in self.which_nodes(fault) {
                    self.nodes[node as usize].begin();
                    self.lists.change(node, "in_service", now);
                }
            }
            What::Refuse | What::Silent | What::Hold | What::Late => {
                self.links(fault).iter().for_each(restore_link);
            }
        }
    }

    /// Nobody is to ask it from now on, and it is gone.
    fn kill(&mut self, host: u32) {
        let from = self.play.now();
        self.note_stop(host);
        let host = &mut self.hosts[host as usize];
        host.at.send_replace(None);
        let terminated_at = host.terminated_at.take();
        if let Some(program) = host.program.take() {
            self.watching.remove(&host.number);
            program.kill();
            let span = Span::new(from, self.play.now());
            self.play.note(Entry::Killed { host: host.number, span, terminated_at });
        }
    }

    /// It is asked to end; what it has taken it still answers.
    fn terminate(&mut self, host: u32) {
        let host = &mut self.hosts[host as usize];
        host.at.send_replace(None);
        if let Some(program) = &host.program {
            host.terminated_at = Some(self.play.now());
            program.signal("-TERM");
        }
    }

    /// It stands still until it is resumed.
    fn stop(&mut self, host: u32) {
        let host = &mut self.hosts[host as usize];
        if let Some(program) = &host.program {
            host.stopped_at = Some(self.play.now());
            program.signal("-STOP");
        }
    }

    fn resume(&mut self, host: u32) {
        if let Some(program) = &self.hosts[host as usize].program {
            program.signal("-CONT");
        }
        self.note_stop(host);
    }

    /// Notes for how long a process was stopped, if it was.
    fn note_stop(&mut self, host: u32) {
        if let Some(from) = self.hosts[host as usize].stopped_at.take() {
            self.play.note(Entry::Stopped { host, span: Span::new(from, self.play.now()) });
        }
    }

    async fn finish(mut self) -> Outcome {
        self.asking.iter().for_each(AbortHandle::abort);
        // What was asked last has its time.
        sleep(BUDGET + LATE_ANSWER_TIME + Duration::from_micros(RULES.slack)).await;
        let at = self.play.now();
        for host in &self.hosts {
            if let Some(program) = &host.program {
                let held = program.held();
                let (memory_kb, descriptors) = (held.peak_kb as u64, held.descriptors as u64);
                self.play.note(Entry::ResourcesUsed { host: host.number, at, memory_kb, descriptors });
            }
        }
        let (log, _) = self.play.log();
        let breaches = judge(&log, &RULES);
        let connections = self.nodes.iter().map(Node::connections).collect();
        let ready = std::mem::take(&mut self.ready);
        Outcome { log, breaches, calls: self.lists.calls(), ready, connections }
    }
}

fn restore_link(link: &Link) {
    link.change(|state| (state.there, state.back, state.refused) = (LinkMode::Open, LinkMode::Open, false));
}

/// Logs the times at which a process waited for a processor for most of a sample, as counted by the operating
/// system.
async fn watch_over(host: u32, id: u32, play: Play) {
    let mut before = None;
    loop {
        let from = play.now();
        sleep(SAMPLE_INTERVAL).await;
        // The process may have exited.
        let Some(waited) = processor_wait(id) else { return };
        let waited = waited.as_micros() as Micros;
        let to = play.now();
        let waited_more = waited.saturating_sub(before.replace(waited).unwrap_or(waited));
        let rig_late = (to - from).saturating_sub(SAMPLE_INTERVAL.as_micros() as Micros);
        let lost = waited_more.max(rig_late);
        if lost > MIN_STARVATION {
            play.note(Entry::Starved { host, span: Span::new(to.saturating_sub(lost), to) });
        }
    }
}

/// Interval at which the processor time of a scheduler is sampled.
const SAMPLE_INTERVAL: Duration = Duration::from_millis(200);
/// The shortest wait for a processor within a sample, in microseconds, that excuses a late answer.
const MIN_STARVATION: Micros = 150_000;

/// When it answers 200 on health, after its start; `None` where it never does within 20 s.
async fn until_ready(listen: SocketAddr, began: Instant) -> Option<Micros> {
    let ask = "GET /healthz HTTP/1.1\r\nHost: x\r\nConnection: close\r\n\r\n";
    while began.elapsed() < Duration::from_secs(20) {
        let asked = async {
            let mut stream = tokio::net::TcpStream::connect(listen).await.ok()?;
            tokio::io::AsyncWriteExt::write_all(&mut stream, ask.as_bytes()).await.ok()?;
            let (head, ..) = heathward_fakes::read_message(&mut stream).await?;
            head.contains(" 200").then_some(())
        };
        if asked.await.is_some() {
            return Some(began.elapsed().as_micros() as Micros);
        }
        sleep(Duration::from_millis(10)).await;
    }
    None
}

/// What a host is told at its start, by the rules of [`RULES`].
fn configuration(scenario: &Scenario, number: u32, discovery: SocketAddr, lists: &Lists) -> String {
    let hosts = scenario.told_hosts.unwrap_or(scenario.hosts);
    let text = config_text("127.0.0.1:0", &discovery.to_string(), "");
    let known = text.find("\"known\":").zip(text.find("\"settings\":"));
    let (from, to) = known.unwrap_or((text.len(), text.len()));
    let text = format!("{}\"known\":{},{}", &text[..from], lists.known(number as usize), &text[to..]);
    let asked = r#""discovery":"on_request","resolutionMs""#;
    let text = if scenario.service_ms.is_some() {
        text.replace(r#""discovery":"pushed","resolutionMs""#, asked)
    } else {
        text
    };
    text.replace(
        "\"balancers\":1,\"slotNo\":0",
        &format!("\"balancers\":{hosts},\"slotNo\":{}", number.min(hosts - 1)),
    )
    .replace("\"youngLimit\":24.0", &format!("\"youngLimit\":{}", RULES.cold.units * RULES.cold.share))
    .replace("\"memory_mb\":192", "\"memory_mb\":32")
    .replace(
        "\"safety\":{",
        "\"safety\":{\"stopSendingWithinMs\":250,\"tipMultiple\":4.0,\"mustAskInMs\":10000.0,",
    )
    .replace("8c1f30d27a5be964", &format!("{:016x}", scenario.seed * 1_000_003 + u64::from(number)))
}
