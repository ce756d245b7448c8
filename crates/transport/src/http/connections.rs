//! The table of client connections: the phase and the deadline of each, and which one is evicted for a new
//! one.

use std::collections::{BTreeMap, VecDeque};
use std::sync::atomic::{AtomicBool, AtomicUsize, Ordering};
use std::sync::{Arc, Mutex, MutexGuard, PoisonError};
use std::time::Duration;

use tokio::sync::Notify;
use tokio::time::Instant;

/// The time in which a request must be received, counted from the accept of its connection or, after an
/// earlier request, from its first byte. A client that exceeds it gets an error or a closed connection within
/// 3 s.
pub const REQUEST_TIMEOUT: Duration = Duration::from_millis(2500);
/// How long an idle connection is kept while the table is crowded.
const CROWDED_IDLE_TIMEOUT: Duration = Duration::from_millis(2030);
/// How long an idle connection is kept while the table is not crowded.
const IDLE_TIMEOUT: Duration = Duration::from_secs(10);
/// Rank of a connection that is being closed. The connection with the lowest rank is evicted first, and among
/// equal ranks the one that has been in its phase for the longest.
const LINGERING_RANK: u8 = 0;
/// Rank of a connection that has been idle for at least [`CROWDED_IDLE_TIMEOUT`].
const IDLE_RANK: u8 = 1;
/// Rank of a connection on which nothing was received yet.
const CONNECTED_RANK: u8 = 2;
/// Rank of a connection whose request is still being received.
const SLOW_REQUEST_RANK: u8 = 3;
/// Rank of a connection that has been idle for less than [`CROWDED_IDLE_TIMEOUT`].
const RECENTLY_IDLE_RANK: u8 = 4;
/// A client that reads nothing of a streamed answer for this long is taken as disconnected.
const STALLED_CLIENT_TIMEOUT: Duration = Duration::from_secs(15);
/// The time that a client has to read the last answer on its connection and to close it.
const LINGER_TIMEOUT: Duration = Duration::from_secs(1);
/// A connection is evicted only after this time in its phase: its client may be about to send or close.
const MIN_QUIET_TIME: Duration = Duration::from_millis(50);
/// The same for a request that is being received.
const SLOW_REQUEST_TIME: Duration = Duration::from_millis(700);

/// The phase of a connection, and since when it has been in it.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Phase {
    /// Nothing was received yet.
    Connected(Instant),
    /// The head of a request is being received.
    ReceivingRequest(Instant),
    /// A body is being received.
    ReceivingBody {
        /// When its request began.
        since: Instant,
        /// When the next piece is due.
        by: Instant,
    },
    /// A request was received completely and has no answer yet.
    Processing,
    /// A chunk of a streamed body waits for the node to accept it.
    ForwardingBody,
    /// A streamed answer is being sent; the client last read some of it at that time.
    StreamingAnswer(Instant),
    /// Between requests.
    Idle(Instant),
    /// The last answer was written; the client has time to read it.
    Lingering(Instant),
}

impl Phase {
    /// When it ends, an idle one if places are scarce; an answer has its own deadline.
    pub fn until(self) -> Option<Instant> {
        match self {
            Self::Connected(since) | Self::ReceivingRequest(since) => Some(since + REQUEST_TIMEOUT),
            // Whoever reads the body sees to the time, and answers.
            Self::ReceivingBody { by, .. } => Some(by + LINGER_TIMEOUT),
            Self::Processing | Self::ForwardingBody => None,
            Self::StreamingAnswer(since) => Some(since + STALLED_CLIENT_TIMEOUT),
            Self::Idle(since) => Some(since + CROWDED_IDLE_TIMEOUT),
            Self::Lingering(since) => Some(since + LINGER_TIMEOUT),
        }
    }

    /// Until when an idle connection is kept while places are not scarce.
    pub fn kept_until(self) -> Option<Instant> {
        match self {
            Self::Idle(since) => Some(since + IDLE_TIMEOUT),
            _ => None,
        }
    }

    /// Returns the eviction rank of a connection in this phase, and since when it has been in it; `None` if
    /// it must not be evicted.
    fn eviction_rank(self, now: Instant) -> Option<(u8, Instant)> {
        let lasting = |since| now.saturating_duration_since(since);
        let (rank, since, after) = match self {
            Self::Lingering(since) => (LINGERING_RANK, since, MIN_QUIET_TIME),
            // Its client just opens another; the first request of a silent one may be on its way.
            Self::Idle(since) if lasting(since) >= CROWDED_IDLE_TIMEOUT => {
                (IDLE_RANK, since, CROWDED_IDLE_TIMEOUT)
            }
            Self::Connected(since) => (CONNECTED_RANK, since, MIN_QUIET_TIME),
            Self::ReceivingRequest(since) | Self::ReceivingBody { since, .. } => {
                (SLOW_REQUEST_RANK, since, SLOW_REQUEST_TIME)
            }
            // In a crowd of clients that ask once and stay: a newcomer that is closed on has failed, while
            // the client of an idle connection asks again on another.
            Self::Idle(since) => (RECENTLY_IDLE_RANK, since, MIN_QUIET_TIME),
            Self::Processing | Self::ForwardingBody | Self::StreamingAnswer(_) => return None,
        };
        (lasting(since) >= after).then_some((rank, since))
    }
}

