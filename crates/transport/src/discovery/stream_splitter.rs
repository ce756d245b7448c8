//! Cuts the body of a discovery response into lists and lines. No I/O.

/// Cuts a stream of bytes into JSON objects and lines that hold none. An object may stand on one line or on
/// several, indented or not, and arrive in any number of pieces.
///
/// An object that breaks off is returned as it is, once an empty line or the next object shows that it has.
/// It cannot be decoded; what follows it is read as usual.
#[derive(Debug, Default)]
pub struct StreamSplitter {
    /// What has arrived after the last item.
    buffer: Vec<u8>,
    /// How much of the buffer has been scanned.
    scanned: usize,
    /// Objects that are open at that point.
    depth: u32,
    /// That point is within a JSON string.
    in_string: bool,
    /// That point follows a backslash within a JSON string.
    after_backslash: bool,
    /// An object has ended, and the rest of its line is no line of its own.
    after_object: bool,
}

impl StreamSplitter {
    /// Adds bytes that have arrived.
    pub fn extend(&mut self, bytes: &[u8]) {
        self.buffer.extend_from_slice(bytes);
    }

    /// The number of bytes that belong to no complete item yet.
    pub fn buffered_bytes(&self) -> usize {
        self.buffer.len()
    }

    /// The next object, or line with its end, once it is complete.
    pub fn next_item(&mut self) -> Option<Vec<u8>> {
        while let Some(&byte) = self.buffer.get(self.scanned) {
            if self.object_breaks_off_before(byte) {
                return Some(self.take_scanned());
            }
            self.scanned += 1;
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

    /// Whether the open object has broken off before this byte. No line within an object is empty, no string
    /// goes on over the end of a line, and a line that begins with a brace is a new list unless an entry of
    /// the open one is due.
    fn object_breaks_off_before(&self, byte: u8) -> bool {
        let scanned = &self.buffer[..self.scanned];
        if self.depth == 0 || !scanned.ends_with(b"\n") {
            return false;
        }
        let last = scanned.iter().rfind(|byte| !byte.is_ascii_whitespace());
        let entry_due = last.is_some_and(|last| matches!(last, b'[' | b',' | b':'));
        let is_empty_line = matches!(byte, b'\n' | b'\r');
        is_empty_line || self.in_string || (byte == b'{' && !entry_due)
    }

    /// Takes a byte into account. Returns whether it is the last one of an object.
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

    /// Removes what has been scanned from the buffer, and starts anew after it.
    fn take_scanned(&mut self) -> Vec<u8> {
        self.depth = 0;
        self.in_string = false;
        self.after_backslash = false;
        self.buffer.drain(..std::mem::take(&mut self.scanned)).collect()
    }
}
