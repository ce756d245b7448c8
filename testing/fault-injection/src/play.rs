//! What a play shares: its clock and its log.

use std::sync::{Arc, Mutex, PoisonError};

use tokio::time::Instant;

use crate::audit::{Entry, Micros};

/// Entries of a play at most; what is more is counted.
const MAX_ENTRIES: usize = 2_000_000;

/// The clock and the log of one play; all clones are one.
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
    /// Microseconds since it began.
    pub fn now(&self) -> Micros {
        self.at(Instant::now())
    }

    /// The same for another moment.
    pub fn at(&self, moment: Instant) -> Micros {
        moment.saturating_duration_since(self.begin).as_micros() as Micros
    }

    /// Writes it down.
    pub fn note(&self, entry: Entry) {
        let mut log = self.log.lock().unwrap_or_else(PoisonError::into_inner);
        if log.0.len() < MAX_ENTRIES {
            log.0.push(entry);
        } else {
            log.1 += 1;
        }
    }

    /// All so far, and how many were too many.
    pub fn log(&self) -> (Vec<Entry>, u64) {
        self.log.lock().unwrap_or_else(PoisonError::into_inner).clone()
    }
}
