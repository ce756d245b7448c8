//! The interface of the decision module: settings, events, actions and ids. Nothing here decides anything.

/// A time or a span in microseconds, on the clock of whoever calls [`crate::Scheduler::handle`].
pub type Micros = u64;

/// A request (one try of a client); never reused.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct RequestId(pub u64);

/// A storage node; stays the same when its process restarts.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct NodeId(pub u32);

/// A volume: the unit that plans, limits and sessions are about.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct VolumeId(pub u64);

/// A piece of data that is read or written.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct KeyId(pub u64);

/// The part of the pool that one node holds, and that passes to the node which replaces it.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct ShardId(pub u32);

/// Place of a class in [`Settings::classes`].
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct ClassId(pub u16);

/// Place of a plan in [`Settings::plans`].
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct PlanId(pub u16);

/// What a repeat of a request may do.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub enum Idempotency {
    /// May run any number of times.
    #[default]
    Idempotent,
    /// Carries a key; the nodes of the class's [`DeduplicationScope`] drop a repeat for its window.
    WithKey,
    /// Must never run twice.
    NotIdempotent,
}

/// The nodes that know a keyed request again.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub enum DeduplicationScope {
    /// Every node.
    #[default]
    AllNodes,
    /// Nodes of the same zone.
    Zone,
    /// The node that holds the same shard.
    Shard,
}

/// A request class.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct ClassSettings {
    /// An answer within this time earns the full worth.
    pub latency_objective: Micros,
    /// How long a client waits in all, over all its tries.
    pub deadline: Micros,
    /// Worth of a request.
    pub priority_weight: f64,
    /// Share of the worth that an answer after the aim still earns.
    pub late_weight_fraction: f64,
    /// What a repeat may do.
    pub idempotency: Idempotency,
    /// For [`Idempotency::WithKey`]: who drops repeats.
    pub deduplication_scope: DeduplicationScope,
    /// For [`Idempotency::WithKey`]: for how long after the first send that may have run.
    pub deduplication_window: Micros,
    /// Requests with one key run one by one, in order of arrival.
    pub ordered_per_key: bool,
}

/// A plan; its figures count everything done for one volume, by all hosts on all nodes.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct PlanSettings {
    /// Usual rate, units a second.
    pub usual_rate: f64,
    /// Units a second that earn full worth.
    pub reserved_rate: f64,
    /// Proportion in which volumes share what the reserves leave.
    pub shared_weight: f64,
    /// Factor on the worth of its requests.
    pub priority_factor: f64,
    /// Units a second at which the limit's store refills; 0 for no limit.
    pub rate_limit: f64,
    /// Units that the limit's store holds.
    pub burst: f64,
}

/// Rule on further attempts: at most `free` + `share` of the requests taken, in any window of `span`.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct RetryBudget {
    /// Further attempts that no request needs to earn.
    pub free_retries: f64,
    /// Further attempts that one request earns.
    pub retries_per_request: f64,
    /// Length of the window.
    pub window: Micros,
}

/// How news of nodes reaches this host.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub enum EndpointListMode {
    /// Changes come by themselves.
    #[default]
    Streamed,
    /// Changes come after [`Action::Subscribe`]; a host silent for `within` counts as told all the same.
    Polled {
        /// Longest time without a subscription or a call.
        max_interval: Micros,
    },
}

/// All that the module is told at start.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct Settings {
    /// Hosts in the deployment, this one included.
    pub schedulers: u32,
    /// This host's number among them, from 0; no two hosts have the same.
    pub scheduler_index: u32,
    /// Classes of requests.
    pub classes: Vec<ClassSettings>,
    /// Plans of volumes.
    pub plans: Vec<PlanSettings>,
    /// Units of an average request.
    pub mean_units: f64,
    /// Units of the largest request.
    pub max_units: u32,
    /// Worth of units between reserve and share, against 1 inside the reserve.
    pub shared_tier_weight: f64,
    /// Worth of units beyond reserve and share.
    pub excess_tier_weight: f64,
    /// Length of the periods for which answers tell a volume's use; 0 where they don't.
    pub usage_period: Micros,
    /// Most attempts for one request; 0 for one only.
    pub max_attempts: u32,
    /// Longest retry hint that a client heeds; 0 where clients are given none.
    pub max_retry_after: Micros,
    /// Longest wait between two calls of the host (a timer may be this late).
    pub timer_resolution: Micros,
    /// Units that a node which has just started bears within `fall_time`, from all hosts together.
    pub slow_start_units: f64,
    /// Share of its capacity at which a node starts, at the least.
    pub slow_start_fraction: f64,
    /// A node is warm after this at the latest; it warms evenly or faster.
    pub slow_start_duration: Micros,
    /// Window of the rule on cold nodes.
    pub overload_window: Micros,
    /// A cold node that is sent more than this many times what it can do within `fall_time` falls over; 0
    /// where that is not told.
    pub overload_multiple: f64,
    /// Rest of an ordered key after an attempt whose end is not sure.
    pub key_cool_down: Micros,
    /// Rule on further attempts, where there is one.
    pub retry_budget: Option<RetryBudget>,
    /// How the list of nodes is followed.
    pub endpoint_list_mode: EndpointListMode,
}

