//! NVMe over TCP for stand-ins: the PDUs that a host and a target of the subset exchange, without digests.

use std::io::{self, Read, Write};
use std::net::TcpStream;

/// A PDU as it is on the wire: its type, its flags, its header after the common one, and its data.
#[derive(Debug)]
pub struct Pdu {
    pub kind: u8,
    pub flags: u8,
    pub header: Vec<u8>,
    pub data: Vec<u8>,
}

/// Types of PDUs.
pub const IC_REQ: u8 = 0x00;
pub const IC_RESP: u8 = 0x01;
pub const COMMAND: u8 = 0x04;
pub const RESPONSE: u8 = 0x05;
pub const C2H_DATA: u8 = 0x07;
/// Flag of the last PDU of a transfer.
pub const LAST: u8 = 1 << 2;

/// Opcodes.
pub const WRITE: u8 = 0x01;
pub const READ: u8 = 0x02;
pub const IDENTIFY: u8 = 0x06;
pub const SET_FEATURES: u8 = 0x09;
pub const FABRICS: u8 = 0x7f;

/// Types of fabrics commands.
pub const PROPERTY_SET: u8 = 0x00;
pub const CONNECT: u8 = 0x01;

impl Pdu {
    /// Reads the next PDU.
    pub fn read(stream: &mut TcpStream) -> io::Result<Self> {
        let mut common = [0; 8];
        stream.read_exact(&mut common)?;
        let header_end = usize::from(common[2]);
        let length = u32::from_le_bytes([common[4], common[5], common[6], common[7]]) as usize;
        if header_end < 8 || length < header_end {
            return Err(io::ErrorKind::InvalidData.into());
        }
        let mut rest = vec![0; length - 8];
        stream.read_exact(&mut rest)?;
        let data_start =
            if length == header_end { header_end } else { usize::from(common[3]).max(header_end) };
        let data = rest.split_off(data_start - 8);
        rest.truncate(header_end - 8);
        Ok(Self { kind: common[0], flags: common[1], header: rest, data })
    }

    /// Writes the PDU; its data follows the header at once.
    pub fn write(&self, stream: &mut TcpStream) -> io::Result<()> {
        let header_end = 8 + self.header.len();
        let data_start = if self.data.is_empty() { 0 } else { header_end as u8 };
        let mut bytes = vec![self.kind, self.flags, header_end as u8, data_start];
        bytes.extend_from_slice(&((header_end + self.data.len()) as u32).to_le_bytes());
        bytes.extend_from_slice(&self.header);
        bytes.extend_from_slice(&self.data);
        stream.write_all(&bytes)
    }

    /// Returns the 16-bit field of the header at this offset, counted after the common header.
    pub fn word(&self, offset: usize) -> u16 {
        u16::from_le_bytes([self.header[offset], self.header[offset + 1]])
    }

    /// Returns the 32-bit field of the header at this offset.
    pub fn dword(&self, offset: usize) -> u32 {
        u32::from(self.word(offset)) | u32::from(self.word(offset + 2)) << 16
    }

    /// Returns the 64-bit field of the header at this offset.
    pub fn qword(&self, offset: usize) -> u64 {
        u64::from(self.dword(offset)) | u64::from(self.dword(offset + 4)) << 32
    }

    /// Returns a capsule with a command whose data has this `length` and goes in the capsule or, if there is
    /// none there, by data PDUs.
    pub fn command(opcode: u8, cid: u16, length: u32, in_capsule: Option<Vec<u8>>) -> Self {
        let mut header = vec![0; 64];
        header[0] = opcode;
        header[1] = 0x40;
        header[2..4].copy_from_slice(&cid.to_le_bytes());
        header[32..36].copy_from_slice(&length.to_le_bytes());
        header[39] = if in_capsule.is_some() { 0x01 } else { 0x5a };
        Self { kind: COMMAND, flags: 0, header, data: in_capsule.unwrap_or_default() }
    }

    /// Returns a capsule with a read or a write of blocks.
    pub fn io(opcode: u8, cid: u16, nsid: u32, first: u64, count: u32, data: Option<Vec<u8>>) -> Self {
        let mut pdu = Self::command(opcode, cid, count * 512, data);
        pdu.header[4..8].copy_from_slice(&nsid.to_le_bytes());
        pdu.header[40..48].copy_from_slice(&first.to_le_bytes());
        pdu.header[48..50].copy_from_slice(&(count as u16 - 1).to_le_bytes());
        pdu
    }

