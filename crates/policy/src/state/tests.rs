//! Counts within a window against a walk over all times.

use super::*;

const SPAN: Micros = 3_000;

#[test]
fn the_attempt_budget_counts_what_a_walk_would() {
    let mut rng = fastrand::Rng::with_seed(1);
    let mut tally = RequestCounters::default();
    let (mut taken, mut extras): (Vec<Micros>, Vec<Micros>) = (vec![], vec![]);
    let mut now = 0;
    for _ in 0..20_000 {
        // Often no time passes, so that many fall on the window's edge.
        now += 100 * rng.u64(0..3);
        let since = now.saturating_sub(SPAN);
        match rng.u32(0..3) {
            0 => {
                tally.record_request(now, since);
                taken.push(now);
            }
            1 => {
                tally.retries.push_back(now);
                extras.push(now);
            }
            _ => {
                let walked = taken.iter().rev().take_while(|at| **at > since).count() as f64;
                let further = extras.iter().rev().take_while(|at| **at >= since).count() as f64;
                assert_eq!(tally.counts(since), (walked, further), "at {now}");
            }
        }
    }
    assert!(tally.requests.len() < 200, "{} times kept", tally.requests.len());
}

#[test]
fn what_is_given_back_is_told_once_a_second() {
    let mut tally = RequestCounters::default();
    assert_eq!(tally.record_local_answer(1_000_000), Some(1));
    assert_eq!(tally.record_local_answer(1_999_999), None);
    assert_eq!(tally.record_local_answer(2_000_000), Some(2));
}

#[test]
fn a_line_serves_its_requests_in_turn_and_rests() {
    let (mut lines, key) = (KeyQueues::default(), KeyId(1));
    assert!(lines.join(10, key, RequestId(1)));
    assert!(!lines.join(10, key, RequestId(2)), "one is before it");
    assert!(!lines.leave(key, RequestId(2)) && lines.leave(key, RequestId(1)));
    lines.start_cool_down(key, 30);
    assert!(!lines.join(20, key, RequestId(3)), "the key rests");
    assert_eq!(
        (lines.end_cool_down(29), lines.end_cool_down(30), lines.end_cool_down(30)),
        (None, Some(key), None)
    );
    lines.start_cool_down(KeyId(2), 40);
    assert_eq!(lines.end_cool_down(50), None, "an unknown key does not rest");
}
