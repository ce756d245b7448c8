//! Helpers that several tests share.

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

/// An HTTP request for the scheduler's health.
pub const HEALTH_CHECK: &str = "GET /healthz HTTP/1.1\r\nHost: x\r\n\r\n";

/// Returns the number of attempts that ended with `end`.
pub fn attempts_ended(counters: &Counters, end: AttemptEnd) -> u64 {
    counters.attempts_ended(end)
}

/// A scheduler with one HTTP storage node.
pub struct OneNode {
    pub rig: Rig,
    /// The requests that the node has received.
    pub log: Log,
    /// The node's address.
    pub node: SocketAddr,
}

/// Starts a scheduler with one node in service, which holds shard 0 and follows the script.
pub async fn one_node(script: &[NodeBehavior]) -> OneNode {
    let log = Log::default();
    let node = http_node(0, script, &log).await;
    let rig = rig(&[member("s0", node, 0, "in_service", 0)], None).await;
    OneNode { rig, log, node }
}

/// Sends a read on a new connection, and returns the status of its answer.
pub async fn status_of_read(front: SocketAddr, call: u32, shard: i32) -> u16 {
    let mut client = TcpStream::connect(front).await.unwrap();
    client.write_all(request("consulta", call, shard, 900, "").as_bytes()).await.unwrap();
    answer(&mut client).await.0
}

/// Writes a configuration, and returns its path.
pub fn write_config(name: &str, text: &str) -> PathBuf {
    let path = PathBuf::from(env!("CARGO_TARGET_TMPDIR")).join(format!("{name}-{}.json", std::process::id()));
    std::fs::write(&path, text).unwrap();
    path
}

/// Replaces a file by a named pipe. The receiver yields the write end once a reader has opened the pipe.
pub fn replace_by_pipe(path: &Path) -> oneshot::Receiver<File> {
    std::fs::remove_file(path).unwrap();
    assert!(Command::new("mkfifo").arg(path).status().unwrap().success());
    let (sender, write_end) = oneshot::channel();
    let path = path.to_owned();
    // The pipe may never be opened for reading, so nothing waits for this thread.
    std::thread::spawn(move || sender.send(File::options().write(true).open(path).unwrap()));
    write_end
}

/// Starts the program before one node, with an admin address and the configuration in a file of this name.
pub fn start_before(node: SocketAddr, name: &str) -> Program {
    let members = member("s0", node, 0, "in_service", 0);
    let config = write_config(name, &config_text("127.0.0.1:0", "127.0.0.1:1", &members));
    let mut command = Command::new(env!("CARGO_BIN_EXE_heathward"));
    command.env("GW_CONFIG", config).env("GW_OPS", "127.0.0.1:0");
    Program::start(command)
}

/// Starts the program with a configuration and further arguments.
pub fn start_program(config: &PathBuf, arguments: &[&str]) -> Child {
    let mut command = Command::new(env!("CARGO_BIN_EXE_heathward"));
    command.env("GW_CONFIG", config).args(arguments).stderr(Stdio::piped()).stdout(Stdio::null());
    command.spawn().unwrap()
}

/// Waits for the log line with the address that the program listens on.
pub fn wait_until_listening(mut child: Child) -> (Child, BufReader<ChildStderr>, SocketAddr) {
    let mut lines = BufReader::new(child.stderr.take().unwrap());
    let address = address_in_next_line(&mut lines, " listening on ");
    (child, lines, address)
}

/// Reads the next line, and returns the address that follows `prefix` in it.
pub fn address_in_next_line(lines: &mut impl BufRead, prefix: &str) -> SocketAddr {
    let mut line = String::new();
    lines.read_line(&mut line).unwrap();
    line.trim().split_once(prefix).expect(&line).1.parse().unwrap()
}

/// Sends a signal, named as an option of kill, such as `-TERM`.
pub fn send_signal(child: &Child, name: &str) {
    let status = Command::new("kill").args([name, &child.id().to_string()]).status().unwrap();
    assert!(status.success());
}
