//! The file descriptors that connections to all nodes share. With more nodes than descriptors, idle
//! connections to one node are evicted for a new connection to another.

use std::collections::BTreeMap;
use std::sync::atomic::{AtomicU64, AtomicUsize, Ordering};
use std::sync::{Arc, Mutex, MutexGuard, PoisonError};

use tokio::sync::{watch, Notify};
use tokio::time::Instant;

use super::PoolLimits;
use heathward_core::memory::{MemoryBudget, MemoryHolder, Priority, Reservation};

/// Memory that a connection needs for its buffers and for the task of an attempt, in bytes.
const CONNECTION_BYTES: usize = 36 * 1024;

/// The connection pool that the actors of all nodes share: the current limits, the descriptors in use, and
/// the idle connections.
#[derive(Clone, Debug)]
pub struct ConnectionPool {
    limits: watch::Receiver<PoolLimits>,
    open_descriptors: Arc<AtomicUsize>,
    next_sequence: Arc<AtomicU64>,
    idle: Arc<Mutex<BTreeMap<IdleKey, Arc<IdleSlot>>>>,
}

/// When a connection became idle, and a unique sequence number.
type IdleKey = (Instant, u64);

/// The permit of an idle connection, until it is taken or evicted, and the actor to notify of an eviction.
#[derive(Debug)]
struct IdleSlot {
    permit: Mutex<Option<Permit>>,
    owner: Arc<Notify>,
}

impl IdleSlot {
    fn lock(&self) -> MutexGuard<'_, Option<Permit>> {
        self.permit.lock().unwrap_or_else(PoisonError::into_inner)
    }
}

impl ConnectionPool {
    /// Creates a pool without connections.
    pub fn new(limits: watch::Receiver<PoolLimits>) -> Self {
        Self { limits, open_descriptors: Arc::default(), next_sequence: Arc::default(), idle: Arc::default() }
    }

    /// Returns the current limits.
    pub(super) fn limits(&self) -> PoolLimits {
        *self.limits.borrow()
    }

    /// Returns a permit for a connection of `descriptors` file descriptors and [`CONNECTION_BYTES`] of
    /// memory. If there are too few, the connections that have been idle the longest, to any node, are
    /// evicted; `None` if evicting all idle ones does not suffice.
    pub(super) fn acquire(&self, descriptors: usize, memory: &MemoryBudget) -> Option<Permit> {
        loop {
            if let Some(permit) = self.try_acquire(descriptors, memory) {
                return Some(permit);
            }
            let (_, slot) = self.lock().pop_first()?;
            drop(slot.lock().take());
            slot.owner.notify_one();
        }
    }

    /// Returns a permit, unless an idle connection has to be evicted for it.
    fn try_acquire(&self, descriptors: usize, memory: &MemoryBudget) -> Option<Permit> {
        let open_descriptors = self.open_descriptors.load(Ordering::Relaxed) + descriptors;
        if open_descriptors > self.limits().max_descriptors {
            return None;
        }
        let holder = MemoryHolder::NodeConnections;
        let memory = memory.try_reserve(holder, CONNECTION_BYTES, Priority::Required)?;
        self.open_descriptors.store(open_descriptors, Ordering::Relaxed);
        Some(Permit { descriptors, _memory: memory, open_descriptors: self.open_descriptors.clone() })
    }

    /// Records that the connection of a permit is idle from now on; `owner` is notified when it is evicted.
    pub(super) fn add_idle(&self, permit: Permit, owner: &Arc<Notify>) -> IdleEntry {
        let key = (Instant::now(), self.next_sequence.fetch_add(1, Ordering::Relaxed));
        let slot = Arc::new(IdleSlot { permit: Mutex::new(Some(permit)), owner: owner.clone() });
        self.lock().insert(key, slot.clone());
        IdleEntry { pool: self.clone(), key, slot }
    }

    fn lock(&self) -> MutexGuard<'_, BTreeMap<IdleKey, Arc<IdleSlot>>> {
        self.idle.lock().unwrap_or_else(PoisonError::into_inner)
    }
}

/// The descriptors and the memory that a connection holds; released when dropped.
#[derive(Debug)]
pub(super) struct Permit {
    descriptors: usize,
    _memory: Reservation,
    open_descriptors: Arc<AtomicUsize>,
}

impl Drop for Permit {
    fn drop(&mut self) {
        self.open_descriptors.fetch_sub(self.descriptors, Ordering::Relaxed);
    }
}

/// An idle connection's entry in the pool, removed when dropped.
#[derive(Debug)]
pub(super) struct IdleEntry {
    pool: ConnectionPool,
    key: IdleKey,
    slot: Arc<IdleSlot>,
}

impl IdleEntry {
    /// Whether the connection has not been evicted.
    pub(super) fn is_valid(&self) -> bool {
        self.slot.lock().is_some()
    }

    /// Takes the permit to use the connection again; `None` if it was evicted.
    pub(super) fn take(self) -> Option<Permit> {
        self.slot.lock().take()
    }
}

impl Drop for IdleEntry {
    fn drop(&mut self) {
        self.pool.lock().remove(&self.key);
    }
}

#[cfg(test)]
mod tests;
