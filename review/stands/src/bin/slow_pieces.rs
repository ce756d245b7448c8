//! Not one of the three cases, see review/REPORT.md. A storage node answers reads with long answers that have
//! no length. With the disruption it writes them slowly, in pieces.

use std::io::{self, BufReader, Write};
use std::net::{SocketAddr, TcpStream};
use std::path::Path;
use std::sync::atomic::{AtomicU64, AtomicUsize, Ordering};
use std::sync::Arc;
use std::thread;
use std::time::Duration;

use review_stands::config::{config, lanes, Site};
use review_stands::discovery::{Discovery, Member};
use review_stands::http::{read_message, Call, Client, Message};
use review_stands::platform::Scheduler;
use review_stands::record::Record;
use review_stands::{free_address, listen, play, trouble, Verdict};

/// Bytes of an answer, and of a piece of it.
const ANSWER: usize = 200_000;
const PIECE: usize = 8_000;
/// The time between two pieces: 80 kB a second.
const PAUSE: Duration = Duration::from_millis(100);
const CLIENTS: usize = 4;
const REQUESTS_EACH: u64 = 5;

fn main() {
    play(case);
}

fn case(folder: &Path, record: &Record) -> Result<Verdict, String> {
    let (listener, node) = listen();
    let node_record = record.clone();
    thread::spawn(move || {
        for stream in listener.incoming().flatten() {
            let record = node_record.clone();
            thread::spawn(move || serve(stream, &record));
        }
    });
    let members = [Member::new("s-0", node, 0)];
    let discovery = Discovery::start(&members);
    let address = free_address();
    let site = Site::small(address, &discovery, &members);
    let mut scheduler = Scheduler::start(folder, address, &config(&site, &lanes()), "");
    scheduler.await_ready(Duration::from_secs(10))?;
    let (ids, whole) = (Arc::new(AtomicU64::new(1)), Arc::new(AtomicUsize::new(0)));
    let clients: Vec<_> = (0..CLIENTS)
        .map(|number| {
            let (record, ids, whole) = (record.clone(), ids.clone(), whole.clone());
            thread::spawn(move || {
                for _ in 0..REQUESTS_EACH {
                    let id = ids.fetch_add(1, Ordering::Relaxed);
                    let is_whole = read_object(address, id, number, &record);
                    whole.fetch_add(usize::from(is_whole), Ordering::Relaxed);
                }
            })
        })
        .collect();
    for client in clients {
        client.join().map_err(|_| "a client panicked")?;
    }
    let (whole, requests) = (whole.load(Ordering::Relaxed), CLIENTS * REQUESTS_EACH as usize);
    record.line(format!("{whole} of {requests} clients got the whole answer"));
    Ok(if 2 * whole >= requests { Verdict::Held } else { Verdict::Broken })
}

/// Reads an object, and returns whether the whole answer came.
fn read_object(address: SocketAddr, id: u64, client: usize, record: &Record) -> bool {
    // Both classes of the site that read; each client waits for its class's deadline.
    let (class, budget_ms) = if id % 2 == 0 { ("exportacion", 3000) } else { ("consulta", 1000) };
    let call = Call {
        id,
        class,
        plan: "prioritario",
        volume: 0x3_b4d6_0021,
        item: id,
        units: 2,
        shard: 0,
        hosts: 1,
        budget_ms,
        key: None,
        body: None,
    };
    let answer = Client::connect(address).and_then(|mut connection| connection.call(&call));
    match answer {
        Ok(Message { first_line, body, .. }) => {
            record.line(format!("client {client}: {class} {id:016x}: {first_line}, {} bytes", body.len()));
            first_line.contains(" 200 ") && body.len() == ANSWER
        }
        Err(error) => {
            record.line(format!("client {client}: {class} {id:016x}: {error}"));
            false
        }
    }
}

/// Answers the requests on a connection, without a length.
fn serve(mut stream: TcpStream, record: &Record) -> io::Result<()> {
    stream.set_nodelay(true)?;
    let mut reader = BufReader::new(stream.try_clone()?);
    while let Some(request) = read_message(&mut reader)? {
        let id = request.header("x-call-id").unwrap_or("").to_owned();
        record.line(format!("node: runs {id}"));
        stream.write_all(b"HTTP/1.1 200 OK\r\ntransfer-encoding: chunked\r\n\r\n")?;
        let mut sent = 0;
        while sent < ANSWER {
            let mut piece = format!("{PIECE:x}\r\n").into_bytes();
            piece.resize(piece.len() + PIECE, b'x');
            piece.extend_from_slice(b"\r\n");
            if let Err(error) = stream.write_all(&piece) {
                record.line(format!(
                    "node: the scheduler cut off {id} after {sent} of {ANSWER} bytes: {error}"
                ));
                return Err(error);
            }
            sent += PIECE;
            if trouble() {
                thread::sleep(PAUSE);
            }
        }
        stream.write_all(b"0\r\n\r\n")?;
        record.line(format!("node: has written {id} whole"));
    }
    Ok(())
}
