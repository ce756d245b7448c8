use rstest::rstest;

use super::*;

const MS: Duration = Duration::from_millis(1);

fn calls(host: u32) -> CallPacer {
    CallPacer::new(FleetPosition { scheduler_index: host, schedulers: 100 }, u64::from(host))
}

#[test]
fn first_calls_are_spread_evenly_over_a_round() {
    let mut firsts: Vec<_> = (0..100).map(|host| calls(host).first_delay()).collect();
    firsts.sort_unstable();
    let round = calls(0).round_duration();
    for (host, first) in firsts.iter().enumerate() {
        let (from, to) = (round.mul_f64(host as f64 / 100.0), round.mul_f64((host + 1) as f64 / 100.0));
        assert!((from..=to).contains(first), "host {host}: {first:?}");
    }
}

/// What each kind of end does to the estimate, in ms, from a start at 54.
#[rstest]
#[case::absent(&[CallFailure::Unreachable, CallFailure::Unreachable], 54)]
#[case::waited(&[CallFailure::TimedOut], 86)]
#[case::twice(&[CallFailure::TimedOut, CallFailure::TimedOut], 138)]
#[case::turned_away_once(&[CallFailure::Rejected(None)], 54)]
#[case::turned_away_twice(&[CallFailure::Rejected(None), CallFailure::Rejected(None)], 86)]
#[case::bounded(&[CallFailure::TimedOut; 9], 1_000)]
fn what_failures_tell_of_the_cost(#[case] failures: &[CallFailure], #[case] cost: u128) {
    let mut calls = calls(7);
    for how in failures {
        calls.on_failure(*how, Duration::ZERO);
    }
    assert_eq!(calls.estimated_cost().as_millis(), cost);
}

/// The same of answers: one that waited long moves it little, the soonest counts.
#[rstest]
#[case::sooner(&[11, 11, 11], 11)]
#[case::one_late(&[1_900], 86)]
#[case::late_beside_soon(&[60, 1_900, 1_900], 72)]
#[case::slower_for_good(&[&[54], &[270; 20][..]].concat(), 270)]
fn what_answers_tell_of_the_cost(#[case] answers: &[u32], #[case] cost: u128) {
    let mut calls = calls(7);
    for ms in answers {
        calls.on_answer(MS * *ms);
    }
    assert_eq!(calls.estimated_cost().as_millis(), cost);
}

/// Guards against hosts whose place is early and who call again and again within a round.
#[test]
fn a_call_that_failed_is_followed_by_one_in_the_next_round() {
    for host in 0..100 {
        let mut calls = calls(host);
        let made = calls.first_delay();
        let next = made + calls.on_failure(CallFailure::Unreachable, Duration::ZERO);
        let round = calls.round_duration();
        let slack = round / 50;
        assert!(next + slack >= round && next <= round * 2 + slack, "host {host}: {next:?} of {round:?}");
    }
}

#[test]
fn a_hint_is_kept_to_within_its_bound() {
    let hinted = |seconds| calls(3).on_failure(CallFailure::Rejected(Some(Duration::from_secs(seconds))), MS);
    assert!(hinted(30) >= Duration::from_secs(30));
    assert!(hinted(100_000) <= Duration::from_secs(61), "{:?}", hinted(100_000));
}
