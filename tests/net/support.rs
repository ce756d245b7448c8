//! Stand-ins: storage nodes that do as a script says, a client, and the scheduler before them.

use std::collections::HashMap;
use std::net::SocketAddr;
use std::sync::{Arc, Mutex};
use std::time::Duration;

use heathward::core::{self, Core, Counters, Member, Message};
use heathward::net::config::{self, Config};
use heathward::net::http::{self, Front, Room};
use heathward::net::node::{self, Figures, HttpLink, Pool};
use heathward::net::nvme::{Map, NvmeLink};
use tokio::io::{AsyncReadExt, AsyncWriteExt};
use tokio::net::{TcpListener, TcpSocket, TcpStream};
use tokio::sync::{mpsc, watch};
use tokio::time::{sleep, timeout, Instant};

/// Nothing here takes longer, however loaded the machine.
pub const PATIENCE: Duration = Duration::from_secs(20);

/// A configuration whose known list is `members`.
pub fn config_text(listen: &str, discovery: &str, members: &str) -> String {
    let class = |name: &str, aim: u32, deadline: u32, repeat: &str| {
        format!(
            r#"{{"name":"{name}","aimMs":{aim},"deadlineMs":{deadline},"credit":2,"lateWorth":0.2,
            "repeat":"{repeat}","dedupScope":"cell","dedupWindowMs":2500.0,"stream":false}}"#
        )
    };
    let plan = |name: &str, reserve: f64| {
        format!(r#"{{"name":"{name}","usualRate":500.0,"reserve":{reserve},"parts":1,"price":1}}"#)
    };
    format!(
        r#"{{"name":"n0","listen":"{listen}","discovery":"{discovery}","seed":"8c1f30d27a5be964",
        "limits":{{"cores":1.0,"memory_mb":192,"sockets":256}},
        "known":{{"revision":7,"complete":true,"members":[{members}]}},
        "settings":{{"balancers":1,"slotNo":0,"discovery":"pushed","resolutionMs":2.0,
        "lanes":[{},{}],"contracts":[{},{}],
        "familyInfo":{{"unitMean":2.0,"maxUnits":8,"withinShare":0.3,"spareWorth":0.05,"youngLimit":24.0,
            "changesData":[false,true]}},
        "limits":{{"sendCap":3,"connectTimeoutMs":1000.0,"idleCloseMs":15000.0,"retryAfter":true,
            "maxRetryAfterMs":2000.0}},
        "safety":{{"coldShare":0.24,"coldMs":6000.0,"fallMs":500.0}}}}}}"#,
        class("consulta", 150, 1000, "free"),
        class("pedido", 250, 700, "guarded"),
        plan("basico", 0.0),
        plan("prioritario", 500.0),
    )
}

pub fn member(id: &str, address: SocketAddr, shard: u32, phase: &str, up_since_ms: u128) -> String {
    format!(
        r#"{{"id":"{id}","host_port":"{address}","locality":"a","flavor":"m","cell":{shard},
        "phase":"{phase}","size":1.0,"up_since_ms":{up_since_ms}}}"#
    )
}

/// Clients' connections that the front holds.
pub const ROOM: usize = 32;
/// How late [`Does::LateError`] is.
pub const LATE: Duration = Duration::from_millis(200);

/// What a node does with a request.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Does {
    Serve,
    ServeThenClose,
    Error,
    /// An error after [`LATE`].
    LateError,
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
}

/// What nodes have seen, all together.
#[derive(Clone, Debug)]
pub struct Seen {
    pub node: u32,
    pub head: String,
    pub call: String,
    pub body: Vec<u8>,
    pub at: Instant,
    /// Attempts with this call's id whose connection was open at some node, this one included.
    pub beside: usize,
}

#[derive(Clone, Default)]
pub struct Log {
    pub seen: Arc<Mutex<Vec<Seen>>>,
    pub open: Arc<Mutex<HashMap<String, usize>>>,
}

impl Log {
    pub fn all(&self) -> Vec<Seen> {
        self.seen.lock().unwrap().clone()
    }

    pub fn note(&self, node: u32, head: &str, call: &str, body: &[u8]) {
        let (head, call, at) = (head.to_owned(), call.to_owned(), Instant::now());
        let beside =
            self.open.lock().unwrap().entry(call.clone()).and_modify(|n| *n += 1).or_insert(1).to_owned();
        self.seen.lock().unwrap().push(Seen { node, head, call, body: body.to_vec(), at, beside });
    }

    pub fn over(&self, call: &str) {
        *self.open.lock().unwrap().get_mut(call).unwrap() -= 1;
    }

    /// No attempt began beside another of its call.
    pub fn check_one_at_a_time(&self) {
        assert!(self.all().iter().all(|s| s.beside == 1), "two attempts at once: {:?}", self.all());
    }
}

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

