//! The state that one process hands over to the next, as one line of JSON.

use heathward_core::{ClientRequestId, Endpoint, EndpointUpdate, HandoverState, SlowStartNode};
use heathward_policy::{EndpointUpdateKind, NodeState, ShardId};
use heathward_transport::handover::{decode, encode};

const STATE: &str = include_str!("fixtures/handover-state.json");
/// The same state from a version that does not pass on the ids of requests.
const STATE_WITHOUT_IDS: &str = include_str!("fixtures/handover-state-without-ids.json");

fn endpoint(
    id: &str,
    address: &str,
    zone: &str,
    shard: u32,
    state: NodeState,
    started_at: Option<u64>,
) -> Endpoint {
    Endpoint {
        id: id.into(),
        address: address.parse().unwrap(),
        zone: zone.into(),
        shard: ShardId(shard),
        state,
        started_at,
    }
}

/// Returns a state with every field set: nodes in every state, with and without a start time, with and
/// without a zone, and with IPv4 and IPv6 addresses.
fn handover_state() -> HandoverState {
    HandoverState {
        endpoint_list: EndpointUpdate {
            revision: 9_007_199_254_740_993,
            kind: EndpointUpdateKind::Snapshot,
            endpoints: vec![
                endpoint("s-ready", "127.0.0.1:9001", "a", 0, NodeState::Ready, None),
                endpoint(
                    "s-draining",
                    "10.1.0.18:8080",
                    "b",
                    3,
                    NodeState::Draining,
                    Some(1_700_000_000_123_456),
                ),
                endpoint(
                    "s-gone",
                    "[::1]:65535",
                    "",
                    u32::MAX,
                    NodeState::Removed,
                    Some(1_700_000_000_123_000),
                ),
                endpoint("s-\"quoted\"\\\u{e9}\n", "127.0.0.1:9002", "a", 1, NodeState::Ready, Some(1)),
            ],
        },
        suspended: vec!["s-ready".into(), "s-unlisted".into()],
        slow_start: vec![
            SlowStartNode { id: "s-ready".into(), since: 1_700_000_000_123_456 },
            SlowStartNode { id: "s-draining".into(), since: u64::MAX },
        ],
        paused: true,
        client_ids: Some(vec![ClientRequestId(0x9b1f_03aa_5c7e_2d41), ClientRequestId(u64::MAX)]),
    }
}

#[test]
fn a_handover_state_is_encoded_to_the_stored_bytes() {
    assert_eq!(encode(handover_state()), STATE.strip_suffix('\n').unwrap());
}

#[test]
fn the_stored_bytes_of_a_handover_decode_to_the_same_state() {
    assert_eq!(decode(STATE.strip_suffix('\n').unwrap().as_bytes()), Ok(handover_state()));
}

#[test]
fn the_stored_bytes_of_an_earlier_version_decode_to_the_same_state_without_ids() {
    let state = HandoverState { client_ids: None, ..handover_state() };
    assert_eq!(decode(STATE_WITHOUT_IDS.strip_suffix('\n').unwrap().as_bytes()), Ok(state));
}
