//! Tenants and what they export over 9P: which volume, on which plan, at which shard. Reads exports from settings and
//! keeps the registry of those in force.

use sedgerun_config::Pairs;
use sedgerun_policy::{Idempotency, Settings};
use std::collections::BTreeMap;
use std::rc::Rc;

/// The largest value of 16 bits: numbers of shards and heads stay within it.
const MAX_U16: f64 = 65_535.0;
/// The largest size in bytes that an export may name.
const MAX_BYTES: f64 = 1e9;
/// The fewest bytes of a large read, and the bytes that count as one unit, where the export does not say.
const DEFAULT_LARGE_BYTES: f64 = 32_768.0;
const DEFAULT_UNIT_BYTES: f64 = 16_384.0;

/// The names that an export may use, and the settings behind them.
#[derive(Clone, Copy, Debug)]
pub struct Catalogue<'a> {
    /// Names of the classes, in order.
    pub classes: &'a [String],
    /// Names of the plans, in order.
    pub plans: &'a [String],
    /// The settings of the controller.
    pub settings: &'a Settings,
}

/// A tree that clients attach to by its name.
#[derive(Clone, Debug, PartialEq)]
pub struct Export {
    /// Its name.
    pub name: String,
    /// The tree's name at the backends; empty where none is named.
    pub tree: String,
    /// The volume that its requests count for.
    pub volume: u64,
    /// Position of the volume's plan.
    pub plan: usize,
    /// The shard that holds the tree.
    pub shard: u32,
    /// Heads through which the volume is used.
    pub heads: f64,
    /// Position of the class of reads, and of other requests that change nothing.
    pub read_class: usize,
    /// Position of the class of changes, which never run twice.
    pub write_class: usize,
    /// Position of the class of large reads.
    pub large_class: usize,
    /// The fewest bytes of a large read.
    pub large_bytes: u32,
    /// Bytes that count as one unit.
    pub unit_bytes: u32,
    /// The most units of a request.
    pub max_units: f64,
}

impl Export {
    /// The keys of an export.
    pub const KEYS: [&str; 12] = [
        "tenant",
        "name",
        "tree",
        "volume",
        "plan",
        "shard",
        "heads",
        "readClass",
        "writeClass",
        "largeClass",
        "largeBytes",
        "unitBytes",
    ];

    /// Reads an export and the tenant it belongs to from the keys under a prefix; faults stay with the pairs.
    pub(crate) fn read(pairs: &Pairs, prefix: &str, catalogue: Catalogue<'_>) -> (String, Export) {
        let reader = ExportReader { pairs, prefix, catalogue };
        let volume = reader.volume();
        let plan = reader.position("plan", catalogue.plans).unwrap_or(0);
        let write = reader.write_class().unwrap_or(0);
        let export = Export {
            name: reader.text("name").to_owned(),
            tree: pairs.text(&reader.key("tree")).unwrap_or_default().to_owned(),
            volume,
            plan,
            shard: reader.count("shard", 0.0, MAX_U16, None),
            heads: f64::from(reader.count("heads", 1.0, MAX_U16, Some(1.0))),
            read_class: reader.class("readClass").unwrap_or(0),
            write_class: write,
            large_class: reader.class("largeClass").unwrap_or(0),
            large_bytes: reader.count("largeBytes", 1.0, MAX_BYTES, Some(DEFAULT_LARGE_BYTES)),
            unit_bytes: reader.count("unitBytes", 1.0, MAX_BYTES, Some(DEFAULT_UNIT_BYTES)),
            max_units: catalogue.settings.max_units.max(1.0),
        };
        (reader.text("tenant").to_owned(), export)
    }

    /// The units that a request of so many bytes counts for.
    pub fn units(&self, bytes: u32) -> f64 {
        f64::from(bytes.div_ceil(self.unit_bytes).max(1)).min(self.max_units)
    }
}

/// Reads one export from its keys; faults stay with the pairs.
#[derive(Clone, Copy)]
struct ExportReader<'a> {
    pairs: &'a Pairs,
    /// What stands before the export's own keys.
    prefix: &'a str,
    catalogue: Catalogue<'a>,
}

