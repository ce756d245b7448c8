//! Departures are told whatever waits: a full mailbox loses none, and what waits in it for nobody is dropped.
#![cfg(test)]

use std::future::Future;
use std::pin::Pin;
use std::sync::Arc;
use std::task::{Context, Poll, Waker};
use std::time::Duration;

use heathward_core::{
    start_core, Answer, Attempt, CoreHandle, CoreMessage, CoreStopped, Endpoint, EndpointUpdate, NodeRequest,
};
use heathward_policy::*;
use tokio::sync::mpsc;
use tokio::task::unconstrained;
use tokio::time::sleep;
use tower::Service;

mod common;

use common::{deployment, read};

/// The core before one node, and the attempts that go there.
async fn core() -> (CoreHandle, mpsc::Receiver<Attempt>) {
    let (mailbox, attempts) = mpsc::channel(64);
    let core = start_core(Arc::new(deployment(1, 1_000_000, None)), 1, Box::new(move |_, _| mailbox.clone()))
        .unwrap();
    let member = Endpoint {
        id: "s-0".into(),
        address: ([127, 0, 0, 1], 1).into(),
        zone: "a".into(),
        shard: ShardId(0),
        state: NodeState::Ready,
        started_at: None,
    };
    let update = EndpointUpdate { revision: 1, kind: EndpointUpdateKind::Snapshot, endpoints: vec![member] };
    core.discovery_sender().send(CoreMessage::EndpointUpdate(update)).await.unwrap();
    (core, attempts)
}

type Asking = Pin<Box<dyn Future<Output = Result<Answer, CoreStopped>> + Send>>;

/// Puts a call into the core's mailbox, as far as there is room, without a turn of the core.
fn ask(core: &CoreHandle, number: usize) -> Asking {
    // However many: the runtime would have a task that does so much make room for others.
    let mut asking: Asking = Box::pin(unconstrained(core.clone().call(read(&number.to_string(), 0))));
    let mut cx = Context::from_waker(Waker::noop());
    assert!(matches!(asking.as_mut().poll(&mut cx), Poll::Pending));
    asking
}

/// More than the core's mailbox holds.
const BURST: usize = 5_000;

/// Guards against a request that goes on for a client that left in a burst: its attempt waits for a
/// connection, and is no longer wanted although the mailbox is full. And against work that is begun for those
/// who left while they waited there.
#[tokio::test(start_paused = true)]
async fn a_full_mailbox_loses_no_departure_and_nothing_is_begun_for_the_departed() {
    let (core, mut attempts) = core().await;
    let first = ask(&core, 0);
    let attempt = attempts.recv().await.unwrap();
    assert!(attempt.may_start());
    let burst: Vec<Asking> = (1..=BURST).map(|number| ask(&core, number)).collect();
    drop(first);
    assert!(!attempt.may_start() && attempt.cancel.is_cancelled(), "seen by the writer at once");
    drop(burst);
    let last = ask_later(&core);
    let attempt = attempts.recv().await.unwrap();
    assert_eq!(&*attempt.node_request.client_request_id, "later", "all before it had left");
    let counters = core.metrics().await.unwrap().counters;
    assert!(counters.client_disconnects >= 4_096 && counters.attempts_sent == 2, "{counters}");
    assert_eq!(counters.client_disconnects + 1, counters.requests_received, "{counters}");
    last.abort();
    sleep(Duration::from_millis(1)).await;
    assert!(attempt.cancel.is_cancelled());
    assert_eq!(core.metrics().await.unwrap().active_requests, 0);
}

/// One that comes once the burst has passed.
fn ask_later(core: &CoreHandle) -> tokio::task::JoinHandle<()> {
    let mut later = read("0", 0);
    let work = NodeRequest { client_request_id: "later".into(), ..(*later.node_request).clone() };
    later.node_request = Arc::new(work);
    let mut core = core.clone();
    tokio::spawn(async move { drop(core.call(later).await) })
}

/// Guards against a first byte for a request that was answered by the core itself, past its time.
#[tokio::test(start_paused = true)]
async fn what_was_answered_is_not_begun() {
    let (core, mut attempts) = core().await;
    let mut asking = core.clone();
    let asked = tokio::spawn(async move { asking.call(read("1", 0)).await });
    let attempt = attempts.recv().await.unwrap();
    assert!(attempt.may_start());
    assert!(matches!(asked.await.unwrap(), Ok(Answer::Failed { deadline_passed: true, .. })));
    assert!(attempt.cancel.is_cancelled() && !attempt.may_start());
}
