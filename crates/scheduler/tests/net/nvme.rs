//! The scheduler over NVMe/TCP: stand-in hosts connect to the front; HTTP nodes and stand-in targets are its
//! storage nodes.

use std::time::{Duration, SystemTime, UNIX_EPOCH};

use bytes::Bytes;
use heathward_core::AnswerCounts;
use heathward_policy::AttemptEnd;
use heathward_transport::nvme::{BlockRange, Body, FatalError, Pdu, PduStream, Sgl, Status};
use rstest::rstest;
use tokio::net::TcpStream;
use tokio::time::{sleep, timeout, Instant};

use heathward_fakes::nvme::*;
use heathward_fakes::*;

use crate::mixed_rig::start_mixed;

const LARGE: usize = 32 * 1024;

/// A write of one block.
const WRITE: Body = Body::Write(BlockRange { nsid: 1, first: 0, count: 1 });

#[tokio::test]
async fn a_host_discovers_its_namespaces_and_reads_and_writes_on_both_kinds_of_node() {
    let mixed = start_mixed(&[NodeBehavior::Store(SMALL)], 0).await;
    let mut host = Host::connect(mixed.address).await;
    for (offset, wide, value) in
        [(0x00, true, 63 | 1 << 16 | 1 << 24 | 1 << 37), (0x08, false, 0x0001_0400), (0x1c, false, 1)]
    {
        let get = Body::PropertyGet { wide, offset };
        assert_eq!(ask(&mut host.admin, 1, get, NONE, Bytes::new()).await.0.result, value);
    }
    let queues = Body::SetFeatures { feature: 7, value: 7 << 16 | 7 };
    assert_eq!(ask(&mut host.admin, 1, queues, NONE, Bytes::new()).await.0.result, 1 << 16 | 1);
    assert_eq!(ask(&mut host.admin, 1, Body::KeepAlive, NONE, Bytes::new()).await.0.status, Status::SUCCESS);
    let page = |nsid, cns| (Body::Identify { nsid, cns }, Sgl::Transport { length: 4096 });
    let (body, sgl) = page(0, 1);
    let (_, controller) = ask(&mut host.admin, 1, body, sgl, Bytes::new()).await;
    assert_eq!((controller[77], &controller[128..134]), (4, &[1, 0, 5, 0, 20, 0][..]), "MDTS, CRDT");
    assert!(controller[768..].starts_with(FRONT.as_bytes()));
    let (body, sgl) = page(1, 0);
    let (_, namespace) = ask(&mut host.admin, 1, body, sgl, Bytes::new()).await;
    assert_eq!((&namespace[0..8], namespace[130]), (&[0, 16, 0, 0, 0, 0, 0, 0][..], 9));
    let (body, sgl) = page(1, 2);
    assert_eq!(ask(&mut host.admin, 1, body, sgl, Bytes::new()).await.1[..8], [2, 0, 0, 0, 0, 0, 0, 0]);
    // Blocks from 0 are on the HTTP node, those from 256 on the target; small writes send their data in the
    // capsule, large ones by R2T.
    for (first, size) in [(0, SMALL), (8, LARGE), (256, SMALL), (264, LARGE)] {
        assert_eq!(host.write(1, first, vec![first as u8 + 3; size]).await, Status::SUCCESS, "{first}");
        let seen = mixed.log.all().pop().unwrap();
        assert_eq!((seen.node, seen.body), (u32::from(first >= 256), vec![first as u8 + 3; size]));
        let (completion, data) = host.read(1, first, size).await;
        assert_eq!((completion.status, data.len()), (Status::SUCCESS, size));
        assert_eq!(data, vec![first as u8 + 3; size]);
    }
    let counters = mixed.rig.counters().await;
    assert!(counters.total_answers().served == 8 && counters.attempts_sent == 8, "{counters}");
    mixed.log.check_one_at_a_time();
}

