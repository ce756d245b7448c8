use super::*;

const SECOND: Duration = Duration::from_secs(1);

fn at(start: Instant, seconds: f64) -> Instant {
    start + Duration::from_secs_f64(seconds)
}

fn ruled(start: Instant) -> EndpointLease {
    let mut lease = EndpointLease::new(start);
    lease.set_limits(true, None);
    lease
}

/// The moments, in tenths of a second up to 20 s, at which it holds.
fn holds(lease: &EndpointLease, start: Instant) -> Vec<std::ops::RangeInclusive<u32>> {
    let mut spans: Vec<std::ops::RangeInclusive<u32>> = Vec::new();
    for tenth in (0..200).filter(|tenth| lease.is_valid(at(start, f64::from(*tenth) / 10.0))) {
        match spans.last_mut() {
            Some(span) if *span.end() + 1 == tenth => *span = *span.start()..=tenth,
            _ => spans.push(tenth..=tenth),
        }
    }
    spans
}

/// Guards against going by a list for as long as calls fail: up to 36 s with 300 hosts, where what
/// discovery has to tell counts as told after 6. And against going by the list of the start while this
/// program is slow to read what its agent has.
#[test]
fn a_list_is_gone_by_from_the_first_line_until_6_s_after_the_last() {
    let start = Instant::now();
    let unruled = EndpointLease::new(start);
    assert!(holds(&unruled, start) == [0..=199] && unruled.next_change(start).is_none());
    let mut lease = ruled(start);
    assert_eq!(holds(&lease, start), [10..=59], "no line: the one of the start, later and for a while");
    assert_eq!(lease.next_change(start), Some(at(start, 1.0)));
    let mut silent = lease;
    silent.record_unanswered_call(at(start, 0.2));
    assert_eq!(holds(&silent, start), [2..=59]);
    // It took a call, and had nothing to tell.
    silent.record_contact(at(start, 5.0));
    assert_eq!((holds(&silent, start), silent.last_contact()), (vec![2..=109], at(start, 5.0)));
    lease.record_contact(at(start, 0.3));
    assert_eq!(holds(&lease, start), [3..=62]);
    lease.record_contact(at(start, 3.0));
    assert_eq!(holds(&lease, start), [3..=89]);
    lease.record_contact(at(start, 2.0));
    assert_eq!(lease.next_change(at(start, 4.0)), Some(at(start, 9.0)), "a late word takes nothing back");
    assert_eq!(lease.next_change(at(start, 9.0)), None);
}

#[test]
fn without_a_watch_a_list_that_is_asked_for_holds_as_long_as_settings_say() {
    let start = Instant::now();
    let mut lease = EndpointLease::new(start);
    lease.set_limits(true, Some(10 * SECOND));
    lease.record_contact(at(start, 1.0));
    assert_eq!(holds(&lease, start), [10..=69], "a watch that falls silent");
    lease.record_watch_closed();
    assert_eq!(holds(&lease, start), [10..=109]);
}

/// Guards against the time that settings allow a host that has not called, where its calls have failed.
#[test]
fn after_a_failed_call_a_list_that_is_asked_for_holds_until_6_s_after_the_last_line() {
    let start = Instant::now();
    let mut lease = EndpointLease::new(start);
    lease.set_limits(true, Some(10 * SECOND));
    lease.record_watch_closed();
    assert_eq!(holds(&lease, start), [10..=99], "no call yet");
    lease.record_failed_call();
    assert_eq!(holds(&lease, start), [10..=59], "the first call failed");
    lease.record_contact(at(start, 3.0));
    lease.record_watch_closed();
    assert_eq!(holds(&lease, start), [10..=129], "no call since the last line");
    lease.record_failed_call();
    assert_eq!(holds(&lease, start), [10..=89], "taken back");
    lease.record_watch_closed();
    lease.record_failed_call();
    assert_eq!(holds(&lease, start), [10..=89], "not given again before the next line");
    lease.record_contact(at(start, 2.0));
    lease.record_watch_closed();
    assert_eq!(holds(&lease, start), [10..=89], "nor by a line from before the last");
    lease.record_contact(at(start, 4.0));
    lease.record_watch_closed();
    assert_eq!(holds(&lease, start), [10..=139]);
}

#[test]
fn a_failed_call_gives_no_time_to_a_list_that_a_move_or_a_handover_ends_sooner() {
    let start = Instant::now();
    let mut moved = EndpointLease::new(start);
    moved.set_limits(true, Some(10 * SECOND));
    moved.record_contact(at(start, 1.0));
    let mut taken_over = moved;
    moved.record_discovery_move(at(start, 2.0));
    moved.record_failed_call();
    assert_eq!(moved.expires_at(), Some(at(start, 6.0)));
    moved.record_watch_closed();
    assert_eq!(moved.expires_at(), Some(at(start, 6.0)));
    taken_over.record_takeover(at(start, 2.0));
    taken_over.record_failed_call();
    assert_eq!(taken_over.expires_at(), Some(at(start, 4.0)));
}

#[test]
fn after_a_move_the_new_address_has_4_s_to_say_something() {
    let start = Instant::now();
    let mut lease = ruled(start);
    lease.record_contact(at(start, 10.0));
    lease.record_discovery_move(at(start, 11.0));
    assert_eq!(lease.expires_at(), Some(at(start, 15.0)));
    lease.record_contact(at(start, 10.9));
    assert_eq!(lease.expires_at(), Some(at(start, 15.0)), "what the old address said before the move");
    lease.record_contact(at(start, 11.1));
    assert_eq!(lease.expires_at(), Some(at(start, 17.1)));
    // Long silence before a move is not made good by it.
    lease.record_discovery_move(at(start, 17.0));
    assert_eq!(lease.expires_at(), Some(at(start, 17.1)));
}

#[test]
fn a_list_that_was_handed_over_is_gone_by_at_once_and_for_2_s() {
    let start = Instant::now();
    let mut lease = ruled(start);
    lease.record_takeover(at(start, 0.2));
    assert_eq!(holds(&lease, start), [2..=21]);
    lease.record_contact(at(start, 1.0));
    assert_eq!(holds(&lease, start), [2..=69]);
}

#[test]
fn writers_see_the_end_as_it_is_set() {
    let start = Instant::now();
    let end = LeaseExpiry::new(start);
    assert!(!end.clone().has_expired(start + 1_000 * SECOND));
    end.set(Some(start + SECOND));
    assert!(!end.has_expired(at(start, 0.999)) && end.clone().has_expired(start + SECOND));
}
