use std::time::Duration;

use rstest::rstest;

use super::*;

fn pool(open: usize) -> ConnectionPool {
    let limits = PoolLimits { connect: Duration::ZERO, idle: Duration::ZERO, open, most_idle: 2 };
    ConnectionPool::new(watch::channel(limits).1)
}

/// Connections with one or two descriptors each, some in use and some idle, and a request for another one.
#[rstest]
#[case::room(3, &[], &[1], 1, true)]
#[case::one_makes_way(3, &[1], &[1, 1], 1, true)]
#[case::as_many_as_it_takes(3, &[1], &[1, 1], 2, true)]
#[case::all_in_use(3, &[1, 2], &[], 1, false)]
#[case::too_few_idle(3, &[2], &[1], 2, false)]
fn what_is_idle_makes_way_and_the_limit_holds(
    #[case] open: usize,
    #[case] used: &[usize],
    #[case] idle: &[usize],
    #[case] wanted: usize,
    #[case] given: bool,
) {
    let (pool, owner) = (pool(open), Arc::default());
    let _used: Vec<_> = used.iter().map(|sockets| pool.permit(*sockets).unwrap()).collect();
    let idle: Vec<_> = idle.iter().map(|n| pool.park(pool.permit(*n).unwrap(), &owner)).collect();
    let permit = pool.permit(wanted);
    assert_eq!(permit.is_some(), given);
    assert!(pool.open.load(Ordering::Relaxed) <= open);
    // The longest idle go first.
    let standing: Vec<_> = idle.iter().map(Parked::stands).collect();
    assert!(standing.is_sorted(), "{standing:?}");
    drop((idle, permit, _used));
    assert_eq!((pool.open.load(Ordering::Relaxed), pool.lock().len()), (0, 0), "all is given back");
}

#[tokio::test]
async fn whoever_owns_what_makes_way_is_told_and_finds_it_gone() {
    let (pool, owner) = (pool(1), Arc::new(Notify::new()));
    let parked = pool.park(pool.permit(1).unwrap(), &owner);
    let _permit = pool.permit(1).unwrap();
    owner.notified().await;
    assert!(!parked.stands() && parked.take().is_none());
}
