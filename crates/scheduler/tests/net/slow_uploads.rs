//! Long bodies that their node reads slowly or not at all, and clients that leave meanwhile.

use std::net::SocketAddr;
use std::time::Duration;

use rstest::rstest;
use tokio::io::{AsyncReadExt, AsyncWriteExt};
use tokio::net::{TcpSocket, TcpStream};
use tokio::sync::mpsc;
use tokio::time::{sleep, timeout, Instant};

use heathward_fakes::*;

/// The time for which the client waits after its last byte, in milliseconds.
const BUDGET_MS: u32 = 600;
/// An answer that comes this much later is lost.
const MAX_LATENESS: Duration = Duration::from_millis(500);
/// How long after its client has left an attempt may still begin.
const LEAVING_GRACE: Duration = Duration::from_millis(100);
/// In this time a request that may still be sent would arrive.
const OBSERVATION: Duration = Duration::from_millis(500);

/// How a node reads a request.
#[derive(Clone, Copy, Debug)]
struct Pace {
    piece: usize,
    pause: Duration,
}

impl Pace {
    const fn new(piece: usize, pause_ms: u64) -> Self {
        Self { piece, pause: Duration::from_millis(pause_ms) }
    }
}

/// Reads one request at this pace and answers it.
async fn read_slowly(mut stream: TcpStream, pace: Pace) -> Option<()> {
    let (mut head, mut buffer) = (Vec::new(), vec![0; pace.piece]);
    let end = loop {
        if let Some(at) = head.windows(4).position(|window| window == b"\r\n\r\n") {
            break at + 4;
        }
        if stream.read_buf(&mut head).await.ok()? == 0 {
            return None;
        }
    };
    let text = String::from_utf8_lossy(&head[..end]).to_lowercase();
    let length: usize = header(&text, "content-length")?.parse().ok()?;
    let mut received = head.len() - end;
    while received < length {
        let size = stream.read(&mut buffer).await.ok()?;
        if size == 0 {
            return None;
        }
        received += size;
        sleep(pace.pause).await;
    }
    stream.write_all(b"HTTP/1.1 200 OK\r\ncontent-length: 2\r\n\r\nok").await.ok()
}

/// Starts a scheduler before a node whose system buffer is small and which reads at this pace.
async fn rig_before_slow_reader(pace: Pace) -> Rig {
    let socket = TcpSocket::new_v4().unwrap();
    socket.set_recv_buffer_size(65_536).unwrap();
    socket.bind(SocketAddr::from(([127, 0, 0, 1], 0))).unwrap();
    let listener = socket.listen(64).unwrap();
    let address = listener.local_addr().unwrap();
    tokio::spawn(async move {
        while let Ok((stream, _)) = listener.accept().await {
            tokio::spawn(read_slowly(stream, pace));
        }
    });
    rig(&[member("s0", address, 0, "in_service", 0)], None).await
}

fn write_head(call: u32, size: usize) -> String {
    let head = request("pedido", call, 0, BUDGET_MS, "");
    head.replace("Content-Length: 0", &format!("Content-Length: {size}"))
}

/// Guards against an answer that comes seconds after its time, because the time of the client counts from
/// when its last byte was read for a node that reads slowly, and not from when it was written.
#[rstest]
#[case::all_at_once(5_000_000, 5_000_000, 0, Pace::new(16_000, 20))]
#[case::long(10_000_000, 10_000_000, 0, Pace::new(16_000, 10))]
#[case::in_pieces(6_000_000, 64_000, 20, Pace::new(64_000, 100))]
#[tokio::test]
async fn an_upload_is_answered_in_time_if_its_node_reads_slowly(
    #[case] size: usize,
    #[case] piece: usize,
    #[case] pause_ms: u64,
    #[case] node: Pace,
) {
    let rig = rig_before_slow_reader(node).await;
    let client = TcpStream::connect(rig.front).await.unwrap();
    let (mut reader, mut writer) = client.into_split();
    let writing = tokio::spawn(async move {
        writer.write_all(write_head(1, size).as_bytes()).await.unwrap();
        for part in vec![b'x'; size].chunks(piece) {
            if writer.write_all(part).await.is_err() {
                return (writer, None);
            }
            sleep(Duration::from_millis(pause_ms)).await;
        }
        (writer, Some(Instant::now()))
    });
    let mut answered = [0; 512];
    let length = timeout(TEST_TIMEOUT, reader.read(&mut answered)).await.expect("an answer").unwrap();
    let answered_at = Instant::now();
    assert!(length > 0, "closed without an answer");
    if !writing.is_finished() {
        // The client has not written all of it, so that its time has not begun.
        return;
    }
    let (_writer, written_at) = writing.await.unwrap();
    let waited = written_at.map(|at| answered_at.saturating_duration_since(at)).unwrap_or_default();
    let limit = Duration::from_millis(BUDGET_MS.into()) + MAX_LATENESS;
    assert!(waited <= limit, "answered {waited:?} after the last byte");
}

