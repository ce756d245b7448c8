//! What the core has taken, sent and answered.

use std::fmt;
use std::sync::atomic::{AtomicU64, Ordering};
use std::sync::Arc;

use heathward_policy::{ClassId, End};

/// Counts since the start.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct Counters {
    /// Requests taken.
    pub taken: u64,
    /// Requests that a front turned away as malformed.
    pub malformed: u64,
    /// Requests whose client left first.
    pub gone: u64,
    /// Attempts sent.
    pub sent: u64,
    /// Ends of attempts, in the order of [`Counters::ENDS`].
    pub ends: [u64; 8],
    /// Attempts written whole to nodes.
    pub tries: u64,
    /// Answers, for each class by its place.
    pub answers: Vec<Answers>,
    /// Requests ended by the core as nothing else had answered them in time.
    pub overdue: u64,
    /// Lists and changes of nodes.
    pub lists: u64,
    /// Nodes that were compared with what the observer was told of them.
    pub node_checks: u64,
    /// Configurations read again: gone by, and not taken.
    pub configured: (u64, u64),
}

/// Final answers given.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct Answers {
    /// Served.
    pub served: u64,
    /// Refused.
    pub refused: u64,
    /// Failed.
    pub failed: u64,
}

/// Counts attempts as their last byte is written; all its clones are one.
#[derive(Clone, Debug, Default)]
pub struct Tries(Arc<AtomicU64>);

impl Tries {
    /// One more.
    pub fn count(&self) {
        self.0.fetch_add(1, Ordering::Relaxed);
    }

    /// How many so far.
    pub fn so_far(&self) -> u64 {
        self.0.load(Ordering::Relaxed)
    }
}

impl Counters {
    /// Names of the ends of attempts.
    pub const ENDS: [(End, &'static str); 8] = [
        (End::Served, "ok"),
        (End::Error, "error"),
        (End::Full, "full"),
        (End::TimedOut, "timed_out"),
        (End::NotConnected, "not_connected"),
        (End::Reset, "reset"),
        (End::Cancelled, "cancelled"),
        (End::NotSent, "moot"),
    ];

    /// The answers of a class.
    pub fn of(&mut self, class: ClassId) -> &mut Answers {
        let at = usize::from(class.0);
        self.answers.resize(self.answers.len().max(at + 1), Answers::default());
        &mut self.answers[at]
    }

    /// The answers of all classes.
    pub fn total(&self) -> Answers {
        self.answers.iter().fold(Answers::default(), |sum, class| Answers {
            served: sum.served + class.served,
            refused: sum.refused + class.refused,
            failed: sum.failed + class.failed,
        })
    }

    /// Counts the end of an attempt.
    pub fn ended(&mut self, end: End) {
        if let Some(at) = Self::ENDS.iter().position(|(known, _)| *known == end) {
            self.ends[at] += 1;
        }
    }
}

impl fmt::Display for Counters {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        let Self { taken, malformed, gone, sent, tries, .. } = self;
        write!(f, "taken={taken} malformed={malformed} gone={gone} sent={sent} tries={tries}")?;
        for ((_, name), count) in Self::ENDS.iter().zip(self.ends) {
            write!(f, " {name}={count}")?;
        }
        let (Answers { served, refused, failed }, Self { overdue, lists, .. }) = (self.total(), self);
        write!(f, " served={served} refused={refused} failed={failed} overdue={overdue} lists={lists}")
    }
}
