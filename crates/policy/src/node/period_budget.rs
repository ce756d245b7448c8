//! The limit on a node's open units, adjusted once a period by the units that the node served.

use std::collections::VecDeque;

use crate::api::{Micros, Settings};

/// Number of recent periods over which the maximum of served units is taken. A scheduler that sends a node
/// only a few of its requests has few answers in a single period.
const RECENT_PERIODS: usize = 8;
/// Minimum of the budget, in requests of mean size.
const MIN_BUDGET_REQUESTS: f64 = 4.0;
/// Maximum of the budget, in requests of mean size.
const MAX_BUDGET_REQUESTS: f64 = 32.0;

/// The budget of one node and its statistics of the current period.
#[derive(Clone, Debug)]
pub(crate) struct PeriodBudget {
    /// Maximum number of units that may be open at a time.
    limit_units: f64,
    period_end: Micros,
    /// Maximum number of units that were open at a time in this period.
    peak_units: f64,
    /// Units served in this period.
    served_units: f64,
    /// Whether the budget was used up in this period.
    is_filled: bool,
    /// Number of rejections, and of answers later than the latency objective, in this period.
    late_answers: u32,
    /// Number of answers within the latency objective in this period.
    timely_answers: u32,
    /// Units served in each of the recent periods.
    recent_served_units: VecDeque<f64>,
    /// Whether the last period was filled and had late answers.
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

    /// Records an answer that served a request.
    pub(crate) fn record_served(&mut self, units: f64, latency: Micros, latency_objective: Micros) {
        self.served_units += units;
        if latency > latency_objective {
            self.late_answers += 1;
        } else {
            self.timely_answers += 1;
        }
    }

    /// Records a rejection, which means that the node is full.
    pub(crate) fn record_rejection(&mut self) {
        self.late_answers += 1;
        self.is_filled = true;
    }

    /// Records that the budget is used up.
    pub(crate) fn mark_filled(&mut self) {
        self.is_filled = true;
    }

    /// Records the number of open units.
    pub(crate) fn record_open_units(&mut self, units: f64) {
        self.peak_units = self.peak_units.max(units);
    }

    /// Skips the periods that end before `from` minus the length of [`RECENT_PERIODS`].
    pub(crate) fn skip_empty_periods(&mut self, from: Micros, period: Micros) {
        let first_relevant = from.saturating_sub(period * RECENT_PERIODS as u64);
        self.period_end = self.period_end.max(first_relevant);
    }

    /// Adjusts the budget at the end of a period. If the node was overloaded, the budget becomes the maximum
    /// of units served in a recent period; if the budget was filled and there were timely answers, it grows
    /// to one request of mean size more than the larger of that maximum and the budget. It does not shrink
    /// while this scheduler sends little. In any case it is at least that maximum, and it stays between
    /// [`MIN_BUDGET_REQUESTS`] and [`MAX_BUDGET_REQUESTS`].
    pub(crate) fn adjust(&mut self, mean_units: f64) {
        if self.recent_served_units.len() == RECENT_PERIODS {
            self.recent_served_units.pop_front();
        }
        self.recent_served_units.push_back(self.served_units);
        let max_served_units = self.recent_served_units.iter().copied().fold(0.0, f64::max);
        self.is_overloaded = self.is_filled && self.late_answers > 0;
        if self.is_overloaded {
            self.limit_units = max_served_units;
        } else if self.is_filled && self.timely_answers > 0 {
            self.limit_units = self.limit_units.max(max_served_units) + mean_units;
        }
        let (min, max) = (MIN_BUDGET_REQUESTS * mean_units, MAX_BUDGET_REQUESTS * mean_units);
        self.limit_units = self.limit_units.max(max_served_units).clamp(min, max);
    }

    /// Starts the next period with the units that are open now.
    pub(crate) fn start_next_period(&mut self, period: Micros, open_units: f64, has_queue: bool) {
        self.served_units = 0.0;
        self.late_answers = 0;
        self.timely_answers = 0;
        self.is_filled = has_queue;
        self.peak_units = open_units;
        self.period_end += period;
    }

    /// Returns the maximum of open units in this period as a fraction of the budget.
    pub(crate) fn peak_fraction(&self) -> f64 {
        self.peak_units / self.limit_units
    }

    pub(crate) fn limit_units(&self) -> f64 {
        self.limit_units
    }

    pub(crate) fn period_end(&self) -> Micros {
        self.period_end
    }

    /// Returns whether the last period was filled and had late answers.
    pub(crate) fn is_overloaded(&self) -> bool {
        self.is_overloaded
    }
}