/// The table of answers: the node's behaviour, the number of attempts and the status of the command. Guards
/// against a retry of a command that may have been executed, other than after an error, and against
/// "interrupted" for a write that may have been executed.
#[rstest]
#[case::error_read(NodeBehavior::Error, SMALL, false, AttemptEnd::Error, 3, Status::INTERRUPTED)]
#[case::error_write(NodeBehavior::Error, SMALL, true, AttemptEnd::Error, 3, Status::INTERNAL.without_retry())]
#[case::error_large(NodeBehavior::Error, LARGE, true, AttemptEnd::Error, 3, Status::INTERNAL.without_retry())]
#[case::rejected(NodeBehavior::Reject, SMALL, true, AttemptEnd::Rejected, 1, Status::INTERRUPTED)]
#[case::malformed_read(
    NodeBehavior::Reply("no sense\r\n\r\n"),
    SMALL,
    false,
    AttemptEnd::Error,
    3,
    Status::INTERRUPTED
)]
#[case::malformed_write(
    NodeBehavior::Reply("no sense\r\n\r\n"),
    SMALL,
    true,
    AttemptEnd::Error,
    3,
    Status::INTERNAL.without_retry(),
)]
#[case::reset_read(NodeBehavior::Reset, SMALL, false, AttemptEnd::Reset, 3, Status::INTERRUPTED)]
#[case::reset_write(NodeBehavior::Reset, LARGE, true, AttemptEnd::Reset, 3, Status::INTERNAL.without_retry())]
#[tokio::test]
async fn the_end_of_an_attempt_decides_the_command_status(
    #[case] does: NodeBehavior,
    #[case] size: usize,
    #[case] write: bool,
    #[case] end: AttemptEnd,
    #[case] attempts: u64,
    #[case] expected_status: Status,
    #[values(0, 256)] first: u64,
) {
    let mixed = start_mixed(&[does], 0).await;
    let mut host = Host::connect(mixed.address).await;
    let status = if write {
        host.write(1, first, vec![7; size]).await
    } else {
        host.read(1, first, size).await.0.status
    };
    assert_eq!(Status { retry_delay: 0, ..status }, expected_status);
    assert_eq!(
        status.retry_delay > 0,
        expected_status == Status::INTERRUPTED,
        "a retry delay, if and only if it was interrupted"
    );
    let counters = mixed.rig.counters().await;
    assert!(counters.attempts_ended(end) == attempts && counters.attempts_sent == attempts, "{counters}");
    let seen = mixed.log.all();
    assert!(
        seen.iter().all(|request| request.node == u32::from(first >= 256)),
        "only on its shard: {seen:?}"
    );
    let span = seen.last().unwrap().at - seen[0].at;
    assert!(span < Duration::from_millis(2500), "retries within the window: {span:?}");
    mixed.log.check_one_at_a_time();
}

/// A target closes its queue during a command: before it had requested all data of a write, the write was not
/// executed; after the last byte it may have been.
#[rstest]
#[case::before_its_data(NodeBehavior::HangUp, LARGE, AttemptEnd::NotConnected, Status::INTERRUPTED)]
#[case::after_its_data(NodeBehavior::Reset, LARGE, AttemptEnd::Reset, Status::INTERNAL.without_retry())]
#[case::after_a_complete_capsule(
    NodeBehavior::HangUp,
    SMALL,
    AttemptEnd::Reset,
    Status::INTERNAL.without_retry()
)]
#[tokio::test]
async fn a_target_closes_a_queue_mid_command(
    #[case] does: NodeBehavior,
    #[case] size: usize,
    #[case] end: AttemptEnd,
    #[case] expected_status: Status,
) {
    let mixed = start_mixed(&[does], 0).await;
    let mut host = Host::connect(mixed.address).await;
    let status = host.write(1, 256, vec![7; size]).await;
    assert_eq!(Status { retry_delay: 0, ..status }, expected_status);
    let counters = mixed.rig.counters().await;
    // A reset is retried, as an error is.
    assert_eq!(counters.attempts_ended(end), if end == AttemptEnd::Reset { 3 } else { 1 }, "{counters}");
}

