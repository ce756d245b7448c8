//! Divides the memory that the platform allows the scheduler.
//!
//! Bodies of requests and replies may hold a quarter of it. Bodies that could also be streamed are buffered
//! only while bodies and connections together hold less than five eighths. The rest is for what does not grow
//! with them: the program, the endpoint list, and the heap's own losses. While a peer process of the same
//! scheduler runs, both count against the same limit and each takes half.

use heathward_core::memory::MemoryLimits;

/// The memory of this process, and whether a peer process shares it.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct MemoryShares {
    /// Memory that the configuration allows the scheduler, in bytes.
    pub max_bytes: usize,
    /// Whether a peer process of the same scheduler runs.
    pub peer_running: bool,
}

impl MemoryShares {
    /// Returns the limits on bodies and connections.
    pub fn limits(&self) -> MemoryLimits {
        let share = if self.peer_running { self.max_bytes / 2 } else { self.max_bytes };
        MemoryLimits { bodies: share / 4, total: share / 8 * 5 }
    }
}
