//! The view of the replicated state that heads read (tenants, bans and voter rules, each with the version of
//! its last change), and its transfer between heads in resumable chunks.
//!
//! Every change has a version of its own and changes one object, so a head at version `s` needs the objects
//! whose last change is later than `s`, in the order of their versions. A removed object is kept as a
//! tombstone with its version. The number of tombstones is limited and the oldest are dropped first; a head
//! that is behind the [floor](View::floor), the last dropped tombstone, needs a transfer of everything.
//!
//! A [`View`] belongs to one head. It does not depend on that head's settings and does not check whether the
//! head can serve an export.

use crate::store::StoreId;
use serde::{Deserialize, Serialize};
use std::collections::{BTreeMap, BTreeSet};
use thiserror::Error;

/// Maximum number of tombstones that are kept for heads that are behind.
pub const MAX_TOMBSTONES: usize = 4096;

/// The settings of an export, as keys and values of the operator's file, without `tenant` and `name`. Each
/// head checks them against its own settings.
pub type ExportFields = BTreeMap<String, String>;

/// A tenant with its exports.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct Tenant {
    /// Version of the state at its last change; compare-and-set compares it.
    pub version: u64,
    /// Its exports by name.
    pub exports: BTreeMap<String, ExportFields>,
}

/// The operators' rules on which heads vote.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct VoterRules {
    /// Number of voters wanted; 0 to keep the current number.
    pub voters: u8,
    /// Time without a response after which a voter is declared dead and replaced, in milliseconds; 0 for the
    /// default.
    pub dead_after_ms: u64,
    /// Names of heads that must not vote.
    pub barred_heads: BTreeSet<String>,
    /// Stores that operators have declared dead.
    pub declared_dead: BTreeSet<StoreId>,
}

/// Key of an object.
#[derive(Clone, Debug, PartialEq, Eq, PartialOrd, Ord, Serialize, Deserialize)]
pub enum ObjectKey {
    /// A tenant.
    Tenant(String),
    /// A backend that is banned at all heads.
    Backend(String),
    /// The voter rules, of which there is one set.
    Rules,
}

/// An object of the replicated state.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum Object {
    /// A tenant, as its exports by name.
    Tenant(BTreeMap<String, ExportFields>),
    /// A ban of a backend.
    Ban,
    /// The voter rules.
    Rules(VoterRules),
}

/// An object, or its tombstone, with the version of its last change.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct VersionedObject {
    /// The version of the state at its last change.
    pub version: u64,
    /// Its key.
    pub key: ObjectKey,
    /// The object; `None` for a tombstone.
    pub object: Option<Object>,
}

impl VersionedObject {
    /// Its approximate size, in bytes.
    fn size(&self) -> usize {
        let name = match &self.key {
            ObjectKey::Tenant(name) | ObjectKey::Backend(name) => name.len(),
            ObjectKey::Rules => 0,
        };
        let pairs = |fields: &ExportFields| {
            fields.iter().map(|(key, value)| key.len() + value.len() + 4).sum::<usize>()
        };
        let object: usize = match &self.object {
            Some(Object::Tenant(exports)) => {
                exports.iter().map(|(name, fields)| name.len() + 4 + pairs(fields)).sum()
            }
            Some(Object::Rules(rules)) => 16 * (rules.barred_heads.len() + rules.declared_dead.len()),
            _ => 0,
        };
        16 + name + object
    }
}

/// A part of the objects that a head lacks.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Chunk {
    /// The objects, in the order of their versions.
    pub objects: Vec<VersionedObject>,
    /// With these objects, the follower has everything up to this version.
    pub up_to: u64,
    /// The version of the serving head; the transfer is complete when `up_to` reaches it.
    pub version: u64,
    /// This chunk is the first of a transfer of everything; the follower drops what it has received before.
    pub restart: bool,
}

impl Chunk {
    /// Its approximate size, in bytes.
    pub fn size(&self) -> usize {
        self.objects.iter().map(VersionedObject::size).sum()
    }
}

