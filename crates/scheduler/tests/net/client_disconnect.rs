//! No attempt, neither the first nor a retry, may begin more than 0.1 s after its client's connection has
//! closed or its command was cancelled. The tests disconnect or cancel at each point at which an attempt
//! waits to begin.

use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;

use bytes::Bytes;
use heathward_fakes::nvme::{capsule, read_of, Host, FRONT, NONE, SMALL};
use heathward_fakes::*;
use heathward_transport::nvme::{serve, Body, NvmeMap, Subsystem};
use rstest::rstest;
use tokio::io::AsyncWriteExt;
use tokio::net::{TcpListener, TcpSocket, TcpStream};
use tokio::sync::{mpsc, watch};
use tokio::time::sleep;

/// How long after its client has disconnected an attempt may still begin.
const TOLERANCE: Duration = Duration::from_millis(100);

/// The request ids of the client that disconnects and of the one that stays connected.
const DISCONNECTING_REQUEST: u32 = 1;
const STAYING_REQUEST: u32 = 2;

/// How a client disconnects.
#[derive(Clone, Copy, Debug, PartialEq)]
enum Disconnect {
    /// Closes its connection.
    Close,
    /// Resets its connection.
    Reset,
    /// Closes its connection after sending another request, which is not answered either.
    CloseAfterRequest,
}

impl Disconnect {
    async fn disconnect(self, mut client: TcpStream) {
        match self {
            Self::Close => {}
            Self::Reset => client.set_zero_linger().unwrap(),
            Self::CloseAfterRequest => {
                let another = request("consulta", 9, 0, 60_000, "");
                client.write_all(another.as_bytes()).await.unwrap();
            }
        }
        drop(client);
    }
}

/// A storage node with an accept queue for two connections, which accepts them when the test tells it to.
struct Node {
    listener: TcpListener,
    address: SocketAddr,
    queued: Vec<TcpStream>,
}

impl Node {
    fn listen() -> Self {
        let socket = TcpSocket::new_v4().unwrap();
        socket.bind("127.0.0.1:0".parse().unwrap()).unwrap();
        let address = socket.local_addr().unwrap();
        // With a backlog of 1 the system queues two connections.
        Self { listener: socket.listen(1).unwrap(), address, queued: Vec::new() }
    }

    /// Fills the accept queue, so that no further connection is established until [`Node::serve`].
    async fn fill_queue(&mut self) {
        for _ in 0..2 {
            self.queued.push(TcpStream::connect(self.address).await.unwrap());
        }
    }

    /// Accepts the next connection, and returns it with the head of its request in lower case.
    async fn next_request(&self) -> (TcpStream, String) {
        let (mut stream, _) = self.listener.accept().await.unwrap();
        let head = read_message(&mut stream).await.unwrap().0;
        (stream, head)
    }

    /// Serves all requests from now on, and reports the id of each request of which any byte has arrived.
    fn serve(self) -> mpsc::UnboundedReceiver<u64> {
        let (sender, begun) = mpsc::unbounded_channel();
        tokio::spawn(async move {
            drop(self.queued);
            loop {
                let (stream, _) = self.listener.accept().await.unwrap();
                tokio::spawn(serve_connection(stream, sender.clone()));
            }
        });
        begun
    }
}

async fn serve_connection(mut stream: TcpStream, begun: mpsc::UnboundedSender<u64>) -> Option<()> {
    loop {
        let mut first = [0];
        if stream.peek(&mut first).await.ok()? == 0 {
            return None;
        }
        let head = read_message(&mut stream).await.map(|(head, ..)| head);
        // A request whose head is incomplete has no id, but it has begun as well.
        let request_id = head.as_deref().map_or(0, request_id_of);
        begun.send(request_id).ok()?;
        stream.write_all(b"HTTP/1.1 200 OK\r\ncontent-length: 5\r\n\r\nhello").await.ok()?;
    }
}

fn request_id_of(head: &str) -> u64 {
    u64::from_str_radix(header(head, "x-call-id").unwrap(), 16).unwrap()
}

/// Starts a scheduler with this node. None of its time limits expires before the test ends.
async fn start_scheduler(node: &Node) -> Rig {
    rig_of(&config_with_long_time_limits(node), None).await
}

