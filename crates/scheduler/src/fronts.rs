//! The fronts that clients and NVMe hosts connect to: their listening sockets, the tasks that accept
//! connections on them, and the limits of HTTP connections.

use std::io;
use std::net::SocketAddr;
use std::os::fd::OwnedFd;
use std::sync::Arc;

use heathward_core::CoreHandle;
use heathward_transport::http::{self, ConnectionTable, Front};
use heathward_transport::nvme::{self, Subsystem};
use heathward_transport::socket_buffers::{limit_receive_buffers, limit_send_buffers};
use tokio::sync::watch;
use tokio::task::JoinSet;

use crate::descriptor_budget::ClientConnectionLimits;
use crate::sockets;

/// The NVMe front: its listening socket and the subsystem that it serves.
pub struct NvmeFront {
    /// The listening socket.
    pub socket: OwnedFd,
    /// The subsystem that hosts see.
    pub subsystem: Arc<Subsystem>,
}

/// Both fronts. The listening sockets stay open while a peer process accepts connections, as that process
/// may end first.
pub struct Fronts {
    core: CoreHandle,
    /// The address that the configuration names; its port may be 0.
    http_address: SocketAddr,
    http_socket: OwnedFd,
    nvme: Option<NvmeFront>,
    connections: ConnectionTable,
    /// If set to true, connections close as soon as no request is open on them. Each accepting task and each
    /// connection holds a receiver.
    closing: watch::Sender<bool>,
    /// The tasks that accept connections, one for each front; aborted when dropped. Accepted connections
    /// are tasks of their own and go on.
    accept_tasks: JoinSet<()>,
}

impl Fronts {
    /// Creates fronts that do not accept connections yet.
    pub fn new(
        core: CoreHandle,
        http_address: SocketAddr,
        http_socket: OwnedFd,
        nvme: Option<NvmeFront>,
        limits: ClientConnectionLimits,
    ) -> Self {
        let connections = ConnectionTable::new(limits.capacity);
        connections.resize(limits.capacity, limits.current);
        let (closing, _) = watch::channel(false);
        let accept_tasks = JoinSet::new();
        Self { core, http_address, http_socket, nvme, connections, closing, accept_tasks }
    }

    /// Returns the configured address of the HTTP front.
    pub fn http_address(&self) -> SocketAddr {
        self.http_address
    }

    /// Returns the address that the HTTP front listens on, with the port that the system has chosen if none
    /// is configured.
    ///
    /// # Errors
    /// Returns the operating system's error.
    pub fn local_http_address(&self) -> io::Result<SocketAddr> {
        sockets::listener(&self.http_socket)?.local_addr()
    }

    /// Returns duplicates of the listening sockets, the HTTP front's first, for a process that takes over.
    ///
    /// # Errors
    /// Returns the operating system's error if no descriptors are left.
    pub fn copy_sockets(&self) -> io::Result<Vec<OwnedFd>> {
        let nvme = self.nvme.iter().map(|front| &front.socket);
        std::iter::once(&self.http_socket).chain(nvme).map(OwnedFd::try_clone).collect()
    }

    /// Accepts connections on all fronts, with new tasks that replace the previous ones. NVMe hosts may hold
    /// up to `max_nvme_connections` connections at a time.
    ///
    /// # Errors
    /// Returns the operating system's error if no descriptors are left; the previous tasks then keep running.
    pub fn accept(&mut self, max_nvme_connections: usize) -> io::Result<()> {
        let mut accept_tasks = JoinSet::new();
        limit_send_buffers(&self.http_socket);
        limit_receive_buffers(&self.http_socket);
        let listener = sockets::listener(&self.http_socket)?;
        let front = Front::new(self.core.clone());
        accept_tasks.spawn(http::serve(listener, front, self.connections.clone(), self.closing.subscribe()));
        if let Some(NvmeFront { socket, subsystem }) = &self.nvme {
            limit_receive_buffers(socket);
            let listener = sockets::listener(socket)?;
            accept_tasks.spawn(nvme::serve(
                listener,
                subsystem.clone(),
                max_nvme_connections,
                self.closing.subscribe(),
            ));
        }
        self.accept_tasks = accept_tasks;
        Ok(())
    }

    /// Returns whether connections are accepted. The accepting tasks end only when they are aborted.
    pub fn is_accepting(&self) -> bool {
        !self.accept_tasks.is_empty()
    }

    /// Stops accepting connections; connections that were accepted are still served.
    pub fn stop_accepting(&mut self) {
        self.accept_tasks = JoinSet::new();
    }

    /// Moves the HTTP front to another address, with a listening socket that is already open.
    ///
    /// # Errors
    /// Those of [`Self::accept`].
    pub fn move_http(
        &mut self,
        address: SocketAddr,
        socket: OwnedFd,
        max_nvme_connections: usize,
    ) -> io::Result<()> {
        self.http_socket = socket;
        self.http_address = address;
        self.accept(max_nvme_connections)
    }

    /// Returns whether there is an NVMe front.
    pub fn has_nvme(&self) -> bool {
        self.nvme.is_some()
    }

    /// Sets the limits on HTTP connections.
    pub fn set_limits(&self, limits: ClientConnectionLimits) {
        self.connections.resize(limits.capacity, limits.current);
    }

    /// Closes each connection as soon as no request is open on it.
    pub fn close_connections(&self) {
        self.closing.send_replace(true);
    }

    /// Returns whether any connection is open.
    pub fn has_connections(&self) -> bool {
        // Each connection holds a receiver, and so does each accepting task.
        self.closing.receiver_count() > self.accept_tasks.len()
    }
}
