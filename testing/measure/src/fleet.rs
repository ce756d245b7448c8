//! What one scheduler holds before few and before very many nodes, and as many processes as a fleet's on one
//! machine.

use std::net::SocketAddr;
use std::path::Path;
use std::process::Command;

use heathward_fakes::{
    answer, config_text, http_node, member, request, Held, Log, NodeBehavior, Program, TEST_TIMEOUT,
};
use tokio::io::AsyncWriteExt;
use tokio::net::TcpStream;
use tokio::time::{sleep, timeout, Duration};

use crate::{program, Figures, Want};

/// Nodes in the lists: few, as in a large fleet, and what no list may be cut below.
const LISTS: [u32; 3] = [10, 200, 1024];
/// Requests in a round of load, over all nodes of a list.
const ROUND: u32 = 2048;
/// Requests at a time.
const CLIENTS: u32 = 16;
/// Processes of a fleet on one machine.
const FLEET: usize = 350;
/// Descriptors that the configuration allows.
const DESCRIPTORS: f64 = 256.0;

/// All figures.
pub fn run(figures: &mut Figures) {
    let folder = std::env::temp_dir().join(format!("heathward-measure-{}", std::process::id()));
    std::fs::create_dir_all(&folder).expect("a folder for temporary files");
    let runtime = tokio::runtime::Builder::new_current_thread().enable_all().build().expect("a runtime");
    let held: Vec<_> = LISTS.iter().map(|nodes| runtime.block_on(one(&folder, *nodes))).collect();
    let (few_idle, few_loaded) = held[0];
    for (nodes, (idle, loaded)) in LISTS.iter().zip(&held).skip(1) {
        let ratio = |a: usize, b: usize| a as f64 / b as f64;
        let mut tell = |what: &str, value: f64, want| {
            figures.tell(&format!("fleet-{what}-{nodes}-nodes-against-10"), value, "ratio", want);
        };
        tell("resident-idle", ratio(idle.resident_kb, few_idle.resident_kb), Want::AtMost(2.5));
        tell("resident-loaded", ratio(loaded.resident_kb, few_loaded.resident_kb), Want::AtMost(4.0));
        tell("threads", ratio(loaded.threads, few_loaded.threads), Want::Exactly(1.0));
        tell("descriptors-idle", ratio(idle.descriptors, few_idle.descriptors), Want::Exactly(1.0));
        let part = loaded.descriptors as f64 / DESCRIPTORS;
        figures.tell(&format!("fleet-descriptors-of-limit-{nodes}-nodes"), part, "ratio", Want::AtMost(1.0));
    }
    let fleet = all(&folder);
    let most = fleet.iter().map(|held| held.resident_kb).max().unwrap_or(0);
    figures.tell(
        "fleet-processes-that-start-and-idle",
        fleet.len() as f64,
        "processes",
        Want::Exactly(350.0),
    );
    let ratio = most as f64 / held[1].0.resident_kb as f64;
    figures.tell("fleet-resident-largest-of-350-against-one", ratio, "ratio", Want::AtMost(1.5));
    std::fs::remove_dir_all(&folder).expect("the folder is this run's own");
}

/// A scheduler whose list names so many nodes, all at that address.
fn start(folder: &Path, nodes: u32, at: SocketAddr) -> Program {
    let members: Vec<_> = (0..nodes).map(|n| member(&format!("node-{n}"), at, n, "in_service", 0)).collect();
    let text = config_text("127.0.0.1:0", "127.0.0.1:1", &members.join(","));
    let path = folder.join(format!("{nodes}.json"));
    std::fs::write(&path, text).expect("a folder that takes files");
    let mut command = Command::new(program("heathward"));
    command.env("GW_CONFIG", path);
    Program::start(command)
}

/// What it holds idle, and at most after a load that reaches each node.
async fn one(folder: &Path, nodes: u32) -> (Held, Held) {
    let node = http_node(0, &[NodeBehavior::Serve], &Log::default()).await;
    let program = start(folder, nodes, node);
    sleep(Duration::from_millis(100)).await;
    let idle = program.held();
    let mut most = idle;
    for round in 0..ROUND / CLIENTS {
        let asks = (0..CLIENTS).map(|client| {
            let call = round * CLIENTS + client;
            let (front, text) = (program.listen, request("consulta", call, (call % nodes) as i32, 900, ""));
            tokio::spawn(async move {
                let mut stream = TcpStream::connect(front).await.expect("a front that listens");
                stream.write_all(text.as_bytes()).await.expect("a request that is taken");
                timeout(TEST_TIMEOUT, answer(&mut stream)).await.expect("an answer").0
            })
        });
        for ask in asks.collect::<Vec<_>>() {
            assert_eq!(ask.await.expect("no panic"), 200, "every node is reached");
        }
        let held = program.held();
        most.resident_kb = most.resident_kb.max(held.resident_kb);
        most.threads = most.threads.max(held.threads);
        most.descriptors = most.descriptors.max(held.descriptors);
    }
    (idle, most)
}

/// What each of a whole fleet's processes holds, all at once, with 200 nodes in its list.
fn all(folder: &Path) -> Vec<Held> {
    let nobody = SocketAddr::from(([127, 0, 0, 1], 1));
    let fleet: Vec<_> = (0..FLEET).map(|_| start(folder, LISTS[1], nobody)).collect();
    fleet.iter().map(Program::held).collect()
}
