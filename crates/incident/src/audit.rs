//! The rules, held against the records.

use std::collections::BTreeMap;

use heathward_event_log::{Micros, SegmentOpened};
use serde::Serialize;

/// Breaches that are kept of each rule; of more only the number is.
const KEPT: usize = 20;

/// A rule that must hold at any load.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Serialize)]
pub enum Rule {
    /// One final answer a request.
    OneAnswer,
    /// Never two attempts at once.
    OneAttempt,
    /// Keyed writes are repeated only at their shard and within their window.
    KeyedRepeats,
    /// Nothing new to a node 250 ms after it was closed.
    Drains,
    /// No cold node is sent over what it bears.
    ColdNodes,
    /// Answers come by their deadline.
    Deadlines,
}

impl Rule {
    /// All of them.
    pub const ALL: [Self; 6] = [
        Self::OneAnswer,
        Self::OneAttempt,
        Self::KeyedRepeats,
        Self::Drains,
        Self::ColdNodes,
        Self::Deadlines,
    ];

    /// In words.
    pub fn words(self) -> &'static str {
        match self {
            Self::OneAnswer => "one final answer a request",
            Self::OneAttempt => "never two attempts at once",
            Self::KeyedRepeats => "keyed writes repeated only at their shard and within their window",
            Self::Drains => "nothing new to a draining or gone node after 250 ms",
            Self::ColdNodes => "no cold node sent over what it bears",
            Self::Deadlines => "answers by their deadline",
        }
    }
}

/// A rule that was broken.
#[derive(Clone, Debug, PartialEq, Eq, Serialize)]
pub struct Breach {
    /// When: a boot's own time at first, then the common one.
    #[serde(rename = "at")]
    pub at: Micros,
    /// The scheduler, or none where it took several.
    pub scheduler: String,
    /// What happened.
    #[serde(rename = "why")]
    pub why: String,
}

/// What was looked at for a rule, and what broke it.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize)]
pub struct Checked {
    /// Requests, attempts or seconds that were looked at.
    #[serde(rename = "looked")]
    pub looked: u64,
    /// How often it was broken.
    #[serde(rename = "broken")]
    pub broken: u64,
    /// The first of these.
    #[serde(rename = "breaches")]
    pub breaches: Vec<Breach>,
}

/// What was found of all rules.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct Audit {
    rules: BTreeMap<Rule, Checked>,
}

impl Audit {
    /// So many more were looked at.
    pub fn look(&mut self, rule: Rule, count: u64) {
        self.rules.entry(rule).or_default().looked += count;
    }

    /// It was broken.
    pub fn breach(&mut self, rule: Rule, at: Micros, why: String) {
        let checked = self.rules.entry(rule).or_default();
        checked.broken += 1;
        if checked.breaches.len() < KEPT {
            checked.breaches.push(Breach { at, scheduler: String::new(), why });
        }
    }

    /// Takes in what was found in one boot, told on the common clock.
    pub fn take(&mut self, other: &Self, scheduler: &str, common: impl Fn(Micros) -> Micros) {
        for (rule, found) in &other.rules {
            let checked = self.rules.entry(*rule).or_default();
            checked.looked += found.looked;
            checked.broken += found.broken;
            for breach in &found.breaches {
                if checked.breaches.len() < KEPT {
                    let scheduler = scheduler.to_owned();
                    checked.breaches.push(Breach { at: common(breach.at), scheduler, ..breach.clone() });
                }
            }
        }
    }

    /// What was found of a rule.
    pub fn of(&self, rule: Rule) -> Checked {
        self.rules.get(&rule).cloned().unwrap_or_default()
    }
}

/// Units that a node which started so long ago bears in a window of the rule, from all schedulers together:
/// its capacity rises evenly from the cold share.
pub fn bears(settings: &SegmentOpened, age: Micros) -> f64 {
    let share = settings.slow_start_fraction.clamp(0.01, 1.0);
    let warm = (age.min(settings.slow_start_duration) as f64) / settings.slow_start_duration.max(1) as f64;
    settings.slow_start_units * (share + (1.0 - share) * warm) / share
}

/// Units in `span` that break the rule on a cold node for certain, wherever in it they were sent: more than
/// all windows that touch it bear.
pub fn certainly_too_much(settings: &SegmentOpened, age: Micros, span: Micros) -> f64 {
    let windows = span.div_ceil(settings.overload_window.max(1)) + 1;
    bears(settings, age) * windows as f64
}
