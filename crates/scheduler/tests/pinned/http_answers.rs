//! The answers of the HTTP front, read from a loopback connection.

use std::fmt::Write;
use std::time::Duration;

use heathward_core::{CoreMessage, OperatorCommand};
use heathward_transport::discovery;
use rstest::rstest;
use tokio::io::{AsyncReadExt, AsyncWriteExt};
use tokio::net::TcpStream;
use tokio::time::{timeout, Instant};

use heathward_fakes::*;

use crate::{assert_matches_fixture, masked};

const HEALTH: &str = "GET /healthz HTTP/1.1\r\nHost: x\r\n\r\n";
/// Larger than the part of a body that the program buffers, in bytes.
const LONG_BODY: usize = 100_000;
/// Larger than any head that the program reads, in bytes.
const LONG_HEAD: usize = 1 << 20;
/// Bodies larger than this, in bytes, are printed as their size.
const MAX_PRINTED_BODY: usize = 1000;

/// Returns the next answer as it was received, with the date masked and large bodies replaced by their size.
async fn next_answer(stream: &mut TcpStream) -> String {
    let read = async {
        let mut bytes = Vec::new();
        let head_size = loop {
            if let Some(head_end) = bytes.windows(4).position(|window| window == b"\r\n\r\n") {
                break head_end + 4;
            }
            assert!(stream.read_buf(&mut bytes).await.unwrap() > 0, "the connection ended: {bytes:?}");
        };
        let head = String::from_utf8(bytes[..head_size].to_vec()).unwrap();
        let lower_case = head.to_lowercase();
        let chunked = header(&lower_case, "transfer-encoding") == Some("chunked");
        let length = header(&lower_case, "content-length").map_or(0, |length| length.parse().unwrap());
        let complete =
            |body: &[u8]| if chunked { body.ends_with(b"0\r\n\r\n") } else { body.len() >= length };
        while !complete(&bytes[head_size..]) {
            assert!(stream.read_buf(&mut bytes).await.unwrap() > 0, "the connection ended in a body");
        }
        let body = String::from_utf8(bytes.split_off(head_size)).unwrap();
        let body = match body.len() {
            _ if chunked => "<chunks>".to_owned(),
            long if long > MAX_PRINTED_BODY => format!("<{long} bytes>"),
            _ => body,
        };
        masked(&head, "date") + &body
    };
    timeout(TEST_TIMEOUT, read).await.expect("an answer")
}

async fn answer_to(rig: &Rig, request: &str) -> String {
    let mut stream = TcpStream::connect(rig.front).await.unwrap();
    stream.write_all(request.as_bytes()).await.unwrap();
    next_answer(&mut stream).await
}

/// Starts a scheduler with one node, which follows the script.
async fn rig_with_node(does: &[NodeBehavior]) -> Rig {
    let node = http_node(0, does, &Log::default()).await;
    rig(&[member("s0", node, 0, "in_service", 0)], None).await
}

fn node_answer(text: String) -> NodeBehavior {
    NodeBehavior::Reply(Box::leak(text.into_boxed_str()))
}

#[rstest]
#[case::buffered("served", NodeBehavior::Serve)]
#[case::empty("served_empty", NodeBehavior::Reply("HTTP/1.1 200 OK\r\ncontent-length: 0\r\n\r\n"))]
#[case::long(
    "served_long_with_length",
    node_answer(format!("HTTP/1.1 200 OK\r\ncontent-length: {LONG_BODY}\r\n\r\n{}", "x".repeat(LONG_BODY)))
)]
#[case::long_in_chunks(
    "served_long_without_length",
    node_answer(format!(
        "HTTP/1.1 200 OK\r\ntransfer-encoding: chunked\r\n\r\n{LONG_BODY:x}\r\n{}\r\n0\r\n\r\n",
        "x".repeat(LONG_BODY)
    ))
)]
#[tokio::test]
async fn served_answers_are_as_pinned(#[case] name: &str, #[case] does: NodeBehavior) {
    let rig = rig_with_node(&[does]).await;
    let answer = answer_to(&rig, &request("consulta", 1, 0, 900, "")).await;
    assert_matches_fixture(&format!("answer_{name}.txt"), &answer);
}

#[rstest]
#[case::with_hint("shed_with_hint", true)]
#[case::without_hint("shed_without_hint", false)]
#[tokio::test]
async fn shed_answers_are_as_pinned(#[case] name: &str, #[case] hints: bool) {
    let node = http_node(0, &[NodeBehavior::Reject], &Log::default()).await;
    let text = config_text("127.0.0.1:1", "127.0.0.1:1", &member("s0", node, 0, "in_service", 0));
    let hints = format!("\"retryAfter\":{hints}");
    let rig = rig_of(&text.replace("\"retryAfter\":true", &hints), None).await;
    let answer = answer_to(&rig, &request("pedido", 1, 0, 900, "")).await;
    if let Some(value) = header(&answer.to_lowercase(), "retry-after") {
        let (seconds, thousandths) = value.split_once('.').unwrap();
        assert!(seconds.parse::<u32>().is_ok() && thousandths.len() == 3, "{value}");
    }
    assert_matches_fixture(&format!("answer_{name}.txt"), &masked(&answer, "retry-after"));
}

