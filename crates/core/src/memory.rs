//! The memory that bodies of requests and of replies may hold together.
//!
//! All tasks that hold data of a body reserve memory for it here first. Data that passes through in chunks
//! waits for memory, which holds back its sender. A complete copy, which allows another attempt or the check
//! of a reply, is made only while there is plenty: otherwise the body passes through in chunks. Connections
//! are counted here as well, as their number is limited elsewhere: the more there are, the less is left for
//! complete copies.

use std::sync::{Arc, Mutex, MutexGuard, PoisonError};

use bytes::Bytes;
use tokio::sync::Notify;

mod buffer;

pub use buffer::{OutOfMemory, ReservedBuffer};

/// The limit on bodies divided by this is the most that [`Priority::Optional`] reservations use, and what
/// chunks of streamed bodies have for themselves.
const SHARE_DIVISOR: usize = 2;
/// The part of the limit on bodies that connections to nodes leave to them.
const GUARANTEED_DIVISOR: usize = 8;
/// What chunks of replies have for themselves, in bytes. They are passed on to the system at once, so that a
/// few of them suffice for all clients, while an upload may wait for its node for seconds.
const DOWNLOAD_BYTES: usize = 128 * 1024;

/// What a reservation is for.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum MemoryHolder {
    /// Bodies of requests that are kept until the final answer, so that they can be sent again.
    RequestBodies,
    /// Chunks of request bodies that are streamed.
    Uploads,
    /// Replies of nodes that are kept until their clients have read them.
    Replies,
    /// Chunks of replies that are streamed.
    Downloads,
    /// Data of commands, from NVMe hosts and to NVMe targets.
    NvmeCommands,
    /// Buffers and tasks of connections of clients and NVMe hosts.
    ClientConnections,
    /// Buffers and tasks of connections to nodes.
    NodeConnections,
}

impl MemoryHolder {
    /// All holders, in the order of [`MemoryUsage::held`].
    pub const ALL: [Self; 7] = [
        Self::RequestBodies,
        Self::Uploads,
        Self::Replies,
        Self::Downloads,
        Self::NvmeCommands,
        Self::ClientConnections,
        Self::NodeConnections,
    ];

    /// Returns whether this is data of bodies, which the limit on bodies bounds.
    pub fn holds_bodies(self) -> bool {
        !matches!(self, Self::ClientConnections | Self::NodeConnections)
    }

    /// Returns whether this is data of bodies that pass through in chunks.
    pub fn is_stream(self) -> bool {
        matches!(self, Self::Uploads | Self::Downloads)
    }
}

/// How much of the limit a reservation may use.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Priority {
    /// The complete limit on bodies: the body can't proceed without it.
    Required,
    /// Half of the limit on bodies, and what connections leave: the body can also be streamed.
    Optional,
}

/// The limits of a budget.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct MemoryLimits {
    /// The limit on all holders of bodies together, in bytes.
    pub bodies: usize,
    /// The limit on bodies and connections together, in bytes, which holds for [`Priority::Optional`].
    pub total: usize,
    /// The limit on bodies and connections to nodes together, in bytes. An eighth of the limit on bodies is
    /// left to them whatever the connections hold.
    pub shared: usize,
}

/// The limits until [`MemoryBudget::set_limits`] is called.
impl Default for MemoryLimits {
    fn default() -> Self {
        Self { bodies: 32 << 20, total: 64 << 20, shared: 64 << 20 }
    }
}

/// The current use of a budget.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct MemoryUsage {
    /// The limits.
    pub limits: MemoryLimits,
    /// Reserved bytes of each holder, in the order of [`MemoryHolder::ALL`].
    pub held: [usize; MemoryHolder::ALL.len()],
    /// The most bytes that all holders of bodies had reserved at a time.
    pub peak_bodies: usize,
    /// Bodies that were streamed because there was no memory to buffer them.
    pub unbuffered_bodies: u64,
    /// Reservations that had to wait.
    pub waits: u64,
}

impl MemoryUsage {
    /// Returns the reserved bytes of all holders.
    pub fn total(&self) -> usize {
        self.held.iter().sum()
    }

    /// Returns the reserved bytes of all holders of bodies.
    pub fn bodies(&self) -> usize {
        self.total_of(MemoryHolder::holds_bodies)
    }

    fn total_of(&self, is_counted: impl Fn(MemoryHolder) -> bool) -> usize {
        let holders = MemoryHolder::ALL.iter().zip(self.held);
        holders.filter(|(holder, _)| is_counted(**holder)).map(|(_, bytes)| bytes).sum()
    }

    /// Returns whether the limits allow a reservation of `bytes`.
    fn allows(&self, holder: MemoryHolder, bytes: usize, priority: Priority) -> bool {
        let bodies = self.bodies();
        let share = self.limits.bodies / SHARE_DIVISOR;
        let guaranteed = self.limits.bodies / GUARANTEED_DIVISOR;
        let connections = self.held[MemoryHolder::NodeConnections as usize];
        if holder == MemoryHolder::NodeConnections {
            return connections + bytes + bodies.max(guaranteed) <= self.limits.shared;
        }
        let downloads = self.held[MemoryHolder::Downloads as usize];
        if holder == MemoryHolder::Downloads && downloads + bytes <= DOWNLOAD_BYTES.min(guaranteed) {
            return true;
        }
        let fits_beside_connections = bodies + bytes <= self.limits.shared.saturating_sub(connections);
        match priority {
            Priority::Required if holder.is_stream() && !fits_beside_connections => {
                self.total_of(MemoryHolder::is_stream) + bytes <= guaranteed
            }
            // Copies that their clients do not read must not hold up streams.
            Priority::Required if holder.is_stream() => {
                bodies + bytes <= self.limits.bodies
                    || self.total_of(MemoryHolder::is_stream) + bytes <= share
            }
            // The only reservation is granted whatever its size, as no other will ever make room for it.
            Priority::Required => {
                bodies == 0 || (fits_beside_connections && bodies + bytes <= self.limits.bodies)
            }
            // Half of what connections leave is kept for further connections and for streams.
            Priority::Optional => {
                2 * (bodies + bytes) <= self.limits.shared.saturating_sub(connections)
                    && bodies + bytes <= share
                    && self.total() + bytes <= self.limits.total
            }
        }
    }
}

