use super::*;
use heathward_policy::ShardId;

const FLEET_SIZE: u32 = 5_100;

fn endpoint(number: u32, zone: &str) -> Endpoint {
    Endpoint {
        id: format!("s-{number}").into(),
        address: ([127, 0, 0, 1], 1).into(),
        zone: zone.into(),
        shard: ShardId(number),
        state: NodeState::Ready,
        started_at: None,
    }
}

fn list_node(nodes: &mut NodeTable, number: u32, zone: &str) -> NodeId {
    let id = nodes.find_or_add(&endpoint(number, zone), 1, SendGate::default);
    nodes.mark_listed(id);
    id
}

fn at(start: Instant, seconds: u64) -> Instant {
    start + Duration::from_secs(seconds)
}

/// Guards against walking all nodes to forget a few: the set of unlisted nodes holds only those that left
/// within the last minute. Also guards against forgetting a node before its retention ends.
#[tokio::test(start_paused = true)]
async fn unlisted_nodes_are_forgotten_a_minute_after_they_left_and_no_others() {
    let (mut nodes, start) = (NodeTable::default(), Instant::now());
    let ids: Vec<NodeId> = (0..FLEET_SIZE).map(|number| list_node(&mut nodes, number, "a")).collect();
    assert_eq!((nodes.listed_count(), nodes.unlisted.len()), (FLEET_SIZE as usize, 0));
    for (second, id) in (0..).zip(&ids[..100]) {
        nodes.mark_unlisted(*id, at(start, second));
        nodes.forget_expired(at(start, second));
        let retained = second.min(59) as usize + 1;
        let sizes = (nodes.unlisted.len(), nodes.ids_by_name.len());
        assert_eq!(sizes, (retained, nodes.by_id.len()), "{second} s");
    }
    assert_eq!(nodes.listed_count(), FLEET_SIZE as usize - 100);
    assert_eq!(nodes.listed().count(), nodes.listed_count());
    nodes.forget_expired(at(start, 99 + 59));
    assert_eq!(nodes.unlisted.len(), 1, "the last node is retained for one more second");
    nodes.forget_expired(at(start, 99 + 60));
    assert_eq!((nodes.unlisted.len(), nodes.by_id.len()), (0, FLEET_SIZE as usize - 100));
}

/// Guards against a node that gets a new number, and so is new to the policy, each time it leaves the
/// endpoint list for a moment, and against a listed node that is forgotten.
#[tokio::test(start_paused = true)]
async fn a_node_that_returns_within_a_minute_keeps_its_number_and_is_not_forgotten() {
    let (mut nodes, start) = (NodeTable::default(), Instant::now());
    let first = list_node(&mut nodes, 1, "a");
    nodes.mark_unlisted(first, start);
    nodes.mark_unlisted(first, at(start, 50));
    nodes.forget_expired(at(start, 59));
    assert_eq!(list_node(&mut nodes, 1, "a"), first);
    nodes.forget_expired(at(start, 1_000));
    assert!(nodes.get(first).is_some_and(Node::is_listed) && nodes.listed_count() == 1);
    nodes.mark_unlisted(first, at(start, 1_000));
    nodes.forget_expired(at(start, 1_060));
    assert_eq!((nodes.find("s-1"), nodes.by_id.len()), (None, 0));
    assert_ne!(list_node(&mut nodes, 1, "a"), first);
}

/// Guards against zones that are never forgotten, and against a node that keeps its old zone after it has
/// moved to another.
#[tokio::test(start_paused = true)]
async fn a_zone_is_known_while_a_node_is_in_it() {
    let (mut nodes, start) = (NodeTable::default(), Instant::now());
    let ids: Vec<NodeId> =
        ["a", "b", "a"].iter().zip(0..).map(|(zone, number)| list_node(&mut nodes, number, zone)).collect();
    let zones = |nodes: &NodeTable| ids.iter().map(|id| nodes.get(*id).unwrap().zone).collect::<Vec<_>>();
    assert_eq!((zones(&nodes), nodes.zones.len()), (vec![0, 1, 0], 2));
    nodes.update(ids[0], endpoint(0, "b"));
    assert_eq!((zones(&nodes), nodes.zones.len()), (vec![1, 1, 0], 2));
    nodes.mark_unlisted(ids[2], start);
    nodes.forget_expired(start + UNLISTED_NODE_RETENTION);
    assert_eq!(nodes.zones.len(), 1);
}

/// Guards against a node that is checked twice, and against one that is checked after it was forgotten.
#[tokio::test(start_paused = true)]
async fn a_node_is_checked_once_at_the_time_that_was_scheduled_last() {
    let (mut nodes, start) = (NodeTable::default(), Instant::now());
    let ids: Vec<NodeId> = (0..3).map(|number| list_node(&mut nodes, number, "a")).collect();
    nodes.schedule_check(ids[0], Some(at(start, 9)));
    nodes.schedule_check(ids[1], Some(at(start, 2)));
    nodes.schedule_check(ids[0], Some(at(start, 1)));
    nodes.schedule_check(ids[2], Some(at(start, 3)));
    nodes.schedule_check(ids[2], None);
    assert_eq!(nodes.take_due_checks(start), []);
    assert_eq!(nodes.take_due_checks(at(start, 2)), ids[..2]);
    nodes.schedule_check(ids[0], Some(at(start, 70)));
    nodes.mark_unlisted(ids[0], start);
    nodes.forget_expired(at(start, 60));
    assert_eq!((nodes.take_due_checks(at(start, 99)), nodes.scheduled_checks.len()), (vec![], 0));
}
