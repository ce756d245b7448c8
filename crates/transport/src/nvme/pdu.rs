//! The codec of the transport's PDUs. Digests are never negotiated.

use bytes::{Buf, BufMut, Bytes, BytesMut};

use super::command::{Command, Completion};

/// The most data in one PDU, and in one command, in bytes. It equals
/// [`MAX_BUFFERED_BODY_BYTES`](heathward_core::MAX_BUFFERED_BODY_BYTES), as the data of a command is not
/// streamed.
pub const MAX_DATA_BYTES: usize = 64 * 1024;
/// Length of the common header of all PDUs, in bytes.
const COMMON_HEADER_BYTES: usize = 8;
/// Header length of IcReq and IcResp, in bytes.
const IC_HEADER_BYTES: usize = 128;
/// Header length of a command capsule, in bytes.
const CAPSULE_HEADER_BYTES: usize = 72;
/// Header length of a response capsule, in bytes.
const RESPONSE_HEADER_BYTES: usize = 24;
/// Header length of TermReq, H2CData, C2HData and R2T, in bytes.
const DATA_HEADER_BYTES: usize = 24;
/// The largest offset of the data in a PDU, in bytes: a host may request an alignment of up to 128.
const MAX_DATA_OFFSET: usize = 128;
/// The most bytes of a malformed PDU that a TermReq returns.
const MAX_ECHO_BYTES: usize = 128;

/// Type of H2CData.
const H2C_DATA_TYPE: u8 = 0x06;

/// Flag of the last PDU of a transfer.
const LAST: u8 = 1 << 2;
/// Flags of the header and data digests.
const DIGESTS: u8 = 0b11;

/// The most data of a PDU that is received, in bytes.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(super) struct DataLimits {
    /// In an H2CData PDU.
    pub(super) h2c: usize,
    /// In any other PDU.
    pub(super) other: usize,
}

impl DataLimits {
    /// The limits of the codec.
    pub(super) const MAX: Self = Self { h2c: MAX_DATA_BYTES, other: MAX_DATA_BYTES };

    /// Checks the length that the PDU at the beginning of `buffer` states, before the rest of it is received.
    ///
    /// # Errors
    /// The PDU is longer than the limits allow.
    pub(super) fn check(self, buffer: &[u8]) -> Result<(), FatalError> {
        let [pdu_type, _, _, _, p0, p1, p2, p3, ..] = buffer[..] else { return Ok(()) };
        let max_data = if pdu_type == H2C_DATA_TYPE { self.h2c } else { self.other };
        if u32::from_le_bytes([p0, p1, p2, p3]) as usize > MAX_DATA_OFFSET + max_data {
            return Err(FatalError::header(4));
        }
        Ok(())
    }
}

/// One PDU.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Pdu {
    /// A host initializes a connection.
    IcReq {
        /// Version of the PDU format.
        pfv: u16,
        /// Alignment of data that the host requires, in dwords, minus 1.
        hpda: u8,
        /// Digests that the host requests.
        digests: u8,
        /// The most R2Ts that may be open for one command, minus 1.
        max_r2t: u32,
    },
    /// A controller accepts a connection.
    IcResp {
        /// Version of the PDU format.
        pfv: u16,
        /// Alignment of data that the controller requires, in dwords, minus 1.
        cpda: u8,
        /// Digests in use.
        digests: u8,
        /// The most data in one H2CData, in bytes.
        max_h2c: u32,
    },
    /// The host or the controller terminates the connection because of a fatal error.
    TermReq {
        /// Sent by the host; otherwise by the controller.
        by_host: bool,
        /// The error.
        fatal: FatalError,
        /// The first bytes of the malformed PDU.
        echo: Bytes,
    },
    /// A command, with its data if that is in the capsule.
    Capsule {
        /// The command.
        command: Command,
        /// The data in the capsule; empty if there is none.
        data: Bytes,
    },
    /// The completion of a command.
    Response(Completion),
    /// Data from host to controller.
    H2cData {
        /// Id of the command.
        cid: u16,
        /// Transfer tag of the R2T.
        ttag: u16,
        /// Offset in the command's data, in bytes.
        offset: u32,
        /// Whether this is the last PDU of the transfer.
        last: bool,
        /// The data.
        data: Bytes,
    },
    /// Data from controller to host.
    C2hData {
        /// Id of the command.
        cid: u16,
        /// Offset in the command's data, in bytes.
        offset: u32,
        /// Whether this is the last data PDU of the command.
        last: bool,
        /// The data.
        data: Bytes,
    },
    /// The controller is ready to receive a part of a command's data.
    R2t {
        /// Id of the command.
        cid: u16,
        /// Tag of the transfer.
        ttag: u16,
        /// Offset in the command's data, in bytes.
        offset: u32,
        /// Length in bytes.
        length: u32,
    },
}

