//! Graceful shutdown: what is owed then, crossed by what still comes.

use std::net::SocketAddr;

use rstest::rstest;
use tokio::io::{AsyncReadExt, AsyncWriteExt};
use tokio::net::TcpStream;
use tokio::task::JoinSet;
use tokio::time::{timeout, Duration, Instant};

use crate::support::{send_signal, start_program, wait_until_listening, write_config, HEALTH_CHECK};
use heathward_fakes::*;

/// What came of a request that was written whole.
#[derive(Clone, Copy, Debug, PartialEq)]
enum Came {
    /// A whole answer.
    Answer(u16),
    /// The connection was closed before anything came.
    Nothing,
    /// Anything else: a reset, or a part of an answer.
    Broken,
}

async fn came(stream: &mut TcpStream) -> Came {
    let mut first = [0];
    match timeout(PATIENCE, stream.peek(&mut first)).await.expect("an answer or an end") {
        Ok(0) => Came::Nothing,
        Ok(_) => match timeout(PATIENCE, read_message(stream)).await.expect("all of it") {
            Some((head, ..)) => Came::Answer(head[9..12].parse().unwrap()),
            None => Came::Broken,
        },
        Err(_) => Came::Broken,
    }
}

/// Asks and asks again, on one connection, until that ends.
async fn insist(mut stream: TcpStream, first: u32) -> Vec<(u32, Came)> {
    let mut asked = Vec::new();
    for call in first.. {
        // What can't be written any more was never taken.
        if stream.write_all(request("consulta", call, 0, 900, "").as_bytes()).await.is_err() {
            break;
        }
        let came = came(&mut stream).await;
        asked.push((call, came));
        if !matches!(came, Came::Answer(_)) {
            break;
        }
    }
    asked
}

/// A connection that has carried a request.
async fn rested(address: SocketAddr, call: u32) -> TcpStream {
    let mut stream = TcpStream::connect(address).await.unwrap();
    stream.write_all(request("consulta", call, 0, 900, "").as_bytes()).await.unwrap();
    assert_eq!(answer(&mut stream).await.0, 200);
    stream
}

const CLIENTS: u32 = 10;
/// Requests that a node that nothing is known of gets at a time.
const NODE_BUDGET_REQUESTS: u32 = 4;
/// Ids of one client.
const SPACE: u32 = 1 << 20;

/// The process stands still while SIGTERM, once or twice, whole requests and half ones come: it meets all of
/// it at once. Then clients come again as soon as they are answered, until it closes their connections.
/// Guards against a request that is read and not answered, one that is sent on and not answered, an answer in
/// part, and an end that waits for nobody or for ever.
#[rstest]
#[tokio::test]
async fn requests_that_cross_the_shutdown_are_answered_or_never_read(#[values(1, 2)] times: usize) {
    let log = Log::default();
    let node = http_node(0, &[Does::Serve], &log).await;
    let members = member("s0", node, 0, "in_service", 0);
    let text = config_text("127.0.0.1:0", "127.0.0.1:1", &members);
    let (mut child, _lines, address) =
        wait_until_listening(start_program(&write_config(&format!("storm{times}"), &text), &[]));
    let mut clients = Vec::new();
    for client in 0..CLIENTS {
        clients.push(rested(address, client * SPACE + SPACE / 2).await);
    }
    let mut halves = Vec::new();
    for client in CLIENTS..CLIENTS + 3 {
        halves.push(rested(address, client * SPACE + SPACE / 2).await);
    }
    let mut resting = rested(address, (CLIENTS + 3) * SPACE).await;
    send_signal(&child, "-STOP");
    let mut insisting = JoinSet::new();
    for (client, stream) in (0..).zip(clients) {
        insisting.spawn(insist(stream, client * SPACE));
    }
    for stream in &mut halves {
        stream.write_all(b"GET /consulta/0000").await.unwrap();
    }
    for _ in 0..times {
        send_signal(&child, "-TERM");
    }
    send_signal(&child, "-CONT");
    let ended = Instant::now();
    let mut asked = insisting.join_all().await.concat();
    asked.sort_by_key(|(call, _)| *call);
    // A close crosses a half request, which can then be sent again; one that was read is told why it ends.
    for stream in &mut halves {
        assert!(matches!(came(stream).await, Came::Nothing | Came::Answer(408)));
    }
    assert_eq!(came(&mut resting).await, Came::Nothing, "whoever rests is closed in order");
    let status = tokio::task::spawn_blocking(move || child.wait().unwrap()).await.unwrap();
    assert!(status.success());
    assert!(ended.elapsed() < Duration::from_secs(10), "{:?}", ended.elapsed());
    let seen: Vec<u32> = log.all().iter().map(|seen| u32::from_str_radix(&seen.call, 16).unwrap()).collect();
    for (call, came) in &asked {
        let sent = seen.iter().filter(|id| *id == call).count();
        let kept = match came {
            Came::Answer(200) => sent == 1,
            Came::Answer(503) => sent == 0,
            Came::Nothing => sent == 0,
            _ => false,
        };
        assert!(kept, "{call:#x}: {came:?}, sent on {sent} times");
    }
    assert!(asked.iter().filter(|(_, came)| *came == Came::Answer(200)).count() > CLIENTS as usize);
}

