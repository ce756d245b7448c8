//! Bodies of any size and form, on real sockets.

use std::net::SocketAddr;
use std::time::Duration;

use rstest::rstest;
use tokio::io::{AsyncReadExt, AsyncWriteExt};
use tokio::net::TcpStream;
use tokio::sync::oneshot;
use tokio::time::{sleep, timeout};

use heathward_fakes::*;

const LONG_BODY: usize = 3 << 20;

/// Starts a node that receives one request, with a length or in chunks, reports its head and body, and
/// answers with these pieces one after the other.
async fn node(pieces: Vec<Vec<u8>>) -> (SocketAddr, oneshot::Receiver<(String, Vec<u8>)>) {
    let (listener, address) = listen().await;
    let (sender, received) = oneshot::channel();
    tokio::spawn(async move {
        let (mut stream, _) = listener.accept().await.unwrap();
        let (head, _, body) = read_message(&mut stream).await.unwrap();
        let _ = sender.send((head, body));
        for piece in pieces {
            // The client may have disconnected.
            let _ = stream.write_all(&piece).await;
            sleep(Duration::from_millis(2)).await;
        }
    });
    (address, received)
}

fn chunked(body: &[u8], size: usize) -> Vec<u8> {
    let chunk = |part: &[u8]| [format!("{:x}\r\n", part.len()).as_bytes(), part, b"\r\n"].concat();
    [body.chunks(size).flat_map(chunk).collect::<Vec<_>>(), b"0\r\nx-trailer: t\r\n\r\n".to_vec()].concat()
}

fn test_data(size: usize) -> Vec<u8> {
    (0..size).map(|index| (index * 31 % 251) as u8).collect()
}

/// Answers of every form, split at arbitrary positions.
#[rstest]
#[case::length("content-length: 3145728\r\n", false)]
#[case::chunks("transfer-encoding: chunked\r\n", true)]
#[case::until_closed("", false)]
#[tokio::test]
async fn a_long_answer_is_streamed_completely(#[case] framing: &str, #[case] chunks: bool) {
    let body = test_data(LONG_BODY);
    let sent = if chunks { chunked(&body, 70_001) } else { body.clone() };
    let mut pieces = vec![format!("HTTP/1.1 200 OK\r\n{framing}\r").into_bytes(), b"\n".to_vec()];
    pieces.extend(sent.chunks(500_003).map(<[u8]>::to_vec));
    let (address, _received) = node(pieces).await;
    let rig = rig(&[member("s0", address, 0, "in_service", 0)], None).await;
    let (status, _, received_bytes) = rig.ask(&request("consulta", 1, 0, 900, "")).await;
    assert!(status == 200 && received_bytes == body, "{status}, {} bytes", received_bytes.len());
}

/// Guards against an answer that looks complete to its client although its node broke it off, and against a
/// request that stays open, and so blocks its id, after that.
#[tokio::test]
async fn an_answer_cut_by_the_node_is_cut_for_the_client() {
    let head = b"HTTP/1.1 200 OK\r\ntransfer-encoding: chunked\r\n\r\n".to_vec();
    let part = chunked(&test_data(200_000), 100_000);
    let (address, _received) = node(vec![head, part[..150_000].to_vec()]).await;
    let rig = rig(&[member("s0", address, 0, "in_service", 0)], None).await;
    let mut stream = TcpStream::connect(rig.front).await.unwrap();
    stream.write_all(request("consulta", 1, 0, 900, "").as_bytes()).await.unwrap();
    let mut received_bytes = Vec::new();
    // Closed or reset.
    let _ = timeout(TEST_TIMEOUT, stream.read_to_end(&mut received_bytes))
        .await
        .expect("the end of the connection");
    assert!(
        received_bytes.starts_with(b"HTTP/1.1 200 OK") && !received_bytes.ends_with(b"0\r\n\r\n"),
        "{} bytes",
        received_bytes.len()
    );
    let metrics = rig.core.metrics().await.unwrap();
    assert_eq!((metrics.active_requests, metrics.counters.total_answers().served), (0, 1));
}

