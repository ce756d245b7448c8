//! Answers whose clients read slowly, when something would end an idle connection.

use std::net::SocketAddr;
use std::process::Command;
use std::sync::atomic::{AtomicUsize, Ordering};
use std::sync::Arc;

use heathward_core::OperatorCommand;
use heathward_transport::http::{self, ConnectionTable, Front};
use rstest::rstest;
use tokio::io::{AsyncReadExt, AsyncWriteExt};
use tokio::net::{TcpSocket, TcpStream};
use tokio::sync::watch;
use tokio::time::{sleep, timeout, Duration};

use heathward_fakes::*;

use crate::support::write_config;

/// The size that is set for the buffers of the system, which is the least that it grants.
const SYSTEM_BUFFER_BYTES: u32 = 4096;
/// The client pauses when this much of the answer is left: more than the system buffers, and less than the
/// front holds.
const UNREAD_BYTES: usize = 20_000;
/// Longer than an idle connection is kept in a crowded table, while clients are drained, or while another
/// process accepts connections.
const PAUSE: Duration = Duration::from_millis(2600);

/// What ends idle connections.
#[derive(Clone, Copy, Debug, PartialEq)]
enum Ending {
    /// The table is crowded.
    Crowd,
    /// Another client connects, and the table is full.
    Eviction,
    /// An operator drains the clients.
    Pause,
    /// Another process accepts connections.
    Replacement,
    /// The program shuts down.
    Shutdown,
    /// The program shuts down, and another process had taken over before the request.
    ReplacementAndShutdown,
}

/// Answers each request with this many bytes.
async fn node_with_long_answers(bytes: usize) -> SocketAddr {
    let (listener, address) = listen().await;
    tokio::spawn(async move {
        while let Ok((mut stream, _)) = listener.accept().await {
            tokio::spawn(async move {
                while read_message(&mut stream).await.is_some() {
                    let head = format!("HTTP/1.1 200 OK\r\ncontent-length: {bytes}\r\n\r\n");
                    stream.write_all(head.as_bytes()).await.unwrap();
                    let _ = stream.write_all(&vec![b'x'; bytes]).await;
                }
            });
        }
    });
    address
}

/// Starts a front with room for one connection, for which the system buffers little.
async fn start_front(rig: &Rig) -> (SocketAddr, watch::Sender<bool>) {
    let socket = TcpSocket::new_v4().unwrap();
    socket.set_send_buffer_size(SYSTEM_BUFFER_BYTES).unwrap();
    socket.bind("127.0.0.1:0".parse().unwrap()).unwrap();
    let listener = socket.listen(16).unwrap();
    let address = listener.local_addr().unwrap();
    let (stop, stopping) = watch::channel(false);
    tokio::spawn(http::serve(listener, Front::new(rig.core.clone()), ConnectionTable::new(1), stopping));
    (address, stop)
}

