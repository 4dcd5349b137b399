//! Reads the JSON of an endpoint list.
//!
//! Entries are taken one by one from serde_json's streaming deserializer and checked as they come. The document is
//! never held as a tree, so that a list costs its text and its checked entries, both within
//! [`ListBounds`](super::ListBounds).

use super::{EndpointEntry, EndpointList, ListError, SizeUnit, TooLarge};
use crate::discovery::lenient::{Flag, Lenient, Number, Shape, Text};
use sedgerun_policy::Readiness;
use serde::Deserialize;
use serde::de::{DeserializeSeed, IgnoredAny, MapAccess, SeqAccess};
use std::net::SocketAddr;

/// Microseconds in a millisecond, the unit of `startedAtMs`.
const MICROS_PER_MILLI: u64 = 1000;

/// Reads a document of at most so many entries. `zones` names the zones of the settings, in order.
pub(super) fn read_document(
    text: &[u8],
    zones: &[String],
    max_entries: usize,
) -> Result<EndpointList, ListError> {
    let mut deserializer = serde_json::Deserializer::from_slice(text);
    let document = Lenient(DocumentShape { zones, max_entries });
    let document = document.deserialize(&mut deserializer).map_err(ListError::Syntax)?;
    deserializer.end().map_err(ListError::Syntax)?;
    document.check()
}

/// The keys of a document.
#[derive(Deserialize)]
#[serde(field_identifier, rename_all = "camelCase")]
enum DocumentKey {
    Generation,
    Reset,
    Instances,
    #[serde(other)]
    Other,
}

/// A document as it was read.
#[derive(Default)]
struct Document {
    generation: Option<u64>,
    reset: Option<bool>,
    instances: Option<Result<Vec<EndpointEntry>, ListError>>,
}

impl Document {
    fn check(self) -> Result<EndpointList, ListError> {
        let generation = self.generation.ok_or(ListError::Generation)?;
        let is_full = self.reset.ok_or(ListError::Reset)?;
        let entries = self.instances.ok_or(ListError::Instances)??;
        Ok(EndpointList { generation, is_full, entries })
    }
}

struct DocumentShape<'a> {
    zones: &'a [String],
    max_entries: usize,
}

impl<'de> Shape<'de> for DocumentShape<'_> {
    type Value = Document;

    fn object<A: MapAccess<'de>>(self, mut object: A) -> Result<Document, A::Error> {
        let mut document = Document::default();
        while let Some(key) = object.next_key::<DocumentKey>()? {
            match key {
                DocumentKey::Generation => document.generation = object.next_value_seed(Lenient(Number))?,
                DocumentKey::Reset => document.reset = object.next_value_seed(Lenient(Flag))?,
                DocumentKey::Instances => {
                    // Frees the entries of an earlier key of this name before more are read.
                    document.instances = None;
                    let entries = EntriesShape { zones: self.zones, max_entries: self.max_entries };
                    document.instances = object.next_value_seed(Lenient(entries))?;
                }
                DocumentKey::Other => drop(object.next_value::<IgnoredAny>()?),
            }
        }
        Ok(document)
    }
}

/// The array of entries; `None` where it is none.
struct EntriesShape<'a> {
    zones: &'a [String],
    max_entries: usize,
}

impl<'de> Shape<'de> for EntriesShape<'_> {
    type Value = Option<Result<Vec<EndpointEntry>, ListError>>;

    fn array<A: SeqAccess<'de>>(self, mut array: A) -> Result<Self::Value, A::Error> {
        let mut entries = Vec::new();
        while entries.len() < self.max_entries {
            match array.next_element_seed(Lenient(EntryShape { zones: self.zones }))? {
                None => return Ok(Some(Ok(entries))),
                Some(fields) => match fields.check(entries.len()) {
                    Ok(entry) => entries.push(entry),
                    Err(error) => {
                        skip_rest(&mut array)?;
                        return Ok(Some(Err(error)));
                    }
                },
            }
        }
        let rest = skip_rest(&mut array)?;
        if rest == 0 {
            return Ok(Some(Ok(entries)));
        }
        let (size, bound) = ((entries.len() + rest) as u64, self.max_entries);
        Ok(Some(Err(ListError::TooLarge(TooLarge { size, limit: bound, unit: SizeUnit::Entries }))))
    }
}