/// A write that is unanswered at its deadline ends with Command Abort Requested, and not earlier.
#[rstest]
#[tokio::test]
async fn a_write_past_its_deadline_ends_with_command_abort_requested(#[values(0, 256)] first: u64) {
    let mixed = start_mixed(&[NodeBehavior::Silent], 0).await;
    let mut host = Host::connect(mixed.address).await;
    let sent_at = Instant::now();
    assert_eq!(host.write(1, first, vec![7; SMALL]).await, Status::ABORTED);
    assert!(sent_at.elapsed() >= Duration::from_millis(650), "{:?}", sent_at.elapsed());
    let counters = mixed.rig.until(|counters| counters.total_answers().failed == 1).await;
    assert_eq!((counters.attempts_sent, counters.overdue_requests), (1, 0), "{counters}");
}

#[tokio::test]
async fn a_write_to_a_node_that_is_down_ends_as_interrupted_with_a_retry_delay() {
    let mixed = start_mixed(&[NodeBehavior::Store(SMALL)], 0).await;
    let mut host = Host::connect(mixed.address).await;
    let status = host.write(2, 0, vec![7; SMALL]).await;
    assert!(
        status == Status { retry_delay: status.retry_delay, ..Status::INTERRUPTED } && status.retry_delay > 0,
        "{status:?}"
    );
}

#[rstest]
#[case::opcode(Body::Other(0x7e), NONE, Status::INVALID_OPCODE)]
#[case::admin_opcode(Body::KeepAlive, NONE, Status::INVALID_OPCODE)]
#[case::nsid(read_of(9, 0, SMALL).0, Sgl::Transport { length: 512 }, Status::INVALID_NAMESPACE)]
#[case::range(read_of(1, 4096, SMALL).0, Sgl::Transport { length: 512 }, Status::LBA_RANGE)]
#[case::overflow(read_of(1, u64::MAX, SMALL).0, Sgl::Transport { length: 512 }, Status::LBA_RANGE)]
#[case::too_long(read_of(1, 0, 1 << 17).0, Sgl::Transport { length: 1 << 17 }, Status::INVALID_FIELD)]
#[case::length(read_of(1, 0, SMALL).0, Sgl::Transport { length: 511 }, Status::SGL_LENGTH)]
#[case::kind(read_of(1, 0, SMALL).0, Sgl::Other(0x30), Status::SGL_TYPE)]
#[case::offset(WRITE, Sgl::InCapsule { offset: 8, length: 512 }, Status::SGL_OFFSET)]
#[case::no_data(WRITE, Sgl::InCapsule { offset: 0, length: 512 }, Status::SGL_LENGTH)]
#[case::second_connect(connect(1, 1, 0).0, NONE, Status::SEQUENCE)]
#[tokio::test]
async fn a_malformed_io_command_gets_its_status_code_and_the_queue_goes_on(
    #[case] body: Body,
    #[case] sgl: Sgl,
    #[case] expected_status: Status,
) {
    let mixed = start_mixed(&[NodeBehavior::Store(SMALL)], 0).await;
    let mut host = Host::connect(mixed.address).await;
    assert_eq!(ask(&mut host.io, 8, body, sgl, Bytes::new()).await.0.status, expected_status);
    assert_eq!(host.read(1, 0, SMALL).await.0.status, Status::SUCCESS);
    assert_eq!(mixed.rig.counters().await.requests_received, 1);
}

