//! The table of client connections: the phase and the deadline of each, and which one is evicted for a new
//! one.

use std::collections::{BTreeMap, VecDeque};
use std::sync::atomic::{AtomicBool, AtomicUsize, Ordering};
use std::sync::{Arc, Mutex, MutexGuard, PoisonError};
use std::time::Duration;

use tokio::sync::Notify;
use tokio::time::Instant;

/// The time in which a request must be received, counted from the accept of its connection or, after an
/// earlier request, from its first byte; a body extends it by the time that its received bytes take at the
/// minimum rate. A client that exceeds it gets an error or a closed connection within 3 s.
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
/// A client for which the system takes nothing of an answer for this long is taken as disconnected.
const STALLED_CLIENT_TIMEOUT: Duration = Duration::from_secs(30);
/// The time that a client has to read the last answer on its connection and to close it.
const LINGER_TIMEOUT: Duration = Duration::from_secs(1);
/// A connection is evicted only after this time in its phase: its client may be about to send or close.
const MIN_EVICTION_AGE: Duration = Duration::from_millis(50);
/// A connection whose head is being received is evicted only after this time in its phase.
const MIN_REQUEST_EVICTION_AGE: Duration = Duration::from_millis(700);
/// A connection whose body is being received is evicted only after its client has been behind for this time:
/// one that keeps its pace may send the bytes of a second at once.
const MIN_BODY_EVICTION_AGE: Duration = Duration::from_millis(1250);

/// The phase of a connection, and since when it has been in it.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Phase {
    /// Nothing was received yet.
    Connected(Instant),
    /// The head of a request is being received.
    ReceivingRequest(Instant),
    /// A body is being received.
    ReceivingBody {
        /// Since when the client has sent nothing, or less than a client that keeps its pace.
        behind_since: Instant,
        /// When the next chunk is due.
        deadline: Instant,
    },
    /// A request was received completely and has no answer yet.
    Processing,
    /// A chunk of a streamed body waits for the node to accept it.
    ForwardingBody,
    /// An answer is being sent; the client last read some of it at that time.
    SendingAnswer(Instant),
    /// An answer is complete, and the system has not taken all of it; the client last read some at that time.
    FlushingAnswer(Instant),
    /// Between requests.
    Idle(Instant),
    /// The last answer was written; the client has time to read it.
    Lingering(Instant),
}

impl Phase {
    /// Returns when a connection in this phase times out; an idle one does so only while the table is
    /// crowded. `None` while a request is being processed or forwarded, as that has a deadline of its own.
    pub fn deadline(self) -> Option<Instant> {
        match self {
            Self::Connected(since) | Self::ReceivingRequest(since) => Some(since + REQUEST_TIMEOUT),
            // `RequestBody` enforces the deadline and answers; this is only a fallback.
            Self::ReceivingBody { deadline, .. } => Some(deadline + LINGER_TIMEOUT),
            Self::Processing | Self::ForwardingBody => None,
            Self::SendingAnswer(since) | Self::FlushingAnswer(since) => Some(since + STALLED_CLIENT_TIMEOUT),
            Self::Idle(since) => Some(since + CROWDED_IDLE_TIMEOUT),
            Self::Lingering(since) => Some(since + LINGER_TIMEOUT),
        }
    }

    /// Returns until when an idle connection is kept while the table is not crowded.
    pub fn extended_idle_deadline(self) -> Option<Instant> {
        match self {
            Self::Idle(since) => Some(since + IDLE_TIMEOUT),
            _ => None,
        }
    }

