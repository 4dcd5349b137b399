//! Batches: a clock, and the records that happened by it.

use super::error::WireError;
use super::field_reader::FieldReader;
use super::record::{RecordCode, read_record};
use sedgerun_policy::{Event, Micros, Settings};

/// A record of a batch.
#[derive(Clone, Debug, PartialEq)]
pub enum Record {
    /// An instance starts.
    Start {
        /// Seed of its random numbers.
        seed: u64,
        /// Its settings.
        settings: Box<Settings>,
    },
    /// An instance is killed.
    Stop,
    /// An event of an instance.
    Event(Event),
    /// A record that the decisions have no use for.
    Ignored,
}

/// A batch: its clock and its records, each with the instance it is for.
#[derive(Clone, Debug, PartialEq)]
pub struct Batch {
    /// The clock.
    pub now: Micros,
    /// The records in order.
    pub records: Vec<(u16, Record)>,
}

/// Reads the body of a frame: all that follows its length.
///
/// # Errors
///
/// A record is unknown, cut off or has a field that means nothing, or bytes are left over. No part of the batch counts.
pub fn read_batch(body: &[u8]) -> Result<Batch, WireError> {
    let mut fields = FieldReader::new(body, "batch header");
    let now = fields.u64()?;
    let count = fields.u32()?;
    // Guards against a count that announces more than there is.
    let mut records = Vec::with_capacity((count as usize).min(body.len()));
    for _ in 0..count {
        fields.begin("code");
        let code = RecordCode::try_from(fields.u8()?)?;
        fields.begin(code.name());
        let instance = fields.u16()?;
        records.push((instance, read_record(code, &mut fields)?));
    }
    match fields.remaining() {
        0 => Ok(Batch { now, records }),
        bytes => Err(WireError::TrailingBytes(bytes)),
    }
}
