//! Stand-ins on loopback that all tests and tools share: storage nodes that do as a script says, on HTTP and
//! on NVMe over TCP, discovery, clients, and the scheduler before them. Ports are chosen by the system. What
//! goes wrong here panics: it is a fault of the test.

mod attempt_ledger;
mod discovery;
pub mod hour;
mod message;
mod node;
pub mod nvme;
mod program;
mod rig;
pub mod staged;
pub mod told;

use std::time::Duration;

pub use attempt_ledger::AttemptLedger;
pub use discovery::{member, tell, watched, Discovery, Listed};
pub use message::{answer, full_node, header, listen, nobody, read_message, request, reserved, FullNode};
pub use node::{attempt, http_node, scripted_node, Does, Log, Script, Seen, LATE};
pub use program::{Held, Program};
pub use rig::{config_text, rig, rig_of, Rig, CONNECTIONS, NODE_SOCKETS};

/// Nothing here takes longer, however loaded the machine.
pub const PATIENCE: Duration = Duration::from_secs(20);
