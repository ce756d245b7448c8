//! The seven rules, the ordinary path and single failures, on the module alone.
#![cfg(test)]

mod common;
use common::*;
use heathward_policy::*;

/// Longer than two units take at full speed: from such answers nobody can tell that a node is warm.
const COLD_ANSWER: Micros = 60_000;

/// Guards against taking one attempt that hangs for the wait of all at that node.
#[test]
fn one_attempt_that_hangs_does_not_tell_of_a_wait() {
    let spare =
        PlanSettings { usual_rate: 1e-3, shared_weight: 1.0, priority_factor: 1.0, ..Default::default() };
    for (hang, refused) in [(1, 0), (2, 1)] {
        let mut host = Host::new(Settings { plans: vec![spare.clone()], ..settings() });
        host.list(&[1]);
        host.step(5_000_000);
        // One volume each, as a volume's store covers its first request.
        let ask = |id| Request { volume: VolumeId(id), units: 1, ..req(id) };
        host.arrive(ask(1));
        host.outcome(1, 0, 1, AttemptEnd::Served, true, 1_000);
        host.step(1_000);
        for id in 2..2 + hang {
            host.arrive(ask(id));
        }
        host.step(900_000);
        for id in 2..2 + hang {
            host.outcome(id, 0, 1, AttemptEnd::TimedOut, false, 900_000);
        }
        host.arrive(ask(9));
        assert_eq!(host.refusals(9), refused, "after {hang} that hang");
    }
}

/// Guards against taking a sound node for one that went down and is cold, over one connection that broke; and
/// against the opposite, where it was silent before.
#[test]
fn a_node_heard_just_before_and_after_a_reset_is_not_cold() {
    for (silence, cold) in [(100_000, false), (3_000_000, true)] {
        let mut host = Host::new(settings());
        host.list(&[1]);
        host.step(5_000_000);
        host.arrive(req(1));
        host.outcome(1, 0, 1, AttemptEnd::Served, true, 1_000);
        host.step(silence);
        host.arrive(req(2));
        for attempt in 0..2 {
            host.outcome(2, attempt, 1, AttemptEnd::Reset, false, 1_000);
            host.step(20_000);
            assert_eq!(
                host.out,
                [(2, attempt + 1, 1)],
                "a lost connection is no answer: it is asked once more"
            );
        }
        host.outcome(2, 2, 1, AttemptEnd::Served, true, COLD_ANSWER);
        // Far more than a cold node bears, each answered at once.
        let sent = (3..23).filter(|id| {
            let sent = !host.arrive(req(*id)).is_empty();
            host.finish_after(COLD_ANSWER);
            sent
        });
        assert_eq!(sent.count() < 20, cold, "after {silence} us of silence");
        // A start that the list would have told of by now was none.
        host.step(6_100_000);
        let sent = (30..50).filter(|id| {
            let sent = !host.arrive(req(*id)).is_empty();
            host.finish_after(COLD_ANSWER);
            sent
        });
        // All but what chance turns away on stale news of a wait.
        assert!(sent.count() >= 19);
    }
}

#[test]
fn a_request_goes_at_once_while_there_is_room() {
    let mut h = Host::new(settings());
    h.list(&[1]);
    assert_eq!(h.arrive(req(1)), vec![NodeId(1)]);
}

#[test]
fn a_bound_request_without_a_node_is_answered_at_once() {
    let mut h = Host::new(settings());
    h.list(&[1]);
    let r = Request { shard: Some(ShardId(9)), ..req(1) };
    h.event(Event::RequestArrived(r));
    assert_eq!(h.answers(1), 1);
}

