//! The state that the actor publishes to its handles: status, reasons for draining, and settings.

use std::sync::Arc;

use tokio::sync::watch;
use tokio::time::Instant;

use crate::{CoreStatus, Draining};
use heathward_policy::settings::Deployment;

/// The watch channels through which the actor publishes its state.
pub(super) struct PublishedState {
    status: watch::Sender<CoreStatus>,
    /// Shared with the handles, as the program itself sets [`Draining::replaced`].
    draining: Arc<watch::Sender<Draining>>,
    deployment: watch::Sender<Arc<Deployment>>,
}

impl PublishedState {
    pub(super) fn new(deployment: Arc<Deployment>) -> Self {
        Self {
            status: watch::Sender::new(CoreStatus::default()),
            draining: Arc::new(watch::Sender::new(Draining::default())),
            deployment: watch::Sender::new(deployment),
        }
    }

    pub(super) fn subscribe_status(&self) -> watch::Receiver<CoreStatus> {
        self.status.subscribe()
    }

    pub(super) fn subscribe_deployment(&self) -> watch::Receiver<Arc<Deployment>> {
        self.deployment.subscribe()
    }

    pub(super) fn draining_sender(&self) -> Arc<watch::Sender<Draining>> {
        Arc::clone(&self.draining)
    }

    /// Returns the current settings. The guard must not be held while they are replaced.
    pub(super) fn deployment(&self) -> watch::Ref<'_, Arc<Deployment>> {
        self.deployment.borrow()
    }

    /// Replaces the settings.
    pub(super) fn set_deployment(&self, deployment: Arc<Deployment>) {
        self.deployment.send_replace(deployment);
    }

    /// Returns whether an operator has paused the scheduler.
    pub(super) fn is_paused(&self) -> bool {
        self.draining.borrow().paused
    }

    /// Sets whether an operator has paused the scheduler.
    pub(super) fn set_paused(&self, paused: bool) {
        update_draining(&self.draining, |draining| draining.paused = paused);
    }

    /// Publishes the number of requests without an answer.
    pub(super) fn set_open_requests(&self, open_requests: usize) {
        self.update_status(|status| status.open_requests = open_requests);
    }

    /// Publishes whether the core has an endpoint list that it may use, and, while the lease on it is
    /// expired, the last contact with discovery.
    pub(super) fn set_lease(&self, ready: bool, expired_lease_last_contact: Option<Instant>) {
        self.update_status(|status| {
            status.ready = ready;
            status.expired_lease_last_contact = expired_lease_last_contact;
        });
    }

    fn update_status(&self, change: impl FnOnce(&mut CoreStatus)) {
        self.status.send_if_modified(|status| modify(status, change));
    }
}

/// Changes the reasons for draining; receivers are notified only if they differ from before.
pub(super) fn update_draining(draining: &watch::Sender<Draining>, change: impl FnOnce(&mut Draining)) {
    draining.send_if_modified(|draining| modify(draining, change));
}

/// Applies a change and returns whether the value is different from before.
fn modify<T: Copy + PartialEq>(value: &mut T, change: impl FnOnce(&mut T)) -> bool {
    let previous = *value;
    change(value);
    previous != *value
}
