//! Commands and completions: 64 and 16 bytes to typed values and back.

use bytes::{Buf, BufMut, Bytes, BytesMut};

/// Length of the data that comes with a Connect command.
pub const CONNECT_DATA: usize = 1024;
const COMMAND: usize = 64;
const FABRICS: u8 = 0x7f;
/// The flags of a command that is not fused and names its data by SGL, as this transport requires.
const FLAGS: u8 = 0x40;

/// Where a command's data is.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Sgl {
    /// In the capsule, at this offset.
    InCapsule {
        /// Offset behind the command.
        offset: u64,
        /// Length.
        length: u32,
    },
    /// It moves in data PDUs.
    Transport {
        /// Length.
        length: u32,
    },
    /// Some other descriptor.
    Other(u8),
}

impl Sgl {
    /// How much data the descriptor names.
    pub fn length(self) -> u32 {
        match self {
            Self::InCapsule { length, .. } | Self::Transport { length } => length,
            Self::Other(_) => 0,
        }
    }
}

/// What a Connect command's own fields say.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Connect {
    /// Format of the record.
    pub format: u16,
    /// The queue; 0 is the admin queue.
    pub queue: u16,
    /// Entries of the queue, from 0.
    pub size: u16,
    /// Keep-alive time in milliseconds; 0 for none.
    pub keep_alive: u32,
}

/// A command's part that depends on its opcode.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Body {
    /// Opens a queue.
    Connect(Connect),
    /// Reads a controller property.
    PropertyGet {
        /// 8 bytes wide, not 4.
        wide: bool,
        /// Which.
        offset: u32,
    },
    /// Writes a controller property.
    PropertySet {
        /// 8 bytes wide, not 4.
        wide: bool,
        /// Which.
        offset: u32,
        /// The value.
        value: u64,
    },
    /// Asks what a controller or namespace is.
    Identify {
        /// The namespace, where one is meant.
        nsid: u32,
        /// What is asked.
        cns: u8,
    },
    /// Sets a feature.
    SetFeatures {
        /// Which.
        feature: u8,
        /// Its first dword.
        value: u32,
    },
    /// The host is alive.
    KeepAlive,
    /// Ends a command.
    Abort {
        /// Its queue.
        queue: u16,
        /// Its id.
        cid: u16,
    },
    /// Reads blocks.
    Read(BlockRange),
    /// Writes blocks.
    Write(BlockRange),
    /// Another fabrics command.
    OtherFabrics(u8),
    /// Another opcode.
    Other(u8),
}

/// The blocks that a command is about.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct BlockRange {
    /// The namespace.
    pub nsid: u32,
    /// The first.
    pub first: u64,
    /// How many.
    pub count: u32,
}

/// A command.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Command {
    /// Its id.
    pub cid: u16,
    /// Fused operation and kind of data pointer are as this transport requires.
    pub sound: bool,
    /// Where its data is.
    pub sgl: Sgl,
    /// The rest. The same opcode means other things on the admin queue: see [`Command::decode`].
    pub body: Body,
    /// The opcode as it came.
    pub opcode: u8,
}

impl Command {
    /// A command to send.
    pub fn new(cid: u16, sgl: Sgl, body: Body) -> Self {
        let opcode = match body {
            Body::Write(_) => 0x01,
            Body::Read(_) => 0x02,
            Body::Identify { .. } => 0x06,
            Body::Abort { .. } => 0x08,
            Body::SetFeatures { .. } => 0x09,
            Body::KeepAlive => 0x18,
            Body::Other(opcode) => opcode,
            _ => FABRICS,
        };
        Self { cid, sound: true, sgl, body, opcode }
    }