/// Whether a head states the length of its body unambiguously. hyper shows only one of two statements, which
/// would allow request smuggling.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Framing {
    /// Once or not at all.
    One,
    /// By its length and by a coding.
    Two,
    /// It came before its turn.
    Unknown,
}

/// Scans the head of a request for the headers that state the length of its body.
#[derive(Clone, Debug, Default)]
struct Head {
    /// The beginning of the line that is coming, in lower case, and how long it is.
    line: [u8; 18],
    at: usize,
    begun: bool,
    length: bool,
    coding: bool,
    /// The blank line has come.
    over: bool,
    /// It was looked at; what comes is not its own.
    stale: bool,
}

impl Head {
    fn note(&mut self, bytes: &[u8]) {
        for byte in bytes.iter().filter(|byte| **byte != b'\r') {
            if self.over || self.stale {
                return;
            }
            if *byte != b'\n' {
                if let Some(place) = self.line.get_mut(self.at) {
                    *place = byte.to_ascii_lowercase();
                }
                self.at += 1;
                continue;
            }
            let line = &self.line[..self.at.min(self.line.len())];
            self.length |= line.starts_with(b"content-length:");
            self.coding |= line.starts_with(b"transfer-encoding:");
            // Before the first line, a blank one ends nothing.
            self.over = self.at == 0 && self.begun;
            self.begun |= self.at > 0;
            self.at = 0;
        }
    }
}

/// The state of one client connection.
#[derive(Debug)]
pub struct Client {
    phase: Mutex<Phase>,
    head: Mutex<Head>,
    /// Its next answer is its last.
    ending: AtomicBool,
    /// Told when it has to make way: its connection is closed so that what it was told can be read.
    pub evicted: Notify,
    /// The same while that is under way: it is closed outright.
    pub cut: Notify,
}

/// Locks a mutex. No code panics while it holds one of these locks, so a poisoned one is used as it is.
fn lock<T>(mutex: &Mutex<T>) -> MutexGuard<'_, T> {
    mutex.lock().unwrap_or_else(PoisonError::into_inner)
}

impl Client {
    /// What it is at.
    pub fn phase(&self) -> Phase {
        *lock(&self.phase)
    }

    /// It is at that from now on.
    pub fn enter(&self, phase: Phase) {
        *lock(&self.phase) = phase;
    }

    /// The request that is coming, or worked on, is the last on its connection.
    pub fn end_with_answer(&self) {
        self.ending.store(true, Ordering::Relaxed);
    }

    /// Its connection ends with the answer at hand.
    pub fn ends_with_answer(&self) -> bool {
        self.ending.load(Ordering::Relaxed)
    }

    /// What the head of the request at hand says of its body's length, in all; once for each.
    pub fn framing(&self) -> Framing {
        let mut head = lock(&self.head);
        let told = match *head {
            Head { over: true, length: true, coding: true, .. } => Framing::Two,
            Head { over: true, .. } => Framing::One,
            _ => Framing::Unknown,
        };
        head.over = false;
        head.stale = true;
        told
    }

    /// Bytes have come. The first request is timed from its connection on.
    pub fn heard(&self, bytes: &[u8]) {
        let mut phase = lock(&self.phase);
        if matches!(*phase, Phase::Idle(_)) {
            *lock(&self.head) = Head::default();
        }
        lock(&self.head).note(bytes);
        match *phase {
            Phase::Connected(since) => *phase = Phase::ReceivingRequest(since),
            Phase::Idle(_) => *phase = Phase::ReceivingRequest(Instant::now()),
            Phase::ReceivingRequest(_)
            | Phase::ReceivingBody { .. }
            | Phase::Processing
            | Phase::ForwardingBody
            | Phase::StreamingAnswer(_)
            | Phase::Lingering(_) => {}
        }
    }

    /// A request's head is there; gives back since when it has been coming. Until then it can be spared like
    /// one whose head is still to come: bodies that never end keep nobody out either.
    pub fn begin(&self) -> Instant {
        let mut phase = lock(&self.phase);
        let since = match *phase {
            Phase::Connected(since) | Phase::ReceivingRequest(since) => since,
            _ => Instant::now(),
        };
        *phase = Phase::ReceivingRequest(since);
        since
    }
}

