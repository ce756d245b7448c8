//! The data of one command while it is being received in data PDUs.

use bytes::{Bytes, BytesMut};

/// The data of one command. Its PDUs must be contiguous, and together must have the length of the command's
/// data.
#[derive(Debug)]
pub(super) struct ReceivedData {
    /// The length of the complete data, in bytes.
    length: usize,
    received: BytesMut,
}

/// Data that does not continue what was received before, or goes beyond the end of the command's data.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(super) struct OutOfRange;

impl ReceivedData {
    /// Creates the data of a command that transfers `length` bytes, of which none was received yet.
    pub(super) fn new(length: usize) -> Self {
        Self { length, received: BytesMut::new() }
    }

    /// Appends the data of one PDU, which starts at `offset` bytes.
    ///
    /// # Errors
    /// The PDU leaves a gap, repeats data, or goes beyond the end.
    pub(super) fn append(&mut self, offset: u32, data: &[u8]) -> Result<(), OutOfRange> {
        let is_contiguous = offset as usize == self.received.len();
        if !is_contiguous || self.received.len() + data.len() > self.length {
            return Err(OutOfRange);
        }
        self.received.extend_from_slice(data);
        Ok(())
    }

    /// Whether the last byte was received.
    pub(super) fn is_complete(&self) -> bool {
        self.received.len() == self.length
    }

    /// Returns the data; `None` if a part of it was not received.
    pub(super) fn into_complete(self) -> Option<Bytes> {
        self.is_complete().then(|| self.received.freeze())
    }
}

#[cfg(test)]
mod tests;
