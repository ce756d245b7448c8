//! The system's count of TCP segments that it has dropped at their receiver.

use std::fs::read_to_string;

/// The file in which Linux shows its extended TCP counters: for each group a line of names and a line of
/// values.
const COUNTERS_FILE: &str = "/proc/net/netstat";
/// The group that has the counter.
const GROUP: &str = "TcpExt:";
/// The counter of segments that found no memory in the receive queue of their connection.
const COUNTER: &str = "TCPRcvQDrop";

/// Returns how many segments the system has dropped since its start because a receive queue had no memory for
/// them, on all connections; their senders retransmit them at growing intervals. `None` if the system does
/// not tell.
pub fn dropped_segments() -> Option<u64> {
    parse(&read_to_string(COUNTERS_FILE).ok()?)
}

fn parse(counters: &str) -> Option<u64> {
    let mut lines = counters.lines().filter(|line| line.starts_with(GROUP));
    let (names, values) = (lines.next()?, lines.next()?);
    let index = names.split_ascii_whitespace().position(|name| name == COUNTER)?;
    values.split_ascii_whitespace().nth(index)?.parse().ok()
}

#[cfg(test)]
mod tests;
