//! What a change of the list costs before many nodes, in nodes that are looked at: its own entries, and
//! nothing while none change. Counts, no times.
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
use heathward_policy::*;
use tokio::sync::mpsc;
use tokio::time::{sleep, Instant};
use tower::Service;

mod common;

use common::{deployment, read};

const SIZE: u32 = 5_100;
/// A node is cold for so long.
const COLD: Duration = Duration::from_secs(20);

/// What was told of single nodes: id, how it is treated, why.
type Told = Arc<Mutex<Vec<(Box<str>, NodeTreatment, TreatmentCause)>>>;

struct Records(Told);

impl Observer for Records {
    fn observe(&mut self, _: Instant, note: Observation<'_>) {
        if let Observation::NodeTreatmentChanged { node, treatment: treated, cause: why } = note {
            self.0.lock().unwrap().push((node.into(), treated, why));
        }
    }

    fn settings_changed(&mut self, _: &Deployment) {}
}

fn unix() -> Micros {
    SystemTime::now().duration_since(UNIX_EPOCH).unwrap().as_micros() as Micros
}

fn member(number: u32, state: NodeState, started: Option<Micros>) -> Endpoint {
    let (id, zone) = (format!("s-{number}").into(), format!("z-{}", number % 40).into());
    Endpoint {
        id,
        address: ([127, 0, 0, 1], 1).into(),
        zone,
        shard: ShardId(number),
        state,
        started_at: started,
    }
}

/// A node that serves all it is asked, and passes on what that was.
fn node(core: mpsc::Sender<CoreMessage>, served: mpsc::Sender<Attempt>) -> mpsc::Sender<Attempt> {
    let (mailbox, mut attempts) = mpsc::channel::<Attempt>(1);
    tokio::spawn(async move {
        while let Some(attempt) = attempts.recv().await {
            report_attempt_end(&core, &attempt, AttemptEnd::Served, NodeReply::Buffered(Bytes::new())).await;
            served.send(attempt).await.unwrap();
        }
    });
    mailbox
}

/// The core before so many nodes, with an observer, and what that is told; and the attempts that were served.
async fn core(size: u32) -> (CoreHandle, Told, mpsc::Receiver<Attempt>) {
    let (served, attempts) = mpsc::channel(64);
    let mut deployment = deployment(1, 1_000_000, None);
    deployment.settings.slow_start_duration = COLD.as_micros() as Micros;
    (deployment.settings.slow_start_units, deployment.settings.overload_window) = (10.0, 1_000_000);
    let core =
        start_core(Arc::new(deployment), 1, Box::new(move |_, core| node(core, served.clone()))).unwrap();
    let told = Told::default();
    core.set_observer(Some(Box::new(Records(told.clone())))).await;
    let members = (0..size).map(|number| member(number, NodeState::Ready, None)).collect();
    update(&core, 1, EndpointUpdateKind::Snapshot, members).await;
    told.lock().unwrap().clear();
    (core, told, attempts)
}

async fn update(core: &CoreHandle, revision: u64, kind: EndpointUpdateKind, members: Vec<Endpoint>) {
    core.discovery_sender()
        .send(CoreMessage::EndpointUpdate(EndpointUpdate { revision, kind, endpoints: members }))
        .await
        .unwrap();
    // The update is taken before this is answered.
    sleep(Duration::from_millis(1)).await;
}

async fn checks(core: &CoreHandle) -> u64 {
    core.metrics().await.unwrap().counters.node_checks
}

/// Guards against a walk of all nodes on a change of a few, and on each tick of the observer.
#[tokio::test(start_paused = true)]
async fn a_change_looks_at_its_own_entries_and_a_quiet_list_at_none() {
    let (core, told, _attempts) = core(SIZE).await;
    let whole = checks(&core).await;
    assert_eq!(whole, u64::from(SIZE), "a whole list, once");
    sleep(Duration::from_secs(60)).await;
    assert_eq!(checks(&core).await, whole, "600 ticks");
    for change in 0..100 {
        let before = checks(&core).await;
        let gone =
            vec![member(change, NodeState::Removed, None), member(SIZE + change, NodeState::Ready, None)];
        update(&core, u64::from(change) + 2, EndpointUpdateKind::Changes, gone).await;
        assert_eq!(checks(&core).await - before, 2);
    }
    assert_eq!(told.lock().unwrap().len(), 200);
    assert_eq!(core.metrics().await.unwrap().listed_nodes, SIZE as usize);
}

/// Guards against a cold node whose warmth is told late, or never, now that only those are looked at whose
/// time has come; and against a look at all cold nodes on each tick.
#[tokio::test(start_paused = true)]
async fn a_cold_node_is_told_warm_at_its_time_and_looked_at_once() {
    let (core, told, _attempts) = core(SIZE).await;
    let (before, now) = (checks(&core).await, Instant::now());
    let (started, cold) = (unix(), 100);
    let members = (0..cold).map(|number| member(number, NodeState::Ready, Some(started))).collect();
    update(&core, 2, EndpointUpdateKind::Changes, members).await;
    assert_eq!(
        told.lock().unwrap().drain(..).filter(|(_, t, _)| matches!(t, NodeTreatment::SlowStart(_))).count(),
        100
    );
    while told.lock().unwrap().is_empty() {
        assert!(now.elapsed() < COLD * 2, "never told");
        sleep(Duration::from_millis(50)).await;
    }
    let warm = told.lock().unwrap().clone();
    assert!(warm
        .iter()
        .all(|(_, treated, why)| (*treated, *why) == (NodeTreatment::InService, TreatmentCause::TimePassed)));
    // The module's clock is the machine's, which is a little ahead of the paused one.
    let late = now.elapsed().saturating_sub(COLD);
    assert!(late <= Duration::from_secs(2) && warm.len() == 100, "{late:?}, {}", warm.len());
    sleep(Duration::from_secs(60)).await;
    assert_eq!(checks(&core).await - before, 2 * u64::from(cold));
}

/// Asks for a piece of data of that shard; the number of the node that it goes to.
async fn node_of(core: &CoreHandle, shard: u32, attempts: &mut mpsc::Receiver<Attempt>) -> NodeId {
    let call = read(&format!("call-{:?}", Instant::now()), shard);
    let answer = core.clone().call(call).await;
    assert!(matches!(answer, Ok(Answer::Served(_))), "{answer:?}");
    attempts.recv().await.unwrap().node
}

/// Guards against a node that is new to the module as it leaves its list for less than a minute, also where
/// nothing else had changed for longer before; and against one that is kept for ever.
#[tokio::test(start_paused = true)]
async fn a_node_that_returns_within_a_minute_is_the_same_and_later_another() {
    let (core, _, mut attempts) = core(3).await;
    let first = node_of(&core, 1, &mut attempts).await;
    sleep(Duration::from_secs(300)).await;
    update(&core, 2, EndpointUpdateKind::Changes, vec![member(1, NodeState::Removed, None)]).await;
    sleep(Duration::from_secs(59)).await;
    update(&core, 3, EndpointUpdateKind::Changes, vec![member(1, NodeState::Ready, None)]).await;
    assert_eq!(node_of(&core, 1, &mut attempts).await, first);
    update(&core, 4, EndpointUpdateKind::Changes, vec![member(1, NodeState::Removed, None)]).await;
    sleep(Duration::from_secs(60)).await;
    update(&core, 5, EndpointUpdateKind::Changes, vec![]).await;
    update(&core, 6, EndpointUpdateKind::Changes, vec![member(1, NodeState::Ready, None)]).await;
    assert_ne!(node_of(&core, 1, &mut attempts).await, first);
}
