//! The endpoint list as discovery sends it: watches, snapshots, and the lease on the list.

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
async fn it_is_ready_once_it_has_an_endpoint_list() {
    let rig = rig(&[], None).await;
    let ask = HEALTH_CHECK;
    rig.until(|c| c.endpoint_updates == 1).await;
    assert_eq!(rig.ask(ask).await.0, 503);
    let (_, address) = listen().await;
    let entry = member("s0", address, 0, "in_service", 0);
    let list = format!(r#"{{"revision":8,"complete":true,"members":[{entry}]}}"#);
    rig.core
        .discovery_sender()
        .send(CoreMessage::EndpointUpdate(discovery::parse_update(&list).unwrap()))
        .await
        .unwrap();
    assert_eq!(rig.ask(ask).await.0, 200);
}

/// The rig follows discovery there, as one of 300 hosts, for as long as what is given back stands.
fn follow(rig: &Rig, address: SocketAddr, lists: EndpointListMode) -> watch::Sender<DiscoveryAddress> {
    let (keep, addresses) = watch::channel(DiscoveryAddress::from_now(address));
    let pace = ReconnectPolicy::new(lists, FleetPosition { scheduler_index: 1, schedulers: 300 }, 1);
    tokio::spawn(discovery::watch_endpoints(addresses, 7, lists, rig.core.discovery_sender(), pace));
    keep
}

/// A watch brings a broken line, a change, and then nothing: the line is dropped, the silent watch is opened
/// anew from the version that was heard last.
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
    assert_eq!(rig.until(|c| c.endpoint_updates == 2).await.endpoint_updates, 2);
    let (_again, head) = watched(&listener).await;
    assert!(head.starts_with("get /v1/servers?watch=1&after=9 "), "{head}");
}

