//! Network and socket I/O: the HTTP front and the NVMe over TCP front for clients, the connections to storage
//! nodes, discovery, the admin interface, and the handover between two processes.

pub mod admin;
pub mod backoff;
pub mod discovery;
pub mod handover;
pub mod http;
pub mod node;
pub mod nvme;
