//! Clients that leave: nothing that waits for them is sent on, wherever it waits.

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

/// Guards against an attempt that goes on waiting for a connection, and holds its place, for nobody.
#[tokio::test]
async fn connecting_to_a_node_ends_when_the_client_disconnects() {
    let node = full_node().await;
    let by = Instant::now() + PATIENCE * 10;
    let attempt = attempt(SendGate::default(), by);
    let cancel = attempt.cancel.clone();
    let dialling = tokio::spawn(HttpLink::new(node.address).call(LinkRequest {
        attempt,
        idle_connection: None,
        dial_deadline: by,
    }));
    tokio::task::yield_now().await;
    assert!(!dialling.is_finished());
    cancel.cancel();
    let Ok(done) = timeout(PATIENCE, dialling).await.expect("at once").unwrap();
    assert_eq!(done.end, AttemptEnd::NotSent);
    assert!(done.idle_connection.is_none());
}

/// Reads on each connection that comes up what there is, and answers a request; tells of each that came.
async fn serve(listener: TcpListener, came: mpsc::UnboundedSender<String>) {
    loop {
        let (mut stream, _) = listener.accept().await.unwrap();
        let mut text = Vec::new();
        while !text.ends_with(b"\r\n\r\nw") && stream.read_buf(&mut text).await.is_ok_and(|n| n > 0) {}
        if !text.is_empty() {
            came.send(String::from_utf8(text).unwrap().to_lowercase()).unwrap();
            stream.write_all(b"HTTP/1.1 200 OK\r\ncontent-length: 5\r\n\r\nhello").await.unwrap();
        }
    }
}

const LEAVING: usize = 12;
const STAYING: usize = 6;

/// Dials that come up late, one at each node, and clients most of which leave meanwhile: of what waits for
/// its first attempt then the share that is sent on is 0. The stayers are served on connections that were
/// asked for after the leavers', so that those would have come up before.
#[tokio::test]
async fn requests_of_clients_that_disconnected_during_connecting_are_not_sent() {
    let mut nodes = Vec::new();
    for _ in 0..LEAVING + STAYING {
        nodes.push(full_node().await);
    }
    let entry =
        |(n, node): (usize, &FullNode)| member(&format!("s{n}"), node.address, n as u32, "in_service", 0);
    let members: Vec<String> = nodes.iter().enumerate().map(entry).collect();
    let text = config_text("127.0.0.1:1", "127.0.0.1:1", &members.join(","))
        .replace(r#""connectTimeoutMs":1000.0"#, r#""connectTimeoutMs":60000.0"#)
        .replace(r#""aimMs":250,"deadlineMs":700"#, r#""aimMs":120000,"deadlineMs":120000"#);
    let rig = rig_of(&text, None).await;
    let mut leaving = Vec::new();
    for call in 0..LEAVING + STAYING {
        let mut stream = TcpStream::connect(rig.front).await.unwrap();
        let asked = request("pedido", call as u32, call as i32, 120_000, "w");
        stream.write_all(asked.as_bytes()).await.unwrap();
        rig.until(|c| c.attempts_sent == call as u64 + 1).await;
        leaving.push(stream);
    }
    let staying = leaving.split_off(LEAVING);
    drop(leaving);
    rig.until(|c| c.client_disconnects == LEAVING as u64).await;
    let (came, mut heads) = mpsc::unbounded_channel();
    let mut serving = JoinSet::new();
    for node in nodes {
        serving.spawn(serve(node.take_connections(), came.clone()));
    }
    for mut stream in staying {
        assert_eq!(answer(&mut stream).await.0, 200);
    }
    serving.shutdown().await;
    drop(came);
    let mut sent = Vec::new();
    while let Some(head) = heads.recv().await {
        sent.push(usize::from_str_radix(header(&head, "x-call-id").unwrap(), 16).unwrap());
    }
    let of_leavers = sent.iter().filter(|call| **call < LEAVING).count();
    assert_eq!((of_leavers, sent.len()), (0, STAYING), "{sent:?}");
    rig.until_at_rest().await;
    let counters = rig.counters().await;
    assert_eq!(
        (counters.attempts_written, counters.client_disconnects),
        (STAYING as u64, LEAVING as u64),
        "{counters}"
    );
}
