//! The target: the size of the fleet, its promises and its budgets, read from a file of S-expressions.

use super::error::CapacityError;
use sedgerun_config::{Faults, Form, Place};
use std::ops::RangeInclusive;
use std::path::Path;

/// The largest target file, bytes.
const MAX_FILE_BYTES: u64 = 64 << 10;
/// Heads or backends.
const MEMBERS: RangeInclusive<f64> = 1.0..=1_000_000.0;
/// Connections, requests a second or bytes.
const VOLUME: RangeInclusive<f64> = 1.0..=1e15;
/// Events a day.
const EVENTS: RangeInclusive<f64> = 0.0..=1e9;
/// Seconds of a promise.
const SECONDS: RangeInclusive<f64> = 0.001..=86_400.0;
/// Percent of one core.
const CPU_PERCENT: RangeInclusive<f64> = 0.001..=100_000.0;
/// Regions, zones or machines.
const PLACES: RangeInclusive<f64> = 1.0..=10_000.0;
/// Relays: there may be none.
const RELAYS: RangeInclusive<f64> = 0.0..=10_000.0;

/// Seconds in a day.
pub const SECONDS_PER_DAY: f64 = 86_400.0;

/// What one process may spend on control.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct Budget {
    /// Percent of one core.
    pub cpu_percent: f64,
    /// Resident memory, bytes.
    pub memory_bytes: f64,
    /// Payload in and out together, bytes a second.
    pub bytes_per_second: f64,
}

/// Events of one kind a day, and the time within which the effect of each is over or in force.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct Promise {
    /// Events a day.
    pub per_day: f64,
    /// Seconds.
    pub within_s: f64,
}

/// The size that capacity is worked out for.
#[derive(Clone, Debug, PartialEq)]
pub struct Target {
    /// Its name.
    pub name: String,
    /// Heads in all.
    pub heads: f64,
    /// Backends on discovery's list.
    pub backends: f64,
    /// Client connections of the whole fleet.
    pub client_connections: f64,
    /// Requests a second of the whole fleet.
    pub requests_per_second: f64,
    /// Regions.
    pub regions: f64,
    /// Zones, over all regions.
    pub zones: f64,
    /// Changes of configuration, and how soon each is in force.
    pub configuration: Promise,
    /// Changes of primary, and how soon each is over.
    pub primary: Promise,
    /// Machines that fail a day.
    pub machine_failures_per_day: f64,
    /// Heads and backends that are restarted or replaced a day.
    pub restarts_per_day: f64,
    /// What a head may spend on control.
    pub head_budget: Budget,
    /// Machines set aside for control.
    pub machines: f64,
    /// Voters on them.
    pub voters: f64,
    /// Relays on them.
    pub relays: f64,
    /// What a voter or relay on them may spend; assumed, as the operators name none.
    pub set_aside_budget: Budget,
}

impl Target {
    /// Reads a target file.
    ///
    /// # Errors
    /// [`CapacityError::Target`] names the file, key, line and column of the first fault.
    pub fn load(path: &Path) -> Result<Target, CapacityError> {
        let size = std::fs::metadata(path).map_err(|error| CapacityError::io(path, &error))?.len();
        if size > MAX_FILE_BYTES {
            let reason = format!("{size} bytes, at most {MAX_FILE_BYTES}");
            return Err(CapacityError::Target { path: path.to_owned(), reason });
        }
        let text = std::fs::read_to_string(path).map_err(|error| CapacityError::io(path, &error))?;
        Target::read(&text).map_err(|faults| CapacityError::target(path, &faults))
    }

    /// Reads a target from its text.
    ///
    /// # Errors
    /// The first fault, with its key, line and column.
    pub fn read(text: &str) -> Result<Target, Faults> {
        let forms = Form::read(text)?;
        let usage = "a target is one form: (capacity NAME ...)";
        let form = match forms.as_slice() {
            [form] if form.name == "capacity" => form,
            [form] => return Err(Faults::one(&form.name, usage, Some(form.place))),
            [] => return Err(Faults::one("capacity", usage, Some(Place { line: 1, column: 1 }))),
            [_, second, ..] => return Err(Faults::one(&second.name, usage, Some(second.place))),
        };
        let Some((name, _)) = form.atoms().next() else {
            return Err(Faults::one("capacity", "a target has a name", Some(form.place)));
        };
        read_target(name, form)
    }

    /// Changes of configuration a second.
    pub fn changes_per_second(&self) -> f64 {
        self.configuration.per_day / SECONDS_PER_DAY
    }

    /// Heads that are neither voters nor relays.
    pub fn other_heads(&self) -> f64 {
        (self.heads - self.voters - self.relays).max(0.0)
    }
}

