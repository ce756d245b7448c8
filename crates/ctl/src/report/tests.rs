use super::*;

#[test]
fn moments_are_read_in_four_forms_and_no_other() {
    let day = 20_788 * DAY;
    let cases = [
        ("09:02", Some(day + 32_520_000_000)),
        ("09:02:01.5", Some(day + 32_521_500_000)),
        ("2026-12-01T09:02:00+01:00", Some(1_796_112_120_000_000)),
        ("1796112120", Some(1_796_112_120_000_000)),
        ("9", Some(9_000_000)),
        ("24:00", None),
        ("09:60", None),
        ("09:02:60", None),
        ("noon", None),
        ("1:2:3:4", None),
    ];
    for (text, expected) in cases {
        assert_eq!(Moment::parse(text).ok().map(|at| at.on(day + 5)), expected, "{text}");
    }
}
