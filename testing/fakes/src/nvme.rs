//! Stand-ins that speak NVMe over TCP: a target (a storage node) and a host (a client). Written from the
//! NVMe base and TCP transport specifications, on the project's own codec.

use std::collections::HashMap;
use std::net::SocketAddr;
use std::sync::{Arc, Mutex};

use bytes::{Bytes, BytesMut};
use heathward_transport::nvme::{
    BlockRange, Body, Command, Completion, Connect, ConnectData, Pdu, PduStream, Sgl, Status,
};
use tokio::net::TcpStream;
use tokio::time::timeout;

use crate::{listen, Log, NodeBehavior, Script, LATE_ANSWER_DELAY, TEST_TIMEOUT};

/// Name of the subsystem that a scheduler's front offers.
pub const FRONT: &str = "nqn.2026-12.org.heathward:test";
/// Name of the subsystem that a target offers.
pub const NODE: &str = "nqn.2026-12.org.heathward:node";
/// Length of a block, in bytes.
pub const SMALL: usize = 512;
/// No data.
pub const NONE: Sgl = Sgl::Transport { length: 0 };

/// Starts a target that follows `script` and keeps what is written to it, and returns its address. Its log
/// has the first block of a command in place of a request id, which this protocol does not transfer.
///
/// # Panics
/// If there is no free port.
pub async fn target(number: u32, script: &[NodeBehavior], log: &Log) -> SocketAddr {
    let (listener, address) = listen().await;
    let (script, log) = (Script::new(script), log.clone());
    let disk = Arc::new(Mutex::new(HashMap::new()));
    tokio::spawn(async move {
        loop {
            let (stream, _) = listener.accept().await.expect("a connection");
            let (script, log, disk) = (script.clone(), log.clone(), disk.clone());
            tokio::spawn(async move {
                target_queue(PduStream::new(stream).expect("a connection"), number, &script, &log, &disk)
                    .await
            });
        }
    });
    address
}

/// Serves one queue of a target; returns `None` once it has ended.
async fn target_queue(
    mut wire: PduStream,
    number: u32,
    script: &Script,
    log: &Log,
    disk: &Mutex<HashMap<u64, Bytes>>,
) -> Option<()> {
    let Pdu::IcReq { .. } = wire.next().await.ok()? else { return None };
    wire.send(&[Pdu::IcResp { pfv: 0, cpda: 0, digests: 0, max_h2c: 4096 }]).await.ok()?;
    let mut cc = 0;
    loop {
        let Pdu::Capsule { command, data } = wire.next().await.ok()? else { return None };
        let (mut result, mut status, mut out) = (0, Status::SUCCESS, Vec::new());
        match command.body {
            Body::Connect(_) => {
                assert_eq!(ConnectData::decode(&data)?.subsystem, NODE);
                result = 1;
            }
            Body::PropertySet { value, .. } => cc = value,
            Body::PropertyGet { .. } => result = cc & 1,
            Body::SetFeatures { .. } => {}
            Body::Identify { .. } => {
                // A capsule takes 4 KiB of data.
                let mut page = BytesMut::zeroed(4096);
                page[1792..1794].copy_from_slice(&260u16.to_le_bytes());
                let data = page.freeze();
                out.push(Pdu::C2hData { cid: command.cid, offset: 0, last: true, data });
            }
            Body::Read(blocks) | Body::Write(blocks) => {
                let behavior = script.next();
                if behavior == NodeBehavior::HangUp {
                    return None;
                }
                let write = matches!(command.body, Body::Write(_));
                let mut body = BytesMut::from(&*data);
                if write && body.is_empty() {
                    let length = match behavior {
                        NodeBehavior::RequestBytes(length) => length as u32,
                        _ => command.sgl.length(),
                    };
                    let ask = Pdu::R2t { cid: command.cid, ttag: 9, offset: 0, length };
                    if length > 0 {
                        wire.send(&[ask]).await.ok()?;
                    }
                    while body.len() < length as usize {
                        let Pdu::H2cData { ttag: 9, data, .. } = wire.next().await.ok()? else { return None };
                        body.extend_from_slice(&data);
                    }
                }
                let call = format!("block {}", blocks.first);
                log.record_request(number, "", &call, &body);
                let end = answer_io(&mut wire, behavior, command, blocks, write, body.freeze(), disk).await;
                log.record_end(&call);
                let (ended, data) = end?;
                status = ended;
                out.extend(data);
            }
            _ => return None,
        }
        out.push(Pdu::Response(Completion { result, head: 0, cid: command.cid, status }));
        wire.send(&out).await.ok()?;
    }
}

