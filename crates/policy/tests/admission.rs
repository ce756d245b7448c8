//! Admission by quota and queueing delay.
#![cfg(test)]

mod common;
use common::*;
use heathward_policy::*;

#[test]
fn a_rate_limit_is_divided_evenly_and_its_bucket_is_empty_after_a_restart() {
    let mut settings = settings();
    settings.plans[0].rate_limit = 20.0;
    settings.plans[0].burst = 16.0;
    for process in 0..2 {
        let mut harness = Harness::with_nodes(settings.clone(), &[1]);
        for id in 0..200 {
            harness.submit(Request { schedulers: 2, ..sample_request(id + 1) });
            harness.advance(20_000);
            harness.serve_all();
        }
        let is_send = |timed: &&TimedAction| matches!(timed.action, Action::Send { .. });
        let sent = 2 * harness.actions.iter().filter(is_send).count();
        // Four seconds at half the rate, without the burst, which an earlier process may already have used.
        assert!(sent as f64 <= 4.1 * 10.0, "process {process}: {sent} units");
        assert!(sent >= 30, "process {process}: {sent} units");
    }
}

/// Guards against many schedulers that all send at the same moment when their estimates of a long delay
/// become old: they must send a few requests at a time.
#[test]
fn schedulers_with_an_old_estimate_of_a_long_delay_do_not_all_send_at_once() {
    let sent_after = |elapsed| {
        let mut sent = 0;
        for seed in 0..100 {
            let mut harness = Harness::with_seed(settings(), seed);
            harness.set_endpoints(&[1]);
            for id in 1..=3 {
                harness.submit(sample_request(id));
                harness.advance(3_000_000);
                harness.end_attempt(id, 0, 1, AttemptEnd::Served, true, 900_000);
            }
            harness.advance(elapsed);
            sent += harness.submit(sample_request(9)).len();
        }
        sent
    };
    let sent: Vec<usize> = (0..16).map(|step| sent_after(1_500_000 + step * 50_000)).collect();
    assert!(sent[0] < 20 && sent[15] > 80, "{sent:?} of 100 schedulers, every 50 ms");
    // The first and the last scheduler send about 200 ms apart: by then, a node that is full again has shown
    // this by its answers.
    let partial_steps = sent.iter().filter(|count| (5..95).contains(*count)).count();
    assert!(partial_steps >= 4, "{sent:?} of 100 schedulers, every 50 ms");
}

/// Guards against shedding requests for a node without earlier requests because of delays at other nodes: a
/// scheduler of a large fleet rarely sends to most nodes, and estimates their delay by the fleet's.
#[test]
fn half_of_the_delay_limit_at_other_nodes_sheds_nothing_at_an_unknown_node() {
    let mut sent = 0;
    for seed in 1..=40 {
        let mut settings = settings();
        settings.plans[0].reserved_rate = 0.0;
        let mut harness = Harness::with_seed(settings, seed);
        harness.set_endpoints(&[1, 2]);
        for id in 1..=20 {
            harness.submit(sample_request(id));
            // The delay limit of a request in the shared quota is slightly more than twice as long.
            harness.end_attempt(id, 0, 1, AttemptEnd::Served, true, 120_000);
            harness.advance(200_000);
        }
        let request = Request { shard: Some(ShardId(2)), volume: VolumeId(2), ..sample_request(21) };
        sent += harness.submit(request).len();
    }
    assert!(sent >= 36, "{sent} of 40 were sent to a node with nothing in flight");
}

/// Guards against a volume without a reserved rate whose usual traffic counts as exceeding its shared quota,
/// and is shed at a delay with which it would meet its latency objective.
#[test]
fn a_volume_slightly_above_its_usual_rate_stays_within_its_shared_quota() {
    let mut settings = settings();
    settings.plans[0].usual_rate = 4.0;
    settings.plans[0].reserved_rate = 0.0;
    let mut harness = Harness::with_nodes(settings, &[1]);
    let mut sent = 0;
    for id in 1..=30 {
        // Five units a second, at a delay between the limits of the excess and the shared quota.
        sent += harness.submit(sample_request(id)).len();
        harness.end_attempt(id, 0, 1, AttemptEnd::Served, true, 216_000);
        harness.advance(400_000);
    }
    assert!(sent >= 29, "{sent} of 30 sent");
}
