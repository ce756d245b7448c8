//! The list of storage nodes: updates from discovery, the lease on the list, and what the module is told of
//! each node.

use std::collections::BTreeSet;

use tokio::time::Instant;

use super::nodes::Node;
use super::Actor;
use crate::observe::{Observation, TreatmentCause};
use crate::{Endpoint, EndpointUpdate, SendGate};
use heathward_policy::{EndpointEntry, EndpointUpdateKind, Event, NodeId, NodeState};

impl Actor {
    /// Nothing is sent while the lease on the list does not hold; all goes on once it does.
    pub(super) fn check_list(&mut self, now: Instant) {
        self.expiry.set(self.lease.expires_at());
        let stale = !self.lease.is_valid(now);
        if stale != self.stale {
            self.stale = stale;
            let silence = now.saturating_duration_since(self.lease.last_contact());
            if stale {
                tracing::warn!(
                    "nothing heard from discovery for {silence:?}: nothing is sent by the old list"
                );
            } else {
                tracing::info!("discovery is heard");
            }
            self.note(if stale { Observation::LeaseExpired { silence } } else { Observation::LeaseRenewed });
            // Two walks, on each of these turns alone.
            let entries = self.nodes.ids().into_iter().filter_map(|id| self.listed_entry(id)).collect();
            self.feed(Event::EndpointUpdate { kind: EndpointUpdateKind::Changes, entries });
            self.check_nodes(TreatmentCause::EndpointUpdate(self.revision));
        }
        let ready = !stale && self.nodes.listed_count() > 0;
        let stale = stale.then(|| self.lease.last_contact());
        self.status.send_if_modified(|s| {
            let was = (
                std::mem::replace(&mut s.ready, ready),
                std::mem::replace(&mut s.expired_lease_last_contact, stale),
            );
            was != (ready, stale)
        });
    }

    /// Takes an update of the list. Changes cost their own entries; a whole list walks all nodes once.
    pub(super) fn apply_update(&mut self, update: EndpointUpdate) {
        let (revision, whole) = (
            update.revision,
            matches!(update.kind, EndpointUpdateKind::Snapshot | EndpointUpdateKind::Cached),
        );
        if update.kind == EndpointUpdateKind::Cached && revision < self.revision {
            // A list that was saved before what discovery has told since.
            return;
        }
        self.revision = revision;
        self.counters.endpoint_updates += 1;
        self.note(Observation::EndpointsUpdated {
            revision,
            kind: update.kind,
            endpoints: &update.endpoints,
        });
        let mut changed = BTreeSet::new();
        let mut entries = Vec::new();
        for member in update.endpoints {
            let Some(entry) = self.entry(member, revision, whole) else { continue };
            changed.insert(entry.node);
            entries.push(entry);
        }
        let now = Instant::now();
        if whole {
            let listed = self.nodes.listed().map(|(id, _)| id);
            let absent: Vec<NodeId> = listed.filter(|id| !changed.contains(id)).collect();
            absent.iter().for_each(|id| self.unlist_absent(*id, revision, now));
            changed.extend(absent);
        }
        self.feed(Event::EndpointUpdate { kind: update.kind, entries });
        changed.into_iter().for_each(|id| self.check_node(id, now, TreatmentCause::EndpointUpdate(revision)));
        self.nodes.forget(now);
    }

    /// A node is gone by absence from a whole list alone, and no less gone: an older list takes it back no
    /// more than a drain that was told.
    fn unlist_absent(&mut self, id: NodeId, revision: u64, now: Instant) {
        self.nodes.unlist(id, now);
        if let Some(node) = self.nodes.get_mut(id) {
            node.drained = node.drained.or(Some(revision));
            node.gate.set_closed(true);
            node.member.state = NodeState::Removed;
        }
    }

    /// Books a listed node under its number and opens or ends the way to it. `None` if it says less than is
    /// known: while two watches stand, the slower one must take back nothing, and no drain above all.
    fn entry(&mut self, mut member: Endpoint, revision: u64, whole: bool) -> Option<EndpointEntry> {
        let id = self.nodes.find_or_add(&member, revision, || SendGate::new(self.expiry.clone()));
        let node = self.nodes.get_mut(id)?;
        if revision < node.revision && !whole {
            return None;
        }
        if member.state != NodeState::Ready {
            node.drained = Some(revision);
        } else if node.drained > Some(revision) && member.started_at <= node.member.started_at {
            member.state = node.member.state;
        } else {
            node.drained = None;
        }
        node.revision = revision;
        let moved = node.member.address != member.address;
        if member.state == NodeState::Removed {
            self.nodes.unlist(id, Instant::now());
        } else if moved || !node.is_listed() {
            // The actor that served it before ends once what it has out has ended.
            if let Some(core) = self.mailbox.upgrade() {
                self.nodes.list(id, (self.dial)(&member, core));
            }
        }
        self.nodes.update(id, member);
        Some(self.standing(id, self.nodes.get(id)?))
    }

    /// A listed node's entry for the module.
    fn listed_entry(&self, id: NodeId) -> Option<EndpointEntry> {
        let node = self.nodes.get(id).filter(|node| node.is_listed())?;
        Some(self.standing(id, node))
    }

    /// A node's entry for the module: it drains if either its list or staff say so.
    fn standing(&self, id: NodeId, node: &Node) -> EndpointEntry {
        let Endpoint { id: name, shard, state, started_at: started, .. } = &node.member;
        let out = *state == NodeState::Ready && (self.stale || self.suspended.contains(name));
        let state = if out { NodeState::Draining } else { *state };
        node.gate.set_closed(state != NodeState::Ready);
        let started = (*started).max(node.restored);
        EndpointEntry { node: id, shard: *shard, zone: node.zone, state, started_at: started }
    }

    /// Tells the module how a listed node stands now that staff have had their say.
    pub(super) fn relist(&mut self, id: NodeId, why: TreatmentCause) {
        let Some(entry) = self.listed_entry(id) else { return };
        self.feed(Event::EndpointUpdate { kind: EndpointUpdateKind::Changes, entries: vec![entry] });
        self.check_node(id, Instant::now(), why);
    }
}
