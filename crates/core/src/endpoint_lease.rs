//! The lease on the endpoint list: how long the latest list may be used without contact with discovery. It
//! does no I/O and has no clock of its own.
//!
//! The endpoint list comes from a discovery agent: a process on this machine that passes on what discovery
//! sends, or the discovery service itself, if schedulers poll it.
//!
//! Discovery can be quiet for two reasons. If a watch connection broke, the discovery agent may hold updates
//! that did not arrive here; a new call delivers them at once. If discovery itself is down, the agent has
//! nothing new, and a new call stays unanswered too. So a call that the agent accepted and left unanswered
//! counts as contact, like an empty watch message: everything that the agent had was delivered.

use std::sync::atomic::{AtomicU64, Ordering};
use std::sync::Arc;
use std::time::Duration;

use tokio::time::Instant;

/// How long a list is valid after the last contact. An update counts as delivered this long after discovery
/// had it, whether or not it arrived.
const VALIDITY_AFTER_CONTACT: Duration = Duration::from_secs(6);

/// How long a list is valid after the configuration has moved discovery to another address.
const VALIDITY_AFTER_DISCOVERY_MOVE: Duration = Duration::from_secs(4);

/// How long a list that another process has handed over is valid after the takeover.
const VALIDITY_AFTER_TAKEOVER: Duration = Duration::from_secs(2);

/// How long a program waits for the first contact before it uses the cached list that it starts with, as
/// the agent's first message may already be waiting to be read. The cached list is used earlier if the
/// agent was called and has not answered.
const FIRST_CONTACT_WAIT: Duration = Duration::from_secs(1);

/// The time during which the endpoint list may be used.
///
/// The lease is valid from the first contact with discovery until the moment at which an update counts as
/// delivered that has not arrived. Messages arrive in order, so everything that discovery sent before its
/// last message is known. Each contact renews the lease. The cached list that a program starts with may be
/// old; it is used only if the agent does not answer.
///
/// The grace period that settings allow after an update is not used up here: it is reserved for a message
/// that is read late and for a write that has already begun.
#[derive(Clone, Copy, Debug)]
pub struct EndpointLease {
    /// Whether the settings limit the use of an old list; otherwise the lease never expires.
    is_limited: bool,
    /// The last contact with discovery, or the start of the program.
    last_contact: Instant,
    /// How long a scheduler that polls its list may go without a watch; zero if lists are streamed.
    max_poll_interval: Duration,
    /// Whether a call has failed since the last contact.
    call_failed_since_contact: bool,
    /// When the list may first be used.
    valid_from: Instant,
    /// When the lease expires without further contact.
    valid_until: Instant,
}

impl EndpointLease {
    /// Creates the lease of a program that starts at `start`, without limits yet.
    pub fn new(start: Instant) -> Self {
        Self {
            is_limited: false,
            last_contact: start,
            max_poll_interval: Duration::ZERO,
            call_failed_since_contact: false,
            valid_from: start + FIRST_CONTACT_WAIT,
            valid_until: start + VALIDITY_AFTER_CONTACT,
        }
    }

    /// Sets whether the lease can expire, and how long a scheduler may go without a watch, if lists are
    /// polled.
    pub fn set_limits(&mut self, is_limited: bool, max_poll_interval: Option<Duration>) {
        (self.is_limited, self.max_poll_interval) = (is_limited, max_poll_interval.unwrap_or_default());
    }

    /// Records contact with discovery: a watch message, possibly an empty one, was sent at `at`, or the
    /// agent accepted a call at `at` and has not answered it in time, so it had nothing new. The latter
    /// counts only for an agent that answers at once if it has an update, not for a service at which calls
    /// are queued.
    pub fn record_contact(&mut self, at: Instant) {
        if at >= self.last_contact {
            self.last_contact = at;
            self.valid_from = self.valid_from.min(at);
            self.valid_until = at + VALIDITY_AFTER_CONTACT;
            self.call_failed_since_contact = false;
        }
    }

