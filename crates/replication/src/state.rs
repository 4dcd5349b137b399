//! The replicated state, and what each change does to it.
//!
//! Every voter applies the same changes in the same order and so has the same state; nothing here may depend on a head's
//! own settings, clock or random numbers. The order of the variants and fields of [`Command`], [`Change`] and
//! [`ChangeOutcome`] is part of the log's format.

use crate::store::StoreId;
use crate::view::{ExportFields, Object, ObjectKey, VersionedObject, View, VoterRules};
use serde::{Deserialize, Serialize};
use std::collections::{BTreeMap, VecDeque};

/// Outcomes that are remembered for changes that arrive again, at most; the oldest are dropped first.
pub const MAX_REMEMBERED_OUTCOMES: usize = 4096;
/// The most tenants.
pub const MAX_TENANTS: usize = 10_000;
/// The most exports, of all tenants together.
pub const MAX_EXPORTS: usize = 20_000;
/// The most backends that are banned at all heads.
pub const MAX_BANS: usize = 4096;
/// The most voters.
pub const MAX_VOTERS: u8 = 7;
/// Shortest and longest silence after which a voter is declared dead, in milliseconds.
pub const DEAD_AFTER_RANGE_MS: (u64, u64) = (1000, 7 * 86_400_000);
/// The longest name, in bytes.
pub const MAX_NAME_BYTES: usize = 256;
/// The most heads that are barred from voting, and the most stores that are declared dead.
const MAX_RULE_ENTRIES: usize = 256;

/// What a change does.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum Command {
    /// Put a tenant with exactly these exports.
    PutTenant {
        /// Its name.
        tenant: String,
        /// Its exports.
        exports: BTreeMap<String, ExportFields>,
    },
    /// Put one export of a tenant; the tenant is created if there is none.
    PutExport {
        /// The tenant.
        tenant: String,
        /// The export's name.
        export: String,
        /// Its settings.
        fields: ExportFields,
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
    /// Ban a backend at all heads, or lift the ban.
    Ban {
        /// Its name.
        backend: String,
        /// Whether it is banned from now on.
        banned: bool,
    },
    /// Set how many heads vote.
    SetVoters(u8),
    /// Set after how long a silent voter is declared dead, in milliseconds.
    SetDeadAfter(u64),
    /// Set whether a head, by its name, may be a voter.
    AllowVoter {
        /// Its name.
        head: String,
        /// Whether it may.
        allowed: bool,
    },
    /// Declare a voter's store dead: it is replaced at once.
    DeclareDead(StoreId),
    /// Restore a backup into an empty state.
    Restore(Vec<VersionedObject>),
}

/// A change: a command with its idempotency key and its precondition.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Change {
    /// Idempotency key: the same change sent again has the same key, and gets the first outcome.
    pub key: String,
    /// Compare-and-set: the version that the tenant must have, 0 for no such tenant.
    pub expected_version: Option<u64>,
    /// The command.
    pub command: Command,
}

/// The outcome of a change.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum ChangeOutcome {
    /// It was carried out.
    Done {
        /// The version of the state since then.
        version: u64,
        /// Whether the object did not exist before.
        created: bool,
    },
    /// There is no object of that name; the text names it.
    Missing(String),
    /// It conflicts with the state or a limit; the text says why.
    Conflict(String),
    /// Compare-and-set: the tenant has this version, 0 for no such tenant.
    Stale(u64),
    /// The key was used for another change.
    Reused,
}

/// The replicated state: what heads read, and the outcomes of recent changes.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct ReplicatedState {
    /// What heads read of it.
    pub view: View,
    /// Recent changes with their outcomes, by idempotency key.
    outcomes: BTreeMap<String, (Change, ChangeOutcome)>,
    /// Keys of `answers`, the oldest first.
    outcome_order: VecDeque<String>,
}

impl ReplicatedState {
    /// A state that begins with the view of another, without its remembered outcomes.
    pub fn from_view(view: View) -> ReplicatedState {
        ReplicatedState { view, ..ReplicatedState::default() }
    }

    /// Applies one change. A change with a known key is not applied again.
    pub fn apply(&mut self, change: Change) -> ChangeOutcome {
        if let Some((first, outcome)) = self.outcomes.get(&change.key) {
            // Guards against a retry whose first answer did not arrive: it must neither happen twice nor be reported
            // as a conflict with itself.
            return if *first == change { outcome.clone() } else { ChangeOutcome::Reused };
        }
        let outcome = self.execute(&change).unwrap_or_else(|rejected| rejected);
        self.outcome_order.push_back(change.key.clone());
        self.outcomes.insert(change.key.clone(), (change, outcome.clone()));
        while self.outcome_order.len() > MAX_REMEMBERED_OUTCOMES {
            if let Some(oldest) = self.outcome_order.pop_front() {
                self.outcomes.remove(&oldest);
            }
        }
        outcome
    }

