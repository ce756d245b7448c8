//! Handover between two processes of one scheduler: the state of the one that ends, and how the next one goes
//! on from it.

use tokio::sync::mpsc;
use tokio::time::Instant;

use super::handle::set_draining;
use super::{Actor, COMMANDS};
use crate::observe::{Observation, TreatmentCause};
use crate::{EndpointUpdate, ForwardedCommand, HandoverState, SlowStartNode};
use heathward_policy::EndpointUpdateKind;

impl Actor {
    /// The state for the process that takes over, and the commands that it is told of from now on.
    pub(super) fn hand_over(&mut self) -> (HandoverState, mpsc::Receiver<ForwardedCommand>) {
        let commands = self.new_partner();
        self.note(Observation::HandedOver);
        (self.state(), commands)
    }

    /// Goes on from the state of the process before; gives back the commands that it is told of from now on.
    pub(super) fn take_over(&mut self, state: HandoverState) -> mpsc::Receiver<ForwardedCommand> {
        let commands = self.new_partner();
        self.note(Observation::TookOver);
        self.go_on_from(state);
        commands
    }

    fn new_partner(&mut self) -> mpsc::Receiver<ForwardedCommand> {
        let (partner, commands) = mpsc::channel(COMMANDS);
        self.partner = Some(partner);
        commands
    }

    /// What a process that takes over has to know.
    fn state(&self) -> HandoverState {
        let now = self.clock.micros_at(Instant::now());
        let members = self.nodes.listed().map(|(_, node)| node.member.clone()).collect();
        let cold = self.nodes.listed().filter_map(|(id, node)| {
            let since = self.scheduler.node_status(now, id)?.slow_start_since?;
            Some(SlowStartNode { id: node.member.id.clone(), since })
        });
        HandoverState {
            endpoint_list: EndpointUpdate {
                revision: self.revision,
                kind: EndpointUpdateKind::Snapshot,
                endpoints: members,
            },
            suspended: self.suspended.iter().cloned().collect(),
            slow_start: cold.collect(),
            paused: self.draining.borrow().paused,
        }
    }

    fn go_on_from(&mut self, state: HandoverState) {
        let HandoverState { endpoint_list: list, suspended, slow_start: cold, paused } = state;
        self.suspended.extend(suspended);
        self.lease.record_takeover(Instant::now());
        set_draining(&self.draining, |draining| draining.paused = paused);
        self.apply_update(list);
        for SlowStartNode { id: name, since } in cold {
            let Some(id) = self.nodes.find(&name) else { continue };
            let node = self.nodes.get_mut(id);
            node.into_iter().for_each(|node| node.restored = node.restored.max(Some(since)));
            self.relist(id, TreatmentCause::Handover);
        }
    }
}
