//! Settings as `path=value` pairs, whichever form they were written in. A value at fault reads as one in range and the
//! fault is recorded, so that reading goes on and every fault is reported at once.

use crate::fault::{Fault, Faults, MAX_FAULTS, Place};
use sedgerun_policy::Micros;
use std::cell::RefCell;
use std::collections::BTreeMap;

/// The largest figure in settings: whole numbers up to it are exact as `f64`.
const MAX_FIGURE: f64 = 1e15;

/// A value, and where it stands in the text.
#[derive(Debug)]
struct PlacedValue {
    text: String,
    place: Option<Place>,
}

/// Settings by path, and the faults that reading them has found.
#[derive(Debug, Default)]
pub struct Pairs {
    values: BTreeMap<String, PlacedValue>,
    /// Where the forms begin that hold the keys under a prefix.
    form_places: BTreeMap<String, Place>,
    faults: RefCell<Vec<Fault>>,
}

impl Pairs {
    /// Reads one pair a line; blank lines and lines that begin with `#` are passed over.
    pub fn read(text: &str) -> Result<Pairs, Faults> {
        let mut pairs = Pairs::default();
        for (index, line) in text.lines().enumerate() {
            let indent = line.len() - line.trim_start().len();
            let (line, place) = (line.trim(), Place { line: index + 1, column: indent + 1 });
            if line.is_empty() || line.starts_with('#') {
                continue;
            }
            match line.split_once('=') {
                Some((key, value)) => pairs.insert(key.trim(), value.trim(), Some(place)),
                None => pairs.record("", format!("malformed settings line: {line}"), Some(place)),
            }
        }
        pairs.finish(())?;
        Ok(pairs)
    }

    /// Pairs that stand in no text of their own.
    pub fn from_map(map: &BTreeMap<String, String>) -> Pairs {
        let mut pairs = Pairs::default();
        for (key, value) in map {
            pairs.insert(key, value, None);
        }
        pairs
    }

    /// Adds a pair; it replaces an earlier one of the same key.
    pub fn insert(&mut self, key: &str, value: &str, place: Option<Place>) {
        self.values.insert(key.to_owned(), PlacedValue { text: value.to_owned(), place });
    }

    /// Sets where the form begins that holds the keys under a prefix.
    pub fn set_form_place(&mut self, prefix: &str, place: Place) {
        self.form_places.insert(prefix.to_owned(), place);
    }

    /// The keys that are there.
    pub fn keys(&self) -> impl Iterator<Item = &str> {
        self.values.keys().map(String::as_str)
    }

    /// The value of a key.
    pub fn text(&self, key: &str) -> Option<&str> {
        self.values.get(key).map(|value| value.text.as_str())
    }

    fn record(&self, key: &str, what: String, place: Option<Place>) {
        let mut faults = self.faults.borrow_mut();
        if faults.len() < MAX_FAULTS {
            faults.push(Fault { key: key.to_owned(), what, place });
        }
    }

    /// Records a fault of a key: the place is the key's, or else that of the innermost form it belongs in.
    pub fn fault(&self, key: &str, what: impl Into<String>) {
        let place = self.values.get(key).and_then(|value| value.place);
        self.record(key, what.into(), place.or_else(|| self.place_of_form(key)));
    }

    fn place_of_form(&self, key: &str) -> Option<Place> {
        let around = self.form_places.iter().filter(|(prefix, _)| key.starts_with(prefix.as_str()));
        around.max_by_key(|(prefix, _)| prefix.len()).map(|(_, place)| *place)
    }

    /// The value that was read, or all faults recorded since the last call.
    pub fn finish<T>(&self, value: T) -> Result<T, Faults> {
        let faults = self.faults.take();
        if faults.is_empty() { Ok(value) } else { Err(Faults(faults)) }
    }

    /// A text that must be there, and not be empty.
    pub fn required(&self, key: &str) -> &str {
        match self.text(key).filter(|text| !text.is_empty()) {
            Some(text) => text,
            None => {
                self.fault(key, format!("setting {key} is missing"));
                ""
            }
        }
    }

    /// A figure of at least `min`, or `default` where the key is missing; `None` makes the key required. One at fault
    /// reads as `min`.
    pub fn figure(&self, key: &str, min: f64, default: Option<f64>) -> f64 {
        match (self.text(key), default) {
            (None, Some(value)) => return value,
            (None, None) => self.fault(key, format!("setting {key} is missing")),
            (Some(text), _) => match text.parse::<f64>() {
                Ok(value) if (min..=MAX_FIGURE).contains(&value) => return value,
                Ok(value) => self.fault(key, format!("setting {key} is out of range: {value}")),
                Err(_) => self.fault(key, format!("setting {key} is not a figure: {text}")),
            },
        }
        min
    }

    /// A time in microseconds, 0 or more.
    pub fn duration(&self, key: &str, default: Option<f64>) -> Micros {
        self.figure(key, 0.0, default) as Micros
    }

    /// `true` or `false`; `default` where the key is missing or at fault.
    pub fn flag(&self, key: &str, default: bool) -> bool {
        match self.text(key) {
            None => default,
            Some("true") => true,
            Some("false") => false,
            Some(other) => {
                self.fault(key, format!("setting {key} is neither true nor false: {other}"));
                default
            }
        }
    }

    /// A whole number within bounds; one at fault reads as `min`.
    pub fn count(&self, key: &str, min: f64, max: f64, default: Option<f64>) -> u32 {
        let value = self.figure(key, min, default);
        if value > max || value.fract() != 0.0 {
            self.fault(key, format!("setting {key} is out of range: {value}"));
            return min as u32;
        }
        value as u32
    }

    /// The value of one of some words; `default` where the key is missing, `None` makes it required.
    pub(crate) fn word<T: Copy>(&self, key: &str, words: &[(&str, T)], default: Option<T>) -> Option<T> {
        let Some(text) = self.text(key) else {
            if default.is_none() {
                self.fault(key, format!("setting {key} is missing"));
            }
            return default;
        };
        let value = words.iter().find(|(word, _)| *word == text).map(|(_, value)| *value);
        if value.is_none() {
            self.fault(key, format!("setting {key} is unknown: {text}"));
        }
        value
    }
}
