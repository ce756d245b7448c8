//! A hollow list service: versions of the list, watches that bring each change, and calls that resume from a
//! version or bring the whole list, with their costs in time and bytes.

use std::ops::RangeInclusive;
use std::time::Duration;

use heathward_discovery_pacing::{CallFailure, CallPacer, FleetPosition};
use heathward_fakes::member;
use heathward_policy::{EndpointEntry, Micros};

use crate::events::EventQueue;
use crate::service::{Costs, Ending, Service};

/// A watch that has nothing to tell says so that often.
const HEARTBEAT: Micros = 2_000_000;
/// Head of an answer, as the stand-in of discovery writes it.
const ANSWER_HEAD: &str = "HTTP/1.1 200 OK\r\ntransfer-encoding: chunked\r\n\r\n";
/// Head of a line before its entries.
const LINE_HEAD: &str = r#"{"revision":1000000,"complete":false,"members":[]}"#;
/// What frames a chunk: its size in hexadecimal, two line ends, and the line's own end.
const FRAME: usize = 4 + 2 + 2 + 1;

/// Bytes of a line with so many entries, as discovery writes it: the size of each entry is that of the
/// stand-in's, with a number of four digits and an address of 15 characters with its port.
pub fn line_bytes(entries: usize) -> usize {
    if entries == 0 {
        return FRAME;
    }
    FRAME + LINE_HEAD.len() + entries * (entry_line().len() + 1) - 1
}

/// An entry as it stands in a line.
pub fn entry_line() -> String {
    member("s-1234", ([10, 101, 10, 101], 9100).into(), 1234, "in_service", 1_790_000_000_000)
        .replace('\n', "")
}

/// The list as it is, with all that has changed since the beginning.
#[derive(Clone, Debug)]
pub struct TrueList {
    entries: Vec<EndpointEntry>,
    /// The entries of each version after 0.
    changes: Vec<Vec<EndpointEntry>>,
    first: Vec<EndpointEntry>,
}

impl TrueList {
    /// Version 0, in order of the nodes' numbers from 0.
    pub fn new(entries: Vec<EndpointEntry>) -> Self {
        Self { first: entries.clone(), entries, changes: Vec::new() }
    }

    /// The newest version.
    pub fn version(&self) -> usize {
        self.changes.len()
    }

    /// Entries change; gives the new version.
    pub fn change(&mut self, entries: Vec<EndpointEntry>) -> usize {
        for entry in &entries {
            self.entries[entry.node.0 as usize] = *entry;
        }
        self.changes.push(entries);
        self.changes.len()
    }

    /// The entries as they are.
    pub fn entries(&self) -> &[EndpointEntry] {
        &self.entries
    }

    /// The whole list of a version.
    pub fn whole(&self, version: usize) -> Vec<EndpointEntry> {
        if version == self.version() {
            return self.entries.clone();
        }
        let mut whole = self.first.clone();
        for entry in self.changes[..version].iter().flatten() {
            whole[entry.node.0 as usize] = *entry;
        }
        whole
    }

    /// What has changed after one version up to another.
    pub fn between(&self, after: usize, version: usize) -> Vec<EndpointEntry> {
        self.changes[after..version].iter().flatten().copied().collect()
    }
}

/// How schedulers get at the list.
#[derive(Clone, Debug, PartialEq)]
pub enum ListWay {
    /// Each has an agent of its own that answers at once and has each change so much later, drawn for each
    /// scheduler and change.
    Agents {
        /// Microseconds.
        delay: RangeInclusive<Micros>,
    },
    /// All call the same few servers, each scheduler one of them.
    Shared {
        /// How many.
        servers: u32,
        /// What one can do.
        costs: Costs,
        /// Time of a line on its way.
        delay: RangeInclusive<Micros>,
    },
}

/// A line that has come to a scheduler.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Delivery {
    /// When.
    pub at: Micros,
    /// The scheduler.
    pub scheduler: u32,
    /// The version that it had before; `None` where the line holds the whole list.
    pub after: Option<usize>,
    /// The version that it has now.
    pub version: usize,
}

impl Delivery {
    /// It says that nothing has changed.
    pub fn is_empty(&self) -> bool {
        self.after == Some(self.version)
    }
}

