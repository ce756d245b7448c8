//! The platform's HTTP/1.1 front: decodes clients' requests into requests to the core, and encodes the
//! answers.

mod body;
mod connection;
mod connections;
mod decode;
mod front;
mod request_body;
mod stream;

pub use connection::serve;
pub use connections::{closing_capacity, ConnectionTable};
pub use decode::{decode, format_retry_after, InvalidRequest};
pub use front::Front;

/// No body holds more.
pub const LONGEST_BODY: u64 = 32 << 20;

/// No head holds more.
pub const HEAD_LIMIT: usize = 16 * 1024;

/// Names of the HTTP headers that clients and storage nodes use.
pub mod headers {
    /// The request's id.
    pub const CALL: &str = "x-call-id";
    /// Its class.
    pub const CLASS: &str = "x-call-class";
    /// Plan of the volume.
    pub const PLAN: &str = "x-plan";
    /// How long whoever sent it waits, in milliseconds.
    pub const BUDGET: &str = "x-budget-ms";
    /// Size, shard and hosts.
    pub const IO: &str = "x-io";
    /// Marks a client's further try.
    pub const AGAIN: &str = "x-again";
    /// The key by which a repeat is known.
    pub const ONCE: &str = "idempotency-key";
    /// A node turned the request away unseen.
    pub const REJECTED: &str = "x-rejected";
}
