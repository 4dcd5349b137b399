//! Reads the fields of records from the bytes of a frame.

use super::error::WireError;
use sedgerun_policy::BackendId;

/// The size of a backend id on the wire.
pub(super) const BACKEND_ID_BYTES: usize = 6;
/// The size of one value of a gauge.
const GAUGE_VALUE_BYTES: usize = 4;

/// The unread bytes of a frame, and the name of the part that is being read.
pub(super) struct FieldReader<'a> {
    bytes: &'a [u8],
    /// Used in the error if the frame ends within this part.
    part: &'static str,
}

impl<'a> FieldReader<'a> {
    pub(super) fn new(bytes: &'a [u8], part: &'static str) -> FieldReader<'a> {
        FieldReader { bytes, part }
    }

    /// Sets the name of the part that the next fields belong to.
    pub(super) fn begin_part(&mut self, part: &'static str) {
        self.part = part;
    }

    /// The number of unread bytes.
    pub(super) fn remaining(&self) -> usize {
        self.bytes.len()
    }

    pub(super) fn bytes(&mut self, count: usize) -> Result<&'a [u8], WireError> {
        let (head, tail) = self.bytes.split_at_checked(count).ok_or(WireError::TruncatedRecord(self.part))?;
        self.bytes = tail;
        Ok(head)
    }

    fn array<const N: usize>(&mut self) -> Result<[u8; N], WireError> {
        let (head, tail) = self.bytes.split_first_chunk().ok_or(WireError::TruncatedRecord(self.part))?;
        self.bytes = tail;
        Ok(*head)
    }

    pub(super) fn u8(&mut self) -> Result<u8, WireError> {
        self.array().map(u8::from_le_bytes)
    }

    pub(super) fn u16(&mut self) -> Result<u16, WireError> {
        self.array().map(u16::from_le_bytes)
    }

    pub(super) fn u32(&mut self) -> Result<u32, WireError> {
        self.array().map(u32::from_le_bytes)
    }

    pub(super) fn u64(&mut self) -> Result<u64, WireError> {
        self.array().map(u64::from_le_bytes)
    }

    pub(super) fn f32(&mut self) -> Result<f64, WireError> {
        self.array().map(f32::from_le_bytes).map(f64::from)
    }

    pub(super) fn backend_id(&mut self) -> Result<BackendId, WireError> {
        let mut id = [0; 8];
        id[..BACKEND_ID_BYTES].copy_from_slice(self.bytes(BACKEND_ID_BYTES)?);
        Ok(BackendId(u64::from_le_bytes(id)))
    }

    /// Skips a gauge, a count followed by that many values, which the decision module does not use.
    pub(super) fn skip_gauge(&mut self) -> Result<(), WireError> {
        let count = usize::from(self.u8()?);
        self.bytes(GAUGE_VALUE_BYTES * count).map(|_| ())
    }
}
