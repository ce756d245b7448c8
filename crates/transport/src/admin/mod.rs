//! The second address, where operations staff ask how the scheduler stands and tell it what to do: a line
//! each way on every connection.

mod client;
mod codec;
mod server;

pub use client::{call, CallError};
pub use codec::{Reply, Request};
pub use server::serve;
