//! The endpoint list: nodes that leave service, and the subscription to the list.
#![cfg(test)]

mod common;
use common::*;
use heathward_policy::*;

#[test]
fn nothing_is_sent_to_a_draining_removed_or_unlisted_node() {
    for state in [NodeState::Draining, NodeState::Removed] {
        let mut harness = Harness::with_nodes(settings(), &[1]);
        let entry = EndpointEntry { state, ..endpoint(1) };
        harness.update_endpoints(EndpointUpdateKind::Changes, vec![entry]);
        assert!(harness.submit(sample_request(1)).is_empty());
        assert_eq!(harness.answer_count(1), 1);
    }
    let mut harness = Harness::with_nodes(settings(), &[1]);
    harness.update_endpoints(EndpointUpdateKind::Snapshot, vec![endpoint(2)]);
    assert!(harness.submit(sample_request(1)).is_empty());
}

#[test]
fn a_subscription_is_opened_soon_after_a_start_and_again_after_a_failure() {
    let mode = EndpointListMode::Polled { max_interval: 10_000_000 };
    let mut harness = Harness::new(Settings { endpoint_list_mode: mode, ..settings() });
    let subscriptions =
        |harness: &Harness| harness.actions.iter().filter(|timed| timed.action == Action::Subscribe).count();
    harness.set_endpoints(&[1]);
    harness.advance(400_000);
    assert_eq!(subscriptions(&harness), 1);
    harness.update_endpoints(EndpointUpdateKind::Failed, vec![]);
    harness.advance(400_000);
    assert_eq!(subscriptions(&harness), 2);
    harness.update_endpoints(EndpointUpdateKind::Changes, vec![]);
    harness.advance(60_000_000);
    assert_eq!(subscriptions(&harness), 2);
}
