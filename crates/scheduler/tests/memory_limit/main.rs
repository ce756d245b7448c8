//! The program within `limits.memory_mb`, as a separate process: bodies and replies of any size, many open at
//! a time, on both fronts, with slow clients and nodes, and with two processes during an upgrade.
#![cfg(test)]

mod crowd;
mod fixture;
mod flood;
mod http;
mod large_fleet;
mod nvme;
mod nvme_slow_peers;
mod slow_readers;
mod upgrade;
