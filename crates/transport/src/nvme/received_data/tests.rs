use super::{OutOfRange, ReceivedData};

/// Guards against data that is taken for complete before its last byte was received.
#[test]
fn data_is_complete_with_its_last_byte() {
    let mut data = ReceivedData::new(4);
    for (offset, part) in [(0, b"ab".as_slice()), (2, b""), (2, b"c")] {
        assert_eq!(data.append(offset, part), Ok(()));
        assert!(!data.is_complete());
    }
    assert_eq!(data.append(3, b"d"), Ok(()));
    assert!(data.is_complete());
    assert_eq!(data.into_complete().as_deref(), Some(b"abcd".as_slice()));
}

#[test]
fn data_without_its_last_byte_is_not_returned() {
    let mut data = ReceivedData::new(4);
    assert_eq!(data.append(0, b"abc"), Ok(()));
    assert_eq!(data.into_complete(), None);
}

#[test]
fn data_with_a_gap_a_repetition_or_beyond_the_end_is_rejected() {
    let mut data = ReceivedData::new(4);
    assert_eq!(data.append(0, b"ab"), Ok(()));
    for (offset, part) in [(3, b"d".as_slice()), (0, b"ab"), (2, b"cde"), (4, b"e")] {
        assert_eq!(data.append(offset, part), Err(OutOfRange), "{offset}");
    }
    assert_eq!(data.append(2, b"cd"), Ok(()));
    assert!(data.is_complete());
}
