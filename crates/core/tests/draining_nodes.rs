//! Drains in a whole fleet, in virtual time: 350 hosts before 600 nodes, with updates that come late, in any
//! order, or not at all, starts with an old list, moves of discovery, and connections that come up late.
#![cfg(test)]

use std::sync::{Arc, Mutex};
use std::time::Duration;

use bytes::Bytes;
use fastrand::Rng;
use heathward_core::{
    report_attempt_end, start_core, Answer, Attempt, ClientRequest, CoreHandle, CoreMessage, Endpoint,
    EndpointUpdate, NodeReply, NodeRequest,
};
use heathward_policy::*;
use rstest::rstest;
use tokio::sync::mpsc;
use tokio::time::{sleep, sleep_until, Instant};
use tower::Service;

mod common;

use common::deployment;

const HOSTS: u32 = 350;
const NODES: u32 = 600;
/// So many nodes drain at a time, and so often.
const BATCH: u32 = 12;
const BATCHES: u32 = 16;
const GRACE: Duration = Duration::from_millis(250);
const DAY: Duration = Duration::from_secs(18);
/// A line is read so late at most, and another behind it twice that: less than the grace.
const READ: Duration = Duration::from_millis(100);

/// When each batch drains; revision 1 has none, and each batch makes one more.
struct Truth {
    zero: Instant,
    drains: Vec<Instant>,
}

impl Truth {
    fn state(&self, node: u32, batches: usize) -> NodeState {
        if ((node / BATCH) as usize) < batches {
            NodeState::Draining
        } else {
            NodeState::Ready
        }
    }

    /// The list after so many batches: whole, or what the last of them changed since `after`.
    fn update(&self, batches: usize, after: Option<usize>) -> EndpointUpdate {
        let changed = |node: &u32| after.is_none_or(|after| (*node / BATCH) as usize >= after);
        let nodes = (0..NODES).filter(changed).filter(|n| after.is_none() || *n < batches as u32 * BATCH);
        let members = nodes.map(|node| Endpoint {
            id: format!("s-{node}").into(),
            address: ([127, 0, 0, 1], 1).into(),
            zone: "a".into(),
            shard: ShardId(node),
            state: self.state(node, batches),
            started_at: None,
        });
        let kind = if after.is_some() { EndpointUpdateKind::Changes } else { EndpointUpdateKind::Snapshot };
        EndpointUpdate { revision: batches as u64 + 1, kind, endpoints: members.collect() }
    }

    fn drained(&self, at: Instant) -> usize {
        self.drains.iter().filter(|drain| **drain <= at).count()
    }
}

/// A watch without a line for so long is taken as silent, and the agent is called anew.
const SILENCE: Duration = Duration::from_millis(2_750);

/// Why nothing comes.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum Silence {
    /// Discovery is down: the agent takes calls and has nothing to tell until it is back.
    Down,
    /// The watch broke: the next call brings all.
    Broken,
    /// The agent takes no call; what it has counts as told all the same.
    Mute,
}

/// What one host meets: when it starts, how late its agent has updates, when and why it hears nothing, and
/// when discovery moves to an agent that is silent at first.
#[derive(Clone, Debug)]
struct Fate {
    start: Instant,
    lag: Duration,
    why: Silence,
    silent: (Instant, Instant),
    moved: Option<Instant>,
}

impl Fate {
    fn draw(rng: &mut Rng, zero: Instant) -> Self {
        let ms = Duration::from_millis;
        let start = zero + ms(if rng.bool() { 0 } else { rng.u64(0..6_000) });
        let moved = (rng.u32(0..4) == 0).then(|| start + ms(rng.u64(2_000..8_000)));
        let from = moved.unwrap_or(start + ms(if rng.u32(0..4) == 0 { 0 } else { rng.u64(0..12_000) }));
        let span = if rng.u32(0..3) == 0 { rng.u64(0..14_000) } else { 0 };
        let why = [Silence::Down, Silence::Broken, Silence::Mute][rng.usize(0..3)];
        let span = if why == Silence::Broken { ms(span).min(SILENCE) } else { ms(span) };
        Self { start, lag: ms(rng.u64(0..2_000)), why, silent: (from, from + span), moved }
    }

    /// When the agent writes what it has to tell since then.
    fn written(&self, had: Instant) -> Instant {
        if had >= self.silent.0 && had < self.silent.1 {
            self.silent.1
        } else {
            had
        }
    }

