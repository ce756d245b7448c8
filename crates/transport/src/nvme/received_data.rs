//! The data of one command while it is being received in data PDUs.

use bytes::{Bytes, BytesMut};
use heathward_core::memory::Reservation;

/// The data of one command. Its PDUs must be contiguous, and together must have the length of the command's
/// data.
#[derive(Debug)]
pub(super) struct ReceivedData {
    /// The length of the complete data, in bytes.
    length: usize,
    /// All of the data, if one PDU brought it: it is used as it is.
    single: Option<Bytes>,
    received: BytesMut,
    /// The memory for the complete data.
    reservation: Option<Reservation>,
}

/// Data that does not continue what was received before, or goes beyond the end of the command's data.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(super) struct OutOfRange;

impl ReceivedData {
    /// Creates the data of a command that transfers `length` bytes, of which none was received yet. The data
    /// holds `reservation` until the last clone of it is dropped.
    pub(super) fn new(length: usize, reservation: Option<Reservation>) -> Self {
        Self { length, single: None, received: BytesMut::new(), reservation }
    }

    /// Appends the data of one PDU, which starts at `offset` bytes.
    ///
    /// # Errors
    /// The PDU leaves a gap, repeats data, or goes beyond the end.
    pub(super) fn append(&mut self, offset: u32, data: Bytes) -> Result<(), OutOfRange> {
        let received_bytes = self.received_bytes();
        if offset as usize != received_bytes || received_bytes + data.len() > self.length {
            return Err(OutOfRange);
        }
        if self.single.is_some() {
            // The data is complete, so this PDU is empty.
            return Ok(());
        }
        if data.len() == self.length {
            self.single = Some(data);
            return Ok(());
        }
        // Allocates the complete length at once: growing would allocate up to twice as much.
        self.received.reserve(self.length - self.received.len());
        self.received.extend_from_slice(&data);
        Ok(())
    }

    /// Returns the length of the complete data, in bytes.
    pub(super) fn length(&self) -> usize {
        self.length
    }

    /// Returns how many bytes were received.
    pub(super) fn received_bytes(&self) -> usize {
        self.single.as_ref().map_or(self.received.len(), Bytes::len)
    }

    /// Whether the last byte was received.
    pub(super) fn is_complete(&self) -> bool {
        self.received_bytes() == self.length
    }

    /// Returns the data; `None` if a part of it was not received.
    pub(super) fn into_complete(self) -> Option<Bytes> {
        if !self.is_complete() {
            return None;
        }
        let data = self.single.unwrap_or_else(|| self.received.freeze());
        Some(match self.reservation {
            Some(reservation) => reservation.attach(data),
            None => data,
        })
    }
}

#[cfg(test)]
mod tests;
