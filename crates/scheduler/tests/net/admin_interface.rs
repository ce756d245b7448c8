//! The admin interface: one test on real sockets for each rule.

use heathward_core::{CoreMessage, SendGate};
use heathward_policy::AttemptEnd;
use heathward_transport::node::{HttpLink, LinkRequest};
use heathward_transport::{admin, discovery};
use rstest::rstest;
use tokio::io::{AsyncReadExt, AsyncWriteExt};
use tokio::net::TcpStream;
use tokio::time::{timeout, Duration, Instant};
use tower::Service;

use heathward_fakes::*;

use crate::support::HEALTH_CHECK;

/// Starts a scheduler with these nodes, and its admin interface, which accepts at most `max_connections`.
async fn rig_with_admin(members: &[String], max_connections: usize) -> (Rig, std::net::SocketAddr) {
    let rig = rig(members, None).await;
    let (listener, address) = listen().await;
    tokio::spawn(admin::serve(listener, rig.core.clone(), max_connections));
    (rig, address)
}

async fn run_command(address: std::net::SocketAddr, line: &str) -> String {
    let mut stream = TcpStream::connect(address).await.unwrap();
    stream.write_all(line.as_bytes()).await.unwrap();
    let mut response = String::new();
    timeout(TEST_TIMEOUT, stream.read_to_string(&mut response)).await.expect("an answer").unwrap();
    response
}

async fn send_update(rig: &Rig, text: &str) {
    rig.core
        .discovery_sender()
        .send(CoreMessage::EndpointUpdate(discovery::parse_update(text).unwrap()))
        .await
        .unwrap();
}

async fn status_of_read(rig: &Rig, call: u32) -> u16 {
    rig.ask(&request("consulta", call, 0, 900, "")).await.0
}

#[rstest]
#[case::unknown_command("REBOOT\n")]
#[case::no_id("SUSPEND\n")]
#[case::two_ids("SUSPEND s0 s1\n")]
#[case::unexpected_id("PAUSE s0\n")]
#[case::unknown_node("SUSPEND s9\n")]
#[case::restore_of_unknown_node("RESTORE s9\r\n")]
#[case::lower_case("status\n")]
#[case::empty_line("\n")]
#[case::not_text("\u{1}\u{2}\n")]
#[tokio::test]
async fn a_malformed_command_is_answered_with_an_error(#[case] line: &str) {
    let (_, unused_address) = unused_address();
    let (rig, address) = rig_with_admin(&[member("s0", unused_address, 0, "in_service", 0)], 4).await;
    rig.until(|counters| counters.endpoint_updates == 1).await;
    assert!(run_command(address, line).await.starts_with("ERR "), "{line:?}");
    assert_eq!(run_command(address, "STATUS\r\n").await, "OK\n");
}

/// Guards against carrying out a call that arrived without the end of its line once its caller goes: the node
/// is used, or the scheduler accepts clients, although an operator has stopped that meanwhile.
#[rstest]
#[case::restore("SUSPEND s0\n", "RESTORE s0", 503)]
#[case::suspend("RESTORE s0\n", "SUSPEND s0", 200)]
#[case::resume("PAUSE\n", "RESUME", 503)]
#[case::pause("RESUME\n", "PAUSE", 200)]
#[tokio::test]
async fn a_call_without_the_end_of_its_line_is_not_carried_out(
    #[case] complete: &str,
    #[case] incomplete: &str,
    #[case] expected_status: u16,
    #[values(false, true)] reads_the_answer: bool,
) {
    let log = Log::default();
    let node = http_node(0, &[NodeBehavior::Serve], &log).await;
    let (rig, address) = rig_with_admin(&[member("s0", node, 0, "in_service", 0)], 4).await;
    rig.until(|counters| counters.endpoint_updates == 1).await;
    let mut caller = TcpStream::connect(address).await.unwrap();
    caller.write_all(incomplete.as_bytes()).await.unwrap();
    assert_eq!(run_command(address, complete).await, "OK\n");
    if reads_the_answer {
        caller.shutdown().await.unwrap();
        let mut answer = String::new();
        timeout(TEST_TIMEOUT, caller.read_to_string(&mut answer)).await.expect("an answer").unwrap();
        assert_eq!(answer, "ERR line without an end\n");
    } else {
        drop(caller);
        // The interface has read the end of that connection once it has answered on a later one.
        assert_eq!(run_command(address, "STATUS\n").await, "OK\n");
    }
    let status = match incomplete {
        "PAUSE" | "RESUME" => rig.ask(HEALTH_CHECK).await.0,
        _ => status_of_read(&rig, 1).await,
    };
    assert_eq!(status, expected_status);
}

