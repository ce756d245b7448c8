//! A buffer that reserves memory as it grows.

use bytes::Bytes;

use super::{MemoryBudget, MemoryHolder, Priority, Reservation};

/// A buffer may always grow to this size while there is any memory, in bytes: the data was received in one
/// piece, so streaming it would need as much.
const SMALL_BUFFER_BYTES: usize = 8 * 1024;

/// There is no memory for more data in a buffer.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct OutOfMemory;

/// A buffer for a complete body. What it allocates is reserved, in the name of one holder.
#[derive(Debug)]
pub struct ReservedBuffer {
    budget: MemoryBudget,
    holder: MemoryHolder,
    max_bytes: usize,
    data: Vec<u8>,
    reservation: Option<Reservation>,
}

impl ReservedBuffer {
    /// Creates an empty buffer for a body that is expected to have `max_bytes` at most.
    pub fn new(budget: &MemoryBudget, holder: MemoryHolder, max_bytes: usize) -> Self {
        Self { budget: budget.clone(), holder, max_bytes, data: Vec::new(), reservation: None }
    }

    /// Creates an empty buffer of the size that was reserved.
    pub fn with_reservation(reservation: Reservation) -> Self {
        Self {
            budget: reservation.budget.clone(),
            holder: reservation.holder,
            max_bytes: reservation.bytes,
            data: Vec::with_capacity(reservation.bytes),
            reservation: Some(reservation),
        }
    }

    /// Returns the number of bytes in the buffer.
    pub fn len(&self) -> usize {
        self.data.len()
    }

    /// Returns whether the buffer has no data.
    pub fn is_empty(&self) -> bool {
        self.data.is_empty()
    }

    /// Appends a chunk.
    ///
    /// # Errors
    /// [`OutOfMemory`] if the memory for it can't be reserved; the buffer is unchanged.
    pub fn append(&mut self, chunk: &[u8]) -> Result<(), OutOfMemory> {
        let needed = self.data.len() + chunk.len();
        if needed > self.data.capacity() {
            self.grow(needed)?;
        }
        self.data.extend_from_slice(chunk);
        Ok(())
    }

    /// Grows to at least `needed` bytes, and to twice the size if that is not beyond the expected one.
    fn grow(&mut self, needed: usize) -> Result<(), OutOfMemory> {
        let capacity = (2 * self.data.capacity()).min(self.max_bytes).max(needed);
        let priority = if capacity <= SMALL_BUFFER_BYTES { Priority::Required } else { Priority::Optional };
        let additional = capacity - self.data.capacity();
        let added = self.budget.try_reserve(self.holder, additional, priority).ok_or(OutOfMemory)?;
        self.data.reserve_exact(capacity - self.data.len());
        match &mut self.reservation {
            Some(reservation) => reservation.merge(added),
            None => self.reservation = Some(added),
        }
        Ok(())
    }

    /// Returns the data, which holds the reservation until the last clone of it is dropped.
    pub fn into_bytes(self) -> Bytes {
        match self.reservation {
            Some(reservation) => reservation.attach(Bytes::from(self.data)),
            None => Bytes::new(),
        }
    }
}
