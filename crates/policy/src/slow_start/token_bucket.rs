//! The token buckets by which schedulers divide the load that a node in slow start may be sent.
//!
//! All schedulers together may send at a rate of whole requests (`allowance.rs`). Each scheduler has a token
//! bucket for the node that is filled at an even part of that rate. In a large fleet this part is far below
//! one request, so the buckets start at different levels between 0 and 1, by scheduler and shard, evenly
//! spread over the fleet. Schedulers then get whole tokens one after another, and the sum over all schedulers
//! in any period is the rate times its length, plus or minus one.
//!
//! A scheduler that has a whole token may have nothing to send. A whole token therefore remains valid for a
//! part of the window and then expires. To compensate for expired tokens, buckets fill faster by the inverse
//! of the probability that a token is used, which each scheduler estimates from its own demand. The mean of
//! the load sent is then the allowed rate.

use crate::api::{Micros, Settings, ShardId};

/// Lifetime of a whole token, as a fraction of the overload window. All tokens of a window and those that are
/// still valid at its beginning may be used within it; with the target fraction of `allowance.rs` this is
/// less than the load that makes the node fail.
const TOKEN_LIFETIME_WINDOWS: f64 = 0.5;
/// Fraction of the tokens of one lifetime that requests of the lowest priority leave to other requests.
const LOW_PRIORITY_RESERVE: f64 = 0.5;
/// Minimum of the random factor applied to gained tokens. The factor is 1 on average.
const MIN_REFILL_FACTOR: f64 = 0.5;

/// The token bucket of this scheduler for one node. A token stands for one request of mean size.
///
/// In all methods, `allowance` is the number of requests of mean size that all schedulers together may send
/// within the overload window.
#[derive(Clone, Debug)]
pub(crate) struct TokenBucket {
    tokens: f64,
    updated_at: Micros,
    /// Probability that a whole token is used before it expires, as of the last request for the node.
    use_probability: f64,
}

impl TokenBucket {
    /// Creates a bucket at this scheduler's initial level for the shard. If the node has already started, the
    /// bucket has been filled since then; its whole tokens count as used, as a restarted scheduler does not
    /// know whether it used them.
    pub(crate) fn new(now: Micros, started_at: Option<Micros>, shard: ShardId, settings: &Settings) -> Self {
        let schedulers = f64::from(settings.schedulers);
        let shard_offset = fastrand::Rng::with_seed(u64::from(shard.0)).f64();
        let initial_level = (f64::from(settings.scheduler_index) + 0.5) / schedulers + shard_offset;
        let age = started_at.map_or(0, |started_at| now.saturating_sub(started_at));
        let first_allowance = settings.slow_start_allowance(0).unwrap_or(0.0);
        let last_allowance = settings.slow_start_allowance(age).unwrap_or(0.0);
        let mean_allowance = 0.5 * (first_allowance + last_allowance) / settings.mean_units;
        let level = initial_level + mean_allowance / schedulers * overload_windows(age, settings);
        Self {
            tokens: level.fract(),
            updated_at: started_at.map_or(now, |started_at| now.max(started_at)),
            use_probability: 1.0,
        }
    }

    /// Returns the bucket for the same node after a restart of the node.
    pub(crate) fn restarted(
        &self,
        now: Micros,
        started_at: Option<Micros>,
        shard: ShardId,
        settings: &Settings,
    ) -> Self {
        Self { use_probability: self.use_probability, ..Self::new(now, started_at, shard, settings) }
    }

    /// Records a request for the node. `allowance` is `None` if the node is not in slow start; `draw` is
    /// random between 0 and 1.
    pub(crate) fn on_request(
        &mut self,
        now: Micros,
        allowance: Option<f64>,
        use_probability: f64,
        draw: f64,
        settings: &Settings,
    ) {
        self.use_probability = use_probability;
        if let Some(allowance) = allowance {
            self.refill(now, allowance, draw, settings);
        }
    }

