//! Bugs that are injected into the heads or their disks, to show that the auditor sees them.

/// A bug that the auditor has to catch.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum InjectedBug {
    /// Disks acknowledge a sync without doing it.
    LyingDisk,
    /// A wiped disk has the id of its old store.
    OldStoreId,
    /// Clients read whatever a head has as if it were settled.
    StaleRead,
}

impl InjectedBug {
    /// All there are.
    pub const ALL: [InjectedBug; 3] =
        [InjectedBug::LyingDisk, InjectedBug::OldStoreId, InjectedBug::StaleRead];

    /// The one of a name on the command line.
    pub fn named(name: &str) -> Option<InjectedBug> {
        match name {
            "lying-disk" => Some(InjectedBug::LyingDisk),
            "old-name" => Some(InjectedBug::OldStoreId),
            "stale-read" => Some(InjectedBug::StaleRead),
            _ => None,
        }
    }
}
