//! Peers that send nothing for a while after the scheduler has held them back, as a system does that waits to
//! retransmit.

use std::time::Duration;

use heathward_core::OperatorCommand;
use rstest::rstest;
use tokio::io::{AsyncReadExt, AsyncWriteExt};
use tokio::net::{TcpListener, TcpStream};
use tokio::sync::oneshot;
use tokio::time::{sleep, timeout, Instant};

use heathward_fakes::*;

use crate::support::start_before;

/// The part of a reply that its node has sent before it is silent, in bytes: more than the system buffers for
/// a client that reads nothing.
const REPLY_PART_BYTES: usize = 1_500_000;
/// The length of the reply, in bytes.
const REPLY_BYTES: usize = 2_000_000;
/// How long a client reads nothing of the reply.
const REPLY_HOLD: Duration = Duration::from_secs(12);
/// How long the node is silent after that: longer than one that was not held back may be, and no longer than
/// one that was.
const REPLY_SILENCE: Duration = Duration::from_secs(14);
/// A node that was not held back is given up after this time without a byte.
const MAX_PAUSE: Duration = Duration::from_secs(10);
/// How exactly the time until a connection is closed can be measured.
const TOLERANCE: Duration = Duration::from_secs(2);
/// The end of a reply or of an answer arrives within this time.
const END_TIMEOUT: Duration = Duration::from_secs(60);

/// The part of an upload that its client has written before it is silent, in bytes: more than the system
/// buffers for a node that reads nothing.
const UPLOAD_PART_BYTES: usize = 12_000_000;
/// The length of the upload, in bytes.
const UPLOAD_BYTES: usize = 12_500_000;
/// How long the node reads nothing of the upload.
const UPLOAD_HOLD: Duration = Duration::from_secs(5);
/// How long the client is silent after that: longer than one that was not held back may be, and no longer
/// than one that was.
const UPLOAD_SILENCE: Duration = Duration::from_secs(6);

/// Answers one request with a part of a reply, and with the rest of it [`REPLY_SILENCE`] after `resumed`.
async fn pause_in_reply(listener: TcpListener, resumed: oneshot::Receiver<()>) {
    let (mut stream, _) = listener.accept().await.unwrap();
    read_message(&mut stream).await.unwrap();
    let head = format!("HTTP/1.1 200 OK\r\ncontent-length: {REPLY_BYTES}\r\n\r\n");
    stream.write_all(head.as_bytes()).await.unwrap();
    stream.write_all(&vec![b'x'; REPLY_PART_BYTES]).await.unwrap();
    resumed.await.unwrap();
    sleep(REPLY_SILENCE).await;
    // The scheduler may have closed the connection.
    let _ = stream.write_all(&vec![b'x'; REPLY_BYTES - REPLY_PART_BYTES]).await;
    let _ = read_message(&mut stream).await;
}

/// Reads all of an answer's body; returns how many bytes came.
async fn read_body(client: &mut TcpStream) -> usize {
    let mut received = Vec::new();
    let reading = async {
        while !received.ends_with(b"\r\n\r\n") {
            received.push(client.read_u8().await.unwrap());
        }
        let mut body_bytes = 0;
        let mut buffer = vec![0; 65_536];
        while body_bytes < REPLY_BYTES {
            match client.read(&mut buffer).await {
                Ok(size) if size > 0 => body_bytes += size,
                _ => break,
            }
        }
        body_bytes
    };
    timeout(END_TIMEOUT, reading).await.expect("the end of the answer")
}

/// What happens while a node is held back.
#[derive(Clone, Copy, Debug)]
enum Disruption {
    None,
    /// An operator drains the clients.
    Pause,
    /// The configuration is read again.
    Reload,
}

/// Guards against a reply that is cut off after 10 s although its node has not stopped: the node's system
/// could not send for longer than that, as its client was slow, and waits as long for its next attempt.
#[rstest]
#[tokio::test]
async fn a_node_that_was_held_back_may_be_silent_for_as_long(
    #[values(Disruption::None, Disruption::Pause, Disruption::Reload)] disruption: Disruption,
) {
    let (listener, address) = listen().await;
    let (resume, resumed) = oneshot::channel();
    tokio::spawn(pause_in_reply(listener, resumed));
    let program = start_before(address, &format!("held-back-node-{disruption:?}"));
    let mut client = TcpStream::connect(program.listen).await.unwrap();
    client.write_all(request("consulta", 1, 0, 1000, "").as_bytes()).await.unwrap();
    sleep(REPLY_HOLD).await;
    match disruption {
        Disruption::None => {}
        Disruption::Pause => program.command(OperatorCommand::Pause).await,
        Disruption::Reload => program.signal("-HUP"),
    }
    resume.send(()).unwrap();
    assert_eq!(read_body(&mut client).await, REPLY_BYTES);
}

/// Guards against a node that stops in its reply and is waited for without an end, as if it had been held
/// back.
#[tokio::test]
async fn a_node_that_was_not_held_back_is_given_up_in_time() {
    let (listener, address) = listen().await;
    let (resume, resumed) = oneshot::channel();
    tokio::spawn(pause_in_reply(listener, resumed));
    let program = start_before(address, "silent-node");
    let mut client = TcpStream::connect(program.listen).await.unwrap();
    client.write_all(request("consulta", 1, 0, 1000, "").as_bytes()).await.unwrap();
    resume.send(()).unwrap();
    let asked_at = Instant::now();
    assert_eq!(read_body(&mut client).await, REPLY_PART_BYTES);
    let waited = asked_at.elapsed();
    assert!(waited >= MAX_PAUSE && waited <= MAX_PAUSE + TOLERANCE, "{waited:?}");
}

/// Guards against an upload that is answered with 408 although its client has not stopped: the client's
/// system could not send, as the node did not read, and waits as long for its next attempt.
#[tokio::test]
async fn a_client_that_was_held_back_may_be_silent_for_as_long() {
    let (listener, address) = listen().await;
    let node = tokio::spawn(async move {
        let (mut stream, _) = listener.accept().await.unwrap();
        sleep(UPLOAD_HOLD).await;
        let (_, _, body) = read_message(&mut stream).await.unwrap();
        stream.write_all(b"HTTP/1.1 200 OK\r\ncontent-length: 2\r\n\r\nok").await.unwrap();
        body.len()
    });
    let program = start_before(address, "held-back-client");
    let mut client = TcpStream::connect(program.listen).await.unwrap();
    let head = request("pedido", 1, 0, 30_000, "");
    let head = head.replace("Content-Length: 0", &format!("Content-Length: {UPLOAD_BYTES}"));
    client.write_all(head.as_bytes()).await.unwrap();
    client.write_all(&vec![b'x'; UPLOAD_PART_BYTES]).await.unwrap();
    sleep(UPLOAD_SILENCE).await;
    client.write_all(&vec![b'x'; UPLOAD_BYTES - UPLOAD_PART_BYTES]).await.unwrap();
    assert_eq!(answer(&mut client).await.0, 200);
    assert_eq!(node.await.unwrap(), UPLOAD_BYTES);
}