    /// Decodes 64 bytes. None of the opcodes of this subset means two things; which of them a queue takes is
    /// the queue's to say.
    pub fn decode(bytes: &[u8]) -> Self {
        let word = |at: usize| u16::from_le_bytes([bytes[at], bytes[at + 1]]);
        let dword = |at: usize| u32::from(word(at)) | u32::from(word(at + 2)) << 16;
        let qword = |at: usize| u64::from(dword(at)) | u64::from(dword(at + 4)) << 32;
        let (opcode, nsid, length) = (bytes[0], dword(4), dword(32));
        let sgl = match bytes[39] {
            0x01 => Sgl::InCapsule { offset: qword(24), length },
            0x5a => Sgl::Transport { length },
            other => Sgl::Other(other),
        };
        let wide = bytes[40] & 0b111 == 1;
        let blocks = BlockRange { nsid, first: qword(40), count: u32::from(word(48)) + 1 };
        let body = match (opcode, bytes[4]) {
            (FABRICS, 0x00) => Body::PropertySet { wide, offset: dword(44), value: qword(48) },
            (FABRICS, 0x01) => Body::Connect(Connect {
                format: word(40),
                queue: word(42),
                size: word(44),
                keep_alive: dword(48),
            }),
            (FABRICS, 0x04) => Body::PropertyGet { wide, offset: dword(44) },
            (FABRICS, other) => Body::OtherFabrics(other),
            (0x01, _) => Body::Write(blocks),
            (0x02, _) => Body::Read(blocks),
            (0x06, _) => Body::Identify { nsid, cns: bytes[40] },
            (0x08, _) => Body::Abort { queue: word(40), cid: word(42) },
            (0x09, _) => Body::SetFeatures { feature: bytes[40], value: dword(44) },
            (0x18, _) => Body::KeepAlive,
            (other, _) => Body::Other(other),
        };
        Self { cid: word(2), sound: bytes[1] == FLAGS, sgl, body, opcode }
    }

    /// Appends 64 bytes.
    pub fn encode(&self, out: &mut BytesMut) {
        let mut bytes = [0; COMMAND];
        let mut put = |at: usize, value: &[u8]| bytes[at..at + value.len()].copy_from_slice(value);
        put(0, &[self.opcode, if self.sound { FLAGS } else { 0 }]);
        put(2, &self.cid.to_le_bytes());
        put(32, &self.sgl.length().to_le_bytes());
        match self.sgl {
            Sgl::InCapsule { offset, .. } => {
                put(24, &offset.to_le_bytes());
                put(39, &[0x01]);
            }
            Sgl::Transport { .. } => put(39, &[0x5a]),
            Sgl::Other(kind) => put(39, &[kind]),
        }
        match self.body {
            Body::Connect(Connect { format, queue, size, keep_alive }) => {
                put(4, &[0x01]);
                put(40, &format.to_le_bytes());
                put(42, &queue.to_le_bytes());
                put(44, &size.to_le_bytes());
                put(48, &keep_alive.to_le_bytes());
            }
            Body::PropertyGet { wide, offset } => {
                put(4, &[0x04]);
                put(40, &[u8::from(wide)]);
                put(44, &offset.to_le_bytes());
            }
            Body::PropertySet { wide, offset, value } => {
                put(40, &[u8::from(wide)]);
                put(44, &offset.to_le_bytes());
                put(48, &value.to_le_bytes());
            }
            Body::Identify { nsid, cns } => {
                put(4, &nsid.to_le_bytes());
                put(40, &[cns]);
            }
            Body::SetFeatures { feature, value } => {
                put(40, &[feature]);
                put(44, &value.to_le_bytes());
            }
            Body::Abort { queue, cid } => {
                put(40, &queue.to_le_bytes());
                put(42, &cid.to_le_bytes());
            }
            Body::Read(BlockRange { nsid, first, count })
            | Body::Write(BlockRange { nsid, first, count }) => {
                put(4, &nsid.to_le_bytes());
                put(40, &first.to_le_bytes());
                put(48, &(count.saturating_sub(1) as u16).to_le_bytes());
            }
            Body::OtherFabrics(kind) => put(4, &[kind]),
            Body::KeepAlive | Body::Other(_) => {}
        }
        out.put_slice(&bytes);
    }
}

/// How a command ended: status code type, status code, which retry delay holds, and "do not retry".
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Status {
    /// Status code type.
    pub kind: u8,
    /// Status code.
    pub code: u8,
    /// Command retry delay: 0 for none, else which of the three that Identify tells.
    pub retry_delay: u8,
    /// Do not retry.
    pub do_not_retry: bool,
}

