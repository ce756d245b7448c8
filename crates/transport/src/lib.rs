//! The wires: the platform's HTTP front, the storage nodes, discovery, and NVMe over TCP.

pub mod admin;
pub mod backoff;
pub mod discovery;
pub mod handover;
pub mod http;
pub mod node;
pub mod nvme;