#[rstest]
#[case::opcode(Body::Other(0x55), Status::INVALID_OPCODE)]
#[case::io_opcode(read_of(1, 0, SMALL).0, Status::INVALID_OPCODE)]
#[case::property(Body::PropertyGet { wide: false, offset: 0x100 }, Status::INVALID_FIELD)]
#[case::narrow(Body::PropertyGet { wide: false, offset: 0 }, Status::INVALID_FIELD)]
#[case::feature(Body::SetFeatures { feature: 0x20, value: 0 }, Status::INVALID_FIELD)]
#[case::identify(Body::Identify { nsid: 0, cns: 0x55 }, Status::INVALID_FIELD)]
#[case::namespace(Body::Identify { nsid: 7, cns: 0 }, Status::INVALID_NAMESPACE)]
#[case::page_length(Body::Identify { nsid: 1, cns: 0 }, Status::SGL_LENGTH)]
#[tokio::test]
async fn a_malformed_admin_command_gets_its_status_code_and_the_queue_goes_on(
    #[case] body: Body,
    #[case] expected_status: Status,
) {
    let mixed = start_mixed(&[NodeBehavior::Store(SMALL)], 0).await;
    let mut host = Host::connect(mixed.address).await;
    assert_eq!(ask(&mut host.admin, 8, body, NONE, Bytes::new()).await.0.status, expected_status);
    assert_eq!(ask(&mut host.admin, 9, Body::KeepAlive, NONE, Bytes::new()).await.0.status, Status::SUCCESS);
}

#[tokio::test]
async fn a_queue_is_connected_first_and_to_a_controller_of_its_host() {
    let mixed = start_mixed(&[NodeBehavior::Store(SMALL)], 0).await;
    let mut early = wire(mixed.address).await;
    assert_eq!(ask(&mut early, 1, Body::KeepAlive, NONE, Bytes::new()).await.0.status, Status::SEQUENCE);
    assert_eq!(join(&mut early, 1, 77, 0).await.status, Status::CONNECT_PARAMETER, "no such controller");
    let id = join(&mut early, 0, 0xffff, 0).await.result as u16;
    let mut io = wire(mixed.address).await;
    assert_eq!(join(&mut io, 1, id, 0).await.status, Status::SEQUENCE, "not enabled yet");
}

#[tokio::test]
async fn an_abort_ends_a_command_and_reports_whether_it_did() {
    let mixed = start_mixed(&[NodeBehavior::Silent], 0).await;
    let mut host = Host::connect(mixed.address).await;
    let (body, sgl) = read_of(1, 256, SMALL);
    host.io.send(&[capsule(3, body, sgl, Bytes::new())]).await.unwrap();
    mixed.rig.until(|counters| counters.attempts_sent == 1).await;
    let abort = |cid| Body::Abort { queue: 1, cid };
    assert_eq!(ask(&mut host.admin, 5, abort(99), NONE, Bytes::new()).await.0.result, 1, "no such command");
    assert_eq!(ask(&mut host.admin, 6, abort(3), NONE, Bytes::new()).await.0.result, 0);
    assert_eq!(finish(&mut host.io, 3, Bytes::new()).await.0.status, Status::ABORTED);
    let counters = mixed.rig.until(|counters| counters.client_disconnects == 1).await;
    assert_eq!(counters.total_answers(), AnswerCounts::default(), "{counters}");
}

/// A host that closes a queue, or whose admin queue closes, gets no answer, and the disconnect is reported to
/// the decision module.
#[rstest]
#[tokio::test]
async fn commands_are_cancelled_when_their_queue_disconnects(
    #[values(true, false)] closes_admin_queue: bool,
) {
    let mixed = start_mixed(&[NodeBehavior::Silent], 0).await;
    let Host { admin, mut io } = Host::connect(mixed.address).await;
    for cid in 3..6 {
        let (body, sgl) = read_of(1, 256, SMALL);
        io.send(&[capsule(cid, body, sgl, Bytes::new())]).await.unwrap();
    }
    mixed.rig.until(|counters| counters.requests_received == 3).await;
    let open_queue = if closes_admin_queue { (drop(admin), Some(io)).1 } else { (drop(io), Some(admin)).1 };
    let counters = mixed.rig.until(|counters| counters.client_disconnects == 3).await;
    assert_eq!(counters.total_answers(), AnswerCounts::default(), "{counters}");
    drop(open_queue);
}

