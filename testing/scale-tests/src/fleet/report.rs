//! What a hollow fleet came to.

use crate::lists::ListCosts;
use crate::node::{ColdLoad, ColdWindow, SlowStart};

/// Requests of one second.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct Second {
    /// That clients asked.
    pub asked: u64,
    /// That went to a node, repeats included.
    pub sent: u64,
    /// That were served.
    pub served: u64,
    /// That were refused.
    pub refused: u64,
    /// That were failed.
    pub failed: u64,
    /// Units that clients asked.
    pub asked_units: u64,
    /// Units that were served.
    pub served_units: u64,
}

/// What cold nodes got of what they could have had.
#[derive(Clone, Copy, Debug, Default, PartialEq)]
pub struct ColdUse {
    /// Sent, of the lesser of what was asked and what the settings allow, N.
    pub sent_of_allowed: f64,
    /// Served, of the same. A node serves no more than N over the multiple at which it falls.
    pub served_of_allowed: f64,
    /// Served, of the lesser of what was asked and what the nodes could do.
    pub served_of_ability: f64,
}

/// Counts of a fleet so far.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct Report {
    /// Each second since the beginning.
    pub seconds: Vec<Second>,
    /// Requests that a killed scheduler took with it.
    pub lost: u64,
    /// Requests that still owe an answer.
    pub open: u64,
    /// Attempts that the lease or the end of their request kept from being sent.
    pub not_sent: u64,
    /// Events that the modules have handled.
    pub handled: u64,
    /// A digest of all sends: when, from where, to where, which request.
    pub digest: u64,
    /// What each hollow node was sent while cold.
    pub cold: Vec<ColdLoad>,
    /// Windows since the last cold start of each hollow node.
    pub windows: Vec<Vec<ColdWindow>>,
    /// What the list has cost.
    pub lists: ListCosts,
    /// Entries that the modules keep: volumes and nodes, over all schedulers.
    pub kept: (usize, usize),
}

impl Report {
    /// All seconds together.
    pub fn total(&self) -> Second {
        self.seconds.iter().fold(Second::default(), |sum, second| Second {
            asked: sum.asked + second.asked,
            sent: sum.sent + second.sent,
            served: sum.served + second.served,
            refused: sum.refused + second.refused,
            failed: sum.failed + second.failed,
            asked_units: sum.asked_units + second.asked_units,
            served_units: sum.served_units + second.served_units,
        })
    }

    /// The most that any node was sent in a window while cold, over the bound then. All senders count.
    pub fn worst_over_bound(&self) -> f64 {
        self.cold.iter().map(|load| load.worst.0).fold(0.0, f64::max)
    }

    /// The same over windows of which over two thirds came from schedulers that knew of the start.
    pub fn worst_told_over_bound(&self) -> f64 {
        self.cold.iter().map(|load| load.worst_told.0).fold(0.0, f64::max)
    }

    /// Requests on whose arrival the bound was passed, by all senders and by the rule's count.
    pub fn passed(&self) -> (u64, u64) {
        let sum = |of: fn(&ColdLoad) -> u64| self.cold.iter().map(of).sum();
        (sum(|load| load.passed), sum(|load| load.passed_told))
    }

    /// What cold nodes got of what they could have had, by sums over all whole windows of all nodes; the
    /// multiple is that at which a node falls over.
    pub fn cold_use(&self, slow: &SlowStart) -> ColdUse {
        let whole = (slow.time / slow.window) as usize;
        let windows = || self.windows.iter().flat_map(|windows| windows.iter().take(whole));
        let sum = |of: &dyn Fn(&ColdWindow) -> f64| windows().map(of).sum::<f64>();
        let (served, sent) = (sum(&|window| window.served), sum(&|window| window.sent));
        let allowed = sum(&|window| window.allowed.min(window.asked)).max(f64::MIN_POSITIVE);
        let able = sum(&|window| (window.allowed / slow.multiple).min(window.asked)).max(f64::MIN_POSITIVE);
        ColdUse {
            sent_of_allowed: sent / allowed,
            served_of_allowed: served / allowed,
            served_of_ability: served / able,
        }
    }

    /// Units served of those that were asked in so many seconds from `from` on; `None` where none were asked.
    pub fn served_share(&self, from: usize, count: usize) -> Option<f64> {
        let seconds = self.seconds.iter().skip(from).take(count);
        let (asked, served) = seconds.fold((0, 0), |(asked, served), second| {
            (asked + second.asked_units, served + second.served_units)
        });
        (asked > 0).then(|| served as f64 / asked as f64)
    }

    /// The second from which on it served that share of the units that were asked, in each `window` of
    /// seconds from then on. `None` where it did not by the end.
    pub fn serves_again(&self, share: f64, window: usize) -> Option<usize> {
        let windows = (self.seconds.len() + 1).checked_sub(window)?;
        let bad = |from: &usize| self.served_share(*from, window).is_some_and(|served| served < share);
        let first = (0..windows).rev().find(bad).map_or(0, |last_bad| last_bad + 1);
        (first < windows).then_some(first)
    }
}
