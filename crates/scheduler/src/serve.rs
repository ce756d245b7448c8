//! The scheduler at work: signals, other configurations, another process beside it.

use std::io;
use std::net::SocketAddr;
use std::os::fd::OwnedFd;
use std::sync::Arc;
use std::time::Duration;

use heathward_config::{self as config, Config, FileArguments};
use heathward_core::{CoreHandle, CoreMessage, CoreStopped};
use heathward_discovery_pacing::FleetPosition;
use heathward_logs::Logs;
use heathward_policy::settings::ConfigError;
use heathward_transport::backoff::ReconnectPolicy;
use heathward_transport::http::{self, ConnectionTable, Front};
use heathward_transport::node::{Limits, Pool};
use heathward_transport::nvme::{self, Subsystem};
use heathward_transport::{admin, discovery};
use tokio::net::TcpListener;
use tokio::signal::unix::{signal, Signal, SignalKind};
use tokio::sync::watch;
use tokio::task::AbortHandle;
use tokio::time::interval;

use crate::handover::Meeting;
use crate::recording::Records;
use crate::{core_start as start, handover as takeover, shutdown};

/// How often it is looked whether lines of the log were dropped.
const TELL: Duration = Duration::from_secs(1);

/// What changes while the program runs: with another configuration, or with another process beside this one.
pub struct Service {
    core: CoreHandle,
    connections: ConnectionTable,
    limits: watch::Sender<Limits>,
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
    /// What the arguments name, to be read again.
    files: FileArguments,
    logs: Logs,
    records: Records,
}

impl Service {
    /// The way to the core.
    pub fn core(&self) -> &CoreHandle {
        &self.core
    }