    /// Records that the agent was called, had time to answer, and has not answered until `at`: it has
    /// nothing new.
    pub fn record_unanswered_call(&mut self, at: Instant) {
        self.valid_from = self.valid_from.min(at);
    }

    /// Returns the last contact with discovery, or the start of the program.
    pub fn last_contact(&self) -> Instant {
        self.last_contact
    }

    /// Records that no watch is open at a polled service: none was opened yet, or the last one has ended. A
    /// scheduler that has neither a watch nor an answer for the polling interval is deemed to know what was
    /// listed that long ago, so the lease is extended to that interval, unless a call has failed since the
    /// last contact.
    pub fn record_watch_closed(&mut self) {
        if !self.call_failed_since_contact {
            self.valid_until = self.valid_until.max(self.last_contact + self.max_poll_interval);
        }
    }

    /// Records that a call has failed, was rejected, or was given up. Discovery may have had an update
    /// right after the last contact, and may have been reachable a moment before the call; such an update
    /// counts as delivered 6 s after discovery had it. So the extension by
    /// [`EndpointLease::record_watch_closed`] is revoked.
    pub fn record_failed_call(&mut self) {
        self.call_failed_since_contact = true;
        self.valid_until = self.valid_until.min(self.last_contact + VALIDITY_AFTER_CONTACT);
    }

    /// Records that discovery moved to another address at `at`; messages sent before that came from the old
    /// address.
    pub fn record_discovery_move(&mut self, at: Instant) {
        self.last_contact = self.last_contact.max(at);
        self.valid_until = self.valid_until.min(at + VALIDITY_AFTER_DISCOVERY_MOVE);
    }

    /// Records that another process of this scheduler handed its list over at `at`.
    pub fn record_takeover(&mut self, at: Instant) {
        self.valid_from = self.valid_from.min(at);
        self.valid_until = at + VALIDITY_AFTER_TAKEOVER;
    }

    /// Returns when [`EndpointLease::is_valid`] next changes after `at` without further contact; `None` if
    /// it does not.
    pub fn next_change(&self, at: Instant) -> Option<Instant> {
        [self.valid_from, self.valid_until].into_iter().filter(|change| self.is_limited && *change > at).min()
    }

    /// Returns whether the list may be used at `at`.
    pub fn is_valid(&self, at: Instant) -> bool {
        !self.is_limited || (self.valid_from <= at && at < self.valid_until)
    }

    /// Returns when the lease expires without further contact; `None` if it never does.
    pub fn expires_at(&self) -> Option<Instant> {
        self.is_limited.then_some(self.valid_until)
    }
}

/// The instant at which the lease expires, shared between the core, which sets it, and the tasks that write
/// to nodes, which check it right before the first byte of an attempt.
#[derive(Clone, Debug)]
pub struct LeaseExpiry {
    base: Instant,
    /// Microseconds after `base`, or [`LeaseExpiry::NEVER`].
    micros_after_base: Arc<AtomicU64>,
}

impl LeaseExpiry {
    const NEVER: u64 = u64::MAX;

    /// Creates an expiry that is not set. No expiry before `base` can be represented.
    pub fn new(base: Instant) -> Self {
        Self { base, micros_after_base: Arc::new(AtomicU64::new(Self::NEVER)) }
    }

    /// Sets when the lease expires; `None` means never.
    pub fn set(&self, expires_at: Option<Instant>) {
        let micros = expires_at.map_or(Self::NEVER, |at| self.micros_since_base(at));
        self.micros_after_base.store(micros, Ordering::Relaxed);
    }

    /// Returns whether the lease has expired at `at`.
    pub fn has_expired(&self, at: Instant) -> bool {
        self.micros_since_base(at) >= self.micros_after_base.load(Ordering::Relaxed)
    }

    fn micros_since_base(&self, at: Instant) -> u64 {
        at.saturating_duration_since(self.base).as_micros() as u64
    }
}

#[cfg(test)]
mod tests;
