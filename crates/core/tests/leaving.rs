//! Departures are told whatever waits: a full mailbox loses none, and what waits in it for nobody is dropped.

use std::future::Future;
use std::pin::Pin;
use std::sync::Arc;
use std::task::{Context, Poll, Waker};
use std::time::Duration;

use heathward_core::{start, Answer, Attempt, Core, DiscoveryUpdate, Gone, Member, Message, Work};
use heathward_policy::*;
use tokio::sync::mpsc;
use tokio::task::unconstrained;
use tokio::time::sleep;
use tower::Service;

mod common;

use common::{deployment, read};

/// The core before one node, and the attempts that go there.
async fn core() -> (Core, mpsc::Receiver<Attempt>) {
    let (mailbox, attempts) = mpsc::channel(64);
    let core =
        start(Arc::new(deployment(1, 1_000_000, None)), 1, Box::new(move |_, _| mailbox.clone())).unwrap();
    let member = Member {
        id: "s-0".into(),
        address: ([127, 0, 0, 1], 1).into(),
        zone: "a".into(),
        shard: ShardId(0),
        state: NodeState::Ready,
        started: None,
    };
    let update = DiscoveryUpdate { revision: 1, kind: ListKind::Whole, members: vec![member] };
    core.discovery_mailbox().send(Message::Update(update)).await.unwrap();
    (core, attempts)
}

type Asking = Pin<Box<dyn Future<Output = Result<Answer, Gone>> + Send>>;

/// Puts a call into the core's mailbox, as far as there is room, without a turn of the core.
fn ask(core: &Core, number: usize) -> Asking {
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
    assert!(attempt.may_begin());
    let burst: Vec<Asking> = (1..=BURST).map(|number| ask(&core, number)).collect();
    drop(first);
    assert!(!attempt.may_begin() && attempt.cancel.is_cancelled(), "seen by the writer at once");
    drop(burst);
    let last = ask_later(&core);
    let attempt = attempts.recv().await.unwrap();
    assert_eq!(&*attempt.work.call, "later", "all before it had left");
    let counters = core.metrics().await.unwrap().counters;
    assert!(counters.gone >= 4_096 && counters.sent == 2, "{counters}");
    assert_eq!(counters.gone + 1, counters.taken, "{counters}");
    last.abort();
    sleep(Duration::from_millis(1)).await;
    assert!(attempt.cancel.is_cancelled());
    assert_eq!(core.metrics().await.unwrap().active, 0);
}

/// One that comes once the burst has passed.
fn ask_later(core: &Core) -> tokio::task::JoinHandle<()> {
    let mut later = read("0", 0);
    let work = Work { call: "later".into(), ..(*later.work).clone() };
    later.work = Arc::new(work);
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
    assert!(attempt.may_begin());
    assert!(matches!(asked.await.unwrap(), Ok(Answer::Failed { late: true, .. })));
    assert!(attempt.cancel.is_cancelled() && !attempt.may_begin());
}
