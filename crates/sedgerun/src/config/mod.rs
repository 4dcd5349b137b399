//! The one place where the platform's configuration is read, checked and given its defaults; the operator's file is
//! read beside it by [`operator`](crate::operator). Each fault is reported in one line that names the key and its
//! place.
//!
//! The platform's JSON is flattened into the `path=value` pairs that the adapter reads, and decoded by the adapter's
//! own [`settings`](sedgerun_config::policy_settings::settings). `document` parses the JSON, `reader` reads its keys.

mod document;
mod reader;

use self::document::Document;
use self::reader::PlatformReader;
use crate::operator::Operator;
use crate::resource_limits::ResourceLimits;
use crate::tenants::Catalogue;
use sedgerun_cluster::memory_limits::MemoryLimits;
use sedgerun_config::Faults;
use sedgerun_policy::{Micros, Settings};
use serde_json::value::RawValue;
use std::net::SocketAddr;

/// The fewest descriptors, and the least memory in MiB, that a head may be limited to.
const MIN_SOCKETS: u64 = 32;
const MIN_MEMORY_MB: u64 = 8;
/// The descriptors, and the memory in MiB, of a head without these limits in its settings.
const DEFAULT_SOCKETS: u64 = 1024;
const DEFAULT_MEMORY_MB: u64 = 192;
/// How long an idle connection to a backend is kept, where the settings do not say: 15 s.
const DEFAULT_IDLE_TIMEOUT: Micros = 15_000_000;
/// How long a connection may take to be made, where the settings do not say: 250 ms.
const DEFAULT_DIAL_TIMEOUT: Micros = 250_000;
/// How many requests may be open at once, where neither the settings nor memory allow fewer.
const DEFAULT_MAX_OPEN: u64 = 20_000;
/// The longest pause of the process that deadlines and windows allow for: the platform may hold it up for so long between
/// reading its clock and writing.
pub const MAX_PAUSE: Micros = 150_000;

/// The files that the configuration is read from, at the start and again on SIGHUP.
#[derive(Clone, Debug)]
pub struct Sources {
    /// The platform's JSON.
    pub config: String,
    /// The operator's file, where there is one.
    pub operator: Option<String>,
}

impl Sources {
    /// Reads and checks them; the error holds the faults of both.
    pub fn read(&self) -> Result<Config, Faults> {
        let text = read_file("LB_CONFIG", &self.config)?;
        let (mut config, faults) = Config::read(&text);
        let mut faults = faults.under(&self.config);
        if let Some(path) = &self.operator {
            // Whatever is wrong with the platform's JSON, the names in it are what exports are checked against.
            if let Err(more) = config.add_operator_file(path) {
                faults.0.extend(more.0);
            }
        }
        if faults.0.is_empty() { Ok(config) } else { Err(faults) }
    }
}

/// The text of the file that a key of the environment names.
fn read_file(key: &str, path: &str) -> Result<String, Faults> {
    std::fs::read_to_string(path).map_err(|error| Faults::one(key, format!("{key}: {path}: {error}"), None))
}

/// The checked configuration of one head.
#[derive(Debug)]
pub struct Config {
    /// The head's name.
    pub name: String,
    /// Where clients connect.
    pub listen: SocketAddr,
    /// Where discovery is.
    pub discovery: SocketAddr,
    /// The operators' address (`mgmt`, or `$LB_MGMT`), where there is one.
    pub mgmt: Option<SocketAddr>,
    /// Seed of random numbers.
    pub seed: u64,
    /// The most file descriptors that the program may have open.
    pub max_descriptors: usize,
    /// The most megabytes of memory that the program may use.
    pub memory_mb: usize,
    /// The cached endpoint list: JSON in discovery's form, read by [`read_list`](crate::discovery::list::read_list).
    pub cached_list: Option<Box<RawValue>>,
    /// The settings of the controller.
    pub settings: Settings,
    /// Names of the request classes, in order.
    pub classes: Vec<String>,
    /// Names of the service plans, in order.
    pub plans: Vec<String>,
    /// Names of the zones, in order.
    pub zones: Vec<String>,
    /// How long an idle connection to a backend is kept.
    pub idle_timeout: Micros,
    /// How long a connection to a backend may take to be made.
    pub connect_timeout: Micros,
    /// Whether each class changes data, in order; empty where the settings do not say.
    pub class_changes_data: Vec<bool>,
    /// The most requests that may be open at once.
    pub max_open_requests: usize,
    /// What the limits on memory and descriptors leave for each part.
    pub resource_limits: ResourceLimits,
    /// What the operator's file adds.
    pub operator: Operator,
}

