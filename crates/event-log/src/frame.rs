//! Frames: a payload with its length and a checksum, found again behind damage. Plain state, no files.
//!
//! `magic (2) schema (1) 0 (1) length (4) CRC-32C (4) payload`, numbers little-endian. The checksum covers
//! the segment's identity and the frame's place in it, so that bytes which only look like a frame (a copy of
//! one in a payload, or a block of another segment) are none.

/// No payload is longer, bytes.
pub const MAX_PAYLOAD_BYTES: usize = 64 * 1024;
/// The form of payloads that this program writes, and the last that it reads.
pub const SCHEMA: u8 = 1;

const MAGIC: [u8; 2] = [0xb5, 0x48];
const HEADER_BYTES: usize = 12;

/// Which segment it is: its boot and its number there.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct SegmentId {
    /// The run of the scheduler.
    pub boot: u64,
    /// The segment's number.
    pub number: u32,
}

/// The longest payload was exceeded.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct PayloadTooLong;

fn checksum(identity: SegmentId, offset: u64, schema: u8, payload: &[u8]) -> u32 {
    let mut prefix = [0; 25];
    prefix[..8].copy_from_slice(&identity.boot.to_le_bytes());
    prefix[8..12].copy_from_slice(&identity.number.to_le_bytes());
    prefix[12..20].copy_from_slice(&offset.to_le_bytes());
    prefix[20] = schema;
    prefix[21..].copy_from_slice(&(payload.len() as u32).to_le_bytes());
    crc32c::crc32c_append(crc32c::crc32c(&prefix), payload)
}

/// Appends a frame that will stand at `offset` of its segment.
///
/// # Errors
/// [`TooLong`] over [`LONGEST`]; nothing is appended then.
pub fn encode(
    out: &mut Vec<u8>,
    identity: SegmentId,
    offset: u64,
    payload: &[u8],
) -> Result<(), PayloadTooLong> {
    encode_as(out, identity, offset, SCHEMA, payload)
}

/// The same in another schema, for tools that write as another version would.
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

/// What a segment holds from one place to another.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum ScannedItem {
    /// A whole frame.
    Frame {
        /// Where it begins.
        offset: u64,
        /// Its schema; over [`SCHEMA`] the payload is not to be read.
        schema: u8,
        /// What it holds.
        payload: Vec<u8>,
    },
    /// Bytes that are no frame: damaged, or the beginning of one that was never finished.
    Damaged {
        /// From there.
        from: u64,
        /// To there.
        to: u64,
    },
}

/// Finds frames in the bytes of a segment, fed in pieces of any size; holds little more than one frame.
#[derive(Debug)]
pub struct Scanner {
    identity: SegmentId,
    /// Bytes that are not yet told of, of which the first is at `offset`.
    buffer: Vec<u8>,
    /// How many of them are done with.
    position: usize,
    offset: u64,
    /// Since where there has been no frame.
    damaged_from: Option<u64>,
    /// No more will come.
    ended: bool,
}

impl Scanner {
    /// For a segment's bytes from `offset` on.
    pub fn new(identity: SegmentId, offset: u64) -> Self {
        Self { identity, buffer: Vec::new(), position: 0, offset, damaged_from: None, ended: false }
    }

    /// More bytes.
    pub fn feed(&mut self, bytes: &[u8]) {
        self.buffer.drain(..self.position);
        self.offset += self.position as u64;
        self.position = 0;
        self.buffer.extend_from_slice(bytes);
    }

    /// There are no more bytes.
    pub fn finish(&mut self) {
        self.ended = true;
    }

    /// The next find; `None` before more is fed, or at the end.
    pub fn next_item(&mut self) -> Option<ScannedItem> {
        loop {
            let place = self.offset + self.position as u64;
            match self.parse_frame_at(place) {
                FrameAt::Frame { schema, length } => {
                    // What lies before it is told of first.
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
        if checksum(self.identity, place, schema, payload) == sum {
            FrameAt::Frame { schema, length }
        } else {
            FrameAt::NotAFrame
        }
    }
}

enum FrameAt {
    Frame { schema: u8, length: usize },
    NotAFrame,
    Incomplete,
    End,
}
