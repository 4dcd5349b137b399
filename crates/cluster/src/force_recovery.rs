//! Forced recovery from a lost majority: the one store that is left begins a new cluster with what it contains.
//!
//! It works on the store of a head that is not running, and on nothing else. It first only says what may be lost, and
//! acts once the operator has accepted that.

use crate::disk::{self, Identity, OpenError, OpenedStore, key};
use crate::environment::{EntropyError, random};
use crate::settings::Settings;
use crate::state_machine::{self, CorruptSnapshot};
use crate::types::{LogId, Membership, SnapshotMeta, Vote, VoterAddress};
use sedgerun_replication::greeting::cluster_origin;
use sedgerun_replication::record::{self, EncodeError, RecordType};
use sedgerun_replication::state::ReplicatedState;
use sedgerun_replication::store::StoreId;
use std::collections::{BTreeMap, BTreeSet};
use std::path::PathBuf;
use thiserror::Error;

/// Why nothing was recovered.
#[derive(Debug, Error)]
pub enum ForceRecoveryError {
    /// The store cannot be used.
    #[error(transparent)]
    Store(#[from] OpenError),
    /// The state of its snapshot cannot be decoded.
    #[error(transparent)]
    Snapshot(#[from] CorruptSnapshot),
    /// It contains nothing.
    #[error("{}: this store holds nothing", .0.display())]
    EmptyStore(PathBuf),
    /// What may be lost was not accepted, or another version was.
    #[error("{consequences} To go on: sedgerun fleet recover --lose-changes-after {version}")]
    NotAccepted {
        /// What may be lost.
        consequences: String,
        /// The version that has to be accepted.
        version: u64,
    },
    /// There are no random numbers for a new store.
    #[error(transparent)]
    Entropy(#[from] EntropyError),
    /// A record of the new store cannot be encoded.
    #[error(transparent)]
    Encode(#[from] EncodeError),
    /// The store cannot be written.
    #[error(transparent)]
    Write(#[from] redb::Error),
}

/// What a store contains, as far as it can tell.
struct RecoveredState {
    state: ReplicatedState,
    /// Version up to which this store knows that a majority had it.
    committed_version: u64,
}

/// Begins a new cluster with the store of this head's settings, which must not be running. `accepted` must be the version
/// that a call without it names. Returns what was done, for people.
///
/// # Errors
/// What may be lost, if that was not accepted; or why nothing was recovered.
pub fn force_recovery(
    settings: &Settings,
    head: &str,
    accepted: Option<u64>,
) -> Result<String, ForceRecoveryError> {
    let (database, opened) = disk::open_database(&settings.dir)?;
    let recovered = recover_state(&opened)?;
    let last = opened.log.values().next_back().map(|entry| entry.log_id).or(opened.purged);
    let version = recovered.state.view.version;
    if version == 0 && last.is_none() {
        return Err(ForceRecoveryError::EmptyStore(settings.dir.clone()));
    }
    let consequences = consequences(head, &recovered);
    if accepted != Some(version) {
        return Err(ForceRecoveryError::NotAccepted { consequences, version });
    }
    let voted_term = opened.vote.map_or(0, |vote| vote.leader_id().term);
    let term = voted_term.max(last.map_or(0, |at| at.leader_id.term));
    let records = new_store(voter_address(settings, head), term, last, &recovered.state)?;
    disk::replace(&database, &records)?;
    Ok(format!(
        "{consequences}\nDone: {head} is a fleet of one, at version {version}; start it, then the others anew.\n"
    ))
}

/// All that the store contains: an entry that nobody knows to be committed may have been acknowledged all the same.
fn recover_state(opened: &OpenedStore) -> Result<RecoveredState, CorruptSnapshot> {
    let last_index = opened.log.keys().next_back().copied().unwrap_or(0);
    let committed_index = opened.committed.map_or(0, |at| at.index);
    let committed = state_machine::replay(opened.snapshot.clone(), &opened.log, committed_index)?;
    let state = state_machine::replay(opened.snapshot.clone(), &opened.log, last_index)?;
    if opened.followed.version > state.view.version {
        // It has followed since: what it received is newer, and was committed.
        return Ok(RecoveredState {
            committed_version: opened.followed.version,
            state: ReplicatedState::from_view(opened.followed.clone()),
        });
    }
    Ok(RecoveredState { committed_version: committed.view.version, state })
}

/// What may be lost, for the operator to accept.
fn consequences(head: &str, recovered: &RecoveredState) -> String {
    let (version, committed) = (recovered.state.view.version, recovered.committed_version);
    format!(
        "the store of {head} holds version {version}; it knows that a majority had version {committed}. Whatever the other \
         keepers promised after version {version} is lost, and versions {} to {version} stay though they may have \
         been refused. The other heads' folders must be removed: their stores belong to the fleet that was.",
        (committed + 1).min(version),
    )
}

fn voter_address(settings: &Settings, head: &str) -> VoterAddress {
    let address = settings.voters.get(head).copied().or(settings.address).unwrap_or(settings.listen);
    VoterAddress { head: head.to_owned(), address: address.to_string(), zone: settings.zone.clone() }
}

/// The records of a new store, whose only voter is this head.
fn new_store(
    voter: VoterAddress,
    term: u64,
    last: Option<LogId>,
    state: &ReplicatedState,
) -> Result<Vec<(&'static str, Vec<u8>)>, ForceRecoveryError> {
    let store: StoreId = random()?;
    let voters = openraft::Membership::new(vec![BTreeSet::from([store])], BTreeMap::from([(store, voter)]));
    let meta = SnapshotMeta {
        last_log_id: last,
        last_membership: Membership::new(last, voters),
        snapshot_id: format!("recovered-{term}-{}", last.map_or(0, |at| at.index)),
    };
    let identity = Identity { store, incarnation: 0, origin: Some(cluster_origin([store])) };
    let state = record::encode(RecordType::Snapshot, state)?;
    let mut records = vec![
        (key::IDENTITY, record::encode(RecordType::Identity, &identity)?),
        (key::VOTE, record::encode(RecordType::Vote, &Vote::new(term, store))?),
        (key::SNAPSHOT_META, record::encode(RecordType::SnapshotMetadata, &meta)?),
        (key::SNAPSHOT_STATE, record::encode(RecordType::Snapshot, &state)?),
    ];
    if let Some(last) = last {
        records.push((key::PURGED, record::encode(RecordType::Position, &last)?));
    }
    Ok(records)
}