    /// Returns the eviction rank of a connection in this phase, and since when it has been in it; `None` if
    /// it must not be evicted.
    fn eviction_rank(self, now: Instant) -> Option<(u8, Instant)> {
        let time_since = |since| now.saturating_duration_since(since);
        let (rank, since, min_age) = match self {
            Self::Lingering(since) => (LINGERING_RANK, since, MIN_EVICTION_AGE),
            // Ranked below `Connected`: the client of an idle connection can open another one, while the
            // first request on a new connection may be on its way.
            Self::Idle(since) if time_since(since) >= CROWDED_IDLE_TIMEOUT => {
                (IDLE_RANK, since, CROWDED_IDLE_TIMEOUT)
            }
            Self::Connected(since) => (CONNECTED_RANK, since, MIN_EVICTION_AGE),
            Self::ReceivingRequest(since) => (SLOW_REQUEST_RANK, since, MIN_REQUEST_EVICTION_AGE),
            Self::ReceivingBody { behind_since, .. } => {
                (SLOW_REQUEST_RANK, behind_since, MIN_BODY_EVICTION_AGE)
            }
            // Evicted when many clients send one request and stay connected: a new client whose connection is
            // closed has failed, while the client of an idle connection can use another one.
            Self::Idle(since) => (RECENTLY_IDLE_RANK, since, MIN_EVICTION_AGE),
            Self::Processing | Self::ForwardingBody | Self::SendingAnswer(_) | Self::FlushingAnswer(_) => {
                return None
            }
        };
        (time_since(since) >= min_age).then_some((rank, since))
    }
}

/// Whether a head states the length of its body unambiguously. hyper shows only one of two statements, which
/// would allow request smuggling.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Framing {
    /// At most one of `Content-Length` and `Transfer-Encoding`.
    Unambiguous,
    /// Both `Content-Length` and `Transfer-Encoding`.
    Ambiguous,
    /// The head arrived while the request before it was being processed, and was not scanned.
    Unknown,
}

/// Scans the head of a request for the headers that state the length of its body.
#[derive(Clone, Debug, Default)]
struct HeadScanner {
    /// The beginning of the current line, in lower case.
    line: [u8; 18],
    line_length: usize,
    has_started: bool,
    has_content_length: bool,
    has_transfer_encoding: bool,
    /// The blank line that ends the head was received.
    is_complete: bool,
    /// The result was taken; further bytes are not part of this head.
    is_taken: bool,
}

impl HeadScanner {
    fn scan(&mut self, bytes: &[u8]) {
        for byte in bytes.iter().filter(|byte| **byte != b'\r') {
            if self.is_complete || self.is_taken {
                return;
            }
            if *byte != b'\n' {
                if let Some(slot) = self.line.get_mut(self.line_length) {
                    *slot = byte.to_ascii_lowercase();
                }
                self.line_length += 1;
                continue;
            }
            let line = &self.line[..self.line_length.min(self.line.len())];
            self.has_content_length |= line.starts_with(b"content-length:");
            self.has_transfer_encoding |= line.starts_with(b"transfer-encoding:");
            // Blank lines before the first line are skipped.
            self.is_complete = self.line_length == 0 && self.has_started;
            self.has_started |= self.line_length > 0;
            self.line_length = 0;
        }
    }
}

/// The state of one client connection.
#[derive(Debug)]
pub struct ClientConnection {
    phase: Mutex<Phase>,
    head: Mutex<HeadScanner>,
    /// The connection is closed after its next answer.
    closes_after_answer: AtomicBool,
    /// Notified when the connection is evicted: it is closed so that the client can read its last answer.
    pub evicted: Notify,
    /// Notified when a connection that is being closed has to end at once.
    pub linger_cancelled: Notify,
}

/// Locks a mutex. No code panics while it holds one of these locks, so a poisoned one is used as it is.
fn lock<T>(mutex: &Mutex<T>) -> MutexGuard<'_, T> {
    mutex.lock().unwrap_or_else(PoisonError::into_inner)
}

impl ClientConnection {
    /// Returns the current phase.
    pub fn phase(&self) -> Phase {
        *lock(&self.phase)
    }

    /// Sets the phase.
    pub fn set_phase(&self, phase: Phase) {
        *lock(&self.phase) = phase;
    }

