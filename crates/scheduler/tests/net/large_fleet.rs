//! The program in a fleet far larger than any that it is deployed in: lists have no size limit, and its
//! memory and descriptors depend on what it uses.

use std::net::SocketAddr;
use std::path::PathBuf;
use std::process::Command;

use rstest::rstest;
use tokio::time::{sleep, Duration, Instant};

use heathward_fakes::*;

use crate::support::status_of_read;

const NODES: u32 = 1024;

/// Returns an endpoint list of `nodes` nodes that all have the same address, on one line.
fn list(revision: u32, complete: bool, nodes: u32, address: SocketAddr, phase: &str) -> String {
    let members: Vec<_> = (0..nodes).map(|n| member(&format!("node-{n}"), address, n, phase, 0)).collect();
    let members = members.join(",").replace('\n', "");
    format!("{{\"revision\":{revision},\"complete\":{complete},\"members\":[{members}]}}\n")
}

/// Writes a configuration with 1,024 peers, a limit of 250 ms on sending to a draining node, and limits of
/// 32 MB and 256 descriptors.
fn config(discovery: SocketAddr) -> PathBuf {
    let peers: Vec<_> = (0..NODES).map(|n| format!("\"10.3.{}.{}:7946\"", n / 256, n % 256)).collect();
    let text = config_text("127.0.0.1:0", &discovery.to_string(), "")
        .replacen('{', &format!("{{\"peers\":[{}],", peers.join(",")), 1)
        .replace("\"balancers\":1,", &format!("\"balancers\":{NODES},"))
        .replace("\"memory_mb\":192", "\"memory_mb\":32")
        .replace("\"safety\":{", "\"safety\":{\"stopSendingWithinMs\":250,");
    let path = PathBuf::from(env!("CARGO_TARGET_TMPDIR")).join(format!("fleet-{}.json", discovery.port()));
    std::fs::write(&path, text).unwrap();
    path
}

/// A list of 1,024 nodes, received as a complete list or as one change: each node is reached, and one line
/// removes all of them.
#[rstest]
#[tokio::test]
async fn a_list_of_1024_nodes_is_served_within_32_mb_and_256_descriptors(
    #[values(true, false)] complete: bool,
) {
    let log = Log::default();
    let node = http_node(0, &[NodeBehavior::Serve], &log).await;
    let (discovery, address) = listen().await;
    let mut command = Command::new(env!("CARGO_BIN_EXE_heathward"));
    command.env("GW_CONFIG", config(address));
    let program = Program::start(command);
    let (mut watch, _) = watched(&discovery).await;
    tell(&mut watch, &list(8, complete, NODES, node, "in_service")).await;
    let deadline = Instant::now() + TEST_TIMEOUT;
    while status_of_read(program.listen, NODES, 0).await != 200 {
        assert!(Instant::now() < deadline, "the list is never applied");
        sleep(Duration::from_millis(20)).await;
    }
    let mut peak = program.held();
    for shard in 0..NODES {
        assert_eq!(status_of_read(program.listen, shard, shard as i32).await, 200, "shard {shard}");
        if shard % 64 == 0 {
            peak.descriptors = peak.descriptors.max(program.held().descriptors);
        }
    }
    let usage = program.held();
    assert!(usage.peak_kb <= 32 << 10 && peak.descriptors <= 256, "{usage:?}, {peak:?}");
    tell(&mut watch, &list(9, false, NODES, node, "terminating")).await;
    while status_of_read(program.listen, NODES + 1, 0).await != 503 {
        assert!(Instant::now() < deadline + TEST_TIMEOUT, "the drain is never applied");
        sleep(Duration::from_millis(20)).await;
    }
    let served = log.all().len();
    for shard in 0..NODES {
        assert_eq!(status_of_read(program.listen, shard, shard as i32).await, 503, "shard {shard}");
    }
    assert_eq!(log.all().len(), served, "nothing more is forwarded");
}