/// What the list has cost so far.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct ListCosts {
    /// Calls made in each second.
    pub calls: Vec<u64>,
    /// Calls that failed: they waited, found no place, or nobody was there.
    pub failed_calls: u64,
    /// Lines with entries, and empty ones.
    pub lines: (u64, u64),
    /// Whole lists among the lines.
    pub whole_lists: u64,
    /// Bytes that schedulers have read, by second.
    pub bytes: Vec<u64>,
    /// Time that the servers have spent on lines that watches brought, in microseconds.
    pub push_time: f64,
}

impl ListCosts {
    fn at(series: &mut Vec<u64>, at: Micros) -> &mut u64 {
        let second = (at / 1_000_000) as usize;
        if series.len() <= second {
            series.resize(second + 1, 0);
        }
        &mut series[second]
    }
}

#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum ListEvent {
    Call {
        scheduler: u32,
        generation: u32,
    },
    Line {
        scheduler: u32,
        generation: u32,
        after: Option<usize>,
        version: usize,
    },
    Heartbeat {
        scheduler: u32,
        watch: u32,
    },
    /// A scheduler that was deaf hears again.
    Hear {
        scheduler: u32,
        generation: u32,
    },
    Return,
}

#[derive(Clone, Debug)]
struct Client {
    calls: CallPacer,
    rng: fastrand::Rng,
    generation: u32,
    up: bool,
    watching: bool,
    /// Watches opened so far.
    watches: u32,
    /// Version on its way or there; `None` before the first.
    version: Option<usize>,
    /// Version that has come.
    heard: Option<usize>,
    /// Lines come in order: none before the last.
    last_line: Micros,
    called: Micros,
    /// How long the call of its watch took; the law of calls is told when the watch ends, as in service.
    answered_after: Duration,
    /// Hears nothing until then.
    deaf_until: Micros,
}

/// All watches and calls of a fleet.
pub struct ListPlane {
    way: ListWay,
    truth: TrueList,
    clients: Vec<Client>,
    servers: Vec<Service<(u32, u32)>>,
    queue: EventQueue<ListEvent>,
    down_until: Micros,
    costs: ListCosts,
    delivered: Vec<Delivery>,
}

impl ListPlane {
    /// For so many schedulers; none has started yet.
    pub fn new(way: ListWay, truth: TrueList, schedulers: u32, hosts: u32, seed: u64) -> Self {
        let mut rng = fastrand::Rng::with_seed(seed);
        let client = |host: u32| Client {
            calls: CallPacer::new(FleetPosition { scheduler_index: host, schedulers: hosts }, rng.u64(..)),
            rng: rng.fork(),
            generation: 0,
            up: false,
            watching: false,
            watches: 0,
            version: None,
            heard: None,
            last_line: 0,
            called: 0,
            answered_after: Duration::ZERO,
            deaf_until: 0,
        };
        let servers = match &way {
            ListWay::Agents { .. } => Vec::new(),
            ListWay::Shared { servers, costs, .. } => {
                (0..(*servers).max(1)).map(|_| Service::new(*costs)).collect()
            }
        };
        Self {
            way,
            truth,
            clients: (0..schedulers).map(client).collect(),
            servers,
            queue: EventQueue::default(),
            down_until: 0,
            costs: ListCosts::default(),
            delivered: Vec::new(),
        }
    }

    /// The list as it is.
    pub fn truth(&self) -> &TrueList {
        &self.truth
    }

    /// What it has cost.
    pub fn costs(&self) -> &ListCosts {
        &self.costs
    }

    /// A scheduler starts; it knows nothing and calls by the real law of calls.
    pub fn start(&mut self, now: Micros, scheduler: u32) {
        let shared = matches!(self.way, ListWay::Shared { .. });
        let client = &mut self.clients[scheduler as usize];
        client.generation += 1;
        (client.up, client.watching) = (true, false);
        (client.version, client.heard) = (None, None);
        let wait = if shared { client.calls.first_delay() } else { Duration::ZERO };
        self.call_later(now, scheduler, wait);
    }

    /// A scheduler ends.
    pub fn stop(&mut self, scheduler: u32) {
        let client = &mut self.clients[scheduler as usize];
        client.generation += 1;
        (client.up, client.watching) = (false, false);
    }

