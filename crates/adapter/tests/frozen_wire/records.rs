//! Encodes event records that both the simulation and the faulty inputs use.

use crate::codes::*;

pub fn new_instance(instance: u16, seed: u64, settings: &str) -> Vec<u8> {
    let mut record = vec![NEW_INSTANCE];
    record.extend(instance.to_le_bytes());
    record.extend(seed.to_le_bytes());
    record.extend((settings.len() as u32).to_le_bytes());
    record.extend(settings.as_bytes());
    record
}

/// An entry of an endpoint list.
#[derive(Clone, Copy)]
pub struct Endpoint {
    pub backend: u64,
    pub shard: u16,
    pub started_at: u64,
    pub zone: u16,
    pub readiness: u8,
}

pub fn targets(instance: u16, scope: u8, version: u64, entries: &[Endpoint]) -> Vec<u8> {
    let mut record = vec![TARGETS];
    record.extend(instance.to_le_bytes());
    record.push(scope);
    record.extend(version.to_le_bytes());
    record.extend((entries.len() as u32).to_le_bytes());
    for entry in entries {
        record.extend(&entry.backend.to_le_bytes()[..6]);
        record.extend(0u16.to_le_bytes());
        record.extend(entry.shard.to_le_bytes());
        record.extend(entry.started_at.to_le_bytes());
        record.extend(entry.zone.to_le_bytes());
        record.extend(1.0f32.to_le_bytes());
        record.push(entry.readiness);
    }
    record
}
