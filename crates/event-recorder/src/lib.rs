//! Keeps a scheduler's records: an [`Observer`] of the core that counts by the second and hands typed events
//! to the writer's queue. It runs on the core's thread and never waits.

mod second;

use std::collections::HashMap;
use std::path::PathBuf;
use std::time::{Duration, SystemTime, UNIX_EPOCH};

use heathward_core::observe::{self, NodeTreatment, Observation, Observer};
use heathward_core::Endpoint;
use heathward_event_log::{
    channel, Attempted, Class, Ended, Event, Failure, Folder, Kind, Lifecycle, Limits, Listed, ListedNode,
    Micros, NodeChange, Opened, Outcome, Refusal, RequestDone, Sender, Stamp, Why, Writer,
};
use heathward_policy::settings::Deployment;
use heathward_policy::{AttemptEnd, EndpointUpdateKind, Idempotency, NodeState, RequestId};
use second::Second;
use tokio::time::Instant;

/// Requests that are followed at a time, where each is recorded; others count as lost events.
const FOLLOWED: usize = 16 * 1024;

/// What is kept, where, and how much of it.
#[derive(Clone, Debug, PartialEq)]
pub struct Settings {
    /// The folder of the segments.
    pub folder: PathBuf,
    /// How much is kept.
    pub limits: Limits,
    /// Events that wait for the writer at most.
    pub waiting: usize,
    /// Whether each request is recorded with its attempts.
    pub requests: bool,
    /// For rehearsals: a clock that is wrong.
    pub clock: Clock,
}

/// Looks at both clocks at most, and how long one takes that is not held up: reports tell whole milliseconds.
const LOOKS: usize = 4;
const HELD_UP: Duration = Duration::from_micros(100);

/// The clock by which records are told, as far as it differs from the machine's. All zero in service.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct Clock {
    /// Milliseconds that it is ahead.
    pub offset_ms: i64,
    /// Milliseconds after the start at which it steps.
    pub step_after_ms: u64,
    /// By so many milliseconds.
    pub step_ms: i64,
}

impl Clock {
    /// The wall clock's time at a moment, so long after the start; that may be a while ago.
    fn wall(self, start: Instant, mono: Micros) -> Micros {
        let at = start + Duration::from_micros(mono);
        let (wall, now) = both_clocks();
        let age = now.saturating_duration_since(at).as_micros() as i64;
        let unix = wall.duration_since(UNIX_EPOCH).unwrap_or_default().as_micros() as i64 - age;
        let stepped = if mono >= self.step_after_ms * 1000 { self.step_ms } else { 0 };
        u64::try_from(unix + (self.offset_ms + stepped) * 1000).unwrap_or(0)
    }
}

/// The wall clock and the monotonic one in the same moment: of some looks the first that was not held up
/// between the two, or the last.
fn both_clocks() -> (SystemTime, Instant) {
    let look = || {
        let before = Instant::now();
        (SystemTime::now(), before)
    };
    let sound = |(_, before): &(SystemTime, Instant)| before.elapsed() < HELD_UP;
    (1..LOOKS).map(|_| look()).find(sound).unwrap_or_else(look)
}

/// Keeps records while it lives; its last are written as it is dropped.
pub struct Recorder {
    sender: Sender,
    clock: Clock,
    start: Instant,
    second: Second,
    /// Requests that have no end yet, where each is recorded.
    followed: Option<HashMap<RequestId, RequestDone>>,
}

impl Recorder {
    /// Starts to keep records of the scheduler of that name, and the writer, whose end comes after the
    /// recorder's. `boot` tells this run from all others.
    ///
    /// # Errors
    /// The system's, where it has no thread to spare.
    pub fn start(
        settings: &Settings,
        name: &str,
        boot: u64,
        deployment: &Deployment,
    ) -> std::io::Result<(Self, Writer)> {
        let (sender, waiting) = channel(settings.waiting);
        let opened = opened(settings, name, boot, deployment);
        let writer = Writer::start(Folder(settings.folder.clone()), waiting, opened, settings.limits)?;
        Ok((Self::new(sender, settings.clock, settings.requests), writer))
    }

