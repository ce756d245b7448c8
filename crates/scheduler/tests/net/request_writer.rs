//! The only place from which the first byte of a request is written, tested on a real socket.

use std::convert::Infallible;
use std::future::{ready, Ready};
use std::sync::Arc;
use std::task::{Context, Poll};

use bytes::Bytes;
use heathward_core::{endpoint_lease::LeaseExpiry, CoreMessage, SendGate};
use heathward_fakes::{attempt, config_text, listen, TEST_TIMEOUT};
use heathward_policy::AttemptEnd;
use heathward_transport::node::{
    self, Connection, ConnectionPool, LinkRequest, LinkResponse, PoolLimits, TrackedStream, WriteProgress,
};
use rstest::rstest;
use tokio::io::{AsyncReadExt, AsyncWriteExt};
use tokio::net::TcpStream;
use tokio::sync::{mpsc, watch};
use tokio::time::{sleep_until, Duration, Instant};

const HEAD: &[u8] = b"GET / HTTP/1.1\r\n\r\n";

async fn connected_pair() -> (TrackedStream, Arc<WriteProgress>, TcpStream) {
    let (listener, address) = listen().await;
    let client = TcpStream::connect(address).await.unwrap();
    let written = Arc::new(WriteProgress::default());
    (TrackedStream::new(client, written.clone()), written, listener.accept().await.unwrap().0)
}

/// What closes the send gate of a node, or ends the attempt.
#[derive(Clone, Copy, Debug, PartialEq)]
enum Closing {
    /// The endpoint list marks the node as draining.
    Drain,
    /// The endpoint lease has expired.
    LeaseExpiry,
    /// The deadline of the attempt has passed while it waited.
    Deadline,
    /// The client has disconnected, or has its answer.
    Cancel,
}

/// Guards against an attempt that was decided on before the node's state changed, and whose connection is
/// established after the grace period: no byte of it is written, whatever it waited for, but an attempt that
/// has begun is completed. Also guards against an attempt whose client has disconnected: no further byte of
/// it is written.
#[rstest]
#[tokio::test]
async fn no_first_byte_is_written_once_the_gate_is_closed_and_no_request_is_cut(
    #[values(Closing::Drain, Closing::LeaseExpiry, Closing::Deadline, Closing::Cancel)] closing: Closing,
    #[values(0, 1, 7)] before: usize,
) {
    let (mut client, written, mut server) = connected_pair().await;
    let (lease_expiry, close_at) =
        (LeaseExpiry::new(Instant::now()), Instant::now() + Duration::from_millis(20));
    let gate = SendGate::new(lease_expiry.clone());
    let deadline = if closing == Closing::Deadline { close_at } else { close_at + TEST_TIMEOUT };
    let attempt = attempt(gate.clone(), deadline);
    written.begin(0, attempt.clone());
    client.write_all(&HEAD[..before]).await.unwrap();
    match closing {
        Closing::Drain => gate.set_closed(true),
        Closing::LeaseExpiry => {
            lease_expiry.set(Some(close_at));
            sleep_until(close_at).await;
        }
        Closing::Deadline => sleep_until(close_at).await,
        Closing::Cancel => attempt.cancel.cancel(),
    }
    let rest = client.write_all(&HEAD[before..]).await;
    let stopped = before == 0 || closing == Closing::Cancel;
    assert_eq!((rest.is_err(), written.is_withheld(), written.is_complete()), (stopped, stopped, !stopped));
    // Not even if the gate opens again meanwhile: the attempt has been reported as never sent.
    gate.set_closed(false);
    lease_expiry.set(None);
    assert_eq!(client.write_all(HEAD).await.is_err(), stopped);
    drop(client);
    let mut received = Vec::new();
    server.read_to_end(&mut received).await.unwrap();
    let expected_bytes = if stopped { before } else { 2 * HEAD.len() };
    assert_eq!(received.len(), expected_bytes, "{received:?}");
}

/// Guards against a chunked request that counts as never written, and so as never executed, because its last
/// bytes were accepted by the socket in two parts.
#[rstest]
#[tokio::test]
async fn a_chunked_request_is_complete_with_its_last_byte_wherever_its_writes_are_split(
    #[values("", "5\r\nhello\r\n", "4\r\n\r\n\r\n\r\n")] chunks: &str,
) {
    let request = [HEAD, chunks.as_bytes(), b"0\r\n\r\n"].concat();
    for split in 1..request.len() {
        let (mut client, written, _server) = connected_pair().await;
        written.begin(None, attempt(SendGate::default(), Instant::now() + TEST_TIMEOUT));
        written.mark_body_end();
        client.write_all(&request[..split]).await.unwrap();
        client.write_all(&request[split..]).await.unwrap();
        assert!(written.is_complete(), "split after {split} of {} bytes", request.len());
    }
}