fn config_with_long_time_limits(node: &Node) -> String {
    let members = member("s0", node.address, 0, "in_service", 0);
    config_text("127.0.0.1:1", "127.0.0.1:1", &members)
        .replace(r#""connectTimeoutMs":1000.0"#, r#""connectTimeoutMs":60000.0"#)
        .replace(r#""aimMs":150,"deadlineMs":1000"#, r#""aimMs":120000,"deadlineMs":120000"#)
}

async fn send_request(rig: &Rig, call: u32) -> TcpStream {
    let mut client = TcpStream::connect(rig.front).await.unwrap();
    client.write_all(request("consulta", call, 0, 120_000, "").as_bytes()).await.unwrap();
    client
}

/// Returns the ids of the requests that have begun at a node by the time at which the staying client has its
/// answer. The scheduler requested the connection for that client after any that the other client can have
/// waited for, and no request is open once the answer is there.
async fn ids_begun_before_answer(
    rig: &Rig,
    staying_client: &mut TcpStream,
    mut begun: mpsc::UnboundedReceiver<u64>,
) -> Vec<u64> {
    assert_eq!(answer(staying_client).await.0, 200);
    assert_eq!(rig.core.metrics().await.unwrap().active_requests, 0);
    let mut request_ids = Vec::new();
    while let Ok(request_id) = begun.try_recv() {
        request_ids.push(request_id);
    }
    request_ids
}

/// The client disconnects while its first attempt waits for a connection, which is established 0.1 s later.
#[rstest]
#[tokio::test]
async fn no_first_attempt_starts_100_ms_after_a_client_disconnect(
    #[values(Disconnect::Close, Disconnect::Reset, Disconnect::CloseAfterRequest)] disconnect: Disconnect,
) {
    let mut node = Node::listen();
    node.fill_queue().await;
    let rig = start_scheduler(&node).await;
    let client = send_request(&rig, DISCONNECTING_REQUEST).await;
    rig.until(|counters| counters.attempts_sent == 1).await;
    let mut staying_client = send_request(&rig, STAYING_REQUEST).await;
    rig.until(|counters| counters.attempts_sent == 2).await;
    disconnect.disconnect(client).await;
    sleep(TOLERANCE).await;
    assert_eq!(
        ids_begun_before_answer(&rig, &mut staying_client, node.serve()).await,
        [u64::from(STAYING_REQUEST)]
    );
}

/// The client disconnects while its retry waits for a connection, which is established 0.1 s later. The first
/// attempt has ended as the case says.
#[rstest]
#[tokio::test]
async fn no_retry_starts_100_ms_after_a_client_disconnect(
    #[values(Disconnect::Close, Disconnect::Reset, Disconnect::CloseAfterRequest)] disconnect: Disconnect,
    #[values(ERROR_AND_CLOSE, "")] first_answer: &str,
) {
    let mut node = Node::listen();
    let rig = start_scheduler(&node).await;
    let client = send_request(&rig, DISCONNECTING_REQUEST).await;
    let (mut first, head) = node.next_request().await;
    assert_eq!(request_id_of(&head), u64::from(DISCONNECTING_REQUEST));
    node.fill_queue().await;
    first.write_all(first_answer.as_bytes()).await.unwrap();
    drop(first);
    rig.until(|counters| counters.attempts_sent == 2).await;
    let mut staying_client = send_request(&rig, STAYING_REQUEST).await;
    rig.until(|counters| counters.attempts_sent == 3).await;
    disconnect.disconnect(client).await;
    sleep(TOLERANCE).await;
    assert_eq!(
        ids_begun_before_answer(&rig, &mut staying_client, node.serve()).await,
        [u64::from(STAYING_REQUEST)]
    );
}

/// An error answer after which the node closes the connection, so that a retry has to wait for a new one.
const ERROR_AND_CLOSE: &str = "HTTP/1.1 500 Oops\r\ncontent-length: 0\r\nconnection: close\r\n\r\n";

/// The client disconnects while its first attempt is at the node, which ends it 0.1 s later in a way that
/// allows an immediate retry.
#[rstest]
#[tokio::test]
async fn no_retry_follows_an_attempt_that_ends_100_ms_after_a_client_disconnect(
    #[values(Disconnect::Close, Disconnect::Reset, Disconnect::CloseAfterRequest)] disconnect: Disconnect,
    #[values(ERROR_AND_CLOSE, "")] first_answer: &str,
) {
    let node = Node::listen();
    let rig = start_scheduler(&node).await;
    let client = send_request(&rig, DISCONNECTING_REQUEST).await;
    let (mut first, head) = node.next_request().await;
    assert_eq!(request_id_of(&head), u64::from(DISCONNECTING_REQUEST));
    disconnect.disconnect(client).await;
    sleep(TOLERANCE).await;
    let begun = node.serve();
    first.write_all(first_answer.as_bytes()).await.unwrap();
    drop(first);
    let mut staying_client = send_request(&rig, STAYING_REQUEST).await;
    assert_eq!(ids_begun_before_answer(&rig, &mut staying_client, begun).await, [u64::from(STAYING_REQUEST)]);
}

/// How an NVMe/TCP host cancels a command.
#[derive(Clone, Copy, Debug, PartialEq)]
enum Cancellation {
    /// With an Abort command.
    Abort,
    /// By closing the connection of its I/O queue.
    CloseIoQueue,
    /// By closing the connection of its admin queue.
    CloseAdminQueue,
}

/// Starts an NVMe front for the same scheduler, with one namespace on the node's shard.
async fn nvme_front(rig: &Rig, node: &Node) -> (SocketAddr, watch::Sender<bool>) {
    let map = format!(
        r#"{{"listen":"127.0.0.1:0","subsystem":"{FRONT}","queues":2,"depth":64,"block":512,"unit_blocks":16,
        "read":"consulta","write":"pedido","targets":[],
        "namespaces":[{{"nsid":1,"volume":"0000000000000001","plan":"prioritario","hosts":1,"blocks":4096,
            "stripe":256,"shards":[0]}}]}}"#
    );
    let deployment =
        heathward_config::parse_configuration(&config_with_long_time_limits(node)).unwrap().deployment;
    let map = Arc::new(NvmeMap::parse(&map, &deployment).unwrap());
    let subsystem = Subsystem::new(map, rig.core.clone(), 1);
    let (listener, address) = listen().await;
    let (stop, stopping) = watch::channel(false);
    tokio::spawn(serve(listener, subsystem, 16, stopping));
    (address, stop)
}

