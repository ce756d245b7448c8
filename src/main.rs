//! The scheduler as a program: configuration, start, other configurations, the end, counters.
#![forbid(unsafe_code)]

use std::net::SocketAddr;
use std::process::ExitCode;
use std::sync::Arc;
use std::time::Duration;

use heathward::core::{self, Core, Member, Message};
use heathward::load::{self, Rules};
use heathward::net::config::{self, Config, Source};
use heathward::net::discovery;
use heathward::net::http::{self, Front, Room};
use heathward::net::node::{self, Figures, HttpLink, Pool};
use heathward::net::nvme::{self, Map, NvmeLink, Subsystem};
use heathward::net::ops;
use heathward::settings::{Deployment, Wrong};
use tokio::net::TcpListener;
use tokio::signal::unix::{signal, SignalKind};
use tokio::sync::{mpsc, watch};
use tokio::task::AbortHandle;
use tokio::time::{sleep_until, Instant};

/// The platform kills a scheduler so long after SIGTERM, and the longest deadline more, of which it counts no
/// more than that.
const GRACE: Duration = Duration::from_millis(700);
const COUNTED: Duration = Duration::from_secs(3);
/// By then before that everything is answered.
const SPARE: Duration = Duration::from_millis(150);
/// How often the end looks whether anything is still open.
const LOOK: Duration = Duration::from_millis(5);

fn main() -> ExitCode {
    let config = match config::load(std::env::args().skip(1)) {
        Ok(config) => config,
        Err(wrong) => {
            eprintln!("heathward: {wrong}");
            return ExitCode::from(2);
        }
    };
    if let Some((source, rules)) = &config.source {
        list(source, rules);
        return ExitCode::SUCCESS;
    }
    let runtime = tokio::runtime::Builder::new_current_thread().enable_all().build();
    let ran = runtime.and_then(|runtime| runtime.block_on(run(config)));
    match ran {
        Ok(()) => ExitCode::SUCCESS,
        Err(error) => {
            eprintln!("heathward: {error}");
            ExitCode::FAILURE
        }
    }
}

/// Writes what a source of load asks for, a line each, and what was skipped of it.
fn list(source: &Source, rules: &Rules) {
    let found = match source {
        Source::Har(text) => load::har(text, rules),
        Source::AccessLog(text) => load::access_log(text, rules),
    };
    for entry in found {
        match entry {
            Ok(recorded) => println!("{recorded}"),
            Err(skipped) => eprintln!("heathward: skipped {skipped}"),
        }
    }
}

/// What another configuration changes while the program runs.
struct Service {
    core: Core,
    room: Room,
    figures: watch::Sender<Figures>,
    discovery: watch::Sender<SocketAddr>,
    stopping: watch::Receiver<bool>,
    listen: SocketAddr,
    accepting: AbortHandle,
}

/// An eighth of the descriptors is spare. Three are for connections to nodes, of which what each node keeps
/// idle leaves room for the others.
fn figures(deployment: &Deployment, sockets: usize) -> Figures {
    Figures::new(deployment, sockets * 3 / 8, (sockets / 48).max(2))
}

/// The other half is for clients.
fn clients(sockets: usize) -> usize {
    sockets / 2
}

/// Staff have a part of the spare eighth.
fn callers(sockets: usize) -> usize {
    (sockets / 32).max(2)
}

impl Service {
    fn accept(&self, listener: TcpListener) -> AbortHandle {
        let front = Front::new(self.core.clone());
        tokio::spawn(http::serve(listener, front, self.room.clone(), self.stopping.clone())).abort_handle()
    }

    /// Reads the configuration again and goes by it as a whole, or says why the old one stands. Connections
    /// and open requests go on; seed and NVMe front stay as at the start.
    async fn reload(&mut self) -> Result<(), Wrong> {
        let Config { listen, discovery, sockets, known, deployment, .. } = config::reread()?;
        // What may fail comes first.
        let listener = match listen == self.listen {
            true => None,
            false => {
                let bound = TcpListener::bind(listen).await;
                Some(bound.map_err(|e| Wrong { field: "listen".to_owned(), why: e.to_string() })?)
            }
        };
        let figures = figures(&deployment, sockets);
        self.core.settle(Arc::new(deployment)).await?;
        self.figures.send_replace(figures);
        self.room.resize(clients(sockets));
        // Without a core the program ends.
        let _ = self.core.mailbox().send(Message::News(known)).await;
        self.discovery.send_replace(discovery);
        if let Some(listener) = listener {
            let accepting = self.accept(listener);
            std::mem::replace(&mut self.accepting, accepting).abort();
            self.listen = listen;
        }
        Ok(())
    }
}

