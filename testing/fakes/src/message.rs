//! HTTP messages of clients and storage nodes.

use std::net::SocketAddr;

use tokio::io::AsyncReadExt;
use tokio::net::{TcpListener, TcpSocket, TcpStream};
use tokio::time::timeout;

use crate::TEST_TIMEOUT;

/// Listens at a port that the operating system chooses.
///
/// # Panics
/// If there is no free port.
pub async fn listen() -> (TcpListener, SocketAddr) {
    let listener = TcpListener::bind("127.0.0.1:0").await.expect("a free port");
    let address = listener.local_addr().expect("a bound listener");
    (listener, address)
}

/// A node whose queue of connections is full: no further connection is established until those in the queue
/// are accepted.
pub struct FullNode {
    /// The address at which it listens.
    pub address: SocketAddr,
    listener: TcpListener,
    waiting: Vec<TcpStream>,
}

impl FullNode {
    /// Lets connections be established from now on.
    pub fn take_connections(self) -> TcpListener {
        drop(self.waiting);
        self.listener
    }
}

/// Starts a node whose queue of connections is full.
///
/// # Panics
/// If there is no free port.
pub async fn full_node() -> FullNode {
    let socket = TcpSocket::new_v4().expect("a descriptor");
    socket.bind(SocketAddr::from(([127, 0, 0, 1], 0))).expect("a free port");
    let address = socket.local_addr().expect("a bound socket");
    let listener = socket.listen(1).expect("a bound socket");
    // A queue of length one holds two connections.
    let mut waiting = Vec::new();
    for _ in 0..2 {
        waiting.push(TcpStream::connect(address).await.expect("a place in the queue"));
    }
    FullNode { address, listener, waiting }
}

/// Returns an address at which nothing listens, and which no other process gets while the socket is kept.
///
/// # Panics
/// If there is no free port.
pub fn unused_address() -> (TcpSocket, SocketAddr) {
    let socket = TcpSocket::new_v4().expect("a descriptor");
    socket.bind(SocketAddr::from(([127, 0, 0, 1], 0))).expect("a free port");
    let address = socket.local_addr().expect("a bound socket");
    (socket, address)
}

/// Returns an address that no other test gets while the socket is kept: for a program that listens there and
/// is restarted, or for two processes that listen at the same address.
///
/// # Panics
/// If there is no free port, or the platform does not let sockets share one.
pub fn reserved() -> (TcpSocket, SocketAddr) {
    let socket = TcpSocket::new_v4().expect("a descriptor");
    socket.set_reuseport(true).expect("an option of the platform");
    socket.bind(SocketAddr::from(([127, 0, 0, 1], 0))).expect("a free port");
    let address = socket.local_addr().expect("a bound socket");
    (socket, address)
}

/// Reads one HTTP message; returns its head in lower case, its head as received, and its body.
///
/// # Panics
/// If the length or the size of a chunk is not a number.
pub async fn read_message(stream: &mut TcpStream) -> Option<(String, String, Vec<u8>)> {
    let mut bytes = Vec::new();
    let end = loop {
        if let Some(at) = bytes.windows(4).position(|w| w == b"\r\n\r\n") {
            break at + 4;
        }
        if stream.read_buf(&mut bytes).await.ok()? == 0 {
            return None;
        }
    };
    let head = String::from_utf8_lossy(&bytes[..end]).into_owned();
    let small = head.to_lowercase();
    let length = header(&small, "content-length").map_or(0, |v| v.parse().expect("a length"));
    let mut body = bytes.split_off(end);
    if header(&small, "transfer-encoding") == Some("chunked") {
        let whole = loop {
            if let Some(whole) = unchunk(&body) {
                break whole;
            }
            if stream.read_buf(&mut body).await.ok()? == 0 {
                return None;
            }
        };
        return Some((small, head, whole));
    }
    while body.len() < length {
        if stream.read_buf(&mut body).await.ok()? == 0 {
            return None;
        }
    }
    Some((small, head, body))
}

/// Decodes a chunked body; `None` if its last chunk has not been received.
fn unchunk(mut bytes: &[u8]) -> Option<Vec<u8>> {
    let mut whole = Vec::new();
    loop {
        let end = bytes.windows(2).position(|w| w == b"\r\n")?;
        let size = usize::from_str_radix(std::str::from_utf8(&bytes[..end]).expect("a chunk size"), 16)
            .expect("a chunk size");
        if size == 0 {
            return bytes.ends_with(b"\r\n\r\n").then_some(whole);
        }
        whole.extend_from_slice(bytes.get(end + 2..end + 2 + size)?);
        bytes = bytes.get(end + 4 + size..)?;
    }
}

/// Returns the value of a header in a head in lower case.
pub fn header<'a>(head: &'a str, name: &str) -> Option<&'a str> {
    head.lines().find_map(|line| line.strip_prefix(name)?.strip_prefix(": "))
}

/// Receives an answer; returns its status, its head in lower case and its body.
///
/// # Panics
/// If no complete answer arrives in time, or its status is not a number.
pub async fn answer(stream: &mut TcpStream) -> (u16, String, Vec<u8>) {
    let (small, _, body) =
        timeout(TEST_TIMEOUT, read_message(stream)).await.expect("in time").expect("whole");
    (small[9..12].parse().expect("a status"), small, body)
}

/// Returns a client's request of two units.
pub fn request(class: &str, call: u32, shard: i32, budget: u32, body: &str) -> String {
    let method = if class == "pedido" { "PUT" } else { "GET" };
    let once = if class == "pedido" { format!("Idempotency-Key: k{call}\r\n") } else { String::new() };
    format!(
        "{method} /{class}/00000003b4d60021/7f3a9c21e0b4d655?v=1 HTTP/1.1\r\nHost: origin.svc\r\n\
         X-Call-Id: {call:016x}\r\nX-Call-Class: {class}\r\nX-Plan: prioritario\r\nX-Budget-Ms: {budget}\r\n\
         Content-Length: {}\r\n{once}X-IO: units=2,shard={shard},hosts=1\r\n\r\n{body}",
        body.len()
    )
}