    /// Takes what comes, on all fronts.
    fn accept(&mut self) -> io::Result<()> {
        let mut accepting = Vec::new();
        for (socket, nvme) in self.listening.iter().zip([None, self.nvme.clone()]) {
            let (listener, stopping) = (start::listener(socket)?, self.stopping.clone());
            accepting.push(match nvme {
                None => {
                    let (front, connections) = (Front::new(self.core.clone()), self.connections.clone());
                    tokio::spawn(http::serve(listener, front, connections, stopping)).abort_handle()
                }
                Some(subsystem) => {
                    let hosts = start::nvme_hosts(self.sockets);
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
    pub fn share(&mut self, joint: bool) {
        self.joint = joint;
        self.limits.send_replace(start::node_limits(&self.core.deployment(), self.sockets, joint));
        let (most, cap) = start::client_limits(self.sockets, joint);
        self.connections.resize(most, cap);
    }

    /// The other process takes what comes.
    pub fn leave_to_other(&mut self) {
        self.accept_no_more();
        self.core.set_replaced(true);
    }

    /// The other process is gone; this one takes what comes.
    pub fn take_back(&mut self) -> io::Result<()> {
        self.core.set_replaced(false);
        if self.accepting.is_empty() {
            self.accept()?;
        }
        Ok(())
    }

    /// Reads the configuration again and goes by it as a whole, or says why the old one stands. Connections
    /// and open requests go on; seed, NVMe front and second address stay as at the start.
    async fn reload(&mut self) -> Result<(), ConfigError> {
        let Config {
            name,
            listen_address: address,
            discovery_address: discovery,
            max_descriptors: sockets,
            cached_endpoints: known,
            deployment,
            operator_settings: operator,
            ..
        } = reread(&self.files).await?;
        let unbound = |e: io::Error| ConfigError { field: "listen".to_owned(), reason: e.to_string() };
        // What may fail comes first.
        let moved = match address == self.listen {
            true => None,
            false => Some(start::listen(address).map_err(unbound)?),
        };
        self.core.update_settings(Arc::new(deployment)).await?;
        self.logs.change(operator.log.format, operator.log.filter);
        self.records.keep(operator.recorder, &name, &self.core).await;
        self.sockets = sockets;
        self.share(self.joint);
        // Without a core the program ends.
        let _ = self.core.discovery_sender().send(CoreMessage::EndpointUpdate(known)).await;
        self.discovery.send_replace(discovery);
        if let Some(socket) = moved {
            self.listening[0] = socket;
            self.listen = address;
            self.accept().map_err(unbound)?;
        }
        Ok(())
    }

    /// Connections and accepting tasks that are left, this aside: each holds a receiver.
    pub fn busy(&self, stop: &watch::Sender<bool>) -> bool {
        self.core.status().open_requests > 0 || stop.receiver_count() > self.accepting.len() + 1
    }
}

/// The signals that the program heeds; heeded from the first moment on.
struct Signals {
    terminate: Signal,
    interrupt: Signal,
    hangup: Signal,
    report: Signal,
}

impl Signals {
    fn heed() -> io::Result<Self> {
        Ok(Self {
            terminate: signal(SignalKind::terminate())?,
            interrupt: signal(SignalKind::interrupt())?,
            hangup: signal(SignalKind::hangup())?,
            report: signal(SignalKind::user_defined1())?,
        })
    }
}

/// Serves until a signal ends it.
pub async fn run(config: Config, files: FileArguments) -> io::Result<()> {
    let Config {
        name,
        listen_address: listen,
        admin_address: ops,
        discovery_address: discovery,
        seed,
        max_descriptors: sockets,
        cached_endpoints: known,
        deployment,
        nvme_map: nvme,
        operator_settings: operator,
        ..
    } = config;
    let logs = heathward_logs::start(operator.log.format, operator.log.filter);
    let mut signals = Signals::heed()?;
    let (mut meeting, mut phases, mut taken) = Meeting::come(listen).await;
    let mut handed =
        taken.as_mut().map(|taken| std::mem::take(&mut taken.listening_sockets)).unwrap_or_default();
    let mut listening = vec![start::listen_on(&mut handed, listen)?];
    let address = start::listener(&listening[0])?.local_addr()?;
    let (deployment, joint) = (Arc::new(deployment), taken.is_some());
    let (limits, drawn) = watch::channel(start::node_limits(&deployment, sockets, joint));
    let nvme = nvme.map(Arc::new);
    let core = start::core(deployment, seed, Pool::new(drawn), nvme.clone())?;
    let revision = taken.as_ref().map_or(0, |taken| taken.state.endpoint_list.revision).max(known.revision);
    core.discovery_sender()
        .send(CoreMessage::EndpointUpdate(known))
        .await
        .map_err(|_| io::Error::other(CoreStopped))?;
    let (discovery, addresses) = watch::channel(discovery);
    let (stop, stopping) = watch::channel(false);
    let nvme = match nvme {
        None => None,
        Some(map) => {
            let socket = start::listen_on(&mut handed, map.listen)?;
            tracing::info!("NVMe front listening on {}", start::listener(&socket)?.local_addr()?);
            listening.push(socket);
            Some(Subsystem::new(map, core.clone(), seed))
        }
    };
    let (most, cap) = start::client_limits(sockets, joint);
    let connections = ConnectionTable::new(most);
    connections.resize(most, cap);
    let mut service = Service {
        core: core.clone(),
        connections,
        limits,
        discovery,
        stopping,
        sockets,
        joint,
        listen,
        listening,
        nvme,
        accepting: Vec::new(),
        files,
        logs,
        records: Records::default(),
    };
    service.records.keep(operator.recorder, &name, &core).await;
    service.accept()?;
    if let Some(taken) = taken {
        meeting.go_on(taken, core.clone()).await;
    }
    let (lists, place) = {
        let settings = &core.deployment().settings;
        (
            settings.endpoint_list_mode,
            FleetPosition { scheduler_index: settings.scheduler_index, schedulers: settings.schedulers },
        )
    };
    let pace = ReconnectPolicy::new(lists, place, seed);
    tokio::spawn(discovery::watch_endpoints(addresses, revision, lists, core.discovery_sender(), pace));
    if let Some(ops) = ops {
        let listener = TcpListener::bind(ops).await?;
        tracing::info!("operations on {}", listener.local_addr()?);
        tokio::spawn(admin::serve(listener, core.clone(), start::staff_connections(sockets)));
    }
    meeting.open();
    tracing::info!("listening on {address}");
    let (mut untold, mut told) = (interval(TELL), 0);
    loop {
        tokio::select! {
            _ = untold.tick() => {
                tell_dropped(&service.logs, &mut told);
                service.records.tell();
            }
            _ = signals.report.recv() => print(&service.core).await,
            _ = signals.hangup.recv() => reload(&mut service).await,
            Some(stream) = meeting.next(), if !service.joint => {
                // Until it is known to be one, it is none; two at a time are one too many.
                service.joint = true;
                meeting.give(stream, core.clone(), &service.listening)?;
            }
            Some(phase) = phases.recv() => takeover::follow(phase, &mut service, &mut meeting)?,
            _ = signals.terminate.recv() => break,
            _ = signals.interrupt.recv() => break,
        }
    }
    // Whoever starts from now on finds nobody to ask, and does not wait for an answer.
    drop(meeting);
    shutdown::finish(&service, &stop).await;
    service.records.finish(&core).await;
    print(&core).await;
    Ok(())
}

/// Reads all files again. An operator file is evaluated on a thread of its own, as that takes a while.
async fn reread(files: &FileArguments) -> Result<Config, ConfigError> {
    if files.operator.is_none() {
        return config::load(files);
    }
    let files = files.clone();
    let read = tokio::task::spawn_blocking(move || config::load(&files)).await;
    read.unwrap_or_else(|e| Err(ConfigError { field: "operator file".to_owned(), reason: e.to_string() }))
}

/// Says how many lines of the log were dropped since that was said last.
fn tell_dropped(logs: &Logs, told: &mut usize) {
    let dropped = logs.dropped();
    if dropped > *told {
        tracing::warn!(lines = dropped - *told, "log lines were dropped");
        *told = dropped;
    }
}

async fn reload(service: &mut Service) {
    let read = service.reload().await;
    service.core.count_configuration_reload(read.is_ok());
    match read {
        Ok(()) => tracing::info!("configuration read again"),
        Err(error) => tracing::error!("configuration not taken: {error}"),
    }
}

async fn print(core: &CoreHandle) {
    if let Some(metrics) = core.metrics().await {
        tracing::info!("counters {}", metrics.counters);
    }
}
