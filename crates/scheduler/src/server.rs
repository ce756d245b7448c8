//! The running scheduler: the changes that a reload or a peer process makes to it, and the tasks that it
//! owns.

use std::future::Future;
use std::io;
use std::pin::Pin;
use std::sync::Arc;

use heathward_config::{self as config, Config, FileArguments};
use heathward_core::{resident_memory, CoreHandle, CoreMessage};
use heathward_logs::Logs;
use heathward_policy::settings::ConfigError;
use heathward_transport::discovery::DiscoveryAddress;
use heathward_transport::node::PoolLimits;
use tokio::sync::watch;
use tokio::task::JoinSet;
use tokio::time::Instant;

use crate::descriptor_budget::DescriptorBudget;
use crate::fronts::Fronts;
use crate::memory_budget::MemoryShares;
use crate::memory_watch::MemoryWatch;
use crate::recording::EventRecording;
use crate::sockets;

/// A reload in progress: resolves to the configuration once the files are read.
pub type PendingReload = Pin<Box<dyn Future<Output = Result<Config, ConfigError>>>>;

/// The running scheduler.
pub struct Server {
    /// Schedules requests, and owns the state of requests and storage nodes.
    pub core: CoreHandle,
    /// The fronts that clients and NVMe hosts connect to.
    pub fronts: Fronts,
    /// The division of the process's file descriptors.
    pub descriptors: DescriptorBudget,
    /// The division of the process's memory.
    pub memory: MemoryShares,
    /// The limits of connections to storage nodes, which the connection pool follows.
    pub node_limits: watch::Sender<PoolLimits>,
    /// The address of discovery, which the watch of the endpoint list follows.
    pub discovery_address: watch::Sender<DiscoveryAddress>,
    /// The files that the command line names, to be read again.
    pub files: FileArguments,
    /// The log's format and filter.
    pub logs: Logs,
    /// The event recorder.
    pub recording: EventRecording,
    /// Tasks that run as long as the server, such as the watch of the endpoint list and the admin
    /// interface. Nothing waits for them; they are aborted when the server is dropped.
    pub background: JoinSet<()>,
}

impl Server {
    /// Runs a task until it ends or the server is dropped.
    pub fn spawn(&mut self, task: impl Future<Output = ()> + Send + 'static) {
        // Finished tasks need not be kept.
        while self.background.try_join_next().is_some() {}
        self.background.spawn(task);
    }

    /// Keeps further processes from connecting. The descriptors are divided by [`Self::set_peer_running`],
    /// once the process that has connected is known to be a scheduler.
    pub fn block_further_peers(&mut self) {
        self.descriptors.peer_running = true;
    }

    /// Records whether a peer process runs, and divides the descriptors and the memory accordingly.
    pub fn set_peer_running(&mut self, peer_running: bool) {
        self.descriptors.peer_running = peer_running;
        self.memory.peer_running = peer_running;
        self.apply_budgets();
    }

    /// Measures the memory that the process holds, and divides the limit anew if the program itself holds
    /// more or less than before.
    pub fn measure_memory(&mut self, watch: &mut MemoryWatch) {
        // If the system does not tell it, the last measurement stands.
        let Some(resident) = resident_memory() else { return };
        if self.memory.measure(resident, self.core.memory().usage().total()) {
            self.apply_budgets();
        }
        watch.check(resident.total, self.memory.max_bytes, self.core.memory());
    }

    /// Lets the peer process accept all new connections. A connection that is open here is closed with the
    /// answer to its next request, so that its client connects to the peer process.
    pub fn yield_to_peer(&mut self) {
        self.fronts.stop_accepting();
        self.core.set_replaced(true);
    }

    /// Accepts connections again, as the peer process has exited.
    ///
    /// # Errors
    /// Returns the operating system's error if no descriptors are left.
    pub fn resume_from_peer(&mut self) -> io::Result<()> {
        self.core.set_replaced(false);
        if !self.fronts.is_accepting() {
            self.fronts.accept(self.descriptors.nvme_host_connections())?;
        }
        Ok(())
    }

    /// Starts reading the configuration and the operator file again.
    pub fn start_reload(&self) -> PendingReload {
        Box::pin(read_files(self.files.clone()))
    }

    /// Applies the files that were read again, and logs whether they were accepted. `announced_at` is the
    /// earliest time at which the signal that requested the reload may have been sent.
    pub async fn finish_reload(&mut self, reloaded: Result<Config, ConfigError>, announced_at: Instant) {
        let applied = match reloaded {
            Ok(config) => self.apply(config, announced_at).await,
            Err(error) => Err(error),
        };
        self.core.count_configuration_reload(applied.is_ok());
        match applied {
            Ok(()) => tracing::info!("configuration reloaded"),
            Err(error) => tracing::error!("configuration rejected: {error}"),
        }
    }

    /// Applies the files as a whole, or changes nothing. Connections and open requests continue; the seed,
    /// the NVMe front and the address of the admin interface stay as they were at startup.
    async fn apply(&mut self, config: Config, announced_at: Instant) -> Result<(), ConfigError> {
        let Config {
            name,
            listen_address,
            discovery_address,
            max_descriptors,
            max_memory_bytes,
            cached_endpoints,
            deployment,
            operator_settings,
            ..
        } = config;
        // The address is bound and the settings are checked first, so that a rejected configuration changes
        // nothing. After that only a lack of descriptors can fail.
        let new_socket = match listen_address == self.fronts.http_address() {
            true => None,
            false => Some(sockets::bind(listen_address).map_err(listen_error)?),
        };
        self.core.update_settings(Arc::new(deployment)).await?;
        self.logs.reconfigure(operator_settings.log.format, operator_settings.log.filter);
        self.recording.apply(operator_settings.recorder, &name, &self.core).await;
        self.descriptors.max_descriptors = max_descriptors;
        self.memory.max_bytes = max_memory_bytes;
        self.apply_budgets();
        // The send fails only if the core has stopped, and then the program ends.
        let _ = self.core.discovery_sender().send(CoreMessage::EndpointUpdate(cached_endpoints)).await;
        self.discovery_address
            .send_replace(DiscoveryAddress { address: discovery_address, current_since: announced_at });
        if let Some(socket) = new_socket {
            let moved =
                self.fronts.move_http(listen_address, socket, self.descriptors.nvme_host_connections());
            moved.map_err(listen_error)?;
        }
        Ok(())
    }

    /// Returns whether a request or a connection is open.
    pub fn is_busy(&self) -> bool {
        self.core.status().open_requests > 0 || self.fronts.has_connections()
    }

    /// Writes the counters to the log.
    pub async fn report_counters(&self) {
        if let Some(metrics) = self.core.metrics().await {
            tracing::info!("counters {}", metrics.counters);
        }
    }

    fn apply_budgets(&self) {
        let limits = self.memory.limits(&self.descriptors, self.fronts.has_nvme());
        self.core.memory().set_limits(limits.memory);
        self.node_limits.send_replace(self.descriptors.node_limits(&self.core.deployment()));
        self.fronts.set_limits(limits.clients);
    }
}

fn listen_error(error: io::Error) -> ConfigError {
    ConfigError { field: "listen".to_owned(), reason: error.to_string() }
}

/// Reads all files again. An operator file is evaluated on a thread of its own, as that takes a while.
async fn read_files(files: FileArguments) -> Result<Config, ConfigError> {
    if files.operator.is_none() {
        return config::load(&files);
    }
    let read = tokio::task::spawn_blocking(move || config::load(&files)).await;
    read.unwrap_or_else(|error| {
        Err(ConfigError { field: "operator file".to_owned(), reason: error.to_string() })
    })
}
