//! The network code: tables of cases for the parsers, and a test on real sockets for each rule. All addresses
//! are on loopback with ports that the system chooses; no case hangs on a short time being kept.
#![cfg(test)]

mod admin;
mod closing;
mod crowd;
mod departure;
mod fleet;
mod handover;
mod http;
mod lease_expiry;
mod leaving;
mod nvme;
mod parsers;
mod pieces;
mod process;
mod reload;
mod shutdown;
mod size;
mod writer;
