//! The table of storage nodes: those in the endpoint list, and those that were in it until recently.
//!
//! A node has two ids: its name, which is its id in the endpoint list ([`Endpoint::id`]), and its number,
//! the [`NodeId`] that identifies it in the policy.
//!
//! The cost of a change depends on the number of nodes that it names and on the logarithm of the size of the
//! table. Functions that walk all nodes say so in their comment.

use std::collections::{BTreeMap, BTreeSet, HashMap};
use std::ops::Bound;
use std::time::Duration;

use tokio::sync::mpsc;
use tokio::time::Instant;

use super::zones::Zones;
use crate::observe::NodeTreatment;
use crate::{Attempt, CommandError, Endpoint, SendGate};
use heathward_policy::{EndpointEntry, Micros, NodeId, NodeState};

/// How long a node that left the endpoint list keeps its number. If it returns within this time it is the
/// same node for the policy, which drops a node after the same time.
pub(super) const UNLISTED_NODE_RETENTION: Duration = Duration::from_secs(60);

/// The largest number of suspended nodes, whether listed or not.
const MAX_SUSPENDED_NODES: usize = 1024;

/// How many channels are checked whenever one is added: more than one, so that those that are closed do not
/// accumulate.
const CHANNELS_CHECKED_PER_CONNECT: usize = 2;

/// A storage node.
pub(super) struct Node {
    /// The latest entry of the node in the endpoint list.
    pub(super) endpoint: Endpoint,
    /// Number of the node's zone.
    pub(super) zone: u32,
    /// Closed while no new attempt may be sent to the node.
    pub(super) send_gate: SendGate,
    /// The treatment that was last reported to the observer.
    pub(super) reported_treatment: Option<NodeTreatment>,
    /// When slow start began according to an operator or a handover, in microseconds of Unix time. The later
    /// of this and [`Endpoint::started_at`] counts.
    slow_start_since: Option<Micros>,
    /// Revision of the last update that named the node.
    last_revision: u64,
    /// Revision of the update by which the node started draining or was removed, unless a later one has
    /// revoked that.
    drain_revision: Option<u64>,
    listing: Listing,
    /// When the node's treatment is checked next; `None` if no check is scheduled.
    next_check: Option<Instant>,
}

/// Whether a node is in the endpoint list.
enum Listing {
    /// In the endpoint list, with the channel for the node's attempts if its connections are being served.
    Listed(Option<mpsc::Sender<Box<Attempt>>>),
    /// Not in the endpoint list since this instant.
    Unlisted(Instant),
}

impl Node {
    /// Returns the channel for the node's attempts; `None` if the node is not in the endpoint list, or no
    /// task serves its connections.
    pub(super) fn attempt_sender(&self) -> Option<&mpsc::Sender<Box<Attempt>>> {
        match &self.listing {
            Listing::Listed(sender) => sender.as_ref().filter(|sender| !sender.is_closed()),
            Listing::Unlisted(_) => None,
        }
    }

    /// Returns whether the node is in the endpoint list.
    pub(super) fn is_listed(&self) -> bool {
        matches!(self.listing, Listing::Listed(_))
    }

    /// Returns the node's state according to the endpoint list.
    pub(super) fn listed_state(&self) -> NodeState {
        if self.is_listed() {
            self.endpoint.state
        } else {
            NodeState::Removed
        }
    }

    /// Returns whether an update with `revision` may replace the node's current entry, and records the
    /// revision if so. While two watches are open, the slower one may deliver an older update. Older changes
    /// are ignored. An older complete list is accepted, but it does not revoke a drain unless it shows that
    /// the node has restarted; the state in `endpoint` is corrected accordingly.
    pub(super) fn accept_update(
        &mut self,
        endpoint: &mut Endpoint,
        revision: u64,
        is_complete: bool,
    ) -> bool {
        if revision < self.last_revision && !is_complete {
            return false;
        }
        let restarted = endpoint.started_at > self.endpoint.started_at;
        if endpoint.state != NodeState::Ready {
            self.drain_revision = Some(revision);
        } else if self.drain_revision > Some(revision) && !restarted {
            endpoint.state = self.endpoint.state;
        } else {
            self.drain_revision = None;
        }
        self.last_revision = revision;
        true
    }

