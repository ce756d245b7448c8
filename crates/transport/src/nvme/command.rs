//! The codec of commands, which are 64 bytes long, and completions, which are 16 bytes long.

use bytes::{Buf, BufMut, Bytes, BytesMut};

/// Length of the data of a Connect command, in bytes.
pub const CONNECT_DATA_BYTES: usize = 1024;
/// Length of a command, in bytes.
const COMMAND_BYTES: usize = 64;
/// Opcode of the fabrics commands.
const FABRICS: u8 = 0x7f;
/// The flags of a command that is not fused and describes its data by an SGL, as this transport requires.
const REQUIRED_FLAGS: u8 = 0x40;

/// The SGL descriptor of a command: where its data is.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Sgl {
    /// The data is in the capsule.
    InCapsule {
        /// Offset from the end of the command, in bytes.
        offset: u64,
        /// Length of the data, in bytes.
        length: u32,
    },
    /// The data is transferred in data PDUs.
    Transport {
        /// Length of the data, in bytes.
        length: u32,
    },
    /// A descriptor of another type, which is not supported.
    Other(u8),
}

impl Sgl {
    /// Returns the length of the described data, in bytes; 0 for a type that is not supported.
    pub fn length(self) -> u32 {
        match self {
            Self::InCapsule { length, .. } | Self::Transport { length } => length,
            Self::Other(_) => 0,
        }
    }
}

/// The fields that are specific to a Connect command.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Connect {
    /// Format of the command; 0 is the only one.
    pub format: u16,
    /// Id of the queue; 0 is the admin queue.
    pub queue: u16,
    /// Number of entries of the queue, minus 1.
    pub size: u16,
    /// Keep-alive time in milliseconds; 0 for none.
    pub keep_alive: u32,
}

/// The part of a command that depends on its opcode.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Body {
    /// Opens a queue.
    Connect(Connect),
    /// Reads a controller property.
    PropertyGet {
        /// The property is 8 bytes wide, not 4.
        wide: bool,
        /// Offset of the property.
        offset: u32,
    },
    /// Writes a controller property.
    PropertySet {
        /// The property is 8 bytes wide, not 4.
        wide: bool,
        /// Offset of the property.
        offset: u32,
        /// The value to write.
        value: u64,
    },
    /// Reads the properties of a controller or a namespace, or a list of namespaces.
    Identify {
        /// Id of the namespace, if the request concerns one.
        nsid: u32,
        /// Controller or namespace structure (CNS): selects the data structure to return.
        cns: u8,
    },
    /// Sets a feature.
    SetFeatures {
        /// Id of the feature.
        feature: u8,
        /// Its value (command dword 11).
        value: u32,
    },
    /// Restarts the keep-alive timer.
    KeepAlive,
    /// Aborts a command.
    Abort {
        /// Id of the queue that the command was sent to.
        queue: u16,
        /// Id of the command.
        cid: u16,
    },
    /// Reads blocks.
    Read(BlockRange),
    /// Writes blocks.
    Write(BlockRange),
    /// A fabrics command that is not supported, by its type.
    OtherFabrics(u8),
    /// A command that is not supported, by its opcode.
    Other(u8),
}

/// A range of blocks of a namespace.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct BlockRange {
    /// Id of the namespace.
    pub nsid: u32,
    /// Number of the first block.
    pub first: u64,
    /// Number of blocks.
    pub count: u32,
}

/// A command.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Command {
    /// Id of the command, unique among the open commands of its queue.
    pub cid: u16,
    /// Whether the flags for fused operations and the data pointer are as this transport requires.
    pub has_valid_flags: bool,
    /// Descriptor of its data.
    pub sgl: Sgl,
    /// The fields that depend on the opcode. Admin queues and I/O queues have separate opcodes: see
    /// [`Command::decode`].
    pub body: Body,
    /// The opcode as received.
    pub opcode: u8,
}

impl Command {
    /// Creates a command to send.
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
        Self { cid, has_valid_flags: true, sgl, body, opcode }
    }

    /// Decodes 64 bytes. No opcode of this subset is used for both an admin and an I/O command, so the type
    /// of the queue is not needed here; the queue rejects opcodes that it does not support.
    ///
    /// # Panics
    /// If `bytes` is shorter.
    pub fn decode(bytes: &[u8]) -> Self {
        let word = |offset: usize| u16::from_le_bytes([bytes[offset], bytes[offset + 1]]);
        let dword = |offset: usize| u32::from(word(offset)) | u32::from(word(offset + 2)) << 16;
        let qword = |offset: usize| u64::from(dword(offset)) | u64::from(dword(offset + 4)) << 32;
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
        Self { cid: word(2), has_valid_flags: bytes[1] == REQUIRED_FLAGS, sgl, body, opcode }
    }

    /// Appends the 64 bytes of the command.
    pub fn encode(&self, out: &mut BytesMut) {
        let mut bytes = [0; COMMAND_BYTES];
        let mut put =
            |offset: usize, value: &[u8]| bytes[offset..offset + value.len()].copy_from_slice(value);
        put(0, &[self.opcode, if self.has_valid_flags { REQUIRED_FLAGS } else { 0 }]);
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

/// The status of a completed command.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Status {
    /// Status code type.
    pub code_type: u8,
    /// Status code.
    pub code: u8,
    /// Command retry delay: 0 for none, else the index, from 1, of one of the three delays that the
    /// controller announces in Identify.
    pub retry_delay: u8,
    /// The host must not retry the command.
    pub do_not_retry: bool,
}

