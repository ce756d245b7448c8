//! The platform's HTTP/1.1 front: decodes clients' requests into requests to the core, and encodes the
//! answers.

mod body;
mod connection;
mod connections;
mod decode;
mod front;
mod request_body;
mod stream;
mod upload_clock;

pub use connection::serve;
pub use connections::{closing_capacity, ConnectionTable};
pub use decode::{decode, format_retry_after, InvalidRequest, RequestData};
pub use front::Front;

/// The longest body of a request or of a reply, in bytes.
pub const MAX_BODY_BYTES: u64 = 32 << 20;

/// The longest head of a message, in bytes.
pub const MAX_HEAD_BYTES: usize = 16 * 1024;

/// Names of the HTTP headers that clients and storage nodes use.
pub mod headers {
    /// Id of the request.
    pub const REQUEST_ID: &str = "x-call-id";
    /// Class of the request.
    pub const CLASS: &str = "x-call-class";
    /// Plan of the volume.
    pub const PLAN: &str = "x-plan";
    /// Time for which the sender of the request waits for its answer, in milliseconds.
    pub const TIME_BUDGET_MS: &str = "x-budget-ms";
    /// Size in units, shard, and number of schedulers that the volume uses.
    pub const IO: &str = "x-io";
    /// `1` for a retry by the client.
    pub const CLIENT_RETRY: &str = "x-again";
    /// Key by which a repeated request is recognized.
    pub const IDEMPOTENCY_KEY: &str = "idempotency-key";
    /// `1` in the reply of a node that rejected the request without executing it.
    pub const REJECTED: &str = "x-rejected";
}
