//! Who is connected: what each connection is at and until when, and who makes way for a newcomer.

use std::collections::{BTreeMap, VecDeque};
use std::sync::atomic::{AtomicBool, AtomicUsize, Ordering};
use std::sync::{Arc, Mutex, MutexGuard, PoisonError};
use std::time::Duration;

use tokio::sync::Notify;
use tokio::time::Instant;

/// A request's last byte comes this long after its client has connected, or after its first byte on a
/// connection that has carried others. Clients that do not keep to it are owed an end within 3 s.
pub const REQUEST: Duration = Duration::from_millis(2500);
/// A connection without a request is kept so long, and for the second time as long as all find room.
const IDLE: (Duration, Duration) = (Duration::from_millis(2030), Duration::from_secs(10));
/// How dispensable an idle connection is: only one that is ending anyway is more so. And one that has not
/// been idle for long: the last to go.
const PARTING_RANK: u8 = 0;
const IDLE_RANK: u8 = 1;
const LATELY_IDLE_RANK: u8 = 4;
/// A client that takes nothing of a long answer for so long has left.
const STALLED: Duration = Duration::from_secs(15);
/// A client that has been answered for the last time may take so long to read that and close.
const PARTING: Duration = Duration::from_secs(1);
/// Whoever connects to ask has begun to by then: before, silence is no sign of one who never will.
const SETTLED: Duration = Duration::from_millis(50);
/// The same for a request that has begun and does not end.
const DRAGGING: Duration = Duration::from_millis(700);

/// What a connection is at, and since when.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Phase {
    /// Nothing has come yet.
    Silent(Instant),
    /// A request is coming.
    Asking(Instant),
    /// A body is coming, the next piece by then.
    Sending {
        /// Since when its client has been asking.
        since: Instant,
        /// When the next piece is due.
        by: Instant,
    },
    /// A request is being worked on.
    Busy,
    /// A piece of its body waits for the node that takes it; more may be coming.
    Handing,
    /// A long answer is on its way, of which the client has taken some then.
    Passing(Instant),
    /// Between requests.
    Idle(Instant),
    /// The last answer is given; the client reads it.
    Parting(Instant),
}

impl Phase {
    /// When it ends, an idle one if places are scarce; an answer has its own deadline.
    pub fn until(self) -> Option<Instant> {
        match self {
            Self::Silent(since) | Self::Asking(since) => Some(since + REQUEST),
            // Whoever reads the body sees to the time, and answers.
            Self::Sending { by, .. } => Some(by + PARTING),
            Self::Busy | Self::Handing => None,
            Self::Passing(since) => Some(since + STALLED),
            Self::Idle(since) => Some(since + IDLE.0),
            Self::Parting(since) => Some(since + PARTING),
        }
    }

    /// Until when an idle connection is kept while places are not scarce.
    pub fn kept_until(self) -> Option<Instant> {
        match self {
            Self::Idle(since) => Some(since + IDLE.1),
            _ => None,
        }
    }

    /// How dispensable a connection in this phase is, the least of all first; `None` if it stays.
    fn dispensable(self, now: Instant) -> Option<(u8, Instant)> {
        let lasting = |since| now.saturating_duration_since(since);
        let (rank, since, after) = match self {
            Self::Parting(since) => (PARTING_RANK, since, SETTLED),
            // Its client just opens another; the first request of a silent one may be on its way.
            Self::Idle(since) if lasting(since) >= IDLE.0 => (IDLE_RANK, since, IDLE.0),
            Self::Silent(since) => (2, since, SETTLED),
            Self::Asking(since) | Self::Sending { since, .. } => (3, since, DRAGGING),
            // In a crowd of clients that ask once and stay: a newcomer that is closed on has failed, while
            // the client of an idle connection asks again on another.
            Self::Idle(since) => (LATELY_IDLE_RANK, since, SETTLED),
            Self::Busy | Self::Handing | Self::Passing(_) => return None,
        };
        (lasting(since) >= after).then_some((rank, since))
    }
}

