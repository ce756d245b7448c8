//! Counters and metrics of the core.

use std::fmt;
use std::sync::atomic::{AtomicU64, Ordering};
use std::sync::Arc;

use super::memory::MemoryUsage;
use heathward_policy::{AttemptEnd, ClassId};

/// Counts since the start of the process.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct Counters {
    /// Requests received, except those that count as [`Counters::malformed_requests`].
    pub requests_received: u64,
    /// Requests that a front end rejected as malformed, or whose id was in use.
    pub malformed_requests: u64,
    /// Requests whose client disconnected before the answer.
    pub client_disconnects: u64,
    /// Attempts handed to the connections of a node.
    pub attempts_sent: u64,
    /// Ends of attempts, in the order of [`Counters::ATTEMPT_ENDS`].
    pub attempt_ends: [u64; 8],
    /// Attempts whose last byte was written to a node.
    pub attempts_written: u64,
    /// Final answers of each class, by [`ClassId`].
    pub answers_by_class: Vec<AnswerCounts>,
    /// Requests that the core answered itself because the policy had not answered them in time.
    pub overdue_requests: u64,
    /// Updates of the endpoint list.
    pub endpoint_updates: u64,
    /// Checks of single nodes for a change of treatment that the observer has to be notified of.
    pub node_checks: u64,
    /// Reloads of the configuration.
    pub configuration_reloads: ConfigurationReloads,
}

/// Reloads of the configuration, by their result.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct ConfigurationReloads {
    /// Reloads whose configuration was applied.
    pub applied: u64,
    /// Reloads whose configuration was rejected; the old one was kept.
    pub rejected: u64,
}

/// Final answers, by kind.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct AnswerCounts {
    /// Requests that a node served.
    pub served: u64,
    /// Requests that were shed.
    pub shed: u64,
    /// Requests that failed.
    pub failed: u64,
}

/// Counts attempts when their last byte is written. All clones share one count.
#[derive(Clone, Debug, Default)]
pub struct WrittenAttempts(Arc<AtomicU64>);

impl WrittenAttempts {
    /// Counts one attempt.
    pub fn increment(&self) {
        self.0.fetch_add(1, Ordering::Relaxed);
    }

    /// Returns the number of attempts that were counted.
    pub fn total(&self) -> u64 {
        self.0.load(Ordering::Relaxed)
    }
}

/// Counters and the current state, for the metrics of operators.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct CoreMetrics {
    /// Counts since the start of the process.
    pub counters: Counters,
    /// Requests that have no answer yet, or whose reply is still being streamed.
    pub active_requests: usize,
    /// Nodes in the endpoint list.
    pub listed_nodes: usize,
    /// Listed nodes that get no new requests, or only an occasional one as a health check.
    pub avoided_nodes: usize,
    /// The use of the memory that bodies and connections share.
    pub memory: MemoryUsage,
}

impl Counters {
    /// All ends of attempts, in the order of [`Counters::attempt_ends`].
    pub const ATTEMPT_ENDS: [AttemptEnd; 8] = [
        AttemptEnd::Served,
        AttemptEnd::Error,
        AttemptEnd::Rejected,
        AttemptEnd::TimedOut,
        AttemptEnd::NotConnected,
        AttemptEnd::Reset,
        AttemptEnd::Cancelled,
        AttemptEnd::NotSent,
    ];

    /// Returns the number of attempts that ended with `end`.
    pub fn attempts_ended(&self, end: AttemptEnd) -> u64 {
        let index = Self::ATTEMPT_ENDS.iter().position(|known| *known == end);
        index.map_or(0, |index| self.attempt_ends[index])
    }

    /// Returns the answer counts of a class, which start at zero.
    pub fn answers_of_class(&mut self, class: ClassId) -> &mut AnswerCounts {
        let index = usize::from(class.0);
        self.answers_by_class.resize(self.answers_by_class.len().max(index + 1), AnswerCounts::default());
        &mut self.answers_by_class[index]
    }

    /// Returns the sum of the answer counts of all classes.
    pub fn total_answers(&self) -> AnswerCounts {
        self.answers_by_class.iter().fold(AnswerCounts::default(), |sum, class| AnswerCounts {
            served: sum.served + class.served,
            shed: sum.shed + class.shed,
            failed: sum.failed + class.failed,
        })
    }

    /// Counts the end of an attempt.
    pub fn count_attempt_end(&mut self, end: AttemptEnd) {
        if let Some(index) = Self::ATTEMPT_ENDS.iter().position(|known| *known == end) {
            self.attempt_ends[index] += 1;
        }
    }

    /// Counts a reload of the configuration.
    pub fn count_configuration_reload(&mut self, applied: bool) {
        let ConfigurationReloads { applied: applied_reloads, rejected } = &mut self.configuration_reloads;
        *if applied { applied_reloads } else { rejected } += 1;
    }
}

/// Formats the counters as one line of the log. The names in it are part of the interface;
/// `docs/glossary.md` maps them to those of this code.
impl fmt::Display for Counters {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(
            f,
            "taken={} malformed={} gone={} sent={} tries={}",
            self.requests_received,
            self.malformed_requests,
            self.client_disconnects,
            self.attempts_sent,
            self.attempts_written
        )?;
        for (end, count) in Self::ATTEMPT_ENDS.iter().zip(self.attempt_ends) {
            write!(f, " {}={count}", log_name(*end))?;
        }
        let AnswerCounts { served, shed, failed } = self.total_answers();
        write!(f, " served={served} refused={shed} failed={failed}")?;
        write!(f, " overdue={} lists={}", self.overdue_requests, self.endpoint_updates)
    }
}

/// Returns the name of an attempt's end in the line of the log.
fn log_name(end: AttemptEnd) -> &'static str {
    match end {
        AttemptEnd::Served => "ok",
        AttemptEnd::Error => "error",
        AttemptEnd::Rejected => "full",
        AttemptEnd::TimedOut => "timed_out",
        AttemptEnd::NotConnected => "not_connected",
        AttemptEnd::Reset => "reset",
        AttemptEnd::Cancelled => "cancelled",
        AttemptEnd::NotSent => "moot",
    }
}