/// The view of the replicated state that heads read.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
#[serde(from = "StoredView")]
pub struct View {
    /// The version of the state: the number of changes that were applied.
    pub version: u64,
    /// The tenants by name.
    pub tenants: BTreeMap<String, Tenant>,
    /// Backends that are banned at all heads, each with the version of its ban.
    pub bans: BTreeMap<String, u64>,
    /// The voter rules.
    pub rules: VoterRules,
    /// Key of every object and tombstone, by the version of its last change.
    by_version: BTreeMap<u64, ObjectKey>,
    /// Version of the last change of every object and tombstone, by its key.
    versions: BTreeMap<ObjectKey, u64>,
    tombstones: usize,
    /// Version of the last tombstone that was dropped, 0 for none.
    floor: u64,
    /// Estimate of the memory that the objects take up.
    #[serde(skip)]
    object_bytes: usize,
}

/// The stored fields of a [`View`].
#[derive(Deserialize)]
struct StoredView {
    version: u64,
    tenants: BTreeMap<String, Tenant>,
    bans: BTreeMap<String, u64>,
    rules: VoterRules,
    by_version: BTreeMap<u64, ObjectKey>,
    versions: BTreeMap<ObjectKey, u64>,
    tombstones: usize,
    floor: u64,
}

impl From<StoredView> for View {
    fn from(stored: StoredView) -> View {
        let StoredView { version, tenants, bans, rules, by_version, versions, tombstones, floor } = stored;
        let mut view =
            View { version, tenants, bans, rules, by_version, versions, tombstones, floor, object_bytes: 0 };
        view.object_bytes = view.versions.keys().map(|key| view.bytes_of(key)).sum();
        view
    }
}

impl View {
    /// Inserts an object or a tombstone; its version must be higher than all others in the view.
    pub fn put(&mut self, object: VersionedObject) {
        let VersionedObject { version, key, object } = object;
        let changed = key.clone();
        if let Some(previous) = self.versions.insert(key.clone(), version) {
            self.object_bytes -= self.bytes_of(&key);
            self.by_version.remove(&previous);
            self.tombstones -= usize::from(!self.contains(&key));
        }
        self.by_version.insert(version, key.clone());
        self.tombstones += usize::from(object.is_none());
        match (key, object) {
            (ObjectKey::Tenant(name), Some(Object::Tenant(exports))) => {
                self.tenants.insert(name, Tenant { version, exports });
            }
            (ObjectKey::Backend(name), Some(_)) => drop(self.bans.insert(name, version)),
            (ObjectKey::Rules, Some(Object::Rules(rules))) => self.rules = rules,
            (ObjectKey::Tenant(name), _) => drop(self.tenants.remove(&name)),
            (ObjectKey::Backend(name), None) => drop(self.bans.remove(&name)),
            (ObjectKey::Rules, _) => self.rules = VoterRules::default(),
        }
        self.object_bytes += self.bytes_of(&changed);
        self.version = self.version.max(version);
        self.prune_tombstones();
    }

    fn contains(&self, key: &ObjectKey) -> bool {
        match key {
            ObjectKey::Tenant(name) => self.tenants.contains_key(name),
            ObjectKey::Backend(name) => self.bans.contains_key(name),
            ObjectKey::Rules => true,
        }
    }

    /// Drops the oldest tombstones over the limit, so that the view does not grow as tenants are created and
    /// deleted.
    fn prune_tombstones(&mut self) {
        while self.tombstones > MAX_TOMBSTONES {
            let oldest = self.by_version.iter().find(|(_, key)| !self.contains(key));
            let Some((version, key)) = oldest.map(|(version, key)| (*version, key.clone())) else {
                return;
            };
            self.by_version.remove(&version);
            self.versions.remove(&key);
            (self.floor, self.tombstones) = (version, self.tombstones - 1);
        }
    }

    fn object(&self, version: u64, key: &ObjectKey) -> VersionedObject {
        let object = match key {
            ObjectKey::Tenant(tenant) => self.tenants.get(tenant).map(|t| Object::Tenant(t.exports.clone())),
            ObjectKey::Backend(backend) => self.bans.get(backend).map(|_| Object::Ban),
            ObjectKey::Rules => Some(Object::Rules(self.rules.clone())),
        };
        VersionedObject { version, key: key.clone(), object }
    }

