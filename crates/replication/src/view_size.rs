//! The memory that the objects of a view take up, and would take up after a change.
//!
//! The figures are estimates that depend on the objects alone, so all heads have the same figure at the same
//! version. Tombstones are not counted: their number and their names are limited.

use crate::change::Command;
use crate::heap_size::{HeapSize, allocation_bytes};
use crate::view::{ExportFields, Object, ObjectKey, VersionedObject, View};
use std::collections::BTreeMap;

/// Memory of an object besides its name and its exports: its part of the nodes of three maps.
const OBJECT_BYTES: usize = 400;
/// Memory of an export besides its name and its fields: its part of the nodes of a map.
const EXPORT_BYTES: usize = 100;
/// Number of times that the name of an object is in a view.
const NAME_COPIES: usize = 3;

fn named_bytes(name: &str) -> usize {
    OBJECT_BYTES + NAME_COPIES * allocation_bytes(name.len())
}

fn export_bytes(name: &str, fields: &ExportFields) -> usize {
    EXPORT_BYTES + allocation_bytes(name.len()) + fields.heap_bytes()
}

fn tenant_bytes(name: &str, exports: &BTreeMap<String, ExportFields>) -> usize {
    let exports = exports.iter().map(|(export, fields)| export_bytes(export, fields));
    named_bytes(name) + exports.sum::<usize>()
}

fn object_bytes(object: &VersionedObject) -> usize {
    match (&object.key, &object.object) {
        (ObjectKey::Tenant(name), Some(Object::Tenant(exports))) => tenant_bytes(name, exports),
        (ObjectKey::Backend(name), Some(_)) => named_bytes(name),
        (ObjectKey::Rules, Some(Object::Rules(rules))) => OBJECT_BYTES + rules.heap_bytes(),
        _ => 0,
    }
}

impl View {
    /// The memory that an object of this view takes up, in bytes; 0 if there is none under this key.
    pub(crate) fn bytes_of(&self, key: &ObjectKey) -> usize {
        match key {
            ObjectKey::Tenant(name) => {
                self.tenants.get(name).map_or(0, |tenant| tenant_bytes(name, &tenant.exports))
            }
            ObjectKey::Backend(name) => self.bans.get(name).map_or(0, |_| named_bytes(name)),
            ObjectKey::Rules => OBJECT_BYTES + self.rules.heap_bytes(),
        }
    }

    /// The memory that a command would add to the objects of this view, in bytes; 0 if it adds none.
    pub fn growth_by(&self, command: &Command) -> usize {
        match command {
            Command::PutTenant { tenant, exports } => {
                let key = ObjectKey::Tenant(tenant.clone());
                tenant_bytes(tenant, exports).saturating_sub(self.bytes_of(&key))
            }
            Command::PutExport { tenant, export, fields } => self.growth_by_export(tenant, export, fields),
            Command::Ban { backend, banned: true } if !self.bans.contains_key(backend) => {
                named_bytes(backend)
            }
            Command::Restore(objects) => objects.iter().map(object_bytes).sum(),
            _ => 0,
        }
    }

    fn growth_by_export(&self, tenant: &str, export: &str, fields: &ExportFields) -> usize {
        let added = export_bytes(export, fields);
        let Some(tenant) = self.tenants.get(tenant) else { return named_bytes(tenant) + added };
        let replaced = tenant.exports.get(export).map_or(0, |fields| export_bytes(export, fields));
        added.saturating_sub(replaced)
    }
}