impl Status {
    /// The command succeeded.
    pub const SUCCESS: Self = Self::generic(0x00);
    /// The opcode is not supported.
    pub const INVALID_OPCODE: Self = Self::generic(0x01).without_retry();
    /// A field of the command is not valid.
    pub const INVALID_FIELD: Self = Self::generic(0x02).without_retry();
    /// The command id is in use by another open command.
    pub const CID_CONFLICT: Self = Self::generic(0x03);
    /// An internal error.
    pub const INTERNAL: Self = Self::generic(0x06);
    /// The command was aborted on request.
    pub const ABORTED: Self = Self::generic(0x07);
    /// The namespace does not exist.
    pub const INVALID_NAMESPACE: Self = Self::generic(0x0b).without_retry();
    /// A command that is not allowed at this point.
    pub const SEQUENCE: Self = Self::generic(0x0c).without_retry();
    /// The length of the data does not match the command.
    pub const SGL_LENGTH: Self = Self::generic(0x0f).without_retry();
    /// The type of the SGL descriptor is not supported.
    pub const SGL_TYPE: Self = Self::generic(0x11).without_retry();
    /// The offset of the data in the capsule is not valid.
    pub const SGL_OFFSET: Self = Self::generic(0x16).without_retry();
    /// The command was interrupted; the host may retry it.
    pub const INTERRUPTED: Self = Self::generic(0x21);
    /// The blocks are beyond the end of the namespace.
    pub const LBA_RANGE: Self = Self::generic(0x80).without_retry();
    /// The namespace is not ready yet.
    pub const NOT_READY: Self = Self::generic(0x82);
    /// Too many Abort commands are open.
    pub const ABORT_LIMIT: Self = Self { code_type: 1, ..Self::generic(0x03) };
    /// The format of a Connect command is not supported.
    pub const CONNECT_FORMAT: Self = Self { code_type: 1, ..Self::generic(0x80) }.without_retry();
    /// No controller is available for a Connect command.
    pub const CONNECT_BUSY: Self = Self { code_type: 1, ..Self::generic(0x81) };
    /// A parameter of a Connect command is not valid.
    pub const CONNECT_PARAMETER: Self = Self { code_type: 1, ..Self::generic(0x82) }.without_retry();

    const fn generic(code: u8) -> Self {
        Self { code_type: 0, code, retry_delay: 0, do_not_retry: false }
    }

    /// Returns this status with "do not retry" set.
    pub const fn without_retry(self) -> Self {
        Self { do_not_retry: true, ..self }
    }

    fn decode(field: u16) -> Self {
        let (code_type, delay) = ((field >> 9) as u8 & 0b111, (field >> 12) as u8 & 0b11);
        Self { code_type, code: (field >> 1) as u8, retry_delay: delay, do_not_retry: field >> 15 == 1 }
    }

    fn encode(self) -> u16 {
        let (code_type, delay) =
            (u16::from(self.code_type & 0b111) << 9, u16::from(self.retry_delay & 0b11) << 12);
        u16::from(self.do_not_retry) << 15 | delay | code_type | u16::from(self.code) << 1
    }
}

/// The completion of a command.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Completion {
    /// The result of the command; its meaning depends on the command.
    pub result: u64,
    /// Submission queue head: how far the controller has read the queue.
    pub head: u16,
    /// Id of the command.
    pub cid: u16,
    /// Status of the command.
    pub status: Status,
}

impl Completion {
    /// Decodes 16 bytes.
    ///
    /// # Panics
    /// If `bytes` is shorter.
    pub fn decode(mut bytes: &[u8]) -> Self {
        let (result, head, _queue) = (bytes.get_u64_le(), bytes.get_u16_le(), bytes.get_u16_le());
        Self { result, head, cid: bytes.get_u16_le(), status: Status::decode(bytes.get_u16_le()) }
    }

    /// Appends the 16 bytes of the completion.
    pub fn encode(&self, out: &mut BytesMut) {
        out.put_u64_le(self.result);
        out.put_u16_le(self.head);
        // The queue id is reserved on this transport, as each connection is one queue.
        out.put_u16_le(0);
        out.put_u16_le(self.cid);
        out.put_u16_le(self.status.encode());
    }
}

/// The data of a Connect command.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct ConnectData {
    /// Id of the controller, or `0xffff` for any.
    pub controller: u16,
    /// NQN of the subsystem.
    pub subsystem: String,
    /// NQN of the host.
    pub host: String,
}

impl ConnectData {
    /// Decodes the data; `None` if it is too short or a name has no end.
    pub fn decode(bytes: &[u8]) -> Option<Self> {
        let name = |offset: usize| {
            let field = bytes.get(offset..offset + 256)?;
            let end = field.iter().position(|byte| *byte == 0)?;
            Some(String::from_utf8_lossy(&field[..end]).into_owned())
        };
        let controller = u16::from_le_bytes([*bytes.get(16)?, *bytes.get(17)?]);
        (bytes.len() >= CONNECT_DATA_BYTES).then_some(())?;
        Some(Self { controller, subsystem: name(256)?, host: name(512)? })
    }

    /// Encodes the data; names are cut to 255 bytes.
    pub fn encode(&self) -> Bytes {
        let mut bytes = BytesMut::zeroed(CONNECT_DATA_BYTES);
        bytes[16..18].copy_from_slice(&self.controller.to_le_bytes());
        for (offset, name) in [(256, &self.subsystem), (512, &self.host)] {
            let name = &name.as_bytes()[..name.len().min(255)];
            bytes[offset..offset + name.len()].copy_from_slice(name);
        }
        bytes.freeze()
    }
}
