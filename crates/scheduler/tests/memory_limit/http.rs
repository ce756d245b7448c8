//! Bodies and replies over HTTP.

use std::net::SocketAddr;
use std::ops::Range;
use std::sync::Arc;
use std::time::Duration;

use heathward_fakes::*;
use rstest::rstest;
use tokio::io::{AsyncReadExt, AsyncWriteExt};
use tokio::net::TcpStream;
use tokio::sync::Barrier;
use tokio::task::JoinSet;
use tokio::time::sleep;

use crate::fixture::*;

/// The time for which a client of the protocol waits after its last byte, in milliseconds.
const BUDGET_MS: u32 = 5000;
/// A stall in which the memory fills up; an attempt with a streamed body is not given up in it.
const LONG_STALL: Duration = Duration::from_secs(1);
/// A stall that is shorter than any attempt with a buffered body lasts before it is given up.
const SHORT_STALL: Duration = Duration::from_millis(200);
/// The time between two requests.
const ARRIVAL_INTERVAL: Duration = Duration::from_millis(8);
/// A body that is streamed, at a pace that lets all clients be there before the first has sent half of it.
pub const LONG_BODY: Upload = Upload { size: 400_000, piece: 4000, pause: Duration::from_millis(20) };
/// A body that is streamed, as fast as it is read.
const FAST_BODY: Upload = Upload { size: 400_000, piece: 400_000, pause: Duration::ZERO };
/// A body that is buffered while there is memory.
const SHORT_BODY: Upload = Upload { size: 65_000, piece: 65_000, pause: Duration::ZERO };

pub fn shard(call: usize) -> i32 {
    (call % SHARDS as usize) as i32
}

pub fn write_request(call: usize, body: usize) -> String {
    let head = request("pedido", call as u32, shard(call), BUDGET_MS, "");
    head.replace("Content-Length: 0", &format!("Content-Length: {body}"))
}

/// Reads requests and answers each at once.
pub async fn serve_all(mut stream: TcpStream) {
    while read_message(&mut stream).await.is_some() {
        if stream.write_all(b"HTTP/1.1 200 OK\r\ncontent-length: 2\r\n\r\nok").await.is_err() {
            return;
        }
    }
}

/// Reads the head of each request, nothing for this long, and then all of it.
async fn serve_after_a_stall(mut stream: TcpStream, stall: Duration) {
    while let Some((head, body)) = read_head(&mut stream).await {
        sleep(stall).await;
        let length: usize = header(&head, "content-length").unwrap().parse().unwrap();
        let mut rest = vec![0; length - body.len()];
        if stream.read_exact(&mut rest).await.is_err() {
            return;
        }
        if stream.write_all(b"HTTP/1.1 200 OK\r\ncontent-length: 2\r\n\r\nok").await.is_err() {
            return;
        }
    }
}

/// Plays clients that send half of a body, wait until all of them have and `finish` opens, and send the rest.
/// Returns how often each status was answered.
pub async fn upload_beside(
    listen: SocketAddr,
    clients: Range<usize>,
    upload: Upload,
    opened: Arc<Barrier>,
    finish: Arc<Barrier>,
) -> Arc<Statuses> {
    let (statuses, mut running) = (Arc::<Statuses>::default(), JoinSet::new());
    let Upload { size, piece, pause } = upload;
    for call in clients.clone() {
        let (statuses, opened, finish) = (statuses.clone(), opened.clone(), finish.clone());
        let arrival = ARRIVAL_INTERVAL * (call - clients.start) as u32;
        running.spawn(async move {
            sleep(arrival).await;
            let mut stream = TcpStream::connect(listen).await.unwrap();
            stream.write_all(write_request(call, size).as_bytes()).await.unwrap();
            let body = vec![b'x'; size];
            let (first, last) = body.split_at(size / 2);
            write_in_pieces(&mut stream, first, piece, pause).await;
            opened.wait().await;
            finish.wait().await;
            write_in_pieces(&mut stream, last, piece, pause).await;
            statuses.add(receive_answer(&mut stream).await.expect("an answer").0);
        });
    }
    running.join_all().await;
    statuses
}

/// How a client sends a body.
#[derive(Clone, Copy)]
pub struct Upload {
    /// Length of the body, in bytes.
    pub size: usize,
    /// Bytes that are sent at a time.
    pub piece: usize,
    /// The pause after each piece.
    pub pause: Duration,
}

/// Plays clients that all hold half of a body until each of them does; returns how often each status was
/// answered.
async fn upload(instance: &Instance, upload: Upload) -> Arc<Statuses> {
    let (opened, finish) = (Arc::new(Barrier::new(CLIENTS)), Arc::new(Barrier::new(CLIENTS)));
    upload_beside(instance.listen, 0..CLIENTS, upload, opened, finish).await
}