fn read_target(name: &str, form: &Form) -> Result<Target, Faults> {
    const KEYS: [&str; 11] = [
        "heads",
        "backends",
        "client-connections",
        "requests-per-second",
        "regions",
        "zones",
        "configuration",
        "primary",
        "ordinary-day",
        "head-budget",
        "set-aside",
    ];
    const SET_ASIDE: [&str; 6] =
        ["machines", "voters", "relays", "cpu-percent", "memory-bytes", "bytes-per-second"];
    let top = Section::open(form, "", 1, &KEYS)?;
    let configuration = top.section("configuration", &["changes-per-day", "in-force-s"])?;
    let primary = top.section("primary", &["changes-per-day", "settled-s"])?;
    let day = top.section("ordinary-day", &["machine-failures", "restarts"])?;
    let head_budget = top.section("head-budget", &["cpu-percent", "memory-bytes", "bytes-per-second"])?;
    let set_aside = top.section("set-aside", &SET_ASIDE)?;
    let target = Target {
        name: name.to_owned(),
        heads: top.whole("heads", &MEMBERS)?,
        backends: top.whole("backends", &MEMBERS)?,
        client_connections: top.number("client-connections", &VOLUME)?,
        requests_per_second: top.number("requests-per-second", &VOLUME)?,
        regions: top.whole("regions", &PLACES)?,
        zones: top.whole("zones", &PLACES)?,
        configuration: configuration.promise("in-force-s")?,
        primary: primary.promise("settled-s")?,
        machine_failures_per_day: day.number("machine-failures", &EVENTS)?,
        restarts_per_day: day.number("restarts", &EVENTS)?,
        head_budget: head_budget.budget()?,
        machines: set_aside.whole("machines", &PLACES)?,
        voters: set_aside.whole("voters", &PLACES)?,
        relays: set_aside.whole("relays", &RELAYS)?,
        set_aside_budget: set_aside.budget()?,
    };
    if target.voters + target.relays > target.heads {
        return Err(set_aside.fault("", "has more voters and relays than there are heads"));
    }
    Ok(target)
}

/// A form whose parts are keys with values.
struct Section<'a> {
    form: &'a Form,
    /// Its own key with a dot behind it; empty at the top.
    prefix: String,
}

impl<'a> Section<'a> {
    /// Checks that a form has `atoms` plain values of its own, and no key but these, each once at the most.
    fn open(form: &'a Form, prefix: &str, atoms: usize, keys: &[&str]) -> Result<Section<'a>, Faults> {
        if let Some((text, place)) = form.atoms().nth(atoms) {
            let reason = format!("{} has a value too many: {text}", form.name);
            return Err(Faults::one(&form.name, reason, Some(place)));
        }
        let mut seen: Vec<&str> = Vec::new();
        for part in form.forms() {
            let key = format!("{prefix}{}", part.name);
            let fault = if !keys.contains(&part.name.as_str()) {
                "unknown"
            } else if seen.contains(&part.name.as_str()) {
                "there twice"
            } else {
                seen.push(&part.name);
                continue;
            };
            return Err(Faults::one(&key, format!("key {key} is {fault}"), Some(part.place)));
        }
        Ok(Section { form, prefix: prefix.to_owned() })
    }

    fn fault(&self, key: &str, reason: &str) -> Faults {
        let key = format!("{}{key}", self.prefix);
        Faults::one(&key, format!("key {} {reason}", key.trim_end_matches('.')), Some(self.form.place))
    }

    fn find(&self, key: &str) -> Result<&'a Form, Faults> {
        let found = self.form.forms().find(|part| part.name == key);
        found.ok_or_else(|| self.fault(key, "is missing"))
    }

    fn section(&self, key: &str, keys: &[&str]) -> Result<Section<'a>, Faults> {
        Section::open(self.find(key)?, &format!("{}{key}.", self.prefix), 0, keys)
    }

    fn number(&self, key: &str, range: &RangeInclusive<f64>) -> Result<f64, Faults> {
        let form = self.find(key)?;
        let full = format!("{}{key}", self.prefix);
        let fault = |reason: String, place| Faults::one(&full, format!("key {full} {reason}"), Some(place));
        if let Some(inner) = form.forms().next() {
            return Err(fault("takes one number, not a form".to_owned(), inner.place));
        }
        let values: Vec<(&str, Place)> = form.atoms().collect();
        let [(text, place)] = values[..] else {
            return Err(fault(format!("takes one number, not {}", values.len()), form.place));
        };
        match text.parse::<f64>() {
            Ok(value) if range.contains(&value) => Ok(value),
            Ok(value) => {
                let reason = format!("is out of range, {} to {}: {value}", range.start(), range.end());
                Err(fault(reason, place))
            }
            Err(_) => Err(fault(format!("is not a number: {text}"), place)),
        }
    }

    fn whole(&self, key: &str, range: &RangeInclusive<f64>) -> Result<f64, Faults> {
        let value = self.number(key, range)?;
        if value.fract() == 0.0 { Ok(value) } else { Err(self.fault(key, "is not a whole number")) }
    }

    fn promise(&self, within: &str) -> Result<Promise, Faults> {
        Ok(Promise {
            per_day: self.number("changes-per-day", &EVENTS)?,
            within_s: self.number(within, &SECONDS)?,
        })
    }

    fn budget(&self) -> Result<Budget, Faults> {
        Ok(Budget {
            cpu_percent: self.number("cpu-percent", &CPU_PERCENT)?,
            memory_bytes: self.number("memory-bytes", &VOLUME)?,
            bytes_per_second: self.number("bytes-per-second", &VOLUME)?,
        })
    }
}
