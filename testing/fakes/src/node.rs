//! A storage node that follows a script, and the log of the requests that it received.

use std::collections::HashMap;
use std::net::SocketAddr;
use std::sync::{Arc, Mutex};
use std::time::Duration;

use bytes::Bytes;
use heathward_core::memory::MemoryBudget;
use heathward_core::{Attempt, NodeRequest, SendGate, WriteCompletion, WrittenAttempts};
use heathward_policy::{KeyId, NodeId, RequestId, VolumeId};
use tokio::io::{AsyncReadExt, AsyncWriteExt};
use tokio::net::TcpStream;
use tokio::time::{sleep, Instant};

use crate::message::{header, listen, read_message};

/// Delay of the answers of [`NodeBehavior::LateServe`] and [`NodeBehavior::LateError`].
pub const LATE_ANSWER_DELAY: Duration = Duration::from_millis(200);

/// How a node handles a request.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum NodeBehavior {
    /// Answers with success.
    Serve,
    /// Answers with success after [`LATE_ANSWER_DELAY`].
    LateServe,
    /// Answers with success and closes the connection.
    ServeThenClose,
    /// Answers with an error.
    Error,
    /// Answers with an error after [`LATE_ANSWER_DELAY`].
    LateError,
    /// Rejects the request without executing it.
    Reject,
    /// Reads the request and never answers.
    Silent,
    /// Reads the request and closes the connection.
    Reset,
    /// Closes the connection without reading the request.
    HangUp,
    /// Announces a longer body than it sends, and closes the connection.
    Cut,
    /// Answers with this text, and keeps the connection open.
    Reply(&'static str),
    /// Keeps the body of each write, and answers a read of the same object with it. An object that was never
    /// written has this many zero bytes.
    Store(usize),
    /// Keeps the body of each write, but answers a read with this many bytes of data, whatever was requested.
    ServeBytes(usize),
    /// An NVMe target requests only this many bytes of the data of a write that is not in its capsule, and
    /// completes it with success; an HTTP node handles it as [`NodeBehavior::Store`].
    RequestBytes(usize),
}

/// Returns an attempt of a read that no policy has decided on, with this deadline: for tests of writers and
/// connections.
pub fn attempt(gate: SendGate, until: Instant) -> Attempt {
    let work = NodeRequest {
        client_request_id: "0000000000000001".into(),
        class_name: "consulta".into(),
        is_write: false,
        target: "/consulta/0/0".into(),
        idempotency_key: None,
        volume: VolumeId(1),
        key: KeyId(1),
        units: 1,
        read_length: None,
        body: Bytes::new(),
        upload: None,
    };
    Attempt {
        request: RequestId(1),
        number: 0,
        node: NodeId(0),
        deadline: until,
        client_deadline: until,
        connect_deadline: until,
        node_request: work.into(),
        send_gate: gate,
        cancel: Default::default(),
        written_attempts: WrittenAttempts::default(),
        write_completion: WriteCompletion::default(),
        memory: MemoryBudget::default(),
    }
}

/// A request that a node has received.
#[derive(Clone, Debug)]
pub struct ReceivedRequest {
    /// Number of the node.
    pub node: u32,
    /// Head of the request; empty for an NVMe command.
    pub head: String,
    /// Id of the request; for an NVMe command, its block.
    pub call: String,
    /// Body of the request.
    pub body: Vec<u8>,
    /// When its last byte was read.
    pub at: Instant,
    /// Number of attempts with this id that were open at any node, including this one.
    pub open_attempts: usize,
}

/// The log of the requests at all nodes of a test; clones share it.
#[derive(Clone, Default)]
pub struct Log {
    /// The requests, in the order in which they were received.
    pub seen: Arc<Mutex<Vec<ReceivedRequest>>>,
    /// Number of open attempts, by request id.
    pub open: Arc<Mutex<HashMap<String, usize>>>,
}

impl Log {
    /// Returns the requests that were received so far.
    ///
    /// # Panics
    /// If a holder of the log panicked.
    pub fn all(&self) -> Vec<ReceivedRequest> {
        self.seen.lock().expect("no holder of the lock panics").clone()
    }

    /// Records a request whose last byte was read.
    ///
    /// # Panics
    /// If a holder of the log panicked.
    pub fn record_request(&self, node: u32, head: &str, call: &str, body: &[u8]) {
        let (head, call, at) = (head.to_owned(), call.to_owned(), Instant::now());
        let open_attempts = self
            .open
            .lock()
            .expect("no holder of the lock panics")
            .entry(call.clone())
            .and_modify(|n| *n += 1)
            .or_insert(1)
            .to_owned();
        self.seen.lock().expect("no holder of the lock panics").push(ReceivedRequest {
            node,
            head,
            call,
            body: body.to_vec(),
            at,
            open_attempts,
        });
    }

    /// Records that a request was answered or its connection was closed.
    ///
    /// # Panics
    /// If that request was not recorded, or a holder of the log panicked.
    pub fn record_end(&self, call: &str) {
        *self
            .open
            .lock()
            .expect("no holder of the lock panics")
            .get_mut(call)
            .expect("a request that was begun") -= 1;
    }

    /// Checks that no attempt began while another one with its id was open.
    ///
    /// # Panics
    /// If two attempts of a request were open at once.
    pub fn check_one_at_a_time(&self) {
        assert!(
            self.all().iter().all(|request| request.open_attempts == 1),
            "two attempts at once: {:?}",
            self.all()
        );
    }
}

