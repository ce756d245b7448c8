//! Connections to storage nodes that are NVMe targets: carries out attempts as commands on I/O queues.

use std::convert::Infallible;
use std::net::SocketAddr;
use std::sync::Arc;
use std::task::{Context, Poll};
use std::time::Duration;

use bytes::{Bytes, BytesMut};
use futures_util::future::BoxFuture;
use tokio::net::TcpStream;
use tokio::time::{sleep_until, timeout_at, Instant};

use super::command::{BlockRange, Body, Command, Completion, Connect, ConnectData, Sgl, Status};
use super::identify::{CC, CSTS};
use super::map::NvmeMap;
use super::pdu::{Pdu, MAX_DATA_BYTES};
use super::wire::{PduStream, StreamError};
use crate::node::{Connection, LinkRequest, LinkResponse};
use heathward_core::{Attempt, NodeRequest};
use heathward_policy::AttemptEnd;

/// Number of entries of a queue, minus 1; a queue carries one command at a time.
const QUEUE_SIZE: u16 = 1;
/// A controller is asked this often whether it is ready.
const READY_LOOK: Duration = Duration::from_millis(5);
/// Enabled, with entries of 64 and 16 bytes.
const ENABLE: u64 = 4 << 20 | 6 << 16 | 1;
/// Size of an Identify page, and where it tells the size of a capsule in steps of 16 bytes.
const PAGE: u32 = 4096;
const CAPSULE_SIZE: usize = 1792;

/// An association with a target, with an admin queue and one I/O queue; both are closed when it is dropped.
pub struct NvmeConnection {
    admin: PduStream,
    io: PduStream,
    /// Data in a capsule, and in one H2CData, at most.
    in_capsule: usize,
    max_h2c: usize,
    cid: u16,
}
    /// Id of the last command on the I/O queue.

impl Connection for NvmeConnection {
    const SOCKETS: usize = 2;

    fn poll_closed(&mut self, cx: &mut Context<'_>) -> Poll<()> {
        match self.io.poll_unasked(cx) {
            Poll::Pending => self.admin.poll_unasked(cx),
            ready => ready,
        }
    }
}

/// How an exchange broke off: whether the last byte of the command had been written, and whether the target
/// is there but makes no sense.
struct BrokeOff {
    whole: bool,
    spoilt: bool,
}

impl NvmeConnection {
    async fn open(address: SocketAddr, subsystem: &str) -> Result<Self, StreamError> {
        let host = format!("nqn.2014-08.org.nvmexpress:uuid:heathward-{}", std::process::id());
        let names =
            |controller| ConnectData { controller, subsystem: subsystem.to_owned(), host: host.clone() };
        let (mut admin, _) = queue(address).await?;
        let id = connect(&mut admin, 0, names(0xffff)).await?.result as u16;
        let set = Body::PropertySet { wide: false, offset: CC, value: ENABLE };
        ask(&mut admin, set, Sgl::Transport { length: 0 }, Bytes::new()).await?;
        let get = Body::PropertyGet { wide: false, offset: CSTS };
        while ask(&mut admin, get, Sgl::Transport { length: 0 }, Bytes::new()).await?.0.result & 1 == 0 {
            sleep_until(Instant::now() + READY_LOOK).await;
        }
        let identify = Body::Identify { nsid: 0, cns: 1 };
        let (_, page) = ask(&mut admin, identify, Sgl::Transport { length: PAGE }, Bytes::new()).await?;
        let size = page.get(CAPSULE_SIZE..CAPSULE_SIZE + 4).ok_or(StreamError::Closed)?;
        let size = u32::from_le_bytes([size[0], size[1], size[2], size[3]]) as usize;
        let queues = Body::SetFeatures { feature: 0x07, value: 0 };
        ask(&mut admin, queues, Sgl::Transport { length: 0 }, Bytes::new()).await?;
        let (mut io, max_h2c) = queue(address).await?;
        connect(&mut io, 1, names(id)).await?;
        let in_capsule = size.saturating_mul(16).saturating_sub(64).min(MAX_DATA_BYTES);
        Ok(Self { admin, io, in_capsule, max_h2c, cid: 0 })
    }

