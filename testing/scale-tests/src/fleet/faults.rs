//! What can go wrong in a hollow fleet.

use heathward_policy::Micros;

use super::{scheduler, Fleet, Happening};
use crate::node::Health;

/// A fault, from the moment on at which it is applied.
#[derive(Clone, Copy, Debug, PartialEq)]
pub enum Fault {
    /// A share of the schedulers, drawn, is killed and starts again.
    KillSchedulers {
        /// Share of all.
        share: f64,
        /// How long each is away.
        down: Micros,
    },
    /// All nodes of a zone fall silent and return cold.
    LoseZone {
        /// Its number.
        zone: u32,
        /// How long it is away.
        down: Micros,
    },
    /// One node closes and starts anew, cold: a change of primary.
    RestartNode {
        /// Its number among the hollow nodes.
        node: u32,
        /// How long it is away.
        down: Micros,
    },
    /// All nodes start anew, cold.
    RestartAllNodes {
        /// How long they are away.
        down: Micros,
    },
    /// A share of the schedulers, drawn, hears nothing of the list for a while, so that lists differ.
    SplitLists {
        /// Share of all.
        share: f64,
        /// For how long.
        span: Micros,
    },
    /// The list service is away.
    ListOutage {
        /// For how long.
        span: Micros,
    },
    /// Settings name another number of schedulers than there are.
    WrongHosts {
        /// Named over true.
        factor: f64,
        /// Share of schedulers, drawn, that have these settings.
        share: f64,
    },
}

impl Fleet {
    /// A fault comes now.
    pub fn apply(&mut self, fault: Fault) {
        let now = self.now;
        match fault {
            Fault::KillSchedulers { share, down } => {
                for number in self.drawn(share) {
                    self.lists.stop(number);
                    self.lost += self.schedulers[number as usize].kill();
                    self.queue.push(now + down, Happening::Start { scheduler: number });
                }
            }
            Fault::LoseZone { zone, down } => {
                let zones = self.set.zones.max(1);
                let lost: Vec<u32> =
                    (0..self.nodes.len() as u32).filter(|node| node % zones == zone).collect();
                self.lose(&lost, Health::Silent, down);
            }
            Fault::RestartNode { node, down } => self.lose(&[node], Health::Closed, down),
            Fault::RestartAllNodes { down } => {
                let all: Vec<u32> = (0..self.nodes.len() as u32).collect();
                self.lose(&all, Health::Closed, down);
            }
            Fault::SplitLists { share, span } => {
                for number in self.drawn(share) {
                    self.lists.deafen(number, now + span);
                }
            }
            Fault::ListOutage { span } => self.lists.outage(now, now + span),
            Fault::WrongHosts { factor, share } => {
                for number in self.drawn(share) {
                    let scheduler = &mut self.schedulers[number as usize];
                    scheduler.hosts_factor = factor;
                    // Settings that the module refuses leave the old ones in force.
                    let _ = scheduler
                        .module
                        .update_settings(scheduler::module_settings(&self.set, number, factor));
                }
            }
        }
    }

    fn lose(&mut self, nodes: &[u32], health: Health, down: Micros) {
        for node in nodes {
            let lost = self.nodes[*node as usize].stop(health);
            if health == Health::Closed {
                self.reset(lost);
            }
        }
        self.queue.push(self.now + down, Happening::NodesReturn { nodes: nodes.to_vec() });
    }

    fn drawn(&mut self, share: f64) -> Vec<u32> {
        let all = self.schedulers.len() as u32;
        (0..all).filter(|_| self.rng.f64() < share).collect()
    }
}
