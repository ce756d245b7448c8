//! The list of storage nodes: updates from discovery, the lease on the list, and what the module is told of
//! each node.

use std::collections::BTreeSet;

use tokio::time::Instant;

use super::nodes::Node;
use super::Actor;
use crate::observe::{Note, Why};
use crate::{DiscoveryUpdate, DrainGate, Member};
use heathward_policy::{Event, ListEntry, ListKind, NodeId, NodeState};

impl Actor {
    /// Nothing is sent while the lease on the list does not hold; all goes on once it does.
    pub(super) fn check_list(&mut self, now: Instant) {
        self.expiry.set(self.lease.end());
        let stale = !self.lease.holds(now);
        if stale != self.stale {
            self.stale = stale;
            let silence = now.saturating_duration_since(self.lease.last_word());
            if stale {
                tracing::warn!(
                    "nothing heard from discovery for {silence:?}: nothing is sent by the old list"
                );
            } else {
                tracing::info!("discovery is heard");
            }
            self.note(Note::Stale(stale.then_some(silence)));
            // Two walks, on each of these turns alone.
            let entries = self.nodes.ids().into_iter().filter_map(|id| self.listed_entry(id)).collect();
            self.feed(Event::List { kind: ListKind::Changes, entries });
            self.check_nodes(Why::List(self.revision));
        }
        let ready = !stale && self.nodes.listed_count() > 0;
        let stale = stale.then(|| self.lease.last_word());
        self.status.send_if_modified(|s| {
            let was = (std::mem::replace(&mut s.ready, ready), std::mem::replace(&mut s.stale, stale));
            was != (ready, stale)
        });
    }

    /// Takes an update of the list. Changes cost their own entries; a whole list walks all nodes once.
    pub(super) fn apply_update(&mut self, update: DiscoveryUpdate) {
        let (revision, whole) = (update.revision, matches!(update.kind, ListKind::Whole | ListKind::Saved));
        if update.kind == ListKind::Saved && revision < self.revision {
            // A list that was saved before what discovery has told since.
            return;
        }
        self.revision = revision;
        self.counters.lists += 1;
        self.note(Note::Listed { revision, kind: update.kind, members: &update.members });
        let mut changed = BTreeSet::new();
        let mut entries = Vec::new();
        for member in update.members {
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
        self.feed(Event::List { kind: update.kind, entries });
        changed.into_iter().for_each(|id| self.check_node(id, now, Why::List(revision)));
        self.nodes.forget(now);
    }

    /// A node is gone by absence from a whole list alone, and no less gone: an older list takes it back no
    /// more than a drain that was told.
    fn unlist_absent(&mut self, id: NodeId, revision: u64, now: Instant) {
        self.nodes.unlist(id, now);
        if let Some(node) = self.nodes.get_mut(id) {
            node.drained = node.drained.or(Some(revision));
            node.gate.set(true);
            node.member.state = NodeState::Gone;
        }
    }

    /// Books a listed node under its number and opens or ends the way to it. `None` if it says less than is
    /// known: while two watches stand, the slower one must take back nothing, and no drain above all.
    fn entry(&mut self, mut member: Member, revision: u64, whole: bool) -> Option<ListEntry> {
        let id = self.nodes.find_or_add(&member, revision, || DrainGate::new(self.expiry.clone()));
        let node = self.nodes.get_mut(id)?;
        if revision < node.revision && !whole {
            return None;
        }
        if member.state != NodeState::Ready {
            node.drained = Some(revision);
        } else if node.drained > Some(revision) && member.started <= node.member.started {
            member.state = node.member.state;
        } else {
            node.drained = None;
        }
        node.revision = revision;
        let moved = node.member.address != member.address;
        if member.state == NodeState::Gone {
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
    fn listed_entry(&self, id: NodeId) -> Option<ListEntry> {
        let node = self.nodes.get(id).filter(|node| node.is_listed())?;
        Some(self.standing(id, node))
    }

    /// A node's entry for the module: it drains if either its list or staff say so.
    fn standing(&self, id: NodeId, node: &Node) -> ListEntry {
        let Member { id: name, shard, state, started, .. } = &node.member;
        let out = *state == NodeState::Ready && (self.stale || self.suspended.contains(name));
        let state = if out { NodeState::Draining } else { *state };
        node.gate.set(state != NodeState::Ready);
        let started = (*started).max(node.restored);
        ListEntry { node: id, shard: *shard, zone: node.zone, state, started }
    }

    /// Tells the module how a listed node stands now that staff have had their say.
    pub(super) fn relist(&mut self, id: NodeId, why: Why) {
        let Some(entry) = self.listed_entry(id) else { return };
        self.feed(Event::List { kind: ListKind::Changes, entries: vec![entry] });
        self.check_node(id, Instant::now(), why);
    }
}
