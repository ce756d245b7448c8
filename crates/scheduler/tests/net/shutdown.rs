//! Graceful shutdown: requests that must be answered, and requests that still arrive.

use std::net::SocketAddr;

use rstest::rstest;
use tokio::io::{AsyncReadExt, AsyncWriteExt};
use tokio::net::TcpStream;
use tokio::task::JoinSet;
use tokio::time::{timeout, Duration, Instant};

use crate::support::{send_signal, start_program, wait_until_listening, write_config, HEALTH_CHECK};
use heathward_fakes::*;

/// What a client receives for a request that was completely written.
#[derive(Clone, Copy, Debug, PartialEq)]
enum Outcome {
    /// A complete answer.
    Answer(u16),
    /// The connection was closed before any byte of an answer.
    Nothing,
    /// Anything else: a reset, or a part of an answer.
    Broken,
}

async fn read_outcome(stream: &mut TcpStream) -> Outcome {
    let mut first = [0];
    match timeout(TEST_TIMEOUT, stream.peek(&mut first))
        .await
        .expect("an answer or the end of the connection")
    {
        Ok(0) => Outcome::Nothing,
        Ok(_) => match timeout(TEST_TIMEOUT, read_message(stream)).await.expect("the rest of the answer") {
            Some((head, ..)) => Outcome::Answer(head[9..12].parse().unwrap()),
            None => Outcome::Broken,
        },
        Err(_) => Outcome::Broken,
    }
}

/// Sends requests on one connection, each after the answer to the one before, until the connection ends.
async fn send_until_closed(mut stream: TcpStream, first: u32) -> Vec<(u32, Outcome)> {
    let mut outcomes = Vec::new();
    for call in first.. {
        // A request that cannot be written any more was never received.
        if stream.write_all(request("consulta", call, 0, 900, "").as_bytes()).await.is_err() {
            break;
        }
        let outcome = read_outcome(&mut stream).await;
        outcomes.push((call, outcome));
        if !matches!(outcome, Outcome::Answer(_)) {
            break;
        }
    }
    outcomes
}

/// Returns a connection on which a request has been answered.
async fn answered_connection(address: SocketAddr, call: u32) -> TcpStream {
    let mut stream = TcpStream::connect(address).await.unwrap();
    stream.write_all(request("consulta", call, 0, 900, "").as_bytes()).await.unwrap();
    assert_eq!(answer(&mut stream).await.0, 200);
    stream
}

const CLIENTS: u32 = 10;
/// The limit on requests in flight at a node whose capacity is unknown.
const UNKNOWN_NODE_IN_FLIGHT_LIMIT: u32 = 4;
/// The number of request ids reserved for each client.
const IDS_PER_CLIENT: u32 = 1 << 20;