#[test]
fn held_requests_leave_by_due_time_and_ties_by_id() {
    let mut set = settings();
    set.classes[1].latency_objective = 2_000_000;
    let mut h = Host::new(set);
    h.list(&[1]);
    // Four mean requests of two units fill the floor of the budget.
    for id in 1..=4 {
        assert_eq!(h.arrive(req(id)).len(), 1);
    }
    assert!(h.arrive(Request { class: ClassId(1), ..req(5) }).is_empty());
    assert!(h.arrive(req(7)).is_empty());
    assert!(h.arrive(req(6)).is_empty());
    let mut order = Vec::new();
    for id in 1..=3 {
        h.outcome(id, 0, 1, AttemptEnd::Served, true, 10_000);
        order.extend(h.last_sends());
    }
    assert_eq!(order, vec![6, 7, 5]);
}

#[test]
fn nothing_goes_to_a_draining_gone_or_dropped_node() {
    for state in [NodeState::Draining, NodeState::Removed] {
        let mut h = Host::new(settings());
        h.list(&[1]);
        let entry = EndpointEntry { state, ..entry(1) };
        h.event(Event::EndpointUpdate { kind: EndpointUpdateKind::Changes, entries: vec![entry] });
        assert!(h.arrive(req(1)).is_empty());
        assert_eq!(h.answers(1), 1);
    }
    let mut h = Host::new(settings());
    h.list(&[1]);
    h.event(Event::EndpointUpdate { kind: EndpointUpdateKind::Snapshot, entries: vec![entry(2)] });
    assert!(h.arrive(req(1)).is_empty());
}

#[test]
fn an_unsafe_request_goes_again_only_on_proof_that_it_never_ran() {
    for (end, again) in [
        (AttemptEnd::Rejected, true),
        (AttemptEnd::Error, false),
        (AttemptEnd::TimedOut, false),
        (AttemptEnd::Reset, false),
    ] {
        let mut set = settings();
        set.classes[1].latency_objective = 900_000;
        let mut h = Host::new(set);
        h.list(&[1, 2]);
        let first = h.arrive(Request { class: ClassId(1), shard: None, ..req(1) })[0];
        h.outcome(1, 0, first.0, end, false, 10_000);
        let mut sends = h.last_sends();
        for _ in 0..40 {
            h.step(20_000);
            sends.extend(h.last_sends());
        }
        assert_eq!(!sends.is_empty(), again, "{end:?}");
        assert_eq!(h.refusals(1), 0, "{end:?}: may have run, so it can't be refused");
        if !again {
            assert_eq!(h.failures(1), 1, "{end:?}");
        }
    }
}

#[test]
fn a_keyed_request_that_may_have_run_stays_with_its_shard_and_window() {
    for (window, again) in [(500_000, true), (5_000, false)] {
        let mut set = settings();
        set.classes[2].deduplication_window = window;
        let mut h = Host::new(set);
        h.list(&[1, 2, 3]);
        let first = h.arrive(Request { class: ClassId(2), shard: None, ..req(1) });
        h.step(10_000);
        h.outcome(1, 0, first[0].0, AttemptEnd::Error, false, 10_000);
        let nodes: Vec<NodeId> = h.last_nodes();
        assert_eq!(nodes, if again { first } else { vec![] });
        assert_eq!(h.failures(1), usize::from(!again));
    }
}

#[test]
fn a_new_object_that_never_ran_goes_elsewhere() {
    let mut h = Host::new(settings());
    h.list(&[1, 2]);
    let first = h.arrive(Request { class: ClassId(2), shard: None, ..req(1) });
    h.step(1_000);
    h.outcome(1, 0, first[0].0, AttemptEnd::NotConnected, false, 1_000);
    let second = h.last_nodes();
    assert_eq!(second.len(), 1);
    assert_ne!(second, first);
}