    /// The next chunk for a head that has everything up to `since`: about `max_bytes` bytes, and at least one
    /// object if it lacks any. `first_version` is the version at which its transfer in progress began, 0 for
    /// none.
    pub fn chunk(&self, since: u64, first_version: u64, max_bytes: usize) -> Chunk {
        // The head can lack a removal only if a tombstone later than both versions was dropped.
        let restart = self.floor > since.max(first_version);
        let since = if restart { 0 } else { since };
        let (mut objects, mut size) = (Vec::new(), 0);
        for (version, key) in self.by_version.range(since + 1..) {
            let object = self.object(*version, key);
            size += object.size();
            if size > max_bytes && !objects.is_empty() {
                let up_to = objects.last().map_or(since, |object: &VersionedObject| object.version);
                return Chunk { objects, up_to, version: self.version, restart };
            }
            objects.push(object);
        }
        Chunk { objects, up_to: self.version, version: self.version, restart }
    }

    /// Estimate of the memory that the objects take up, without tombstones, in bytes.
    pub fn object_bytes(&self) -> usize {
        self.object_bytes
    }

    /// The number of tombstones kept.
    pub fn tombstones(&self) -> usize {
        self.tombstones
    }

    /// The version up to which tombstones were dropped. A head that is behind it needs a transfer of
    /// everything.
    pub fn floor(&self) -> u64 {
        self.floor
    }

    /// All objects and tombstones in the order of their versions.
    pub fn objects(&self) -> impl Iterator<Item = VersionedObject> + '_ {
        self.by_version.iter().map(|(version, key)| self.object(*version, key))
    }

    /// Whether two views have the same version and objects, regardless of their tombstones.
    pub fn same_contents(&self, other: &View) -> bool {
        let objects =
            |view: &View| (view.version, view.tenants.clone(), view.bans.clone(), view.rules.clone());
        objects(self) == objects(other)
    }
}

/// The upstream has a lower version than its follower, or than an upstream that served an earlier chunk of
/// the transfer.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Error)]
#[error("its version is older than one already received")]
pub struct UpstreamBehind;

/// A transfer in progress. Its chunks are collected here and applied to the view together, so that readers
/// never see a mixture of versions.
#[derive(Clone, Debug, Default)]
pub struct Transfer {
    objects: Vec<VersionedObject>,
    /// Everything up to this version has been received.
    up_to: u64,
    /// The version of the head that served the first chunk; 0 if no transfer is in progress.
    first_version: u64,
    /// The highest version of an upstream during this transfer.
    newest_version: u64,
    /// The transfer replaces the view instead of updating it.
    restart: bool,
}

impl Transfer {
    /// The arguments `since` and `first_version` of [`View::chunk`] for the next request.
    pub fn next_request(&self, view: &View) -> (u64, u64) {
        if self.first_version > 0 { (self.up_to, self.first_version) } else { (view.version, 0) }
    }

    /// Adds a chunk received for [`next_request`](Transfer::next_request), and applies the transfer to the
    /// view if it is complete. Returns whether the view has changed.
    ///
    /// # Errors
    /// The upstream is behind. Its chunk is dropped, and so is a transfer that an upstream with a later
    /// version began.
    pub fn accept(&mut self, view: &mut View, chunk: Chunk) -> Result<bool, UpstreamBehind> {
        if chunk.version < view.version {
            // Readers must not see the version decrease.
            return Err(UpstreamBehind);
        }
        if chunk.version < self.newest_version {
            // An older upstream does not have the later changes of objects, so its chunks cannot complete a
            // transfer that a newer one began.
            *self = Transfer::default();
            return Err(UpstreamBehind);
        }
        if chunk.restart {
            *self = Transfer { restart: true, ..Transfer::default() };
        }
        if self.first_version == 0 {
            (self.first_version, self.up_to) = (chunk.version.max(1), view.version);
        }
        (self.up_to, self.newest_version) = (chunk.up_to, chunk.version);
        self.objects.extend(chunk.objects);
        if self.up_to < chunk.version {
            return Ok(false);
        }
        let Transfer { objects, restart, first_version, .. } = std::mem::take(self);
        if restart {
            *view = View { floor: first_version, ..View::default() };
        }
        let has_changed = restart || view.version != chunk.version;
        // Of an object that was received twice, the later version is applied last.
        objects.into_iter().for_each(|object| view.put(object));
        view.version = chunk.version;
        Ok(has_changed)
    }
}