/// Clients that the system has accepted for a process that stands still, their requests written whole or in
/// part or not at all, with SIGTERM behind them, or when it has been heeded. Guards against a listener that
/// is closed over them: each whole request has its answer, and nobody is reset.
#[rstest]
#[tokio::test]
async fn connections_waiting_to_be_accepted_at_shutdown_are_answered(#[values(false, true)] heeded: bool) {
    check_connections_waiting_to_be_accepted(heeded, "150").await;
}

/// The same where requests are not shed for having queued too long, as a loaded machine makes them do.
#[rstest]
#[tokio::test]
async fn connections_waiting_to_be_accepted_at_shutdown_are_served_without_a_tight_objective(
    #[values(false, true)] heeded: bool,
) {
    check_connections_waiting_to_be_accepted(heeded, "1000").await;
}

async fn check_connections_waiting_to_be_accepted(heeded: bool, objective_ms: &str) {
    let log = Log::default();
    let node = http_node(0, &[Does::Serve], &log).await;
    let hangs = http_node(1, &[Does::Silent], &log).await;
    let members = [member("s0", node, 0, "in_service", 0), member("s1", hangs, 1, "in_service", 0)].join(",");
    let text = config_text("127.0.0.1:0", "127.0.0.1:1", &members)
        .replace("\"aimMs\":150", &format!("\"aimMs\":{objective_ms}"));
    let name = format!("accept{heeded}{objective_ms}");
    let (mut child, _lines, address) = wait_until_listening(start_program(&write_config(&name, &text), &[]));
    let mut resting = rested(address, SPACE).await;
    // Until this has its answer the process has not ended.
    let mut open = TcpStream::connect(address).await.unwrap();
    open.write_all(request("consulta", 2 * SPACE, 1, 3_000, "").as_bytes()).await.unwrap();
    while log.all().len() < 2 {
        tokio::task::yield_now().await;
    }
    if heeded {
        send_signal(&child, "-TERM");
        assert_eq!(came(&mut resting).await, Came::Nothing);
    }
    send_signal(&child, "-STOP");
    let (mut whole, mut others) = (Vec::new(), Vec::new());
    for client in 0..CLIENTS {
        let text = request("consulta", client, 0, 900, "");
        for part in [text.len(), 40, 0] {
            let mut stream = TcpStream::connect(address).await.unwrap();
            stream.write_all(&text.as_bytes()[..part]).await.unwrap();
            if part == text.len() { &mut whole } else { &mut others }.push(stream);
        }
    }
    if !heeded {
        send_signal(&child, "-TERM");
    }
    send_signal(&child, "-CONT");
    for stream in &mut whole {
        assert_eq!(came(stream).await, Came::Answer(200));
    }
    for stream in &mut others {
        assert!(matches!(came(stream).await, Came::Nothing | Came::Answer(408)));
    }
    assert!(matches!(came(&mut open).await, Came::Answer(503 | 504)));
    let status = tokio::task::spawn_blocking(move || child.wait().unwrap()).await.unwrap();
    assert!(status.success());
    assert_eq!(log.all().len(), 2 + CLIENTS as usize);
}

