//! The chart of all series.
#![cfg(test)]

use heathward_scale_tests::chart::draw;
use heathward_scale_tests::series::Series;

fn series(name: &str, full_size: f64, values: &[(f64, f64)]) -> Series {
    let mut series = Series::new(name, "nodes", "us", full_size);
    series.points = values.to_vec();
    series
}

/// The chart's text, and how many marks it has: measured ones are filled, the others are not.
fn drawn(all: &[Series], file: &str) -> (String, usize, usize) {
    let path = std::path::Path::new(env!("CARGO_TARGET_TMPDIR")).join(file);
    draw(all, &path).unwrap();
    let svg = std::fs::read_to_string(path).unwrap();
    let marks = |filled: bool| {
        let circles = svg.lines().filter(|line| line.starts_with("<circle"));
        circles.filter(|line| line.contains("fill=\"none\"") != filled).count()
    };
    let counts = (marks(true), marks(false));
    (svg, counts.0, counts.1)
}

#[test]
fn each_series_has_its_title_and_a_mark_for_each_point() {
    let rising = [(10.0, 1.0), (100.0, 3.0), (1_000.0, 9.0), (2_000.0, 20.0)];
    let all: Vec<Series> =
        ["first", "second", "third", "fourth", "fifth"].map(|name| series(name, 2_000.0, &rising)).to_vec();
    let (svg, measured, fitted) = drawn(&all, "all.svg");
    assert!(all.iter().all(|series| svg.contains(&series.name)), "{svg}");
    assert_eq!((measured, fitted), (20, 0));
}

#[test]
fn an_extrapolated_figure_has_a_hollow_mark() {
    let line = [(10.0, 10.0), (20.0, 20.0), (30.0, 30.0), (40.0, 40.0)];
    let (svg, measured, fitted) = drawn(&[series("line", 4_000.0, &line)], "extrapolated.svg");
    assert!(svg.contains("line [us], power 1.00, reach 100.0"), "{svg}");
    assert_eq!((measured, fitted), (4, 1));
}

/// What has no logarithm has no mark, and a series of equal values, or of none, is no fault.
#[test]
fn zeros_and_equal_values_are_drawn() {
    let flat = [(1.0, 7.0), (2.0, 7.0), (3.0, 0.0)];
    let (_, measured, fitted) = drawn(&[series("flat", 3.0, &flat), series("empty", 3.0, &[])], "flat.svg");
    assert_eq!((measured, fitted), (2, 0));
}
