//! Case 2. A host writes blocks through the NVMe front and reads them back; the storage node is an NVMe
//! target. With the disruption some of the target's answers to reads are spoilt: their data is shorter than
//! the read.

use std::collections::HashMap;
use std::fs;
use std::io;
use std::net::{SocketAddr, TcpStream};
use std::path::Path;
use std::sync::atomic::{AtomicU64, Ordering};
use std::sync::{Arc, Mutex};
use std::thread;
use std::time::Duration;

use review_stands::config::{config, lanes, Site};
use review_stands::discovery::{Discovery, Member};
use review_stands::nvme::{self, Host, Pdu};
use review_stands::platform::Scheduler;
use review_stands::record::Record;
use review_stands::{free_address, listen, play, trouble, Verdict};

const FRONT: &str = "nqn.2026-12.org.heathward:predio-norte";
const NODE: &str = "nqn.2026-12.org.heathward:node";
/// Blocks of one write and of one read.
const BLOCKS: u32 = 8;
/// Writes that are read back.
const ROUNDS: u64 = 40;
/// With the disruption, one of so many answers to reads is spoilt.
const SPOILT_EVERY: u64 = 8;

fn main() {
    play(case);
}

fn case(folder: &Path, record: &Record) -> Result<Verdict, String> {
    let (listener, node) = listen();
    let target =
        Arc::new(Target { record: record.clone(), blocks: Mutex::default(), reads: AtomicU64::new(0) });
    let serving = target.clone();
    thread::spawn(move || {
        for stream in listener.incoming().flatten() {
            let target = serving.clone();
            thread::spawn(move || target.serve_queue(stream));
        }
    });
    let members = [Member::new("s-0", node, 0)];
    let discovery = Discovery::start(&members);
    let (address, front) = (free_address(), free_address());
    let map_file = folder.join("nvme.json");
    fs::write(&map_file, nvme_map(front)).map_err(|error| error.to_string())?;
    let site = Site::small(address, &discovery, &members);
    let arguments = format!("--nvme {}", map_file.display());
    let mut scheduler = Scheduler::start(folder, address, &config(&site, &lanes()), &arguments);
    scheduler.await_ready(Duration::from_secs(10))?;
    let mut host = Host::connect(front, FRONT).map_err(|error| format!("host: {error}"))?;
    let wrong = write_and_read_back(&mut host, record).map_err(|error| format!("host: {error}"))?;
    record.line(format!("reads completed with success and other data than was written: {wrong}"));
    Ok(if wrong == 0 { Verdict::Held } else { Verdict::Broken })
}

/// Returns how many reads were completed with success and other data than was written.
fn write_and_read_back(host: &mut Host, record: &Record) -> io::Result<usize> {
    let mut wrong = 0;
    for round in 0..ROUNDS {
        let first = round * u64::from(BLOCKS);
        let data: Vec<u8> = (0..BLOCKS * 512).map(|byte| (byte % 251) as u8 + 1).collect();
        let written = host.write(1, first, data.clone())?;
        record.line(format!("host: write of blocks {first}+{BLOCKS}: status {written:#x}"));
        if written != 0 {
            continue;
        }
        let (status, read) = host.read(1, first, BLOCKS)?;
        let is_equal = read == data;
        let zeros = read.iter().filter(|byte| **byte == 0).count();
        record.line(format!(
            "host: read of blocks {first}+{BLOCKS}: status {status:#x}, {} bytes, {zeros} of them zero, \
             as written: {is_equal}",
            read.len()
        ));
        wrong += usize::from(status == 0 && !is_equal);
        thread::sleep(Duration::from_millis(20));
    }
    Ok(wrong)
}

/// A map like that of `deploy/nvme.json`, with the one node as a target.
fn nvme_map(front: SocketAddr) -> String {
    format!(
        "{{\"listen\":\"{front}\",\"subsystem\":\"{FRONT}\",\"queues\":8,\"depth\":32,\"block\":512,\
         \"unit_blocks\":16,\"read\":\"consulta\",\"write\":\"pedido\",\"namespaces\":[{{\"nsid\":1,\
         \"volume\":\"00000003b4d60021\",\"plan\":\"prioritario\",\"hosts\":1,\"blocks\":2097152,\
         \"stripe\":256,\"shards\":[0]}}],\"targets\":[{{\"node\":\"s-0\",\"subsystem\":\"{NODE}\"}}]}}"
    )
}

/// An NVMe target that keeps what is written to it.
struct Target {
    record: Record,
    /// The data of each write, by its first block.
    blocks: Mutex<HashMap<u64, Vec<u8>>>,
    reads: AtomicU64,
}

impl Target {
    /// Serves one queue until its connection ends.
    fn serve_queue(&self, mut stream: TcpStream) -> io::Result<()> {
        stream.set_nodelay(true)?;
        Pdu::read(&mut stream)?;
        nvme::accept(&mut stream)?;
        let mut configuration = 0;
        loop {
            let command = Pdu::read(&mut stream)?;
            if command.kind != nvme::COMMAND {
                return Err(io::ErrorKind::InvalidData.into());
            }
            let (cid, mut result) = (command.word(2), 0);
            match (command.header[0], command.header[4]) {
                (nvme::FABRICS, nvme::CONNECT) => result = 1,
                (nvme::FABRICS, nvme::PROPERTY_SET) => configuration = command.qword(48),
                (nvme::FABRICS, _) => result = configuration & 1,
                (nvme::SET_FEATURES, _) => {}
                (nvme::IDENTIFY, _) => {
                    // A capsule takes 4 KiB of data.
                    let mut page = vec![0; 4096];
                    page[1792..1794].copy_from_slice(&260u16.to_le_bytes());
                    Pdu::data(cid, page).write(&mut stream)?;
                }
                (nvme::WRITE, _) => self.write(&command),
                (nvme::READ, _) => Pdu::data(cid, self.read(&command)).write(&mut stream)?,
                (opcode, _) => return Err(io::Error::other(format!("opcode {opcode:#x}"))),
            }
            Pdu::response(cid, result, 0).write(&mut stream)?;
        }
    }

    fn write(&self, command: &Pdu) {
        let first = command.qword(40);
        self.record.line(format!("target: runs write of block {first}, {} bytes", command.data.len()));
        self.blocks.lock().expect("no holder panics").insert(first, command.data.clone());
    }

    /// Returns the data of a read's answer.
    fn read(&self, command: &Pdu) -> Vec<u8> {
        let (first, asked) = (command.qword(40), (usize::from(command.word(48)) + 1) * 512);
        let mut data = self.blocks.lock().expect("no holder panics").get(&first).cloned().unwrap_or_default();
        data.resize(asked, 0);
        let number = self.reads.fetch_add(1, Ordering::Relaxed) + 1;
        if trouble() && number % SPOILT_EVERY == 0 {
            // A length that does not fit.
            data.truncate(asked / 2);
        }
        self.record
            .line(format!("target: runs read of block {first}, answers {} of {asked} bytes", data.len()));
        data
    }
}
