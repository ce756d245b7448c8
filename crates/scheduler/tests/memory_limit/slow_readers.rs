//! Clients that read long answers at the slowest pace that the pages allow, with the least memory that they
//! name.

use std::net::SocketAddr;
use std::sync::LazyLock;
use std::time::Duration;

use heathward_core::OperatorCommand;
use heathward_fakes::*;
use rstest::rstest;
use tokio::io::{AsyncReadExt, AsyncWriteExt};
use tokio::net::TcpStream;
use tokio::task::JoinSet;
use tokio::time::{sleep, sleep_until, timeout, Instant};

use crate::crowd::MAX_SOCKETS;
use crate::fixture::*;
use crate::http::shard;
use crate::upgrade::joint_memory_kb;

/// Clients that read slowly: as many as the debug build has memory for.
const READERS: usize = 240;
/// The time between two of them.
const ARRIVAL_INTERVAL: Duration = Duration::from_millis(3);
/// How fast each of them reads, in bytes per second.
const BYTES_PER_SECOND: f64 = 65_536.0;
/// How long they read. The system takes nothing more for some of them for 20 s meanwhile.
const READING: Duration = Duration::from_secs(30);
/// Length of an answer: more than they read in this time and the system buffers.
const ANSWER_BYTES: usize = 6_000_000;
/// A node writes the first pieces of a long answer slowly, so that all readers get a connection.
const SLOW_PIECES: usize = 25;
const PIECE_BYTES: usize = 4096;
const PIECE_PAUSE: Duration = Duration::from_millis(100);
/// Length of the answers of clients that read at once. They are streamed.
const OTHER_ANSWER_BYTES: usize = 200_000;
/// The time between two of those clients, and how many there are.
const OTHER_INTERVAL: Duration = Duration::from_millis(500);
const OTHERS: usize = 40;
/// When something happens beside the readers: all of them have begun.
const OPERATION_DELAY: Duration = Duration::from_secs(4);
/// An answer may not be held back for longer.
const MAX_HELD_BACK: Duration = Duration::from_secs(2);

/// Answers requests with [`OTHER_ANSWER_BYTES`], or slowly at first with [`ANSWER_BYTES`].
async fn serve_long_answers(mut stream: TcpStream) {
    static ANSWER: LazyLock<Vec<u8>> = LazyLock::new(|| vec![b'x'; ANSWER_BYTES]);
    let answer = &*ANSWER;
    while let Some((head, _)) = read_head(&mut stream).await {
        let is_other = head.contains(&format!("bytes={OTHER_ANSWER_BYTES}"));
        let length = if is_other { OTHER_ANSWER_BYTES } else { ANSWER_BYTES };
        let answer_head = format!("HTTP/1.1 200 OK\r\ncontent-length: {length}\r\n\r\n");
        if stream.write_all(answer_head.as_bytes()).await.is_err() {
            return;
        }
        let slow_bytes = if is_other { 0 } else { SLOW_PIECES * PIECE_BYTES };
        write_in_pieces(&mut stream, &answer[..slow_bytes], PIECE_BYTES, PIECE_PAUSE).await;
        if stream.write_all(&answer[slow_bytes..length]).await.is_err() {
            return;
        }
    }
}

/// Returns a read whose target names the length of its answer.
fn read_request(call: usize, length: usize) -> String {
    let text = request("consulta", call as u32, shard(call), 5000, "");
    text.replace("?v=1", &format!("?bytes={length}"))
}

/// Reads an answer at [`BYTES_PER_SECOND`] for [`READING`]; returns the error if it ends before that.
async fn read_slowly(listen: SocketAddr, call: usize) -> Result<(), String> {
    let mut stream = connect_with_small_buffer(listen).await;
    stream.write_all(read_request(call, ANSWER_BYTES).as_bytes()).await.unwrap();
    let (head, body) = read_head(&mut stream).await.ok_or("no answer")?;
    if !head.starts_with("http/1.1 200") {
        return Err(head);
    }
    let (began_at, mut received, mut piece) = (Instant::now(), body.len(), [0; PIECE_BYTES]);
    while began_at.elapsed() < READING {
        sleep_until(began_at + Duration::from_secs_f64(received as f64 / BYTES_PER_SECOND)).await;
        match timeout(MAX_HELD_BACK, stream.read(&mut piece)).await {
            Ok(Ok(size)) if size > 0 => received += size,
            ended => return Err(format!("{ended:?} after {received} bytes, {:?}", began_at.elapsed())),
        }
    }
    Ok(())
}