/// The process is stopped while SIGTERM, once or twice, and complete and partial requests arrive, so that it
/// finds all of them at once. Then the clients send further requests as soon as they are answered, until
/// their connections are closed. Guards against a request that is read and not answered, one that is
/// forwarded and not answered, a partial answer, and an exit that does not wait for open requests, or never
/// happens.
#[rstest]
#[tokio::test]
async fn requests_that_cross_the_shutdown_are_answered_or_never_read(#[values(1, 2)] times: usize) {
    let log = Log::default();
    let node = http_node(0, &[NodeBehavior::Serve], &log).await;
    let members = member("s0", node, 0, "in_service", 0);
    let text = config_text("127.0.0.1:0", "127.0.0.1:1", &members);
    let (mut child, _lines, address) =
        wait_until_listening(start_program(&write_config(&format!("crossing{times}"), &text), &[]));
    let mut clients = Vec::new();
    for client in 0..CLIENTS {
        clients.push(answered_connection(address, client * IDS_PER_CLIENT + IDS_PER_CLIENT / 2).await);
    }
    let mut partial = Vec::new();
    for client in CLIENTS..CLIENTS + 3 {
        partial.push(answered_connection(address, client * IDS_PER_CLIENT + IDS_PER_CLIENT / 2).await);
    }
    let mut idle = answered_connection(address, (CLIENTS + 3) * IDS_PER_CLIENT).await;
    send_signal(&child, "-STOP");
    let mut sending = JoinSet::new();
    for (client, stream) in (0..).zip(clients) {
        sending.spawn(send_until_closed(stream, client * IDS_PER_CLIENT));
    }
    for stream in &mut partial {
        stream.write_all(b"GET /consulta/0000").await.unwrap();
    }
    for _ in 0..times {
        send_signal(&child, "-TERM");
    }
    send_signal(&child, "-CONT");
    let signalled_at = Instant::now();
    let mut outcomes = sending.join_all().await.concat();
    outcomes.sort_by_key(|(call, _)| *call);
    // A client whose partial request was not read when its connection closed can send it again; if it was
    // read, the client is told why the connection ends.
    for stream in &mut partial {
        assert!(matches!(read_outcome(stream).await, Outcome::Nothing | Outcome::Answer(408)));
    }
    assert_eq!(read_outcome(&mut idle).await, Outcome::Nothing, "an idle connection is closed, not reset");
    let status = tokio::task::spawn_blocking(move || child.wait().unwrap()).await.unwrap();
    assert!(status.success());
    assert!(signalled_at.elapsed() < Duration::from_secs(10), "{:?}", signalled_at.elapsed());
    let seen: Vec<u32> = log.all().iter().map(|seen| u32::from_str_radix(&seen.call, 16).unwrap()).collect();
    for (call, outcome) in &outcomes {
        let sent = seen.iter().filter(|id| *id == call).count();
        let consistent = match outcome {
            Outcome::Answer(200) => sent == 1,
            Outcome::Answer(503) => sent == 0,
            Outcome::Nothing => sent == 0,
            _ => false,
        };
        assert!(consistent, "{call:#x}: {outcome:?}, forwarded {sent} times");
    }
    assert!(
        outcomes.iter().filter(|(_, outcome)| *outcome == Outcome::Answer(200)).count() > CLIENTS as usize
    );
}

/// The system has accepted clients for a stopped process. Their requests are written completely, in part or
/// not at all, and SIGTERM follows them or has already been handled. Guards against a listener that is closed
/// with connections in its queue: each complete request is answered, and no connection is reset.
#[rstest]
#[tokio::test]
async fn connections_waiting_to_be_accepted_at_shutdown_are_answered(#[values(false, true)] handled: bool) {
    check_connections_waiting_to_be_accepted(handled, "150").await;
}

/// Connections that wait to be accepted are served. The latency objective is so long that no request is shed
/// for its queueing delay, which a loaded machine may cause.
#[rstest]
#[tokio::test]
async fn connections_waiting_to_be_accepted_at_shutdown_are_served_with_a_long_latency_objective(
    #[values(false, true)] handled: bool,
) {
    check_connections_waiting_to_be_accepted(handled, "1000").await;
}

