//! Reads and checks the operator's file: what it sets up beyond the platform's HTTP, in either of its forms. Every
//! fault is reported, with its key and place.

use crate::resource_limits::ResourceLimits;
use crate::tenants::{Catalogue, Export, TenantRegistry};
use sedgerun_cluster::settings::Settings as ClusterSettings;
use sedgerun_config::{Faults, Pairs, operator};
use sedgerun_vrrp::{RouterConfig, packet};
use std::net::SocketAddr;

/// The largest value of 16 bits: counts, ports and numbers of shards stay within it.
const MAX_U16: f64 = 65_535.0;
/// The most 9P clients that the file may allow, and how many it does where it does not say.
const MAX_NINEP_CLIENTS: f64 = 4096.0;
const DEFAULT_NINEP_CLIENTS: f64 = 128.0;
/// The shortest token of the administration API, in bytes: a shorter one could be guessed.
const MIN_TOKEN_LENGTH: usize = 16;
/// The unit of VRRP's advertisement interval, in microseconds: a hundredth of a second.
const MICROS_PER_CENTISECOND: u32 = 10_000;
/// The longest advertisement interval that a VRRP packet can carry, in microseconds.
const MAX_VRRP_INTERVAL: f64 = 40_950_000.0;
/// VRRP's advertisement interval in microseconds, and its priority, where the file does not say: those of RFC 5798.
const DEFAULT_VRRP_INTERVAL: f64 = 1e6;
const DEFAULT_VRRP_PRIORITY: f64 = 100.0;
/// Stands in for an address at fault, until the fault is reported.
const PLACEHOLDER_ADDRESS: SocketAddr =
    SocketAddr::new(std::net::IpAddr::V4(std::net::Ipv4Addr::LOCALHOST), 0);

/// What the operator's file sets up; nothing of it is there on the platform.
#[derive(Debug, Default, PartialEq)]
pub struct Operator {
    /// Where 9P clients connect.
    pub ninep: Option<SocketAddr>,
    /// The most 9P clients connected at once.
    pub ninep_clients: usize,
    /// The tenants with their exports, as they are at the start.
    pub tenants: TenantRegistry,
    /// Backends that speak 9P.
    pub ninep_backends: Vec<NinepBackend>,
    /// The administration API.
    pub admin: Option<Admin>,
    /// The virtual router.
    pub vrrp: Option<Vrrp>,
    /// The fleet that this head belongs to.
    pub fleet: Option<ClusterSettings>,
}

/// The settings of the administration API.
#[derive(Clone, Debug, PartialEq)]
pub struct Admin {
    /// Where it listens; always on loopback.
    pub listen: SocketAddr,
    /// The bearer token of its callers.
    pub token: String,
}

/// The settings of VRRP.
#[derive(Clone, Debug, PartialEq)]
pub struct Vrrp {
    /// The virtual router.
    pub router: RouterConfig,
    /// The address that its datagrams are sent from and received at.
    pub listen: SocketAddr,
    /// The other routers.
    pub peers: Vec<SocketAddr>,
    /// The port at the virtual addresses where 9P is served while active.
    pub port: u16,
}

/// A backend that speaks 9P.
#[derive(Clone, Debug, PartialEq)]
pub struct NinepBackend {
    /// Its id; the same as discovery's where the backend speaks HTTP too.
    pub id: String,
    /// Where it listens for 9P.
    pub address: SocketAddr,
    /// The shard that it holds.
    pub shard: u32,
}

impl Operator {
    /// Reads and checks the operator's file of a head of this name. Faults are in the order in which the keys are
    /// read.
    pub fn read(
        text: &str,
        head: &str,
        catalogue: Catalogue<'_>,
        resource_limits: &ResourceLimits,
    ) -> Result<Operator, Faults> {
        let pairs = operator::read(text)?;
        warn_of_older_form(text, &pairs);
        check_keys(&pairs);
        let ninep_clients = pairs.count("ninep.clients", 1.0, MAX_NINEP_CLIENTS, Some(DEFAULT_NINEP_CLIENTS));
        let tenants = tenants(&pairs, catalogue);
        let backend_count = pairs.count("boxes.count", 0.0, MAX_U16, Some(0.0));
        let operator = Operator {
            ninep: address(&pairs, "ninep.listen"),
            ninep_clients: (ninep_clients as usize).min(resource_limits.ninep_clients),
            tenants,
            ninep_backends: (0..backend_count).map(|index| ninep_backend(&pairs, index)).collect(),
            admin: admin(&pairs),
            vrrp: vrrp(&pairs),
            fleet: ClusterSettings::read(&pairs, head),
        };
        pairs.finish(operator)
    }
}

fn warn_of_older_form(text: &str, pairs: &Pairs) {
    if !operator::is_forms(text) && pairs.keys().next().is_some() {
        tracing::warn!(
            "LB_OPERATOR is in the older form of path=value lines, which the next release no longer reads: \
             `sedgerun check --convert` turns it over"
        );
    }
}

