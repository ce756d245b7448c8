//! Bounds on known series.
#![cfg(test)]

use heathward_scale_tests::bounds::{check_all, exceeded, Bound};
use heathward_scale_tests::processes::BOUNDS;
use heathward_scale_tests::series::Series;
use rstest::rstest;

fn series(full_size: f64) -> Series {
    let mut series = Series::new("cost", "nodes", "us", full_size);
    series.points = vec![(10.0, 5.0), (20.0, 10.0), (40.0, 20.0), (80.0, 40.0)];
    series
}

#[rstest]
#[case::within_a_budget(Bound::Budget(80.0), "cost-of-budget", 0.5, true)]
#[case::over_a_budget(Bound::Budget(20.0), "cost-of-budget", 2.0, false)]
#[case::within_a_limit(Bound::Limit(50.0), "cost-largest-of-limit", 0.8, true)]
#[case::no_less_than_a_limit(Bound::AtLeast(4.0), "cost-limit-of-least", 0.8, true)]
#[case::less_than_a_limit(Bound::AtLeast(10.0), "cost-limit-of-least", 2.0, false)]
#[case::further(Bound::Marginal { from: 20.0, at_most: 0.4 }, "cost-each-from-20-to-80", 0.5, false)]
#[case::grows(Bound::Growth { from: 10.0, at_most: 7.9 }, "cost-at-80-against-10", 8.0, false)]
#[case::each(Bound::PerUnit { from: 20.0, at_most: 1.0 }, "cost-each-at-80-against-20", 1.0, true)]
fn a_bound_is_a_ratio(#[case] bound: Bound, #[case] what: &str, #[case] ratio: f64, #[case] holds: bool) {
    let check = bound.check(&series(80.0));
    assert_eq!((&*check.what, check.ratio, check.holds()), (what, ratio, holds));
}

#[test]
fn an_extrapolated_figure_says_so() {
    let check = Bound::Budget(100.0).check(&series(160.0));
    assert_eq!(check.what, "cost-of-budget-extrapolated-by-2.0");
    assert!((check.ratio - 0.8).abs() < 1e-9, "{check:?}");
}

#[test]
fn a_size_that_was_not_measured_keeps_no_bound() {
    assert!(!Bound::Growth { from: 15.0, at_most: 100.0 }.check(&series(80.0)).holds());
    assert!(!Bound::Marginal { from: 15.0, at_most: 100.0 }.check(&series(80.0)).holds());
    assert!(!Bound::Limit(100.0).check(&Series::new("cost", "nodes", "us", 80.0)).holds());
    assert!(!Bound::Budget(100.0).check(&Series::new("cost", "nodes", "us", 80.0)).holds());
}

#[test]
fn a_series_without_a_bound_is_told() {
    assert_eq!(check_all(&[series(80.0)], BOUNDS), Err("cost: no bound".to_owned()));
}

#[test]
fn what_is_exceeded_is_told_and_too_few_sizes_are_an_error() {
    let bounds = [("cost", Bound::Budget(80.0)), ("cost", Bound::Limit(20.0))];
    let told = exceeded(&[series(80.0)], &bounds).unwrap();
    assert_eq!(told.iter().map(|check| &*check.what).collect::<Vec<_>>(), ["cost-largest-of-limit"]);
    let mut short = series(80.0);
    short.points.pop();
    assert_eq!(exceeded(&[short], &bounds), Err("cost: 3 points; 4 are needed".to_owned()));
}
