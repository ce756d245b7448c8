use super::*;

#[test]
fn a_long_series_keeps_its_sum_in_fewer_bins() {
    let mut series = Series::<NodeCounts>::default();
    for second in 0..100_000 {
        series.at(second * SECOND).sent += 1;
    }
    assert!(series.iter().count() <= BINS && series.width() == 16 * SECOND);
    assert_eq!(series.total().sent, 100_000);
    assert!(series.iter().all(|(_, counts)| counts.sent <= 16));
}

#[test]
fn a_place_holds_what_lies_below_its_border() {
    for time in [0, 999, 1_000, 1_500, 150_000, 2_000_000, 119_000_000] {
        let place = Times::place(time);
        let ms = time as f64 / 1000.0;
        assert!(ms <= Times::border(place), "{time} in {place}");
        assert!(place == 0 || ms >= Times::border(place - 1) * 0.999, "{time} in {place}");
    }
    let mut times = Times::default();
    times.add_many(10_000, 98);
    times.add_many(1_000_000, 2);
    let (half, last) = (times.quantile(0.5).unwrap(), times.quantile(0.99).unwrap());
    assert!((10.0..12.0).contains(&half) && (1000.0..1200.0).contains(&last), "{half} {last}");
}
