//! Fake discovery: an endpoint list and its watches.

use std::net::SocketAddr;
use std::sync::atomic::{AtomicU64, Ordering};
use std::sync::{Arc, Mutex};
use std::time::Duration;

use tokio::io::AsyncWriteExt;
use tokio::net::{TcpListener, TcpStream};
use tokio::sync::broadcast;
use tokio::time::timeout;

use crate::message::{listen, read_message};
use crate::TEST_TIMEOUT;

/// Returns the entry of a storage node in the endpoint list.
pub fn member(id: &str, address: SocketAddr, shard: u32, phase: &str, up_since_ms: u128) -> String {
    format!(
        r#"{{"id":"{id}","host_port":"{address}","locality":"a","flavor":"m","cell":{shard},
        "phase":"{phase}","size":1.0,"up_since_ms":{up_since_ms}}}"#
    )
}

/// Accepts the next watch at a discovery address of the test; returns its connection and the head of its
/// request.
///
/// # Panics
/// If no watch is opened in time, or its connection fails before the request is complete.
pub async fn watched(listener: &TcpListener) -> (TcpStream, String) {
    let (mut watch, _) =
        timeout(TEST_TIMEOUT, listener.accept()).await.expect("a watch").expect("a connection");
    let (head, ..) = read_message(&mut watch).await.expect("a request");
    watch
        .write_all(b"HTTP/1.1 200 OK\r\ntransfer-encoding: chunked\r\n\r\n")
        .await
        .expect("the watch is open");
    (watch, head)
}

/// Sends a line on a watch.
///
/// # Panics
/// If the watch is closed.
pub async fn tell(watch: &mut TcpStream, lines: &str) {
    let chunk = format!("{:x}\r\n{lines}\r\n", lines.len());
    watch.write_all(chunk.as_bytes()).await.expect("the watch is open");
}

/// A node in the endpoint list.
#[derive(Clone, Debug)]
pub struct Listed {
    /// Id of the node.
    pub id: String,
    /// Address of the node.
    pub address: SocketAddr,
    /// Shard of the node.
    pub shard: u32,
    /// `in_service`, `terminating` or `terminated`.
    pub phase: &'static str,
    /// Time of its last start as Unix time in milliseconds; 0 if that is long ago.
    pub up_since_ms: u128,
}

impl Listed {
    fn line(&self) -> String {
        member(&self.id, self.address, self.shard, self.phase, self.up_since_ms).replace("\n        ", "")
    }
}

struct Book {
    revision: u64,
    nodes: Vec<Listed>,
}

/// Discovery for a fleet: sends the list and each change to all watches, and an empty line every second.
#[derive(Clone)]
pub struct Discovery {
    /// Address of the node.
    pub address: SocketAddr,
    book: Arc<Mutex<Book>>,
    changes: broadcast::Sender<String>,
    sent: Arc<AtomicU64>,
    calls: Arc<AtomicU64>,
}

impl Discovery {
    /// Number of bytes sent on all watches so far, including heads and chunk framing.
    pub fn bytes_sent(&self) -> u64 {
        self.sent.load(Ordering::Relaxed)
    }

    /// Number of calls accepted so far; each opens a watch.
    pub fn calls(&self) -> u64 {
        self.calls.load(Ordering::Relaxed)
    }

    /// Starts discovery with these nodes.
    ///
    /// # Panics
    /// If there is no free port.
    pub async fn start(nodes: Vec<Listed>) -> Self {
        let (listener, address) = listen().await;
        let book = Arc::new(Mutex::new(Book { revision: 1, nodes }));
        let (sent, calls) = (Arc::default(), Arc::default());
        let new = Self { address, book, changes: broadcast::channel(64).0, sent, calls };
        let serving = new.clone();
        tokio::spawn(async move {
            loop {
                let (stream, _) = listener.accept().await.expect("a connection");
                tokio::spawn(serving.clone().watch(stream));
            }
        });
        new
    }

    /// Returns the current list on one line.
    ///
    /// # Panics
    /// If a holder of the list panicked.
    pub fn whole(&self) -> String {
        let book = self.book.lock().expect("no holder of the lock panics");
        let members: Vec<String> = book.nodes.iter().map(Listed::line).collect();
        format!(r#"{{"revision":{},"complete":true,"members":[{}]}}"#, book.revision, members.join(","))
    }

    /// Changes a node, and sends the change on all watches.
    ///
    /// # Panics
    /// If no such node is listed, or a holder of the list panicked.
    pub fn change(&self, id: &str, change: impl FnOnce(&mut Listed)) {
        let mut book = self.book.lock().expect("no holder of the lock panics");
        book.revision += 1;
        let revision = book.revision;
        let node = book.nodes.iter_mut().find(|node| node.id == id).expect("a listed node");
        change(node);
        let line = format!(r#"{{"revision":{revision},"complete":false,"members":[{}]}}"#, node.line());
        // No watch may be open.
        let _ = self.changes.send(line);
    }

    async fn watch(self, mut stream: TcpStream) -> Option<()> {
        let mut changes = self.changes.subscribe();
        read_message(&mut stream).await?;
        self.calls.fetch_add(1, Ordering::Relaxed);
        self.send(&mut stream, "HTTP/1.1 200 OK\r\ntransfer-encoding: chunked\r\n\r\n").await?;
        let mut line = self.whole();
        loop {
            line.push('\n');
            let chunk = format!("{:x}\r\n{line}\r\n", line.len());
            self.send(&mut stream, &chunk).await?;
            line = match timeout(Duration::from_secs(1), changes.recv()).await {
                Ok(change) => change.ok()?,
                Err(_) => String::new(),
            };
        }
    }

    async fn send(&self, stream: &mut TcpStream, text: &str) -> Option<()> {
        stream.write_all(text.as_bytes()).await.ok()?;
        self.sent.fetch_add(text.len() as u64, Ordering::Relaxed);
        Some(())
    }
}
