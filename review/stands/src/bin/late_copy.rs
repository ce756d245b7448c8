//! Case 1. Clients read from storage nodes in another zone. With the disruption some answers are followed by
//! a second copy some milliseconds later, where nothing else waits on the connection then.

use std::io::{self, BufReader, ErrorKind, Write};
use std::net::{SocketAddr, TcpStream};
use std::path::Path;
use std::sync::atomic::{AtomicBool, AtomicU64, Ordering};
use std::sync::Arc;
use std::thread;
use std::time::Duration;

use review_stands::config::{config, lanes, Site};
use review_stands::discovery::{Discovery, Member};
use review_stands::http::{read_message, Call, Client};
use review_stands::platform::Scheduler;
use review_stands::record::Record;
use review_stands::{delay, free_address, listen, play, trouble, Verdict};

/// The time from one zone to another.
const ONE_WAY: Duration = Duration::from_micros(600);
const SHARDS: u32 = 3;
const CLIENTS: u64 = 4;
const SECONDS: u64 = 40;
/// The work of a read: from 17 ms in steps of 1 ms.
const WORK_MS: u64 = 17;
const WORK_STEPS: u64 = 10;
/// With the disruption, one of so many answers is followed by a second copy.
const COPIED_EVERY: u64 = 10;
/// How late the second copy comes: from 1 ms in steps of 1 ms.
const LATE_STEPS: u64 = 9;

fn main() {
    play(case);
}

fn case(folder: &Path, record: &Record) -> Result<Verdict, String> {
    let copies = Arc::new(AtomicU64::new(0));
    let members: Vec<Member> = (0..SHARDS)
        .map(|shard| {
            let address = delay::start(start_node(record, &copies), ONE_WAY);
            Member::new(&format!("s-{shard}"), address, shard)
        })
        .collect();
    let discovery = Discovery::start(&members);
    let address = free_address();
    let site = Site::small(address, &discovery, &members);
    let mut scheduler = Scheduler::start(folder, address, &config(&site, &lanes()), "");
    scheduler.await_ready(Duration::from_secs(10))?;
    let (ids, own, foreign) = (Arc::new(AtomicU64::new(1)), counter(), counter());
    let stop = Arc::new(AtomicBool::new(false));
    let clients: Vec<_> = (0..CLIENTS)
        .map(|client| {
            let (record, ids, stop) = (record.clone(), ids.clone(), stop.clone());
            let (own, foreign) = (own.clone(), foreign.clone());
            thread::spawn(move || {
                let mut connection = None;
                while !stop.load(Ordering::Relaxed) {
                    let id = ids.fetch_add(1, Ordering::Relaxed);
                    record.line(format!("client {client}: sends {id:016x}"));
                    match read_object(address, &mut connection, id) {
                        Ok(Some(body)) if body == answer_for(id) => {
                            own.fetch_add(1, Ordering::Relaxed);
                            record.line(format!("client {client}: {id:016x} is served"));
                        }
                        Ok(Some(body)) => {
                            foreign.fetch_add(1, Ordering::Relaxed);
                            record.line(format!(
                                "client {client}: {id:016x} is served with ANOTHER'S ANSWER: {body}"
                            ));
                        }
                        Ok(None) => record.line(format!("client {client}: {id:016x} is not served")),
                        Err(error) => {
                            record.line(format!("client {client}: {id:016x}: {error}"));
                            connection = None;
                        }
                    }
                }
            })
        })
        .collect();
    thread::sleep(Duration::from_secs(SECONDS));
    stop.store(true, Ordering::Relaxed);
    for client in clients {
        client.join().map_err(|_| "a client panicked")?;
    }
    let (own, foreign) = (own.load(Ordering::Relaxed), foreign.load(Ordering::Relaxed));
    let copies = copies.load(Ordering::Relaxed);
    let requests = ids.load(Ordering::Relaxed) - 1;
    record.line(format!(
        "{requests} requests; {own} served with their own answer, {foreign} with another; \
         {copies} second copies"
    ));
    Ok(if foreign == 0 { Verdict::Held } else { Verdict::Broken })
}

fn counter() -> Arc<AtomicU64> {
    Arc::new(AtomicU64::new(0))
}

/// Returns the body of the answer that a storage node makes for a request.
fn answer_for(id: u64) -> String {
    format!("answer for {id:016x}")
}

/// Reads an object; returns the body of the answer if it is served.
fn read_object(address: SocketAddr, connection: &mut Option<Client>, id: u64) -> io::Result<Option<String>> {
    let mut client = match connection.take() {
        Some(client) => client,
        None => Client::connect(address)?,
    };
    let call = Call {
        id,
        class: "consulta",
        plan: "prioritario",
        volume: 0x3_b4d6_0000 + id % 9,
        item: id,
        units: 2,
        shard: (id % u64::from(SHARDS)) as u32,
        hosts: 1,
        budget_ms: 1000,
        key: None,
        body: None,
    };
    let answer = client.call(&call)?;
    let is_kept = answer.header("connection") != Some("close");
    *connection = is_kept.then_some(client);
    Ok((answer.status() == 200).then(|| String::from_utf8_lossy(&answer.body).into_owned()))
}

fn start_node(record: &Record, copies: &Arc<AtomicU64>) -> SocketAddr {
    let (listener, address) = listen();
    let (record, copies, runs) = (record.clone(), copies.clone(), counter());
    thread::spawn(move || {
        for stream in listener.incoming().flatten() {
            let (record, copies, runs) = (record.clone(), copies.clone(), runs.clone());
            thread::spawn(move || serve(stream, &record, &copies, &runs));
        }
    });
    address
}

/// Answers the requests on a connection, each with what was made for it.
fn serve(mut stream: TcpStream, record: &Record, copies: &AtomicU64, runs: &AtomicU64) -> io::Result<()> {
    stream.set_nodelay(true)?;
    let mut reader = BufReader::new(stream.try_clone()?);
    while let Some(request) = read_message(&mut reader)? {
        let id = request.header("x-call-id").and_then(|id| u64::from_str_radix(id, 16).ok()).unwrap_or(0);
        let run = runs.fetch_add(1, Ordering::Relaxed);
        record.line(format!("node: runs {id:016x}"));
        thread::sleep(Duration::from_millis(WORK_MS + run % WORK_STEPS));
        let body = answer_for(id);
        let answer = format!("HTTP/1.1 200 OK\r\ncontent-length: {}\r\n\r\n{body}", body.len());
        stream.write_all(answer.as_bytes())?;
        if trouble() && run % COPIED_EVERY == 0 {
            let late = 1 + run / COPIED_EVERY % LATE_STEPS;
            thread::sleep(Duration::from_millis(late));
            if reader.buffer().is_empty() && nothing_waits(&stream)? {
                stream.write_all(answer.as_bytes())?;
                copies.fetch_add(1, Ordering::Relaxed);
                record.line(format!("node: second copy of the answer for {id:016x}, {late} ms later"));
            }
        }
    }
    Ok(())
}

/// Returns whether no byte of a request has come that was not read.
fn nothing_waits(stream: &TcpStream) -> io::Result<bool> {
    stream.set_nonblocking(true)?;
    let peeked = stream.peek(&mut [0]);
    stream.set_nonblocking(false)?;
    match peeked {
        Ok(_) => Ok(false),
        Err(error) if error.kind() == ErrorKind::WouldBlock => Ok(true),
        Err(error) => Err(error),
    }
}
