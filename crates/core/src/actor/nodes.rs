//! The table of storage nodes: those that are listed, and those that were not long ago. A change costs its
//! own entries and the logarithm of the table's size; only what is named a walk looks at every node.

use std::collections::{BTreeMap, BTreeSet, HashMap};
use std::time::Duration;

use tokio::sync::mpsc;
use tokio::time::Instant;

use super::zones::Zones;
use crate::observe::NodeTreatment;
use crate::{Attempt, Endpoint, SendGate};
use heathward_policy::{Micros, NodeId, NodeState};

/// A node that is no longer listed keeps its number for so long: one that comes back is the same to the
/// module, which forgets it as late.
pub(super) const FORGET: Duration = Duration::from_secs(60);

/// A storage node.
pub(super) struct Node {
    pub(super) member: Endpoint,
    /// Its zone's number.
    pub(super) zone: u32,
    /// When staff said that it is back.
    pub(super) restored: Option<Micros>,
    pub(super) gate: SendGate,
    /// The list's version that told of it last, and the one that told that it drains or is gone.
    pub(super) revision: u64,
    pub(super) drained: Option<u64>,
    /// What the observer was told last of how it is treated.
    pub(super) treated: Option<NodeTreatment>,
    listing: Listing,
    /// When it is compared next with what the observer was told.
    due: Option<Instant>,
}

/// Whether the list names a node.
enum Listing {
    /// It does; attempts for it go there.
    Listed(mpsc::Sender<Attempt>),
    /// It does not, since then.
    Unlisted(Instant),
}

impl Node {
    /// Where attempts for it go; `None` once the list has dropped it.
    pub(super) fn mailbox(&self) -> Option<&mpsc::Sender<Attempt>> {
        match &self.listing {
            Listing::Listed(mailbox) => Some(mailbox),
            Listing::Unlisted(_) => None,
        }
    }

    /// The list names it.
    pub(super) fn is_listed(&self) -> bool {
        self.mailbox().is_some()
    }

    /// Its state by the list.
    pub(super) fn listed_state(&self) -> NodeState {
        if self.is_listed() {
            self.member.state
        } else {
            NodeState::Removed
        }
    }
}

/// All nodes that are known.
#[derive(Default)]
pub(super) struct Nodes {
    known: BTreeMap<NodeId, Node>,
    numbers: HashMap<Box<str>, NodeId>,
    /// Number of the next new node.
    next: u32,
    zones: Zones,
    /// How many are listed.
    listed: usize,
    /// The others, by when they left the list.
    unlisted: BTreeSet<(Instant, NodeId)>,
    /// Those whose treatment may change by time alone, by when they are compared next.
    due: BTreeSet<(Instant, NodeId)>,
}

impl Nodes {
    /// The number of the node of that name.
    pub(super) fn find(&self, name: &str) -> Option<NodeId> {
        self.numbers.get(name).copied()
    }

    /// The number of that node. A new one is not listed yet, and told of in that version.
    pub(super) fn find_or_add(
        &mut self,
        member: &Endpoint,
        revision: u64,
        gate: impl FnOnce() -> SendGate,
    ) -> NodeId {
        if let Some(known) = self.find(&member.id) {
            return known;
        }
        let (id, now) = (NodeId(self.next), Instant::now());
        self.next += 1;
        let node = Node {
            member: member.clone(),
            zone: self.zones.enter(&member.zone),
            restored: None,
            gate: gate(),
            revision,
            drained: None,
            treated: None,
            listing: Listing::Unlisted(now),
            due: None,
        };
        self.numbers.insert(member.id.clone(), id);
        self.known.insert(id, node);
        self.unlisted.insert((now, id));
        id
    }

    /// A node that is known.
    pub(super) fn get(&self, id: NodeId) -> Option<&Node> {
        self.known.get(&id)
    }

    /// The same, to be changed.
    pub(super) fn get_mut(&mut self, id: NodeId) -> Option<&mut Node> {
        self.known.get_mut(&id)
    }

    /// What the list says of a node from now on.
    pub(super) fn update(&mut self, id: NodeId, member: Endpoint) {
        let Some(node) = self.known.get_mut(&id) else { return };
        if node.member.zone != member.zone {
            self.zones.leave(&node.member.zone);
            node.zone = self.zones.enter(&member.zone);
        }
        node.member = member;
    }

    /// The list names a node; attempts for it go there from now on.
    pub(super) fn list(&mut self, id: NodeId, mailbox: mpsc::Sender<Attempt>) {
        let Some(node) = self.known.get_mut(&id) else { return };
        if let Listing::Unlisted(since) = std::mem::replace(&mut node.listing, Listing::Listed(mailbox)) {
            self.unlisted.remove(&(since, id));
            self.listed += 1;
        }
    }

    /// The list no longer names a node.
    pub(super) fn unlist(&mut self, id: NodeId, now: Instant) {
        let Some(node) = self.known.get_mut(&id).filter(|node| node.is_listed()) else { return };
        node.listing = Listing::Unlisted(now);
        self.unlisted.insert((now, id));
        self.listed -= 1;
    }

    /// Forgets the nodes that left long ago, from the first of them on.
    pub(super) fn forget(&mut self, now: Instant) {
        while let Some(&(since, id)) = self.unlisted.first().filter(|(since, _)| *since + FORGET <= now) {
            self.unlisted.remove(&(since, id));
            self.set_due(id, None);
            if let Some(node) = self.known.remove(&id) {
                self.zones.leave(&node.member.zone);
                self.numbers.remove(&node.member.id);
            }
        }
    }

    /// How many are listed.
    pub(super) fn listed_count(&self) -> usize {
        self.listed
    }

    /// The listed nodes, by their numbers: a walk.
    pub(super) fn listed(&self) -> impl Iterator<Item = (NodeId, &Node)> {
        self.known.iter().map(|(id, node)| (*id, node)).filter(|(_, node)| node.is_listed())
    }

    /// All numbers in their order: a walk.
    pub(super) fn ids(&self) -> Vec<NodeId> {
        self.known.keys().copied().collect()
    }

    /// When a node is compared next with what the observer was told, if time alone may change it.
    pub(super) fn set_due(&mut self, id: NodeId, due: Option<Instant>) {
        let Some(node) = self.known.get_mut(&id).filter(|node| node.due != due) else { return };
        if let Some(before) = std::mem::replace(&mut node.due, due) {
            self.due.remove(&(before, id));
        }
        self.due.extend(due.map(|due| (due, id)));
    }

    /// The nodes that are due by then; each is due again once it is told so.
    pub(super) fn take_due(&mut self, now: Instant) -> Vec<NodeId> {
        let mut taken = Vec::new();
        while let Some(&(_, id)) = self.due.first().filter(|(due, _)| *due <= now) {
            self.set_due(id, None);
            taken.push(id);
        }
        taken.sort_unstable();
        taken
    }
}

#[cfg(test)]
mod tests;