    /// Updates the tokens to `now`. The tokens gained since the last update are multiplied by a random factor
    /// between 0.5 and 1.5: otherwise requests at a fixed interval could find every token, or none.
    fn refill(&mut self, now: Micros, allowance: f64, draw: f64, settings: &Settings) {
        let gained = self.gained_tokens(now, allowance, settings);
        let tokens = self.tokens + gained * (MIN_REFILL_FACTOR + draw);
        self.tokens = without_expired(tokens, self.capacity(allowance, settings));
        self.updated_at = now;
    }

    /// Returns the tokens gained within one overload window.
    fn tokens_per_window(&self, allowance: f64, settings: &Settings) -> f64 {
        let use_probability = self.use_probability.max(f64::MIN_POSITIVE);
        (allowance / (f64::from(settings.schedulers) * use_probability)).min(allowance)
    }

    /// Returns the tokens gained since the last update.
    fn gained_tokens(&self, now: Micros, allowance: f64, settings: &Settings) -> f64 {
        let elapsed = now.saturating_sub(self.updated_at);
        self.tokens_per_window(allowance, settings) * overload_windows(elapsed, settings)
    }

    /// Returns the tokens gained within the lifetime of a token.
    fn tokens_per_lifetime(&self, allowance: f64, settings: &Settings) -> f64 {
        TOKEN_LIFETIME_WINDOWS * self.tokens_per_window(allowance, settings)
    }

    /// Returns the maximum number of tokens that can be valid at a time.
    fn capacity(&self, allowance: f64, settings: &Settings) -> f64 {
        1.0 + self.tokens_per_lifetime(allowance, settings)
    }

    /// Returns the number of tokens that are valid now.
    fn valid_tokens(&self, now: Micros, allowance: f64, settings: &Settings) -> f64 {
        let gained = self.gained_tokens(now, allowance, settings);
        without_expired(self.tokens + gained, self.capacity(allowance, settings))
    }

    /// Returns whether a request may be sent. A request of a priority below 1 leaves a part of the bucket to
    /// others. A request that any node may serve looks for a node with a token, and would find all tokens
    /// that were added because of the probability of use; it may use them only with that probability, decided
    /// by `unsharded_draw`, its random number between 0 and 1.
    pub(crate) fn allows(
        &self,
        now: Micros,
        allowance: f64,
        priority: f64,
        unsharded_draw: Option<f64>,
        settings: &Settings,
    ) -> bool {
        let tokens_per_lifetime = self.tokens_per_lifetime(allowance, settings);
        let tokens_left_to_others = LOW_PRIORITY_RESERVE * tokens_per_lifetime * (1.0 - priority);
        let is_drawn = unsharded_draw.is_none_or(|draw| draw <= self.use_probability);
        is_drawn && self.valid_tokens(now, allowance, settings) >= 1.0 + tokens_left_to_others
    }

    /// Removes the tokens of a request that is sent.
    pub(crate) fn spend(&mut self, now: Micros, allowance: f64, units: f64, settings: &Settings) {
        self.tokens = self.valid_tokens(now, allowance, settings) - units / settings.mean_units;
        self.updated_at = now;
    }
}

/// Returns a duration as a number of overload windows.
fn overload_windows(duration: Micros, settings: &Settings) -> f64 {
    duration as f64 / settings.overload_window.max(1) as f64
}

/// Removes the whole tokens that exceed the capacity.
fn without_expired(tokens: f64, capacity: f64) -> f64 {
    tokens - (tokens - capacity).ceil().max(0.0)
}

impl Settings {
    /// Returns the lifetime of a whole slow-start token, in microseconds.
    pub(crate) fn token_lifetime(&self) -> Micros {
        (TOKEN_LIFETIME_WINDOWS * self.overload_window as f64) as Micros
    }
}

#[cfg(test)]
mod tests;