#[tokio::test]
async fn a_duplicates_answer_is_as_pinned() {
    let rig = rig_with_node(&[NodeBehavior::Silent]).await;
    let mut first = TcpStream::connect(rig.front).await.unwrap();
    first.write_all(request("consulta", 1, 0, 900, "").as_bytes()).await.unwrap();
    rig.until(|counters| counters.attempts_sent == 1).await;
    let answer = answer_to(&rig, &request("consulta", 1, 0, 900, "")).await;
    assert_matches_fixture("answer_duplicate.txt", &answer);
}

#[tokio::test]
async fn a_failed_writes_answer_is_as_pinned() {
    let rig = rig_with_node(&[NodeBehavior::Error]).await;
    let answer = answer_to(&rig, &request("pedido", 1, 0, 1400, "w")).await;
    assert_matches_fixture("answer_failed.txt", &answer);
}

/// A request is still at a node when the shutdown deadline of the program passes.
#[tokio::test]
async fn the_answer_of_a_request_past_its_deadline_is_as_pinned() {
    let node = http_node(0, &[NodeBehavior::Silent], &Log::default()).await;
    let text = config_text("127.0.0.1:1", "127.0.0.1:1", &member("s0", node, 0, "in_service", 0));
    let text = text.replace("\"aimMs\":150,\"deadlineMs\":1000", "\"aimMs\":8000,\"deadlineMs\":9000");
    let rig = rig_of(&text, None).await;
    let mut stream = TcpStream::connect(rig.front).await.unwrap();
    stream.write_all(request("consulta", 1, 0, 9000, "").as_bytes()).await.unwrap();
    rig.until(|counters| counters.attempts_sent == 1).await;
    rig.core.set_shutdown_deadline(Instant::now() + Duration::from_millis(20)).await;
    assert_matches_fixture("answer_too_late.txt", &next_answer(&mut stream).await);
}

/// Each kind of malformed request, as a replacement in a valid one: the name, the text and its replacement.
const MALFORMED: [(&str, &str, &str); 30] = [
    ("no class", "X-Call-Class: consulta\r\n", ""),
    ("unknown class", "X-Call-Class: consulta", "X-Call-Class: nada"),
    ("other class in the path", "/consulta/", "/pedido/"),
    ("no plan", "X-Plan: prioritario\r\n", ""),
    ("unknown plan", "X-Plan: prioritario", "X-Plan: oro"),
    ("two plans", "X-Plan: prioritario", "X-Plan: prioritario\r\nX-Plan: basico"),
    ("plan not in ASCII", "X-Plan: prioritario", "X-Plan: prioritári"),
    ("path too short", "/7f3a9c21e0b4d655", ""),
    ("path too long", "/7f3a9c21e0b4d655", "/7f3a9c21e0b4d655/1"),
    ("volume", "00000003b4d60021", "00000003b4d6002"),
    ("piece of data", "7f3a9c21e0b4d655", "7f3a9c21e0b4d65z"),
    ("no budget", "X-Budget-Ms: 900\r\n", ""),
    ("budget in words", "X-Budget-Ms: 900", "X-Budget-Ms: soon"),
    ("budget of zero", "X-Budget-Ms: 900", "X-Budget-Ms: 0"),
    ("signed budget", "X-Budget-Ms: 900", "X-Budget-Ms: +900"),
    ("no id", "X-Call-Id: 0000000000000001\r\n", ""),
    ("id of other characters", "0000000000000001", "../../../etc"),
    ("two ids", "X-Call-Id: 0", "X-Call-Id: 0000000000000002\r\nX-Call-Id: 0"),
    ("no size", "X-IO: units=2,shard=0,hosts=1\r\n", ""),
    ("negative units", "units=2", "units=-2"),
    ("no units", "units=2", "units=0"),
    ("too many units", "units=2", "units=9"),
    ("shard", "shard=0", "shard=99999999999"),
    ("no hosts", "hosts=1", "hosts=0"),
    ("too many hosts", "hosts=1", "hosts=2"),
    ("two further tries", "X-IO", "X-Again: 1\r\nX-Again: 1\r\nX-IO"),
    ("method", "GET", "DELETE"),
    ("method of a write", "GET /consulta", "PUT /consulta"),
    ("body of a read", "Content-Length: 0\r\n", "Content-Length: 2\r\n"),
    ("line", "GET /consulta", "GET  /consulta"),
];

