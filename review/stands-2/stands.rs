//! Stand-ins that the cases of the second review share: the scheduler's process, discovery, free ports, a
//! record of what happened, and HTTP/1.1 as the protocol page describes it. Only the standard library.

use std::collections::BTreeMap;
use std::fs::{self, File};
use std::io::{self, Read, Write};
use std::net::{Ipv4Addr, SocketAddr, TcpListener, TcpStream};
use std::os::fd::AsRawFd;
use std::path::PathBuf;
use std::process::{Child, Command, Stdio};
use std::sync::atomic::{AtomicU64, Ordering};
use std::sync::{Arc, Mutex};
use std::thread;
use std::time::{Duration, Instant, SystemTime, UNIX_EPOCH};

/// Exit code: the rule held.
pub const HELD: i32 = 0;
/// Exit code: the rule was broken.
pub const BROKEN: i32 = 1;
/// Exit code: the case couldn't run.
pub const NOT_RUN: i32 = 2;

/// Whether the case runs with its disruption.
pub fn has_trouble() -> bool {
    std::env::var("TROUBLE").map_or(true, |value| value != "0")
}

/// A listener on a free port of the loopback address.
pub fn listen() -> TcpListener {
    TcpListener::bind((Ipv4Addr::LOCALHOST, 0)).unwrap_or_else(|error| give_up(&format!("no port: {error}")))
}

/// A port that was free a moment ago.
pub fn free_port() -> u16 {
    listen().local_addr().map(|address| address.port()).unwrap_or_else(|error| give_up(&error.to_string()))
}

/// Ends the program as a case that couldn't run. Processes that it started end with it (see [`Process`]).
pub fn give_up(reason: &str) -> ! {
    eprintln!("couldn't run: {reason}");
    kill_started();
    std::process::exit(NOT_RUN);
}

static STARTED: Mutex<Vec<u32>> = Mutex::new(Vec::new());

/// Kills the processes that were started and not waited for.
fn kill_started() {
    for id in STARTED.lock().map(|ids| ids.clone()).unwrap_or_default() {
        send_signal(id, "KILL");
    }
}

/// Sends a signal to a process that this program started.
pub fn send_signal(id: u32, signal: &str) {
    let _ = Command::new("/bin/sh").arg("-c").arg(format!("kill -{signal} {id}")).status();
}

/// Ends the case after `limit` if it has not ended before.
pub fn start_watchdog(limit: Duration) {
    thread::spawn(move || {
        thread::sleep(limit);
        give_up("the time of the case is over");
    });
}

/// What was sent, answered and run.
#[derive(Clone)]
pub struct Record {
    file: Arc<Mutex<File>>,
    began: Instant,
}

impl Record {
    /// Creates `record.txt` in the folder of the case.
    pub fn create() -> Self {
        let file = File::create("record.txt").unwrap_or_else(|error| give_up(&format!("record: {error}")));
        Self { file: Arc::new(Mutex::new(file)), began: Instant::now() }
    }

    /// Adds a line with the time since the start.
    pub fn add(&self, line: &str) {
        let at = self.began.elapsed().as_secs_f64();
        if let Ok(mut file) = self.file.lock() {
            let _ = writeln!(file, "{at:9.4} {line}");
        }
    }

    /// Adds a line and prints it.
    pub fn say(&self, line: &str) {
        println!("{line}");
        self.add(line);
    }
}

/// The folder of the repository, two above that of the case.
fn repository() -> PathBuf {
    let root = fs::canonicalize("../..").unwrap_or_else(|error| give_up(&error.to_string()));
    if !root.join("deploy/balancer.toml").exists() {
        give_up("start this in a folder of review/");
    }
    root
}

/// Returns a command of the deploy file.
fn deploy_command(name: &str) -> String {
    let text = fs::read_to_string(repository().join("deploy/balancer.toml")).unwrap_or_default();
    let line = text.lines().find_map(|line| line.strip_prefix(&format!("{name} = \"")));
    match line.and_then(|rest| rest.split('"').next()) {
        Some(command) => command.to_owned(),
        None => give_up("the deploy file names no such command"),
    }
}

/// A temporary folder, removed when dropped.
pub struct Folder(pub PathBuf);

impl Folder {
    /// Creates a folder.
    pub fn create() -> Self {
        let nanos = SystemTime::now().duration_since(UNIX_EPOCH).map_or(0, |time| time.subsec_nanos());
        let path = std::env::temp_dir().join(format!("hw-{}-{nanos}", std::process::id()));
        fs::create_dir_all(&path).unwrap_or_else(|error| give_up(&error.to_string()));
        Self(path)
    }
}

