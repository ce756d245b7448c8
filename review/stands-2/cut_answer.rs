//! Cases: clients read long answers as slowly as the page allows.
//!
//! Without an argument: the scheduler holds the end of an answer that the system has not taken yet, takes the
//! connection for an idle one and closes it. With the argument `memory`: under a small limit on memory, the
//! readers that are behind hold all memory for chunks, and the answers that wait for some are cut.

mod stands;

use std::io::Read;
use std::net::{Ipv4Addr, SocketAddr, TcpListener, TcpStream};
use std::sync::atomic::{AtomicUsize, Ordering};
use std::sync::{Arc, OnceLock};
use std::thread;
use std::time::{Duration, Instant};

use stands::{
    call_ops, free_port, give_up, has_trouble, listen, new_id, set_receive_buffer, start_watchdog, Config,
    Connection, Discovery, Folder, Member, Process, Record, Request, BROKEN, HELD,
};

/// What a client reads in a second, in bytes: "64 kB a second on a body".
const BYTES_PER_S: f64 = 65_536.0;
/// A client reads this many bytes at a time.
const PIECE: usize = 4096;
/// The lengths of the answers are spread over this many bytes.
const SPREAD: usize = 640_000;
/// A storage node that writes slowly begins with so many pieces of [`PIECE`] bytes, one every
/// [`PIECE_PAUSE`], and then writes the rest at once.
const SLOW_PIECES: usize = 25;
const PIECE_PAUSE: Duration = Duration::from_millis(100);
/// The receive buffer of a client, in bytes.
const RECEIVE_BUFFER: i32 = 65_536;

/// No answer is longer.
const MAX_LENGTH: usize = 8_000_000;

/// The bytes that answers begin with, made once, so that the storage nodes are quick.
fn longest_body() -> &'static [u8] {
    static BODY: OnceLock<Vec<u8>> = OnceLock::new();
    BODY.get_or_init(|| (0..MAX_LENGTH).map(byte_at).collect())
}

/// What the two cases differ in.
struct Plan {
    clients: usize,
    cells: u32,
    /// Storage nodes in the list that no request names; nobody listens at their loopback addresses.
    further_nodes: u32,
    memory_mb: u32,
    /// The pause between the starts of two clients.
    start_gap: Duration,
    /// The length of the answer to a client, of which there are `clients`.
    length: fn(number: usize, clients: usize) -> usize,
    has_slow_nodes: bool,
}

impl Plan {
    fn chosen() -> Self {
        match std::env::args().nth(1).as_deref() {
            Some("memory") => Self {
                clients: 330,
                cells: 8,
                further_nodes: 112,
                memory_mb: 32,
                start_gap: Duration::from_millis(2),
                length: |_, _| 5_400_000,
                has_slow_nodes: has_trouble(),
            },
            _ => Self {
                clients: 200,
                cells: 4,
                further_nodes: 0,
                memory_mb: 192,
                start_gap: Duration::from_millis(30),
                length: |number, clients| {
                    static CAPACITY: OnceLock<usize> = OnceLock::new();
                    let shortest = CAPACITY.get_or_init(system_capacity).saturating_sub(SPREAD / 8 * 7);
                    shortest + SPREAD / clients * number
                },
                has_slow_nodes: false,
            },
        }
    }
}

/// The byte at a position of each answer.
fn byte_at(position: usize) -> u8 {
    (position.wrapping_mul(2654435761) >> 13) as u8
}

/// Returns how much the system takes on a loopback connection whose other end reads nothing. The lengths of
/// the answers lie around it, so that the end of some of them finds the system's buffers full.
fn system_capacity() -> usize {
    let listener: TcpListener = listen();
    let port = listener.local_addr().map_or(0, |address| address.port());
    let reader = TcpStream::connect(SocketAddr::from((Ipv4Addr::LOCALHOST, port)));
    let (Ok(reader), Ok((mut writer, _))) = (reader, listener.accept()) else { give_up("no connection") };
    set_receive_buffer(&reader, RECEIVE_BUFFER);
    let _ = writer.set_nonblocking(true);
    let (mut taken, piece) = (0, [0; 8192]);
    let mut idle_rounds = 0;
    while idle_rounds < 20 {
        match std::io::Write::write(&mut writer, &piece) {
            Ok(size) => (taken, idle_rounds) = (taken + size, 0),
            Err(_) => {
                idle_rounds += 1;
                thread::sleep(Duration::from_millis(10));
            }
        }
    }
    taken
}

/// A storage node that answers each read at once, with as many bytes as the key says.
fn start_node(cell: u32, is_slow: bool, record: &Record) -> Member {
    let listener = listen();
    let port = listener.local_addr().map_or(0, |address| address.port());
    let record = record.clone();
    thread::spawn(move || {
        for stream in listener.incoming().flatten() {
            let record = record.clone();
            thread::spawn(move || drop(serve(stream, is_slow, &record)));
        }
    });
    Member::new(&format!("s-7c11d0{cell:02x}"), port, cell)
}

