//! The changes of one log entry, in encoded form.
//!
//! Decoded, a change takes up several times the memory of its encoding. Entries of the log therefore keep
//! their changes encoded, and decode them when they are applied. A batch is stored and sent with the same bytes
//! as a list of changes.

use crate::change::Change;
use crate::record::EncodeError;
use serde::ser::SerializeTuple as _;
use serde::{Deserialize, Deserializer, Serialize, Serializer};
use std::fmt;
use std::sync::Arc;

/// The encoded changes of one log entry. Clones share the encoding.
#[derive(Clone, PartialEq, Eq)]
pub struct ChangeBatch {
    encoded: Arc<[u8]>,
}

impl ChangeBatch {
    /// Encodes changes.
    ///
    /// # Errors
    /// The serializer rejects a change.
    pub fn new(changes: &[Change]) -> Result<ChangeBatch, EncodeError> {
        Ok(ChangeBatch { encoded: postcard::to_extend(changes, Vec::new())?.into() })
    }

    /// Decodes the changes.
    ///
    /// # Errors
    /// The encoding is not that of a list of changes.
    pub fn changes(&self) -> Result<Vec<Change>, EncodeError> {
        postcard::from_bytes(&self.encoded)
    }

    /// Length of the encoding, in bytes.
    pub fn encoded_len(&self) -> usize {
        self.encoded.len()
    }
}

impl fmt::Debug for ChangeBatch {
    fn fmt(&self, formatter: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(formatter, "ChangeBatch({} bytes)", self.encoded.len())
    }
}

impl Serialize for ChangeBatch {
    fn serialize<S: Serializer>(&self, serializer: S) -> Result<S::Ok, S::Error> {
        Encoded(&self.encoded).serialize(serializer)
    }
}

impl<'de> Deserialize<'de> for ChangeBatch {
    fn deserialize<D: Deserializer<'de>>(deserializer: D) -> Result<ChangeBatch, D::Error> {
        // The serializer's format does not say where a value ends, so the changes are decoded to find out.
        let changes = Vec::<Change>::deserialize(deserializer)?;
        ChangeBatch::new(&changes).map_err(serde::de::Error::custom)
    }
}

/// A value that is encoded already. It is serialized as these bytes, without a length, as a tuple of bytes is
/// in the format of records.
pub(crate) struct Encoded<'a>(pub &'a [u8]);

impl Serialize for Encoded<'_> {
    fn serialize<S: Serializer>(&self, serializer: S) -> Result<S::Ok, S::Error> {
        let mut bytes = serializer.serialize_tuple(self.0.len())?;
        for byte in self.0 {
            bytes.serialize_element(byte)?;
        }
        bytes.end()
    }
}
