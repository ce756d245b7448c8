//! The data structures that Identify returns, and the properties of a controller.

use bytes::{Bytes, BytesMut};

use super::map::{Namespace, NvmeMap};
use super::pdu::MAX_DATA_BYTES;
use heathward_policy::Micros;

/// Size of every answer to Identify.
const PAGE: usize = 4096;
/// Data in a capsule at most.
pub const IN_CAPSULE: usize = 8192;
/// Aborts at a time at most.
pub const ABORTS: usize = 4;
/// Version 1.4 of the specification.
pub const VERSION: u32 = 0x0001_0400;
/// Delays are told in tenths of a second.
const DELAY_STEP: Micros = 100_000;

/// Offset of the property for the controller capabilities.
pub const CAP: u32 = 0x00;
/// Offset of the property for the version.
pub const VS: u32 = 0x08;
/// Offset of the property for the controller configuration.
pub const CC: u32 = 0x14;
/// Offset of the property for the controller status.
pub const CSTS: u32 = 0x1c;

/// Returns the controller capabilities: the number of queue entries minus 1, contiguous queues required,
/// ready within half a second, NVM command set.
pub fn capabilities(depth: u16) -> u64 {
    u64::from(depth - 1) | 1 << 16 | 1 << 24 | 1 << 37
}

/// The three retry delays, in steps of 100 ms: the shortest, a quarter of the longest hint, and all of it.
pub fn delays(longest: Micros) -> [u16; 3] {
    let steps = |span: Micros| span.div_ceil(DELAY_STEP).clamp(1, 0xffff) as u16;
    [1, steps(longest / 4), steps(longest)]
}

/// Which of the delays covers a hint: the first that is long enough; 0 for none.
pub fn delay_for(hint: Option<Micros>, delays: [u16; 3]) -> u8 {
    let Some(hint) = hint.filter(|hint| *hint > 0) else { return 0 };
    let at = delays.iter().position(|steps| Micros::from(*steps) * DELAY_STEP >= hint);
    at.unwrap_or(delays.len() - 1) as u8 + 1
}

/// Returns the Identify Controller data structure.
pub fn controller(map: &NvmeMap, id: u16, delays: [u16; 3]) -> Bytes {
    let mut page = BytesMut::zeroed(PAGE);
    let mut put = |at: usize, value: &[u8]| page[at..at + value.len()].copy_from_slice(value);
    put(4, b"0                   ");
    put(24, b"heathward                               ");
    put(64, format!("{:<8.8}", env!("CARGO_PKG_VERSION")).as_bytes());
    // Data of one command, as a power of two of 4096 bytes.
    put(77, &[(MAX_DATA_BYTES / PAGE).ilog2() as u8]);
    put(78, &id.to_le_bytes());
    put(80, &VERSION.to_le_bytes());
    // Controller type: I/O controller.
    put(111, &[1]);
    for (at, delay) in delays.iter().enumerate() {
        put(128 + 2 * at, &delay.to_le_bytes());
    }
    // Aborts at a time, from 0.
    put(258, &[ABORTS as u8 - 1]);
    // Keep-alive in steps of 100 ms.
    put(320, &1u16.to_le_bytes());
    // Sizes of the queue entries: 64 and 16 bytes.
    put(512, &[0x66, 0x44]);
    put(514, &map.depth.to_le_bytes());
    let last = map.namespaces.last().map_or(0, |n| n.nsid);
    put(516, &last.to_le_bytes());
    // SGLs are supported, with data in the capsule.
    put(536, &(1u32 | 1 << 20).to_le_bytes());
    let name = map.subsystem.as_bytes();
    put(768, name);
    // Capsules, in steps of 16 bytes.
    put(1792, &(((64 + IN_CAPSULE) / 16) as u32).to_le_bytes());
    put(1796, &1u32.to_le_bytes());
    // One SGL descriptor per command.
    put(1803, &[1]);
    page.freeze()
}

/// A namespace.
pub fn namespace(map: &NvmeMap, of: &Namespace) -> Bytes {
    let mut page = BytesMut::zeroed(PAGE);
    let mut put = |at: usize, value: &[u8]| page[at..at + value.len()].copy_from_slice(value);
    for at in [0, 8, 16] {
        put(at, &of.blocks.to_le_bytes());
    }
    // Controllers of other hosts may be attached to it too.
    put(30, &[1]);
    // Blocks that best stay within one command: it goes to the shard of its first.
    let boundary = of.stripe.min(u64::from(u16::MAX)) as u16;
    put(46, &boundary.to_le_bytes());
    // The only LBA format: the block size as a power of two.
    put(130, &[map.block.ilog2() as u8]);
    page.freeze()
}

/// Numbers of the namespaces above `after`.
pub fn active(map: &NvmeMap, after: u32) -> Bytes {
    let mut page = BytesMut::zeroed(PAGE);
    let above = map.namespaces.iter().filter(|n| n.nsid > after);
    for (n, place) in above.zip(page.chunks_exact_mut(4)) {
        place.copy_from_slice(&n.nsid.to_le_bytes());
    }
    page.freeze()
}
