//! Two processes of one scheduler, as the platform starts them.

use std::net::SocketAddr;
use std::path::PathBuf;
use std::process::Command;
use std::sync::atomic::{AtomicU32, Ordering};

use heathward_core::{Endpoint, EndpointUpdate, HandoverState};
use heathward_policy::{EndpointUpdateKind, NodeState, ShardId};
use heathward_transport::handover::{decode, encode};
use rstest::rstest;
use tokio::io::AsyncWriteExt;
use tokio::net::{TcpSocket, TcpStream, UnixListener};
use tokio::time::{sleep, timeout, Duration, Instant};

use heathward_fakes::*;

#[test]
fn a_handover_state_survives_encoding_and_decoding() {
    let state = HandoverState {
        endpoint_list: EndpointUpdate {
            revision: 7,
            kind: EndpointUpdateKind::Snapshot,
            endpoints: vec![Endpoint {
                id: "s-1".into(),
                address: "127.0.0.1:9".parse().unwrap(),
                zone: "a".into(),
                shard: ShardId(3),
                state: NodeState::Draining,
                started_at: Some(1_700_000_000_123_000),
            }],
        },
        suspended: vec!["s-2".into()],
        slow_start: vec![("s-1".into(), 1_700_000_000_123_456)],
        paused: true,
    };
    assert_eq!(decode(encode(state.clone()).as_bytes()), Ok(state));
}

#[rstest]
#[case::not_json("{")]
#[case::not_text("\u{0}")]
#[case::no_list(r#"{"suspended":[],"cold":[],"paused":false}"#)]
#[case::bad_node(
    r#"{"list":{"revision":1,"complete":true,"members":[{"id":"a","host_port":"b","cell":1,"phase":"x"}]},
    "suspended":[],"cold":[],"paused":false}"#
)]
fn an_invalid_handover_state_is_rejected(#[case] line: &str) {
    assert!(decode(line.as_bytes()).is_err());
}

/// Where the processes of one scheduler run: an address that the system has chosen and gives to nobody else, and a
/// folder for the configuration and the socket.
struct Installation {
    _kept: TcpSocket,
    listen: SocketAddr,
    folder: PathBuf,
    config: PathBuf,
}

