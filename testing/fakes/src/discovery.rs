//! Discovery: a list of nodes, and the watches at it.

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

/// A storage node's entry in the list.
pub fn member(id: &str, address: SocketAddr, shard: u32, phase: &str, up_since_ms: u128) -> String {
    format!(
        r#"{{"id":"{id}","host_port":"{address}","locality":"a","flavor":"m","cell":{shard},
        "phase":"{phase}","size":1.0,"up_since_ms":{up_since_ms}}}"#
    )
}

/// The next watch at a discovery of the test's own, and the head that asked for it.
///
/// # Panics
/// If no watch comes in time, or it breaks before its request is complete.
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

/// Tells something on a watch.
///
/// # Panics
/// If the watch is closed.
pub async fn tell(watch: &mut TcpStream, lines: &str) {
    let chunk = format!("{:x}\r\n{lines}\r\n", lines.len());
    watch.write_all(chunk.as_bytes()).await.expect("the watch is open");
}

/// A node as the list has it.
#[derive(Clone, Debug)]
pub struct Listed {
    /// Its id.
    pub id: String,
    /// Where it is.
    pub address: SocketAddr,
    /// Its shard.
    pub shard: u32,
    /// `in_service`, `terminating` or `terminated`.
    pub phase: &'static str,
    /// When it started, Unix time in milliseconds; 0 where that is long ago.
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

/// Discovery for a fleet: the list, and each change of it to all that watch; an empty line every second.
#[derive(Clone)]
pub struct Discovery {
    /// Where it is.
    pub address: SocketAddr,
    book: Arc<Mutex<Book>>,
    changes: broadcast::Sender<String>,
    sent: Arc<AtomicU64>,
    calls: Arc<AtomicU64>,
}

impl Discovery {
    /// Bytes sent on all watches so far, heads and chunk framing included.
    pub fn bytes_sent(&self) -> u64 {
        self.sent.load(Ordering::Relaxed)
    }

    /// Calls that were taken so far; each is answered by a watch.
    pub fn calls(&self) -> u64 {
        self.calls.load(Ordering::Relaxed)
    }

    /// Lists these nodes.
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

    /// The list as it stands, on one line.
    ///
    /// # Panics
    /// If a holder of the list panicked.
    pub fn whole(&self) -> String {
        let book = self.book.lock().expect("no holder of the lock panics");
        let members: Vec<String> = book.nodes.iter().map(Listed::line).collect();
        format!(r#"{{"revision":{},"complete":true,"members":[{}]}}"#, book.revision, members.join(","))
    }

    /// A node changes; all that watch are told.
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
        // Nobody may be watching.
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