/// Skips the elements left in an array; how many there were.
fn skip_rest<'de, A: SeqAccess<'de>>(array: &mut A) -> Result<usize, A::Error> {
    let mut count = 0;
    while array.next_element::<IgnoredAny>()?.is_some() {
        count += 1;
    }
    Ok(count)
}

/// The keys of an entry that are read.
#[derive(Deserialize)]
#[serde(field_identifier, rename_all = "camelCase")]
enum EntryKey {
    InstanceId,
    HostPort,
    Zone,
    Cell,
    Lifecycle,
    StartedAtMs,
    #[serde(other)]
    Other,
}

/// The fields of an entry as they were read; `None` for one that is missing or malformed.
#[derive(Default)]
struct EntryFields {
    id: Option<String>,
    readiness: Option<Readiness>,
    address: Option<SocketAddr>,
    shard: Option<u32>,
    zone: Option<u16>,
    started_at_ms: Option<u64>,
}

impl EntryFields {
    /// The entry at this position.
    fn check(self, index: usize) -> Result<EndpointEntry, ListError> {
        let invalid = |key| ListError::Entry { index, key };
        let id = self.id.ok_or_else(|| invalid("instanceId"))?;
        let readiness = self.readiness.ok_or_else(|| invalid("lifecycle"))?;
        let is_removed = readiness == Readiness::Removed;
        if self.address.is_none() && !is_removed {
            return Err(invalid("hostPort"));
        }
        if self.shard.is_none() && !is_removed {
            return Err(invalid("cell"));
        }
        Ok(EndpointEntry {
            id,
            readiness,
            address: self.address,
            shard: self.shard.unwrap_or(0),
            zone: self.zone.unwrap_or(0),
            started_at: self.started_at_ms.unwrap_or(0).saturating_mul(MICROS_PER_MILLI),
        })
    }
}

/// An entry; one that is no object has no field.
struct EntryShape<'a> {
    zones: &'a [String],
}

impl<'de> Shape<'de> for EntryShape<'_> {
    type Value = EntryFields;

    fn object<A: MapAccess<'de>>(self, mut object: A) -> Result<EntryFields, A::Error> {
        let mut fields = EntryFields::default();
        while let Some(key) = object.next_key::<EntryKey>()? {
            match key {
                EntryKey::InstanceId => fields.id = object.next_value_seed(Lenient(Text(parse_id)))?,
                EntryKey::HostPort => {
                    fields.address = object.next_value_seed(Lenient(Text(parse_address)))?;
                }
                EntryKey::Zone => {
                    let position = |name: &str| zone_position(self.zones, name);
                    fields.zone = object.next_value_seed(Lenient(Text(position)))?;
                }
                EntryKey::Cell => {
                    let shard = object.next_value_seed(Lenient(Number))?;
                    fields.shard = shard.and_then(|shard| u32::try_from(shard).ok());
                }
                EntryKey::Lifecycle => {
                    fields.readiness = object.next_value_seed(Lenient(Text(parse_readiness)))?;
                }
                EntryKey::StartedAtMs => fields.started_at_ms = object.next_value_seed(Lenient(Number))?,
                EntryKey::Other => drop(object.next_value::<IgnoredAny>()?),
            }
        }
        Ok(fields)
    }
}

fn parse_id(text: &str) -> Option<String> {
    (!text.is_empty()).then(|| text.to_owned())
}

fn parse_address(text: &str) -> Option<SocketAddr> {
    text.parse().ok()
}

fn parse_readiness(text: &str) -> Option<Readiness> {
    match text {
        "ready" => Some(Readiness::Ready),
        "draining" => Some(Readiness::Draining),
        "gone" => Some(Readiness::Removed),
        _ => None,
    }
}

fn zone_position(zones: &[String], name: &str) -> Option<u16> {
    zones.iter().position(|zone| zone == name).and_then(|position| u16::try_from(position).ok())
}
