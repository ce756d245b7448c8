//! Accounting for the retry budget: the requests received and the retries sent within the budget's window.

use std::collections::VecDeque;

use crate::api::{Micros, RetryBudget};

/// Times of requests and retries, each in ascending order.
#[derive(Clone, Debug, Default)]
pub(crate) struct RetryWindow {
    requests: VecDeque<Micros>,
    retries: VecDeque<Micros>,
}

/// Numbers of requests and retries within a window.
#[derive(Clone, Copy, Debug, PartialEq)]
pub(crate) struct WindowCounts {
    /// Number of requests received.
    pub(crate) requests: f64,
    /// Number of retries sent.
    pub(crate) retries: f64,
}

impl RetryWindow {
    /// Records a request, and removes times that have left the window.
    pub(crate) fn record_request(&mut self, now: Micros, budget: &RetryBudget) {
        let since = now.saturating_sub(budget.window);
        self.requests.push_back(now);
        let expired = self.requests.partition_point(|at| *at <= since);
        self.requests.drain(..expired);
        let expired = self.retries.partition_point(|at| *at < since);
        self.retries.drain(..expired);
    }

    /// Records a retry.
    pub(crate) fn record_retry(&mut self, now: Micros) {
        self.retries.push_back(now);
    }

    /// Returns whether the budget covers one more retry.
    pub(crate) fn allows_retry(&self, now: Micros, budget: &RetryBudget) -> bool {
        let counts = self.counts(now.saturating_sub(budget.window));
        counts.retries + 1.0 <= budget.free_retries + budget.retries_per_request * counts.requests
    }

    /// Returns the numbers of requests and retries since a time. A retry at exactly that time still counts, a
    /// request does not.
    pub(crate) fn counts(&self, since: Micros) -> WindowCounts {
        let requests = self.requests.len() - self.requests.partition_point(|at| *at <= since);
        let retries = self.retries.len() - self.retries.partition_point(|at| *at < since);
        WindowCounts { requests: requests as f64, retries: retries as f64 }
    }

    /// Returns the number of times kept, of the larger of the two kinds.
    pub(crate) fn len(&self) -> usize {
        self.requests.len().max(self.retries.len())
    }
}

#[cfg(test)]
mod tests;
