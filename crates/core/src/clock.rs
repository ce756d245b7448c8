//! The clock of the decision module: Unix time in microseconds, which all machines of a deployment share.

use std::time::{Duration, SystemTime, UNIX_EPOCH};

use tokio::time::Instant;

use heathward_policy::Micros;

/// Reads Unix time once and then advances with the monotonic clock, so that it never steps back.
#[derive(Clone, Copy, Debug)]
pub struct Clock {
    started_at: Instant,
    unix_micros_at_start: Micros,
}

impl Clock {
    /// Creates a clock that starts at the current Unix time.
    pub fn start() -> Self {
        let unix_time = SystemTime::now().duration_since(UNIX_EPOCH).unwrap_or_default();
        Self { started_at: Instant::now(), unix_micros_at_start: unix_time.as_micros() as Micros }
    }

    /// Converts an instant to Unix time in microseconds. An instant before the start of the clock counts as
    /// its start.
    pub fn micros_at(&self, instant: Instant) -> Micros {
        self.unix_micros_at_start + instant.saturating_duration_since(self.started_at).as_micros() as Micros
    }

    /// Converts a Unix time in microseconds to an instant. A time before the start of the clock counts as
    /// its start.
    pub fn instant_at(&self, at: Micros) -> Instant {
        self.started_at + Duration::from_micros(at.saturating_sub(self.unix_micros_at_start))
    }
}
