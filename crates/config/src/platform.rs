//! The platform's JSON: its values as pairs, and the place of a key in its text. Reads no key itself.

use crate::fault::Place;
use serde_json::Value;
use serde_json::value::RawValue;
use std::collections::BTreeMap;

/// Writes a JSON value as `path=value` pairs: lists of objects by count and position, other lists joined by
/// commas; spaces, commas and ends of lines within values become `_`.
pub fn flatten(path: &str, value: &Value, pairs: &mut BTreeMap<String, String>) {
    let under = |name: &str| if path.is_empty() { name.to_owned() } else { format!("{path}.{name}") };
    match value {
        Value::Object(fields) => {
            for (name, value) in fields {
                flatten(&under(name), value, pairs);
            }
        }
        Value::Array(items) if items.iter().any(Value::is_object) => {
            pairs.insert(under("count"), items.len().to_string());
            for (index, item) in items.iter().enumerate() {
                flatten(&under(&index.to_string()), item, pairs);
            }
        }
        Value::Array(items) => {
            let items: Vec<String> = items.iter().map(plain_text).collect();
            pairs.insert(path.to_owned(), items.join(","));
        }
        Value::Null => {}
        other => {
            pairs.insert(path.to_owned(), plain_text(other));
        }
    }
}

/// A plain value as text, without the letters that separate values and lines.
fn plain_text(value: &Value) -> String {
    match value {
        Value::String(text) => text.replace([' ', ',', '\n', '\r'], "_"),
        other => other.to_string(),
    }
}

/// Where the value of a dotted key stands in a JSON text, or the innermost value around it that is there.
pub fn locate(text: &str, key: &str) -> Option<Place> {
    let mut value: &RawValue = serde_json::from_str(text).ok()?;
    for part in key.split('.') {
        match member(value, part) {
            Some(inner) => value = inner,
            None => break,
        }
    }
    // The value is a part of the text, so that their addresses give its offset.
    let offset = (value.get().as_ptr() as usize).checked_sub(text.as_ptr() as usize)?;
    Some(Place::of(text, offset))
}

/// The item of an array at a position, or the field of an object with a name.
fn member<'a>(value: &'a RawValue, part: &str) -> Option<&'a RawValue> {
    match part.parse::<usize>() {
        Ok(index) => serde_json::from_str::<Vec<&RawValue>>(value.get()).ok()?.get(index).copied(),
        Err(_) => serde_json::from_str::<BTreeMap<String, &RawValue>>(value.get()).ok()?.get(part).copied(),
    }
}
