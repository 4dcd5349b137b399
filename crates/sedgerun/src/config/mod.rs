//! The one place where the platform's configuration is read, checked and given its defaults; the operator's
//! file is read beside it by [`operator`](crate::operator). Whatever is wrong is said, each fault in one line
//! that names the key and its place.
//!
//! The platform's JSON is flattened into the `path=value` pairs that the adapter reads, and decoded by the
//! adapter's own [`settings`].

use crate::operator::Operator;
use crate::resource_limits::ResourceLimits;
use crate::tenants::Catalogue;
use sedgerun_config::pairs::settings;
use sedgerun_config::platform::{flatten, locate};
use sedgerun_config::{Fault, Faults, Pairs};
use sedgerun_policy::{Micros, Settings};
use serde::Deserialize;
use serde::de::{Deserializer, MapAccess, Visitor};
use serde_json::value::RawValue;
use serde_json::{Map, Value};
use std::cell::RefCell;
use std::collections::BTreeMap;
use std::fmt;
use std::net::SocketAddr;

/// The files that the configuration is read from, at the start and again on SIGHUP.
#[derive(Clone, Debug)]
pub struct Sources {
    /// The platform's JSON.
    pub config: String,
    /// The operator's file, where there is one.
    pub operator: Option<String>,
}

impl Sources {
    /// Reads and checks them, to the last fault of both.
    pub fn read(&self) -> Result<Config, Faults> {
        let text = |key: &str, path: &str| {
            let failed = |error| Faults::one(key, format!("{key}: {path}: {error}"), None);
            std::fs::read_to_string(path).map_err(failed)
        };
        let (mut config, mut faults) = Config::read(&text("LB_CONFIG", &self.config)?);
        faults = faults.under(&self.config);
        if let Some(path) = &self.operator {
            // Whatever is wrong with the platform's JSON, the names in it are what exports are checked against.
            let added = text("LB_OPERATOR", path)
                .and_then(|text| config.add_operator(&text).map_err(|faults| faults.under(path)));
            faults.0.extend(added.err().into_iter().flat_map(|faults| faults.0));
        }
        if faults.0.is_empty() { Ok(config) } else { Err(faults) }
    }
}

/// What the program works with.
#[derive(Debug)]
pub struct Config {
    /// Its name.
    pub name: String,
    /// Where clients connect.
    pub listen: SocketAddr,
    /// Where discovery is.
    pub discovery: SocketAddr,
    /// The operators' address (`mgmt`, or `$LB_MGMT`), where there is one.
    pub mgmt: Option<SocketAddr>,
    /// Seed of random numbers.
    pub seed: u64,
    /// Descriptors that the program may hold.
    pub sockets: usize,
    /// The list as it was last had: JSON in discovery's form, read by [`read_list`](crate::discovery::list::read_list).
    pub known: Option<Box<RawValue>>,
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
    /// Which classes write; empty where that is not told.
    pub writes: Vec<bool>,
    /// Requests that may be open at once.
    pub most_open: usize,
    /// What the limits leave for each part.
    pub resource_limits: ResourceLimits,
    /// What the operator's file adds.
    pub operator: Operator,
}

