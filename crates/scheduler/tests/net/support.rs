//! What several tests share.

use std::fs::File;
use std::io::{BufRead, BufReader};
use std::net::SocketAddr;
use std::path::{Path, PathBuf};
use std::process::{Child, ChildStderr, Command, Stdio};

use heathward_core::Counters;
use heathward_policy::AttemptEnd;
use tokio::io::AsyncWriteExt;
use tokio::net::TcpStream;
use tokio::sync::oneshot;

use heathward_fakes::*;

/// What asks for the scheduler's health.
pub const HEALTH_CHECK: &str = "GET /healthz HTTP/1.1\r\nHost: x\r\n\r\n";

/// The number of attempts that ended so.
pub fn count(counters: &Counters, end: AttemptEnd) -> u64 {
    counters.attempts_ended(end)
}

/// A scheduler before one HTTP node.
pub struct OneNode {
    pub rig: Rig,
    /// What the node has seen.
    pub log: Log,
    /// The node's address.
    pub node: SocketAddr,
}

/// A scheduler before one node in service that does as the script says, on shard 0.
pub async fn one_node(script: &[Does]) -> OneNode {
    let log = Log::default();
    let node = http_node(0, script, &log).await;
    let rig = rig(&[member("s0", node, 0, "in_service", 0)], None).await;
    OneNode { rig, log, node }
}

/// The status of the answer to a read on a connection of its own.
pub async fn status_of_read(front: SocketAddr, call: u32, shard: i32) -> u16 {
    let mut client = TcpStream::connect(front).await.unwrap();
    client.write_all(request("consulta", call, shard, 900, "").as_bytes()).await.unwrap();
    answer(&mut client).await.0
}

/// Writes a configuration, and gives back its path.
pub fn write_config(name: &str, text: &str) -> PathBuf {
    let path = PathBuf::from(env!("CARGO_TARGET_TMPDIR")).join(format!("{name}-{}.json", std::process::id()));
    std::fs::write(&path, text).unwrap();
    path
}

/// Replaces a file by a pipe. What is received is its end to write to, once somebody has opened it to read.
pub fn replace_by_pipe(path: &Path) -> oneshot::Receiver<File> {
    std::fs::remove_file(path).unwrap();
    assert!(Command::new("mkfifo").arg(path).status().unwrap().success());
    let (opened, reader_is_there) = oneshot::channel();
    let path = path.to_owned();
    // Nobody may ever read it, so that nothing waits for this thread.
    std::thread::spawn(move || opened.send(File::options().write(true).open(path).unwrap()));
    reader_is_there
}

/// Starts the program on a configuration, with more arguments.
pub fn start_program(config: &PathBuf, arguments: &[&str]) -> Child {
    let mut command = Command::new(env!("CARGO_BIN_EXE_heathward"));
    command.env("GW_CONFIG", config).args(arguments).stderr(Stdio::piped()).stdout(Stdio::null());
    command.spawn().unwrap()
}

/// Waits for the line that says where it listens.
pub fn wait_until_listening(mut child: Child) -> (Child, BufReader<ChildStderr>, SocketAddr) {
    let mut lines = BufReader::new(child.stderr.take().unwrap());
    let address = address_in_next_line(&mut lines, " listening on ");
    (child, lines, address)
}

/// The address behind those words in the next line.
pub fn address_in_next_line(lines: &mut impl BufRead, what: &str) -> SocketAddr {
    let mut line = String::new();
    lines.read_line(&mut line).unwrap();
    line.trim().split_once(what).expect(&line).1.parse().unwrap()
}

/// Sends a signal by its name.
pub fn send_signal(child: &Child, name: &str) {
    let status = Command::new("kill").args([name, &child.id().to_string()]).status().unwrap();
    assert!(status.success());
}
