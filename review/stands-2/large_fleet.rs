//! Case: the fleet has sixteen times the usual storage nodes. Their list takes the scheduler over the least
//! memory that the pages name.

mod stands;

use std::fs;
use std::net::TcpStream;
use std::sync::atomic::{AtomicUsize, Ordering};
use std::sync::Arc;
use std::thread;
use std::time::{Duration, Instant};

use stands::{
    free_port, has_trouble, listen, new_id, start_watchdog, Config, Connection, Discovery, Folder, Member,
    Process, Random, Record, Request, BROKEN, HELD,
};

/// Storage nodes of the usual fleet, and of the largest one.
const USUAL_NODES: usize = 200;
const MOST_NODES: usize = 3_200;
/// The storage nodes that requests name; a scheduler meets most of the others seldom, here never.
const MET_NODES: usize = 200;
const MEMORY_MB: u32 = 32;
const CLIENTS: usize = 4;
/// The pause of a client between an answer and its next request: some 40 requests a second in all.
const PAUSE: Duration = Duration::from_millis(80);
const LENGTH: Duration = Duration::from_secs(25);

/// The storage nodes of a fleet. Those that no request names have loopback addresses at which nobody listens.
fn start_fleet(nodes: usize, record: &Record) -> Vec<Member> {
    let member = |cell: usize| {
        let id = format!("s-{:08x}", (cell as u32).wrapping_mul(2654435761));
        if cell < MET_NODES {
            let listener = listen();
            let port = listener.local_addr().map_or(0, |address| address.port());
            let record = record.clone();
            thread::Builder::new()
                .stack_size(64 << 10)
                .spawn(move || {
                    for stream in listener.incoming().flatten() {
                        let record = record.clone();
                        let serving = thread::Builder::new().stack_size(128 << 10);
                        drop(serving.spawn(move || drop(serve(stream, cell, &record))));
                    }
                })
                .unwrap_or_else(|error| stands::give_up(&error.to_string()));
            Member::new(&id, port, cell as u32)
        } else {
            let host = format!("127.1.{}.{}", cell / 250, 1 + cell % 250);
            Member { host, ..Member::new(&id, 8080, cell as u32) }
        }
    };
    (0..nodes).map(member).collect()
}

fn serve(stream: TcpStream, cell: usize, record: &Record) -> std::io::Result<()> {
    let mut connection = Connection::new(stream);
    loop {
        let head = connection.read_head()?;
        let id = head.header("x-call-id").unwrap_or("").to_owned();
        record.add(&format!("node {cell} got {id}"));
        thread::sleep(Duration::from_millis(15));
        connection.write(format!("HTTP/1.1 200 OK\r\nContent-Length: 16\r\n\r\n{id:.16}").as_bytes())?;
    }
}

fn run_client(port: u16, number: usize, record: &Record) -> usize {
    let (end, mut random) = (Instant::now() + LENGTH, Random(number as u64 * 31 + 5));
    let (mut kept, mut served) = (None::<Connection>, 0);
    while Instant::now() < end {
        thread::sleep(PAUSE);
        let request = Request {
            id: new_id(),
            class: "consulta",
            volume: (random.draw() * 400.0) as u64,
            key: (random.draw() * 1e9) as u64,
            cell: (random.draw() * MET_NODES as f64) as u32,
            budget_ms: 1000,
            body: Vec::new(),
        };
        let Some(mut connection) = kept.take().or_else(|| Connection::open(port).ok()) else { continue };
        let answer = connection.write(&request.encode()).and_then(|()| connection.read_head());
        let Ok(head) = answer.and_then(|head| connection.read_body(head.length()).map(|_| head)) else {
            continue;
        };
        record.add(&format!("client {number}: {} for cell {} got {}", request.id, request.cell, head.status));
        served += usize::from(head.status == 200);
        if head.header("connection") != Some("close") {
            kept = Some(connection);
        }
    }
    served
}

/// Returns a line of the process's status in kB.
fn status_kb(process: &Process, name: &str) -> u64 {
    let status = fs::read_to_string(format!("/proc/{}/status", process.id())).unwrap_or_default();
    let line = status.lines().find_map(|line| line.strip_prefix(name)?.strip_prefix(':'));
    line.and_then(|rest| rest.split_whitespace().next()).and_then(|kb| kb.parse().ok()).unwrap_or(0)
}

fn main() {
    start_watchdog(Duration::from_secs(100));
    let (record, folder) = (Record::create(), Folder::create());
    let nodes = if has_trouble() { MOST_NODES } else { USUAL_NODES };
    let discovery = Discovery::start(start_fleet(nodes, &record));
    let config = Config {
        listen: free_port(),
        ops: free_port(),
        discovery: discovery.port,
        memory_mb: MEMORY_MB,
        sockets: 1024,
        known: discovery.complete_list(),
        settings: stands::settings().replace("\"slotsTotal\":4", &format!("\"slotsTotal\":{nodes}")),
    };
    let mut process = Process::start(&config, &folder, "n0");
    process.wait_until_ready(config.listen);
    thread::sleep(Duration::from_secs(1));
    let at_start = status_kb(&process, "VmRSS");
    record.say(&format!("{nodes} storage nodes; ready with {at_start} kB before the first request"));
    let served = Arc::new(AtomicUsize::new(0));
    let clients: Vec<_> = (0..CLIENTS)
        .map(|number| {
            let (record, served, port) = (record.clone(), served.clone(), config.listen);
            thread::spawn(move || served.fetch_add(run_client(port, number, &record), Ordering::Relaxed))
        })
        .collect();
    clients.into_iter().for_each(|client| drop(client.join()));
    let (peak, limit) = (status_kb(&process, "VmHWM"), u64::from(MEMORY_MB) * 1024);
    record.say(&format!(
        "{} requests served; {peak} kB of resident memory at most, {limit} kB are allowed",
        served.load(Ordering::Relaxed)
    ));
    let has_ended = process.has_ended();
    drop((process, folder));
    if peak == 0 || served.load(Ordering::Relaxed) == 0 {
        stands::give_up(if has_ended { "the scheduler ended" } else { "nothing was served" });
    }
    std::process::exit(if peak > limit { BROKEN } else { HELD });
}
