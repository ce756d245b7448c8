//! Segments: their names and heads, when one is full, and which make way. Plain decisions, no files.

use std::fmt;
use std::str::FromStr;

use crate::event::Micros;
use crate::frame::SegmentId;

/// How segments' names end.
pub const FILE_SUFFIX: &str = ".hwr";
/// Bytes of a segment's head.
pub const HEADER_BYTES: usize = 24;
/// No name of a scheduler is longer within a segment's name.
const MAX_SCHEDULER_NAME_CHARS: usize = 32;

const MAGIC: [u8; 8] = *b"HWRECORD";

/// A segment's name: `SCHEDULER-STARTED-BOOT-NUMBER.hwr`. In order of names, a scheduler's segments are in
/// order of time.
#[derive(Clone, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub struct SegmentName {
    /// The scheduler's name, with all but letters and digits as `_`.
    pub scheduler: String,
    /// When its boot began, Unix time in seconds.
    pub started_at_seconds: u64,
    /// The boot.
    pub boot: u64,
    /// The segment's number in the boot.
    pub number: u32,
}

impl SegmentName {
    /// The name of a boot's segment.
    pub fn new(scheduler: &str, started: u64, boot: u64, number: u32) -> Self {
        let plain = |c: char| if c.is_ascii_alphanumeric() { c } else { '_' };
        let scheduler = scheduler.chars().take(MAX_SCHEDULER_NAME_CHARS).map(plain).collect();
        Self { scheduler, started_at_seconds: started, boot, number }
    }

    /// Which segment that is.
    pub fn id(&self) -> SegmentId {
        SegmentId { boot: self.boot, number: self.number }
    }
}

impl fmt::Display for SegmentName {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        let Self { scheduler, started_at_seconds: started, boot, number } = self;
        write!(f, "{scheduler}-{started:010}-{boot:016x}-{number:06}{FILE_SUFFIX}")
    }
}

/// A name that is none of a segment's.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct NotASegmentName;

impl FromStr for SegmentName {
    type Err = NotASegmentName;

    fn from_str(text: &str) -> Result<Self, NotASegmentName> {
        let parts: Vec<&str> = text.strip_suffix(FILE_SUFFIX).ok_or(NotASegmentName)?.split('-').collect();
        let [scheduler, started, boot, number] = parts[..] else { return Err(NotASegmentName) };
        let name = Self {
            scheduler: scheduler.to_owned(),
            started_at_seconds: started.parse().map_err(|_| NotASegmentName)?,
            boot: u64::from_str_radix(boot, 16).map_err(|_| NotASegmentName)?,
            number: number.parse().map_err(|_| NotASegmentName)?,
        };
        // Only what this program would write.
        if name.to_string() == text {
            Ok(name)
        } else {
            Err(NotASegmentName)
        }
    }
}

/// A segment's header: magic bytes, boot, number and a checksum, numbers little-endian.
pub fn encode_header(id: SegmentId) -> [u8; HEADER_BYTES] {
    let mut header = [0; HEADER_BYTES];
    header[..8].copy_from_slice(&MAGIC);
    header[8..16].copy_from_slice(&id.boot.to_le_bytes());
    header[16..20].copy_from_slice(&id.number.to_le_bytes());
    let checksum = crc32c::crc32c(&header[..20]);
    header[20..].copy_from_slice(&checksum.to_le_bytes());
    header
}

/// Which segment a header belongs to; `None` where the header is damaged.
pub fn decode_header(header: &[u8; HEADER_BYTES]) -> Option<SegmentId> {
    let checksum = u32::from_le_bytes([header[20], header[21], header[22], header[23]]);
    if header[..8] != MAGIC || crc32c::crc32c(&header[..20]) != checksum {
        return None;
    }
    let (boot, number) = (header[8..16].try_into().ok()?, header[16..20].try_into().ok()?);
    Some(SegmentId { boot: u64::from_le_bytes(boot), number: u32::from_le_bytes(number) })
}

/// When a segment is full.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Rotation {
    /// Bytes.
    pub max_bytes: u64,
    /// How long it is written to.
    pub max_age: Micros,
}

impl Rotation {
    /// Whether the next record goes into a new segment.
    pub fn is_due(self, size: u64, opened: Micros, now: Micros) -> bool {
        size >= self.max_bytes || now.saturating_sub(opened) >= self.max_age
    }
}

/// The segments that make way, oldest first, so that those of a scheduler come to no more than `total` bytes
/// with `coming` more. The newest of each boot stays: another process may be writing to it.
pub fn segments_to_evict(
    files: &[(SegmentName, u64)],
    scheduler: &str,
    total: u64,
    coming: u64,
) -> Vec<SegmentName> {
    let own = || files.iter().filter(|(name, _)| name.scheduler == scheduler);
    let newest = |of: &SegmentName| !own().any(|(name, _)| name.boot == of.boot && name.number > of.number);
    let mut size: u64 = own().map(|(_, size)| size).sum::<u64>() + coming;
    let mut oldest: Vec<_> = own().filter(|(name, _)| !newest(name)).collect();
    oldest.sort();
    let mut going = Vec::new();
    for (name, bytes) in oldest {
        if size <= total {
            break;
        }
        size -= bytes;
        going.push(name.clone());
    }
    going
}
