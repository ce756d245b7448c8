//! The state of a node as this scheduler knows it, split by concern: health, attempts in flight, queue,
//! period budget, admission history, queueing delay and slow start.

use crate::api::{EndpointEntry, Micros, NodeStatus, Request, Settings, ShardId};
use crate::node_ranking::{HealthTier, Rank};
use crate::slow_start::TokenBucket;
use crate::volume::QuotaTier;

mod admission_history;
mod delay;
mod health;
mod in_flight;
mod period_budget;
mod queue;

use admission_history::AdmissionHistory;
pub(crate) use admission_history::ADMISSION_LOOKBACK;
pub(crate) use delay::{DelayEstimate, FleetEstimate};
use health::NodeHealth;
pub(crate) use health::{HealthChange, ObservedEnd};
pub(crate) use in_flight::AttemptKey;
use in_flight::InFlightAttempts;
use period_budget::PeriodBudget;
pub(crate) use queue::{NodeQueue, QueueEntry};

/// Number of budget periods without a request after which a volume's session at a node closes.
const SESSION_IDLE_PERIODS: u64 = 20;

/// The state of one node.
#[derive(Clone, Debug)]
pub(crate) struct Node {
    pub(crate) shard: ShardId,
    pub(crate) zone: u32,
    /// Whether the endpoint list has the node [ready](crate::NodeState::Ready).
    pub(crate) in_service: bool,
    pub(crate) health: NodeHealth,
    pub(crate) in_flight: InFlightAttempts,
    pub(crate) queue: NodeQueue,
    pub(crate) budget: PeriodBudget,
    pub(crate) admission: AdmissionHistory,
    pub(crate) delay: DelayEstimate,
    pub(crate) slow_start: TokenBucket,
}

impl Node {
    /// Creates the state of a node that appears in the endpoint list for the first time.
    pub(crate) fn new(now: Micros, entry: &EndpointEntry, settings: &Settings) -> Self {
        Self {
            shard: entry.shard,
            zone: entry.zone,
            in_service: false,
            health: NodeHealth::new(now),
            in_flight: InFlightAttempts::default(),
            queue: NodeQueue::default(),
            budget: PeriodBudget::new(now, settings),
            admission: AdmissionHistory::default(),
            delay: DelayEstimate::default(),
            slow_start: TokenBucket::new(now, entry.started_at, entry.shard, settings),
        }
    }

    /// Records the start time that the endpoint list reports. A new start resets the node's token bucket.
    pub(crate) fn on_listed_start(&mut self, now: Micros, entry: &EndpointEntry, settings: &Settings) {
        if self.health.on_listed_start(entry.started_at) {
            self.slow_start = self.slow_start.restarted(now, entry.started_at, entry.shard, settings);
        }
    }

    /// Adds a request to the node's queue.
    pub(crate) fn enqueue(&mut self, now: Micros, entry: QueueEntry, request: &Request) {
        self.queue.insert(entry, f64::from(request.units));
        self.admission.record_request(now, request.volume);
        self.budget.mark_filled();
        self.record_peak();
    }

    /// Records an attempt that starts now. A streamed request counts no units, as the node has no work before
    /// the end of its body.
    pub(crate) fn start_attempt(&mut self, key: AttemptKey, request: &Request, mean_units: f64) {
        if !request.is_streaming {
            self.in_flight.start(key, f64::from(request.units));
        }
        self.admission.record_request(key.sent_at, request.volume);
        self.record_peak();
        if self.in_flight.units() + mean_units > self.budget.limit_units() {
            self.budget.mark_filled();
        }
    }

    fn record_peak(&mut self) {
        self.budget.record_open_units(self.in_flight.units() + self.queue.units());
    }

    /// Closes the budget periods that have ended. Empty periods that are older than the idle time of sessions
    /// plus the recent periods have no effect and are skipped.
    pub(crate) fn close_periods(&mut self, now: Micros, period: Micros, mean_units: f64) {
        let idle_time = period * SESSION_IDLE_PERIODS;
        let max_history = (ADMISSION_LOOKBACK / period).max(1) as usize;
        self.budget.skip_empty_periods(now.saturating_sub(idle_time), period);
        while self.budget.period_end() <= now {
            self.admission.close_idle_sessions(self.budget.period_end(), idle_time);
            self.budget.adjust(mean_units);
            self.admission.record_period(self.budget.peak_fraction(), max_history);
            let open_units = self.in_flight.units() + self.queue.units();
            self.budget.start_next_period(period, open_units, !self.queue.is_empty());
        }
    }

    /// Returns whether a volume without an open session at this node is admitted. Reserved units are always
    /// admitted; others are unless the node is overloaded and one more session of the usual load would exceed
    /// its budget.
    pub(crate) fn admits_new_volume(&self, tier: QuotaTier) -> bool {
        tier == QuotaTier::Reserved
            || !self.budget.is_overloaded()
            || self.admission.has_capacity_for_new_session()
    }

    /// Returns the estimated time that a request would wait at the node, in microseconds: the delay shown by
    /// the node's answers, or the waiting time of its oldest attempt if that is longer.
    pub(crate) fn queueing_delay(&self, now: Micros, period: Micros, fleet: &FleetEstimate) -> f64 {
        let oldest = self.in_flight.informative(now, period).next();
        let waiting = oldest.map_or(0, |attempt| now.saturating_sub(attempt.sent_at));
        self.delay.decayed(now, fleet.delay(now)).max(waiting as f64 - fleet.expected_service_time())
    }

    /// Returns the load from this scheduler as a time in microseconds: the queueing delay plus the service
    /// time of the units in flight and queued.
    pub(crate) fn load(&self, now: Micros, period: Micros, fleet: &FleetEstimate) -> f64 {
        let open_units = self.in_flight.informative_units(now, period) + self.queue.units();
        let open_time = open_units * fleet.unit_service_time();
        self.queueing_delay(now, period, fleet) + open_time
    }

    /// Returns the number of requests of mean size that all schedulers together may send within the overload
    /// window while the node is or may be in slow start; `None` if it is not.
    pub(crate) fn slow_start_requests(&self, now: Micros, settings: &Settings) -> Option<f64> {
        let started_at = self.health.slow_start_origin(now, settings.slow_start_duration)?;
        let units = settings.slow_start_allowance(now.saturating_sub(started_at))?;
        Some(units / settings.mean_units)
    }

    /// Returns the values by which the node is ranked by load.
    pub(crate) fn rank(&self, now: Micros, settings: &Settings) -> Rank {
        let is_in_slow_start = self.slow_start_requests(now, settings).is_some();
        Rank {
            tier: HealthTier::of(self.health.is_unhealthy(), is_in_slow_start),
            delay: self.delay.value(),
            delay_updated_at: self.delay.updated_at(),
            delay_time_constant: self.delay.time_constant(),
            lasting_units: self.in_flight.lasting_units() + self.queue.units(),
        }
    }

    /// Returns whether the node has no request in flight or queued and has not answered after `since`.
    pub(crate) fn is_unused_since(&self, since: Micros) -> bool {
        self.health.last_response() <= since && self.in_flight.is_empty() && self.queue.is_empty()
    }

    /// Returns the node's status.
    pub(crate) fn status(&self, now: Micros) -> NodeStatus {
        NodeStatus {
            ready: self.in_service,
            unresponsive_since: self.health.suspected_since(),
            slow_start_since: self.health.slow_start_since(now),
            in_flight_units: self.in_flight.units(),
        }
    }
}
