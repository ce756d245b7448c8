//! Client disconnects always reach the core: a full request channel loses none, and requests of
//! disconnected clients that wait in it are dropped.
#![cfg(test)]

use std::future::Future;
use std::pin::Pin;
use std::sync::Arc;
use std::task::{Context, Poll, Waker};
use std::time::Duration;

use heathward_core::{
    start_core, Answer, Attempt, CoreHandle, CoreMessage, CoreStopped, EndpointUpdate, NodeRequest,
};
use heathward_policy::{EndpointUpdateKind, NodeState};
use tokio::sync::mpsc;
use tokio::task::unconstrained;
use tokio::time::sleep;
use tower::Service;

mod common;

use common::{deployment, endpoint, read_request};

/// Starts a core with one node, and returns it with the attempts that are sent to the node.
async fn core_with_one_node() -> (CoreHandle, mpsc::Receiver<Box<Attempt>>) {
    let (to_node, attempts) = mpsc::channel(64);
    let deployment = Arc::new(deployment(1, 1_000_000, None));
    let core = start_core(deployment, 1, Box::new(move |_, _| to_node.clone())).unwrap();
    let update = EndpointUpdate {
        revision: 1,
        kind: EndpointUpdateKind::Snapshot,
        endpoints: vec![endpoint(0, NodeState::Ready)],
    };
    core.discovery_sender().send(CoreMessage::EndpointUpdate(update)).await.unwrap();
    (core, attempts)
}

type PendingAnswer = Pin<Box<dyn Future<Output = Result<Answer, CoreStopped>> + Send>>;

/// Sends a request to the core's channel without giving the core a turn. The request waits if the channel
/// is full.
fn submit(core: &CoreHandle, number: usize) -> PendingAnswer {
    // Without `unconstrained`, the runtime would make a task with so many operations yield to others.
    let mut answer: PendingAnswer =
        Box::pin(unconstrained(core.clone().call(read_request(&number.to_string(), 0))));
    let mut cx = Context::from_waker(Waker::noop());
    assert!(matches!(answer.as_mut().poll(&mut cx), Poll::Pending));
    answer
}

/// More requests than the core's request channel holds, which is 4096.
const BURST_SIZE: usize = 5_000;

/// Guards against an attempt that starts for a client that has disconnected: the attempt was waiting for a
/// connection, and the full channel must not delay its cancellation. Also guards against work for clients
/// that disconnected while their requests waited in the channel.
#[tokio::test(start_paused = true)]
async fn a_full_channel_loses_no_disconnect_and_nothing_starts_for_disconnected_clients() {
    let (core, mut attempts) = core_with_one_node().await;
    let first = submit(&core, 0);
    let attempt = attempts.recv().await.unwrap();
    assert!(attempt.may_start());
    let burst: Vec<PendingAnswer> = (1..=BURST_SIZE).map(|number| submit(&core, number)).collect();
    drop(first);
    assert!(
        !attempt.may_start() && attempt.cancel.is_cancelled(),
        "the writer sees the cancellation at once"
    );
    drop(burst);
    let last = submit_after_burst(&core);
    let attempt = attempts.recv().await.unwrap();
    assert_eq!(
        &*attempt.node_request.client_request_id, "later",
        "the clients of all earlier requests had disconnected"
    );
    let counters = core.metrics().await.unwrap().counters;
    assert!(counters.client_disconnects >= 4_096 && counters.attempts_sent == 2, "{counters}");
    assert_eq!(counters.client_disconnects + 1, counters.requests_received, "{counters}");
    last.abort();
    sleep(Duration::from_millis(1)).await;
    assert!(attempt.cancel.is_cancelled());
    assert_eq!(core.metrics().await.unwrap().active_requests, 0);
}

/// Submits one more request once the channel has capacity.
fn submit_after_burst(core: &CoreHandle) -> tokio::task::JoinHandle<()> {
    let mut request = read_request("0", 0);
    let node_request = NodeRequest { client_request_id: "later".into(), ..(*request.node_request).clone() };
    request.node_request = Arc::new(node_request);
    let mut core = core.clone();
    tokio::spawn(async move { drop(core.call(request).await) })
}

/// Guards against sending the first byte of a request that the core itself has answered after its deadline.
#[tokio::test(start_paused = true)]
async fn an_attempt_of_an_answered_request_does_not_start() {
    let (core, mut attempts) = core_with_one_node().await;
    let mut client = core.clone();
    let answer = tokio::spawn(async move { client.call(read_request("1", 0)).await });
    let attempt = attempts.recv().await.unwrap();
    assert!(attempt.may_start());
    assert!(matches!(answer.await.unwrap(), Ok(Answer::Failed { deadline_passed: true, .. })));
    assert!(attempt.cancel.is_cancelled() && !attempt.may_start());
}
