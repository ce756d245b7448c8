//! Records that `src/choice.rs` keeps; nothing here decides anything.

use std::collections::{BTreeMap, BTreeSet, VecDeque};

use crate::api::{Micros, NodeId, NodeStatus, Request, RequestId, ShardId, VolumeId};
use crate::slow_start::TokenBucket;
use crate::volume::QuotaTier;

/// A start that the list has not told of after this time was none, microseconds.
pub(crate) const UNANNOUNCED_START_LIFETIME: Micros = 6_000_000;

/// Where a request is on its way.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum RequestState {
    /// Waits for its key's turn.
    WaitingForKey,
    /// Held; the place says for which node, `None` for a new object.
    Queued(Option<NodeId>),
    /// An attempt is out.
    InFlight,
    /// Answered; only attempts are awaited.
    Answered,
}

#[derive(Clone, Debug)]
pub(crate) struct TrackedRequest {
    pub(crate) request: Request,
    pub(crate) due: Micros,
    pub(crate) deadline: Micros,
    pub(crate) quota_tier: QuotaTier,
    /// Worth of a unit against the dearest there can be, from 0 to 1, flattened by a root.
    pub(crate) priority: f64,
    pub(crate) state: RequestState,
    pub(crate) attempts_sent: u32,
    /// Attempts out: number, node, time.
    pub(crate) in_flight: Vec<(u32, NodeId, Micros)>,
    /// First attempt that may have run: its node and time.
    pub(crate) possibly_executed: Option<(NodeId, Micros)>,
    /// Drawn once, from 0 to 1: its place among requests alike at other hosts.
    pub(crate) admission_draw: f64,
}

impl TrackedRequest {
    /// Units that it holds at a node while an attempt of it is out.
    pub(crate) fn node_units(&self) -> f64 {
        if self.request.is_streaming {
            0.0
        } else {
            f64::from(self.request.units)
        }
    }

    pub(crate) fn new(
        request: Request,
        due: Micros,
        deadline: Micros,
        portion: QuotaTier,
        level: f64,
        luck: f64,
    ) -> Self {
        let stage = RequestState::Queued(None);
        let (sends, out, ran) = (0, vec![], None);
        Self {
            request,
            due,
            deadline,
            quota_tier: portion,
            priority: level,
            state: stage,
            attempts_sent: sends,
            in_flight: out,
            possibly_executed: ran,
            admission_draw: luck,
        }
    }
}

/// What is held beside the nodes' own queues.
#[derive(Clone, Debug, Default)]
pub(crate) struct QueuedRequests {
    /// New objects held for any node, by due time.
    pub(crate) unsharded: BTreeSet<(Micros, RequestId)>,
    /// Nodes that requests are held for.
    pub(crate) nodes_with_queue: BTreeSet<NodeId>,
    /// When all that is held is looked at next.
    pub(crate) next_scan: Micros,
}

/// What this host knows of a node.
#[derive(Clone, Debug, Default)]
pub(crate) struct Node {
    pub(crate) shard: ShardId,
    pub(crate) zone: u32,
    pub(crate) ready: bool,
    /// When it started, as listed; it is warm one cold time later.
    pub(crate) started_at: Option<Micros>,
    /// The same as guessed, from an answer after it was down or silent.
    pub(crate) presumed_start: Option<Micros>,
    /// Its process was seen down or silent, so that it may be cold when it answers.
    pub(crate) suspected_since: Option<Micros>,
    pub(crate) last_response: Micros,
    /// Attempts that were lost since then: timed out, reset, not connected.
    pub(crate) unanswered: u32,
    /// Errors in a row.
    pub(crate) consecutive_errors: u32,
    /// Latest send that it has answered.
    pub(crate) latest_answered_send: Micros,
    pub(crate) budget: f64,
    /// Attempts out there, by send time, with their units.
    pub(crate) in_flight: BTreeMap<(Micros, RequestId, u32), f64>,
    pub(crate) in_flight_units: f64,
    pub(crate) queued: BTreeSet<(Micros, RequestId)>,
    pub(crate) queued_units: f64,
    /// This period: most open units, units served, whether the budget was filled, answers late and in aim.
    pub(crate) period_end: Micros,
    pub(crate) peak_units: f64,
    pub(crate) served_units: f64,
    pub(crate) budget_filled: bool,
    pub(crate) late_answers: u32,
    pub(crate) timely_answers: u32,
    pub(crate) recent_served_units: VecDeque<f64>,
    /// The last period was filled and its answers ran past aim.
    pub(crate) overloaded: bool,
    pub(crate) sessions: BTreeMap<VolumeId, Micros>,
    pub(crate) rates: VecDeque<f64>,
    pub(crate) rate_sum: f64,
    pub(crate) delay: f64,
    pub(crate) delay_updated_at: Micros,
    /// Usual time between news of its wait.
    pub(crate) delay_interval: f64,
    /// What this host may send it while it is or may be cold.
    pub(crate) slow_start: TokenBucket,
}

impl Node {
    /// Since when it may be cold: as listed, as guessed, or right now where it has not been heard since.
    pub(crate) fn slow_start_since(&self, now: Micros) -> Option<Micros> {
        let guess = self.presumed_start.filter(|at| now.saturating_sub(*at) < UNANNOUNCED_START_LIFETIME);
        self.started_at.max(guess).max(self.suspected_since.map(|_| now))
    }

    /// Holds a request, by its due time.
    pub(crate) fn enqueue(&mut self, now: Micros, place: (Micros, RequestId), request: &Request) {
        self.queued.insert(place);
        self.sessions.insert(request.volume, now);
        self.queued_units += f64::from(request.units);
        self.budget_filled = true;
        self.peak_units = self.peak_units.max(self.in_flight_units + self.queued_units);
    }

    /// Holds a request no longer; says whether none is left.
    pub(crate) fn dequeue(&mut self, place: (Micros, RequestId), request: &Request) -> bool {
        if self.queued.remove(&place) {
            self.queued_units = (self.queued_units - f64::from(request.units)).max(0.0);
        }
        self.queued.is_empty()
    }

    /// Units held, and of attempts out that no later one overtook: they stay until the node's next event.
    pub(crate) fn lasting_open_units(&self) -> f64 {
        let out = self.in_flight.range((self.latest_answered_send + 1, RequestId(0), 0)..);
        out.map(|(_, units)| units).sum::<f64>() + self.queued_units
    }

    pub(crate) fn status(&self, now: Micros) -> NodeStatus {
        let cold_since = self.slow_start_since(now);
        NodeStatus {
            ready: self.ready,
            unresponsive_since: self.suspected_since,
            slow_start_since: cold_since,
            in_flight_units: self.in_flight_units,
        }
    }
}