impl Status {
    /// Done.
    pub const SUCCESS: Self = Self::generic(0x00);
    /// The opcode is not supported.
    pub const INVALID_OPCODE: Self = Self::generic(0x01).without_retry();
    /// A field makes no sense.
    pub const INVALID_FIELD: Self = Self::generic(0x02).without_retry();
    /// The id belongs to another open command.
    pub const CID_CONFLICT: Self = Self::generic(0x03);
    /// Something failed inside.
    pub const INTERNAL: Self = Self::generic(0x06);
    /// It was aborted.
    pub const ABORTED: Self = Self::generic(0x07);
    /// No such namespace.
    pub const INVALID_NAMESPACE: Self = Self::generic(0x0b).without_retry();
    /// Out of turn.
    pub const SEQUENCE: Self = Self::generic(0x0c).without_retry();
    /// The data's length is not that of the command.
    pub const SGL_LENGTH: Self = Self::generic(0x0f).without_retry();
    /// A kind of data pointer that is not supported.
    pub const SGL_TYPE: Self = Self::generic(0x11).without_retry();
    /// The data's offset makes no sense.
    pub const SGL_OFFSET: Self = Self::generic(0x16).without_retry();
    /// It was interrupted and may be sent again.
    pub const INTERRUPTED: Self = Self::generic(0x21);
    /// Blocks past the end.
    pub const LBA_RANGE: Self = Self::generic(0x80).without_retry();
    /// The namespace can't be used yet.
    pub const NOT_READY: Self = Self::generic(0x82);
    /// Too many aborts at a time.
    pub const ABORT_LIMIT: Self = Self { kind: 1, ..Self::generic(0x03) };
    /// A Connect in a format that is not supported.
    pub const CONNECT_FORMAT: Self = Self { kind: 1, ..Self::generic(0x80) }.without_retry();
    /// No controller is free.
    pub const CONNECT_BUSY: Self = Self { kind: 1, ..Self::generic(0x81) };
    /// A Connect with a parameter that makes no sense.
    pub const CONNECT_PARAMETER: Self = Self { kind: 1, ..Self::generic(0x82) }.without_retry();

    const fn generic(code: u8) -> Self {
        Self { kind: 0, code, retry_delay: 0, do_not_retry: false }
    }

    /// The same, not to be retried.
    pub const fn without_retry(self) -> Self {
        Self { do_not_retry: true, ..self }
    }

    fn decode(field: u16) -> Self {
        let (kind, delay) = ((field >> 9) as u8 & 0b111, (field >> 12) as u8 & 0b11);
        Self { kind, code: (field >> 1) as u8, retry_delay: delay, do_not_retry: field >> 15 == 1 }
    }

    fn encode(self) -> u16 {
        let (kind, delay) = (u16::from(self.kind & 0b111) << 9, u16::from(self.retry_delay & 0b11) << 12);
        u16::from(self.do_not_retry) << 15 | delay | kind | u16::from(self.code) << 1
    }
}

/// A completion.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Completion {
    /// What the command gives back.
    pub result: u64,
    /// How far the controller has read the queue.
    pub head: u16,
    /// The command.
    pub cid: u16,
    /// How it ended.
    pub status: Status,
}

impl Completion {
    /// Decodes 16 bytes.
    pub fn decode(mut bytes: &[u8]) -> Self {
        let (result, head, _queue) = (bytes.get_u64_le(), bytes.get_u16_le(), bytes.get_u16_le());
        Self { result, head, cid: bytes.get_u16_le(), status: Status::decode(bytes.get_u16_le()) }
    }

    /// Appends 16 bytes.
    pub fn encode(&self, out: &mut BytesMut) {
        out.put_u64_le(self.result);
        out.put_u16_le(self.head);
        // Reserved on this transport: a connection is one queue.
        out.put_u16_le(0);
        out.put_u16_le(self.cid);
        out.put_u16_le(self.status.encode());
    }
}

/// Names that come with a Connect command.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct ConnectData {
    /// The controller, or `0xffff` for any.
    pub controller: u16,
    /// The subsystem's name.
    pub subsystem: String,
    /// The host's name.
    pub host: String,
}

impl ConnectData {
    /// Decodes the data of a Connect; `None` if it is cut short.
    pub fn decode(bytes: &[u8]) -> Option<Self> {
        let name = |from: usize| {
            let field = bytes.get(from..from + 256)?;
            let end = field.iter().position(|b| *b == 0)?;
            Some(String::from_utf8_lossy(&field[..end]).into_owned())
        };
        let controller = u16::from_le_bytes([*bytes.get(16)?, *bytes.get(17)?]);
        (bytes.len() >= CONNECT_DATA).then_some(())?;
        Some(Self { controller, subsystem: name(256)?, host: name(512)? })
    }

    /// Encodes it.
    pub fn encode(&self) -> Bytes {
        let mut bytes = BytesMut::zeroed(CONNECT_DATA);
        bytes[16..18].copy_from_slice(&self.controller.to_le_bytes());
        for (from, name) in [(256, &self.subsystem), (512, &self.host)] {
            let name = &name.as_bytes()[..name.len().min(255)];
            bytes[from..from + name.len()].copy_from_slice(name);
        }
        bytes.freeze()
    }
}