/// A fatal transport error.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct FatalError {
    /// Fatal error status.
    pub status: u16,
    /// Fatal error information: for errors in a header or a parameter, the offset of the field at fault.
    pub info: u32,
}

impl FatalError {
    /// Returns the error for a header field at `offset` that is not valid.
    pub const fn header(offset: u32) -> Self {
        Self { status: 1, info: offset }
    }

    /// A PDU that is not allowed at this point.
    pub const SEQUENCE: Self = Self { status: 2, info: 0 };
    /// Data outside the range of its transfer.
    pub const RANGE: Self = Self { status: 4, info: 0 };

    /// Returns the error for a parameter at `offset` that is not supported.
    pub const fn parameter(offset: u32) -> Self {
        Self { status: 6, info: offset }
    }
}

impl Pdu {
    /// Removes the next PDU from the front of `buffer`; `None` if it is not complete yet.
    ///
    /// # Errors
    /// A header, a parameter or a length that is not valid. The host has to be informed of it before its
    /// connection ends.
    pub fn decode(buffer: &mut BytesMut) -> Result<Option<Self>, FatalError> {
        let [pdu_type, flags, hlen, pdo, p0, p1, p2, p3, ..] = buffer[..] else { return Ok(None) };
        let (plen, pdo) = (u32::from_le_bytes([p0, p1, p2, p3]) as usize, usize::from(pdo));
        // Header length, and whether data may follow the header.
        let (header_length, may_have_data) = match pdu_type {
            0x00 | 0x01 => (IC_HEADER_BYTES, false),
            0x02 | 0x03 => (DATA_HEADER_BYTES, true),
            0x04 => (CAPSULE_HEADER_BYTES, true),
            0x05 => (RESPONSE_HEADER_BYTES, false),
            0x06 | 0x07 => (DATA_HEADER_BYTES, true),
            0x09 => (DATA_HEADER_BYTES, false),
            _ => return Err(FatalError::header(0)),
        };
        if flags & DIGESTS != 0 && pdu_type >= 0x04 {
            return Err(FatalError::header(1));
        }
        if usize::from(hlen) != header_length {
            return Err(FatalError::header(2));
        }
        let max_plen =
            if may_have_data { header_length.max(MAX_DATA_OFFSET) + MAX_DATA_BYTES } else { header_length };
        if plen < header_length || plen > max_plen {
            return Err(FatalError::header(4));
        }
        // The data of a TermReq follows its header directly; its data offset is reserved.
        let data_start = if plen == header_length || pdu_type < 0x04 { header_length } else { pdo };
        if data_start < header_length || data_start > plen || data_start > header_length.max(MAX_DATA_OFFSET)
        {
            return Err(FatalError::header(3));
        }
        if buffer.len() < plen {
            buffer.reserve(plen - buffer.len());
            return Ok(None);
        }
        let pdu = buffer.split_to(plen).freeze();
        let data = pdu.slice(data_start..);
        let mut rest = &pdu[COMMON_HEADER_BYTES..header_length];
        let last = flags & LAST != 0;
        Ok(Some(match pdu_type {
            0x00 => {
                let (pfv, hpda, digests) = (rest.get_u16_le(), rest.get_u8(), rest.get_u8());
                Self::IcReq { pfv, hpda, digests, max_r2t: rest.get_u32_le() }
            }
            0x01 => {
                let (pfv, cpda, digests) = (rest.get_u16_le(), rest.get_u8(), rest.get_u8());
                Self::IcResp { pfv, cpda, digests, max_h2c: rest.get_u32_le() }
            }
            0x02 | 0x03 => {
                let fatal = FatalError { status: rest.get_u16_le(), info: rest.get_u32_le() };
                Self::TermReq { by_host: pdu_type == 0x02, fatal, echo: data }
            }
            0x04 => Self::Capsule { command: Command::decode(rest), data },
            0x05 => Self::Response(Completion::decode(rest)),
            _ => {
                let (cid, ttag) = (rest.get_u16_le(), rest.get_u16_le());
                let (offset, length) = (rest.get_u32_le(), rest.get_u32_le());
                match pdu_type {
                    0x09 => Self::R2t { cid, ttag, offset, length },
                    _ if length as usize != data.len() => return Err(FatalError::header(16)),
                    0x06 => Self::H2cData { cid, ttag, offset, last, data },
                    _ => Self::C2hData { cid, offset, last, data },
                }
            }
        }))
    }

