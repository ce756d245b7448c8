//! The scheduler as a program: configuration, start, the end after SIGTERM or SIGINT, counters.
#![forbid(unsafe_code)]

use std::process::ExitCode;
use std::sync::Arc;
use std::time::Duration;

use heathward::core::{self, Core, Member, Message};
use heathward::load::{self, Rules};
use heathward::net::config::{self, Config, Source};
use heathward::net::discovery;
use heathward::net::http::{self, Front, Room};
use heathward::net::node::{self, HttpLink, Pool};
use heathward::net::nvme::{self, Map, NvmeLink, Subsystem};
use tokio::net::TcpListener;
use tokio::signal::unix::{signal, SignalKind};
use tokio::sync::{mpsc, watch};
use tokio::time::{sleep_until, Instant};

/// Clients still come on new connections for up to 0.4 s after SIGTERM.
const STILL_COMING: Duration = Duration::from_millis(500);
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

async fn run(config: Config) -> std::io::Result<()> {
    let Config { listen, discovery, seed, sockets, known, deployment, nvme, .. } = config;
    let mut terminate = signal(SignalKind::terminate())?;
    let mut interrupt = signal(SignalKind::interrupt())?;
    let mut report = signal(SignalKind::user_defined1())?;
    let listener = TcpListener::bind(listen).await?;
    let address = listener.local_addr()?;
    let deployment = Arc::new(deployment);
    // Half of the descriptors for nodes, an eighth spare, the rest for clients.
    let pool = Pool::new(deployment.idle, sockets / 2, (sockets / 32).max(2));
    let connect = Duration::from_micros(deployment.connect.max(1));
    let nvme = nvme.map(Arc::new);
    let map = nvme.clone();
    let dial = move |member: &Member, core: mpsc::Sender<Message>| {
        if let Some((map, target)) = map.as_ref().and_then(|map| Some((map, target(map, member)?))) {
            let link = NvmeLink::new(member.address, &target.subsystem, map.clone(), connect);
            return node::spawn(link, pool.clone(), core);
        }
        node::spawn(HttpLink::new(member.address, connect), pool.clone(), core)
    };
    let core = core::start(deployment.clone(), seed, Box::new(dial)).map_err(std::io::Error::other)?;
    let revision = known.revision;
    core.mailbox().send(Message::News(known)).await.map_err(std::io::Error::other)?;
    tokio::spawn(discovery::follow(discovery, revision, core.mailbox()));
    let (stop, stopping) = watch::channel(false);
    let front = Front::new(core.clone(), deployment.clone());
    let most = sockets - sockets / 2 - sockets / 8;
    if let Some(map) = nvme {
        let listener = TcpListener::bind(map.listen).await?;
        eprintln!("heathward: NVMe front listening on {}", listener.local_addr()?);
        let subsystem = Subsystem::new(map, deployment.clone(), core.clone(), seed);
        // The spare eighth, but for what the program itself needs.
        tokio::spawn(nvme::serve(listener, subsystem, sockets / 8 - sockets / 32, stopping.clone()));
    }
    tokio::spawn(http::serve(listener, front, Room::new(most), stopping));
    eprintln!("heathward: listening on {address}");
    loop {
        tokio::select! {
            _ = report.recv() => print(&core).await,
            _ = terminate.recv() => break,
            _ = interrupt.recv() => break,
        }
    }
    // Nothing marks a change: whoever listens has it now, or is gone.
    stop.send_replace(true);
    let still_coming = Instant::now() + STILL_COMING;
    let longest = deployment.settings.classes.iter().map(|c| c.deadline).max().unwrap_or(0);
    let last = still_coming + Duration::from_micros(longest);
    sleep_until(still_coming).await;
    // What is open in the core, and connections whose last answer is on its way: each holds a receiver.
    while (core.status().open > 0 || stop.receiver_count() > 1) && Instant::now() < last {
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
    if let Some(counters) = core.counters().await {
        eprintln!("heathward: counters {counters}");
    }
}
