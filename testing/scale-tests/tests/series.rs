//! Fits against curves that are known.
#![cfg(test)]

use heathward_scale_tests::series::{write_csv, Fit, FitError, Series};

fn series(of: impl Fn(f64) -> f64) -> Series {
    let mut series = Series::new("known", "nodes", "us", 1_000.0);
    for size in [10.0, 50.0, 100.0, 200.0, 500.0] {
        series.push(size, of(size));
    }
    series
}

#[test]
fn a_line_is_found_and_goes_on_to_the_full_size() {
    let line = series(|size| 3.0 + 0.5 * size);
    let fit = line.fit().unwrap();
    assert!(
        (fit.intercept - 3.0).abs() < 1e-6 && (fit.slope - 0.5).abs() < 1e-9 && fit.residual < 1e-9,
        "{fit:?}"
    );
    assert!((line.at_full_size().unwrap() - 503.0).abs() < 1e-6);
    assert_eq!(line.reach(), 2.0);
}

#[test]
fn a_square_has_the_power_two_and_misses_the_line() {
    let fit = series(|size| 0.1 * size * size).fit().unwrap();
    assert!((fit.power.unwrap() - 2.0).abs() < 1e-9 && fit.residual > 0.1, "{fit:?}");
}

#[test]
fn three_sizes_tell_no_slope() {
    let mut few = series(|size| size);
    few.points.truncate(3);
    assert_eq!(few.fit(), Err(FitError::TooFewSizes(3)));
}

#[test]
fn a_measured_full_size_goes_before_the_line() {
    let mut reached = series(|size| size);
    reached.push(1_000.0, 7.0);
    assert_eq!((reached.at_full_size().unwrap(), reached.reach()), (7.0, 1.0));
}

#[test]
fn a_full_size_among_the_measured_lies_between_its_neighbours() {
    let mut around = series(|size| size);
    around.full_size = 150.0;
    around.push(200.0, 220.0);
    assert_eq!(around.at_full_size().unwrap(), 155.0, "the mean of both measurements at 200 counts");
    assert!(!around.is_extrapolated());
    assert!(series(|size| size).is_extrapolated());
}

#[test]
fn the_csv_has_a_row_for_each_point_and_says_what_is_extrapolated() {
    let mut few = Series::new("few", "schedulers", "bytes", 10.0);
    few.push(10.0, 0.25);
    let mut written = Vec::new();
    write_csv(&[series(|size| 3.0 + 0.5 * size), few], &mut written).unwrap();
    let text = String::from_utf8(written).unwrap();
    let lines: Vec<&str> = text.lines().collect();
    assert_eq!(lines.len(), 1 + 5 + 1, "{text}");
    assert_eq!(
        lines[0],
        "series,size_of,unit,size,value,slope,intercept,residual,power,full_size,at_full_size,\
         extrapolated,reach"
    );
    let fitted: Vec<&str> = lines[1].split(',').collect();
    assert_eq!(fitted[..7], ["known", "nodes", "us", "10", "8", "0.5", "3"]);
    assert_eq!(fitted[9..], ["1000", "503", "true", "2"]);
    assert_eq!(lines[6], "few,schedulers,bytes,10,0.25,,,,,10,0.25,false,1", "too few sizes for a fit");
}

#[test]
fn a_power_near_zero_has_no_sign() {
    let power = |power| Fit { intercept: 1.0, slope: 0.0, residual: 0.0, power }.power_text();
    assert_eq!(power(Some(-0.001)).as_deref(), Some("0.00"));
    assert_eq!(power(Some(-0.25)).as_deref(), Some("-0.25"));
    assert_eq!(power(None), None);
}