#[test]
fn one_key_runs_in_turn_and_rests_after_an_unsure_end() {
    let mut set = settings();
    set.classes[2].ordered_per_key = true;
    set.key_cool_down = 100_000;
    let mut h = Host::new(set);
    h.list(&[1]);
    let keyed = |id| Request { class: ClassId(2), key: Some(KeyId(5)), ..req(id) };
    assert_eq!(h.arrive(keyed(1)).len(), 1);
    assert!(h.arrive(keyed(2)).is_empty());
    h.outcome(1, 0, 1, AttemptEnd::TimedOut, false, 5_000);
    assert_eq!(h.failures(1), 1);
    h.step(99_999);
    assert!(h.last_sends().is_empty(), "the key still rests");
    h.step(1);
    assert_eq!(h.last_sends(), vec![2]);
    assert!(h.arrive(keyed(3)).is_empty());
    h.outcome(2, 0, 1, AttemptEnd::Served, true, 5_000);
    assert_eq!(h.last_sends(), vec![3]);
}

#[test]
fn further_attempts_stay_within_their_budget() {
    let mut set = settings();
    set.retry_budget = Some(RetryBudget { free_retries: 1.0, retries_per_request: 0.0, window: 5_000_000 });
    set.max_attempts = 9;
    let mut h = Host::new(set);
    h.list(&[1]);
    h.arrive(req(1));
    h.outcome(1, 0, 1, AttemptEnd::Error, false, 1_000);
    assert_eq!(h.last_sends(), vec![1], "one is free");
    h.outcome(1, 1, 1, AttemptEnd::Error, false, 1_000);
    assert!(h.last_sends().is_empty());
    assert_eq!(h.answers(1), 1);
    h.step(5_000_001);
    h.arrive(req(2));
    h.outcome(2, 0, 1, AttemptEnd::Error, false, 1_000);
    assert_eq!(h.last_sends(), vec![2], "the window has passed");
}

#[test]
fn a_limit_is_kept_in_even_parts_and_a_restart_starts_empty() {
    let mut set = settings();
    set.plans[0].rate_limit = 20.0;
    set.plans[0].burst = 16.0;
    for life in 0..2 {
        let mut h = Host::new(set.clone());
        h.list(&[1]);
        for id in 0..200 {
            h.arrive(Request { schedulers: 2, ..req(id + 1) });
            h.step(20_000);
            h.finish_all();
        }
        let sent = 2 * h.log.iter().filter(|(_, a)| matches!(a, Action::Send { .. })).count();
        // Four seconds at half the rate, and nothing from a store that a former life may have spent.
        assert!(sent as f64 <= 4.1 * 10.0, "life {life}: {sent} units");
        assert!(sent >= 30, "life {life}: {sent} units");
    }
}

#[test]
fn a_cold_node_gets_this_hosts_part_which_grows_with_age() {
    let mut set = settings();
    set.schedulers = 2;
    set.slow_start_units = 12.0;
    let mut h = Host::new(set);
    h.list(&[1]);
    h.step(10_000_000);
    let started = Some(h.now);
    h.event(Event::EndpointUpdate {
        kind: EndpointUpdateKind::Snapshot,
        entries: vec![EndpointEntry { started_at: started, ..entry(1) }],
    });
    let mut id = 0;
    let mut units_in_two_windows = || {
        let mut sent = 0;
        for _ in 0..100 {
            id += 1;
            sent += h.arrive(req(id)).len();
            h.finish_all();
            h.step(20_000);
            sent += h.last_sends().len();
            h.finish_all();
        }
        sent * 2
    };
    // Half of twelve in each, a fourth more by its age, and what a request goes beyond its part.
    let (first, second) = (units_in_two_windows(), units_in_two_windows());
    assert!((10..=17).contains(&first), "{first} units in the first two windows");
    assert!(second > first, "{second} units in the next two, {first} before");
    h.step(16_000_000);
    let mut sent = 0;
    for id in 1001..=1010 {
        sent += h.arrive(req(id)).len() * 2;
        h.finish_all();
    }
    // The first waits behind what is still held from before, until the host wakes.
    assert!(sent >= 18, "warm after the cold time: {sent}");
}

