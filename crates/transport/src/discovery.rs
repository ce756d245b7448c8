//! Receives the endpoint list, the list of storage nodes, from discovery. The list comes from a discovery
//! agent on this machine, which streams it and each change to it, or from a service that all schedulers share
//! and poll.
//!
//! [`watch_endpoints`] runs one task (`watch_task`) for each address that discovery has had. The state
//! machine in `supervisor` decides on calls and reports; its inputs and outputs are in `events`. `call` makes
//! one HTTP call, `stream_splitter` splits its body into lists and lines, `wire` decodes them, and `report`
//! passes updates and the state of the watches to the core.

mod call;
mod events;
mod report;
mod stream_splitter;
mod supervisor;
mod watch_task;
mod wire;

use std::net::SocketAddr;
use std::sync::atomic::AtomicU64;
use std::sync::Arc;

use tokio::sync::{mpsc, watch};
use tokio::task::JoinSet;
use tokio::time::Instant;
use tokio_util::sync::CancellationToken;

use heathward_core::CoreMessage;
use heathward_policy::EndpointListMode;

use crate::backoff::ReconnectPolicy;
use report::Reporter;
use watch_task::WatchTask;

pub use stream_splitter::StreamSplitter;
pub use wire::{parse_update, InvalidEndpointList};

pub(crate) use wire::WireList;

/// The current address of discovery.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct DiscoveryAddress {
    /// The address.
    pub address: SocketAddr,
    /// The time from which this is the current address, which the endpoint lease depends on. It is the time
    /// at which the move was announced, which may be before this process read the new address.
    pub current_since: Instant,
}

impl DiscoveryAddress {
    /// Returns `address` as the current address from now on.
    pub fn from_now(address: SocketAddr) -> Self {
        Self { address, current_since: Instant::now() }
    }
}

/// Watches the endpoint list from revision `known_revision` on and reports to the core. Returns once the core
/// has stopped or the sender of `addresses` is dropped; every task that it started then ends too.
///
/// `addresses` holds discovery's current address. After a change, the watch at the new address opens while
/// the one at the old address stays open, for 5 s at most; updates from both are passed on.
///
/// `policy` sets the delays between calls; each address gets a fork of it.
pub async fn watch_endpoints(
    mut addresses: watch::Receiver<DiscoveryAddress>,
    known_revision: u64,
    mode: EndpointListMode,
    core: mpsc::Sender<CoreMessage>,
    mut policy: ReconnectPolicy,
) {
    let reporter = Reporter::new(core);
    let revision = Arc::new(AtomicU64::new(known_revision));
    let mut tasks = JoinSet::new();
    loop {
        let DiscoveryAddress { address, .. } = *addresses.borrow_and_update();
        let superseded = CancellationToken::new();
        let task = WatchTask {
            address,
            mode,
            policy: policy.fork(),
            revision: Arc::clone(&revision),
            reporter: reporter.clone(),
            superseded: superseded.clone(),
        };
        tasks.spawn(task.run());
        let moved_at = tokio::select! {
            changed = addresses.wait_for(|current| current.address != address) => match changed {
                Ok(current) => current.current_since,
                Err(_) => return,
            },
            () = reporter.core_stopped() => return,
        };
        superseded.cancel();
        reporter.send_moved(moved_at).await;
        // Removes the tasks for former addresses that have ended.
        while tasks.try_join_next().is_some() {}
    }
}
