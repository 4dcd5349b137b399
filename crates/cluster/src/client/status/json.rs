//! The status of a cluster as JSON. Operators' tools read its keys, so a renamed key appears under both names
//! for one release.

use super::{ClusterReport, HeadReport};
use sedgerun_replication::follow::Downstream;
use sedgerun_replication::relay::RelayStatus;
use serde_json::{Value, json};

/// Renamed keys: the deprecated name, which stays for one release, and the new name.
const RENAMED_KEYS: [(&str, &str); 3] = [("keepers", "voters"), ("lineage", "path"), ("life", "incarnation")];

/// Renders the status of the cluster `fleet` as JSON.
pub(super) fn render(fleet: &str, report: &ClusterReport) -> Value {
    let heads = report.0.iter().map(|(name, result)| match result {
        Ok(report) => head(report),
        Err(error) => json!({"head": name, "role": "unreachable", "trouble": error.to_string()}),
    });
    let heads: Vec<Value> = heads.collect();
    let followers: Vec<Value> = report.followers().iter().map(follower).collect();
    let relays: Vec<Value> = report.relays().iter().map(relay).collect();
    let mut value = json!({"fleet": fleet, "heads": heads, "followers": followers, "relays": relays});
    add_renamed_keys(&mut value);
    value
}

fn head(report: &HeadReport) -> Value {
    let HeadReport { status, distribution } = report;
    let mut value = json!(status);
    if let Some(distribution) = distribution {
        value["region"] = json!(distribution.region);
        value["upstream"] = json!(distribution.upstream);
        value["direct_followers"] = json!(distribution.direct_followers);
        value["all_followers"] = json!(distribution.all_followers);
        value["lowest_version"] = json!(distribution.lowest_version);
    }
    value["store"] = hexadecimal(status.store);
    for (position, voter) in status.voters.iter().enumerate() {
        value["keepers"][position]["store"] = hexadecimal(voter.store);
    }
    for (position, follower) in status.followers.iter().enumerate() {
        value["followers"][position]["store"] = hexadecimal(follower.store);
    }
    value
}

fn follower(follower: &Downstream) -> Value {
    json!({"head": follower.peer.head, "role": "follower", "address": follower.peer.address, "zone": follower.zone,
        "version": follower.version, "life": follower.incarnation, "store": hexadecimal(follower.store)})
}

fn relay(status: &RelayStatus) -> Value {
    let RelayStatus { relay, followers } = status;
    json!({"head": relay.peer.head, "address": relay.peer.address, "region": relay.region, "zone": relay.zone,
        "store": hexadecimal(relay.store), "life": relay.incarnation, "followers": followers})
}

fn hexadecimal(store: u64) -> Value {
    json!(format!("{store:016x}"))
}

/// Adds the new name of each renamed key beside the deprecated one, in objects at any depth.
fn add_renamed_keys(value: &mut Value) {
    match value {
        Value::Object(object) => {
            object.values_mut().for_each(add_renamed_keys);
            for (deprecated, renamed) in RENAMED_KEYS {
                if let Some(value) = object.get(deprecated).cloned() {
                    object.insert(renamed.to_owned(), value);
                }
            }
        }
        Value::Array(values) => values.iter_mut().for_each(add_renamed_keys),
        _ => {}
    }
}
