//! What callers get once bodies hold all of the memory that they may, and that none is held at rest.

use std::time::Duration;

use bytes::Bytes;
use heathward_core::memory::{MemoryHolder, MemoryLimits, Priority, Reservation};
use heathward_transport::nvme::{BlockRange, Body, Pdu, Sgl, Status};
use rstest::rstest;
use tokio::io::AsyncWriteExt;
use tokio::net::TcpStream;
use tokio::time::{sleep, timeout, Instant};

use heathward_fakes::nvme::*;
use heathward_fakes::*;

use crate::mixed_rig::start_mixed;
use crate::support::one_node;

/// Long enough to be buffered in several steps, and short enough for one command.
const BODY: usize = 60 * 1024;
/// A body that is always streamed.
const LONG_BODY: usize = 300_000;
/// Memory is released by then: long before idle connections to nodes are closed, which is after 12.5 s.
const RELEASE_TIMEOUT: Duration = Duration::from_secs(6);
/// Clients that write to a node which never answers: more than it is sent at a time.
const CLIENTS_OF_SILENT_NODE: u32 = 30;
/// Their requests have 0.3 s, and are lost half a second later.
const MAX_LATE_ANSWER: Duration = Duration::from_millis(800);
/// A client's connection that is observed for this long hears nothing.
const SILENCE: Duration = Duration::from_millis(100);

fn body(length: usize) -> String {
    ('a'..='z').cycle().take(length).collect()
}

/// Leaves no memory for bodies that could also be streamed.
fn forbid_buffering(rig: &Rig) {
    let limits = rig.core.memory().usage().limits;
    rig.core.memory().set_limits(MemoryLimits { total: 0, ..limits });
}

/// Reserves all memory for bodies.
fn exhaust(rig: &Rig) -> Reservation {
    let memory = rig.core.memory();
    memory.set_limits(MemoryLimits { bodies: 1 << 20, total: 1 << 20, shared: 64 << 20 });
    memory.try_reserve(MemoryHolder::Uploads, 1 << 20, Priority::Required).unwrap()
}

async fn until_released(rig: &Rig) {
    let deadline = Instant::now() + RELEASE_TIMEOUT;
    while rig.core.memory().usage().bodies() > 0 {
        assert!(Instant::now() < deadline, "held at rest: {:?}", rig.core.memory().usage());
        sleep(Duration::from_millis(5)).await;
    }
}

/// Guards against bodies that are refused, or lost, because there is no memory to keep them for another
/// attempt.
#[rstest]
#[tokio::test]
async fn without_memory_to_buffer_them_bodies_and_replies_are_streamed(
    #[values(20, 9000, BODY, LONG_BODY)] length: usize,
) {
    let one_node = one_node(&[NodeBehavior::Store(0)]).await;
    forbid_buffering(&one_node.rig);
    let sent = body(length);
    let (status, _, _) = one_node.rig.ask(&request("pedido", 1, 0, 900, &sent)).await;
    assert_eq!(status, 200);
    assert_eq!(one_node.log.all()[0].body, sent.as_bytes());
    let (status, _, received) = one_node.rig.ask(&request("consulta", 2, 0, 900, "")).await;
    assert!(status == 200 && received == sent.as_bytes(), "{status}, {} bytes", received.len());
    // A body that comes in one piece needs no more memory when it is buffered.
    let unbuffered = one_node.rig.core.memory().usage().unbuffered_bodies;
    assert_eq!(unbuffered > 0, (9000..=BODY).contains(&length), "{unbuffered}");
    until_released(&one_node.rig).await;
}

/// Guards against a body in chunks of which the end is lost when it is streamed for want of memory.
#[tokio::test]
async fn without_memory_to_buffer_it_a_chunked_body_is_streamed() {
    let one_node = one_node(&[NodeBehavior::Serve]).await;
    forbid_buffering(&one_node.rig);
    let sent = body(BODY);
    let head = request("pedido", 1, 0, 900, "").replace("Content-Length: 0", "Transfer-Encoding: chunked");
    let chunks: String = sent
        .as_bytes()
        .chunks(5000)
        .map(|part| format!("{:x}\r\n{}\r\n", part.len(), String::from_utf8_lossy(part)))
        .collect();
    let (status, _, _) = one_node.rig.ask(&format!("{head}{chunks}0\r\n\r\n")).await;
    assert_eq!((status, one_node.log.all()[0].body.as_slice()), (200, sent.as_bytes()));
    until_released(&one_node.rig).await;
}

