//! One test on real sockets for each rule, over the platform's HTTP.

use std::net::SocketAddr;
use std::time::{Duration, SystemTime, UNIX_EPOCH};

use heathward_core::{AnswerCounts, CoreMessage, Counters};
use heathward_discovery_pacing::FleetPosition;
use heathward_policy::{AttemptEnd, EndpointListMode};
use heathward_transport::backoff::ReconnectPolicy;
use heathward_transport::discovery;
use rstest::rstest;
use tokio::io::AsyncWriteExt;
use tokio::net::{TcpSocket, TcpStream};
use tokio::sync::watch;
use tokio::time::{sleep, timeout, Instant};

use heathward_fakes::*;

fn count(counters: &Counters, end: AttemptEnd) -> u64 {
    let at = Counters::ATTEMPT_END_NAMES.iter().position(|(known, _)| *known == end).unwrap();
    counters.attempt_ends[at]
}

#[tokio::test]
async fn a_request_is_forwarded_unchanged_and_its_answer_returned() {
    let log = Log::default();
    let node = http_node(0, &[Does::Serve], &log).await;
    let rig = rig(&[member("s0", node, 0, "in_service", 0)], None).await;
    for class in ["consulta", "pedido"] {
        let body = if class == "pedido" { "a write" } else { "" };
        assert_eq!(rig.ask(&request(class, 9, 0, 900, body)).await.2, b"hello", "{class}");
        let seen = log.all().pop().unwrap();
        let method = if class == "pedido" { "PUT" } else { "GET" };
        let line = format!("{method} /{class}/00000003b4d60021/7f3a9c21e0b4d655?v=1 HTTP/1.1\r\n");
        assert!(seen.head.starts_with(&line), "{}", seen.head);
        assert_eq!((seen.call.as_str(), seen.body.as_slice()), ("0000000000000009", body.as_bytes()));
        let small = seen.head.to_lowercase();
        assert_eq!(header(&small, "idempotency-key"), (class == "pedido").then_some("k9"));
        let budget: u32 = header(&small, "x-budget-ms").unwrap().parse().unwrap();
        assert!((1..=900).contains(&budget), "{budget}");
    }
    assert_eq!(count(&rig.counters().await, AttemptEnd::Served), 2);
}

/// The table of the protocol page: what comes back, how the attempt ended, how often it was tried in all, and
/// what the client is told. Guards against a repeat of what may have run elsewhere than at an error, and
/// against "refused" for a write that may have run.
#[rstest]
#[case::served("consulta", Does::Serve, AttemptEnd::Served, 1, 200)]
#[case::error_read("consulta", Does::Error, AttemptEnd::Error, 3, 503)]
#[case::error_write("pedido", Does::Error, AttemptEnd::Error, 3, 502)]
#[case::full("pedido", Does::Reject, AttemptEnd::Rejected, 1, 503)]
#[case::reset_read("consulta", Does::Reset, AttemptEnd::Reset, 3, 503)]
#[case::reset_write("pedido", Does::Reset, AttemptEnd::Reset, 3, 502)]
#[case::cut("consulta", Does::Cut, AttemptEnd::Reset, 3, 503)]
#[tokio::test]
async fn the_end_of_an_attempt_decides_on_retries_and_the_answer(
    #[case] class: &str,
    #[case] does: Does,
    #[case] end: AttemptEnd,
    #[case] tries: u64,
    #[case] status: u16,
) {
    let log = Log::default();
    let node = http_node(0, &[does], &log).await;
    let rig = rig(&[member("s0", node, 0, "in_service", 0)], None).await;
    let (told, head, _) = rig.ask(&request(class, 1, 0, 1400, "")).await;
    assert_eq!(told, status, "{head}");
    assert_eq!(header(&head, "retry-after").is_some(), status == 503, "{head}");
    let counters = rig.counters().await;
    assert!(count(&counters, end) == tries && counters.attempts_sent == tries, "{counters}");
    assert_eq!(
        counters.total_answers().served + counters.total_answers().shed + counters.total_answers().failed,
        1,
        "{counters}"
    );
    log.check_one_at_a_time();
}

