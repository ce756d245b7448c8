//! Requests that the HTTP front rejects: malformed, duplicate, incomplete or too large.

use rstest::rstest;
use tokio::io::AsyncWriteExt;
use tokio::net::TcpStream;
use tokio::time::timeout;

use heathward_fakes::*;

use crate::support::{one_node, OneNode};

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
#[case::request_line(("GET /consulta", "GET  /consulta"))]
#[tokio::test]
async fn a_malformed_request_is_rejected_at_once_and_counted(#[case] (from, to): (&str, &str)) {
    let OneNode { rig, log, .. } = one_node(&[NodeBehavior::Serve]).await;
    let text = request("consulta", 1, 0, 900, "");
    assert!(text.contains(from));
    let (status, head, _) = rig.ask(&(text.replacen(from, to, 1) + "xy")).await;
    assert_eq!((status, header(&head, "connection")), (400, Some("close")), "{head}");
    assert_eq!(rig.ask(&text).await.0, 200, "the front still serves requests");
    assert_eq!(
        (rig.counters().await.requests_received, log.all().len()),
        (1, 1),
        "the request is not forwarded"
    );
}

/// A body with two lengths may hide a request, whichever length comes first. Guards against forwarding the
/// request or the hidden one, and against reading the hidden bytes as a request.
#[rstest]
#[case::chunked_last("Content-Length: 5\r\nTransfer-Encoding: chunked")]
#[case::chunked_first("Transfer-Encoding: chunked\r\nContent-Length: 5")]
#[tokio::test]
async fn a_body_with_two_lengths_is_rejected(#[case] lengths: &str) {
    let OneNode { rig, log, .. } = one_node(&[NodeBehavior::Serve]).await;
    let text = request("pedido", 1, 0, 900, "0\r\n\r\n").replace("Content-Length: 5", lengths);
    let hidden = request("consulta", 2, 0, 900, "");
    let mut stream = TcpStream::connect(rig.front).await.unwrap();
    stream.write_all((text + &hidden).as_bytes()).await.unwrap();
    let (status, head, _) = answer(&mut stream).await;
    assert_eq!((status, header(&head, "connection")), (400, Some("close")));
    assert!(timeout(TEST_TIMEOUT, read_message(&mut stream))
        .await
        .expect("the end of the connection")
        .is_none());
    assert_eq!((rig.counters().await.requests_received, log.all().len()), (0, 0));
}

/// Guards against two concurrent attempts that a node takes for the same request.
#[tokio::test]
async fn the_id_of_an_open_request_is_rejected() {
    let OneNode { rig, log, .. } = one_node(&[NodeBehavior::Silent, NodeBehavior::Serve]).await;
    let mut first = TcpStream::connect(rig.front).await.unwrap();
    first.write_all(request("consulta", 1, 0, 900, "").as_bytes()).await.unwrap();
    rig.until(|counters| counters.attempts_sent == 1).await;
    assert_eq!(rig.ask(&request("consulta", 1, 0, 900, "")).await.0, 400);
    assert!(matches!(answer(&mut first).await.0, 503 | 504), "the first request is still answered");
    assert_ne!(rig.ask(&request("consulta", 1, 0, 900, "")).await.0, 400, "its id is free again");
    log.check_one_at_a_time();
}

/// A request that is never completed: within 3 s of connecting its client gets an answer that says so, or is
/// disconnected.
#[rstest]
#[case::nothing("", None)]
#[case::incomplete_head("GET /consulta/0000", Some(408))]
#[case::incomplete_body(
    "PUT /pedido/00000003b4d60021/7f3a9c21e0b4d655 HTTP/1.1\r\nContent-Length: 9\r\n\r\nabc",
    Some(408)
)]
#[tokio::test]
async fn an_incomplete_request_times_out(#[case] text: &str, #[case] status: Option<u16>) {
    let rig = rig(&[], None).await;
    let mut stream = TcpStream::connect(rig.front).await.unwrap();
    stream.write_all(text.as_bytes()).await.unwrap();
    let message = timeout(TEST_TIMEOUT, read_message(&mut stream))
        .await
        .expect("an answer or the end of the connection");
    assert_eq!(message.map(|(head, ..)| head[9..12].parse().unwrap()), status);
}

/// The client sends all of its data as fast as it can, and reads only after that. Guards against a reset
/// that arrives before the answer, and against reading a body that was rejected.
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
    let surplus = vec![b'x'; 1 << 20];
    for _ in 0..8 {
        stream.write_all(&surplus).await.unwrap();
    }
    assert_eq!(answer(&mut stream).await.0, status);
}

#[tokio::test]
async fn a_body_over_the_limit_is_rejected() {
    let rig = rig(&[], None).await;
    let text = request("pedido", 1, 0, 900, &"x".repeat((32 << 20) + 1));
    assert_eq!(rig.ask(&text).await.0, 413);
}
