//! The module's clock: the machine's time in microseconds, which all machines of a deployment share.

use std::time::{Duration, SystemTime, UNIX_EPOCH};

use tokio::time::Instant;

use heathward_policy::Micros;

/// Reads Unix time once and goes on from there evenly, so that it never steps back.
#[derive(Clone, Copy, Debug)]
pub struct Clock {
    start: Instant,
    unix: Micros,
}

impl Clock {
    /// A clock that starts now.
    pub fn start() -> Self {
        let unix = SystemTime::now().duration_since(UNIX_EPOCH).unwrap_or_default();
        Self { start: Instant::now(), unix: unix.as_micros() as Micros }
    }

    /// The module's time at an instant.
    pub fn micros_at(&self, instant: Instant) -> Micros {
        self.unix + instant.saturating_duration_since(self.start).as_micros() as Micros
    }

    /// The instant of one of the module's times; one before the clock's start is its start.
    pub fn instant_at(&self, at: Micros) -> Instant {
        self.start + Duration::from_micros(at.saturating_sub(self.unix))
    }
}
