//! The cost of an endpoint update in a large fleet, as the number of nodes whose treatment is checked: only
//! those that the update names, and none while there are no updates. The tests do not measure time.
#![cfg(test)]

use std::sync::{Arc, Mutex};
use std::time::{Duration, SystemTime, UNIX_EPOCH};

use bytes::Bytes;
use heathward_core::observe::{NodeTreatment, Observation, Observer, TreatmentCause};
use heathward_core::{
    report_attempt_end, start_core, Answer, Attempt, CoreHandle, CoreMessage, Endpoint, EndpointUpdate,
    NodeReply,
};
use heathward_policy::settings::Deployment;
use heathward_policy::{AttemptEnd, EndpointUpdateKind, Micros, NodeId, NodeState};
use tokio::sync::mpsc;
use tokio::time::{sleep, Instant};
use tower::Service;

mod common;

use common::{deployment, read_request};

const FLEET_SIZE: u32 = 5_100;
const SLOW_START: Duration = Duration::from_secs(20);

/// A change of a node's treatment that was reported to the observer.
#[derive(Clone)]
struct TreatmentChange {
    treatment: NodeTreatment,
    cause: TreatmentCause,
}

type TreatmentChanges = Arc<Mutex<Vec<TreatmentChange>>>;

struct TreatmentRecorder(TreatmentChanges);

impl Observer for TreatmentRecorder {
    fn observe(&mut self, _: Instant, observation: Observation<'_>) {
        if let Observation::NodeTreatmentChanged { treatment, cause, .. } = observation {
            self.0.lock().unwrap().push(TreatmentChange { treatment, cause });
        }
    }

    fn settings_changed(&mut self, _: &Deployment) {}
}

fn unix_micros() -> Micros {
    SystemTime::now().duration_since(UNIX_EPOCH).unwrap().as_micros() as Micros
}

/// Creates a node in one of 40 zones.
fn endpoint(number: u32, state: NodeState, started_at: Option<Micros>) -> Endpoint {
    let zone = format!("z-{}", number % 40).into();
    Endpoint { zone, started_at, ..common::endpoint(number, state) }
}

/// Starts a node that serves all attempts, and sends each to `served` afterwards.
fn serving_node(
    core: mpsc::Sender<CoreMessage>,
    served: mpsc::Sender<Box<Attempt>>,
) -> mpsc::Sender<Box<Attempt>> {
    let (to_node, mut attempts) = mpsc::channel::<Box<Attempt>>(1);
    tokio::spawn(async move {
        while let Some(attempt) = attempts.recv().await {
            let reply = NodeReply::Buffered(Bytes::new());
            report_attempt_end(&core, &attempt, AttemptEnd::Served, reply).await;
            served.send(attempt).await.unwrap();
        }
    });
    to_node
}

/// Starts a core with `size` nodes and an observer, and returns it with the treatment changes that are
/// reported to the observer and the attempts that are served.
async fn core_with_nodes(size: u32) -> (CoreHandle, TreatmentChanges, mpsc::Receiver<Box<Attempt>>) {
    let (served, attempts) = mpsc::channel(64);
    let mut deployment = deployment(1, 1_000_000, None);
    deployment.settings.slow_start_duration = SLOW_START.as_micros() as Micros;
    deployment.settings.slow_start_units = 10.0;
    deployment.settings.overload_window = 1_000_000;
    let connect_node = Box::new(move |_: &Endpoint, core| serving_node(core, served.clone()));
    let core = start_core(Arc::new(deployment), 1, connect_node).unwrap();
    let changes = TreatmentChanges::default();
    core.set_observer(Some(Box::new(TreatmentRecorder(changes.clone())))).await;
    let endpoints = (0..size).map(|number| endpoint(number, NodeState::Ready, None)).collect();
    update(&core, 1, EndpointUpdateKind::Snapshot, endpoints).await;
    changes.lock().unwrap().clear();
    (core, changes, attempts)
}

async fn update(core: &CoreHandle, revision: u64, kind: EndpointUpdateKind, endpoints: Vec<Endpoint>) {
    core.discovery_sender()
        .send(CoreMessage::EndpointUpdate(EndpointUpdate { revision, kind, endpoints }))
        .await
        .unwrap();
    // The update is applied before this returns.
    sleep(Duration::from_millis(1)).await;
}

async fn node_checks(core: &CoreHandle) -> u64 {
    core.metrics().await.unwrap().counters.node_checks
}

