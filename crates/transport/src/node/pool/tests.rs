use std::time::Duration;

use rstest::rstest;

use super::*;

fn pool(max_descriptors: usize) -> ConnectionPool {
    let limits = PoolLimits {
        connect_timeout: Duration::ZERO,
        idle_timeout: Duration::ZERO,
        max_descriptors,
        max_idle_per_node: 2,
    };
    ConnectionPool::new(watch::channel(limits).1)
}

/// Connections with one or two descriptors each, some in use and some idle, and a request for another one.
#[rstest]
#[case::free_descriptors(3, &[], &[1], 1, true)]
#[case::one_is_evicted(3, &[1], &[1, 1], 1, true)]
#[case::as_many_as_needed_are_evicted(3, &[1], &[1, 1], 2, true)]
#[case::all_in_use(3, &[1, 2], &[], 1, false)]
#[case::too_few_idle(3, &[2], &[1], 2, false)]
fn idle_connections_are_evicted_and_the_limit_holds(
    #[case] max_descriptors: usize,
    #[case] in_use: &[usize],
    #[case] idle: &[usize],
    #[case] requested: usize,
    #[case] granted: bool,
) {
    let (pool, owner, memory) = (pool(max_descriptors), Arc::default(), MemoryBudget::default());
    let _in_use: Vec<_> =
        in_use.iter().map(|descriptors| pool.acquire(*descriptors, &memory).unwrap()).collect();
    let idle: Vec<_> = idle
        .iter()
        .map(|descriptors| pool.add_idle(pool.acquire(*descriptors, &memory).unwrap(), &owner))
        .collect();
    let permit = pool.acquire(requested, &memory);
    assert_eq!(permit.is_some(), granted);
    assert!(pool.open_descriptors.load(Ordering::Relaxed) <= max_descriptors);
    // The connections that have been idle the longest are evicted first.
    let valid: Vec<_> = idle.iter().map(IdleEntry::is_valid).collect();
    assert!(valid.is_sorted(), "{valid:?}");
    drop((idle, permit, _in_use));
    assert_eq!(
        (pool.open_descriptors.load(Ordering::Relaxed), pool.lock().len()),
        (0, 0),
        "all descriptors are released"
    );
}

#[tokio::test]
async fn the_owner_of_an_evicted_connection_is_notified_and_cannot_take_it() {
    let (pool, owner, memory) = (pool(1), Arc::new(Notify::new()), MemoryBudget::default());
    let entry = pool.add_idle(pool.acquire(1, &memory).unwrap(), &owner);
    let _permit = pool.acquire(1, &memory).unwrap();
    owner.notified().await;
    assert!(!entry.is_valid() && entry.take().is_none());
}
