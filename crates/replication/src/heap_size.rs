//! Estimates of the memory that values take up on the heap.
//!
//! The figures follow the layout of the standard library's collections and the rounding of the system's
//! allocator. They are the same on every head, whatever the allocator does, so that limits and metrics in
//! bytes can be compared.

use crate::change::{Change, ChangeOutcome, Command};
use crate::view::{Object, ObjectKey, VersionedObject, VoterRules};
use std::collections::{BTreeMap, BTreeSet};
use std::mem::size_of;

/// Header of an allocation, in bytes.
const ALLOCATION_HEADER_BYTES: usize = 8;
/// Allocations are rounded up to a multiple of this, in bytes.
const ALLOCATION_STEP_BYTES: usize = 16;
/// Smallest allocation, in bytes.
const MIN_ALLOCATION_BYTES: usize = 32;
/// Entries that a node of a `BTreeMap` has room for.
const NODE_CAPACITY: usize = 11;
/// Entries in a node of a `BTreeMap` that was filled in ascending order.
const NODE_FILL: usize = 6;
/// Bytes of a node of a `BTreeMap` besides its entries.
const NODE_HEADER_BYTES: usize = 16;

/// Memory that an allocation of `bytes` bytes takes up, in bytes.
pub const fn allocation_bytes(bytes: usize) -> usize {
    if bytes == 0 {
        return 0;
    }
    let rounded = (bytes + ALLOCATION_HEADER_BYTES).next_multiple_of(ALLOCATION_STEP_BYTES);
    if rounded < MIN_ALLOCATION_BYTES { MIN_ALLOCATION_BYTES } else { rounded }
}

/// Memory that the nodes of a `BTreeMap` with `entries` entries of `entry_bytes` bytes take up, in bytes.
pub const fn node_bytes(entries: usize, entry_bytes: usize) -> usize {
    let nodes = match entries {
        0 => 0,
        1..=NODE_CAPACITY => 1,
        _ => entries.div_ceil(NODE_FILL),
    };
    nodes * allocation_bytes(NODE_CAPACITY * entry_bytes + NODE_HEADER_BYTES)
}

/// A value that owns memory on the heap.
pub trait HeapSize {
    /// Estimate of the memory that the value owns on the heap, in bytes, without the value itself.
    fn heap_bytes(&self) -> usize;
}

impl HeapSize for u64 {
    fn heap_bytes(&self) -> usize {
        0
    }
}

impl HeapSize for String {
    fn heap_bytes(&self) -> usize {
        allocation_bytes(self.len())
    }
}

impl<T: HeapSize> HeapSize for Vec<T> {
    fn heap_bytes(&self) -> usize {
        let owned: usize = self.iter().map(HeapSize::heap_bytes).sum();
        allocation_bytes(self.capacity() * size_of::<T>()) + owned
    }
}

impl<K: HeapSize, V: HeapSize> HeapSize for BTreeMap<K, V> {
    fn heap_bytes(&self) -> usize {
        let owned: usize = self.iter().map(|(key, value)| key.heap_bytes() + value.heap_bytes()).sum();
        node_bytes(self.len(), size_of::<(K, V)>()) + owned
    }
}

impl<K: HeapSize> HeapSize for BTreeSet<K> {
    fn heap_bytes(&self) -> usize {
        let owned: usize = self.iter().map(HeapSize::heap_bytes).sum();
        node_bytes(self.len(), size_of::<K>()) + owned
    }
}

impl HeapSize for VoterRules {
    fn heap_bytes(&self) -> usize {
        self.barred_heads.heap_bytes() + self.declared_dead.heap_bytes()
    }
}

impl HeapSize for ObjectKey {
    fn heap_bytes(&self) -> usize {
        match self {
            ObjectKey::Tenant(name) | ObjectKey::Backend(name) => name.heap_bytes(),
            ObjectKey::Rules => 0,
        }
    }
}

impl HeapSize for VersionedObject {
    fn heap_bytes(&self) -> usize {
        let object = match &self.object {
            Some(Object::Tenant(exports)) => exports.heap_bytes(),
            Some(Object::Rules(rules)) => rules.heap_bytes(),
            Some(Object::Ban) | None => 0,
        };
        self.key.heap_bytes() + object
    }
}

impl HeapSize for Command {
    fn heap_bytes(&self) -> usize {
        match self {
            Command::PutTenant { tenant, exports } => tenant.heap_bytes() + exports.heap_bytes(),
            Command::PutExport { tenant, export, fields } => {
                tenant.heap_bytes() + export.heap_bytes() + fields.heap_bytes()
            }
            Command::DeleteTenant { tenant: name }
            | Command::Ban { backend: name, .. }
            | Command::AllowVoter { head: name, .. } => name.heap_bytes(),
            Command::DeleteExport { tenant, export } => tenant.heap_bytes() + export.heap_bytes(),
            Command::SetVoters(_) | Command::SetDeadAfter(_) | Command::DeclareDead(_) => 0,
            Command::Restore(objects) => objects.heap_bytes(),
        }
    }
}

impl HeapSize for Change {
    fn heap_bytes(&self) -> usize {
        self.key.heap_bytes() + self.command.heap_bytes()
    }
}

impl HeapSize for ChangeOutcome {
    fn heap_bytes(&self) -> usize {
        match self {
            ChangeOutcome::Missing(text) | ChangeOutcome::Conflict(text) => text.heap_bytes(),
            ChangeOutcome::Done { .. } | ChangeOutcome::Stale(_) | ChangeOutcome::Reused => 0,
        }
    }
}