    /// Determines the node's state, closes or opens its send gate accordingly, and returns its entry for
    /// the policy. The node drains if the endpoint list says so, if it is suspended, or if the lease on the
    /// list has expired.
    fn refresh_entry(&self, id: NodeId, suspended: bool, lease_expired: bool) -> EndpointEntry {
        let listed = self.endpoint.state;
        let out_of_service = listed == NodeState::Ready && (lease_expired || suspended);
        let state = if out_of_service { NodeState::Draining } else { listed };
        self.send_gate.set_closed(state != NodeState::Ready);
        EndpointEntry {
            node: id,
            shard: self.endpoint.shard,
            zone: self.zone,
            state,
            started_at: self.endpoint.started_at.max(self.slow_start_since),
        }
    }
}

/// All known nodes.
#[derive(Default)]
pub(super) struct NodeTable {
    /// Boxed, as half of the space in the map's own nodes may be unused.
    by_id: BTreeMap<NodeId, Box<Node>>,
    ids_by_name: HashMap<Box<str>, NodeId>,
    /// The number that the next new node gets.
    next_id: u32,
    zones: Zones,
    /// Revision of the endpoint list that was applied last.
    revision: u64,
    /// Names of the nodes that operators have suspended, also while they are not in the endpoint list.
    suspended: BTreeSet<Box<str>>,
    /// Number of nodes in the endpoint list.
    listed_count: usize,
    /// Known nodes that are not in the endpoint list, by when they left it.
    unlisted: BTreeSet<(Instant, NodeId)>,
    /// Nodes whose treatment may change by the passage of time, by the time of their next check.
    scheduled_checks: BTreeSet<(Instant, NodeId)>,
    /// Nodes that may have a channel for their attempts.
    connected: BTreeSet<NodeId>,
    /// The node in [`Self::connected`] whose channel was checked last.
    last_checked_channel: Option<NodeId>,
}

impl NodeTable {
    /// Returns the revision of the endpoint list that was applied last.
    pub(super) fn revision(&self) -> u64 {
        self.revision
    }

    /// Sets the revision of the endpoint list that is being applied.
    pub(super) fn set_revision(&mut self, revision: u64) {
        self.revision = revision;
    }

    /// Returns the number of the node with that name.
    pub(super) fn find(&self, name: &str) -> Option<NodeId> {
        self.ids_by_name.get(name).copied()
    }

    /// Returns the number of the node of `endpoint`, and adds the node if it is not known. A new node is
    /// not listed yet; `revision` is that of the update that names it.
    pub(super) fn find_or_add(
        &mut self,
        endpoint: &Endpoint,
        revision: u64,
        send_gate: impl FnOnce() -> SendGate,
    ) -> NodeId {
        if let Some(known) = self.find(&endpoint.id) {
            return known;
        }
        let (id, now) = (NodeId(self.next_id), Instant::now());
        self.next_id += 1;
        let node = Node {
            endpoint: endpoint.clone(),
            zone: self.zones.add_node(&endpoint.zone),
            send_gate: send_gate(),
            reported_treatment: None,
            slow_start_since: None,
            last_revision: revision,
            drain_revision: None,
            listing: Listing::Unlisted(now),
            next_check: None,
        };
        self.ids_by_name.insert(endpoint.id.clone(), id);
        self.by_id.insert(id, Box::new(node));
        self.unlisted.insert((now, id));
        id
    }

    /// Returns a known node.
    pub(super) fn get(&self, id: NodeId) -> Option<&Node> {
        self.by_id.get(&id).map(Box::as_ref)
    }

    /// Returns a known node for modification.
    pub(super) fn get_mut(&mut self, id: NodeId) -> Option<&mut Node> {
        self.by_id.get_mut(&id).map(Box::as_mut)
    }

    /// Replaces the endpoint list's entry of a node, and its zone if that has changed.
    pub(super) fn update(&mut self, id: NodeId, endpoint: Endpoint) {
        let Some(node) = self.by_id.get_mut(&id) else { return };
        if node.endpoint.zone != endpoint.zone {
            self.zones.remove_node(&node.endpoint.zone);
            node.zone = self.zones.add_node(&endpoint.zone);
        }
        node.endpoint = endpoint;
    }

    /// Records that a node is in the endpoint list. The channel for its attempts is dropped, if there is one.
    pub(super) fn mark_listed(&mut self, id: NodeId) {
        let Some(node) = self.by_id.get_mut(&id) else { return };
        if let Listing::Unlisted(since) = std::mem::replace(&mut node.listing, Listing::Listed(None)) {
            self.unlisted.remove(&(since, id));
            self.listed_count += 1;
        }
    }

