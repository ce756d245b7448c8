//! Tests of the budget, without sockets.

use std::time::Duration;

use bytes::Bytes;
use futures_util::FutureExt;
use tokio::time::timeout;

use super::*;

const HOLDER: MemoryHolder = MemoryHolder::Uploads;

/// Limits that leave enough for connections.
fn limits(bodies: usize) -> MemoryLimits {
    MemoryLimits { bodies, total: usize::MAX, shared: usize::MAX }
}

fn budget(bodies: usize) -> MemoryBudget {
    MemoryBudget::new(limits(bodies))
}

fn held(budget: &MemoryBudget) -> usize {
    budget.usage().total()
}

#[test]
fn required_reservations_use_all_of_the_limit_and_optional_ones_half_of_it() {
    let budget = budget(100);
    assert!(budget.try_reserve(HOLDER, 51, Priority::Optional).is_none());
    let optional = budget.try_reserve(MemoryHolder::Replies, 50, Priority::Optional).unwrap();
    assert!(budget.try_reserve(HOLDER, 1, Priority::Optional).is_none());
    let required = budget.try_reserve(HOLDER, 50, Priority::Required).unwrap();
    assert!(budget.try_reserve(HOLDER, 1, Priority::Required).is_none());
    assert_eq!(budget.usage().held, [0, 50, 50, 0, 0, 0, 0]);
    drop((optional, required));
    assert_eq!((held(&budget), budget.usage().peak_bodies), (0, 100));
}

/// Connections are limited elsewhere, so they are always granted, and bodies that can't wait pass beside
/// them.
#[test]
fn connections_leave_less_for_optional_reservations_only() {
    let budget = MemoryBudget::new(MemoryLimits { bodies: 100, total: 200, shared: usize::MAX });
    let connections = budget.charge(MemoryHolder::ClientConnections, 300);
    assert!(budget.try_reserve(HOLDER, 1, Priority::Optional).is_none());
    let required = budget.try_reserve(HOLDER, 100, Priority::Required).unwrap();
    assert_eq!((held(&budget), budget.usage().bodies()), (400, 100));
    drop((connections, required));
    assert!(budget.try_reserve(HOLDER, 50, Priority::Optional).is_some());
}

#[test]
fn attached_data_holds_its_reservation_until_the_last_clone_is_dropped() {
    let budget = budget(100);
    let reservation = budget.try_reserve(HOLDER, 30, Priority::Required).unwrap();
    let data = reservation.attach(Bytes::from_static(b"data"));
    let part = data.slice(1..2);
    drop(data);
    assert_eq!((&*part, held(&budget)), (&b"a"[..], 30));
    drop(part);
    assert_eq!(held(&budget), 0);
}

#[tokio::test]
async fn reservations_wait_in_the_order_of_their_calls() {
    let budget = budget(100);
    let first = budget.reserve(HOLDER, 90).await;
    let mut large = Box::pin(budget.reserve(HOLDER, 80));
    assert!(large.as_mut().now_or_never().is_none());
    // There would be memory for this one, but it came later.
    let mut small = Box::pin(budget.reserve(HOLDER, 5));
    assert!(small.as_mut().now_or_never().is_none());
    drop(first);
    let large = timeout(Duration::from_secs(1), large).await.expect("memory was released");
    let small = timeout(Duration::from_secs(1), small).await.expect("its turn has come");
    assert_eq!((held(&budget), budget.usage().waits), (85, 2));
    drop((large, small));
}

/// Guards against a reservation that waits for ever after the one before it was given up.
#[tokio::test]
async fn a_reservation_that_is_given_up_lets_the_next_one_through() {
    let budget = budget(100);
    let first = budget.reserve(HOLDER, 100).await;
    let mut given_up = Box::pin(budget.reserve(HOLDER, 100));
    assert!(given_up.as_mut().now_or_never().is_none());
    let mut next = Box::pin(budget.reserve(HOLDER, 10));
    assert!(next.as_mut().now_or_never().is_none());
    drop(first);
    drop(given_up);
    timeout(Duration::from_secs(1), next).await.expect("memory is free");
}

#[tokio::test]
async fn a_raised_limit_wakes_a_waiting_reservation_and_a_lowered_one_grants_nothing() {
    let budget = budget(100);
    let first = budget.reserve(HOLDER, 90).await;
    budget.set_limits(limits(50));
    let mut waiting = Box::pin(budget.reserve(HOLDER, 20));
    assert!(waiting.as_mut().now_or_never().is_none());
    budget.set_limits(limits(110));
    timeout(Duration::from_secs(1), waiting).await.expect("the limit was raised");
    drop(first);
}

