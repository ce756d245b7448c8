//! The subset of NVMe over TCP that a scheduler needs, written from the public specifications.
//!
//! `pdu` is the codec of the transport's PDUs, `command` that of commands and completions, and `pdu_stream` a
//! stream of PDUs on a TCP connection. `received_data` assembles the data of a command. `controller` serves
//! the queues that hosts connect to, and `subsystem` holds the state that the queues share. `initiator` sends
//! attempts to storage nodes that are NVMe targets themselves. `map` reads the file that maps namespaces to
//! volumes.

mod command;
mod controller;
mod identify;
mod initiator;
mod map;
mod pdu;
mod pdu_stream;
mod received_data;
mod subsystem;

pub use command::{
    BlockRange, Body, Command, Completion, Connect, ConnectData, Sgl, Status, CONNECT_DATA_BYTES,
};
pub use controller::serve;
pub use initiator::{NvmeConnection, NvmeLink};
pub use map::{Namespace, NvmeMap, Target};
pub use pdu::{FatalError, Pdu, MAX_DATA_BYTES};
pub use pdu_stream::{PduStream, StreamError};
pub use subsystem::Subsystem;