/// Guards against a call that is cut off at the maximum length and carried out.
#[tokio::test]
async fn a_call_that_is_too_long_is_not_carried_out() {
    let (_, unused_address) = unused_address();
    let (rig, address) = rig_with_admin(&[member("s0", unused_address, 0, "in_service", 0)], 4).await;
    rig.until(|counters| counters.endpoint_updates == 1).await;
    let padded = format!("PAUSE{}", " ".repeat(600));
    for line in [padded.clone(), format!("{padded}\n")] {
        assert_eq!(run_command(address, &line).await, "ERR line too long\n");
    }
    assert_eq!(rig.ask(HEALTH_CHECK).await.0, 200);
}

/// The metrics count final answers by class and kind, the attempts, and the nodes.
#[tokio::test]
async fn the_metrics_count_answers_and_attempts() {
    let log = Log::default();
    let node = http_node(0, &[NodeBehavior::Serve, NodeBehavior::Error], &log).await;
    let members = [member("s0", node, 0, "in_service", 0), member("s1", node, 1, "terminating", 0)];
    let (rig, address) = rig_with_admin(&members, 4).await;
    assert_eq!(status_of_read(&rig, 1).await, 200);
    assert_eq!(rig.ask(&request("pedido", 2, 0, 900, "w")).await.0, 502);
    assert_eq!(rig.ask(&request("pedido", 3, 1, 900, "w")).await.0, 503);
    let response = run_command(address, "METRICS\n").await;
    for metric in [
        "responses.consulta.ok=1",
        "responses.consulta.shed=0",
        "responses.consulta.errors=0",
        "responses.pedido.ok=0",
        "responses.pedido.shed=1",
        "responses.pedido.errors=1",
        "tries=4",
        "active=0",
        "pool_size=2",
        "pool_ejected=1",
    ] {
        assert!(response.lines().any(|line| line == format!("app.{metric}")), "{metric}: {response}");
    }
    assert_eq!(response.lines().last(), Some("END"));
    assert_eq!(log.all().len(), 4, "attempts that reached the node");
}

/// Guards against connections that send no command, or part of one, and keep other operators out.
#[tokio::test]
async fn silent_connections_do_not_keep_other_operators_out() {
    let (_rig, address) = rig_with_admin(&[], 4).await;
    let mut silent = Vec::new();
    for _ in 0..12 {
        let mut stream = TcpStream::connect(address).await.unwrap();
        stream.write_all(b"STAT").await.unwrap();
        silent.push(stream);
    }
    assert!(run_command(address, "STATUS\n").await.starts_with("ERR "), "no endpoint list yet");
}

