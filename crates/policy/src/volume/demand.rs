//! The rates at which a volume's requests arrive here, are sent from here, and are served by all nodes.

use crate::api::{seconds, Micros};

/// Time constant over which rates are averaged, in seconds: long enough to smooth out single requests, short
/// enough to show a surge.
const AVERAGING_SECONDS: f64 = 2.0;
/// Maximum weight of the latest report in the fleet-wide usage.
const MAX_REPORT_WEIGHT: f64 = 0.5;

/// Exponentially weighted rates at this scheduler, in units a second.
#[derive(Clone, Debug, Default)]
pub(crate) struct LocalDemand {
    /// Rate of arriving requests.
    pub(crate) requested_rate: f64,
    /// Rate of first attempts.
    pub(crate) sent_rate: f64,
    updated_at: Micros,
}

impl LocalDemand {
    /// Decays the rates to `now`.
    pub(crate) fn decay(&mut self, now: Micros) {
        let remaining = (-seconds(now.saturating_sub(self.updated_at)) / AVERAGING_SECONDS).exp();
        self.requested_rate *= remaining;
        self.sent_rate *= remaining;
        self.updated_at = now;
    }

    /// Records a request. The rates must have been decayed to the current time.
    pub(crate) fn record_request(&mut self, units: f64) {
        self.requested_rate += units / AVERAGING_SECONDS;
    }

    /// Records a first attempt. The rates must have been decayed to the current time.
    pub(crate) fn record_send(&mut self, units: f64) {
        self.sent_rate += units / AVERAGING_SECONDS;
    }
}

/// The rate at which all nodes together serve the volume, as nodes report it.
#[derive(Clone, Debug, Default)]
pub(crate) struct FleetUsage {
    rate: f64,
    reported_at: Option<Micros>,
}

impl FleetUsage {
    /// Returns the smoothed rate in units a second, or `None` before the first report.
    pub(crate) fn rate(&self) -> Option<f64> {
        self.reported_at.map(|_| self.rate)
    }

    /// Records a reported rate in units a second. Its weight grows with the time since the last report; the
    /// first report counts as following one at time 0 of the clock, which normally gives it the maximum
    /// weight.
    pub(crate) fn observe(&mut self, now: Micros, rate: f64) {
        let age = seconds(now.saturating_sub(self.reported_at.unwrap_or(0)));
        let weight = (1.0 - (-age / AVERAGING_SECONDS).exp()).min(MAX_REPORT_WEIGHT);
        self.rate += weight * (rate - self.rate);
        self.reported_at = Some(now);
    }
}
