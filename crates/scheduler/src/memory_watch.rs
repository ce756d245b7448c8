//! Logs when the process comes close to its limit on memory, and what holds the memory then.

use heathward_core::memory::{MemoryBudget, MemoryHolder};

/// The part of the limit from which the process is close to it, in eighths.
const CLOSE_EIGHTHS: usize = 7;
/// The part of the limit below which it is no longer, in eighths.
const CLEAR_EIGHTHS: usize = 6;

/// Whether the process is close to its limit.
#[derive(Debug, Default)]
pub struct MemoryWatch {
    is_close: bool,
}

impl MemoryWatch {
    /// Compares the resident memory with the limit, both in bytes, and logs when the process comes close to
    /// it and when it no longer is.
    pub fn check(&mut self, resident: usize, max_bytes: usize, budget: &MemoryBudget) {
        if !self.is_close && resident > max_bytes / 8 * CLOSE_EIGHTHS {
            self.is_close = true;
            let usage = budget.usage();
            let held: Vec<String> = MemoryHolder::ALL
                .iter()
                .zip(usage.held)
                .map(|(holder, bytes)| format!("{holder:?} {bytes}"))
                .collect();
            tracing::warn!(
                "close to the limit on memory: {resident} of {max_bytes} bytes; {}",
                held.join(", ")
            );
        } else if self.is_close && resident < max_bytes / 8 * CLEAR_EIGHTHS {
            self.is_close = false;
            tracing::info!("no longer close to the limit on memory: {resident} of {max_bytes} bytes");
        }
    }
}
