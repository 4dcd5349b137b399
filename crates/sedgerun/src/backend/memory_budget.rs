//! The memory that bodies of requests and responses may take up, as reservations against one budget.
//!
//! A [`MemoryBudget`] is shared by all who read bodies of one kind; each body holds a [`MemoryReservation`], which
//! gives its bytes back when it is dropped. Nothing here waits: a body that does not fit is refused at once.

use std::cell::Cell;
use std::io;
use std::rc::Rc;
use thiserror::Error;

/// The bytes that bodies may take up, all together and one by one: those of responses (a response that the
/// settings call small can be large: backends send 400 KB on some days), and those of requests over 64 KiB.
#[derive(Clone, Debug)]
pub struct MemoryBudget {
    available_bytes: Rc<Cell<usize>>,
    max_body_bytes: usize,
}

impl MemoryBudget {
    /// A budget of `total_bytes`, of which one body may take `max_body_bytes`.
    pub fn new(total_bytes: usize, max_body_bytes: usize) -> MemoryBudget {
        MemoryBudget { available_bytes: Rc::new(Cell::new(total_bytes)), max_body_bytes }
    }

    /// The most that one body may take, in bytes.
    pub fn max_body_bytes(&self) -> usize {
        self.max_body_bytes
    }

    /// Reserves memory for one body; `None` where that many bytes are not free now, or are more than one body may
    /// take.
    pub fn reserve(&self, bytes: usize) -> Option<MemoryReservation> {
        let mut reservation = self.empty_reservation();
        reservation.grow(bytes as u64).ok().map(|()| reservation)
    }

    /// A reservation of no bytes yet, for a body whose length is not known.
    pub(super) fn empty_reservation(&self) -> MemoryReservation {
        MemoryReservation { budget: self.clone(), bytes: 0 }
    }
}

/// What a body takes up of a [`MemoryBudget`], until it is handed on or dropped.
#[derive(Debug)]
pub struct MemoryReservation {
    budget: MemoryBudget,
    bytes: usize,
}

impl MemoryReservation {
    /// The bytes reserved.
    pub fn bytes(&self) -> usize {
        self.bytes
    }

    /// Reserves so many bytes more.
    ///
    /// # Errors
    ///
    /// An [`io::Error`] of the kind `InvalidData`: with a [`BodyTooLarge`] inside where the body would be larger than
    /// one may be, and with another cause where the bytes are not free now. The reservation stays as it was.
    pub fn grow(&mut self, bytes: u64) -> io::Result<()> {
        let bytes = usize::try_from(bytes).unwrap_or(usize::MAX);
        let most = self.budget.max_body_bytes;
        if bytes > most - self.bytes {
            let size = (self.bytes as u64).saturating_add(bytes as u64);
            return Err(io::Error::new(
                io::ErrorKind::InvalidData,
                BodyTooLarge { bytes: size, max_bytes: most },
            ));
        }
        let available = self.budget.available_bytes.get().checked_sub(bytes);
        let available =
            available.ok_or_else(|| io::Error::new(io::ErrorKind::InvalidData, BudgetExhausted))?;
        self.budget.available_bytes.set(available);
        self.bytes += bytes;
        Ok(())
    }
}

impl Drop for MemoryReservation {
    fn drop(&mut self) {
        let available = &self.budget.available_bytes;
        available.set(available.get() + self.bytes);
    }
}

/// A body over the most that one may take up. It comes inside an [`io::Error`] of the kind `InvalidData`.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Error)]
#[error("a body of {bytes} bytes or more, over the limit of {max_bytes}")]
pub struct BodyTooLarge {
    /// Its bytes, as far as they were announced or had come.
    pub bytes: u64,
    /// The most that a body may take up, in bytes.
    pub max_bytes: usize,
}

/// A body for which the budget has no bytes left now.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Error)]
#[error("no room for a body")]
struct BudgetExhausted;