/// What a node does on a connection that has carried a request, at the moment at which the next request is
/// due.
#[derive(Clone, Copy, Debug, PartialEq)]
enum NodeEvent {
    Nothing,
    SecondAnswer,
    PartialLine,
    Close,
}

/// The runtime has not polled the socket, as no task waits for it: only the system knows of the event. Guards
/// against a second answer that is taken for that of the next request, and against a request that counts as
/// possibly executed because a connection that was closed earlier was not checked.
#[rstest]
#[tokio::test]
async fn a_connection_with_unexpected_bytes_takes_no_further_request(
    #[values(NodeEvent::Nothing, NodeEvent::SecondAnswer, NodeEvent::PartialLine, NodeEvent::Close)]
    node_event: NodeEvent,
) {
    let (mut client, written, mut server) = connected_pair().await;
    let attempt = attempt(SendGate::default(), Instant::now() + TEST_TIMEOUT);
    written.begin(0, attempt.clone());
    client.write_all(HEAD).await.unwrap();
    server.write_all(b"first").await.unwrap();
    let mut answer = [0; 5];
    client.read_exact(&mut answer).await.unwrap();
    let server = server.into_std().unwrap();
    let text: &[u8] = match node_event {
        NodeEvent::SecondAnswer => b"HTTP/1.1 200 OK\r\ncontent-length: 0\r\n\r\n",
        NodeEvent::PartialLine => b"HT",
        NodeEvent::Nothing | NodeEvent::Close => b"",
    };
    std::io::Write::write_all(&mut &server, text).unwrap();
    if node_event == NodeEvent::Close {
        server.shutdown(std::net::Shutdown::Both).unwrap();
    }
    written.begin(0, attempt);
    let usable = node_event == NodeEvent::Nothing;
    assert_eq!(client.write_all(HEAD).await.is_ok(), usable);
    assert_eq!((written.is_stale(), written.is_withheld(), written.is_complete()), (!usable, false, usable));
}

/// A connection that is never closed.
struct KeptConnection;

impl Connection for KeptConnection {
    const SOCKETS: usize = 1;

    fn poll_closed(&mut self, _: &mut Context<'_>) -> Poll<()> {
        Poll::Pending
    }
}

/// Serves each attempt at once, and reports whether it used a kept connection.
struct ImmediateService(mpsc::UnboundedSender<bool>);

impl tower::Service<LinkRequest<KeptConnection>> for ImmediateService {
    type Response = LinkResponse<KeptConnection>;
    type Error = Infallible;
    type Future = Ready<Result<LinkResponse<KeptConnection>, Infallible>>;

    fn poll_ready(&mut self, _: &mut Context<'_>) -> Poll<Result<(), Infallible>> {
        Poll::Ready(Ok(()))
    }

    fn call(&mut self, request: LinkRequest<KeptConnection>) -> Self::Future {
        self.0.send(request.idle_connection.is_some()).unwrap();
        request.attempt.mark_written();
        ready(Ok(LinkResponse::reusable(
            AttemptEnd::Served,
            Bytes::new(),
            request.idle_connection.unwrap_or(KeptConnection),
        )))
    }
}

/// A node may send a second answer some milliseconds after the first: guards against a connection that has
/// been reused by then. An idle connection that has paused for long enough is reused before a new one is
/// opened.
#[tokio::test(start_paused = true)]
async fn a_connection_pauses_after_an_answer_before_the_next_attempt() {
    let config = config_text("127.0.0.1:1", "127.0.0.1:1", "");
    let deployment = heathward_config::parse_configuration(&config).unwrap().deployment;
    let (_keep, limits) = watch::channel(PoolLimits::new(&deployment, 16, 8));
    let (sender, mut reused_flags) = mpsc::unbounded_channel();
    let (core, mut ended) = mpsc::channel(16);
    let node = node::spawn(ImmediateService(sender), ConnectionPool::new(limits), core);
    for (pause, reused) in
        [(0, false), (0, false), (4, false), (1, true), (5, true), (1, true), (1, true), (1, false)]
    {
        tokio::time::sleep(Duration::from_millis(pause)).await;
        let attempt = attempt(SendGate::default(), Instant::now() + TEST_TIMEOUT);
        node.send(Box::new(attempt)).await.unwrap();
        let message = ended.recv().await;
        assert!(matches!(message, Some(CoreMessage::AttemptEnded(ended)) if ended.end == AttemptEnd::Served));
        assert_eq!(reused_flags.recv().await, Some(reused), "after {pause} ms");
    }
}
