//! Changes of the replicated state: their commands and their outcomes.
//!
//! The order of the variants and fields of [`Command`], [`Change`] and [`ChangeOutcome`] is part of the log's format.

use crate::store::StoreId;
use crate::view::{ExportFields, VersionedObject};
use serde::{Deserialize, Serialize};
use std::collections::BTreeMap;

/// The operation of a change.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum Command {
    /// Create a tenant, or replace all its exports by these.
    PutTenant {
        /// The tenant's name.
        tenant: String,
        /// The exports' settings by name.
        exports: BTreeMap<String, ExportFields>,
    },
    /// Create or replace one export of a tenant; the tenant is created if it does not exist.
    PutExport {
        /// The tenant's name.
        tenant: String,
        /// The export's name.
        export: String,
        /// The export's settings.
        fields: ExportFields,
    },
    /// Delete a tenant with all its exports.
    DeleteTenant {
        /// The tenant's name.
        tenant: String,
    },
    /// Delete one export.
    DeleteExport {
        /// The tenant's name.
        tenant: String,
        /// The export's name.
        export: String,
    },
    /// Ban a backend at all heads, or lift the ban.
    Ban {
        /// The backend's name.
        backend: String,
        /// `true` bans the backend, `false` lifts the ban.
        banned: bool,
    },
    /// Set the number of voters.
    SetVoters(u8),
    /// Set the time without a response after which a voter is declared dead, in milliseconds.
    SetDeadAfter(u64),
    /// Set whether a head may be a voter.
    AllowVoter {
        /// The head's name.
        head: String,
        /// Whether it may be a voter.
        allowed: bool,
    },
    /// Declare a voter's store dead, so that the voter is replaced without waiting for a timeout.
    DeclareDead(StoreId),
    /// Restore a backup into an empty state.
    Restore(Vec<VersionedObject>),
}

/// A change: a command with its idempotency key and its precondition.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Change {
    /// Idempotency key: a retry has the same key and gets the outcome of the first attempt.
    pub key: String,
    /// Compare-and-set: the version that the tenant must have, or 0 if it must not exist; `None` for no
    /// condition.
    pub expected_version: Option<u64>,
    /// The command.
    pub command: Command,
}

/// The outcome of a change.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum ChangeOutcome {
    /// The change was applied.
    Done {
        /// The version of the state after the change.
        version: u64,
        /// Whether the object did not exist before.
        created: bool,
    },
    /// The object does not exist; the text names it.
    Missing(String),
    /// The change is invalid or conflicts with the state or a limit; the text says why.
    Conflict(String),
    /// Compare-and-set failed: the tenant has this version, or 0 if it does not exist.
    Stale(u64),
    /// The idempotency key was used for another change before.
    Reused,
}
