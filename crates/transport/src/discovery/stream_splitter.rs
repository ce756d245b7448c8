//! What a watch brings, cut into lists and empty lines. No I/O.

/// Cuts a stream into JSON objects and lines that hold none. An object may stand on one line or over several,
/// indented or not ("lists may come indented"), and in any number of pieces. One that breaks off is given
/// back as it is, once an empty line or the next object tells so; nobody can read it, and what follows
/// counts.
#[derive(Debug, Default)]
pub struct StreamSplitter {
    text: Vec<u8>,
    /// Looked at so far.
    at: usize,
    depth: u32,
    quoted: bool,
    escaped: bool,
    /// The rest of the line on which an object ended is not a line of its own.
    ended: bool,
}

impl StreamSplitter {
    /// More has come.
    pub fn extend(&mut self, bytes: &[u8]) {
        self.text.extend_from_slice(bytes);
    }

    /// Bytes that are held, of which nothing can be told yet.
    pub fn buffered(&self) -> usize {
        self.text.len()
    }

    /// The next object or line, once it is whole.
    pub fn next_item(&mut self) -> Option<Vec<u8>> {
        while let Some(&byte) = self.text.get(self.at) {
            if self.breaks_off(byte) {
                return Some(self.take(self.at));
            }
            self.at += 1;
            match byte {
                b'\n' if self.ended => {
                    self.ended = false;
                    drop(self.take(self.at));
                }
                b'\n' if self.depth == 0 => return Some(self.take(self.at)),
                b' ' | b'\t' | b'\r' if self.ended => {}
                _ => {
                    self.ended = false;
                    if self.ends_object(byte) {
                        self.ended = true;
                        return Some(self.take(self.at));
                    }
                }
            }
        }
        None
    }

    /// The object at hand has broken off before that byte. No line within an object is empty; and one that
    /// begins with a brace is a new list, where no entry is due.
    fn breaks_off(&self, byte: u8) -> bool {
        let (before, begins) = (&self.text[..self.at], self.text[..self.at].ends_with(b"\n"));
        if self.depth == 0 || !begins {
            return false;
        }
        let last = before.iter().rfind(|byte| !byte.is_ascii_whitespace());
        let due = last.is_some_and(|last| matches!(last, b'[' | b',' | b':'));
        matches!(byte, b'\n' | b'\r') || self.quoted || (byte == b'{' && !due)
    }

    /// Whether that byte is the last of an object.
    fn ends_object(&mut self, byte: u8) -> bool {
        match byte {
            _ if std::mem::take(&mut self.escaped) => {}
            b'\\' if self.quoted => self.escaped = true,
            b'"' => self.quoted = self.depth > 0 && !self.quoted,
            b'{' if !self.quoted => self.depth += 1,
            b'}' if !self.quoted && self.depth > 0 => {
                self.depth -= 1;
                return self.depth == 0;
            }
            _ => {}
        }
        false
    }

    fn take(&mut self, size: usize) -> Vec<u8> {
        (self.at, self.depth, self.quoted, self.escaped) = (0, 0, false, false);
        self.text.drain(..size).collect()
    }
}
