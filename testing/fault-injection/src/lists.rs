//! Fake discovery: the endpoint list, an agent for each scheduler, or one service for all with limited
//! capacity.

use std::net::SocketAddr;
use std::sync::atomic::{AtomicU64, Ordering};
use std::sync::{Arc, Mutex, PoisonError};
use std::time::Duration;

use heathward_fakes::{member, read_message};
use tokio::io::AsyncWriteExt;
use tokio::net::TcpStream;
use tokio::sync::watch;
use tokio::time::{sleep, timeout, timeout_at};

use crate::audit::{Entry, Micros};
use crate::link::Link;
use crate::node::{after, listen_at, serve, until_closed};
use crate::play::Play;
use crate::service::Costs;

/// How long after a watch has fallen silent a change that it missed counts as notified.
const TOLD_BY: Micros = 6_000_000;
/// Interval of the heartbeats, which are empty lines.
const BEAT: Duration = Duration::from_secs(2);

/// A node in the endpoint list.
#[derive(Clone, Debug)]
pub struct Listed {
    /// Its number, which is also its shard.
    pub node: u32,
    /// `in_service`, `terminating` or `terminated`.
    pub phase: &'static str,
    /// Time of its last start as Unix time in milliseconds; 0 if that is long ago.
    pub since: u128,
    /// The revision of its last change.
    pub revision: u64,
}

/// The endpoint list, and what schedulers can learn of it.
#[derive(Clone, Debug, Default)]
struct Truth {
    nodes: Vec<Listed>,
    revision: u64,
    /// While discovery is down: the revision that agents have.
    down: Option<u64>,
}

/// How schedulers get the list.
#[derive(Clone, Copy, Debug, PartialEq)]
pub enum Ways {
    /// Each scheduler has an agent that answers at once.
    Agents,
    /// All schedulers call one service, with these costs.
    Service(Costs),
}

/// Counts of the calls at the service.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct Calls {
    /// All calls.
    pub made: u64,
    /// Calls that timed out in the queue.
    pub in_vain: u64,
    /// Bytes of lists that were sent, with their framing.
    pub bytes: u64,
}

/// Fake discovery; clones share its state.
#[derive(Clone)]
pub struct Lists {
    play: Play,
    truth: Arc<watch::Sender<Truth>>,
    ways: Ways,
    /// Number of times that watches were broken; each time, all watches that were open fall silent.
    broken: Arc<watch::Sender<u32>>,
    /// Since when the watch of each scheduler is silent, until it calls again.
    silent: Arc<Mutex<Vec<Option<Micros>>>>,
    /// The address of each node, for each scheduler.
    addresses: Arc<Mutex<Vec<Vec<SocketAddr>>>>,
    /// The queue of the service.
    turns: Arc<tokio::sync::Mutex<()>>,
    waiting: Arc<AtomicU64>,
    counts: Arc<Mutex<(Calls, Vec<Micros>)>>,
}

impl Lists {
    /// Creates a list of this many nodes, all in service.
    pub fn new(play: &Play, nodes: u32, ways: Ways) -> Self {
        let listed = |node| Listed { node, phase: "in_service", since: 0, revision: 1 };
        let truth = Truth { nodes: (0..nodes).map(listed).collect(), revision: 1, down: None };
        Self {
            play: play.clone(),
            truth: Arc::new(watch::channel(truth).0),
            ways,
            broken: Arc::new(watch::channel(0).0),
            silent: Arc::default(),
            addresses: Arc::default(),
            turns: Arc::default(),
            waiting: Arc::default(),
            counts: Arc::default(),
        }
    }

    /// Changes a node. Schedulers whose agent has the change count as notified at once; while discovery is
    /// down, once it is back.
    pub fn change(&self, node: u32, phase: &'static str, since: u128) {
        self.truth.send_modify(|truth| {
            truth.revision += 1;
            let revision = truth.revision;
            if let Some(listed) = truth.nodes.iter_mut().find(|listed| listed.node == node) {
                *listed = Listed { node, phase, since, revision };
            }
        });
        let at = self.play.now();
        if phase == "in_service" {
            self.play.note(Entry::NodeReturned { node, at });
        } else if self.truth.borrow().down.is_none() && self.ways == Ways::Agents {
            for (host, silent) in (0..).zip(self.silent().iter()) {
                // A change that a silent watch missed counts as notified some time after the watch fell
                // silent, or earlier if another watch sends it.
                let (since, at) = (at, silent.map_or(at, |silent| at.max(silent + TOLD_BY)));
                self.play.note(Entry::DrainNotified { host, node, since, at });
            }
        }
    }