#[tokio::test]
async fn answers_to_malformed_requests_are_as_pinned() {
    let rig = rig_with_node(&[NodeBehavior::Serve]).await;
    let valid = request("consulta", 1, 0, 900, "");
    let mut answers = String::new();
    for (name, from, to) in MALFORMED {
        assert!(valid.contains(from), "{name}");
        let answer = answer_to(&rig, &(valid.replacen(from, to, 1) + "xy")).await;
        write!(answers, "--- {name}\n{answer}\n").unwrap();
    }
    let write = request("pedido", 1, 0, 900, "0\r\n\r\n");
    let lengths = "Content-Length: 5\r\nTransfer-Encoding: chunked";
    for (name, from, to) in [
        ("no idempotency key", "Idempotency-Key: k1\r\n", ""),
        ("two lengths", "Content-Length: 5", lengths),
        ("too long a body", "Content-Length: 5", "Content-Length: 60000000"),
        ("a chunk that is none", "Content-Length: 5\r\n", "Transfer-Encoding: chunked\r\n"),
    ] {
        let text = write.replace(from, to).replace("\r\n\r\n0\r\n\r\n", "\r\n\r\nzz\r\n\r\n");
        let answer = answer_to(&rig, &text).await;
        write!(answers, "--- {name}\n{answer}\n").unwrap();
    }
    let head = valid.trim_end().to_owned() + "\r\nX-Pad: " + &"x".repeat(LONG_HEAD);
    write!(answers, "--- too long a head\n{}\n", answer_to(&rig, &head).await).unwrap();
    assert_matches_fixture("answers_malformed.txt", &answers);
}

#[rstest]
#[case::head("slow_head", "GET /consulta/0000")]
#[case::body("slow_body", "PUT /pedido/1/2 HTTP/1.1\r\nContent-Length: 9\r\n\r\nabc")]
#[tokio::test]
async fn answers_to_requests_that_do_not_end_are_as_pinned(#[case] name: &str, #[case] text: &str) {
    let rig = rig(&[], None).await;
    assert_matches_fixture(&format!("answer_{name}.txt"), &answer_to(&rig, text).await);
}

#[tokio::test]
async fn health_answers_are_as_pinned() {
    let rig = rig_with_node(&[NodeBehavior::Serve]).await;
    rig.until_ready(true).await;
    let ready = answer_to(&rig, HEALTH).await;
    rig.core.run_command(OperatorCommand::Pause, false).await.unwrap().unwrap();
    let paused = answer_to(&rig, HEALTH).await;
    let served = answer_to(&rig, &request("consulta", 1, 0, 900, "")).await;
    rig.core.run_command(OperatorCommand::Resume, false).await.unwrap().unwrap();
    let empty_list = r#"{"revision":99,"complete":true,"members":[]}"#;
    rig.core
        .discovery_sender()
        .send(CoreMessage::EndpointUpdate(discovery::parse_update(empty_list).unwrap()))
        .await
        .unwrap();
    rig.until_ready(false).await;
    let no_list = answer_to(&rig, HEALTH).await;
    let answers = format!(
        "--- ready\n{ready}\n--- paused\n{paused}\n--- served while paused\n{served}\n\
         --- no list\n{no_list}\n"
    );
    assert_matches_fixture("answers_health.txt", &answers);
}

/// Discovery has not confirmed the list from startup yet. The length of the answer depends on how many digits
/// the elapsed milliseconds in it have.
#[tokio::test]
async fn the_health_answer_without_discovery_is_as_pinned() {
    let member = member("s0", unused_address().1, 0, "in_service", 0);
    let text = config_text("127.0.0.1:1", "127.0.0.1:1", &member);
    let text = text.replacen(r#""safety":{"#, r#""safety":{"stopSendingWithinMs":250,"#, 1);
    let rig = rig_of(&text, None).await;
    let answer = answer_to(&rig, HEALTH).await;
    let (before, after) = answer.split_once(" for ").unwrap();
    let elapsed = after.strip_suffix(" ms\n").unwrap();
    assert!(elapsed.parse::<u64>().is_ok(), "{answer}");
    let length =
        format!("content-length: {}\r\n", "nothing heard from discovery for  ms\n".len() + elapsed.len());
    assert!(before.contains(&length), "{answer}");
    let answer = masked(before, "content-length") + " for <elapsed> ms\n";
    assert_matches_fixture("answer_health_without_discovery.txt", &answer);
}

/// Another process accepts new connections: the answer closes the connection, so that the client connects to
/// that process.
#[tokio::test]
async fn answers_of_a_replaced_scheduler_are_as_pinned() {
    let rig = rig_with_node(&[NodeBehavior::Serve]).await;
    rig.core.set_replaced(true);
    let answer = answer_to(&rig, &request("consulta", 1, 0, 900, "")).await;
    assert_matches_fixture("answer_served_and_closed.txt", &answer);
}
