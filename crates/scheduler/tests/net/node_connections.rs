//! Connections to storage nodes: time limits, idle connections, and more nodes than descriptors.

use std::time::Duration;

use heathward_policy::AttemptEnd;
use tokio::net::{TcpSocket, TcpStream};
use tokio::time::{sleep, Instant};

use heathward_fakes::*;

use crate::support::{attempts_ended, one_node, OneNode};

/// The node's machine neither accepts nor refuses a connection. Guards against connecting for more than
/// half of the time budget of the request, and against "it may have been executed" for a request that was
/// never sent.
#[tokio::test]
async fn connecting_to_a_node_times_out_by_half_of_the_time_budget() {
    let socket = TcpSocket::new_v4().unwrap();
    socket.bind("127.0.0.1:0".parse().unwrap()).unwrap();
    let address = socket.local_addr().unwrap();
    let _listener = socket.listen(1).unwrap();
    let queued = (0..8).map(|_| tokio::spawn(TcpStream::connect(address))).collect::<Vec<_>>();
    sleep(Duration::from_millis(100)).await;
    let rig = rig(&[member("s0", address, 0, "in_service", 0)], None).await;
    assert_eq!(rig.ask(&request("pedido", 1, 0, 690, "w")).await.0, 503);
    assert_eq!(attempts_ended(&rig.counters().await, AttemptEnd::NotConnected), 1);
    queued.into_iter().for_each(|connect| connect.abort());
}

/// Guards against a request that is still open when the program is killed.
#[tokio::test]
async fn no_request_gets_more_time_than_is_left_before_the_shutdown() {
    let OneNode { rig, log, .. } = one_node(&[NodeBehavior::Silent]).await;
    rig.core.set_shutdown_deadline(Instant::now() + Duration::from_millis(100)).await;
    assert!(matches!(rig.ask(&request("consulta", 1, 0, 900, "")).await.0, 503 | 504));
    let budget: u32 = header(&log.all()[0].head.to_lowercase(), "x-budget-ms").unwrap().parse().unwrap();
    assert!(budget <= 100, "{budget}");
}

/// Guards against taking a node that closes an idle connection for a node that is down: it would be
/// limited as in slow start and get almost no requests.
#[tokio::test]
async fn a_connection_closed_while_idle_costs_no_attempt() {
    let OneNode { rig, .. } = one_node(&[NodeBehavior::ServeThenClose]).await;
    for call in 0..20 {
        assert_eq!(rig.ask(&request("consulta", call, 0, 900, "")).await.0, 200);
        sleep(Duration::from_millis(call.into())).await;
    }
    let counters = rig.counters().await;
    assert_eq!(
        attempts_ended(&counters, AttemptEnd::NotConnected) + attempts_ended(&counters, AttemptEnd::Reset),
        0,
        "{counters}"
    );
}

#[tokio::test]
async fn an_unresponsive_node_times_out_and_the_answer_comes_by_the_deadline() {
    let OneNode { rig, log, .. } = one_node(&[NodeBehavior::Silent]).await;
    let sent_at = Instant::now();
    let (status, ..) = rig.ask(&request("pedido", 2, 0, 300, "w")).await;
    // A write that may have been executed is never reported as refused.
    assert!(matches!(status, 502 | 504), "{status}");
    assert!(sent_at.elapsed() >= Duration::from_millis(250), "{:?}", sent_at.elapsed());
    rig.until(|counters| attempts_ended(counters, AttemptEnd::TimedOut) == 1).await;
    let deadline = Instant::now() + TEST_TIMEOUT;
    while log.open.lock().unwrap().values().any(|n| *n > 0) {
        assert!(Instant::now() < deadline, "timed out, but its connection is still open");
        tokio::task::yield_now().await;
    }
}

/// Guards against idle connections to some nodes that keep all others from being reached: with more nodes
/// than descriptors for them, each node is reached, and the limit holds.
#[tokio::test]
async fn more_nodes_than_descriptors_are_all_reached() {
    let log = Log::default();
    let mut members = Vec::new();
    for number in 0..NODE_SOCKETS as u32 + 40 {
        let node = http_node(number, &[NodeBehavior::Serve], &log).await;
        members.push(member(&format!("s{number}"), node, number, "in_service", 0));
    }
    let rig = rig(&members, None).await;
    for round in 0..2 {
        for shard in 0..members.len() as u32 {
            let call = round * 1000 + shard;
            assert_eq!(rig.ask(&request("consulta", call, shard as i32, 900, "")).await.0, 200, "{call}");
        }
    }
    assert_eq!(log.all().len(), 2 * members.len());
}