/// Answers that make no sense, over a connection that stands. Guards against passing any of it on, against
/// using that connection again, against a node that is taken for cold over them, and, as it may have run,
/// against "refused" for a write.
#[rstest]
#[case::noise("\x07\x08\u{7f}nothing\r\n\r\n")]
#[case::other_protocol("ICY 200 OK\r\nContent-Length: 5\r\n\r\nhello")]
#[case::status("HTTP/1.1 2x0 OK\r\nContent-Length: 5\r\n\r\nhello")]
#[case::no_colon("HTTP/1.1 200 OK\r\nno colon here\r\nContent-Length: 5\r\n\r\nhello")]
#[case::negative("HTTP/1.1 200 OK\r\nContent-Length: -1\r\n\r\nhello")]
#[case::two_lengths("HTTP/1.1 200 OK\r\nContent-Length: 3\r\nContent-Length: 5\r\n\r\nhello")]
#[case::two_framings("HTTP/1.1 200 OK\r\nContent-Length: 5\r\nTransfer-Encoding: chunked\r\n\r\n0\r\n\r\n")]
#[case::no_length("HTTP/1.1 200 OK\r\n\r\nhello")]
#[case::chunk("HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n5\r\nhello\r\nzz\r\n0\r\n\r\n")]
#[case::huge("HTTP/1.1 200 OK\r\nContent-Length: 3000000000\r\n\r\nhello")]
#[case::stopped_short("HTTP/1.1 200 OK\r\nContent-Length: 50\r\n\r\nhello")]
#[case::spoilt_rejection("HTTP/1.1 503 Full\r\nX-Rejected: 1\r\nContent-Length: -1\r\n\r\n")]
#[case::other_kind("HTTP/1.1 101 Switching Protocols\r\nConnection: upgrade\r\nUpgrade: x\r\n\r\n")]
#[tokio::test]
async fn a_malformed_node_answer_is_not_forwarded(#[case] spoilt: &'static str) {
    let log = Log::default();
    let node = http_node(0, &[Does::Say(spoilt), Does::Serve, Does::Say(spoilt)], &log).await;
    let rig = rig(&[member("s0", node, 0, "in_service", 0)], None).await;
    let (status, _, body) = rig.ask(&request("consulta", 1, 0, 1000, "")).await;
    let counters = rig.counters().await;
    assert_eq!(
        (status, body.as_slice()),
        (200, b"hello".as_slice()),
        "repeated on another connection: {counters}"
    );
    assert_eq!(rig.ask(&request("pedido", 2, 0, 1400, "w")).await.0, 502);
    let counters = rig.counters().await;
    assert_eq!(
        (count(&counters, AttemptEnd::Error), count(&counters, AttemptEnd::Served)),
        (4, 1),
        "{counters}"
    );
    log.check_one_at_a_time();
}

/// What stands round a good answer: other answers before it, bytes that belong to none behind it. It is
/// served once, and what came too much is nobody's answer.
#[rstest]
#[case::informational("HTTP/1.1 103 Early Hints\r\nLink: </a>\r\n\r\nHTTP/1.1 102 Processing\r\n\r\n", "")]
#[case::second_copy("", "HTTP/1.1 200 OK\r\nContent-Length: 5\r\n\r\nhello")]
#[case::noise("", "\x07\x08nothing\r\n\r\n")]
#[tokio::test]
async fn a_valid_node_answer_is_served_despite_surrounding_bytes(#[case] before: &str, #[case] behind: &str) {
    let good = "HTTP/1.1 200 OK\r\nX-Volume-Use: TEXT \r\nContent-Length: 5\r\n\r\nfirst";
    let text: &'static str = Box::leak(format!("{before}{good}{behind}").into_boxed_str());
    let log = Log::default();
    let node = http_node(0, &[Does::Say(text), Does::Serve], &log).await;
    let rig = rig(&[member("s0", node, 0, "in_service", 0)], None).await;
    for (call, body) in [(1, "first"), (2, "hello")] {
        let told = rig.ask(&request("consulta", call, 0, 900, "")).await;
        assert_eq!((told.0, told.2), (200, body.as_bytes().to_vec()));
    }
    assert_eq!(rig.counters().await.attempts_sent, 2);
}

/// The node's machine takes no connection and refuses none. Guards against telling the client after half of
/// its time, and against "it may have run" for what has never left.
#[tokio::test]
async fn connecting_to_a_node_times_out_by_half_of_the_time_budget() {
    let socket = TcpSocket::new_v4().unwrap();
    socket.bind("127.0.0.1:0".parse().unwrap()).unwrap();
    let address = socket.local_addr().unwrap();
    let _full = socket.listen(1).unwrap();
    let fill = (0..8).map(|_| tokio::spawn(TcpStream::connect(address))).collect::<Vec<_>>();
    sleep(Duration::from_millis(100)).await;
    let rig = rig(&[member("s0", address, 0, "in_service", 0)], None).await;
    assert_eq!(rig.ask(&request("pedido", 1, 0, 690, "w")).await.0, 503);
    assert_eq!(count(&rig.counters().await, AttemptEnd::NotConnected), 1);
    fill.into_iter().for_each(|connect| connect.abort());
}

/// Guards against a request that is still open when the program is killed.
#[tokio::test]
async fn no_request_gets_more_time_than_is_left_before_the_shutdown() {
    let log = Log::default();
    let node = http_node(0, &[Does::Silent], &log).await;
    let rig = rig(&[member("s0", node, 0, "in_service", 0)], None).await;
    rig.core.set_shutdown_deadline(Instant::now() + Duration::from_millis(100)).await;
    assert!(matches!(rig.ask(&request("consulta", 1, 0, 900, "")).await.0, 503 | 504));
    let budget: u32 = header(&log.all()[0].head.to_lowercase(), "x-budget-ms").unwrap().parse().unwrap();
    assert!(budget <= 100, "{budget}");
}

#[tokio::test]
async fn a_retry_with_a_key_goes_to_its_shard_within_the_deduplication_window() {
    let log = Log::default();
    let first = http_node(0, &[Does::Error, Does::Serve], &log).await;
    let second = http_node(1, &[Does::Serve], &log).await;
    let members = [member("s0", first, 0, "in_service", 0), member("s1", second, 1, "in_service", 0)];
    let rig = rig(&members, None).await;
    assert_eq!(rig.ask(&request("pedido", 5, 0, 1400, "w")).await.0, 200);
    let seen = log.all();
    assert_eq!(seen.iter().map(|s| (s.node, s.call.as_str())).collect::<Vec<_>>(), [(0, &*seen[0].call); 2]);
    assert!(seen[1].at - seen[0].at < Duration::from_millis(2500));
    log.check_one_at_a_time();
}