impl<'a> ExportReader<'a> {
    fn key(&self, name: &str) -> String {
        format!("{}{name}", self.prefix)
    }

    fn fault(&self, name: &str, what: &str) {
        let key = self.key(name);
        self.pairs.fault(&key, format!("setting {key} {what}"));
    }

    fn text(&self, name: &str) -> &'a str {
        self.pairs.required(&self.key(name))
    }

    fn count(&self, name: &str, min: f64, max: f64, default: Option<f64>) -> u32 {
        self.pairs.count(&self.key(name), min, max, default)
    }

    /// The position of the named value among the names that it may have.
    fn position(&self, name: &str, names: &[String]) -> Option<usize> {
        let value = self.text(name);
        let position = names.iter().position(|known| known == value);
        if position.is_none() && !value.is_empty() {
            self.fault(name, &format!("is unknown: {value}"));
        }
        position
    }

    fn class(&self, name: &str) -> Option<usize> {
        self.position(name, self.catalogue.classes)
    }

    /// The class of changes. Guards against one whose requests may run twice.
    fn write_class(&self) -> Option<usize> {
        let position = self.class("writeClass")?;
        let class = self.catalogue.settings.classes.get(position);
        if class.is_some_and(|class| class.idempotency != Idempotency::NotIdempotent) {
            self.fault("writeClass", "names a class that may run twice");
        }
        Some(position)
    }

    fn volume(&self) -> u64 {
        let text = self.text("volume");
        u64::from_str_radix(text, 16).unwrap_or_else(|_| {
            // An empty one is missing, which has been reported already.
            if !text.is_empty() {
                self.fault("volume", &format!("is not hexadecimal: {text}"));
            }
            0
        })
    }
}

/// An export cannot be added: names of exports are unique over all tenants.
#[derive(Clone, Debug, PartialEq, Eq, thiserror::Error)]
#[error("there is an export {name} already")]
pub struct DuplicateExport {
    /// The name that is in use.
    pub name: String,
}

/// Memory of a tenant besides its name, in bytes.
const TENANT_BYTES: usize = 160;
/// Memory of an export besides its names, in bytes.
const EXPORT_BYTES: usize = 320;

/// The tenants and their exports.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct TenantRegistry {
    tenants: BTreeMap<String, BTreeMap<String, Rc<Export>>>,
}

impl TenantRegistry {
    /// Adds an export, and its tenant where that is new. Fails where any tenant has an export of this name.
    pub fn add(&mut self, tenant: &str, export: Export) -> Result<(), DuplicateExport> {
        if self.export(&export.name).is_some() {
            return Err(DuplicateExport { name: export.name });
        }
        let exports = self.tenants.entry(tenant.to_owned()).or_default();
        exports.insert(export.name.clone(), Rc::new(export));
        Ok(())
    }

    /// The tenants by name, each with its exports.
    pub fn all(&self) -> &BTreeMap<String, BTreeMap<String, Rc<Export>>> {
        &self.tenants
    }

    /// Estimate of the memory that the tenants take up, in bytes.
    pub fn memory_bytes(&self) -> usize {
        let exports = |exports: &BTreeMap<String, Rc<Export>>| -> usize {
            exports.values().map(|export| EXPORT_BYTES + 2 * export.name.len() + export.tree.len()).sum()
        };
        self.tenants.iter().map(|(name, all)| TENANT_BYTES + name.len() + exports(all)).sum()
    }

    /// Adds a tenant without exports, where there is no such tenant.
    pub fn add_tenant(&mut self, tenant: &str) {
        self.tenants.entry(tenant.to_owned()).or_default();
    }

    /// Removes an export; whether there was one.
    pub fn remove_export(&mut self, tenant: &str, export: &str) -> bool {
        self.tenants.get_mut(tenant).is_some_and(|exports| exports.remove(export).is_some())
    }

    /// Removes a tenant with all its exports; whether there was one.
    pub fn remove_tenant(&mut self, tenant: &str) -> bool {
        self.tenants.remove(tenant).is_some()
    }

    /// The export of a name.
    pub fn export(&self, name: &str) -> Option<Rc<Export>> {
        self.tenants.values().find_map(|exports| exports.get(name)).cloned()
    }
}
