//! Idle clients that fill the descriptors while discovery is down.

use std::io::Read;
use std::net::SocketAddr;
use std::process::{Child, Command, Stdio};
use std::time::Duration;

use tokio::io::{AsyncReadExt, AsyncWriteExt};
use tokio::net::{TcpListener, TcpSocket, TcpStream};
use tokio::task::JoinSet;
use tokio::time::{sleep, timeout, Instant};

use crate::support::{wait_until_listening, write_config};
use heathward_fakes::*;

/// The limit on descriptors of the process, which the system enforces.
const DESCRIPTORS: usize = 64;
/// The number of clients that connect and send nothing: twice as many as there are descriptors.
const IDLE_CLIENTS: usize = 2 * DESCRIPTORS;
/// The scheduler must take a change into account this long after discovery can be reached again, at the
/// latest. The bound allows for a loaded machine.
const NOTIFIED_WITHIN: Duration = Duration::from_secs(6);

/// Clients that hold all descriptors before the scheduler has a connection to a node.
const HOLDING_CLIENTS: usize = DESCRIPTORS;
/// Those of them that send requests; the others wait to be accepted.
const SENDING_CLIENTS: usize = 20;
/// For how long they do, which is long enough for a node that can't be reached to be avoided, and the pause
/// after each round of requests.
const SENDING_TIME: Duration = Duration::from_millis(2500);
const ROUND_PAUSE: Duration = Duration::from_millis(200);

/// Listens at the reserved address, which no other process has taken.
fn listen_again(reserved: &TcpSocket) -> TcpListener {
    let socket = TcpSocket::new_v4().unwrap();
    socket.set_reuseport(true).unwrap();
    socket.bind(reserved.local_addr().unwrap()).unwrap();
    socket.listen(64).unwrap()
}

/// Connects, sends nothing, and connects again as soon as its connection is closed.
async fn reconnect_forever(front: SocketAddr) {
    loop {
        let Ok(mut client) = TcpStream::connect(front).await else { return };
        // A reset ends the read as well.
        let _ = client.read(&mut [0]).await;
    }
}

/// Waits until half of the descriptors are open. That is the share of client connections.
async fn wait_until_filled(child: &Child) {
    let folder = format!("/proc/{}/fd", child.id());
    let deadline = Instant::now() + TEST_TIMEOUT;
    while std::fs::read_dir(&folder).unwrap().count() < DESCRIPTORS / 2 {
        assert!(Instant::now() < deadline, "the clients do not fill the descriptors");
        sleep(Duration::from_millis(5)).await;
    }
}

/// Sends a request on a new connection, and returns the status of its answer. If the connection is closed
/// without an answer, the request is sent again on another one.
async fn status_of_new_connection(front: SocketAddr, call: u32) -> u16 {
    let deadline = Instant::now() + TEST_TIMEOUT;
    loop {
        let mut client = TcpStream::connect(front).await.unwrap();
        let written = client.write_all(request("consulta", call, 0, 900, "").as_bytes()).await;
        let message = timeout(TEST_TIMEOUT, read_message(&mut client))
            .await
            .expect("an answer or the end of the connection");
        if let (Ok(()), Some((head, ..))) = (written, message) {
            return head[9..12].parse().unwrap();
        }
        assert!(Instant::now() < deadline, "no connection is evicted");
        sleep(Duration::from_millis(20)).await;
    }
}

/// Guards against a process that cannot call discovery once discovery is back, because clients hold all
/// descriptors, and therefore misses a drain.
#[tokio::test]
async fn idle_clients_that_fill_the_descriptors_leave_one_for_discovery() {
    let log = Log::default();
    let node = http_node(0, &[NodeBehavior::Serve], &log).await;
    let (reserved_socket, discovery) = reserved();
    let members = member("s0", node, 0, "in_service", 0).replace('\n', "");
    let text = config_text("127.0.0.1:0", &discovery.to_string(), &members)
        .replace(r#""sockets":256"#, &format!(r#""sockets":{DESCRIPTORS}"#));
    let limited = format!("ulimit -n {DESCRIPTORS}; exec {}", env!("CARGO_BIN_EXE_heathward"));
    let mut command = Command::new("sh");
    command.args(["-c", &limited]).env("GW_CONFIG", write_config("idle-clients", &text));
    let child = command.stderr(Stdio::piped()).stdout(Stdio::null()).spawn().unwrap();
    let (mut child, _lines, front) = wait_until_listening(child);
    let mut idle = JoinSet::new();
    for _ in 0..IDLE_CLIENTS {
        idle.spawn(reconnect_forever(front));
    }
    wait_until_filled(&child).await;
    // An answer shows that the process has seen all clients that connected before.
    assert_eq!(status_of_new_connection(front, 1).await, 200);
    let listener = listen_again(&reserved_socket);
    let reachable_at = Instant::now();
    let (mut watch, _) = watched(&listener).await;
    let drained = members.replace("in_service", "terminating");
    tell(&mut watch, &format!("{{\"revision\":9,\"complete\":false,\"members\":[{drained}]}}\n")).await;
    assert!(reachable_at.elapsed() < NOTIFIED_WITHIN, "called after {:?}", reachable_at.elapsed());
    let mut call = 2;
    while status_of_new_connection(front, call).await == 200 {
        assert!(reachable_at.elapsed() < TEST_TIMEOUT, "the drain is not applied");
        call += 1;
    }
    // The idle clients keep reconnecting, and still leave descriptors for a request after the drain.
    let forwarded = log.all().len();
    assert_eq!(status_of_new_connection(front, call + 1).await, 503);
    assert_eq!(log.all().len(), forwarded);
    idle.shutdown().await;
    child.kill().unwrap();
    child.wait().unwrap();
}

/// Guards against nodes that are taken for unreachable because the scheduler itself has no descriptor for a
/// connection to them: the system's limit is lower than that of the settings, and clients hold all of it.
#[tokio::test]
async fn a_lack_of_descriptors_is_not_blamed_on_nodes() {
    let node = http_node(0, &[NodeBehavior::Serve], &Log::default()).await;
    let text = config_text("127.0.0.1:0", "127.0.0.1:1", &member("s0", node, 0, "in_service", 0));
    let limited = format!("ulimit -n {DESCRIPTORS}; exec {}", env!("CARGO_BIN_EXE_heathward"));
    let mut command = Command::new("sh");
    command.args(["-c", &limited]).env("GW_CONFIG", write_config("no-descriptors", &text));
    let child = command.stderr(Stdio::piped()).stdout(Stdio::null()).spawn().unwrap();
    let (mut child, mut lines, front) = wait_until_listening(child);
    let mut clients = Vec::new();
    for _ in 0..HOLDING_CLIENTS {
        clients.push(TcpStream::connect(front).await.unwrap());
    }
    let deadline = Instant::now() + SENDING_TIME;
    let mut call = 0;
    while Instant::now() < deadline {
        for client in clients.iter_mut().take(SENDING_CLIENTS) {
            call += 1;
            client.write_all(request("consulta", call, 0, 900, "").as_bytes()).await.unwrap();
            timeout(TEST_TIMEOUT, read_message(client)).await.expect("in time").expect("an answer");
        }
        sleep(ROUND_PAUSE).await;
    }
    child.kill().unwrap();
    child.wait().unwrap();
    let mut log = String::new();
    lines.read_to_string(&mut log).unwrap();
    assert!(!log.contains("node is unresponsive"), "{log}");
}
