//! The actor's lease on the endpoint list. It publishes the expiry to the tasks that write to nodes, and
//! reports when the lease expires and when it is renewed.

use std::time::Duration;

use tokio::time::Instant;

use crate::endpoint_lease::{EndpointLease, LeaseExpiry};
use heathward_policy::settings::Deployment;
use heathward_policy::EndpointListMode;

/// The lease on the endpoint list.
pub(super) struct SharedLease {
    lease: EndpointLease,
    /// Shared with the send gates of all nodes.
    expiry: LeaseExpiry,
    /// Whether the lease was expired at the last [`SharedLease::refresh`].
    is_expired: bool,
}

/// A change of the lease between two calls of [`SharedLease::refresh`].
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(super) enum LeaseChange {
    /// The lease has expired.
    Expired {
        /// Time since the last contact with discovery.
        silence: Duration,
    },
    /// The lease is valid again.
    Renewed,
}

impl SharedLease {
    /// Creates the lease of a program that starts at `now` with the settings of `deployment`.
    pub(super) fn new(now: Instant, deployment: &Deployment) -> Self {
        let mut shared =
            Self { lease: EndpointLease::new(now), expiry: LeaseExpiry::new(now), is_expired: false };
        shared.apply_settings(deployment);
        shared.is_expired = !shared.lease.is_valid(now);
        shared
    }

    /// Applies the limits that the settings set for the use of an old list.
    pub(super) fn apply_settings(&mut self, deployment: &Deployment) {
        let max_poll_interval = match deployment.settings.endpoint_list_mode {
            EndpointListMode::Streamed => None,
            EndpointListMode::Polled { max_interval } => Some(Duration::from_micros(max_interval)),
        };
        self.lease.set_limits(deployment.drain_grace.is_some(), max_poll_interval);
        self.expiry.set(self.lease.expires_at());
    }

    /// Returns the lease, to record contacts with discovery and their absence.
    pub(super) fn get_mut(&mut self) -> &mut EndpointLease {
        &mut self.lease
    }

    /// Returns the expiry, for the send gate of a node.
    pub(super) fn expiry(&self) -> LeaseExpiry {
        self.expiry.clone()
    }

    /// Publishes the expiry, and returns whether the lease has expired or was renewed since the last call.
    pub(super) fn refresh(&mut self, now: Instant) -> Option<LeaseChange> {
        self.expiry.set(self.lease.expires_at());
        let is_expired = !self.lease.is_valid(now);
        if is_expired == std::mem::replace(&mut self.is_expired, is_expired) {
            return None;
        }
        Some(if is_expired {
            LeaseChange::Expired { silence: now.saturating_duration_since(self.lease.last_contact()) }
        } else {
            LeaseChange::Renewed
        })
    }

    /// Returns whether the lease was expired at the last [`SharedLease::refresh`].
    pub(super) fn is_expired(&self) -> bool {
        self.is_expired
    }

    /// Returns the last contact with discovery if the lease is expired.
    pub(super) fn last_contact_if_expired(&self) -> Option<Instant> {
        self.is_expired.then(|| self.lease.last_contact())
    }

    /// Returns when the lease next expires or becomes valid without further contact.
    pub(super) fn next_change(&self, now: Instant) -> Option<Instant> {
        self.lease.next_change(now)
    }
}
