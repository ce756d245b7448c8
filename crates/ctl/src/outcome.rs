//! How a command ended, and the exit code that tells it.

use std::fmt;
use std::process::ExitCode;

/// From good to bad: of several addresses the worst counts.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub enum Outcome {
    /// Done.
    Done = 0,
    /// Refused by the scheduler, or found wrong.
    Refused = 1,
    /// Wrong use: a file or an argument that makes no sense.
    WrongUse = 2,
    /// Nobody answers.
    Unanswered = 3,
}

impl Outcome {
    /// Says what is wrong with the use.
    pub fn wrong_use(why: impl fmt::Display) -> Self {
        eprintln!("heathwardctl: {why}");
        Self::WrongUse
    }
}

impl From<Outcome> for ExitCode {
    fn from(outcome: Outcome) -> Self {
        Self::from(outcome as u8)
    }
}
