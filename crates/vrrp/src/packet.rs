//! Codec of VRRP version 3 advertisement packets for IPv4 (RFC 9568, section 5.1).

use super::Advertisement;
use std::net::Ipv4Addr;

/// The first byte of a packet: version 3, type 1 (advertisement).
const VERSION_TYPE: u8 = 0x31;
/// The size of the fields that precede the addresses.
const HEADER_BYTES: usize = 8;
/// The size of one IPv4 address.
const ADDRESS_BYTES: usize = 4;
/// The position of the checksum.
const CHECKSUM_RANGE: std::ops::Range<usize> = 6..8;
/// The maximum interval between advertisements, in hundredths of a second: the field has 12 bits.
pub const MAX_INTERVAL: u16 = 0x0fff;

/// The Internet checksum of a packet. It is 0 for a packet that contains its correct checksum.
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

/// Encodes an advertisement. At most 255 addresses fit; further ones are left out.
pub fn encode(advertisement: &Advertisement) -> Vec<u8> {
    let Advertisement { id, priority, interval, addresses } = advertisement;
    let count = addresses.len().min(usize::from(u8::MAX));
    let mut bytes = vec![VERSION_TYPE, *id, *priority, count as u8];
    bytes.extend((interval & MAX_INTERVAL).to_be_bytes());
    bytes.extend([0, 0]);
    addresses.iter().take(count).for_each(|address| bytes.extend(address.octets()));
    let sum = checksum(&bytes);
    bytes[CHECKSUM_RANGE].copy_from_slice(&sum.to_be_bytes());
    bytes
}

/// Decodes an advertisement; returns `None` if the packet must be discarded because its version or type is
/// another, its length or checksum is wrong, it has no addresses, or its interval is 0.
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