/// Guards against giving up a client that keeps its pace: its node reads faster in the mean, but pauses.
#[tokio::test]
async fn an_upload_at_its_pace_is_served_if_its_node_pauses() {
    let rig = rig_before_slow_reader(Pace::new(60_000, 100)).await;
    let size = 300_000;
    let mut client = TcpStream::connect(rig.front).await.unwrap();
    client.write_all(write_head(1, size).as_bytes()).await.unwrap();
    for part in vec![b'x'; size].chunks(8_000) {
        client.write_all(part).await.unwrap();
        sleep(Duration::from_millis(125)).await;
    }
    assert_eq!(answer(&mut client).await.0, 200);
}

/// Guards against an upload that begins at a node after its client has left with bytes unread. Connections to
/// the node come up late.
#[rstest]
#[tokio::test]
async fn an_upload_is_not_begun_after_its_client_has_left(#[values(80_000, 110_000)] size: usize) {
    let node = full_node().await;
    let text = config_text("127.0.0.1:1", "127.0.0.1:1", &member("s0", node.address, 0, "in_service", 0))
        .replace(r#""connectTimeoutMs":1000.0"#, r#""connectTimeoutMs":60000.0"#)
        .replace(r#""aimMs":250,"deadlineMs":700"#, r#""aimMs":120000,"deadlineMs":120000"#);
    let rig = rig_of(&text, None).await;
    let mut client = TcpStream::connect(rig.front).await.unwrap();
    let head = write_head(1, size).replace("X-Budget-Ms: 600", "X-Budget-Ms: 60000");
    client.write_all(head.as_bytes()).await.unwrap();
    client.write_all(&vec![b'x'; size]).await.unwrap();
    rig.until(|counters| counters.attempts_sent == 1).await;
    drop(client);
    sleep(LEAVING_GRACE).await;
    let (sender, mut begun) = mpsc::unbounded_channel();
    let listener = node.take_connections();
    tokio::spawn(async move {
        while let Ok((mut stream, _)) = listener.accept().await {
            let sender = sender.clone();
            tokio::spawn(async move {
                let mut bytes = [0; 64];
                if stream.read(&mut bytes).await.is_ok_and(|size| size > 0) {
                    let _ = sender.send(String::from_utf8_lossy(&bytes).into_owned());
                }
            });
        }
    });
    let begun = timeout(OBSERVATION, begun.recv()).await;
    assert!(begun.is_err(), "{begun:?}");
    rig.until(|counters| counters.client_disconnects == 1).await;
}

/// Reads a request, answers with a part of a long reply, and stays silent.
async fn stop_in_reply(mut stream: TcpStream) -> Option<()> {
    read_message(&mut stream).await?;
    stream.write_all(b"HTTP/1.1 200 OK\r\ncontent-length: 20000\r\n\r\n").await.ok()?;
    stream.write_all(&[b'x'; 10_000]).await.ok()?;
    std::future::pending().await
}

/// Guards against an attempt of an upload that outlasts its client by far: its node stops in the middle of a
/// reply that is short enough to be buffered.
#[tokio::test]
async fn an_attempt_of_an_upload_ends_with_its_client_if_its_reply_stops() {
    let (listener, address) = listen().await;
    tokio::spawn(async move {
        while let Ok((stream, _)) = listener.accept().await {
            tokio::spawn(stop_in_reply(stream));
        }
    });
    let rig = rig(&[member("s0", address, 0, "in_service", 0)], None).await;
    let mut client = TcpStream::connect(rig.front).await.unwrap();
    let size = 100_000;
    client.write_all(write_head(1, size).as_bytes()).await.unwrap();
    client.write_all(&vec![b'x'; size]).await.unwrap();
    assert!(matches!(answer(&mut client).await.0, 502..=504));
    let until = Instant::now() + MAX_LATENESS;
    while rig.attempts.in_flight_count() > 0 {
        assert!(Instant::now() < until, "in flight after its client's time: {:?}", rig.attempts);
        sleep(Duration::from_millis(5)).await;
    }
}

/// Guards against an upload that has come whole and waits for a node without a time limit: there is no node
/// for its shard that it could be sent to.
#[tokio::test]
async fn an_upload_that_can_not_be_sent_is_answered_in_time() {
    let node = full_node().await;
    let rig = rig(&[member("s0", node.address, 0, "in_service", 0)], None).await;
    let mut client = TcpStream::connect(rig.front).await.unwrap();
    let size = 100_000;
    client.write_all(write_head(1, size).as_bytes()).await.unwrap();
    client.write_all(&vec![b'x'; size]).await.unwrap();
    let written_at = Instant::now();
    let (status, ..) = answer(&mut client).await;
    let waited = written_at.elapsed();
    assert!(matches!(status, 503 | 504), "{status}");
    assert!(waited <= Duration::from_millis(BUDGET_MS.into()) + MAX_LATENESS, "{waited:?}");
}
