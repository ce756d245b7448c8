//! Draining nodes and nodes in slow start.

use std::time::{Duration, SystemTime, UNIX_EPOCH};

use heathward_core::CoreMessage;
use heathward_transport::discovery;
use tokio::io::AsyncWriteExt;
use tokio::net::TcpStream;
use tokio::time::{sleep, Instant};

use heathward_fakes::*;

use crate::support::{one_node, OneNode};

#[tokio::test]
async fn a_draining_node_gets_no_new_requests() {
    let OneNode { rig, log, node } = one_node(&[NodeBehavior::Serve]).await;
    assert_eq!(rig.ask(&request("consulta", 1, 0, 900, "")).await.0, 200);
    let entry = member("s0", node, 0, "terminating", 0);
    let change = format!(r#"{{"revision":8,"complete":false,"members":[{entry}]}}"#);
    rig.core
        .discovery_sender()
        .send(CoreMessage::EndpointUpdate(discovery::parse_update(&change).unwrap()))
        .await
        .unwrap();
    for call in 2..10 {
        assert_eq!(rig.ask(&request("consulta", call, 0, 900, "")).await.0, 503);
    }
    assert_eq!(log.all().len(), 1);
}

/// A node that starts at 24% of its capacity can always serve 24 units within any 0.5 s, and is warm after 6
/// s. Guards against a burst right after its start, also by a scheduler that has just started itself.
#[tokio::test]
async fn a_node_in_slow_start_is_not_overloaded() {
    let log = Log::default();
    let node = http_node(0, &[NodeBehavior::Serve], &log).await;
    let started_ms = SystemTime::now().duration_since(UNIX_EPOCH).unwrap().as_millis();
    let rig = rig(&[member("s0", node, 0, "in_service", started_ms)], None).await;
    let clients_started_at = Instant::now();
    let mut clients = tokio::task::JoinSet::new();
    for call in 0..120 {
        let text = request("consulta", call, 0, 900, "");
        let front = rig.front;
        clients.spawn(async move {
            sleep(Duration::from_millis(u64::from(call) * 10)).await;
            let mut stream = TcpStream::connect(front).await.unwrap();
            stream.write_all(text.as_bytes()).await.unwrap();
            answer(&mut stream).await.0
        });
    }
    let statuses = clients.join_all().await;
    assert!(statuses.iter().all(|status| matches!(status, 200 | 503 | 504)), "{statuses:?}");
    let sent: Vec<_> = log.all().iter().map(|seen| seen.at).collect();
    assert!(!sent.is_empty());
    // The units that the node can serve within 0.5 s at the end of the run if it started with the clients:
    // an upper bound for every window, as its capacity only grows. The windows are half as long, as a
    // loaded machine may delay attempts so that they arrive closer together than they were sent.
    let age = clients_started_at.elapsed().as_secs_f64().min(6.0) / 6.0;
    let max_units = 24.0 * (0.24 + 0.76 * age) / 0.24;
    for from in &sent {
        let window = sent.iter().filter(|at| *at >= from && **at < *from + Duration::from_millis(250));
        assert!(window.count() as f64 * 2.0 <= max_units, "more than {max_units} units within the window");
    }
}
