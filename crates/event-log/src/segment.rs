//! Segments: their names and heads, when one is full, and which make way. Plain decisions, no files.

use std::fmt;
use std::str::FromStr;

use crate::event::Micros;
use crate::frame::Identity;

/// How segments' names end.
pub const ENDING: &str = ".hwr";
/// Bytes of a segment's head.
pub const HEAD: usize = 24;
/// No name of a scheduler is longer within a segment's name.
const LONGEST_NAME: usize = 32;

const MAGIC: [u8; 8] = *b"HWRECORD";

/// A segment's name: `SCHEDULER-STARTED-BOOT-NUMBER.hwr`. In order of names, a scheduler's segments are in
/// order of time.
#[derive(Clone, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub struct SegmentName {
    /// The scheduler's name, with all but letters and digits as `_`.
    pub scheduler: String,
    /// When its boot began, Unix time in seconds.
    pub started: u64,
    /// The boot.
    pub boot: u64,
    /// The segment's number in the boot.
    pub number: u32,
}

impl SegmentName {
    /// The name of a boot's segment.
    pub fn new(scheduler: &str, started: u64, boot: u64, number: u32) -> Self {
        let plain = |c: char| if c.is_ascii_alphanumeric() { c } else { '_' };
        let scheduler = scheduler.chars().take(LONGEST_NAME).map(plain).collect();
        Self { scheduler, started, boot, number }
    }

    /// Which segment that is.
    pub fn identity(&self) -> Identity {
        Identity { boot: self.boot, number: self.number }
    }
}

impl fmt::Display for SegmentName {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        let Self { scheduler, started, boot, number } = self;
        write!(f, "{scheduler}-{started:010}-{boot:016x}-{number:06}{ENDING}")
    }
}

/// A name that is none of a segment's.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct NoSegment;

impl FromStr for SegmentName {
    type Err = NoSegment;

    fn from_str(text: &str) -> Result<Self, NoSegment> {
        let parts: Vec<&str> = text.strip_suffix(ENDING).ok_or(NoSegment)?.split('-').collect();
        let [scheduler, started, boot, number] = parts[..] else { return Err(NoSegment) };
        let name = Self {
            scheduler: scheduler.to_owned(),
            started: started.parse().map_err(|_| NoSegment)?,
            boot: u64::from_str_radix(boot, 16).map_err(|_| NoSegment)?,
            number: number.parse().map_err(|_| NoSegment)?,
        };
        // Only what this program would write.
        if name.to_string() == text {
            Ok(name)
        } else {
            Err(NoSegment)
        }
    }
}

/// A segment's first bytes.
pub fn head(identity: Identity) -> [u8; HEAD] {
    let mut head = [0; HEAD];
    head[..8].copy_from_slice(&MAGIC);
    head[8..16].copy_from_slice(&identity.boot.to_le_bytes());
    head[16..20].copy_from_slice(&identity.number.to_le_bytes());
    let sum = crc32c::crc32c(&head[..20]);
    head[20..].copy_from_slice(&sum.to_le_bytes());
    head
}

/// What a segment's first bytes say it is; `None` where they are damaged.
pub fn identity(head: &[u8; HEAD]) -> Option<Identity> {
    let sum = u32::from_le_bytes([head[20], head[21], head[22], head[23]]);
    if head[..8] != MAGIC || crc32c::crc32c(&head[..20]) != sum {
        return None;
    }
    let (boot, number) = (head[8..16].try_into().ok()?, head[16..20].try_into().ok()?);
    Some(Identity { boot: u64::from_le_bytes(boot), number: u32::from_le_bytes(number) })
}

/// When a segment is full.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Rotation {
    /// Bytes.
    pub size: u64,
    /// How long it is written to.
    pub age: Micros,
}

impl Rotation {
    /// Whether the next record goes into a new segment.
    pub fn due(self, size: u64, opened: Micros, now: Micros) -> bool {
        size >= self.size || now.saturating_sub(opened) >= self.age
    }
}

/// The segments that make way, oldest first, so that those of a scheduler come to no more than `total` bytes
/// with `coming` more. The newest of each boot stays: another process may be writing to it.
pub fn surplus(files: &[(SegmentName, u64)], scheduler: &str, total: u64, coming: u64) -> Vec<SegmentName> {
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