    /// Carries out one read or write until its completion. Once the attempt is cancelled, no more of the
    /// command is written; a command that was written completely goes on to its completion.
    async fn exchange(
        &mut self,
        attempt: &Attempt,
        blocks: BlockRange,
        data: Bytes,
        size: usize,
    ) -> Exchange {
        let Attempt { cancel, .. } = attempt;
        let write = attempt.node_request.is_write;
        self.cid = self.cid.wrapping_add(1);
        let (cid, length) = (self.cid, size as u32);
        let carried = write && size <= self.in_capsule;
        let sgl = if carried { Sgl::InCapsule { offset: 0, length } } else { Sgl::Transport { length } };
        let body = if write { Body::Write(blocks) } else { Body::Read(blocks) };
        let command = Command::new(cid, sgl, body);
        let capsule = Pdu::Capsule { command, data: if carried { data.clone() } else { Bytes::new() } };
        self.io.send(&[capsule]).await.map_err(|_| BrokeOff { whole: false, spoilt: false })?;
        // Until all the data of a write is out, it can't have run.
        let (mut whole, mut sent) = (!write || carried, 0);
        if whole {
            attempt.mark_written();
        }
        let mut page = BytesMut::new();
        loop {
            let broke = BrokeOff { whole, spoilt: true };
            let next = tokio::select! {
                biased;
                () = cancel.cancelled(), if !whole => Err(StreamError::Closed),
                next = self.io.next() => next,
            };
            match next {
                Err(StreamError::Closed) => return Err(BrokeOff { whole, spoilt: false }),
                Ok(Pdu::Response(completion)) if completion.cid == cid => {
                    return Ok((completion.status, page.freeze()));
                }
                Ok(Pdu::R2t { cid: of, ttag, offset, length })
                    if of == cid && !whole && offset as usize == sent && length > 0 =>
                {
                    let end = sent + length as usize;
                    if end > size {
                        return Err(broke);
                    }
                    while sent < end {
                        if cancel.is_cancelled() {
                            return Err(BrokeOff { whole, spoilt: false });
                        }
                        let upto = end.min(sent + self.max_h2c);
                        let (data, last) = (data.slice(sent..upto), upto == end);
                        let pdu = Pdu::H2cData { cid, ttag, offset: sent as u32, last, data };
                        self.io.send(&[pdu]).await.map_err(|_| BrokeOff { whole, spoilt: false })?;
                        sent = upto;
                    }
                    whole = sent == size;
                    if whole {
                        attempt.mark_written();
                    }
                }
                Ok(Pdu::C2hData { cid: of, offset, data, .. })
                    if of == cid
                        && !write
                        && offset as usize == page.len()
                        && page.len() + data.len() <= size =>
                {
                    page.extend_from_slice(&data);
                }
                _ => return Err(broke),
            }
        }
    }
}

type Exchange = Result<(Status, Bytes), BrokeOff>;

/// Opens a connection that can become a queue; gives back how much data one PDU to it may carry.
async fn queue(address: SocketAddr) -> Result<(PduStream, usize), StreamError> {
    let mut wire = PduStream::new(TcpStream::connect(address).await?)?;
    wire.send(&[Pdu::IcReq { pfv: 0, hpda: 0, digests: 0, max_r2t: 0 }]).await?;
    match wire.next().await? {
        Pdu::IcResp { pfv: 0, cpda, digests: 0, max_h2c } if cpda <= 31 && max_h2c >= 4096 => {
            wire.align(cpda);
            Ok((wire, (max_h2c as usize).min(MAX_DATA_BYTES)))
        }
        _ => Err(StreamError::Closed),
    }
}

async fn connect(wire: &mut PduStream, queue: u16, names: ConnectData) -> Result<Completion, StreamError> {
    let body = Body::Connect(Connect { format: 0, queue, size: QUEUE_SIZE, keep_alive: 0 });
    let data = names.encode();
    let sgl = Sgl::InCapsule { offset: 0, length: data.len() as u32 };
    ask(wire, body, sgl, data).await.map(|(completion, _)| completion)
}

/// One command on an otherwise quiet queue, which must succeed.
async fn ask(
    wire: &mut PduStream,
    body: Body,
    sgl: Sgl,
    data: Bytes,
/// Connects a queue to a controller.
) -> Result<(Completion, BytesMut), StreamError> {
    wire.send(&[Pdu::Capsule { command: Command::new(0, sgl, body), data }]).await?;
    let mut page = BytesMut::new();
    loop {
        match wire.next().await? {
            Pdu::C2hData { data, .. } if page.len() + data.len() <= PAGE as usize => {
                page.extend_from_slice(&data);
            }
            Pdu::Response(completion) if completion.status == Status::SUCCESS => {
                return Ok((completion, page));
            }
            _ => return Err(StreamError::Closed),
        }
    }
}

/// The link to one NVMe target: a tower service that carries out one attempt on one association.
#[derive(Clone, Debug)]
pub struct NvmeLink {
    address: SocketAddr,
    subsystem: Arc<str>,
    map: Arc<NvmeMap>,
}

