//! Discovery: a list of nodes, and the watches at it.

use std::net::SocketAddr;

use tokio::io::AsyncWriteExt;
use tokio::net::{TcpListener, TcpStream};
use tokio::time::timeout;

use crate::message::read_message;
use crate::PATIENCE;

/// A storage node's entry in the list.
pub fn member(id: &str, address: SocketAddr, shard: u32, phase: &str, up_since_ms: u128) -> String {
    format!(
        r#"{{"id":"{id}","host_port":"{address}","locality":"a","flavor":"m","cell":{shard},
        "phase":"{phase}","size":1.0,"up_since_ms":{up_since_ms}}}"#
    )
}

/// The next watch at a discovery of the test's own, and the head that asked for it.
pub async fn watched(listener: &TcpListener) -> (TcpStream, String) {
    let (mut watch, _) = timeout(PATIENCE, listener.accept()).await.expect("a watch").unwrap();
    let (head, ..) = read_message(&mut watch).await.unwrap();
    watch.write_all(b"HTTP/1.1 200 OK\r\ntransfer-encoding: chunked\r\n\r\n").await.unwrap();
    (watch, head)
}

/// Tells something on a watch.
pub async fn tell(watch: &mut TcpStream, lines: &str) {
    let chunk = format!("{:x}\r\n{lines}\r\n", lines.len());
    watch.write_all(chunk.as_bytes()).await.unwrap();
}
