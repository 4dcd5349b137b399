//! The one place where configuration is read, checked and given its defaults. Whatever is wrong is said in
//! one line that names the faulty key.
//!
//! The platform's JSON is flattened into the `path=value` lines that the adapter reads, and decoded by the
//! adapter's own [`read_settings`].

use crate::api::{Micros, Settings};
use crate::tenants::{Export, Registry};
use crate::vrrp::{Router, packet};
use crate::wire::{Pairs, WireError, read_settings};
use serde_json::Value;
use std::collections::BTreeMap;
use std::net::SocketAddr;

/// The files that the configuration is read from, at the start and again on SIGHUP.
#[derive(Clone, Debug)]
pub struct Sources {
    config: String,
    operator: Option<String>,
}

impl Sources {
    /// The files that `LB_CONFIG` and `LB_OPERATOR` name.
    pub fn from_env() -> Result<Sources, String> {
        let config = std::env::var("LB_CONFIG").map_err(|_| "LB_CONFIG is missing")?;
        Ok(Sources { config, operator: std::env::var("LB_OPERATOR").ok() })
    }

    /// Reads and checks them.
    pub fn read(&self) -> Result<Config, String> {
        let text = |key: &str, path: &str| {
            std::fs::read_to_string(path).map_err(|error| format!("{key}: {path}: {error}"))
        };
        let mut config = Config::from_json(&text("LB_CONFIG", &self.config)?)?;
        if let Some(path) = &self.operator {
            config.add_operator(&text("LB_OPERATOR", path)?)?;
        }
        Ok(config)
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
    /// Which classes write; empty where that is not told.
    pub writes: Vec<bool>,
    /// Requests that may be open at once.
    pub most_open: usize,
    /// What the limits leave for each part.
    pub bounds: Bounds,
    /// What the operator's file adds.
    pub operator: Operator,
}

/// Bounds that follow from the limits on memory and descriptors.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Bounds {
    /// HTTP clients past which idle ones are closed. Clients have a third of the descriptors for requests; were
    /// it full of connections that stay, none would be left for those that ask.
    pub clients: usize,
    /// The most HTTP clients at all; boxes and discovery keep the rest of the descriptors.
    pub most_clients: usize,
    /// Requests that memory has room for, each with a full body on either side.
    pub open: usize,
    /// Bytes that bodies of answers may take up on their way, all together.
    pub answers: usize,
    /// The largest body of an answer.
    pub answer: usize,
    /// The most 9P clients.
    pub ninep_clients: usize,
    /// Operations of one 9P client at once; past it the client's socket is not read.
    pub ninep_at_once: usize,
    /// The most fids of a 9P client.
    pub ninep_fids: usize,
}

impl Bounds {
    fn new(sockets: usize, memory_mb: usize) -> Bounds {
        let clients = (sockets / 6).max(4);
        // A client that sends as fast as it can costs up to 128 KiB before it is cut off.
        let most_clients = (sockets * 5 / 8).min(5 * memory_mb).max(sockets / 3);
        Bounds {
            clients,
            most_clients,
            open: (4 * memory_mb).max(most_clients),
            answers: memory_mb << 18,
            answer: (memory_mb << 15).clamp(1 << 20, 4 << 20),
            ninep_clients: (sockets / 6).min(memory_mb).max(1),
            ninep_at_once: (memory_mb / 4).clamp(4, 64),
            ninep_fids: (4 * memory_mb).clamp(64, 4096),
        }
    }
}

/// What the operator's file sets up; nothing of it is there on the platform.
#[derive(Debug, Default, PartialEq)]
pub struct Operator {
    /// Where 9P clients connect.
    pub ninep: Option<SocketAddr>,
    /// The most 9P clients at once.
    pub ninep_clients: usize,
    /// The tenants with their exports, as they are at the start.
    pub tenants: Registry,
    /// Boxes that speak 9P.
    pub boxes: Vec<NinepBox>,
    /// The administration API.
    pub admin: Option<Admin>,
    /// The virtual router.
    pub vrrp: Option<Vrrp>,
}

/// What the administration API is set up with.
#[derive(Clone, Debug, PartialEq)]
pub struct Admin {
    /// Where it listens; always on loopback.
    pub listen: SocketAddr,
    /// What its callers bring.
    pub token: String,
}

