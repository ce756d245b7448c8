//! Slow start: how much of what a node that has just started bears each scheduler may send, with no word
//! between schedulers.
//!
//! What all schedulers together may send is a rate of whole requests (`cold.rs`). Each scheduler has a
//! token bucket for the node that fills at its even part of that rate. At a large fleet that part is far
//! under one request, so the buckets are not alike: each starts at a place of its own between 0 and 1, by
//! scheduler and shard, evenly spread over the fleet. Whole tokens then come to one scheduler after
//! another, and the sum over all schedulers within any time is the rate times that time, give or take one.
//!
//! A scheduler whose token comes may have nothing to send. So a whole token stays good for a part of the
//! window, and lapses; and tokens come faster by the inverse of the chance that one is used, as the
//! scheduler's own demand tells it. The mean of what is sent is the allowed rate again.

use crate::api::{Micros, Settings, ShardId};

/// How long a whole token stays good, in windows of [`Settings::fall_time`]. All tokens of a window and those
/// still good at its beginning may be used within it: at this value and the part of the multiple that
/// `cold_total` uses, that is less than the multiple itself.
const TOKEN_LIFE: f64 = 0.5;

/// One scheduler's token bucket for one node; a token is a request of mean size.
#[derive(Clone, Debug)]
pub(crate) struct TokenBucket {
    tokens: f64,
    at: Micros,
    /// Chance that a whole token is used before it lapses, as of the last request for the node.
    chance_of_use: f64,
}

impl TokenBucket {
    /// At this scheduler's place for that shard. For a node that has started the bucket has filled since.
    pub(crate) fn new(now: Micros, started: Option<Micros>, shard: ShardId, settings: &Settings) -> Self {
        let hash = fastrand::Rng::with_seed(u64::from(shard.0)).f64();
        let place = (f64::from(settings.scheduler_index) + 0.5) / f64::from(settings.schedulers) + hash;
        let age = started.map_or(0, |started| now.saturating_sub(started));
        let (first, last) = (settings.slow_start_total(0), settings.slow_start_total(age));
        let mean_total = 0.5 * (first.unwrap_or(0.0) + last.unwrap_or(0.0)) / settings.mean_units;
        let windows = age as f64 / settings.overload_window.max(1) as f64;
        let filled = place + mean_total / f64::from(settings.schedulers) * windows;
        // Whole tokens are gone: a scheduler that restarted forgot whether it used them.
        Self {
            tokens: filled.fract(),
            at: started.map_or(now, |started| now.max(started)),
            chance_of_use: 1.0,
        }
    }

    /// Goes on for a node that has started again.
    pub(crate) fn restarted(
        &self,
        now: Micros,
        started: Option<Micros>,
        shard: ShardId,
        settings: &Settings,
    ) -> Self {
        Self { chance_of_use: self.chance_of_use, ..Self::new(now, started, shard, settings) }
    }

    /// Notes a request for the node, where tokens are used by that chance, and all schedulers together may
    /// send it `total` requests of mean size within the window; `None` for a warm node.
    pub(crate) fn ask(
        &mut self,
        now: Micros,
        total: Option<f64>,
        chance_of_use: f64,
        luck: f64,
        settings: &Settings,
    ) {
        self.chance_of_use = chance_of_use;
        if let Some(total) = total {
            self.fill(now, total, luck, settings);
        }
    }

    /// Brings the tokens up to date. What has come since is taken by chance for a half to one and a half
    /// times as much: requests at a fixed pace would else meet every token, or none.
    fn fill(&mut self, now: Micros, total: f64, luck: f64, settings: &Settings) {
        let (gained, most) = self.gained(now, total, settings);
        let tokens = self.tokens + gained * (0.5 + luck);
        (self.tokens, self.at) = (without_lapsed(tokens, most), now);
    }

    /// Tokens that come within a window.
    fn rate(&self, total: f64, settings: &Settings) -> f64 {
        (total / (f64::from(settings.schedulers) * self.chance_of_use.max(f64::MIN_POSITIVE))).min(total)
    }

    /// Tokens that came since they were counted last, and the most that can be good.
    fn gained(&self, now: Micros, total: f64, settings: &Settings) -> (f64, f64) {
        let rate = self.rate(total, settings);
        let windows = now.saturating_sub(self.at) as f64 / settings.overload_window.max(1) as f64;
        (rate * windows, 1.0 + TOKEN_LIFE * rate)
    }

    /// Tokens that it holds now.
    fn filled(&self, now: Micros, total: f64, settings: &Settings) -> f64 {
        let (gained, most) = self.gained(now, total, settings);
        without_lapsed(self.tokens + gained, most)
    }

    /// Whether a request may go. One of less than the highest worth, `level` below 1, leaves up to half of
    /// what the bucket can hold to others. One that any node may serve looks for a node with a token, and
    /// would use those that the chance of use has added: by its `luck`, from 0 to 1, it passes as seldom.
    pub(crate) fn lets_through(
        &self,
        now: Micros,
        total: f64,
        level: f64,
        free_luck: Option<f64>,
        settings: &Settings,
    ) -> bool {
        let left_to_others = 0.5 * TOKEN_LIFE * self.rate(total, settings) * (1.0 - level);
        let chosen = free_luck.is_none_or(|luck| luck <= self.chance_of_use);
        chosen && self.filled(now, total, settings) >= 1.0 + left_to_others
    }

    /// Takes the tokens of a request that goes.
    pub(crate) fn spend(&mut self, now: Micros, total: f64, units: f64, settings: &Settings) {
        self.tokens = self.filled(now, total, settings) - units / settings.mean_units;
        self.at = now;
    }
}

/// Takes away the whole tokens beyond the most that can be good.
fn without_lapsed(tokens: f64, most: f64) -> f64 {
    tokens - (tokens - most).ceil().max(0.0)
}

impl Default for TokenBucket {
    fn default() -> Self {
        Self { tokens: 0.0, at: 0, chance_of_use: 1.0 }
    }
}

impl Settings {
    /// How long a whole token stays good.
    pub(crate) fn token_life(&self) -> Micros {
        (TOKEN_LIFE * self.overload_window as f64) as Micros
    }
}

#[cfg(test)]
mod tests;