    /// The remembered changes with their outcomes, by idempotency key.
    pub fn remembered_outcomes(&self) -> &BTreeMap<String, (Change, ChangeOutcome)> {
        &self.outcomes
    }

    /// The keys of the remembered outcomes, the oldest first.
    pub fn outcome_order(&self) -> &VecDeque<String> {
        &self.outcome_order
    }

    /// Whether another tenant has an export of this name. Export names are unique over all tenants: clients attach by
    /// them.
    fn has_export_elsewhere(&self, export: &str, tenant: &str) -> bool {
        let mut others = self.view.tenants.iter().filter(|(name, _)| *name != tenant);
        others.any(|(_, tenant)| tenant.exports.contains_key(export))
    }

    /// Carries out a change. Both sides are outcomes; an error is one that leaves the state as it is.
    fn execute(&mut self, change: &Change) -> Result<ChangeOutcome, ChangeOutcome> {
        if let Command::Restore(objects) = &change.command {
            return self.restore(objects);
        }
        let tenant = change.command.tenant();
        if let Some(tenant) = tenant {
            check_name(tenant)?;
        }
        let tenant_version =
            tenant.and_then(|tenant| self.view.tenants.get(tenant)).map_or(0, |tenant| tenant.version);
        if change.expected_version.is_some_and(|expected| expected != tenant_version) {
            return Err(ChangeOutcome::Stale(tenant_version));
        }
        let ObjectChange { key, object, created } = self.object_change(&change.command)?;
        let version = self.view.version + 1;
        self.view.put(VersionedObject { version, key, object });
        Ok(ChangeOutcome::Done { version, created })
    }

    /// What a command does to which object.
    fn object_change(&self, command: &Command) -> Result<ObjectChange, ChangeOutcome> {
        match command {
            Command::PutTenant { tenant, exports } => self.put_tenant(tenant, exports),
            Command::PutExport { tenant, export, fields } => self.put_export(tenant, export, fields),
            Command::DeleteTenant { tenant } => self.delete_tenant(tenant),
            Command::DeleteExport { tenant, export } => self.delete_export(tenant, export),
            Command::Ban { backend, banned } => self.ban(backend, *banned),
            _ => {
                let rules = self.updated_rules(command)?;
                Ok(ObjectChange { key: ObjectKey::Rules, object: Some(Object::Rules(rules)), created: false })
            }
        }
    }

    fn put_tenant(
        &self,
        name: &str,
        exports: &BTreeMap<String, ExportFields>,
    ) -> Result<ObjectChange, ChangeOutcome> {
        exports.keys().try_for_each(|export| self.check_export_name(name, export))?;
        let tenant = self.view.tenants.get(name);
        let previous = tenant.map_or(0, |tenant| tenant.exports.len());
        self.check_capacity(name, exports.len().saturating_sub(previous))?;
        Ok(ObjectChange::of_tenant(name, Some(exports.clone()), tenant.is_none()))
    }

    fn put_export(
        &self,
        tenant: &str,
        export: &str,
        fields: &ExportFields,
    ) -> Result<ObjectChange, ChangeOutcome> {
        self.check_export_name(tenant, export)?;
        let mut exports = self.exports(tenant).unwrap_or_default();
        self.check_capacity(tenant, usize::from(!exports.contains_key(export)))?;
        let created = exports.insert(export.to_owned(), fields.clone()).is_none();
        Ok(ObjectChange::of_tenant(tenant, Some(exports), created))
    }

    fn delete_tenant(&self, name: &str) -> Result<ObjectChange, ChangeOutcome> {
        if !self.view.tenants.contains_key(name) {
            return Err(ChangeOutcome::Missing(format!("no tenant {name}")));
        }
        Ok(ObjectChange::of_tenant(name, None, false))
    }

    fn delete_export(&self, tenant: &str, export: &str) -> Result<ObjectChange, ChangeOutcome> {
        let missing = || ChangeOutcome::Missing(format!("no export {export} of tenant {tenant}"));
        let mut exports = self.exports(tenant).ok_or_else(missing)?;
        exports.remove(export).ok_or_else(missing)?;
        Ok(ObjectChange::of_tenant(tenant, Some(exports), false))
    }

    fn ban(&self, backend: &str, banned: bool) -> Result<ObjectChange, ChangeOutcome> {
        check_name(backend)?;
        let was_banned = self.view.bans.contains_key(backend);
        if !banned && !was_banned {
            return Err(ChangeOutcome::Missing(format!("no ban of {backend}")));
        }
        if banned && !was_banned && self.view.bans.len() >= MAX_BANS {
            return Err(ChangeOutcome::Conflict("the fleet holds no more bans".into()));
        }
        let key = ObjectKey::Backend(backend.to_owned());
        Ok(ObjectChange { key, object: banned.then_some(Object::Ban), created: banned && !was_banned })
    }