/// Guards against long bodies whose first part is kept for as long as their request is open, and once more in
/// the buffer of the connection to its node.
#[tokio::test]
async fn long_bodies_of_many_clients_are_served_within_the_limit_of_memory() {
    let _turn = turn().await;
    let (instance, program) = start(serve_all).await;
    let statuses = upload(&instance, LONG_BODY).await;
    assert_eq!(statuses.count(200), CLIENTS, "{statuses:?}");
    assert_within_limit(&program).await;
}

/// Guards against long bodies that fill the memory while their nodes do not read.
#[tokio::test]
async fn long_bodies_at_nodes_that_stall_are_served_within_the_limit_of_memory() {
    let _turn = turn().await;
    let (instance, program) = start(|stream| serve_after_a_stall(stream, LONG_STALL)).await;
    let statuses = upload(&instance, FAST_BODY).await;
    assert_eq!(statuses.count(200), CLIENTS, "{statuses:?}");
    assert_within_limit(&program).await;
}

/// Guards against bodies that are short enough to be kept for another attempt, and fill the memory together.
/// Some may be shed, as all of them come at once, but each client gets an answer.
#[tokio::test]
async fn buffered_bodies_of_many_clients_stay_within_the_limit_of_memory() {
    let _turn = turn().await;
    let (instance, program) = start(|stream| serve_after_a_stall(stream, SHORT_STALL)).await;
    let statuses = upload(&instance, SHORT_BODY).await;
    assert_within_limit(&program).await;
    let (served, shed) = (statuses.count(200), statuses.count(503));
    assert!(served + shed == CLIENTS && served > 0, "{statuses:?}");
}

/// Guards against replies that fill the memory while their clients do not read. Replies of 60,000 bytes are
/// short enough to be buffered; the others are streamed.
#[rstest]
#[case::buffered(60_000, true)]
#[case::long(1_000_000, true)]
#[case::without_a_length(1_000_000, false)]
#[tokio::test]
async fn replies_to_slow_readers_stay_within_the_limit_of_memory(
    #[case] size: usize,
    #[case] has_length: bool,
) {
    let _turn = turn().await;
    let body: Arc<[u8]> = (0..size).map(|index| (index * 31 % 251) as u8).collect();
    let reply = body.clone();
    let (instance, program) = start(move |mut stream: TcpStream| {
        let reply = reply.clone();
        async move {
            let length = if has_length { format!("content-length: {size}\r\n") } else { String::new() };
            let head = format!("HTTP/1.1 200 OK\r\n{length}\r\n");
            while read_message(&mut stream).await.is_some() {
                let _ = stream.write_all(head.as_bytes()).await;
                let _ = stream.write_all(&reply).await;
                if !has_length {
                    return;
                }
            }
        }
    })
    .await;
    let barrier = Arc::new(Barrier::new(CLIENTS));
    let mut clients = JoinSet::new();
    for call in 0..CLIENTS {
        let (barrier, body, listen) = (barrier.clone(), body.clone(), instance.listen);
        clients.spawn(async move {
            sleep(ARRIVAL_INTERVAL * call as u32).await;
            let mut stream = connect_with_small_buffer(listen).await;
            let read = request("consulta", call as u32, shard(call), BUDGET_MS, "");
            stream.write_all(read.as_bytes()).await.unwrap();
            barrier.wait().await;
            sleep(Duration::from_secs(1)).await;
            let (status, received) = receive_answer(&mut stream).await.expect("an answer");
            assert!(status == 200 && received == *body, "{status}, {} bytes", received.len());
        });
    }
    clients.join_all().await;
    assert_within_limit(&program).await;
}

/// Guards against connections that keep a large buffer while they are closed: each client sends far more than
/// is read of its request.
#[tokio::test]
async fn rejected_bodies_stay_within_the_limit_of_memory() {
    let _turn = turn().await;
    let (instance, program) = start(serve_all).await;
    let mut clients = JoinSet::new();
    for call in 0..CLIENTS {
        let listen = instance.listen;
        clients.spawn(async move {
            sleep(ARRIVAL_INTERVAL * call as u32).await;
            let mut stream = TcpStream::connect(listen).await.unwrap();
            stream.write_all(write_request(call, 60_000_000).as_bytes()).await.unwrap();
            let body = vec![b'x'; 1_000_000];
            // The scheduler closes the connection before all of it was sent.
            let _ = stream.write_all(&body).await;
        });
    }
    clients.join_all().await;
    assert_within_limit(&program).await;
}
