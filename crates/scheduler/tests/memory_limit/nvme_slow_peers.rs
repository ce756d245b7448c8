//! NVMe hosts and targets that are slow, and hosts that leave with much unread.

use std::net::SocketAddr;
use std::sync::{Arc, Mutex};
use std::time::Duration;

use bytes::Bytes;
use heathward_fakes::nvme::*;
use heathward_fakes::*;
use heathward_transport::nvme::{BlockRange, Body, Sgl, Status};
use rstest::rstest;
use tokio::io::{AsyncReadExt, AsyncWriteExt};
use tokio::net::tcp::{OwnedReadHalf, OwnedWriteHalf};
use tokio::net::TcpStream;
use tokio::time::{sleep, Instant};

use crate::fixture::*;
use crate::nvme::{start_nvme_before, NvmeScheduler, LARGE};

/// Length of the data that is read and written, in bytes.
const DATA: usize = 32 * 1024;
/// The deadline of writes in the configuration, which is the shorter one, and the time that the protocol adds
/// to each limit on sockets.
const WRITE_DEADLINE: Duration = Duration::from_millis(700);
const READ_DEADLINE: Duration = Duration::from_millis(1000);
const SLACK: Duration = Duration::from_millis(50);
/// A command that the peer can carry out in this time is served.
const SERVED_WITHIN: Duration = Duration::from_millis(500);
/// Commands that a host leaves behind.
const LEFT_COMMANDS: u16 = 30;
/// How long the node takes for each.
const NODE_TIME: Duration = Duration::from_millis(60);
/// How long after its host has left an attempt may still begin.
const LEAVING_TOLERANCE: Duration = Duration::from_millis(100);

/// The pace at which a proxy forwards bytes: a piece, and the pause after it.
#[derive(Clone, Copy, Debug)]
struct Pace {
    piece: usize,
    pause: Duration,
}

impl Pace {
    const FAST: Self = Self { piece: 65_536, pause: Duration::ZERO };

    const fn new(piece: usize, pause_ms: u64) -> Self {
        Self { piece, pause: Duration::from_millis(pause_ms) }
    }

    /// Returns how long the data of a command takes.
    fn time_for_data(self) -> Duration {
        self.pause * (DATA / self.piece) as u32
    }
}

/// Forwards bytes in pieces, until either side closes.
async fn forward(mut from: OwnedReadHalf, mut to: OwnedWriteHalf, pace: Pace) {
    let mut buffer = vec![0; pace.piece];
    while let Ok(size @ 1..) = from.read(&mut buffer).await {
        if to.write_all(&buffer[..size]).await.is_err() {
            return;
        }
        // The setup of a queue is not delayed.
        if size == pace.piece {
            sleep(pace.pause).await;
        }
    }
}

/// Starts a proxy before a target, and returns its address.
async fn slow_proxy(target: SocketAddr, to_target: Pace, from_target: Pace) -> SocketAddr {
    let (listener, address) = listen().await;
    tokio::spawn(async move {
        while let Ok((scheduler, _)) = listener.accept().await {
            let (from_scheduler, to_scheduler) = scheduler.into_split();
            let (from, to) = TcpStream::connect(target).await.unwrap().into_split();
            tokio::spawn(forward(from_scheduler, to, to_target));
            tokio::spawn(forward(from, to_scheduler, from_target));
        }
    });
    address
}