    /// One that hands its events to a sender of the caller's.
    pub fn new(sender: Sender, clock: Clock, requests: bool) -> Self {
        let followed = requests.then(HashMap::new);
        let mut new = Self { sender, clock, start: Instant::now(), second: Second::default(), followed };
        new.put(0, Event::Lifecycle(Lifecycle::Started));
        new
    }

    fn mono(&self, at: Instant) -> Micros {
        at.saturating_duration_since(self.start).as_micros() as Micros
    }

    fn put(&mut self, mono: Micros, event: Event) {
        let wall = self.clock.wall(self.start, mono);
        self.sender.put(Stamp { wall, mono }, event);
    }

    /// Tells of the second that is over, if one is.
    fn roll(&mut self, mono: Micros) {
        if self.second.over(mono) {
            self.tell_second(mono);
        }
    }

    fn tell_second(&mut self, mono: Micros) {
        let events = self.second.close(mono);
        events.into_iter().for_each(|event| self.put(mono, event));
    }

    fn lifecycle(&mut self, mono: Micros, step: Lifecycle) {
        self.put(mono, Event::Lifecycle(step));
    }

    /// A list, in as many events of one version as it takes to fit each into a frame.
    fn endpoint_update(&mut self, mono: Micros, revision: u64, kind: Kind, endpoints: &[Endpoint]) {
        if endpoints.is_empty() {
            self.put(mono, Event::Listed(Listed { revision, kind, nodes: Vec::new() }));
        }
        for some in endpoints.chunks(LISTED_AT_ONCE) {
            let nodes = some.iter().map(listed_node).collect();
            self.put(mono, Event::Listed(Listed { revision, kind, nodes }));
        }
    }

    fn attempt_sent(&mut self, mono: Micros, request: RequestId, node: &str, slow_start_units: u32) {
        self.second.sent(node, slow_start_units);
        if let Some(done) = self.followed.as_mut().and_then(|f| f.get_mut(&request)) {
            done.attempts.push(Attempted { node: node.to_owned(), sent: mono, ended: None });
        }
    }

    fn attempt_ended(&mut self, mono: Micros, request: RequestId, node: &str, end: AttemptEnd) {
        self.second.ended(node, ended(end));
        let done = self.followed.as_mut().and_then(|f| f.get_mut(&request));
        let last = done.and_then(|done| done.attempts.last_mut());
        // One that was never sent is no attempt.
        if let Some(last) = last.filter(|_| end != AttemptEnd::NotSent) {
            last.ended = Some((mono, ended(end)));
        }
    }

    fn request_ended(&mut self, mono: Micros, request: RequestId, outcome: Outcome) {
        if let Some(mut done) = self.followed.as_mut().and_then(|f| f.remove(&request)) {
            (done.answered, done.outcome) = (mono, outcome);
            self.put(mono, Event::Request(done));
        }
    }

    fn follow(&mut self, mono: Micros, request: RequestId, begun: impl FnOnce() -> RequestDone) {
        let Some(followed) = &mut self.followed else { return };
        if followed.len() < FOLLOWED {
            followed.insert(request, begun());
        } else {
            let wall = self.clock.wall(self.start, mono);
            self.sender.lose(Stamp { wall, mono });
        }
    }
}

