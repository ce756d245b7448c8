//! Nodes that report success although not all data of the request was transferred, or other data than was
//! requested: the attempt has failed and may have been executed, whatever protocol the node and the client
//! speak.

use std::time::Duration;

use heathward_policy::AttemptEnd;
use heathward_transport::nvme::Status;
use rstest::rstest;
use tokio::io::{AsyncReadExt, AsyncWriteExt};
use tokio::net::TcpStream;
use tokio::time::timeout;

use heathward_fakes::nvme::*;
use heathward_fakes::*;

use crate::mixed_rig::{start_mixed, start_mixed_with, MixedRig};

/// Length of the data of a command, in bytes; more than fits in a capsule of the target.
const LARGE: usize = 32 * 1024;
/// The first block that is on the NVMe target.
const TARGET: u64 = 256;
/// The time in which the repeats of a write must begin after its first attempt.
const DEDUPLICATION_WINDOW: Duration = Duration::from_millis(2500);

/// Checks that the attempts of one request ended with these numbers of errors and successes, one after the
/// other, and that the request was counted once.
async fn check_attempts(mixed: &MixedRig, errors: u64, served: u64) {
    let counters = mixed.rig.counters().await;
    let ended = |end| counters.attempts_ended(end);
    assert_eq!((ended(AttemptEnd::Error), ended(AttemptEnd::Served)), (errors, served), "{counters}");
    let answers = counters.total_answers();
    assert_eq!((answers.served, answers.served + answers.shed + answers.failed), (served, 1), "{counters}");
    mixed.log.check_one_at_a_time();
    let seen = mixed.log.all();
    let span = seen.last().unwrap().at - seen[0].at;
    assert!(span < DEDUPLICATION_WINDOW, "retries within the window: {span:?}");
}

/// Returns the length of the data and how many of its bytes are zero.
fn summary(data: &[u8]) -> String {
    let zeros = data.iter().filter(|byte| **byte == 0).count();
    format!("{} bytes, {zeros} of them zero", data.len())
}

/// Checks that a read of [`LARGE`] bytes, which its node answers with this many bytes at first, gets the data
/// of its second attempt.
async fn check_read_is_repeated(first: u64, sent_bytes: usize) {
    let mixed = start_mixed(&[NodeBehavior::ServeBytes(sent_bytes), NodeBehavior::Store(LARGE)], 0).await;
    let mut host = Host::connect(mixed.address).await;
    let (completion, data) = host.read(1, first, LARGE).await;
    assert_eq!(completion.status, Status::SUCCESS);
    assert!(data == vec![0; LARGE], "not the data of the repeat: {}", summary(&data));
    check_attempts(&mixed, 1, 1).await;
}

/// Guards against a read that succeeds with zeros in place of data that the node did not send: an NVMe target
/// completes a read with success before it has sent all of its data.
#[rstest]
#[tokio::test]
async fn a_read_without_all_its_data_is_repeated_and_not_served(
    #[values(0, SMALL, LARGE / 2, LARGE - 1)] sent_bytes: usize,
) {
    check_read_is_repeated(TARGET, sent_bytes).await;
}

/// Guards against success for a read that no attempt has completed.
#[tokio::test]
async fn a_read_that_never_gets_all_its_data_is_interrupted() {
    let mixed = start_mixed(&[NodeBehavior::ServeBytes(LARGE / 2)], 0).await;
    let mut host = Host::connect(mixed.address).await;
    let (completion, data) = host.read(1, TARGET, LARGE).await;
    assert_eq!(Status { retry_delay: 0, ..completion.status }, Status::INTERRUPTED);
    assert_eq!(data, b"");
    check_attempts(&mixed, 3, 0).await;
}

/// Guards against an HTTP answer with a part of the data of a read from an NVMe target.
#[tokio::test]
async fn an_http_read_of_a_target_without_all_its_data_is_not_served() {
    let mixed = start_mixed(&[NodeBehavior::ServeBytes(SMALL)], 0).await;
    let path = format!("/consulta/{:016x}/{TARGET:016x}", 1);
    let read = request("consulta", 1, 1, 900, "");
    let read = read.replace("/consulta/00000003b4d60021/7f3a9c21e0b4d655?v=1", &path);
    assert!(read.contains(&path), "{read}");
    let (status, _, _) = mixed.rig.ask(&read).await;
    assert_eq!(status, 503);
    check_attempts(&mixed, 3, 0).await;
}