    /// It hears nothing for a while, and is then told what it has missed.
    pub fn deafen(&mut self, scheduler: u32, until: Micros) {
        let client = &mut self.clients[scheduler as usize];
        client.deaf_until = until;
        let generation = client.generation;
        self.queue.push(until, ListEvent::Hear { scheduler, generation });
    }

    /// The service goes away until then: all watches break, and calls find nobody.
    pub fn outage(&mut self, now: Micros, until: Micros) {
        self.down_until = until;
        self.queue.push(until, ListEvent::Return);
        if matches!(self.way, ListWay::Agents { .. }) {
            return;
        }
        for scheduler in 0..self.clients.len() as u32 {
            let client = &mut self.clients[scheduler as usize];
            if std::mem::take(&mut client.watching) {
                let wait = client.calls.on_answer(client.answered_after);
                self.call_later(now, scheduler, wait);
            }
        }
    }

    /// Entries change now; watches that are open bring it.
    pub fn change(&mut self, now: Micros, entries: Vec<EndpointEntry>) -> usize {
        let version = self.truth.change(entries);
        if now >= self.down_until {
            self.push_all(now);
        }
        version
    }

    fn push_all(&mut self, now: Micros) {
        let version = self.truth.version();
        for scheduler in 0..self.clients.len() as u32 {
            let client = &self.clients[scheduler as usize];
            let hears = client.watching && client.up && now >= client.deaf_until;
            let behind = client.version.filter(|had| *had < version && hears);
            if let Some(after) = behind {
                self.push(now, scheduler, Some(after), version);
            }
        }
    }

    /// Sends a line with entries on its way.
    fn push(&mut self, now: Micros, scheduler: u32, after: Option<usize>, version: usize) {
        let delay = match &self.way {
            ListWay::Agents { delay } | ListWay::Shared { delay, .. } => delay.clone(),
        };
        if let ListWay::Shared { costs, .. } = &self.way {
            let entries = self.entries_of(after, version);
            self.costs.push_time += costs.entry.as_secs_f64() * 1e6 * entries as f64;
        }
        let client = &mut self.clients[scheduler as usize];
        let at = (now + client.rng.u64(delay)).max(client.last_line);
        (client.version, client.last_line) = (Some(version), at);
        let generation = client.generation;
        self.queue.push(at, ListEvent::Line { scheduler, generation, after, version });
    }

    fn entries_of(&self, after: Option<usize>, version: usize) -> usize {
        match after {
            None => self.truth.entries().len(),
            Some(after) => self.truth.changes[after..version].iter().map(Vec::len).sum(),
        }
    }

    fn call_later(&mut self, now: Micros, scheduler: u32, wait: Duration) {
        let generation = self.clients[scheduler as usize].generation;
        self.queue.push(now + wait.as_micros() as Micros, ListEvent::Call { scheduler, generation });
    }

    /// When something happens next.
    pub fn next_at(&self) -> Option<Micros> {
        let served = self.servers.iter().filter_map(Service::next).map(|at| at.as_micros() as Micros);
        self.queue.next_at().into_iter().chain(served.min()).min()
    }

    /// Goes on to that time; gives the lines that have come, in order.
    pub fn advance(&mut self, now: Micros) -> Vec<Delivery> {
        loop {
            let event_at = self.queue.next_at().unwrap_or(Micros::MAX);
            let served = self.servers.iter().filter_map(Service::next).min();
            let served_at = served.map_or(Micros::MAX, |at| at.as_micros() as Micros);
            if event_at.min(served_at) > now {
                return std::mem::take(&mut self.delivered);
            }
            if served_at <= event_at {
                // The service's clock is finer than this one.
                self.serve(Duration::from_micros(served_at + 1));
            } else if let Some((at, event)) = self.queue.pop(now) {
                self.happen(at, event);
            }
        }
    }

