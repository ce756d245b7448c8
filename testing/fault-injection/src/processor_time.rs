//! How long a process has waited for a processor, as the system counts it.

use std::time::Duration;

/// How long the main thread of a process was ready to run and did not, since its start. It is up to date once
/// the thread has run, or has ended. `None` if there is no such process.
pub fn processor_wait(id: u32) -> Option<Duration> {
    let statistics = std::fs::read_to_string(format!("/proc/{id}/schedstat")).ok()?;
    let waited_ns = statistics.split_whitespace().nth(1)?.parse().ok()?;
    Some(Duration::from_nanos(waited_ns))
}
