//! The file descriptors of the program: what connections hold of those that it may, and what is reserved for
//! discovery.
//!
//! [`Descriptors`] only counts. Whoever opens a connection asks [`Descriptors::available`] first, and keeps a
//! [`DescriptorPermit`] for as long as the connection is open.

use std::cell::Cell;
use std::rc::Rc;

/// Descriptors that only discovery, operators and the program itself may use: a poll and the one that it takes over
/// from, a connection accepted to be closed, some of operators, a file that is read.
const RESERVED: usize = 10;

/// The count of descriptors, shared by all that open connections.
#[derive(Clone, Debug)]
pub struct Descriptors(Rc<Counts>);

#[derive(Debug)]
struct Counts {
    /// The most that the program may have open.
    limit: usize,
    /// What the program has open beside connections, as last counted.
    others: Cell<usize>,
    /// What connections have open.
    permits: Cell<usize>,
}

/// A descriptor that is in use, until it is dropped.
#[derive(Debug)]
pub struct DescriptorPermit(Descriptors);

impl Descriptors {
    /// A count with a limit, none of which is in use.
    pub fn new(limit: usize) -> Descriptors {
        Descriptors(Rc::new(Counts { limit, others: Cell::new(0), permits: Cell::new(0) }))
    }

    /// Counts what the program has open now beside connections.
    pub fn count_others(&self) {
        let open = std::fs::read_dir("/proc/self/fd").map_or(0, Iterator::count);
        self.0.others.set(open.saturating_sub(self.0.permits.get()));
    }

    /// The number that connections of clients and backends may still use.
    pub fn available(&self) -> usize {
        let in_use = RESERVED + self.0.others.get() + self.0.permits.get();
        self.0.limit.saturating_sub(in_use)
    }

    /// Counts one more, whatever is left: for discovery, and for a connection that is open already.
    pub fn acquire(&self) -> DescriptorPermit {
        self.0.permits.set(self.0.permits.get() + 1);
        DescriptorPermit(self.clone())
    }
}

impl Drop for DescriptorPermit {
    fn drop(&mut self) {
        let permits = &self.0.0.permits;
        permits.set(permits.get().saturating_sub(1));
    }
}