    /// Records that the system has taken some of an answer.
    pub fn record_sent(&self) {
        if let Phase::SendingAnswer(since) | Phase::FlushingAnswer(since) = &mut *lock(&self.phase) {
            *since = Instant::now();
        }
    }

    /// Records that all data of an answer was passed to hyper.
    pub fn record_answer_end(&self) {
        *lock(&self.phase) = Phase::FlushingAnswer(Instant::now());
    }

    /// Records that the system has taken all that was passed to hyper. If that was the end of an answer, the
    /// connection is idle from now on.
    pub fn record_flushed(&self) {
        let mut phase = lock(&self.phase);
        if matches!(*phase, Phase::FlushingAnswer(_)) {
            *phase = Phase::Idle(Instant::now());
        }
    }

    /// Makes the current request the last one on this connection.
    pub fn close_after_answer(&self) {
        self.closes_after_answer.store(true, Ordering::Relaxed);
    }

    /// Whether the connection is closed after its next answer.
    pub fn closes_after_answer(&self) -> bool {
        self.closes_after_answer.load(Ordering::Relaxed)
    }

    /// Takes the result of the scan of the current request's head; to be called once for each request.
    pub fn take_framing(&self) -> Framing {
        let mut head = lock(&self.head);
        let framing = match *head {
            HeadScanner {
                is_complete: true, has_content_length: true, has_transfer_encoding: true, ..
            } => Framing::Ambiguous,
            HeadScanner { is_complete: true, .. } => Framing::Unambiguous,
            _ => Framing::Unknown,
        };
        head.is_complete = false;
        head.is_taken = true;
        framing
    }

    /// Records that bytes were received. The time of the first request counts from the accept of the
    /// connection.
    pub fn record_received(&self, bytes: &[u8]) {
        let mut phase = lock(&self.phase);
        if matches!(*phase, Phase::Idle(_)) {
            *lock(&self.head) = HeadScanner::default();
        }
        lock(&self.head).scan(bytes);
        match *phase {
            Phase::Connected(since) => *phase = Phase::ReceivingRequest(since),
            Phase::Idle(_) => *phase = Phase::ReceivingRequest(Instant::now()),
            Phase::ReceivingRequest(_)
            | Phase::ReceivingBody { .. }
            | Phase::Processing
            | Phase::ForwardingBody
            | Phase::SendingAnswer(_)
            | Phase::FlushingAnswer(_)
            | Phase::Lingering(_) => {}
        }
    }

    /// Records that the head of a request was received completely, and returns when the request began. The
    /// connection can still be evicted like one whose head is being received, so that endless bodies do not
    /// keep new clients out either.
    pub fn begin_request(&self) -> Instant {
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
    next_number: u64,
    open: BTreeMap<u64, Arc<ClientConnection>>,
    /// Evicted connections that are being closed, the oldest first.
    closing: VecDeque<(u64, Arc<ClientConnection>)>,
}

/// Returns how many evicted connections may be in the course of closing, beside `limit` open ones. Beyond
/// that, the oldest of them ends at once.
pub fn closing_capacity(limit: usize) -> usize {
    (limit / 16).max(1)
}

/// The client connections of the front. It never stops accepting: when the table is full, the connection with
/// the lowest eviction rank is evicted, so that silent clients do not keep others out.
#[derive(Clone, Debug)]
pub struct ConnectionTable {
    /// The number of connections that the table is meant for, which decides whether it is crowded.
    capacity: Arc<AtomicUsize>,
    /// The number of connections that may be open now.
    limit: Arc<AtomicUsize>,
    slots: Arc<Mutex<Slots>>,
}

/// A connection's entry in the table, removed when dropped.
#[derive(Debug)]
pub struct Slot {
    /// The table that holds the entry.
    pub table: ConnectionTable,
    number: u64,
    /// The state of the connection.
    pub client: Arc<ClientConnection>,
}

impl ConnectionTable {
    /// Creates a table of `capacity` connections, beside which [`closing_capacity`] may be in the course of
    /// closing.
    pub fn new(capacity: usize) -> Self {
        let (capacity, limit) = (Arc::new(AtomicUsize::new(capacity)), Arc::new(AtomicUsize::new(capacity)));
        Self { capacity, limit, slots: Arc::default() }
    }