/// Guards against a command that is cut off, or answered after its time, because the target sends or reads
/// its data slowly.
#[rstest]
#[case::fast(Pace::FAST, Pace::FAST)]
#[case::slow_data(Pace::FAST, Pace::new(4096, 55))]
#[case::slow_data_in_small_pieces(Pace::FAST, Pace::new(512, 5))]
#[case::slow_reading(Pace::new(4096, 55), Pace::FAST)]
#[case::slow_reading_in_small_pieces(Pace::new(512, 5), Pace::FAST)]
#[case::data_after_the_deadline(Pace::FAST, Pace::new(1024, 100))]
#[case::reading_until_after_the_deadline(Pace::new(1024, 100), Pace::FAST)]
#[tokio::test]
async fn commands_of_a_slow_target_have_their_completion_in_time(
    #[case] to_target: Pace,
    #[case] from_target: Pace,
    #[values(true, false)] is_write: bool,
) {
    let _turn = turn().await;
    let target = target(0, &[NodeBehavior::Serve], &Log::default()).await;
    let proxy = slow_proxy(target, to_target, from_target).await;
    let NvmeScheduler { program, front, _instance, _reserved_socket } =
        start_nvme_before(proxy, true, SOCKETS);
    let mut host = Host::connect(front).await;
    let began_at = Instant::now();
    let (status, deadline) = match is_write {
        true => (host.write(1, 0, vec![7; DATA]).await, WRITE_DEADLINE),
        false => {
            let (completion, data) = host.read(1, 0, DATA).await;
            let is_complete = completion.status != Status::SUCCESS || data == [0; DATA];
            assert!(is_complete, "{} bytes, or others than the target sent", data.len());
            (completion.status, READ_DEADLINE)
        }
    };
    println!("{status:?} in {:?}", began_at.elapsed());
    assert!(began_at.elapsed() < deadline + SLACK);
    if to_target.time_for_data() + from_target.time_for_data() < SERVED_WITHIN {
        assert_eq!(status, Status::SUCCESS);
    }
    assert_within_limit(&program).await;
}

/// Reads requests, records when each began, and answers it after a while.
async fn serve_and_record(mut stream: TcpStream, begun: Arc<Mutex<Vec<Instant>>>) {
    while let Some((head, _)) = read_head(&mut stream).await {
        begun.lock().unwrap().push(Instant::now());
        sleep(NODE_TIME).await;
        let size = if head.starts_with("get") { LARGE } else { 2 };
        let head = format!("HTTP/1.1 200 OK\r\ncontent-length: {size}\r\n\r\n");
        if stream.write_all(&[head.as_bytes(), &vec![b'x'; size]].concat()).await.is_err() {
            return;
        }
    }
}

/// Guards against commands that are forwarded after their host has left: it sends many, reads nothing of the
/// answers, and closes both queues or only that of the commands.
#[rstest]
#[tokio::test]
async fn commands_are_not_begun_after_their_host_has_left_with_much_unread(
    #[values(true, false)] closes_admin_queue: bool,
    #[values(30, 90, 250)] leaves_after_ms: u64,
) {
    let _turn = turn().await;
    let begun = Arc::<Mutex<Vec<Instant>>>::default();
    let (listener, node) = listen().await;
    let record = begun.clone();
    tokio::spawn(async move {
        while let Ok((stream, _)) = listener.accept().await {
            tokio::spawn(serve_and_record(stream, record.clone()));
        }
    });
    let NvmeScheduler { program, front, _instance, _reserved_socket } =
        start_nvme_before(node, false, SOCKETS);
    let Host { admin, mut io } = Host::connect(front).await;
    for cid in 1..=LEFT_COMMANDS {
        let count = (LARGE / SMALL) as u32;
        let blocks = BlockRange { nsid: 1, first: u64::from(cid) * u64::from(count), count };
        let sgl = Sgl::Transport { length: LARGE as u32 };
        io.send(&[capsule(cid, Body::Read(blocks), sgl, Bytes::new())]).await.unwrap();
    }
    sleep(Duration::from_millis(leaves_after_ms)).await;
    let left_at = Instant::now();
    drop(io);
    let admin = (!closes_admin_queue).then_some(admin);
    sleep(READ_DEADLINE + 5 * NODE_TIME).await;
    drop(admin);
    let begun = begun.lock().unwrap().clone();
    let late = begun.iter().filter(|at| **at > left_at + LEAVING_TOLERANCE).count();
    println!("{} of {LEFT_COMMANDS} begun, {late} of them after the host had left", begun.len());
    assert!(!begun.is_empty());
    assert_eq!(late, 0, "begun after the host had left");
    assert_within_limit(&program).await;
}
