//! Limits on what the system buffers for connections.

use std::io;
use std::net::SocketAddr;
use std::os::fd::AsFd;

use rustix::net::sockopt::{set_socket_recv_buffer_size, set_socket_send_buffer_size};
use tokio::net::{TcpSocket, TcpStream};

/// The size that is requested for the system's receive buffer of a connection, in bytes; the system
/// doubles it for its own data. It would grow to megabytes itself, but drops what it holds for a
/// connection that is not read when it is short of memory, and the sender's system waits longer for each
/// retransmission. The window of a buffer below some segments, of 64 KB on loopback, would open only once
/// it is empty.
const RECEIVE_BUFFER_BYTES: u32 = 192 * 1024;
/// The size that is requested for the system's send buffer of a client's connection, in bytes; the system
/// doubles it for its own data, and reports space once a third of it is free. A client that reads 64 kB a
/// second frees that within seconds, so that its reply is read from the node without long breaks.
const SEND_BUFFER_BYTES: usize = 192 * 1024;

/// Opens a connection whose receive buffer is limited and on which writes are sent at once.
///
/// # Errors
/// Returns the operating system's error, for instance if nobody listens at the address.
pub(crate) async fn connect(address: SocketAddr) -> io::Result<TcpStream> {
    let socket = if address.is_ipv4() { TcpSocket::new_v4() } else { TcpSocket::new_v6() }?;
    // If the system does not limit the buffer, the connection works all the same.
    let _ = socket.set_recv_buffer_size(RECEIVE_BUFFER_BYTES);
    let stream = socket.connect(address).await?;
    stream.set_nodelay(true)?;
    Ok(stream)
}

/// Limits the receive buffer of the connections that a listening socket accepts, to 192 KB that the system
/// doubles. A system that does not limit it keeps the size that it chooses.
pub fn limit_receive_buffers(listening_socket: impl AsFd) {
    let _ = set_socket_recv_buffer_size(listening_socket, RECEIVE_BUFFER_BYTES as usize);
}

/// Limits the send buffer of the connections that a listening socket accepts, to 192 KB that the system
/// doubles. If the system does not limit it, long replies are read from their nodes in larger bursts.
pub fn limit_send_buffers(listening_socket: impl AsFd) {
    let _ = set_socket_send_buffer_size(listening_socket, SEND_BUFFER_BYTES);
}

#[cfg(test)]
mod tests;
