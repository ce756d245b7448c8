//! The settings of the policy and their validation.

use thiserror::Error;

use super::ids::Micros;

/// Number of budget periods in the shortest latency objective.
pub(crate) const PERIODS_PER_OBJECTIVE: Micros = 2;

/// Whether a request may be executed more than once.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub enum Idempotency {
    /// Several executions have the same effect as one.
    #[default]
    Idempotent,
    /// The request carries an idempotency key: the nodes of the class's [`DeduplicationScope`] ignore a
    /// duplicate within [`ClassSettings::deduplication_window`].
    WithKey,
    /// A second execution would have an effect of its own and must be prevented.
    NotIdempotent,
}

/// The nodes that recognize a duplicate by its idempotency key.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub enum DeduplicationScope {
    /// Every node.
    #[default]
    AllNodes,
    /// The nodes in the zone of the node that received the first attempt.
    Zone,
    /// The node that holds the same shard.
    Shard,
}

/// A request class.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct ClassSettings {
    /// Latency, counted from the client's first request, within which an answer has the full priority weight.
    pub latency_objective: Micros,
    /// Total time that a client waits, over its first request and its retries.
    pub deadline: Micros,
    /// Weight of a request of this class against other classes; 0 or more.
    pub priority_weight: f64,
    /// Fraction of the priority weight that remains once the latency objective has been missed.
    pub late_weight_fraction: f64,
    /// Whether a request may be executed more than once.
    pub idempotency: Idempotency,
    /// For [`Idempotency::WithKey`]: the nodes that ignore duplicates.
    pub deduplication_scope: DeduplicationScope,
    /// For [`Idempotency::WithKey`]: time for which duplicates are ignored, counted from the first attempt
    /// that may have been executed.
    pub deduplication_window: Micros,
    /// Whether requests with the same key are executed one at a time, in order of arrival.
    pub ordered_per_key: bool,
}

/// A plan. Its rates apply to each volume and count the units that all schedulers together send to all nodes.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct PlanSettings {
    /// Usual rate in units a second.
    pub usual_rate: f64,
    /// Rate in units a second that is reserved for the volume and served at full priority.
    pub reserved_rate: f64,
    /// Weight of the volume in the division of the capacity that is not reserved.
    pub shared_weight: f64,
    /// Factor by which the priority weight of the plan's requests is multiplied.
    pub priority_factor: f64,
    /// Hard limit in units a second; 0 for none.
    pub rate_limit: f64,
    /// Capacity of the limit's token bucket in units.
    pub burst: f64,
}

/// Limit on the retries of this scheduler: in any window there are at most [`Self::free_retries`] plus
/// [`Self::retries_per_request`] for each request received in it.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct RetryBudget {
    /// Number of retries allowed in a window without any request.
    pub free_retries: f64,
    /// Number of further retries allowed for each request received.
    pub retries_per_request: f64,
    /// Length of the window.
    pub window: Micros,
}

/// The way in which endpoint updates reach this scheduler.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub enum EndpointListMode {
    /// Discovery pushes changes to the scheduler.
    #[default]
    Streamed,
    /// Discovery sends changes after [`crate::Action::Subscribe`].
    Polled {
        /// Maximum time without a subscription. The policy limits the backoff after failures by it.
        max_interval: Micros,
    },
}

/// The way in which a client's retry is distinguished from a first request.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub enum ClientRetries {
    /// Clients mark each retry ([`crate::Request::is_client_retry`]): a request without the mark is a first
    /// one.
    #[default]
    Marked,
    /// Clients do not mark their retries. The difference between the deadline of the request's class and the
    /// request's time budget counts as the time that its client has already waited, even for a first request
    /// whose client waits for less than the deadline.
    Unmarked,
}