    /// Records the channel for the attempts of a node in the endpoint list. Also drops channels of other
    /// nodes whose tasks have ended.
    pub(super) fn set_attempt_sender(&mut self, id: NodeId, attempts: mpsc::Sender<Box<Attempt>>) {
        let Some(node) = self.by_id.get_mut(&id).filter(|node| node.is_listed()) else { return };
        node.listing = Listing::Listed(Some(attempts));
        self.connected.insert(id);
        for _ in 0..CHANNELS_CHECKED_PER_CONNECT {
            self.check_next_channel();
        }
    }

    /// Drops the channel of the next node in [`Self::connected`] if its task has ended.
    fn check_next_channel(&mut self) {
        let after_last =
            (self.last_checked_channel.map_or(Bound::Unbounded, Bound::Excluded), Bound::Unbounded);
        let next = self.connected.range(after_last).next().or_else(|| self.connected.first());
        let Some(&id) = next else { return };
        self.last_checked_channel = Some(id);
        let node = self.by_id.get_mut(&id);
        if node.as_ref().is_some_and(|node| node.attempt_sender().is_some()) {
            return;
        }
        self.connected.remove(&id);
        if let Some(node) = node.filter(|node| node.is_listed()) {
            node.listing = Listing::Listed(None);
        }
    }

    /// Records that a node is no longer in the endpoint list.
    pub(super) fn mark_unlisted(&mut self, id: NodeId, now: Instant) {
        let Some(node) = self.by_id.get_mut(&id).filter(|node| node.is_listed()) else { return };
        node.listing = Listing::Unlisted(now);
        self.unlisted.insert((now, id));
        self.listed_count -= 1;
    }

    /// Unlists the nodes that are missing from a complete list, and returns them. A node that is missing
    /// counts as removed: an older list does not bring it back. This walks all nodes.
    pub(super) fn unlist_all_except(
        &mut self,
        named: &BTreeSet<NodeId>,
        revision: u64,
        now: Instant,
    ) -> Vec<NodeId> {
        let listed = self.listed().map(|(id, _)| id);
        let missing: Vec<NodeId> = listed.filter(|id| !named.contains(id)).collect();
        for &id in &missing {
            self.mark_unlisted(id, now);
            if let Some(node) = self.by_id.get_mut(&id) {
                // A node that was already draining keeps the revision at which it started to.
                node.drain_revision = node.drain_revision.or(Some(revision));
                node.send_gate.set_closed(true);
                node.endpoint.state = NodeState::Removed;
            }
        }
        missing
    }

    /// Forgets the nodes that left the endpoint list [`UNLISTED_NODE_RETENTION`] ago or earlier.
    pub(super) fn forget_expired(&mut self, now: Instant) {
        let is_expired = |since: Instant| since + UNLISTED_NODE_RETENTION <= now;
        while let Some(&(since, id)) = self.unlisted.first().filter(|(since, _)| is_expired(*since)) {
            self.unlisted.remove(&(since, id));
            self.schedule_check(id, None);
            if let Some(node) = self.by_id.remove(&id) {
                self.zones.remove_node(&node.endpoint.zone);
                self.ids_by_name.remove(&node.endpoint.id);
            }
        }
    }

    /// Returns the entry of a node for the policy, and closes or opens the node's send gate.
    pub(super) fn refresh_entry(&self, id: NodeId, lease_expired: bool) -> Option<EndpointEntry> {
        let node = self.get(id)?;
        Some(node.refresh_entry(id, self.is_suspended(&node.endpoint.id), lease_expired))
    }

    /// Returns the entry of a node for the policy if the node is in the endpoint list, and closes or opens
    /// the node's send gate.
    pub(super) fn refresh_listed_entry(&self, id: NodeId, lease_expired: bool) -> Option<EndpointEntry> {
        self.get(id).filter(|node| node.is_listed())?;
        self.refresh_entry(id, lease_expired)
    }

    /// Returns the entries of all nodes in the endpoint list for the policy, and closes or opens the nodes'
    /// send gates. This walks all nodes.
    pub(super) fn refresh_listed_entries(&self, lease_expired: bool) -> Vec<EndpointEntry> {
        self.listed().filter_map(|(id, _)| self.refresh_entry(id, lease_expired)).collect()
    }

    /// Suspends the node with that name, and returns its number.
    ///
    /// # Errors
    ///
    /// [`CommandError::UnknownNode`], or [`CommandError::TooManySuspended`] if [`MAX_SUSPENDED_NODES`] others
    /// are suspended.
    pub(super) fn suspend(&mut self, name: Box<str>) -> Result<NodeId, CommandError> {
        let id = self.find(&name).ok_or(CommandError::UnknownNode)?;
        if self.suspended.len() >= MAX_SUSPENDED_NODES && !self.suspended.contains(&name) {
            return Err(CommandError::TooManySuspended);
        }
        self.suspended.insert(name);
        Ok(id)
    }