impl Drop for Folder {
    fn drop(&mut self) {
        let _ = fs::remove_dir_all(&self.0);
    }
}

/// What the configuration of a scheduler says.
pub struct Config {
    pub listen: u16,
    pub ops: u16,
    pub discovery: u16,
    pub memory_mb: u32,
    pub sockets: u32,
    /// The list of storage nodes as the scheduler last had it.
    pub known: String,
    /// The settings, as JSON.
    pub settings: String,
}

impl Config {
    fn json(&self) -> String {
        let Self { listen, ops, discovery, memory_mb, sockets, known, settings } = self;
        format!(
            "{{\"name\":\"n0\",\"listen\":\"127.0.0.1:{listen}\",\"discovery\":\"127.0.0.1:{discovery}\",\
             \"ops\":\"127.0.0.1:{ops}\",\"seed\":\"8c1f30d27a5be964\",\"limits\":{{\"cores\":1.0,\
             \"memory_mb\":{memory_mb},\"sockets\":{sockets}}},\"known\":{known},\"settings\":{settings}}}"
        )
    }
}

/// A process of the scheduler, killed when dropped.
pub struct Process {
    child: Child,
    /// A shell that kills the process once this program has ended, however that ended.
    guard: Option<Child>,
    config: PathBuf,
    pub log: PathBuf,
}

impl Process {
    /// Starts a process with the command `run` of the deploy file. `temporary` is its `$TMPDIR`.
    pub fn start(config: &Config, folder: &Folder, name: &str) -> Self {
        let temporary = folder.0.join("tmp");
        let _ = fs::create_dir_all(&temporary);
        let (config_file, log) =
            (folder.0.join(format!("{name}.json")), folder.0.join(format!("{name}.log")));
        fs::write(&config_file, config.json()).unwrap_or_else(|error| give_up(&error.to_string()));
        let output = File::create(&log).unwrap_or_else(|error| give_up(&error.to_string()));
        let errors = output.try_clone().unwrap_or_else(|error| give_up(&error.to_string()));
        let child = Command::new("/bin/sh")
            .arg("-c")
            .arg(deploy_command("run"))
            .current_dir(repository())
            .env("GW_NAME", "n0")
            .env("GW_LISTEN", format!("127.0.0.1:{}", config.listen))
            .env("GW_DISCOVERY", format!("127.0.0.1:{}", config.discovery))
            .env("GW_CONFIG", &config_file)
            .env("TMPDIR", &temporary)
            .stdin(Stdio::null())
            .stdout(output)
            .stderr(errors)
            .spawn()
            .unwrap_or_else(|error| give_up(&format!("run: {error}")));
        if let Ok(mut ids) = STARTED.lock() {
            ids.push(child.id());
        }
        let guard = Command::new("/bin/sh")
            .arg("-c")
            .arg(format!("cat >/dev/null; kill -KILL {} 2>/dev/null", child.id()))
            .stdin(Stdio::piped())
            .spawn();
        Self { child, guard: guard.ok(), config: config_file, log }
    }

    /// The id of the process.
    pub fn id(&self) -> u32 {
        self.child.id()
    }

    /// Replaces the configuration file; the process reads it at its next SIGHUP.
    pub fn replace_config(&self, config: &Config) {
        let _ = fs::write(&self.config, config.json());
    }

    /// Whether the process has ended by itself.
    pub fn has_ended(&mut self) -> bool {
        !matches!(self.child.try_wait(), Ok(None))
    }

    /// Waits until `GET /healthz` is answered with 200.
    pub fn wait_until_ready(&mut self, port: u16) {
        let until = Instant::now() + Duration::from_secs(30);
        while Instant::now() < until {
            if self.has_ended() {
                give_up("the scheduler ended at its start; has the build of the deploy file run?");
            }
            if is_healthy(port) {
                return;
            }
            thread::sleep(Duration::from_millis(20));
        }
        give_up("the scheduler isn't ready after 30 s");
    }
}

impl Drop for Process {
    fn drop(&mut self) {
        let _ = self.child.kill();
        let _ = self.child.wait();
        if let Ok(mut ids) = STARTED.lock() {
            let id = self.child.id();
            ids.retain(|started| *started != id);
        }
        if let Some(mut guard) = self.guard.take() {
            // Closes its input, at which it ends.
            drop(guard.stdin.take());
            let _ = guard.wait();
        }
    }
}

