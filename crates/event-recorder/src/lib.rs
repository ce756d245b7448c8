//! Records events of a scheduler: an [`Observer`] of the core that counts requests and attempts by the
//! second and sends typed events to the event log. It runs on the core's task and never blocks.

mod convert;
mod second;

use std::collections::HashMap;
use std::path::PathBuf;
use std::time::{Duration, SystemTime, UNIX_EPOCH};

use heathward_core::observe::{Observation, Observer};
use heathward_core::Endpoint;
use heathward_event_log::{
    event_channel, AttemptRecord, ClassInfo, EndpointUpdate, EndpointUpdateKind, Event, EventSender, Folder,
    Lifecycle, Micros, NodeStateChange, RequestOutcome, RequestRecord, SegmentOpened, StorageLimits,
    Timestamp, Writer,
};
use heathward_policy::settings::Deployment;
use heathward_policy::{AttemptEnd, ClassSettings, Idempotency, RequestId};
use second::SecondCounts;
use tokio::time::Instant;

/// How long the program waits at its end for the recorder's last events to be written.
pub const FINAL_WRITE_TIMEOUT: Duration = Duration::from_millis(100);

/// The largest number of requests that are tracked at a time, if each request is recorded; each further one
/// counts as a lost event.
const MAX_TRACKED_REQUESTS: usize = 16 * 1024;
/// The largest number of nodes in one event of an endpoint update: with ids of 128 bytes, this many fit
/// into a frame.
const ENDPOINTS_PER_EVENT: usize = 256;
/// The largest number of times that both clocks are read to get a reading that was not interrupted.
const MAX_CLOCK_READS: usize = 4;
/// A reading of both clocks counts as uninterrupted if it took less than this, which is well below the 1 ms
/// resolution of reports.
const MAX_UNINTERRUPTED_READ: Duration = Duration::from_micros(100);

/// Settings of the recorder: what is recorded, where, and how much of it is kept.
#[derive(Clone, Debug, PartialEq)]
pub struct RecorderSettings {
    /// Folder of the event log's segments.
    pub folder: PathBuf,
    /// Limits of the segments that are kept.
    pub limits: StorageLimits,
    /// Capacity of the queue to the writer thread, in events.
    pub queue_capacity: usize,
    /// Whether each request is recorded with its attempts.
    pub records_requests: bool,
    /// Deliberate error of the recorded wall clock, for rehearsals.
    pub clock_skew: ClockSkew,
}

/// Difference between the recorded wall clock and that of the machine; all zero in production.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct ClockSkew {
    /// Milliseconds by which the recorded clock is ahead from the start.
    pub offset_ms: i64,
    /// Milliseconds after the start at which the recorded clock steps.
    pub step_after_ms: u64,
    /// Milliseconds by which the recorded clock steps forward then.
    pub step_ms: i64,
}

impl ClockSkew {
    /// Returns the skewed wall clock, in microseconds of Unix time, at the instant `monotonic` microseconds
    /// after `start`. The instant may be in the past.
    fn wall_clock(self, start: Instant, monotonic: Micros) -> Micros {
        let instant = start + Duration::from_micros(monotonic);
        let (wall_clock, now) = read_both_clocks();
        let age = now.saturating_duration_since(instant).as_micros() as i64;
        let unix = wall_clock.duration_since(UNIX_EPOCH).unwrap_or_default().as_micros() as i64 - age;
        let step_ms = if monotonic >= self.step_after_ms * 1000 { self.step_ms } else { 0 };
        u64::try_from(unix + (self.offset_ms + step_ms) * 1000).unwrap_or(0)
    }
}

/// Returns the wall clock and the monotonic clock at the same instant: the first reading that was not
/// interrupted, or else the last.
fn read_both_clocks() -> (SystemTime, Instant) {
    let read = || {
        let before = Instant::now();
        (SystemTime::now(), before)
    };
    let uninterrupted = |(_, before): &(SystemTime, Instant)| before.elapsed() < MAX_UNINTERRUPTED_READ;
    (1..MAX_CLOCK_READS).map(|_| read()).find(uninterrupted).unwrap_or_else(read)
}

/// An observer of the core that records events. When it is dropped, it sends its last events.
pub struct Recorder {
    sender: EventSender,
    clock_skew: ClockSkew,
    start: Instant,
    current_second: SecondCounts,
    /// Requests that have not ended or whose attempt is in flight; `None` unless each request is recorded.
    tracked_requests: Option<HashMap<RequestId, TrackedRequest>>,
}

/// A request that is recorded once it and its attempts have ended.
struct TrackedRequest {
    record: RequestRecord,
    has_ended: bool,
}

impl TrackedRequest {
    /// Returns whether an attempt is in flight. Only the last attempt can be, as a request has at most one
    /// in flight.
    fn is_attempt_in_flight(&self) -> bool {
        self.record.attempts.last().is_some_and(|attempt| attempt.end.is_none())
    }
}

