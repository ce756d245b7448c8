use super::*;

fn values(solution: &Solution) -> Vec<i64> {
    solution.offsets.iter().map(|o| o.value).collect()
}

/// Clocks that are wrong by seconds come together by what both saw.
#[test]
fn sightings_count_for_more_than_clocks() {
    let sightings = [10, 30, 20].map(|late| Sighting { a: 0, b: 1, difference: 5_000 + late });
    let solution = solve(&[0, 2_000_000], &[], &sightings, 500);
    assert_eq!(values(&solution), vec![0, 5_020]);
    assert_eq!((solution.offsets[1].least, solution.offsets[1].most), (Some(4_530), Some(5_510)));
    assert!(!solution.contradictory && solution.spread == 500);
}

#[test]
fn an_order_is_kept_whatever_the_clocks_say() {
    // 1 is at least 700 behind 0, and 2 at least 100 behind 1.
    let bounds = [Bound { from: 0, to: 1, most: -700 }, Bound { from: 1, to: 2, most: -100 }];
    let solution = solve(&[0, 0, 0], &bounds, &[], 500);
    let [a, b, c] = values(&solution)[..] else { unreachable!() };
    assert!(b - a <= -700 && c - b <= -100, "{solution:?}");
}

#[test]
fn clocks_with_nothing_in_common_are_told_apart() {
    let solution = solve(&[7, 9, 11], &[], &[Sighting { a: 0, b: 2, difference: 4 }], 1);
    let groups: Vec<usize> = solution.offsets.iter().map(|o| o.group).collect();
    assert_eq!((groups, solution.offsets[1].value), (vec![0, 1, 0], 9));
}

#[test]
fn sightings_that_contradict_widen_the_spread() {
    let sightings = [0, 3_000].map(|difference| Sighting { a: 0, b: 1, difference });
    let solution = solve(&[0, 0], &[], &sightings, 500);
    assert!(solution.spread == 2_000 && !solution.contradictory, "{solution:?}");
}

#[test]
fn bounds_that_cannot_hold_leave_the_guesses() {
    let bounds = [Bound { from: 0, to: 1, most: -1 }, Bound { from: 1, to: 0, most: -1 }];
    let solution = solve(&[3, 4], &bounds, &[], 500);
    assert!(solution.contradictory && values(&solution) == vec![3, 4], "{solution:?}");
}

/// Whatever true offsets lie behind them, the bounds that follow from these are kept, and the truth lies
/// within what is told.
#[test]
fn the_truth_lies_within_the_bounds() {
    for seed in 0..200 {
        let mut rng = fastrand::Rng::with_seed(seed);
        let truth: Vec<i64> = (0..6).map(|_| rng.i64(-3_000_000..3_000_000)).collect();
        let mut sightings = Vec::new();
        let mut bounds = Vec::new();
        for _ in 0..rng.usize(1..12) {
            let (a, b) = (rng.usize(0..6), rng.usize(0..6));
            if rng.bool() {
                let late = rng.i64(-400..400);
                sightings.push(Sighting { a, b, difference: truth[b] - truth[a] + late });
            } else {
                bounds.push(Bound { from: a, to: b, most: truth[b] - truth[a] + rng.i64(0..5_000) });
            }
        }
        sightings.retain(|s| s.a != s.b);
        let guesses: Vec<i64> = truth.iter().map(|t| t + rng.i64(-2_000_000..2_000_000)).collect();
        let solution = solve(&guesses, &bounds, &sightings, 400);
        assert!(!solution.contradictory && solution.spread == 400, "seed {seed}");
        let value = |at: usize| solution.offsets[at].value;
        assert!(bounds.iter().all(|b| value(b.to) - value(b.from) <= b.most), "seed {seed}");
        for (at, offset) in solution.offsets.iter().enumerate() {
            let members = (0..6).filter(|other| solution.offsets[*other].group == offset.group);
            // The reference is the one that is bound to itself.
            let reference = members.clone().find(|m| {
                let o = solution.offsets[*m];
                o.least == Some(o.value) && o.most == Some(o.value)
            });
            let Some(reference) = reference else { continue };
            let true_value = value(reference) + truth[at] - truth[reference];
            assert!(offset.least.is_none_or(|least| least <= true_value), "seed {seed}");
            assert!(offset.most.is_none_or(|most| true_value <= most), "seed {seed}");
        }
    }
}
