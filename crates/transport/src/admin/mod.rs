//! The admin interface, where operators query the scheduler's status and metrics and send it commands. Each
//! connection carries one request line and one reply.

mod client;
mod codec;
mod server;

pub use client::{call, CallError};
pub use codec::{MalformedRequest, Reply, Request};
pub use server::serve;