/// The host cancels its command while the first attempt or a retry waits for a connection, which is
/// established 0.1 s later.
#[rstest]
#[tokio::test]
async fn no_attempt_starts_100_ms_after_its_nvme_command_was_cancelled(
    #[values(Cancellation::Abort, Cancellation::CloseIoQueue, Cancellation::CloseAdminQueue)]
    cancellation: Cancellation,
    #[values(false, true)] is_retry: bool,
) {
    let mut node = Node::listen();
    let rig = start_scheduler(&node).await;
    let (front, _stop) = nvme_front(&rig, &node).await;
    let Host { admin, mut io } = Host::connect(front).await;
    if !is_retry {
        node.fill_queue().await;
    }
    let (body, sgl) = read_of(1, 0, SMALL);
    io.send(&[capsule(3, body, sgl, Bytes::new())]).await.unwrap();
    if is_retry {
        let (mut first, _) = node.next_request().await;
        node.fill_queue().await;
        first.write_all(ERROR_AND_CLOSE.as_bytes()).await.unwrap();
    }
    let attempts = 1 + u64::from(is_retry);
    rig.until(|counters| counters.attempts_sent == attempts).await;
    let mut staying_client = send_request(&rig, STAYING_REQUEST).await;
    rig.until(|counters| counters.attempts_sent == attempts + 1).await;
    let (mut admin, mut io) = (Some(admin), Some(io));
    match cancellation {
        Cancellation::Abort => {
            let abort = Body::Abort { queue: 1, cid: 3 };
            let admin = admin.as_mut().unwrap();
            let (completion, _) = heathward_fakes::nvme::ask(admin, 6, abort, NONE, Bytes::new()).await;
            assert_eq!(completion.result, 0, "the command was aborted");
        }
        Cancellation::CloseIoQueue => drop(io.take()),
        Cancellation::CloseAdminQueue => drop(admin.take()),
    }
    sleep(TOLERANCE).await;
    assert_eq!(
        ids_begun_before_answer(&rig, &mut staying_client, node.serve()).await,
        [u64::from(STAYING_REQUEST)]
    );
    drop((admin, io));
}
