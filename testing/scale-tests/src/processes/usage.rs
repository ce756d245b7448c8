//! What a process has used, by `/proc`.

use std::time::Duration;

use heathward_fakes::Program;

/// Units in which `/proc/PID/stat` counts processor time, a second: `USER_HZ` of the kernel's interface.
const TICKS_PER_SECOND: u64 = 100;
/// Places of the user and system time among the fields that follow the program's name.
const CPU_FIELDS: std::ops::Range<usize> = 11..13;

/// What a process holds and has used.
#[derive(Clone, Copy, Debug, Default, PartialEq)]
pub struct Usage {
    /// Resident memory, bytes.
    pub resident: f64,
    /// Open descriptors.
    pub descriptors: f64,
    /// Processor time since its start, in user and system mode.
    pub cpu: Duration,
}

impl Usage {
    /// Of a scheduler now.
    pub fn of(program: &Program) -> Self {
        let held = program.held();
        Self {
            resident: (held.resident_kb * 1024) as f64,
            descriptors: held.descriptors as f64,
            cpu: cpu(program.id()),
        }
    }
}

/// Processor time that a process has used since its start: by the scheduler's own account of the threads that
/// run, to the nanosecond, where the kernel keeps one, else in ticks.
///
/// # Panics
/// If it does not run.
pub fn cpu(process: u32) -> Duration {
    let in_ticks = || {
        let stat = std::fs::read_to_string(format!("/proc/{process}/stat")).expect("a process that runs");
        cpu_in(&stat).expect("a line as proc(5) has it")
    };
    cpu_of_threads(process).unwrap_or_else(in_ticks)
}

/// Time on a processor of all threads of a process that run; `None` where the kernel does not say.
fn cpu_of_threads(process: u32) -> Option<Duration> {
    let mut total = Duration::ZERO;
    for thread in std::fs::read_dir(format!("/proc/{process}/task")).ok()? {
        let account = std::fs::read_to_string(thread.ok()?.path().join("schedstat")).ok()?;
        total += Duration::from_nanos(account.split_ascii_whitespace().next()?.parse().ok()?);
    }
    Some(total)
}

/// User and system time in a line of `/proc/PID/stat`.
pub fn cpu_in(stat: &str) -> Option<Duration> {
    // The name stands in parentheses, and may hold spaces and parentheses itself.
    let (_, fields) = stat.rsplit_once(')')?;
    let fields: Vec<&str> = fields.split_ascii_whitespace().collect();
    let ticks = fields.get(CPU_FIELDS)?.iter().map(|field| field.parse::<u64>().ok());
    let ticks: u64 = ticks.sum::<Option<u64>>()?;
    Some(Duration::from_millis(ticks * 1000 / TICKS_PER_SECOND))
}
