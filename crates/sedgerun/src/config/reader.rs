//! Reads the platform's JSON by its keys and records what is wrong with it. A key at fault reads as its default, so
//! that reading goes on and every fault is reported.

use sedgerun_config::platform::{flatten, locate};
use sedgerun_config::policy_settings::settings;
use sedgerun_config::{Fault, Faults, Pairs};
use sedgerun_policy::Settings;
use serde_json::Value;
use std::collections::BTreeMap;
use std::net::{Ipv4Addr, SocketAddr};
use std::ops::RangeInclusive;

/// The largest value of a limit on descriptors or memory.
const MAX_LIMIT: u64 = 1 << 20;
/// The values that a figure may have.
const FIGURES: RangeInclusive<f64> = 1.0..=1e15;
/// Stands in for an address at fault, until the fault is reported.
const PLACEHOLDER_ADDRESS: SocketAddr = SocketAddr::new(std::net::IpAddr::V4(Ipv4Addr::LOCALHOST), 0);

/// Reads one document; owns the faults found so far, in the order in which the keys were read.
pub(super) struct PlatformReader<'a> {
    text: &'a str,
    json: &'a Value,
    /// `settings`, flattened into `path=value` pairs.
    settings: BTreeMap<String, String>,
    faults: Vec<Fault>,
}

impl<'a> PlatformReader<'a> {
    /// A reader of a document and the text that it was parsed from, which gives faults their places.
    pub(super) fn new(text: &'a str, json: &'a Value) -> PlatformReader<'a> {
        PlatformReader { text, json, settings: BTreeMap::new(), faults: Vec::new() }
    }

    /// What was found wrong.
    pub(super) fn into_faults(self) -> Faults {
        Faults(self.faults)
    }

    fn fault(&mut self, key: &str, what: String) {
        self.faults.push(Fault { key: key.to_owned(), what, place: locate(self.text, key) });
    }

    fn settings_fault(&mut self, key: &str, what: &str) {
        let key = format!("settings.{key}");
        let what = format!("{key} {what}");
        self.fault(&key, what);
    }

    /// Reads `settings`, which the methods below that name a key of it need, and those of the controller in it.
    pub(super) fn policy_settings(&mut self) -> Settings {
        match self.json.get("settings") {
            Some(settings) if settings.is_object() => flatten("", settings, &mut self.settings),
            Some(_) => self.fault("settings", "settings is not an object".into()),
            None => self.fault("settings", "settings is missing".into()),
        }
        let pairs = Pairs::from_map(&self.settings);
        let policy_settings = settings(&pairs);
        // Without any setting, that they are missing has been reported already.
        if let (Err(faults), false) = (pairs.finish(()), self.settings.is_empty()) {
            for Fault { key, what, .. } in faults.0 {
                self.fault(&format!("settings.{key}"), format!("settings: {what}"));
            }
        }
        policy_settings
    }

    /// A text that must be there; empty where it is at fault.
    pub(super) fn string(&mut self, name: &str) -> &'a str {
        match self.json.get(name).map(Value::as_str) {
            Some(Some(text)) => return text,
            Some(None) => self.fault(name, format!("{name} is not a string")),
            None => self.fault(name, format!("{name} is missing")),
        }
        ""
    }

    /// A hexadecimal number that must be there; 0 where it is at fault.
    pub(super) fn hexadecimal(&mut self, name: &str) -> u64 {
        let text = self.string(name);
        u64::from_str_radix(text, 16).unwrap_or_else(|_| {
            // An empty one is missing, which has been reported already.
            if !text.is_empty() {
                self.fault(name, format!("{name} is not hexadecimal: {text}"));
            }
            0
        })
    }

    /// An address that must be there.
    pub(super) fn address(&mut self, name: &str) -> SocketAddr {
        let text = self.string(name);
        // An empty one is missing, which has been reported already.
        let address = if text.is_empty() { None } else { self.parse_address(name, text) };
        address.unwrap_or(PLACEHOLDER_ADDRESS)
    }

    fn parse_address(&mut self, name: &str, text: &str) -> Option<SocketAddr> {
        let address = text.parse().ok();
        if address.is_none() {
            self.fault(name, format!("{name} is not an address: {text}"));
        }
        address
    }

    /// An address that may be missing; where the JSON has none, the environment's.
    pub(super) fn optional_address(&mut self, name: &str, environment: Option<String>) -> Option<SocketAddr> {
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

    /// A key of `limits`: at least `min`, or `default` where it is missing or at fault.
    pub(super) fn limit(&mut self, name: &str, min: u64, default: u64) -> usize {
        let Some(value) = self.json.pointer(&format!("/limits/{name}")) else { return default as usize };
        match value.as_u64().filter(|limit| (min..=MAX_LIMIT).contains(limit)) {
            Some(limit) => limit as usize,
            None => {
                self.fault(&format!("limits.{name}"), format!("limits.{name} is out of range: {value}"));
                default as usize
            }
        }
    }

    /// The names of the items of a list in `settings`.
    pub(super) fn names(&mut self, list: &str) -> Vec<String> {
        let count = self.settings.get(&format!("{list}.count")).and_then(|count| count.parse().ok());
        let names: Vec<String> = (0..count.unwrap_or(0usize)).map(|index| self.name(list, index)).collect();
        // A request uses one of them: the second of that name would never be meant.
        for (index, name) in names.iter().enumerate() {
            if !name.is_empty() && names[..index].contains(name) {
                self.settings_fault(&format!("{list}.{index}.name"), &format!("is there twice: {name}"));
            }
        }
        names
    }

    fn name(&mut self, list: &str, index: usize) -> String {
        let key = format!("{list}.{index}.name");
        self.settings.get(&key).cloned().unwrap_or_else(|| {
            self.settings_fault(&key, "is missing");
            String::new()
        })
    }

    /// The names of a list of plain values in `settings`.
    pub(super) fn words(&self, key: &str) -> Vec<String> {
        let text = self.settings.get(key);
        text.map_or_else(Vec::new, |text| text.split(',').map(str::to_owned).collect())
    }

    /// A figure of `settings`, cut to a whole number; `default` where it is missing or at fault.
    pub(super) fn figure(&mut self, key: &str, default: u64) -> u64 {
        let Some(text) = self.settings.get(key) else { return default };
        match text.parse::<f64>() {
            Ok(value) if FIGURES.contains(&value) => value as u64,
            _ => {
                let what = format!("is out of range: {text}");
                self.settings_fault(key, &what);
                default
            }
        }
    }

    /// A list of flags in `settings`; one at fault reads as `false`.
    pub(super) fn flags(&mut self, key: &str) -> Vec<bool> {
        let text = self.settings.get(key).cloned().unwrap_or_default();
        if text.is_empty() {
            return Vec::new();
        }
        text.split(',').map(|flag| self.flag(key, flag)).collect()
    }

    fn flag(&mut self, key: &str, text: &str) -> bool {
        match text {
            "true" => true,
            "false" => false,
            other => {
                self.settings_fault(key, &format!("is neither true nor false: {other}"));
                false
            }
        }
    }
}
