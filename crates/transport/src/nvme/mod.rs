//! NVMe over TCP, the subset that a scheduler needs, from the public specifications.
//!
//! `pdu` is the codec of the transport, `command` that of commands and completions, `wire` a socket that
//! carries them. `controller` serves the queues that hosts connect to, `subsystem` is what those share;
//! `initiator` carries attempts to storage nodes that are targets themselves. `map` is the file that ties
//! namespaces to volumes.

mod command;
mod controller;
mod identify;
mod initiator;
mod map;
mod pdu;
mod subsystem;
mod wire;

pub use command::{BlockRange, Body, Command, Completion, Connect, ConnectData, Sgl, Status, CONNECT_DATA};
pub use controller::serve;
pub use initiator::{NvmeConnection, NvmeLink};
pub use map::{Namespace, NvmeMap, Target};
pub use pdu::{FatalError, Pdu, MAX_DATA_BYTES};
pub use subsystem::Subsystem;
pub use wire::{PduStream, StreamError};
