//! Clients before a scheduler.

use std::net::SocketAddr;
use std::time::Duration;

use heathward_fakes::{answer, request, Program};
use tokio::io::AsyncWriteExt;
use tokio::net::TcpStream;

use super::usage::Usage;

/// Connections over which a load comes, each with one request at a time.
const CLIENTS: u32 = 8;
/// Budget of each request, milliseconds.
const BUDGET_MS: u32 = 2_000;
/// Parts of a load that must be served for its cost to count.
const SERVED: f64 = 0.99;

/// Which nodes may serve a request.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Placement {
    /// The one of its shard, in turn over a list of so many.
    Pinned(u32),
    /// Any: it writes a new object.
    Free,
}

impl Placement {
    fn request(self, call: u32) -> String {
        match self {
            Self::Pinned(nodes) => request("consulta", call, (call % nodes) as i32, BUDGET_MS, ""),
            Self::Free => request("pedido", call, -1, BUDGET_MS, ""),
        }
    }
}

/// What a load has cost.
#[derive(Clone, Copy, Debug)]
pub struct Cost {
    /// Processor time of each request, microseconds.
    pub cpu_us: f64,
    /// What the scheduler held at the end.
    pub held: Usage,
}

/// Sends that many requests, numbered from `first` on.
///
/// # Panics
/// If too few of them are served.
pub async fn load(program: &Program, placement: Placement, first: u32, requests: u32) -> Cost {
    let (front, before) = (program.listen, Usage::of(program));
    let client = |number: u32| {
        let calls = (first..first + requests).skip(number as usize).step_by(CLIENTS as usize);
        tokio::spawn(async move {
            let mut stream = TcpStream::connect(front).await.expect("a front that listens");
            let mut served = 0;
            for call in calls {
                let status = ask(&mut stream, &placement.request(call)).await;
                served += u32::from(status == 200);
            }
            served
        })
    };
    let clients: Vec<_> = (0..CLIENTS).map(client).collect();
    let mut served = 0;
    for client in clients {
        served += client.await.expect("no panic");
    }
    let share = f64::from(served) / f64::from(requests);
    assert!(share >= SERVED, "{served} of {requests} requests are served, {placement:?}");
    let held = Usage::of(program);
    Cost { cpu_us: micros(held.cpu.saturating_sub(before.cpu)) / f64::from(requests), held }
}

/// Times that a connection asks until it is served.
const ATTEMPTS: u32 = 5;

/// Connections that have asked until one request was served, and stay.
pub struct Opened {
    /// All of them.
    pub streams: Vec<TcpStream>,
    /// Those whose request was served; the others were refused.
    pub served: u32,
}

/// Opens connections, so many at a time, each with one request to a shard of the list, and again where that
/// is refused.
pub async fn open(front: SocketAddr, connections: u32, at_once: u32, nodes: u32) -> Opened {
    let mut opened = Opened { streams: Vec::new(), served: 0 };
    let connect = |call: u32| {
        tokio::spawn(async move {
            let mut stream = TcpStream::connect(front).await.expect("a front that listens");
            let request = Placement::Pinned(nodes).request(call);
            let mut status = ask(&mut stream, &request).await;
            // A busy machine may refuse one; its client comes again.
            for _ in 1..ATTEMPTS {
                if status != 200 {
                    status = ask(&mut stream, &request).await;
                }
            }
            (stream, status)
        })
    };
    let mut first = 0;
    while first < connections {
        let next = connections.min(first + at_once);
        let batch: Vec<_> = (first..next).map(connect).collect();
        for connecting in batch {
            let (stream, status) = connecting.await.expect("no panic");
            opened.streams.push(stream);
            opened.served += u32::from(status == 200);
        }
        first = next;
    }
    opened
}

async fn ask(stream: &mut TcpStream, text: &str) -> u16 {
    stream.write_all(text.as_bytes()).await.expect("a request that is taken");
    answer(stream).await.0
}

/// As microseconds.
pub fn micros(time: Duration) -> f64 {
    time.as_secs_f64() * 1e6
}