    /// When a change counts as told, by the protocol page.
    fn told(&self, change: Instant) -> Instant {
        let had = (change + self.lag).max(self.start);
        if self.why == Silence::Down {
            return self.written(had);
        }
        let moved = self.moved.filter(|at| had >= *at && had < self.silent.1);
        let moved = moved.map_or(had + Duration::from_secs(6), |at| had.max(at + Duration::from_secs(4)));
        self.written(had).min(had + Duration::from_secs(6)).min(moved)
    }
}

/// Discovery as one host hears it: a line for each change that its agent has, in any order beside an older
/// whole list; an empty one every 2 s.
async fn discover(core: CoreHandle, truth: Arc<Truth>, fate: Fate, believed: Silence, mut rng: Rng) {
    let discovery = core.discovery_sender();
    let known = truth.drained(fate.start - Duration::from_secs(3).min(fate.start - truth.zero));
    let saved = EndpointUpdate { kind: EndpointUpdateKind::Cached, ..truth.update(known, None) };
    discovery.send(CoreMessage::EndpointUpdate(saved)).await.unwrap();
    let mut heard = known;
    let mut moved = false;
    let mut beat = fate.start;
    let mut call = fate.silent.0;
    loop {
        let now = Instant::now();
        if let Some(at) = fate.moved.filter(|at| now >= *at && !moved) {
            moved = true;
            discovery.send(CoreMessage::DiscoveryMoved(at)).await.unwrap();
        }
        let silent = now >= fate.silent.0 && now < fate.silent.1;
        if silent && fate.why == believed && now >= call + Duration::from_millis(250) {
            discovery.send(CoreMessage::DiscoveryContact(call)).await.unwrap();
            call += SILENCE;
        }
        let has = truth.drained(now.checked_sub(fate.lag).unwrap_or(truth.zero));
        if !silent && (has > heard || now >= beat) {
            sleep(READ.mul_f64(rng.f64())).await;
            if has > heard {
                discovery.send(CoreMessage::EndpointUpdate(truth.update(has, Some(heard)))).await.unwrap();
                if rng.bool() {
                    // The slower of two watches: what it lists is older.
                    discovery
                        .send(CoreMessage::EndpointUpdate(truth.update(rng.usize(0..=heard), None)))
                        .await
                        .unwrap();
                }
                heard = has;
            }
            discovery.send(CoreMessage::DiscoveryContact(now)).await.unwrap();
            beat = now + Duration::from_secs(2);
        }
        sleep(Duration::from_millis(20)).await;
    }
}

/// A first byte: the host, the node, and when.
type Sent = Arc<Mutex<Vec<(usize, u32, Instant)>>>;

/// The ways to all nodes: a connection comes up late, and the gate is looked at right before the first byte.
async fn carry(
    host: usize,
    mut attempts: mpsc::Receiver<Attempt>,
    core: mpsc::Sender<CoreMessage>,
    sent: Sent,
    mut rng: Rng,
) {
    while let Some(attempt) = attempts.recv().await {
        let late = Duration::from_millis(if rng.u32(0..4) == 0 { rng.u64(0..240) } else { 0 });
        let (sent, core) = (sent.clone(), core.clone());
        tokio::spawn(async move {
            sleep(late).await;
            let end = if attempt.send_gate.is_closed() { AttemptEnd::NotSent } else { AttemptEnd::Served };
            if end == AttemptEnd::Served {
                let node = attempt.node_request.target.parse().unwrap();
                sent.lock().unwrap().push((host, node, Instant::now()));
                sleep(Duration::from_millis(10)).await;
            }
            report_attempt_end(&core, &attempt, end, NodeReply::Buffered(Bytes::new())).await;
        });
    }
}

/// Of requests for nodes that never drain, how many were served, and how many were asked while the list could
/// be gone by.
type Counts = Arc<Mutex<(u32, u32)>>;

