//! Applies updates of the endpoint list, tracks the lease on it, and sends the entries of nodes to the
//! policy.

use std::collections::BTreeSet;

use tokio::time::Instant;

use super::shared_lease::LeaseChange;
use super::Actor;
use crate::observe::{Observation, TreatmentCause};
use crate::{Endpoint, EndpointUpdate, SendGate};
use heathward_policy::{EndpointEntry, EndpointUpdateKind, Event, NodeId, NodeState};

impl Actor {
    /// Refreshes the lease on the endpoint list and publishes its state. While the lease is expired,
    /// nothing is sent to nodes.
    pub(super) fn check_lease(&mut self, now: Instant) {
        if let Some(change) = self.lease.refresh(now) {
            self.lease_changed(change);
        }
        let ready = !self.lease.is_expired() && self.nodes.listed_count() > 0;
        self.published.set_lease(ready, self.lease.last_contact_if_expired());
    }

    /// Notifies the policy and the observer that the lease has expired or was renewed. This walks all nodes.
    fn lease_changed(&mut self, change: LeaseChange) {
        let observation = match change {
            LeaseChange::Expired { silence } => {
                tracing::warn!(
                    "endpoint lease expired after {silence:?} without contact with discovery: \
                     no requests are sent to nodes"
                );
                Observation::LeaseExpired { silence }
            }
            LeaseChange::Renewed => {
                tracing::info!("endpoint lease renewed: discovery is in contact");
                Observation::LeaseRenewed
            }
        };
        self.observer.observe(observation);
        let entries = self.nodes.refresh_listed_entries(self.lease.is_expired());
        self.handle_event(Event::EndpointUpdate { kind: EndpointUpdateKind::Changes, entries });
        self.check_all_node_treatments(TreatmentCause::EndpointUpdate(self.nodes.revision()));
    }

    /// Applies an update of the endpoint list. The cost of an update with changes depends only on the
    /// number of changes; a snapshot walks all nodes once.
    pub(super) fn apply_endpoint_update(&mut self, update: EndpointUpdate) {
        let EndpointUpdate { revision, kind, endpoints } = update;
        if kind == EndpointUpdateKind::Cached && revision < self.nodes.revision() {
            // Discovery has already sent a newer list than the cached one.
            return;
        }
        let is_complete = matches!(kind, EndpointUpdateKind::Snapshot | EndpointUpdateKind::Cached);
        self.nodes.set_revision(revision);
        self.counters.endpoint_updates += 1;
        self.observer.observe(Observation::EndpointsUpdated { revision, kind, endpoints: &endpoints });
        let mut changed = BTreeSet::new();
        let mut entries = Vec::new();
        for endpoint in endpoints {
            if let Some(entry) = self.merge_endpoint(endpoint, revision, is_complete) {
                changed.insert(entry.node);
                entries.push(entry);
            }
        }
        let now = Instant::now();
        if is_complete {
            changed.extend(self.nodes.unlist_all_except(&changed, revision, now));
        }
        self.handle_event(Event::EndpointUpdate { kind, entries });
        for id in changed {
            self.check_node_treatment(id, now, TreatmentCause::EndpointUpdate(revision));
        }
        self.nodes.forget_expired(now);
    }

    /// Merges an endpoint into the table of nodes, and stops serving the connections to its old address.
    /// Returns the entry for the policy; `None` if newer information about the node is already known.
    fn merge_endpoint(
        &mut self,
        mut endpoint: Endpoint,
        revision: u64,
        is_complete: bool,
    ) -> Option<EndpointEntry> {
        let id = self.nodes.find_or_add(&endpoint, revision, || SendGate::new(self.lease.expiry()));
        let node = self.nodes.get_mut(id)?;
        if !node.accept_update(&mut endpoint, revision, is_complete) {
            return None;
        }
        let address_changed = node.endpoint.address != endpoint.address;
        if endpoint.state == NodeState::Removed {
            self.nodes.mark_unlisted(id, Instant::now());
        } else if address_changed || !node.is_listed() {
            // The task that served the old address ends by itself once its attempts have ended.
            self.nodes.mark_listed(id);
        }
        self.nodes.update(id, endpoint);
        self.nodes.refresh_entry(id, self.lease.is_expired())
    }

    /// Notifies the policy of a listed node whose state was changed by an operator or by a handover.
    pub(super) fn resend_policy_entry(&mut self, id: NodeId, cause: TreatmentCause) {
        let Some(entry) = self.nodes.refresh_listed_entry(id, self.lease.is_expired()) else { return };
        self.handle_event(Event::EndpointUpdate { kind: EndpointUpdateKind::Changes, entries: vec![entry] });
        self.check_node_treatment(id, Instant::now(), cause);
    }
}
