//! Requests forwarded to a storage node, and the effects of its answers on retries and on the final answer.

use std::time::Duration;

use heathward_policy::AttemptEnd;
use rstest::rstest;

use heathward_fakes::*;

use crate::support::{attempts_ended, one_node, OneNode};

#[tokio::test]
async fn a_request_is_forwarded_unchanged_and_its_answer_returned() {
    let OneNode { rig, log, .. } = one_node(&[NodeBehavior::Serve]).await;
    for class in ["consulta", "pedido"] {
        let body = if class == "pedido" { "a write" } else { "" };
        assert_eq!(rig.ask(&request(class, 9, 0, 900, body)).await.2, b"hello", "{class}");
        let seen = log.all().pop().unwrap();
        let method = if class == "pedido" { "PUT" } else { "GET" };
        let line = format!("{method} /{class}/00000003b4d60021/7f3a9c21e0b4d655?v=1 HTTP/1.1\r\n");
        assert!(seen.head.starts_with(&line), "{}", seen.head);
        assert_eq!((seen.call.as_str(), seen.body.as_slice()), ("0000000000000009", body.as_bytes()));
        let lower_case_head = seen.head.to_lowercase();
        assert_eq!(header(&lower_case_head, "idempotency-key"), (class == "pedido").then_some("k9"));
        let budget: u32 = header(&lower_case_head, "x-budget-ms").unwrap().parse().unwrap();
        assert!((1..=900).contains(&budget), "{budget}");
    }
    assert_eq!(attempts_ended(&rig.counters().await, AttemptEnd::Served), 2);
}

/// Each kind of answer of a node, with the end of the attempt, the number of attempts and the status for the
/// client. Guards against a retry of a request that may have been executed, other than after
/// an error, and against "refused" for a write that may have been executed.
#[rstest]
#[case::served("consulta", NodeBehavior::Serve, AttemptEnd::Served, 1, 200)]
#[case::error_read("consulta", NodeBehavior::Error, AttemptEnd::Error, 3, 503)]
#[case::error_write("pedido", NodeBehavior::Error, AttemptEnd::Error, 3, 502)]
#[case::rejected("pedido", NodeBehavior::Reject, AttemptEnd::Rejected, 1, 503)]
#[case::reset_read("consulta", NodeBehavior::Reset, AttemptEnd::Reset, 3, 503)]
#[case::reset_write("pedido", NodeBehavior::Reset, AttemptEnd::Reset, 3, 502)]
#[case::cut_short("consulta", NodeBehavior::Cut, AttemptEnd::Reset, 3, 503)]
#[tokio::test]
async fn the_end_of_an_attempt_decides_on_retries_and_the_answer(
    #[case] class: &str,
    #[case] does: NodeBehavior,
    #[case] end: AttemptEnd,
    #[case] attempts: u64,
    #[case] status: u16,
) {
    let OneNode { rig, log, .. } = one_node(&[does]).await;
    let (answered, head, _) = rig.ask(&request(class, 1, 0, 1400, "")).await;
    rig.until_at_rest().await;
    assert_eq!(answered, status, "{head}");
    assert_eq!(header(&head, "retry-after").is_some(), status == 503, "{head}");
    let counters = rig.counters().await;
    assert!(attempts_ended(&counters, end) == attempts && counters.attempts_sent == attempts, "{counters}");
    assert_eq!(
        counters.total_answers().served + counters.total_answers().shed + counters.total_answers().failed,
        1,
        "{counters}"
    );
    log.check_one_at_a_time();
}

/// Malformed answers over an open connection. Guards against forwarding any part of them, against reuse of
/// the connection, against a node that is taken for restarted because of them and limited as in slow start,
/// and against "refused" for a write, as it may have been executed.
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
#[case::malformed_rejection("HTTP/1.1 503 Full\r\nX-Rejected: 1\r\nContent-Length: -1\r\n\r\n")]
#[case::protocol_switch("HTTP/1.1 101 Switching Protocols\r\nConnection: upgrade\r\nUpgrade: x\r\n\r\n")]
#[tokio::test]
async fn a_malformed_node_answer_is_not_forwarded(#[case] malformed: &'static str) {
    let OneNode { rig, log, .. } =
        one_node(&[NodeBehavior::Reply(malformed), NodeBehavior::Serve, NodeBehavior::Reply(malformed)])
            .await;
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
        (attempts_ended(&counters, AttemptEnd::Error), attempts_ended(&counters, AttemptEnd::Served)),
        (4, 1),
        "{counters}"
    );
    log.check_one_at_a_time();
}

