//! Forced recovery after the majority of the voters is lost: one remaining store becomes a new cluster with
//! the state that it contains.
//!
//! It works on the store of a head that is not running, and contacts no other head. A first run only reports
//! which changes may be lost; the recovery is done once the operator has accepted that.

use crate::disk::{self, Identity, OpenError, OpenedStore, key};
use crate::environment::{EntropyError, random};
use crate::settings::Settings;
use crate::state_machine::{self, ReplayError};
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
    /// Its state cannot be built from its snapshot and its log.
    #[error(transparent)]
    Replay(#[from] ReplayError),
    /// The store contains no state and no log.
    #[error("{}: the store is empty", .0.display())]
    EmptyStore(PathBuf),
    /// The operator has not accepted the loss of changes after the recovered version, or has given another
    /// version.
    #[error("{consequences} To recover: sedgerun fleet recover --lose-changes-after {version}")]
    NotAccepted {
        /// Which changes may be lost.
        consequences: String,
        /// The version that the operator has to accept.
        version: u64,
    },
    /// No random number is available for the identifier of the new store.
    #[error(transparent)]
    Entropy(#[from] EntropyError),
    /// A record of the new store cannot be encoded.
    #[error(transparent)]
    Encode(#[from] EncodeError),
    /// The store cannot be written.
    #[error(transparent)]
    Write(#[from] redb::Error),
}

/// The state that a store contains.
struct RecoveredState {
    state: ReplicatedState,
    /// Version up to which the store knows that the changes were committed.
    committed_version: u64,
}

/// Begins a new cluster with the store of this head's settings; the head must not be running. `accepted` must
/// be the version that the error of a call with `None` names. Returns a text for the operator.
///
/// # Errors
/// `accepted` is not that version ([`ForceRecoveryError::NotAccepted`]), or the store cannot be recovered.
pub fn force_recovery(
    settings: &Settings,
    head: &str,
    accepted: Option<u64>,
) -> Result<String, ForceRecoveryError> {
    let (database, opened) = disk::open_database(&settings.dir)?;
    let recovered = recover_state(&opened, settings.memory.whole_change_bytes)?;
    let last = opened.last.or(opened.purged);
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
    disk::replace_contents(&database, &records)?;
    Ok(format!(
        "{consequences}\nDone: {head} is the only voter of a new fleet, at version {version}. Start it, then \
         start the other heads with empty folders.\n"
    ))
}

/// Recovers all entries of the store, also those that it does not know to be committed: they may have been
/// acknowledged.
fn recover_state(opened: &OpenedStore, max_whole_change_bytes: usize) -> Result<RecoveredState, ReplayError> {
    let last_index = opened.last.map_or(0, |last| last.index);
    let committed_index = opened.committed.map_or(0, |at| at.index);
    let committed_version =
        state_machine::replay(opened, committed_index, max_whole_change_bytes)?.view.version;
    let state = state_machine::replay(opened, last_index, max_whole_change_bytes)?;
    if opened.followed.version > state.view.version {
        // The head was a follower later on: the view that it received is newer, and contains only committed
        // changes.
        return Ok(RecoveredState {
            committed_version: opened.followed.version,
            state: ReplicatedState::from_view(opened.followed.clone()),
        });
    }
    Ok(RecoveredState { committed_version, state })
}

/// Describes to the operator which changes may be lost.
fn consequences(head: &str, recovered: &RecoveredState) -> String {
    let (version, committed) = (recovered.state.view.version, recovered.committed_version);
    format!(
        "the store of {head} holds version {version}; it knows that versions up to {committed} were \
         committed. Changes that other voters committed after version {version} will be lost. Versions {} to \
         {version} will be kept, although they may have been reported as failed. The folders of the other \
         heads must be removed, because their stores belong to the old fleet.",
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