/// Guards against a write that succeeds although its node has not received all of its data: an NVMe target
/// completes a write with success after it has requested a part of the data, or none. It may have written
/// that part.
#[rstest]
#[tokio::test]
async fn a_write_without_all_its_data_is_not_served(
    #[values(0, SMALL, LARGE / 2, LARGE - SMALL)] requested_bytes: usize,
) {
    let mixed = start_mixed(&[NodeBehavior::RequestBytes(requested_bytes)], 0).await;
    let mut host = Host::connect(mixed.address).await;
    assert_eq!(host.write(1, TARGET, vec![7; LARGE]).await, Status::INTERNAL.without_retry());
    check_attempts(&mixed, 3, 0).await;
    assert_eq!(mixed.rig.counters().await.attempts_written, 0);
}

/// Guards against a second execution of a write that must run once: a target that completes it with success
/// after a part of its data may have written that part.
#[tokio::test]
async fn a_write_that_must_run_once_is_not_repeated_after_an_early_success() {
    let script = [NodeBehavior::RequestBytes(SMALL), NodeBehavior::Serve];
    let run_once = |configuration: String| configuration.replace("\"guarded\"", "\"single_shot\"");
    let mixed = start_mixed_with(&script, 0, run_once).await;
    let mut host = Host::connect(mixed.address).await;
    assert_eq!(host.write(1, TARGET, vec![7; LARGE]).await, Status::INTERNAL.without_retry());
    check_attempts(&mixed, 1, 0).await;
}

/// A write that a target has completed too early is repeated on another connection, with all its data.
#[tokio::test]
async fn a_write_that_a_target_completed_too_early_is_repeated_completely() {
    let mixed = start_mixed(&[NodeBehavior::RequestBytes(SMALL), NodeBehavior::Serve], 0).await;
    let mut host = Host::connect(mixed.address).await;
    assert_eq!(host.write(1, TARGET, vec![7; LARGE]).await, Status::SUCCESS);
    check_attempts(&mixed, 1, 1).await;
    let (_, data) = host.read(1, TARGET, LARGE).await;
    assert!(data == vec![7; LARGE], "not the data of the write: {}", summary(&data));
}

/// Guards against an upload that succeeds although its node has not received all of its body: an HTTP node
/// answers 200 after a part of it. The body can't be sent again, so the request fails.
#[rstest]
#[tokio::test]
async fn an_upload_answered_before_its_last_byte_is_not_served(#[values(false, true)] is_chunked: bool) {
    const BODY_BYTES: usize = 200_000;
    const SENT_BYTES: usize = 100_000;
    let (listener, address) = listen().await;
    let rig = rig(&[member("s0", address, 0, "in_service", 0)], None).await;
    let framing = if is_chunked { "Transfer-Encoding: chunked" } else { "Content-Length: 200000" };
    let head = request("pedido", 1, 0, 900, "").replace("Content-Length: 0", framing);
    let chunk_head = if is_chunked { format!("{BODY_BYTES:x}\r\n") } else { String::new() };
    let mut client = TcpStream::connect(rig.front).await.unwrap();
    client.write_all(format!("{head}{chunk_head}").as_bytes()).await.unwrap();
    client.write_all(&[b'x'; SENT_BYTES]).await.unwrap();
    let (mut node, _) = listener.accept().await.unwrap();
    let mut received = vec![0; SENT_BYTES / 2];
    timeout(TEST_TIMEOUT, node.read_exact(&mut received)).await.expect("in time").unwrap();
    node.write_all(b"HTTP/1.1 200 OK\r\ncontent-length: 2\r\n\r\nok").await.unwrap();
    let (status, ..) = answer(&mut client).await;
    assert_eq!(status, 502);
    let counters = rig.counters().await;
    let ends = (counters.attempts_ended(AttemptEnd::Error), counters.attempts_written);
    assert_eq!((ends, counters.total_answers().failed), ((1, 0), 1), "{counters}");
}

