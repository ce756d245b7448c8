//! A retry budget: further attempts are earned by first tries, so that a bad minute does not double the load.

/// One plan's budget: a store of tokens. A first try earns `share` of one, a further attempt costs one; the
/// store holds no more than `most`, which is also what it starts with.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct RetryBudget {
    share: f64,
    most: f64,
    tokens: f64,
}

impl RetryBudget {
    /// Further attempts that one first try earns (0 to 1), and the most that can be saved up; what is out of
    /// range counts as the nearest that is not.
    pub fn new(share: f64, most: f64) -> Self {
        let share = if share.is_finite() { share.clamp(0.0, 1.0) } else { 0.0 };
        let most = if most.is_finite() { most.max(0.0) } else { 0.0 };
        Self { share, most, tokens: most }
    }

    /// A first try was sent.
    pub fn earn(&mut self) {
        self.tokens = (self.tokens + self.share).min(self.most);
    }

    /// Whether a further attempt may be sent; it is paid for then.
    pub fn spend(&mut self) -> bool {
        let paid = self.tokens >= 1.0;
        if paid {
            self.tokens -= 1.0;
        }
        paid
    }

    /// A further attempt that was paid for was never sent after all.
    pub fn give_back(&mut self) {
        self.tokens = (self.tokens + 1.0).min(self.most);
    }

    /// Further attempts that may be sent now.
    pub fn left(&self) -> u32 {
        self.tokens as u32
    }
}

#[cfg(test)]
mod tests;
