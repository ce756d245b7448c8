//! Network and socket I/O: the HTTP front and the NVMe over TCP front for clients, the connections to storage
//! nodes, discovery, the admin interface, and the handover between two processes.

pub mod admin;
pub mod backoff;
pub mod discovery;
mod dropped_segments;
pub mod handover;
pub mod http;
pub mod node;
pub mod nvme;
mod read_clock;
pub mod socket_buffers;

/// Memory that a connection of a client needs for its buffers and its task, in bytes.
pub const CLIENT_CONNECTION_BYTES: usize = 24 * 1024;

/// The most bytes that are read from an HTTP connection at a time. hyper's read buffer has 8 KB, and grows
/// for good when a read fills it.
const READ_LIMIT_BYTES: usize = READ_BUFFER_BYTES - 1;

/// The size of the buffer that a chunk of a streamed body keeps allocated, in bytes.
const READ_BUFFER_BYTES: usize = 8 * 1024;