/// The node's error comes after the window in which it would drop a repeat: there is none.
#[tokio::test]
async fn a_retry_with_a_key_is_not_sent_after_the_deduplication_window() {
    let log = Log::default();
    let node = http_node(0, &[Does::LateError], &log).await;
    let member = member("s0", node, 0, "in_service", 0);
    let text = config_text("127.0.0.1:1", "127.0.0.1:1", &member).replace("2500.0", "100.0");
    let rig = rig_of(&text, None).await;
    assert_eq!(rig.ask(&request("pedido", 5, 0, 1400, "w")).await.0, 502);
    assert_eq!((log.all().len(), rig.counters().await.attempts_sent), (1, 1));
}

/// Guards against taking a connection that broke under a request for one that had carried it, and the other
/// way round: whether the last byte was written decides.
#[tokio::test]
async fn a_connection_lost_before_the_last_byte_means_not_executed() {
    let log = Log::default();
    let node = http_node(0, &[Does::HangUp], &log).await;
    let (_kept, nobody) = nobody();
    let members = [member("s0", node, 0, "in_service", 0), member("s1", nobody, 1, "in_service", 0)];
    let rig = rig(&members, None).await;
    let (status, ..) = rig.ask(&request("pedido", 2, 1, 900, "w")).await;
    assert_eq!(status, 503);
    assert_eq!(count(&rig.counters().await, AttemptEnd::NotConnected), 1);
    // The node closes with the request unread, after all of it was written: it may have run.
    let (status, ..) = rig.ask(&request("pedido", 3, 0, 900, "w")).await;
    assert_eq!(status, 502);
    assert_eq!(count(&rig.counters().await, AttemptEnd::Reset), 3);
}

/// Guards against a node's closing of an idle connection being taken for a node that is down: it would be
/// held for cold, and starve.
#[tokio::test]
async fn a_connection_closed_while_idle_costs_no_attempt() {
    let log = Log::default();
    let node = http_node(0, &[Does::ServeThenClose], &log).await;
    let rig = rig(&[member("s0", node, 0, "in_service", 0)], None).await;
    for call in 0..20 {
        assert_eq!(rig.ask(&request("consulta", call, 0, 900, "")).await.0, 200);
        sleep(Duration::from_millis(call.into())).await;
    }
    let counters = rig.counters().await;
    assert_eq!(
        count(&counters, AttemptEnd::NotConnected) + count(&counters, AttemptEnd::Reset),
        0,
        "{counters}"
    );
}

#[tokio::test]
async fn an_unresponsive_node_times_out_and_the_answer_comes_by_the_deadline() {
    let log = Log::default();
    let node = http_node(0, &[Does::Silent], &log).await;
    let rig = rig(&[member("s0", node, 0, "in_service", 0)], None).await;
    let asked = Instant::now();
    let (status, ..) = rig.ask(&request("pedido", 2, 0, 300, "w")).await;
    // A write that may have run is never called refused.
    assert!(matches!(status, 502 | 504), "{status}");
    assert!(asked.elapsed() >= Duration::from_millis(250), "{:?}", asked.elapsed());
    rig.until(|c| count(c, AttemptEnd::TimedOut) == 1).await;
    let by = Instant::now() + PATIENCE;
    while log.open.lock().unwrap().values().any(|n| *n > 0) {
        assert!(Instant::now() < by, "given up, but its connection is open");
        tokio::task::yield_now().await;
    }
}

#[tokio::test]
async fn a_client_disconnect_is_reported_and_gets_no_answer() {
    let log = Log::default();
    let node = http_node(0, &[Does::Silent], &log).await;
    let rig = rig(&[member("s0", node, 0, "in_service", 0)], None).await;
    let mut stream = TcpStream::connect(rig.front).await.unwrap();
    stream.write_all(request("consulta", 2, 0, 900, "").as_bytes()).await.unwrap();
    rig.until(|c| c.attempts_sent == 1).await;
    drop(stream);
    let counters = rig.until(|c| c.client_disconnects == 1).await;
    assert_eq!(counters.total_answers(), AnswerCounts::default(), "{counters}");
}

