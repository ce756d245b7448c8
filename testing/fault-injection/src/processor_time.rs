//! The time for which a process has waited for a processor, as counted by the operating system.

use std::time::Duration;

/// Returns the time for which the main thread of a process was ready to run but did not, since its start. It
/// is updated whenever the thread runs. `None` if the process does not exist.
pub fn processor_wait(id: u32) -> Option<Duration> {
    let statistics = std::fs::read_to_string(format!("/proc/{id}/schedstat")).ok()?;
    let waited_ns = statistics.split_whitespace().nth(1)?.parse().ok()?;
    Some(Duration::from_nanos(waited_ns))
}
