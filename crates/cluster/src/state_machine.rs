//! The state machine of the consensus library: applies committed entries, builds snapshots and installs them.
//!
//! The state is in memory; the disk has the last snapshot and the log entries after it, and they are read entry
//! by entry. Besides the state
//! that this head applies as a voter, the state machine contains the view that the head receives as a
//! follower; readers see the newer of the two. Only the consensus library and the [follower](crate::follow)
//! may change them.

use crate::disk::{Disk, EncodedSnapshot, OpenedStore, StoreError, StoredLog, failpoint};
use crate::raft_log::storage_error;
use crate::types::{Entry, LogId, Membership, RaftTypes, SnapshotMeta, StorageError};
use openraft::storage::RaftStateMachine;
use openraft::{EntryPayload, ErrorVerb, OptionalSend, RaftSnapshotBuilder, Snapshot};
use sedgerun_replication::heap_size::HeapSize;
use sedgerun_replication::record::{self, CorruptRecord, EncodeError, RecordType};
use sedgerun_replication::state::{ChangeOutcome, Command, ReplicatedState};
use sedgerun_replication::view::View;
use std::io::Cursor;
use std::sync::{Arc, Mutex, MutexGuard, PoisonError};
use thiserror::Error;
use tokio::sync::watch;

/// The state of a snapshot cannot be decoded.
#[derive(Debug, Error)]
#[error("cannot decode the state of a snapshot: {0}")]
pub struct CorruptSnapshot(#[source] CorruptRecord);

/// The state of a store cannot be built from its snapshot and its log.
#[derive(Debug, Error)]
pub enum ReplayError {
    /// The state of the snapshot cannot be decoded.
    #[error(transparent)]
    Snapshot(#[from] CorruptSnapshot),
    /// The log cannot be read.
    #[error(transparent)]
    Log(#[from] StoreError),
    /// The changes of a log entry cannot be decoded.
    #[error("log entry {index}: cannot decode its changes: {source}")]
    Changes {
        /// The entry's log index.
        index: u64,
        /// What is wrong with them.
        source: EncodeError,
    },
}

/// The state machine; clones share the same state.
#[derive(Clone)]
pub struct StateMachine {
    disk: Disk,
    data: Arc<Mutex<MachineData>>,
    version: Arc<watch::Sender<u64>>,
    max_whole_change_bytes: usize,
}

struct MachineData {
    /// The state that this head has applied as a voter.
    state: ReplicatedState,
    /// The view that this head has received as a follower; empty if the applied state is as new.
    follower_view: View,
    /// Log position of the last applied entry.
    applied: Option<LogId>,
    membership: Membership,
    /// Length of the encoded last snapshot, which is on the disk.
    snapshot_len: usize,
}

/// Estimates of the memory that the parts of a state machine take up, in bytes.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct StateMemory {
    /// The view of the applied state.
    pub view: usize,
    /// The view received as a follower, if it is newer.
    pub follower_view: usize,
    /// Number of remembered outcomes.
    pub outcome_count: usize,
    /// The remembered outcomes.
    pub outcomes: usize,
    /// The encoded last snapshot, which is on the disk.
    pub snapshot: usize,
}

impl MachineData {
    /// The newer of the applied state and the follower's view. Both are versions of one history.
    fn view(&self) -> &View {
        if self.follower_view.version > self.state.view.version {
            &self.follower_view
        } else {
            &self.state.view
        }
    }

    /// The state of a snapshot, or an empty one, with the log entries up to an index applied.
    fn replay(
        snapshot: Option<&EncodedSnapshot>,
        log: &StoredLog,
        up_to: u64,
        max_whole_change_bytes: usize,
    ) -> Result<MachineData, ReplayError> {
        let mut data = MachineData {
            state: ReplicatedState::default(),
            follower_view: View::default(),
            applied: None,
            membership: Membership::default(),
            snapshot_len: 0,
        };
        if let Some((meta, bytes)) = snapshot {
            data.state = decode_state(bytes)?;
            (data.applied, data.membership) = (meta.last_log_id, meta.last_membership.clone());
            data.snapshot_len = bytes.len();
        }
        data.state.set_max_whole_change_bytes(max_whole_change_bytes);
        let from = data.applied.map_or(0, |applied| applied.index + 1);
        if from <= up_to {
            for stored in log.entries(from..=up_to)? {
                let (entry, _) = stored?;
                let index = entry.log_id.index;
                data.apply(entry).map_err(|source| ReplayError::Changes { index, source })?;
            }
        }
        Ok(data)
    }

    fn apply(&mut self, entry: Entry) -> Result<Vec<ChangeOutcome>, EncodeError> {
        let outcomes = match entry.payload {
            EntryPayload::Normal(batch) => {
                batch.changes()?.iter().map(|change| self.state.apply(change)).collect()
            }
            EntryPayload::Membership(membership) => {
                self.membership = Membership::new(Some(entry.log_id), membership);
                Vec::new()
            }
            EntryPayload::Blank => Vec::new(),
        };
        self.applied = Some(entry.log_id);
        Ok(outcomes)
    }

    /// Drops the view that was received as a follower once the applied state is as new.
    fn drop_outdated_follower_view(&mut self) {
        if self.follower_view.version > 0 && self.follower_view.version <= self.state.view.version {
            self.follower_view = View::default();
        }
    }
}

impl StateMachine {
    /// Creates a state machine from the snapshot, or from an empty state, with the log entries that are known
    /// to be committed applied. It keeps up to `max_whole_change_bytes` bytes of recent changes whole.
    ///
    /// # Errors
    /// The snapshot or an entry cannot be read.
    pub fn new(
        disk: Disk,
        opened: &OpenedStore,
        max_whole_change_bytes: usize,
    ) -> Result<StateMachine, ReplayError> {
        // Entries are applied before the consensus library starts, so that the serving thread has them when
        // it begins to serve clients.
        let committed = opened.committed.map_or(0, |at| at.index);
        let snapshot = opened.snapshot.as_ref();
        let mut data = MachineData::replay(snapshot, &opened.log, committed, max_whole_change_bytes)?;
        data.follower_view = opened.followed.clone();
        let version = Arc::new(watch::Sender::new(data.view().version));
        Ok(StateMachine { disk, data: Arc::new(Mutex::new(data)), version, max_whole_change_bytes })
    }

    fn lock(&self) -> MutexGuard<'_, MachineData> {
        self.data.lock().unwrap_or_else(PoisonError::into_inner)
    }

    /// Reads the newest view of this head. `read` must be short, as it runs under the lock.
    pub fn read<T>(&self, read: impl FnOnce(&View) -> T) -> T {
        read(self.lock().view())
    }

    /// The version that this head has applied as a voter.
    pub fn applied_version(&self) -> u64 {
        self.lock().state.view.version
    }

    /// Applies an update that this head receives as a follower.
    pub fn update_follower_view<T>(&self, update: impl FnOnce(&mut View) -> T) -> T {
        let updated = {
            let mut data = self.lock();
            // If the applied state is newer, the update is applied to a copy of that state.
            if data.follower_view.version < data.state.view.version {
                data.follower_view = data.state.view.clone();
            }
            update(&mut data.follower_view)
        };
        self.publish();
        updated
    }

    /// The view that this head has received as a follower, if it is newer than the applied state.
    pub fn follower_view(&self) -> Option<View> {
        let data = self.lock();
        (data.follower_view.version > data.state.view.version).then(|| data.follower_view.clone())
    }

    /// The version of the view that this head has received as a follower; 0 if there is none.
    pub fn follower_view_version(&self) -> u64 {
        self.lock().follower_view.version
    }

    /// The memory that the applied objects take up, and that a command would add to them, in bytes.
    pub fn state_bytes(&self, command: &Command) -> (usize, usize) {
        let data = self.lock();
        (data.state.view.object_bytes(), data.state.view.growth_by(command))
    }

    /// Whether the outcome of a change with this key is remembered.
    pub fn remembers(&self, key: &str) -> bool {
        self.lock().state.outcomes().contains(key)
    }

    /// Log index of the last applied entry; `None` before the first.
    pub fn applied_index(&self) -> Option<u64> {
        self.lock().applied.map(|applied| applied.index)
    }

    /// The memory that the parts of the state machine take up.
    pub fn memory(&self) -> StateMemory {
        let data = self.lock();
        StateMemory {
            view: data.state.view.object_bytes(),
            follower_view: data.follower_view.object_bytes(),
            outcome_count: data.state.outcomes().len(),
            outcomes: data.state.outcomes().heap_bytes(),
            snapshot: data.snapshot_len,
        }
    }

    /// The last applied membership.
    pub fn membership(&self) -> Membership {
        self.lock().membership.clone()
    }

    /// Subscribes to the version of the newest view.
    pub fn watch_version(&self) -> watch::Receiver<u64> {
        self.version.subscribe()
    }

    fn publish(&self) {
        let version = self.lock().view().version;
        self.version.send_if_modified(|known| std::mem::replace(known, version) != version);
    }
}

/// The state of a store's snapshot, or an empty one, with the log entries up to an index applied. Up to
/// `max_whole_change_bytes` bytes of recent changes are kept whole.
///
/// # Errors
/// The snapshot or an entry cannot be read.
pub fn replay(
    opened: &OpenedStore,
    up_to: u64,
    max_whole_change_bytes: usize,
) -> Result<ReplicatedState, ReplayError> {
    let snapshot = opened.snapshot.as_ref();
    Ok(MachineData::replay(snapshot, &opened.log, up_to, max_whole_change_bytes)?.state)
}

fn decode_state(bytes: &[u8]) -> Result<ReplicatedState, CorruptSnapshot> {
    record::decode(RecordType::Snapshot, bytes).map_err(CorruptSnapshot)
}

impl RaftSnapshotBuilder<RaftTypes> for StateMachine {
    async fn build_snapshot(&mut self) -> Result<Snapshot<RaftTypes>, StorageError> {
        let (bytes, applied, membership) = {
            let data = self.lock();
            (record::encode(RecordType::Snapshot, &data.state), data.applied, data.membership.clone())
        };
        let bytes = bytes.map_err(|error| storage_error(ErrorVerb::Write, error))?;
        let index = applied.map_or(0, |applied| applied.index);
        let term = applied.map_or(0, |applied| applied.leader_id.term);
        let meta = SnapshotMeta {
            last_log_id: applied,
            last_membership: membership,
            snapshot_id: format!("{term}-{index}"),
        };
        let saved = self.disk.put_snapshot(&meta, &bytes).await;
        saved.map_err(|error| storage_error(ErrorVerb::Write, error))?;
        self.lock().snapshot_len = bytes.len();
        Ok(Snapshot { meta, snapshot: Box::new(Cursor::new(bytes)) })
    }
}

impl RaftStateMachine<RaftTypes> for StateMachine {
    type SnapshotBuilder = StateMachine;

    async fn applied_state(&mut self) -> Result<(Option<LogId>, Membership), StorageError> {
        let data = self.lock();
        Ok((data.applied, data.membership.clone()))
    }

    async fn apply<I>(&mut self, entries: I) -> Result<Vec<Vec<ChangeOutcome>>, StorageError>
    where
        I: IntoIterator<Item = Entry> + OptionalSend,
        I::IntoIter: OptionalSend,
    {
        let outcomes = {
            let mut data = self.lock();
            let outcomes: Result<Vec<_>, EncodeError> =
                entries.into_iter().map(|entry| data.apply(entry)).collect();
            data.drop_outdated_follower_view();
            outcomes.map_err(|error| storage_error(ErrorVerb::Read, error))?
        };
        self.publish();
        Ok(outcomes)
    }

    async fn get_snapshot_builder(&mut self) -> StateMachine {
        self.clone()
    }

    async fn begin_receiving_snapshot(&mut self) -> Result<Box<Cursor<Vec<u8>>>, StorageError> {
        Ok(Box::new(Cursor::new(Vec::new())))
    }

    async fn install_snapshot(
        &mut self,
        meta: &SnapshotMeta,
        snapshot: Box<Cursor<Vec<u8>>>,
    ) -> Result<(), StorageError> {
        let bytes = snapshot.into_inner();
        let mut state = decode_state(&bytes).map_err(|error| storage_error(ErrorVerb::Read, error))?;
        state.set_max_whole_change_bytes(self.max_whole_change_bytes);
        let saved = self.disk.put_snapshot(meta, &bytes).await;
        saved.map_err(|error| storage_error(ErrorVerb::Write, error))?;
        failpoint("after a snapshot is installed");
        {
            let mut data = self.lock();
            (data.state, data.applied) = (state, meta.last_log_id);
            data.membership = meta.last_membership.clone();
            data.snapshot_len = bytes.len();
            data.drop_outdated_follower_view();
        }
        self.publish();
        Ok(())
    }

    async fn get_current_snapshot(&mut self) -> Result<Option<Snapshot<RaftTypes>>, StorageError> {
        let snapshot = self.disk.read_snapshot().await;
        let snapshot = snapshot.map_err(|error| storage_error(ErrorVerb::Read, error))?;
        Ok(snapshot.map(|(meta, bytes)| Snapshot { meta, snapshot: Box::new(Cursor::new(bytes)) }))
    }
}
