//! The endpoint list as discovery sends it: watches, snapshots, and the endpoint lease.

use std::net::SocketAddr;
use std::time::Duration;

use heathward_core::CoreMessage;
use heathward_discovery_pacing::FleetPosition;
use heathward_policy::EndpointListMode;
use heathward_transport::backoff::ReconnectPolicy;
use heathward_transport::discovery::{self, DiscoveryAddress};
use rstest::rstest;
use tokio::io::AsyncWriteExt;
use tokio::sync::watch;
use tokio::time::{sleep, timeout, Instant};

use heathward_fakes::*;

use crate::support::{one_node, OneNode, HEALTH_CHECK};

#[tokio::test]
async fn the_scheduler_is_ready_once_it_has_an_endpoint_list() {
    let rig = rig(&[], None).await;
    let health_check = HEALTH_CHECK;
    rig.until(|counters| counters.endpoint_updates == 1).await;
    assert_eq!(rig.ask(health_check).await.0, 503);
    let (_, address) = listen().await;
    let entry = member("s0", address, 0, "in_service", 0);
    let list = format!(r#"{{"revision":8,"complete":true,"members":[{entry}]}}"#);
    rig.core
        .discovery_sender()
        .send(CoreMessage::EndpointUpdate(discovery::parse_update(&list).unwrap()))
        .await
        .unwrap();
    assert_eq!(rig.ask(health_check).await.0, 200);
}

/// Has the scheduler follow discovery at `address`, as one of 300 hosts, until the returned sender is
/// dropped.
fn follow(rig: &Rig, address: SocketAddr, mode: EndpointListMode) -> watch::Sender<DiscoveryAddress> {
    let (keep, addresses) = watch::channel(DiscoveryAddress::from_now(address));
    let reconnect_policy =
        ReconnectPolicy::new(mode, FleetPosition { scheduler_index: 1, schedulers: 300 }, 1);
    tokio::spawn(discovery::watch_endpoints(
        addresses,
        7,
        mode,
        rig.core.discovery_sender(),
        reconnect_policy,
    ));
    keep
}

/// A watch delivers a malformed line, a change, and then nothing: the line is dropped, and the silent watch
/// is reopened from the revision that was received last.
#[tokio::test]
async fn a_watch_that_times_out_is_reopened_and_a_malformed_line_dropped() {
    let rig = rig(&[], None).await;
    let (listener, address) = listen().await;
    let _keep = follow(&rig, address, EndpointListMode::Streamed);
    let entry = member("s0", address, 0, "in_service", 0).replace('\n', "");
    let line = format!("{{\"revision\":9,\"complete\":false,\"members\":[{entry}]}}\n");
    let (mut watch, head) = watched(&listener).await;
    assert!(head.starts_with("get /v1/servers?watch=1&after=7 "), "{head}");
    tell(&mut watch, &format!("{{\"revision\":8,\"members\":3}}\n{line}")).await;
    assert_eq!(rig.until(|counters| counters.endpoint_updates == 2).await.endpoint_updates, 2);
    let (_reopened_watch, head) = watched(&listener).await;
    assert!(head.starts_with("get /v1/servers?watch=1&after=9 "), "{head}");
}

/// Two watches are open while the address of discovery changes, and the slower one delivers older
/// revisions than the other.
#[tokio::test]
async fn a_drain_is_not_undone_by_an_older_revision() {
    let OneNode { rig, node, .. } = one_node(&[NodeBehavior::Serve]).await;
    for (revision, complete, phase, status) in [
        (20, false, "terminating", 503),
        (19, false, "in_service", 503),
        (19, true, "in_service", 503),
        (21, false, "in_service", 200),
        // A node that is absent from a complete list is gone.
        (22, true, "", 503),
        (21, true, "in_service", 503),
        (21, false, "in_service", 503),
        (23, false, "in_service", 200),
    ] {
        let entry = if phase.is_empty() { String::new() } else { member("s0", node, 0, phase, 0) };
        let list = format!(r#"{{"revision":{revision},"complete":{complete},"members":[{entry}]}}"#);
        rig.core
            .discovery_sender()
            .send(CoreMessage::EndpointUpdate(discovery::parse_update(&list).unwrap()))
            .await
            .unwrap();
        assert_eq!(rig.ask(&request("consulta", revision, 0, 900, "")).await.0, status, "{list}");
    }
}

/// Guards against use of an outdated list: the list from startup before the agent's first line, and any
/// list once its watches have been silent for so long that a drain must have been taken into account.
/// Requests are then answered at once. An agent that accepts a call and has nothing to report confirms the
/// list: guards against a whole fleet that stops while discovery is down. A call that waits for its turn
/// at a shared service confirms nothing.
#[rstest]
#[case::agent_without_changes(EndpointListMode::Streamed, true, false)]
#[case::no_agent_accepts_calls(EndpointListMode::Streamed, false, true)]
#[case::calls_wait_for_their_turn(EndpointListMode::Polled { max_interval: 10_000_000 }, true, true)]
#[tokio::test]
async fn nothing_is_sent_on_an_expired_endpoint_lease(
    #[case] mode: EndpointListMode,
    #[case] accepts_calls: bool,
    #[case] expires: bool,
) {
    let log = Log::default();
    let node = http_node(0, &[NodeBehavior::Serve], &log).await;
    let entry = member("s0", node, 0, "in_service", 0);
    let config = config_text("127.0.0.1:1", "127.0.0.1:1", &entry).replacen(
        r#""safety":{"#,
        r#""safety":{"stopSendingWithinMs":250,"#,
        1,
    );
    let rig = rig_of(&config, None).await;
    let mut call = 0;
    let mut expect_status = async |status: u16| {
        call += 1;
        let (answered, ..) = rig.ask(&request("consulta", call, 0, 900, "")).await;
        let (healthy, _, reason) = rig.ask(HEALTH_CHECK).await;
        assert_eq!((answered, healthy), (status, if status == 200 { 200 } else { 503 }));
        assert_eq!(
            reason.starts_with(b"nothing heard from discovery for "),
            status == 503,
            "the health answer gives the reason"
        );
    };
    expect_status(503).await;
    let (listener, address) = listen().await;
    let _keep = follow(&rig, address, mode);
    let (mut watch, _) = watched(&listener).await;
    tell(&mut watch, "\n").await;
    let last_line_at = Instant::now();
    // The system accepts connections that the listener does not, and nothing answers on them.
    let listener = Some(listener).filter(|_| accepts_calls);
    rig.until_ready(true).await;
    expect_status(200).await;
    tell(&mut watch, "{\"revision\":8}\n").await;
    if expires {
        rig.until_ready(false).await;
        assert!(
            last_line_at.elapsed() >= Duration::from_secs(6),
            "a malformed line does not renew the lease"
        );
        expect_status(503).await;
        assert_eq!(log.all().len(), 1, "nothing was sent");
    } else {
        sleep(Duration::from_secs(10)).await;
    }
    tell(&mut watch, "\n").await;
    rig.until_ready(true).await;
    expect_status(200).await;
    drop(listener);
}

/// Watches deliver nothing from their beginning, although the agent has changes and answers all other calls.
/// Guards against taking the agent for one that has nothing to report. Its list is indented, over many lines.
#[tokio::test]
async fn a_watch_without_any_event_is_replaced_by_a_snapshot() {
    let OneNode { rig, node, .. } = one_node(&[NodeBehavior::Serve]).await;
    assert_eq!(rig.ask(&request("consulta", 1, 0, 900, "")).await.0, 200);
    let (listener, address) = listen().await;
    let _keep = follow(&rig, address, EndpointListMode::Streamed);
    let entry = member("s0", node, 0, "terminating", 0).replace(',', ",\n    ");
    let list =
        format!("{{\n  \"revision\": 9,\n  \"complete\": true,\n  \"members\": [\n    {entry}\n  ]\n}}\n");
    let mut silent = Vec::new();
    let mut calls = Vec::new();
    while rig.counters().await.endpoint_updates < 2 {
        let (mut stream, _) = timeout(TEST_TIMEOUT, listener.accept()).await.expect("a call").unwrap();
        let (head, ..) = read_message(&mut stream).await.unwrap();
        calls.push(head.lines().next().unwrap().to_owned());
        if head.starts_with("get /v1/servers http") {
            let length = list.len();
            let answer = format!("HTTP/1.1 200 OK\r\ncontent-length: {length}\r\n\r\n{list}");
            stream.write_all(answer.as_bytes()).await.unwrap();
            rig.until(|counters| counters.endpoint_updates == 2).await;
        }
        silent.push(stream);
    }
    assert_eq!(calls, ["get /v1/servers?watch=1&after=7 http/1.1", "get /v1/servers http/1.1"]);
    assert_eq!(rig.ask(&request("consulta", 2, 0, 900, "")).await.0, 503);
}

/// Discovery is down for a while, and the watch is silent. Guards against a host of a large fleet that then
/// reads no watch for half a minute, and misses changes that are delivered on the old watch meanwhile.
#[tokio::test]
async fn a_watch_that_timed_out_is_read_until_another_one_delivers() {
    let OneNode { rig, node, .. } = one_node(&[NodeBehavior::Serve]).await;
    let (listener, address) = listen().await;
    let _keep = follow(&rig, address, EndpointListMode::Polled { max_interval: 10_000_000 });
    let (mut watch, _) = watched(&listener).await;
    tell(&mut watch, "\n").await;
    // Longer than the silence of a healthy watch, and far shorter than the pause of such a fleet before the
    // next call.
    sleep(Duration::from_millis(3500)).await;
    let drain = member("s0", node, 0, "terminating", 0).replace('\n', "");
    tell(&mut watch, &format!("{{\"revision\":9,\"complete\":false,\"members\":[{drain}]}}\n")).await;
    rig.until(|counters| counters.endpoint_updates == 2).await;
    assert_eq!(rig.ask(&request("consulta", 1, 0, 900, "")).await.0, 503);
}

/// Guards against a fleet that reconnects to discovery all at once, and against calls without a pause: with
/// two seeds, rejected watches are reopened at different times, at growing intervals.
#[tokio::test]
async fn rejected_watches_are_reopened_with_jittered_backoff() {
    let rig = rig(&[], None).await;
    let mut gaps = Vec::new();
    for seed in [1, 2] {
        let (listener, address) = listen().await;
        let (_keep, addresses) = watch::channel(DiscoveryAddress::from_now(address));
        let reconnect_policy = ReconnectPolicy::new(
            EndpointListMode::Streamed,
            FleetPosition { scheduler_index: 0, schedulers: 1 },
            seed,
        );
        let following = tokio::spawn(discovery::watch_endpoints(
            addresses,
            7,
            EndpointListMode::Streamed,
            rig.core.discovery_sender(),
            reconnect_policy,
        ));
        let mut opened_at = Vec::new();
        while opened_at.len() < 5 {
            // Closes the connection at once.
            drop(timeout(TEST_TIMEOUT, listener.accept()).await.expect("a watch").unwrap());
            opened_at.push(Instant::now());
        }
        following.abort();
        gaps.push(opened_at.windows(2).map(|pair| pair[1] - pair[0]).collect::<Vec<_>>());
    }
    // The longest delays are 50, 100, 200 and 400 ms, and a delay is at least a tenth of its longest one.
    // With these seeds the delays are also at least a tenth of 60, 120, 240 and 480 ms. Those of the two
    // seeds differ by milliseconds.
    for (gap, least) in gaps.iter().flat_map(|gaps| gaps.iter().zip([6, 12, 24, 48])) {
        assert!(*gap >= Duration::from_millis(least), "{gaps:?}");
    }
    let largest_difference = gaps[0].iter().zip(&gaps[1]).map(|(a, b)| a.abs_diff(*b)).max();
    assert!(largest_difference > Some(Duration::from_millis(3)), "{gaps:?}");
}

/// A watch fails: none of what it delivered is applied, the list before it stays in force, and the watch is
/// reopened.
#[rstest]
#[case::refused("HTTP/1.1 503 Service Unavailable\r\ncontent-length: 0\r\n\r\n", 0)]
#[case::cut_in_a_list("HTTP/1.1 200 OK\r\ntransfer-encoding: chunked\r\n\r\n40\r\n{\"revision\":9,\"comp", 0)]
#[case::no_line("HTTP/1.1 200 OK\r\ntransfer-encoding: chunked\r\n\r\n", 5 << 20)]
#[tokio::test]
async fn a_rejected_truncated_or_oversized_list_keeps_the_last_valid_one(
    #[case] first_bytes: &str,
    #[case] noise_bytes: usize,
) {
    let OneNode { rig, node, .. } = one_node(&[NodeBehavior::Serve]).await;
    let (listener, address) = listen().await;
    let _keep = follow(&rig, address, EndpointListMode::Streamed);
    let (mut watch, _) = timeout(TEST_TIMEOUT, listener.accept()).await.expect("a watch").unwrap();
    watch.write_all(first_bytes.as_bytes()).await.unwrap();
    for _ in 0..noise_bytes >> 16 {
        // The connection may be closed before the last of it is written.
        let _ = watch.write_all(format!("10000\r\n{}\r\n", "x".repeat(1 << 16)).as_bytes()).await;
    }
    if noise_bytes == 0 {
        drop(watch);
    }
    let (mut reopened_watch, head) = watched(&listener).await;
    assert!(head.starts_with("get /v1/servers?watch=1&after=7 "), "{head}");
    assert_eq!(rig.ask(&request("consulta", 1, 0, 900, "")).await.0, 200);
    let gone = member("s0", node, 0, "terminated", 0).replace('\n', "");
    tell(&mut reopened_watch, &format!("{{\"revision\":9,\"complete\":false,\"members\":[{gone}]}}\n")).await;
    rig.until(|counters| counters.endpoint_updates == 2).await;
    assert_eq!(rig.ask(&request("consulta", 2, 0, 900, "")).await.0, 503);
}

/// Six in ten nodes are replaced while the first list is outdated and discovery answers late: requests for a
/// removed node are answered and not forwarded; once the new list is there, each shard is served by its new
/// node.
#[tokio::test]
async fn a_late_update_that_replaces_most_nodes_moves_every_shard() {
    let (old, new) = (Log::default(), Log::default());
    let (mut listed, mut reserved_sockets) = (Vec::new(), Vec::new());
    for shard in 0..10 {
        // Six of the old nodes are gone: nothing listens at their addresses.
        let (socket, gone) = unused_address();
        reserved_sockets.push(socket);
        let address = if shard < 6 { gone } else { http_node(shard, &[NodeBehavior::Serve], &old).await };
        listed.push(member(&format!("old{shard}"), address, shard, "in_service", 0));
    }
    let rig = rig(&listed, None).await;
    let (listener, address) = listen().await;
    let _keep = follow(&rig, address, EndpointListMode::Streamed);
    for shard in 0..10 {
        let status = rig.ask(&request("consulta", 1 + shard, shard as i32, 900, "")).await.0;
        assert_eq!(status, if shard < 6 { 503 } else { 200 }, "shard {shard} by the old list");
    }
    let (mut watch, _) = watched(&listener).await;
    let mut changes = Vec::new();
    for shard in 0..6 {
        let address = http_node(shard, &[NodeBehavior::Serve], &new).await;
        changes.push(member(&format!("old{shard}"), address, shard, "terminated", 0));
        changes.push(member(&format!("new{shard}"), address, shard, "in_service", 0));
    }
    let changes = changes.join(",").replace('\n', "");
    tell(&mut watch, &format!("{{\"revision\":9,\"complete\":false,\"members\":[{changes}]}}\n")).await;
    rig.until(|counters| counters.endpoint_updates == 2).await;
    for shard in 0..10 {
        let status = rig.ask(&request("consulta", 101 + shard, shard as i32, 900, "")).await.0;
        assert_eq!(status, 200, "shard {shard} by the new list");
    }
    assert_eq!((old.all().len(), new.all().len()), (8, 6));
}
