//! The memory of processes, as the system counts it.

use std::future::Future;
use std::pin::pin;
use std::time::Duration;

use tokio::time::interval;

/// Interval at which the memory is sampled.
const SAMPLE_INTERVAL: Duration = Duration::from_millis(10);
/// The pages of a release build of the program that are resident, in kilobytes. They count in place of those
/// of the build that is played, as a debug build has twice as many.
const PROGRAM_KB: usize = 6 * 1024;

/// Returns the memory of a process without its program's pages, in kilobytes; `None` if it does not run.
fn private_kb(process: u32) -> Option<usize> {
    let status = std::fs::read_to_string(format!("/proc/{process}/status")).ok()?;
    let figure = |name: &str| -> Option<usize> {
        let line = status.lines().find_map(|line| line.strip_prefix(name))?;
        line.split_ascii_whitespace().next()?.parse().ok()
    };
    Some(figure("RssAnon:")? + figure("RssShmem:")?)
}

/// Runs `work` to its end, and records the most memory that these processes have together meanwhile, in
/// kilobytes.
pub async fn record_peak<F: Future>(processes: &[u32], peak_kb: &mut usize, work: F) -> F::Output {
    let (mut samples, mut work) = (interval(SAMPLE_INTERVAL), pin!(work));
    loop {
        tokio::select! {
            output = &mut work => return output,
            _ = samples.tick() => {
                let running = processes.iter().filter_map(|process| private_kb(*process));
                *peak_kb = (*peak_kb).max(running.map(|private| private + PROGRAM_KB).sum());
            }
        }
    }
}