/// A limit on memory that all clones share.
#[derive(Clone, Debug)]
pub struct MemoryBudget(Arc<Shared>);

#[derive(Debug, Default)]
struct Shared {
    usage: Mutex<MemoryUsage>,
    /// Reservations for chunks of replies, for chunks of uploads, and all others: none of them waits behind
    /// another kind.
    downloads: WaitQueue,
    uploads: WaitQueue,
    others: WaitQueue,
}

/// The reservations that wait.
#[derive(Debug, Default)]
struct WaitQueue {
    /// Locked by the one that waits next, so that they wait in the order of their calls.
    turn: tokio::sync::Mutex<()>,
    /// Notified when memory is released or the limits change.
    released: Notify,
}

impl Shared {
    fn notify_released(&self) {
        self.downloads.released.notify_one();
        self.uploads.released.notify_one();
        self.others.released.notify_one();
    }
}

impl Default for MemoryBudget {
    fn default() -> Self {
        Self::new(MemoryLimits::default())
    }
}

impl MemoryBudget {
    /// Creates a budget with these limits.
    pub fn new(limits: MemoryLimits) -> Self {
        let usage = Mutex::new(MemoryUsage { limits, ..MemoryUsage::default() });
        Self(Arc::new(Shared { usage, ..Shared::default() }))
    }

    /// Sets the limits. What is reserved beyond a lower limit stays reserved, and nothing more is granted
    /// until enough of it is released.
    pub fn set_limits(&self, limits: MemoryLimits) {
        self.lock().limits = limits;
        self.0.notify_released();
    }

    /// Returns the current use.
    pub fn usage(&self) -> MemoryUsage {
        *self.lock()
    }

    /// Counts a body that is streamed because there is no memory to buffer it.
    pub fn count_unbuffered_body(&self) {
        self.lock().unbuffered_bodies += 1;
    }

    /// Reserves `bytes` whatever the limits are: for a connection, as another limit bounds their number.
    pub fn charge(&self, holder: MemoryHolder, bytes: usize) -> Reservation {
        self.grant(&mut self.lock(), holder, bytes)
    }

    /// Reserves `bytes`; `None` if the limits do not allow that now.
    pub fn try_reserve(&self, holder: MemoryHolder, bytes: usize, priority: Priority) -> Option<Reservation> {
        let mut usage = self.lock();
        usage.allows(holder, bytes, priority).then(|| self.grant(&mut usage, holder, bytes))
    }

    fn grant(&self, usage: &mut MemoryUsage, holder: MemoryHolder, bytes: usize) -> Reservation {
        usage.held[holder as usize] += bytes;
        usage.peak_bodies = usage.peak_bodies.max(usage.bodies());
        Reservation { budget: self.clone(), holder, bytes }
    }

    /// Reserves `bytes` with [`Priority::Required`], and waits for them if need be, in the order of the
    /// calls.
    pub async fn reserve(&self, holder: MemoryHolder, bytes: usize) -> Reservation {
        let queue = match holder {
            MemoryHolder::Downloads => &self.0.downloads,
            MemoryHolder::Uploads => &self.0.uploads,
            _ => &self.0.others,
        };
        if queue.turn.try_lock().is_ok() {
            if let Some(reservation) = self.try_reserve(holder, bytes, Priority::Required) {
                return reservation;
            }
        }
        self.lock().waits += 1;
        let _turn = queue.turn.lock().await;
        loop {
            // The notification of a release before this is kept, so that none is missed.
            if let Some(reservation) = self.try_reserve(holder, bytes, Priority::Required) {
                return reservation;
            }
            queue.released.notified().await;
        }
    }

    fn lock(&self) -> MutexGuard<'_, MemoryUsage> {
        // No code panics while it holds the lock, so a poisoned one is used as it is.
        self.0.usage.lock().unwrap_or_else(PoisonError::into_inner)
    }
}

/// Reserved memory, released when dropped.
#[derive(Debug)]
pub struct Reservation {
    budget: MemoryBudget,
    holder: MemoryHolder,
    bytes: usize,
}

impl Reservation {
    /// Returns `data` as bytes that hold this reservation until the last clone of them is dropped.
    pub fn attach(self, data: Bytes) -> Bytes {
        Bytes::from_owner(ReservedBytes { data, _reservation: self })
    }

    /// Adds another reservation of the same budget and holder to this one.
    fn merge(&mut self, mut other: Self) {
        self.bytes += std::mem::take(&mut other.bytes);
    }
}

impl Drop for Reservation {
    fn drop(&mut self) {
        if self.bytes > 0 {
            self.budget.lock().held[self.holder as usize] -= self.bytes;
            self.budget.0.notify_released();
        }
    }
}

/// Data and the reservation for it.
struct ReservedBytes {
    data: Bytes,
    _reservation: Reservation,
}

impl AsRef<[u8]> for ReservedBytes {
    fn as_ref(&self) -> &[u8] {
        &self.data
    }
}

#[cfg(test)]
mod tests;
