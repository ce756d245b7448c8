use super::*;

const SECOND: Duration = Duration::from_secs(1);

fn at(start: Instant, seconds: f64) -> Instant {
    start + Duration::from_secs_f64(seconds)
}

fn limited_lease(start: Instant) -> EndpointLease {
    let mut lease = EndpointLease::new(start);
    lease.set_limits(true, None);
    lease
}

/// The times, in tenths of a second up to 20 s, at which the lease is valid.
fn valid_tenths(lease: &EndpointLease, start: Instant) -> Vec<std::ops::RangeInclusive<u32>> {
    let mut spans: Vec<std::ops::RangeInclusive<u32>> = Vec::new();
    for tenth in (0..200).filter(|tenth| lease.is_valid(at(start, f64::from(*tenth) / 10.0))) {
        match spans.last_mut() {
            Some(span) if *span.end() + 1 == tenth => *span = *span.start()..=tenth,
            _ => spans.push(tenth..=tenth),
        }
    }
    spans
}

/// Guards against using a list for as long as calls fail: with 300 schedulers that would be up to 36 s,
/// although an update counts as delivered after 6 s. Also guards against using the cached list while this
/// program is slow to read the agent's first message.
#[test]
fn a_lease_is_valid_from_the_first_contact_until_6_s_after_the_last() {
    let start = Instant::now();
    let unlimited = EndpointLease::new(start);
    assert!(valid_tenths(&unlimited, start) == [0..=199] && unlimited.next_change(start).is_none());
    let mut lease = limited_lease(start);
    assert_eq!(
        valid_tenths(&lease, start),
        [10..=59],
        "without contact, the cached list is valid from 1 s to 6 s after the start"
    );
    assert_eq!(lease.next_change(start), Some(at(start, 1.0)));
    let mut unanswered = lease;
    unanswered.record_unanswered_call(at(start, 0.2));
    assert_eq!(valid_tenths(&unanswered, start), [2..=59]);
    // Contact through a call that the agent accepted without having an update.
    unanswered.record_contact(at(start, 5.0));
    assert_eq!(
        (valid_tenths(&unanswered, start), unanswered.last_contact()),
        (vec![2..=109], at(start, 5.0))
    );
    lease.record_contact(at(start, 0.3));
    assert_eq!(valid_tenths(&lease, start), [3..=62]);
    lease.record_contact(at(start, 3.0));
    assert_eq!(valid_tenths(&lease, start), [3..=89]);
    lease.record_contact(at(start, 2.0));
    assert_eq!(
        lease.next_change(at(start, 4.0)),
        Some(at(start, 9.0)),
        "an older contact does not shorten the lease"
    );
    assert_eq!(lease.next_change(at(start, 9.0)), None);
}

#[test]
fn without_a_watch_the_lease_on_a_polled_list_lasts_for_the_polling_interval() {
    let start = Instant::now();
    let mut lease = EndpointLease::new(start);
    lease.set_limits(true, Some(10 * SECOND));
    lease.record_contact(at(start, 1.0));
    assert_eq!(valid_tenths(&lease, start), [10..=69], "a watch is open");
    lease.record_watch_closed();
    assert_eq!(valid_tenths(&lease, start), [10..=109]);
}

/// Guards against granting the polling interval, which is meant for a scheduler that did not call, after a
/// failed call.
#[test]
fn after_a_failed_call_the_lease_on_a_polled_list_ends_6_s_after_the_last_contact() {
    let start = Instant::now();
    let mut lease = EndpointLease::new(start);
    lease.set_limits(true, Some(10 * SECOND));
    lease.record_watch_closed();
    assert_eq!(valid_tenths(&lease, start), [10..=99], "no call yet");
    lease.record_failed_call();
    assert_eq!(valid_tenths(&lease, start), [10..=59], "the first call failed");
    lease.record_contact(at(start, 3.0));
    lease.record_watch_closed();
    assert_eq!(valid_tenths(&lease, start), [10..=129], "no call since the last contact");
    lease.record_failed_call();
    assert_eq!(valid_tenths(&lease, start), [10..=89], "the extension is revoked");
    lease.record_watch_closed();
    lease.record_failed_call();
    assert_eq!(valid_tenths(&lease, start), [10..=89], "no other extension before the next contact");
    lease.record_contact(at(start, 2.0));
    lease.record_watch_closed();
    assert_eq!(
        valid_tenths(&lease, start),
        [10..=89],
        "a contact before the last one does not allow another extension"
    );
    lease.record_contact(at(start, 4.0));
    lease.record_watch_closed();
    assert_eq!(valid_tenths(&lease, start), [10..=139]);
}

#[test]
fn a_failed_call_does_not_extend_a_lease_that_a_move_or_a_handover_ends_sooner() {
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
fn after_a_discovery_move_the_lease_lasts_for_4_s_without_contact() {
    let start = Instant::now();
    let mut lease = limited_lease(start);
    lease.record_contact(at(start, 10.0));
    lease.record_discovery_move(at(start, 11.0));
    assert_eq!(lease.expires_at(), Some(at(start, 15.0)));
    lease.record_contact(at(start, 10.9));
    assert_eq!(lease.expires_at(), Some(at(start, 15.0)), "a contact with the old address, before the move");
    lease.record_contact(at(start, 11.1));
    assert_eq!(lease.expires_at(), Some(at(start, 17.1)));
    // A move does not extend a lease that has nearly expired.
    lease.record_discovery_move(at(start, 17.0));
    assert_eq!(lease.expires_at(), Some(at(start, 17.1)));
}

#[test]
fn the_lease_on_a_handed_over_list_is_valid_at_once_and_for_2_s() {
    let start = Instant::now();
    let mut lease = limited_lease(start);
    lease.record_takeover(at(start, 0.2));
    assert_eq!(valid_tenths(&lease, start), [2..=21]);
    lease.record_contact(at(start, 1.0));
    assert_eq!(valid_tenths(&lease, start), [2..=69]);
}

#[test]
fn all_clones_see_the_expiry_that_is_set() {
    let start = Instant::now();
    let expiry = LeaseExpiry::new(start);
    assert!(!expiry.clone().has_expired(start + 1_000 * SECOND));
    expiry.set(Some(start + SECOND));
    assert!(!expiry.has_expired(at(start, 0.999)) && expiry.clone().has_expired(start + SECOND));
}
