//! What the fleet holds, and what a change does to it. Every keeper applies the same changes in the same order
//! and so holds the same state; nothing here depends on a head's own settings, clock or chance.

use serde::{Deserialize, Serialize};
use std::collections::{BTreeMap, VecDeque};

/// Answers to changes that are kept for changes that come again; the oldest go first.
pub const MOST_ANSWERS: usize = 4096;
/// The most tenants, and the most exports of all tenants together.
pub const MOST_TENANTS: usize = 10_000;
/// See [`MOST_TENANTS`].
pub const MOST_EXPORTS: usize = 20_000;
/// The longest name, in bytes.
pub const MOST_NAME: usize = 256;

/// What an export is set up with, in the operator's file's own terms: key and value, `tenant` and `name` left out.
/// Each head checks them against its own settings.
pub type Fields = BTreeMap<String, String>;

/// A tenant: the version at which it was last changed, and its exports by name.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct Tenant {
    /// Version of the state at its last change; what compare-and-set compares.
    pub version: u64,
    /// Its exports.
    pub exports: BTreeMap<String, Fields>,
}

/// What is to be done.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum Command {
    /// Put a tenant in place, with just these exports.
    PutTenant {
        /// Its name.
        tenant: String,
        /// Its exports.
        exports: BTreeMap<String, Fields>,
    },
    /// Put one export of a tenant in place; the tenant is made where there is none.
    PutExport {
        /// The tenant.
        tenant: String,
        /// The export's name.
        export: String,
        /// What it is set up with.
        fields: Fields,
    },
    /// Delete a tenant with all its exports.
    DeleteTenant {
        /// Its name.
        tenant: String,
    },
    /// Delete one export.
    DeleteExport {
        /// The tenant.
        tenant: String,
        /// The export's name.
        export: String,
    },
}

/// A change: a command, and what it is held to.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Change {
    /// The same change brought again has the same key, and is answered as the first time.
    pub key: String,
    /// Compare-and-set: the version at which its tenant must stand, 0 for none there.
    pub expect: Option<u64>,
    /// What is to be done.
    pub command: Command,
}

/// What became of a change.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum Outcome {
    /// Done; the state has this version since, and something was put where nothing was.
    Done {
        /// The version.
        version: u64,
        /// Whether there was nothing before.
        fresh: bool,
    },
    /// There is nothing of that name.
    Missing(String),
    /// It cannot be: why.
    Conflict(String),
    /// Compare-and-set: the tenant stands at this version, 0 for none there.
    Stale(u64),
    /// The key was used for another change.
    Reused,
}

/// What the fleet holds.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct State {
    /// Counts changes that were done.
    pub version: u64,
    /// The tenants by name.
    pub tenants: BTreeMap<String, Tenant>,
    answers: BTreeMap<String, (Change, Outcome)>,
    order: VecDeque<String>,
}

impl State {
    /// Applies one change, and says what became of it. A change under a known key is not applied again.
    pub fn apply(&mut self, change: Change) -> Outcome {
        if let Some((first, outcome)) = self.answers.get(&change.key) {
            // Guards against a repeat whose first answer was lost: done twice, or told of its own doing as a
            // conflict.
            return if *first == change { outcome.clone() } else { Outcome::Reused };
        }
        let outcome = self.carry_out(&change).unwrap_or_else(|refused| refused);
        self.order.push_back(change.key.clone());
        self.answers.insert(change.key.clone(), (change, outcome.clone()));
        while self.order.len() > MOST_ANSWERS {
            if let Some(oldest) = self.order.pop_front() {
                self.answers.remove(&oldest);
            }
        }
        outcome
    }

    /// Names of exports over all tenants are one space: clients attach by them.
    fn taken(&self, export: &str, by_others_than: &str) -> Option<&str> {
        let mut others = self.tenants.iter().filter(|(name, _)| *name != by_others_than);
        others.find(|(_, tenant)| tenant.exports.contains_key(export)).map(|(name, _)| name.as_str())
    }

    fn carry_out(&mut self, change: &Change) -> Result<Outcome, Outcome> {
        let next = self.version + 1;
        let tenant = match &change.command {
            Command::PutTenant { tenant, .. } | Command::PutExport { tenant, .. } => tenant,
            Command::DeleteTenant { tenant } | Command::DeleteExport { tenant, .. } => tenant,
        };
        named(tenant)?;
        let stands = self.tenants.get(tenant).map_or(0, |tenant| tenant.version);
        if change.expect.is_some_and(|expected| expected != stands) {
            return Err(Outcome::Stale(stands));
        }
        let fresh = self.change_tenant(tenant, next, &change.command)?;
        self.version = next;
        Ok(Outcome::Done { version: next, fresh })
    }

