//! Starts the scheduler from its configuration: sockets, core, fronts, the watch of the endpoint list and
//! the admin interface, in this order. The fronts need the core to answer requests; connections are
//! accepted before a handover is completed, so that there is a process that accepts them at any time.

use std::io;
use std::net::SocketAddr;
use std::os::fd::OwnedFd;
use std::sync::Arc;

use heathward_config::{Config, FileArguments};
use heathward_core::{resident_memory, CoreHandle, CoreMessage, CoreStopped};
use heathward_discovery_pacing::FleetPosition;
use heathward_logs::Logs;
use heathward_transport::backoff::ReconnectPolicy;
use heathward_transport::discovery::DiscoveryAddress;
use heathward_transport::handover::ReceivedHandover;
use heathward_transport::node::ConnectionPool;
use heathward_transport::nvme::{NvmeMap, Subsystem};
use heathward_transport::{admin, discovery};
use tokio::net::TcpListener;
use tokio::sync::watch;
use tokio::task::JoinSet;

use crate::descriptor_budget::DescriptorBudget;
use crate::fronts::{Fronts, NvmeFront};
use crate::handover::HandoverSocket;
use crate::memory_budget::MemoryShares;
use crate::recording::EventRecording;
use crate::server::Server;
use crate::{core_start, sockets};

/// Starts the scheduler. The state and the sockets that a running process has handed over are taken over;
/// that process stops accepting connections once this one accepts them.
///
/// # Errors
/// Returns an error if an address cannot be bound, if the decision module rejects the settings, or if the
/// operating system reports one.
pub async fn start(
    config: Config,
    files: FileArguments,
    logs: Logs,
    handover: &HandoverSocket,
    mut received: Option<ReceivedHandover>,
) -> io::Result<Server> {
    let Config {
        listen_address,
        seed,
        max_descriptors,
        max_memory_bytes,
        cached_endpoints,
        operator_settings,
        ..
    } = config;
    let mut inherited =
        received.as_mut().map(|previous| std::mem::take(&mut previous.listening_sockets)).unwrap_or_default();
    let http_socket = sockets::inherit_or_bind(&mut inherited, listen_address)?;
    let deployment = Arc::new(config.deployment);
    let descriptors = DescriptorBudget { max_descriptors, peer_running: received.is_some() };
    let program = resident_memory().unwrap_or_default();
    let memory = MemoryShares::new(max_memory_bytes, program, received.is_some());
    let limits = memory.limits(&descriptors, config.nvme_map.is_some());
    let (node_limits, pool_limits) = watch::channel(descriptors.node_limits(&deployment));
    let nvme_map = config.nvme_map.map(Arc::new);
    let core = core_start::start(deployment, seed, ConnectionPool::new(pool_limits), nvme_map.clone())?;
    core.memory().set_limits(limits.memory);
    // The watch begins with the changes after the newer of the inherited and the cached list.
    let inherited_revision = received.as_ref().map_or(0, |received| received.state.endpoint_list.revision);
    let revision = inherited_revision.max(cached_endpoints.revision);
    let cached = CoreMessage::EndpointUpdate(cached_endpoints);
    core.discovery_sender().send(cached).await.map_err(|_| io::Error::other(CoreStopped))?;
    let nvme = match nvme_map {
        None => None,
        Some(map) => Some(open_nvme_front(map, &mut inherited, core.clone(), seed)?),
    };
    let fronts = Fronts::new(core.clone(), listen_address, http_socket, nvme, limits.clients);
    let (discovery_address, watched_address) =
        watch::channel(DiscoveryAddress::from_now(config.discovery_address));
    let recording = EventRecording::default();
    let background = JoinSet::new();
    let mut server = Server {
        core,
        fronts,
        descriptors,
        memory,
        node_limits,
        discovery_address,
        files,
        logs,
        recording,
        background,
    };
    server.recording.apply(operator_settings.recorder, &config.name, &server.core).await;
    server.fronts.accept(descriptors.nvme_host_connections())?;
    if let Some(received) = received {
        handover.complete(received, server.core.clone()).await;
    }
    watch_endpoints(&mut server, watched_address, revision, seed);
    if let Some(address) = config.admin_address {
        serve_admin(&mut server, address).await?;
    }
    Ok(server)
}

/// Opens or inherits the socket of the NVMe front. No connections are accepted yet.
fn open_nvme_front(
    map: Arc<NvmeMap>,
    inherited: &mut Vec<OwnedFd>,
    core: CoreHandle,
    seed: u64,
) -> io::Result<NvmeFront> {
    let socket = sockets::inherit_or_bind(inherited, map.listen)?;
    tracing::info!("NVMe front listening on {}", sockets::listener(&socket)?.local_addr()?);
    Ok(NvmeFront { socket, subsystem: Subsystem::new(map, core, seed) })
}

/// Starts the watch that keeps the core's endpoint list up to date, beginning with the changes after
/// `revision`.
fn watch_endpoints(
    server: &mut Server,
    address: watch::Receiver<DiscoveryAddress>,
    revision: u64,
    seed: u64,
) {
    let settings = &server.core.deployment().settings;
    let mode = settings.endpoint_list_mode;
    let position =
        FleetPosition { scheduler_index: settings.scheduler_index, schedulers: settings.schedulers };
    let policy = ReconnectPolicy::new(mode, position, seed);
    let core = server.core.discovery_sender();
    server.spawn(discovery::watch_endpoints(address, revision, mode, core, policy));
}

/// Binds the address of the admin interface, and starts to serve it.
async fn serve_admin(server: &mut Server, address: SocketAddr) -> io::Result<()> {
    let listener = TcpListener::bind(address).await?;
    tracing::info!("admin interface listening on {}", listener.local_addr()?);
    server.spawn(admin::serve(listener, server.core.clone(), server.descriptors.admin_connections()));
    Ok(())
}
