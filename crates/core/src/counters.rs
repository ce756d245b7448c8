//! What the core has taken, sent and answered.

use std::fmt;
use std::sync::atomic::{AtomicU64, Ordering};
use std::sync::Arc;

use heathward_policy::{AttemptEnd, ClassId};

/// Counts since the start.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct Counters {
    /// Requests taken.
    pub requests_received: u64,
    /// Requests that a front turned away as malformed.
    pub malformed_requests: u64,
    /// Requests whose client left first.
    pub client_disconnects: u64,
    /// Attempts sent.
    pub attempts_sent: u64,
    /// Ends of attempts, in the order of [`Counters::ATTEMPT_END_NAMES`].
    pub attempt_ends: [u64; 8],
    /// Attempts written whole to nodes.
    pub attempts_written: u64,
    /// Answers, for each class by its place.
    pub answers_by_class: Vec<AnswerCounts>,
    /// Requests ended by the core as nothing else had answered them in time.
    pub overdue_requests: u64,
    /// Lists and changes of nodes.
    pub endpoint_updates: u64,
    /// Nodes that were compared with what the observer was told of them.
    pub node_checks: u64,
    /// Configurations read again: gone by, and not taken.
    pub configuration_reloads: (u64, u64),
}

/// Final answers given.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct AnswerCounts {
    /// Served.
    pub served: u64,
    /// Refused.
    pub shed: u64,
    /// Failed.
    pub failed: u64,
}

/// Counts attempts as their last byte is written; all its clones are one.
#[derive(Clone, Debug, Default)]
pub struct WrittenAttempts(Arc<AtomicU64>);

impl WrittenAttempts {
    /// One more.
    pub fn increment(&self) {
        self.0.fetch_add(1, Ordering::Relaxed);
    }

    /// How many so far.
    pub fn total(&self) -> u64 {
        self.0.load(Ordering::Relaxed)
    }
}

impl Counters {
    /// Names of the ends of attempts.
    pub const ATTEMPT_END_NAMES: [(AttemptEnd, &'static str); 8] = [
        (AttemptEnd::Served, "ok"),
        (AttemptEnd::Error, "error"),
        (AttemptEnd::Rejected, "full"),
        (AttemptEnd::TimedOut, "timed_out"),
        (AttemptEnd::NotConnected, "not_connected"),
        (AttemptEnd::Reset, "reset"),
        (AttemptEnd::Cancelled, "cancelled"),
        (AttemptEnd::NotSent, "moot"),
    ];

    /// The answers of a class.
    pub fn answers_of_class(&mut self, class: ClassId) -> &mut AnswerCounts {
        let at = usize::from(class.0);
        self.answers_by_class.resize(self.answers_by_class.len().max(at + 1), AnswerCounts::default());
        &mut self.answers_by_class[at]
    }

    /// The answers of all classes.
    pub fn total_answers(&self) -> AnswerCounts {
        self.answers_by_class.iter().fold(AnswerCounts::default(), |sum, class| AnswerCounts {
            served: sum.served + class.served,
            shed: sum.shed + class.shed,
            failed: sum.failed + class.failed,
        })
    }

    /// Counts the end of an attempt.
    pub fn count_attempt_end(&mut self, end: AttemptEnd) {
        if let Some(at) = Self::ATTEMPT_END_NAMES.iter().position(|(known, _)| *known == end) {
            self.attempt_ends[at] += 1;
        }
    }
}

impl fmt::Display for Counters {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        let Self {
            requests_received: taken,
            malformed_requests: malformed,
            client_disconnects: gone,
            attempts_sent: sent,
            attempts_written: tries,
            ..
        } = self;
        write!(f, "taken={taken} malformed={malformed} gone={gone} sent={sent} tries={tries}")?;
        for ((_, name), count) in Self::ATTEMPT_END_NAMES.iter().zip(self.attempt_ends) {
            write!(f, " {name}={count}")?;
        }
        let (
            AnswerCounts { served, shed: refused, failed },
            Self { overdue_requests: overdue, endpoint_updates: lists, .. },
        ) = (self.total_answers(), self);
        write!(f, " served={served} refused={refused} failed={failed} overdue={overdue} lists={lists}")
    }
}
