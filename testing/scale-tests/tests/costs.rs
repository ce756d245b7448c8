//! The series of costs: that they measure what they name. Counts alone; times want a release build.
#![cfg(test)]

use heathward_policy::Settings;
use heathward_scale_tests::bounds::exceeded;
use heathward_scale_tests::costs::all::{cold_starts, decisions, list_calls, lists};
use heathward_scale_tests::costs::bounds::BOUNDS;
use heathward_scale_tests::costs::cold_start::{by_schedulers, nodes_of, Cut};
use heathward_scale_tests::costs::decision::{five_seconds, Nodes};
use heathward_scale_tests::costs::driver::Target;
use heathward_scale_tests::costs::list_service::{course, whole_list_bytes};
use heathward_scale_tests::costs::memory::{node_entries, volume_entries, Use};
use heathward_scale_tests::deployments::{planned_size, predio_norte};
use heathward_scale_tests::fleet::Slice;
use heathward_scale_tests::processes::Form;
use rstest::rstest;

const SECOND: u64 = 1_000_000;

#[rstest]
#[case::pinned(Target::Pinned)]
#[case::free(Target::Free)]
fn warm_nodes_get_all_that_comes(#[case] target: Target) {
    let spent = five_seconds(&planned_size(), 40, Nodes::Warm, target, 400, 1);
    assert_eq!((spent.arrivals, spent.sent), (400, 400));
    assert!(spent.arrival_micros() > 0.0 && spent.request_micros() > spent.arrival_micros());
}

/// What one of many may send to cold nodes is counted, and the more there are the less it is.
#[test]
fn cold_nodes_get_less_from_each_of_more_schedulers() {
    let sent = |hosts| {
        let settings = Settings { schedulers: hosts, scheduler_index: 0, ..planned_size() };
        five_seconds(&settings, 60, Nodes::Cold, Target::Pinned, 1_000, 1).sent
    };
    let (few, many) = (sent(30), sent(300));
    println!("sent of 1,000 at 60 cold nodes: {few} by one of 30 schedulers, {many} by one of 300");
    assert!(few > 900 && many < few / 2, "{few} and {many}");
}

#[test]
fn kept_entries_grow_with_nodes_and_volumes() {
    let settings = predio_norte();
    for done in [Use::Listed, Use::Asked] {
        let fit = node_entries(&settings, done).fit().unwrap();
        assert!((fit.slope - 1.0).abs() < 0.01 && fit.residual < 0.01, "{done:?}: {fit:?}");
    }
    let fit = volume_entries(&settings).fit().unwrap();
    assert!((fit.slope - 1.0).abs() < 0.01, "{fit:?}");
}

/// One whole list of the planned size is two minutes of the 6 KB a second that a scheduler may read.
#[test]
fn a_whole_list_has_the_bytes_of_its_entries() {
    let bytes = whole_list_bytes().at_full_size().unwrap();
    let seconds = bytes / 6_000.0;
    assert!((100.0..160.0).contains(&seconds), "{bytes} bytes, {seconds} s");
}

/// All figures of one course by arithmetic: 54 ms a call, a fifth more room, one whole list each.
#[test]
fn a_course_at_the_list_service_adds_up() {
    let course = course(200, 100, 1, 1);
    println!("{course:.1?}");
    let round = 200.0 * 0.054 * 1.2;
    assert!((course.start_time / round - 1.0).abs() < 0.1, "{course:?}");
    assert!(course.start_calls <= 1.2 / 0.054 && course.return_calls <= 2.0 * 1.2 / 0.054, "{course:?}");
    assert!((course.steady_lines / (200.0 / 6.171) - 1.0).abs() < 0.05, "{course:?}");
    assert!(course.start_bytes > 15_000.0 && course.return_bytes < 2_000.0, "{course:?}");
    assert!(course.return_time < 3.0 * round && course.failed_calls > 0.0, "{course:?}");
}

#[test]
fn slices_are_cut_to_what_can_be_played() {
    assert_eq!(nodes_of(4_500), 5_100);
    assert_eq!(Cut::Nodes(17).of(4_500, 5_100), Slice::Nodes { one_in: 300 });
    assert_eq!(Cut::Schedulers(30).of(4_500, 5_100), Slice::Schedulers { one_in: 150 });
    assert_eq!(Cut::Nodes(50).of(30, 34), Slice::Whole);
}

#[test]
fn a_start_by_schedulers_has_a_point_for_each_size() {
    let sizes = [8, 16, 32, 64];
    let cut = Cut::Schedulers(8);
    let series = by_schedulers("trial", &predio_norte(), &sizes, cut, 1, 5 * SECOND).unwrap();
    assert_eq!(series, by_schedulers("trial", &predio_norte(), &sizes, cut, 1, 5 * SECOND).unwrap());
    let of = [&series.over_bound, &series.sent_of_allowed, &series.served_of_ability, &series.serves_again];
    for series in of {
        assert_eq!(series.points.len(), 4);
        assert!(series.points.iter().all(|(_, value)| *value > 0.0), "{series:?}");
    }
}

/// The short form of the capacity measurement, as far as it needs no process: counts of small fleets.
#[test]
fn counts_of_small_fleets_keep_their_bounds() {
    let none = std::path::Path::new("");
    let series: Vec<_> = [decisions, lists, list_calls, cold_starts]
        .iter()
        .flat_map(|measure| measure(none, Form::Short))
        .collect();
    series.iter().for_each(|series| println!("{series:?}"));
    let exceeded = exceeded(&series, BOUNDS).expect("a bound and enough sizes for each series");
    assert!(exceeded.is_empty(), "{exceeded:?}");
}
