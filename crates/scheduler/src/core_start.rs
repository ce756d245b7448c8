//! Starts the core with connections to storage nodes over HTTP and NVMe/TCP.

use std::io;
use std::sync::Arc;

use heathward_core::{self as core, CoreHandle, CoreMessage, Endpoint};
use heathward_policy::settings::Deployment;
use heathward_transport::node::{self, ConnectionPool, HttpLink};
use heathward_transport::nvme::{NvmeLink, NvmeMap, Target};
use tokio::sync::mpsc;

/// Starts the core. It connects to each node of the endpoint list by NVMe/TCP if the NVMe map names the
/// node as a target, else by HTTP.
///
/// # Errors
/// Returns an error if the decision module rejects the settings.
pub fn start(
    deployment: Arc<Deployment>,
    seed: u64,
    pool: ConnectionPool,
    nvme_map: Option<Arc<NvmeMap>>,
) -> io::Result<CoreHandle> {
    let connect = move |endpoint: &Endpoint, core: mpsc::Sender<CoreMessage>| {
        let target = nvme_map.as_ref().and_then(|map| Some((map, nvme_target(map, endpoint)?)));
        match target {
            Some((map, target)) => {
                let link = NvmeLink::new(endpoint.address, &target.subsystem, map.clone());
                node::spawn(link, pool.clone(), core)
            }
            None => node::spawn(HttpLink::new(endpoint.address), pool.clone(), core),
        }
    };
    core::start_core(deployment, seed, Box::new(connect)).map_err(io::Error::other)
}

/// Returns the map's entry for a storage node, if it is an NVMe target.
fn nvme_target<'a>(map: &'a NvmeMap, endpoint: &Endpoint) -> Option<&'a Target> {
    map.targets.iter().find(|target| *target.node == *endpoint.id)
}
