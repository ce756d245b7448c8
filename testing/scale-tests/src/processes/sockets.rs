//! Which of a process's descriptors are connections to certain ports, by `/proc`.

use std::collections::HashSet;
use std::fs;

/// Places of the remote address and of the inode among the fields of a line of `/proc/PID/net/tcp`.
const REMOTE_FIELD: usize = 2;
const INODE_FIELD: usize = 9;

/// Descriptors of a process other than its connections to these ports.
///
/// # Panics
/// If it does not run.
pub fn descriptors_besides(process: u32, remote_ports: &[u16]) -> usize {
    let root = format!("/proc/{process}");
    let connected = || {
        let sockets = fs::read_to_string(format!("{root}/net/tcp")).expect("a process that runs");
        connected_inodes(&sockets, remote_ports)
    };
    // Before and after: a connection may open or close while the descriptors are read.
    let mut to_ports = connected();
    let descriptors = fs::read_dir(format!("{root}/fd")).expect("a process that runs");
    // One that is closed meanwhile has no target any more.
    let targets = descriptors.filter_map(|entry| fs::read_link(entry.ok()?.path()).ok());
    let targets: Vec<String> = targets.map(|target| target.display().to_string()).collect();
    to_ports.extend(connected());
    targets.iter().filter(|target| inode(target).is_none_or(|inode| !to_ports.contains(&inode))).count()
}

/// Inodes of the sockets in a `/proc/PID/net/tcp` that are connected to one of these ports.
pub fn connected_inodes(sockets: &str, remote_ports: &[u16]) -> HashSet<u64> {
    let connected = |line: &str| {
        let fields: Vec<&str> = line.split_ascii_whitespace().collect();
        let (_, port) = fields.get(REMOTE_FIELD)?.split_once(':')?;
        let port = u16::from_str_radix(port, 16).ok()?;
        let inode = fields.get(INODE_FIELD)?.parse().ok()?;
        remote_ports.contains(&port).then_some(inode)
    };
    sockets.lines().filter_map(connected).collect()
}

/// The inode in the target of a descriptor that is a socket: `socket:[123]`.
fn inode(target: &str) -> Option<u64> {
    target.strip_prefix("socket:[")?.strip_suffix(']')?.parse().ok()
}
