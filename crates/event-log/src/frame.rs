//! Frames: a payload with its length and a checksum, which a reader finds again behind damaged bytes. No I/O.
//!
//! `magic (2) schema (1) 0 (1) length (4) CRC-32C (4) payload`, numbers little-endian. The checksum also
//! covers the id of the segment and the offset of the frame in it, so that bytes which only look like a frame
//! (a copy within a payload, or a block of another segment) are not taken for one.

/// The longest payload, bytes.
pub const MAX_PAYLOAD_BYTES: usize = 64 * 1024;
/// The version of the payload form that this program writes, and the latest that it reads.
pub const SCHEMA: u8 = 1;

const MAGIC: [u8; 2] = [0xb5, 0x48];
const HEADER_BYTES: usize = 12;

/// Identifies a segment.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct SegmentId {
    /// The random number of the run of the scheduler that wrote it.
    pub boot: u64,
    /// The number of the segment in that run, from 0.
    pub number: u32,
}

/// A payload is longer than [`MAX_PAYLOAD_BYTES`].
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct PayloadTooLong;

fn checksum(id: SegmentId, offset: u64, schema: u8, payload: &[u8]) -> u32 {
    let mut prefix = [0; 25];
    prefix[..8].copy_from_slice(&id.boot.to_le_bytes());
    prefix[8..12].copy_from_slice(&id.number.to_le_bytes());
    prefix[12..20].copy_from_slice(&offset.to_le_bytes());
    prefix[20] = schema;
    prefix[21..].copy_from_slice(&(payload.len() as u32).to_le_bytes());
    crc32c::crc32c_append(crc32c::crc32c(&prefix), payload)
}

/// Appends a frame that will be at byte `offset` of the segment.
///
/// # Errors
/// [`PayloadTooLong`] over [`MAX_PAYLOAD_BYTES`]; nothing is appended then.
pub fn encode(
    out: &mut Vec<u8>,
    identity: SegmentId,
    offset: u64,
    payload: &[u8],
) -> Result<(), PayloadTooLong> {
    encode_as(out, identity, offset, SCHEMA, payload)
}

/// The same in another schema, for tests that write as another version of the program would.
///
/// # Errors
/// As [`encode`].
pub fn encode_as(
    out: &mut Vec<u8>,
    identity: SegmentId,
    offset: u64,
    schema: u8,
    payload: &[u8],
) -> Result<(), PayloadTooLong> {
    if payload.len() > MAX_PAYLOAD_BYTES {
        return Err(PayloadTooLong);
    }
    out.extend_from_slice(&MAGIC);
    out.extend_from_slice(&[schema, 0]);
    out.extend_from_slice(&(payload.len() as u32).to_le_bytes());
    out.extend_from_slice(&checksum(identity, offset, schema, payload).to_le_bytes());
    out.extend_from_slice(payload);
    Ok(())
}

/// A part of a segment.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum ScannedItem {
    /// A complete frame.
    Frame {
        /// The offset of its first byte.
        offset: u64,
        /// Its schema; a payload with one above [`SCHEMA`] cannot be read.
        schema: u8,
        /// The payload.
        payload: Vec<u8>,
    },
    /// Bytes that are no frame: damaged, or the beginning of a frame that was never completed.
    Damaged {
        /// The offset of the first byte.
        from: u64,
        /// The offset behind the last byte.
        to: u64,
    },
}

/// Finds frames in the bytes of a segment, which are fed in pieces of any size. Holds little more than one
/// frame and one piece.
#[derive(Debug)]
pub struct Scanner {
    id: SegmentId,
    /// Bytes that are not returned yet; the first is at `offset` of the segment.
    buffer: Vec<u8>,
    /// How many bytes of the buffer have been scanned.
    position: usize,
    offset: u64,
    /// The offset from which on no frame has been found.
    damaged_from: Option<u64>,
    /// No more bytes will be fed.
    ended: bool,
}

impl Scanner {
    /// A scanner of the bytes of a segment from `offset` on.
    pub fn new(id: SegmentId, offset: u64) -> Self {
        Self { id, buffer: Vec::new(), position: 0, offset, damaged_from: None, ended: false }
    }

    /// Adds the next bytes of the segment.
    pub fn feed(&mut self, bytes: &[u8]) {
        self.buffer.drain(..self.position);
        self.offset += self.position as u64;
        self.position = 0;
        self.buffer.extend_from_slice(bytes);
    }

    /// Says that there are no more bytes.
    pub fn finish(&mut self) {
        self.ended = true;
    }

    /// The next part of the segment; `None` until more bytes are fed, or at the end.
    pub fn next_item(&mut self) -> Option<ScannedItem> {
        loop {
            let place = self.offset + self.position as u64;
            match self.parse_frame_at(place) {
                FrameAt::Frame { schema, length } => {
                    // The damaged bytes before the frame come first.
                    if let Some(from) = self.damaged_from.take() {
                        return Some(ScannedItem::Damaged { from, to: place });
                    }
                    let begin = self.position + HEADER_BYTES;
                    let payload = self.buffer[begin..begin + length].to_vec();
                    self.position = begin + length;
                    return Some(ScannedItem::Frame { offset: place, schema, payload });
                }
                FrameAt::Incomplete => return None,
                FrameAt::End => {
                    let from = self.damaged_from.take()?;
                    return Some(ScannedItem::Damaged { from, to: place });
                }
                FrameAt::NotAFrame => {
                    self.damaged_from.get_or_insert(place);
                    let rest = &self.buffer[self.position + 1..];
                    let skip = rest.iter().position(|byte| *byte == MAGIC[0]).unwrap_or(rest.len());
                    self.position += 1 + skip;
                }
            }
        }
    }

    fn parse_frame_at(&self, place: u64) -> FrameAt {
        let bytes = &self.buffer[self.position..];
        let short = if self.ended { FrameAt::NotAFrame } else { FrameAt::Incomplete };
        if bytes.is_empty() {
            return if self.ended { FrameAt::End } else { FrameAt::Incomplete };
        }
        if !MAGIC.starts_with(&bytes[..bytes.len().min(2)]) {
            return FrameAt::NotAFrame;
        }
        let Some(head) = bytes.first_chunk::<HEADER_BYTES>() else { return short };
        let number = |at: usize| u32::from_le_bytes([head[at], head[at + 1], head[at + 2], head[at + 3]]);
        let (schema, length, sum) = (head[2], number(4) as usize, number(8));
        if head[3] != 0 || length > MAX_PAYLOAD_BYTES {
            return FrameAt::NotAFrame;
        }
        let Some(payload) = bytes.get(HEADER_BYTES..HEADER_BYTES + length) else { return short };
        if checksum(self.id, place, schema, payload) == sum {
            FrameAt::Frame { schema, length }
        } else {
            FrameAt::NotAFrame
        }
    }
}

/// What is at one offset of a segment.
enum FrameAt {
    Frame { schema: u8, length: usize },
    NotAFrame,
    Incomplete,
    End,
}