#[test]
fn a_node_that_answers_after_being_down_counts_as_cold() {
    let mut set = settings();
    set.slow_start_units = 4.0;
    let mut h = Host::new(set);
    h.list(&[1]);
    h.step(5_000_000);
    h.arrive(req(1));
    h.outcome(1, 0, 1, AttemptEnd::NotConnected, false, 1_000);
    h.step(2_000_000);
    let mut sent = 0;
    for id in 2..=9 {
        sent += h.arrive(req(id)).len() * 2;
        h.finish_after(COLD_ANSWER);
    }
    // It bears two requests within the fall time: one goes now, the next a half of that later.
    assert_eq!(sent, 2);
}

#[test]
fn every_request_is_answered_before_its_deadline() {
    let mut h = Host::new(settings());
    h.list(&[1]);
    for id in 1..=12 {
        h.arrive(req(id));
    }
    for _ in 0..1_000 {
        h.step(2_000);
    }
    for id in 1..=12 {
        assert_eq!(h.answers(id), 1, "request {id}");
    }
}

#[test]
fn unknown_requests_nodes_timers_and_late_outcomes_are_ignored() {
    let mut h = Host::new(settings());
    h.outcome(4, 0, 9, AttemptEnd::Served, true, 1);
    h.event(Event::ClientDisconnected { request: RequestId(4) });
    h.event(Event::StreamStarted { request: RequestId(4) });
    h.event(Event::TimerFired { token: 999 });
    h.list(&[1]);
    h.arrive(req(1));
    h.event(Event::ClientDisconnected { request: RequestId(1) });
    h.outcome(1, 0, 1, AttemptEnd::Error, true, 1);
    assert!(h.last_sends().is_empty());
    assert_eq!(h.answers(1), 0);
}

#[test]
fn a_stream_that_has_begun_has_no_deadline() {
    let mut h = Host::new(settings());
    h.list(&[1]);
    h.arrive(req(1));
    h.event(Event::StreamStarted { request: RequestId(1) });
    h.step(60_000_000);
    assert_eq!(h.answers(1), 0);
}

#[test]
fn a_subscription_is_opened_early_and_again_after_a_failure() {
    let mut set = settings();
    set.endpoint_list_mode = EndpointListMode::Polled { max_interval: 10_000_000 };
    let mut h = Host::new(set);
    let calls = |h: &Host| h.log.iter().filter(|(_, a)| *a == Action::Subscribe).count();
    h.list(&[1]);
    h.step(400_000);
    assert_eq!(calls(&h), 1);
    h.event(Event::EndpointUpdate { kind: EndpointUpdateKind::Failed, entries: vec![] });
    h.step(400_000);
    assert_eq!(calls(&h), 2);
    h.event(Event::EndpointUpdate { kind: EndpointUpdateKind::Changes, entries: vec![] });
    h.step(60_000_000);
    assert_eq!(calls(&h), 2);
}

#[test]
fn nonsense_settings_are_refused() {
    let none = Settings { schedulers: 0, ..settings() };
    assert_eq!(Scheduler::new(none, 1).err(), Some(SettingsError::Missing("hosts")));
    let odd = Settings { slow_start_fraction: f64::NAN, ..settings() };
    assert_eq!(Scheduler::new(odd, 1).err(), Some(SettingsError::OutOfRange("cold_share")));
    let classless = Settings { classes: vec![], ..settings() };
    assert!(matches!(Scheduler::new(classless, 1), Err(SettingsError::Missing(_))));
}

/// Incident ie1244d: single attempts got stuck on nodes that served all others in time.
#[test]
fn a_stuck_attempt_closes_no_node_and_holds_no_room() {
    let mut h = Host::new(settings());
    h.list(&[1]);
    for id in 1..=4 {
        h.arrive(req(id));
    }
    h.step(10_000);
    h.outcome(4, 0, 1, AttemptEnd::Served, true, 10_000);
    h.step(1_000);
    h.arrive(req(5));
    h.outcome(5, 0, 1, AttemptEnd::Served, true, 5_000);
    // Three of the four places are held by attempts that a later one overtook.
    h.step(700_000);
    let sent: usize = (6..=9).map(|id| h.arrive(req(id)).len()).sum();
    assert_eq!(sent, 4);
}

