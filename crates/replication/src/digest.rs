//! Digests by which two heads find out whether they have the same message part, so that it need not be sent again.

use serde::Serialize;

/// Digest of a message part: the CRC-32 of its encoding. It is never 0, which stands for "none".
pub fn digest_of<T: Serialize>(part: &T) -> u32 {
    // A part that cannot be encoded cannot be sent either.
    let encoded = postcard::to_extend(part, Vec::new()).unwrap_or_default();
    crc32fast::hash(&encoded).max(1)
}