impl Config {
    /// Reads the platform's JSON: what can be used of it, and what is wrong with it.
    fn read(text: &str) -> (Config, Faults) {
        let (Document { json, known }, malformed) = match serde_json::from_str(text) {
            Ok(document) => (document, None),
            Err(error) => {
                let fault = Faults::one("", format!("malformed JSON: {error}"), None);
                (Document::default(), Some(fault))
            }
        };
        let reader = Reader { text, json: &json, faults: RefCell::default() };
        let seed = reader.string("seed");
        let seed = u64::from_str_radix(seed, 16).unwrap_or_else(|_| {
            if !seed.is_empty() {
                reader.fault("seed", format!("seed is not hexadecimal: {seed}"));
            }
            0
        });
        let sockets = reader.limit("sockets", 32, 1024);
        let bounds = ResourceLimits::new(sockets, reader.limit("memory_mb", 8, 192));
        let mut map = BTreeMap::new();
        match json.get("settings") {
            Some(settings) if settings.is_object() => flatten("", settings, &mut map),
            Some(_) => reader.fault("settings", "settings is not an object".into()),
            None => reader.fault("settings", "settings is missing".into()),
        }
        let pairs = Pairs::from_map(&map);
        let settings = settings(&pairs);
        if let (Err(faults), false) = (pairs.finish(()), map.is_empty()) {
            for Fault { key, what, .. } in faults.0 {
                reader.fault(&format!("settings.{key}"), format!("settings: {what}"));
            }
        }
        let zones =
            map.get("zones").map_or(Vec::new(), |zones| zones.split(',').map(str::to_owned).collect());
        let config = Config {
            name: reader.string("name").to_owned(),
            listen: reader.address("listen"),
            discovery: reader.address("discovery"),
            mgmt: reader.optional_address("mgmt", std::env::var("LB_MGMT").ok()),
            seed,
            sockets,
            known,
            settings,
            classes: reader.names(&map, "classes"),
            plans: reader.names(&map, "plans"),
            zones,
            idle: reader.figure(&map, "limits.connIdle", 15_000_000),
            dial: reader.figure(&map, "limits.dialTimeout", 250_000),
            writes: reader.flags(&map, "specifics.changesData"),
            most_open: (reader.figure(&map, "limits.maxOpen", 20_000) as usize).min(bounds.open),
            resource_limits: bounds,
            operator: Operator::default(),
        };
        (config, malformed.unwrap_or_else(|| Faults(reader.faults.take())))
    }

    /// Adds what the operator's file sets up.
    pub fn add_operator(&mut self, text: &str) -> Result<(), Faults> {
        self.operator = Operator::read(text, &self.name, self.catalogue(), &self.resource_limits)?;
        if let Some(fleet) = &mut self.operator.fleet {
            fleet.sockets = self.sockets;
        }
        Ok(())
    }

    /// The names that exports may use.
    pub fn catalogue(&self) -> Catalogue<'_> {
        Catalogue { classes: &self.classes, plans: &self.plans, settings: &self.settings }
    }

    /// The keys in which another configuration differs that stay as they are until the next start.
    pub fn fixed(&self, other: &Config) -> Vec<&'static str> {
        let same = [
            ("name", self.name == other.name),
            ("listen", self.listen == other.listen),
            ("mgmt", self.mgmt == other.mgmt),
            ("limits.sockets", self.sockets == other.sockets),
            (
                "limits.memory_mb",
                self.resource_limits == other.resource_limits || self.sockets != other.sockets,
            ),
            ("limits.connIdle", self.idle == other.idle),
            ("limits.dialTimeout", self.dial == other.dial),
            ("limits.maxOpen", self.most_open == other.most_open),
            ("classes", self.classes == other.classes),
            ("plans", self.plans == other.plans),
            ("settings", self.settings == other.settings),
            ("LB_OPERATOR", self.operator == other.operator),
        ];
        same.iter().filter(|(_, same)| !same).map(|(key, _)| *key).collect()
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

/// The platform's JSON, with the list of backends kept apart as text: as a tree, a large one would take several
/// times its bytes.
#[derive(Debug, Default)]
struct Document {
    json: Value,
    known: Option<Box<RawValue>>,
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
        let (mut json, mut known) = (Map::new(), None);
        while let Some(key) = object.next_key::<String>()? {
            if key == "known" {
                known = object.next_value::<Option<Box<RawValue>>>()?;
            } else {
                json.insert(key, object.next_value()?);
            }
        }
        Ok(Document { json: Value::Object(json), known })
    }
}