#[derive(Debug, Default)]
struct Slots {
    next: u64,
    taken: BTreeMap<u64, Arc<Client>>,
    /// Those that had to make way and are being closed, the oldest first.
    closing: VecDeque<(u64, Arc<Client>)>,
}

/// Beside so many places, those for connections that had to make way and are being closed: the oldest of them
/// is cut for the next.
pub fn closing_capacity(cap: usize) -> usize {
    (cap / 16).max(1)
}

/// The client connections of the front. It never stops accepting: when the table is full, the connection with
/// the lowest eviction rank is evicted, so that silent clients do not keep others out.
#[derive(Clone, Debug)]
pub struct ConnectionTable {
    /// What it holds by itself, by which it is told whether places are scarce, and what it may hold now.
    most: Arc<AtomicUsize>,
    cap: Arc<AtomicUsize>,
    slots: Arc<Mutex<Slots>>,
}

/// A connection's entry in the table, removed when dropped.
#[derive(Debug)]
pub struct Slot {
    /// The table that holds the entry.
    pub table: ConnectionTable,
    number: u64,
    /// Its entry.
    pub client: Arc<Client>,
}

impl ConnectionTable {
    /// A table of so many places, and [`closing_capacity`] beside them.
    pub fn new(most: usize) -> Self {
        let (most, cap) = (Arc::new(AtomicUsize::new(most)), Arc::new(AtomicUsize::new(most)));
        Self { most, cap, slots: Arc::default() }
    }

    /// From now on it is for `most`, and takes no more than `cap` for a while; who is there stays.
    pub fn resize(&self, most: usize, cap: usize) {
        self.most.store(most, Ordering::Relaxed);
        self.cap.store(cap, Ordering::Relaxed);
    }

    /// Whether at least half of the capacity is in use.
    pub fn crowded(&self) -> bool {
        2 * lock(&self.slots).taken.len() >= self.most.load(Ordering::Relaxed)
    }

    /// Adds an entry for a new connection, and evicts another one for it if necessary. `None` if the table is
    /// full and no connection may be evicted.
    pub fn admit(&self, now: Instant) -> Option<Slot> {
        let (mut slots, most) = (lock(&self.slots), self.most.load(Ordering::Relaxed));
        let cap = self.cap.load(Ordering::Relaxed);
        let (closing, taken) = (closing_capacity(cap), slots.taken.len());
        // Clients may be short of descriptors themselves, of which they hold a third, two thirds of the
        // places: before it comes to that, the answered go, long idle or not.
        let ranks: &[u8] = match () {
            () if taken >= cap => {
                &[LINGERING_RANK, IDLE_RANK, CONNECTED_RANK, SLOW_REQUEST_RANK, RECENTLY_IDLE_RANK]
            }
            () if 8 * taken >= 5 * most => &[LINGERING_RANK, IDLE_RANK, RECENTLY_IDLE_RANK],
            () if 2 * taken >= most => &[LINGERING_RANK, IDLE_RANK],
            () => &[],
        };
        if !ranks.is_empty() {
            let spared =
                |(number, client): (&u64, &Arc<Client>)| Some((client.phase().eviction_rank(now)?, *number));
            let least =
                slots.taken.iter().filter_map(spared).filter(|((rank, _), _)| ranks.contains(rank)).min();
            let least =
                least.and_then(|((rank, _), number)| Some((rank, number, slots.taken.remove(&number)?)));
            if let Some((rank, number, client)) = least {
                if rank == LINGERING_RANK {
                    // It is being closed already, and had its time.
                    client.cut.notify_one();
                } else {
                    client.evicted.notify_one();
                    slots.closing.push_back((number, client));
                    if slots.closing.len() > closing {
                        slots.closing.pop_front().inspect(|(_, oldest)| oldest.cut.notify_one());
                    }
                }
            } else if taken >= cap {
                return None;
            }
        }
        let number = slots.next;
        slots.next += 1;
        let client = Arc::new(Client {
            phase: Mutex::new(Phase::Connected(now)),
            head: Mutex::default(),
            ending: AtomicBool::new(false),
            evicted: Notify::new(),
            cut: Notify::new(),
        });
        slots.taken.insert(number, client.clone());
        Some(Slot { table: self.clone(), number, client })
    }
}

impl Drop for Slot {
    fn drop(&mut self) {
        let mut slots = lock(&self.table.slots);
        if slots.taken.remove(&self.number).is_none() {
            slots.closing.retain(|(number, _)| *number != self.number);
        }
    }
}

#[cfg(test)]
mod tests;