/// Two watches stand while discovery moves: the slower one tells what the other knows better.
#[tokio::test]
async fn a_drain_is_not_undone_by_an_older_revision() {
    let OneNode { rig, node, .. } = one_node(&[Does::Serve]).await;
    for (revision, complete, phase, status) in [
        (20, false, "terminating", 503),
        (19, false, "in_service", 503),
        (19, true, "in_service", 503),
        (21, false, "in_service", 200),
        // A whole list tells by absence that it is gone.
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

/// Guards against going by an old list: the one of the start before the agent's first line, and any list once
/// its watches have been silent for so long that a drain counts as told. What comes then is answered at once.
/// An agent that takes a call and has nothing to tell stands by the list: guards against a whole fleet that
/// stops while discovery is down. A call that waits for its turn at a service of all says nothing.
#[rstest]
#[case::the_agent_is_silent(EndpointListMode::Streamed, true, false)]
#[case::nobody_takes_a_call(EndpointListMode::Streamed, false, true)]
#[case::calls_wait_in_turn(EndpointListMode::Polled { max_interval: 10_000_000 }, true, true)]
#[tokio::test]
async fn nothing_is_sent_on_an_expired_endpoint_lease(
    #[case] lists: EndpointListMode,
    #[case] taken: bool,
    #[case] stops: bool,
) {
    let log = Log::default();
    let node = http_node(0, &[Does::Serve], &log).await;
    let entry = member("s0", node, 0, "in_service", 0);
    let ruled = config_text("127.0.0.1:1", "127.0.0.1:1", &entry).replacen(
        r#""safety":{"#,
        r#""safety":{"stopSendingWithinMs":250,"#,
        1,
    );
    let rig = rig_of(&ruled, None).await;
    let mut call = 0;
    let mut asked = async |status: u16| {
        call += 1;
        let (said, ..) = rig.ask(&request("consulta", call, 0, 900, "")).await;
        let (healthy, _, why) = rig.ask(HEALTH_CHECK).await;
        assert_eq!((said, healthy), (status, if status == 200 { 200 } else { 503 }));
        assert_eq!(why.starts_with(b"nothing heard from discovery for "), status == 503, "it says why");
    };
    asked(503).await;
    let (listener, address) = listen().await;
    let _keep = follow(&rig, address, lists);
    let (mut watch, _) = watched(&listener).await;
    tell(&mut watch, "\n").await;
    let heard = Instant::now();
    // What is not accepted is taken by the system, and stays silent.
    let listener = Some(listener).filter(|_| taken);
    rig.until_ready(true).await;
    asked(200).await;
    tell(&mut watch, "{\"revision\":8}\n").await;
    if stops {
        rig.until_ready(false).await;
        assert!(heard.elapsed() >= Duration::from_secs(6), "a line that makes no sense is none");
        asked(503).await;
        assert_eq!(log.all().len(), 1, "nothing was sent");
    } else {
        sleep(Duration::from_secs(10)).await;
    }
    tell(&mut watch, "\n").await;
    rig.until_ready(true).await;
    asked(200).await;
    drop(listener);
}

/// Watches that are broken from their beginning: the agent has news, and answers any other call. Guards
/// against taking it for one that has nothing to tell. Its list comes indented, on many lines.
#[tokio::test]
async fn a_watch_without_any_event_is_replaced_by_a_snapshot() {
    let OneNode { rig, node, .. } = one_node(&[Does::Serve]).await;
    assert_eq!(rig.ask(&request("consulta", 1, 0, 900, "")).await.0, 200);
    let (listener, address) = listen().await;
    let _keep = follow(&rig, address, EndpointListMode::Streamed);
    let entry = member("s0", node, 0, "terminating", 0).replace(',', ",\n    ");
    let list =
        format!("{{\n  \"revision\": 9,\n  \"complete\": true,\n  \"members\": [\n    {entry}\n  ]\n}}\n");
    let mut silent = Vec::new();
    let mut calls = Vec::new();
    while rig.counters().await.endpoint_updates < 2 {
        let (mut stream, _) = timeout(PATIENCE, listener.accept()).await.expect("a call").unwrap();
        let (head, ..) = read_message(&mut stream).await.unwrap();
        calls.push(head.lines().next().unwrap().to_owned());
        if head.starts_with("get /v1/servers http") {
            let length = list.len();
            let answer = format!("HTTP/1.1 200 OK\r\ncontent-length: {length}\r\n\r\n{list}");
            stream.write_all(answer.as_bytes()).await.unwrap();
            rig.until(|c| c.endpoint_updates == 2).await;
        }
        silent.push(stream);
    }
    assert_eq!(calls, ["get /v1/servers?watch=1&after=7 http/1.1", "get /v1/servers http/1.1"]);
    assert_eq!(rig.ask(&request("consulta", 2, 0, 900, "")).await.0, 503);
}

/// Discovery is down for a while: the watch falls silent. Guards against a host of a large fleet that then
/// listens to nobody for half a minute, while its agent has news, which count as told.
#[tokio::test]
async fn a_watch_that_timed_out_is_read_until_another_one_delivers() {
    let OneNode { rig, node, .. } = one_node(&[Does::Serve]).await;
    let (listener, address) = listen().await;
    let _keep = follow(&rig, address, EndpointListMode::Polled { max_interval: 10_000_000 });
    let (mut watch, _) = watched(&listener).await;
    tell(&mut watch, "\n").await;
    // Longer than a sound watch is silent, and far less than such a fleet's pause before the next call.
    sleep(Duration::from_millis(3500)).await;
    let drain = member("s0", node, 0, "terminating", 0).replace('\n', "");
    tell(&mut watch, &format!("{{\"revision\":9,\"complete\":false,\"members\":[{drain}]}}\n")).await;
    rig.until(|c| c.endpoint_updates == 2).await;
    assert_eq!(rig.ask(&request("consulta", 1, 0, 900, "")).await.0, 503);
}

/// Guards against a fleet that comes back to discovery as one, and against calls without a pause: with two
/// seeds, watches that are refused are opened anew at other times, ever more seldom.
#[tokio::test]
async fn rejected_watches_are_reopened_with_jittered_backoff() {
    let rig = rig(&[], None).await;
    let mut gaps = Vec::new();
    for seed in [1, 2] {
        let (listener, address) = listen().await;
        let (_keep, addresses) = watch::channel(DiscoveryAddress::from_now(address));
        let pace = ReconnectPolicy::new(
            EndpointListMode::Streamed,
            FleetPosition { scheduler_index: 0, schedulers: 1 },
            seed,
        );
        let following = tokio::spawn(discovery::watch_endpoints(
            addresses,
            7,
            EndpointListMode::Streamed,
            rig.core.discovery_sender(),
            pace,
        ));
        let mut seen = Vec::new();
        while seen.len() < 5 {
            // Closed as soon as it is there.
            drop(timeout(PATIENCE, listener.accept()).await.expect("a watch").unwrap());
            seen.push(Instant::now());
        }
        following.abort();
        gaps.push(seen.windows(2).map(|pair| pair[1] - pair[0]).collect::<Vec<_>>());
    }
    // A tenth of 60, 120, 240 and 480 ms at the least, and hardly more than the whole of them: not to the
    // millisecond alike.
    for (gap, least) in gaps.iter().flat_map(|gaps| gaps.iter().zip([6, 12, 24, 48])) {
        assert!(*gap >= Duration::from_millis(least), "{gaps:?}");
    }
    let apart = gaps[0].iter().zip(&gaps[1]).map(|(a, b)| a.abs_diff(*b)).max();
    assert!(apart > Some(Duration::from_millis(3)), "{gaps:?}");
}

/// What goes wrong on a watch: nothing of it counts, the list before stands, and the watch is opened anew.
#[rstest]
#[case::refused("HTTP/1.1 503 Service Unavailable\r\ncontent-length: 0\r\n\r\n", 0)]
#[case::cut_in_a_list("HTTP/1.1 200 OK\r\ntransfer-encoding: chunked\r\n\r\n40\r\n{\"revision\":9,\"comp", 0)]
#[case::no_line("HTTP/1.1 200 OK\r\ntransfer-encoding: chunked\r\n\r\n", 5 << 20)]
#[tokio::test]
async fn a_rejected_truncated_or_oversized_list_keeps_the_last_valid_one(
    #[case] begins: &str,
    #[case] noise: usize,
) {
    let OneNode { rig, node, .. } = one_node(&[Does::Serve]).await;
    let (listener, address) = listen().await;
    let _keep = follow(&rig, address, EndpointListMode::Streamed);
    let (mut watch, _) = timeout(PATIENCE, listener.accept()).await.expect("a watch").unwrap();
    watch.write_all(begins.as_bytes()).await.unwrap();
    for _ in 0..noise >> 16 {
        // It may be dropped before the last of it.
        let _ = watch.write_all(format!("10000\r\n{}\r\n", "x".repeat(1 << 16)).as_bytes()).await;
    }
    if noise == 0 {
        drop(watch);
    }
    let (mut again, head) = watched(&listener).await;
    assert!(head.starts_with("get /v1/servers?watch=1&after=7 "), "{head}");
    assert_eq!(rig.ask(&request("consulta", 1, 0, 900, "")).await.0, 200);
    let gone = member("s0", node, 0, "terminated", 0).replace('\n', "");
    tell(&mut again, &format!("{{\"revision\":9,\"complete\":false,\"members\":[{gone}]}}\n")).await;
    rig.until(|c| c.endpoint_updates == 2).await;
    assert_eq!(rig.ask(&request("consulta", 2, 0, 900, "")).await.0, 503);
}

/// Six in ten nodes are replaced while the first list is old and discovery answers late: what is asked of a
/// gone node is answered, never sent on; once the list is there each shard is served by its new node.
#[tokio::test]
async fn a_late_update_that_replaces_most_nodes_moves_every_shard() {
    let (old, new) = (Log::default(), Log::default());
    let (mut listed, mut kept) = (Vec::new(), Vec::new());
    for shard in 0..10 {
        // Six of the old ones are gone: nobody listens there.
        let (socket, gone) = nobody();
        kept.push(socket);
        let address = if shard < 6 { gone } else { http_node(shard, &[Does::Serve], &old).await };
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
        let address = http_node(shard, &[Does::Serve], &new).await;
        changes.push(member(&format!("old{shard}"), address, shard, "terminated", 0));
        changes.push(member(&format!("new{shard}"), address, shard, "in_service", 0));
    }
    let changes = changes.join(",").replace('\n', "");
    tell(&mut watch, &format!("{{\"revision\":9,\"complete\":false,\"members\":[{changes}]}}\n")).await;
    rig.until(|c| c.endpoint_updates == 2).await;
    for shard in 0..10 {
        let status = rig.ask(&request("consulta", 101 + shard, shard as i32, 900, "")).await.0;
        assert_eq!(status, 200, "shard {shard} by the new list");
    }
    assert_eq!((old.all().len(), new.all().len()), (8, 6));
}
