//! Case 3. Clients read and write at a steady rate; each sends a body at the pace that the pages allow a
//! client. With the disruption the bodies of writes are long. The platform kills a scheduler that goes over
//! its limit of memory.

use std::io::{self, BufReader, Write};
use std::net::{SocketAddr, TcpStream};
use std::path::Path;
use std::sync::atomic::{AtomicUsize, Ordering};
use std::sync::Arc;
use std::thread;
use std::time::{Duration, Instant};

use review_stands::config::{config, lanes, Site};
use review_stands::discovery::{Discovery, Member};
use review_stands::http::{read_message, Call, Client};
use review_stands::platform::Scheduler;
use review_stands::record::Record;
use review_stands::{free_address, listen, play, trouble, Verdict};

/// The limits of the deployment: the least memory and half of the most descriptors of the pages.
const MEMORY_MB: u32 = 32;
const SOCKETS: u32 = 512;
/// At most a third of the descriptors are held by clients for requests.
const CLIENTS: usize = SOCKETS as usize / 3;
const SHARDS: u32 = 9;
/// Requests a second, how many of ten are writes, and for how long clients send new ones.
const REQUESTS_PER_S: usize = 30;
const WRITES_OF_TEN: usize = 3;
const SECONDS: usize = 30;
const LONG_BODY: usize = 2_000_000;
const SHORT_BODY: usize = 1_000;
/// The pace at which a client sends a body, in bytes a second, and the bytes that it sends at a time.
const PACE: usize = 64_000;
const PIECE: usize = 4_000;
/// How often the platform looks at the memory of the process.
const MEMORY_INTERVAL: Duration = Duration::from_millis(10);
/// The run ends by then.
const LIMIT: Duration = Duration::from_secs(90);

fn main() {
    play(case);
}

fn case(folder: &Path, record: &Record) -> Result<Verdict, String> {
    let members: Vec<Member> = (0..SHARDS).map(start_node).collect();
    let discovery = Discovery::start(&members);
    let address = free_address();
    let site = Site { memory_mb: MEMORY_MB, sockets: SOCKETS, ..Site::small(address, &discovery, &members) };
    let mut scheduler = Scheduler::start(folder, address, &config(&site, &lanes()), "");
    scheduler.await_ready(Duration::from_secs(10))?;
    let size = if trouble() { LONG_BODY } else { SHORT_BODY };
    record.line(format!("bodies of {size} bytes; limits: {MEMORY_MB} MB, {SOCKETS} descriptors"));
    let (open, served) = (Arc::new(AtomicUsize::new(0)), Arc::new(AtomicUsize::new(0)));
    let (start, mut sent, mut peak_kib, mut next_line) = (Instant::now(), 0, 0, Instant::now());
    let mut verdict = Verdict::Held;
    while sent < REQUESTS_PER_S * SECONDS || (open.load(Ordering::Relaxed) > 0 && start.elapsed() < LIMIT) {
        let is_due = sent < REQUESTS_PER_S * SECONDS
            && start.elapsed().as_secs_f64() >= sent as f64 / REQUESTS_PER_S as f64;
        if is_due {
            // A client that finds a third of the descriptors in use comes later, with the next request.
            if open.load(Ordering::Relaxed) < CLIENTS {
                start_client(address, sent, size, record, &open, &served);
            }
            sent += 1;
        }
        let used_kib = scheduler.resident_kib().ok_or("the scheduler has ended by itself")?;
        peak_kib = used_kib.max(peak_kib);
        if Instant::now() >= next_line {
            let open = open.load(Ordering::Relaxed);
            record.line(format!("platform: memory of the scheduler {used_kib} KiB, {open} requests open"));
            next_line += Duration::from_secs(1);
        }
        if used_kib > u64::from(MEMORY_MB) * 1024 {
            record.line(format!("platform: {used_kib} KiB is over {MEMORY_MB} MB: the scheduler is killed"));
            scheduler.kill();
            verdict = Verdict::Broken;
            break;
        }
        thread::sleep(MEMORY_INTERVAL);
    }
    let until = Instant::now() + Duration::from_secs(5);
    while open.load(Ordering::Relaxed) > 0 && Instant::now() < until {
        thread::sleep(MEMORY_INTERVAL);
    }
    let served = served.load(Ordering::Relaxed);
    record.line(format!("{sent} requests, {served} served, highest memory {peak_kib} KiB"));
    Ok(verdict)
}

/// Starts a client with one request on a connection of its own.
fn start_client(
    address: SocketAddr,
    number: usize,
    size: usize,
    record: &Record,
    open: &Arc<AtomicUsize>,
    served: &Arc<AtomicUsize>,
) {
    let (record, open, served) = (record.clone(), open.clone(), served.clone());
    open.fetch_add(1, Ordering::Relaxed);
    thread::spawn(move || {
        let body = (number % 10 < WRITES_OF_TEN).then(|| vec![b'x'; size]);
        let kind = if body.is_some() { "write" } else { "read" };
        let answer = ask(address, number, body);
        served.fetch_add(usize::from(matches!(answer, Ok(200))), Ordering::Relaxed);
        record.line(format!("client {number}: {kind}: {answer:?}"));
        open.fetch_sub(1, Ordering::Relaxed);
    });
}

/// Sends a read, or a write whose body goes at the pace of a client; returns the status of the answer.
fn ask(address: SocketAddr, number: usize, body: Option<Vec<u8>>) -> io::Result<u16> {
    let call = Call {
        id: 1 + number as u64,
        class: if body.is_some() { "pedido" } else { "consulta" },
        plan: "prioritario",
        volume: 0x3_b4d6_0000 + number as u64 % 40,
        item: number as u64,
        units: 2,
        shard: number as u32 % SHARDS,
        hosts: 1,
        budget_ms: if body.is_some() { 1500 } else { 1000 },
        key: body.is_some().then(|| format!("k{number}")),
        body,
    };
    let body = call.body.as_deref().unwrap_or_default();
    let mut client = Client::connect(address)?;
    client.stream.write_all(call.head().as_bytes())?;
    let start = Instant::now();
    let mut sent = 0;
    while sent < body.len() {
        let end = body.len().min(sent + PIECE);
        client.stream.write_all(&body[sent..end])?;
        sent = end;
        let due = Duration::from_secs_f64(sent as f64 / PACE as f64);
        thread::sleep(due.saturating_sub(start.elapsed()));
    }
    read_message(&mut client.reader)?.map(|answer| answer.status()).ok_or(io::ErrorKind::UnexpectedEof.into())
}

/// Starts a storage node that takes each body as it comes and answers at once.
fn start_node(shard: u32) -> Member {
    let (listener, address) = listen();
    thread::spawn(move || {
        for stream in listener.incoming().flatten() {
            thread::spawn(move || serve(stream));
        }
    });
    Member::new(&format!("s-{shard}"), address, shard)
}

fn serve(mut stream: TcpStream) -> io::Result<()> {
    stream.set_nodelay(true)?;
    let mut reader = BufReader::new(stream.try_clone()?);
    while read_message(&mut reader)?.is_some() {
        stream.write_all(b"HTTP/1.1 200 OK\r\ncontent-length: 2\r\n\r\nok")?;
    }
    Ok(())
}
