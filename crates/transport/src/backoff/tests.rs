use super::*;

/// Guards against a host of a large fleet that leaves its own agent alone for half a minute while what
/// that has counts as told, and against one that is as quick at a service of all.
#[test]
fn ones_own_agent_is_called_at_once_and_a_service_of_all_by_ones_place() {
    let place = Place { host: 299, hosts: 300 };
    let failed = Ended::Failed(Failure::Absent, Duration::ZERO);
    let longest = |lists, ended| {
        let mut pace = Pace::new(lists, place, 7);
        (0..100).map(|_| pace.next(ended)).max().unwrap()
    };
    let asked = ListMode::Asked { within: 10_000_000 };
    let sound = Ended::Sound(Duration::from_millis(54));
    assert!(longest(ListMode::Pushed, failed) <= Duration::from_secs(1));
    assert!(longest(ListMode::Pushed, sound) <= Duration::from_millis(50));
    assert!(longest(asked, failed) > Duration::from_secs(10));
    assert_eq!(Pace::new(ListMode::Pushed, place, 7).first(), Duration::ZERO);
    assert!(Pace::new(asked, place, 7).first() > Duration::from_secs(10));
}

#[test]
fn no_two_hosts_keep_step_with_their_agents() {
    let mut one = Backoff::new(1);
    assert!(one.pause(false) <= Duration::from_millis(50));
    let first: std::collections::BTreeSet<_> = (0..100).map(|seed| Backoff::new(seed).pause(false)).collect();
    assert!(first.len() > 95);
}