/// Guards against chunks that wait for copies whose clients read slowly, as after a lowered limit.
#[tokio::test]
async fn copies_leave_half_of_the_limit_to_streams_and_do_not_hold_them_up() {
    let budget = budget(200);
    let copies = budget.reserve(MemoryHolder::Replies, 150).await;
    budget.set_limits(limits(100));
    let mut command = Box::pin(budget.reserve(MemoryHolder::NvmeCommands, 10));
    assert!(command.as_mut().now_or_never().is_none());
    let chunk = budget.reserve(MemoryHolder::Uploads, 50).now_or_never().expect("half is for streams");
    assert!(budget.reserve(MemoryHolder::Uploads, 1).now_or_never().is_none());
    // Uploads that wait for their nodes leave an eighth of the limit to replies, and no more.
    let reply = budget.reserve(MemoryHolder::Downloads, 12).now_or_never().expect("12 are for replies");
    assert!(budget.reserve(MemoryHolder::Downloads, 1).now_or_never().is_none());
    drop(copies);
    timeout(Duration::from_secs(1), command).await.expect("memory was released");
    drop((chunk, reply));
}

#[tokio::test]
async fn a_reservation_beyond_the_limit_is_granted_once_it_is_the_only_one() {
    let budget = budget(100);
    let first = budget.reserve(MemoryHolder::NvmeCommands, 1).await;
    let mut waiting = Box::pin(budget.reserve(MemoryHolder::NvmeCommands, 200));
    assert!(waiting.as_mut().now_or_never().is_none());
    drop(first);
    timeout(Duration::from_secs(1), waiting).await.expect("nothing else is reserved");
}

#[test]
fn a_buffer_reserves_what_it_allocates_and_never_more_than_the_expected_size() {
    let budget = budget(1 << 20);
    let mut buffer = ReservedBuffer::new(&budget, HOLDER, 65_536);
    for _ in 0..16 {
        buffer.append(&[7; 4096]).unwrap();
        assert!(held(&budget) >= buffer.len() && held(&budget) <= 65_536);
    }
    let data = buffer.into_bytes();
    assert_eq!((data.len(), held(&budget)), (65_536, 65_536));
    drop(data);
    assert_eq!(held(&budget), 0);
}

#[test]
fn a_small_buffer_may_use_all_of_the_limit_and_a_large_one_half_of_it() {
    let budget = budget(64 * 1024);
    let half = budget.try_reserve(MemoryHolder::Replies, 32 * 1024, Priority::Optional);
    let mut buffer = ReservedBuffer::new(&budget, HOLDER, 65_536);
    buffer.append(&[7; 8192]).unwrap();
    assert_eq!(buffer.append(&[7; 1]), Err(OutOfMemory));
    assert_eq!(buffer.len(), 8192);
    drop(half);
    buffer.append(&[7; 1]).unwrap();
    assert_eq!(buffer.into_bytes().len(), 8193);
}

#[test]
fn a_buffer_with_a_reservation_needs_no_more() {
    let budget = budget(100);
    let reservation = budget.try_reserve(HOLDER, 100, Priority::Required).unwrap();
    let mut buffer = ReservedBuffer::with_reservation(reservation);
    buffer.append(&[7; 60]).unwrap();
    buffer.append(&[7; 40]).unwrap();
    assert_eq!((buffer.into_bytes().len(), budget.usage().peak_bodies), (100, 100));
}

/// Guards against connections to nodes that leave nothing to bodies, and against bodies and connections that
/// together hold more than there is.
#[test]
fn connections_to_nodes_share_memory_with_bodies_and_leave_them_an_eighth() {
    let budget = MemoryBudget::new(MemoryLimits { bodies: 80, total: usize::MAX, shared: 100 });
    let connect = |bytes| budget.try_reserve(MemoryHolder::NodeConnections, bytes, Priority::Required);
    let stream = |bytes| budget.try_reserve(MemoryHolder::Uploads, bytes, Priority::Required);
    let connections = connect(90).unwrap();
    assert!(connect(1).is_none(), "the rest is for bodies");
    let chunk = stream(10).unwrap();
    assert!(stream(1).is_none());
    drop(connections);
    let connections = connect(60).unwrap();
    let chunks = stream(30).unwrap();
    assert!(connect(1).is_none() && stream(1).is_none(), "{:?}", budget.usage());
    drop((chunk, chunks));
    assert!(budget.try_reserve(MemoryHolder::Replies, 21, Priority::Optional).is_none());
    let copy = budget.try_reserve(MemoryHolder::Replies, 20, Priority::Optional);
    assert!(copy.is_some(), "half of what connections leave");
    drop((connections, copy));
    assert_eq!(held(&budget), 0);
}
