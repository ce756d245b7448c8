//! A storage node that does as a script says, and the log of what it saw.

use std::collections::HashMap;
use std::net::SocketAddr;
use std::sync::{Arc, Mutex};
use std::time::Duration;

use bytes::Bytes;
use heathward_core::{Attempt, NodeRequest, SendGate, WriteCompletion, WrittenAttempts};
use heathward_policy::{KeyId, NodeId, RequestId, VolumeId};
use tokio::io::{AsyncReadExt, AsyncWriteExt};
use tokio::net::TcpStream;
use tokio::time::{sleep, Instant};

use crate::message::{header, listen, read_message};

/// How late [`Does::LateServe`] and [`Does::LateError`] are.
pub const LATE: Duration = Duration::from_millis(200);

/// What a node does with a request.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Does {
    /// Answers well.
    Serve,
    /// Answers well after [`LATE`].
    LateServe,
    /// Answers well and closes.
    ServeThenClose,
    /// An error.
    Error,
    /// An error after [`LATE`].
    LateError,
    /// Turns it away unseen.
    Reject,
    /// Reads it all and never answers.
    Silent,
    /// Reads it all and closes.
    Reset,
    /// Closes with the request unread.
    HangUp,
    /// Promises more of a body than it sends.
    Cut,
    /// Answers that, and keeps the connection.
    Say(&'static str),
    /// Keeps the body of each write, and answers a read of the same object with it. An object that was never
    /// written has this many zero bytes.
    Store(usize),
    /// Keeps the body of each write, but answers a read with this many bytes of data, whatever was requested.
    ServeBytes(usize),
    /// An NVMe target requests only this many bytes of the data of a write that is not in its capsule, and
    /// completes it with success; an HTTP node does as for [`Does::Store`].
    RequestBytes(usize),
}

/// An attempt of a read that nobody has decided on, given up then: for tests of what writes and what dials.
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
        connect_deadline: until,
        node_request: work.into(),
        send_gate: gate,
        cancel: Default::default(),
        written_attempts: WrittenAttempts::default(),
        write_completion: WriteCompletion::default(),
    }
}

/// What nodes have seen, all together.
#[derive(Clone, Debug)]
pub struct Seen {
    /// The node's number.
    pub node: u32,
    /// The request's head.
    pub head: String,
    /// Its id.
    pub call: String,
    /// Its body.
    pub body: Vec<u8>,
    /// When it was read whole.
    pub at: Instant,
    /// Attempts with this call's id whose connection was open at some node, this one included.
    pub beside: usize,
}

/// The nodes' common log.
#[derive(Clone, Default)]
pub struct Log {
    /// What came, in order.
    pub seen: Arc<Mutex<Vec<Seen>>>,
    /// Attempts that are open, by call.
    pub open: Arc<Mutex<HashMap<String, usize>>>,
}

impl Log {
    /// What came so far.
    ///
    /// # Panics
    /// If a holder of the log panicked.
    pub fn all(&self) -> Vec<Seen> {
        self.seen.lock().expect("no holder of the lock panics").clone()
    }

    /// A request was read whole.
    ///
    /// # Panics
    /// If a holder of the log panicked.
    pub fn note(&self, node: u32, head: &str, call: &str, body: &[u8]) {
        let (head, call, at) = (head.to_owned(), call.to_owned(), Instant::now());
        let beside = self
            .open
            .lock()
            .expect("no holder of the lock panics")
            .entry(call.clone())
            .and_modify(|n| *n += 1)
            .or_insert(1)
            .to_owned();
        self.seen.lock().expect("no holder of the lock panics").push(Seen {
            node,
            head,
            call,
            body: body.to_vec(),
            at,
            beside,
        });
    }

    /// It is answered, or broken off.
    ///
    /// # Panics
    /// If that request was not begun, or a holder of the log panicked.
    pub fn over(&self, call: &str) {
        *self
            .open
            .lock()
            .expect("no holder of the lock panics")
            .get_mut(call)
            .expect("a request that was begun") -= 1;
    }

    /// No attempt began beside another of its call.
    ///
    /// # Panics
    /// If two attempts of a request were in flight at once.
    pub fn check_one_at_a_time(&self) {
        assert!(self.all().iter().all(|s| s.beside == 1), "two attempts at once: {:?}", self.all());
    }
}

/// What a node does with one request after another, the last step for ever; all its clones are one.
#[derive(Clone, Debug)]
pub struct Script(Arc<Mutex<(Vec<Does>, usize)>>);

impl Script {
    /// These steps.
    pub fn new(steps: &[Does]) -> Self {
        Self(Arc::new(Mutex::new((steps.to_vec(), 0))))
    }

    /// The next step.
    ///
    /// # Panics
    /// If a holder of the script panicked.
    pub fn next(&self) -> Does {
        let (steps, at) = &mut *self.0.lock().expect("no holder of the lock panics");
        *at += 1;
        steps[(*at - 1).min(steps.len() - 1)]
    }

    /// From now on this, for ever.
    ///
    /// # Panics
    /// If a holder of the script panicked.
    pub fn set(&self, does: Does) {
        *self.0.lock().expect("no holder of the lock panics") = (vec![does], 0);
    }
}

/// The objects that a node keeps, by volume and object id.
type Objects = Arc<Mutex<HashMap<String, Vec<u8>>>>;

/// An HTTP node that does `script` in turn, the last of it for ever.
pub async fn http_node(number: u32, script: &[Does], log: &Log) -> SocketAddr {
    scripted_node(number, Script::new(script), log).await
}

/// The same, by a script that may be changed meanwhile.
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
        let does = script.next();
        if does == Does::HangUp {
            return;
        }
        let Some((small, head, body)) = read_message(&mut stream).await else { return };
        let call = header(&small, "x-call-id").expect("a request id").to_owned();
        log.note(number, &head, &call, &body);
        if matches!(does, Does::LateServe | Does::LateError) {
            sleep(LATE).await;
        }
        let stored_answer;
        let answer = match does {
            Does::ServeBytes(length) if head.starts_with("GET ") => {
                stored_answer = served(&vec![7; length]);
                stored_answer.as_slice()
            }
            Does::Store(unwritten_bytes)
            | Does::ServeBytes(unwritten_bytes)
            | Does::RequestBytes(unwritten_bytes) => {
                stored_answer = store_or_load(&objects, &head, body, unwritten_bytes);
                stored_answer.as_slice()
            }
            Does::Serve | Does::LateServe | Does::ServeThenClose => {
                b"HTTP/1.1 200 OK\r\ncontent-length: 5\r\n\r\nhello".as_slice()
            }
            Does::Error | Does::LateError => b"HTTP/1.1 500 Oops\r\ncontent-length: 0\r\n\r\n",
            Does::Reject => b"HTTP/1.1 503 Full\r\nx-rejected: 1\r\ncontent-length: 0\r\n\r\n",
            Does::Cut => b"HTTP/1.1 200 OK\r\ncontent-length: 50\r\n\r\nhello",
            Does::Silent => {
                // Until the scheduler closes.
                let _ = stream.read(&mut first).await;
                log.over(&call);
                return;
            }
            Does::Say(this) => this.as_bytes(),
            Does::Reset | Does::HangUp => b"",
        };
        log.over(&call);
        stream.write_all(answer).await.expect("the scheduler reads");
        if matches!(does, Does::Reset | Does::Cut | Does::ServeThenClose) {
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