#[tokio::test]
async fn a_draining_node_gets_no_new_requests() {
    let log = Log::default();
    let node = http_node(0, &[Does::Serve], &log).await;
    let rig = rig(&[member("s0", node, 0, "in_service", 0)], None).await;
    assert_eq!(rig.ask(&request("consulta", 1, 0, 900, "")).await.0, 200);
    let entry = member("s0", node, 0, "terminating", 0);
    let change = format!(r#"{{"revision":8,"complete":false,"members":[{entry}]}}"#);
    rig.core
        .discovery_sender()
        .send(CoreMessage::EndpointUpdate(discovery::parse_update(&change).unwrap()))
        .await
        .unwrap();
    for call in 2..10 {
        assert_eq!(rig.ask(&request("consulta", call, 0, 900, "")).await.0, 503);
    }
    assert_eq!(log.all().len(), 1);
}

/// Guards against connections that stand idle at some nodes and keep all others from being reached: with more
/// nodes than descriptors for them each gets its turn, and the limit holds.
#[tokio::test]
async fn more_nodes_than_descriptors_are_all_reached() {
    let log = Log::default();
    let mut members = Vec::new();
    for number in 0..NODE_SOCKETS as u32 + 40 {
        let node = http_node(number, &[Does::Serve], &log).await;
        members.push(member(&format!("s{number}"), node, number, "in_service", 0));
    }
    let rig = rig(&members, None).await;
    for round in 0..2 {
        for shard in 0..members.len() as u32 {
            let call = round * 1000 + shard;
            assert_eq!(rig.ask(&request("consulta", call, shard as i32, 900, "")).await.0, 200, "{call}");
        }
    }
    assert_eq!(log.all().len(), 2 * members.len());
}

/// A node that starts at 24% of its capacity: 24 units within any 0.5 s are always borne, and it warms within
/// 6 s. Guards against a burst right after the start, also by a scheduler that has just started itself.
#[tokio::test]
async fn a_node_in_slow_start_is_not_overloaded() {
    let log = Log::default();
    let node = http_node(0, &[Does::Serve], &log).await;
    let born = SystemTime::now().duration_since(UNIX_EPOCH).unwrap().as_millis();
    let rig = rig(&[member("s0", node, 0, "in_service", born)], None).await;
    let begun = Instant::now();
    let mut asks = tokio::task::JoinSet::new();
    for call in 0..120 {
        let text = request("consulta", call, 0, 900, "");
        let front = rig.front;
        asks.spawn(async move {
            sleep(Duration::from_millis(u64::from(call) * 10)).await;
            let mut stream = TcpStream::connect(front).await.unwrap();
            stream.write_all(text.as_bytes()).await.unwrap();
            answer(&mut stream).await.0
        });
    }
    let told = asks.join_all().await;
    assert!(told.iter().all(|status| matches!(status, 200 | 503 | 504)), "{told:?}");
    let sent: Vec<_> = log.all().iter().map(|seen| seen.at).collect();
    assert!(!sent.is_empty());
    // What it bears at the end of the run, were it as cold as can be: an upper bound for every window. A
    // window of half the length leaves room for a machine that delays what was sent in order.
    let age = begun.elapsed().as_secs_f64().min(6.0) / 6.0;
    let bears = 24.0 * (0.24 + 0.76 * age) / 0.24;
    for from in &sent {
        let window = sent.iter().filter(|at| *at >= from && **at < *from + Duration::from_millis(250));
        assert!(window.count() as f64 * 2.0 <= bears, "more than {bears} units within the window");
    }
}

#[rstest]
#[case::class(("X-Call-Class: consulta", "X-Call-Class: nada"))]
#[case::class_in_path(("/consulta/", "/pedido/"))]
#[case::plan(("X-Plan: prioritario", "X-Plan: oro"))]
#[case::path(("/7f3a9c21e0b4d655", ""))]
#[case::digits(("7f3a9c21e0b4d655", "7f3a9c21e0b4d65z"))]
#[case::budget(("X-Budget-Ms: 900", "X-Budget-Ms: soon"))]
#[case::no_id(("X-Call-Id: 0000000000000001\r\n", ""))]
#[case::io(("units=2", "units=-2"))]
#[case::no_units(("units=2", "units=0"))]
#[case::shard(("shard=0", "shard=99999999999"))]
#[case::method(("GET", "DELETE"))]
#[case::no_budget(("X-Budget-Ms: 900", "X-Budget-Ms: 0"))]
#[case::signed_budget(("X-Budget-Ms: 900", "X-Budget-Ms: +900"))]
#[case::huge_budget(("X-Budget-Ms: 900", "X-Budget-Ms: 99999999999999999999"))]
#[case::two_ids(("X-Call-Id: 0", "X-Call-Id: 0000000000000002\r\nX-Call-Id: 0"))]
#[case::other_id(("0000000000000001", "../../../etc"))]
#[case::too_many_units(("units=2", "units=9"))]
#[case::no_hosts(("hosts=1", "hosts=0"))]
#[case::too_many_hosts(("hosts=1", "hosts=4000000000"))]
#[case::class_that_writes(("GET /consulta", "PUT /consulta"))]
#[case::body_of_a_read(("Content-Length: 0\r\n", "Content-Length: 2\r\n"))]
#[case::negative_length(("Content-Length: 0\r\n", "Content-Length: -5\r\n"))]
#[case::two_lengths(("Content-Length: 0\r\n", "Content-Length: 0\r\nContent-Length: 2\r\n"))]
#[case::line(("GET /consulta", "GET  /consulta"))]
#[tokio::test]
async fn a_malformed_request_is_rejected_at_once_and_counted(#[case] (from, to): (&str, &str)) {
    let log = Log::default();
    let node = http_node(0, &[Does::Serve], &log).await;
    let rig = rig(&[member("s0", node, 0, "in_service", 0)], None).await;
    let text = request("consulta", 1, 0, 900, "");
    assert!(text.contains(from));
    let (status, head, _) = rig.ask(&(text.replacen(from, to, 1) + "xy")).await;
    assert_eq!((status, header(&head, "connection")), (400, Some("close")), "{head}");
    assert_eq!(rig.ask(&text).await.0, 200, "and goes on serving");
    assert_eq!((rig.counters().await.requests_received, log.all().len()), (1, 1), "never passed on");
}

/// A body with two lengths may hide a request, whichever of them stands first. Guards against passing on
/// either, and against reading what is hidden as a request of its own.
#[rstest]
#[case::chunked_last("Content-Length: 5\r\nTransfer-Encoding: chunked")]
#[case::chunked_first("Transfer-Encoding: chunked\r\nContent-Length: 5")]
#[tokio::test]
async fn a_body_with_two_lengths_is_rejected(#[case] lengths: &str) {
    let log = Log::default();
    let node = http_node(0, &[Does::Serve], &log).await;
    let rig = rig(&[member("s0", node, 0, "in_service", 0)], None).await;
    let text = request("pedido", 1, 0, 900, "0\r\n\r\n").replace("Content-Length: 5", lengths);
    let hidden = request("consulta", 2, 0, 900, "");
    let mut stream = TcpStream::connect(rig.front).await.unwrap();
    stream.write_all((text + &hidden).as_bytes()).await.unwrap();
    let (status, head, _) = answer(&mut stream).await;
    assert_eq!((status, header(&head, "connection")), (400, Some("close")));
    assert!(timeout(PATIENCE, read_message(&mut stream)).await.expect("an end").is_none());
    assert_eq!((rig.counters().await.requests_received, log.all().len()), (0, 0));
}

/// Guards against two attempts at once for what a node takes for one request.
#[tokio::test]
async fn the_id_of_an_open_request_is_rejected() {
    let log = Log::default();
    let node = http_node(0, &[Does::Silent, Does::Serve], &log).await;
    let rig = rig(&[member("s0", node, 0, "in_service", 0)], None).await;
    let mut first = TcpStream::connect(rig.front).await.unwrap();
    first.write_all(request("consulta", 1, 0, 900, "").as_bytes()).await.unwrap();
    rig.until(|c| c.attempts_sent == 1).await;
    assert_eq!(rig.ask(&request("consulta", 1, 0, 900, "")).await.0, 400);
    assert!(matches!(answer(&mut first).await.0, 503 | 504), "the first goes on to its own end");
    assert_ne!(rig.ask(&request("consulta", 1, 0, 900, "")).await.0, 400, "and frees its id");
    log.check_one_at_a_time();
}

/// What never comes to its end: within 3 s of connecting its client is told so, or cut off.
#[rstest]
#[case::nothing("", None)]
#[case::half_a_head("GET /consulta/0000", Some(408))]
#[case::half_a_body(
    "PUT /pedido/00000003b4d60021/7f3a9c21e0b4d655 HTTP/1.1\r\nContent-Length: 9\r\n\r\nabc",
    Some(408)
)]
#[tokio::test]
async fn an_incomplete_request_times_out(#[case] text: &str, #[case] status: Option<u16>) {
    let rig = rig(&[], None).await;
    let mut stream = TcpStream::connect(rig.front).await.unwrap();
    stream.write_all(text.as_bytes()).await.unwrap();
    let told = timeout(PATIENCE, read_message(&mut stream)).await.expect("an answer or an end");
    assert_eq!(told.map(|(head, ..)| head[9..12].parse().unwrap()), status);
}