/// The configuration of the policy.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct Settings {
    /// Number of schedulers in the deployment, including this one.
    pub schedulers: u32,
    /// Index of this scheduler, from 0 and below [`Self::schedulers`]; unique among the schedulers.
    pub scheduler_index: u32,
    /// The request classes.
    pub classes: Vec<ClassSettings>,
    /// The plans of volumes.
    pub plans: Vec<PlanSettings>,
    /// Units of an average request.
    pub mean_units: f64,
    /// Units of the largest request.
    pub max_units: u32,
    /// Priority weight of units in [the shared tier](PlanSettings::shared_weight), relative to 1 for reserved
    /// units.
    pub shared_tier_weight: f64,
    /// Priority weight of units beyond the reserved and the shared quota.
    pub excess_tier_weight: f64,
    /// Length of the periods for which nodes report the usage of volumes; 0 if they do not.
    pub usage_period: Micros,
    /// Maximum number of attempts for one request; 0 counts as 1.
    pub max_attempts: u32,
    /// Maximum Retry-After that clients obey; 0 if clients are sent none.
    pub max_retry_after: Micros,
    /// The way in which clients' retries are recognized.
    pub client_retries: ClientRetries,
    /// Resolution of the caller's timers: a timer may fire this much late.
    pub timer_resolution: Micros,
    /// Units within [`Self::overload_window`], from all schedulers together, that a node can serve when it
    /// has just started; 0 for no slow start.
    pub slow_start_units: f64,
    /// Fraction of its full capacity that a node has when it starts, from 0 to 1.
    pub slow_start_fraction: f64,
    /// Time after its start by which a node has its full capacity. Capacity grows at least linearly.
    pub slow_start_duration: Micros,
    /// Length of the window over which the load on a node in slow start is counted.
    pub overload_window: Micros,
    /// A node in slow start fails if it is sent more than this multiple of its capacity within
    /// [`Self::overload_window`]; 0 if the multiple is not known.
    pub overload_multiple: f64,
    /// Length of the pause of an ordered key after an attempt whose result is unknown.
    pub key_cool_down: Micros,
    /// Limit on retries, if there is one.
    pub retry_budget: Option<RetryBudget>,
    /// The way in which endpoint updates are received.
    pub endpoint_list_mode: EndpointListMode,
}

/// The reason why settings are invalid. The messages use names of their own for the settings, which stay as
/// they are for compatibility: `hosts`, `host`, `cold_units` and so on.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Error)]
pub enum SettingsError {
    /// A required setting is absent, empty or zero.
    #[error("settings: {0} is missing or zero")]
    Missing(&'static str),
    /// A number is negative, not finite, or out of its range.
    #[error("settings: {0} is out of range")]
    OutOfRange(&'static str),
}

impl Settings {
    /// Returns the length of a node's budget period, in microseconds: half of the shortest latency objective.
    pub(crate) fn period(&self) -> Micros {
        let objectives = self.classes.iter().map(|class| class.latency_objective);
        (objectives.min().unwrap_or(PERIODS_PER_OBJECTIVE) / PERIODS_PER_OBJECTIVE).max(1)
    }

    /// Checks that the settings are complete and within their ranges.
    ///
    /// # Errors
    ///
    /// Returns the first setting that is missing or, if none is, the first that is out of range.
    pub fn validate(&self) -> Result<(), SettingsError> {
        self.check_required()?;
        self.check_ranges()
    }

    fn check_required(&self) -> Result<(), SettingsError> {
        let lacks_time_limit = |class: &ClassSettings| class.latency_objective == 0 || class.deadline == 0;
        let missing = [
            (self.schedulers == 0, "hosts"),
            (self.classes.is_empty(), "classes"),
            (self.classes.iter().any(lacks_time_limit), "a class's aim or deadline"),
            (self.plans.is_empty(), "plans"),
            (self.mean_units == 0.0, "mean_units"),
        ];
        match missing.into_iter().find(|(is_missing, _)| *is_missing) {
            Some((_, name)) => Err(SettingsError::Missing(name)),
            None => Ok(()),
        }
    }

    fn check_ranges(&self) -> Result<(), SettingsError> {
        let ranges = [
            (self.scheduler_index < self.schedulers, "host"),
            (is_non_negative(self.mean_units), "mean_units"),
            (is_non_negative(self.slow_start_units), "cold_units"),
            (is_non_negative(self.overload_multiple), "tip_multiple"),
            (is_non_negative(self.slow_start_fraction) && self.slow_start_fraction <= 1.0, "cold_share"),
            (is_non_negative(self.shared_tier_weight), "share_worth"),
            (is_non_negative(self.excess_tier_weight), "spare_worth"),
            (self.plans.iter().all(PlanSettings::is_in_range), "plans"),
            (self.classes.iter().all(ClassSettings::is_in_range), "classes"),
            (self.retry_budget.is_none_or(|budget| budget.is_in_range()), "attempt_budget"),
        ];
        match ranges.into_iter().find(|(in_range, _)| !*in_range) {
            Some((_, name)) => Err(SettingsError::OutOfRange(name)),
            None => Ok(()),
        }
    }
}

impl ClassSettings {
    fn is_in_range(&self) -> bool {
        is_non_negative(self.priority_weight) && is_non_negative(self.late_weight_fraction)
    }
}

impl PlanSettings {
    fn is_in_range(&self) -> bool {
        let values = [
            self.usual_rate,
            self.reserved_rate,
            self.shared_weight,
            self.priority_factor,
            self.rate_limit,
            self.burst,
        ];
        values.into_iter().all(is_non_negative)
    }
}

impl RetryBudget {
    fn is_in_range(&self) -> bool {
        is_non_negative(self.free_retries) && is_non_negative(self.retries_per_request)
    }
}

fn is_non_negative(number: f64) -> bool {
    number.is_finite() && number >= 0.0
}