/// Guards against data that the NVMe front makes up or cuts off: an HTTP node answers a read with fewer or
/// more bytes than the command reads.
#[rstest]
#[tokio::test]
async fn a_reply_of_another_length_than_the_read_is_not_served(
    #[values(0, SMALL, LARGE - 1, LARGE + 1, 2 * LARGE, 3 * LARGE)] sent_bytes: usize,
    #[values(0, TARGET)] first: u64,
) {
    check_read_is_repeated(first, sent_bytes).await;
}

/// Guards against zeros in place of blocks that were written by another command: an HTTP node keeps the data
/// of each write as one object, so its reply to a longer read ends before those blocks.
#[tokio::test]
async fn a_read_across_two_objects_of_an_http_node_does_not_lose_the_second() {
    let mixed = start_mixed(&[NodeBehavior::Store(SMALL)], 0).await;
    let mut host = Host::connect(mixed.address).await;
    for first in [0, 1] {
        assert_eq!(host.write(1, first, vec![7; SMALL]).await, Status::SUCCESS);
        let (_, data) = host.read(1, first, SMALL).await;
        assert!(data == vec![7; SMALL], "not the data of the write: {}", summary(&data));
    }
    let (completion, data) = host.read(1, 0, 2 * SMALL).await;
    assert_ne!(completion.status, Status::SUCCESS, "{}", summary(&data));
}

/// Blocks that the random test writes and reads, with the length of their data: two objects on each node.
const OBJECTS: [(u64, usize); 4] = [(0, SMALL), (8, LARGE), (TARGET, SMALL), (TARGET + 8, LARGE)];

/// Draws what a node does with a request: in three of five cases it is sound. No length that it sends is that
/// of an object.
fn draw_step(random: &mut fastrand::Rng) -> NodeBehavior {
    let lengths = [0, 1, SMALL - 1, SMALL + 1, LARGE - 1, LARGE + 1, 3 * LARGE];
    match random.u32(..10) {
        0 | 1 => NodeBehavior::ServeBytes(lengths[random.usize(..lengths.len())]),
        2 => NodeBehavior::RequestBytes(SMALL * random.usize(..LARGE / SMALL)),
        3 => NodeBehavior::Error,
        _ => NodeBehavior::Store(SMALL),
    }
}

/// Guards against data other than what was written last, whatever the nodes of both kinds do in between:
/// writes and reads drawn from fixed seeds. After a write that failed, either data may be there, or a part.
#[rstest]
#[tokio::test]
async fn reads_that_succeed_return_what_was_written_last(#[values(1, 2, 3, 4, 5, 6)] seed: u64) {
    const COMMANDS: usize = 120;
    let mut random = fastrand::Rng::with_seed(seed);
    let script: Vec<NodeBehavior> = (0..4 * COMMANDS).map(|_| draw_step(&mut random)).collect();
    let mixed = start_mixed(&script, 0).await;
    let mut host = Host::connect(mixed.address).await;
    let mut written: [Option<u8>; OBJECTS.len()] = [None; OBJECTS.len()];
    let (mut succeeded, mut verified) = (0, 0);
    for command in 0..COMMANDS {
        let object = random.usize(..OBJECTS.len());
        let (first, size) = OBJECTS[object];
        if random.bool() {
            let value = random.u8(..);
            let status = host.write(1, first, vec![value; size]).await;
            written[object] = (status == Status::SUCCESS).then_some(value);
            succeeded += usize::from(status == Status::SUCCESS);
            continue;
        }
        let (completion, data) = host.read(1, first, size).await;
        if completion.status != Status::SUCCESS {
            continue;
        }
        succeeded += 1;
        assert_eq!(data.len(), size, "command {command} at block {first}");
        if let Some(value) = written[object] {
            verified += 1;
            assert!(data == vec![value; size], "command {command} at block {first}: {}", summary(&data));
        }
    }
    println!("seed {seed}: {succeeded} of {COMMANDS} succeeded, {verified} reads verified");
    assert!(
        succeeded > COMMANDS / 2 && verified > COMMANDS / 8,
        "{succeeded} succeeded, {verified} verified"
    );
    mixed.log.check_one_at_a_time();
}