/// Who writes, and by which settings.
fn opened(settings: &Settings, name: &str, boot: u64, deployment: &Deployment) -> Opened {
    let of_module = &deployment.settings;
    let class = |(name, class): (&String, &heathward_policy::ClassSettings)| Class {
        name: name.clone(),
        aim: class.latency_objective,
        deadline: class.deadline,
        window: if class.idempotency == Idempotency::WithKey { class.deduplication_window } else { 0 },
    };
    Opened {
        scheduler: name.to_owned(),
        boot,
        segment: 0,
        version: env!("CARGO_PKG_VERSION").to_owned(),
        pid: std::process::id(),
        classes: deployment.class_names.iter().zip(&of_module.classes).map(class).collect(),
        plans: deployment.plan_names.clone(),
        cold_units: of_module.slow_start_units,
        cold_share: of_module.slow_start_fraction,
        cold_time: of_module.slow_start_duration,
        fall_time: of_module.overload_window,
        requests: settings.requests,
    }
}

impl Observer for Recorder {
    fn observe(&mut self, at: Instant, note: Observation<'_>) {
        let mono = self.mono(at);
        self.roll(mono);
        match note {
            Observation::TimePassed => {}
            Observation::EndpointsUpdated { revision, kind, endpoints } => {
                self.endpoint_update(mono, revision, list_kind(kind), endpoints);
            }
            Observation::NodeTreatmentChanged { node, treatment, cause } => {
                let change =
                    NodeChange { node: node.to_owned(), state: state(treatment), why: reason(cause) };
                self.put(mono, Event::Node(change));
            }
            Observation::RequestReceived { request, class, plan, volume, units } => {
                self.second.class(class.0).taken += 1;
                self.follow(mono, request, || RequestDone {
                    request: request.0,
                    class: class.0,
                    plan: plan.0,
                    volume: volume.0,
                    units,
                    arrived: mono,
                    answered: mono,
                    outcome: Outcome::Gone,
                    attempts: Vec::new(),
                });
            }
            Observation::AttemptSent { request, node, slow_start_units } => {
                self.attempt_sent(mono, request, node, slow_start_units);
            }
            Observation::AttemptEnded { request, node, end } => self.attempt_ended(mono, request, node, end),
            Observation::RequestEnded { request, class, outcome, latency } => {
                let outcome = outcome_of(outcome);
                self.second.answered(class.0, outcome, latency);
                self.request_ended(mono, request, outcome);
            }
            Observation::ConfigurationReloaded(accepted) => {
                self.lifecycle(mono, Lifecycle::Reloaded(accepted));
            }
            Observation::ShuttingDown => self.lifecycle(mono, Lifecycle::Ending),
            Observation::HandedOver => self.lifecycle(mono, Lifecycle::HandedOver),
            Observation::TookOver => self.lifecycle(mono, Lifecycle::TookOver),
            Observation::PauseChanged(true) => self.lifecycle(mono, Lifecycle::Paused),
            Observation::PauseChanged(false) => self.lifecycle(mono, Lifecycle::Resumed),
            Observation::LeaseChanged(Some(silence)) => {
                self.lifecycle(mono, Lifecycle::Stopped(silence.as_micros() as Micros));
            }
            Observation::LeaseChanged(None) => self.lifecycle(mono, Lifecycle::WentOn),
        }
    }

    fn settings_changed(&mut self, deployment: &Deployment) {
        self.second.aims = deployment.settings.classes.iter().map(|class| class.latency_objective).collect();
    }
}

impl Drop for Recorder {
    fn drop(&mut self) {
        let mono = self.mono(Instant::now());
        self.tell_second(mono);
        self.put(mono, Event::Lifecycle(Lifecycle::Ended));
    }
}

/// Nodes of a list in one event: with ids of 128 bytes they fit a frame.
const LISTED_AT_ONCE: usize = 256;

fn listed_node(endpoint: &Endpoint) -> ListedNode {
    ListedNode {
        node: endpoint.id.to_string(),
        shard: endpoint.shard.0,
        state: listed(endpoint.state),
        started: endpoint.started_at,
    }
}

fn listed(state: NodeState) -> heathward_event_log::NodeState {
    match state {
        NodeState::Ready => heathward_event_log::NodeState::InService,
        NodeState::Draining => heathward_event_log::NodeState::Draining,
        NodeState::Removed => heathward_event_log::NodeState::Gone,
    }
}

