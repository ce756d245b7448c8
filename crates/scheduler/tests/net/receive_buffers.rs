//! How much the system may receive for connections of the scheduler that are read slowly.

use std::net::SocketAddr;

use tokio::io::{AsyncReadExt, AsyncWriteExt};
use tokio::net::{TcpListener, TcpSocket, TcpStream};
use tokio::sync::oneshot;
use tokio::time::{sleep, timeout, Duration};

use heathward_fakes::*;

use crate::support::start_before;

/// The length of a body, in bytes.
const BODY_BYTES: usize = 32_000_000;
/// How much the system may hold that has arrived on a connection of the scheduler and is unread, in bytes.
const MAX_UNREAD_BYTES: u64 = 500_000;

/// Returns a socket for which the system buffers little that is received.
fn small_receiver(buffer_bytes: u32) -> TcpSocket {
    let socket = TcpSocket::new_v4().unwrap();
    socket.set_recv_buffer_size(buffer_bytes).unwrap();
    socket
}

/// Listens on a socket at a free port.
fn listen_on(socket: TcpSocket) -> (TcpListener, SocketAddr) {
    socket.bind("127.0.0.1:0".parse().unwrap()).unwrap();
    let listener = socket.listen(16).unwrap();
    let address = listener.local_addr().unwrap();
    (listener, address)
}

/// Reads this many bytes as fast as they arrive.
async fn read_bytes(stream: &mut (impl AsyncReadExt + Unpin), bytes: usize) {
    let read = tokio::io::copy(&mut stream.take(bytes as u64), &mut tokio::io::sink()).await.unwrap();
    assert_eq!(read, bytes as u64);
}

/// The end of a connection of the scheduler by which it is found.
#[derive(Clone, Copy, Debug)]
enum ConnectionEnd {
    Local(SocketAddr),
    Remote(SocketAddr),
}

/// Returns how many bytes have arrived at the scheduler and are unread, on the connection with the most.
fn unread_bytes(end: ConnectionEnd) -> u64 {
    let (column, address) = match end {
        ConnectionEnd::Local(address) => (1, address),
        ConnectionEnd::Remote(address) => (2, address),
    };
    let port = format!(":{:04X}", address.port());
    let sockets = std::fs::read_to_string("/proc/net/tcp").unwrap();
    let queue = |line: &str| {
        let fields: Vec<&str> = line.split_ascii_whitespace().collect();
        let received = fields.get(4)?.split(':').nth(1)?;
        fields.get(column)?.ends_with(&port).then(|| u64::from_str_radix(received, 16).unwrap())
    };
    sockets.lines().filter_map(queue).max().expect("a connection")
}

/// How many pieces of [`PIECE_BYTES`] a sender writes slowly before all the rest: the system grants a
/// connection that it has measured to be slow more memory for what it receives.
const SLOW_PIECES: usize = 25;
const PIECE_BYTES: usize = 4096;
/// The pause after each piece, and that of a receiver that reads 64 kB a second.
const SENDING_PAUSE: Duration = Duration::from_millis(100);
const READING_PAUSE: Duration = Duration::from_micros(62_500);
/// How many pieces a slow receiver reads before the unread bytes are counted.
const PIECES_READ: usize = 60;
/// The size that is set for the receive buffer of a slow receiver, in bytes.
const SLOW_RECEIVER_BUFFER_BYTES: u32 = 65_536;

/// Writes a body of [`BODY_BYTES`], slowly at first.
async fn write_slowly_at_first(mut stream: impl AsyncWriteExt + Unpin) {
    for _ in 0..SLOW_PIECES {
        stream.write_all(&[b'x'; PIECE_BYTES]).await.unwrap();
        sleep(SENDING_PAUSE).await;
    }
    // The other end closes when the test ends.
    let _ = stream.write_all(&vec![b'x'; BODY_BYTES - SLOW_PIECES * PIECE_BYTES]).await;
}

/// Reads [`PIECES_READ`] pieces, 64 kB a second.
async fn read_slowly(stream: &mut (impl AsyncReadExt + Unpin)) {
    let mut piece = [0; PIECE_BYTES];
    for _ in 0..PIECES_READ {
        stream.read_exact(&mut piece).await.unwrap();
        sleep(READING_PAUSE).await;
    }
}

/// Guards against a reply that counts as late although its node is sound: the system had received megabytes
/// of it that were to be read for half a minute. Where it is short of memory it drops what arrives for such a
/// connection, and the node's system waits longer for each retransmission.
#[tokio::test]
async fn the_system_receives_little_of_an_answer_that_is_read_slowly() {
    let (listener, address) = listen_on(TcpSocket::new_v4().unwrap());
    tokio::spawn(async move {
        let (mut stream, _) = listener.accept().await.unwrap();
        read_message(&mut stream).await.unwrap();
        let head = format!("HTTP/1.1 200 OK\r\ncontent-length: {BODY_BYTES}\r\n\r\n");
        stream.write_all(head.as_bytes()).await.unwrap();
        write_slowly_at_first(stream).await;
    });
    let program = start_before(address, "slow-answer");
    let mut client = small_receiver(SLOW_RECEIVER_BUFFER_BYTES).connect(program.listen).await.unwrap();
    client.write_all(request("consulta", 1, 0, 1000, "").as_bytes()).await.unwrap();
    read_slowly(&mut client).await;
    let unread = unread_bytes(ConnectionEnd::Remote(address));
    println!("{unread} bytes unread");
    assert!(unread <= MAX_UNREAD_BYTES, "{unread} bytes unread");
}

/// Guards against an upload whose client counts as late: as with an answer, the system had received much of a
/// body whose node read a part of it fast, and slowly from then on.
#[tokio::test]
async fn the_system_receives_little_of_an_upload_that_is_read_slowly() {
    const BYTES_READ_FAST: usize = 8_000_000;
    let (listener, address) = listen_on(small_receiver(SLOW_RECEIVER_BUFFER_BYTES));
    let (read, reading) = oneshot::channel();
    tokio::spawn(async move {
        let (mut stream, _) = listener.accept().await.unwrap();
        read_bytes(&mut stream, BYTES_READ_FAST).await;
        read_slowly(&mut stream).await;
        let _ = read.send(stream);
    });
    let program = start_before(address, "slow-upload");
    let mut client = TcpStream::connect(program.listen).await.unwrap();
    let head = request("pedido", 1, 0, 60_000, "");
    let head = head.replace("Content-Length: 0", &format!("Content-Length: {BODY_BYTES}"));
    client.write_all(head.as_bytes()).await.unwrap();
    let (_reader, writer) = client.into_split();
    tokio::spawn(write_slowly_at_first(writer));
    let _stream = timeout(TEST_TIMEOUT, reading).await.expect("a part of the body").unwrap();
    let unread = unread_bytes(ConnectionEnd::Local(program.listen));
    println!("{unread} bytes unread");
    assert!(unread <= MAX_UNREAD_BYTES, "{unread} bytes unread");
}
