//! Divides the file descriptors that the process may hold.
//!
//! Half of them are for clients, three eighths for connections to storage nodes, and an eighth is for
//! everything else: NVMe hosts, the admin interface, and what the program needs itself. While a peer
//! process of the same scheduler runs, both count against the same limit and each takes less.

use heathward_policy::settings::Deployment;
use heathward_transport::http::closing_capacity;
use heathward_transport::node::PoolLimits;

/// The lower bound of the limit on idle connections to each storage node.
const MIN_IDLE_PER_NODE: usize = 2;
/// The lower bound of the limit on connections to the admin interface.
const MIN_ADMIN_CONNECTIONS: usize = 2;

/// The descriptors of this process, and whether a peer process shares them.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct DescriptorBudget {
    /// Descriptors that the configuration allows the scheduler.
    pub max_descriptors: usize,
    /// Whether a peer process of the same scheduler runs.
    pub peer_running: bool,
}

/// The limits on client connections of the HTTP front.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct ClientConnectionLimits {
    /// The limit on open connections without a peer process. Once at least half as many are open, idle
    /// connections are closed early.
    pub capacity: usize,
    /// The current limit on open connections: fewer than the capacity while a peer process runs. Those
    /// that are open already stay when the limit falls.
    pub current: usize,
}

impl ClientConnectionLimits {
    /// Returns these limits, but at most `max_connections` connections.
    pub fn limited_to(self, max_connections: usize) -> Self {
        Self { capacity: self.capacity.min(max_connections), current: self.current.min(max_connections) }
    }
}

impl DescriptorBudget {
    /// Returns the limits on connections to storage nodes: 3/8 of the descriptors, or 5/32 while a peer
    /// process runs, so that both processes together stay below 3/8. Idle connections are limited per node,
    /// so that those to many nodes leave descriptors for connections to the others.
    pub fn node_limits(&self, deployment: &Deployment) -> PoolLimits {
        let total = self.max_descriptors;
        let open = if self.peer_running { total * 5 / 32 } else { total * 3 / 8 };
        PoolLimits::new(deployment, open, (total / 48).max(MIN_IDLE_PER_NODE))
    }

    /// Returns the limits on client connections: half of the descriptors, or 3/8 while a peer process runs,
    /// less the descriptors that the front needs for connections that it is closing.
    pub fn client_limits(&self) -> ClientConnectionLimits {
        let without_closing = |share: usize| share - closing_capacity(share).min(share / 2);
        let alone = self.max_descriptors / 2;
        let current = if self.peer_running { self.max_descriptors * 3 / 8 } else { alone };
        ClientConnectionLimits { capacity: without_closing(alone), current: without_closing(current) }
    }

    /// Returns the limit on connections to the admin interface.
    pub fn admin_connections(&self) -> usize {
        (self.max_descriptors / 32).max(MIN_ADMIN_CONNECTIONS)
    }

    /// Returns the limit on connections of NVMe hosts: an eighth of the descriptors, less 1/32 for the
    /// program itself and less the connections of the admin interface.
    pub fn nvme_host_connections(&self) -> usize {
        self.max_descriptors / 8 - self.max_descriptors / 32 - self.admin_connections()
    }
}
