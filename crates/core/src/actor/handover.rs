//! Handover between two processes of one scheduler: the state of the one that ends, and how the next one goes
//! on from it.

use tokio::sync::mpsc;
use tokio::time::Instant;

use super::handle::set_draining;
use super::{Actor, COMMANDS};
use crate::observe::{Note, Why};
use crate::{DiscoveryUpdate, Forwarded, State};
use heathward_policy::ListKind;

impl Actor {
    /// The state for the process that takes over, and the commands that it is told of from now on.
    pub(super) fn hand_over(&mut self) -> (State, mpsc::Receiver<Forwarded>) {
        let commands = self.new_partner();
        self.note(Note::HandedOver);
        (self.state(), commands)
    }

    /// Goes on from the state of the process before; gives back the commands that it is told of from now on.
    pub(super) fn take_over(&mut self, state: State) -> mpsc::Receiver<Forwarded> {
        let commands = self.new_partner();
        self.note(Note::TookOver);
        self.go_on_from(state);
        commands
    }

    fn new_partner(&mut self) -> mpsc::Receiver<Forwarded> {
        let (partner, commands) = mpsc::channel(COMMANDS);
        self.partner = Some(partner);
        commands
    }

    /// What a process that takes over has to know.
    fn state(&self) -> State {
        let now = self.clock.at(Instant::now());
        let members = self.nodes.listed().map(|(_, node)| node.member.clone()).collect();
        let cold = self.nodes.listed().filter_map(|(id, node)| {
            let since = self.scheduler.standing(now, id)?.cold_since?;
            Some((node.member.id.clone(), since))
        });
        State {
            list: DiscoveryUpdate { revision: self.revision, kind: ListKind::Whole, members },
            suspended: self.suspended.iter().cloned().collect(),
            cold: cold.collect(),
            paused: self.draining.borrow().paused,
        }
    }

    fn go_on_from(&mut self, state: State) {
        let State { list, suspended, cold, paused } = state;
        self.suspended.extend(suspended);
        self.lease.taken_over(Instant::now());
        set_draining(&self.draining, |draining| draining.paused = paused);
        self.apply_update(list);
        for (name, since) in cold {
            let Some(id) = self.nodes.find(&name) else { continue };
            let node = self.nodes.get_mut(id);
            node.into_iter().for_each(|node| node.restored = node.restored.max(Some(since)));
            self.relist(id, Why::Handover);
        }
    }
}
