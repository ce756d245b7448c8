//! The scheduler as a program: configuration, start, other configurations, the end, counters.

use std::io;
use std::net::SocketAddr;
use std::os::fd::OwnedFd;
use std::process::ExitCode;
use std::sync::Arc;
use std::time::Duration;

use heathward_config::{self as config, Config, Source};
use heathward_core::{self as core, Core, Member, Message};
use heathward_load::{self as load, Rules};
use heathward_module::settings::{Deployment, Wrong};
use heathward_wires::discovery;
use heathward_wires::handover::{self, Heard};
use heathward_wires::http::{self, Front, Room};
use heathward_wires::node::{self, Figures, HttpLink, Pool};
use heathward_wires::nvme::{self, Map, NvmeLink, Subsystem};
use heathward_wires::ops;
use tokio::net::{TcpListener, TcpSocket, UnixListener, UnixStream};
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
/// Connections that wait to be accepted at most.
const BACKLOG: u32 = 1024;
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

/// What changes while the program runs: with another configuration, or with another process beside this one.
struct Service {
    core: Core,
    room: Room,
    figures: watch::Sender<Figures>,
    discovery: watch::Sender<SocketAddr>,
    stopping: watch::Receiver<bool>,
    sockets: usize,
    /// Another process of this scheduler runs.
    joint: bool,
    listen: SocketAddr,
    /// The sockets that clients, and hosts where that front is on, connect to. Kept while another process
    /// takes what comes: it may end first.
    listening: Vec<OwnedFd>,
    nvme: Option<Arc<Subsystem>>,
    accepting: Vec<AbortHandle>,
}

/// An eighth of the descriptors is spare. Three are for connections to nodes, of which what each node keeps
/// idle leaves room for the others.
fn figures(deployment: &Deployment, sockets: usize, joint: bool) -> Figures {
    let open = if joint { sockets * 5 / 32 } else { sockets * 3 / 8 };
    Figures::new(deployment, open, (sockets / 48).max(2))
}

/// The other half is for clients. While there are two processes, each has less: clients hold a third at most,
/// and leave the one for the other.
fn clients(sockets: usize, joint: bool) -> (usize, usize) {
    (sockets / 2, if joint { sockets * 3 / 8 } else { sockets / 2 })
}

/// Staff have a part of the spare eighth.
fn callers(sockets: usize) -> usize {
    (sockets / 32).max(2)
}

/// Opens a socket beside which another process may open its own, for want of a better way: nothing that is
/// wrong with a process before this one stops the start.
fn listen(address: SocketAddr) -> io::Result<OwnedFd> {
    let socket = if address.is_ipv4() { TcpSocket::new_v4() } else { TcpSocket::new_v6() }?;
    socket.set_reuseaddr(true)?;
    socket.set_reuseport(true)?;
    socket.bind(address)?;
    Ok(socket.listen(BACKLOG)?.into_std()?.into())
}

/// The one of the sockets that another process handed over, if it listens there, or a new one.
fn listen_on(taken: &mut Vec<OwnedFd>, address: SocketAddr) -> io::Result<OwnedFd> {
    let at = |socket: &OwnedFd| {
        let copy = socket.try_clone().map(std::net::TcpListener::from);
        copy.and_then(|socket| socket.local_addr()).is_ok_and(|at| at == address)
    };
    match taken.iter().position(at) {
        Some(found) => Ok(taken.swap_remove(found)),
        None => listen(address),
    }
}

fn listener(socket: &OwnedFd) -> io::Result<TcpListener> {
    TcpListener::from_std(socket.try_clone()?.into())
}

impl Service {
    /// Takes what comes, on all fronts.
    fn accept(&mut self) -> io::Result<()> {
        let mut accepting = Vec::new();
        for (socket, nvme) in self.listening.iter().zip([None, self.nvme.clone()]) {
            let (listener, stopping) = (listener(socket)?, self.stopping.clone());
            accepting.push(match nvme {
                None => {
                    let (front, room) = (Front::new(self.core.clone()), self.room.clone());
                    tokio::spawn(http::serve(listener, front, room, stopping)).abort_handle()
                }
                Some(subsystem) => {
                    // What is left of the spare eighth, but for what the program itself needs.
                    let hosts = self.sockets / 8 - self.sockets / 32 - callers(self.sockets);
                    tokio::spawn(nvme::serve(listener, subsystem, hosts, stopping)).abort_handle()
                }
            });
        }
        self.accept_no_more();
        self.accepting = accepting;
        Ok(())
    }

    /// What is accepted is served on.
    fn accept_no_more(&mut self) {
        self.accepting.drain(..).for_each(|accepting| accepting.abort());
    }

    /// From now on descriptors are shared with another process, or no longer.
    fn share(&mut self, joint: bool) {
        self.joint = joint;
        self.figures.send_replace(figures(&self.core.deployment(), self.sockets, joint));
        let (most, cap) = clients(self.sockets, joint);
        self.room.resize(most, cap);
    }

    /// Another process of this scheduler has begun to start, serves, or is gone.
    fn hear(&mut self, heard: Heard) -> io::Result<()> {
        self.share(heard != Heard::Gone);
        match heard {
            Heard::Starting => {}
            Heard::Serves => {
                self.accept_no_more();
                self.core.replace(true);
            }
            Heard::Gone => {
                self.core.replace(false);
                if self.accepting.is_empty() {
                    self.accept()?;
                }
            }
        }
        Ok(())
    }

