//! Checks the core's invariants on attempts: each attempt that was passed to the connections of a node ends
//! once, and a request has at most one attempt in flight.

use std::collections::HashMap;
use std::sync::{Arc, Mutex, MutexGuard, PoisonError};

use heathward_core::observe::{Observation, Observer};
use heathward_policy::settings::Deployment;
use heathward_policy::RequestId;
use tokio::time::Instant;

/// Tracks the attempts in flight, as an observer of the core. Clones share their state.
#[derive(Clone, Debug, Default)]
pub struct AttemptLedger {
    /// The node of each attempt in flight.
    in_flight: Arc<Mutex<HashMap<RequestId, String>>>,
}

impl AttemptLedger {
    /// Returns the number of attempts in flight.
    pub fn in_flight_count(&self) -> usize {
        self.lock().len()
    }

    fn lock(&self) -> MutexGuard<'_, HashMap<RequestId, String>> {
        self.in_flight.lock().unwrap_or_else(PoisonError::into_inner)
    }
}

impl Observer for AttemptLedger {
    /// # Panics
    /// If an attempt begins while another one of its request is in flight, or ends twice. The core stops with
    /// the panic, so that the test fails.
    fn observe(&mut self, _: Instant, observation: Observation<'_>) {
        match observation {
            Observation::AttemptSent { request, node, .. } => {
                let before = self.lock().insert(request, node.to_owned());
                assert_eq!(before, None, "{request:?} has two attempts in flight");
            }
            Observation::AttemptEnded { request, node, end } => {
                let sent_to = self.lock().remove(&request);
                assert_eq!(sent_to.as_deref(), Some(node), "{request:?}: {end:?} ends no attempt in flight");
            }
            _ => {}
        }
    }

    fn settings_changed(&mut self, _: &Deployment) {}
}
