//! Segments: their names and headers, when a new one is begun, and which are evicted. No I/O.

use std::fmt;
use std::str::FromStr;

use crate::event::Micros;
use crate::frame::SegmentId;

/// The suffix of the names of segment files.
pub const FILE_SUFFIX: &str = ".hwr";
/// The length of the header of a segment, in bytes.
pub const HEADER_BYTES: usize = 24;
/// A longer name of a scheduler is cut in the names of its segments.
const MAX_SCHEDULER_NAME_CHARS: usize = 32;

const MAGIC: [u8; 8] = *b"HWRECORD";

/// The name of a segment file: `SCHEDULER-STARTED-BOOT-NUMBER.hwr`. Sorted by name, the segments of a
/// scheduler are in order of time.
#[derive(Clone, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub struct SegmentName {
    /// The name of the scheduler, with `_` for every character but ASCII letters and digits.
    pub scheduler: String,
    /// When the run of the scheduler began, Unix time in seconds.
    pub started_at_seconds: u64,
    /// The random number of that run.
    pub boot: u64,
    /// The number of the segment in that run, from 0.
    pub number: u32,
}

impl SegmentName {
    /// The name of a segment; the name of the scheduler is adapted to it.
    pub fn new(scheduler: &str, started: u64, boot: u64, number: u32) -> Self {
        let plain = |c: char| if c.is_ascii_alphanumeric() { c } else { '_' };
        let scheduler = scheduler.chars().take(MAX_SCHEDULER_NAME_CHARS).map(plain).collect();
        Self { scheduler, started_at_seconds: started, boot, number }
    }

    /// The id of the segment.
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

/// A file name that is not one of a segment.
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
        // Only names in the form in which this program writes them.
        if name.to_string() == text {
            Ok(name)
        } else {
            Err(NotASegmentName)
        }
    }
}

/// The header of a segment: magic bytes, boot, number and a checksum, numbers little-endian.
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

/// When a new segment is begun.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Rotation {
    /// The size of a segment, in bytes.
    pub max_bytes: u64,
    /// The time for which a segment is written.
    pub max_age: Micros,
}

impl Rotation {
    /// Whether the next record goes into a new segment, for a segment of that size that was opened then.
    pub fn is_due(self, bytes: u64, opened_at: Micros, now: Micros) -> bool {
        bytes >= self.max_bytes || now.saturating_sub(opened_at) >= self.max_age
    }
}

/// The segments to remove, oldest first, so that those of a scheduler have at most `max_total_bytes` together
/// with `additional_bytes` more. The newest segment of each run stays, as another process may be writing it.
pub fn segments_to_evict(
    files: &[(SegmentName, u64)],
    scheduler: &str,
    max_total_bytes: u64,
    additional_bytes: u64,
) -> Vec<SegmentName> {
    let own = || files.iter().filter(|(name, _)| name.scheduler == scheduler);
    let is_newest =
        |of: &SegmentName| !own().any(|(name, _)| name.boot == of.boot && name.number > of.number);
    let mut total: u64 = own().map(|(_, bytes)| bytes).sum::<u64>() + additional_bytes;
    let mut oldest: Vec<_> = own().filter(|(name, _)| !is_newest(name)).collect();
    oldest.sort();
    let mut evicted = Vec::new();
    for (name, bytes) in oldest {
        if total <= max_total_bytes {
            break;
        }
        total -= bytes;
        evicted.push(name.clone());
    }
    evicted
}
