//! The file descriptors that connections to all nodes share. With more nodes than descriptors, idle
//! connections to one node are evicted for a new connection to another.

use std::collections::BTreeMap;
use std::sync::atomic::{AtomicU64, AtomicUsize, Ordering};
use std::sync::{Arc, Mutex, MutexGuard, PoisonError};

use tokio::sync::{watch, Notify};
use tokio::time::Instant;

use super::PoolLimits;

/// The connection pool that the actors of all nodes share: the current limits, the descriptors in use, and
/// the idle connections.
#[derive(Clone, Debug)]
pub struct ConnectionPool {
    limits: watch::Receiver<PoolLimits>,
    open: Arc<AtomicUsize>,
    next: Arc<AtomicU64>,
    idle: Arc<Mutex<BTreeMap<Place, Arc<Slot>>>>,
}

/// Since when a connection is idle, and a number that no other has.
type Place = (Instant, u64);

/// The permit of an idle connection, until it is taken or evicted, and the actor to notify of an eviction.
#[derive(Debug)]
struct Slot {
    permit: Mutex<Option<Permit>>,
    owner: Arc<Notify>,
}

impl Slot {
    fn lock(&self) -> MutexGuard<'_, Option<Permit>> {
        self.permit.lock().unwrap_or_else(PoisonError::into_inner)
    }
}

impl ConnectionPool {
    /// Creates a pool without connections.
    pub fn new(limits: watch::Receiver<PoolLimits>) -> Self {
        Self { limits, open: Arc::default(), next: Arc::default(), idle: Arc::default() }
    }

    /// Returns the current limits.
    pub(super) fn limits(&self) -> PoolLimits {
        *self.limits.borrow()
    }

    /// Room for a connection of so many descriptors. The connections that have been idle the longest, at any
    /// node, make way for it; `None` where all that are open are in use.
    pub(super) fn permit(&self, sockets: usize) -> Option<Permit> {
        loop {
            let open = self.open.load(Ordering::Relaxed) + sockets;
            if open <= self.limits().open {
                self.open.store(open, Ordering::Relaxed);
                return Some(Permit { sockets, open: self.open.clone() });
            }
            let (_, slot) = self.lock().pop_first()?;
            drop(slot.lock().take());
            slot.owner.notify_one();
        }
    }

    /// A connection on that permit stands idle from now on; `owner` is told when it has to make way.
    pub(super) fn park(&self, permit: Permit, owner: &Arc<Notify>) -> Parked {
        let place = (Instant::now(), self.next.fetch_add(1, Ordering::Relaxed));
        let slot = Arc::new(Slot { permit: Mutex::new(Some(permit)), owner: owner.clone() });
        self.lock().insert(place, slot.clone());
        Parked { pool: self.clone(), place, slot }
    }

    fn lock(&self) -> MutexGuard<'_, BTreeMap<Place, Arc<Slot>>> {
        self.idle.lock().unwrap_or_else(PoisonError::into_inner)
    }
}

/// The descriptors that a connection holds of the pool; released when dropped.
#[derive(Debug)]
pub(super) struct Permit {
    sockets: usize,
    open: Arc<AtomicUsize>,
}

impl Drop for Permit {
    fn drop(&mut self) {
        self.open.fetch_sub(self.sockets, Ordering::Relaxed);
    }
}

/// An idle connection's entry in the pool, removed when dropped.
#[derive(Debug)]
pub(super) struct Parked {
    pool: ConnectionPool,
    place: Place,
    slot: Arc<Slot>,
}

impl Parked {
    /// It has not had to make way.
    pub(super) fn stands(&self) -> bool {
        self.slot.lock().is_some()
    }

    /// Takes the permit to use the connection again; `None` if it was evicted.
    pub(super) fn take(self) -> Option<Permit> {
        self.slot.lock().take()
    }
}

impl Drop for Parked {
    fn drop(&mut self) {
        self.pool.lock().remove(&self.place);
    }
}

#[cfg(test)]
mod tests;
