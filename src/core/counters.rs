//! What the core has taken, sent and answered.

use std::fmt;

use crate::End;

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
    /// Answers: served.
    pub served: u64,
    /// Answers: refused.
    pub refused: u64,
    /// Answers: failed.
    pub failed: u64,
    /// Requests ended by the core as nothing else had answered them in time.
    pub overdue: u64,
    /// Lists and changes of nodes.
    pub lists: u64,
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
        (End::Moot, "moot"),
    ];

    /// Counts the end of an attempt.
    pub fn ended(&mut self, end: End) {
        if let Some(at) = Self::ENDS.iter().position(|(known, _)| *known == end) {
            self.ends[at] += 1;
        }
    }
}

impl fmt::Display for Counters {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "taken={} malformed={} gone={} sent={}", self.taken, self.malformed, self.gone, self.sent)?;
        for ((_, name), count) in Self::ENDS.iter().zip(self.ends) {
            write!(f, " {name}={count}")?;
        }
        let Self { served, refused, failed, overdue, lists, .. } = self;
        write!(f, " served={served} refused={refused} failed={failed} overdue={overdue} lists={lists}")
    }
}