/// Incident ie1244d: the same single attempts made hosts take well nodes for restarted ones.
#[test]
fn one_time_out_is_no_silence_but_three_in_a_row_are() {
    // The last: a pause shorter than 7 periods makes a burst of three time out together, and is none either.
    for (lost, after, warm) in [(1, 1_300_000, true), (3, 1_300_000, false), (3, 600_000, true)] {
        let mut set = settings();
        set.slow_start_units = 4.0;
        let mut h = Host::new(set);
        h.list(&[1]);
        h.step(1_000);
        for id in 1..=lost {
            h.arrive(Request { time_budget: 2_000_000, ..req(id) });
        }
        h.step(after);
        for id in 1..=lost {
            h.outcome(id, 0, 1, AttemptEnd::TimedOut, false, after);
        }
        h.step(3_000_000);
        let mut sent = 0;
        for id in 11..=40 {
            sent += h.arrive(req(id)).len() * 2;
            h.step(20_000);
            sent += h.last_sends().len() * 2;
            h.finish_after(COLD_ANSWER);
        }
        // Cold: four in a window, kept from the one before, and what a request goes beyond.
        assert_eq!(sent > 8, warm, "{lost} timed out after {after}: {sent} units within the window");
        assert!(sent > 0, "{lost} timed out after {after}: {sent} units");
    }
}

/// Incident i144574: nodes that answer with errors at once looked idle and drew all new objects.
#[test]
fn new_objects_leave_a_node_that_errs_time_after_time() {
    let mut h = Host::new(settings());
    h.list(&[1, 2]);
    for id in 1..=3 {
        h.arrive(Request { class: ClassId(1), ..req(id) });
        h.outcome(id, 0, 1, AttemptEnd::Error, false, 1_000);
        assert_eq!(h.failures(id), 1, "may have run");
    }
    for id in 11..=30 {
        assert_eq!(h.arrive(Request { shard: None, ..req(id) }), vec![NodeId(2)]);
        h.finish_all();
    }
    h.arrive(req(40));
    h.finish_all();
    let nodes: Vec<NodeId> = (41..=60).flat_map(|id| h.arrive(Request { shard: None, ..req(id) })).collect();
    assert!(nodes.contains(&NodeId(1)), "it serves again: {nodes:?}");
}

/// Many hosts: as news of a jam grows stale they let one through a few at a time, not all at one moment.
#[test]
fn hosts_that_heard_of_a_jam_long_ago_do_not_all_let_one_through() {
    let sent_after = |span| {
        let mut sent = 0;
        for seed in 0..100 {
            let mut h = Host::seeded(settings(), seed);
            h.list(&[1]);
            for id in 1..=3 {
                h.arrive(req(id));
                h.step(3_000_000);
                h.outcome(id, 0, 1, AttemptEnd::Served, true, 900_000);
            }
            h.step(span);
            sent += h.arrive(req(9)).len();
        }
        sent
    };
    let sent: Vec<usize> = (0..16).map(|step| sent_after(1_500_000 + step * 50_000)).collect();
    assert!(sent[0] < 20 && sent[15] > 80, "{sent:?} of 100 hosts, every 50 ms");
    // Some 200 ms between the first and the last of them: a node that is full again has told by then.
    let partly = sent.iter().filter(|n| (5..95).contains(*n)).count();
    assert!(partly >= 4, "{sent:?} of 100 hosts, every 50 ms");
}

#[test]
fn an_unknown_class_or_plan_is_answered_at_once() {
    let mut h = Host::new(settings());
    h.list(&[1]);
    h.arrive(Request { class: ClassId(9), ..req(1) });
    h.arrive(Request { plan: PlanId(9), ..req(2) });
    assert_eq!((h.answers(1), h.answers(2)), (1, 1));
}

