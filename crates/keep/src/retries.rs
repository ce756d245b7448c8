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
mod tests {
    use rstest::rstest;

    use super::*;

    /// Whatever comes in whatever order, further attempts are no more than the store and the share of first
    /// tries.
    #[rstest]
    fn further_attempts_stay_within_their_share(#[values(0.0, 0.1, 0.5, 1.0)] share: f64) {
        for seed in 0..50 {
            let mut rng = fastrand::Rng::with_seed(seed);
            let most = rng.u32(0..20);
            let mut budget = RetryBudget::new(share, f64::from(most));
            let (mut first, mut further) = (0_u32, 0_u32);
            for _ in 0..2000 {
                if rng.bool() {
                    budget.earn();
                    first += 1;
                } else if budget.spend() {
                    further += 1;
                    if rng.u8(0..10) == 0 {
                        budget.give_back();
                        further -= 1;
                    }
                }
                let earned = f64::from(most) + share * f64::from(first);
                assert!(f64::from(further) <= earned + 1e-6, "seed {seed}");
            }
        }
    }

    #[rstest]
    #[case(f64::NAN, 5.0, 5)]
    #[case(-1.0, f64::INFINITY, 0)]
    #[case(2.0, -3.0, 0)]
    #[case(0.1, 2.9, 2)]
    fn absurd_figures_are_harmless(#[case] share: f64, #[case] most: f64, #[case] left: u32) {
        let mut budget = RetryBudget::new(share, most);
        assert_eq!(budget.left(), left);
        (0..100).for_each(|_| budget.earn());
        assert_eq!(budget.left(), left, "no more is saved up than the store holds");
    }
}
