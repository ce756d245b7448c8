//! A rate limit on log messages about the requests that the scheduler answered itself.

use crate::api::Micros;

/// Minimum time between two log messages, in microseconds.
const LOG_INTERVAL: Micros = 1_000_000;

/// The number of requests that were shed or failed since the last log message.
#[derive(Clone, Debug, Default)]
pub(crate) struct LocalAnswerLog {
    unreported: u64,
    last_report: Micros,
}

impl LocalAnswerLog {
    /// Records a request. Returns the number to report if a log message is due.
    pub(crate) fn record(&mut self, now: Micros) -> Option<u64> {
        self.unreported += 1;
        if now.saturating_sub(self.last_report) < LOG_INTERVAL {
            return None;
        }
        self.last_report = now;
        Some(std::mem::take(&mut self.unreported))
    }
}

#[cfg(test)]
mod tests;