/// What VRRP is set up with.
#[derive(Clone, Debug, PartialEq)]
pub struct Vrrp {
    /// The virtual router.
    pub router: Router,
    /// Where its datagrams come and go.
    pub listen: SocketAddr,
    /// The other routers.
    pub peers: Vec<SocketAddr>,
    /// The port at the virtual addresses where 9P is served while active.
    pub port: u16,
}

/// A box that speaks 9P.
#[derive(Clone, Debug, PartialEq)]
pub struct NinepBox {
    /// Its name; the same as discovery's where the box speaks HTTP too.
    pub id: String,
    /// Where it listens for 9P.
    pub address: SocketAddr,
    /// The shard it holds.
    pub shard: u32,
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
        let limit = |name: &str, least: u64, absent: u64| match json.pointer(&format!("/limits/{name}")) {
            None => Ok(absent as usize),
            Some(value) => value
                .as_u64()
                .filter(|limit| (least..=1 << 20).contains(limit))
                .map(|limit| limit as usize)
                .ok_or_else(|| format!("limits.{name} is out of range: {value}")),
        };
        let sockets = limit("sockets", 32, 1024)?;
        let bounds = Bounds::new(sockets, limit("memory_mb", 8, 192)?);
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
        let flags = |key: &str| {
            let text = pairs.get(key).map_or("", String::as_str);
            let flag = |flag: &str| match flag {
                "true" => Ok(true),
                "false" => Ok(false),
                other => Err(format!("settings.{key} is neither true nor false: {other}")),
            };
            text.split(',').filter(|_| !text.is_empty()).map(flag).collect::<Result<Vec<bool>, _>>()
        };
        Ok(Config {
            name: string("name")?,
            listen: address("listen")?,
            discovery: address("discovery")?,
            seed,
            sockets,
            known: json.get("known").filter(|known| !known.is_null()).cloned(),
            settings: read_settings(&lines).map_err(|error| format!("settings: {error}"))?,
            classes: names("classes")?,
            plans: names("plans")?,
            zones: pairs
                .get("zones")
                .map_or(Vec::new(), |zones| zones.split(',').map(str::to_owned).collect()),
            idle: figure("limits.connIdle", 15_000_000)?,
            dial: figure("limits.dialTimeout", 250_000)?,
            writes: flags("specifics.changesData")?,
            most_open: (figure("limits.maxOpen", 20_000)? as usize).min(bounds.open),
            bounds,
            operator: Operator::default(),
        })
    }

    /// Adds what the operator's file sets up.
    pub fn add_operator(&mut self, text: &str) -> Result<(), String> {
        let pairs = Pairs::read(text).map_err(|error| error.0)?;
        known_keys(&pairs)?;
        let ninep = address(&pairs, "ninep.listen")?;
        let said = |error: WireError| error.0;
        let clients = pairs.count("ninep.clients", 1.0, 4096.0, Some(128.0)).map_err(said)?;
        let mut tenants = Registry::default();
        for i in 0..pairs.count("exports.count", 0.0, 65_535.0, Some(0.0)).map_err(said)? {
            let (tenant, export) = Export::read(&pairs, &format!("exports.{i}."), self)?;
            tenants.add(&tenant, export).map_err(|what| format!("setting exports.{i}.name: {what}"))?;
        }
        let mut boxes = Vec::new();
        for i in 0..pairs.count("boxes.count", 0.0, 65_535.0, Some(0.0)).map_err(said)? {
            let key = |name: &str| format!("boxes.{i}.{name}");
            let missing = |name: &str| format!("setting {} is missing", key(name));
            let id = pairs.text(&key("id")).ok_or_else(|| missing("id"))?.to_owned();
            let address = address(&pairs, &key("address"))?.ok_or_else(|| missing("address"))?;
            let shard = pairs.count(&key("shard"), 0.0, 65_535.0, None).map_err(said)?;
            boxes.push(NinepBox { id, address, shard });
        }
        let admin = admin(&pairs)?;
        let vrrp = vrrp(&pairs)?;
        self.operator = Operator {
            ninep,
            ninep_clients: (clients as usize).min(self.bounds.ninep_clients),
            tenants,
            boxes,
            admin,
            vrrp,
        };
        Ok(())
    }

    /// The keys in which another configuration differs that stay as they are until the next start.
    pub fn fixed(&self, other: &Config) -> Vec<&'static str> {
        let same = [
            ("name", self.name == other.name),
            ("listen", self.listen == other.listen),
            ("limits.sockets", self.sockets == other.sockets),
            ("limits.memory_mb", self.bounds == other.bounds || self.sockets != other.sockets),
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

/// Guards against a misspelt key, which would silently leave a default in force.
fn known_keys(pairs: &Pairs<'_>) -> Result<(), String> {
    const PLAIN: [&str; 14] = [
        "ninep.listen",
        "ninep.clients",
        "exports.count",
        "boxes.count",
        "admin.listen",
        "admin.token",
        "vrrp.id",
        "vrrp.priority",
        "vrrp.interval",
        "vrrp.preempt",
        "vrrp.addresses",
        "vrrp.listen",
        "vrrp.peers",
        "vrrp.port",
    ];
    const BOX: [&str; 3] = ["id", "address", "shard"];
    for key in pairs.keys() {
        let mut parts = key.splitn(3, '.');
        let (list, index, name) = (parts.next(), parts.next(), parts.next().unwrap_or_default());
        let numbered = index.is_some_and(|index| index.parse::<u16>().is_ok());
        let known = match list {
            Some("exports") if numbered => Export::KEYS.contains(&name),
            Some("boxes") if numbered => BOX.contains(&name),
            _ => PLAIN.contains(&key),
        };
        if !known {
            return Err(format!("setting {key} is unknown"));
        }
    }
    Ok(())
}

fn admin(pairs: &Pairs<'_>) -> Result<Option<Admin>, String> {
    let Some(listen) = address(pairs, "admin.listen")? else { return Ok(None) };
    if !listen.ip().is_loopback() {
        return Err(format!("setting admin.listen is not on loopback: {listen}"));
    }
    let token = pairs.text("admin.token").ok_or("setting admin.token is missing")?;
    if token.len() < 16 {
        return Err("setting admin.token is shorter than 16 characters".into());
    }
    Ok(Some(Admin { listen, token: token.to_owned() }))
}

fn vrrp(pairs: &Pairs<'_>) -> Result<Option<Vrrp>, String> {
    let Some(listen) = address(pairs, "vrrp.listen")? else { return Ok(None) };
    let said = |error: WireError| error.0;
    let interval = pairs.count("vrrp.interval", 10_000.0, 40_950_000.0, Some(1e6)).map_err(said)?;
    if interval % 10_000 != 0 {
        return Err(format!("setting vrrp.interval is not in hundredths of a second: {interval}"));
    }
    let router = Router {
        id: pairs.count("vrrp.id", 1.0, 255.0, None).map_err(said)? as u8,
        priority: pairs.count("vrrp.priority", 1.0, 255.0, Some(100.0)).map_err(said)? as u8,
        interval: ((interval / 10_000) as u16).min(packet::MOST_INTERVAL),
        preempt: pairs.flag("vrrp.preempt", true).map_err(said)?,
        addresses: list(pairs, "vrrp.addresses")?,
        own: listen,
    };
    let peers = list(pairs, "vrrp.peers")?;
    let port = pairs.count("vrrp.port", 1.0, 65_535.0, None).map_err(said)? as u16;
    Ok(Some(Vrrp { router, listen, peers, port }))
}

/// A list of at least one value, joined by commas.
fn list<T: std::str::FromStr>(pairs: &Pairs<'_>, key: &str) -> Result<Vec<T>, String> {
    let text = pairs.text(key).ok_or_else(|| format!("setting {key} is missing"))?;
    let item = |item: &str| item.trim().parse().map_err(|_| format!("setting {key} is malformed: {item}"));
    text.split(',').map(item).collect()
}

/// An address on this machine's loopback or network, where the key is there.
fn address(pairs: &Pairs<'_>, key: &str) -> Result<Option<SocketAddr>, String> {
    let read = |text: &str| text.parse().map_err(|_| format!("setting {key} is not an address: {text}"));
    pairs.text(key).map(read).transpose()
}

/// Writes a JSON value as `path=value` pairs: lists of objects by count and position, other lists joined by
/// commas, spaces and commas within values as `_`.
pub(crate) fn flatten(path: &str, value: &Value, pairs: &mut BTreeMap<String, String>) {
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
