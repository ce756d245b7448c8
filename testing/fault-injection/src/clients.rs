//! Clients of one scheduler: they send requests at random times, each on its own connection, and log the
//! answers.

use std::net::SocketAddr;
use std::sync::atomic::{AtomicU32, Ordering};
use std::sync::Arc;
use std::time::Duration;

use heathward_fakes::{header, read_message};
use rand::rngs::SmallRng;
use rand::{Rng, SeedableRng};
use rand_distr::{Distribution, Exp};
use tokio::io::AsyncWriteExt;
use tokio::net::TcpStream;
use tokio::sync::watch;
use tokio::time::{sleep_until, timeout, Instant};

use crate::audit::Entry;
use crate::play::Play;

/// The load that clients generate.
#[derive(Clone, Copy, Debug)]
pub struct Load {
    /// Requests per second at each scheduler.
    pub rate: f64,
    /// Fraction of the requests that are keyed writes.
    pub writes: f64,
    /// Number of shards; their ids begin at 0.
    pub shards: u32,
    /// Time for which a client waits for its answer.
    pub budget: Duration,
}

/// The clients of all schedulers; clones share their state.
#[derive(Clone)]
pub struct Clients {
    play: Play,
    load: Load,
    calls: Arc<AtomicU32>,
}

impl Clients {
    /// Creates the clients; none of them sends requests yet.
    pub fn new(play: &Play, load: Load) -> Self {
        Self { play: play.clone(), load, calls: Arc::default() }
    }

    /// Sends requests to a scheduler until the sender of its address is dropped. A request that is due while
    /// no process listens is left out.
    pub async fn ask(self, host: u32, at: watch::Receiver<Option<SocketAddr>>, seed: u64) {
        let mut rng = SmallRng::seed_from_u64(seed);
        let Ok(pauses) = Exp::new(self.load.rate) else { return };
        // Due times count from the request before, so that a busy machine delays requests but does not reduce
        // their number.
        let mut due = Instant::now();
        loop {
            due += Duration::from_secs_f64(pauses.sample(&mut rng));
            sleep_until(due).await;
            if at.has_changed().is_err() {
                return;
            }
            let Some(address) = *at.borrow() else { continue };
            let (shard, write) = (rng.random_range(0..self.load.shards), rng.random_bool(self.load.writes));
            tokio::spawn(self.clone().one(host, address, shard, write));
        }
    }

    async fn one(self, host: u32, address: SocketAddr, shard: u32, write: bool) -> Option<()> {
        let call = self.calls.fetch_add(1, Ordering::Relaxed);
        let text = request(call, shard, write, self.load.budget);
        let connecting_at = self.play.now();
        let mut stream = timeout(self.load.budget, TcpStream::connect(address)).await.ok()?.ok()?;
        stream.write_all(text.as_bytes()).await.ok()?;
        let at = self.play.now();
        let until = at + self.load.budget.as_micros() as u64;
        self.play.note(Entry::Asked { call, host, connecting_at, at, until });
        let patience = self.load.budget + LATE_ANSWER_TIME;
        let Ok(answer) = timeout(patience, read_message(&mut stream)).await else {
            self.play.note(Entry::GaveUp { call, at: self.play.now() });
            return None;
        };
        // If the connection fails there is no answer, which the auditor detects.
        let (head, _, body) = answer?;
        let status: u16 = head.get(9..12)?.parse().ok()?;
        let at = self.play.now();
        self.play.note(Entry::Answered { call, at, status });
        // Nothing may follow the answer, neither at once nor a little later.
        let length = header(&head, "content-length").and_then(|length| length.parse().ok()).unwrap_or(0);
        if body.len() > length || timeout(MORE, read_message(&mut stream)).await.ok()?.is_some() {
            let at = self.play.now();
            self.play.note(Entry::Answered { call, at, status });
        }
        Some(())
    }
}

/// How long clients read beyond their time budget, so that late answers are logged. It is longer than the
/// tolerance of the rules.
pub(crate) const LATE_ANSWER_TIME: Duration = Duration::from_secs(1);

/// How long clients wait for a second answer.
const MORE: Duration = Duration::from_millis(20);

/// Units of each request.
const UNITS: u64 = 2;

/// Returns a request whose path holds its parameters, as a scheduler forwards few of its headers.
fn request(call: u32, shard: u32, write: bool, budget: Duration) -> String {
    let (volume, piece) = (call % 50, UNITS << 32 | u64::from(shard));
    let (method, class) = if write { ("PUT", "pedido") } else { ("GET", "consulta") };
    let key = if write { format!("Idempotency-Key: k{call}\r\n") } else { String::new() };
    let (body, budget) = (if write { "an order" } else { "" }, budget.as_millis());
    format!(
        "{method} /{class}/{volume:016x}/{piece:016x} HTTP/1.1\r\nHost: origin.svc\r\n\
         X-Call-Id: {call:016x}\r\nX-Call-Class: {class}\r\nX-Plan: prioritario\r\nX-Budget-Ms: {budget}\r\n\
         Content-Length: {}\r\n{key}X-IO: units={UNITS},shard={shard},hosts=1\r\n\r\n{body}",
        body.len()
    )
}

/// Returns the volume, the shard and the units of a request, from its path.
pub(crate) fn told_by_path(head: &str) -> Option<(u64, u32, u32)> {
    let mut parts = head.split_whitespace().nth(1)?.split('/').skip(2);
    let hex = |text: &str| u64::from_str_radix(text, 16).ok();
    let (volume, piece) = (hex(parts.next()?)?, hex(parts.next()?)?);
    Some((volume, piece as u32, (piece >> 32) as u32))
}