/// Why settings were refused.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum SettingsError {
    /// There must be at least one host, one class and one plan.
    Missing(&'static str),
    /// A figure is negative, not finite, or outside its range.
    OutOfRange(&'static str),
}

impl std::fmt::Display for SettingsError {
    fn fmt(&self, f: &mut std::fmt::Formatter<'_>) -> std::fmt::Result {
        match self {
            Self::Missing(what) => write!(f, "settings: {what} is missing or zero"),
            Self::OutOfRange(what) => write!(f, "settings: {what} is out of range"),
        }
    }
}

impl std::error::Error for SettingsError {}

impl Settings {
    /// Length of the design's period: half of the shortest aim.
    pub(crate) fn period(&self) -> Micros {
        (self.classes.iter().map(|c| c.latency_objective).min().unwrap_or(2) / 2).max(1)
    }

    /// Refuses settings that make no sense.
    pub fn validate(&self) -> Result<(), SettingsError> {
        let sound = |x: &f64| x.is_finite() && *x >= 0.0;
        let of_plan = |p: &PlanSettings| {
            [p.usual_rate, p.reserved_rate, p.shared_weight, p.priority_factor, p.rate_limit, p.burst]
        };
        let missing = [
            (self.schedulers == 0, "hosts"),
            (self.classes.is_empty(), "classes"),
            (
                self.classes.iter().any(|c| c.latency_objective == 0 || c.deadline == 0),
                "a class's aim or deadline",
            ),
            (self.plans.is_empty(), "plans"),
            (self.mean_units == 0.0, "mean_units"),
        ];
        let ranges = [
            (self.scheduler_index < self.schedulers, "host"),
            (sound(&self.mean_units), "mean_units"),
            (sound(&self.slow_start_units), "cold_units"),
            (sound(&self.overload_multiple), "tip_multiple"),
            (sound(&self.slow_start_fraction) && self.slow_start_fraction <= 1.0, "cold_share"),
            (sound(&self.shared_tier_weight), "share_worth"),
            (sound(&self.excess_tier_weight), "spare_worth"),
            (self.plans.iter().flat_map(of_plan).all(|x| sound(&x)), "plans"),
            (
                self.classes.iter().all(|c| sound(&c.priority_weight) && sound(&c.late_weight_fraction)),
                "classes",
            ),
            (
                self.retry_budget.is_none_or(|b| sound(&b.free_retries) && sound(&b.retries_per_request)),
                "attempt_budget",
            ),
        ];
        if let Some((_, name)) = missing.iter().find(|(bad, _)| *bad) {
            return Err(SettingsError::Missing(name));
        }
        if let Some((_, name)) = ranges.iter().find(|(good, _)| !*good) {
            return Err(SettingsError::OutOfRange(name));
        }
        Ok(())
    }
}

/// State of a node in the list.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum NodeState {
    /// In service.
    Ready,
    /// Finishes its work and takes nothing new.
    Draining,
    /// Removed.
    Removed,
}

/// One node in the list.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct EndpointEntry {
    /// The node.
    pub node: NodeId,
    /// The shard it holds.
    pub shard: ShardId,
    /// Its zone, for [`DeduplicationScope::Zone`].
    pub zone: u32,
    /// Its state.
    pub state: NodeState,
    /// When it last started, where that is known and not long ago.
    pub started_at: Option<Micros>,
}

/// What a list event holds.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum EndpointUpdateKind {
    /// Only entries that changed; also the (perhaps empty) answer to a subscription.
    Changes,
    /// The whole list, which replaces the old one.
    Snapshot,
    /// The list that the host had saved; maybe old.
    Cached,
    /// A call failed or a subscription broke; the old list stands.
    Failed,
}

/// A request that this host has taken.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Request {
    /// Its id.
    pub id: RequestId,
    /// Its class.
    pub class: ClassId,
    /// The plan of its volume.
    pub plan: PlanId,
    /// Its volume.
    pub volume: VolumeId,
    /// What it counts.
    pub units: u32,
    /// How long the client still waits for this try.
    pub time_budget: Micros,
    /// The shard that holds the data; `None` for a new object, which may go anywhere.
    pub shard: Option<ShardId>,
    /// The piece of data, where one is named.
    pub key: Option<KeyId>,
    /// Through how many hosts the volume works.
    pub schedulers: u32,
    /// The client marks this as another try.
    pub is_client_retry: bool,
    /// Its body is still coming and passes on as it does: no work for a node before the last of it.
    pub is_streaming: bool,
}

