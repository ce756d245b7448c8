//! Drains of nodes in a complete fleet, in virtual time: 350 schedulers and 600 nodes, with updates that
//! arrive late, in any order, or not at all, schedulers that start with an old list, moves of discovery,
//! and connections that open late.
#![cfg(test)]

use std::sync::{Arc, Mutex};
use std::time::Duration;

use bytes::Bytes;
use fastrand::Rng;
use heathward_core::{
    report_attempt_end, start_core, Answer, Attempt, ClientRequest, CoreHandle, CoreMessage, Endpoint,
    EndpointUpdate, NodeReply, NodeRequest,
};
use heathward_policy::{AttemptEnd, EndpointUpdateKind, Micros, NodeState, VolumeId};
use rstest::rstest;
use tokio::sync::mpsc;
use tokio::time::{sleep, sleep_until, Instant};
use tower::Service;

mod common;

use common::{deployment, endpoint, read_request};

const SCHEDULERS: u32 = 350;
const NODES: u32 = 600;
/// Number of nodes that start draining at the same time.
const BATCH_SIZE: u32 = 12;
const BATCHES: u32 = 16;
/// Nodes from this number on never drain.
const FIRST_NODE_WITHOUT_DRAIN: u32 = BATCH_SIZE * BATCHES;
const DRAIN_GRACE: Duration = Duration::from_millis(250);
const RUN_DURATION: Duration = Duration::from_secs(18);
/// The longest delay before a watch message is read; a message queued behind it is delayed by up to twice
/// that, which is less than the grace period.
const MAX_READ_DELAY: Duration = Duration::from_millis(100);

/// The schedule of the fleet's drains. In revision 1 of the endpoint list no node drains, and each batch adds
/// one revision.
struct DrainSchedule {
    start: Instant,
    /// When each batch of nodes starts draining, in order.
    drains: Vec<Instant>,
}

impl DrainSchedule {
    fn draw(rng: &mut Rng, start: Instant) -> Self {
        let mut drains: Vec<_> =
            (0..BATCHES).map(|_| start + RUN_DURATION.mul_f64(0.9 * rng.f64())).collect();
        drains.sort();
        Self { start, drains }
    }

    fn state(node: u32, batches: usize) -> NodeState {
        if ((node / BATCH_SIZE) as usize) < batches {
            NodeState::Draining
        } else {
            NodeState::Ready
        }
    }

    /// Returns the list after `batches` batches: complete, or only the changes since the list after
    /// `base_batches`.
    fn update(batches: usize, base_batches: Option<usize>) -> EndpointUpdate {
        let is_changed = |node: &u32| base_batches.is_none_or(|base| (*node / BATCH_SIZE) as usize >= base);
        let is_drained = |node: &u32| *node < batches as u32 * BATCH_SIZE;
        let nodes = (0..NODES).filter(is_changed).filter(|node| base_batches.is_none() || is_drained(node));
        let kind =
            if base_batches.is_some() { EndpointUpdateKind::Changes } else { EndpointUpdateKind::Snapshot };
        let endpoints = nodes.map(|node| endpoint(node, Self::state(node, batches))).collect();
        EndpointUpdate { revision: batches as u64 + 1, kind, endpoints }
    }

    /// Returns the number of batches that have started draining by `at`.
    fn batches_at(&self, at: Instant) -> usize {
        self.drains.iter().filter(|drain| **drain <= at).count()
    }

    /// Returns when that node starts draining.
    fn drain_start(&self, node: u32) -> Instant {
        self.drains[(node / BATCH_SIZE) as usize]
    }
}

/// A watch without a message for this long times out, and the agent is called again.
const WATCH_TIMEOUT: Duration = Duration::from_millis(2_750);

/// The reason for which a scheduler gets no watch messages.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum Outage {
    /// Discovery is down: the agent accepts calls and has nothing new until discovery is back.
    DiscoveryDown,
    /// The watch connection is broken: the next call delivers all updates.
    WatchBroken,
    /// The agent accepts no call; its updates still count as delivered.
    AgentDown,
}

/// The conditions of one scheduler: when it starts, how late its agent has updates, when and why it gets no
/// messages, and when discovery moves to an agent that sends none at first.
#[derive(Clone, Debug)]
struct Conditions {
    start: Instant,
    agent_delay: Duration,
    outage: Outage,
    outage_start: Instant,
    outage_end: Instant,
    discovery_moved_at: Option<Instant>,
}

