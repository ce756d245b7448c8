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
    session_loads: VecDeque<f64>,
    /// Sum of `session_loads`.
    load_sum: f64,
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
    }

    /// Records the peak load of a period as a fraction of the budget, and keeps the last `max_periods`
    /// periods.
    pub(crate) fn record_period(&mut self, peak_fraction: f64, max_periods: usize) {
        if self.sessions.is_empty() {
            return;
        }
        let load = peak_fraction / self.sessions.len() as f64;
        self.session_loads.push_back(load);
        self.load_sum += load;
        if self.session_loads.len() > max_periods {
            self.load_sum -= self.session_loads.pop_front().unwrap_or(0.0);
        }
    }

    /// Returns whether the load with one more session of mean load stays below [`MAX_ADMITTED_LOAD`]. A node
    /// without a history has capacity.
    pub(crate) fn has_capacity_for_new_session(&self) -> bool {
        if self.session_loads.is_empty() {
            return true;
        }
        let mean_load = self.load_sum / self.session_loads.len() as f64;
        mean_load * (self.sessions.len() as f64 + 1.0) < MAX_ADMITTED_LOAD
    }
}
