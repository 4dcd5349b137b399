//! The kinds of faults that are injected into a simulated cluster.

/// A kind of fault. Its name in lower case stands in the tables of the command `store`.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub enum Fault {
    /// A process is killed; what it wrote stays.
    Kill,
    /// A machine loses power: each write that was not synced is there, or not, or torn.
    Power,
    /// A head that is down starts again.
    Start,
    /// Two heads do not reach each other.
    Cut,
    /// One head reaches nobody.
    Isolate,
    /// One head can send and receives nothing.
    Deaf,
    /// Whatever goes to or from one head waits.
    Stall,
    /// The network is well again.
    Heal,
    /// A copy of a disk is made while it is in use.
    Copy,
    /// A machine is lost with its disk, and comes back empty.
    Lose,
    /// The copy takes the place of the disk.
    Restore,
}

/// A fault to be injected.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct FaultInjection {
    /// Its kind.
    pub fault: Fault,
    /// The head.
    pub head: usize,
    /// Another head, for faults between two.
    pub other: usize,
}
