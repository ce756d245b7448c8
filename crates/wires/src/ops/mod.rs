//! The second address, where operations staff ask how the scheduler stands and tell it what to do: a line
//! each way on every connection.

mod codec;
mod server;

pub use codec::{Command, Reply};
pub use server::serve;