    /// Reads the configuration again and goes by it as a whole, or says why the old one stands. Connections
    /// and open requests go on; seed, NVMe front and second address stay as at the start.
    async fn reload(&mut self) -> Result<(), Wrong> {
        let Config { listen: address, discovery, sockets, known, deployment, .. } = config::reread()?;
        let unbound = |e: io::Error| Wrong { field: "listen".to_owned(), why: e.to_string() };
        // What may fail comes first.
        let moved = match address == self.listen {
            true => None,
            false => Some(listen(address).map_err(unbound)?),
        };
        self.core.settle(Arc::new(deployment)).await?;
        self.sockets = sockets;
        self.share(self.joint);
        // Without a core the program ends.
        let _ = self.core.mailbox().send(Message::News(known)).await;
        self.discovery.send_replace(discovery);
        if let Some(socket) = moved {
            self.listening[0] = socket;
            self.listen = address;
            self.accept().map_err(unbound)?;
        }
        Ok(())
    }

    /// Connections and accepting tasks that are left, this aside: each holds a receiver.
    fn busy(&self, stop: &watch::Sender<bool>) -> bool {
        self.core.status().open > 0 || stop.receiver_count() > self.accepting.len() + 1
    }
}

async fn run(config: Config) -> io::Result<()> {
    let Config { listen, ops, discovery, seed, sockets, known, deployment, nvme, .. } = config;
    let mut terminate = signal(SignalKind::terminate())?;
    let mut interrupt = signal(SignalKind::interrupt())?;
    let mut hangup = signal(SignalKind::hangup())?;
    let mut report = signal(SignalKind::user_defined1())?;
    let meeting = handover::path(listen);
    let mut taken = match &meeting {
        Some(path) => handover::take(path).await,
        None => None,
    };
    let mut handed = taken.as_mut().map(|taken| std::mem::take(&mut taken.sockets)).unwrap_or_default();
    let mut listening = vec![listen_on(&mut handed, listen)?];
    let address = listener(&listening[0])?.local_addr()?;
    let deployment = Arc::new(deployment);
    let joint = taken.is_some();
    let (figures, drawn) = watch::channel(figures(&deployment, sockets, joint));
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
    let core = core::start(deployment, seed, Box::new(dial)).map_err(io::Error::other)?;
    let revision = taken.as_ref().map_or(0, |taken| taken.state.list.revision).max(known.revision);
    core.mailbox().send(Message::News(known)).await.map_err(io::Error::other)?;
    let (discovery, addresses) = watch::channel(discovery);
    let (stop, stopping) = watch::channel(false);
    let nvme = match nvme {
        None => None,
        Some(map) => {
            let socket = listen_on(&mut handed, map.listen)?;
            eprintln!("heathward: NVMe front listening on {}", listener(&socket)?.local_addr()?);
            listening.push(socket);
            Some(Subsystem::new(map, core.clone(), seed))
        }
    };
    let (most, cap) = clients(sockets, joint);
    let room = Room::new(most);
    room.resize(most, cap);
    let accepting = Vec::new();
    let mut service = Service {
        core: core.clone(),
        room,
        figures,
        discovery,
        stopping,
        sockets,
        joint,
        listen,
        listening,
        nvme,
        accepting,
    };
    service.accept()?;
    let (tell, mut heard) = mpsc::channel(8);
    if let Some(taken) = taken {
        taken.serve(core.clone(), tell.clone()).await;
        eprintln!("heathward: took over from the process before");
    }
    tokio::spawn(discovery::follow(addresses, revision, core.mailbox(), seed));
    if let Some(ops) = ops {
        let listener = TcpListener::bind(ops).await?;
        eprintln!("heathward: operations on {}", listener.local_addr()?);
        tokio::spawn(ops::serve(listener, core.clone(), callers(sockets)));
    }
    // Without a meeting place there is no handover, and all else works.
    let mut door = meeting.as_ref().and_then(|path| handover::open(path).ok());
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
            Some(stream) = come(&door), if !service.joint => {
                let sockets = service.listening.iter().map(OwnedFd::try_clone).collect::<io::Result<_>>()?;
                // Until it is known to be one, it is none; two at a time are one too many.
                service.joint = true;
                tokio::spawn(handover::give(stream, core.clone(), sockets, tell.clone()));
            }
            Some(heard) = heard.recv() => {
                eprintln!("heathward: the process beside this one: {heard:?}");
                service.hear(heard)?;
                if let (Heard::Gone, Some(path)) = (heard, &meeting) {
                    // The other one had taken the meeting place over.
                    door = handover::open(path).ok();
                }
            }
            _ = terminate.recv() => break,
            _ = interrupt.recv() => break,
        }
    }
    // Whoever starts from now on finds nobody to ask, and does not wait for an answer.
    drop(door);
    let longest = core.deployment().settings.classes.iter().map(|c| c.deadline).max().unwrap_or(0);
    let longest = Duration::from_micros(longest).min(COUNTED);
    // Clients come for a while, and go on for as long as their connections stay open; the next scheduler is
    // not there before this one would have been killed, however soon it ends. So it serves on, as long as
    // what comes can still be answered. With another in its place, it ends once nothing is left.
    let told = Instant::now();
    let last = told + longest + GRACE - SPARE;
    let closing = told + longest + GRACE / 2;
    core.end_by(last).await;
    let replaced = core.doors().borrow().replaced;
    while Instant::now() < closing && (!replaced || service.busy(&stop)) {
        sleep_until((Instant::now() + LOOK * 4).min(closing)).await;
    }
    // Nothing marks a change: whoever listens has it now, or is gone.
    stop.send_replace(true);
    // What is open in the core, and connections whose last answer is on its way.
    while service.busy(&stop) && Instant::now() < last {
        sleep_until(Instant::now() + LOOK).await;
    }
    print(&core).await;
    Ok(())
}

/// The next process that comes to the meeting place, if there is one.
async fn come(door: &Option<UnixListener>) -> Option<UnixStream> {
    door.as_ref()?.accept().await.ok().map(|(stream, _)| stream)
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
