//! The clock and the log that all parts of a play share.

use std::sync::{Arc, Mutex, PoisonError};

use tokio::time::Instant;

use crate::audit::{Entry, Micros};

/// The most entries of a log; further ones are only counted.
const MAX_ENTRIES: usize = 2_000_000;

/// The clock and the log of one play; clones share them.
#[derive(Clone, Debug)]
pub struct Play {
    begin: Instant,
    log: Arc<Mutex<(Vec<Entry>, u64)>>,
}

impl Default for Play {
    fn default() -> Self {
        Self { begin: Instant::now(), log: Arc::default() }
    }
}

impl Play {
    /// Returns the time since the play began, in microseconds.
    pub fn now(&self) -> Micros {
        self.at(Instant::now())
    }

    /// Returns the time from the beginning of the play to an instant, in microseconds.
    pub fn at(&self, moment: Instant) -> Micros {
        moment.saturating_duration_since(self.begin).as_micros() as Micros
    }

    /// Logs an entry.
    pub fn note(&self, entry: Entry) {
        let mut log = self.log.lock().unwrap_or_else(PoisonError::into_inner);
        if log.0.len() < MAX_ENTRIES {
            log.0.push(entry);
        } else {
            log.1 += 1;
        }
    }

    /// Returns the log, and the number of entries that were only counted.
    pub fn log(&self) -> (Vec<Entry>, u64) {
        self.log.lock().unwrap_or_else(PoisonError::into_inner).clone()
    }
}
