//! The bytes received on a connection and not parsed yet.

use crate::memory_budget::{MemoryBudget, MemoryReservation};
use sedgerun_net::{ReadBuffer, Stream};
use std::io;

/// The buffer holds as many bytes as it may.
#[derive(Clone, Copy, Debug, PartialEq, Eq, thiserror::Error)]
#[error("the receive buffer is full")]
pub struct BufferFull;

/// A buffer of received bytes. It takes up no memory while it is empty, its first capacity is part of what each
/// connection may use, and what it grows beyond that is reserved.
#[derive(Debug)]
pub struct ReceiveBuffer {
    storage: Vec<u8>,
    /// Bytes of `storage` that were consumed.
    start: usize,
    /// Bytes of `storage` that were filled.
    end: usize,
    initial_capacity: usize,
    reservation: MemoryReservation,
}

impl ReceiveBuffer {
    /// An empty buffer that has so many bytes at first; what it grows beyond them is reserved in `budget`.
    pub fn new(initial_capacity: usize, budget: &MemoryBudget) -> ReceiveBuffer {
        let reservation = budget.empty_reservation();
        ReceiveBuffer { storage: Vec::new(), start: 0, end: 0, initial_capacity, reservation }
    }

    /// The bytes that were received and not consumed.
    pub fn unread(&self) -> &[u8] {
        &self.storage[self.start..self.end]
    }

    /// The same, for decoding in place.
    pub fn unread_mut(&mut self) -> &mut [u8] {
        &mut self.storage[self.start..self.end]
    }

    /// Whether nothing is left to consume.
    pub fn is_empty(&self) -> bool {
        self.start == self.end
    }

    /// Drops the first bytes of those that were not consumed.
    pub fn consume(&mut self, bytes: usize) {
        self.start = (self.start + bytes).min(self.end);
        if self.is_empty() {
            (self.start, self.end) = (0, 0);
        }
    }

    /// Frees the memory of an empty buffer.
    pub fn release(&mut self) {
        if self.is_empty() {
            self.storage = Vec::new();
            self.reservation.release();
        }
    }

    /// Makes room for more bytes, up to `max_capacity` in all.
    ///
    /// # Errors
    /// The buffer has this capacity, or there is no memory.
    pub fn ensure_capacity(&mut self, max_capacity: usize) -> Result<(), BufferFull> {
        self.make_contiguous();
        if self.end < self.storage.len() || self.storage.is_empty() {
            return Ok(());
        }
        let capacity = (2 * self.storage.len()).min(max_capacity);
        let added = capacity.saturating_sub(self.storage.len());
        if added == 0 {
            return Err(BufferFull);
        }
        self.reservation.grow(added as u64).map_err(|_| BufferFull)?;
        self.storage.reserve_exact(added);
        self.storage.resize(capacity, 0);
        Ok(())
    }

    fn make_contiguous(&mut self) {
        if self.start > 0 {
            self.storage.copy_within(self.start..self.end, 0);
            (self.start, self.end) = (0, self.end - self.start);
        }
    }

    /// Waits until bytes arrive and adds those that fit; 0 at the end of the connection. The caller makes room first.
    ///
    /// # Errors
    /// The connection has broken.
    pub async fn fill(&mut self, stream: &Stream) -> io::Result<usize> {
        let received = stream.read(self).await?;
        self.end += received;
        Ok(received)
    }
}

impl ReadBuffer for ReceiveBuffer {
    fn spare(&mut self) -> &mut [u8] {
        // Allocated only once bytes have arrived, so that an idle connection has no buffer.
        if self.storage.is_empty() {
            self.storage = vec![0; self.initial_capacity];
        }
        &mut self.storage[self.end..]
    }
}