/// Reads a shorter answer as fast as it arrives; returns how long that took.
async fn read_at_once(listen: SocketAddr, call: usize) -> Duration {
    let (began_at, mut stream) = (Instant::now(), TcpStream::connect(listen).await.unwrap());
    stream.write_all(read_request(call, OTHER_ANSWER_BYTES).as_bytes()).await.unwrap();
    let (status, body) = receive_answer(&mut stream).await.expect("a complete answer");
    assert_eq!((status, body.len()), (200, OTHER_ANSWER_BYTES), "{}", String::from_utf8_lossy(&body));
    began_at.elapsed()
}

/// Starts the clients that read slowly.
fn start_readers(listen: SocketAddr) -> JoinSet<Result<(), String>> {
    let mut readers = JoinSet::new();
    for call in 0..READERS {
        readers.spawn(async move {
            sleep(ARRIVAL_INTERVAL * call as u32).await;
            read_slowly(listen, call).await
        });
    }
    readers
}

/// Asserts that no client that reads slowly has lost its answer.
async fn assert_all_read(readers: JoinSet<Result<(), String>>) {
    let failures: Vec<_> = readers.join_all().await.into_iter().filter_map(Result::err).collect();
    assert!(failures.is_empty(), "{} of {READERS}: {:?}", failures.len(), failures.first());
}

/// Guards against slow readers that hold all memory for chunks while the system takes no more for them: their
/// answers and those of clients that read at once were cut off after 15 s.
#[tokio::test]
async fn slow_readers_get_their_answers_and_hold_up_no_others() {
    let _turn = turn().await;
    let (instance, program) = start_with_sockets(serve_long_answers, MAX_SOCKETS).await;
    let (listen, readers) = (instance.listen, start_readers(instance.listen));
    let mut slowest = Duration::ZERO;
    for other in 0..OTHERS {
        sleep(OTHER_INTERVAL).await;
        slowest = slowest.max(read_at_once(listen, READERS + other).await);
    }
    assert_all_read(readers).await;
    assert_within_limit(&program).await;
    println!("{slowest:?} at most for an answer that is read at once");
    assert!(slowest <= MAX_HELD_BACK, "{slowest:?}");
}

/// What happens beside slow readers.
#[derive(Clone, Copy, Debug, PartialEq)]
enum Operation {
    /// The configuration is read again, and an operator drains the clients.
    ReloadAndPause,
    /// Another process takes over, and both share the limit.
    Upgrade,
}

/// Guards against slow readers that lose their answers, or memory beyond the limit, when the limits on memory
/// are divided anew or clients are drained.
#[rstest]
#[tokio::test]
async fn slow_readers_get_their_answers_beside(
    #[values(Operation::ReloadAndPause, Operation::Upgrade)] operation: Operation,
) {
    let _turn = turn().await;
    let (instance, mut program) = start_with_sockets(serve_long_answers, MAX_SOCKETS).await;
    let readers = start_readers(instance.listen);
    sleep(OPERATION_DELAY).await;
    let mut new = None;
    match operation {
        Operation::ReloadAndPause => {
            program.signal("-HUP");
            program.until("configuration reloaded");
            program.command(OperatorCommand::Pause).await;
        }
        Operation::Upgrade => {
            new = Some(instance.start());
            program.until("peer process: serving");
        }
    }
    let mut peak_kb = 0;
    for other in 0..OTHERS {
        sleep(OTHER_INTERVAL).await;
        read_at_once(instance.listen, READERS + other).await;
        peak_kb = peak_kb.max(new.as_ref().map_or(0, |new| joint_memory_kb(&program, new)));
    }
    assert_all_read(readers).await;
    println!("{peak_kb} kB at most in two processes");
    assert!(peak_kb <= MEMORY_MB * 1024, "over {MEMORY_MB} MB together: {peak_kb} kB");
    assert_within_limit(&program).await;
}