#[tokio::test]
async fn a_host_that_misses_its_keep_alive_loses_its_controller() {
    let mixed = start_mixed(&[NodeBehavior::Store(SMALL)], 0).await;
    let mut admin = wire(mixed.address).await;
    assert_eq!(join(&mut admin, 0, 0xffff, 300).await.status, Status::SUCCESS);
    assert!(timeout(TEST_TIMEOUT, admin.next()).await.expect("in time").is_err());
}

/// At shutdown a queue closes once its commands are answered, and at once if it has none.
#[tokio::test]
async fn after_sigterm_queues_close_as_soon_as_nothing_is_open() {
    let mixed = start_mixed(&[NodeBehavior::Silent], 0).await;
    let (mut idle, mut busy) = (Host::connect(mixed.address).await, Host::connect(mixed.address).await);
    let (body, sgl) = read_of(1, 256, SMALL);
    busy.io.send(&[capsule(3, body, sgl, Bytes::new())]).await.unwrap();
    mixed.rig.until(|counters| counters.attempts_sent == 1).await;
    mixed.stop.send_replace(true);
    assert!(timeout(TEST_TIMEOUT, idle.io.next()).await.expect("in time").is_err());
    assert_eq!(mixed.rig.counters().await.total_answers().shed, 0, "the other command still waits");
    let status = finish(&mut busy.io, 3, Bytes::new()).await.0.status;
    assert_eq!(Status { retry_delay: 0, ..status }, Status::INTERRUPTED);
    for queue in [&mut busy.io, &mut busy.admin, &mut idle.admin] {
        assert!(timeout(TEST_TIMEOUT, queue.next()).await.expect("in time").is_err());
    }
}

/// Guards against unbounded memory use by a host that sends more commands than its queue holds.
#[tokio::test]
async fn more_commands_than_the_queue_holds_end_the_connection() {
    let mixed = start_mixed(&[NodeBehavior::Silent], 0).await;
    let mut host = Host::connect(mixed.address).await;
    let commands: Vec<Pdu> =
        (0..33).map(|cid| capsule(cid, WRITE, Sgl::Transport { length: 512 }, Bytes::new())).collect();
    host.io.send(&commands).await.unwrap();
    for _ in 0..32 {
        assert!(matches!(next_pdu(&mut host.io).await, Pdu::R2t { .. }));
    }
    let Pdu::TermReq { fatal, .. } = next_pdu(&mut host.io).await else { panic!("no termination request") };
    assert_eq!(
        (fatal, mixed.rig.until(|counters| counters.malformed_requests == 1).await.requests_received),
        (FatalError::SEQUENCE, 0)
    );
}

/// Malformed PDUs end the connection with the reason; the front still serves other hosts.
#[rstest]
#[case::no_initialization(true, vec![4, 0, 72, 0, 72, 0, 0, 0], 72, FatalError::SEQUENCE)]
#[case::version(true, vec![0, 0, 128, 0, 128, 0, 0, 0, 9], 128, FatalError::parameter(8))]
#[case::alignment(true, vec![0, 0, 128, 0, 128, 0, 0, 0, 0, 0, 32], 128, FatalError::header(10))]
#[case::kind(false, vec![0x55, 0, 8, 0, 8, 0, 0, 0], 8, FatalError::header(0))]
#[case::second_initialization(false, vec![0, 0, 128, 0, 128, 0, 0, 0], 128, FatalError::SEQUENCE)]
#[case::length(false, vec![4, 0, 72, 0, 0, 0, 0, 255], 8, FatalError::header(4))]
#[case::stray_data(false, vec![6, 4, 24, 0, 24, 0, 0, 0, 1], 24, FatalError::header(8))]
#[case::from_the_wrong_side(false, vec![5, 0, 24, 0, 24, 0, 0, 0], 24, FatalError::SEQUENCE)]
#[tokio::test]
async fn a_malformed_pdu_ends_the_connection_with_its_reason(
    #[case] is_first_pdu: bool,
    #[case] mut bytes: Vec<u8>,
    #[case] size: usize,
    #[case] fatal: FatalError,
) {
    use tokio::io::AsyncWriteExt;
    let mixed = start_mixed(&[NodeBehavior::Store(SMALL)], 0).await;
    let mut stream = TcpStream::connect(mixed.address).await.unwrap();
    let mut initialization = vec![0, 0, 128, 0, 128, 0, 0, 0];
    initialization.resize(128, 0);
    bytes.resize(size, 0);
    if !is_first_pdu {
        stream.write_all(&initialization).await.unwrap();
    }
    stream.write_all(&bytes).await.unwrap();
    let mut wire = PduStream::new(stream).unwrap();
    if !is_first_pdu {
        assert!(matches!(next_pdu(&mut wire).await, Pdu::IcResp { .. }));
    }
    let Pdu::TermReq { by_host: false, fatal: reported, .. } = next_pdu(&mut wire).await else {
        panic!("no termination request")
    };
    assert_eq!(reported, fatal);
    drop(wire);
    assert_eq!(Host::connect(mixed.address).await.read(1, 0, SMALL).await.0.status, Status::SUCCESS);
}

