//! The start: sockets, shares of descriptors, the core and the ways to the nodes.

use std::io;
use std::net::SocketAddr;
use std::os::fd::OwnedFd;
use std::sync::Arc;

use heathward_core::{self as core, CoreHandle, CoreMessage, Endpoint};
use heathward_policy::settings::Deployment;
use heathward_transport::http::closing_places;
use heathward_transport::node::{self, HttpLink, Limits, Pool};
use heathward_transport::nvme::{Map, NvmeLink, Target};
use tokio::net::{TcpListener, TcpSocket};
use tokio::sync::mpsc;

/// Connections that wait to be accepted at most.
const BACKLOG: u32 = 1024;

/// An eighth of the descriptors is spare. Three are for connections to nodes, of which what each node keeps
/// idle leaves room for the others.
pub fn node_limits(deployment: &Deployment, sockets: usize, joint: bool) -> Limits {
    let open = if joint { sockets * 5 / 32 } else { sockets * 3 / 8 };
    Limits::new(deployment, open, (sockets / 48).max(2))
}

/// The other half is for clients, those that are being closed among them. While there are two processes, each
/// has less: clients hold a third at most, and leave the one for the other.
pub fn client_limits(sockets: usize, joint: bool) -> (usize, usize) {
    let places = |share: usize| share - closing_places(share).min(share / 2);
    (places(sockets / 2), places(if joint { sockets * 3 / 8 } else { sockets / 2 }))
}

/// Staff have a part of the spare eighth.
pub fn staff_connections(sockets: usize) -> usize {
    (sockets / 32).max(2)
}

/// What is left of the spare eighth, but for what the program itself needs.
pub fn nvme_hosts(sockets: usize) -> usize {
    sockets / 8 - sockets / 32 - staff_connections(sockets)
}

/// Opens a socket beside which another process may open its own, for want of a better way: nothing that is
/// wrong with a process before this one stops the start.
pub fn listen(address: SocketAddr) -> io::Result<OwnedFd> {
    let socket = if address.is_ipv4() { TcpSocket::new_v4() } else { TcpSocket::new_v6() }?;
    socket.set_reuseaddr(true)?;
    socket.set_reuseport(true)?;
    socket.bind(address)?;
    Ok(socket.listen(BACKLOG)?.into_std()?.into())
}

/// The one of the sockets that another process handed over, if it listens there, or a new one.
pub fn listen_on(taken: &mut Vec<OwnedFd>, address: SocketAddr) -> io::Result<OwnedFd> {
    let at = |socket: &OwnedFd| {
        let copy = socket.try_clone().map(std::net::TcpListener::from);
        copy.and_then(|socket| socket.local_addr()).is_ok_and(|at| at == address)
    };
    match taken.iter().position(at) {
        Some(found) => Ok(taken.swap_remove(found)),
        None => listen(address),
    }
}

/// A listener on a copy of the socket.
pub fn listener(socket: &OwnedFd) -> io::Result<TcpListener> {
    TcpListener::from_std(socket.try_clone()?.into())
}

/// Starts the core, which opens a way to each node as the list names it, by the wire that the node speaks.
pub fn core(
    deployment: Arc<Deployment>,
    seed: u64,
    pool: Pool,
    map: Option<Arc<Map>>,
) -> io::Result<CoreHandle> {
    let dial = move |member: &Endpoint, core: mpsc::Sender<CoreMessage>| {
        if let Some((map, target)) = map.as_ref().and_then(|map| Some((map, target(map, member)?))) {
            let link = NvmeLink::new(member.address, &target.subsystem, map.clone());
            return node::spawn(link, pool.clone(), core);
        }
        node::spawn(HttpLink::new(member.address), pool.clone(), core)
    };
    core::start_core(deployment, seed, Box::new(dial)).map_err(io::Error::other)
}

/// What the file says of a storage node that is a target.
fn target<'a>(map: &'a Map, member: &Endpoint) -> Option<&'a Target> {
    map.targets.iter().find(|target| *target.node == *member.id)
}