    /// Returns the data of the PDU, which follows its header.
    pub fn data(&self) -> &[u8] {
        match self {
            Self::TermReq { echo: data, .. }
            | Self::Capsule { data, .. }
            | Self::H2cData { data, .. }
            | Self::C2hData { data, .. } => data,
            Self::IcReq { .. } | Self::IcResp { .. } | Self::Response(_) | Self::R2t { .. } => &[],
        }
    }

    /// Appends the PDU to `out`; its data starts at a multiple of `align` bytes.
    pub fn encode(&self, out: &mut BytesMut, align: usize) {
        self.encode_header(out, align);
        out.put_slice(self.data());
    }

    /// Appends the header of the PDU, and the padding that its data needs to start at a multiple of `align`
    /// bytes.
    pub fn encode_header(&self, out: &mut BytesMut, align: usize) {
        let data = self.data();
        let (pdu_type, flags, header_length) = match self {
            Self::IcReq { .. } => (0x00, 0, IC_HEADER_BYTES),
            Self::IcResp { .. } => (0x01, 0, IC_HEADER_BYTES),
            Self::TermReq { by_host, .. } => (if *by_host { 0x02 } else { 0x03 }, 0, DATA_HEADER_BYTES),
            Self::Capsule { .. } => (0x04, 0, CAPSULE_HEADER_BYTES),
            Self::Response(_) => (0x05, 0, RESPONSE_HEADER_BYTES),
            Self::H2cData { last, .. } => (0x06, if *last { LAST } else { 0 }, DATA_HEADER_BYTES),
            Self::C2hData { last, .. } => (0x07, if *last { LAST } else { 0 }, DATA_HEADER_BYTES),
            Self::R2t { .. } => (0x09, 0, DATA_HEADER_BYTES),
        };
        let has_data_offset = pdu_type >= 0x04 && !data.is_empty();
        let data_start =
            if has_data_offset { header_length.next_multiple_of(align.max(1)) } else { header_length };
        let pdu_start = out.len();
        out.put_u8(pdu_type);
        out.put_u8(flags);
        out.put_u8(header_length as u8);
        out.put_u8(if has_data_offset { data_start as u8 } else { 0 });
        out.put_u32_le((data_start + data.len()) as u32);
        match self {
            Self::IcReq { pfv, hpda: align, digests, max_r2t: limit }
            | Self::IcResp { pfv, cpda: align, digests, max_h2c: limit } => {
                out.put_u16_le(*pfv);
                out.put_u8(*align);
                out.put_u8(*digests);
                out.put_u32_le(*limit);
            }
            Self::TermReq { fatal, .. } => {
                out.put_u16_le(fatal.status);
                out.put_u32_le(fatal.info);
            }
            Self::Capsule { command, .. } => command.encode(out),
            Self::Response(completion) => completion.encode(out),
            Self::H2cData { cid, ttag, offset, .. } => put_transfer(out, *cid, *ttag, *offset, data.len()),
            Self::C2hData { cid, offset, .. } => put_transfer(out, *cid, 0, *offset, data.len()),
            Self::R2t { cid, ttag, offset, length } => {
                put_transfer(out, *cid, *ttag, *offset, *length as usize);
            }
        }
        out.resize(pdu_start + data_start, 0);
    }

    /// Returns the controller's TermReq for a malformed PDU, of which `buffer` holds the first bytes.
    pub fn terminate(fatal: FatalError, buffer: &[u8]) -> Self {
        let echo = Bytes::copy_from_slice(&buffer[..buffer.len().min(MAX_ECHO_BYTES)]);
        Self::TermReq { by_host: false, fatal, echo }
    }
}

/// Appends the header fields that H2CData, C2HData and R2T have in common.
fn put_transfer(out: &mut BytesMut, cid: u16, ttag: u16, offset: u32, length: usize) {
    out.put_u16_le(cid);
    out.put_u16_le(ttag);
    out.put_u32_le(offset);
    out.put_u32_le(length as u32);
}
