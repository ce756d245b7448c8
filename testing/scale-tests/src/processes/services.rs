//! The services that a measured scheduler needs, on a thread of their own: a list service, and a few
//! listeners that all listed storage nodes share.

use std::net::SocketAddr;
use std::path::{Path, PathBuf};
use std::process::Command;
use std::thread::{self, JoinHandle};

use heathward_fakes::{config_text, http_node, member, Discovery, Listed, Log, NodeBehavior, Program};
use tokio::sync::oneshot;

/// Listeners behind all listed storage nodes: a system has fewer ports than the largest list has entries.
const LISTENERS: u32 = 8;
/// Version of the list at the start, in the configuration and at the list service.
const FIRST_REVISION: u64 = 1;

/// The services; ended when dropped.
pub struct Services {
    /// The list service.
    pub discovery: Discovery,
    listed: Vec<Listed>,
    folder: PathBuf,
    stop: Option<oneshot::Sender<()>>,
    thread: Option<JoinHandle<()>>,
}

impl Services {
    /// With a list of so many nodes.
    pub fn start(nodes: u32) -> Self {
        let (stop, stopped) = oneshot::channel();
        let (started, starting) = std::sync::mpsc::channel();
        let thread = thread::spawn(move || {
            super::run(async move {
                let mut addresses = Vec::new();
                for number in 0..LISTENERS {
                    addresses.push(http_node(number, &[NodeBehavior::Serve], &Log::default()).await);
                }
                let listed: Vec<Listed> = (0..nodes).map(|number| entry(number, &addresses)).collect();
                let discovery = Discovery::start(listed.clone()).await;
                started.send((discovery, listed)).expect("whoever starts them waits");
                // Ends with an error where the sender was dropped, which is as good.
                let _ = stopped.await;
            });
        });
        let (discovery, listed) = starting.recv().expect("services that start");
        let port = discovery.address.port();
        let folder = std::env::temp_dir().join(format!("heathward-scale-{}-{port}", std::process::id()));
        std::fs::create_dir_all(&folder).expect("a folder for temporary files");
        Self { discovery, listed, folder, stop: Some(stop), thread: Some(thread) }
    }

    /// Starts a scheduler that may hold so many descriptors, and knows the list already.
    pub fn scheduler(&self, program: &Path, descriptors: usize) -> Program {
        let mut command = Command::new(program);
        command.env("GW_CONFIG", self.config(descriptors));
        Program::start(command)
    }

    fn config(&self, descriptors: usize) -> PathBuf {
        let path = self.folder.join(format!("{descriptors}.json"));
        if !path.exists() {
            let line = |node: &Listed| member(&node.id, node.address, node.shard, node.phase, 0);
            let members: Vec<String> = self.listed.iter().map(line).collect();
            let text = config_text("127.0.0.1:0", &self.discovery.address.to_string(), &members.join(","))
                .replace("\"revision\":7", &format!("\"revision\":{FIRST_REVISION}"))
                .replace("\"sockets\":256", &format!("\"sockets\":{descriptors}"));
            std::fs::write(&path, text).expect("a folder that takes files");
        }
        path
    }

    /// Ports at which the listed nodes listen.
    pub fn node_ports(&self) -> Vec<u16> {
        let mut ports: Vec<u16> = self.listed.iter().map(|node| node.address.port()).collect();
        ports.sort_unstable();
        ports.dedup();
        ports
    }

    /// One entry of the list changes: the last one drains, or is in service again.
    pub fn change(&self) {
        let last = self.listed.last().expect("a list with entries");
        self.discovery.change(&last.id, |node| {
            node.phase = if node.phase == "in_service" { "terminating" } else { "in_service" };
        });
    }
}

impl Drop for Services {
    fn drop(&mut self) {
        self.stop.take();
        if let Some(thread) = self.thread.take() {
            // A stand-in that panicked has said why on standard error.
            let _ = thread.join();
        }
        // Left behind where the system does not let go of it: a folder for temporary files.
        let _ = std::fs::remove_dir_all(&self.folder);
    }
}

fn entry(number: u32, addresses: &[SocketAddr]) -> Listed {
    Listed {
        id: format!("node-{number:05}"),
        address: addresses[number as usize % addresses.len()],
        shard: number,
        phase: "in_service",
        up_since_ms: 0,
    }
}
