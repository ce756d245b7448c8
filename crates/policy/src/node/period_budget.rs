//! The budget of open units at a node, adjusted once a period by what the node served.

use std::collections::VecDeque;

use crate::api::{Micros, Settings};

/// Number of recent periods whose maximum of served units supports the budget. A scheduler that sends a node
/// only a few of its requests has few answers in a single period.
const RECENT_PERIODS: usize = 8;
/// Minimum of the budget, in requests of mean size.
const MIN_BUDGET_REQUESTS: f64 = 4.0;
/// Maximum of the budget, in requests of mean size.
const MAX_BUDGET_REQUESTS: f64 = 32.0;

/// The budget of one node and what happened in the current period.
#[derive(Clone, Debug)]
pub(crate) struct PeriodBudget {
    /// The most units that may be open at a time.
    limit_units: f64,
    period_end: Micros,
    /// The most units that were open at a time in this period.
    peak_units: f64,
    /// Units served in this period.
    served_units: f64,
    /// The budget was used up in this period.
    is_filled: bool,
    /// Answers past the latency objective, and rejections, in this period.
    late_answers: u32,
    /// Answers within the latency objective in this period.
    timely_answers: u32,
    /// Units served in each of the recent periods.
    recent_served_units: VecDeque<f64>,
    /// The last period was filled and had late answers.
    is_overloaded: bool,
}

impl PeriodBudget {
    pub(crate) fn new(now: Micros, settings: &Settings) -> Self {
        Self {
            limit_units: MIN_BUDGET_REQUESTS * settings.mean_units,
            period_end: now + settings.period(),
            peak_units: 0.0,
            served_units: 0.0,
            is_filled: false,
            late_answers: 0,
            timely_answers: 0,
            recent_served_units: VecDeque::new(),
            is_overloaded: false,
        }
    }

    /// Counts an answer.
    pub(crate) fn record_served(&mut self, units: f64, latency: Micros, latency_objective: Micros) {
        self.served_units += units;
        if latency > latency_objective {
            self.late_answers += 1;
        } else {
            self.timely_answers += 1;
        }
    }

    /// Counts a rejection: the node is full.
    pub(crate) fn record_rejection(&mut self) {
        self.late_answers += 1;
        self.is_filled = true;
    }

    /// Notes that the budget is used up.
    pub(crate) fn mark_filled(&mut self) {
        self.is_filled = true;
    }

    /// Notes how many units are open.
    pub(crate) fn record_open_units(&mut self, units: f64) {
        self.peak_units = self.peak_units.max(units);
    }

    /// Leaves out periods before `from` less the recent ones.
    pub(crate) fn skip_empty_periods(&mut self, from: Micros, period: Micros) {
        let first_relevant = from.saturating_sub(period * RECENT_PERIODS as u64);
        self.period_end = self.period_end.max(first_relevant);
    }

    /// Sets the budget by the period that ends: the most units served in a recent period if the node was
    /// overloaded, one request more than that if it was filled and answered in time. It does not shrink while
    /// this scheduler sends little.
    pub(crate) fn adjust(&mut self, mean_units: f64) {
        self.recent_served_units.push_back(self.served_units);
        if self.recent_served_units.len() > RECENT_PERIODS {
            self.recent_served_units.pop_front();
        }
        let most_served = self.recent_served_units.iter().copied().fold(0.0, f64::max);
        self.is_overloaded = self.is_filled && self.late_answers > 0;
        if self.is_overloaded {
            self.limit_units = most_served;
        } else if self.is_filled && self.timely_answers > 0 {
            self.limit_units = self.limit_units.max(most_served) + mean_units;
        }
        let (min, max) = (MIN_BUDGET_REQUESTS * mean_units, MAX_BUDGET_REQUESTS * mean_units);
        self.limit_units = self.limit_units.max(most_served).clamp(min, max);
    }

    /// Starts the period after the one that ends, with the units that are open now.
    pub(crate) fn start_next_period(&mut self, period: Micros, open_units: f64, has_queue: bool) {
        self.served_units = 0.0;
        self.late_answers = 0;
        self.timely_answers = 0;
        self.is_filled = has_queue;
        self.peak_units = open_units;
        self.period_end += period;
    }

    /// The most units open at a time in this period, as a fraction of the budget.
    pub(crate) fn peak_fraction(&self) -> f64 {
        self.peak_units / self.limit_units
    }

    pub(crate) fn limit_units(&self) -> f64 {
        self.limit_units
    }

    pub(crate) fn period_end(&self) -> Micros {
        self.period_end
    }

    /// Whether the last period was filled and had late answers.
    pub(crate) fn is_overloaded(&self) -> bool {
        self.is_overloaded
    }
}
