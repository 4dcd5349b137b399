//! The settings of the cluster: the `(fleet ...)` form of the operator's file. A head without this form
//! belongs to no cluster.
//!
//! Reading reports each invalid setting to the [`Pairs`] and continues, so that the operator sees all faults
//! at once.

use crate::memory_limits::MemoryLimits;
use sedgerun_config::Pairs;
use sedgerun_replication::follow::MAX_FOLLOWERS;
use sedgerun_replication::relay::{FollowerRole, RELAY_CAPACITY};
use std::collections::BTreeMap;
use std::net::SocketAddr;
use std::path::PathBuf;

/// The setting that names the voters.
const VOTERS: &str = "fleet.voters";
/// Deprecated name of [`VOTERS`]; the next release no longer reads it.
const DEPRECATED_VOTERS: &str = "fleet.keepers";

/// Minimum length of the secret, in bytes.
const MIN_SECRET_BYTES: usize = 16;
/// Number of file descriptors that the program may use, if its settings do not limit them.
pub const DEFAULT_SOCKETS: usize = 1024;
/// The limits on memory, if the program's settings do not limit it.
pub const DEFAULT_MEMORY: MemoryLimits = MemoryLimits::of_memory(192);
/// Maximum number of connections from heads and command lines to a head that is neither a voter nor a relay.
/// A relay accepts as many besides those of its followers.
const MAX_PEER_CONNECTIONS: usize = 128;
/// Maximum number of connections to a voter. All heads of a zone may connect to the same voter when they
/// start together.
const MAX_VOTER_PEER_CONNECTIONS: usize = 1024;

/// The settings of the cluster.
#[derive(Clone, Debug, PartialEq)]
pub struct Settings {
    /// The cluster's name.
    pub name: String,
    /// The secret that all its heads share.
    pub secret: String,
    /// The address on which this head listens for other heads.
    pub listen: SocketAddr,
    /// The folder of the store.
    pub dir: PathBuf,
    /// The voters by name, each with the address at which this head reaches it.
    pub voters: BTreeMap<String, SocketAddr>,
    /// Addresses of further heads by name, used instead of the addresses that those heads announce.
    pub heads: BTreeMap<String, SocketAddr>,
    /// The address at which other heads reach this head; `None` for the listening address.
    pub address: Option<SocketAddr>,
    /// The zone that this head is in.
    pub zone: Option<String>,
    /// The region that this head is in.
    pub region: Option<String>,
    /// Whether this head is a relay: a follower dedicated to serving many other followers.
    pub relay: bool,
    /// File descriptors that the program may use. They limit the numbers of followers and of peer
    /// connections.
    pub sockets: usize,
    /// The memory that the parts of the replicated state may take up.
    pub memory: MemoryLimits,
}

impl Settings {
    /// The keys of the form's settings in the [`Pairs`].
    pub const KEYS: [&str; 11] = [
        "fleet.name",
        "fleet.secret",
        "fleet.listen",
        "fleet.dir",
        VOTERS,
        DEPRECATED_VOTERS,
        "fleet.heads",
        "fleet.address",
        "fleet.zone",
        "fleet.region",
        "fleet.relay",
    ];

    /// Reads the form for the head `head`; `None` if there is no such form. Faults are reported to `pairs`.
    pub fn read(pairs: &Pairs, head: &str) -> Option<Settings> {
        if !pairs.keys().any(|key| key.starts_with("fleet.")) {
            return None;
        }
        let listen = read_listen(pairs);
        let secret = read_secret(pairs);
        let voters_key = voters_key(pairs);
        let voters_text = pairs.required(voters_key);
        let voters = read_heads(pairs, voters_key, voters_text);
        let heads = read_heads(pairs, "fleet.heads", pairs.text("fleet.heads").unwrap_or_default());
        let address = read_address(pairs);
        if !voters_text.is_empty() && voters.len().is_multiple_of(2) {
            let fault = format!("setting {voters_key} names {}: an odd number keeps", voters.len());
            pairs.fault(voters_key, fault);
        }
        let relay = read_relay(pairs);
        if relay && voters.contains_key(head) {
            let fault =
                format!("setting fleet.relay: {head} is among {voters_key}, and a relay does not vote");
            pairs.fault("fleet.relay", fault);
        }
        // With two sources, the tenants of the file could contradict those of the replicated state.
        if pairs.text("exports.count").is_some_and(|count| count != "0") {
            pairs.fault(
                "fleet.name",
                "tenants stand beside (fleet ...): the fleet holds them; put them by the API",
            );
        }
        Some(Settings {
            name: pairs.required("fleet.name").to_owned(),
            secret,
            listen,
            dir: PathBuf::from(pairs.required("fleet.dir")),
            voters,
            heads,
            address,
            zone: read_location(pairs, "fleet.zone"),
            region: read_location(pairs, "fleet.region"),
            relay,
            sockets: DEFAULT_SOCKETS,
            memory: DEFAULT_MEMORY,
        })
    }

