//! Records that are altered, truncated, or of another type or format version.

use proptest::prelude::*;
use sedgerun_replication::record::{CorruptRecord, FORMAT_VERSION, HEADER_BYTES, RecordType, decode, encode};

/// The checksum of a record, computed independently of the crate.
fn checksum(record_type: u8, format: u8, body: &[u8]) -> u32 {
    let mut hasher = crc32fast::Hasher::new();
    hasher.update(&[record_type, format]);
    hasher.update(body);
    hasher.finalize()
}

proptest! {
    #[test]
    fn a_record_with_any_bit_flipped_or_a_byte_missing_is_rejected(text in ".{0,60}", bit in any::<prop::sample::Index>()) {
        let record = encode(RecordType::Entry, &text).expect("a record");
        prop_assert_eq!(decode::<String>(RecordType::Entry, &record), Ok(text));
        let (mut flipped, bit) = (record.clone(), bit.index(record.len() * 8));
        flipped[bit / 8] ^= 1 << (bit % 8);
        prop_assert!(decode::<String>(RecordType::Entry, &flipped).is_err());
        prop_assert!(decode::<String>(RecordType::Entry, &record[..record.len() - 1]).is_err());
    }
}

#[test]
fn a_record_of_another_rust_type_record_type_or_format_is_rejected() {
    let optional = encode(RecordType::Position, &Some((1u8, 7u8))).expect("a record");
    assert_eq!(decode::<(u8, u8)>(RecordType::Position, &optional), Err(CorruptRecord::Body));
    let record = encode(RecordType::Vote, &7u64).expect("a record");
    assert_eq!(decode::<u64>(RecordType::Entry, &record), Err(CorruptRecord::RecordType(2)));
    let mut newer = record;
    newer[1] = FORMAT_VERSION + 1;
    let sum = checksum(newer[0], newer[1], &newer[HEADER_BYTES..]);
    newer[2..HEADER_BYTES].copy_from_slice(&sum.to_le_bytes());
    assert_eq!(decode::<u64>(RecordType::Vote, &newer), Err(CorruptRecord::Format(FORMAT_VERSION + 1)));
}
