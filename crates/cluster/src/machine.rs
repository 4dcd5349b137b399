//! The state as the consensus library sees it: it applies settled entries, makes snapshots and takes them over.
//! The state lies in memory; on disk lie the last snapshot and the log behind it.

use super::disk::Disk;
use super::log::fault;
use super::types::{Entry, LogId, Membership, SnapshotMeta, StorageError, Types};
use openraft::storage::RaftStateMachine;
use openraft::{EntryPayload, ErrorVerb, OptionalSend, RaftSnapshotBuilder, Snapshot};
use sedgerun_replication::record::{self, RecordType};
use sedgerun_replication::state::{ChangeOutcome, ReplicatedState};
use sedgerun_replication::view::View;
use std::collections::BTreeMap;
use std::io::Cursor;
use std::sync::{Arc, Mutex, MutexGuard, PoisonError};
use tokio::sync::watch;

/// The state, shared by all who read it.
#[derive(Clone)]
pub struct Machine {
    disk: Disk,
    inner: Arc<Mutex<Inner>>,
    version: Arc<watch::Sender<u64>>,
}

struct Inner {
    /// What this head applies as a voter.
    state: ReplicatedState,
    /// What it received as a follower, where that is newer.
    followed: View,
    applied: Option<LogId>,
    membership: Membership,
    snapshot: Option<(SnapshotMeta, Arc<Vec<u8>>)>,
}

impl Inner {
    /// The newer of the two: both are of one history.
    fn view(&self) -> &View {
        if self.followed.version > self.state.view.version { &self.followed } else { &self.state.view }
    }

    /// The state of a snapshot, or an empty one, and on top of it the entries up to a position.
    fn replay(
        snapshot: Option<(SnapshotMeta, Vec<u8>)>,
        log: &BTreeMap<u64, Entry>,
        upto: u64,
    ) -> Result<Inner, String> {
        let mut inner = Inner {
            state: ReplicatedState::default(),
            followed: View::default(),
            applied: None,
            membership: Membership::default(),
            snapshot: None,
        };
        if let Some((head, bytes)) = snapshot {
            inner.state = decode_state(&bytes)?;
            (inner.applied, inner.membership) = (head.last_log_id, head.last_membership.clone());
            inner.snapshot = Some((head, Arc::new(bytes)));
        }
        let from = inner.applied.map_or(0, |applied| applied.index + 1);
        if from <= upto {
            log.range(from..=upto).for_each(|(_, entry)| drop(inner.apply(entry.clone())));
        }
        Ok(inner)
    }

    fn apply(&mut self, entry: Entry) -> Vec<ChangeOutcome> {
        self.applied = Some(entry.log_id);
        match entry.payload {
            EntryPayload::Normal(changes) => {
                changes.into_iter().map(|change| self.state.apply(change)).collect()
            }
            EntryPayload::Membership(membership) => {
                self.membership = Membership::new(Some(entry.log_id), membership);
                Vec::new()
            }
            EntryPayload::Blank => Vec::new(),
        }
    }
}

impl Machine {
    /// The state of a snapshot, or an empty one, and on top of it the entries that were known to be settled.
    pub fn new(
        disk: Disk,
        snapshot: Option<(SnapshotMeta, Vec<u8>)>,
        log: &BTreeMap<u64, Entry>,
        committed: Option<LogId>,
        followed: View,
    ) -> Result<Machine, String> {
        // Done here, so that the front has them before it serves.
        let mut inner = Inner::replay(snapshot, log, committed.map_or(0, |at| at.index))?;
        inner.followed = followed;
        let version = Arc::new(watch::Sender::new(inner.view().version));
        Ok(Machine { disk, inner: Arc::new(Mutex::new(inner)), version })
    }