fn list_kind(kind: EndpointUpdateKind) -> Kind {
    match kind {
        EndpointUpdateKind::Changes => Kind::Changes,
        EndpointUpdateKind::Snapshot => Kind::Whole,
        EndpointUpdateKind::Cached => Kind::Saved,
        EndpointUpdateKind::Failed => Kind::Failed,
    }
}

fn state(treated: NodeTreatment) -> heathward_event_log::NodeState {
    match treated {
        NodeTreatment::InService => heathward_event_log::NodeState::InService,
        NodeTreatment::SlowStart(since) => heathward_event_log::NodeState::Cold(since),
        NodeTreatment::Unresponsive => heathward_event_log::NodeState::Silent,
        NodeTreatment::Suspended => heathward_event_log::NodeState::Suspended,
        NodeTreatment::Draining => heathward_event_log::NodeState::Draining,
        NodeTreatment::Removed => heathward_event_log::NodeState::Gone,
    }
}

fn reason(why: observe::TreatmentCause) -> Why {
    match why {
        observe::TreatmentCause::EndpointUpdate(revision) => Why::List(revision),
        observe::TreatmentCause::Command => Why::Order,
        observe::TreatmentCause::Handover => Why::Handover,
        observe::TreatmentCause::AttemptEnded(end) => Why::Attempt(ended(end)),
        observe::TreatmentCause::TimePassed => Why::Time,
    }
}

fn ended(end: AttemptEnd) -> Ended {
    match end {
        AttemptEnd::Served => Ended::Served,
        AttemptEnd::Error => Ended::Error,
        AttemptEnd::Rejected => Ended::Full,
        AttemptEnd::TimedOut => Ended::TimedOut,
        AttemptEnd::NotConnected => Ended::NotConnected,
        AttemptEnd::Reset => Ended::Reset,
        AttemptEnd::Cancelled => Ended::Cancelled,
        AttemptEnd::NotSent => Ended::NotSent,
    }
}

fn outcome_of(outcome: observe::RequestOutcome) -> Outcome {
    match outcome {
        observe::RequestOutcome::Served => Outcome::Served,
        observe::RequestOutcome::Shed { last_attempt_end: None, on_arrival: true } => {
            Outcome::Refused(Refusal::NotAdmitted)
        }
        observe::RequestOutcome::Shed { last_attempt_end: None, on_arrival: false } => {
            Outcome::Refused(Refusal::GivenUp)
        }
        observe::RequestOutcome::Shed { last_attempt_end: Some(AttemptEnd::Rejected), .. } => {
            Outcome::Refused(Refusal::TurnedAway)
        }
        observe::RequestOutcome::Shed { last_attempt_end: Some(AttemptEnd::NotConnected), .. } => {
            Outcome::Refused(Refusal::NotConnected)
        }
        observe::RequestOutcome::Shed { last_attempt_end: Some(_), .. } => Outcome::Refused(Refusal::Lost),
        observe::RequestOutcome::Failed { possibly_executed: false, deadline_passed: true } => {
            Outcome::Failed(Failure::Late)
        }
        observe::RequestOutcome::Failed { possibly_executed: true, deadline_passed: true } => {
            Outcome::Failed(Failure::LateMayHaveRun)
        }
        observe::RequestOutcome::Failed { possibly_executed: true, deadline_passed: false } => {
            Outcome::Failed(Failure::MayHaveRun)
        }
        observe::RequestOutcome::Failed { possibly_executed: false, deadline_passed: false } => {
            Outcome::Failed(Failure::Other)
        }
        observe::RequestOutcome::ClientDisconnected => Outcome::Gone,
    }
}

/// How long the end of the program waits for what is still to be written.
pub const LAST_WRITES: Duration = Duration::from_millis(100);