/// How often a head tells the length of its body. hyper shows one where there are two, by which another
/// request may be hidden.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Framing {
    /// Once or not at all.
    One,
    /// By its length and by a coding.
    Two,
    /// It came before its turn.
    Unknown,
}

/// The head that is coming, as far as its lengths go.
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

/// One connection's entry.
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

/// Nobody panics while holding one of these locks for a look-up.
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
            Phase::Silent(since) => *phase = Phase::Asking(since),
            Phase::Idle(_) => *phase = Phase::Asking(Instant::now()),
            Phase::Asking(_)
            | Phase::Sending { .. }
            | Phase::Busy
            | Phase::Handing
            | Phase::Passing(_)
            | Phase::Parting(_) => {}
        }
    }

    /// A request's head is there; gives back since when it has been coming. Until then it can be spared like
    /// one whose head is still to come: bodies that never end keep nobody out either.
    pub fn begin(&self) -> Instant {
        let mut phase = lock(&self.phase);
        let since = match *phase {
            Phase::Silent(since) | Phase::Asking(since) => since,
            _ => Instant::now(),
        };
        *phase = Phase::Asking(since);
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
pub fn closing_places(cap: usize) -> usize {
    (cap / 16).max(1)
}

/// The connections that the front holds. It never stops taking new ones: when it is full, the one that can
/// best be spared makes way, so that those who hold a connection and say nothing keep nobody out.
#[derive(Clone, Debug)]
pub struct ConnectionTable {
    /// What it holds by itself, by which it is told whether places are scarce, and what it may hold now.
    most: Arc<AtomicUsize>,
    cap: Arc<AtomicUsize>,
    slots: Arc<Mutex<Slots>>,
}

/// A place in the table, free again once dropped.
#[derive(Debug)]
pub struct Slot {
    /// The table.
    pub table: ConnectionTable,
    number: u64,
    /// Its entry.
    pub client: Arc<Client>,
}

impl ConnectionTable {
    /// A table of so many places, and [`closing_places`] beside them.
    pub fn new(most: usize) -> Self {
        let (most, cap) = (Arc::new(AtomicUsize::new(most)), Arc::new(AtomicUsize::new(most)));
        Self { most, cap, slots: Arc::default() }
    }

    /// From now on it is for `most`, and takes no more than `cap` for a while; who is there stays.
    pub fn resize(&self, most: usize, cap: usize) {
        self.most.store(most, Ordering::Relaxed);
        self.cap.store(cap, Ordering::Relaxed);
    }

    /// Half of the places are taken.
    pub fn crowded(&self) -> bool {
        2 * lock(&self.slots).taken.len() >= self.most.load(Ordering::Relaxed)
    }

    /// A place for a newcomer; `None` if all are taken by those who can't be spared.
    pub fn enter(&self, now: Instant) -> Option<Slot> {
        let (mut slots, most) = (lock(&self.slots), self.most.load(Ordering::Relaxed));
        let cap = self.cap.load(Ordering::Relaxed);
        let (closing, taken) = (closing_places(cap), slots.taken.len());
        // Clients may be short of descriptors themselves, of which they hold a third, two thirds of the
        // places: before it comes to that, the answered go, long idle or not.
        let ranks: &[u8] = match () {
            () if taken >= cap => &[PARTING_RANK, IDLE_RANK, 2, 3, LATELY_IDLE_RANK],
            () if 8 * taken >= 5 * most => &[PARTING_RANK, IDLE_RANK, LATELY_IDLE_RANK],
            () if 2 * taken >= most => &[PARTING_RANK, IDLE_RANK],
            () => &[],
        };
        if !ranks.is_empty() {
            let spared =
                |(number, client): (&u64, &Arc<Client>)| Some((client.phase().dispensable(now)?, *number));
            let least =
                slots.taken.iter().filter_map(spared).filter(|((rank, _), _)| ranks.contains(rank)).min();
            let least =
                least.and_then(|((rank, _), number)| Some((rank, number, slots.taken.remove(&number)?)));
            if let Some((rank, number, client)) = least {
                if rank == PARTING_RANK {
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
            phase: Mutex::new(Phase::Silent(now)),
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