    /// Sets the capacity, and the limit of open connections, which may be lower for a while. Connections that
    /// are open already stay.
    pub fn resize(&self, capacity: usize, limit: usize) {
        self.capacity.store(capacity, Ordering::Relaxed);
        self.limit.store(limit, Ordering::Relaxed);
    }

    /// Whether at least half of the capacity is in use.
    pub fn crowded(&self) -> bool {
        2 * lock(&self.slots).open.len() >= self.capacity.load(Ordering::Relaxed)
    }

    /// Adds an entry for a new connection. In a crowded or full table, another connection is evicted for it
    /// if one may be. Returns `None` if the table is full and no connection may be evicted.
    pub fn admit(&self, now: Instant) -> Option<Slot> {
        let (mut slots, capacity) = (lock(&self.slots), self.capacity.load(Ordering::Relaxed));
        let limit = self.limit.load(Ordering::Relaxed);
        let (max_closing, open) = (closing_capacity(limit), slots.open.len());
        // Clients may run short of descriptors themselves: they hold a third as many as the scheduler. The
        // capacity is nearly half of the scheduler's, so this happens at about two thirds of the capacity.
        // From five eighths on, recently idle connections are therefore evicted too.
        let evictable_ranks: &[u8] = match () {
            () if open >= limit => {
                &[LINGERING_RANK, IDLE_RANK, CONNECTED_RANK, SLOW_REQUEST_RANK, RECENTLY_IDLE_RANK]
            }
            () if 8 * open >= 5 * capacity => &[LINGERING_RANK, IDLE_RANK, RECENTLY_IDLE_RANK],
            () if 2 * open >= capacity => &[LINGERING_RANK, IDLE_RANK],
            () => &[],
        };
        if !evictable_ranks.is_empty() {
            let candidate = |(number, client): (&u64, &Arc<ClientConnection>)| {
                Some((client.phase().eviction_rank(now)?, *number))
            };
            let lowest = slots
                .open
                .iter()
                .filter_map(candidate)
                .filter(|((rank, _), _)| evictable_ranks.contains(rank))
                .min();
            let lowest =
                lowest.and_then(|((rank, _), number)| Some((rank, number, slots.open.remove(&number)?)));
            if let Some((rank, number, client)) = lowest {
                if rank == LINGERING_RANK {
                    // It is being closed already, and its client had time to read the answer.
                    client.linger_cancelled.notify_one();
                } else {
                    client.evicted.notify_one();
                    slots.closing.push_back((number, client));
                    if slots.closing.len() > max_closing {
                        slots.closing.pop_front().inspect(|(_, oldest)| oldest.linger_cancelled.notify_one());
                    }
                }
            } else if open >= limit {
                return None;
            }
        }
        let number = slots.next_number;
        slots.next_number += 1;
        let client = Arc::new(ClientConnection {
            phase: Mutex::new(Phase::Connected(now)),
            head: Mutex::default(),
            closes_after_answer: AtomicBool::new(false),
            evicted: Notify::new(),
            linger_cancelled: Notify::new(),
        });
        slots.open.insert(number, client.clone());
        Some(Slot { table: self.clone(), number, client })
    }
}

impl Drop for Slot {
    fn drop(&mut self) {
        let mut slots = lock(&self.table.slots);
        if slots.open.remove(&self.number).is_none() {
            slots.closing.retain(|(number, _)| *number != self.number);
        }
    }
}

#[cfg(test)]
mod tests;