async fn run(config: Config) -> std::io::Result<()> {
    let Config { listen, ops, discovery, seed, sockets, known, deployment, nvme, .. } = config;
    let mut terminate = signal(SignalKind::terminate())?;
    let mut interrupt = signal(SignalKind::interrupt())?;
    let mut hangup = signal(SignalKind::hangup())?;
    let mut report = signal(SignalKind::user_defined1())?;
    let listener = TcpListener::bind(listen).await?;
    let address = listener.local_addr()?;
    let deployment = Arc::new(deployment);
    let (figures, drawn) = watch::channel(figures(&deployment, sockets));
    let pool = Pool::new(drawn);
    let nvme = nvme.map(Arc::new);
    let map = nvme.clone();
    let dial = move |member: &Member, core: mpsc::Sender<Message>| {
        if let Some((map, target)) = map.as_ref().and_then(|map| Some((map, target(map, member)?))) {
            let link = NvmeLink::new(member.address, &target.subsystem, map.clone());
            return node::spawn(link, pool.clone(), core);
        }
        node::spawn(HttpLink::new(member.address), pool.clone(), core)
    };
    let core = core::start(deployment, seed, Box::new(dial)).map_err(std::io::Error::other)?;
    let revision = known.revision;
    core.mailbox().send(Message::News(known)).await.map_err(std::io::Error::other)?;
    let (discovery, addresses) = watch::channel(discovery);
    tokio::spawn(discovery::follow(addresses, revision, core.mailbox()));
    let (stop, stopping) = watch::channel(false);
    // Receivers that the fronts and the service itself hold.
    let listeners = if nvme.is_some() { 3 } else { 2 };
    if let Some(map) = nvme {
        let listener = TcpListener::bind(map.listen).await?;
        eprintln!("heathward: NVMe front listening on {}", listener.local_addr()?);
        let subsystem = Subsystem::new(map, core.clone(), seed);
        // The spare eighth, but for what the program itself needs.
        let hosts = sockets / 8 - sockets / 32 - callers(sockets);
        tokio::spawn(nvme::serve(listener, subsystem, hosts, stopping.clone()));
    }
    if let Some(ops) = ops {
        let listener = TcpListener::bind(ops).await?;
        eprintln!("heathward: operations on {}", listener.local_addr()?);
        tokio::spawn(ops::serve(listener, core.clone(), callers(sockets)));
    }
    let room = Room::new(clients(sockets));
    let front = Front::new(core.clone());
    let accepting = tokio::spawn(http::serve(listener, front, room.clone(), stopping.clone())).abort_handle();
    let mut service = Service { core, room, figures, discovery, stopping, listen, accepting };
    eprintln!("heathward: listening on {address}");
    loop {
        tokio::select! {
            _ = report.recv() => print(&service.core).await,
            _ = hangup.recv() => {
                let read = service.reload().await;
                service.core.configured(read.is_ok());
                match read {
                    Ok(()) => eprintln!("heathward: configuration read again"),
                    Err(wrong) => eprintln!("heathward: configuration not taken: {wrong}"),
                }
            }
            _ = terminate.recv() => break,
            _ = interrupt.recv() => break,
        }
    }
    let core = service.core.clone();
    let longest = core.deployment().settings.classes.iter().map(|c| c.deadline).max().unwrap_or(0);
    let longest = Duration::from_micros(longest).min(COUNTED);
    // Clients come for a while, and go on for as long as their connections stay open; the next scheduler is
    // not there before this one would have been killed, however soon it ends. So it serves on, as long as
    // what comes can still be answered.
    let told = Instant::now();
    let last = told + longest + GRACE - SPARE;
    core.end_by(last).await;
    sleep_until(told + longest + GRACE / 2).await;
    // Nothing marks a change: whoever listens has it now, or is gone.
    stop.send_replace(true);
    // What is open in the core, and connections whose last answer is on its way: each holds a receiver.
    while (core.status().open > 0 || stop.receiver_count() > listeners) && Instant::now() < last {
        sleep_until(Instant::now() + LOOK).await;
    }
    print(&core).await;
    Ok(())
}

/// What the file says of a storage node that is a target.
fn target<'a>(map: &'a Map, member: &Member) -> Option<&'a nvme::Target> {
    map.targets.iter().find(|target| *target.node == *member.id)
}

async fn print(core: &Core) {
    if let Some(figures) = core.figures().await {
        eprintln!("heathward: counters {}", figures.counters);
    }
}