async fn answer_io(
    wire: &mut PduStream,
    behavior: NodeBehavior,
    command: Command,
    BlockRange { first, count, .. }: BlockRange,
    write: bool,
    body: Bytes,
    disk: &Mutex<HashMap<u64, Bytes>>,
) -> Option<(Status, Option<Pdu>)> {
    let (cid, size) = (command.cid, count as usize * SMALL);
    if behavior == NodeBehavior::LateServe {
        tokio::time::sleep(LATE_ANSWER_DELAY).await;
    }
    match behavior {
        NodeBehavior::Serve
        | NodeBehavior::LateServe
        | NodeBehavior::ServeThenClose
        | NodeBehavior::Store(_)
        | NodeBehavior::ServeBytes(_)
        | NodeBehavior::RequestBytes(_)
            if write =>
        {
            disk.lock().expect("no holder of the lock panics").insert(first, body);
            Some((Status::SUCCESS, None))
        }
        // A success without data.
        NodeBehavior::ServeBytes(0) => Some((Status::SUCCESS, None)),
        NodeBehavior::ServeBytes(length) => {
            let data = Bytes::from(vec![7; length]);
            Some((Status::SUCCESS, Some(Pdu::C2hData { cid, offset: 0, last: true, data })))
        }
        NodeBehavior::Serve
        | NodeBehavior::LateServe
        | NodeBehavior::ServeThenClose
        | NodeBehavior::Store(_)
        | NodeBehavior::RequestBytes(_) => {
            let kept =
                disk.lock().expect("no holder of the lock panics").get(&first).cloned().unwrap_or_default();
            let mut data = BytesMut::from(&*kept);
            data.resize(size, 0);
            Some((Status::SUCCESS, Some(Pdu::C2hData { cid, offset: 0, last: true, data: data.freeze() })))
        }
        NodeBehavior::Error | NodeBehavior::LateError => Some((Status::INTERNAL, None)),
        NodeBehavior::Reject => Some((Status::NOT_READY, None)),
        NodeBehavior::Silent => {
            // Waits until the scheduler closes the connection.
            let _ = wire.next().await;
            None
        }
        // Data that the command did not request.
        NodeBehavior::Reply(_) => Some((
            Status::SUCCESS,
            Some(Pdu::C2hData { cid, offset: 8, last: true, data: Bytes::from_static(&[0; 8]) }),
        )),
        NodeBehavior::Reset | NodeBehavior::HangUp | NodeBehavior::Cut => None,
    }
}

/// A host with an admin queue and an I/O queue.
pub struct Host {
    /// The admin queue.
    pub admin: PduStream,
    /// The I/O queue.
    pub io: PduStream,
}

/// Opens a connection and initializes it.
///
/// # Panics
/// If the connection is refused or fails.
pub async fn wire(address: SocketAddr) -> PduStream {
    let mut wire =
        PduStream::new(TcpStream::connect(address).await.expect("a listener")).expect("a connection");
    wire.send(&[Pdu::IcReq { pfv: 0, hpda: 0, digests: 0, max_r2t: 0 }])
        .await
        .expect("the connection is open");
    assert!(matches!(next_pdu(&mut wire).await, Pdu::IcResp { pfv: 0, digests: 0, .. }));
    wire
}

/// Receives the next PDU.
///
/// # Panics
/// If no valid PDU arrives in time.
pub async fn next_pdu(wire: &mut PduStream) -> Pdu {
    timeout(TEST_TIMEOUT, wire.next()).await.expect("in time").expect("a sound PDU")
}

/// Returns the capsule of a command.
pub fn capsule(cid: u16, body: Body, sgl: Sgl, data: Bytes) -> Pdu {
    Pdu::Capsule { command: Command::new(cid, sgl, body), data }
}

