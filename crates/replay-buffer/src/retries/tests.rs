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