async fn check_connections_waiting_to_be_accepted(handled: bool, objective_ms: &str) {
    let log = Log::default();
    let node = http_node(0, &[NodeBehavior::Serve], &log).await;
    let hanging_node = http_node(1, &[NodeBehavior::Silent], &log).await;
    let members =
        [member("s0", node, 0, "in_service", 0), member("s1", hanging_node, 1, "in_service", 0)].join(",");
    let text = config_text("127.0.0.1:0", "127.0.0.1:1", &members)
        .replace("\"aimMs\":150", &format!("\"aimMs\":{objective_ms}"));
    let name = format!("accept{handled}{objective_ms}");
    let (mut child, _lines, address) = wait_until_listening(start_program(&write_config(&name, &text), &[]));
    let mut idle = answered_connection(address, IDS_PER_CLIENT).await;
    // The process does not exit before this request is answered.
    let mut open = TcpStream::connect(address).await.unwrap();
    open.write_all(request("consulta", 2 * IDS_PER_CLIENT, 1, 3_000, "").as_bytes()).await.unwrap();
    while log.all().len() < 2 {
        tokio::task::yield_now().await;
    }
    if handled {
        send_signal(&child, "-TERM");
        assert_eq!(read_outcome(&mut idle).await, Outcome::Nothing);
    }
    send_signal(&child, "-STOP");
    let (mut complete, mut others) = (Vec::new(), Vec::new());
    for client in 0..CLIENTS {
        let text = request("consulta", client, 0, 900, "");
        for part in [text.len(), 40, 0] {
            let mut stream = TcpStream::connect(address).await.unwrap();
            stream.write_all(&text.as_bytes()[..part]).await.unwrap();
            if part == text.len() { &mut complete } else { &mut others }.push(stream);
        }
    }
    if !handled {
        send_signal(&child, "-TERM");
    }
    send_signal(&child, "-CONT");
    for stream in &mut complete {
        assert_eq!(read_outcome(stream).await, Outcome::Answer(200));
    }
    for stream in &mut others {
        assert!(matches!(read_outcome(stream).await, Outcome::Nothing | Outcome::Answer(408)));
    }
    assert!(matches!(read_outcome(&mut open).await, Outcome::Answer(503 | 504)));
    let status = tokio::task::spawn_blocking(move || child.wait().unwrap()).await.unwrap();
    assert!(status.success());
    assert_eq!(log.all().len(), 2 + CLIENTS as usize);
}

/// Nodes hang during the shutdown, and clients would wait for only 0.1 s, or longer than the platform lets
/// the process run: all are answered before the exit.
#[rstest]
#[case::short(100)]
#[case::long(10_000)]
#[tokio::test]
async fn requests_pending_at_a_node_are_answered_before_the_exit(#[case] budget: u32) {
    let log = Log::default();
    let node = http_node(0, &[NodeBehavior::Silent], &log).await;
    let members = member("s0", node, 0, "in_service", 0);
    let text = config_text("127.0.0.1:0", "127.0.0.1:1", &members)
        .replace("\"aimMs\":150,\"deadlineMs\":1000", "\"aimMs\":9000,\"deadlineMs\":10000");
    let (mut child, _lines, address) =
        wait_until_listening(start_program(&write_config(&format!("hangs{budget}"), &text), &[]));
    let mut open = Vec::new();
    for call in 0..8 {
        let mut stream = TcpStream::connect(address).await.unwrap();
        stream.write_all(request("consulta", call, 0, budget, "").as_bytes()).await.unwrap();
        open.push(stream);
    }
    // The first request is at the node; the others are there too, or queued behind it.
    let deadline = Instant::now() + TEST_TIMEOUT;
    while log.all().is_empty() {
        assert!(Instant::now() < deadline, "no request is forwarded");
        tokio::task::yield_now().await;
    }
    send_signal(&child, "-TERM");
    for stream in &mut open {
        assert!(matches!(read_outcome(stream).await, Outcome::Answer(503 | 504)));
        let mut rest = Vec::new();
        assert!(timeout(TEST_TIMEOUT, stream.read_to_end(&mut rest))
            .await
            .expect("the end of the connection")
            .is_ok());
    }
    let status = tokio::task::spawn_blocking(move || child.wait().unwrap()).await.unwrap();
    assert!(status.success());
}

