//! Follows discovery, which lists the storage nodes. The list comes from a discovery agent on this machine,
//! which streams it and each change of it, or from a service that all schedulers share and poll.
//!
//! [`watch_endpoints`] runs one task (`watch_task`) for each address that discovery has had. The state
//! machine in `supervisor` decides on calls and reports; its inputs and outputs are in `events`. `call` is
//! one HTTP call, `stream_splitter` cuts its body into lists and lines, `wire` decodes them, and `report`
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

/// Where discovery is.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct DiscoveryAddress {
    /// The address.
    pub address: SocketAddr,
    /// From when on it counts, for the lease on the endpoint list: when the move was announced, which may be
    /// before the program heard of it.
    pub current_since: Instant,
}

impl DiscoveryAddress {
    /// An address that counts from now on.
    pub fn from_now(address: SocketAddr) -> Self {
        Self { address, current_since: Instant::now() }
    }
}

/// Watches the endpoint list from revision `known_revision` on, and reports to the core, until that has
/// stopped or the sender of `addresses` is dropped. Every task that it starts ends with it.
///
/// `addresses` holds discovery's current address. After a change, the watch at the new address opens while
/// the one at the old address stays open, for 5 s at most; updates from either count.
///
/// `policy` says how long to wait between calls at one address.
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
        // Tasks at former addresses that have ended.
        while tasks.try_join_next().is_some() {}
    }
}
