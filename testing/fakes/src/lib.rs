//! Fakes on loopback that all tests and tools share: storage nodes that follow a script, over HTTP and NVMe
//! over TCP, discovery, clients, and a scheduler in front of them. The operating system chooses the ports. A
//! fake that fails panics, as that is a fault of the test.

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
pub use message::{
    answer, full_node, header, listen, read_message, request, reserved, unused_address, FullNode,
};
pub use node::{
    attempt, http_node, scripted_node, Log, NodeBehavior, ReceivedRequest, Script, LATE_ANSWER_DELAY,
};
pub use program::{Held, Program};
pub use rig::{config_text, rig, rig_of, Rig, CONNECTIONS, NODE_SOCKETS};

/// The most time that any step of a test takes, even on a busy machine.
pub const TEST_TIMEOUT: Duration = Duration::from_secs(20);
