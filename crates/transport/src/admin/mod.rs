//! The admin interface, at which operators ask how the scheduler is and give it commands. Each connection carries
//! one line of request and one reply.

mod client;
mod codec;
mod server;

pub use client::{call, CallError};
pub use codec::{MalformedRequest, Reply, Request};
pub use server::serve;