/// Nodes hang just then, and clients would wait for longer than the platform lets the program run, or for
/// less than a moment: all are answered before it ends.
#[rstest]
#[case::short(100)]
#[case::long(10_000)]
#[tokio::test]
async fn requests_pending_at_a_node_are_answered_before_the_exit(#[case] budget: u32) {
    let log = Log::default();
    let node = http_node(0, &[Does::Silent], &log).await;
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
    // The first is at the node: the others are there, or wait behind it.
    let by = Instant::now() + PATIENCE;
    while log.all().is_empty() {
        assert!(Instant::now() < by, "it never sends");
        tokio::task::yield_now().await;
    }
    send_signal(&child, "-TERM");
    for stream in &mut open {
        assert!(matches!(came(stream).await, Came::Answer(503 | 504)));
        let mut rest = Vec::new();
        assert!(timeout(PATIENCE, stream.read_to_end(&mut rest)).await.expect("an end").is_ok());
    }
    let status = tokio::task::spawn_blocking(move || child.wait().unwrap()).await.unwrap();
    assert!(status.success());
}

/// Guards against requests that are demoted and shed for the time that a shutdown takes from them, as though
/// their clients had waited for that time before.
#[tokio::test]
async fn requests_during_a_shutdown_keep_their_priority() {
    let log = Log::default();
    let node = http_node(0, &[Does::Silent], &log).await;
    let text = config_text("127.0.0.1:1", "127.0.0.1:1", &member("s0", node, 0, "in_service", 0))
        .replace("\"deadlineMs\":1000", "\"deadlineMs\":10000");
    let rig = rig_of(&text, None).await;
    rig.core.set_shutdown_deadline(Instant::now() + Duration::from_secs(3)).await;
    let mut clients = Vec::new();
    for call in 0..NODE_BUDGET_REQUESTS {
        let mut stream = TcpStream::connect(rig.front).await.unwrap();
        stream.write_all(request("consulta", call, 0, 10_000, "").as_bytes()).await.unwrap();
        clients.push(stream);
    }
    let mut statuses = Vec::new();
    for stream in &mut clients {
        statuses.push(answer(stream).await.0);
    }
    assert_eq!(log.all().len(), NODE_BUDGET_REQUESTS as usize, "not all were forwarded: {statuses:?}");
}

/// Guards against 504 for a request that was never forwarded, as though a node might have executed it: its
/// attempt waits for a connection when the time of the shutdown is over.
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
    // By then no connection is given up yet: an attempt waits for one for up to half of its request's time.
    rig.core.set_shutdown_deadline(Instant::now() + Duration::from_millis(100)).await;
    assert_eq!(answer(&mut client).await.0, 503);
    rig.until_at_rest().await;
    assert_eq!(rig.counters().await.attempts_written, 0);
}

/// What a program that starts finds of discovery.
#[derive(Clone, Copy, Debug, PartialEq)]
enum Agent {
    /// Nobody takes a call.
    Down,
    /// Calls are taken, and nothing is said.
    Silent,
}

/// Ready within 10 s whatever discovery does, by its saved list, which nothing tells it to distrust; and told
/// to end before it is ready, it ends.
#[rstest]
#[tokio::test]
async fn start_and_shutdown_need_no_discovery(
    #[values(Agent::Down, Agent::Silent)] agent: Agent,
    #[values(false, true)] ends_at_once: bool,
) {
    let log = Log::default();
    let node = http_node(0, &[Does::Serve], &log).await;
    let members = member("s0", node, 0, "in_service", 0);
    let (_kept, nobody) = nobody();
    let (listener, silent) = listen().await;
    let discovery = if agent == Agent::Down { nobody } else { silent };
    let text = config_text("127.0.0.1:0", &discovery.to_string(), &members).replacen(
        r#""safety":{"#,
        r#""safety":{"stopSendingWithinMs":250,"#,
        1,
    );
    let (begun, name) = (Instant::now(), format!("start{agent:?}{ends_at_once}"));
    let (mut child, _lines, address) = wait_until_listening(start_program(&write_config(&name, &text), &[]));
    if !ends_at_once {
        let health = HEALTH_CHECK;
        let mut stream = TcpStream::connect(address).await.unwrap();
        loop {
            stream.write_all(health.as_bytes()).await.unwrap();
            if answer(&mut stream).await.0 == 200 {
                break;
            }
            assert!(begun.elapsed() < Duration::from_secs(10), "not ready in time");
            tokio::time::sleep(Duration::from_millis(20)).await;
        }
    }
    send_signal(&child, "-TERM");
    let status = tokio::task::spawn_blocking(move || child.wait().unwrap()).await.unwrap();
    assert!(status.success());
    drop(listener);
}