fn tenants(pairs: &Pairs, catalogue: Catalogue<'_>) -> TenantRegistry {
    let mut tenants = TenantRegistry::default();
    for index in 0..pairs.count("exports.count", 0.0, MAX_U16, Some(0.0)) {
        let (tenant, export) = Export::read(pairs, &format!("exports.{index}."), catalogue);
        if let Err(duplicate) = tenants.add(&tenant, export) {
            let key = format!("exports.{index}.name");
            pairs.fault(&key, format!("setting {key}: {duplicate}"));
        }
    }
    tenants
}

fn ninep_backend(pairs: &Pairs, index: u32) -> NinepBackend {
    let key = |name: &str| format!("boxes.{index}.{name}");
    let id = pairs.required(&key("id")).to_owned();
    pairs.required(&key("address"));
    let address = address(pairs, &key("address")).unwrap_or(PLACEHOLDER_ADDRESS);
    NinepBackend { id, address, shard: pairs.count(&key("shard"), 0.0, MAX_U16, None) }
}

/// The keys outside of lists and of the fleet's own.
const SINGLE_KEYS: [&str; 14] = [
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

/// The keys of a backend in the list `boxes`.
const BACKEND_KEYS: [&str; 3] = ["id", "address", "shard"];

/// Guards against a misspelt key, which would silently leave a default in force.
fn check_keys(pairs: &Pairs) {
    for key in pairs.keys().filter(|key| !is_known(key)) {
        pairs.fault(key, format!("setting {key} is unknown"));
    }
}

fn is_known(key: &str) -> bool {
    let mut parts = key.splitn(3, '.');
    let (list, index, name) = (parts.next(), parts.next(), parts.next().unwrap_or_default());
    let is_list_item = index.is_some_and(|index| index.parse::<u16>().is_ok());
    match list {
        Some("exports") if is_list_item => Export::KEYS.contains(&name),
        Some("boxes") if is_list_item => BACKEND_KEYS.contains(&name),
        Some("fleet") => ClusterSettings::KEYS.contains(&key),
        _ => SINGLE_KEYS.contains(&key),
    }
}

fn admin(pairs: &Pairs) -> Option<Admin> {
    let listen = address(pairs, "admin.listen")?;
    if !listen.ip().is_loopback() {
        pairs.fault("admin.listen", format!("setting admin.listen is not on loopback: {listen}"));
    }
    let token = pairs.required("admin.token");
    if !token.is_empty() && token.len() < MIN_TOKEN_LENGTH {
        pairs.fault("admin.token", "setting admin.token is shorter than 16 characters");
    }
    Some(Admin { listen, token: token.to_owned() })
}

fn vrrp(pairs: &Pairs) -> Option<Vrrp> {
    let listen = address(pairs, "vrrp.listen")?;
    let interval = pairs.count(
        "vrrp.interval",
        f64::from(MICROS_PER_CENTISECOND),
        MAX_VRRP_INTERVAL,
        Some(DEFAULT_VRRP_INTERVAL),
    );
    if !interval.is_multiple_of(MICROS_PER_CENTISECOND) {
        let what = format!("setting vrrp.interval is not in hundredths of a second: {interval}");
        pairs.fault("vrrp.interval", what);
    }
    let router = RouterConfig {
        id: pairs.count("vrrp.id", 1.0, 255.0, None) as u8,
        priority: pairs.count("vrrp.priority", 1.0, 255.0, Some(DEFAULT_VRRP_PRIORITY)) as u8,
        interval: ((interval / MICROS_PER_CENTISECOND) as u16).min(packet::MAX_INTERVAL),
        preempt: pairs.flag("vrrp.preempt", true),
        addresses: list(pairs, "vrrp.addresses"),
        own_address: listen,
    };
    let peers = list(pairs, "vrrp.peers");
    let port = pairs.count("vrrp.port", 1.0, MAX_U16, None) as u16;
    Some(Vrrp { router, listen, peers, port })
}

/// A list of at least one value, joined by commas.
fn list<T: std::str::FromStr>(pairs: &Pairs, key: &str) -> Vec<T> {
    let text = pairs.required(key);
    if text.is_empty() {
        return Vec::new();
    }
    let parse = |item: &str| {
        let value = item.trim().parse().ok();
        if value.is_none() {
            pairs.fault(key, format!("setting {key} is malformed: {item}"));
        }
        value
    };
    text.split(',').filter_map(parse).collect()
}

/// An address, where the key is there.
fn address(pairs: &Pairs, key: &str) -> Option<SocketAddr> {
    let text = pairs.text(key)?;
    let address = text.parse().ok();
    if address.is_none() {
        pairs.fault(key, format!("setting {key} is not an address: {text}"));
    }
    address
}