    /// Suspends the nodes that were suspended in another process, whether they are known here or not.
    pub(super) fn suspend_all(&mut self, names: Vec<Box<str>>) {
        self.suspended.extend(names);
    }

    /// Ends the suspension of the node with that name. Its slow start begins at `now`, in microseconds of
    /// Unix time, or at the start that the endpoint list reports if that is later, because the node was
    /// restarted while it was suspended. Returns the node's number if the node is known and was suspended.
    ///
    /// # Errors
    ///
    /// [`CommandError::UnknownNode`] if the node is neither known nor suspended.
    pub(super) fn restore(&mut self, name: &str, now: Micros) -> Result<Option<NodeId>, CommandError> {
        let was_suspended = self.suspended.remove(name);
        let Some(id) = self.find(name) else {
            return if was_suspended { Ok(None) } else { Err(CommandError::UnknownNode) };
        };
        if !was_suspended {
            return Ok(None);
        }
        if let Some(node) = self.by_id.get_mut(&id) {
            node.slow_start_since = Some(now);
        }
        Ok(Some(id))
    }

    /// Records that a node was in slow start in another process since `since`, in microseconds of Unix
    /// time.
    pub(super) fn record_slow_start(&mut self, id: NodeId, since: Micros) {
        if let Some(node) = self.by_id.get_mut(&id) {
            node.slow_start_since = node.slow_start_since.max(Some(since));
        }
    }

    /// Returns whether operators have suspended the node with that name.
    pub(super) fn is_suspended(&self, name: &str) -> bool {
        self.suspended.contains(name)
    }

    /// Returns the names of the suspended nodes, in ascending order.
    pub(super) fn suspended(&self) -> impl Iterator<Item = &Box<str>> {
        self.suspended.iter()
    }

    /// Returns the number of nodes in the endpoint list.
    pub(super) fn listed_count(&self) -> usize {
        self.listed_count
    }

    /// Returns the nodes in the endpoint list, in ascending order of their numbers. This walks all nodes.
    pub(super) fn listed(&self) -> impl Iterator<Item = (NodeId, &Node)> {
        self.by_id.iter().map(|(id, node)| (*id, node.as_ref())).filter(|(_, node)| node.is_listed())
    }

    /// Returns the numbers of all nodes, in ascending order. This walks all nodes.
    pub(super) fn ids(&self) -> Vec<NodeId> {
        self.by_id.keys().copied().collect()
    }

    /// Records the treatment of a node that is reported to the observer. Returns the node if the treatment
    /// differs from the one that was reported last.
    pub(super) fn record_reported_treatment(
        &mut self,
        id: NodeId,
        treatment: NodeTreatment,
    ) -> Option<&Node> {
        let node = self.by_id.get_mut(&id)?;
        let previous = node.reported_treatment.replace(treatment);
        (previous != Some(treatment)).then_some(&*node)
    }

    /// Clears all reported treatments and scheduled checks, for a new observer. This walks all nodes.
    pub(super) fn forget_reported_treatments(&mut self) {
        for id in self.ids() {
            self.schedule_check(id, None);
            if let Some(node) = self.by_id.get_mut(&id) {
                node.reported_treatment = None;
            }
        }
    }

    /// Schedules the next check of a node's treatment in place of the previous one; `None` cancels it.
    pub(super) fn schedule_check(&mut self, id: NodeId, at: Option<Instant>) {
        let Some(node) = self.by_id.get_mut(&id).filter(|node| node.next_check != at) else { return };
        if let Some(previous) = std::mem::replace(&mut node.next_check, at) {
            self.scheduled_checks.remove(&(previous, id));
        }
        self.scheduled_checks.extend(at.map(|at| (at, id)));
    }

    /// Removes the checks that are due, and returns their nodes in ascending order of their numbers.
    pub(super) fn take_due_checks(&mut self, now: Instant) -> Vec<NodeId> {
        let mut due = Vec::new();
        while let Some(&(_, id)) = self.scheduled_checks.first().filter(|(at, _)| *at <= now) {
            self.schedule_check(id, None);
            due.push(id);
        }
        due.sort_unstable();
        due
    }
}

#[cfg(test)]
mod tests;
