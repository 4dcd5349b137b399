//! The replicated state machine, which applies changes.
//!
//! Every voter applies the same changes in the same order and so reaches the same state; nothing here may
//! depend on a head's own settings, clock or random numbers. The texts of outcomes are part of the state, as
//! recent outcomes are stored in it.

pub use crate::change::{Change, ChangeOutcome, Command};
use crate::outcomes::{EncodedChange, RememberedOutcomes};
use crate::view::{ExportFields, Object, ObjectKey, VersionedObject, View, VoterRules};
use serde::{Deserialize, Serialize};
use std::collections::BTreeMap;

/// Maximum number of tenants.
pub const MAX_TENANTS: usize = 10_000;
/// Maximum number of exports, over all tenants.
pub const MAX_EXPORTS: usize = 20_000;
/// Maximum number of backends that are banned at all heads.
pub const MAX_BANS: usize = 4096;
/// Maximum number of voters.
pub const MAX_VOTERS: u8 = 7;
/// Range that operators can set for the time without a response after which a voter is declared dead, in
/// milliseconds: 1 second to 7 days.
pub const DEAD_AFTER_RANGE_MS: (u64, u64) = (1000, 7 * 86_400_000);
/// Maximum length of a name, in bytes.
pub const MAX_NAME_BYTES: usize = 256;
/// Maximum number of heads that are barred from voting, and of stores that are declared dead.
const MAX_RULE_ENTRIES: usize = 256;

/// The replicated state: the view that heads read, and the outcomes of recent changes.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct ReplicatedState {
    /// Tenants, bans and voter rules, as heads read them.
    pub view: View,
    /// Outcomes of recent changes.
    outcomes: RememberedOutcomes,
}

impl ReplicatedState {
    /// Creates a state from a view, without remembered outcomes.
    pub fn from_view(view: View) -> ReplicatedState {
        ReplicatedState { view, ..ReplicatedState::default() }
    }

    /// Applies one change. A retry, recognized by its idempotency key, gets the first outcome and is not
    /// applied again.
    pub fn apply(&mut self, change: &Change) -> ChangeOutcome {
        let Ok(encoded) = EncodedChange::new(change) else {
            return ChangeOutcome::Conflict("the change cannot be encoded".into());
        };
        // A client retries a change when the first response is lost. Applying it twice would repeat its
        // effect, or report a conflict with itself.
        if let Some(outcome) = self.outcomes.of_retry(&change.key, &encoded) {
            return outcome;
        }
        let outcome = self.execute(change).unwrap_or_else(|rejected| rejected);
        self.outcomes.remember(&change.key, encoded, outcome.clone());
        outcome
    }

    /// The remembered outcomes.
    pub fn outcomes(&self) -> &RememberedOutcomes {
        &self.outcomes
    }

    /// Sets the limit on the bytes of recent changes that are kept whole. It decides nothing, so heads may
    /// have different limits.
    pub fn set_max_whole_change_bytes(&mut self, max_bytes: usize) {
        self.outcomes.set_max_whole_bytes(max_bytes);
    }

    /// Whether another tenant has an export of this name. Export names are unique over all tenants, as
    /// clients attach to an export by its name alone.
    fn has_export_elsewhere(&self, export: &str, tenant: &str) -> bool {
        let mut others = self.view.tenants.iter().filter(|(name, _)| *name != tenant);
        others.any(|(_, tenant)| tenant.exports.contains_key(export))
    }

    /// Executes a change. Both sides of the result are outcomes; `Err` means that the state is unchanged.
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

    /// The change of one object that a command makes.
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
                let (min, max) = DEAD_AFTER_RANGE_MS;
                if !(min..=max).contains(after) {
                    return Err(ChangeOutcome::Conflict(format!(
                        "lost-after is {min} to {max} milliseconds"
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
        // Bounds the list. The entries dropped belong to stores that were removed from the group long ago.
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

    /// Restores a backup, into an empty state only, as it must not undo changes that were committed since.
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

    /// Checks that a tenant may have an export of this name.
    fn check_export_name(&self, tenant: &str, export: &str) -> Result<(), ChangeOutcome> {
        check_name(export)?;
        if self.has_export_elsewhere(export, tenant) {
            return Err(ChangeOutcome::Conflict(format!("there is an export {export} already")));
        }
        Ok(())
    }

    /// Checks the limits on tenants and exports, which bound the memory that the state takes in each head,
    /// for a tenant that gets `additional` exports.
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

/// The effect of a command on one object.
struct ObjectChange {
    key: ObjectKey,
    /// The new object; `None` if the object is removed.
    object: Option<Object>,
    /// Whether the object, or the export in it, did not exist before.
    created: bool,
}

impl ObjectChange {
    fn of_tenant(name: &str, exports: Option<BTreeMap<String, ExportFields>>, created: bool) -> ObjectChange {
        ObjectChange { key: ObjectKey::Tenant(name.to_owned()), object: exports.map(Object::Tenant), created }
    }
}

impl Command {
    /// The tenant that the command changes, if any.
    fn tenant(&self) -> Option<&str> {
        match self {
            Command::PutTenant { tenant, .. } | Command::PutExport { tenant, .. } => Some(tenant),
            Command::DeleteTenant { tenant } | Command::DeleteExport { tenant, .. } => Some(tenant),
            _ => None,
        }
    }
}

/// Checks the name of a tenant, an export, a backend or a head.
fn check_name(name: &str) -> Result<(), ChangeOutcome> {
    let is_valid = !name.is_empty() && name.len() <= MAX_NAME_BYTES && !name.chars().any(char::is_control);
    if is_valid {
        Ok(())
    } else {
        Err(ChangeOutcome::Conflict(format!("a name is 1 to {MAX_NAME_BYTES} bytes of text")))
    }
}
