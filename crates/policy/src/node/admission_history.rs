//! The load of the volumes that use a node, which decides on the admission of further volumes.
//!
//! A volume has a session at a node from its first request there until it has sent none for the idle time.

use std::collections::{BTreeMap, VecDeque};

use crate::api::{Micros, VolumeId};

/// Time over which the load of volumes is averaged, in microseconds; it is longer than a surge. Volumes and
/// nodes that were not used within it are removed, after twice that time at the latest.
pub(crate) const ADMISSION_LOOKBACK: Micros = 30_000_000;
/// Fraction of the budget up to which volumes are admitted. A mean load of the full budget would leave no
/// margin for variation.
const MAX_ADMITTED_LOAD: f64 = 0.9;

/// The most sessions at a node; the mean load of a session is then as good as 0.
const MAX_SESSIONS: usize = 2048;

/// The volumes that use a node, and their mean load in past budget periods.
#[derive(Clone, Debug, Default)]
pub(crate) struct AdmissionHistory {
    /// Open sessions: the time of each volume's latest request.
    sessions: BTreeMap<VolumeId, Micros>,
    /// Peak load of each period divided by the number of sessions, as a fraction of the budget.
    session_loads: LoadHistory,
    /// Sum of `session_loads`.
    load_sum: f64,
}

/// Loads of periods, in order. Most periods of a node that is seldom used are alike, so equal ones are stored
/// once.
#[derive(Clone, Debug, Default)]
struct LoadHistory {
    runs: VecDeque<LoadRun>,
    periods: usize,
}

/// Consecutive periods with the same load.
#[derive(Clone, Copy, Debug)]
struct LoadRun {
    load: f64,
    periods: usize,
}

impl LoadHistory {
    fn push(&mut self, load: f64) {
        match self.runs.back_mut().filter(|last| last.load.to_bits() == load.to_bits()) {
            Some(last) => last.periods += 1,
            None => self.runs.push_back(LoadRun { load, periods: 1 }),
        }
        self.periods += 1;
    }

    /// Removes the oldest load and returns it; 0 if there is none.
    fn pop(&mut self) -> f64 {
        let Some(first) = self.runs.front_mut() else { return 0.0 };
        let load = first.load;
        first.periods -= 1;
        if first.periods == 0 {
            self.runs.pop_front();
        }
        self.periods -= 1;
        load
    }
}

impl AdmissionHistory {
    /// Opens the session of a request's volume, or keeps it open. Beyond [`MAX_SESSIONS`] none is opened.
    pub(crate) fn record_request(&mut self, now: Micros, volume: VolumeId) {
        if self.sessions.len() < MAX_SESSIONS || self.sessions.contains_key(&volume) {
            self.sessions.insert(volume, now);
        }
    }

    pub(crate) fn has_session(&self, volume: VolumeId) -> bool {
        self.sessions.contains_key(&volume)
    }

    pub(crate) fn close_idle_sessions(&mut self, now: Micros, idle_time: Micros) {
        self.sessions.retain(|_, last_request| now.saturating_sub(*last_request) < idle_time);
        if self.sessions.is_empty() {
            // An empty map would keep the memory of its first entries.
            self.sessions = BTreeMap::new();
        }
    }

    /// Records the peak load of a period as a fraction of the budget, and keeps the last `max_periods`
    /// periods.
    pub(crate) fn record_period(&mut self, peak_fraction: f64, max_periods: usize) {
        if self.sessions.is_empty() {
            return;
        }
        let load = peak_fraction / self.sessions.len() as f64;
        self.session_loads.push(load);
        self.load_sum += load;
        if self.session_loads.periods > max_periods {
            self.load_sum -= self.session_loads.pop();
        }
    }

    /// Returns whether the load with one more session of mean load stays below [`MAX_ADMITTED_LOAD`]. A node
    /// without a history has capacity.
    pub(crate) fn has_capacity_for_new_session(&self) -> bool {
        if self.session_loads.periods == 0 {
            return true;
        }
        let mean_load = self.load_sum / self.session_loads.periods as f64;
        mean_load * (self.sessions.len() as f64 + 1.0) < MAX_ADMITTED_LOAD
    }
}
