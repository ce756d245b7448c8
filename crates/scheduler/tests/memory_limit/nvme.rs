//! Commands of NVMe hosts, at HTTP nodes and at NVMe targets.

use std::net::SocketAddr;
use std::time::Duration;

use bytes::Bytes;
use heathward_fakes::nvme::*;
use heathward_fakes::*;
use heathward_transport::nvme::{BlockRange, Body, Pdu, Sgl, Status};
use rstest::rstest;
use tokio::io::AsyncWriteExt;
use tokio::net::TcpStream;
use tokio::task::JoinSet;
use tokio::time::{sleep, timeout};

use crate::crowd::{upload_of_shard, ARRIVAL_INTERVAL, MAX_SOCKETS, MIN_SERVED};
use crate::fixture::*;

/// Hosts, each with an admin queue and an I/O queue: all connections that the front accepts.
const HOSTS: usize = 16;
/// Commands that each host has open at a time.
const COMMANDS: u16 = 30;
/// The most data of a command, in bytes.
pub const LARGE: usize = 64 * 1024;
/// Commands of another host beside one that floods the front, and the time between them.
const FLOOD_PROBES: u16 = 60;
const FLOOD_PROBE_INTERVAL: Duration = Duration::from_millis(50);
/// The other host has its completions by then in the mean: the time that the protocol adds to each limit.
const FLOOD_MEAN_TIMEOUT: Duration = Duration::from_millis(50);
/// Hosts that read nothing, which ask for more than the system's buffers take.
const STALLED_HOSTS: usize = 6;
/// How often each of them sends all its commands.
const ROUNDS: u16 = 8;
/// By then the queues of hosts that read nothing are closed.
const STALLED_HOST_TIMEOUT: Duration = Duration::from_secs(35);
/// For how long a host hears nothing before it sends the rest of the data that was requested.
const PAUSE: Duration = Duration::from_millis(500);

/// A scheduler with the NVMe front, before a node of shard 0.
pub struct NvmeScheduler {
    pub _instance: Instance,
    pub _reserved_socket: tokio::net::TcpSocket,
    pub program: Program,
    pub front: SocketAddr,
}

/// Starts a scheduler before an HTTP node, or before a target if `is_target`.
async fn start_nvme(is_target: bool) -> NvmeScheduler {
    start_nvme_with_sockets(is_target, SOCKETS).await
}

/// The same, with this many descriptors.
async fn start_nvme_with_sockets(is_target: bool, sockets: usize) -> NvmeScheduler {
    let log = Log::default();
    let script = [NodeBehavior::Store(LARGE)];
    let node = if is_target { target(0, &script, &log).await } else { http_node(0, &script, &log).await };
    start_nvme_before(node, is_target, sockets)
}

/// The same, before the node or target at this address.
pub fn start_nvme_before(node: SocketAddr, is_target: bool, sockets: usize) -> NvmeScheduler {
    let members = [member("s0", node, 0, "in_service", 0)];
    let mut instance = Instance::with_sockets(&members, &[], sockets);
    let (reserved_socket, front) = reserved();
    let targets = if is_target { format!(r#"{{"node":"s0","subsystem":"{NODE}"}}"#) } else { String::new() };
    let map = format!(
        r#"{{"listen":"{front}","subsystem":"{FRONT}","queues":2,"depth":64,"block":512,"unit_blocks":128,
        "read":"consulta","write":"pedido","targets":[{targets}],
        "namespaces":[{{"nsid":1,"volume":"0000000000000001","plan":"prioritario","hosts":1,
            "blocks":1048576,"stripe":128,"shards":[0]}}]}}"#
    );
    let map = instance.write("nvme.json", &map);
    instance.add_argument("--nvme");
    instance.add_argument(map.to_str().unwrap());
    let program = instance.start();
    NvmeScheduler { _instance: instance, _reserved_socket: reserved_socket, program, front }
}

/// Returns the blocks of a command of a host.
fn blocks(host: usize, cid: u16) -> BlockRange {
    let count = (LARGE / SMALL) as u32;
    let first = (host as u64 * u64::from(COMMANDS) + u64::from(cid)) * u64::from(count);
    BlockRange { nsid: 1, first, count }
}

fn data(length: usize, value: u8) -> Bytes {
    Bytes::from(vec![value; length])
}

