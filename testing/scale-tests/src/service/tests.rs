use super::*;

const MS: Duration = Duration::from_millis(1);

#[test]
fn calls_have_their_turn_and_what_waits_too_long_fails_and_keeps_it() {
    let costs = Costs { call: 100 * MS, patience: 250 * MS, places: 4, ..Costs::default() };
    let mut service = Service::new(costs);
    for call in 0..4 {
        service.call(Duration::ZERO, call, 0).unwrap();
    }
    assert_eq!(service.call(Duration::ZERO, 4, 0), Err(Ending::Full));
    let ended = service.advance(1_000 * MS);
    let expected = [(100, 0, Ending::Served), (200, 1, Ending::Served), (250, 2, Ending::Waited)];
    assert_eq!(ended[..3], expected.map(|(at, call, how)| (at * MS, call, how)));
    assert_eq!((ended.len(), service.turns()), (4, (2, 2)));
    service.call(1_000 * MS, 5, 0).unwrap();
    assert_eq!(service.advance(1_100 * MS), [(1_100 * MS, 5, Ending::Served)]);
}

#[test]
fn entries_cost_beside_the_call() {
    let mut service = Service::new(Costs { call: 5 * MS, entry: 2 * MS, ..Costs::default() });
    service.call(Duration::ZERO, 0, 10).unwrap();
    assert_eq!(service.next(), Some(25 * MS));
}