impl Config {
    /// Reads the platform's JSON: what can be used of it, and what is wrong with it.
    fn read(text: &str) -> (Config, Faults) {
        match serde_json::from_str(text) {
            Ok(document) => Config::from_document(text, document),
            Err(error) => {
                let (config, _) = Config::from_document(text, Document::default());
                (config, Faults::one("", format!("malformed JSON: {error}"), None))
            }
        }
    }

    /// Reads a document that was parsed from this text. Faults are in the order in which the keys are read.
    fn from_document(text: &str, document: Document) -> (Config, Faults) {
        let mut reader = PlatformReader::new(text, &document.json);
        let seed = reader.hexadecimal("seed");
        let sockets = reader.limit("sockets", MIN_SOCKETS, DEFAULT_SOCKETS);
        let memory_mb = reader.limit("memory_mb", MIN_MEMORY_MB, DEFAULT_MEMORY_MB);
        let resource_limits = ResourceLimits::new(sockets, memory_mb);
        let settings = Settings { max_pause: MAX_PAUSE, ..reader.policy_settings() };
        let config = Config {
            name: reader.string("name").to_owned(),
            listen: reader.address("listen"),
            discovery: reader.address("discovery"),
            mgmt: reader.optional_address("mgmt", std::env::var("LB_MGMT").ok()),
            seed,
            max_descriptors: sockets,
            memory_mb,
            cached_list: document.cached_list,
            settings,
            classes: reader.names("classes"),
            plans: reader.names("plans"),
            zones: reader.words("zones"),
            idle_timeout: reader.figure("limits.connIdle", DEFAULT_IDLE_TIMEOUT),
            connect_timeout: reader.figure("limits.dialTimeout", DEFAULT_DIAL_TIMEOUT),
            class_changes_data: reader.flags("specifics.changesData"),
            max_open_requests: (reader.figure("limits.maxOpen", DEFAULT_MAX_OPEN) as usize)
                .min(resource_limits.max_open_requests),
            resource_limits,
            operator: Operator::default(),
        };
        (config, reader.into_faults())
    }

    fn add_operator_file(&mut self, path: &str) -> Result<(), Faults> {
        let text = read_file("LB_OPERATOR", path)?;
        self.add_operator(&text).map_err(|faults| faults.under(path))
    }

    /// Adds what the operator's file sets up.
    pub fn add_operator(&mut self, text: &str) -> Result<(), Faults> {
        self.operator = Operator::read(text, &self.name, self.catalogue(), &self.resource_limits)?;
        if let Some(fleet) = &mut self.operator.fleet {
            fleet.sockets = self.max_descriptors;
            fleet.memory = MemoryLimits::of_memory(self.memory_mb);
        }
        Ok(())
    }

    /// The names that exports may use.
    pub fn catalogue(&self) -> Catalogue<'_> {
        Catalogue { classes: &self.classes, plans: &self.plans, settings: &self.settings }
    }

    /// The keys in which another configuration differs from this one and which take effect at the next start only.
    pub fn fixed(&self, other: &Config) -> Vec<&'static str> {
        let same = [
            ("name", self.name == other.name),
            ("listen", self.listen == other.listen),
            ("mgmt", self.mgmt == other.mgmt),
            ("limits.sockets", self.max_descriptors == other.max_descriptors),
            (
                "limits.memory_mb",
                self.resource_limits == other.resource_limits
                    || self.max_descriptors != other.max_descriptors,
            ),
            ("limits.connIdle", self.idle_timeout == other.idle_timeout),
            ("limits.dialTimeout", self.connect_timeout == other.connect_timeout),
            ("limits.maxOpen", self.max_open_requests == other.max_open_requests),
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
