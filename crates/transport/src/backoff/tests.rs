use super::*;

/// Guards against a host of a large fleet that leaves its own agent alone for half a minute while what
/// that has counts as told, and against one that is as quick at a service of all.
#[test]
fn ones_own_agent_is_called_at_once_and_a_service_of_all_by_ones_place() {
    let place = FleetPosition { scheduler_index: 299, schedulers: 300 };
    let failed = WatchEnd::Failed(CallFailure::Unreachable, Duration::ZERO);
    let longest = |lists, ended| {
        let mut pace = ReconnectPolicy::new(lists, place, 7);
        (0..100).map(|_| pace.next_delay(ended)).max().unwrap()
    };
    let asked = EndpointListMode::Polled { max_interval: 10_000_000 };
    let sound = WatchEnd::Healthy(Duration::from_millis(54));
    assert!(longest(EndpointListMode::Streamed, failed) <= Duration::from_secs(1));
    assert!(longest(EndpointListMode::Streamed, sound) <= Duration::from_millis(50));
    assert!(longest(asked, failed) > Duration::from_secs(10));
    assert_eq!(ReconnectPolicy::new(EndpointListMode::Streamed, place, 7).first_delay(), Duration::ZERO);
    assert!(ReconnectPolicy::new(asked, place, 7).first_delay() > Duration::from_secs(10));
}

#[test]
fn no_two_hosts_keep_step_with_their_agents() {
    let mut one = AgentBackoff::new(1);
    assert!(one.next_delay(false) <= Duration::from_millis(50));
    let first: std::collections::BTreeSet<_> =
        (0..100).map(|seed| AgentBackoff::new(seed).next_delay(false)).collect();
    assert!(first.len() > 95);
}
