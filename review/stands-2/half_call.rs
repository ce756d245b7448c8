//! Case: a caller of the second address sends half a call and goes after 4 s. What it sent is carried out
//! then, although a storage node was taken out meanwhile.

mod stands;

use std::io::Write;
use std::net::{Ipv4Addr, TcpStream};
use std::sync::{Arc, Mutex};
use std::thread;
use std::time::{Duration, Instant};

use stands::{
    call_ops, free_port, give_up, has_trouble, listen, new_id, start_watchdog, Config, Connection, Discovery,
    Folder, Member, Process, Record, Request, BROKEN, HELD,
};

/// The settings' 250 ms after the yes, and the 50 ms by which each time limit grows on sockets.
const GRACE: Duration = Duration::from_millis(300);
/// How long the caller with half a call stays.
const STAY: Duration = Duration::from_secs(4);
const CELLS: u32 = 2;

/// When requests have begun to arrive at the storage node that is taken out.
type Arrivals = Arc<Mutex<Vec<(Instant, String)>>>;

fn start_node(cell: u32, record: &Record, arrivals: &Arrivals) -> Member {
    let listener = listen();
    let port = listener.local_addr().map_or(0, |address| address.port());
    let (record, arrivals) = (record.clone(), arrivals.clone());
    thread::spawn(move || {
        for stream in listener.incoming().flatten() {
            let (record, arrivals) = (record.clone(), arrivals.clone());
            thread::spawn(move || drop(serve(stream, cell, &record, &arrivals)));
        }
    });
    Member::new(&format!("s-5be2a0{cell:02x}"), port, cell)
}

fn serve(stream: TcpStream, cell: u32, record: &Record, arrivals: &Arrivals) -> std::io::Result<()> {
    let mut connection = Connection::new(stream);
    loop {
        let head = connection.read_head()?;
        let arrived_at = Instant::now();
        let id = head.header("x-call-id").unwrap_or("").to_owned();
        record.add(&format!("node {cell} got {id}"));
        if let (0, Ok(mut arrivals)) = (cell, arrivals.lock()) {
            arrivals.push((arrived_at, id.clone()));
        }
        connection.read_body(head.length())?;
        thread::sleep(Duration::from_millis(15));
        connection.write(format!("HTTP/1.1 200 OK\r\nContent-Length: 16\r\n\r\n{id:.16}").as_bytes())?;
    }
}

fn run_client(port: u16, number: u32, end: Instant, record: &Record) {
    let mut kept: Option<Connection> = None;
    let mut key = u64::from(number);
    while Instant::now() < end {
        thread::sleep(Duration::from_millis(50));
        key += 7;
        let request = Request {
            id: new_id(),
            class: "consulta",
            volume: u64::from(number),
            key,
            cell: number % CELLS,
            budget_ms: 1000,
            body: Vec::new(),
        };
        let Some(mut connection) = kept.take().or_else(|| Connection::open(port).ok()) else { continue };
        let answer = connection.write(&request.encode()).and_then(|()| connection.read_head());
        let answer = answer.and_then(|head| connection.read_body(head.length()).map(|_| head));
        let status = answer.as_ref().map_or(0, |head| head.status);
        record.add(&format!("client {number}: {} for cell {} got {status}", request.id, request.cell));
        if answer.is_ok_and(|head| head.header("connection") != Some("close")) {
            kept = Some(connection);
        }
    }
}

fn main() {
    start_watchdog(Duration::from_secs(60));
    let (record, folder, arrivals) = (Record::create(), Folder::create(), Arrivals::default());
    let members: Vec<Member> = (0..CELLS).map(|cell| start_node(cell, &record, &arrivals)).collect();
    let id = members[0].id.clone();
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
    let end = Instant::now() + Duration::from_secs(14);
    let clients: Vec<_> = (0..4)
        .map(|number| {
            let (record, port) = (record.clone(), config.listen);
            thread::spawn(move || run_client(port, number, end, &record))
        })
        .collect();
    thread::sleep(Duration::from_secs(2));
    // A caller sends a call without the end of its line, and stays for 4 s.
    let caller = has_trouble().then(|| {
        let (record, id, ops) = (record.clone(), id.clone(), config.ops);
        thread::spawn(move || {
            let Ok(mut stream) = TcpStream::connect((Ipv4Addr::LOCALHOST, ops)) else { return };
            let _ = stream.write_all(format!("RESTORE {id}").as_bytes());
            record.say(&format!("a caller sent 'RESTORE {id}' without the end of the line, and stays"));
            thread::sleep(STAY);
            drop(stream);
            record.say("the caller closed its connection; it got no answer");
        })
    });
    thread::sleep(Duration::from_secs(1));
    let answer = call_ops(config.ops, &format!("SUSPEND {id}"));
    let out_since = Instant::now();
    record.say(&format!("SUSPEND {id} was answered {:?}", answer.trim()));
    if !answer.starts_with("OK") {
        give_up("the storage node wasn't taken out");
    }
    clients.into_iter().for_each(|client| drop(client.join()));
    caller.into_iter().for_each(|caller| drop(caller.join()));
    let arrivals = arrivals.lock().map(|arrivals| arrivals.clone()).unwrap_or_default();
    let before = arrivals.iter().filter(|(at, _)| *at < out_since).count();
    let late: Vec<_> = arrivals.iter().filter(|(at, _)| *at > out_since + GRACE).collect();
    if let Some((at, request)) = late.first() {
        let after = at.duration_since(out_since).as_secs_f64();
        record
            .say(&format!("{request} came to {id} {after:.3} s after the yes, the first of {}", late.len()));
    }
    record.say(&format!(
        "{before} requests came to {id} before it was out, {} after that; nobody called it back",
        late.len()
    ));
    drop((process, folder));
    if before == 0 {
        give_up("no request came to the storage node");
    }
    std::process::exit(if late.is_empty() { HELD } else { BROKEN });
}
