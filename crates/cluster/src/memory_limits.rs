//! The memory that the parts of the replicated state may take up on a head.

/// Bytes of a megabyte of `limits.memory_mb`.
const MEGABYTE: usize = 1 << 20;

/// Limits on the memory of a head, in bytes, which follow from `limits.memory_mb`.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct MemoryLimits {
    /// Log entries in memory. Earlier ones are on the disk alone.
    pub log_bytes: usize,
    /// Recent changes that are kept whole for retries; of earlier ones only the digest is kept.
    pub whole_change_bytes: usize,
    /// Changes that wait on the leader to be committed.
    pub pending_bytes: usize,
    /// Log entries that no majority has committed; the leader accepts no change beyond them.
    pub uncommitted_bytes: usize,
    /// Tenants, bans and rules, once. A head has them up to twice while a follower receives all of them, and what
    /// clients need of them once more.
    pub state_bytes: usize,
}

impl MemoryLimits {
    /// The limits of a head that may use so many megabytes.
    pub const fn of_memory(memory_mb: usize) -> MemoryLimits {
        let memory = memory_mb * MEGABYTE;
        MemoryLimits {
            log_bytes: memory / 32,
            whole_change_bytes: memory / 64,
            pending_bytes: memory / 16,
            uncommitted_bytes: memory / 64,
            state_bytes: memory / 6,
        }
    }
}
