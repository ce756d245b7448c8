//! A scheduler with both fronts, before an HTTP node and an NVMe target.

use std::net::SocketAddr;
use std::sync::Arc;

use heathward_transport::nvme::{serve, NvmeMap, Subsystem};
use tokio::sync::watch;

use heathward_fakes::nvme::*;
use heathward_fakes::*;

/// Returns an NVMe map. Namespace 1 alternates between shard 0 (HTTP) and shard 1 (a target), 256 blocks
/// each; namespace 2 is on shard 2, an address where nothing listens.
fn map() -> String {
    let namespace = |nsid: u32, shards: &str| {
        format!(
            r#"{{"nsid":{nsid},"volume":"{nsid:016x}","plan":"prioritario","hosts":1,"blocks":4096,
            "stripe":256,"shards":{shards}}}"#
        )
    };
    format!(
        r#"{{"listen":"127.0.0.1:0","subsystem":"{FRONT}","queues":2,"depth":64,"block":512,"unit_blocks":16,
        "read":"consulta","write":"pedido","namespaces":[{},{}],
        "targets":[{{"node":"s1","subsystem":"{NODE}"}}]}}"#,
        namespace(1, "[0,1]"),
        namespace(2, "[2]"),
    )
}

/// A scheduler with both fronts, an HTTP node on shard 0 and an NVMe target on shard 1.
pub struct MixedRig {
    pub rig: Rig,
    pub log: Log,
    pub address: SocketAddr,
    pub stop: watch::Sender<bool>,
    _reserved_socket: tokio::net::TcpSocket,
}

/// Starts the scheduler with both fronts. The HTTP node and the target both follow `script`.
pub async fn start_mixed(script: &[NodeBehavior], up_since_ms: u128) -> MixedRig {
    start_mixed_with(script, up_since_ms, |configuration| configuration).await
}

/// Starts the scheduler with both fronts as [`start_mixed`] does, with a changed configuration.
pub async fn start_mixed_with(
    script: &[NodeBehavior],
    up_since_ms: u128,
    change: impl Fn(String) -> String,
) -> MixedRig {
    let log = Log::default();
    let http = http_node(0, script, &log).await;
    let target = target(1, script, &log).await;
    let (reserved_socket, unused_address) = unused_address();
    let members = [
        member("s0", http, 0, "in_service", up_since_ms),
        member("s1", target, 1, "in_service", up_since_ms),
        member("s2", unused_address, 2, "in_service", 0),
    ];
    let text = change(config_text("127.0.0.1:1", "127.0.0.1:1", &members.join(",")));
    let deployment = heathward_config::parse_configuration(&text).unwrap().deployment;
    let map = Arc::new(NvmeMap::parse(&map(), &deployment).unwrap());
    let rig = rig_of(&text, Some(map.clone())).await;
    let subsystem = Subsystem::new(map, rig.core.clone(), 1);
    let (listener, address) = listen().await;
    let (stop, stopping) = watch::channel(false);
    tokio::spawn(serve(listener, subsystem, 16, stopping));
    MixedRig { rig, log, address, stop, _reserved_socket: reserved_socket }
}
