//! Handover between two processes of one scheduler: the state of the process that ends, and how its successor
//! continues from that state.

use tokio::time::Instant;

use super::Actor;
use crate::observe::{Observation, TreatmentCause};
use crate::{EndpointUpdate, Handover, HandoverState, PeerChannels, SlowStartNode};
use heathward_policy::EndpointUpdateKind;

impl Actor {
    /// Hands the state over to a new process, and forwards commands to it from now on.
    pub(super) fn hand_over(&mut self) -> Handover {
        let channels = self.peer_process.connect();
        self.observer.observe(Observation::HandedOver);
        Handover { state: self.handover_state(), channels }
    }

    /// Continues from the state of the previous process, and forwards commands to it from now on.
    pub(super) fn take_over(&mut self, state: HandoverState) -> PeerChannels {
        let channels = self.peer_process.connect();
        self.observer.observe(Observation::TookOver);
        self.restore_state(state);
        channels
    }

    fn handover_state(&self) -> HandoverState {
        let now = self.policy.micros_at(Instant::now());
        let slow_start = self.nodes.listed().filter_map(|(id, node)| {
            let since = self.policy.node_status(now, id)?.slow_start_since?;
            Some(SlowStartNode { id: node.endpoint.id.clone(), since })
        });
        HandoverState {
            endpoint_list: EndpointUpdate {
                revision: self.nodes.revision(),
                kind: EndpointUpdateKind::Snapshot,
                endpoints: self.nodes.listed().map(|(_, node)| node.endpoint.clone()).collect(),
            },
            suspended: self.nodes.suspended().cloned().collect(),
            slow_start: slow_start.collect(),
            paused: self.published.is_paused(),
            client_ids: Some(self.requests.client_ids()),
        }
    }

    fn restore_state(&mut self, state: HandoverState) {
        self.requests.add_executed_client_ids(state.client_ids.unwrap_or_default());
        self.nodes.suspend_all(state.suspended);
        self.lease.get_mut().record_takeover(Instant::now());
        self.published.set_paused(state.paused);
        self.apply_endpoint_update(state.endpoint_list);
        for node in state.slow_start {
            if let Some(id) = self.nodes.find(&node.id) {
                self.nodes.record_slow_start(id, node.since);
                self.resend_policy_entry(id, TreatmentCause::Handover);
            }
        }
    }
}