    /// Returns the completion of a command. `status` is the field without the phase.
    pub fn response(cid: u16, result: u64, status: u16) -> Self {
        let mut header = result.to_le_bytes().to_vec();
        header.extend_from_slice(&[0; 4]);
        header.extend_from_slice(&cid.to_le_bytes());
        header.extend_from_slice(&(status << 1).to_le_bytes());
        Self { kind: RESPONSE, flags: 0, header, data: Vec::new() }
    }

    /// Returns the data of a command for the host, all of it in one PDU.
    pub fn data(cid: u16, data: Vec<u8>) -> Self {
        let mut header = cid.to_le_bytes().to_vec();
        header.extend_from_slice(&[0; 6]);
        header.extend_from_slice(&(data.len() as u32).to_le_bytes());
        header.extend_from_slice(&[0; 4]);
        Self { kind: C2H_DATA, flags: LAST, header, data }
    }
}

/// Accepts the handshake of the transport as a target.
pub fn accept(stream: &mut TcpStream) -> io::Result<()> {
    let mut header = vec![0; 120];
    // The most data in one PDU from the host.
    header[4..8].copy_from_slice(&65536u32.to_le_bytes());
    Pdu { kind: IC_RESP, flags: 0, header, data: Vec::new() }.write(stream)
}

/// Does the handshake of the transport as a host.
pub fn initialise(stream: &mut TcpStream) -> io::Result<()> {
    Pdu { kind: IC_REQ, flags: 0, header: vec![0; 120], data: Vec::new() }.write(stream)?;
    Pdu::read(stream).map(|_| ())
}

/// Connects a queue; returns the controller's id.
pub fn connect(stream: &mut TcpStream, subsystem: &str, queue: u16, controller: u16) -> io::Result<u16> {
    let mut data = vec![0; 1024];
    data[16..18].copy_from_slice(&controller.to_le_bytes());
    data[256..256 + subsystem.len()].copy_from_slice(subsystem.as_bytes());
    let host = b"nqn.2026-12.org.example:host";
    data[512..512 + host.len()].copy_from_slice(host);
    let mut pdu = Pdu::command(FABRICS, 0, 1024, Some(data));
    pdu.header[4] = CONNECT;
    pdu.header[42..44].copy_from_slice(&queue.to_le_bytes());
    pdu.header[44..46].copy_from_slice(&31u16.to_le_bytes());
    pdu.write(stream)?;
    let response = Pdu::read(stream)?;
    if response.word(14) >> 1 != 0 {
        return Err(io::Error::other(format!("connect: status {:#x}", response.word(14) >> 1)));
    }
    Ok(response.word(0))
}

/// A host with an admin queue and one I/O queue.
pub struct Host {
    pub admin: TcpStream,
    pub io: TcpStream,
    cid: u16,
}

impl Host {
    pub fn connect(address: std::net::SocketAddr, subsystem: &str) -> io::Result<Self> {
        let mut admin = TcpStream::connect(address)?;
        initialise(&mut admin)?;
        let controller = connect(&mut admin, subsystem, 0, 0xffff)?;
        let mut enable = Pdu::command(FABRICS, 1, 0, None);
        enable.header[4] = PROPERTY_SET;
        enable.header[44..48].copy_from_slice(&0x14u32.to_le_bytes());
        enable.header[48..52].copy_from_slice(&0x0046_0001u32.to_le_bytes());
        enable.write(&mut admin)?;
        Pdu::read(&mut admin)?;
        let mut io = TcpStream::connect(address)?;
        initialise(&mut io)?;
        connect(&mut io, subsystem, 1, controller)?;
        Ok(Self { admin, io, cid: 0 })
    }

    /// Writes blocks with the data in the capsule; returns the status without the phase.
    pub fn write(&mut self, nsid: u32, first: u64, data: Vec<u8>) -> io::Result<u16> {
        self.cid = self.cid.wrapping_add(1);
        let count = (data.len() / 512) as u32;
        Pdu::io(WRITE, self.cid, nsid, first, count, Some(data)).write(&mut self.io)?;
        Ok(Pdu::read(&mut self.io)?.word(14) >> 1)
    }

    /// Reads blocks; returns the status without the phase, and the data.
    pub fn read(&mut self, nsid: u32, first: u64, count: u32) -> io::Result<(u16, Vec<u8>)> {
        self.cid = self.cid.wrapping_add(1);
        Pdu::io(READ, self.cid, nsid, first, count, None).write(&mut self.io)?;
        let mut data = Vec::new();
        loop {
            let pdu = Pdu::read(&mut self.io)?;
            match pdu.kind {
                C2H_DATA => data.extend_from_slice(&pdu.data),
                RESPONSE => return Ok((pdu.word(14) >> 1, data)),
                other => return Err(io::Error::other(format!("PDU of type {other:#x}"))),
            }
        }
    }
}
