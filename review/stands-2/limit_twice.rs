//! Case: a new version takes over while a collection asks for more than its limit. Both processes let it have
//! the scheduler's whole share of the limit.

mod stands;

use std::collections::HashMap;
use std::net::TcpStream;
use std::sync::atomic::{AtomicUsize, Ordering};
use std::sync::{Arc, Mutex};
use std::thread;
use std::time::{Duration, Instant};

use stands::{
    call_ops, free_port, give_up, has_trouble, is_healthy, listen, new_id, send_signal, start_watchdog,
    Config, Connection, Discovery, Folder, Member, Process, Random, Record, BROKEN, HELD,
};

/// The limit of a collection on `basic`: 8 times its rate of 5 units a second.
const LIMIT: f64 = 40.0;
/// What its store holds: the limit of a second (site: 1 to 2 s).
const BURST: f64 = 40.0;
/// 10% or one of the largest requests, whichever is more.
const SLACK: f64 = 8.0;
/// By what the limit allows in this time, the slack grows on sockets.
const SOCKET_SLACK_S: f64 = 0.15;
/// A surge (site: 6.6 to 17 s).
const SURGE: Duration = Duration::from_secs(12);
/// How long after its begin the new version starts.
const UPGRADE_AFTER: Duration = Duration::from_secs(4);
const CLIENTS: usize = 80;
/// The mean pause of a client between an answer and its next request.
const PAUSE_S: f64 = 0.5;

/// The units that requests carry, and when each reached a storage node first.
#[derive(Default)]
struct Ledger {
    units: HashMap<String, u32>,
    arrivals: HashMap<String, (Instant, u32)>,
}

type SharedLedger = Arc<Mutex<Ledger>>;

fn with<T>(ledger: &SharedLedger, action: impl FnOnce(&mut Ledger) -> T) -> T {
    action(&mut ledger.lock().unwrap_or_else(|poisoned| poisoned.into_inner()))
}

fn settings() -> String {
    let plan = |name: &str, rate: f64, reserve: f64, price: f64, limits: &str| {
        format!(
            "{{\"name\":\"{name}\",\"usualRate\":{rate:.1},\"reserve\":{reserve:.1},\"parts\":1.0,\
             \"price\":{price}{limits}}}"
        )
    };
    let limits = format!(",\"ceilingRate\":{LIMIT:.1},\"burst\":{BURST:.1},\"slack\":{SLACK:.1}");
    let plans = [
        plan("basic", 5.0, 2.5, 0.96, &limits),
        plan("standard", 10.0, 8.0, 1.0, ""),
        plan("priority", 12.5, 10.0, 1.4, ""),
    ];
    format!(
        "{{\"balancers\":3,\"slotNo\":0,\"discovery\":\"pushed\",\"resolutionMs\":2.0,\
         \"clients\":{{\"marksRetry\":false}},\
         \"lanes\":[{{\"name\":\"book-read\",\"aimMs\":200.0,\"deadlineMs\":1500.0,\"credit\":3.0,\
         \"lateWorth\":0.1,\"repeat\":\"free\",\"dedupScope\":\"all\",\"dedupWindowMs\":5000.0}},\
         {{\"name\":\"loan-write\",\"aimMs\":200.0,\"deadlineMs\":1500.0,\"credit\":2.0,\"lateWorth\":0.1,\
         \"repeat\":\"single_shot\",\"dedupScope\":\"all\",\"dedupWindowMs\":5000.0}}],\
         \"contracts\":[{}],\"familyInfo\":{{\"unitMean\":2.07,\"maxUnits\":8,\"withinShare\":0.35,\
         \"spareWorth\":0.1,\"youngLimit\":40.0,\"slotsTotal\":4,\"changesData\":[false,true]}},\
         \"limits\":{{\"sendCap\":4,\"connectTimeoutMs\":250.0,\"idleCloseMs\":15000.0,\"retryAfter\":true,\
         \"maxRetryAfterMs\":1200.0,\"cancelling\":true,\"secondCopies\":false}},\
         \"safety\":{{\"answerSlackMs\":8.0,\"coldShare\":0.16,\"coldMs\":14000.0,\"fallMs\":2000.0,\
         \"tipMultiple\":2.0,\"stopSendingWithinMs\":1000.0}}}}",
        plans.join(",")
    )
}

fn start_node(cell: u32, record: &Record, ledger: &SharedLedger) -> Member {
    let listener = listen();
    let port = listener.local_addr().map_or(0, |address| address.port());
    let (record, ledger) = (record.clone(), ledger.clone());
    thread::spawn(move || {
        for stream in listener.incoming().flatten() {
            let (record, ledger) = (record.clone(), ledger.clone());
            thread::spawn(move || drop(serve(stream, cell, &record, &ledger)));
        }
    });
    Member::new(&format!("s-91fe0a{cell:02x}"), port, cell)
}

fn serve(stream: TcpStream, cell: u32, record: &Record, ledger: &SharedLedger) -> std::io::Result<()> {
    let mut connection = Connection::new(stream);
    loop {
        let head = connection.read_head()?;
        connection.read_body(head.length())?;
        let at = Instant::now();
        let id = head.header("x-call-id").unwrap_or("").to_owned();
        let units = with(ledger, |ledger| {
            let units = ledger.units.get(&id).copied().unwrap_or(0);
            ledger.arrivals.entry(id.clone()).or_insert((at, units)).1
        });
        record.add(&format!("node {cell} got {id}, {units} units"));
        thread::sleep(Duration::from_millis(8));
        connection.write(b"HTTP/1.1 200 OK\r\nContent-Length: 4\r\n\r\nread")?;
    }
}