/// A valid answer that follows other answers, or is followed by bytes that belong to none: it is served once,
/// and the surplus is not taken for an answer.
#[rstest]
#[case::informational("HTTP/1.1 103 Early Hints\r\nLink: </a>\r\n\r\nHTTP/1.1 102 Processing\r\n\r\n", "")]
#[case::second_copy("", "HTTP/1.1 200 OK\r\nContent-Length: 5\r\n\r\nhello")]
#[case::noise("", "\x07\x08nothing\r\n\r\n")]
#[tokio::test]
async fn a_valid_node_answer_is_served_despite_surrounding_bytes(#[case] before: &str, #[case] after: &str) {
    let good = "HTTP/1.1 200 OK\r\nX-Volume-Use: TEXT \r\nContent-Length: 5\r\n\r\nfirst";
    let text: &'static str = Box::leak(format!("{before}{good}{after}").into_boxed_str());
    let OneNode { rig, .. } = one_node(&[NodeBehavior::Reply(text), NodeBehavior::Serve]).await;
    for (call, body) in [(1, "first"), (2, "hello")] {
        let answered = rig.ask(&request("consulta", call, 0, 900, "")).await;
        assert_eq!((answered.0, answered.2), (200, body.as_bytes().to_vec()));
    }
    assert_eq!(rig.counters().await.attempts_sent, 2);
}

#[tokio::test]
async fn a_retry_with_a_key_goes_to_its_shard_within_the_deduplication_window() {
    let log = Log::default();
    let first = http_node(0, &[NodeBehavior::Error, NodeBehavior::Serve], &log).await;
    let second = http_node(1, &[NodeBehavior::Serve], &log).await;
    let members = [member("s0", first, 0, "in_service", 0), member("s1", second, 1, "in_service", 0)];
    let rig = rig(&members, None).await;
    assert_eq!(rig.ask(&request("pedido", 5, 0, 1400, "w")).await.0, 200);
    let seen = log.all();
    assert_eq!(
        seen.iter().map(|request| (request.node, request.call.as_str())).collect::<Vec<_>>(),
        [(0, &*seen[0].call); 2]
    );
    assert!(seen[1].at - seen[0].at < Duration::from_millis(2500));
    log.check_one_at_a_time();
}

/// The node's error comes after the window in which it deduplicates: there is no retry.
#[tokio::test]
async fn a_retry_with_a_key_is_not_sent_after_the_deduplication_window() {
    let log = Log::default();
    let node = http_node(0, &[NodeBehavior::LateError], &log).await;
    let member = member("s0", node, 0, "in_service", 0);
    let text = config_text("127.0.0.1:1", "127.0.0.1:1", &member).replace("2500.0", "100.0");
    let rig = rig_of(&text, None).await;
    assert_eq!(rig.ask(&request("pedido", 5, 0, 1400, "w")).await.0, 502);
    assert_eq!((log.all().len(), rig.counters().await.attempts_sent), (1, 1));
}

/// Guards against taking a connection that broke before a request was sent for one that carried it, or the
/// reverse: whether the last byte was written decides.
#[tokio::test]
async fn a_connection_lost_before_the_last_byte_means_not_executed() {
    let log = Log::default();
    let node = http_node(0, &[NodeBehavior::HangUp], &log).await;
    let (_reserved_socket, unused_address) = unused_address();
    let members = [member("s0", node, 0, "in_service", 0), member("s1", unused_address, 1, "in_service", 0)];
    let rig = rig(&members, None).await;
    let (status, ..) = rig.ask(&request("pedido", 2, 1, 900, "w")).await;
    assert_eq!(status, 503);
    assert_eq!(attempts_ended(&rig.counters().await, AttemptEnd::NotConnected), 1);
    // The node closes the connection without reading the request, after all of it was written: it may have
    // been executed.
    let (status, ..) = rig.ask(&request("pedido", 3, 0, 900, "w")).await;
    assert_eq!(status, 502);
    assert_eq!(attempts_ended(&rig.counters().await, AttemptEnd::Reset), 3);
}

/// Guards against a read that is forwarded, given up before its latency objective has passed, and then shed.
/// Its time budget is shorter than the deadline of its class, which does not mean that it is a retry.
#[tokio::test]
async fn a_read_with_less_than_its_class_deadline_is_served_by_a_late_node() {
    let OneNode { rig, .. } = one_node(&[NodeBehavior::LateServe]).await;
    assert_eq!(rig.ask(&request("consulta", 1, 0, 900, "")).await.0, 200);
    assert_eq!(rig.counters().await.attempts_sent, 1);
}