/// Guards against walking all nodes for an update of a few, or on each tick of the observer.
#[tokio::test(start_paused = true)]
async fn an_update_checks_only_the_nodes_that_it_names_and_none_are_checked_without_updates() {
    let (core, changes, _attempts) = core_with_nodes(FLEET_SIZE).await;
    let checks_of_snapshot = node_checks(&core).await;
    assert_eq!(checks_of_snapshot, u64::from(FLEET_SIZE), "the snapshot checks each node once");
    sleep(Duration::from_secs(60)).await;
    assert_eq!(node_checks(&core).await, checks_of_snapshot, "no node is checked in 600 ticks");
    for change in 0..100 {
        let before = node_checks(&core).await;
        let removed = endpoint(change, NodeState::Removed, None);
        let added = endpoint(FLEET_SIZE + change, NodeState::Ready, None);
        update(&core, u64::from(change) + 2, EndpointUpdateKind::Changes, vec![removed, added]).await;
        assert_eq!(node_checks(&core).await - before, 2);
    }
    assert_eq!(changes.lock().unwrap().len(), 200);
    assert_eq!(core.metrics().await.unwrap().listed_nodes, FLEET_SIZE as usize);
}

/// Guards against reporting the end of slow start late or never, as only nodes with a due check are
/// checked, and against checking all nodes in slow start on each tick.
#[tokio::test(start_paused = true)]
async fn the_end_of_slow_start_is_reported_in_time_after_one_check() {
    let (core, changes, _attempts) = core_with_nodes(FLEET_SIZE).await;
    let (checks_before, start) = (node_checks(&core).await, Instant::now());
    let (started_at, restarted) = (unix_micros(), 100);
    let endpoints =
        (0..restarted).map(|number| endpoint(number, NodeState::Ready, Some(started_at))).collect();
    update(&core, 2, EndpointUpdateKind::Changes, endpoints).await;
    let in_slow_start = |change: &TreatmentChange| matches!(change.treatment, NodeTreatment::SlowStart(_));
    assert_eq!(changes.lock().unwrap().drain(..).filter(in_slow_start).count(), 100);
    while changes.lock().unwrap().is_empty() {
        assert!(start.elapsed() < SLOW_START * 2, "the end of slow start is never reported");
        sleep(Duration::from_millis(50)).await;
    }
    let ended = changes.lock().unwrap().clone();
    assert!(ended.iter().all(|change| {
        (change.treatment, change.cause) == (NodeTreatment::InService, TreatmentCause::TimePassed)
    }));
    // `started_at` is read from the machine's clock, which is slightly ahead of the policy's clock, as the
    // latter advances with the paused time.
    let late = start.elapsed().saturating_sub(SLOW_START);
    assert!(late <= Duration::from_secs(2) && ended.len() == 100, "{late:?}, {}", ended.len());
    sleep(Duration::from_secs(60)).await;
    assert_eq!(node_checks(&core).await - checks_before, 2 * u64::from(restarted));
}

/// Sends a request for that shard, and returns the number of the node that serves it.
async fn serving_node_id(
    core: &CoreHandle,
    shard: u32,
    attempts: &mut mpsc::Receiver<Box<Attempt>>,
) -> NodeId {
    let request = read_request(&format!("call-{:?}", Instant::now()), shard);
    let answer = core.clone().call(request).await;
    assert!(matches!(answer, Ok(Answer::Served(_))), "{answer:?}");
    attempts.recv().await.unwrap().node
}

/// Guards against a node that gets a new number after it was out of the endpoint list for less than a
/// minute, also if the list had not changed for longer before that, and against a node that is retained for
/// ever.
#[tokio::test(start_paused = true)]
async fn a_node_that_returns_within_a_minute_keeps_its_number_and_later_gets_another() {
    let (core, _, mut attempts) = core_with_nodes(3).await;
    let removed = || vec![endpoint(1, NodeState::Removed, None)];
    let ready = || vec![endpoint(1, NodeState::Ready, None)];
    let first = serving_node_id(&core, 1, &mut attempts).await;
    sleep(Duration::from_secs(300)).await;
    update(&core, 2, EndpointUpdateKind::Changes, removed()).await;
    sleep(Duration::from_secs(59)).await;
    update(&core, 3, EndpointUpdateKind::Changes, ready()).await;
    assert_eq!(serving_node_id(&core, 1, &mut attempts).await, first);
    update(&core, 4, EndpointUpdateKind::Changes, removed()).await;
    sleep(Duration::from_secs(60)).await;
    update(&core, 5, EndpointUpdateKind::Changes, vec![]).await;
    update(&core, 6, EndpointUpdateKind::Changes, ready()).await;
    assert_ne!(serving_node_id(&core, 1, &mut attempts).await, first);
}