/// Whether `GET /healthz` is answered with 200.
pub fn is_healthy(port: u16) -> bool {
    let Ok(stream) = TcpStream::connect((Ipv4Addr::LOCALHOST, port)) else { return false };
    let _ = stream.set_read_timeout(Some(Duration::from_secs(1)));
    let mut connection = Connection::new(stream);
    let request = b"GET /healthz HTTP/1.1\r\nHost: origin.svc\r\n\r\n";
    connection.write(request).is_ok() && connection.read_head().is_ok_and(|head| head.status == 200)
}

/// Calls the second address, and returns the answer.
pub fn call_ops(port: u16, line: &str) -> String {
    let mut answer = String::new();
    if let Ok(mut stream) = TcpStream::connect((Ipv4Addr::LOCALHOST, port)) {
        let _ = stream.set_read_timeout(Some(Duration::from_secs(2)));
        let _ = stream.write_all(format!("{line}\n").as_bytes());
        let _ = stream.read_to_string(&mut answer);
    }
    answer
}

/// The settings of a small deployment: classes, plans and limits of predio-norte, as the wire names them.
pub fn settings() -> String {
    "{\"balancers\":3,\"slotNo\":0,\"discovery\":\"pushed\",\"resolutionMs\":2.0,\
     \"clients\":{\"marksRetry\":true},\
     \"lanes\":[{\"name\":\"consulta\",\"aimMs\":150.0,\"deadlineMs\":1000.0,\"credit\":2.0,\
     \"lateWorth\":0.2,\"repeat\":\"free\",\"dedupScope\":\"all\",\"dedupWindowMs\":5000.0},\
     {\"name\":\"pedido\",\"aimMs\":250.0,\"deadlineMs\":1500.0,\"credit\":3.0,\"lateWorth\":0.1,\
     \"repeat\":\"guarded\",\"dedupScope\":\"cell\",\"dedupWindowMs\":2500.0},\
     {\"name\":\"exportacion\",\"aimMs\":1000.0,\"deadlineMs\":3000.0,\"credit\":1.0,\"lateWorth\":0.2,\
     \"repeat\":\"free\",\"dedupScope\":\"all\",\"dedupWindowMs\":5000.0}],\
     \"contracts\":[{\"name\":\"basico\",\"usualRate\":4.8,\"reserve\":0.0,\"parts\":1.0,\"price\":0.72},\
     {\"name\":\"prioritario\",\"usualRate\":9.5,\"reserve\":11.0,\"parts\":2.0,\"price\":1.0}],\
     \"familyInfo\":{\"unitMean\":2.07,\"maxUnits\":8,\"withinShare\":0.3,\"spareWorth\":0.05,\
     \"youngLimit\":72.0,\"slotsTotal\":4,\"changesData\":[false,true,false]},\
     \"limits\":{\"sendCap\":3,\"connectTimeoutMs\":250.0,\"idleCloseMs\":15000.0,\"retryAfter\":true,\
     \"maxRetryAfterMs\":2000.0,\"cancelling\":true,\"secondCopies\":false},\
     \"safety\":{\"answerSlackMs\":8.0,\"coldShare\":0.24,\"coldMs\":18000.0,\"fallMs\":2000.0,\
     \"tipMultiple\":4.0,\"stopSendingWithinMs\":250.0}}"
        .to_owned()
}

/// An entry of the list of storage nodes.
#[derive(Clone)]
pub struct Member {
    pub id: String,
    pub host: String,
    pub port: u16,
    pub cell: u32,
    pub phase: &'static str,
    pub up_since_ms: u64,
}

impl Member {
    /// A storage node in service that started long ago.
    pub fn new(id: &str, port: u16, cell: u32) -> Self {
        let host = Ipv4Addr::LOCALHOST.to_string();
        Self { id: id.to_owned(), host, port, cell, phase: "in_service", up_since_ms: 0 }
    }

    fn json(&self) -> String {
        let Self { id, host, port, cell, phase, up_since_ms } = self;
        format!(
            "{{\"id\":\"{id}\",\"host_port\":\"{host}:{port}\",\"locality\":\"sala-a\",\
             \"flavor\":\"base-2\",\"cell\":{cell},\"phase\":\"{phase}\",\"size\":1.0,\
             \"up_since_ms\":{up_since_ms}}}"
        )
    }
}

/// Encodes a list.
pub fn list_json(revision: u64, complete: bool, members: &[Member]) -> String {
    let members: Vec<String> = members.iter().map(Member::json).collect();
    format!("{{\"revision\":{revision},\"complete\":{complete},\"members\":[{}]}}", members.join(","))
}

struct Agent {
    revision: u64,
    members: BTreeMap<String, Member>,
    watches: Vec<TcpStream>,
}

