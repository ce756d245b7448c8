//! Splits the body of a discovery response into lists and lines. No I/O.

/// Splits a stream of bytes into JSON objects and lines that contain none. An object may span one line or
/// several, indented or not, and arrive in any number of pieces.
///
/// A truncated object is returned as it is, once an empty line, the next object, or a line end within a
/// string shows that it is truncated. It cannot be decoded; the bytes after it are split as usual.
#[derive(Debug, Default)]
pub struct StreamSplitter {
    /// The bytes received after the last returned item.
    buffer: Vec<u8>,
    /// The number of bytes of `buffer` that have been scanned.
    scanned_bytes: usize,
    /// The nesting depth of objects at the end of the scanned bytes.
    depth: u32,
    /// Whether the scanned bytes end within a JSON string.
    in_string: bool,
    /// Whether the scanned bytes end with an escaping backslash within a JSON string.
    after_backslash: bool,
    /// Whether an object has ended whose line end has not been scanned; white space on the rest of its line
    /// is not a line by itself.
    after_object: bool,
}

impl StreamSplitter {
    /// Adds bytes that have arrived.
    pub fn extend(&mut self, bytes: &[u8]) {
        self.buffer.extend_from_slice(bytes);
    }

    /// Returns the number of bytes that belong to no complete item yet.
    pub fn buffered_bytes(&self) -> usize {
        self.buffer.len()
    }

    /// Returns the next object, or the next line with its line end; `None` until it is complete.
    pub fn next_item(&mut self) -> Option<Vec<u8>> {
        while let Some(&byte) = self.buffer.get(self.scanned_bytes) {
            if self.object_is_truncated_before(byte) {
                return Some(self.take_scanned());
            }
            self.scanned_bytes += 1;
            match byte {
                b'\n' if self.after_object => {
                    self.after_object = false;
                    drop(self.take_scanned());
                }
                b'\n' if self.depth == 0 => return Some(self.take_scanned()),
                b' ' | b'\t' | b'\r' if self.after_object => {}
                _ => {
                    self.after_object = false;
                    if self.ends_object(byte) {
                        self.after_object = true;
                        return Some(self.take_scanned());
                    }
                }
            }
        }
        None
    }

    /// Returns whether the open object is truncated before `byte`. No line within an object is empty, no
    /// string spans lines, and a line that begins with a brace starts a new list unless the open list expects
    /// an entry.
    fn object_is_truncated_before(&self, byte: u8) -> bool {
        let scanned = &self.buffer[..self.scanned_bytes];
        if self.depth == 0 || !scanned.ends_with(b"\n") {
            return false;
        }
        let last_visible = scanned.iter().rfind(|byte| !byte.is_ascii_whitespace());
        let entry_due = last_visible.is_some_and(|visible| matches!(visible, b'[' | b',' | b':'));
        let is_empty_line = matches!(byte, b'\n' | b'\r');
        is_empty_line || self.in_string || (byte == b'{' && !entry_due)
    }

    /// Updates the scan state with `byte`. Returns whether it is the last byte of an object.
    fn ends_object(&mut self, byte: u8) -> bool {
        match byte {
            _ if std::mem::take(&mut self.after_backslash) => {}
            b'\\' if self.in_string => self.after_backslash = true,
            b'"' => self.in_string = self.depth > 0 && !self.in_string,
            b'{' if !self.in_string => self.depth += 1,
            b'}' if !self.in_string && self.depth > 0 => {
                self.depth -= 1;
                return self.depth == 0;
            }
            _ => {}
        }
        false
    }

    /// Removes the scanned bytes from the buffer, returns them, and resets the scan state.
    fn take_scanned(&mut self) -> Vec<u8> {
        self.depth = 0;
        self.in_string = false;
        self.after_backslash = false;
        self.buffer.drain(..std::mem::take(&mut self.scanned_bytes)).collect()
    }
}