/// The client sends all the same, as fast as it can, and reads then. Guards against a reset that overtakes
/// the answer, and against reading what was refused.
#[rstest]
#[case::body("Content-Length: 60000000\r\n", 413)]
#[case::head("X-Pad: ", 431)]
#[tokio::test]
async fn a_client_that_sends_too_much_can_read_the_answer(#[case] head: &str, #[case] status: u16) {
    let rig = rig(&[], None).await;
    let mut stream = TcpStream::connect(rig.front).await.unwrap();
    let start = request("pedido", 1, 0, 900, "").replace("Content-Length: 0\r\n", head);
    let start = if status == 431 { start.trim_end().to_owned() } else { start };
    stream.write_all(start.as_bytes()).await.unwrap();
    let junk = vec![b'x'; 1 << 20];
    for _ in 0..8 {
        stream.write_all(&junk).await.unwrap();
    }
    assert_eq!(answer(&mut stream).await.0, status);
}

#[tokio::test]
async fn a_body_over_the_limit_is_rejected() {
    let rig = rig(&[], None).await;
    let text = request("pedido", 1, 0, 900, &"x".repeat((32 << 20) + 1));
    assert_eq!(rig.ask(&text).await.0, 413);
}

/// Guards against clients that ask once, or never, and keep their connection: with a front full of them,
/// those who come to ask must still be served.
#[rstest]
#[case::silent("", false)]
#[case::half_a_head("GET /consulta/0000", false)]
#[case::half_a_body("PUT /pedido/1/2 HTTP/1.1\r\nContent-Length: 9\r\n\r\nabc", false)]
#[case::asked_once("", true)]
#[tokio::test]
async fn useless_connections_do_not_keep_other_clients_out(#[case] text: &str, #[case] ask: bool) {
    let log = Log::default();
    let node = http_node(0, &[Does::Serve], &log).await;
    let rig = rig(&[member("s0", node, 0, "in_service", 0)], None).await;
    let mut kept = Vec::new();
    for call in 0..CONNECTIONS as u32 {
        let mut stream = TcpStream::connect(rig.front).await.unwrap();
        stream.write_all(text.as_bytes()).await.unwrap();
        if ask {
            stream.write_all(request("consulta", call, 0, 900, "").as_bytes()).await.unwrap();
            assert_eq!(answer(&mut stream).await.0, 200);
        }
        kept.push(stream);
    }
    let by = Instant::now() + PATIENCE;
    let mut call = 100;
    loop {
        // Some newcomers may be turned away while those who are there have just come themselves.
        let mut stream = TcpStream::connect(rig.front).await.unwrap();
        let asked = stream.write_all(request("consulta", call, 0, 900, "").as_bytes()).await;
        let told = timeout(PATIENCE, read_message(&mut stream)).await;
        if asked.is_ok()
            && told.expect("an answer or an end").is_some_and(|(head, ..)| head.contains(" 200 "))
        {
            break;
        }
        assert!(Instant::now() < by, "nobody makes way");
        call += 1;
        sleep(Duration::from_millis(20)).await;
    }
}

