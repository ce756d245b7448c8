//! Case: the second copy of an answer comes some milliseconds late, and is taken for the answer to the next
//! request on that connection.

mod stands;

use std::collections::HashMap;
use std::net::TcpStream;
use std::sync::atomic::{AtomicUsize, Ordering};
use std::sync::{Arc, Mutex};
use std::thread;
use std::time::{Duration, Instant};

use stands::{
    free_port, has_trouble, listen, new_id, start_watchdog, Config, Connection, Discovery, Folder, Member,
    Process, Random, Record, Request, BROKEN, HELD,
};

/// One way between a scheduler and a storage node (site: 0.42 to 0.78 ms between halls).
const ONE_WAY: Duration = Duration::from_micros(500);
/// The share of answers that are followed by a second copy.
const COPIED: f64 = 0.05;
/// How long after the answer the second copy leaves the storage node.
const LATE_MS: (f64, f64) = (2.0, 9.0);
/// How long a storage node works for a request.
const WORK_MS: (f64, f64) = (10.0, 20.0);
const CLIENTS: usize = 10;
/// The mean pause of a client between an answer and its next request.
const PAUSE_MS: f64 = 60.0;
const LENGTH: Duration = Duration::from_secs(30);

/// What the storage nodes have seen of a request.
#[derive(Default)]
struct Ledger(Mutex<HashMap<String, &'static str>>);

impl Ledger {
    fn set(&self, id: &str, state: &'static str) {
        if let Ok(mut states) = self.0.lock() {
            states.insert(id.to_owned(), state);
        }
    }

    fn get(&self, id: &str) -> &'static str {
        self.0.lock().ok().and_then(|states| states.get(id).copied()).unwrap_or("not sent")
    }
}

struct Node {
    record: Record,
    ledger: Arc<Ledger>,
    copies: Arc<AtomicUsize>,
}

impl Node {
    /// Serves a connection. The stand-in holds the way to and from the scheduler: a request that is read here
    /// at a time arrives at the storage node `ONE_WAY` later, and what leaves the storage node is written
    /// here `ONE_WAY` later.
    fn serve(&self, stream: TcpStream, seed: u64) -> std::io::Result<()> {
        let (mut connection, mut random) = (Connection::new(stream), Random(seed));
        loop {
            let head = connection.read_head()?;
            connection.read_body(head.length())?;
            let id = head.header("x-call-id").unwrap_or("").to_owned();
            self.ledger.set(&id, "runs");
            self.record.add(&format!("node got {id}"));
            let work_ms = WORK_MS.0 + (WORK_MS.1 - WORK_MS.0) * random.draw();
            thread::sleep(ONE_WAY + Duration::from_secs_f64(work_ms / 1000.0));
            // The answer leaves the storage node now.
            let left_at = Instant::now();
            self.ledger.set(&id, "has run");
            let answer = format!("HTTP/1.1 200 OK\r\nContent-Length: {}\r\n\r\n{id}", id.len());
            thread::sleep(ONE_WAY);
            connection.write(answer.as_bytes())?;
            self.record.add(&format!("node answered {id}"));
            if !has_trouble() || random.draw() >= COPIED {
                continue;
            }
            let late_ms = LATE_MS.0 + (LATE_MS.1 - LATE_MS.0) * random.draw();
            let copy_at = left_at + Duration::from_secs_f64(late_ms / 1000.0);
            // A request that has arrived at the storage node by then was read here `ONE_WAY` before.
            if self.is_request_waiting(&connection, copy_at - ONE_WAY) {
                continue;
            }
            thread::sleep((copy_at + ONE_WAY).saturating_duration_since(Instant::now()));
            connection.write(answer.as_bytes())?;
            self.copies.fetch_add(1, Ordering::Relaxed);
            self.record.add(&format!("node wrote a second copy of the answer to {id}, {late_ms:.1} ms late"));
        }
    }

    /// Whether bytes are waiting on the connection at that time.
    fn is_request_waiting(&self, connection: &Connection, at: Instant) -> bool {
        loop {
            let left = at.saturating_duration_since(Instant::now());
            let _ = connection.stream.set_nonblocking(true);
            let is_waiting = connection.stream.peek(&mut [0]).is_ok();
            let _ = connection.stream.set_nonblocking(false);
            if is_waiting || left.is_zero() {
                return is_waiting;
            }
            thread::sleep(left.min(Duration::from_micros(200)));
        }
    }
}

