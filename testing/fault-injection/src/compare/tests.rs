use rstest::rstest;

use super::*;

/// Against tables of Student's distribution: 12.706 with one degree of freedom, 2.776 with four.
#[rstest]
#[case(&[1.0, 3.0], 2.0, 12.706)]
#[case(&[1.0, 2.0, 3.0, 4.0, 5.0], 3.0, 2.776 * 0.5_f64.sqrt())]
fn an_interval_is_that_of_students_distribution(
    #[case] values: &[f64],
    #[case] mean: f64,
    #[case] half: f64,
) {
    let interval = Interval::of(values).unwrap();
    assert_eq!(interval.mean, mean);
    assert!((interval.half.unwrap() - half).abs() < 0.001, "{interval}");
}

#[rstest]
#[case::shown(&[2.0, 3.1, 4.0], &[1.0, 2.0, 3.1], "1.0000 ± 0.2484")]
#[case::chance(&[2.0, 3.0], &[2.5, 2.0], "no difference shown (0.2500 ± 9.5297)")]
#[case::one(&[2.0], &[1.0], "no difference shown (1.0000)")]
#[case::none(&[], &[], "nothing to compare")]
fn a_difference_is_said_where_it_is_shown(#[case] this: &[f64], #[case] other: &[f64], #[case] said: &str) {
    assert_eq!(difference(this, other), said);
}
