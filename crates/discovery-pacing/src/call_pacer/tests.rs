use rstest::rstest;

use super::*;

const MS: Duration = Duration::from_millis(1);
const REJECTED: CallFailure = CallFailure::Rejected { retry_after: None };

fn pacer(scheduler_index: u32) -> CallPacer {
    CallPacer::new(FleetPosition { scheduler_index, schedulers: 100 }, u64::from(scheduler_index))
}

#[test]
fn first_calls_are_spread_evenly_over_a_round() {
    let mut first_delays: Vec<_> = (0..100).map(|index| pacer(index).first_delay()).collect();
    first_delays.sort_unstable();
    let round = pacer(0).round_duration();
    for (index, first) in first_delays.iter().enumerate() {
        let (slot_start, slot_end) =
            (round.mul_f64(index as f64 / 100.0), round.mul_f64((index + 1) as f64 / 100.0));
        assert!((slot_start..=slot_end).contains(first), "scheduler {index}: {first:?}");
    }
}

/// `cost` is the estimated cost in milliseconds, which is 54 initially.
#[rstest]
#[case::unreachable(&[CallFailure::Unreachable, CallFailure::Unreachable], 54)]
#[case::timed_out(&[CallFailure::TimedOut], 86)]
#[case::timed_out_twice(&[CallFailure::TimedOut, CallFailure::TimedOut], 138)]
#[case::rejected_once(&[REJECTED], 54)]
#[case::rejected_twice(&[REJECTED, REJECTED], 86)]
#[case::bounded(&[CallFailure::TimedOut; 9], 1_000)]
fn failures_that_show_overload_raise_the_estimated_cost(
    #[case] failures: &[CallFailure],
    #[case] cost: u128,
) {
    let mut pacer = pacer(7);
    for failure in failures {
        pacer.on_failure(*failure, Duration::ZERO);
    }
    assert_eq!(pacer.estimated_cost().as_millis(), cost);
}

/// The fastest answer determines the estimate; a single late one changes it little.
#[rstest]
#[case::faster(&[11, 11, 11], 11)]
#[case::one_late(&[1_900], 86)]
#[case::late_after_fast(&[60, 1_900, 1_900], 72)]
#[case::permanently_slower(&[&[54], &[270; 20][..]].concat(), 270)]
fn answers_adjust_the_estimated_cost(#[case] answers: &[u32], #[case] cost: u128) {
    let mut pacer = pacer(7);
    for ms in answers {
        pacer.on_answer(MS * *ms);
    }
    assert_eq!(pacer.estimated_cost().as_millis(), cost);
}

/// Guards against schedulers with an early slot that call several times within one round.
#[test]
fn a_failed_call_is_followed_by_one_in_the_next_round() {
    for index in 0..100 {
        let mut pacer = pacer(index);
        let first_call = pacer.first_delay();
        let next_call = first_call + pacer.on_failure(CallFailure::Unreachable, Duration::ZERO);
        let round = pacer.round_duration();
        let slack = round / 50;
        assert!(
            next_call + slack >= round && next_call <= round * 2 + slack,
            "scheduler {index}: {next_call:?} of {round:?}"
        );
    }
}

#[test]
fn a_retry_after_hint_is_followed_up_to_its_bound() {
    let delay_with_hint = |seconds| {
        let retry_after = Some(Duration::from_secs(seconds));
        pacer(3).on_failure(CallFailure::Rejected { retry_after }, MS)
    };
    assert!(delay_with_hint(30) >= Duration::from_secs(30));
    assert!(delay_with_hint(100_000) <= Duration::from_secs(61), "{:?}", delay_with_hint(100_000));
}
