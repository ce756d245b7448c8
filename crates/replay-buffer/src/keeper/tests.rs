use rstest::rstest;

use super::*;

fn budget(memory: u64, files: u64) -> Budget {
    Budget { memory, files }
}

fn limits() -> Limits {
    Limits {
        each: budget(100, 1000),
        all: budget(300, 3000),
        volume: budget(200, 2000),
        plans: vec![budget(250, 2500), budget(300, 3000)],
        classes: vec![budget(300, 3000)],
        least_time: 50,
    }
}

fn ask(volume: u64, worth: f64) -> Ask {
    Ask {
        plan: 0,
        class: 0,
        volume,
        declared: None,
        worth,
        in_reserve: false,
        repeatable: true,
        time_left: 100,
    }
}

#[rstest]
#[case::small(Ask { declared: Some(80), ..ask(1, 1.0) }, Place::Memory, None)]
#[case::large(Ask { declared: Some(800), ..ask(1, 1.0) }, Place::File, Some(Reason::TooLarge))]
#[case::too_large(Ask { declared: Some(1001), ..ask(1, 1.0) }, Place::Nowhere, Some(Reason::TooLarge))]
#[case::not_told(ask(1, 1.0), Place::Memory, None)]
#[case::once_only(Ask { repeatable: false, ..ask(1, 1.0) }, Place::Nowhere, Some(Reason::NotRepeatable))]
#[case::late(Ask { time_left: 49, ..ask(1, 1.0) }, Place::Nowhere, Some(Reason::NoTime))]
fn where_a_body_begins(#[case] ask: Ask, #[case] place: Place, #[case] reason: Option<Reason>) {
    let mut keeper = Keeper::new(limits());
    let decision = keeper.begin(BodyId(1), ask);
    assert_eq!((decision.place, decision.reason), (place, reason));
}

#[test]
fn a_body_moves_down_as_it_grows_and_never_up() {
    let mut keeper = Keeper::new(limits());
    keeper.begin(BodyId(1), ask(1, 1.0));
    let places: Vec<Place> = [90, 20, 800, 200].iter().map(|b| keeper.grow(BodyId(1), *b).place).collect();
    assert_eq!(places, [Place::Memory, Place::File, Place::File, Place::Nowhere]);
    assert_eq!((keeper.used(), keeper.grow(BodyId(1), 1).place), (Budget::default(), Place::Nowhere));
}

#[test]
fn on_an_unfit_disk_what_outgrows_memory_is_given_up() {
    let mut keeper = Keeper::new(limits());
    keeper.disk(Disk::Unfit);
    keeper.begin(BodyId(1), ask(1, 1.0));
    keeper.grow(BodyId(1), 90);
    let decision = keeper.grow(BodyId(1), 20);
    assert_eq!((decision.place, decision.reason), (Place::Nowhere, Some(Reason::Disk)));
}

/// Three bodies fill memory; a fourth comes that is worth more than some.
#[rstest]
#[case::dearer(ask(9, 5.0), false, Place::Memory, vec![(BodyId(1), Place::File)])]
#[case::cheaper(ask(9, 0.5), false, Place::File, vec![])]
#[case::alike(ask(9, 1.0), false, Place::File, vec![])]
#[case::protected(ask(9, 2.0), true, Place::File, vec![])]
#[case::reserve(
        Ask { in_reserve: true, ..ask(9, 0.1) },
        false,
        Place::Memory,
        vec![(BodyId(1), Place::File)],
    )]
fn who_makes_way(
    #[case] newcomer: Ask,
    #[case] protected: bool,
    #[case] place: Place,
    #[case] moved: Vec<(BodyId, Place)>,
) {
    let mut keeper = Keeper::new(Limits { plans: vec![], ..limits() });
    for (id, worth) in [(1, 1.0), (2, 2.0), (3, 3.0)] {
        keeper.begin(BodyId(id), ask(id, worth));
        keeper.grow(BodyId(id), 100);
    }
    keeper.protect(BodyId(1), protected);
    keeper.begin(BodyId(4), newcomer);
    let decision = keeper.grow(BodyId(4), 50);
    assert_eq!((decision.place, decision.moved), (place, moved));
}

/// Whatever comes: no budget is exceeded, what is protected stays, nothing within a reserve makes way for
/// what is outside any, and all that moves is told of.
#[test]
fn budgets_hold_and_reserves_stand() {
    for seed in 0..60 {
        let mut rng = fastrand::Rng::with_seed(seed);
        let mut keeper = Keeper::new(limits());
        let mut next = 0;
        for _ in 0..400 {
            let before: Vec<(BodyId, Body)> = keeper.bodies.iter().map(|(id, b)| (*id, *b)).collect();
            let known = |rng: &mut fastrand::Rng| before.get(rng.usize(0..before.len().max(1))).map(|b| b.0);
            let (id, decision) = match rng.u8(0..10) {
                0..=3 => {
                    next += 1;
                    let declared = rng.bool().then(|| rng.u64(0..1200));
                    let ask = Ask {
                        plan: rng.u16(0..3),
                        declared,
                        in_reserve: rng.u8(0..4) == 0,
                        ..ask(rng.u64(0..6), f64::from(rng.u8(0..5)))
                    };
                    (BodyId(next), keeper.begin(BodyId(next), ask))
                }
                4..=7 => {
                    let Some(id) = known(&mut rng) else { continue };
                    (id, keeper.grow(id, rng.u64(1..150)))
                }
                8 => {
                    let Some(id) = known(&mut rng) else { continue };
                    keeper.protect(id, rng.bool());
                    continue;
                }
                _ => {
                    let Some(id) = known(&mut rng) else { continue };
                    keeper.end(id);
                    keeper.disk(if rng.u8(0..4) == 0 { Disk::Unfit } else { Disk::Sound });
                    continue;
                }
            };
            let ask = keeper.bodies.get(&id).map(|body| body.ask);
            for (other, was) in &before {
                let is = keeper.place(*other);
                let told = decision.moved.iter().find(|(moved, _)| moved == other).map(|(_, to)| *to);
                assert!(*other == id || is == was.place || told == Some(is), "seed {seed}");
                if let (Some(_), Some(ask)) = (told, ask) {
                    assert!(!was.protected && (!was.ask.in_reserve || ask.in_reserve), "seed {seed}");
                }
            }
            check(&keeper, seed);
        }
    }
}

fn check(keeper: &Keeper, seed: u64) {
    let limits = &keeper.limits;
    for place in [Place::Memory, Place::File] {
        let sum = |of: &dyn Fn(&Ask) -> bool| {
            let bodies = keeper.bodies.values().filter(|b| b.place == place && of(&b.ask));
            bodies.map(|b| b.size).sum::<u64>()
        };
        assert!(sum(&|_| true) <= limits.all.of(place), "seed {seed}");
        assert_eq!(sum(&|_| true), keeper.used().of(place), "seed {seed}");
        for at in 0..6 {
            assert!(sum(&|a| a.volume == at) <= limits.volume.of(place), "seed {seed}");
            let plan = limits.plans.get(at as usize).unwrap_or(&limits.all);
            assert!(sum(&|a| u64::from(a.plan) == at) <= plan.of(place), "seed {seed}");
        }
        let each = keeper.bodies.values().filter(|b| b.place == place);
        assert!(each.into_iter().all(|b| b.size <= limits.each.of(place)), "seed {seed}");
    }
}
