use super::*;

#[test]
fn local_answers_are_reported_once_a_second() {
    let mut log = LocalAnswerLog::default();
    assert_eq!(log.record(1_000_000), Some(1));
    assert_eq!(log.record(1_999_999), None);
    assert_eq!(log.record(2_000_000), Some(2));
}