impl Installation {
    fn new(members: &str) -> Self {
        static NEXT: AtomicU32 = AtomicU32::new(0);
        let number = NEXT.fetch_add(1, Ordering::Relaxed);
        let (kept, listen) = reserved();
        // A short path: that of a Unix socket has 108 bytes at most.
        let folder = std::env::temp_dir().join(format!("hw-{}-{number}", std::process::id()));
        std::fs::create_dir_all(&folder).unwrap();
        let config = folder.join("config.json");
        let text = config_text(&listen.to_string(), "127.0.0.1:1", members);
        std::fs::write(&config, text.replacen('{', r#"{"ops":"127.0.0.1:0","#, 1)).unwrap();
        Self { _kept: kept, listen, folder, config }
    }

    fn socket(&self) -> PathBuf {
        self.folder.join(format!("heathward-{}.sock", self.listen))
    }

    fn start(&self) -> Program {
        let mut command = Command::new(env!("CARGO_BIN_EXE_heathward"));
        command.env("GW_CONFIG", &self.config).env("TMPDIR", &self.folder);
        Program::start(command)
    }
}

impl Drop for Installation {
    fn drop(&mut self) {
        // Only a folder of this test's own.
        let _ = std::fs::remove_dir_all(&self.folder);
    }
}

async fn served(process: &Program) -> bool {
    !process.call("METRICS").await.contains("responses.consulta.ok=0\n")
}

async fn ask(stream: &mut TcpStream, call: u32, shard: i32) -> (u16, String) {
    stream.write_all(request("consulta", call, shard, 900, "").as_bytes()).await.unwrap();
    let (status, head, _) = answer(stream).await;
    (status, head)
}

async fn ask_anew(at: SocketAddr, call: u32, shard: i32) -> u16 {
    ask(&mut TcpStream::connect(at).await.unwrap(), call, shard).await.0
}

/// The state is passed on, the old process closes its connections with their answers, commands hold in both
/// processes, and the old one serves again when the new one dies.
#[tokio::test]
async fn a_new_process_takes_over_and_the_old_one_takes_back() {
    let log = Log::default();
    let node = http_node(0, &[Does::Serve], &log).await;
    let members = [member("s0", node, 0, "in_service", 0), member("s1", node, 1, "in_service", 0)].join(",");
    let installation = Installation::new(&members);
    let mut old = installation.start();
    assert_eq!(old.call("SUSPEND s1").await, "OK\n");
    let mut kept = TcpStream::connect(installation.listen).await.unwrap();
    assert_eq!(ask(&mut kept, 1, 0).await.0, 200);
    let new = installation.start();
    assert_eq!(new.call("STATUS").await, "OK\n");
    old.until("peer process: serving");
    // What is open at the old one is served there, for the last time; what comes goes to the new one.
    let (status, head) = ask(&mut kept, 2, 0).await;
    assert_eq!((status, header(&head, "connection")), (200, Some("close")));
    assert_eq!(
        ask_anew(installation.listen, 3, 1).await,
        503,
        "out by hand, by a command to the process before"
    );
    assert_eq!(ask_anew(installation.listen, 4, 0).await, 200);
    assert!(served(&new).await);
    // A command to either holds in both.
    assert_eq!(new.call("SUSPEND s0").await, "OK\n");
    assert!(old.call("METRICS").await.contains("pool_ejected=2\n"));
    assert_eq!(old.call("RESTORE s0").await, "OK\n");
    assert!(new.call("METRICS").await.contains("pool_ejected=1\n"));
    // The new one dies: the old one takes clients again, and hands over once more.
    new.kill();
    old.until("peer process: exited");
    assert_eq!(ask_anew(installation.listen, 5, 1).await, 503);
    let mut third = installation.start();
    old.until("peer process: serving");
    old.end();
    third.until("peer process: exited");
    assert_eq!(ask_anew(installation.listen, 6, 1).await, 503);
    third.end();
}

/// What may be found where the running process should be.
#[derive(Clone, Copy, Debug)]
enum Before {
    File,
    Silent,
    Other,
}

/// A stale file, a process that sends nothing and one of another version do not stop a start.
#[rstest]
#[case::stale_file(Before::File)]
#[case::silent(Before::Silent)]
#[case::other_version(Before::Other)]
#[tokio::test]
async fn an_unresponsive_peer_process_does_not_stop_a_start(#[case] before: Before) {
    let installation = Installation::new("");
    let mut other = None;
    match before {
        Before::File => std::fs::write(installation.socket(), "stale").unwrap(),
        Before::Silent | Before::Other => {
            let listener = UnixListener::bind(installation.socket()).unwrap();
            other = Some(tokio::spawn(async move {
                let mut taken = Vec::new();
                loop {
                    let (mut stream, _) = listener.accept().await.unwrap();
                    if matches!(before, Before::Other) {
                        stream.write_all(b"HEATHWARD 0\n").await.unwrap();
                    }
                    taken.push(stream);
                }
            }));
        }
    }
    let started = tokio::task::spawn_blocking(move || (installation.start(), installation));
    let (process, installation) = timeout(PATIENCE, started).await.expect("a start").unwrap();
    let health = b"GET /healthz HTTP/1.1\r\nHost: x\r\n\r\n";
    let mut stream = TcpStream::connect(installation.listen).await.unwrap();
    stream.write_all(health).await.unwrap();
    assert_eq!(answer(&mut stream).await.0, 503, "it listens; it has no list");
    process.kill();
    if let Some(other) = other {
        other.abort();
    }
}

/// A process that only greets, or dies before it serves, leaves the running one as it was.
#[rstest]
#[case::nothing("")]
#[case::greets("HEATHWARD 1\n")]
#[case::other_version("HEATHWARD 9\n")]
#[case::serves_and_dies("HEATHWARD 1\nREADY\n")]
#[tokio::test]
async fn a_peer_process_that_exits_early_changes_nothing(#[case] says: &str) {
    let log = Log::default();
    let node = http_node(0, &[Does::Serve], &log).await;
    let installation = Installation::new(&member("s0", node, 0, "in_service", 0));
    let mut running = installation.start();
    let mut stream = tokio::net::UnixStream::connect(installation.socket()).await.unwrap();
    stream.write_all(says.as_bytes()).await.unwrap();
    sleep(Duration::from_millis(20)).await;
    drop(stream);
    running.until("peer process: exited");
    let by = Instant::now() + PATIENCE;
    while ask_anew(installation.listen, 1, 0).await != 200 {
        assert!(Instant::now() < by, "it does not serve");
    }
    // And the next one is given all.
    let next = installation.start();
    running.until("peer process: serving");
    next.kill();
    running.until("peer process: exited");
    running.end();
}