/// Guards against an answer that loses its end: the connection counted as idle while the end was held here,
/// as the system takes more only once the client has read some.
#[rstest]
#[tokio::test]
async fn an_answer_that_is_read_slowly_is_not_cut_off(
    #[values(
        Ending::Crowd,
        Ending::Eviction,
        Ending::Pause,
        Ending::Replacement,
        Ending::Shutdown,
        Ending::ReplacementAndShutdown
    )]
    ending: Ending,
    #[values(60_000, 300_000)] answer_bytes: usize,
) {
    let node = node_with_long_answers(answer_bytes).await;
    let rig = rig(&[member("s0", node, 0, "in_service", 0)], None).await;
    rig.until(|counters| counters.endpoint_updates == 1).await;
    let (front, stop) = start_front(&rig).await;
    rig.core.set_replaced(ending == Ending::ReplacementAndShutdown);
    let socket = TcpSocket::new_v4().unwrap();
    socket.set_recv_buffer_size(SYSTEM_BUFFER_BYTES).unwrap();
    let mut client = socket.connect(front).await.unwrap();
    client.write_all(request("consulta", 1, 0, 1000, "").as_bytes()).await.unwrap();
    let mut received = Vec::new();
    while received.len() < answer_bytes - UNREAD_BYTES {
        let size = timeout(TEST_TIMEOUT, client.read_buf(&mut received)).await.expect("more").unwrap();
        assert!(size > 0, "closed after {} bytes", received.len());
    }
    let _other = match ending {
        Ending::Eviction => Some(TcpStream::connect(front).await.unwrap()),
        _ => None,
    };
    match ending {
        Ending::Pause => rig.core.run_command(OperatorCommand::Pause, false).await.unwrap().unwrap(),
        Ending::Replacement => rig.core.set_replaced(true),
        Ending::Shutdown | Ending::ReplacementAndShutdown => _ = stop.send(true),
        Ending::Crowd | Ending::Eviction => {}
    }
    sleep(PAUSE).await;
    let end = received.windows(4).position(|window| window == b"\r\n\r\n").expect("a head") + 4;
    while received.len() < end + answer_bytes {
        let size = timeout(TEST_TIMEOUT, client.read_buf(&mut received)).await.expect("more").unwrap();
        assert!(size > 0, "closed after {} of {answer_bytes} bytes", received.len() - end);
    }
    assert!(received.starts_with(b"HTTP/1.1 200") && received[end..].iter().all(|byte| *byte == b'x'));
}

/// How much of a long answer a node may have sent while its client reads nothing, in bytes: what the system
/// buffers on both sides.
const MAX_BUFFERED_BYTES: usize = 1_500_000;
/// Nothing more is sent if this time passes without a change.
const SETTLING_TIME: Duration = Duration::from_secs(1);

/// Guards against a reply that is not read from its node for 20 s at a time, and then may count as late: the
/// system buffered megabytes for its client, and reported space once a third of them was read.
#[tokio::test]
async fn the_system_buffers_little_of_an_answer_that_is_not_read() {
    let socket = TcpSocket::new_v4().unwrap();
    socket.set_send_buffer_size(SYSTEM_BUFFER_BYTES).unwrap();
    socket.bind("127.0.0.1:0".parse().unwrap()).unwrap();
    let listener = socket.listen(16).unwrap();
    let address = listener.local_addr().unwrap();
    let sent = Arc::<AtomicUsize>::default();
    let counter = sent.clone();
    tokio::spawn(async move {
        let (mut stream, _) = listener.accept().await.unwrap();
        read_message(&mut stream).await.unwrap();
        stream.write_all(b"HTTP/1.1 200 OK\r\ncontent-length: 16000000\r\n\r\n").await.unwrap();
        while let Ok(size) = stream.write(&[b'x'; 4096]).await {
            counter.fetch_add(size, Ordering::Relaxed);
        }
    });
    let members = member("s0", address, 0, "in_service", 0);
    let config = write_config("unread-answer", &config_text("127.0.0.1:0", "127.0.0.1:1", &members));
    let mut command = Command::new(env!("CARGO_BIN_EXE_heathward"));
    command.env("GW_CONFIG", config);
    let program = Program::start(command);
    let socket = TcpSocket::new_v4().unwrap();
    socket.set_recv_buffer_size(SYSTEM_BUFFER_BYTES).unwrap();
    let mut client = socket.connect(program.listen).await.unwrap();
    client.write_all(request("consulta", 1, 0, 1000, "").as_bytes()).await.unwrap();
    let mut before = 0;
    let buffered = loop {
        sleep(SETTLING_TIME).await;
        match sent.load(Ordering::Relaxed) {
            bytes if bytes == before && bytes > 0 => break bytes,
            bytes => before = bytes,
        }
    };
    println!("{buffered} bytes");
    assert!(buffered <= MAX_BUFFERED_BYTES, "{buffered} bytes");
}
