//! The network code: tables of cases for the parsers, and a test on real sockets for each rule. All addresses
//! are on loopback with ports that the system chooses; no case hangs on a short time being kept.
#![cfg(test)]

mod closing;
mod crowd;
mod departure;
mod fleet;
mod handover;
mod http;
mod leaving;
mod nvme;
mod ops;
mod parsers;
mod pieces;
mod process;
mod reload;
mod shutdown;
mod size;
mod told;
mod writer;