fn start_node(cell: u32, record: &Record, ledger: &Arc<Ledger>, copies: &Arc<AtomicUsize>) -> Member {
    let listener = listen();
    let port = listener.local_addr().map_or(0, |address| address.port());
    let node = Node { record: record.clone(), ledger: ledger.clone(), copies: copies.clone() };
    let node = Arc::new(node);
    thread::spawn(move || {
        for (number, stream) in listener.incoming().flatten().enumerate() {
            let node = node.clone();
            let seed = u64::from(cell) << 32 | number as u64 + 1;
            // The scheduler may close a connection at any time.
            thread::spawn(move || drop(node.serve(stream, seed)));
        }
    });
    Member::new(&format!("s-5be2a0{cell:02x}"), port, cell)
}

/// What clients have got.
#[derive(Default)]
struct Totals {
    served: AtomicUsize,
    refused: AtomicUsize,
    failed: AtomicUsize,
    foreign: AtomicUsize,
}

fn run_client(port: u16, number: usize, cells: u32, record: &Record, ledger: &Ledger, totals: &Totals) {
    let (end, mut random) = (Instant::now() + LENGTH, Random(number as u64 * 977 + 13));
    let mut kept: Option<Connection> = None;
    while Instant::now() < end {
        thread::sleep(Duration::from_secs_f64(-PAUSE_MS / 1000.0 * (1.0 - random.draw()).ln()));
        let is_write = random.draw() < 0.3;
        let class = if is_write { "pedido" } else { "consulta" };
        let cell = (random.draw() * f64::from(cells)) as u32;
        let request = Request {
            id: new_id(),
            class,
            volume: (random.draw() * 12.0) as u64,
            key: (random.draw() * 1e9) as u64,
            cell,
            budget_ms: if is_write { 1500 } else { 1000 },
            body: if is_write { vec![b'o'; 212] } else { Vec::new() },
        };
        let mut connection = match kept.take() {
            Some(connection) => connection,
            None => match Connection::open(port) {
                Ok(connection) => connection,
                Err(_) => continue,
            },
        };
        record.add(&format!("client {number} sent {} ({class})", request.id));
        let answer = connection.write(&request.encode()).and_then(|()| connection.read_head());
        let answer = answer.and_then(|head| Ok((connection.read_body(head.length())?, head)));
        let Ok((body, head)) = answer else {
            record.add(&format!("client {number}: {} ended without an answer", request.id));
            continue;
        };
        let body = String::from_utf8_lossy(&body).into_owned();
        record.add(&format!("client {number}: {} got {} {body:?}", request.id, head.status));
        match head.status {
            200 if body == request.id => _ = totals.served.fetch_add(1, Ordering::Relaxed),
            200 => {
                totals.foreign.fetch_add(1, Ordering::Relaxed);
                record.say(&format!(
                    "{class} {} was answered 200 with the body of {body}; at the storage node it {}",
                    request.id,
                    ledger.get(&request.id)
                ));
            }
            429 | 503 => _ = totals.refused.fetch_add(1, Ordering::Relaxed),
            _ => _ = totals.failed.fetch_add(1, Ordering::Relaxed),
        }
        if !head.header("connection").is_some_and(|value| value.eq_ignore_ascii_case("close")) {
            kept = Some(connection);
        }
    }
}

fn main() {
    start_watchdog(Duration::from_secs(110));
    let (record, folder) = (Record::create(), Folder::create());
    let (ledger, copies) = (Arc::<Ledger>::default(), Arc::<AtomicUsize>::default());
    let cells = 2;
    let members: Vec<Member> = (0..cells).map(|cell| start_node(cell, &record, &ledger, &copies)).collect();
    let discovery = Discovery::start(members);
    let config = Config {
        listen: free_port(),
        ops: free_port(),
        discovery: discovery.port,
        memory_mb: 192,
        sockets: 1024,
        known: discovery.complete_list(),
        settings: stands::settings(),
    };
    let mut process = Process::start(&config, &folder, "n0");
    process.wait_until_ready(config.listen);
    let totals = Arc::<Totals>::default();
    let clients: Vec<_> = (0..CLIENTS)
        .map(|number| {
            let (record, ledger, totals) = (record.clone(), ledger.clone(), totals.clone());
            let port = config.listen;
            thread::spawn(move || run_client(port, number, cells, &record, &ledger, &totals))
        })
        .collect();
    clients.into_iter().for_each(|client| drop(client.join()));
    let count = |total: &AtomicUsize| total.load(Ordering::Relaxed);
    let foreign = count(&totals.foreign);
    record.say(&format!(
        "{} served, {} refused, {} failed, {foreign} served with the answer to another request; \
         {} second copies",
        count(&totals.served),
        count(&totals.refused),
        count(&totals.failed),
        count(&copies)
    ));
    drop((process, folder));
    std::process::exit(if foreign > 0 { BROKEN } else { HELD });
}