async fn ask(mut core: CoreHandle, number: u32, deadline: Instant, counted: Option<Counts>, shard: u32) {
    let work = NodeRequest {
        client_request_id: number.to_string().into(),
        class_name: "read".into(),
        is_write: false,
        // Each node holds one shard, of its own number.
        target: shard.to_string().into(),
        idempotency_key: None,
        volume: VolumeId(u64::from(number % 50)),
        key: KeyId(0),
        units: 2,
        read_length: None,
        body: Bytes::new(),
        upload: None,
    };
    let (class, plan, shard) = (ClassId(0), PlanId(0), Some(ShardId(shard)));
    let call = ClientRequest {
        class,
        plan,
        shard,
        schedulers: 1,
        is_client_retry: false,
        deadline,
        node_request: Arc::new(work),
    };
    let answer = core.call(call).await.unwrap();
    assert!(Instant::now() <= deadline + Duration::from_millis(10), "an answer in time");
    if let Some(counted) = counted {
        let (served, asked) = &mut *counted.lock().unwrap();
        (*served, *asked) = (*served + u32::from(matches!(answer, Answer::Served(_))), *asked + 1);
    }
}

/// The last case is a planted fault, by which the test is known to see one: an agent that takes no call is
/// believed to have nothing to tell.
#[rstest]
#[case(1, Silence::Down)]
#[case(2, Silence::Down)]
#[case(1, Silence::Mute)]
#[tokio::test(start_paused = true)]
async fn nothing_goes_to_a_leaving_node_whatever_the_order_and_lateness_of_news(
    #[case] seed: u64,
    #[case] believed: Silence,
) {
    let mut rng = Rng::with_seed(seed);
    let zero = Instant::now();
    let mut drains: Vec<_> = (0..BATCHES).map(|_| zero + DAY.mul_f64(0.9 * rng.f64())).collect();
    drains.sort();
    let truth = Arc::new(Truth { zero, drains });
    let (sent, counts) = (Sent::default(), Counts::default());
    let mut fates = Vec::new();
    for host in 0..HOSTS as usize {
        let fate = Fate::draw(&mut rng, zero);
        fates.push(fate.clone());
        let (truth, sent, counts, mut rng) = (truth.clone(), sent.clone(), counts.clone(), rng.fork());
        tokio::spawn(async move {
            sleep_until(fate.start).await;
            let (mailbox, attempts) = mpsc::channel(256);
            let carrying = Mutex::new(Some((attempts, sent, rng.fork())));
            let dial = move |_: &Endpoint, core: mpsc::Sender<CoreMessage>| {
                if let Some((attempts, sent, rng)) = carrying.lock().unwrap().take() {
                    tokio::spawn(carry(host, attempts, core, sent, rng));
                }
                mailbox.clone()
            };
            let core = start_core(
                Arc::new(deployment(HOSTS, 150_000, Some(GRACE.as_micros() as Micros))),
                host as u64,
                Box::new(dial),
            )
            .unwrap();
            tokio::spawn(discover(core.clone(), truth, fate.clone(), believed, rng.fork()));
            for number in 0.. {
                sleep(Duration::from_millis(rng.u64(0..700))).await;
                let (now, shard) = (Instant::now(), rng.u32(0..NODES));
                let heard = now < fate.silent.0 || now > fate.silent.1 + READ * 2;
                // While discovery is down nothing stops, after the first call of a start or a move.
                let down = fate.why == Silence::Down && now > fate.start + Duration::from_millis(300);
                let quiet = heard || down;
                let settled = now > fate.start + READ * 2 && now < fate.start + DAY;
                let lasting = shard >= BATCH * BATCHES;
                let counted = (quiet && settled && lasting).then(|| counts.clone());
                tokio::spawn(ask(core.clone(), number, now + Duration::from_secs(1), counted, shard));
            }
        });
    }
    sleep_until(zero + DAY).await;
    let (mut late, mut worst) = (0, Duration::ZERO);
    let sent = sent.lock().unwrap();
    for (host, node, at) in sent.iter().filter(|(_, node, _)| *node < BATCH * BATCHES) {
        let told = fates[*host].told(truth.drains[(node / BATCH) as usize]);
        let beyond = at.saturating_duration_since(told + GRACE);
        late += u32::from(beyond > Duration::ZERO);
        worst = worst.max(beyond);
    }
    let (served, asked) = *counts.lock().unwrap();
    println!(
        "seed {seed}, {believed:?} believed: {} first bytes, {late} too late, {worst:?}; {served} of {asked}",
        sent.len()
    );
    assert_eq!(late > 0, believed != Silence::Down, "first bytes after the grace, {worst:?} at most");
    let kept = believed != Silence::Down || (asked > 5_000 && f64::from(served) > 0.98 * f64::from(asked));
    assert!(kept, "nodes in service keep theirs");
}
