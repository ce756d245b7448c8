//! A fake storage node with limited concurrency, a queue and a slow start, which logs its requests.

use std::net::SocketAddr;
use std::sync::atomic::{AtomicU32, AtomicU64, Ordering};
use std::sync::Arc;
use std::time::Duration;

use heathward_fakes::{header, read_message};
use tokio::io::{AsyncReadExt, AsyncWriteExt};
use tokio::net::{TcpListener, TcpSocket, TcpStream};
use tokio::sync::Semaphore;
use tokio::time::{sleep, Instant};

use crate::audit::{Arrived, Cold, Entry};
use crate::clients::told_by_path;
use crate::link::{reset, Link};
use crate::play::Play;

/// The capacity of a node.
#[derive(Clone, Copy, Debug)]
pub struct Ability {
    /// Number of requests that it executes at a time.
    pub cores: usize,
    /// Length of its queue; further requests are rejected.
    pub queue: u32,
    /// Service time of one unit when warm.
    pub unit: Duration,
    /// Time to establish a connection.
    pub connection: Duration,
    /// Its slow start.
    pub cold: Cold,
}

/// A node; clones share its state.
#[derive(Clone)]
pub struct Node {
    /// Its number, which is also its shard.
    pub number: u32,
    ability: Ability,
    play: Play,
    places: Arc<Semaphore>,
    held: Arc<AtomicU32>,
    /// Time of its last cold start, in microseconds of the play; 0 if that is long ago.
    began: Arc<AtomicU64>,
    /// Times at which connections were opened.
    connections: Arc<std::sync::Mutex<Vec<u64>>>,
}

impl Node {
    /// Creates a warm node.
    pub fn new(number: u32, ability: Ability, play: &Play) -> Self {
        Self {
            number,
            ability,
            play: play.clone(),
            places: Arc::new(Semaphore::new(ability.cores)),
            held: Arc::default(),
            began: Arc::default(),
            connections: Arc::default(),
        }
    }

    /// Restarts the node, which is cold then.
    pub fn begin(&self) {
        let at = self.play.now().max(1);
        self.began.store(at, Ordering::Relaxed);
        self.play.note(Entry::NodeStarted { node: self.number, at });
    }

    /// Returns the times at which its connections were opened, in microseconds of the play.
    pub fn connections(&self) -> Vec<u64> {
        self.connections.lock().unwrap_or_else(std::sync::PoisonError::into_inner).clone()
    }

    /// Returns the fraction of its capacity that is available now.
    fn share(&self) -> f64 {
        let Cold { share, time, .. } = self.ability.cold;
        match self.began.load(Ordering::Relaxed) {
            0 => 1.0,
            began => {
                let grown = self.play.now().saturating_sub(began) as f64 / time as f64;
                share + (1.0 - share) * grown.min(1.0)
            }
        }
    }

    /// Listens for one scheduler, behind a link.
    ///
    /// # Errors
    /// Where no port can be had.
    pub async fn listen(&self, host: u32, link: Link) -> std::io::Result<SocketAddr> {
        let (address, first) = listen_at(SocketAddr::from(([127, 0, 0, 1], 0)))?;
        let node = self.clone();
        serve(address, first, link.clone(), move |stream| {
            tokio::spawn(node.clone().connection(host, stream, link.clone()));
        });
        Ok(address)
    }

    async fn connection(self, host: u32, mut stream: TcpStream, link: Link) {
        self.connections.lock().unwrap_or_else(std::sync::PoisonError::into_inner).push(self.play.now());
        let since = link.state().resets;
        sleep(self.ability.connection).await;
        loop {
            tokio::select! {
                on = self.request(host, &mut stream, &link) => if on.is_none() { break },
                () = link.until_reset(since) => break,
            }
        }
        reset(stream);
    }

    async fn request(&self, host: u32, stream: &mut TcpStream, link: &Link) -> Option<()> {
        let mut first = [0];
        if stream.peek(&mut first).await.ok()? == 0 {
            return None;
        }
        let began = self.play.now();
        let (small, ..) = read_message(stream).await?;
        let call = u64::from_str_radix(header(&small, "x-call-id")?, 16).ok()? as u32;
        let (volume, shard, units) = told_by_path(&small)?;
        self.play.note(Entry::Arrived(Arrived {
            call,
            host,
            node: self.number,
            node_shard: self.number,
            request_shard: shard,
            first: began,
            last: self.play.now(),
            key: header(&small, "idempotency-key").map(str::to_owned),
            volume,
            units,
        }));
        let over = Over { node: self, call };
        let passed = link.pass_there().await;
        let served = match passed {
            Ok(()) => self.serve(units).await,
            Err(_) => return None,
        };
        link.pass_back().await.ok()?;
        drop(over);
        let answer: &[u8] = match served {
            true => b"HTTP/1.1 200 OK\r\ncontent-length: 5\r\n\r\nhello",
            false => b"HTTP/1.1 503 Full\r\nx-rejected: 1\r\ncontent-length: 0\r\n\r\n",
        };
        stream.write_all(answer).await.ok()
    }

    /// Waits in the queue and executes a request; rejects it if the queue is full.
    async fn serve(&self, units: u32) -> bool {
        let most = self.ability.cores as u32 + self.ability.queue;
        if self.held.fetch_add(1, Ordering::Relaxed) >= most {
            self.held.fetch_sub(1, Ordering::Relaxed);
            return false;
        }
        let turn = self.places.acquire().await;
        sleep((self.ability.unit * units).div_f64(self.share())).await;
        drop(turn);
        self.held.fetch_sub(1, Ordering::Relaxed);
        true
    }
}

/// Logs the end of an attempt when dropped, however it ends.
struct Over<'a> {
    node: &'a Node,
    call: u32,
}

impl Drop for Over<'_> {
    fn drop(&mut self) {
        let (call, node, at) = (self.call, self.node.number, self.node.play.now());
        self.node.play.note(Entry::AttemptOver { call, node, at });
    }
}

/// Listens at an address; the operating system chooses the port if it is 0.
pub(crate) fn listen_at(address: SocketAddr) -> std::io::Result<(SocketAddr, TcpListener)> {
    let socket = TcpSocket::new_v4()?;
    socket.set_reuseaddr(true)?;
    socket.bind(address)?;
    let listener = socket.listen(1024)?;
    Ok((listener.local_addr()?, listener))
}

/// Accepts connections while the link does not refuse them; otherwise nothing listens.
pub(crate) fn serve(
    address: SocketAddr,
    first: TcpListener,
    link: Link,
    mut take: impl FnMut(TcpStream) + Send + 'static,
) {
    tokio::spawn(async move {
        let mut listener = Some(first);
        loop {
            match &listener {
                Some(open) => tokio::select! {
                    accepted = open.accept() => if let Ok((stream, _)) = accepted { take(stream) },
                    () = link.until_refused(true) => listener = None,
                },
                None => {
                    link.until_refused(false).await;
                    listener = listen_at(address).ok().map(|(_, listener)| listener);
                    sleep(Duration::from_millis(if listener.is_none() { 20 } else { 0 })).await;
                }
            }
        }
    });
}

/// Waits until the peer closes a connection on which nothing more is sent.
pub(crate) async fn until_closed(stream: &mut TcpStream) {
    let mut rest = [0; 256];
    while stream.read(&mut rest).await.is_ok_and(|read| read > 0) {}
}

/// Returns the instant that is this long from now.
pub(crate) fn after(span: Duration) -> Instant {
    Instant::now() + span
}
