//! What schedulers keep for each node and volume, as entries and as resident memory.
//!
//! Resident memory is told by the growth of this process, so each figure wants a process of its own: memory
//! that was freed before is used again and does not show.

use heathward_policy::{Settings, VolumeId};

use super::driver::Driver;
use super::NODE_SIZES;
use crate::deployments::NODES;
use crate::series::Series;

/// Bytes of a page of /proc/self/statm on the machines that this runs on.
const PAGE: f64 = 4_096.0;

/// What a scheduler has done with its nodes.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Use {
    /// It lists them.
    Listed,
    /// It has asked each once, and was answered.
    Asked,
}

/// A scheduler before so many nodes.
pub fn scheduler(settings: &Settings, nodes: u32, done: Use) -> Driver {
    let mut driver = Driver::new(settings, nodes, false, 1);
    if done == Use::Asked {
        driver.ask_each(1_000);
        driver.pass(1_000_000);
    }
    driver
}

/// Resident memory of this process in bytes.
///
/// # Errors
/// Where /proc cannot be read.
pub fn resident() -> std::io::Result<f64> {
    let text = std::fs::read_to_string("/proc/self/statm")?;
    let pages = text.split_whitespace().nth(1).and_then(|pages| pages.parse::<f64>().ok());
    Ok(pages.ok_or(std::io::ErrorKind::InvalidData)? * PAGE)
}

/// Bytes for each pair of a scheduler and a node, by the growth of this process with so many schedulers.
///
/// # Errors
/// Where /proc cannot be read.
pub fn pair_bytes(settings: &Settings, nodes: u32, schedulers: u32, done: Use) -> std::io::Result<f64> {
    let before = resident()?;
    let kept: Vec<Driver> = (0..schedulers).map(|_| scheduler(settings, nodes, done)).collect();
    let after = resident()?;
    drop(kept);
    Ok((after - before).max(0.0) / f64::from(nodes) / f64::from(schedulers))
}

/// Entries that a scheduler keeps for its nodes. A count: the same each time.
pub fn node_entries(settings: &Settings, done: Use) -> Series {
    let name = if done == Use::Listed { "kept-nodes-listed" } else { "kept-nodes-asked" };
    let mut series = Series::new(name, "nodes", "entries", f64::from(NODES));
    for nodes in NODE_SIZES {
        let driver = scheduler(settings, nodes, done);
        series.push(f64::from(nodes), driver.module().entry_counts().nodes as f64);
    }
    series
}

/// Entries that a scheduler keeps for volumes that have asked once. A count: the same each time.
pub fn volume_entries(settings: &Settings) -> Series {
    let mut series = Series::new("kept-volumes", "volumes", "entries", 5_000.0);
    for volumes in [100_u64, 500, 1_000, 5_000] {
        let mut driver = Driver::new(settings, 10, false, 1);
        (0..volumes).for_each(|volume| driver.ask_for(VolumeId(volume), 1_000));
        series.push(volumes as f64, driver.module().entry_counts().volumes as f64);
    }
    series
}
