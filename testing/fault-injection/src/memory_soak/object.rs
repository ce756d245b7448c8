//! The node's part in a request, coded into the key of its object, so that nodes need no list of requests.

/// The form of a reply.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum ReplyFraming {
    /// With a length.
    Length,
    /// In chunks.
    Chunked,
    /// Without a length; it ends with its connection.
    UntilClosed,
}

const FRAMINGS: [ReplyFraming; 3] = [ReplyFraming::Length, ReplyFraming::Chunked, ReplyFraming::UntilClosed];
/// Bits of the key for the length of the reply.
const LENGTH_BITS: u32 = 24;
/// Bits of the key for the form of the reply.
const FRAMING_BITS: u32 = 8;
/// Bits of the key for each delay.
const DELAY_BITS: u32 = 16;

/// The node's part in a request.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Object {
    /// Length of the reply in bytes, below 16 MB.
    pub reply_bytes: usize,
    /// The form of the reply.
    pub framing: ReplyFraming,
    /// The node's delay before it reads a body, in milliseconds, below 65,536.
    pub stall_ms: u64,
    /// The node's pause in the middle of the reply, in milliseconds, below 65,536.
    pub pause_ms: u64,
}

impl Object {
    /// Returns the key of the object.
    pub fn key(&self) -> u64 {
        let framing = FRAMINGS.iter().position(|framing| *framing == self.framing).unwrap_or(0) as u64;
        let delays = self.pause_ms << DELAY_BITS | self.stall_ms;
        (delays << FRAMING_BITS | framing) << LENGTH_BITS | self.reply_bytes as u64
    }

    /// Returns the object of a key; `None` if it is none of [`Self::key`].
    pub fn of_key(key: u64) -> Option<Self> {
        let reply_bytes = (key & ((1 << LENGTH_BITS) - 1)) as usize;
        let framing = (key >> LENGTH_BITS & ((1 << FRAMING_BITS) - 1)) as usize;
        let delays = key >> (LENGTH_BITS + FRAMING_BITS);
        let (pause_ms, stall_ms) = (delays >> DELAY_BITS, delays & ((1 << DELAY_BITS) - 1));
        Some(Self { reply_bytes, framing: *FRAMINGS.get(framing)?, stall_ms, pause_ms })
    }
}

/// Returns the byte at a position of each body and each reply.
pub fn byte_at(position: usize) -> u8 {
    (position * 31 % 251) as u8
}

/// Returns the bytes of a part of each body and each reply.
pub fn content(from: usize, length: usize) -> Vec<u8> {
    (from..from + length).map(byte_at).collect()
}