impl Conditions {
    fn draw(rng: &mut Rng, schedule_start: Instant) -> Self {
        let millis = Duration::from_millis;
        let start = schedule_start + millis(if rng.bool() { 0 } else { rng.u64(0..6_000) });
        let moved_at = (rng.u32(0..4) == 0).then(|| start + millis(rng.u64(2_000..8_000)));
        let outage_start =
            moved_at.unwrap_or(start + millis(if rng.u32(0..4) == 0 { 0 } else { rng.u64(0..12_000) }));
        let length = if rng.u32(0..3) == 0 { rng.u64(0..14_000) } else { 0 };
        let outage = [Outage::DiscoveryDown, Outage::WatchBroken, Outage::AgentDown][rng.usize(0..3)];
        let length =
            if outage == Outage::WatchBroken { millis(length).min(WATCH_TIMEOUT) } else { millis(length) };
        Self {
            start,
            agent_delay: millis(rng.u64(0..2_000)),
            outage,
            outage_start,
            outage_end: outage_start + length,
            discovery_moved_at: moved_at,
        }
    }

    /// Returns whether no messages arrive at `at`.
    fn is_outage(&self, at: Instant) -> bool {
        at >= self.outage_start && at < self.outage_end
    }

    /// Returns when the agent writes an update that it has had since `known_at`.
    fn written_at(&self, known_at: Instant) -> Instant {
        if self.is_outage(known_at) {
            self.outage_end
        } else {
            known_at
        }
    }

    /// Returns when a change counts as delivered: when the agent writes it, but no later than 6 s after the
    /// agent has it, and no later than 4 s after a move of discovery if the agent has it by then. If
    /// discovery is down, only the write counts.
    fn delivered_at(&self, change: Instant) -> Instant {
        let known_at = (change + self.agent_delay).max(self.start);
        if self.outage == Outage::DiscoveryDown {
            return self.written_at(known_at);
        }
        let moved_at = self.discovery_moved_at.filter(|at| known_at >= *at && known_at < self.outage_end);
        let after_move = moved_at
            .map_or(known_at + Duration::from_secs(6), |at| known_at.max(at + Duration::from_secs(4)));
        self.written_at(known_at).min(known_at + Duration::from_secs(6)).min(after_move)
    }

    /// Returns whether the list is certainly up to date at `now`, or the scheduler may use it because
    /// discovery is down.
    fn list_is_usable(&self, now: Instant) -> bool {
        let is_up_to_date = now < self.outage_start || now > self.outage_end + MAX_READ_DELAY * 2;
        // While discovery is down, requests are still served; after a start, only once the first call has
        // gone unanswered.
        let is_tolerated =
            self.outage == Outage::DiscoveryDown && now > self.start + Duration::from_millis(300);
        is_up_to_date || is_tolerated
    }
}

