//! What heads read of the state: tenants, bans and rules, each with the version at which it last changed; and its
//! transfer from head to head, in chunks that can be resumed.
//!
//! Every change has a version of its own and touches one object, so a head at version `s` needs the objects whose last
//! version is past `s`, in the order of their versions. A removed object stays as a tombstone with its version; the
//! oldest tombstones are dropped first, and a head that is behind the [floor](View::floor) starts over.
//!
//! A [`View`] belongs to one head and knows nothing of its settings: whether an export can be served there is not
//! checked here.

use crate::store::StoreId;
use serde::{Deserialize, Serialize};
use std::collections::{BTreeMap, BTreeSet};
use thiserror::Error;

/// Tombstones that are kept for heads that are behind, at most.
pub const MAX_TOMBSTONES: usize = 4096;

/// The settings of an export, as key and value in the terms of the operator's file, without `tenant` and `name`. Each
/// head checks them against its own settings.
pub type ExportFields = BTreeMap<String, String>;

/// A tenant with its exports.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct Tenant {
    /// Version of the state at its last change; what compare-and-set compares.
    pub version: u64,
    /// Its exports by name.
    pub exports: BTreeMap<String, ExportFields>,
}

/// The operators' rules for the voters.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct VoterRules {
    /// How many heads are to vote; 0 for as many as there are.
    pub voters: u8,
    /// Silence after which a voter is declared dead and replaced, in milliseconds; 0 for the default.
    pub dead_after_ms: u64,
    /// Heads that must not vote, by name.
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
    /// The rules, of which there is one set.
    Rules,
}

/// An object of the replicated state.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum Object {
    /// A tenant with its exports.
    Tenant(BTreeMap<String, ExportFields>),
    /// A ban.
    Ban,
    /// The rules.
    Rules(VoterRules),
}

/// An object, or its tombstone, with the version of its last change.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct VersionedObject {
    /// The version.
    pub version: u64,
    /// Its key.
    pub key: ObjectKey,
    /// The object; `None` if it was removed.
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

/// A part of what a head that is behind lacks.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Chunk {
    /// The objects, in the order of their versions.
    pub objects: Vec<VersionedObject>,
    /// The follower has everything up to this version once it has these.
    pub up_to: u64,
    /// The version of the head that serves it; the transfer is complete when `up_to` reaches it.
    pub version: u64,
    /// Start over: this chunk is the first of a transfer of everything.
    pub restart: bool,
}

impl Chunk {
    /// Its approximate size, in bytes.
    pub fn size(&self) -> usize {
        self.objects.iter().map(VersionedObject::size).sum()
    }
}

/// What heads read of the state.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct View {
    /// The number of changes that were carried out.
    pub version: u64,
    /// The tenants by name.
    pub tenants: BTreeMap<String, Tenant>,
    /// Backends that are banned at all heads, each with the version of its ban.
    pub bans: BTreeMap<String, u64>,
    /// The rules.
    pub rules: VoterRules,
    /// Every object and tombstone by the version of its last change.
    by_version: BTreeMap<u64, ObjectKey>,
    /// Of every object and tombstone, the version of its last change.
    versions: BTreeMap<ObjectKey, u64>,
    tombstones: usize,
    /// Tombstones up to this version were dropped.
    floor: u64,
}

impl View {
    /// Inserts an object, or its tombstone; its version must be the newest there is.
    pub fn put(&mut self, object: VersionedObject) {
        let VersionedObject { version, key, object } = object;
        if let Some(previous) = self.versions.insert(key.clone(), version) {
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

    /// Guards against unbounded growth where tenants come and go.
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

    /// What a head lacks that has everything up to `since` and began its transfer at `first_version` (0 for none): about
    /// `max_bytes` bytes of it, and at least one object.
    pub fn chunk(&self, since: u64, first_version: u64, max_bytes: usize) -> Chunk {
        // Only tombstones dropped since the transfer began are missing from it.
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

    /// How many tombstones are kept.
    pub fn tombstones(&self) -> usize {
        self.tombstones
    }

    /// The version up to which tombstones were dropped; a head that is behind it starts over.
    pub fn floor(&self) -> u64 {
        self.floor
    }

    /// All objects and tombstones in the order of their versions.
    pub fn objects(&self) -> impl Iterator<Item = VersionedObject> + '_ {
        self.by_version.iter().map(|(version, key)| self.object(*version, key))
    }

    /// Whether two views have the same contents, whatever tombstones they keep.
    pub fn same_contents(&self, other: &View) -> bool {
        let objects =
            |view: &View| (view.version, view.tenants.clone(), view.bans.clone(), view.rules.clone());
        objects(self) == objects(other)
    }
}

/// The upstream is behind its follower, or behind another upstream that has answered before.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Error)]
#[error("it has gone back")]
pub struct UpstreamBehind;

/// A transfer in progress: its chunks are gathered here and reach the view together, so that what is read was true at
/// some version.
#[derive(Clone, Debug, Default)]
pub struct Transfer {
    objects: Vec<VersionedObject>,
    /// Everything up to this version is gathered.
    up_to: u64,
    /// The version of the head that served the first chunk.
    first_version: u64,
    /// The highest version that any upstream had.
    newest_version: u64,
    /// The view is to be replaced, not updated.
    restart: bool,
}

impl Transfer {
    /// What to request next: `since` and `first_version` of [`View::chunk`].
    pub fn next_request(&self, view: &View) -> (u64, u64) {
        if self.first_version > 0 { (self.up_to, self.first_version) } else { (view.version, 0) }
    }

    /// Accepts a chunk received in answer to [`next_request`](Transfer::next_request). Returns whether the view has
    /// changed.
    ///
    /// # Errors
    /// The upstream is behind and cannot be followed.
    pub fn accept(&mut self, view: &mut View, chunk: Chunk) -> Result<bool, UpstreamBehind> {
        if chunk.version < view.version {
            // Guards against versions that go back, as readers would see them.
            return Err(UpstreamBehind);
        }
        if chunk.version < self.newest_version {
            // Guards against a mixture: an older upstream does not know which objects have changed since.
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
        // An object that was sent twice ends up with its last version.
        objects.into_iter().for_each(|object| view.put(object));
        view.version = chunk.version;
        Ok(has_changed)
    }
}