impl Agent {
    fn complete_list(&self) -> String {
        let members: Vec<Member> = self.members.values().cloned().collect();
        list_json(self.revision, true, &members)
    }

    fn send_line(&mut self, line: &str) {
        let chunk = format!("{:x}\r\n{line}\n\r\n", line.len() + 1);
        self.watches.retain_mut(|watch| watch.write_all(chunk.as_bytes()).is_ok());
    }
}

/// Discovery's agent. It answers at once, sends changes at once and an empty line every 2 s.
#[derive(Clone)]
pub struct Discovery {
    agent: Arc<Mutex<Agent>>,
    pub port: u16,
}

impl Discovery {
    /// Starts the agent with these storage nodes.
    pub fn start(members: Vec<Member>) -> Self {
        let listener = listen();
        let port = listener.local_addr().map_or(0, |address| address.port());
        let members = members.into_iter().map(|member| (member.id.clone(), member)).collect();
        let agent = Arc::new(Mutex::new(Agent { revision: 41, members, watches: Vec::new() }));
        let discovery = Self { agent, port };
        let (accepting, beating) = (discovery.clone(), discovery.clone());
        thread::spawn(move || {
            for stream in listener.incoming().flatten() {
                let discovery = accepting.clone();
                thread::spawn(move || discovery.serve(stream));
            }
        });
        thread::spawn(move || loop {
            thread::sleep(Duration::from_secs(2));
            beating.with(|agent| agent.send_line(""));
        });
        discovery
    }

    fn with<T>(&self, action: impl FnOnce(&mut Agent) -> T) -> T {
        let mut agent = self.agent.lock().unwrap_or_else(|poisoned| poisoned.into_inner());
        action(&mut agent)
    }

    /// The complete list.
    pub fn complete_list(&self) -> String {
        self.with(|agent| agent.complete_list())
    }

    fn serve(&self, stream: TcpStream) {
        let _ = stream.set_nodelay(true);
        let mut connection = Connection::new(stream);
        while let Ok(head) = connection.read_head() {
            if !head.first_line.contains("watch=1") {
                let list = self.complete_list();
                let answer = format!("HTTP/1.1 200 OK\r\nContent-Length: {}\r\n\r\n{list}", list.len());
                if connection.write(answer.as_bytes()).is_err() {
                    return;
                }
                continue;
            }
            let after = head.first_line.split("after=").nth(1).and_then(|rest| rest.split(' ').next());
            let after: u64 = after.and_then(|number| number.parse().ok()).unwrap_or(0);
            let begin = b"HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n";
            self.with(|agent| {
                let list = agent.complete_list();
                let mut stream = connection.stream;
                let is_old = after < agent.revision;
                let chunk = format!("{:x}\r\n{list}\n\r\n", list.len() + 1);
                let first = if is_old { chunk.as_bytes() } else { &[][..] };
                if stream.write_all(begin).and_then(|()| stream.write_all(first)).is_ok() {
                    agent.watches.push(stream);
                }
            });
            return;
        }
    }

    /// Changes entries of the list, and tells all open watches.
    pub fn change(&self, changed: Vec<Member>) {
        self.with(|agent| {
            agent.revision += 1;
            let line = list_json(agent.revision, false, &changed);
            for member in changed {
                if member.phase == "terminated" {
                    agent.members.remove(&member.id);
                } else {
                    agent.members.insert(member.id.clone(), member);
                }
            }
            agent.send_line(&line);
        });
    }
}

/// The head of a request or an answer.
#[derive(Clone, Debug, Default)]
pub struct Head {
    pub first_line: String,
    /// The status of an answer; 0 for a request.
    pub status: u16,
    headers: Vec<(String, String)>,
}

impl Head {
    /// Returns a header; its name is in lower case.
    pub fn header(&self, name: &str) -> Option<&str> {
        self.headers.iter().find(|(known, _)| known == name).map(|(_, value)| value.as_str())
    }

    /// The length of the body, 0 if none is stated.
    pub fn length(&self) -> usize {
        self.header("content-length").and_then(|value| value.parse().ok()).unwrap_or(0)
    }
}

/// A connection with what was read ahead.
pub struct Connection {
    pub stream: TcpStream,
    pub ahead: Vec<u8>,
}

impl Connection {
    pub fn new(stream: TcpStream) -> Self {
        let _ = stream.set_nodelay(true);
        Self { stream, ahead: Vec::new() }
    }

    /// Connects to a port of the loopback address.
    pub fn open(port: u16) -> io::Result<Self> {
        let address = SocketAddr::from((Ipv4Addr::LOCALHOST, port));
        Ok(Self::new(TcpStream::connect(address)?))
    }