/// Writes all commands at once. The host sends half of the data that is requested, and the rest only once it
/// hears nothing any more. Returns the number of writes that succeeded; the others may be sent again.
async fn write_all(front: SocketAddr, number: usize) -> usize {
    let mut host = Host::connect(front).await;
    for cid in 1..=COMMANDS {
        let command = Body::Write(blocks(number, cid));
        let sgl = Sgl::Transport { length: LARGE as u32 };
        host.io.send(&[capsule(cid, command, sgl, Bytes::new())]).await.unwrap();
    }
    let (mut requested, mut completed, mut served) = (Vec::new(), 0, 0);
    while completed < COMMANDS {
        match timeout(PAUSE, host.io.next()).await {
            Ok(Ok(Pdu::R2t { cid, ttag, offset: 0, length })) => {
                assert_eq!(length as usize, LARGE);
                let data = data(LARGE / 2, cid as u8);
                host.io.send(&[Pdu::H2cData { cid, ttag, offset: 0, last: false, data }]).await.unwrap();
                requested.push((cid, ttag));
            }
            Ok(Ok(Pdu::Response(completion))) => {
                completed += 1;
                served += usize::from(completion.status == Status::SUCCESS);
                assert!(matches!(completion.status.code, 0 | 0x21), "{:?}", completion.status);
            }
            Err(_) => {
                for (cid, ttag) in requested.drain(..) {
                    let (offset, data) = (LARGE as u32 / 2, data(LARGE / 2, cid as u8));
                    host.io.send(&[Pdu::H2cData { cid, ttag, offset, last: true, data }]).await.unwrap();
                }
            }
            other => panic!("{other:?}"),
        }
    }
    served
}

/// Reads all commands at once, and reads nothing of the replies for a while. Returns the number of reads that
/// succeeded; the others may be sent again.
async fn read_all(front: SocketAddr, number: usize) -> usize {
    let mut host = Host::connect(front).await;
    for cid in 1..=COMMANDS {
        let sgl = Sgl::Transport { length: LARGE as u32 };
        host.io.send(&[capsule(cid, Body::Read(blocks(number, cid)), sgl, Bytes::new())]).await.unwrap();
    }
    sleep(PAUSE).await;
    let (mut completed, mut served) = (0, 0);
    while completed < COMMANDS {
        match next_pdu(&mut host.io).await {
            Pdu::C2hData { data, .. } => assert_eq!(data.len(), LARGE),
            Pdu::Response(completion) => {
                completed += 1;
                served += usize::from(completion.status == Status::SUCCESS);
                assert!(matches!(completion.status.code, 0 | 0x21), "{:?}", completion.status);
            }
            other => panic!("{other:?}"),
        }
    }
    served
}

/// Guards against a host that holds memory for as long as it likes: it reads nothing of its replies, and
/// stays. Its queue is closed, as an HTTP client's connection is, and other hosts are served.
#[tokio::test]
async fn a_host_that_reads_nothing_holds_no_memory_for_ever() {
    let _turn = turn().await;
    let NvmeScheduler { program, front, _instance, _reserved_socket } = start_nvme(false).await;
    let mut stalled = Vec::new();
    for _ in 0..STALLED_HOSTS {
        stalled.push(Host::connect(front).await);
    }
    // The commands of a round are complete for the scheduler once their replies are in the system's buffers.
    for round in 0..ROUNDS {
        for (number, host) in stalled.iter_mut().enumerate() {
            for cid in 1..=COMMANDS {
                let command = Body::Read(blocks(number, cid));
                let sgl = Sgl::Transport { length: LARGE as u32 };
                let capsule = capsule(round * COMMANDS + cid, command, sgl, Bytes::new());
                host.io.send(&[capsule]).await.unwrap();
            }
        }
        sleep(PAUSE).await;
    }
    assert!(!program.call("METRICS").await.contains("app.memory.held.replies=0\n"), "nothing is held");
    let deadline = tokio::time::Instant::now() + STALLED_HOST_TIMEOUT;
    while !program.call("METRICS").await.contains("app.memory.held.replies=0\n") {
        assert!(tokio::time::Instant::now() < deadline, "{}", program.call("METRICS").await);
        sleep(Duration::from_millis(200)).await;
    }
    assert_eq!(read_all(front, STALLED_HOSTS).await, usize::from(COMMANDS));
    assert_within_limit(&program).await;
}

/// Hosts that stop within a PDU: nearly all connections that the front accepts.
const STOPPING_HOSTS: usize = 60;
/// The first PDU of a host, without options.
const IC_REQ: [u8; 8] = [0, 0, 128, 0, 128, 0, 0, 0];
/// Length of that PDU, in bytes.
const IC_REQ_BYTES: usize = 128;
/// How much of the PDU they send, in bytes, of the length that they announce.
const PART_OF_PDU: usize = 60_000;

/// How a host stops within a long PDU.
#[derive(Clone, Copy, Debug)]
enum StopWithin {
    /// A capsule.
    Capsule,
    /// Data of a write that the host never sent.
    UnknownData,
}

impl StopWithin {
    /// Returns the first PDU of a host, and the beginning of this one.
    fn bytes(self) -> Vec<u8> {
        let (pdu_type, header) = match self {
            Self::Capsule => (0x04, 72),
            Self::UnknownData => (0x06, 24),
        };
        let length = (usize::from(header) + LARGE) as u32;
        let mut bytes = IC_REQ.to_vec();
        bytes.resize(IC_REQ_BYTES, 0);
        bytes.extend([pdu_type, 0, header, header]);
        bytes.extend(length.to_le_bytes());
        bytes.resize(IC_REQ_BYTES + PART_OF_PDU, 0);
        bytes
    }
}

