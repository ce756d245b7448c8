//! Hundreds of clients at once, with the least memory and the most descriptors that the pages name.

use std::net::SocketAddr;
use std::time::Duration;

use heathward_fakes::*;
use rstest::rstest;
use tokio::io::{AsyncReadExt, AsyncWriteExt};
use tokio::net::TcpStream;
use tokio::task::JoinSet;
use tokio::time::{sleep, timeout, Instant};

use crate::fixture::*;
use crate::http::{serve_all, shard, write_request};

/// The most descriptors that the pages name.
pub const MAX_SOCKETS: usize = 1024;
/// More clients than there is memory for, if each has a connection to a node as well.
const UPLOADS: usize = 470;
/// At least this many of them are served: the debug build takes 5 MB more than the release build.
pub const MIN_SERVED: usize = 150;
/// Clients of each kind in the mixed crowd.
const MIXED: usize = 80;
/// The time between two clients of a crowd.
pub const ARRIVAL_INTERVAL: Duration = Duration::from_millis(3);
/// A client that does not go on gets its error or the end of its connection within this time.
const ERROR_TIMEOUT: Duration = Duration::from_secs(3);
/// What the machine may add to that while all clients run on it.
const SLACK: Duration = Duration::from_millis(500);
/// Clients that send writes of ever new volumes, with ever new ids and keys, each on one connection.
const NAMING_CLIENTS: usize = 4;
/// How many writes each of them sends: all together name more volumes and more ids than are remembered.
const NAMED_WRITES: usize = 10_000;
/// How many of them it sends at a time: they fit into what is read ahead of an answer.
const NAMED_BATCH: usize = 20;
/// Clients at a time that keep their pace: a third of the descriptors.
const PACED: usize = MAX_SOCKETS / 3;
/// Clients beside them that stop halfway.
const STOPPED: usize = 135;
/// Clients that keep their pace beside heads that never end.
const PACED_BESIDE_HEADS: usize = 150;
/// More heads than there are places beside those clients.
const ENDLESS_HEADS: usize = 450;
/// The heads begin once those clients have all begun.
const HEADS_DELAY: Duration = Duration::from_millis(1200);
/// Length of the replies that are read slowly, in bytes.
const REPLY: usize = 1_000_000;

/// Sends a body at this pace, and returns the status of its answer.
pub async fn upload(listen: SocketAddr, call: usize, size: usize, piece: usize, pause: Duration) -> u16 {
    upload_of_shard(listen, call, shard(call), size, piece, pause).await
}

/// The same for a shard.
pub async fn upload_of_shard(
    listen: SocketAddr,
    call: usize,
    shard_of_call: i32,
    size: usize,
    piece: usize,
    pause: Duration,
) -> u16 {
    let mut stream = TcpStream::connect(listen).await.unwrap();
    let own = format!("shard={}", shard(call));
    let head = write_request(call, size).replace(&own, &format!("shard={shard_of_call}"));
    stream.write_all(head.as_bytes()).await.unwrap();
    write_in_pieces(&mut stream, &vec![b'x'; size], piece, pause).await;
    receive_answer(&mut stream).await.expect("an answer").0
}

/// Guards against connections that are not counted against the memory: clients that write 64 kB a second, in
/// large or small pieces, each with a connection to a node.
#[rstest]
#[case::large_pieces(300_000, 64_000, Duration::from_secs(1))]
#[case::small_pieces(150_000, 1_500, Duration::from_millis(23))]
#[tokio::test]
async fn uploads_of_a_crowd_stay_within_the_limit_of_memory(
    #[case] size: usize,
    #[case] piece: usize,
    #[case] pause: Duration,
) {
    let _turn = turn().await;
    let (instance, program) = start_with_sockets(serve_all, MAX_SOCKETS).await;
    let mut clients = JoinSet::new();
    for call in 0..UPLOADS {
        let listen = instance.listen;
        clients.spawn(async move {
            sleep(ARRIVAL_INTERVAL * call as u32).await;
            upload(listen, call, size, piece, pause).await
        });
    }
    let statuses = clients.join_all().await;
    let count = |status| statuses.iter().filter(|answered| **answered == status).count();
    println!("{} served, {} shed", count(200), count(503));
    assert_within_limit(&program).await;
    assert_eq!(count(200) + count(503), UPLOADS, "{statuses:?}");
    assert!(count(200) >= MIN_SERVED, "{} served", count(200));
}

