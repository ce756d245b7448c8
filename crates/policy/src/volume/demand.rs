//! Rates at which a volume's requests arrive here, are sent from here, and are served by all nodes.

use crate::api::{seconds, Micros};

/// Time over which rates are averaged, in seconds: long enough to even out single requests, short enough to
/// show a surge.
const AVERAGING_SECONDS: f64 = 2.0;
/// Maximum weight of the newest report in the fleet-wide usage.
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
    /// Brings the rates up to date.
    pub(crate) fn decay(&mut self, now: Micros) {
        let remaining = (-seconds(now.saturating_sub(self.updated_at)) / AVERAGING_SECONDS).exp();
        self.requested_rate *= remaining;
        self.sent_rate *= remaining;
        self.updated_at = now;
    }

    /// Counts a request; the rates have to be up to date.
    pub(crate) fn record_request(&mut self, units: f64) {
        self.requested_rate += units / AVERAGING_SECONDS;
    }

    /// Counts a first attempt; the rates have to be up to date.
    pub(crate) fn record_send(&mut self, units: f64) {
        self.sent_rate += units / AVERAGING_SECONDS;
    }
}

/// The rate at which all nodes serve the volume, as they report it.
#[derive(Clone, Debug, Default)]
pub(crate) struct FleetUsage {
    rate: f64,
    reported_at: Option<Micros>,
}

impl FleetUsage {
    /// The smoothed rate in units a second; `None` until a node reports.
    pub(crate) fn rate(&self) -> Option<f64> {
        self.reported_at.map(|_| self.rate)
    }

    /// Takes in a report of a rate in units a second. Its weight grows with the time since the last report;
    /// without one, since time 0 of the clock, so that the first report has the maximum weight.
    pub(crate) fn observe(&mut self, now: Micros, rate: f64) {
        let age = seconds(now.saturating_sub(self.reported_at.unwrap_or(0)));
        let weight = (1.0 - (-age / AVERAGING_SECONDS).exp()).min(MAX_REPORT_WEIGHT);
        self.rate += weight * (rate - self.rate);
        self.reported_at = Some(now);
    }
}
