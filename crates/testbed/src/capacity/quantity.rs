//! The quantities that a member of a role is measured by.

use super::target::Budget;
use crate::scale::results::{Cost, Role, Spread};

/// All roles, in the order of the tables.
pub const ROLES: [Role; 5] = [Role::Voter, Role::Relay, Role::WholeHead, Role::HollowHead, Role::Discovery];

/// The name of a role in tables.
pub fn role_name(role: Role) -> &'static str {
    match role {
        Role::Voter => "voter",
        Role::Relay => "relay",
        Role::WholeHead => "head, whole",
        Role::HollowHead => "head, hollow",
        Role::Discovery => "discovery",
    }
}

/// What is measured.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub enum Quantity {
    /// Messages received a second.
    MessagesIn,
    /// Messages sent a second.
    MessagesOut,
    /// Payload received, bytes a second.
    BytesIn,
    /// Payload sent, bytes a second.
    BytesOut,
    /// Payload in and out together, bytes a second.
    Bytes,
    /// Processor time, percent of one core.
    Processor,
    /// Resident memory, bytes.
    Memory,
    /// Open descriptors.
    Descriptors,
}

impl Quantity {
    /// All of them, in the order of the tables.
    pub const ALL: [Quantity; 8] = [
        Quantity::MessagesIn,
        Quantity::MessagesOut,
        Quantity::BytesIn,
        Quantity::BytesOut,
        Quantity::Bytes,
        Quantity::Processor,
        Quantity::Memory,
        Quantity::Descriptors,
    ];

    /// Those that have a budget.
    pub const BUDGETED: [Quantity; 3] = [Quantity::Bytes, Quantity::Processor, Quantity::Memory];

    /// Its name and unit in tables.
    pub fn name(self) -> &'static str {
        match self {
            Quantity::MessagesIn => "messages/s in",
            Quantity::MessagesOut => "messages/s out",
            Quantity::BytesIn => "bytes/s in",
            Quantity::BytesOut => "bytes/s out",
            Quantity::Bytes => "bytes/s in and out",
            Quantity::Processor => "% of a core",
            Quantity::Memory => "memory, bytes",
            Quantity::Descriptors => "descriptors",
        }
    }

    /// The measured figure. The largest sum of both directions is bounded by the sum of the largest.
    pub fn of(self, cost: &Cost) -> Spread {
        match self {
            Quantity::MessagesIn => cost.messages_in,
            Quantity::MessagesOut => cost.messages_out,
            Quantity::BytesIn => cost.bytes_in,
            Quantity::BytesOut => cost.bytes_out,
            Quantity::Bytes => Spread {
                mean: cost.bytes_in.mean + cost.bytes_out.mean,
                most: cost.bytes_in.most + cost.bytes_out.most,
            },
            Quantity::Processor => cost.cpu_percent,
            Quantity::Memory => cost.memory_bytes,
            Quantity::Descriptors => cost.descriptors,
        }
    }

    /// Whether a hollow head's figure is an even part of its process, of which the fixed cost is a part.
    pub fn is_shared_by_hollow_heads(self) -> bool {
        matches!(self, Quantity::Processor | Quantity::Memory | Quantity::Descriptors)
    }

    /// What a budget allows of it.
    pub fn allowed(self, budget: &Budget) -> Option<f64> {
        match self {
            Quantity::Bytes => Some(budget.bytes_per_second),
            Quantity::Processor => Some(budget.cpu_percent),
            Quantity::Memory => Some(budget.memory_bytes),
            _ => None,
        }
    }
}