/// Sends half of a body, and stays. Returns how long it takes until the scheduler answers or closes.
async fn stop_halfway(listen: SocketAddr, call: usize) -> Duration {
    let size = 400_000;
    let mut stream = TcpStream::connect(listen).await.unwrap();
    let connected_at = Instant::now();
    stream.write_all(write_request(call, size).as_bytes()).await.unwrap();
    stream.write_all(&vec![b'x'; size / 2]).await.unwrap();
    // An answer, or the end of the connection.
    let _ = stream.read(&mut [0; 512]).await;
    connected_at.elapsed()
}

/// Sends a head of many short fields slowly, and never ends it. Returns how long it takes until the scheduler
/// answers or closes.
async fn send_endless_head(listen: SocketAddr) -> Duration {
    let stream = TcpStream::connect(listen).await.unwrap();
    let connected_at = Instant::now();
    let (mut reader, mut writer) = stream.into_split();
    let write = async {
        let _ = writer.write_all(b"GET /consulta/1/1 HTTP/1.1\r\n").await;
        for number in 0.. {
            let fields: String = (0..80).map(|field| format!("{field:x}:{number}\r\n")).collect();
            if writer.write_all(fields.as_bytes()).await.is_err() {
                break;
            }
            sleep(Duration::from_millis(100)).await;
        }
    };
    let mut received = [0; 512];
    tokio::select! {
        _ = reader.read(&mut received) => {}
        () = write => {}
    }
    connected_at.elapsed()
}

/// Reads a reply at 64 kB a second for two seconds, and then all of it.
async fn read_slowly(listen: SocketAddr, call: usize) -> u16 {
    let mut stream = connect_with_small_buffer(listen).await;
    stream.write_all(request("consulta", call as u32, shard(call), 5000, "").as_bytes()).await.unwrap();
    let (head, first) = timeout(TEST_TIMEOUT, read_head(&mut stream)).await.expect("a head").expect("a head");
    let (mut received, mut buffer) = (first.len(), vec![0; 4096]);
    let slow_until = Instant::now() + Duration::from_secs(2);
    while received < REPLY && head.starts_with("http/1.1 200") {
        let size = stream.read(&mut buffer).await.unwrap();
        assert!(size > 0, "cut off after {received} bytes");
        received += size;
        if Instant::now() < slow_until {
            sleep(Duration::from_millis(64)).await;
        }
    }
    head[9..12].parse().expect("a status")
}

/// Answers reads with a long reply, and writes at once.
async fn serve_long_replies(mut stream: TcpStream) {
    while let Some((head, ..)) = read_message(&mut stream).await {
        let size = if head.starts_with("get") { REPLY } else { 2 };
        let reply =
            [format!("HTTP/1.1 200 OK\r\ncontent-length: {size}\r\n\r\n").as_bytes(), &vec![b'x'; size]]
                .concat();
        if stream.write_all(&reply).await.is_err() {
            return;
        }
    }
}

/// Guards against clients that take the memory of others: some write and read at their pace and are served,
/// some stop in the middle of a request, and some send heads that never end.
#[tokio::test]
async fn a_mixed_crowd_stays_within_the_limit_of_memory() {
    let _turn = turn().await;
    let (instance, program) = start_with_sockets(serve_long_replies, MAX_SOCKETS).await;
    let listen = instance.listen;
    let (mut served, mut ended) = (JoinSet::new(), JoinSet::new());
    for number in 0..MIXED {
        let arrival = ARRIVAL_INTERVAL * 4 * number as u32;
        served.spawn(async move {
            sleep(arrival).await;
            upload(listen, 3 * number, 300_000, 64_000, Duration::from_secs(1)).await
        });
        served.spawn(async move {
            sleep(arrival).await;
            read_slowly(listen, 3 * number + 1).await
        });
        ended.spawn(async move {
            sleep(arrival).await;
            stop_halfway(listen, 3 * number + 2).await
        });
        ended.spawn(async move {
            sleep(arrival).await;
            send_endless_head(listen).await
        });
    }
    let statuses = served.join_all().await;
    let latest = ended.join_all().await.into_iter().max();
    assert_within_limit(&program).await;
    assert!(statuses.iter().all(|status| *status == 200), "{statuses:?}");
    assert!(latest < Some(ERROR_TIMEOUT + SLACK), "the last error came after {latest:?}");
}

