//! Limits the memory that request and response bodies may use.
//!
//! All readers of one kind of body share a [`MemoryBudget`]. Each body holds a [`MemoryReservation`], which
//! releases its bytes when it is dropped. Reservations never wait: a body that does not fit is rejected at
//! once.

use std::cell::Cell;
use std::io;
use std::rc::Rc;
use thiserror::Error;

/// A limit on the total size of bodies and on the size of each one, in bytes. One budget covers responses (a
/// response in a class that the settings describe as small can still be large: backends send 400 KB on some
/// days), another one requests over 64 KiB.
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
    pub(super) fn empty_reservation(&self) -> MemoryReservation {
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
    ///
    /// An [`io::Error`] of the kind `InvalidData`. Its inner error is [`BodyTooLarge`] if the body would
    /// exceed the limit of one body, and another error if the bytes are not available now. The reservation is
    /// unchanged.
    pub fn grow(&mut self, bytes: u64) -> io::Result<()> {
        let bytes = usize::try_from(bytes).unwrap_or(usize::MAX);
        let max_bytes = self.budget.max_body_bytes;
        if bytes > max_bytes - self.bytes {
            let size = (self.bytes as u64).saturating_add(bytes as u64);
            return Err(io::Error::new(io::ErrorKind::InvalidData, BodyTooLarge { bytes: size, max_bytes }));
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

/// A body exceeds the limit of one body. Returned as the inner error of an [`io::Error`] of the kind
/// `InvalidData`.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Error)]
#[error("body of at least {bytes} bytes exceeds the limit of {max_bytes} bytes")]
pub struct BodyTooLarge {
    /// The size of the body in bytes, as far as it was announced or received.
    pub bytes: u64,
    /// The largest size of one body, in bytes.
    pub max_bytes: usize,
}

/// The budget has too few bytes available for a body.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Error)]
#[error("memory budget for bodies is exhausted")]
struct BudgetExhausted;
