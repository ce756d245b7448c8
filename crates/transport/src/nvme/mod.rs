//! The subset of NVMe over TCP that a scheduler needs, written from the public specifications.
//!
//! `pdu` is the codec of the transport's PDUs, `command` that of commands and completions, and `pdu_stream` a
//! stream of PDUs on a TCP connection. `received_data` assembles the data of a command.
//!
//! `controller` serves the queues that hosts connect to: `queue` holds the state of one, `admin_commands` and
//! `io_commands` handle its commands, and `subsystem` holds the state that the queues share. `link` sends
//! attempts to a storage node that is an NVMe target itself, on connections of `initiator`. `map` reads the
//! file that maps namespaces to volumes.

mod admin_commands;
mod command;
mod controller;
mod identify;
mod initiator;
mod io_commands;
mod link;
mod map;
mod pdu;
mod pdu_stream;
mod queue;
mod received_data;
mod subsystem;

pub use command::{
    BlockRange, Body, Command, Completion, Connect, ConnectData, Sgl, Status, CONNECT_DATA_BYTES,
};
pub use controller::serve;
pub use initiator::NvmeConnection;
pub use link::NvmeLink;
pub use map::{Namespace, NvmeMap, Target};
pub use pdu::{FatalError, Pdu, MAX_DATA_BYTES};
pub use pdu_stream::{PduStream, StreamError};
pub use subsystem::Subsystem;
