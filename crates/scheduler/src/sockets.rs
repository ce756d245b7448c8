//! Listening sockets: opened here, or inherited from the previous process.

use std::io;
use std::net::SocketAddr;
use std::os::fd::OwnedFd;

use tokio::net::{TcpListener, TcpSocket};

/// The maximum number of connections that wait to be accepted.
const ACCEPT_BACKLOG: u32 = 1024;
/// Opens a listening socket. Another process may listen at the same address, so that a start never fails
/// because the previous process is still there; the system then divides new connections among both.
///
/// # Errors
/// Returns the operating system's error, for instance if the address is not one of this machine.
pub fn bind(address: SocketAddr) -> io::Result<OwnedFd> {
    let socket = if address.is_ipv4() { TcpSocket::new_v4() } else { TcpSocket::new_v6() }?;
    socket.set_reuseaddr(true)?;
    socket.set_reuseport(true)?;
    socket.bind(address)?;
    Ok(socket.listen(ACCEPT_BACKLOG)?.into_std()?.into())
}

/// Takes the socket that listens at the address out of the inherited ones, or opens a new one.
///
/// # Errors
/// Those of [`bind`].
pub fn inherit_or_bind(inherited: &mut Vec<OwnedFd>, address: SocketAddr) -> io::Result<OwnedFd> {
    let listens_there = |socket: &OwnedFd| {
        let copy = socket.try_clone().map(std::net::TcpListener::from);
        copy.and_then(|socket| socket.local_addr()).is_ok_and(|local| local == address)
    };
    match inherited.iter().position(listens_there) {
        Some(index) => Ok(inherited.swap_remove(index)),
        None => bind(address),
    }
}

/// Returns a listener on a duplicate of the socket; the socket itself stays open when the listener is
/// dropped.
///
/// # Errors
/// Returns the operating system's error if no descriptors are left.
pub fn listener(socket: &OwnedFd) -> io::Result<TcpListener> {
    TcpListener::from_std(socket.try_clone()?.into())
}
