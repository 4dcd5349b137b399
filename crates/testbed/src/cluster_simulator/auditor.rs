//! Checks what must hold under all faults: what was acknowledged is there, a term has one leader, versions do not go
//! back, and two heads at one version have the same state.

use sedgerun_replication::view::View;
use std::collections::hash_map::DefaultHasher;
use std::collections::{BTreeMap, BTreeSet};
use std::hash::{Hash, Hasher};

/// The auditor of one run.
#[derive(Debug, Default)]
pub struct Auditor {
    /// Exports that were acknowledged, each with its version.
    acknowledged: BTreeMap<String, u64>,
    /// The same in the order of their acknowledgements.
    order: Vec<String>,
    newest_version: u64,
    /// The store that leads in each term.
    leaders: BTreeMap<u64, u64>,
    /// A digest of the state at each version.
    states: BTreeMap<u64, u64>,
    /// The version that each incarnation of a store was last seen at.
    last_versions: BTreeMap<(u64, u64), u64>,
    /// Calls that were rejected or not answered in time.
    pub rejected: u64,
    /// Rules that broke, in words.
    pub broken: Vec<String>,
    hasher: DefaultHasher,
}

fn digest(view: &View) -> u64 {
    let mut hasher = DefaultHasher::new();
    for (name, tenant) in &view.tenants {
        (name, tenant.version, &tenant.exports).hash(&mut hasher);
    }
    view.bans.hash(&mut hasher);
    hasher.finish()
}

fn has_export(view: &View, export: &str) -> bool {
    view.tenants.values().any(|tenant| tenant.exports.contains_key(export))
}

impl Auditor {
    /// A rule broke.
    pub fn broke(&mut self, what: String) {
        self.broken.push(what);
    }

    /// Whether no rule has broken.
    pub fn is_well(&self) -> bool {
        self.broken.is_empty()
    }

    /// How many changes were acknowledged.
    pub fn acknowledged(&self) -> u64 {
        self.order.len() as u64
    }

    /// Digest of all that was acknowledged.
    pub fn digest(&self) -> u64 {
        self.hasher.clone().finish()
    }

    /// A client's change was acknowledged.
    pub fn acknowledge(&mut self, export: &str, version: u64) {
        (export, version).hash(&mut self.hasher);
        if self.acknowledged.insert(export.to_owned(), version).is_some() {
            self.broke(format!("{export} was acknowledged twice"));
        }
        self.order.push(export.to_owned());
        self.newest_version = self.newest_version.max(version);
    }

    /// What a settled read that begins now has to see: the newest version, and how many exports.
    pub fn acknowledged_now(&self) -> (u64, usize) {
        (self.newest_version, self.order.len())
    }

    /// A settled read that began when this was acknowledged has seen a state.
    pub fn settled_read(&mut self, newest: u64, exports: usize, view: &View) {
        if view.version < newest {
            self.broke(format!(
                "a settled read saw version {} after version {newest} was acknowledged",
                view.version
            ));
        }
        if let Some(lost) = self.order[..exports].iter().find(|export| !has_export(view, export)) {
            let what = format!("{lost} was acknowledged, and is not there at version {}", view.version);
            self.broke(what);
        }
        self.observe_state(view);
    }

    /// A head has this state.
    pub fn observe_state(&mut self, view: &View) {
        let digest = digest(view);
        if *self.states.entry(view.version).or_insert(digest) != digest {
            self.broke(format!("two heads hold different things at version {}", view.version));
        }
    }

    /// A store, in one of its incarnations, is at a version.
    pub fn observe_version(&mut self, store: u64, incarnation: u64, version: u64) {
        let last = self.last_versions.entry((store, incarnation)).or_insert(version);
        if *last > version {
            let what = format!("store {store:016x} went back from version {last} to {version}");
            self.broke(what);
        } else {
            *last = version;
        }
    }

    /// A store leads in a term, by its own account.
    pub fn observe_leader(&mut self, term: u64, store: u64) {
        let known = *self.leaders.entry(term).or_insert(store);
        if known != store {
            self.broke(format!("term {term} has two leaders: {known:016x} and {store:016x}"));
        }
    }

    /// The first acknowledged export that a head lacks.
    pub fn missing(&self, view: &View) -> Option<String> {
        let present: BTreeSet<&String> =
            view.tenants.values().flat_map(|tenant| tenant.exports.keys()).collect();
        self.order.iter().find(|export| !present.contains(export)).cloned()
    }
}
