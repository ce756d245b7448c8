//! A scheduler with small limits, its clients, and the measurement of its memory.

use std::future::Future;
use std::net::SocketAddr;
use std::path::PathBuf;
use std::process::Command;
use std::sync::atomic::{AtomicU32, Ordering};
use std::sync::Mutex;
use std::time::Duration;

use heathward_fakes::*;
use tokio::io::{AsyncReadExt, AsyncWriteExt};
use tokio::net::{TcpListener, TcpSocket, TcpStream};
use tokio::time::{sleep, timeout};

/// The least memory that the pages name, in MB.
pub const MEMORY_MB: usize = 32;
/// Descriptors of the scheduler.
pub const SOCKETS: usize = 512;
/// At most a third of the descriptors are held by clients for requests.
pub const CLIENTS: usize = SOCKETS / 3;
/// Number of nodes, each of which holds one shard.
pub const SHARDS: u32 = 9;
/// Time after which a test has failed; the machine may be busy.
const LIMIT: Duration = Duration::from_secs(60);

/// Only one test runs at a time, so that none delays another.
static TURN: tokio::sync::Mutex<()> = tokio::sync::Mutex::const_new(());

/// Waits until no other test of this program runs.
pub async fn turn() -> tokio::sync::MutexGuard<'static, ()> {
    TURN.lock().await
}

/// The folder, the address and the configuration of a scheduler, whose processes may run side by side.
pub struct Instance {
    _reserved_socket: TcpSocket,
    pub listen: SocketAddr,
    folder: PathBuf,
    arguments: Vec<String>,
}

impl Instance {
    /// Creates a scheduler of these nodes that may hold this many descriptors; `arguments` are those of the
    /// program.
    pub fn with_sockets(members: &[String], arguments: &[&str], sockets: usize) -> Self {
        static NEXT: AtomicU32 = AtomicU32::new(0);
        let (reserved_socket, listen) = reserved();
        // A short path, as that of a Unix socket has at most 108 bytes.
        let number = NEXT.fetch_add(1, Ordering::Relaxed);
        let folder = std::env::temp_dir().join(format!("hw-memory-{}-{number}", std::process::id()));
        std::fs::create_dir_all(&folder).unwrap();
        let text = config_text(&listen.to_string(), "127.0.0.1:1", &members.join(","))
            .replacen('{', r#"{"ops":"127.0.0.1:0","#, 1)
            .replace("\"memory_mb\":192", &format!("\"memory_mb\":{MEMORY_MB}"))
            .replace("\"sockets\":256", &format!("\"sockets\":{sockets}"));
        std::fs::write(folder.join("config.json"), text).unwrap();
        let arguments = arguments.iter().map(|argument| argument.to_string()).collect();
        Self { _reserved_socket: reserved_socket, listen, folder, arguments }
    }

    /// Writes a file into the folder, and returns its path.
    pub fn write(&self, name: &str, text: &str) -> PathBuf {
        let path = self.folder.join(name);
        std::fs::write(&path, text).unwrap();
        path
    }

    /// Adds an argument of the program.
    pub fn add_argument(&mut self, argument: &str) {
        self.arguments.push(argument.to_owned());
    }

    /// Starts a process.
    pub fn start(&self) -> Program {
        let mut command = Command::new(env!("CARGO_BIN_EXE_heathward"));
        command.env("GW_CONFIG", self.folder.join("config.json")).env("TMPDIR", &self.folder);
        command.args(&self.arguments);
        Program::start(command)
    }
}

impl Drop for Instance {
    fn drop(&mut self) {
        // The folder belongs to this test alone.
        let _ = std::fs::remove_dir_all(&self.folder);
    }
}

/// Starts a scheduler with nodes that `serve` plays on each connection.
pub async fn start<F>(serve: impl Fn(TcpStream) -> F + Clone + Send + 'static) -> (Instance, Program)
where
    F: Future<Output = ()> + Send + 'static,
{
    start_with_sockets(serve, SOCKETS).await
}

/// Starts a scheduler that may hold this many descriptors, with nodes that `serve` plays on each connection.
pub async fn start_with_sockets<F>(
    serve: impl Fn(TcpStream) -> F + Clone + Send + 'static,
    sockets: usize,
) -> (Instance, Program)
where
    F: Future<Output = ()> + Send + 'static,
{
    let mut members = Vec::new();
    for shard in 0..SHARDS {
        let (listener, address) = listen().await;
        tokio::spawn(accept_all(listener, serve.clone()));
        members.push(member(&format!("s{shard}"), address, shard, "in_service", 0));
    }
    let instance = Instance::with_sockets(&members, &[], sockets);
    let program = instance.start();
    (instance, program)
}

async fn accept_all<F>(listener: TcpListener, serve: impl Fn(TcpStream) -> F)
where
    F: Future<Output = ()> + Send + 'static,
{
    while let Ok((stream, _)) = listener.accept().await {
        tokio::spawn(serve(stream));
    }
}

/// Asserts that a process has never held more memory than it may.
pub async fn assert_within_limit(program: &Program) {
    let usage = program.held();
    println!("{usage:?}\n{}", program.call("METRICS").await);
    assert!(usage.peak_kb <= MEMORY_MB * 1024, "over {MEMORY_MB} MB: {usage:?}");
}

/// Opens a connection whose system buffer for input is small, so that the client reads no faster than the
/// test does.
pub async fn connect_with_small_buffer(address: SocketAddr) -> TcpStream {
    let socket = TcpSocket::new_v4().unwrap();
    socket.set_recv_buffer_size(4096).unwrap();
    socket.connect(address).await.unwrap()
}

/// Receives an answer; returns its status and its body.
pub async fn receive_answer(stream: &mut TcpStream) -> Option<(u16, Vec<u8>)> {
    let (head, _, body) = timeout(LIMIT, read_message(stream)).await.expect("an answer in time")?;
    Some((head[9..12].parse().expect("a status"), body))
}

/// Reads the head of a request or an answer, and returns it with what was read of the body.
pub async fn read_head(stream: &mut TcpStream) -> Option<(String, Vec<u8>)> {
    let mut bytes = Vec::new();
    loop {
        if let Some(end) = bytes.windows(4).position(|window| window == b"\r\n\r\n") {
            let body = bytes.split_off(end + 4);
            return Some((String::from_utf8_lossy(&bytes).to_lowercase(), body));
        }
        if stream.read_buf(&mut bytes).await.ok()? == 0 {
            return None;
        }
    }
}

/// Writes all bytes in pieces, with a pause after each.
pub async fn write_in_pieces(stream: &mut TcpStream, bytes: &[u8], piece: usize, pause: Duration) {
    for part in bytes.chunks(piece) {
        if stream.write_all(part).await.is_err() {
            return;
        }
        sleep(pause).await;
    }
}

/// Counts how often each status was answered.
#[derive(Debug, Default)]
pub struct Statuses(Mutex<std::collections::BTreeMap<u16, usize>>);

impl Statuses {
    pub fn add(&self, status: u16) {
        *self.0.lock().unwrap().entry(status).or_default() += 1;
    }

    pub fn count(&self, status: u16) -> usize {
        self.0.lock().unwrap().get(&status).copied().unwrap_or(0)
    }
}