#[rstest]
#[case::past_its_end(0, 1024, FatalError::RANGE)]
#[case::with_a_gap(512, 512, FatalError::RANGE)]
#[tokio::test]
async fn data_outside_its_transfer_ends_the_connection(
    #[case] offset: u32,
    #[case] size: usize,
    #[case] fatal: FatalError,
) {
    let mixed = start_mixed(&[NodeBehavior::Store(SMALL)], 0).await;
    let mut host = Host::connect(mixed.address).await;
    host.io.send(&[capsule(4, WRITE, Sgl::Transport { length: 512 }, Bytes::new())]).await.unwrap();
    let Pdu::R2t { ttag, .. } = next_pdu(&mut host.io).await else { panic!("not asked for data") };
    let data = Bytes::from(vec![0; size]);
    host.io.send(&[Pdu::H2cData { cid: 4, ttag, offset, last: true, data }]).await.unwrap();
    let Pdu::TermReq { fatal: reported, .. } = next_pdu(&mut host.io).await else {
        panic!("no termination request")
    };
    assert_eq!((reported, mixed.rig.counters().await.requests_received), (fatal, 0));
}

/// Both kinds of node start at 24% of their capacity. Guards against a burst through the NVMe front, which
/// the slow-start limit of the HTTP front would not include if the two fronts did not share it.
#[tokio::test]
async fn nodes_of_both_kinds_in_slow_start_are_not_overloaded() {
    let started_ms = SystemTime::now().duration_since(UNIX_EPOCH).unwrap().as_millis();
    let mixed = start_mixed(&[NodeBehavior::Store(LARGE)], started_ms).await;
    let first_sent_at = Instant::now();
    let mut hosts = tokio::task::JoinSet::new();
    for host in 0..16 {
        // Sixteen connections are all that the front accepts, two per host.
        let address = mixed.address;
        if host % 2 == 0 {
            hosts.spawn(async move {
                let mut host = Host::connect(address).await;
                while first_sent_at.elapsed() < Duration::from_millis(1200) {
                    for first in [0, 256] {
                        host.read(1, first, LARGE).await;
                    }
                    sleep(Duration::from_millis(5)).await;
                }
            });
        }
    }
    hosts.join_all().await;
    let age = first_sent_at.elapsed().as_secs_f64().min(6.0) / 6.0;
    let max_units = 24.0 * (0.24 + 0.76 * age) / 0.24;
    for node in 0..2 {
        let sent: Vec<_> =
            mixed.log.all().iter().filter(|request| request.node == node).map(|request| request.at).collect();
        assert!(!sent.is_empty(), "node {node} got no requests");
        for from in &sent {
            let window = sent.iter().filter(|at| *at >= from && **at < *from + Duration::from_millis(250));
            let units = window.count() as f64 * 4.0;
            assert!(
                units <= max_units,
                "node {node}: {units} units within the window, at most {max_units} allowed"
            );
        }
    }
}
