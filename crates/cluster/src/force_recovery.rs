//! Forced recovery from a lost majority: one store that is left begins a new fleet with what it holds.

use super::disk::{self, Identity};
use super::environment::random;
use super::machine;
use super::settings::Settings;
use super::types::{Membership, SnapshotMeta, Vote, VoterAddress};
use sedgerun_replication::greeting::origin;
use sedgerun_replication::record::{self, RecordType};
use sedgerun_replication::state::ReplicatedState;
use std::collections::{BTreeMap, BTreeSet};

/// What a store holds, as far as it can tell.
struct Left {
    state: ReplicatedState,
    /// Version up to which this store knows that a majority had it.
    settled: u64,
}

/// Begins a new fleet with the store of this head's settings, which must not be running. Without `accepted` it
/// only says, as an error, what may be lost; with it, `accepted` must be the version that it named.
pub fn force_recovery(settings: &Settings, head: &str, accepted: Option<u64>) -> Result<String, String> {
    let (database, held) = disk::database(&settings.dir)?;
    let last = held.log.keys().next_back().copied().unwrap_or(0);
    let held_last = held.log.values().next_back().map(|entry| entry.log_id).or(held.purged);
    let settled = machine::replay(held.snapshot.clone(), &held.log, held.committed.map_or(0, |at| at.index))?;
    // All that is there is taken: an entry that nobody knows to be settled may have been promised all the same.
    let state = machine::replay(held.snapshot.clone(), &held.log, last)?;
    let mut left = Left { settled: settled.view.version, state };
    if held.followed.version > left.state.view.version {
        // It has followed since: what it received is newer, and was settled.
        (left.settled, left.state) = (held.followed.version, ReplicatedState::of(held.followed.clone()));
    }
    let version = left.state.view.version;
    if version == 0 && held_last.is_none() {
        return Err(format!("{}: this store holds nothing", settings.dir.display()));
    }
    let said = format!(
        "the store of {head} holds version {version}; it knows that a majority had version {}. Whatever the other \
         keepers promised after version {version} is lost, and versions {} to {version} stay though they may have \
         been refused. The other heads' folders must be removed: their stores belong to the fleet that was.",
        left.settled,
        (left.settled + 1).min(version),
    );
    if accepted != Some(version) {
        return Err(format!("{said} To go on: sedgerun fleet recover --lose-changes-after {version}"));
    }
    let store = random()?;
    let term =
        held.vote.map_or(0, |vote| vote.leader_id().term).max(held_last.map_or(0, |at| at.leader_id.term));
    let at = settings.voters.get(head).copied().or(settings.address).unwrap_or(settings.listen);
    let voter = VoterAddress { head: head.to_owned(), address: at.to_string(), zone: settings.zone.clone() };
    let voters = openraft::Membership::new(vec![BTreeSet::from([store])], BTreeMap::from([(store, voter)]));
    let meta = SnapshotMeta {
        last_log_id: held_last,
        last_membership: Membership::new(held_last, voters),
        snapshot_id: format!("recovered-{term}-{}", held_last.map_or(0, |at| at.index)),
    };
    let identity = Identity { store, incarnation: 0, origin: Some(origin([store])) };
    let text = |error: record::EncodeError| error.to_string();
    let state = record::seal(RecordType::Snapshot, &left.state).map_err(text)?;
    let fresh = [
        ("identity", record::seal(RecordType::Identity, &identity).map_err(text)?),
        ("vote", record::seal(RecordType::Vote, &Vote::new(term, store)).map_err(text)?),
        ("snapshot", record::seal(RecordType::SnapshotHead, &meta).map_err(text)?),
        ("state", record::seal(RecordType::Snapshot, &state).map_err(text)?),
    ];
    let mut fresh = fresh.to_vec();
    if let Some(last) = held_last {
        fresh.push(("purged", record::seal(RecordType::Position, &last).map_err(text)?));
    }
    disk::replace(&database, &fresh)?;
    Ok(format!(
        "{said}\nDone: {head} is a fleet of one, at version {version}; start it, then the others anew.\n"
    ))
}