/// Sends writes of ever new volumes, in batches, each once the one before is answered.
async fn send_new_names(listen: SocketAddr, client: usize) {
    let mut stream = TcpStream::connect(listen).await.unwrap();
    let mut received = vec![0; 65_536];
    for batch in 0..NAMED_WRITES / NAMED_BATCH {
        let first = (client * NAMED_WRITES + batch * NAMED_BATCH) as u32;
        let requests: String = (first..first + NAMED_BATCH as u32)
            .map(|number| {
                request("pedido", 1 << 24 | number, shard(number as usize), 700, "")
                    .replace("00000003b4d60021", &format!("{number:016x}"))
            })
            .collect();
        stream.write_all(requests.as_bytes()).await.unwrap();
        let mut answers = Vec::new();
        while String::from_utf8_lossy(&answers).matches("HTTP/1.1 ").count() < NAMED_BATCH {
            let size = timeout(TEST_TIMEOUT, stream.read(&mut received)).await.expect("an answer").unwrap();
            assert!(size > 0, "closed in batch {batch}");
            answers.extend_from_slice(&received[..size]);
        }
    }
}

/// Guards against what is remembered of volumes and ids beyond what the limits were divided for: the names
/// of a flood fill the tables, and then a crowd holds all the connections that there is memory for.
#[tokio::test]
async fn a_crowd_after_a_flood_of_new_names_stays_within_the_limit_of_memory() {
    let _turn = turn().await;
    let (instance, program) = start_with_sockets(serve_all, MAX_SOCKETS).await;
    let listen = instance.listen;
    let naming: JoinSet<()> = (0..NAMING_CLIENTS).map(|client| send_new_names(listen, client)).collect();
    naming.join_all().await;
    println!("after the flood: {:?}", program.held());
    let (mut paced, mut stopped) = (JoinSet::new(), JoinSet::new());
    for call in 0..PACED + STOPPED {
        let arrival = ARRIVAL_INTERVAL * call as u32;
        if call < PACED {
            paced.spawn(async move {
                sleep(arrival).await;
                upload(listen, call, 300_000, 64_000, Duration::from_secs(1)).await
            });
        } else {
            stopped.spawn(async move {
                sleep(arrival).await;
                stop_halfway(listen, call).await
            });
        }
    }
    let statuses = paced.join_all().await;
    let latest = stopped.join_all().await.into_iter().max();
    let count = |status| statuses.iter().filter(|answered| **answered == status).count();
    println!("{} served, {} shed", count(200), count(503));
    assert_within_limit(&program).await;
    assert_eq!(count(200) + count(503), PACED, "{statuses:?}");
    assert!(count(200) >= MIN_SERVED, "{} served", count(200));
    assert!(latest < Some(ERROR_TIMEOUT + SLACK), "the last error came after {latest:?}");
}

/// Guards against uploads that are ended in favour of other connections although their clients keep their
/// pace: heads that never end take all places.
#[tokio::test]
async fn clients_that_keep_their_pace_are_served_beside_a_crowd_of_endless_heads() {
    let _turn = turn().await;
    let (instance, program) = start_with_sockets(serve_all, MAX_SOCKETS).await;
    let listen = instance.listen;
    let (mut paced, mut heads) = (JoinSet::new(), JoinSet::new());
    for call in 0..PACED_BESIDE_HEADS {
        paced.spawn(async move {
            sleep(ARRIVAL_INTERVAL * call as u32).await;
            upload(listen, call, 400_000, 64_000, Duration::from_secs(1)).await
        });
    }
    for number in 0..ENDLESS_HEADS {
        heads.spawn(async move {
            sleep(HEADS_DELAY + ARRIVAL_INTERVAL * number as u32).await;
            send_endless_head(listen).await
        });
    }
    let statuses = paced.join_all().await;
    let latest = heads.join_all().await.into_iter().max();
    assert_within_limit(&program).await;
    assert!(statuses.iter().all(|status| *status == 200), "{statuses:?}");
    assert!(latest < Some(ERROR_TIMEOUT + SLACK), "the last error came after {latest:?}");
}
