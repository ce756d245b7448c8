//! HTTP messages as a client and a storage node read and write them.

use std::net::SocketAddr;

use tokio::io::AsyncReadExt;
use tokio::net::{TcpListener, TcpSocket, TcpStream};
use tokio::time::timeout;

use crate::PATIENCE;

/// A listener at a port that the system chooses.
pub async fn listen() -> (TcpListener, SocketAddr) {
    let listener = TcpListener::bind("127.0.0.1:0").await.unwrap();
    let address = listener.local_addr().unwrap();
    (listener, address)
}

/// An address that nobody listens at, and that nobody else is given while the socket is kept.
pub fn nobody() -> (TcpSocket, SocketAddr) {
    let socket = TcpSocket::new_v4().unwrap();
    socket.bind("127.0.0.1:0".parse().unwrap()).unwrap();
    let address = socket.local_addr().unwrap();
    (socket, address)
}

/// An address that the system has chosen, and that nobody else is given while the socket is kept: for a
/// program that listens there, ends and comes again, or beside another of its name.
pub fn reserved() -> (TcpSocket, SocketAddr) {
    let socket = TcpSocket::new_v4().unwrap();
    socket.set_reuseport(true).unwrap();
    socket.bind("127.0.0.1:0".parse().unwrap()).unwrap();
    let address = socket.local_addr().unwrap();
    (socket, address)
}

/// Reads one HTTP message: its head in lower case, its head as it came, and its body.
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
    let length = header(&small, "content-length").map_or(0, |v| v.parse().unwrap());
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

/// What chunks hold, once the last of them is there.
fn unchunk(mut bytes: &[u8]) -> Option<Vec<u8>> {
    let mut whole = Vec::new();
    loop {
        let end = bytes.windows(2).position(|w| w == b"\r\n")?;
        let size = usize::from_str_radix(std::str::from_utf8(&bytes[..end]).unwrap(), 16).unwrap();
        if size == 0 {
            return bytes.ends_with(b"\r\n\r\n").then_some(whole);
        }
        whole.extend_from_slice(bytes.get(end + 2..end + 2 + size)?);
        bytes = bytes.get(end + 4 + size..)?;
    }
}

/// The value of a header in a head of lower case.
pub fn header<'a>(head: &'a str, name: &str) -> Option<&'a str> {
    head.lines().find_map(|line| line.strip_prefix(name)?.strip_prefix(": "))
}

/// Status, head and body of the answer that comes.
pub async fn answer(stream: &mut TcpStream) -> (u16, String, Vec<u8>) {
    let (small, _, body) = timeout(PATIENCE, read_message(stream)).await.expect("in time").expect("whole");
    (small[9..12].parse().unwrap(), small, body)
}

/// A client's request of two units.
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