    /// The role of this head as a follower.
    pub fn role(&self) -> FollowerRole {
        if self.relay { FollowerRole::Relay } else { FollowerRole::Head }
    }

    /// Maximum number of followers that this head serves directly. A relay reserves a quarter of its file
    /// descriptors for other uses.
    pub fn follower_capacity(&self) -> usize {
        if self.relay { RELAY_CAPACITY.min(self.sockets * 3 / 4).max(MAX_FOLLOWERS) } else { MAX_FOLLOWERS }
    }

    /// Maximum number of connections from other heads and command lines.
    pub fn max_peer_connections(&self, votes: bool) -> usize {
        match (self.relay, votes) {
            (true, _) => self.follower_capacity() + MAX_PEER_CONNECTIONS.min(self.sockets / 8),
            (false, true) => (self.sockets / 4).clamp(MAX_PEER_CONNECTIONS, MAX_VOTER_PEER_CONNECTIONS),
            (false, false) => MAX_PEER_CONNECTIONS,
        }
    }

    /// The addresses at which this head reaches other heads, by name.
    pub fn routes(&self) -> BTreeMap<String, SocketAddr> {
        self.heads.iter().chain(&self.voters).map(|(head, at)| (head.clone(), *at)).collect()
    }
}

/// The key under which the voters are given: [`VOTERS`], or its deprecated name, for which a warning is
/// logged. Giving both is a fault.
fn voters_key(pairs: &Pairs) -> &'static str {
    match (pairs.text(VOTERS), pairs.text(DEPRECATED_VOTERS)) {
        (Some(_), Some(_)) => {
            let fault = format!(
                "settings {VOTERS} and {DEPRECATED_VOTERS} are both given: {DEPRECATED_VOTERS} is deprecated, leave it out"
            );
            pairs.fault(DEPRECATED_VOTERS, fault);
            VOTERS
        }
        (None, Some(_)) => {
            tracing::warn!(
                "setting {DEPRECATED_VOTERS} is deprecated and the next release no longer reads it: use {VOTERS}"
            );
            DEPRECATED_VOTERS
        }
        _ => VOTERS,
    }
}

fn report_malformed(pairs: &Pairs, key: &str, text: &str) {
    if !text.is_empty() {
        pairs.fault(key, format!("setting {key} is malformed: {text}"));
    }
}

/// Reads the listening address. A faulty one is replaced by any free local port, so that reading can
/// continue.
fn read_listen(pairs: &Pairs) -> SocketAddr {
    let text = pairs.required("fleet.listen");
    text.parse().unwrap_or_else(|_| {
        report_malformed(pairs, "fleet.listen", text);
        SocketAddr::from(([127, 0, 0, 1], 0))
    })
}

fn read_secret(pairs: &Pairs) -> String {
    let secret = pairs.required("fleet.secret");
    if !secret.is_empty() && secret.len() < MIN_SECRET_BYTES {
        pairs.fault("fleet.secret", "setting fleet.secret is shorter than 16 characters");
    }
    secret.to_owned()
}

fn read_address(pairs: &Pairs) -> Option<SocketAddr> {
    let text = pairs.text("fleet.address")?;
    let address = text.parse().ok();
    if address.is_none() {
        report_malformed(pairs, "fleet.address", text);
    }
    address
}

fn read_relay(pairs: &Pairs) -> bool {
    match pairs.text("fleet.relay") {
        Some("yes") => true,
        None | Some("no" | "") => false,
        Some(other) => {
            report_malformed(pairs, "fleet.relay", other);
            false
        }
    }
}

/// Reads a comma-separated list of heads, each as `name=address`.
fn read_heads(pairs: &Pairs, key: &str, text: &str) -> BTreeMap<String, SocketAddr> {
    let mut heads = BTreeMap::new();
    for head in text.split(',').filter(|head| !head.is_empty()) {
        match head.trim().split_once('=').map(|(name, address)| (name, address.parse())) {
            Some((name, Ok(address))) if !name.is_empty() => {
                if heads.insert(name.to_owned(), address).is_some() {
                    pairs.fault(key, format!("setting {key} names {name} twice"));
                }
            }
            _ => report_malformed(pairs, key, head),
        }
    }
    heads
}

/// Reads the name of a zone or a region.
fn read_location(pairs: &Pairs, key: &str) -> Option<String> {
    pairs.text(key).filter(|place| !place.is_empty()).map(str::to_owned)
}

/// The address at which the command line reaches this head: the one in the settings for other heads, or the
/// listening address.
pub fn own_address(settings: &Settings, head: &str) -> SocketAddr {
    settings.routes().get(head).copied().or(settings.address).unwrap_or(settings.listen)
}