/// A crowd of clients that ask once and stay: more of them at once than there are places. Guards against
/// turning away those who come to ask for the sake of those who have been answered.
#[tokio::test]
async fn in_a_full_table_answered_connections_are_evicted() {
    let log = Log::default();
    let node = http_node(0, &[Does::Serve], &log).await;
    let rig = rig(&[member("s0", node, 0, "in_service", 0)], None).await;
    let mut kept = Vec::new();
    for call in 0..2 * CONNECTIONS as u32 {
        let mut stream = TcpStream::connect(rig.front).await.unwrap();
        stream.write_all(request("consulta", call, 0, 900, "").as_bytes()).await.unwrap();
        assert_eq!(answer(&mut stream).await.0, 200, "client {call}");
        kept.push(stream);
        // Slow enough for a place to be spared each time, and all within the time of an idle connection.
        sleep(Duration::from_millis(5)).await;
    }
    // They hold a third of the descriptors at most, two thirds of the places: held longer, none would come.
    let mut open = 0;
    for stream in &mut kept {
        open += usize::from(timeout(Duration::from_millis(1), stream.readable()).await.is_err());
    }
    assert!(open <= CONNECTIONS * 2 / 3, "{open} kept");
}

#[tokio::test]
async fn it_is_ready_once_it_has_an_endpoint_list() {
    let rig = rig(&[], None).await;
    let ask = "GET /healthz HTTP/1.1\r\nHost: x\r\n\r\n";
    rig.until(|c| c.endpoint_updates == 1).await;
    assert_eq!(rig.ask(ask).await.0, 503);
    let (_, address) = listen().await;
    let entry = member("s0", address, 0, "in_service", 0);
    let list = format!(r#"{{"revision":8,"complete":true,"members":[{entry}]}}"#);
    rig.core
        .discovery_sender()
        .send(CoreMessage::EndpointUpdate(discovery::parse_update(&list).unwrap()))
        .await
        .unwrap();
    assert_eq!(rig.ask(ask).await.0, 200);
}

/// The rig follows discovery there, as one of 300 hosts, for as long as what is given back stands.
fn follow(rig: &Rig, address: SocketAddr, lists: EndpointListMode) -> watch::Sender<SocketAddr> {
    let (keep, addresses) = watch::channel(address);
    let pace = ReconnectPolicy::new(lists, FleetPosition { scheduler_index: 1, schedulers: 300 }, 1);
    tokio::spawn(discovery::watch_endpoints(addresses, 7, lists, rig.core.discovery_sender(), pace));
    keep
}

/// A watch brings a broken line, a change, and then nothing: the line is dropped, the silent watch is opened
/// anew from the version that was heard last.
#[tokio::test]
async fn a_watch_that_times_out_is_reopened_and_a_malformed_line_dropped() {
    let rig = rig(&[], None).await;
    let (listener, address) = listen().await;
    let _keep = follow(&rig, address, EndpointListMode::Streamed);
    let entry = member("s0", address, 0, "in_service", 0).replace('\n', "");
    let line = format!("{{\"revision\":9,\"complete\":false,\"members\":[{entry}]}}\n");
    let (mut watch, head) = watched(&listener).await;
    assert!(head.starts_with("get /v1/servers?watch=1&after=7 "), "{head}");
    tell(&mut watch, &format!("{{\"revision\":8,\"members\":3}}\n{line}")).await;
    assert_eq!(rig.until(|c| c.endpoint_updates == 2).await.endpoint_updates, 2);
    let (_again, head) = watched(&listener).await;
    assert!(head.starts_with("get /v1/servers?watch=1&after=9 "), "{head}");
}

/// Two watches stand while discovery moves: the slower one tells what the other knows better.
#[tokio::test]
async fn a_drain_is_not_undone_by_an_older_revision() {
    let log = Log::default();
    let node = http_node(0, &[Does::Serve], &log).await;
    let rig = rig(&[member("s0", node, 0, "in_service", 0)], None).await;
    for (revision, complete, phase, status) in [
        (20, false, "terminating", 503),
        (19, false, "in_service", 503),
        (19, true, "in_service", 503),
        (21, false, "in_service", 200),
        // A whole list tells by absence that it is gone.
        (22, true, "", 503),
        (21, true, "in_service", 503),
        (21, false, "in_service", 503),
        (23, false, "in_service", 200),
    ] {
        let entry = if phase.is_empty() { String::new() } else { member("s0", node, 0, phase, 0) };
        let list = format!(r#"{{"revision":{revision},"complete":{complete},"members":[{entry}]}}"#);
        rig.core
            .discovery_sender()
            .send(CoreMessage::EndpointUpdate(discovery::parse_update(&list).unwrap()))
            .await
            .unwrap();
        assert_eq!(rig.ask(&request("consulta", revision, 0, 900, "")).await.0, status, "{list}");
    }
}

/// Guards against going by an old list: the one of the start before the agent's first line, and any list once
/// its watches have been silent for so long that a drain counts as told. What comes then is answered at once.
/// An agent that takes a call and has nothing to tell stands by the list: guards against a whole fleet that
/// stops while discovery is down. A call that waits for its turn at a service of all says nothing.
#[rstest]
#[case::the_agent_is_silent(EndpointListMode::Streamed, true, false)]
#[case::nobody_takes_a_call(EndpointListMode::Streamed, false, true)]
#[case::calls_wait_in_turn(EndpointListMode::Polled { max_interval: 10_000_000 }, true, true)]
#[tokio::test]
async fn nothing_is_sent_on_an_expired_endpoint_lease(
    #[case] lists: EndpointListMode,
    #[case] taken: bool,
    #[case] stops: bool,
) {
    let log = Log::default();
    let node = http_node(0, &[Does::Serve], &log).await;
    let entry = member("s0", node, 0, "in_service", 0);
    let ruled = config_text("127.0.0.1:1", "127.0.0.1:1", &entry).replacen(
        r#""safety":{"#,
        r#""safety":{"stopSendingWithinMs":250,"#,
        1,
    );
    let rig = rig_of(&ruled, None).await;
    let mut call = 0;
    let mut asked = async |status: u16| {
        call += 1;
        let (said, ..) = rig.ask(&request("consulta", call, 0, 900, "")).await;
        let (healthy, _, why) = rig.ask("GET /healthz HTTP/1.1\r\nHost: x\r\n\r\n").await;
        assert_eq!((said, healthy), (status, if status == 200 { 200 } else { 503 }));
        assert_eq!(why.starts_with(b"nothing heard from discovery for "), status == 503, "it says why");
    };
    asked(503).await;
    let (listener, address) = listen().await;
    let _keep = follow(&rig, address, lists);
    let (mut watch, _) = watched(&listener).await;
    tell(&mut watch, "\n").await;
    let heard = Instant::now();
    // What is not accepted is taken by the system, and stays silent.
    let listener = Some(listener).filter(|_| taken);
    rig.until_ready(true).await;
    asked(200).await;
    tell(&mut watch, "{\"revision\":8}\n").await;
    if stops {
        rig.until_ready(false).await;
        assert!(heard.elapsed() >= Duration::from_secs(6), "a line that makes no sense is none");
        asked(503).await;
        assert_eq!(log.all().len(), 1, "nothing was sent");
    } else {
        sleep(Duration::from_secs(10)).await;
    }
    tell(&mut watch, "\n").await;
    rig.until_ready(true).await;
    asked(200).await;
    drop(listener);
}

/// Watches that are broken from their beginning: the agent has news, and answers any other call. Guards
/// against taking it for one that has nothing to tell. Its list comes indented, on many lines.
#[tokio::test]
async fn a_watch_without_any_event_is_replaced_by_a_snapshot() {
    let log = Log::default();
    let node = http_node(0, &[Does::Serve], &log).await;
    let rig = rig(&[member("s0", node, 0, "in_service", 0)], None).await;
    assert_eq!(rig.ask(&request("consulta", 1, 0, 900, "")).await.0, 200);
    let (listener, address) = listen().await;
    let _keep = follow(&rig, address, EndpointListMode::Streamed);
    let entry = member("s0", node, 0, "terminating", 0).replace(',', ",\n    ");
    let list =
        format!("{{\n  \"revision\": 9,\n  \"complete\": true,\n  \"members\": [\n    {entry}\n  ]\n}}\n");
    let mut silent = Vec::new();
    let mut calls = Vec::new();
    while rig.counters().await.endpoint_updates < 2 {
        let (mut stream, _) = timeout(PATIENCE, listener.accept()).await.expect("a call").unwrap();
        let (head, ..) = read_message(&mut stream).await.unwrap();
        calls.push(head.lines().next().unwrap().to_owned());
        if head.starts_with("get /v1/servers http") {
            let length = list.len();
            let answer = format!("HTTP/1.1 200 OK\r\ncontent-length: {length}\r\n\r\n{list}");
            stream.write_all(answer.as_bytes()).await.unwrap();
            rig.until(|c| c.endpoint_updates == 2).await;
        }
        silent.push(stream);
    }
    assert_eq!(calls, ["get /v1/servers?watch=1&after=7 http/1.1", "get /v1/servers http/1.1"]);
    assert_eq!(rig.ask(&request("consulta", 2, 0, 900, "")).await.0, 503);
}

/// Discovery is down for a while: the watch falls silent. Guards against a host of a large fleet that then
/// listens to nobody for half a minute, while its agent has news, which count as told.
#[tokio::test]
async fn a_watch_that_timed_out_is_read_until_another_one_delivers() {
    let log = Log::default();
    let node = http_node(0, &[Does::Serve], &log).await;
    let rig = rig(&[member("s0", node, 0, "in_service", 0)], None).await;
    let (listener, address) = listen().await;
    let _keep = follow(&rig, address, EndpointListMode::Polled { max_interval: 10_000_000 });
    let (mut watch, _) = watched(&listener).await;
    tell(&mut watch, "\n").await;
    // Longer than a sound watch is silent, and far less than such a fleet's pause before the next call.
    sleep(Duration::from_millis(3500)).await;
    let drain = member("s0", node, 0, "terminating", 0).replace('\n', "");
    tell(&mut watch, &format!("{{\"revision\":9,\"complete\":false,\"members\":[{drain}]}}\n")).await;
    rig.until(|c| c.endpoint_updates == 2).await;
    assert_eq!(rig.ask(&request("consulta", 1, 0, 900, "")).await.0, 503);
}

/// Guards against a fleet that comes back to discovery as one, and against calls without a pause: with two
/// seeds, watches that are refused are opened anew at other times, ever more seldom.
#[tokio::test]
async fn rejected_watches_are_reopened_with_jittered_backoff() {
    let rig = rig(&[], None).await;
    let mut gaps = Vec::new();
    for seed in [1, 2] {
        let (listener, address) = listen().await;
        let (_keep, addresses) = watch::channel(address);
        let pace = ReconnectPolicy::new(
            EndpointListMode::Streamed,
            FleetPosition { scheduler_index: 0, schedulers: 1 },
            seed,
        );
        let following = tokio::spawn(discovery::watch_endpoints(
            addresses,
            7,
            EndpointListMode::Streamed,
            rig.core.discovery_sender(),
            pace,
        ));
        let mut seen = Vec::new();
        while seen.len() < 5 {
            // Closed as soon as it is there.
            drop(timeout(PATIENCE, listener.accept()).await.expect("a watch").unwrap());
            seen.push(Instant::now());
        }
        following.abort();
        gaps.push(seen.windows(2).map(|pair| pair[1] - pair[0]).collect::<Vec<_>>());
    }
    // A tenth of 60, 120, 240 and 480 ms at the least, and hardly more than the whole of them: not to the
    // millisecond alike.
    for (gap, least) in gaps.iter().flat_map(|gaps| gaps.iter().zip([6, 12, 24, 48])) {
        assert!(*gap >= Duration::from_millis(least), "{gaps:?}");
    }
    let apart = gaps[0].iter().zip(&gaps[1]).map(|(a, b)| a.abs_diff(*b)).max();
    assert!(apart > Some(Duration::from_millis(3)), "{gaps:?}");
}

/// What goes wrong on a watch: nothing of it counts, the list before stands, and the watch is opened anew.
#[rstest]
#[case::refused("HTTP/1.1 503 Service Unavailable\r\ncontent-length: 0\r\n\r\n", 0)]
#[case::cut_in_a_list("HTTP/1.1 200 OK\r\ntransfer-encoding: chunked\r\n\r\n40\r\n{\"revision\":9,\"comp", 0)]
#[case::no_line("HTTP/1.1 200 OK\r\ntransfer-encoding: chunked\r\n\r\n", 5 << 20)]
#[tokio::test]
async fn a_rejected_truncated_or_oversized_list_keeps_the_last_valid_one(
    #[case] begins: &str,
    #[case] noise: usize,
) {
    let log = Log::default();
    let node = http_node(0, &[Does::Serve], &log).await;
    let rig = rig(&[member("s0", node, 0, "in_service", 0)], None).await;
    let (listener, address) = listen().await;
    let _keep = follow(&rig, address, EndpointListMode::Streamed);
    let (mut watch, _) = timeout(PATIENCE, listener.accept()).await.expect("a watch").unwrap();
    watch.write_all(begins.as_bytes()).await.unwrap();
    for _ in 0..noise >> 16 {
        // It may be dropped before the last of it.
        let _ = watch.write_all(format!("10000\r\n{}\r\n", "x".repeat(1 << 16)).as_bytes()).await;
    }
    if noise == 0 {
        drop(watch);
    }
    let (mut again, head) = watched(&listener).await;
    assert!(head.starts_with("get /v1/servers?watch=1&after=7 "), "{head}");
    assert_eq!(rig.ask(&request("consulta", 1, 0, 900, "")).await.0, 200);
    let gone = member("s0", node, 0, "terminated", 0).replace('\n', "");
    tell(&mut again, &format!("{{\"revision\":9,\"complete\":false,\"members\":[{gone}]}}\n")).await;
    rig.until(|c| c.endpoint_updates == 2).await;
    assert_eq!(rig.ask(&request("consulta", 2, 0, 900, "")).await.0, 503);
}

/// Six in ten nodes are replaced while the first list is old and discovery answers late: what is asked of a
/// gone node is answered, never sent on; once the list is there each shard is served by its new node.
#[tokio::test]
async fn a_late_update_that_replaces_most_nodes_moves_every_shard() {
    let (old, new) = (Log::default(), Log::default());
    let (mut listed, mut kept) = (Vec::new(), Vec::new());
    for shard in 0..10 {
        // Six of the old ones are gone: nobody listens there.
        let (socket, gone) = nobody();
        kept.push(socket);
        let address = if shard < 6 { gone } else { http_node(shard, &[Does::Serve], &old).await };
        listed.push(member(&format!("old{shard}"), address, shard, "in_service", 0));
    }
    let rig = rig(&listed, None).await;
    let (listener, address) = listen().await;
    let _keep = follow(&rig, address, EndpointListMode::Streamed);
    for shard in 0..10 {
        let status = rig.ask(&request("consulta", 1 + shard, shard as i32, 900, "")).await.0;
        assert_eq!(status, if shard < 6 { 503 } else { 200 }, "shard {shard} by the old list");
    }
    let (mut watch, _) = watched(&listener).await;
    let mut changes = Vec::new();
    for shard in 0..6 {
        let address = http_node(shard, &[Does::Serve], &new).await;
        changes.push(member(&format!("old{shard}"), address, shard, "terminated", 0));
        changes.push(member(&format!("new{shard}"), address, shard, "in_service", 0));
    }
    let changes = changes.join(",").replace('\n', "");
    tell(&mut watch, &format!("{{\"revision\":9,\"complete\":false,\"members\":[{changes}]}}\n")).await;
    rig.until(|c| c.endpoint_updates == 2).await;
    for shard in 0..10 {
        let status = rig.ask(&request("consulta", 101 + shard, shard as i32, 900, "")).await.0;
        assert_eq!(status, 200, "shard {shard} by the new list");
    }
    assert_eq!((old.all().len(), new.all().len()), (8, 6));
}
