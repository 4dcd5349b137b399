//! Decodes batches: the body of an incoming frame.

use super::error::WireError;
use super::field_reader::FieldReader;
use super::record::{Record, RecordCode, read_record};
use sedgerun_policy::Micros;

/// The content of one incoming frame.
#[derive(Clone, Debug, PartialEq)]
pub struct Batch {
    /// The simulator's time.
    pub now: Micros,
    /// The records in order, each with the number of the instance that it is for.
    pub records: Vec<(u16, Record)>,
}

/// Decodes the body of a frame: everything after its length.
///
/// # Errors
///
/// The header or a record is truncated, a record code or a field's value is unknown, the settings in a record
/// are invalid, or bytes follow the last record. The whole batch is then rejected.
pub fn read_batch(body: &[u8]) -> Result<Batch, WireError> {
    let mut fields = FieldReader::new(body, "batch header");
    let now = fields.u64()?;
    let count = fields.u32()?;
    // The count is untrusted: without this bound, a wrong one could reserve gigabytes. Each record takes more
    // than one byte.
    let mut records = Vec::with_capacity((count as usize).min(body.len()));
    for _ in 0..count {
        fields.begin_part("code");
        let code = RecordCode::try_from(fields.u8()?)?;
        fields.begin_part(code.name());
        let instance = fields.u16()?;
        records.push((instance, read_record(code, &mut fields)?));
    }
    match fields.remaining() {
        0 => Ok(Batch { now, records }),
        bytes => Err(WireError::TrailingBytes(bytes)),
    }
}