/// Guards against a read that carries a body, which is refused, and is forwarded when the body is streamed.
#[tokio::test]
async fn without_memory_to_buffer_it_the_body_of_a_read_is_refused_as_ever() {
    let one_node = one_node(&[NodeBehavior::Serve]).await;
    let _all = exhaust(&one_node.rig);
    assert_eq!(one_node.rig.ask(&request("consulta", 1, 0, 900, &body(100))).await.0, 400);
    assert!(one_node.log.all().is_empty());
}

/// Guards against an upload that is refused while memory is short, and against one that goes on without any:
/// its client is held back, and it goes on with the first memory that is released.
#[tokio::test]
async fn an_upload_waits_for_memory() {
    let one_node = one_node(&[NodeBehavior::Serve]).await;
    let all = exhaust(&one_node.rig);
    let sent = body(LONG_BODY);
    let mut client = TcpStream::connect(one_node.rig.front).await.unwrap();
    client.write_all(request("pedido", 1, 0, 900, &sent).as_bytes()).await.unwrap();
    let mut byte = [0];
    assert!(timeout(SILENCE, client.peek(&mut byte)).await.is_err(), "it is answered without memory");
    assert_eq!(one_node.rig.core.memory().usage().bodies(), 1 << 20, "more is held than there is");
    drop(all);
    assert_eq!(answer(&mut client).await.0, 200);
    assert_eq!(one_node.log.all()[0].body, sent.as_bytes());
    until_released(&one_node.rig).await;
}

/// Guards against a streamed body that waits for its node without a time limit: its client is answered in its
/// time, also behind requests that the node never answers.
#[tokio::test]
async fn a_streamed_body_that_has_come_whole_is_answered_in_its_time() {
    let one_node = one_node(&[NodeBehavior::Silent]).await;
    forbid_buffering(&one_node.rig);
    let mut clients = Vec::new();
    for call in 0..CLIENTS_OF_SILENT_NODE {
        let mut client = TcpStream::connect(one_node.rig.front).await.unwrap();
        let write = request("pedido", call, 0, 300, &body(20_000));
        client.write_all(write.as_bytes()).await.unwrap();
        clients.push((client, Instant::now()));
    }
    for (mut client, sent_at) in clients {
        let (status, _, _) = answer(&mut client).await;
        let waited = sent_at.elapsed();
        assert!(matches!(status, 502..=504), "{status}");
        assert!(waited < MAX_LATE_ANSWER, "answered after {waited:?}");
    }
    until_released(&one_node.rig).await;
}

/// Guards against an upload that waits for memory for ever: no node has got all of it, so it is shed.
#[tokio::test]
async fn an_upload_without_memory_is_shed_in_time() {
    let one_node = one_node(&[NodeBehavior::Serve]).await;
    let all = exhaust(&one_node.rig);
    let mut client = TcpStream::connect(one_node.rig.front).await.unwrap();
    client.write_all(request("pedido", 1, 0, 300, &body(LONG_BODY)).as_bytes()).await.unwrap();
    assert_eq!(answer(&mut client).await.0, 503);
    drop(all);
    until_released(&one_node.rig).await;
}

/// Guards against idle connections, finished requests and replies that were read and still hold memory.
#[rstest]
#[tokio::test]
async fn no_memory_is_held_at_rest(
    #[values(20, 9000, BODY, LONG_BODY)] length: usize,
    #[values(NodeBehavior::Store(0), NodeBehavior::Error, NodeBehavior::Reject, NodeBehavior::Reset)]
    behavior: NodeBehavior,
) {
    let one_node = one_node(&[behavior]).await;
    let mut client = TcpStream::connect(one_node.rig.front).await.unwrap();
    for call in 1..4 {
        client.write_all(request("pedido", call, 0, 900, &body(length)).as_bytes()).await.unwrap();
        let (_, head, _) = answer(&mut client).await;
        if header(&head, "connection") == Some("close") {
            client = TcpStream::connect(one_node.rig.front).await.unwrap();
        }
    }
    until_released(&one_node.rig).await;
}