    fn lock(&self) -> MutexGuard<'_, Inner> {
        self.inner.lock().unwrap_or_else(PoisonError::into_inner)
    }

    /// Reads what this head holds; `read` must be short.
    pub fn read<T>(&self, read: impl FnOnce(&View) -> T) -> T {
        read(self.lock().view())
    }

    /// The version that this head has applied as a voter.
    pub fn applied(&self) -> u64 {
        self.lock().state.view.version
    }

    /// Applies an update that this head receives as a follower.
    pub fn update_followed<T>(&self, update: impl FnOnce(&mut View) -> T) -> T {
        let updated = {
            let mut inner = self.lock();
            // What it has applied as a voter may be newer; then the update goes on top of that.
            if inner.followed.version < inner.state.view.version {
                inner.followed = inner.state.view.clone();
            }
            update(&mut inner.followed)
        };
        self.publish();
        updated
    }

    /// What this head has received as a follower, where that is newer than what it has applied.
    pub fn followed(&self) -> Option<View> {
        let inner = self.lock();
        (inner.followed.version > inner.state.view.version).then(|| inner.followed.clone())
    }

    /// The version of that; 0 for none.
    pub fn followed_version(&self) -> u64 {
        self.lock().followed.version
    }

    /// What was received as a follower is not needed beside a newer state of its own.
    fn forget_followed(inner: &mut Inner) {
        if inner.followed.version > 0 && inner.followed.version <= inner.state.view.version {
            inner.followed = View::default();
        }
    }

    /// The membership, as last applied.
    pub fn membership(&self) -> Membership {
        self.lock().membership.clone()
    }

    /// The version of the state, as it changes.
    pub fn version(&self) -> watch::Receiver<u64> {
        self.version.subscribe()
    }

    fn publish(&self) {
        let version = self.lock().view().version;
        self.version.send_if_modified(|known| std::mem::replace(known, version) != version);
    }
}

/// The state of a snapshot, or an empty one, and on top of it the entries up to a position.
pub fn replay(
    snapshot: Option<(SnapshotMeta, Vec<u8>)>,
    log: &BTreeMap<u64, Entry>,
    upto: u64,
) -> Result<ReplicatedState, String> {
    Ok(Inner::replay(snapshot, log, upto)?.state)
}

fn decode_state(bytes: &[u8]) -> Result<ReplicatedState, String> {
    record::open(RecordType::Snapshot, bytes).map_err(|corrupt| format!("state of a snapshot: {corrupt}"))
}

impl RaftSnapshotBuilder<Types> for Machine {
    async fn build_snapshot(&mut self) -> Result<Snapshot<Types>, StorageError> {
        let (state, applied, membership) = {
            let inner = self.lock();
            (inner.state.clone(), inner.applied, inner.membership.clone())
        };
        let bytes = record::seal(RecordType::Snapshot, &state);
        let bytes = bytes.map_err(|error| fault(ErrorVerb::Write, &error.to_string()))?;
        let at = applied.map_or(0, |applied| applied.index);
        let term = applied.map_or(0, |applied| applied.leader_id.term);
        let meta = SnapshotMeta {
            last_log_id: applied,
            last_membership: membership,
            snapshot_id: format!("{term}-{at}"),
        };
        let saved = self.disk.snapshot(&meta, &bytes).await;
        saved.map_err(|what| fault(ErrorVerb::Write, &what))?;
        self.lock().snapshot = Some((meta.clone(), Arc::new(bytes.clone())));
        Ok(Snapshot { meta, snapshot: Box::new(Cursor::new(bytes)) })
    }
}

impl RaftStateMachine<Types> for Machine {
    type SnapshotBuilder = Machine;

    async fn applied_state(&mut self) -> Result<(Option<LogId>, Membership), StorageError> {
        let inner = self.lock();
        Ok((inner.applied, inner.membership.clone()))
    }

    async fn apply<I>(&mut self, entries: I) -> Result<Vec<Vec<ChangeOutcome>>, StorageError>
    where
        I: IntoIterator<Item = Entry> + OptionalSend,
        I::IntoIter: OptionalSend,
    {
        let answers = {
            let mut inner = self.lock();
            let answers = entries.into_iter().map(|entry| inner.apply(entry)).collect();
            Machine::forget_followed(&mut inner);
            answers
        };
        self.publish();
        Ok(answers)
    }

    async fn get_snapshot_builder(&mut self) -> Machine {
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
        let state = decode_state(&bytes).map_err(|what| fault(ErrorVerb::Read, &what))?;
        let saved = self.disk.snapshot(meta, &bytes).await;
        saved.map_err(|what| fault(ErrorVerb::Write, &what))?;
        super::disk::point("after a snapshot is taken over");
        {
            let mut inner = self.lock();
            (inner.state, inner.applied) = (state, meta.last_log_id);
            inner.membership = meta.last_membership.clone();
            inner.snapshot = Some((meta.clone(), Arc::new(bytes)));
            Machine::forget_followed(&mut inner);
        }
        self.publish();
        Ok(())
    }

    async fn get_current_snapshot(&mut self) -> Result<Option<Snapshot<Types>>, StorageError> {
        let snapshot = self.lock().snapshot.clone();
        Ok(snapshot.map(|(meta, bytes)| {
            let bytes = Box::new(Cursor::new(bytes.as_ref().clone()));
            Snapshot { meta, snapshot: bytes }
        }))
    }
}