impl Recorder {
    /// Starts to record for the scheduler `name`, with a writer thread that ends after the recorder is
    /// dropped. `boot_id` is a random number that distinguishes this run of the scheduler from others.
    ///
    /// # Errors
    ///
    /// The operating system's error if the writer thread can't be started.
    pub fn start(
        settings: &RecorderSettings,
        name: &str,
        boot_id: u64,
        deployment: &Deployment,
    ) -> std::io::Result<(Self, Writer)> {
        let (sender, events) = event_channel(settings.queue_capacity);
        let opened = segment_opened(settings, name, boot_id, deployment);
        let writer = Writer::start(Folder(settings.folder.clone()), events, opened, settings.limits)?;
        Ok((Self::new(sender, settings.clock_skew, settings.records_requests), writer))
    }

    /// Creates a recorder that sends its events to `sender`, beginning with [`Lifecycle::Started`].
    pub fn new(sender: EventSender, clock_skew: ClockSkew, records_requests: bool) -> Self {
        let tracked_requests = records_requests.then(HashMap::new);
        let (start, current_second) = (Instant::now(), SecondCounts::default());
        let mut recorder = Self { sender, clock_skew, start, current_second, tracked_requests };
        recorder.send_lifecycle(0, Lifecycle::Started);
        recorder
    }

    /// Returns the time from the start of the recorder to `at`, in microseconds.
    fn monotonic_micros(&self, at: Instant) -> Micros {
        at.saturating_duration_since(self.start).as_micros() as Micros
    }

    fn send(&mut self, monotonic: Micros, event: Event) {
        let wall_clock = self.clock_skew.wall_clock(self.start, monotonic);
        self.sender.send(Timestamp { wall_clock, monotonic }, event);
    }

    /// Sends the counts of the current second if it has passed.
    fn send_second_if_passed(&mut self, monotonic: Micros) {
        if self.current_second.has_passed(monotonic) {
            self.send_second(monotonic);
        }
    }

    fn send_second(&mut self, monotonic: Micros) {
        let events = self.current_second.close(monotonic);
        events.into_iter().for_each(|event| self.send(monotonic, event));
    }

    fn send_lifecycle(&mut self, monotonic: Micros, lifecycle: Lifecycle) {
        self.send(monotonic, Event::Lifecycle(lifecycle));
    }

    /// Sends an endpoint update, split into events that each fit into a frame.
    fn send_endpoint_update(
        &mut self,
        monotonic: Micros,
        revision: u64,
        kind: EndpointUpdateKind,
        endpoints: &[Endpoint],
    ) {
        if endpoints.is_empty() {
            let update = EndpointUpdate { revision, kind, nodes: Vec::new() };
            self.send(monotonic, Event::EndpointUpdate(update));
        }
        for chunk in endpoints.chunks(ENDPOINTS_PER_EVENT) {
            let nodes = chunk.iter().map(convert::listed_endpoint).collect();
            self.send(monotonic, Event::EndpointUpdate(EndpointUpdate { revision, kind, nodes }));
        }
    }

    /// Starts to track a request until it ends, if each request is recorded.
    fn request_received(
        &mut self,
        monotonic: Micros,
        request: RequestId,
        build_record: impl FnOnce() -> RequestRecord,
    ) {
        let Some(tracked_requests) = &mut self.tracked_requests else { return };
        if tracked_requests.len() < MAX_TRACKED_REQUESTS {
            tracked_requests.insert(request, TrackedRequest { record: build_record(), has_ended: false });
        } else {
            let wall_clock = self.clock_skew.wall_clock(self.start, monotonic);
            self.sender.record_loss(Timestamp { wall_clock, monotonic });
        }
    }

    fn attempt_sent(&mut self, monotonic: Micros, request: RequestId, node: &str, slow_start_units: u32) {
        self.current_second.count_attempt_sent(node, slow_start_units);
        if let Some(tracked) = self.tracked_request(request) {
            let attempt = AttemptRecord { node: node.to_owned(), sent_at: monotonic, end: None };
            tracked.record.attempts.push(attempt);
        }
    }

    fn attempt_ended(&mut self, monotonic: Micros, request: RequestId, node: &str, end: AttemptEnd) {
        let end = convert::attempt_end(end);
        self.current_second.count_attempt_end(node, end);
        let Some(tracked) = self.tracked_request(request) else { return };
        if let Some(last) = tracked.record.attempts.last_mut() {
            last.end = Some((monotonic, end));
        }
        if tracked.has_ended {
            self.send_request(monotonic, request);
        }
    }

    /// Records the end of a request. If an attempt is in flight, the request is sent only after the end of
    /// that attempt.
    fn request_ended(&mut self, monotonic: Micros, request: RequestId, outcome: RequestOutcome) {
        let Some(tracked) = self.tracked_request(request) else { return };
        (tracked.record.ended_at, tracked.record.outcome) = (monotonic, outcome);
        tracked.has_ended = true;
        if !tracked.is_attempt_in_flight() {
            self.send_request(monotonic, request);
        }
    }

    fn send_request(&mut self, monotonic: Micros, request: RequestId) {
        let tracked = self.tracked_requests.as_mut().and_then(|requests| requests.remove(&request));
        if let Some(tracked) = tracked {
            self.send(monotonic, Event::RequestEnded(tracked.record));
        }
    }

