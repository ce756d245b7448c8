//! The one place from which a request's first byte goes out, on a real socket.

use std::convert::Infallible;
use std::future::{ready, Ready};
use std::sync::Arc;
use std::task::{Context, Poll};

use bytes::Bytes;
use heathward_core::{endpoint_lease::LeaseExpiry, CoreMessage, SendGate};
use heathward_fakes::{attempt, config_text, listen, PATIENCE};
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

async fn pair() -> (TrackedStream, Arc<WriteProgress>, TcpStream) {
    let (listener, address) = listen().await;
    let near = TcpStream::connect(address).await.unwrap();
    let written = Arc::new(WriteProgress::default());
    (TrackedStream::new(near, written.clone()), written, listener.accept().await.unwrap().0)
}

/// What shuts the way to a node, or ends the wish to go there.
#[derive(Clone, Copy, Debug, PartialEq)]
enum Shuts {
    /// The list says that it drains.
    Drain,
    /// The list may no longer be gone by.
    Silence,
    /// The attempt's time is over, as it waited somewhere.
    Time,
    /// The client has left, or has its answer.
    Cancel,
}

/// Guards against an attempt that was decided before the news, and whose connection comes up after the grace:
/// nothing of it is written, whatever it has waited for; one that has begun goes on to its end. And against
/// one whose client has left: of that no byte more is written.
#[rstest]
#[tokio::test]
async fn no_first_byte_is_written_once_the_gate_is_closed_and_no_request_is_cut(
    #[values(Shuts::Drain, Shuts::Silence, Shuts::Time, Shuts::Cancel)] shuts: Shuts,
    #[values(0, 1, 7)] before: usize,
) {
    let (mut near, written, mut far) = pair().await;
    let (end, moment) = (LeaseExpiry::new(Instant::now()), Instant::now() + Duration::from_millis(20));
    let gate = SendGate::new(end.clone());
    let until = if shuts == Shuts::Time { moment } else { moment + PATIENCE };
    let attempt = attempt(gate.clone(), until);
    written.begin(0, attempt.clone());
    near.write_all(&HEAD[..before]).await.unwrap();
    match shuts {
        Shuts::Drain => gate.set_closed(true),
        Shuts::Silence => {
            end.set(Some(moment));
            sleep_until(moment).await;
        }
        Shuts::Time => sleep_until(moment).await,
        Shuts::Cancel => attempt.cancel.cancel(),
    }
    let rest = near.write_all(&HEAD[before..]).await;
    let stopped = before == 0 || shuts == Shuts::Cancel;
    assert_eq!((rest.is_err(), written.is_withheld(), written.is_complete()), (stopped, stopped, !stopped));
    // Not even where the way opens again meanwhile: the attempt has been told as never sent.
    gate.set_closed(false);
    end.set(None);
    assert_eq!(near.write_all(HEAD).await.is_err(), stopped);
    drop(near);
    let mut came = Vec::new();
    far.read_to_end(&mut came).await.unwrap();
    let whole = if stopped { before } else { 2 * HEAD.len() };
    assert_eq!(came.len(), whole, "{came:?}");
}

/// What a node does on a connection that has carried a request, in the very moment in which the next is due.
#[derive(Clone, Copy, Debug, PartialEq)]
enum Crosses {
    Nothing,
    SecondAnswer,
    HalfALine,
    Close,
}

/// The runtime has not been told of it, as nothing here waits for the socket: only the system knows. Guards
/// against a second answer that is taken for that of the next request, and against a request that may have
/// run for want of a look at a connection that was closed before.
#[rstest]
#[tokio::test]
async fn a_connection_with_unexpected_bytes_takes_no_further_request(
    #[values(Crosses::Nothing, Crosses::SecondAnswer, Crosses::HalfALine, Crosses::Close)] crosses: Crosses,
) {
    let (mut near, written, mut far) = pair().await;
    let attempt = attempt(SendGate::default(), Instant::now() + PATIENCE);
    written.begin(0, attempt.clone());
    near.write_all(HEAD).await.unwrap();
    far.write_all(b"first").await.unwrap();
    let mut answer = [0; 5];
    near.read_exact(&mut answer).await.unwrap();
    let far = far.into_std().unwrap();
    let text: &[u8] = match crosses {
        Crosses::SecondAnswer => b"HTTP/1.1 200 OK\r\ncontent-length: 0\r\n\r\n",
        Crosses::HalfALine => b"HT",
        Crosses::Nothing | Crosses::Close => b"",
    };
    std::io::Write::write_all(&mut &far, text).unwrap();
    if crosses == Crosses::Close {
        far.shutdown(std::net::Shutdown::Both).unwrap();
    }
    written.begin(0, attempt);
    let sound = crosses == Crosses::Nothing;
    assert_eq!(near.write_all(HEAD).await.is_ok(), sound);
    assert_eq!((written.is_stale(), written.is_withheld(), written.is_complete()), (!sound, false, sound));
}

/// A connection that is never closed.
struct Kept;

impl Connection for Kept {
    const SOCKETS: usize = 1;

    fn poll_closed(&mut self, _: &mut Context<'_>) -> Poll<()> {
        Poll::Pending
    }
}

/// Serves at once, and tells of each attempt whether it came on a kept connection.
struct AtOnce(mpsc::UnboundedSender<bool>);

impl tower::Service<LinkRequest<Kept>> for AtOnce {
    type Response = LinkResponse<Kept>;
    type Error = Infallible;
    type Future = Ready<Result<LinkResponse<Kept>, Infallible>>;

    fn poll_ready(&mut self, _: &mut Context<'_>) -> Poll<Result<(), Infallible>> {
        Poll::Ready(Ok(()))
    }

    fn call(&mut self, job: LinkRequest<Kept>) -> Self::Future {
        self.0.send(job.idle_connection.is_some()).unwrap();
        ready(Ok(LinkResponse::reusable(
            AttemptEnd::Served,
            Bytes::new(),
            job.idle_connection.unwrap_or(Kept),
        )))
    }
}

/// "A second answer may come some milliseconds later": guards against a connection that is in use again by
/// then. Of those that have rested one is used, and none is opened.
#[tokio::test(start_paused = true)]
async fn a_connection_pauses_after_an_answer_before_the_next_attempt() {
    let config = config_text("127.0.0.1:1", "127.0.0.1:1", "");
    let deployment = heathward_config::parse_configuration(&config).unwrap().deployment;
    let (_keep, limits) = watch::channel(PoolLimits::new(&deployment, 16, 8));
    let (tell, mut kept) = mpsc::unbounded_channel();
    let (core, mut ended) = mpsc::channel(16);
    let node = node::spawn(AtOnce(tell), ConnectionPool::new(limits), core);
    for (pause, reused) in
        [(0, false), (0, false), (4, false), (1, true), (5, true), (1, true), (1, true), (1, false)]
    {
        tokio::time::sleep(Duration::from_millis(pause)).await;
        node.send(attempt(SendGate::default(), Instant::now() + PATIENCE)).await.unwrap();
        let message = ended.recv().await;
        assert!(matches!(message, Some(CoreMessage::AttemptEnded(ended)) if ended.end == AttemptEnd::Served));
        assert_eq!(kept.recv().await, Some(reused), "after {pause} ms");
    }
}