    pub fn write(&mut self, bytes: &[u8]) -> io::Result<()> {
        self.stream.write_all(bytes)
    }

    fn read_more(&mut self) -> io::Result<()> {
        let mut buffer = [0; 16384];
        match self.stream.read(&mut buffer)? {
            0 => Err(io::ErrorKind::UnexpectedEof.into()),
            size => {
                self.ahead.extend_from_slice(&buffer[..size]);
                Ok(())
            }
        }
    }

    /// Reads a head.
    pub fn read_head(&mut self) -> io::Result<Head> {
        let end = loop {
            if let Some(end) = self.ahead.windows(4).position(|bytes| bytes == b"\r\n\r\n") {
                break end;
            }
            self.read_more()?;
        };
        let text = String::from_utf8_lossy(&self.ahead[..end]).into_owned();
        self.ahead.drain(..end + 4);
        let mut lines = text.split("\r\n");
        let first_line = lines.next().unwrap_or("").to_owned();
        let status = first_line.strip_prefix("HTTP/1.1 ").and_then(|rest| rest.get(..3));
        let status = status.and_then(|digits| digits.parse().ok()).unwrap_or(0);
        let headers = lines.filter_map(|line| line.split_once(':'));
        let headers = headers.map(|(name, value)| (name.to_ascii_lowercase(), value.trim().to_owned()));
        Ok(Head { headers: headers.collect(), first_line, status })
    }

    /// Reads a body of this length.
    pub fn read_body(&mut self, length: usize) -> io::Result<Vec<u8>> {
        while self.ahead.len() < length {
            self.read_more()?;
        }
        Ok(self.ahead.drain(..length).collect())
    }
}

extern "C" {
    fn setsockopt(socket: i32, level: i32, name: i32, value: *const i32, length: u32) -> i32;
}

/// Sets the size of a socket's receive buffer, as an ordinary program may do. Without it, the system would
/// read ahead of a slow reader by many megabytes.
pub fn set_receive_buffer(stream: &TcpStream, bytes: i32) {
    const SOL_SOCKET: i32 = 1;
    const SO_RCVBUF: i32 = 8;
    // SAFETY: the socket is open, and the option takes a pointer to an integer of four bytes.
    let result = unsafe { setsockopt(stream.as_raw_fd(), SOL_SOCKET, SO_RCVBUF, &bytes, 4) };
    if result != 0 {
        give_up("the size of the receive buffer can't be set");
    }
}

static NEXT_ID: AtomicU64 = AtomicU64::new(0);

/// A new id of a request, as 16 hexadecimal digits.
pub fn new_id() -> String {
    let nanos = SystemTime::now().duration_since(UNIX_EPOCH).map_or(0, |time| time.as_nanos() as u64);
    let _ = NEXT_ID.compare_exchange(0, nanos, Ordering::Relaxed, Ordering::Relaxed);
    format!("{:016x}", NEXT_ID.fetch_add(1, Ordering::Relaxed))
}

/// A request of a client.
pub struct Request {
    pub id: String,
    pub class: &'static str,
    pub volume: u64,
    pub key: u64,
    pub cell: u32,
    pub budget_ms: u64,
    pub body: Vec<u8>,
}

impl Request {
    /// Encodes it as the protocol page shows. A `pedido` is a write and carries a key.
    pub fn encode(&self) -> Vec<u8> {
        let Self { id, class, volume, key, cell, budget_ms, body } = self;
        let is_write = *class == "pedido";
        let method = if is_write { "PUT" } else { "GET" };
        let mut head = format!(
            "{method} /{class}/{volume:016x}/{key:016x} HTTP/1.1\r\nHost: origin.svc\r\nX-Call-Id: {id}\r\n\
             X-Call-Class: {class}\r\nX-Plan: prioritario\r\nX-Budget-Ms: {budget_ms}\r\n\
             X-IO: units=1,shard={cell},hosts=1\r\n"
        );
        if is_write {
            head += &format!("Idempotency-Key: k{id}\r\nContent-Length: {}\r\n", body.len());
        }
        [head.as_bytes(), b"\r\n", body].concat()
    }
}

/// Random numbers, the same in each run of a seed.
pub struct Random(pub u64);

impl Random {
    /// The next number from 0 to 1.
    pub fn draw(&mut self) -> f64 {
        self.0 = self.0.wrapping_mul(6364136223846793005).wrapping_add(1442695040888963407);
        (self.0 >> 11) as f64 / (1u64 << 53) as f64
    }
}
