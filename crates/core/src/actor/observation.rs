//! Metrics for operators, and reports of the treatment of nodes to the observer.

use std::time::Duration;

use tokio::time::Instant;

use super::Actor;
use crate::observe::{NodeTreatment, Observation, Observer, TreatmentCause};
use crate::{CoreMetrics, Counters, Endpoint};
use heathward_policy::{EndpointUpdateKind, Micros, NodeId};

/// How often the core checks whether the policy has dropped an unused node. The policy drops a node that
/// has had no new requests for some time (at most a minute), and does not announce it.
const UNUSED_NODE_CHECK_INTERVAL: Duration = Duration::from_secs(1);

impl Actor {
    /// Returns the counters and the current state. This walks all listed nodes; operators request it a few
    /// times a second at most.
    pub(super) fn metrics(&self) -> CoreMetrics {
        let now = self.policy.micros_at(Instant::now());
        let is_avoided = |id| self.policy.node_status(now, id).is_none_or(|status| status.is_avoided());
        CoreMetrics {
            counters: Counters { attempts_written: self.written_attempts.total(), ..self.counters.clone() },
            active_requests: self.requests.active_count(),
            listed_nodes: self.nodes.listed_count(),
            avoided_nodes: self.nodes.listed().filter(|(id, _)| is_avoided(*id)).count(),
            memory: self.memory.usage(),
        }
    }

    /// Replaces the observer. A new one is first notified of the current state.
    pub(super) fn set_observer(&mut self, observer: Option<Box<dyn Observer>>) {
        self.observer.replace(observer, &self.published.deployment());
        let endpoints: Vec<Endpoint> = self.nodes.listed().map(|(_, node)| node.endpoint.clone()).collect();
        let revision = self.nodes.revision();
        // It is marked as cached because the list was received earlier and is not an update.
        self.observer.observe(Observation::EndpointsUpdated {
            revision,
            kind: EndpointUpdateKind::Cached,
            endpoints: &endpoints,
        });
        self.nodes.forget_reported_treatments();
        self.check_all_node_treatments(TreatmentCause::EndpointUpdate(revision));
    }

    /// Checks the treatment of all nodes, after a change that may affect any of them. This walks all nodes.
    pub(super) fn check_all_node_treatments(&mut self, cause: TreatmentCause) {
        if self.observer.is_set() {
            let now = Instant::now();
            for id in self.nodes.ids() {
                self.check_node_treatment(id, now, cause);
            }
        }
    }

    /// Schedules a check of all nodes for the next tick of the observer, after a change of the settings.
    /// This walks all nodes.
    pub(super) fn schedule_all_node_checks(&mut self) {
        if self.observer.is_set() {
            let now = Instant::now();
            for id in self.nodes.ids() {
                self.nodes.schedule_check(id, Some(now));
            }
        }
    }

    /// Notifies the observer if a node's treatment differs from the one that was reported last, and
    /// schedules the next check if the treatment may change by the passage of time.
    pub(super) fn check_node_treatment(&mut self, id: NodeId, at: Instant, cause: TreatmentCause) {
        if !self.observer.is_set() {
            return;
        }
        let Some(node) = self.nodes.get(id) else { return };
        self.counters.node_checks += 1;
        let (listed, suspended) = (node.listed_state(), self.nodes.is_suspended(&node.endpoint.id));
        let slow_start_duration = self.published.deployment().settings.slow_start_duration;
        let treatment_at = |now: Micros| {
            let status = self.policy.node_status(now, id);
            NodeTreatment::from_state(listed, suspended, status, now, slow_start_duration)
        };
        let treatment = treatment_at(self.policy.micros_at(at));
        let slow_start_check = match treatment {
            NodeTreatment::SlowStart(since) => {
                let end = since.saturating_add(slow_start_duration);
                // If the policy expects no change before the end, one check at the end is enough. Otherwise
                // the start is only presumed, and the policy may revoke it at any time, so the next tick
                // checks again.
                let lasts_until_end = treatment_at(end - 1) == treatment;
                Some(if lasts_until_end { self.policy.instant_at(end) } else { at })
            }
            _ => None,
        };
        let is_unused = match treatment {
            NodeTreatment::Removed => false,
            NodeTreatment::Draining | NodeTreatment::Suspended => true,
            NodeTreatment::InService | NodeTreatment::SlowStart(_) | NodeTreatment::Unresponsive => {
                self.lease.is_expired()
            }
        };
        let unused_check = is_unused.then_some(at + UNUSED_NODE_CHECK_INTERVAL);
        if let Some(node) = self.nodes.record_reported_treatment(id, treatment) {
            let node = &node.endpoint.id;
            self.observer.observe_at(at, Observation::NodeTreatmentChanged { node, treatment, cause });
        }
        self.nodes.schedule_check(id, slow_start_check.into_iter().chain(unused_check).min());
    }

    /// Notifies the observer that time has passed, and of treatments that have changed by the passage of
    /// time alone.
    pub(super) fn tick_observer(&mut self, now: Instant) {
        if self.observer.take_due_tick(now) {
            for id in self.nodes.take_due_checks(now) {
                self.check_node_treatment(id, now, TreatmentCause::TimePassed);
            }
            self.observer.observe(Observation::TimePassed);
        }
    }
}
