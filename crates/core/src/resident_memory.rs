//! The memory that this process holds, as the operating system counts it.

/// The resident memory of a process, in bytes.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct ResidentMemory {
    /// All of it.
    pub total: usize,
    /// The part that maps files, such as the program: processes of one program share it.
    pub files: usize,
}

/// Returns the resident memory of this process; `None` if the system does not tell it.
pub fn resident_memory() -> Option<ResidentMemory> {
    let status = std::fs::read_to_string("/proc/self/status").ok()?;
    Some(ResidentMemory { total: bytes(&status, "VmRSS:")?, files: bytes(&status, "RssFile:")? })
}

/// Returns the value of a line that states kilobytes, in bytes.
fn bytes(status: &str, name: &str) -> Option<usize> {
    let value = status.lines().find_map(|line| line.strip_prefix(name))?;
    let kibibytes: usize = value.split_ascii_whitespace().next()?.parse().ok()?;
    Some(kibibytes * 1024)
}