    /// Sends the requests that have ended but whose last attempt is in flight, without the end of that
    /// attempt.
    fn send_ended_requests(&mut self, monotonic: Micros) {
        let tracked = self.tracked_requests.take().unwrap_or_default();
        let ended = tracked.into_values().filter(|request| request.has_ended);
        let mut records: Vec<RequestRecord> = ended.map(|request| request.record).collect();
        records.sort_unstable_by_key(|record| record.ended_at);
        for record in records {
            self.send(monotonic, Event::RequestEnded(record));
        }
    }

    fn tracked_request(&mut self, request: RequestId) -> Option<&mut TrackedRequest> {
        self.tracked_requests.as_mut()?.get_mut(&request)
    }
}

/// Builds the first event of each segment.
fn segment_opened(
    settings: &RecorderSettings,
    name: &str,
    boot_id: u64,
    deployment: &Deployment,
) -> SegmentOpened {
    let policy = &deployment.settings;
    let class = |(name, class): (&String, &ClassSettings)| {
        let with_key = class.idempotency == Idempotency::WithKey;
        ClassInfo {
            name: name.clone(),
            latency_objective: class.latency_objective,
            deadline: class.deadline,
            deduplication_window: if with_key { class.deduplication_window } else { 0 },
        }
    };
    SegmentOpened {
        scheduler: name.to_owned(),
        boot: boot_id,
        segment: 0,
        version: env!("CARGO_PKG_VERSION").to_owned(),
        pid: std::process::id(),
        classes: deployment.class_names.iter().zip(&policy.classes).map(class).collect(),
        plans: deployment.plan_names.clone(),
        slow_start_units: policy.slow_start_units,
        slow_start_fraction: policy.slow_start_fraction,
        slow_start_duration: policy.slow_start_duration,
        overload_window: policy.overload_window,
        records_requests: settings.records_requests,
    }
}

impl Observer for Recorder {
    fn observe(&mut self, at: Instant, observation: Observation<'_>) {
        let monotonic = self.monotonic_micros(at);
        self.send_second_if_passed(monotonic);
        match observation {
            Observation::TimePassed => {}
            Observation::EndpointsUpdated { revision, kind, endpoints } => {
                let kind = convert::endpoint_update_kind(kind);
                self.send_endpoint_update(monotonic, revision, kind, endpoints);
            }
            Observation::NodeTreatmentChanged { node, treatment, cause } => {
                let (state, cause) = (convert::node_state(treatment), convert::state_change_cause(cause));
                let change = NodeStateChange { node: node.to_owned(), state, cause };
                self.send(monotonic, Event::NodeStateChanged(change));
            }
            Observation::RequestReceived { request, class, plan, volume, units } => {
                self.current_second.class_second(class.0).received += 1;
                self.request_received(monotonic, request, || RequestRecord {
                    request: request.0,
                    class: class.0,
                    plan: plan.0,
                    volume: volume.0,
                    units,
                    arrived_at: monotonic,
                    ended_at: monotonic,
                    outcome: RequestOutcome::ClientDisconnected,
                    attempts: Vec::new(),
                });
            }
            Observation::AttemptSent { request, node, slow_start_units } => {
                self.attempt_sent(monotonic, request, node, slow_start_units);
            }
            Observation::AttemptNotSent { node, .. } => self.current_second.count_attempt_not_sent(node),
            Observation::AttemptEnded { request, node, end } => {
                self.attempt_ended(monotonic, request, node, end);
            }
            Observation::RequestEnded { request, class, outcome, latency } => {
                let outcome = convert::request_outcome(outcome);
                self.current_second.count_request_end(class.0, outcome, latency);
                self.request_ended(monotonic, request, outcome);
            }
            Observation::ConfigurationReloaded { applied } => {
                self.send_lifecycle(monotonic, Lifecycle::Reloaded(applied));
            }
            Observation::ShuttingDown => self.send_lifecycle(monotonic, Lifecycle::ShuttingDown),
            Observation::HandedOver => self.send_lifecycle(monotonic, Lifecycle::HandedOver),
            Observation::TookOver => self.send_lifecycle(monotonic, Lifecycle::TookOver),
            Observation::PauseChanged { paused: true } => self.send_lifecycle(monotonic, Lifecycle::Paused),
            Observation::PauseChanged { paused: false } => self.send_lifecycle(monotonic, Lifecycle::Resumed),
            Observation::LeaseExpired { silence } => {
                self.send_lifecycle(monotonic, Lifecycle::LeaseExpired(silence.as_micros() as Micros));
            }
            Observation::LeaseRenewed => self.send_lifecycle(monotonic, Lifecycle::LeaseRenewed),
        }
    }

    fn settings_changed(&mut self, deployment: &Deployment) {
        let classes = &deployment.settings.classes;
        self.current_second.latency_objectives =
            classes.iter().map(|class| class.latency_objective).collect();
    }
}

impl Drop for Recorder {
    fn drop(&mut self) {
        let monotonic = self.monotonic_micros(Instant::now());
        self.send_ended_requests(monotonic);
        self.send_second(monotonic);
        self.send_lifecycle(monotonic, Lifecycle::Stopped);
    }
}
