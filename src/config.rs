//! The one place where configuration is read, checked and given its defaults. Whatever is wrong is said in
//! one line that names the faulty key.
//!
//! The platform's JSON is flattened into the `path=value` lines that the adapter reads, and decoded by the
//! adapter's own [`read_settings`].

use crate::api::{Micros, Settings};
use crate::wire::read_settings;
use serde_json::Value;
use std::collections::BTreeMap;
use std::net::SocketAddr;

/// What the program works with.
#[derive(Debug)]
pub struct Config {
    /// Its name.
    pub name: String,
    /// Where clients connect.
    pub listen: SocketAddr,
    /// Where discovery is.
    pub discovery: SocketAddr,
    /// Seed of random numbers.
    pub seed: u64,
    /// Descriptors that the program may hold.
    pub sockets: usize,
    /// The list as it was last had, in discovery's form.
    pub known: Option<Value>,
    /// The settings of the decisions.
    pub settings: Settings,
    /// Names of the classes, in order.
    pub classes: Vec<String>,
    /// Names of the plans, in order.
    pub plans: Vec<String>,
    /// Names of the zones, in order.
    pub zones: Vec<String>,
    /// Idle connections to nodes close after this.
    pub idle: Micros,
    /// A connection not made by then has failed.
    pub dial: Micros,
    /// Requests that may be open at once.
    pub most_open: usize,
}

impl Config {
    /// Reads the platform's JSON.
    pub fn from_json(text: &str) -> Result<Config, String> {
        let json: Value = serde_json::from_str(text).map_err(|error| format!("malformed JSON: {error}"))?;
        let field = |name: &str| json.get(name).ok_or_else(|| format!("{name} is missing"));
        let string = |name: &str| {
            field(name)?.as_str().map(str::to_owned).ok_or_else(|| format!("{name} is not a string"))
        };
        let address = |name: &str| {
            let text = string(name)?;
            text.parse::<SocketAddr>().map_err(|_| format!("{name} is not an address: {text}"))
        };
        let seed = string("seed")?;
        let seed = u64::from_str_radix(&seed, 16).map_err(|_| format!("seed is not hexadecimal: {seed}"))?;
        let sockets = match json.pointer("/limits/sockets") {
            None => 1024,
            Some(value) => value
                .as_u64()
                .filter(|sockets| (32..=1 << 20).contains(sockets))
                .ok_or_else(|| format!("limits.sockets is out of range: {value}"))?,
        };
        let settings = field("settings")?;
        if !settings.is_object() {
            return Err("settings is not an object".into());
        }
        let mut pairs = BTreeMap::new();
        flatten("", settings, &mut pairs);
        let lines: String = pairs.iter().map(|(key, value)| format!("{key}={value}\n")).collect();
        let names = |list: &str| -> Result<Vec<String>, String> {
            let count = pairs.get(&format!("{list}.count")).and_then(|n| n.parse().ok()).unwrap_or(0usize);
            let name = |i| {
                let key = format!("{list}.{i}.name");
                pairs.get(&key).cloned().ok_or_else(|| format!("settings.{key} is missing"))
            };
            (0..count).map(name).collect()
        };
        let figure = |key: &str, absent: u64| match pairs.get(key) {
            None => Ok(absent),
            Some(text) => match text.parse::<f64>() {
                Ok(value) if (1.0..=1e15).contains(&value) => Ok(value as u64),
                _ => Err(format!("settings.{key} is out of range: {text}")),
            },
        };
        Ok(Config {
            name: string("name")?,
            listen: address("listen")?,
            discovery: address("discovery")?,
            seed,
            sockets: sockets as usize,
            known: json.get("known").filter(|known| !known.is_null()).cloned(),
            settings: read_settings(&lines).map_err(|error| format!("settings: {error}"))?,
            classes: names("classes")?,
            plans: names("plans")?,
            zones: pairs
                .get("zones")
                .map_or(Vec::new(), |zones| zones.split(',').map(str::to_owned).collect()),
            idle: figure("limits.connIdle", 15_000_000)?,
            dial: figure("limits.dialTimeout", 250_000)?,
            most_open: figure("limits.maxOpen", 20_000)? as usize,
        })
    }

    /// The position of a class.
    pub fn class(&self, name: &str) -> Option<usize> {
        self.classes.iter().position(|class| class == name)
    }

    /// The position of a plan.
    pub fn plan(&self, name: &str) -> Option<usize> {
        self.plans.iter().position(|plan| plan == name)
    }
}

/// Writes a JSON value as `path=value` pairs: lists of objects by count and position, other lists joined by
/// commas, spaces and commas within values as `_`.
fn flatten(path: &str, value: &Value, pairs: &mut BTreeMap<String, String>) {
    let under = |name: &str| if path.is_empty() { name.to_owned() } else { format!("{path}.{name}") };
    match value {
        Value::Object(fields) => fields.iter().for_each(|(name, value)| flatten(&under(name), value, pairs)),
        Value::Array(items) if items.iter().any(Value::is_object) => {
            pairs.insert(under("count"), items.len().to_string());
            items.iter().enumerate().for_each(|(i, item)| flatten(&under(&i.to_string()), item, pairs));
        }
        Value::Array(items) => {
            let items: Vec<String> = items.iter().map(plain).collect();
            pairs.insert(path.to_owned(), items.join(","));
        }
        Value::Null => {}
        other => {
            pairs.insert(path.to_owned(), plain(other));
        }
    }
}

fn plain(value: &Value) -> String {
    match value {
        Value::String(text) => text.replace([' ', ',', '\n', '\r'], "_"),
        other => other.to_string(),
    }
}