/// How an attempt ended.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum AttemptEnd {
    /// Served.
    Served,
    /// The node answered with an error; it may have run.
    Error,
    /// Turned away unseen, as the queue is full; it never ran.
    Rejected,
    /// No answer in time; it may have run or still run.
    TimedOut,
    /// No connection could be made; it never ran.
    NotConnected,
    /// The connection broke while it was out; it may have run.
    Reset,
    /// Called off; it may have run.
    Cancelled,
    /// It was never sent.
    NotSent,
}

/// The end of an attempt.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct AttemptOutcome {
    /// The request.
    pub request: RequestId,
    /// Which attempt, from 0.
    pub attempt: u32,
    /// The node.
    pub node: NodeId,
    /// How it ended.
    pub end: AttemptEnd,
    /// Nothing more is owed for the request.
    pub request_closed: bool,
    /// How long it took.
    pub latency: Micros,
    /// What the volume was served everywhere in a past meter period, in percent of its plan's rate.
    pub volume_usage_percent: Option<u32>,
    /// Units this node served the volume through other hosts since it last answered this one about it.
    pub served_elsewhere: Option<u32>,
    /// How busy the node's cores are, from 0 to 1, where it reports that.
    pub utilization: Option<f64>,
}

/// What the host tells the module.
#[derive(Clone, Debug, PartialEq)]
pub enum Event {
    /// News of nodes.
    EndpointUpdate {
        /// What it holds.
        kind: EndpointUpdateKind,
        /// The entries.
        entries: Vec<EndpointEntry>,
    },
    /// A request was taken.
    RequestArrived(Request),
    /// An attempt ended.
    AttemptEnded(AttemptOutcome),
    /// A streamed answer has begun: the request is bound to this attempt and has no deadline any more.
    StreamStarted {
        /// The request.
        request: RequestId,
    },
    /// Nobody waits for the request any more.
    ClientDisconnected {
        /// The request.
        request: RequestId,
    },
    /// The time asked for by [`Action::SetTimer`] has come.
    TimerFired {
        /// The token given then.
        token: u64,
    },
}

/// What the module asks of the host.
#[derive(Clone, Debug, PartialEq)]
pub enum Action {
    /// Pass the request to the node.
    Send {
        /// The request.
        request: RequestId,
        /// The node.
        node: NodeId,
        /// Give the attempt up after this long; `None` for as long as the client waits.
        timeout: Option<Micros>,
    },
    /// End the request unserved; the client may safely come again.
    Shed {
        /// The request.
        request: RequestId,
        /// Advice when to come again.
        retry_after: Option<Micros>,
    },
    /// End the request with an error; whether it ran is not told.
    Fail {
        /// The request.
        request: RequestId,
    },
    /// Call back with [`Event::TimerFired`] at this time.
    SetTimer {
        /// Comes back as given.
        token: u64,
        /// When.
        at: Micros,
    },
    /// Open the standing subscription to the list of nodes.
    Subscribe,
    /// A line for whoever is on call.
    Log {
        /// What happened.
        text: String,
        /// The node it happened to, where it is one's.
        node: Option<NodeId>,
    },
}

/// Entries that the module keeps, the most of its maps of each sort.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct EntryCounts {
    /// Requests that owe an answer or whose attempt is out.
    pub requests: usize,
    /// Volumes asked for within the lookback, twice that at most, or whose limit's store is not full yet.
    pub volumes: usize,
    /// Nodes that are listed, or were heard of within the lookback, twice that at most.
    pub nodes: usize,
    /// Times within the windows of rules.
    pub timestamps: usize,
}

/// How the module treats a node.
#[derive(Clone, Copy, Debug, Default, PartialEq)]
pub struct NodeStatus {
    /// It is listed as in service.
    pub ready: bool,
    /// Since when it counts as down or silent: it gets only a try now and then.
    pub unresponsive_since: Option<Micros>,
    /// Since when it is cold or may be. It is warm [`Settings::cold_time`] later at the latest.
    pub slow_start_since: Option<Micros>,
    /// Units of the attempts that are out there.
    pub in_flight_units: f64,
}

impl NodeStatus {
    /// It drains, is out, or is down or silent.
    pub fn is_avoided(&self) -> bool {
        !self.ready || self.unresponsive_since.is_some()
    }
}
