//! Divides the memory that the platform allows the scheduler.
//!
//! The program takes what it holds at its start, and some for what grows with the endpoint list, the volumes
//! and the ids of requests; if it is found to hold more beside bodies and connections, it takes that. Of the
//! rest, connections of clients and NVMe hosts may take nine twentieths, which limits their number. What they
//! can't take is shared by bodies and connections to storage nodes.
//!
//! Bodies of requests and replies may hold a quarter of all memory at most. Bodies that could also be
//! streamed are buffered only while bodies and connections together hold less than five eighths. While a peer
//! process of the same scheduler runs, both count against the same limit and each takes half.

use heathward_core::memory::MemoryLimits;
use heathward_core::ResidentMemory;
use heathward_transport::CLIENT_CONNECTION_BYTES;

use crate::descriptor_budget::{ClientConnectionLimits, DescriptorBudget};

/// Memory that the endpoint list, the volumes, the ids of requests and the heap's own losses may need beyond
/// what the program holds at its start, in bytes.
const GROWTH_BYTES: usize = 3 << 19;
/// What the program may take between two measurements beyond what was measured last, in bytes.
const MEASUREMENT_MARGIN_BYTES: usize = 1 << 20;
/// What was measured is rounded up to a multiple of this, so that the limits do not change all the time.
const MEASUREMENT_STEP_BYTES: usize = 1 << 18;
/// What may be loaded of the program beyond what is loaded at its start, in bytes.
const FILE_GROWTH_BYTES: usize = 1 << 20;
/// At least this part of the limit is for bodies and connections, whatever the program holds.
const MIN_AVAILABLE_DIVISOR: usize = 4;

/// The memory of this process, and whether a peer process shares it.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct MemoryShares {
    /// Memory that the configuration allows the scheduler, in bytes.
    pub max_bytes: usize,
    /// Memory that the program held at its start.
    pub program: ResidentMemory,
    /// Memory that the program held beside bodies and connections when it was measured last.
    pub measured: ResidentMemory,
    /// Whether a peer process of the same scheduler runs.
    pub peer_running: bool,
}

/// The limits that memory and descriptors set together.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct SharedLimits {
    /// On connections of HTTP clients.
    pub clients: ClientConnectionLimits,
    /// On bodies, and on connections to storage nodes.
    pub memory: MemoryLimits,
}

impl MemoryShares {
    /// Returns the share of this process in memory that the scheduler holds.
    fn share_of(&self, bytes: usize) -> usize {
        if self.peer_running {
            bytes / 2
        } else {
            bytes
        }
    }

    /// Creates the shares of a process that holds this much at its start.
    pub fn new(max_bytes: usize, program: ResidentMemory, peer_running: bool) -> Self {
        Self { max_bytes, program, measured: program, peer_running }
    }

    /// Records what the process holds now, of which `reserved_bytes` are reserved for bodies and connections.
    /// Returns whether that may change the limits.
    pub fn measure(&mut self, resident: ResidentMemory, reserved_bytes: usize) -> bool {
        let total = resident.total.saturating_sub(reserved_bytes).max(resident.files);
        let total = total.next_multiple_of(MEASUREMENT_STEP_BYTES);
        let files = resident.files.next_multiple_of(MEASUREMENT_STEP_BYTES).min(total);
        let measured = ResidentMemory { total, files };
        std::mem::replace(&mut self.measured, measured) != measured
    }

    /// Returns what bodies and connections of this process may hold together, in bytes, with this much of the
    /// program loaded.
    fn available(&self, files: usize) -> usize {
        let with_growth = |memory: ResidentMemory, growth| memory.total - memory.files + growth;
        let own_bytes =
            with_growth(self.program, GROWTH_BYTES).max(with_growth(self.measured, MEASUREMENT_MARGIN_BYTES));
        let available = self.share_of(self.max_bytes.saturating_sub(files));
        available.saturating_sub(own_bytes).max(self.share_of(self.max_bytes) / MIN_AVAILABLE_DIVISOR)
    }

    /// Returns how much of the program may be loaded, in bytes, as expected at its start.
    fn expected_files(&self) -> usize {
        self.program.files + FILE_GROWTH_BYTES
    }

    /// Returns the limits beside these descriptors, with or without an NVMe front.
    pub fn limits(&self, descriptors: &DescriptorBudget, has_nvme: bool) -> SharedLimits {
        let nvme_hosts = if has_nvme { descriptors.nvme_host_connections() } else { 0 };
        let clients = descriptors.client_limits().limited_to(self.max_client_connections(nvme_hosts));
        SharedLimits { clients, memory: self.memory_limits(clients.current + nvme_hosts) }
    }

    /// Returns how many connections of HTTP clients there is memory for, beside this many of NVMe hosts.
    fn max_client_connections(&self, nvme_hosts: usize) -> usize {
        let all = self.available(self.expected_files()) / 20 * 9 / CLIENT_CONNECTION_BYTES;
        all.saturating_sub(nvme_hosts).max(1)
    }

    /// Returns the limits on bodies and connections beside this many connections of clients and NVMe hosts.
    fn memory_limits(&self, client_connections: usize) -> MemoryLimits {
        let share = self.share_of(self.max_bytes);
        let available = self.available(self.expected_files().max(self.measured.files));
        let shared = available.saturating_sub(client_connections * CLIENT_CONNECTION_BYTES);
        MemoryLimits { bodies: share / 4, total: share / 8 * 5, shared }
    }
}