#[test]
fn a_host_number_outside_the_host_count_is_refused() {
    let set = Settings { schedulers: 3, scheduler_index: 3, ..settings() };
    assert_eq!(Scheduler::new(set, 1).err(), Some(SettingsError::OutOfRange("host")));
}

#[test]
fn the_keyed_window_ends_at_its_last_microsecond() {
    for (took, again) in [(9_999, 1), (10_000, 0)] {
        let mut set = settings();
        set.classes[2].deduplication_window = 10_000;
        let mut h = Host::new(set);
        h.list(&[1]);
        h.arrive(Request { class: ClassId(2), ..req(1) });
        h.step(took);
        h.outcome(1, 0, 1, AttemptEnd::Error, false, took);
        assert_eq!(h.last_sends().len(), again, "after {took} us");
    }
}

#[test]
fn a_further_attempt_leaves_the_window_only_after_its_whole_span() {
    for (span, again) in [(4_999_999, 0), (5_000_001, 1)] {
        let mut set = settings();
        set.retry_budget =
            Some(RetryBudget { free_retries: 1.0, retries_per_request: 0.0, window: 5_000_000 });
        let mut h = Host::new(set);
        h.list(&[1]);
        h.arrive(req(1));
        h.outcome(1, 0, 1, AttemptEnd::Error, false, 1_000);
        assert_eq!(h.last_sends().len(), 1);
        h.outcome(1, 1, 1, AttemptEnd::Served, true, 1_000);
        h.step(span);
        h.arrive(req(2));
        h.outcome(2, 0, 1, AttemptEnd::Error, false, 1_000);
        assert_eq!(h.last_sends().len(), again, "after {span} us");
    }
}

#[test]
fn a_node_is_warm_at_the_end_of_its_cold_time() {
    // Cold, it bears little more than one request by then.
    for (age, sent) in [(15_999_999, 0..=1), (16_000_000, 2..=2)] {
        let mut set = settings();
        set.slow_start_units = 0.5;
        let mut h = Host::new(set);
        h.list(&[1]);
        let started = Some(h.now);
        let cold = EndpointEntry { started_at: started, ..entry(1) };
        h.event(Event::EndpointUpdate { kind: EndpointUpdateKind::Changes, entries: vec![cold] });
        h.step(age);
        let out: usize = (1..=2).map(|id| h.arrive(req(id)).len()).sum();
        assert!(sent.contains(&out), "{out} sent at {age} us");
    }
}

/// Guards against news of elsewhere that closes nodes nobody has asked: a host of many meets most seldom,
/// and the mean wait of all stands in for theirs.
#[test]
fn half_a_patience_of_wait_elsewhere_turns_nobody_away_from_an_unknown_node() {
    let mut went = 0;
    for seed in 1..=40 {
        let mut set = settings();
        set.plans[0].reserved_rate = 0.0;
        let mut h = Host::seeded(set, seed);
        h.list(&[1, 2]);
        for id in 1..=20 {
            h.arrive(req(id));
            // Aim and period let a request of the share wait a bit over twice as long.
            h.outcome(id, 0, 1, AttemptEnd::Served, true, 120_000);
            h.step(200_000);
        }
        let request = Request { shard: Some(ShardId(2)), volume: VolumeId(2), ..req(21) };
        went += h.arrive(request).len();
    }
    assert!(went >= 36, "{went} of 40 went to a node with nothing out");
}

/// Guards against a volume without a reserve whose usual traffic counts as beyond its share, and is refused
/// for a wait that its aim bears.
#[test]
fn a_volume_a_bit_over_its_usual_rate_stays_inside_its_share() {
    let mut set = settings();
    (set.plans[0].usual_rate, set.plans[0].reserved_rate) = (4.0, 0.0);
    let mut h = Host::new(set);
    h.list(&[1]);
    let mut sent = 0;
    for id in 1..=30 {
        // Five units a second, each after a wait between what spare and what share bears.
        sent += h.arrive(req(id)).len();
        h.outcome(id, 0, 1, AttemptEnd::Served, true, 216_000);
        h.step(400_000);
    }
    assert!(sent >= 29, "{sent} of 30 sent");
}