    fn serve(&mut self, until: Duration) {
        let mut ended = Vec::new();
        for server in &mut self.servers {
            ended.extend(server.advance(until));
        }
        for (at, (scheduler, generation), how) in ended {
            let client = &mut self.clients[scheduler as usize];
            if client.generation != generation {
                continue;
            }
            let at = at.as_micros() as Micros;
            let spent = Duration::from_micros(at.saturating_sub(client.called));
            if how == Ending::Served && at >= self.down_until {
                client.answered_after = spent;
                self.open_watch(at, scheduler);
            } else {
                let wait = client.calls.on_failure(CallFailure::TimedOut, spent);
                self.costs.failed_calls += 1;
                self.call_later(at, scheduler, wait);
            }
        }
    }

    /// The answer to a call: what the scheduler lacks, and then each change.
    fn open_watch(&mut self, at: Micros, scheduler: u32) {
        let version = self.truth.version();
        let client = &mut self.clients[scheduler as usize];
        client.watching = true;
        client.watches += 1;
        let (after, watch) = (client.heard, client.watches);
        *ListCosts::at(&mut self.costs.bytes, at) += ANSWER_HEAD.len() as u64;
        self.push(at, scheduler, after, version);
        self.queue.push(at + HEARTBEAT, ListEvent::Heartbeat { scheduler, watch });
    }

    fn happen(&mut self, at: Micros, event: ListEvent) {
        match event {
            ListEvent::Call { scheduler, generation } => self.call(at, scheduler, generation),
            ListEvent::Line { scheduler, generation, after, version } => {
                let client = &mut self.clients[scheduler as usize];
                if client.generation == generation && at >= client.deaf_until {
                    client.heard = Some(version);
                    self.line(Delivery { at, scheduler, after, version });
                }
            }
            ListEvent::Heartbeat { scheduler, watch } => self.heartbeat(at, scheduler, watch),
            ListEvent::Hear { scheduler, generation } => self.hear(at, scheduler, generation),
            ListEvent::Return => self.push_all(at),
        }
    }

    /// The watch of a scheduler that was deaf brings what has changed since it last heard.
    fn hear(&mut self, at: Micros, scheduler: u32, generation: u32) {
        let client = &self.clients[scheduler as usize];
        let (heard, version) = (client.heard, self.truth.version());
        let hears = client.watching && client.generation == generation && at >= client.deaf_until;
        if hears && heard != Some(version) {
            self.push(at, scheduler, heard, version);
        }
    }

    fn call(&mut self, at: Micros, scheduler: u32, generation: u32) {
        let client = &mut self.clients[scheduler as usize];
        if client.generation != generation {
            return;
        }
        client.called = at;
        let version = client.heard;
        *ListCosts::at(&mut self.costs.calls, at) += 1;
        if at < self.down_until {
            let wait = client.calls.on_failure(CallFailure::Unreachable, Duration::ZERO);
            self.costs.failed_calls += 1;
            return self.call_later(at, scheduler, wait.max(Duration::from_millis(1)));
        }
        if self.servers.is_empty() {
            return self.open_watch(at, scheduler);
        }
        let entries = self.entries_of(version, self.truth.version()) as u32;
        let of = scheduler as usize % self.servers.len();
        if self.servers[of].call(Duration::from_micros(at), (scheduler, generation), entries).is_err() {
            let wait = self.clients[scheduler as usize]
                .calls
                .on_failure(CallFailure::Rejected { retry_after: None }, Duration::ZERO);
            self.costs.failed_calls += 1;
            self.call_later(at, scheduler, wait);
        }
    }

    fn line(&mut self, delivery: Delivery) {
        let entries = self.entries_of(delivery.after, delivery.version);
        *ListCosts::at(&mut self.costs.bytes, delivery.at) += line_bytes(entries) as u64;
        self.costs.lines.0 += u64::from(entries > 0);
        self.costs.lines.1 += u64::from(entries == 0);
        self.costs.whole_lists += u64::from(delivery.after.is_none());
        self.delivered.push(delivery);
    }

    fn heartbeat(&mut self, at: Micros, scheduler: u32, watch: u32) {
        let client = &self.clients[scheduler as usize];
        if client.watches != watch || !client.watching {
            return;
        }
        self.queue.push(at + HEARTBEAT, ListEvent::Heartbeat { scheduler, watch });
        let silent = at < self.down_until || at < client.deaf_until || at <= client.last_line;
        if let Some(version) = client.heard.filter(|_| !silent) {
            self.line(Delivery { at, scheduler, after: Some(version), version });
        }
    }
}