/// Guards against the part of a PDU that is received without memory for it: hosts announce long PDUs
/// and stop within them, beside uploads over HTTP that take all the memory that there is.
#[rstest]
#[tokio::test]
async fn hosts_that_stop_within_a_pdu_stay_within_the_limit_of_memory(
    #[values(StopWithin::Capsule, StopWithin::UnknownData)] stop: StopWithin,
) {
    let _turn = turn().await;
    let NvmeScheduler { program, front, _instance, _reserved_socket } =
        start_nvme_with_sockets(false, MAX_SOCKETS).await;
    let listen = _instance.listen;
    let mut uploads = JoinSet::new();
    for call in 0..MAX_SOCKETS / 3 {
        uploads.spawn(async move {
            sleep(ARRIVAL_INTERVAL * call as u32).await;
            upload_of_shard(listen, call, 0, 300_000, 64_000, Duration::from_secs(1)).await
        });
    }
    sleep(ARRIVAL_INTERVAL * (MAX_SOCKETS / 3) as u32).await;
    let mut hosts = Vec::new();
    for _ in 0..STOPPING_HOSTS {
        let mut host = TcpStream::connect(front).await.unwrap();
        // The front may have ended the connection before it has read all of this.
        let _ = host.write_all(&stop.bytes()).await;
        hosts.push(host);
    }
    let statuses = uploads.join_all().await;
    let served = statuses.iter().filter(|status| **status == 200).count();
    println!("{served} of {} served", statuses.len());
    assert_within_limit(&program).await;
    assert!(statuses.iter().all(|status| matches!(status, 200 | 503)), "{statuses:?}");
    assert!(served >= MIN_SERVED, "{served} served");
}

/// What a host sends as fast as it can.
#[derive(Clone, Copy, Debug)]
enum Flood {
    /// Reads beyond the end of the namespace.
    OutOfRange,
    /// Small reads that are served.
    Reads,
}

/// Sends commands in batches until it is aborted.
async fn flood(mut host: Host, flood: Flood) {
    for batch in 0u64.. {
        for cid in 1..=COMMANDS {
            let first = match flood {
                Flood::OutOfRange => 1 << 40,
                Flood::Reads => (batch * u64::from(COMMANDS) + u64::from(cid)) % 1_000_000,
            };
            let range = BlockRange { nsid: 1, first, count: 1 };
            let sgl = Sgl::Transport { length: SMALL as u32 };
            host.io.send(&[capsule(cid, Body::Read(range), sgl, Bytes::new())]).await.unwrap();
        }
        let mut completed = 0;
        while completed < COMMANDS {
            completed += u16::from(matches!(next_pdu(&mut host.io).await, Pdu::Response(_)));
        }
    }
}

/// Guards against a host that keeps others from their answers, or fills the memory, with small commands.
#[rstest]
#[tokio::test]
async fn a_flood_of_commands_leaves_others_their_answers(
    #[values(Flood::OutOfRange, Flood::Reads)] kind: Flood,
    #[values(true, false)] is_target: bool,
) {
    let _turn = turn().await;
    let NvmeScheduler { program, front, _instance, _reserved_socket } = start_nvme(is_target).await;
    let flooding = tokio::spawn(flood(Host::connect(front).await, kind));
    let (mut host, mut delays) = (Host::connect(front).await, Vec::new());
    for number in 1..=FLOOD_PROBES {
        let sent_at = tokio::time::Instant::now();
        let (command, sgl) = (Body::Read(blocks(1, number)), Sgl::Transport { length: LARGE as u32 });
        host.io.send(&[capsule(number, command, sgl, Bytes::new())]).await.unwrap();
        while !matches!(next_pdu(&mut host.io).await, Pdu::Response(_)) {}
        delays.push(sent_at.elapsed());
        sleep(FLOOD_PROBE_INTERVAL).await;
    }
    assert!(!flooding.is_finished(), "the host still floods");
    flooding.abort();
    let mean = delays.iter().sum::<Duration>() / delays.len() as u32;
    println!("{mean:?} in the mean, {:?} at most", delays.iter().max());
    assert_within_limit(&program).await;
    assert!(mean <= FLOOD_MEAN_TIMEOUT, "{mean:?}");
}

/// Guards against the data of commands that fills the memory: of writes whose hosts hold back the rest, and
/// of reads whose hosts do not read.
#[rstest]
#[tokio::test]
async fn commands_of_many_hosts_stay_within_the_limit_of_memory(
    #[values(true, false)] is_write: bool,
    #[values(true, false)] is_target: bool,
) {
    let _turn = turn().await;
    let NvmeScheduler { program, front, _instance, _reserved_socket } = start_nvme(is_target).await;
    let mut hosts = JoinSet::new();
    for number in 0..HOSTS {
        hosts.spawn(async move {
            match is_write {
                true => write_all(front, number).await,
                false => read_all(front, number).await,
            }
        });
    }
    let served: usize = hosts.join_all().await.into_iter().sum();
    println!("{served} of {} commands served", HOSTS * usize::from(COMMANDS));
    assert!(served > HOSTS, "{served}");
    assert_within_limit(&program).await;
}
