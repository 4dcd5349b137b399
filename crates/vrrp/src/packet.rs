//! The codec of VRRP version 3 advertisements for IPv4 (RFC 9568, section 5.1).

use super::Advertisement;
use std::net::Ipv4Addr;

/// Version 3, type 1.
const VERSION_TYPE: u8 = 0x31;
/// Bytes of an advertisement in front of its addresses.
const HEADER_BYTES: usize = 8;
/// Bytes of one address.
const ADDRESS_BYTES: usize = 4;
/// Where the checksum stands.
const CHECKSUM: std::ops::Range<usize> = 6..8;
/// The largest interval: 12 bits, in hundredths of a second.
pub const MAX_INTERVAL: u16 = 0x0fff;

/// The Internet checksum of a message: 0 over one that carries its own.
fn checksum(bytes: &[u8]) -> u16 {
    let words = bytes
        .chunks(2)
        .map(|pair| u32::from(u16::from_be_bytes([pair[0], pair.get(1).copied().unwrap_or_default()])));
    let mut sum: u32 = words.sum();
    while sum > 0xffff {
        sum = (sum & 0xffff) + (sum >> 16);
    }
    !(sum as u16)
}

/// Writes an advertisement, of the first 255 of its addresses.
pub fn encode(advertisement: &Advertisement) -> Vec<u8> {
    let Advertisement { id, priority, interval, addresses } = advertisement;
    let count = addresses.len().min(usize::from(u8::MAX));
    let mut bytes = vec![VERSION_TYPE, *id, *priority, count as u8];
    bytes.extend((interval & MAX_INTERVAL).to_be_bytes());
    bytes.extend([0, 0]);
    addresses.iter().take(count).for_each(|address| bytes.extend(address.octets()));
    let sum = checksum(&bytes);
    bytes[CHECKSUM].copy_from_slice(&sum.to_be_bytes());
    bytes
}

/// Reads an advertisement; `None` where it is to be discarded: it is of another version or type, its length or its
/// checksum is wrong, or its interval is 0.
pub fn decode(bytes: &[u8]) -> Option<Advertisement> {
    let (header, addresses) = bytes.split_at_checked(HEADER_BYTES)?;
    let count = usize::from(header[3]);
    let is_complete = count > 0 && addresses.len() == ADDRESS_BYTES * count;
    if header[0] != VERSION_TYPE || !is_complete || checksum(bytes) != 0 {
        return None;
    }
    let interval = u16::from_be_bytes([header[4], header[5]]) & MAX_INTERVAL;
    let address = |octets: &[u8]| Ipv4Addr::new(octets[0], octets[1], octets[2], octets[3]);
    let addresses = addresses.chunks(ADDRESS_BYTES).map(address).collect();
    (interval > 0).then_some(Advertisement { id: header[1], priority: header[2], interval, addresses })
}