/// Sends a command, and returns its completion and its data.
///
/// # Panics
/// If the connection fails, or the completion is that of another command.
pub async fn ask(wire: &mut PduStream, cid: u16, body: Body, sgl: Sgl, data: Bytes) -> (Completion, Vec<u8>) {
    wire.send(&[capsule(cid, body, sgl, data.clone())]).await.expect("the connection is open");
    finish(wire, cid, data).await
}

/// Sends the data that a command requests, and returns its completion and its data.
///
/// # Panics
/// If the connection fails, or the completion is that of another command.
pub async fn finish(wire: &mut PduStream, cid: u16, data: Bytes) -> (Completion, Vec<u8>) {
    let mut page = Vec::new();
    loop {
        match next_pdu(wire).await {
            Pdu::Response(completion) => {
                assert_eq!(completion.cid, cid);
                return (completion, page);
            }
            Pdu::C2hData { data, .. } => page.extend_from_slice(&data),
            Pdu::R2t { ttag, offset: 0, length, .. } => {
                let (half, end) = (length as usize / 2, length as usize);
                for (from, to) in [(0, half), (half, end)] {
                    let (data, last) = (data.slice(from..to), to == end);
                    wire.send(&[Pdu::H2cData { cid, ttag, offset: from as u32, last, data }])
                        .await
                        .expect("the connection is open");
                }
            }
            other => panic!("{other:?}"),
        }
    }
}

/// Returns a Connect command and its data.
pub fn connect(queue: u16, controller: u16, keep_alive: u32) -> (Body, Bytes) {
    let body = Body::Connect(Connect { format: 0, queue, size: 31, keep_alive });
    let names = ConnectData { controller, subsystem: FRONT.to_owned(), host: "nqn.host".to_owned() };
    (body, names.encode())
}

/// Connects to a queue.
pub async fn join(wire: &mut PduStream, queue: u16, controller: u16, keep_alive: u32) -> Completion {
    let (body, data) = connect(queue, controller, keep_alive);
    ask(wire, 0, body, Sgl::InCapsule { offset: 0, length: 1024 }, data).await.0
}

impl Host {
    /// Connects both queues and enables the controller.
    ///
    /// # Panics
    /// If the controller refuses a step of the setup.
    pub async fn connect(address: SocketAddr) -> Self {
        let mut admin = wire(address).await;
        let id = join(&mut admin, 0, 0xffff, 0).await.result as u16;
        let set = Body::PropertySet { wide: false, offset: 0x14, value: 0x46_0001 };
        assert_eq!(ask(&mut admin, 1, set, NONE, Bytes::new()).await.0.status, Status::SUCCESS);
        let mut io = wire(address).await;
        assert_eq!(join(&mut io, 1, id, 0).await.status, Status::SUCCESS);
        Self { admin, io }
    }

    /// Reads blocks.
    pub async fn read(&mut self, nsid: u32, first: u64, size: usize) -> (Completion, Vec<u8>) {
        let (body, sgl) = read_of(nsid, first, size);
        ask(&mut self.io, 3, body, sgl, Bytes::new()).await
    }

    /// Writes blocks.
    ///
    /// # Panics
    /// If the connection fails.
    pub async fn write(&mut self, nsid: u32, first: u64, data: Vec<u8>) -> Status {
        let (length, count) = (data.len() as u32, (data.len() / SMALL) as u32);
        let small = data.len() <= 8192;
        let sgl = if small { Sgl::InCapsule { offset: 0, length } } else { Sgl::Transport { length } };
        let body = Body::Write(BlockRange { nsid, first, count });
        let data = Bytes::from(data);
        let inside = if small { data.clone() } else { Bytes::new() };
        self.io.send(&[capsule(4, body, sgl, inside)]).await.expect("the connection is open");
        finish(&mut self.io, 4, data).await.0.status
    }
}

/// Returns a read of this many bytes.
pub fn read_of(nsid: u32, first: u64, size: usize) -> (Body, Sgl) {
    let blocks = BlockRange { nsid, first, count: (size / SMALL) as u32 };
    (Body::Read(blocks), Sgl::Transport { length: size as u32 })
}
