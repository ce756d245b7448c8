//! Ids of requests that come again.

use std::time::Duration;

use rstest::rstest;
use tokio::io::AsyncWriteExt;
use tokio::net::TcpStream;
use tokio::time::sleep;

use heathward_fakes::*;

use crate::support::{one_node, OneNode};

/// Guards against a write that is executed a second time because its id comes again after its answer. A read,
/// which is safe to repeat, is served again.
#[tokio::test]
async fn an_id_of_an_executed_write_is_rejected() {
    let OneNode { rig, log, .. } = one_node(&[NodeBehavior::Serve]).await;
    let again = request("pedido", 0xab, 0, 700, "");
    assert_eq!(rig.ask(&again).await.0, 200);
    assert_eq!(rig.ask(&again).await.0, 400);
    let in_upper_case = again.replace("X-Call-Id: 00000000000000ab", "X-Call-Id: 00000000000000AB");
    assert_eq!(rig.ask(&in_upper_case).await.0, 400);
    assert_eq!(log.all().len(), 1);
    for _ in 0..2 {
        assert_eq!(rig.ask(&request("consulta", 0xcd, 0, 700, "")).await.0, 200);
    }
}

/// Guards against a write that is executed a second time because its id comes again after its client has
/// left, while the node executes it or later.
#[rstest]
#[case::while_it_is_executed(0)]
#[case::later(400)]
#[tokio::test]
async fn an_id_of_a_client_that_has_left_is_rejected(
    #[case] pause_ms: u64,
    #[values(NodeBehavior::LateServe, NodeBehavior::LateError, NodeBehavior::Silent)] node: NodeBehavior,
) {
    let OneNode { rig, log, .. } = one_node(&[node, NodeBehavior::Serve]).await;
    let mut client = TcpStream::connect(rig.front).await.unwrap();
    let write = request("pedido", 7, 0, 300, "w");
    client.write_all(write.as_bytes()).await.unwrap();
    rig.until(|counters| counters.attempts_written == 1).await;
    drop(client);
    rig.until(|counters| counters.client_disconnects == 1).await;
    sleep(Duration::from_millis(pause_ms)).await;
    assert_eq!(rig.ask(&write).await.0, 400);
    assert_eq!(log.all().len(), 1);
}

/// Guards against rejecting a request that can not have been executed: its client may send it again as it
/// is.
#[tokio::test]
async fn an_id_of_a_request_that_was_not_executed_may_come_again() {
    let OneNode { rig, log, .. } = one_node(&[NodeBehavior::Reject, NodeBehavior::Serve]).await;
    let write = request("pedido", 7, 0, 700, "w");
    assert_eq!(rig.ask(&write).await.0, 503);
    sleep(Duration::from_millis(300)).await;
    assert_eq!(rig.ask(&write).await.0, 200);
    assert_eq!(log.all().len(), 2);
}