    /// Takes discovery down, or brings it back: changes made meanwhile count as notified then.
    pub fn down(&self, down: bool) {
        let mut left = Vec::new();
        self.truth.send_modify(|truth| {
            let had = truth.down.take();
            let leaves = |listed: &&Listed| listed.phase != "in_service" && Some(listed.revision) > had;
            left = truth.nodes.iter().filter(leaves).map(|listed| listed.node).collect();
            truth.down = down.then_some(truth.revision);
            left.retain(|_| !down && had.is_some());
        });
        let (at, hosts) = (self.play.now(), self.addresses().len() as u32);
        for node in left {
            (0..hosts).for_each(|host| self.play.note(Entry::DrainNotified { host, node, since: at, at }));
        }
    }

    /// Breaks all open watches: they stay open and silent.
    pub fn break_watches(&self) {
        let at = self.play.now();
        self.silent().iter_mut().for_each(|silent| *silent = Some(at));
        self.broken.send_modify(|count| *count += 1);
    }

    /// Returns the counts of the calls, and the times at which they were made.
    pub fn calls(&self) -> (Calls, Vec<Micros>) {
        self.counts.lock().unwrap_or_else(PoisonError::into_inner).clone()
    }

    fn addresses(&self) -> std::sync::MutexGuard<'_, Vec<Vec<SocketAddr>>> {
        self.addresses.lock().unwrap_or_else(PoisonError::into_inner)
    }

    fn silent(&self) -> std::sync::MutexGuard<'_, Vec<Option<Micros>>> {
        self.silent.lock().unwrap_or_else(PoisonError::into_inner)
    }

    fn count(&self, count: impl FnOnce(&mut (Calls, Vec<Micros>))) {
        count(&mut self.counts.lock().unwrap_or_else(PoisonError::into_inner));
    }

    /// Returns the changes after a revision as one line for a scheduler; without a revision, the complete
    /// list.
    fn line(&self, host: usize, after: u64) -> (String, u64) {
        let truth = self.truth.borrow();
        let revision = truth.down.unwrap_or(truth.revision);
        let addresses = self.addresses();
        let changed =
            truth.nodes.iter().filter(|listed| listed.revision > after && listed.revision <= revision);
        let entry = |listed: &Listed| {
            let at = addresses[host][listed.node as usize];
            let id = format!("s{}", listed.node);
            member(&id, at, listed.node, listed.phase, listed.since).replace('\n', "")
        };
        let members: Vec<_> = changed.map(entry).collect();
        (
            format!(
                r#"{{"revision":{revision},"complete":{},"members":[{}]}}"#,
                after == 0,
                members.join(",")
            ),
            revision,
        )
    }

    /// Logs that a line has notified a scheduler of the changes between these revisions.
    fn note_told(&self, host: usize, after: u64, revision: u64) {
        let truth = self.truth.borrow();
        let told = |l: &&Listed| l.revision > after && l.revision <= revision && l.phase != "in_service";
        let (host, at) = (host as u32, self.play.now());
        for listed in truth.nodes.iter().filter(told) {
            self.play.note(Entry::DrainNotified { host, node: listed.node, since: at, at });
        }
    }

    /// Returns the cached list that a scheduler is given at its start.
    pub fn known(&self, host: usize) -> String {
        self.line(host, 0).0
    }

    /// Adds a scheduler with these addresses of the nodes; returns the address that it calls.
    ///
    /// # Errors
    /// No port is free.
    pub async fn join(&self, nodes: Vec<SocketAddr>, link: Link) -> std::io::Result<SocketAddr> {
        let host = {
            let mut addresses = self.addresses();
            addresses.push(nodes);
            self.silent().push(None);
            addresses.len() - 1
        };
        let (address, first) = listen_at(SocketAddr::from(([127, 0, 0, 1], 0)))?;
        let lists = self.clone();
        serve(address, first, link.clone(), move |stream| {
            let (lists, link) = (lists.clone(), link.clone());
            tokio::spawn(async move {
                lists.watch(host, stream, link).await;
            });
        });
        Ok(address)
    }

    async fn watch(self, host: usize, mut stream: TcpStream, link: Link) -> Option<()> {
        let mut broken = self.broken.subscribe();
        broken.mark_unchanged();
        let (head, ..) = read_message(&mut stream).await?;
        let at = self.play.now();
        let after_version = match head.split("after=").nth(1) {
            Some(after) => Some(after.split_whitespace().next()?.parse().ok()?),
            None => None,
        };
        if after_version.is_some() {
            self.silent()[host] = None;
        }
        self.count(|(calls, times)| {
            calls.made += 1;
            times.push(at);
        });
        let since = link.state().resets;
        let telling = async {
            link.pass_there().await.ok()?;
            self.turn(&mut stream).await?;
            match after_version {
                Some(after) => self.tell(host, &mut stream, after, &link).await,
                None => self.tell_whole(host, &mut stream, &link).await,
            }
        };
        tokio::select! {
            _ = telling => {}
            () = link.until_reset(since) => return None,
            _ = broken.changed() => {}
        }
        // The watch has been broken or has nothing more to send: it stays open and silent.
        until_closed(&mut stream).await;
        None
    }

    /// Waits in the queue of the service. A call that waits too long fails, and still costs its time.
    async fn turn(&self, stream: &mut TcpStream) -> Option<()> {
        let Ways::Service(costs) = self.ways else { return Some(()) };
        let full = self.waiting.load(Ordering::Relaxed) >= costs.places as u64;
        if !full {
            self.waiting.fetch_add(1, Ordering::Relaxed);
            let (turns, waiting) = (self.turns.clone(), self.waiting.clone());
            let turn = tokio::spawn(async move {
                let turn = turns.lock().await;
                sleep(costs.call).await;
                waiting.fetch_sub(1, Ordering::Relaxed);
                drop(turn);
            });
            if timeout(costs.patience, turn).await.is_ok() {
                return Some(());
            }
            self.count(|(calls, _)| calls.in_vain += 1);
        }
        stream.write_all(b"HTTP/1.1 503 Busy\r\ncontent-length: 0\r\n\r\n").await.ok()?;
        None
    }

    /// Sends the complete list at once, or once discovery is back.
    async fn tell_whole(&self, host: usize, stream: &mut TcpStream, link: &Link) -> Option<()> {
        self.truth.subscribe().wait_for(|truth| truth.down.is_none()).await.ok()?;
        link.pass_back().await.ok()?;
        let (list, revision) = self.line(host, 0);
        self.count(|(calls, _)| calls.bytes += list.len() as u64);
        let answer = format!("HTTP/1.1 200 OK\r\ncontent-length: {}\r\n\r\n{list}", list.len());
        stream.write_all(answer.as_bytes()).await.ok()?;
        self.note_told(host, 0, revision);
        Some(())
    }

    async fn tell(&self, host: usize, stream: &mut TcpStream, mut version: u64, link: &Link) -> Option<()> {
        let mut truth = self.truth.subscribe();
        let mut beat = after(Duration::ZERO);
        let mut open = false;
        loop {
            let (down, line, revision) = {
                let down = truth.borrow_and_update().down.is_some();
                let (line, revision) = self.line(host, version);
                (down, line, revision)
            };
            let news = revision > version;
            // While discovery is down the agent sends what it has, and nothing else.
            if news || (!down && beat <= after(Duration::ZERO)) {
                link.pass_back().await.ok()?;
                if !open {
                    stream.write_all(b"HTTP/1.1 200 OK\r\ntransfer-encoding: chunked\r\n\r\n").await.ok()?;
                    open = true;
                }
                let line = if news { line } else { String::new() };
                self.count(|(calls, _)| calls.bytes += line.len() as u64);
                let chunk = format!("{:x}\r\n{line}\n\r\n", line.len() + 1);
                stream.write_all(chunk.as_bytes()).await.ok()?;
                self.note_told(host, version, revision);
                version = revision;
                beat = after(BEAT);
            }
            if down {
                truth.changed().await.ok()?;
            } else {
                let _ = timeout_at(beat, truth.changed()).await;
            }
        }
    }
}