/// Guards against requests that are demoted and shed because the shutdown shortens their time, as if their
/// clients had already waited for that time. The scheduler infers such waiting only where clients do not mark
/// their retries.
#[rstest]
#[tokio::test]
async fn requests_during_a_shutdown_keep_their_priority(#[values(false, true)] clients_mark_retries: bool) {
    let log = Log::default();
    let node = http_node(0, &[NodeBehavior::Silent], &log).await;
    let clients_setting = format!("\"clients\":{{\"marksRetry\":{clients_mark_retries}}},\"balancers\"");
    let text = config_text("127.0.0.1:1", "127.0.0.1:1", &member("s0", node, 0, "in_service", 0))
        .replace("\"deadlineMs\":1000", "\"deadlineMs\":10000")
        .replace("\"balancers\"", &clients_setting);
    let rig = rig_of(&text, None).await;
    rig.core.set_shutdown_deadline(Instant::now() + Duration::from_secs(3)).await;
    let mut clients = Vec::new();
    for _ in 0..UNKNOWN_NODE_IN_FLIGHT_LIMIT {
        let stream = TcpStream::connect(rig.front).await.unwrap();
        stream.writable().await.unwrap();
        clients.push(stream);
    }
    // No other task runs between these writes: of requests that come one after the other, the later ones are
    // held back once the first ones have been unanswered for a period, with or without a shutdown.
    for (call, stream) in (0..).zip(&clients) {
        let text = request("consulta", call, 0, 10_000, "");
        assert_eq!(stream.try_write(text.as_bytes()).unwrap(), text.len());
    }
    let mut statuses = Vec::new();
    for stream in &mut clients {
        statuses.push(answer(stream).await.0);
    }
    assert_eq!(
        log.all().len(),
        UNKNOWN_NODE_IN_FLIGHT_LIMIT as usize,
        "not all were forwarded: {statuses:?}"
    );
}

/// Guards against 504 for a request that was never forwarded, as if a node might have executed it: its
/// attempt still waits for a connection when the time for the shutdown is over.
#[rstest]
#[tokio::test]
async fn requests_that_wait_for_a_connection_at_the_end_of_a_shutdown_are_shed(
    #[values("consulta", "pedido")] class: &str,
) {
    let node = full_node().await;
    let rig = rig(&[member("s0", node.address, 0, "in_service", 0)], None).await;
    let mut client = TcpStream::connect(rig.front).await.unwrap();
    client.write_all(request(class, 1, 0, 700, "").as_bytes()).await.unwrap();
    rig.until(|counters| counters.attempts_sent == 1).await;
    // No connection attempt has timed out by then: an attempt waits for a connection for up to half of its
    // request's time.
    rig.core.set_shutdown_deadline(Instant::now() + Duration::from_millis(100)).await;
    assert_eq!(answer(&mut client).await.0, 503);
    rig.until_at_rest().await;
    assert_eq!(rig.counters().await.attempts_written, 0);
}

/// The state of discovery at startup.
#[derive(Clone, Copy, Debug, PartialEq)]
enum Agent {
    /// No connection is accepted.
    Down,
    /// Connections are accepted, and nothing is sent on them.
    Silent,
}

/// The program is ready within 10 s whatever discovery does, with its cached list, which nothing contradicts;
/// and it exits if it is told to before it is ready.
#[rstest]
#[tokio::test]
async fn start_and_shutdown_need_no_discovery(
    #[values(Agent::Down, Agent::Silent)] agent: Agent,
    #[values(false, true)] ends_before_ready: bool,
) {
    let log = Log::default();
    let node = http_node(0, &[NodeBehavior::Serve], &log).await;
    let members = member("s0", node, 0, "in_service", 0);
    let (_reserved_socket, unused_address) = unused_address();
    let (listener, silent) = listen().await;
    let discovery = if agent == Agent::Down { unused_address } else { silent };
    let text = config_text("127.0.0.1:0", &discovery.to_string(), &members).replacen(
        r#""safety":{"#,
        r#""safety":{"stopSendingWithinMs":250,"#,
        1,
    );
    let (started_at, name) = (Instant::now(), format!("start{agent:?}{ends_before_ready}"));
    let (mut child, _lines, address) = wait_until_listening(start_program(&write_config(&name, &text), &[]));
    if !ends_before_ready {
        let health = HEALTH_CHECK;
        let mut stream = TcpStream::connect(address).await.unwrap();
        loop {
            stream.write_all(health.as_bytes()).await.unwrap();
            if answer(&mut stream).await.0 == 200 {
                break;
            }
            assert!(started_at.elapsed() < Duration::from_secs(10), "not ready in time");
            tokio::time::sleep(Duration::from_millis(20)).await;
        }
    }
    send_signal(&child, "-TERM");
    let status = tokio::task::spawn_blocking(move || child.wait().unwrap()).await.unwrap();
    assert!(status.success());
    drop(listener);
}
