use bytes::Bytes;
use heathward_core::memory::{MemoryBudget, MemoryHolder};

use super::{OutOfRange, ReceivedData};

fn append(data: &mut ReceivedData, offset: u32, part: &'static [u8]) -> Result<(), OutOfRange> {
    data.append(offset, Bytes::from_static(part))
}

/// Guards against data that is taken for complete before its last byte was received.
#[test]
fn data_is_complete_with_its_last_byte() {
    let mut data = ReceivedData::new(4, None);
    for (offset, part) in [(0, b"ab".as_slice()), (2, b""), (2, b"c")] {
        assert_eq!(append(&mut data, offset, part), Ok(()));
        assert!(!data.is_complete());
    }
    assert_eq!(append(&mut data, 3, b"d"), Ok(()));
    assert!(data.is_complete());
    assert_eq!(data.into_complete().as_deref(), Some(b"abcd".as_slice()));
}

#[test]
fn data_without_its_last_byte_is_not_returned() {
    let mut data = ReceivedData::new(4, None);
    assert_eq!(append(&mut data, 0, b"abc"), Ok(()));
    assert_eq!(data.into_complete(), None);
}

#[test]
fn data_with_a_gap_a_repetition_or_beyond_the_end_is_rejected() {
    let mut data = ReceivedData::new(4, None);
    assert_eq!(append(&mut data, 0, b"ab"), Ok(()));
    for (offset, part) in [(3, b"d".as_slice()), (0, b"ab"), (2, b"cde"), (4, b"e")] {
        assert_eq!(append(&mut data, offset, part), Err(OutOfRange), "{offset}");
    }
    assert_eq!(append(&mut data, 2, b"cd"), Ok(()));
    assert!(data.is_complete());
}

/// Data that one PDU brings is used as it is, so the rules of the other tests are checked for it as well.
#[test]
fn data_of_a_single_pdu_is_complete_and_holds_its_reservation() {
    let memory = MemoryBudget::default();
    let mut data = ReceivedData::new(2, Some(memory.charge(MemoryHolder::NvmeCommands, 2)));
    assert_eq!(append(&mut data, 0, b"ab"), Ok(()));
    assert!(data.is_complete());
    for (offset, part) in [(0, b"ab".as_slice()), (2, b"c"), (1, b"")] {
        assert_eq!(append(&mut data, offset, part), Err(OutOfRange), "{offset}");
    }
    let complete = data.into_complete();
    assert_eq!((complete.as_deref(), memory.usage().total()), (Some(b"ab".as_slice()), 2));
    drop(complete);
    assert_eq!(memory.usage().total(), 0);
}
