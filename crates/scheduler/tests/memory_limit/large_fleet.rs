//! The list of the largest fleet that the pages name, within the least memory that they name.

use std::net::SocketAddr;

use heathward_fakes::*;
use rstest::rstest;
use tokio::io::AsyncWriteExt;
use tokio::net::TcpStream;
use tokio::task::JoinSet;
use tokio::time::{interval, Duration};

use crate::fixture::{assert_within_limit, receive_answer, turn, Instance, MEMORY_MB};
use crate::http::serve_all;
use crate::upgrade::joint_memory_kb;

/// Nodes of the largest fleet.
const NODES: u32 = 3_200;
/// Clients that send one request at a time each.
const CLIENTS: u32 = 8;
/// The time for which a client waits, in milliseconds.
const BUDGET_MS: u32 = 5_000;
/// How often the memory of two processes is sampled.
const SAMPLE_INTERVAL: Duration = Duration::from_millis(10);

/// Starts the nodes, which all have one address, and returns a scheduler that may hold this many descriptors.
async fn fleet(sockets: usize) -> Instance {
    let (listener, address) = listen().await;
    tokio::spawn(async move {
        while let Ok((stream, _)) = listener.accept().await {
            tokio::spawn(serve_all(stream));
        }
    });
    let members: Vec<String> =
        (0..NODES).map(|shard| member(&format!("s-{shard:08x}"), address, shard, "in_service", 0)).collect();
    Instance::with_sockets(&members, &[], sockets)
}

/// Sends a request to each node; `first_call` is the id of the first.
async fn ask_every_node(listen: SocketAddr, first_call: u32) {
    let mut clients = JoinSet::new();
    for client in 0..CLIENTS {
        clients.spawn(async move {
            for shard in (client..NODES).step_by(CLIENTS as usize) {
                let mut stream = TcpStream::connect(listen).await.unwrap();
                let request = request("consulta", first_call + shard, shard as i32, BUDGET_MS, "");
                stream.write_all(request.as_bytes()).await.unwrap();
                let (status, _) = receive_answer(&mut stream).await.expect("an answer");
                assert_eq!(status, 200, "node {shard}");
            }
        });
    }
    clients.join_all().await;
}

/// Guards against a list that takes the process over its limit: the task and the mailbox of each listed node,
/// whether requests name it or not, held 8 KB. Every node is asked, and the configuration is read again.
#[rstest]
#[tokio::test]
async fn the_list_of_the_largest_fleet_stays_within_the_limit_of_memory(#[values(256, 1024)] sockets: usize) {
    let _turn = turn().await;
    let instance = fleet(sockets).await;
    let mut program = instance.start();
    ask_every_node(instance.listen, 0).await;
    program.signal("-HUP");
    program.until("configuration reloaded");
    ask_every_node(instance.listen, NODES).await;
    assert_within_limit(&program).await;
}

/// Guards against two processes with a large list each that exceed the limit together during an upgrade.
#[tokio::test]
async fn the_list_of_the_largest_fleet_stays_within_the_limit_of_memory_during_an_upgrade() {
    let _turn = turn().await;
    let instance = fleet(1024).await;
    let mut old = instance.start();
    ask_every_node(instance.listen, 0).await;
    let new = instance.start();
    let mut peak_kb = joint_memory_kb(&old, &new);
    old.until("peer process: serving");
    let (mut samples, mut asking) =
        (interval(SAMPLE_INTERVAL), tokio::spawn(ask_every_node(instance.listen, NODES)));
    loop {
        tokio::select! {
            asked = &mut asking => break asked.unwrap(),
            _ = samples.tick() => peak_kb = peak_kb.max(joint_memory_kb(&old, &new)),
        }
    }
    println!("{peak_kb} kB at most");
    assert!(peak_kb <= MEMORY_MB * 1024, "over {MEMORY_MB} MB together: {peak_kb} kB");
}