/// Bodies of every form: buffered or streamed, with or without a length, and so slow that sending takes
/// longer than the time budget.
#[rstest]
#[case::short_chunks(1000, true, 64)]
#[case::long(LONG_BODY, false, 400_000)]
#[case::long_chunks(LONG_BODY, true, 400_000)]
#[tokio::test]
async fn a_body_of_any_size_is_forwarded_completely(
    #[case] size: usize,
    #[case] chunks: bool,
    #[case] piece: usize,
) {
    let answer_text = b"HTTP/1.1 200 OK\r\ncontent-length: 2\r\n\r\nok".to_vec();
    let (address, received) = node(vec![answer_text]).await;
    let rig = rig(&[member("s0", address, 0, "in_service", 0)], None).await;
    let body = test_data(size);
    let sent = if chunks { chunked(&body, 9001) } else { body.clone() };
    let framing =
        if chunks { "Transfer-Encoding: chunked".to_owned() } else { format!("Content-Length: {size}") };
    let head = request("pedido", 1, 0, 300, "").replace("Content-Length: 0", &framing);
    let mut stream = TcpStream::connect(rig.front).await.unwrap();
    stream.write_all(head.as_bytes()).await.unwrap();
    for part in sent.chunks(piece) {
        stream.write_all(part).await.unwrap();
        // All parts together take longer than the client waits after its last byte.
        sleep(Duration::from_millis(50)).await;
    }
    let (status, _, received_bytes) = answer(&mut stream).await;
    assert_eq!((status, received_bytes.as_slice()), (200, b"ok".as_slice()));
    let (head, seen) = received.await.unwrap();
    assert!(seen == body, "{} bytes of {size}: {head}", seen.len());
    assert!(header(&head, "x-budget-ms").unwrap().parse::<u32>().unwrap() <= 300, "{head}");
    assert_eq!(rig.core.metrics().await.unwrap().counters.attempts_written, 1, "its last byte was written");
}

/// Guards against sending a part of a body a second time: a request whose body is streamed is attempted once.
#[tokio::test]
async fn a_streamed_body_is_not_sent_again() {
    let log = Log::default();
    let address = http_node(0, &[NodeBehavior::Error], &log).await;
    let rig = rig(&[member("s0", address, 0, "in_service", 0)], None).await;
    let body = "x".repeat(200_000);
    assert_eq!(rig.ask(&request("pedido", 1, 0, 900, &body)).await.0, 502);
    assert_eq!((log.all().len(), log.all()[0].body.len()), (1, 200_000));
}

/// A body that stops arriving is given up with status 408, and its request is no longer open, so that
/// its id is free again.
#[tokio::test]
async fn a_body_that_stalls_times_out() {
    let (address, _received) = node(Vec::new()).await;
    let rig = rig(&[member("s0", address, 0, "in_service", 0)], None).await;
    let text = request("pedido", 1, 0, 900, &"x".repeat(200_000));
    let mut stream = TcpStream::connect(rig.front).await.unwrap();
    stream.write_all(&text.as_bytes()[..100_000]).await.unwrap();
    assert_eq!(answer(&mut stream).await.0, 408);
    rig.until(|counters| counters.client_disconnects == 1).await;
    assert_eq!(rig.core.metrics().await.unwrap().active_requests, 0);
}

/// A node accepts the connection and reads nothing of a long body: its client is answered within the time
/// that it would wait for an answer and for a connection. Guards against an upload that is held up for as
/// long as the node hangs, and its client with it.
#[tokio::test]
async fn a_node_that_reads_nothing_of_a_long_body_times_out() {
    let (listener, address) = listen().await;
    let rig = rig(&[member("s0", address, 0, "in_service", 0)], None).await;
    let text = request("pedido", 1, 0, 300, &"x".repeat(30 << 20));
    let mut stream = TcpStream::connect(rig.front).await.unwrap();
    let (mut read, mut write) = stream.split();
    let writing = async {
        // Ends once the scheduler reads no more.
        let _ = write.write_all(text.as_bytes()).await;
        std::future::pending::<()>().await;
    };
    let mut first_bytes = [0; 12];
    tokio::select! {
        read = timeout(TEST_TIMEOUT, read.read_exact(&mut first_bytes)) => {
            assert_eq!(read.expect("an answer").unwrap(), first_bytes.len());
        }
        () = writing => {}
    }
    assert_eq!(&first_bytes, b"HTTP/1.1 503", "its last byte was never written");
    rig.until(|counters| counters.attempt_ends.iter().sum::<u64>() == 1).await;
    assert_eq!(rig.core.metrics().await.unwrap().active_requests, 0);
    drop(listener);
}