    fn exports(&self, tenant: &str) -> Option<BTreeMap<String, ExportFields>> {
        self.view.tenants.get(tenant).map(|tenant| tenant.exports.clone())
    }

    fn updated_rules(&self, command: &Command) -> Result<VoterRules, ChangeOutcome> {
        let mut rules = self.view.rules.clone();
        match command {
            Command::SetVoters(voters) => {
                if voters.is_multiple_of(2) || *voters > MAX_VOTERS {
                    return Err(ChangeOutcome::Conflict(format!(
                        "an odd number keeps, {MAX_VOTERS} at the most"
                    )));
                }
                rules.voters = *voters;
            }
            Command::SetDeadAfter(after) => {
                let (least, most) = DEAD_AFTER_RANGE_MS;
                if !(least..=most).contains(after) {
                    return Err(ChangeOutcome::Conflict(format!(
                        "lost-after is {least} to {most} milliseconds"
                    )));
                }
                rules.dead_after_ms = *after;
            }
            Command::AllowVoter { head, allowed: true } => drop(rules.barred_heads.remove(head)),
            Command::AllowVoter { head, allowed: false } => {
                check_name(head)?;
                rules.barred_heads.insert(head.clone());
            }
            Command::DeclareDead(store) => drop(rules.declared_dead.insert(*store)),
            _ => {}
        }
        // Guards against unbounded lists: stores that were removed long ago no longer matter.
        while rules.declared_dead.len() > MAX_RULE_ENTRIES {
            rules.declared_dead.pop_first();
        }
        if rules.barred_heads.len() > MAX_RULE_ENTRIES {
            return Err(ChangeOutcome::Conflict(format!(
                "at most {MAX_RULE_ENTRIES} heads are kept from keeping"
            )));
        }
        Ok(rules)
    }

    /// Restores a backup, into an empty state only: it must not undo what was committed since.
    fn restore(&mut self, objects: &[VersionedObject]) -> Result<ChangeOutcome, ChangeOutcome> {
        if self.view.version > 0 {
            return Err(ChangeOutcome::Conflict(format!(
                "the fleet stands at version {} already",
                self.view.version
            )));
        }
        let mut version = 0;
        for object in objects.iter().filter(|object| object.object.is_some()) {
            version += 1;
            self.view.put(VersionedObject { version, ..object.clone() });
        }
        Ok(ChangeOutcome::Done { version, created: true })
    }

    /// Whether a tenant may have an export of this name.
    fn check_export_name(&self, tenant: &str, export: &str) -> Result<(), ChangeOutcome> {
        check_name(export)?;
        if self.has_export_elsewhere(export, tenant) {
            return Err(ChangeOutcome::Conflict(format!("there is an export {export} already")));
        }
        Ok(())
    }

    /// Whether a tenant may have `additional` exports more. Guards against a state that outgrows the heads' memory.
    fn check_capacity(&self, tenant: &str, additional: usize) -> Result<(), ChangeOutcome> {
        let tenants = &self.view.tenants;
        let exports: usize = tenants.values().map(|tenant| tenant.exports.len()).sum();
        let has_too_many_exports = exports + additional > MAX_EXPORTS;
        let has_too_many_tenants = !tenants.contains_key(tenant) && tenants.len() >= MAX_TENANTS;
        if has_too_many_exports || has_too_many_tenants {
            return Err(ChangeOutcome::Conflict("the fleet holds no more tenants or exports".into()));
        }
        Ok(())
    }
}

/// What a command does to one object.
struct ObjectChange {
    key: ObjectKey,
    /// The object; `None` if it is removed.
    object: Option<Object>,
    /// The object, or the export in it, did not exist before.
    created: bool,
}

impl ObjectChange {
    fn of_tenant(name: &str, exports: Option<BTreeMap<String, ExportFields>>, created: bool) -> ObjectChange {
        ObjectChange { key: ObjectKey::Tenant(name.to_owned()), object: exports.map(Object::Tenant), created }
    }
}

impl Command {
    /// The tenant that it changes, if it changes one.
    fn tenant(&self) -> Option<&str> {
        match self {
            Command::PutTenant { tenant, .. } | Command::PutExport { tenant, .. } => Some(tenant),
            Command::DeleteTenant { tenant } | Command::DeleteExport { tenant, .. } => Some(tenant),
            _ => None,
        }
    }
}

/// Whether a name of a tenant, an export, a backend or a head is acceptable.
fn check_name(name: &str) -> Result<(), ChangeOutcome> {
    let is_valid = !name.is_empty() && name.len() <= MAX_NAME_BYTES && !name.chars().any(char::is_control);
    if is_valid {
        Ok(())
    } else {
        Err(ChangeOutcome::Conflict(format!("a name is 1 to {MAX_NAME_BYTES} bytes of text")))
    }
}