/// Simulates discovery for one scheduler: a message for each change that its agent has, sometimes followed
/// by an older snapshot, and an empty message every 2 s. During an outage of the kind `treated_as_contact`,
/// the agent is reported as one that accepts calls and has nothing new.
async fn run_discovery(
    core: CoreHandle,
    schedule: Arc<DrainSchedule>,
    conditions: Conditions,
    treated_as_contact: Outage,
    mut rng: Rng,
) {
    let discovery = core.discovery_sender();
    let start = conditions.start;
    let cached_age = Duration::from_secs(3).min(start - schedule.start);
    let cached_batches = schedule.batches_at(start - cached_age);
    let snapshot = DrainSchedule::update(cached_batches, None);
    let cached = EndpointUpdate { kind: EndpointUpdateKind::Cached, ..snapshot };
    discovery.send(CoreMessage::EndpointUpdate(cached)).await.unwrap();
    let mut sent_batches = cached_batches;
    let mut move_reported = false;
    let mut next_heartbeat = start;
    let mut next_call = conditions.outage_start;
    loop {
        let now = Instant::now();
        if let Some(at) = conditions.discovery_moved_at.filter(|at| now >= *at && !move_reported) {
            move_reported = true;
            discovery.send(CoreMessage::DiscoveryMoved(at)).await.unwrap();
        }
        let is_outage = conditions.is_outage(now);
        let call_answered_by = next_call + Duration::from_millis(250);
        if is_outage && conditions.outage == treated_as_contact && now >= call_answered_by {
            discovery.send(CoreMessage::DiscoveryContact(next_call)).await.unwrap();
            next_call += WATCH_TIMEOUT;
        }
        let agent_time = now.checked_sub(conditions.agent_delay).unwrap_or(schedule.start);
        let agent_batches = schedule.batches_at(agent_time);
        if !is_outage && (agent_batches > sent_batches || now >= next_heartbeat) {
            sleep(MAX_READ_DELAY.mul_f64(rng.f64())).await;
            if agent_batches > sent_batches {
                let changes = DrainSchedule::update(agent_batches, Some(sent_batches));
                discovery.send(CoreMessage::EndpointUpdate(changes)).await.unwrap();
                if rng.bool() {
                    // The slower of two watches delivers an older snapshot.
                    let older = DrainSchedule::update(rng.usize(0..=sent_batches), None);
                    discovery.send(CoreMessage::EndpointUpdate(older)).await.unwrap();
                }
                sent_batches = agent_batches;
            }
            discovery.send(CoreMessage::DiscoveryContact(now)).await.unwrap();
            next_heartbeat = now + Duration::from_secs(2);
        }
        sleep(Duration::from_millis(20)).await;
    }
}

/// The first byte of an attempt.
#[derive(Clone, Copy)]
struct FirstByte {
    scheduler: usize,
    node: u32,
    at: Instant,
}

type FirstBytes = Arc<Mutex<Vec<FirstByte>>>;

/// Simulates the connections to all nodes: some open late, and the gate is checked right before the first
/// byte.
async fn run_connections(
    scheduler: usize,
    mut attempts: mpsc::Receiver<Box<Attempt>>,
    core: mpsc::Sender<CoreMessage>,
    first_bytes: FirstBytes,
    mut rng: Rng,
) {
    while let Some(attempt) = attempts.recv().await {
        let delay = Duration::from_millis(if rng.u32(0..4) == 0 { rng.u64(0..240) } else { 0 });
        let (first_bytes, core) = (first_bytes.clone(), core.clone());
        tokio::spawn(async move {
            sleep(delay).await;
            let is_closed = attempt.send_gate.is_closed();
            let end = if is_closed { AttemptEnd::NotSent } else { AttemptEnd::Served };
            if end == AttemptEnd::Served {
                let node = attempt.node_request.target.parse().unwrap();
                first_bytes.lock().unwrap().push(FirstByte { scheduler, node, at: Instant::now() });
                sleep(Duration::from_millis(10)).await;
            }
            report_attempt_end(&core, &attempt, end, NodeReply::Buffered(Bytes::new())).await;
        });
    }
}

/// Counts of requests for nodes that never drain, sent at times at which the list is usable.
#[derive(Default)]
struct RequestCounts {
    served: u32,
    sent: u32,
}

type SharedCounts = Arc<Mutex<RequestCounts>>;

/// Creates a request for the node with that number, which holds the shard of the same number.
fn request_for(node: u32, number: u32, deadline: Instant) -> ClientRequest {
    let request = read_request(&number.to_string(), node);
    let node_request = NodeRequest {
        target: node.to_string().into(),
        volume: VolumeId(u64::from(number % 50)),
        units: 2,
        ..(*request.node_request).clone()
    };
    ClientRequest { deadline, node_request: Arc::new(node_request), ..request }
}

async fn send_request(mut core: CoreHandle, request: ClientRequest, counts: Option<SharedCounts>) {
    let deadline = request.deadline;
    let answer = core.call(request).await.unwrap();
    assert!(
        Instant::now() <= deadline + Duration::from_millis(10),
        "the answer came more than 10 ms after the deadline"
    );
    if let Some(counts) = counts {
        let counts = &mut *counts.lock().unwrap();
        counts.served += u32::from(matches!(answer, Answer::Served(_)));
        counts.sent += 1;
    }
}

