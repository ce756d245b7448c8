use super::*;
use heathward_policy::ShardId;

const SIZE: u32 = 5_100;

fn member(number: u32, zone: &str) -> Endpoint {
    Endpoint {
        id: format!("s-{number}").into(),
        address: ([127, 0, 0, 1], 1).into(),
        zone: zone.into(),
        shard: ShardId(number),
        state: NodeState::Ready,
        started_at: None,
    }
}

fn listed(nodes: &mut Nodes, number: u32, zone: &str) -> NodeId {
    let id = nodes.find_or_add(&member(number, zone), 1, SendGate::default);
    nodes.list(id, mpsc::channel(1).0);
    id
}

fn at(start: Instant, seconds: u64) -> Instant {
    start + Duration::from_secs(seconds)
}

/// Guards against a walk of all nodes to forget a few: each is found at the front, when its time has come and
/// not before, and what is kept is what left within a minute.
#[tokio::test(start_paused = true)]
async fn nodes_are_forgotten_a_minute_after_they_left_and_not_by_others() {
    let (mut nodes, start) = (Nodes::default(), Instant::now());
    let ids: Vec<NodeId> = (0..SIZE).map(|number| listed(&mut nodes, number, "a")).collect();
    assert_eq!((nodes.listed_count(), nodes.unlisted.len()), (SIZE as usize, 0));
    for (second, id) in (0..).zip(&ids[..100]) {
        nodes.unlist(*id, at(start, second));
        nodes.forget(at(start, second));
        let left = second.min(59) as usize + 1;
        assert_eq!((nodes.unlisted.len(), nodes.numbers.len()), (left, nodes.known.len()), "{second} s");
    }
    assert_eq!(nodes.listed_count(), SIZE as usize - 100);
    assert_eq!(nodes.listed().count(), nodes.listed_count());
    nodes.forget(at(start, 99 + 59));
    assert_eq!(nodes.unlisted.len(), 1, "the last, for one second more");
    nodes.forget(at(start, 99 + 60));
    assert_eq!((nodes.unlisted.len(), nodes.known.len()), (0, SIZE as usize - 100));
}

/// Guards against a node that is new to the module each time it leaves its list for a moment, and against
/// one that is forgotten although it is listed.
#[tokio::test(start_paused = true)]
async fn a_node_that_returns_within_a_minute_keeps_its_number_and_is_kept() {
    let (mut nodes, start) = (Nodes::default(), Instant::now());
    let first = listed(&mut nodes, 1, "a");
    nodes.unlist(first, start);
    nodes.unlist(first, at(start, 50));
    nodes.forget(at(start, 59));
    assert_eq!(listed(&mut nodes, 1, "a"), first);
    nodes.forget(at(start, 1_000));
    assert!(nodes.get(first).is_some_and(Node::is_listed) && nodes.listed_count() == 1);
    nodes.unlist(first, at(start, 1_000));
    nodes.forget(at(start, 1_060));
    assert_eq!((nodes.find("s-1"), nodes.known.len()), (None, 0));
    assert_ne!(listed(&mut nodes, 1, "a"), first);
}

/// Guards against zones that are kept for ever, and against a node's zone that stays the one it came from.
#[tokio::test(start_paused = true)]
async fn a_zone_is_known_for_as_long_as_a_node_is_in_it() {
    let (mut nodes, start) = (Nodes::default(), Instant::now());
    let ids: Vec<NodeId> = ["a", "b", "a"].iter().zip(0..).map(|(z, n)| listed(&mut nodes, n, z)).collect();
    let zones = |nodes: &Nodes| ids.iter().map(|id| nodes.get(*id).unwrap().zone).collect::<Vec<_>>();
    assert_eq!((zones(&nodes), nodes.zones.len()), (vec![0, 1, 0], 2));
    nodes.update(ids[0], member(0, "b"));
    assert_eq!((zones(&nodes), nodes.zones.len()), (vec![1, 1, 0], 2));
    nodes.unlist(ids[2], start);
    nodes.forget(start + FORGET);
    assert_eq!(nodes.zones.len(), 1);
}

/// Guards against a node that is due twice, and one that is due after it was forgotten.
#[tokio::test(start_paused = true)]
async fn a_node_is_due_once_at_its_last_time() {
    let (mut nodes, start) = (Nodes::default(), Instant::now());
    let ids: Vec<NodeId> = (0..3).map(|number| listed(&mut nodes, number, "a")).collect();
    nodes.set_due(ids[0], Some(at(start, 9)));
    nodes.set_due(ids[1], Some(at(start, 2)));
    nodes.set_due(ids[0], Some(at(start, 1)));
    nodes.set_due(ids[2], Some(at(start, 3)));
    nodes.set_due(ids[2], None);
    assert_eq!(nodes.take_due(start), []);
    assert_eq!(nodes.take_due(at(start, 2)), ids[..2]);
    nodes.set_due(ids[0], Some(at(start, 70)));
    nodes.unlist(ids[0], start);
    nodes.forget(at(start, 60));
    assert_eq!((nodes.take_due(at(start, 99)), nodes.due.len()), (vec![], 0));
}
