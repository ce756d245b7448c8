//! The size of the system's buffers of a connection.

use rustix::net::sockopt::set_socket_send_buffer_size;
use tokio::net::TcpStream;

/// What the system holds for a peer that reads slowly, in bytes; Linux doubles it. The system reports that a
/// peer reads only once a third of its buffer is free: a peer that reads 64 kB a second shows that within
/// seconds, where it would take 20 s of a buffer of 4 MB.
const SEND_BUFFER_BYTES: usize = 128 * 1024;

/// Limits the buffer of a connection for output. Where the system does not allow that, the buffer stays as
/// it is.
pub(crate) fn limit_send_buffer(stream: &TcpStream) {
    let _ = set_socket_send_buffer_size(stream, SEND_BUFFER_BYTES);
}
