//! How the core stands, for operations staff and for the observer that keeps records.

use std::time::Duration;

use tokio::time::Instant;

use super::Actor;
use crate::observe::{NodeTreatment, Observation, Observer, TreatmentCause};
use crate::{CoreMetrics, Counters, Endpoint};
use heathward_policy::{EndpointUpdateKind, NodeId};

/// How often an observer is told that time has passed.
const TICK: Duration = Duration::from_millis(100);

/// The module forgets a node that takes nothing new within a minute, on a sweep of its own; it is looked at
/// so often whether it has.
const UNUSED_CHECK: Duration = Duration::from_secs(1);

impl Actor {
    /// Counters and the state of the list, for operations staff. It walks all listed nodes: it is asked for a
    /// few times a second at most, and what it counts has no other reader.
    pub(super) fn metrics(&self) -> CoreMetrics {
        let counters = Counters { attempts_written: self.tries.total(), ..self.counters.clone() };
        let now = self.clock.micros_at(Instant::now());
        let avoided = |id| self.scheduler.node_status(now, id).is_none_or(|node| node.is_avoided());
        let avoided = self.nodes.listed().filter(|(id, _)| avoided(*id)).count();
        let active = self.limits.len() + self.calls.streaming_count();
        CoreMetrics {
            counters,
            active_requests: active,
            listed_nodes: self.nodes.listed_count(),
            avoided_nodes: avoided,
        }
    }

    /// Tells the observer, if there is one.
    pub(super) fn note(&mut self, note: Observation<'_>) {
        if let Some(observer) = &mut self.observer {
            observer.observe(Instant::now(), note);
        }
    }

    /// Records are kept from now on: what stands is told first.
    pub(super) fn observe(&mut self, observer: Option<Box<dyn Observer>>) {
        self.observer = observer;
        self.tick = Instant::now();
        if let Some(observer) = &mut self.observer {
            observer.settings_changed(&self.deployment.borrow());
        }
        let members: Vec<Endpoint> = self.nodes.listed().map(|(_, node)| node.member.clone()).collect();
        let revision = self.revision;
        // Not an update: others have seen it at another time.
        self.note(Observation::EndpointsUpdated {
            revision,
            kind: EndpointUpdateKind::Cached,
            endpoints: &members,
        });
        for id in self.nodes.ids() {
            self.nodes.set_due(id, None);
            self.nodes.get_mut(id).into_iter().for_each(|node| node.treated = None);
        }
        self.check_nodes(TreatmentCause::EndpointUpdate(revision));
    }

    /// Compares all nodes with what the observer was told last: a walk, for when everything may have changed.
    pub(super) fn check_nodes(&mut self, why: TreatmentCause) {
        if self.observer.is_some() {
            let (now, ids) = (Instant::now(), self.nodes.ids());
            ids.into_iter().for_each(|id| self.check_node(id, now, why));
        }
    }

    /// Has all nodes compared at the next tick: other settings hold.
    pub(super) fn check_nodes_soon(&mut self) {
        if self.observer.is_some() {
            let now = Instant::now();
            self.nodes.ids().into_iter().for_each(|id| self.nodes.set_due(id, Some(now)));
        }
    }

    /// Tells the observer of a node that is treated otherwise than it was told last.
    pub(super) fn check_node(&mut self, id: NodeId, at: Instant, why: TreatmentCause) {
        let (Some(observer), Some(node)) = (&mut self.observer, self.nodes.get_mut(id)) else { return };
        self.counters.node_checks += 1;
        let out = self.suspended.contains(&node.member.id);
        let (listed, cold_time) =
            (node.listed_state(), self.deployment.borrow().settings.slow_start_duration);
        let scheduler = &self.scheduler;
        let treated_at =
            |now| NodeTreatment::from_state(listed, out, scheduler.node_status(now, id), now, || cold_time);
        let treated = treated_at(self.clock.micros_at(at));
        if node.treated.replace(treated) != Some(treated) {
            observer.observe(
                at,
                Observation::NodeTreatmentChanged { node: &node.member.id, treatment: treated, cause: why },
            );
        }
        let warm = match treated {
            NodeTreatment::SlowStart(since) => Some(since.saturating_add(cold_time)),
            _ => None,
        };
        let warm = warm.map(|warm| match treated_at(warm - 1) == treated {
            true => self.clock.instant_at(warm),
            // Its start was only guessed, and may turn out to be none at any time before.
            false => at,
        });
        let unused = match treated {
            NodeTreatment::Removed => false,
            NodeTreatment::Draining | NodeTreatment::Suspended => true,
            NodeTreatment::InService | NodeTreatment::SlowStart(_) | NodeTreatment::Unresponsive => {
                self.stale
            }
        };
        let forgotten = unused.then_some(at + UNUSED_CHECK);
        self.nodes.set_due(id, warm.into_iter().chain(forgotten).min());
    }

    /// Tells the observer that time has passed, and what has changed by that alone.
    pub(super) fn pass_time(&mut self, now: Instant) {
        if self.observer.is_some() && now >= self.tick {
            self.tick = now + TICK;
            self.nodes
                .take_due(now)
                .into_iter()
                .for_each(|id| self.check_node(id, now, TreatmentCause::TimePassed));
            self.note(Observation::TimePassed);
        }
    }
}
