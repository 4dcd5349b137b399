//! The platform's JSON as a document, with the cached endpoint list kept apart as text.

use serde::Deserialize;
use serde::de::{Deserializer, MapAccess, Visitor};
use serde_json::value::RawValue;
use serde_json::{Map, Value};
use std::fmt;

/// The key of the cached endpoint list.
const CACHED_LIST_KEY: &str = "known";

/// The platform's JSON. The endpoint list stays text: as a tree, a large one would take several times its bytes.
#[derive(Debug, Default)]
pub(super) struct Document {
    /// All of it but the endpoint list.
    pub(super) json: Value,
    /// The text of the endpoint list, where there is one.
    pub(super) cached_list: Option<Box<RawValue>>,
}

impl<'de> Deserialize<'de> for Document {
    fn deserialize<D: Deserializer<'de>>(deserializer: D) -> Result<Document, D::Error> {
        deserializer.deserialize_map(DocumentVisitor)
    }
}

struct DocumentVisitor;

impl<'de> Visitor<'de> for DocumentVisitor {
    type Value = Document;

    fn expecting(&self, formatter: &mut fmt::Formatter<'_>) -> fmt::Result {
        formatter.write_str("an object of settings")
    }

    fn visit_map<A: MapAccess<'de>>(self, mut object: A) -> Result<Document, A::Error> {
        let (mut json, mut cached_list) = (Map::new(), None);
        while let Some(key) = object.next_key::<String>()? {
            if key == CACHED_LIST_KEY {
                cached_list = object.next_value::<Option<Box<RawValue>>>()?;
            } else {
                json.insert(key, object.next_value()?);
            }
        }
        Ok(Document { json: Value::Object(json), cached_list })
    }
}