/// Reads the platform's JSON by its keys, and notes what is wrong.
struct Reader<'a> {
    text: &'a str,
    json: &'a Value,
    faults: RefCell<Vec<Fault>>,
}

impl<'a> Reader<'a> {
    fn fault(&self, key: &str, what: String) {
        let fault = Fault { key: key.to_owned(), what, place: locate(self.text, key) };
        self.faults.borrow_mut().push(fault);
    }

    fn string(&self, name: &str) -> &'a str {
        match self.json.get(name).map(Value::as_str) {
            Some(Some(text)) => return text,
            Some(None) => self.fault(name, format!("{name} is not a string")),
            None => self.fault(name, format!("{name} is missing")),
        }
        ""
    }

    fn address(&self, name: &str) -> SocketAddr {
        let text = self.string(name);
        // An empty one is missing, and said so already.
        let parsed = if text.is_empty() { None } else { self.parse_address(name, text) };
        parsed.unwrap_or(SocketAddr::from(([127, 0, 0, 1], 0)))
    }

    /// Reads an address, and notes one that is not.
    fn parse_address(&self, name: &str, text: &str) -> Option<SocketAddr> {
        let parsed = text.parse().ok();
        if parsed.is_none() {
            self.fault(name, format!("{name} is not an address: {text}"));
        }
        parsed
    }

    /// An address that may be missing; where the JSON has none, the environment's.
    fn optional_address(&self, name: &str, environment: Option<String>) -> Option<SocketAddr> {
        let text = match self.json.get(name) {
            Some(Value::String(text)) => text.clone(),
            Some(Value::Null) | None => environment.filter(|text| !text.is_empty())?,
            Some(_) => {
                self.fault(name, format!("{name} is not a string"));
                return None;
            }
        };
        self.parse_address(name, &text)
    }

    fn limit(&self, name: &str, least: u64, absent: u64) -> usize {
        let Some(value) = self.json.pointer(&format!("/limits/{name}")) else { return absent as usize };
        match value.as_u64().filter(|limit| (least..=1 << 20).contains(limit)) {
            Some(limit) => limit as usize,
            None => {
                self.fault(&format!("limits.{name}"), format!("limits.{name} is out of range: {value}"));
                absent as usize
            }
        }
    }

    fn names(&self, map: &BTreeMap<String, String>, list: &str) -> Vec<String> {
        let count = map.get(&format!("{list}.count")).and_then(|n| n.parse().ok()).unwrap_or(0usize);
        let name = |i| {
            let key = format!("{list}.{i}.name");
            map.get(&key).cloned().unwrap_or_else(|| {
                self.fault(&format!("settings.{key}"), format!("settings.{key} is missing"));
                String::new()
            })
        };
        let names: Vec<String> = (0..count).map(name).collect();
        // A request names one of them: the second of that name would never be meant.
        for (i, name) in names.iter().enumerate() {
            if !name.is_empty() && names[..i].contains(name) {
                let key = format!("settings.{list}.{i}.name");
                self.fault(&key, format!("{key} is there twice: {name}"));
            }
        }
        names
    }

    fn figure(&self, map: &BTreeMap<String, String>, key: &str, absent: u64) -> u64 {
        let Some(text) = map.get(key) else { return absent };
        match text.parse::<f64>() {
            Ok(value) if (1.0..=1e15).contains(&value) => value as u64,
            _ => {
                self.fault(&format!("settings.{key}"), format!("settings.{key} is out of range: {text}"));
                absent
            }
        }
    }

    fn flags(&self, map: &BTreeMap<String, String>, key: &str) -> Vec<bool> {
        let text = map.get(key).map_or("", String::as_str);
        let flag = |flag: &str| match flag {
            "true" => true,
            "false" => false,
            other => {
                let what = format!("settings.{key} is neither true nor false: {other}");
                self.fault(&format!("settings.{key}"), what);
                false
            }
        };
        text.split(',').filter(|_| !text.is_empty()).map(flag).collect()
    }
}