/// Returns a write to the blocks that the NVMe target holds.
fn write_to_target(budget_ms: u32, body: &str) -> String {
    request("pedido", 1, 1, budget_ms, body)
        .replace("00000003b4d60021/7f3a9c21e0b4d655?v=1", "0000000000000001/0000000000000100")
}

/// Guards against a body that is too long for the memory, and is cut when a node takes it only as a whole.
#[tokio::test]
async fn a_streamed_body_is_written_completely_to_an_nvme_target() {
    let mixed = start_mixed(&[NodeBehavior::Store(SMALL)], 0).await;
    forbid_buffering(&mixed.rig);
    let sent = body(20 * 1024);
    assert_eq!(mixed.rig.ask(&write_to_target(900, &sent)).await.0, 200);
    assert_eq!(mixed.log.all()[0].body, sent.as_bytes());
    until_released(&mixed.rig).await;
}

/// Guards against an upload that hangs when its target, which takes it only as a whole, gets no memory for
/// it.
#[tokio::test]
async fn an_upload_to_an_nvme_target_without_memory_is_shed_in_time() {
    let mixed = start_mixed(&[NodeBehavior::Store(SMALL)], 0).await;
    let all = exhaust(&mixed.rig);
    assert_eq!(mixed.rig.ask(&write_to_target(300, &body(20 * 1024))).await.0, 503);
    assert!(mixed.log.all().is_empty());
    drop(all);
    until_released(&mixed.rig).await;
}

/// Guards against commands that are failed, or executed in part, because there is no memory for their data:
/// data that the host sends unasked interrupts its command, other data is requested once there is memory.
#[tokio::test]
async fn commands_of_nvme_hosts_wait_for_memory_or_are_interrupted() {
    let mixed = start_mixed(&[NodeBehavior::Store(SMALL)], 0).await;
    let mut host = Host::connect(mixed.address).await;
    let all = exhaust(&mixed.rig);
    assert_eq!(host.write(1, 0, vec![1; SMALL]).await.code, Status::INTERRUPTED.code);
    let blocks = BlockRange { nsid: 1, first: 8, count: 64 };
    let sgl = Sgl::Transport { length: 64 * SMALL as u32 };
    host.io.send(&[capsule(7, Body::Write(blocks), sgl, Bytes::new())]).await.unwrap();
    assert!(timeout(SILENCE, host.io.next()).await.is_err(), "data is requested without memory");
    drop(all);
    let data = Bytes::from(vec![2; 64 * SMALL]);
    assert_eq!(finish(&mut host.io, 7, data.clone()).await.0.status, Status::SUCCESS);
    assert_eq!(host.read(1, 8, 64 * SMALL).await.1, data);
    until_released(&mixed.rig).await;
}

/// Guards against a command that was aborted while it waited for memory, and is requested all the same.
#[tokio::test]
async fn a_write_that_waits_for_memory_can_be_aborted() {
    let mixed = start_mixed(&[NodeBehavior::Store(SMALL)], 0).await;
    let mut host = Host::connect(mixed.address).await;
    let all = exhaust(&mixed.rig);
    let blocks = BlockRange { nsid: 1, first: 8, count: 64 };
    let sgl = Sgl::Transport { length: 64 * SMALL as u32 };
    host.io.send(&[capsule(7, Body::Write(blocks), sgl, Bytes::new())]).await.unwrap();
    assert!(timeout(SILENCE, host.io.next()).await.is_err(), "data is requested without memory");
    let abort = Body::Abort { queue: 1, cid: 7 };
    assert_eq!(ask(&mut host.admin, 2, abort, NONE, Bytes::new()).await.0.result, 0);
    let Pdu::Response(completion) = next_pdu(&mut host.io).await else { panic!("no completion") };
    assert_eq!((completion.cid, completion.status.code), (7, Status::ABORTED.code));
    drop(all);
    assert!(timeout(SILENCE, host.io.next()).await.is_err(), "data of an aborted command is requested");
    assert!(mixed.log.all().is_empty());
    until_released(&mixed.rig).await;
}
