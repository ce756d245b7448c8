//! Clients' connections that either side closes at the moment at which data or a request arrives.

use std::net::SocketAddr;

use heathward_core::AnswerCounts;
use heathward_transport::http::{self, ConnectionTable, Front};
use rstest::rstest;
use tokio::io::{AsyncReadExt, AsyncWriteExt};
use tokio::net::TcpStream;
use tokio::sync::watch;
use tokio::time::{timeout, Duration, Instant};

use heathward_fakes::*;

use crate::support::{one_node, OneNode};

/// Starts a front whose connection table holds `capacity` connections. Sending true on the channel shuts it
/// down.
async fn start_front(rig: &Rig, capacity: usize) -> (SocketAddr, ConnectionTable, watch::Sender<bool>) {
    let (listener, address) = listen().await;
    let (stop, stopping) = watch::channel(false);
    let table = ConnectionTable::new(capacity);
    tokio::spawn(http::serve(listener, Front::new(rig.core.clone()), table.clone(), stopping));
    (address, table, stop)
}

/// How a client disconnects.
#[derive(Clone, Copy, Debug, PartialEq)]
enum Disconnect {
    Close,
    HalfClose,
    Reset,
}

/// Guards against work for a client that has disconnected with unread bytes pending: its request, and then
/// each of those that follow it, would be sent to nodes although nobody waits for the answer.
#[rstest]
#[case::nothing(0)]
#[case::another_request(1)]
#[case::many(200)]
#[tokio::test]
async fn a_client_disconnect_is_detected_behind_unread_bytes(
    #[case] pipelined: u32,
    #[values(Disconnect::Close, Disconnect::HalfClose, Disconnect::Reset)] disconnect: Disconnect,
) {
    let OneNode { rig, log, .. } = one_node(&[NodeBehavior::Silent]).await;
    let mut stream = TcpStream::connect(rig.front).await.unwrap();
    let text: String = (0..=pipelined).map(|call| request("consulta", call, 0, 1000, "")).collect();
    stream.write_all(text.as_bytes()).await.unwrap();
    rig.until(|counters| counters.attempts_sent == 1).await;
    match disconnect {
        Disconnect::Close => drop(stream),
        Disconnect::HalfClose => stream.shutdown().await.unwrap(),
        Disconnect::Reset => {
            stream.set_zero_linger().unwrap();
            drop(stream);
        }
    }
    let counters = rig.until(|counters| counters.client_disconnects == 1).await;
    // The request of another client is handled after everything that was read from the disconnected one.
    assert!(matches!(rig.ask(&request("consulta", 1000, 0, 100, "")).await.0, 503 | 504));
    assert_eq!((counters.total_answers(), log.all().len()), (AnswerCounts::default(), 2), "{counters}");
}

/// More pipelined bytes than the front buffers follow the request in progress. That request is answered, and
/// then its connection closes; memory use stays bounded however much the client sends.
#[tokio::test]
async fn a_connection_with_too_many_pipelined_bytes_closes_with_its_answer() {
    let OneNode { rig, log, .. } = one_node(&[NodeBehavior::LateError, NodeBehavior::Serve]).await;
    let mut stream = TcpStream::connect(rig.front).await.unwrap();
    stream.write_all(request("consulta", 1, 0, 1000, "").as_bytes()).await.unwrap();
    rig.until(|counters| counters.attempts_sent == 1).await;
    let flood = request("consulta", 2, 0, 1000, "").repeat(4_000);
    let (mut read, mut write) = stream.into_split();
    let writing = tokio::spawn(async move { write.write_all(flood.as_bytes()).await.map(|()| write) });
    let mut received = Vec::new();
    timeout(TEST_TIMEOUT, read.read_to_end(&mut received)).await.expect("the end of the connection").unwrap();
    let text = String::from_utf8(received).unwrap();
    assert!(text.contains("connection: close"), "{text}");
    assert_eq!(text.matches("HTTP/1.1").count(), 1, "{text}");
    drop(writing.await);
    assert!(log.all().iter().all(|seen| seen.call == "0000000000000001"));
}

/// The request is in the system's socket buffer when its connection is evicted, and it is not read. Guards
/// against a reset, against a request that is read and dropped, and against one that is read after the close
/// and forwarded.
#[rstest]
#[case::nothing("")]
#[case::incomplete_head("GET /consulta/0000")]
#[case::a_request(&request("consulta", 2, 0, 900, ""))]
#[case::a_large_write(&request("pedido", 2, 0, 900, &"x".repeat(60_000)))]
#[tokio::test]
async fn a_request_that_crosses_an_eviction_is_not_read_and_not_reset(#[case] unread: &str) {
    let OneNode { rig, log, .. } = one_node(&[NodeBehavior::Serve]).await;
    let (address, table, _stop) = start_front(&rig, 2).await;
    let mut stream = TcpStream::connect(address).await.unwrap();
    stream.write_all(request("consulta", 1, 0, 900, "").as_bytes()).await.unwrap();
    assert_eq!(answer(&mut stream).await.0, 200);
    // No other task runs between here and the new connection.
    stream.try_write(unread.as_bytes()).unwrap();
    let new_slot = table.admit(Instant::now() + Duration::from_secs(5));
    assert!(new_slot.is_some(), "the idle connection is evicted");
    let mut received = Vec::new();
    let ended =
        timeout(TEST_TIMEOUT, stream.read_to_end(&mut received)).await.expect("the end of the connection");
    assert!(ended.is_ok() && received.is_empty(), "closed, not reset: {ended:?} {received:?}");
    assert_eq!(log.all().len(), 1);
}

/// Part of a request has arrived when the program shuts down: the request is answered, and its connection
/// closes after that.
#[tokio::test]
async fn a_request_being_received_at_shutdown_is_answered() {
    let OneNode { rig, .. } = one_node(&[NodeBehavior::Serve]).await;
    let (address, _table, stop) = start_front(&rig, 8).await;
    let mut stream = TcpStream::connect(address).await.unwrap();
    let text = request("consulta", 1, 0, 900, "");
    let (first_part, rest) = text.split_at(40);
    stream.write_all(request("consulta", 2, 0, 900, "").as_bytes()).await.unwrap();
    assert_eq!(answer(&mut stream).await.0, 200);
    stream.write_all(first_part.as_bytes()).await.unwrap();
    // An answer on another connection shows that the first part was read.
    assert_eq!(rig.ask(&request("consulta", 3, 0, 900, "")).await.0, 200);
    stop.send_replace(true);
    assert_eq!(rig.ask(&request("consulta", 4, 0, 900, "")).await.0, 200);
    stream.write_all(rest.as_bytes()).await.unwrap();
    let (status, head, _) = answer(&mut stream).await;
    assert_eq!((status, header(&head, "connection")), (200, Some("close")));
    assert!(timeout(TEST_TIMEOUT, read_message(&mut stream))
        .await
        .expect("the end of the connection")
        .is_none());
}