/// Guards against a client in haste that is kept until its time is nearly over and then turned away with
/// nothing sent: by half of its time it can still turn elsewhere. One with more time is kept to its aim.
#[test]
fn what_was_never_sent_is_given_back_by_half_of_its_time() {
    for (left, told_by) in [(200_000, 100_000), (1_000_000, 300_000)] {
        let mut h = Host::new(Settings { schedulers: 100, slow_start_units: 1.0, ..settings() });
        let entries = vec![EndpointEntry { started_at: Some(h.now), ..entry(1) }];
        h.event(Event::EndpointUpdate { kind: EndpointUpdateKind::Cached, entries });
        assert!(
            h.arrive(Request { units: 8, time_budget: left, ..req(1) }).is_empty(),
            "nothing is left for it"
        );
        h.step(told_by / 2);
        assert_eq!(h.refusals(1), 0, "it may still be served");
        h.step(told_by / 2);
        assert_eq!(h.refusals(1), 1, "left {left}");
    }
}

/// Guards against a zone that is cut off, and by whose silence the nodes of all others are taken for full.
#[test]
fn silent_nodes_do_not_tell_of_the_others() {
    let spare =
        PlanSettings { usual_rate: 1e-3, shared_weight: 1.0, priority_factor: 1.0, ..Default::default() };
    let mut h = Host::new(Settings { plans: vec![spare], ..settings() });
    h.list(&(1..=14).collect::<Vec<_>>());
    let (mut id, mut silent) = (0, 0);
    for shard in [1, 2, 3, 4].repeat(3) {
        id += 1;
        for node in h.arrive(Request { shard: Some(ShardId(shard)), ..req(id) }) {
            h.step(900_000);
            h.outcome(id, 0, node.0, AttemptEnd::TimedOut, false, 900_000);
            silent += 1;
        }
    }
    assert!(silent >= 8, "{silent} were sent to silent nodes");
    let asks = |node| Request { shard: Some(ShardId(node)), ..req(u64::from(node) + 20) };
    let went = (5..=14).filter(|node| !h.arrive(asks(*node)).is_empty()).count();
    assert_eq!(went, 10, "nobody waits at these nodes");
}

/// Guards against nodes that were cut off for a while, did not restart, and are used as cold ones once they
/// are back; one that takes as long as a cold one is taken for one.
#[test]
fn a_node_that_answers_at_full_speed_was_out_of_reach_and_did_not_restart() {
    for (took, sent) in [(20_000, 8..=8), (160_000, 0..=2)] {
        let mut h = Host::new(Settings { schedulers: 100, ..settings() });
        h.list(&[1]);
        h.step(3_000_000);
        let mut id = 0;
        while !h.scheduler.node_status(h.now, NodeId(1)).unwrap().is_avoided() {
            id += 1;
            assert!(id < 10, "it never counts as down");
            h.arrive(req(id));
            h.outcome(id, 0, 1, AttemptEnd::NotConnected, false, 250_000);
            h.step(100_000);
        }
        let back = (id + 1..id + 60).find(|id| {
            h.step(1_000_000);
            !h.arrive(req(*id)).is_empty()
        });
        let back = back.expect("it is tried again");
        h.outcome(back, 0, 1, AttemptEnd::Served, true, took);
        let mut went = 0;
        for id in back + 1..=back + 8 {
            let request = Request { volume: VolumeId(id), ..req(id) };
            went += h.arrive(request).len();
            h.finish_after(took);
        }
        assert!(sent.contains(&went), "{went} of 8 went after an answer in {took}");
    }
}
