//! Selection of the node for a request that any node may serve.

use super::send_rules::SendDecision;
use super::Scheduler;
use crate::api::{Micros, NodeId, RequestId};
use crate::node_ranking::{Candidate, SearchResult};

impl Scheduler {
    /// Returns the node with the lowest load, as estimated by this scheduler, that the request may be sent
    /// to; among nodes of similar load the choice is random.
    pub(super) fn least_loaded(&mut self, now: Micros, id: RequestId) -> Option<NodeId> {
        for node_id in self.nodes.ranking.expired(now) {
            self.update_rank(now, node_id);
        }
        // The search borrows the scheduler immutably, so it draws from a copy of the generator, which then
        // replaces the original.
        let mut random = self.random.node_choice.clone();
        let found = self.search(now, id, &mut random);
        self.random.node_choice = random;
        for node_id in found.outdated {
            self.update_rank(now, node_id);
        }
        found.node
    }

    pub(super) fn search(&self, now: Micros, id: RequestId, random: &mut fastrand::Rng) -> SearchResult {
        let (fleet_delay, unit_service_time) = (self.fleet.delay(now), self.fleet.unit_service_time());
        self.nodes.ranking.find_lowest(fleet_delay, unit_service_time, random, |node_id| {
            let decision = self.check_send(now, id, node_id);
            let node = self.nodes.get(&node_id).filter(|_| decision != SendDecision::Never)?;
            Some(Candidate {
                is_open: decision == SendDecision::Allowed,
                load: node.load(now, self.period, &self.fleet),
            })
        })
    }
}