fn run_client(port: u16, number: usize, end: Instant, record: &Record, ledger: &SharedLedger) -> [usize; 2] {
    let (mut kept, mut random, mut counts) = (None::<Connection>, Random(number as u64 * 7919 + 3), [0, 0]);
    while Instant::now() < end {
        thread::sleep(Duration::from_secs_f64(-PAUSE_S * (1.0 - random.draw()).ln()));
        let (id, units) = (new_id(), 1 + (random.draw() * 3.0) as u32);
        with(ledger, |ledger| ledger.units.insert(id.clone(), units));
        let (key, cell) = ((random.draw() * 1e9) as u64, (random.draw() * 2.0) as u32);
        let request = format!(
            "GET /book-read/0000000000000005/{key:016x} HTTP/1.1\r\nHost: origin.svc\r\nX-Call-Id: {id}\r\n\
             X-Call-Class: book-read\r\nX-Plan: basic\r\nX-Budget-Ms: 1500\r\n\
             X-IO: units={units},shard={cell},hosts=1\r\n\r\n"
        );
        // A connection that the scheduler has closed: the request is sent once more on a new one.
        for _ in 0..2 {
            let Some(mut connection) = kept.take().or_else(|| Connection::open(port).ok()) else { continue };
            let answer = connection.write(request.as_bytes()).and_then(|()| connection.read_head());
            let answer = answer.and_then(|head| connection.read_body(head.length()).map(|_| head));
            let Ok(head) = answer else { continue };
            record.add(&format!("client {number}: {id}, {units} units, got {}", head.status));
            counts[usize::from(head.status != 200)] += 1;
            if head.header("connection") != Some("close") {
                kept = Some(connection);
            }
            break;
        }
    }
    counts
}

fn upgrade(old: &mut Process, config: &Config, folder: &Folder, record: &Record) -> Process {
    let config = Config {
        ops: free_port(),
        known: config.known.clone(),
        settings: config.settings.clone(),
        ..*config
    };
    let mut new = Process::start(&config, folder, "n0-new");
    record.say("a second process was started beside the first");
    let until = Instant::now() + Duration::from_secs(10);
    while !(call_ops(config.ops, "STATUS").starts_with("OK") && is_healthy(config.listen)) {
        if Instant::now() > until || new.has_ended() {
            give_up("the new process doesn't say yes");
        }
        thread::sleep(Duration::from_millis(20));
    }
    record.say("the new process says yes");
    thread::sleep(Duration::from_secs(3));
    send_signal(old.id(), "TERM");
    record.say("SIGTERM was sent to the old process");
    new
}

fn main() {
    start_watchdog(Duration::from_secs(60));
    let (record, folder, ledger) = (Record::create(), Folder::create(), SharedLedger::default());
    let members: Vec<Member> = (0..2).map(|cell| start_node(cell, &record, &ledger)).collect();
    let discovery = Discovery::start(members);
    let config = Config {
        listen: free_port(),
        ops: free_port(),
        discovery: discovery.port,
        memory_mb: 192,
        sockets: 1024,
        known: discovery.complete_list(),
        settings: settings(),
    };
    let mut process = Process::start(&config, &folder, "n0");
    process.wait_until_ready(config.listen);
    // The scheduler counts the store as empty at its start; the store is full by then.
    thread::sleep(Duration::from_secs(3));
    let end = Instant::now() + SURGE;
    let answered = Arc::new([AtomicUsize::new(0), AtomicUsize::new(0)]);
    let clients: Vec<_> = (0..CLIENTS)
        .map(|number| {
            let (record, ledger, answered) = (record.clone(), ledger.clone(), answered.clone());
            let port = config.listen;
            thread::spawn(move || {
                let counts = run_client(port, number, end, &record, &ledger);
                answered
                    .iter()
                    .zip(counts)
                    .for_each(|(sum, count)| _ = sum.fetch_add(count, Ordering::Relaxed));
            })
        })
        .collect();
    thread::sleep(UPGRADE_AFTER);
    let new = has_trouble().then(|| upgrade(&mut process, &config, &folder, &record));
    clients.into_iter().for_each(|client| drop(client.join()));
    let mut arrivals: Vec<_> = with(&ledger, |ledger| ledger.arrivals.values().copied().collect());
    arrivals.sort();
    let (mut level, mut lowest, mut last) = (BURST, BURST, None::<Instant>);
    for (at, units) in &arrivals {
        let gained = last.map_or(0.0, |last| LIMIT * at.duration_since(last).as_secs_f64());
        level = (level + gained).min(BURST) - f64::from(*units);
        (lowest, last) = (f64::min(lowest, level), Some(*at));
    }
    let allowed = -SLACK - LIMIT * SOCKET_SLACK_S;
    let [served, others] = [0, 1].map(|index: usize| answered[index].load(Ordering::Relaxed));
    record.say(&format!(
        "{served} served, {others} answered otherwise; the collection's store fell to {lowest:.1} units, \
         {allowed:.1} are allowed"
    ));
    drop((process, new, folder));
    if arrivals.is_empty() {
        give_up("no request came to a storage node");
    }
    std::process::exit(if lowest < allowed { BROKEN } else { HELD });
}