fn serve(stream: TcpStream, is_slow: bool, record: &Record) -> std::io::Result<()> {
    let mut connection = Connection::new(stream);
    loop {
        let head = connection.read_head()?;
        let id = head.header("x-call-id").unwrap_or("").to_owned();
        let key = head.first_line.split('/').nth(3).and_then(|rest| rest.get(..16)).unwrap_or("0");
        let length = usize::from_str_radix(key, 16).unwrap_or(0);
        connection.write(format!("HTTP/1.1 200 OK\r\nContent-Length: {length}\r\n\r\n").as_bytes())?;
        let mut rest = &longest_body()[..length.min(MAX_LENGTH)];
        for _ in 0..if is_slow { SLOW_PIECES } else { 0 } {
            let (piece, after) = rest.split_at(PIECE.min(rest.len()));
            connection.write(piece)?;
            rest = after;
            thread::sleep(PIECE_PAUSE);
        }
        connection.write(rest)?;
        record.add(&format!("node wrote all {length} bytes of the answer to {id}"));
    }
}

#[derive(Default)]
struct Totals {
    whole: AtomicUsize,
    not_served: AtomicUsize,
    cut: AtomicUsize,
    wrong: AtomicUsize,
}

fn run_client(port: u16, length: usize, cell: u32, record: &Record, totals: &Totals) {
    let add = |total: &AtomicUsize| _ = total.fetch_add(1, Ordering::Relaxed);
    let Ok(mut connection) = Connection::open(port) else { return add(&totals.not_served) };
    set_receive_buffer(&connection.stream, RECEIVE_BUFFER);
    let request = Request {
        id: new_id(),
        class: "exportacion",
        volume: length as u64 % 20,
        key: length as u64,
        cell,
        budget_ms: 3000,
        body: Vec::new(),
    };
    let began_at = Instant::now();
    record.add(&format!("client sent {} for {length} bytes", request.id));
    let head = connection.write(&request.encode()).and_then(|()| connection.read_head());
    let status = head.map_or(0, |head| head.status);
    if status != 200 {
        record.add(&format!("client: {} got {status}", request.id));
        return add(&totals.not_served);
    }
    let mut got = connection.ahead.len();
    let mut is_right = connection.ahead.iter().enumerate().all(|(at, byte)| *byte == byte_at(at));
    let mut buffer = [0; PIECE];
    let end = loop {
        if got >= length {
            break "whole".to_owned();
        }
        if has_trouble() {
            let due = began_at + Duration::from_secs_f64(got as f64 / BYTES_PER_S);
            thread::sleep(due.saturating_duration_since(Instant::now()));
        }
        match connection.stream.read(&mut buffer) {
            Ok(0) => break "closed by the scheduler".to_owned(),
            Ok(size) => {
                is_right &= buffer[..size].iter().enumerate().all(|(at, byte)| *byte == byte_at(got + at));
                got += size;
            }
            Err(error) => break error.to_string(),
        }
    };
    let line = format!(
        "{}: {got} of {length} bytes after {:.1} s: {end}",
        request.id,
        began_at.elapsed().as_secs_f64()
    );
    match (is_right, got >= length) {
        (false, _) => {
            add(&totals.wrong);
            record.say(&format!("{line}, other bytes than the storage node's"));
        }
        (true, true) => {
            add(&totals.whole);
            record.add(&line);
        }
        (true, false) => {
            add(&totals.cut);
            record.say(&line);
        }
    }
}

fn main() {
    start_watchdog(Duration::from_secs(115));
    let (record, folder, plan) = (Record::create(), Folder::create(), Plan::chosen());
    let length = |number| (plan.length)(number, plan.clients);
    let longest = length(plan.clients - 1);
    record.say(&format!("{} clients, answers of {} to {longest} bytes", plan.clients, length(0)));
    if longest as f64 / BYTES_PER_S > 95.0 {
        give_up("the system takes too much for the time of a case");
    }
    longest_body();
    let cells = 0..plan.cells;
    let met = cells.map(|cell| start_node(cell, plan.has_slow_nodes, &record));
    let others = (plan.cells..plan.cells + plan.further_nodes).map(|cell| {
        let host = format!("127.1.{}.{}", cell / 250, 1 + cell % 250);
        Member { host, ..Member::new(&format!("s-7c11d0{cell:02x}"), 8080, cell) }
    });
    let members: Vec<Member> = met.chain(others).collect();
    let discovery = Discovery::start(members);
    let config = Config {
        listen: free_port(),
        ops: free_port(),
        discovery: discovery.port,
        memory_mb: plan.memory_mb,
        sockets: 1024,
        known: discovery.complete_list(),
        settings: stands::settings(),
    };
    let mut process = Process::start(&config, &folder, "n0");
    process.wait_until_ready(config.listen);
    let totals = Arc::<Totals>::default();
    let clients: Vec<_> = (0..plan.clients)
        .map(|number| {
            thread::sleep(plan.start_gap);
            let (record, totals, port) = (record.clone(), totals.clone(), config.listen);
            let (length, cell) = (length(number), number as u32 % plan.cells);
            thread::spawn(move || run_client(port, length, cell, &record, &totals))
        })
        .collect();
    for _ in 0..3 {
        thread::sleep(Duration::from_secs(6));
        let metrics = call_ops(config.ops, "METRICS");
        metrics.lines().filter(|line| line.starts_with("app.memory")).for_each(|line| record.add(line));
    }
    clients.into_iter().for_each(|client| drop(client.join()));
    let count = |total: &AtomicUsize| total.load(Ordering::Relaxed);
    let (cut, wrong) = (count(&totals.cut), count(&totals.wrong));
    record.say(&format!(
        "{} answers whole, {cut} cut off by the scheduler, {wrong} wrong, {} requests not served",
        count(&totals.whole),
        count(&totals.not_served)
    ));
    drop((process, folder));
    std::process::exit(if cut + wrong > 0 { BROKEN } else { HELD });
}
