use std::collections::BTreeSet;

use super::*;

/// In a large fleet, pacing delays a call by up to half a minute. Calls to a local agent must not be paced,
/// because a change that the agent has counts as delivered after a shorter time, even if it was not
/// requested. Calls to a shared service must be paced.
#[test]
fn a_local_agent_is_called_at_once_and_a_shared_service_in_the_schedulers_slot() {
    let position = FleetPosition { scheduler_index: 299, schedulers: 300 };
    let failed = WatchEnd::Failed { failure: CallFailure::Unreachable, elapsed: Duration::ZERO };
    let longest_delay = |mode, end| {
        let mut policy = ReconnectPolicy::new(mode, position, 7);
        (0..100).map(|_| policy.next_delay(end)).max().unwrap()
    };
    let polled = EndpointListMode::Polled { max_interval: 10_000_000 };
    let healthy = WatchEnd::Healthy { answered_in: Duration::from_millis(54) };
    assert!(longest_delay(EndpointListMode::Streamed, failed) <= Duration::from_secs(1));
    assert!(longest_delay(EndpointListMode::Streamed, healthy) <= Duration::from_millis(50));
    assert!(longest_delay(polled, failed) > Duration::from_secs(10));
    assert_eq!(ReconnectPolicy::new(EndpointListMode::Streamed, position, 7).first_delay(), Duration::ZERO);
    assert!(ReconnectPolicy::new(polled, position, 7).first_delay() > Duration::from_secs(10));
}

#[test]
fn schedulers_reconnect_to_their_agents_at_different_times() {
    let mut backoff = AgentBackoff::new(1);
    assert!(backoff.delay_after_failure() <= Duration::from_millis(50));
    let first_delay = |seed| AgentBackoff::new(seed).delay_after_failure();
    let delays: BTreeSet<_> = (0..100).map(first_delay).collect();
    assert!(delays.len() > 95);
}