pub fn header<'a>(head: &'a str, name: &str) -> Option<&'a str> {
    head.lines().find_map(|line| line.strip_prefix(name)?.strip_prefix(": "))
}

/// An HTTP node that does `script` in turn, the last of it for ever.
pub async fn http_node(number: u32, script: &[Does], log: &Log) -> SocketAddr {
    let (listener, address) = listen().await;
    let (script, log) = (Arc::new(Mutex::new((script.to_vec(), 0))), log.clone());
    tokio::spawn(async move {
        loop {
            let (stream, _) = listener.accept().await.unwrap();
            tokio::spawn(node_connection(stream, number, script.clone(), log.clone()));
        }
    });
    address
}

pub fn next(script: &Mutex<(Vec<Does>, usize)>) -> Does {
    let (steps, at) = &mut *script.lock().unwrap();
    *at += 1;
    steps[(*at - 1).min(steps.len() - 1)]
}

async fn node_connection(
    mut stream: TcpStream,
    number: u32,
    script: Arc<Mutex<(Vec<Does>, usize)>>,
    log: Log,
) {
    loop {
        let mut first = [0];
        if stream.peek(&mut first).await.unwrap_or(0) == 0 {
            return;
        }
        let does = next(&script);
        if does == Does::HangUp {
            return;
        }
        let Some((small, head, body)) = read_message(&mut stream).await else { return };
        let call = header(&small, "x-call-id").unwrap().to_owned();
        log.note(number, &head, &call, &body);
        if does == Does::LateError {
            sleep(LATE).await;
        }
        let answer = match does {
            Does::Serve | Does::ServeThenClose => "HTTP/1.1 200 OK\r\ncontent-length: 5\r\n\r\nhello",
            Does::Error | Does::LateError => "HTTP/1.1 500 Oops\r\ncontent-length: 0\r\n\r\n",
            Does::Reject => "HTTP/1.1 503 Full\r\nx-rejected: 1\r\ncontent-length: 0\r\n\r\n",
            Does::Cut => "HTTP/1.1 200 OK\r\ncontent-length: 50\r\n\r\nhello",
            Does::Silent => {
                // Until the scheduler closes.
                let _ = stream.read(&mut first).await;
                log.over(&call);
                return;
            }
            Does::Say(this) => this,
            Does::Reset | Does::HangUp => "",
        };
        log.over(&call);
        stream.write_all(answer.as_bytes()).await.unwrap();
        if matches!(does, Does::Reset | Does::Cut | Does::ServeThenClose) {
            return;
        }
    }
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

/// The scheduler before such nodes.
pub struct Rig {
    pub core: Core,
    pub front: SocketAddr,
    pub _stop: watch::Sender<bool>,
}

pub async fn rig(members: &[String], nvme: Option<Arc<Map>>) -> Rig {
    rig_of(&config_text("127.0.0.1:1", "127.0.0.1:1", &members.join(",")), nvme).await
}

pub async fn rig_of(text: &str, nvme: Option<Arc<Map>>) -> Rig {
    let Config { seed, known, deployment, .. } = config::parse(text).unwrap();
    let deployment = Arc::new(deployment);
    let (_, figures) = watch::channel(Figures::new(&deployment, 64, 4));
    let pool = Pool::new(figures);
    let dial = move |member: &Member, core: mpsc::Sender<Message>| {
        if let Some(map) = &nvme {
            if let Some(target) = map.targets.iter().find(|t| *t.node == *member.id) {
                let link = NvmeLink::new(member.address, &target.subsystem, map.clone());
                return node::spawn(link, pool.clone(), core);
            }
        }
        node::spawn(HttpLink::new(member.address), pool.clone(), core)
    };
    let core = core::start(deployment.clone(), seed, Box::new(dial)).unwrap();
    core.mailbox().send(Message::News(known)).await.unwrap();
    let (listener, front) = listen().await;
    let (stop, stopping) = watch::channel(false);
    tokio::spawn(http::serve(listener, Front::new(core.clone()), Room::new(ROOM), stopping));
    Rig { core, front, _stop: stop }
}

impl Rig {
    pub async fn counters(&self) -> Counters {
        self.core.figures().await.unwrap().counters
    }

    /// Waits until the counters are so.
    pub async fn until(&self, so: impl Fn(&Counters) -> bool) -> Counters {
        let by = Instant::now() + PATIENCE;
        loop {
            let counters = self.counters().await;
            if so(&counters) {
                return counters;
            }
            assert!(Instant::now() < by, "never came: {counters}");
            sleep(Duration::from_millis(5)).await;
        }
    }

    pub async fn ask(&self, request: &str) -> (u16, String, Vec<u8>) {
        let mut stream = TcpStream::connect(self.front).await.unwrap();
        stream.write_all(request.as_bytes()).await.unwrap();
        answer(&mut stream).await
    }
}

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