/// The behaviors of a node for one request after the other; the last one is repeated. Clones share their
/// position.
#[derive(Clone, Debug)]
pub struct Script(Arc<Mutex<(Vec<NodeBehavior>, usize)>>);

impl Script {
    /// Creates a script of these steps.
    pub fn new(steps: &[NodeBehavior]) -> Self {
        Self(Arc::new(Mutex::new((steps.to_vec(), 0))))
    }

    /// Returns the next step.
    ///
    /// # Panics
    /// If a holder of the script panicked.
    pub fn next(&self) -> NodeBehavior {
        let (steps, at) = &mut *self.0.lock().expect("no holder of the lock panics");
        *at += 1;
        steps[(*at - 1).min(steps.len() - 1)]
    }

    /// Replaces all further steps by one.
    ///
    /// # Panics
    /// If a holder of the script panicked.
    pub fn set(&self, behavior: NodeBehavior) {
        *self.0.lock().expect("no holder of the lock panics") = (vec![behavior], 0);
    }
}

/// The objects that a node keeps, by volume and object id.
type Objects = Arc<Mutex<HashMap<String, Vec<u8>>>>;

/// Starts an HTTP node that follows `script`, and returns its address.
pub async fn http_node(number: u32, script: &[NodeBehavior], log: &Log) -> SocketAddr {
    scripted_node(number, Script::new(script), log).await
}

/// Starts an HTTP node that follows a script which the test may change, and returns its address.
///
/// # Panics
/// If there is no free port.
pub async fn scripted_node(number: u32, script: Script, log: &Log) -> SocketAddr {
    let (listener, address) = listen().await;
    let log = log.clone();
    let objects = Objects::default();
    tokio::spawn(async move {
        loop {
            let (stream, _) = listener.accept().await.expect("a connection");
            tokio::spawn(node_connection(stream, number, script.clone(), log.clone(), objects.clone()));
        }
    });
    address
}

async fn node_connection(mut stream: TcpStream, number: u32, script: Script, log: Log, objects: Objects) {
    loop {
        let mut first = [0];
        if stream.peek(&mut first).await.unwrap_or(0) == 0 {
            return;
        }
        let behavior = script.next();
        if behavior == NodeBehavior::HangUp {
            return;
        }
        let Some((lower_case_head, head, body)) = read_message(&mut stream).await else { return };
        let call = header(&lower_case_head, "x-call-id").expect("a request id").to_owned();
        log.record_request(number, &head, &call, &body);
        if matches!(behavior, NodeBehavior::LateServe | NodeBehavior::LateError) {
            sleep(LATE_ANSWER_DELAY).await;
        }
        let stored_answer;
        let answer = match behavior {
            NodeBehavior::ServeBytes(length) if head.starts_with("GET ") => {
                stored_answer = served(&vec![7; length]);
                stored_answer.as_slice()
            }
            NodeBehavior::Store(unwritten_bytes)
            | NodeBehavior::ServeBytes(unwritten_bytes)
            | NodeBehavior::RequestBytes(unwritten_bytes) => {
                stored_answer = store_or_load(&objects, &head, body, unwritten_bytes);
                stored_answer.as_slice()
            }
            NodeBehavior::Serve | NodeBehavior::LateServe | NodeBehavior::ServeThenClose => {
                b"HTTP/1.1 200 OK\r\ncontent-length: 5\r\n\r\nhello".as_slice()
            }
            NodeBehavior::Error | NodeBehavior::LateError => {
                b"HTTP/1.1 500 Oops\r\ncontent-length: 0\r\n\r\n"
            }
            NodeBehavior::Reject => b"HTTP/1.1 503 Full\r\nx-rejected: 1\r\ncontent-length: 0\r\n\r\n",
            NodeBehavior::Cut => b"HTTP/1.1 200 OK\r\ncontent-length: 50\r\n\r\nhello",
            NodeBehavior::Silent => {
                // Until the scheduler closes.
                let _ = stream.read(&mut first).await;
                log.record_end(&call);
                return;
            }
            NodeBehavior::Reply(this) => this.as_bytes(),
            NodeBehavior::Reset | NodeBehavior::HangUp => b"",
        };
        log.record_end(&call);
        stream.write_all(answer).await.expect("the scheduler reads");
        if matches!(behavior, NodeBehavior::Reset | NodeBehavior::Cut | NodeBehavior::ServeThenClose) {
            return;
        }
    }
}

/// Returns a 200 answer with this body.
fn served(body: &[u8]) -> Vec<u8> {
    let head = format!("HTTP/1.1 200 OK\r\ncontent-length: {}\r\n\r\n", body.len());
    [head.as_bytes(), body].concat()
}

/// Keeps the body of a write, and returns the answer to the request.
fn store_or_load(objects: &Objects, head: &str, body: Vec<u8>, unwritten_bytes: usize) -> Vec<u8> {
    let mut objects = objects.lock().expect("no holder of the lock panics");
    let target = head.split(' ').nth(1).expect("a request line");
    // The first part of the path is the class, which differs between reads and writes.
    let object = target.splitn(3, '/').nth(2).expect("a volume and an object").to_owned();
    if head.starts_with("PUT ") {
        objects.insert(object, body);
        return served(b"");
    }
    served(objects.get(&object).unwrap_or(&vec![0; unwritten_bytes]))
}
