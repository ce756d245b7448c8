//! Two processes of one scheduler, as the platform starts them.

use std::net::SocketAddr;
use std::path::PathBuf;
use std::process::Command;
use std::sync::atomic::{AtomicU32, Ordering};

use heathward_core::{ClientRequestId, Endpoint, EndpointUpdate, HandoverState, SlowStartNode};
use heathward_policy::{EndpointUpdateKind, NodeState, ShardId};
use heathward_transport::handover::{decode, encode};
use rstest::rstest;
use tokio::io::AsyncWriteExt;
use tokio::net::{TcpSocket, TcpStream, UnixListener};
use tokio::time::{sleep, timeout, Duration, Instant};

use heathward_fakes::*;

use crate::support::{status_of_read, HEALTH_CHECK};

#[test]
fn the_handover_state_round_trips() {
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
        slow_start: vec![SlowStartNode { id: "s-1".into(), since: 1_700_000_000_123_456 }],
        paused: true,
        client_ids: Some(vec![ClientRequestId(7), ClientRequestId(u64::MAX)]),
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
fn a_malformed_handover_state_is_rejected(#[case] line: &str) {
    assert!(decode(line.as_bytes()).is_err());
}

/// The listen address, reserved for this scheduler, and the folder that its processes share.
struct SchedulerInstance {
    _reserved_socket: TcpSocket,
    listen: SocketAddr,
    folder: PathBuf,
    config: PathBuf,
}

impl SchedulerInstance {
    fn new(members: &str) -> Self {
        static NEXT: AtomicU32 = AtomicU32::new(0);
        let number = NEXT.fetch_add(1, Ordering::Relaxed);
        let (reserved_socket, listen) = reserved();
        // A short path, as that of a Unix socket has at most 108 bytes.
        let folder = std::env::temp_dir().join(format!("hw-{}-{number}", std::process::id()));
        std::fs::create_dir_all(&folder).unwrap();
        let config = folder.join("config.json");
        let text = config_text(&listen.to_string(), "127.0.0.1:1", members);
        std::fs::write(&config, text.replacen('{', r#"{"ops":"127.0.0.1:0","#, 1)).unwrap();
        Self { _reserved_socket: reserved_socket, listen, folder, config }
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

impl Drop for SchedulerInstance {
    fn drop(&mut self) {
        // The folder belongs to this test alone.
        let _ = std::fs::remove_dir_all(&self.folder);
    }
}

async fn has_served(process: &Program) -> bool {
    !process.call("METRICS").await.contains("responses.consulta.ok=0\n")
}

async fn send_read(stream: &mut TcpStream, call: u32, shard: i32) -> (u16, String) {
    stream.write_all(request("consulta", call, shard, 900, "").as_bytes()).await.unwrap();
    let (status, head, _) = answer(stream).await;
    (status, head)
}

/// A complete handover: the state is passed on, the old process rejects no client, operators' commands
/// apply to both processes, and the old process serves again if the new one dies.
#[tokio::test]
async fn a_new_version_takes_over_under_load() {
    let log = Log::default();
    let node = http_node(0, &[NodeBehavior::Serve], &log).await;
    let members = [member("s0", node, 0, "in_service", 0), member("s1", node, 1, "in_service", 0)].join(",");
    let instance = SchedulerInstance::new(&members);
    let mut old = instance.start();
    assert_eq!(old.call("SUSPEND s1").await, "OK\n");
    let mut connection = TcpStream::connect(instance.listen).await.unwrap();
    assert_eq!(send_read(&mut connection, 1, 0).await.0, 200);
    let new = instance.start();
    assert_eq!(new.call("STATUS").await, "OK\n");
    old.until("peer process: serving");
    // A connection to the old process is served there for the last time; new connections go to the new
    // process.
    let (status, head) = send_read(&mut connection, 2, 0).await;
    assert_eq!((status, header(&head, "connection")), (200, Some("close")));
    assert_eq!(
        status_of_read(instance.listen, 3, 1).await,
        503,
        "suspended by a command to the previous process"
    );
    assert_eq!(status_of_read(instance.listen, 4, 0).await, 200);
    assert!(has_served(&new).await);
    // A command to either process applies to both.
    assert_eq!(new.call("SUSPEND s0").await, "OK\n");
    assert!(old.call("METRICS").await.contains("pool_ejected=2\n"));
    assert_eq!(old.call("RESTORE s0").await, "OK\n");
    assert!(new.call("METRICS").await.contains("pool_ejected=1\n"));
    // The new process dies: the old one accepts clients again, and can hand over once more.
    new.kill();
    old.until("peer process: exited");
    assert_eq!(status_of_read(instance.listen, 5, 1).await, 503);
    let mut third = instance.start();
    old.until("peer process: serving");
    old.end();
    third.until("peer process: exited");
    assert_eq!(status_of_read(instance.listen, 6, 1).await, 503);
    third.end();
}

/// What a starting process finds at the handover socket of the previous process.
#[derive(Clone, Copy, Debug)]
enum Previous {
    StaleFile,
    Silent,
    OtherVersion,
}

/// Neither a stale socket file nor a process that sends nothing or has another version prevents a start.
#[rstest]
#[case::stale_file(Previous::StaleFile)]
#[case::silent(Previous::Silent)]
#[case::other_version(Previous::OtherVersion)]
#[tokio::test]
async fn no_fault_of_the_previous_process_prevents_a_start(#[case] previous: Previous) {
    let instance = SchedulerInstance::new("");
    let mut other = None;
    match previous {
        Previous::StaleFile => std::fs::write(instance.socket(), "stale").unwrap(),
        Previous::Silent | Previous::OtherVersion => {
            let listener = UnixListener::bind(instance.socket()).unwrap();
            other = Some(tokio::spawn(async move {
                let mut accepted = Vec::new();
                loop {
                    let (mut stream, _) = listener.accept().await.unwrap();
                    if matches!(previous, Previous::OtherVersion) {
                        stream.write_all(b"HEATHWARD 0\n").await.unwrap();
                    }
                    accepted.push(stream);
                }
            }));
        }
    }
    let started = tokio::task::spawn_blocking(move || (instance.start(), instance));
    let (process, instance) = timeout(TEST_TIMEOUT, started).await.expect("a start").unwrap();
    let health = HEALTH_CHECK.as_bytes();
    let mut stream = TcpStream::connect(instance.listen).await.unwrap();
    stream.write_all(health).await.unwrap();
    assert_eq!(answer(&mut stream).await.0, 503, "listens without an endpoint list");
    process.kill();
    if let Some(other) = other {
        other.abort();
    }
}

/// A peer process that disconnects at any step, from before its greeting to after its report that it serves,
/// leaves the running process as it was.
#[rstest]
#[case::nothing("")]
#[case::greets("HEATHWARD 1\n")]
#[case::other_version("HEATHWARD 9\n")]
#[case::serves_and_dies("HEATHWARD 1\nREADY\n")]
#[case::shares_ids_and_dies("HEATHWARD 1\nREADY REQUESTS\nATTEMPTED 00000000000000ff\n")]
#[tokio::test]
async fn a_peer_process_that_dies_at_any_step_changes_nothing(#[case] sent: &str) {
    let log = Log::default();
    let node = http_node(0, &[NodeBehavior::Serve], &log).await;
    let instance = SchedulerInstance::new(&member("s0", node, 0, "in_service", 0));
    let mut running = instance.start();
    let mut stream = tokio::net::UnixStream::connect(instance.socket()).await.unwrap();
    stream.write_all(sent.as_bytes()).await.unwrap();
    sleep(Duration::from_millis(20)).await;
    drop(stream);
    running.until("peer process: exited");
    let deadline = Instant::now() + TEST_TIMEOUT;
    while status_of_read(instance.listen, 1, 0).await != 200 {
        assert!(Instant::now() < deadline, "the running process does not serve");
    }
    // The next process gets a complete handover.
    let next = instance.start();
    running.until("peer process: serving");
    next.kill();
    running.until("peer process: exited");
    running.end();
}

/// Writes a request, and closes the connection once the node has received it.
async fn leave_after_sending(listen: SocketAddr, log: &Log, request: &str) {
    let seen = log.all().len();
    let mut client = TcpStream::connect(listen).await.unwrap();
    client.write_all(request.as_bytes()).await.unwrap();
    let deadline = Instant::now() + TEST_TIMEOUT;
    while log.all().len() == seen {
        assert!(Instant::now() < deadline, "the node receives nothing");
        sleep(Duration::from_millis(2)).await;
    }
}

/// Guards against a request that is executed by both processes of an upgrade, as its id comes again at the
/// other one after its client has left.
#[tokio::test]
async fn an_id_that_was_sent_by_one_process_is_not_sent_by_the_other() {
    let log = Log::default();
    let node = http_node(0, &[NodeBehavior::LateServe], &log).await;
    let instance = SchedulerInstance::new(&member("s0", node, 0, "in_service", 0));
    let mut old = instance.start();
    let mut kept = Vec::new();
    for _ in 0..2 {
        let mut client = TcpStream::connect(instance.listen).await.unwrap();
        client.write_all(HEALTH_CHECK.as_bytes()).await.unwrap();
        assert_eq!(answer(&mut client).await.0, 200);
        kept.push(client);
    }
    let write = |call| request("pedido", call, 0, 700, "w");
    // Before the handover, and while both processes run: at the old one, and at the new one.
    leave_after_sending(instance.listen, &log, &write(1)).await;
    let new = instance.start();
    old.until("peer process: serving");
    kept[0].write_all(write(2).as_bytes()).await.unwrap();
    assert_eq!(answer(&mut kept[0]).await.0, 200);
    leave_after_sending(instance.listen, &log, &write(3)).await;
    sleep(LATE_ANSWER_DELAY).await;
    for call in [1, 2] {
        let mut client = TcpStream::connect(instance.listen).await.unwrap();
        client.write_all(write(call).as_bytes()).await.unwrap();
        assert_eq!(answer(&mut client).await.0, 400, "request {call} at the new process");
    }
    kept[1].write_all(write(3).as_bytes()).await.unwrap();
    assert_eq!(answer(&mut kept[1]).await.0, 400, "request 3 at the old process");
    assert_eq!(log.all().len(), 3, "{:?}", log.all().iter().map(|seen| &seen.call).collect::<Vec<_>>());
    new.kill();
    old.kill();
}
