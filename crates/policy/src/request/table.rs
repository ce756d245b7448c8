//! The open requests by id, with an index by deadline.

use std::collections::{BTreeMap, BTreeSet};

use super::tracked::{RequestState, TrackedRequest};
use crate::api::{Micros, RequestId};

/// The time by which a request must have its final answer.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub(crate) struct Expiry {
    pub(crate) at: Micros,
    pub(crate) request: RequestId,
}

/// All requests that are not finished.
#[derive(Clone, Debug, Default)]
pub(crate) struct RequestTable {
    requests: BTreeMap<RequestId, TrackedRequest>,
    deadlines: BTreeSet<Expiry>,
}

impl RequestTable {
    pub(crate) fn insert(&mut self, request: TrackedRequest) {
        self.deadlines.insert(Self::deadline_of(&request));
        self.requests.insert(request.id(), request);
    }

    pub(crate) fn contains(&self, id: RequestId) -> bool {
        self.requests.contains_key(&id)
    }

    pub(crate) fn get(&self, id: RequestId) -> Option<&TrackedRequest> {
        self.requests.get(&id)
    }

    pub(crate) fn get_mut(&mut self, id: RequestId) -> Option<&mut TrackedRequest> {
        self.requests.get_mut(&id)
    }

    /// Returns whether a request still needs a final answer.
    pub(crate) fn is_open(&self, id: RequestId) -> bool {
        self.get(id).is_some_and(|request| request.state != RequestState::Answered)
    }

    /// Removes a request's deadline.
    pub(crate) fn clear_deadline(&mut self, id: RequestId) {
        if let Some(request) = self.requests.get(&id) {
            self.deadlines.remove(&Self::deadline_of(request));
        }
    }

    /// Removes and returns a request.
    pub(crate) fn remove(&mut self, id: RequestId) -> Option<TrackedRequest> {
        self.clear_deadline(id);
        self.requests.remove(&id)
    }

    /// Returns the next request that must be answered: at its deadline if an attempt is in flight, otherwise
    /// early enough for a timer that fires late.
    pub(crate) fn next_expiry(&self, timer_resolution: Micros) -> Option<Expiry> {
        let deadline = *self.deadlines.first()?;
        let is_in_flight = self.get(deadline.request).is_some_and(|request| !request.in_flight.is_empty());
        let margin = if is_in_flight { 0 } else { 2 * timer_resolution };
        Some(Expiry { at: deadline.at.saturating_sub(margin), ..deadline })
    }

    /// Returns the size of the larger collection, for monitoring memory usage.
    pub(crate) fn len(&self) -> usize {
        self.requests.len().max(self.deadlines.len())
    }

    fn deadline_of(request: &TrackedRequest) -> Expiry {
        Expiry { at: request.timing.deadline, request: request.id() }
    }
}
