//! The data structures that Identify returns, and the properties of a controller.

use bytes::{Bytes, BytesMut};

use super::map::{Namespace, NvmeMap};
use super::pdu::MAX_DATA_BYTES;
use heathward_policy::Micros;

/// Size of each data structure that Identify returns, in bytes.
const PAGE_BYTES: usize = 4096;
/// The most data in a capsule, in bytes.
pub const MAX_IN_CAPSULE_BYTES: usize = 8192;
/// The most Abort commands that may be open at a time.
pub const MAX_ABORTS: usize = 4;
/// Version of the NVMe specification: 1.4.
pub const VERSION: u32 = 0x0001_0400;
/// Unit of the retry delays: 100 ms.
const DELAY_UNIT: Micros = 100_000;

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

/// Returns the three command retry delays, in units of 100 ms: the shortest one, a quarter of the longest
/// hint, and the longest hint.
pub fn retry_delays(longest_hint: Micros) -> [u16; 3] {
    let units = |hint: Micros| hint.div_ceil(DELAY_UNIT).clamp(1, 0xffff) as u16;
    [1, units(longest_hint / 4), units(longest_hint)]
}

/// Returns the index, from 1, of the first retry delay that is as long as the hint, or of the last one; 0
/// without a hint.
pub fn retry_delay_index(hint: Option<Micros>, delays: [u16; 3]) -> u8 {
    let Some(hint) = hint.filter(|hint| *hint > 0) else { return 0 };
    let index = delays.iter().position(|units| Micros::from(*units) * DELAY_UNIT >= hint);
    index.unwrap_or(delays.len() - 1) as u8 + 1
}

/// Returns the Identify Controller data structure.
pub fn controller(map: &NvmeMap, id: u16, delays: [u16; 3]) -> Bytes {
    let mut page = BytesMut::zeroed(PAGE_BYTES);
    let mut put = |offset: usize, value: &[u8]| page[offset..offset + value.len()].copy_from_slice(value);
    put(4, b"0                   ");
    put(24, b"heathward                               ");
    put(64, format!("{:<8.8}", env!("CARGO_PKG_VERSION")).as_bytes());
    // The most data of one command: 4096 bytes times this power of two.
    put(77, &[(MAX_DATA_BYTES / PAGE_BYTES).ilog2() as u8]);
    put(78, &id.to_le_bytes());
    put(80, &VERSION.to_le_bytes());
    // Controller type: I/O controller.
    put(111, &[1]);
    for (index, delay) in delays.iter().enumerate() {
        put(128 + 2 * index, &delay.to_le_bytes());
    }
    // The most Abort commands at a time, minus 1.
    put(258, &[MAX_ABORTS as u8 - 1]);
    // Granularity of the keep-alive time: 100 ms.
    put(320, &1u16.to_le_bytes());
    // Sizes of the queue entries: 64 and 16 bytes.
    put(512, &[0x66, 0x44]);
    put(514, &map.depth.to_le_bytes());
    let highest_nsid = map.namespaces.last().map_or(0, |namespace| namespace.nsid);
    put(516, &highest_nsid.to_le_bytes());
    // SGLs are supported, also for data in the capsule.
    put(536, &(1u32 | 1 << 20).to_le_bytes());
    let name = map.subsystem.as_bytes();
    put(768, name);
    // Sizes of command and response capsules, in units of 16 bytes.
    put(1792, &(((64 + MAX_IN_CAPSULE_BYTES) / 16) as u32).to_le_bytes());
    put(1796, &1u32.to_le_bytes());
    // One SGL descriptor per command.
    put(1803, &[1]);
    page.freeze()
}

/// Returns the Identify Namespace data structure.
pub fn namespace(map: &NvmeMap, namespace: &Namespace) -> Bytes {
    let mut page = BytesMut::zeroed(PAGE_BYTES);
    let mut put = |offset: usize, value: &[u8]| page[offset..offset + value.len()].copy_from_slice(value);
    for offset in [0, 8, 16] {
        put(offset, &namespace.blocks.to_le_bytes());
    }
    // Controllers of other hosts may be attached to it too.
    put(30, &[1]);
    // Optimal I/O boundary in blocks: a command should not cross the end of a stripe, as all of it goes to
    // the shard of its first block.
    let boundary = namespace.stripe.min(u64::from(u16::MAX)) as u16;
    put(46, &boundary.to_le_bytes());
    // The only LBA format: the block size as a power of two.
    put(130, &[map.block.ilog2() as u8]);
    page.freeze()
}

/// Returns the list of the namespace ids above `after`.
pub fn active_namespaces(map: &NvmeMap, after: u32) -> Bytes {
    let mut page = BytesMut::zeroed(PAGE_BYTES);
    let above = map.namespaces.iter().filter(|namespace| namespace.nsid > after);
    for (namespace, entry) in above.zip(page.chunks_exact_mut(4)) {
        entry.copy_from_slice(&namespace.nsid.to_le_bytes());
    }
    page.freeze()
}
