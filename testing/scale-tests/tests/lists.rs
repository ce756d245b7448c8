//! The hollow list service: what a call brings, what an outage costs, and the bytes of real lines.
#![cfg(test)]

use std::time::Duration;

use heathward_policy::{EndpointEntry, Micros, NodeId, NodeState, ShardId};
use heathward_scale_tests::lists::{entry_line, line_bytes, Delivery, ListPlane, ListWay, TrueList};
use heathward_scale_tests::service::Costs;

const SECOND: Micros = 1_000_000;

fn entry(node: u32, started: Option<Micros>) -> EndpointEntry {
    EndpointEntry {
        node: NodeId(node),
        shard: ShardId(node),
        zone: 0,
        state: NodeState::Ready,
        started_at: started,
    }
}

fn truth(nodes: u32) -> TrueList {
    TrueList::new((0..nodes).map(|node| entry(node, None)).collect())
}

fn shared(schedulers: u32) -> ListPlane {
    let costs = Costs { call: Duration::from_millis(10), ..Costs::default() };
    let way = ListWay::Shared { servers: 2, costs, delay: 1_000..=2_000 };
    let mut plane = ListPlane::new(way, truth(50), schedulers, schedulers, 3);
    (0..schedulers).for_each(|scheduler| plane.start(0, scheduler));
    plane
}

/// The size that is reckoned with is that of a line as discovery writes it.
#[test]
fn lines_have_the_size_of_real_ones() {
    let line = format!(
        r#"{{"revision":1000000,"complete":false,"members":[{}]}}"#,
        vec![entry_line(); 500].join(",")
    );
    let chunk = format!("{:x}\r\n{line}\n\r\n", line.len() + 1);
    let off = chunk.len().abs_diff(line_bytes(500));
    assert!(off <= 2, "{} and {}", chunk.len(), line_bytes(500));
}

#[test]
fn a_first_call_brings_the_whole_list_and_a_watch_each_change_in_order() {
    let mut plane = shared(20);
    let first = plane.advance(60 * SECOND);
    let whole: Vec<&Delivery> = first.iter().filter(|line| line.after.is_none()).collect();
    assert_eq!(whole.len(), 20);
    for version in 1..=3 {
        assert_eq!(plane.change(60 * SECOND + version, vec![entry(7, Some(version))]) as u64, version);
    }
    let lines = plane.advance(61 * SECOND);
    for scheduler in 0..20 {
        let of: Vec<_> = lines
            .iter()
            .filter(|line| line.scheduler == scheduler && !line.is_empty())
            .map(|line| (line.after, line.version))
            .collect();
        assert_eq!(of, [(Some(0), 1), (Some(1), 2), (Some(2), 3)], "scheduler {scheduler}");
    }
    assert_eq!(plane.truth().entries()[7], entry(7, Some(3)));
}

/// What changed while the service was away comes as changes, not as a whole list, and nobody is left out.
#[test]
fn calls_after_an_outage_resume() {
    let mut plane = shared(50);
    plane.advance(60 * SECOND);
    plane.outage(60 * SECOND, 90 * SECOND);
    plane.change(70 * SECOND, vec![entry(1, Some(70 * SECOND))]);
    let during = plane.advance(90 * SECOND - 1);
    assert!(during.is_empty(), "{during:?}");
    let after = plane.advance(160 * SECOND);
    let resumed = after.iter().filter(|line| line.after == Some(0) && line.version == 1).count();
    assert_eq!((resumed, plane.costs().whole_lists), (50, 50));
}

#[test]
fn a_deaf_scheduler_hears_at_the_end_of_that() {
    let way = ListWay::Agents { delay: 1_000..=2_000 };
    let mut plane = ListPlane::new(way, truth(5), 2, 2, 1);
    (0..2).for_each(|scheduler| plane.start(0, scheduler));
    plane.advance(SECOND);
    // The second line is under way as it falls deaf.
    plane.change(2 * SECOND, vec![entry(0, Some(2))]);
    plane.deafen(1, 5 * SECOND);
    plane.change(3 * SECOND, vec![entry(0, Some(3))]);
    let heard: Vec<_> = plane
        .advance(6 * SECOND)
        .iter()
        .filter(|line| !line.is_empty())
        .map(|line| (line.scheduler, line.at / SECOND, line.after, line.version))
        .collect();
    assert_eq!(heard, [(0, 2, Some(0), 1), (0, 3, Some(1), 2), (1, 5, Some(0), 2)]);
}
