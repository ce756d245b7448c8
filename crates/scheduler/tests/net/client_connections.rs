//! Client connections: disconnects, idle and incomplete ones, and a full table.

use std::time::Duration;

use heathward_core::AnswerCounts;
use rstest::rstest;
use tokio::io::AsyncWriteExt;
use tokio::net::TcpStream;
use tokio::time::{sleep, timeout, Instant};

use heathward_fakes::*;

use crate::support::{one_node, OneNode};

#[tokio::test]
async fn a_client_disconnect_is_reported_and_gets_no_answer() {
    let OneNode { rig, .. } = one_node(&[NodeBehavior::Silent]).await;
    let mut stream = TcpStream::connect(rig.front).await.unwrap();
    stream.write_all(request("consulta", 2, 0, 900, "").as_bytes()).await.unwrap();
    rig.until(|counters| counters.attempts_sent == 1).await;
    drop(stream);
    let counters = rig.until(|counters| counters.client_disconnects == 1).await;
    assert_eq!(counters.total_answers(), AnswerCounts::default(), "{counters}");
}

/// Guards against clients that send one request, or none, and keep their connection: if the front is full of
/// such connections, clients with new requests must still be served.
#[rstest]
#[case::silent("", false)]
#[case::incomplete_head("GET /consulta/0000", false)]
#[case::incomplete_body("PUT /pedido/1/2 HTTP/1.1\r\nContent-Length: 9\r\n\r\nabc", false)]
#[case::answered_once("", true)]
#[tokio::test]
async fn idle_or_incomplete_connections_do_not_keep_other_clients_out(
    #[case] text: &str,
    #[case] sends_request: bool,
) {
    let OneNode { rig, .. } = one_node(&[NodeBehavior::Serve]).await;
    let mut connections = Vec::new();
    for call in 0..CONNECTIONS as u32 {
        let mut stream = TcpStream::connect(rig.front).await.unwrap();
        stream.write_all(text.as_bytes()).await.unwrap();
        if sends_request {
            stream.write_all(request("consulta", call, 0, 900, "").as_bytes()).await.unwrap();
            assert_eq!(answer(&mut stream).await.0, 200);
        }
        connections.push(stream);
    }
    let deadline = Instant::now() + TEST_TIMEOUT;
    let mut call = 100;
    loop {
        // Some new connections may be rejected while the existing ones are still recent.
        let mut stream = TcpStream::connect(rig.front).await.unwrap();
        let written = stream.write_all(request("consulta", call, 0, 900, "").as_bytes()).await;
        let message = timeout(TEST_TIMEOUT, read_message(&mut stream)).await;
        if written.is_ok()
            && message
                .expect("an answer or the end of the connection")
                .is_some_and(|(head, ..)| head.contains(" 200 "))
        {
            break;
        }
        assert!(Instant::now() < deadline, "no connection is evicted");
        call += 1;
        sleep(Duration::from_millis(20)).await;
    }
}

/// More clients than the connection table holds each send one request and keep their connection. Guards
/// against rejecting clients with new requests in order to keep clients that have been answered.
#[tokio::test]
async fn in_a_full_table_answered_connections_are_evicted() {
    let OneNode { rig, .. } = one_node(&[NodeBehavior::Serve]).await;
    let mut connections = Vec::new();
    for call in 0..2 * CONNECTIONS as u32 {
        let mut stream = TcpStream::connect(rig.front).await.unwrap();
        stream.write_all(request("consulta", call, 0, 900, "").as_bytes()).await.unwrap();
        assert_eq!(answer(&mut stream).await.0, 200, "client {call}");
        connections.push(stream);
        // Slow enough for a connection to be evicted each time, and fast enough for all requests to be sent
        // within the idle timeout of a connection.
        sleep(Duration::from_millis(5)).await;
    }
    // They hold at most a third of the descriptors, which is two thirds of the table's capacity. With
    // more, clients that run short of descriptors themselves could not connect any more.
    let mut open = 0;
    for stream in &mut connections {
        open += usize::from(timeout(Duration::from_millis(1), stream.readable()).await.is_err());
    }
    assert!(open <= CONNECTIONS * 2 / 3, "{open} open");
}