    fn change_tenant(&mut self, name: &str, next: u64, command: &Command) -> Result<bool, Outcome> {
        match command {
            Command::PutTenant { exports, .. } => {
                exports.keys().try_for_each(|export| self.free(name, export))?;
                let had = self.tenants.get(name).map_or(0, |tenant| tenant.exports.len());
                self.room(name, exports.len().saturating_sub(had))?;
                let tenant = Tenant { version: next, exports: exports.clone() };
                Ok(self.tenants.insert(name.to_owned(), tenant).is_none())
            }
            Command::PutExport { export, fields, .. } => {
                self.free(name, export)?;
                let had = self.tenants.get(name).is_some_and(|tenant| tenant.exports.contains_key(export));
                self.room(name, usize::from(!had))?;
                let tenant = self.tenants.entry(name.to_owned()).or_default();
                tenant.version = next;
                Ok(tenant.exports.insert(export.clone(), fields.clone()).is_none())
            }
            Command::DeleteTenant { .. } => match self.tenants.remove(name) {
                Some(_) => Ok(false),
                None => Err(Outcome::Missing(format!("no tenant {name}"))),
            },
            Command::DeleteExport { export, .. } => {
                let missing = || Outcome::Missing(format!("no export {export} of tenant {name}"));
                let tenant = self.tenants.get_mut(name).ok_or_else(missing)?;
                tenant.exports.remove(export).ok_or_else(missing)?;
                tenant.version = next;
                Ok(false)
            }
        }
    }

    fn free(&self, tenant: &str, export: &str) -> Result<(), Outcome> {
        named(export)?;
        match self.taken(export, tenant) {
            Some(_) => Err(Outcome::Conflict(format!("there is an export {export} already"))),
            None => Ok(()),
        }
    }

    /// Guards against a state that outgrows the heads' memory.
    fn room(&self, tenant: &str, more: usize) -> Result<(), Outcome> {
        let exports: usize = self.tenants.values().map(|tenant| tenant.exports.len()).sum();
        let full = exports + more > MOST_EXPORTS;
        let full = full || (!self.tenants.contains_key(tenant) && self.tenants.len() >= MOST_TENANTS);
        if full {
            Err(Outcome::Conflict("the fleet holds no more tenants or exports".into()))
        } else {
            Ok(())
        }
    }
}

fn named(name: &str) -> Result<(), Outcome> {
    let fits = !name.is_empty() && name.len() <= MOST_NAME && !name.chars().any(char::is_control);
    if fits { Ok(()) } else { Err(Outcome::Conflict(format!("a name is 1 to {MOST_NAME} bytes of text"))) }
}

#[cfg(test)]
mod tests {
    use super::*;

    fn put(key: &str, tenant: &str, export: &str, shard: &str, expect: Option<u64>) -> Change {
        let fields = Fields::from([("shard".to_owned(), shard.to_owned())]);
        let (tenant, export) = (tenant.to_owned(), export.to_owned());
        Change { key: key.into(), expect, command: Command::PutExport { tenant, export, fields } }
    }

    fn delete(key: &str, tenant: &str) -> Change {
        Change { key: key.into(), expect: None, command: Command::DeleteTenant { tenant: tenant.into() } }
    }

    #[test]
    fn a_change_that_comes_again_happens_once_and_gets_the_first_answer() {
        let mut state = State::default();
        let first = state.apply(put("k1", "horvat", "press", "3", Some(0)));
        assert_eq!(first, Outcome::Done { version: 1, fresh: true });
        assert_eq!(state.apply(delete("k2", "horvat")), Outcome::Done { version: 2, fresh: false });
        // Without the key kept, the repeat would bring the deleted tenant back.
        assert_eq!(state.apply(put("k1", "horvat", "press", "3", Some(0))), first);
        assert!(state.tenants.is_empty() && state.version == 2);
        assert_eq!(state.apply(put("k1", "horvat", "press", "4", Some(0))), Outcome::Reused);
    }

    #[test]
    fn kept_answers_are_bounded() {
        let mut state = State::default();
        for i in 0..MOST_ANSWERS + 10 {
            state.apply(put(&format!("k{i}"), "horvat", "press", "3", None));
        }
        assert_eq!((state.answers.len(), state.order.len()), (MOST_ANSWERS, MOST_ANSWERS));
        assert!(!state.answers.contains_key("k9") && state.answers.contains_key("k10"));
    }

    #[test]
    fn compare_and_set_names_the_version_that_stands() {
        let mut state = State::default();
        state.apply(put("k1", "horvat", "press", "3", None));
        assert_eq!(state.apply(put("k2", "horvat", "proofs", "3", Some(0))), Outcome::Stale(1));
        assert_eq!(
            state.apply(put("k3", "horvat", "proofs", "3", Some(1))),
            Outcome::Done { version: 2, fresh: true }
        );
        assert_eq!(state.tenants["horvat"].version, 2);
    }

    #[test]
    fn what_cannot_be_done_changes_nothing() {
        let mut state = State::default();
        state.apply(put("k1", "horvat", "press", "3", None));
        let before = (state.version, state.tenants.clone());
        let taken = state.apply(put("k2", "other", "press", "3", None));
        assert!(matches!(taken, Outcome::Conflict(_)), "{taken:?}");
        assert!(matches!(state.apply(delete("k3", "nobody")), Outcome::Missing(_)));
        assert!(matches!(state.apply(put("k4", "", "x", "3", None)), Outcome::Conflict(_)));
        assert_eq!((state.version, state.tenants.clone()), before);
    }
}