/// Runs one scheduler and its clients.
async fn run_scheduler(
    scheduler: usize,
    schedule: Arc<DrainSchedule>,
    conditions: Conditions,
    treated_as_contact: Outage,
    first_bytes: FirstBytes,
    counts: SharedCounts,
    mut rng: Rng,
) {
    sleep_until(conditions.start).await;
    let (to_nodes, attempts) = mpsc::channel(256);
    let connections = Mutex::new(Some((attempts, first_bytes, rng.fork())));
    let connect_node = move |_: &Endpoint, core: mpsc::Sender<CoreMessage>| {
        if let Some((attempts, first_bytes, rng)) = connections.lock().unwrap().take() {
            tokio::spawn(run_connections(scheduler, attempts, core, first_bytes, rng));
        }
        to_nodes.clone()
    };
    let deployment = deployment(SCHEDULERS, 150_000, Some(DRAIN_GRACE.as_micros() as Micros));
    let core = start_core(Arc::new(deployment), scheduler as u64, Box::new(connect_node)).unwrap();
    let discovery = run_discovery(core.clone(), schedule, conditions.clone(), treated_as_contact, rng.fork());
    tokio::spawn(discovery);
    for number in 0.. {
        sleep(Duration::from_millis(rng.u64(0..700))).await;
        let (now, node) = (Instant::now(), rng.u32(0..NODES));
        let is_within_run =
            now > conditions.start + MAX_READ_DELAY * 2 && now < conditions.start + RUN_DURATION;
        let is_counted = conditions.list_is_usable(now) && is_within_run && node >= FIRST_NODE_WITHOUT_DRAIN;
        let counts = is_counted.then(|| counts.clone());
        let request = request_for(node, number, now + Duration::from_secs(1));
        tokio::spawn(send_request(core.clone(), request, counts));
    }
}

/// Guards against requests to a node after the grace period of its drain. The last case injects a fault to
/// show that the test detects one: an agent that accepts no call is treated as one that has nothing new.
#[rstest]
#[case(1, Outage::DiscoveryDown)]
#[case(2, Outage::DiscoveryDown)]
#[case(1, Outage::AgentDown)]
#[tokio::test(start_paused = true)]
async fn no_request_goes_to_a_draining_node_whatever_the_order_and_delay_of_updates(
    #[case] seed: u64,
    #[case] treated_as_contact: Outage,
) {
    let mut rng = Rng::with_seed(seed);
    let start = Instant::now();
    let schedule = Arc::new(DrainSchedule::draw(&mut rng, start));
    let (first_bytes, counts) = (FirstBytes::default(), SharedCounts::default());
    let mut conditions = Vec::new();
    for scheduler in 0..SCHEDULERS as usize {
        let drawn = Conditions::draw(&mut rng, start);
        conditions.push(drawn.clone());
        let (schedule, first_bytes, counts) = (schedule.clone(), first_bytes.clone(), counts.clone());
        let rng = rng.fork();
        tokio::spawn(run_scheduler(scheduler, schedule, drawn, treated_as_contact, first_bytes, counts, rng));
    }
    sleep_until(start + RUN_DURATION).await;
    let (mut late_count, mut max_overrun) = (0, Duration::ZERO);
    let first_bytes = first_bytes.lock().unwrap();
    for first_byte in first_bytes.iter().filter(|first_byte| first_byte.node < FIRST_NODE_WITHOUT_DRAIN) {
        let delivered = conditions[first_byte.scheduler].delivered_at(schedule.drain_start(first_byte.node));
        let overrun = first_byte.at.saturating_duration_since(delivered + DRAIN_GRACE);
        late_count += u32::from(overrun > Duration::ZERO);
        max_overrun = max_overrun.max(overrun);
    }
    let RequestCounts { served, sent } = *counts.lock().unwrap();
    println!(
        "seed {seed}, {treated_as_contact:?} treated as contact: \
         {} first bytes, {late_count} too late, by {max_overrun:?} at most; \
         {served} of {sent} requests to nodes in service served",
        first_bytes.len()
    );
    let has_fault = treated_as_contact != Outage::DiscoveryDown;
    assert_eq!(late_count > 0, has_fault, "first bytes after the grace period, {max_overrun:?} at most");
    let others_served = has_fault || (sent > 5_000 && f64::from(served) > 0.98 * f64::from(sent));
    assert!(others_served, "nodes in service keep their requests");
}
