//! Clients that disconnect: no attempt that waits for a connection on their behalf is sent.

use heathward_core::SendGate;
use heathward_policy::AttemptEnd;
use heathward_transport::node::{HttpLink, LinkRequest};
use tokio::io::{AsyncReadExt, AsyncWriteExt};
use tokio::net::{TcpListener, TcpStream};
use tokio::sync::mpsc;
use tokio::task::JoinSet;
use tokio::time::{timeout, Instant};
use tower::Service;

use heathward_fakes::*;

/// Guards against an attempt that keeps waiting for a connection, and stays in flight, after its client has
/// disconnected.
#[tokio::test]
async fn connecting_to_a_node_ends_when_the_client_disconnects() {
    let node = full_node().await;
    let deadline = Instant::now() + TEST_TIMEOUT * 10;
    let attempt = attempt(SendGate::default(), deadline);
    let cancel = attempt.cancel.clone();
    let connecting = tokio::spawn(HttpLink::new(node.address).call(LinkRequest {
        attempt,
        idle_connection: None,
        dial_deadline: deadline,
    }));
    tokio::task::yield_now().await;
    assert!(!connecting.is_finished());
    cancel.cancel();
    let Ok(done) = timeout(TEST_TIMEOUT, connecting).await.expect("an immediate end").unwrap();
    assert_eq!(done.end, AttemptEnd::NotSent);
    assert!(done.idle_connection.is_none());
}

/// Accepts connections, reads a request on each and answers it; reports the head of each request.
async fn serve(listener: TcpListener, heads: mpsc::UnboundedSender<String>) {
    loop {
        let (mut stream, _) = listener.accept().await.unwrap();
        let mut text = Vec::new();
        while !text.ends_with(b"\r\n\r\nw") && stream.read_buf(&mut text).await.is_ok_and(|n| n > 0) {}
        if !text.is_empty() {
            heads.send(String::from_utf8(text).unwrap().to_lowercase()).unwrap();
            stream.write_all(b"HTTP/1.1 200 OK\r\ncontent-length: 5\r\n\r\nhello").await.unwrap();
        }
    }
}

const DISCONNECTING: usize = 12;
const STAYING: usize = 6;

/// Connections that are established late, one at each node, while most clients disconnect: none of the
/// requests of these clients is sent. The connections of the staying clients were requested last, so the
/// others would have been established before them.
#[tokio::test]
async fn requests_of_clients_that_disconnected_during_connecting_are_not_sent() {
    let mut nodes = Vec::new();
    for _ in 0..DISCONNECTING + STAYING {
        nodes.push(full_node().await);
    }
    let entry =
        |(n, node): (usize, &FullNode)| member(&format!("s{n}"), node.address, n as u32, "in_service", 0);
    let members: Vec<String> = nodes.iter().enumerate().map(entry).collect();
    let text = config_text("127.0.0.1:1", "127.0.0.1:1", &members.join(","))
        .replace(r#""connectTimeoutMs":1000.0"#, r#""connectTimeoutMs":60000.0"#)
        .replace(r#""aimMs":250,"deadlineMs":700"#, r#""aimMs":120000,"deadlineMs":120000"#);
    let rig = rig_of(&text, None).await;
    let mut clients = Vec::new();
    for call in 0..DISCONNECTING + STAYING {
        let mut stream = TcpStream::connect(rig.front).await.unwrap();
        let request_text = request("pedido", call as u32, call as i32, 120_000, "w");
        stream.write_all(request_text.as_bytes()).await.unwrap();
        rig.until(|counters| counters.attempts_sent == call as u64 + 1).await;
        clients.push(stream);
    }
    let staying = clients.split_off(DISCONNECTING);
    drop(clients);
    rig.until(|counters| counters.client_disconnects == DISCONNECTING as u64).await;
    let (sender, mut heads) = mpsc::unbounded_channel();
    let mut serving = JoinSet::new();
    for node in nodes {
        serving.spawn(serve(node.take_connections(), sender.clone()));
    }
    for mut stream in staying {
        assert_eq!(answer(&mut stream).await.0, 200);
    }
    serving.shutdown().await;
    drop(sender);
    let mut sent = Vec::new();
    while let Some(head) = heads.recv().await {
        sent.push(usize::from_str_radix(header(&head, "x-call-id").unwrap(), 16).unwrap());
    }
    let of_disconnected = sent.iter().filter(|call| **call < DISCONNECTING).count();
    assert_eq!((of_disconnected, sent.len()), (0, STAYING), "{sent:?}");
    rig.until_at_rest().await;
    let counters = rig.counters().await;
    assert_eq!(
        (counters.attempts_written, counters.client_disconnects),
        (STAYING as u64, DISCONNECTING as u64),
        "{counters}"
    );
}
