//! The codec of VRRP version 3 advertisements for IPv4.

use super::Advertisement;
use std::net::Ipv4Addr;

/// Version 3, type 1.
const VERSION_TYPE: u8 = 0x31;
/// The largest interval: 12 bits.
pub const MOST_INTERVAL: u16 = 0x0fff;

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

/// Writes an advertisement.
pub fn encode(advertisement: &Advertisement) -> Vec<u8> {
    let Advertisement { id, priority, interval, addresses } = advertisement;
    let count = addresses.len().min(usize::from(u8::MAX));
    let mut bytes = vec![VERSION_TYPE, *id, *priority, count as u8];
    bytes.extend((interval & MOST_INTERVAL).to_be_bytes());
    bytes.extend([0, 0]);
    addresses.iter().take(count).for_each(|address| bytes.extend(address.octets()));
    let sum = checksum(&bytes);
    bytes[6..8].copy_from_slice(&sum.to_be_bytes());
    bytes
}

/// Reads an advertisement; `None` where it is to be discarded.
pub fn decode(bytes: &[u8]) -> Option<Advertisement> {
    let (head, addresses) = bytes.split_at_checked(8)?;
    let count = usize::from(head[3]);
    if head[0] != VERSION_TYPE || count == 0 || addresses.len() != 4 * count || checksum(bytes) != 0 {
        return None;
    }
    let interval = u16::from_be_bytes([head[4], head[5]]) & MOST_INTERVAL;
    let address = |octets: &[u8]| Ipv4Addr::new(octets[0], octets[1], octets[2], octets[3]);
    let addresses = addresses.chunks(4).map(address).collect();
    (interval > 0).then_some(Advertisement { id: head[1], priority: head[2], interval, addresses })
}