/// A suspended node stays suspended, whatever discovery reports and however often it was suspended, until it
/// is restored once.
#[tokio::test]
async fn a_suspended_node_gets_nothing_until_it_is_restored() {
    let log = Log::default();
    let node = http_node(0, &[NodeBehavior::Serve], &log).await;
    let entry = |phase| member("s0", node, 0, phase, 0);
    let (rig, address) = rig_with_admin(&[entry("in_service")], 4).await;
    assert_eq!(status_of_read(&rig, 1).await, 200);
    for _ in 0..2 {
        assert_eq!(run_command(address, "SUSPEND s0\n").await, "OK\n");
    }
    let other = member("s1", node, 1, "in_service", 0);
    for (call, list) in [
        (2, format!(r#"{{"revision":8,"complete":true,"members":[{}]}}"#, entry("in_service"))),
        (3, format!(r#"{{"revision":9,"complete":true,"members":[{other}]}}"#)),
        (4, format!(r#"{{"revision":10,"complete":false,"members":[{}]}}"#, entry("in_service"))),
    ] {
        send_update(&rig, &list).await;
        assert_eq!(status_of_read(&rig, call).await, 503, "{list}");
    }
    assert_eq!(log.all().len(), 1);
    assert_eq!(run_command(address, "RESTORE s0\n").await, "OK\n");
    // The node is in slow start now, and gets this scheduler's share of what a node in slow start can serve.
    let deadline = Instant::now() + TEST_TIMEOUT;
    let mut next = 5;
    while status_of_read(&rig, next).await != 200 {
        assert!(Instant::now() < deadline, "the restored node gets no requests");
        next += 1;
    }
    // RESTORE does not undo a drain that discovery reports.
    send_update(&rig, &format!(r#"{{"revision":11,"complete":false,"members":[{}]}}"#, entry("terminating")))
        .await;
    assert_eq!(run_command(address, "RESTORE s0\n").await, "OK\n");
    assert_eq!(status_of_read(&rig, 10_000).await, 503);
}

/// Guards against sending, after `OK`, an attempt that was waiting for a connection before.
#[rstest]
#[case::suspended(true, AttemptEnd::NotSent, 0)]
#[case::in_service(false, AttemptEnd::Served, 1)]
#[tokio::test]
async fn an_attempt_waiting_for_a_suspended_node_is_not_sent(
    #[case] suspended: bool,
    #[case] end: AttemptEnd,
    #[case] expected_requests: usize,
) {
    let log = Log::default();
    let node = http_node(0, &[NodeBehavior::Serve], &log).await;
    let (deadline, gate) = (Instant::now() + TEST_TIMEOUT, SendGate::default());
    gate.set_closed(suspended);
    let attempt = attempt(gate, deadline);
    let written_attempts = attempt.written_attempts.clone();
    let Ok(done) = HttpLink::new(node)
        .call(LinkRequest { attempt, idle_connection: None, dial_deadline: deadline })
        .await;
    assert_eq!(
        (done.end, log.all().len(), written_attempts.total()),
        (end, expected_requests, expected_requests as u64)
    );
}

/// A pause makes the health check fail at once, rejects no request, and closes every connection within 4 s;
/// the test allows 3.5 s.
#[tokio::test]
async fn a_pause_fails_health_checks_and_closes_client_connections_until_it_ends() {
    let log = Log::default();
    let node = http_node(0, &[NodeBehavior::Serve], &log).await;
    let (rig, address) = rig_with_admin(&[member("s0", node, 0, "in_service", 0)], 4).await;
    let health = HEALTH_CHECK;
    let mut connections = Vec::new();
    for call in 1..4 {
        let mut stream = TcpStream::connect(rig.front).await.unwrap();
        stream.write_all(request("consulta", call, 0, 900, "").as_bytes()).await.unwrap();
        assert_eq!(answer(&mut stream).await.0, 200);
        connections.push(stream);
    }
    let paused = Instant::now();
    assert_eq!(run_command(address, "PAUSE\n").await, "OK\n");
    assert_eq!(rig.ask(health).await.0, 503);
    let mut new = TcpStream::connect(rig.front).await.unwrap();
    for (stream, call) in [(&mut new, 4), (&mut connections[0], 5)] {
        stream.write_all(request("consulta", call, 0, 900, "").as_bytes()).await.unwrap();
        let (status, head, _) = answer(stream).await;
        assert_eq!((status, header(&head, "connection")), (200, Some("close")));
    }
    for stream in connections.iter_mut().chain([&mut new]) {
        assert!(timeout(TEST_TIMEOUT, read_message(stream))
            .await
            .expect("the end of the connection")
            .is_none());
    }
    assert!(paused.elapsed() < Duration::from_millis(3500), "{:?}", paused.elapsed());
    assert_eq!(run_command(address, "STATUS\n").await, "OK\n");
    assert_eq!(run_command(address, "RESUME\n").await, "OK\n");
    assert_eq!(rig.ask(health).await.0, 200);
    let mut stream = TcpStream::connect(rig.front).await.unwrap();
    stream.write_all(request("consulta", 6, 0, 900, "").as_bytes()).await.unwrap();
    assert_eq!(header(&answer(&mut stream).await.1, "connection"), None);
}
