//! Digests of message parts. A head compares them to leave out parts that the receiver has cached.

use serde::Serialize;

/// Digest of a message part: the CRC-32 of its encoding. It is never 0, which means "none".
pub fn digest_of<T: Serialize>(part: &T) -> u32 {
    // If the part cannot be encoded, sending it fails as well, so its digest is never compared.
    let encoded = postcard::to_extend(part, Vec::new()).unwrap_or_default();
    crc32fast::hash(&encoded).max(1)
}
