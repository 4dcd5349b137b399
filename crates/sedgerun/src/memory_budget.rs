//! Shares of the memory that the program may use.
//!
//! All that hold one kind of data, such as the bodies of requests, share a [`MemoryBudget`]. Each holder has a
//! [`MemoryReservation`], which releases its bytes when it is dropped. Reservations never wait: what does not fit is
//! refused at once. `docs/design/memory.md` lists the budgets with their sums.

use std::cell::Cell;
use std::rc::Rc;
use thiserror::Error;

/// A limit on the total size of what is held, and on the size of each part of it, in bytes.
#[derive(Clone, Debug)]
pub struct MemoryBudget {
    available_bytes: Rc<Cell<usize>>,
    max_body_bytes: usize,
}

impl MemoryBudget {
    /// A budget of `total_bytes` in which each body may use up to `max_body_bytes`.
    pub fn new(total_bytes: usize, max_body_bytes: usize) -> MemoryBudget {
        MemoryBudget { available_bytes: Rc::new(Cell::new(total_bytes)), max_body_bytes }
    }

    /// The largest size of one body, in bytes.
    pub fn max_body_bytes(&self) -> usize {
        self.max_body_bytes
    }

    /// Reserves memory for one body; `None` if that many bytes are not available now or exceed the limit of
    /// one body.
    pub fn reserve(&self, bytes: usize) -> Option<MemoryReservation> {
        let mut reservation = self.empty_reservation();
        reservation.grow(bytes as u64).ok().map(|()| reservation)
    }

    /// A reservation of 0 bytes, for a body whose length is not known yet.
    pub fn empty_reservation(&self) -> MemoryReservation {
        MemoryReservation { budget: self.clone(), bytes: 0 }
    }
}

/// The bytes of a [`MemoryBudget`] that one body uses. Dropping it returns them to the budget.
#[derive(Debug)]
pub struct MemoryReservation {
    budget: MemoryBudget,
    bytes: usize,
}

impl MemoryReservation {
    /// The number of bytes reserved.
    pub fn bytes(&self) -> usize {
        self.bytes
    }

    /// Reserves `bytes` more bytes.
    ///
    /// # Errors
    /// The holder would exceed the limit of one, or the bytes are not available now. The reservation is unchanged.
    pub fn grow(&mut self, bytes: u64) -> Result<(), BudgetError> {
        let bytes = usize::try_from(bytes).unwrap_or(usize::MAX);
        let max_bytes = self.budget.max_body_bytes;
        if bytes > max_bytes - self.bytes {
            let size = (self.bytes as u64).saturating_add(bytes as u64);
            return Err(BudgetError::TooLarge(BodyTooLarge { bytes: size, max_bytes }));
        }
        let available = self.budget.available_bytes.get().checked_sub(bytes);
        self.budget.available_bytes.set(available.ok_or(BudgetError::Exhausted)?);
        self.bytes += bytes;
        Ok(())
    }

    /// Returns what is reserved beyond so many bytes.
    pub fn shrink_to(&mut self, bytes: usize) {
        let returned = self.bytes.saturating_sub(bytes);
        self.bytes -= returned;
        self.budget.available_bytes.set(self.budget.available_bytes.get() + returned);
    }

    /// Returns all bytes to the budget.
    pub fn release(&mut self) {
        self.shrink_to(0);
    }
}

impl Drop for MemoryReservation {
    fn drop(&mut self) {
        self.release();
    }
}

/// Why no memory was reserved.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Error)]
pub enum BudgetError {
    /// The holder would exceed the limit of one.
    #[error(transparent)]
    TooLarge(BodyTooLarge),
    /// The bytes are not available now.
    #[error("the memory budget is exhausted")]
    Exhausted,
}

/// What one holder would hold exceeds the limit of one.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Error)]
#[error("{bytes} bytes or more exceed the limit of {max_bytes} bytes")]
pub struct BodyTooLarge {
    /// The size in bytes, as far as it was announced or received.
    pub bytes: u64,
    /// The largest size, in bytes.
    pub max_bytes: usize,
}
