//! Clients of one host: requests at random moments, each on a connection of its own, each answer noted.

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

/// What clients ask for.
#[derive(Clone, Copy, Debug)]
pub struct Load {
    /// Requests a second at each host.
    pub rate: f64,
    /// How many of them are keyed writes.
    pub writes: f64,
    /// Shards, from 0.
    pub shards: u32,
    /// How long they wait.
    pub budget: Duration,
}

/// All clients of all hosts; clones are one.
#[derive(Clone)]
pub struct Clients {
    play: Play,
    load: Load,
    calls: Arc<AtomicU32>,
}

impl Clients {
    /// None yet.
    pub fn new(play: &Play, load: Load) -> Self {
        Self { play: play.clone(), load, calls: Arc::default() }
    }

    /// Asks that host until the end is told. A host that nobody listens at is asked again later.
    pub async fn ask(self, host: u32, at: watch::Receiver<Option<SocketAddr>>, seed: u64) {
        let mut rng = SmallRng::seed_from_u64(seed);
        let Ok(pauses) = Exp::new(self.load.rate) else { return };
        // Counted from the request before, so that a machine under load makes them late and not fewer.
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
        // A broken connection brings no answer, which the auditor sees.
        let (head, _, body) = answer?;
        let status: u16 = head.get(9..12)?.parse().ok()?;
        let at = self.play.now();
        self.play.note(Entry::Answered { call, at, status });
        // Nothing may come behind it: neither with it, nor a little later.
        let length = header(&head, "content-length").and_then(|length| length.parse().ok()).unwrap_or(0);
        if body.len() > length || timeout(MORE, read_message(&mut stream)).await.ok()?.is_some() {
            let at = self.play.now();
            self.play.note(Entry::Answered { call, at, status });
        }
        Some(())
    }
}

/// Clients read for so long beyond the time that they tell, so that a late answer is seen. More than the
/// slack of the rules.
pub(crate) const LATE_ANSWER_TIME: Duration = Duration::from_secs(1);

/// A second answer is waited for so long.
const MORE: Duration = Duration::from_millis(20);

/// Units of each request.
const UNITS: u64 = 2;

/// A request whose path tells its node what it is: of its headers few pass a scheduler.
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

/// Volume, shard and units of a request, by its path.
pub(crate) fn told_by_path(head: &str) -> Option<(u64, u32, u32)> {
    let mut parts = head.split_whitespace().nth(1)?.split('/').skip(2);
    let hex = |text: &str| u64::from_str_radix(text, 16).ok();
    let (volume, piece) = (hex(parts.next()?)?, hex(parts.next()?)?);
    Some((volume, piece as u32, (piece >> 32) as u32))
}