impl NvmeLink {
    /// Creates a link to a subsystem at `address`.
    pub fn new(address: SocketAddr, subsystem: &str, map: Arc<NvmeMap>) -> Self {
        Self { address, subsystem: subsystem.into(), map }
    }

    /// The blocks of a work, and how many bytes they hold.
    fn blocks(&self, work: &NodeRequest) -> Option<(BlockRange, usize)> {
        let block = self.map.block as usize;
        let size = match (work.is_write, work.read_length) {
            (true, _) => work.body.len(),
            (false, Some(length)) => length,
            (false, None) => (work.units.saturating_mul(self.map.unit_blocks)) as usize * block,
        };
        let count = size.div_ceil(block);
        let blocks = self.map.block_range(work.volume, work.key, u32::try_from(count).ok()?)?;
        (count * block <= MAX_DATA_BYTES).then_some((blocks, count * block))
    }

    /// One attempt. As over HTTP, what is given up on is closed before the end is told.
    async fn run(self, job: LinkRequest<NvmeConnection>) -> LinkResponse<NvmeConnection> {
        let LinkRequest { attempt, idle_connection: mut idle, dial_deadline } = job;
        let (work, until) = (&attempt.node_request, attempt.deadline);
        let Some((blocks, size)) = self.blocks(work) else {
            return LinkResponse::closed(AttemptEnd::NotSent);
        };
        let mut data = BytesMut::from(&*work.body);
        if work.is_write {
            data.resize(size, 0);
        }
        let data = data.freeze();
        loop {
            let reused = idle.is_some();
            let mut connection = match idle.take() {
                Some(connection) => connection,
                None => {
                    let opened = NvmeConnection::open(self.address, &self.subsystem);
                    let opened = timeout_at(dial_deadline.min(attempt.connect_deadline), opened);
                    let opened = tokio::select! {
                        biased;
                        // A cancelled attempt stops waiting for a connection and holds none.
                        () = attempt.cancel.cancelled() => return LinkResponse::closed(AttemptEnd::NotSent),
                        opened = opened => opened,
                    };
                    match opened {
                        Ok(Ok(connection)) => connection,
                        _ => return LinkResponse::closed(AttemptEnd::NotConnected),
                    }
                }
            };
            if reused && !connection.io.quiet().await {
                continue;
            }
            if !attempt.may_start() {
                return LinkResponse::reusable(AttemptEnd::NotSent, Bytes::new(), connection);
            }
            let exchange = connection.exchange(&attempt, blocks, data.clone(), size);
            return match timeout_at(until, exchange).await {
                Ok(Ok((status, body))) => LinkResponse::reusable(end_of(status), body, connection),
                // Its client has left, and the target has not had the command whole.
                Ok(Err(BrokeOff { whole: false, .. })) if attempt.cancel.is_cancelled() => {
                    LinkResponse::closed(AttemptEnd::NotSent)
                }
                // The target has not had the command whole: on an old queue it is still the same attempt.
                Ok(Err(BrokeOff { whole: false, .. })) if reused => continue,
                Ok(Err(BrokeOff { whole: false, .. })) => LinkResponse::closed(AttemptEnd::NotConnected),
                // As over HTTP: it may have run, and the target did not go down.
                Ok(Err(BrokeOff { spoilt: true, .. })) => LinkResponse::closed(AttemptEnd::Error),
                Ok(Err(BrokeOff { .. })) => LinkResponse::closed(AttemptEnd::Reset),
                Err(_) => LinkResponse::closed(AttemptEnd::TimedOut),
            };
        }
    }
}

/// Only a namespace that is not ready has surely run nothing and will later; all else may have run.
fn end_of(status: Status) -> AttemptEnd {
    let plain = Status { retry_delay: 0, do_not_retry: false, ..status };
    match plain {
        Status::SUCCESS => AttemptEnd::Served,
        Status::NOT_READY => AttemptEnd::Rejected,
        _ => AttemptEnd::Error,
    }
}

impl tower::Service<LinkRequest<NvmeConnection>> for NvmeLink {
    type Response = LinkResponse<NvmeConnection>;
    type Error = Infallible;
    type Future = BoxFuture<'static, Result<Self::Response, Infallible>>;

    fn poll_ready(&mut self, _: &mut Context<'_>) -> Poll<Result<(), Infallible>> {
        Poll::Ready(Ok(()))
    }

    fn call(&mut self, job: LinkRequest<NvmeConnection>) -> Self::Future {
        let link = self.clone();
        Box::pin(async move { Ok(link.run(job).await) })
    }
}
